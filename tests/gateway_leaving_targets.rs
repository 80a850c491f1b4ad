//! Targets that state in their responses that they leave, or that they want a pause.

mod gateway_env;

use std::time::{Duration, Instant};

use arbutusshelf_bench::worker::{WorkerMode, WorkerStandIn};
use futures::future::join_all;
use gateway_env::{GatewayProcess, TestDeployment, entry};
use hyper::Method;
use serde_json::json;

/// Time within which what a response states is in force.
const AT_ONCE: Duration = Duration::from_millis(100);

/// Pause that targets ask for in these tests.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Sends reads to a gateway, 50 a second, for a time. Returns how many were served.
async fn send_reads(deployment: &TestDeployment, gateway: &GatewayProcess, time: Duration) -> usize {
    let until = Instant::now() + time;
    let mut served = 0;
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("a{number}");
        let response = deployment.send(gateway.callers, Method::GET, "/read/x", &id).await;
        served += usize::from(response.is_ok_and(|r| r.status == 200));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    served
}

fn requests_since(worker: &WorkerStandIn, since: Instant) -> usize {
    let (executed, refused) = (worker.executed_requests(), worker.refused_requests());
    executed.iter().chain(&refused).filter(|r| r.received_at >= since).count()
}

fn register(deployment: &TestDeployment, worker: &WorkerStandIn, sequence: u64, born: u64) {
    let mut row = entry(worker.address, "plan", "ready");
    row["status"]["seq"] = json!(sequence);
    row["born"] = json!(born);
    deployment.store.put_json("servers", &worker.id, &row);
}

// Guards against requests to a target that has stated in a response of any kind that it leaves, whatever its entry says
// later.
#[tokio::test]
async fn a_target_that_states_that_it_leaves_gets_no_request_any_more() {
    for mode in [WorkerMode::Serve, WorkerMode::Fail, WorkerMode::NotFound, WorkerMode::Shed] {
        let deployment = TestDeployment::start().await;
        let (leaving, _stays) = (deployment.worker("i-leaves").await, deployment.worker("i-stays").await);
        let gateway = deployment.gateway("one", &json!({})).await;
        send_reads(&deployment, &gateway, Duration::from_millis(500)).await;
        leaving.set_mode(mode);
        leaving.set_leaving(Some("1"));
        send_reads(&deployment, &gateway, Duration::from_millis(500)).await;
        let told = Instant::now();
        // Another entry of the same run, and one that lapses and returns.
        register(&deployment, &leaving, 2, 1_780_000_000_000);
        send_reads(&deployment, &gateway, Duration::from_millis(500)).await;
        deployment.store.remove("servers", &leaving.id);
        tokio::time::sleep(Duration::from_millis(400)).await;
        register(&deployment, &leaving, 3, 1_780_000_000_000);
        send_reads(&deployment, &gateway, Duration::from_secs(1)).await;
        assert_eq!(requests_since(&leaving, told), 0, "{mode:?}");
        // Another run under the same name and address.
        leaving.set_leaving(None);
        leaving.set_mode(WorkerMode::Serve);
        register(&deployment, &leaving, 1, 1_790_000_000_000);
        send_reads(&deployment, &gateway, Duration::from_secs(1)).await;
        assert!(requests_since(&leaving, told) > 0, "{mode:?}: the new run is used");
    }
}

// Guards against a target that is taken as leaving for other words, and against the opposite.
#[tokio::test]
async fn only_the_stated_value_means_that_a_target_leaves() {
    let values = ["0", "yes", "", "true", "11", "1, 1"];
    for (value, leaves) in values.map(|value| (value, false)).into_iter().chain([(" 1 ", true)]) {
        let deployment = TestDeployment::start().await;
        let worker = deployment.worker("i-1").await;
        let gateway = deployment.gateway("one", &json!({})).await;
        worker.set_leaving(Some(value));
        let first = deployment.send(gateway.callers, Method::GET, "/read/x", "a1").await;
        let first_status = first.expect("a response").status;
        let second = deployment.send(gateway.callers, Method::GET, "/read/x", "a2").await;
        let statuses = (first_status, second.expect("a response").status);
        assert_eq!(statuses.1 == 200, !leaves, "{value:?}: {statuses:?}");
    }
}

