//! Requests that an instance without a path to targets forwards to another instance.

mod cut_off_env;
mod gateway_env;

use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use arbutusshelf::peer::forward::{FORWARD, ForwardHeader};
use arbutusshelf_bench::{
    client::{Caller, CompleteResponse},
    endless::{EndlessPart, EndlessTarget},
    relay::{LinkFault, Relay},
    worker::{WorkerMode, WorkerStandIn},
};
use bytes::Bytes;
use cut_off_env::{CUT_OFF_SOURCE, CutOffDeployment, OTHER_SOURCE};
use gateway_env::{HOST, entry};
use http_body_util::Full;
use hyper::{Method, Request};

/// Time that a target takes in tests that interrupt it.
const LONG_SERVICE_TIME: Duration = Duration::from_millis(600);

/// Time after which such a request is at its target.
const AT_TARGET_TIME: Duration = Duration::from_millis(250);

/// Time within which a refusal is immediate.
const AT_ONCE: Duration = Duration::from_millis(100);

fn set_service_time(workers: &[WorkerStandIn], time: Duration) {
    for worker in workers {
        worker.set_service_time(time);
    }
}

// Guards against a request or a response that is changed on the detour, and against headers that leak to targets.
#[tokio::test]
async fn a_forwarded_request_and_its_response_are_unchanged() {
    let deployment = CutOffDeployment::start(1).await;
    deployment.cut_off(LinkFault::Blackhole).await;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}/charge/x%20y?a=1&b=%2F", deployment.cut_off.callers))
        .header("Host", HOST)
        .header("X-Attempt-Id", "c1")
        .header("X-Request-Deadline-Ms", 1_500)
        .header("Accept-Language", "de-AT")
        .header("Arbutusshelf-Forward", "made up by the caller")
        .body(Full::new(Bytes::from_static(b"lane 4")));
    let response = deployment.deployment.caller.send(request.expect("a request")).await.expect("a response");
    assert_eq!((response.status, &response.body[..]), (200, &b"body of c1"[..]));
    assert!(response.headers.contains_key("x-response-seal"));
    assert_eq!(response.headers["x-attempt-id"], "c1");
    let internal = response.headers.keys().find(|name| name.as_str().starts_with("arbutusshelf-"));
    assert_eq!(internal, None);
    let executed = deployment.workers.iter().flat_map(WorkerStandIn::executed_requests);
    let executed = executed.filter(|r| r.header("x-attempt-id") == Some("c1")).collect::<Vec<_>>();
    assert_eq!(executed.len(), 1);
    let at_target = &executed[0];
    assert_eq!(at_target.head.lines().next(), Some("POST /charge/x%20y?a=1&b=%2F HTTP/1.1"));
    assert_eq!(at_target.body, b"lane 4");
    assert_eq!((at_target.header("host"), at_target.header("accept-language")), (Some(HOST), Some("de-AT")));
    assert!(!at_target.head.contains("arbutusshelf-"), "{}", at_target.head);
    let deadline_ms = at_target.header("x-request-deadline-ms").and_then(|v| v.parse::<u64>().ok());
    assert!(deadline_ms.is_some_and(|ms| (1_200..=1_500).contains(&ms)), "{deadline_ms:?}");
}

// Guards against targets that work on beyond the time of the caller: a request may have waited before it is forwarded.
#[tokio::test]
async fn a_request_that_has_waited_is_forwarded_with_the_time_that_is_left() {
    let deployment = CutOffDeployment::start(1).await;
    deployment.set_fault(LinkFault::Blackhole);
    let sent_at = Instant::now();
    let to = deployment.cut_off.callers;
    let response = deployment.deployment.send_within(to, Method::POST, "/charge/x", "waits", 1_500).await;
    assert_eq!(response.expect("a response").status, 200);
    let executed = deployment.workers.iter().flat_map(WorkerStandIn::executed_requests);
    let executed = executed.filter(|r| r.header("x-attempt-id") == Some("waits")).collect::<Vec<_>>();
    assert_eq!(executed.len(), 1);
    let waited = executed[0].received_at - sent_at;
    assert!(waited > AT_ONCE, "it waits until the path is closed: {waited:?}");
    let deadline_ms = executed[0].header("x-request-deadline-ms").and_then(|v| v.parse::<u64>().ok());
    let left = Duration::from_millis(deadline_ms.expect("a deadline"));
    assert!(left + waited <= Duration::from_millis(1_550), "{left:?} left after {waited:?} of 1.5 s");
}

