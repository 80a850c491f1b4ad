//! Requests that end each target that executes them.

mod gateway_env;

use std::time::{Duration, Instant};

use arbutusshelf_bench::{
    client::{Caller, CompleteResponse},
    worker::{WorkerMode, WorkerStandIn},
};
use bytes::Bytes;
use gateway_env::{GatewayProcess, TestDeployment};
use hyper::Method;
use serde_json::json;

/// Part of the request line by which a request ends its target.
const FATAL_MARKER: &str = "/fatal";

/// Time after the third target has ended from which on the users count further sends (`contactS`).
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Sends that the users allow after that.
const ALLOWED_SENDS: usize = 3;

/// Time that a target takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Time after which a target that has ended is back under another name.
const RETURN_TIME: Duration = Duration::from_millis(600);

/// Workers of which each that has ended comes back.
struct Workers<'a> {
    deployment: &'a TestDeployment,
    /// Times that a fatal request takes to end a worker: its execution, and what follows the end of its connection.
    end_times: (Duration, Duration),
    all: Vec<WorkerStandIn>,
    /// When each worker was seen to have ended.
    ended: Vec<Option<Instant>>,
    number: usize,
}

impl<'a> Workers<'a> {
    async fn start(deployment: &'a TestDeployment, count: usize, request: &FatalRequest) -> Self {
        let end_times = (request.service_time, request.end_delay);
        let mut workers = Self { deployment, end_times, all: Vec::new(), ended: Vec::new(), number: 0 };
        for _ in 0..count {
            workers.add().await;
        }
        workers
    }

    async fn add(&mut self) {
        self.number += 1;
        let worker = self.deployment.worker(&format!("i-{}", self.number)).await;
        let (service_time, end_delay) = self.end_times;
        worker.set_service_time(service_time);
        worker.set_fatal_marker(FATAL_MARKER);
        worker.set_end_delay(end_delay);
        self.all.push(worker);
        self.ended.push(None);
    }

    /// Starts a worker in place of each that ended a while ago.
    async fn replace_ended(&mut self) {
        for index in 0..self.all.len() {
            if !self.all[index].has_ended() {
                continue;
            }
            match self.ended[index] {
                None => self.ended[index] = Some(Instant::now()),
                Some(at) if at.elapsed() > RETURN_TIME && at.elapsed() < RETURN_TIME * 100 => {
                    self.ended[index] = at.checked_sub(RETURN_TIME * 100);
                    self.deployment.store.remove("servers", &self.all[index].id);
                    self.add().await;
                }
                Some(_) => {}
            }
        }
    }

    /// Returns the times at which requests with `marker` in their line began to be executed, in order.
    fn starts(&self, marker: &str) -> Vec<Instant> {
        let executed = self.all.iter().flat_map(WorkerStandIn::executed_requests);
        let mut starts =
            executed.filter(|r| r.head.contains(marker)).map(|r| r.received_at).collect::<Vec<_>>();
        starts.sort_unstable();
        starts
    }
}

/// A request that ends its targets.
struct FatalRequest {
    method: Method,
    path: &'static str,
    body_bytes: usize,
    /// Whether each attempt has another query.
    has_varying_query: bool,
    /// Whether each attempt comes from another address.
    has_varying_address: bool,
    /// Time between the end of its connection and that of its target.
    end_delay: Duration,
    /// Time that a target executes it.
    service_time: Duration,
    /// Deadline of each attempt in milliseconds.
    deadline_ms: u64,
    /// Time after which its caller leaves.
    patience: Duration,
    /// Time between two attempts.
    gap: Duration,
}