// Guards against requests and probes to a target that has asked for a pause.
#[tokio::test]
async fn a_target_that_asks_for_a_pause_gets_nothing_until_it_ends() {
    let deployment = TestDeployment::start().await;
    let paused = deployment.worker("i-pauses").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    paused.set_mode(WorkerMode::Shed);
    paused.set_retry_after(Some("1.5"));
    let _refused = deployment.send(gateway.callers, Method::GET, "/read/x", "first").await;
    let _other = deployment.worker("i-other").await;
    let added = || async { gateway.logged(&["event=target-added", "target=i-other"]) };
    deployment.wait_until("the other target is known", added).await;
    let served = send_reads(&deployment, &gateway, PAUSE * 3).await;
    assert!(served > 100, "{served} served by the other one");
    let refusals = paused.refused_requests().iter().map(|r| r.received_at).collect::<Vec<_>>();
    let arrivals = paused.arrival_times();
    for refused_at in &refusals {
        let pause = *refused_at + AT_ONCE..*refused_at + PAUSE;
        let during = arrivals.iter().filter(|at| pause.contains(at)).collect::<Vec<_>>();
        let log = gateway.log().into_iter().filter(|line| line.contains("target-paused")).collect::<Vec<_>>();
        assert!(during.is_empty(), "{during:?} after {refused_at:?}, refusals {refusals:?}, {log:#?}");
    }
    let is_tried_again = arrivals.iter().any(|at| *at > refusals[0] + PAUSE);
    assert!(is_tried_again, "its pauses end");
}

// Guards against callers who wait for a target that can't take their request in time, and against those who are refused
// although it can.
#[tokio::test]
async fn calls_wait_for_the_end_of_a_pause_only_if_that_helps() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    worker.set_mode(WorkerMode::Shed);
    worker.set_retry_after(Some("0.6"));
    let send = |id: &'static str, deadline_ms| {
        deployment.send_within(gateway.callers, Method::POST, "/charge/x", id, deadline_ms)
    };
    let _refused = send("a1", 1_900).await;
    worker.set_mode(WorkerMode::Serve);
    let started = Instant::now();
    let refused = send("a2", 500).await.expect("a response");
    assert!([429, 503].contains(&refused.status), "{}", refused.status);
    assert!(started.elapsed() < AT_ONCE, "{:?}", started.elapsed());
    let after_s = refused.headers["retry-after"].to_str().ok().and_then(|v| v.parse::<f64>().ok());
    assert!(after_s.is_some_and(|s| (0.3..=1.0).contains(&s)), "{after_s:?}");
    assert_eq!(send("a3", 1_900).await.expect("a response").status, 200, "it waits for the end of the pause");
}

// Guards against pauses without end, and against instances that end, because of values that are none.
#[tokio::test]
async fn other_values_ask_for_no_pause() {
    for value in ["0", "-5", "nan", "inf", "1e400", "soon", "", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        let deployment = TestDeployment::start().await;
        let worker = deployment.worker("i-1").await;
        let gateway = deployment.gateway("one", &json!({})).await;
        worker.set_mode(WorkerMode::Shed);
        worker.set_retry_after(Some(value));
        let _refused = deployment.send(gateway.callers, Method::GET, "/read/x", "a1").await;
        worker.set_mode(WorkerMode::Serve);
        let response = deployment.send(gateway.callers, Method::GET, "/read/x", "a2").await;
        assert_eq!(response.expect("a response").status, 200, "{value:?}");
    }
}

// Guards against pauses that are not noticed while many requests are in progress, some of them hedged.
#[tokio::test]
async fn pauses_hold_for_requests_in_progress_and_hedges() {
    let deployment = TestDeployment::start().await;
    let mut pausing = Vec::new();
    for number in 0..3 {
        pausing.push(deployment.worker(&format!("i-pauses-{number}")).await);
    }
    let other = deployment.worker("i-other").await;
    // Calls wait for it.
    other.set_service_time(Duration::from_millis(200));
    let gateway = deployment.gateway("one", &json!({})).await;
    for worker in &pausing {
        worker.set_mode(WorkerMode::Shed);
        worker.set_retry_after(Some("1.5"));
    }
    join_all((0..8).map(|_| send_reads(&deployment, &gateway, PAUSE * 3))).await;
    for worker in &pausing {
        let arrivals = worker.arrival_times();
        for refused in worker.refused_requests() {
            let pause = refused.received_at + AT_ONCE..refused.received_at + PAUSE;
            let during = arrivals.iter().filter(|at| pause.contains(at)).count();
            assert_eq!(during, 0, "requests and probes in the pause of {}", worker.id);
        }
    }
}