// Guards against requests that count as those of the forwarding instance: suspects are told by their caller.
#[tokio::test]
async fn a_forwarded_request_has_the_same_identity_at_both_instances() {
    let deployment = CutOffDeployment::start(1).await;
    deployment.cut_off(LinkFault::Reset).await;
    // Ordinary requests are logged as a sample, failed ones all.
    for worker in &deployment.workers {
        worker.set_mode(WorkerMode::Fail);
    }
    let sent = deployment.deployment.send(deployment.cut_off.callers, Method::POST, "/charge/x", "c1").await;
    assert_eq!(sent.expect("a response").status, 500);
    let identity = |instance: &gateway_env::GatewayProcess| {
        let log = instance.log();
        let line = log.iter().find(|line| line.contains("request-admitted") && line.contains("\"c1\""));
        let field = line.and_then(|line| line.split(' ').find(|pair| pair.starts_with("identity=")));
        field.map(str::to_owned)
    };
    let both_logged =
        || async { identity(&deployment.cut_off).is_some() && identity(&deployment.others[0]).is_some() };
    deployment.deployment.wait_until("both instances have logged it", both_logged).await;
    assert_eq!(identity(&deployment.cut_off), identity(&deployment.others[0]));
}

// Guards against loops, and against callers who wait although nothing can be served.
#[tokio::test]
async fn requests_are_refused_at_once_while_all_instances_are_cut_off() {
    let deployment = CutOffDeployment::start(2).await;
    deployment.set_fault_from(OTHER_SOURCE, LinkFault::Blackhole);
    deployment.cut_off(LinkFault::Blackhole).await;
    for other in &deployment.others {
        deployment.served(other, "finds-out-too", 20).await;
        let closed = || async { other.logged(&["event=path-closed"]) };
        deployment.deployment.wait_until("its path is closed", closed).await;
    }
    tokio::time::sleep(AT_ONCE).await;
    for instance in deployment.others.iter().chain([&deployment.cut_off]) {
        for number in 0..10 {
            let (method, path) = [(Method::GET, "/read/x"), (Method::POST, "/charge/x")][number % 2].clone();
            let started = Instant::now();
            let response = deployment.deployment.send(instance.callers, method, path, "refused").await;
            let response = response.expect("a response");
            assert!(started.elapsed() < AT_ONCE, "{:?}", started.elapsed());
            assert_eq!(response.status, 503);
            assert_eq!(response.headers["arbutusshelf-cause"], "no-path");
            assert!(response.headers.contains_key("retry-after"));
        }
        let ready = deployment.deployment.caller.get(instance.ready, "/ready").await.expect("a response");
        assert_eq!(ready.status, 503, "callers should go to instances elsewhere");
    }
    assert_eq!(deployment.executions("refused"), 0);
}

// Guards against a charge that is executed twice, and a read that is lost, when the instance ends that has got them.
#[tokio::test]
async fn a_request_at_an_instance_that_ends_is_repeated_only_if_it_may_be() {
    let mut deployment = CutOffDeployment::start(2).await;
    // Several reads are repeated.
    deployment.served(&deployment.cut_off, "before", 20).await;
    deployment.cut_off(LinkFault::Reset).await;
    set_service_time(&deployment.workers, LONG_SERVICE_TIME);
    let ids = (0..8).map(|number| format!("c{number}")).collect::<Vec<_>>();
    let send = |(number, id): (usize, String)| {
        let (caller, to) = (Caller::default(), deployment.cut_off.callers);
        let (method, path) = [(Method::GET, "/read/x"), (Method::POST, "/charge/x")][number % 2].clone();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header("Host", HOST)
            .header("X-Attempt-Id", id)
            .header("X-Request-Deadline-Ms", 2_000)
            .body(Full::<Bytes>::default())
            .expect("a request");
        tokio::spawn(async move { caller.send(request).await.map(|r| r.status).unwrap_or_default() })
    };
    let tasks = ids.iter().cloned().enumerate().map(send).collect::<Vec<_>>();
    tokio::time::sleep(AT_TARGET_TIME).await;
    deployment.others.truncate(1);
    let mut lost_charges = 0;
    for (number, (id, task)) in ids.iter().zip(tasks).enumerate() {
        let status = task.await.expect("the task ends");
        if number % 2 == 0 {
            assert_eq!(status, 200, "the read {id}");
        } else {
            assert!([200, 502].contains(&status), "the charge {id}: {status}");
            lost_charges += u32::from(status == 502);
            assert_eq!(deployment.executions(id), 1, "the charge {id}");
        }
    }
    assert!(lost_charges > 0, "no charge was at an instance that has ended");
}