/// One caller sends the same request again and again, at one instance after another, whatever the answer. Returns the
/// statuses, 0 where it left before the answer.
async fn send_again_and_again(
    deployment: &TestDeployment,
    instances: &[GatewayProcess],
    workers: &mut Workers<'_>,
    request: &FatalRequest,
    length: Duration,
) -> Vec<u16> {
    let body = Bytes::from(vec![b'x'; request.body_bytes]);
    let started = Instant::now();
    let mut statuses = Vec::new();
    while started.elapsed() < length {
        let to = &instances[statuses.len() % instances.len()];
        let id = format!("p{}", statuses.len());
        let query = if request.has_varying_query { format!("?page={id}") } else { String::new() };
        let (method, path) = (request.method.clone(), format!("{}{query}", request.path));
        let host = if request.has_varying_address { 2 + statuses.len() % 200 } else { 1 };
        let caller = Caller::from_address([127, 0, 0, host as u8].into());
        let times = (id.as_str(), request.deadline_ms);
        let answer = deployment.send_from(&caller, to.callers, (method, &path), times, body.clone());
        match tokio::time::timeout(request.patience, answer).await {
            Ok(answer) => statuses.push(answer.expect("an answer").status),
            Err(_left) => statuses.push(0),
        }
        workers.replace_ended().await;
        tokio::time::sleep(request.gap).await;
    }
    statuses
}

/// Without these lines and figures, nobody can tell a target that has ended from a lost answer, or two attempts of
/// one request from two requests.
#[tokio::test]
async fn an_ended_target_and_a_lost_answer_are_told_apart_in_logs_and_metrics() {
    let deployment = TestDeployment::start().await;
    let gateway = deployment.gateway("one", &json!({})).await;
    let alive = deployment.worker("i-alive").await;
    alive.set_mode(WorkerMode::ResetConnection);
    deployment
        .wait_until("the target is known", || async { gateway.logged(&["event=target-added", "i-alive"]) })
        .await;
    deployment.send(gateway.callers, Method::POST, "/charge/x", "a1").await.expect("an answer");
    deployment.store.remove("servers", "i-alive");
    let fatal = deployment.worker("i-fatal").await;
    fatal.set_fatal_marker(FATAL_MARKER);
    deployment
        .wait_until("the targets have changed", || async {
            gateway.logged(&["event=target-added", "i-fatal"])
                && gateway.logged(&["event=target-removed", "i-alive"])
        })
        .await;
    deployment.send(gateway.callers, Method::POST, "/charge/fatal", "a2").await.expect("an answer");
    for (id, process) in [("a1", "process=listening"), ("a2", "process=ended")] {
        deployment
            .wait_until("the send is logged", || async {
                gateway.logged(&["event=send-ended", &format!("request=\"{id}\""), "outcome=lost", process])
            })
            .await;
    }
    assert!(gateway.logged(&["event=target-ended", "target=i-fatal", "service=plan"]));
    assert!(!gateway.logged(&["event=target-ended", "target=i-alive"]));
    let metrics = deployment.caller.get(gateway.metrics, "/metrics").await.expect("metrics");
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    for process in ["listening", "ended"] {
        let line = format!("arbutusshelf_gateway_sends_lost_total{{process=\"{process}\"}} 1");
        assert!(text.contains(&line), "{line} in {text}");
    }
}

/// Sends the same request for a while, and checks that hardly any of it reaches a target any more, from
/// [`SETTLE_TIME`] after the third target has ended.
async fn check_that_it_is_not_sent_on(request: &FatalRequest) {
    let deployment = TestDeployment::start().await;
    let mut workers = Workers::start(&deployment, 8, request).await;
    let instances = deployment.start_instances(4).await;
    let length = SETTLE_TIME * 3;
    let statuses = send_again_and_again(&deployment, &instances, &mut workers, request, length).await;
    let starts = workers.starts(request.path);
    let settled = starts.get(2).map(|third| *third + request.service_time + SETTLE_TIME);
    let late = starts.iter().filter(|at| settled.is_some_and(|settled| **at > settled)).count();
    let count = starts.len();
    assert!(late <= ALLOWED_SENDS, "{late} of {count} sends came late, answers {statuses:?}");
    assert!(count >= 3, "{count} sends, answers {statuses:?}");
}

const READ: FatalRequest = FatalRequest {
    method: Method::GET,
    path: "/read/fatal",
    body_bytes: 0,
    has_varying_query: false,
    has_varying_address: false,
    end_delay: Duration::ZERO,
    service_time: SERVICE_TIME,
    deadline_ms: 2_000,
    patience: Duration::MAX,
    gap: Duration::from_millis(30),
};

/// A read whose targets work on it for a while, and that comes with pauses.
const SLOW_READ: FatalRequest =
    FatalRequest { service_time: Duration::from_millis(150), gap: Duration::from_millis(500), ..READ };