// Guards against work that goes on although its caller has left.
#[tokio::test]
async fn a_target_is_told_that_the_caller_of_a_forwarded_request_has_left() {
    let deployment = CutOffDeployment::start(1).await;
    deployment.cut_off(LinkFault::Blackhole).await;
    set_service_time(&deployment.workers, Duration::from_secs(5));
    let abandoned = || deployment.workers.iter().map(WorkerStandIn::abandoned_count).sum::<u64>();
    let abandoned_before = abandoned();
    let caller = Caller::default();
    let sent = deployment.deployment.send_from(
        &caller,
        deployment.cut_off.callers,
        (Method::GET, "/read/x"),
        ("leaves", 4_000),
        Bytes::new(),
    );
    let left = tokio::time::timeout(AT_TARGET_TIME, sent).await;
    assert!(left.is_err(), "the caller leaves before the response");
    tokio::time::sleep(Duration::from_millis(500)).await;
    // Two with a hedge.
    let executions = deployment.executions("leaves") as u64;
    assert!(executions > 0);
    assert_eq!(abandoned() - abandoned_before, executions);
}

// Guards against forwarded requests that are cut off when the instance which has got them leaves.
#[tokio::test]
async fn an_instance_that_leaves_ends_the_requests_forwarded_to_it() {
    let deployment = CutOffDeployment::start(2).await;
    deployment.cut_off(LinkFault::Reset).await;
    set_service_time(&deployment.workers, Duration::from_millis(150));
    deployment.others[1].signal("TERM");
    // Over the whole grace period.
    assert_eq!(deployment.served(&deployment.cut_off, "leaving", 100).await, 100);
}

// Guards against requests that are forwarded to an instance which has stated that it leaves.
#[tokio::test]
async fn an_instance_that_leaves_gets_no_more_forwarded_requests() {
    let deployment = CutOffDeployment::start(2).await;
    deployment.cut_off(LinkFault::Reset).await;
    for worker in &deployment.workers {
        // Requests that fail are all logged.
        worker.set_mode(WorkerMode::Fail);
    }
    deployment.served(&deployment.cut_off, "before", 30).await;
    let has_got = |prefix: &str| deployment.others[1].logged(&["request-admitted", &format!("\"{prefix}")]);
    assert!(has_got("before-"), "it gets some before");
    deployment.others[1].signal("TERM");
    tokio::time::sleep(AT_TARGET_TIME).await;
    deployment.served(&deployment.cut_off, "after", 30).await;
    assert!(!has_got("after-"));
}

// Guards against an instance that goes on forwarding after its path is back, or blames targets for the cut.
#[tokio::test]
async fn an_instance_whose_path_is_back_sends_its_requests_itself() {
    for fault in [LinkFault::Blackhole, LinkFault::Reset] {
        let deployment = CutOffDeployment::start(1).await;
        deployment.served(&deployment.cut_off, "before", 10).await;
        deployment.cut_off(fault).await;
        deployment.set_fault(LinkFault::None);
        let healed = Instant::now();
        let open = || async { deployment.cut_off.logged(&["event=path-open"]) };
        deployment.deployment.wait_until("the path is open", open).await;
        assert!(healed.elapsed() < Duration::from_secs(1), "{fault:?}: {:?}", healed.elapsed());
        let forwarded = deployment.others[0].log().len();
        assert_eq!(deployment.served(&deployment.cut_off, "after", 20).await, 20, "{fault:?}");
        let log = deployment.others[0].log();
        let later = log[forwarded..].iter().find(|line| line.contains("\"after-"));
        assert_eq!(later, None, "{fault:?}");
    }
}

/// Returns the header of a request that another instance forwards to the instance `to`.
fn forward_header(to: &str, routing_version: u64) -> ForwardHeader {
    ForwardHeader {
        from: "another".parse().expect("a name"),
        to: to.parse().expect("a name"),
        caller: [127, 0, 0, 1].into(),
        service: "plan".parse().expect("a name"),
        routing_version,
        elapsed_ms: 0,
        sends: 0,
        is_counted: true,
    }
}

/// Sends a charge to an address for forwarded requests.
async fn send_forwarded(to: SocketAddr, header: &ForwardHeader, id: &str) -> CompleteResponse {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{to}/charge/x"))
        .header("Host", HOST)
        .header("X-Attempt-Id", id)
        .header("X-Request-Deadline-Ms", 1_500)
        .header(FORWARD, header.encode().expect("a header"))
        .body(Full::<Bytes>::default());
    Caller::default().send(request.expect("a request")).await.expect("a response")
}

// Guards against loops: an instance that gets a forwarded request may have lost its path by then, too.
#[tokio::test]
async fn a_forwarded_request_is_not_forwarded_again() {
    let deployment = CutOffDeployment::start(1).await;
    deployment.cut_off(LinkFault::Blackhole).await;
    let to = deployment.cut_off.forwards;
    let started = Instant::now();
    let refused = send_forwarded(to, &forward_header("cut-off", 0), "again").await;
    assert_eq!(
        (refused.status, &refused.headers["arbutusshelf-cause"]),
        (503, &"no-path".parse().expect("text"))
    );
    assert_eq!(refused.headers["arbutusshelf-forwarded-to"], "cut-off");
    assert!(started.elapsed() < AT_ONCE, "{:?}", started.elapsed());
    let refused = send_forwarded(to, &forward_header("before", 0), "misaddressed").await;
    assert_eq!(refused.status, 400, "the address belonged to another instance before");
    assert_eq!((deployment.executions("again"), deployment.executions("misaddressed")), (0, 0));
}

// Guards against a caller who sees an older routing table than before, because its request is forwarded to an instance
// that has not heard of the present one.
#[tokio::test]
async fn an_instance_with_an_older_routing_table_does_not_handle_a_forwarded_request() {
    let deployment = CutOffDeployment::start(1).await;
    let to = deployment.others[0].forwards;
    // The table of the deployment has version 3.
    assert_eq!(send_forwarded(to, &forward_header("other-0", 3), "same").await.status, 200);
    let refused = send_forwarded(to, &forward_header("other-0", 4), "later").await;
    assert_eq!(
        (refused.status, &refused.headers["arbutusshelf-cause"]),
        (503, &"no-plan".parse().expect("text"))
    );
    assert_eq!(deployment.executions("later"), 0);
}

// Guards against callers that are held beyond their deadline by a forwarded response under a stated length, when the
// instance that passes it on falls silent.
#[tokio::test]
async fn a_forwarded_response_that_stops_midway_ends_at_the_deadline() {
    let deployment = CutOffDeployment::start(1).await;
    let target =
        EndlessTarget::start("i-endless", EndlessPart::BodyWithLength).await.expect("the target starts");
    let relay = Relay::start(target.address).await.expect("the relay starts");
    relay.set_fault_from(IpAddr::from(CUT_OFF_SOURCE), LinkFault::Blackhole);
    let store = &deployment.deployment.store;
    store.put_json("servers", &target.id, &entry(relay.address, "plan", "ready"));
    deployment.cut_off(LinkFault::Blackhole).await;
    for worker in &deployment.workers {
        store.remove("servers", &worker.id);
        let removed = || async {
            let words = ["event=target-removed", &format!("target={}", worker.id)];
            deployment.others[0].logged(&words) && deployment.cut_off.logged(&words)
        };
        deployment.deployment.wait_until("the target is removed", removed).await;
    }
    let (sent_at, deadline_ms) = (Instant::now(), 800);
    let to = deployment.cut_off.callers;
    let read = deployment.deployment.send_within(to, Method::GET, "/read/x", "a1", deadline_ms);
    let pause = async {
        tokio::time::sleep(AT_TARGET_TIME).await;
        assert!(target.request_count() > 0, "the request is at the target");
        deployment.others[0].signal("STOP");
    };
    let (answer, ()) = tokio::join!(read, pause);
    let took = sent_at.elapsed();
    deployment.others[0].signal("CONT");
    assert!(answer.is_err(), "a body that breaks off must not look complete: {answer:?}");
    assert!(took < Duration::from_millis(deadline_ms + 500), "it ended after {took:?}");
}