const CHARGE: FatalRequest =
    FatalRequest { method: Method::POST, path: "/charge/fatal", body_bytes: 900, ..READ };

/// Guards against a request that ends target after target for as long as it comes, at all instances together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_ends_its_targets_is_not_sent_on_for_ever() {
    check_that_it_is_not_sent_on(&READ).await;
}

/// The same for a request that is not repeated, but comes again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_charge_that_ends_its_targets_is_not_sent_on_for_ever() {
    check_that_it_is_not_sent_on(&CHARGE).await;
}

/// The same for a body that is passed on as it arrives.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upload_that_ends_its_targets_is_not_sent_on_for_ever() {
    check_that_it_is_not_sent_on(&FatalRequest { body_bytes: 400_000, ..CHARGE }).await;
}

/// The same if each attempt has another query.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_path_whose_requests_end_their_targets_gets_no_more_of_them() {
    check_that_it_is_not_sent_on(&FatalRequest { has_varying_query: true, ..READ }).await;
}

/// The same if each attempt comes from another address, as those of a caller behind several gateways do.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_ends_its_targets_is_recognised_from_any_address() {
    check_that_it_is_not_sent_on(&FatalRequest { has_varying_address: true, ..READ }).await;
}

/// The same if each attempt has another query and comes from another address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_path_whose_requests_end_their_targets_is_recognised_from_any_address() {
    check_that_it_is_not_sent_on(&FatalRequest {
        has_varying_query: true,
        has_varying_address: true,
        ..READ
    })
    .await;
}

/// The same if a target closes the connection of the request some time before it ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_targets_end_a_little_later_is_not_sent_on_for_ever() {
    check_that_it_is_not_sent_on(&FatalRequest { end_delay: Duration::from_millis(60), ..READ }).await;
}

/// The same if the deadline of each attempt passes before its target ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_targets_end_after_its_deadline_is_not_sent_on_for_ever() {
    check_that_it_is_not_sent_on(&FatalRequest { deadline_ms: 100, ..SLOW_READ }).await;
}

/// The same if the caller leaves before that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_caller_leaves_before_its_targets_end_is_not_sent_on_for_ever() {
    check_that_it_is_not_sent_on(&FatalRequest { patience: Duration::from_millis(60), ..SLOW_READ }).await;
}

/// Guards against a request that is refused because callers or deadlines did not wait for its answers, while its
/// targets live.
#[tokio::test]
async fn a_request_whose_callers_leave_is_served_while_its_targets_live() {
    let deployment = TestDeployment::start().await;
    let _workers = Workers::start(&deployment, 2, &SLOW_READ).await;
    let gateway = deployment.gateway("one", &json!({})).await;
    for number in 0..6 {
        let id = format!("left{number}");
        let left = deployment.send(gateway.callers, Method::GET, "/read/slow", &id);
        let left = tokio::time::timeout(Duration::from_millis(60), left).await;
        assert!(left.is_err(), "the caller leaves before the answer");
    }
    // The last of the checks that nobody waits for has been made.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let answer = deployment.send(gateway.callers, Method::GET, "/read/slow", "stays").await;
    assert_eq!(answer.expect("an answer").status, 200);
    assert!(!gateway.logged(&["event=suspect"]), "{:#?}", gateway.log());
}

/// Guards against a request that is refused because its answers were lost, while its targets live.
#[tokio::test]
async fn a_request_whose_answers_are_lost_is_served_while_its_targets_live() {
    let deployment = TestDeployment::start().await;
    let workers = Workers::start(&deployment, 2, &READ).await;
    let gateway = deployment.gateway("one", &json!({})).await;
    workers.all.iter().for_each(|worker| worker.set_mode(WorkerMode::ResetConnection));
    for number in 0..6 {
        let answer = deployment.send(gateway.callers, Method::GET, "/read/lost", &format!("l{number}")).await;
        assert_eq!(answer.expect("an answer").status, 502);
    }
    workers.all.iter().for_each(|worker| worker.set_mode(WorkerMode::Serve));
    // The last of the checks that nobody waits for has been made.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let answer = deployment.send(gateway.callers, Method::GET, "/read/lost", "again").await;
    assert_eq!(answer.expect("an answer").status, 200);
    assert!(!gateway.logged(&["event=suspect"]), "{:#?}", gateway.log());
}

/// Guards against an instance that fails at its exit because sends are given up then.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_exits_cleanly_with_a_send_in_progress() {
    let deployment = TestDeployment::start().await;
    let service_time = Duration::from_secs(30);
    let workers = Workers::start(&deployment, 1, &FatalRequest { service_time, ..READ }).await;
    let mut gateway = deployment.gateway("one", &json!({"grace_s": 1.0})).await;
    let answer = deployment.send_within(gateway.callers, Method::GET, "/read/slow", "s1", 30_000);
    let is_started = deployment
        .wait_until("the request is executed", || async { !workers.starts("/read/slow").is_empty() });
    let exit = async {
        is_started.await;
        gateway.signal("TERM");
        gateway.wait_for_exit().await
    };
    let (answer, is_successful) = tokio::join!(answer, exit);
    assert!(is_successful);
    assert!(answer.map_or(true, |answer| answer.status != 200));
}

/// Sends a fatal request to one instance until it is refused as quarantined, and returns the answer.
async fn send_until_quarantined(
    deployment: &TestDeployment,
    gateway: &GatewayProcess,
    workers: &mut Workers<'_>,
) -> CompleteResponse {
    for number in 0..100 {
        let answer =
            deployment.send(gateway.callers, Method::GET, "/read/fatal", &format!("f{number}")).await;
        let answer = answer.expect("an answer");
        if answer.cause() == "quarantined" {
            return answer;
        }
        workers.replace_ended().await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the request was not quarantined");
}

/// Guards against refusals that come late, or that don't say that the request did not run.
#[tokio::test]
async fn a_quarantined_request_is_refused_at_once_and_others_are_served() {
    let deployment = TestDeployment::start().await;
    let mut workers = Workers::start(&deployment, 4, &READ).await;
    let gateway = deployment.gateway("one", &json!({})).await;
    let refused = send_until_quarantined(&deployment, &gateway, &mut workers).await;
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    let retry_after = refused.headers.get("retry-after").and_then(|value| value.to_str().ok());
    let retry_after_s = retry_after.and_then(|text| text.parse::<f64>().ok()).expect("a number");
    assert!((590.0..=600.0).contains(&retry_after_s), "{retry_after_s}");
    let starts = workers.starts("/read/fatal").len();
    assert_eq!(starts, 3, "{:#?}", gateway.log());
    let sent_at = Instant::now();
    let answer = deployment.send(gateway.callers, Method::GET, "/read/fatal", "late").await;
    assert_eq!(answer.expect("an answer").cause(), "quarantined");
    // A tenth of the route's timeout: the request was not kept waiting.
    assert!(sent_at.elapsed() < Duration::from_millis(200));
    assert_eq!(workers.starts("/read/fatal").len(), starts);
    let other = deployment.send(gateway.callers, Method::GET, "/read/other", "o1").await;
    assert_eq!(other.expect("an answer").status, 200);
}

/// Guards against an instance that counts nothing until it has read the key of the hashes: the first requests after
/// a start, and all of them while the store says nothing of suspects.
#[tokio::test]
async fn ends_count_from_the_first_request_of_an_instance_on() {
    let deployment = TestDeployment::start().await;
    deployment.store.set_delay("suspects", Duration::from_mins(10));
    let mut workers = Workers::start(&deployment, 4, &READ).await;
    let gateway = deployment.gateway("one", &json!({})).await;
    send_until_quarantined(&deployment, &gateway, &mut workers).await;
    assert_eq!(workers.starts("/read/fatal").len(), 3, "{:#?}", gateway.log());
}

/// Guards against an instance that is ready, or sends requests on, before it knows which of them are quarantined.
#[tokio::test]
async fn an_instance_knows_the_quarantined_requests_before_it_sends_any() {
    let deployment = TestDeployment::start().await;
    let mut workers = Workers::start(&deployment, 6, &READ).await;
    let gateway = deployment.gateway("one", &json!({})).await;
    send_until_quarantined(&deployment, &gateway, &mut workers).await;
    // The count is stored a moment after it was seen.
    tokio::time::sleep(Duration::from_secs(1)).await;
    drop(gateway);
    deployment.store.set_delay("suspects", Duration::from_millis(200));
    let starts = workers.starts("/read/fatal").len();
    let gateway = deployment.start_gateway("one", &json!({}));
    // A caller that finds it before it is ready is refused or waits.
    deployment
        .wait_until("the request is refused as quarantined", || async {
            let answer = deployment.send(gateway.callers, Method::GET, "/read/fatal", "early").await;
            answer.expect("an answer").cause() == "quarantined"
        })
        .await;
    assert_eq!(workers.starts("/read/fatal").len(), starts, "{:#?}", gateway.log());
}

/// The same for an instance that gets them from another one, while the store is slow.
#[tokio::test]
async fn an_instance_gets_the_quarantined_requests_from_another_before_it_sends_any() {
    let deployment = TestDeployment::start().await;
    let mut workers = Workers::start(&deployment, 6, &READ).await;
    let instances = deployment.start_instances(2).await;
    send_until_quarantined(&deployment, &instances[0], &mut workers).await;
    deployment.store.set_delay("suspects", Duration::from_mins(10));
    let starts = workers.starts("/read/fatal").len();
    let started_at = Instant::now();
    let late = deployment.gateway("late", &json!({"peer_seeds": [instances[0].peers]})).await;
    let answer = deployment.send(late.callers, Method::GET, "/read/fatal", "late").await;
    assert_eq!(answer.expect("an answer").cause(), "quarantined", "{:#?}", late.log());
    assert!(started_at.elapsed() < SETTLE_TIME);
    assert_eq!(workers.starts("/read/fatal").len(), starts);
    assert!(!late.logged(&["event=suspects-unknown"]));
}

/// Guards against a request that ends three targets again after each restart of all instances.
#[tokio::test]
async fn a_quarantine_outlasts_a_restart_of_all_instances() {
    let deployment = TestDeployment::start().await;
    let mut workers = Workers::start(&deployment, 6, &READ).await;
    let gateway = deployment.gateway("one", &json!({})).await;
    send_until_quarantined(&deployment, &gateway, &mut workers).await;
    // The count is stored a moment after it was seen.
    tokio::time::sleep(Duration::from_secs(1)).await;
    drop(gateway);
    let starts = workers.starts("/read/fatal").len();
    let gateway = deployment.gateway("one", &json!({})).await;
    let answer = deployment.send(gateway.callers, Method::GET, "/read/fatal", "again").await;
    assert_eq!(answer.expect("an answer").cause(), "quarantined");
    assert_eq!(workers.starts("/read/fatal").len(), starts);
}

/// Guards against instances that count alone while none of them reaches a seed.
#[tokio::test]
async fn instances_without_links_count_together() {
    let deployment = TestDeployment::start().await;
    let mut workers = Workers::start(&deployment, 6, &READ).await;
    let one = deployment.gateway("one", &json!({})).await;
    let other = deployment.gateway("other", &json!({})).await;
    send_until_quarantined(&deployment, &one, &mut workers).await;
    deployment
        .wait_until("the other one has heard of it", || async {
            other.logged(&["event=quarantine", "source=store"])
        })
        .await;
    let starts = workers.starts("/read/fatal").len();
    let answer = deployment.send(other.callers, Method::GET, "/read/fatal", "there").await;
    assert_eq!(answer.expect("an answer").cause(), "quarantined");
    assert_eq!(workers.starts("/read/fatal").len(), starts);
}

/// Guards against a store that comes back from a copy without the counts, and an instance that starts after that.
#[tokio::test]
async fn a_quarantine_outlasts_a_store_that_comes_back_from_an_older_copy() {
    let deployment = TestDeployment::start().await;
    let mut workers = Workers::start(&deployment, 6, &READ).await;
    let one = deployment.gateway("one", &json!({})).await;
    let copy = deployment.store.copy();
    send_until_quarantined(&deployment, &one, &mut workers).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let lost = deployment.store.restore(copy);
    deployment.store.write_again(&lost.without_table("suspects"));
    // A reading of what is left, and a call that writes what is missing.
    tokio::time::sleep(Duration::from_secs(2)).await;
    drop(one);
    let other = deployment.gateway("other", &json!({})).await;
    deployment
        .wait_until("the stored counts are read", || async {
            other.logged(&["event=quarantine", "source=store"])
        })
        .await;
}
