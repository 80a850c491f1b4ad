//! Targets that state the rate of requests that they take from all instances together.

mod gateway_env;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use arbutusshelf_bench::worker::WorkerStandIn;
use futures::future::join_all;
use gateway_env::TestDeployment;
use hyper::Method;
use serde_json::json;

/// Time after its first statement from which a target's limit holds, as the users state it (`contactS`).
const LIMIT_APPLY: Duration = Duration::from_secs(3);

/// Window in which the users count what a target with a limit gets.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Pause between two requests to one instance.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// Sends requests to one instance, one after the other, for a time.
async fn send_steadily(deployment: &TestDeployment, to: SocketAddr, number: usize, length: Duration) {
    let until = Instant::now() + length;
    let mut sent = 0;
    while Instant::now() < until {
        let id = format!("g{number}-{sent}");
        let (method, path) =
            if sent % 3 == 0 { (Method::POST, "/charge/x") } else { (Method::GET, "/read/x") };
        deployment.send(to, method, path, &id).await.expect("an answer");
        sent += 1;
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
}

/// Returns the most requests and probes that a worker got in any window that begins after `from`.
fn busiest_window(worker: &WorkerStandIn, from: Instant) -> usize {
    let times = worker.arrival_times().into_iter().filter(|at| *at >= from).collect::<Vec<_>>();
    let in_window =
        |start: &Instant| times.iter().filter(|at| *at >= start && **at < *start + LIMIT_WINDOW).count();
    times.iter().map(in_window).max().unwrap_or(0)
}

/// An instance that sends a target one request in a minute would learn that late of its limit.
#[tokio::test]
async fn a_limit_and_its_end_that_one_instance_hears_are_known_to_all() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    let instances = deployment.start_instances(4).await;
    for (limit, words) in [(Some(40.0), "limit_per_s=40"), (None, "limit_per_s=none")] {
        worker.set_rate_limit_per_s(limit);
        let to = instances[1].callers;
        // The only permits are those of this instance, so not each request gets through.
        for number in 0..100 {
            deployment
                .send(to, Method::POST, "/charge/x", &format!("{words}-{number}"))
                .await
                .expect("an answer");
            if instances[1].logged(&["event=rate-limit", words, "source=response"]) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        for instance in [&instances[0], &instances[2], &instances[3]] {
            deployment
                .wait_until("another instance knows it", || async {
                    instance.logged(&["event=rate-limit", "target=i-1", words, "source=instance"])
                })
                .await;
        }
    }
}

/// Guards against requests that wait, although no target takes one before they are given up.
#[tokio::test]
async fn a_request_that_no_limit_has_room_for_is_refused_at_once() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    let instances = deployment.start_instances(1).await;
    worker.set_rate_limit_per_s(Some(0.2));
    for number in 0..20 {
        let id = format!("a{number}");
        let sent_at = Instant::now();
        let answer = deployment.send(instances[0].callers, Method::POST, "/charge/x", &id).await;
        let (answer, took) = (answer.expect("an answer"), sent_at.elapsed());
        if answer.status != 200 {
            assert_eq!((answer.status, answer.outcome()), (429, "not-run"));
            assert!(answer.headers.contains_key("retry-after"));
            // A tenth of the route's timeout: the request was not kept waiting.
            assert!(took < Duration::from_millis(200), "{took:?}");
        }
    }
    assert!(worker.executed_requests().len() <= 2, "{}", worker.executed_requests().len());
    assert_eq!(worker.refused_requests().len(), 0);
}

/// Guards against a limit that no instance keeps, or that each keeps by itself: eight instances with a limit of
/// one request a second for all of them together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_gets_no_more_than_it_takes_from_all_instances_together() {
    let deployment = TestDeployment::start().await;
    let (limited, free) = (deployment.worker("i-1").await, deployment.worker("i-2").await);
    for worker in [&limited, &free] {
        // Eight callers need more than the three slots of one target.
        worker.set_service_time(Duration::from_millis(100));
    }
    let instances = deployment.start_instances(8).await;
    let limit_per_s = 1.0;
    limited.set_rate_limit_per_s(Some(limit_per_s));
    let stated_at = Instant::now();
    let length = LIMIT_APPLY + LIMIT_WINDOW * 2;
    let loads = instances.iter().enumerate();
    join_all(loads.map(|(number, instance)| send_steadily(&deployment, instance.callers, number, length)))
        .await;
    let allowed = (1.5 * limit_per_s * LIMIT_WINDOW.as_secs_f64() + 5.0) as usize;
    let from = stated_at + LIMIT_APPLY;
    let most = busiest_window(&limited, from);
    assert!(most <= allowed, "{most} requests in {LIMIT_WINDOW:?}, {allowed} allowed");
    let executed = limited.executed_requests();
    assert!(executed.iter().any(|request| request.received_at > from), "the limited target got nothing");
    assert!(free.executed_requests().len() > 100, "the other target took the work");
}

/// Without these lines and figures, nobody can tell whether an instance knows a target's limit.
#[tokio::test]
async fn a_stated_limit_and_its_end_are_logged_and_counted() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    worker.set_rate_limit_per_s(Some(2.5));
    deployment.send(gateway.callers, Method::POST, "/charge/x", "a1").await.expect("an answer");
    deployment
        .wait_until("the limit is logged", || async {
            gateway.logged(&["event=rate-limit", "target=i-1", "limit_per_s=2.5", "was=none"])
        })
        .await;
    let metrics = deployment.caller.get(gateway.metrics, "/metrics").await.expect("metrics");
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(text.contains("arbutusshelf_gateway_targets_limited 1"), "{text}");
    worker.set_rate_limit_per_s(None);
    let mut number = 1;
    while !gateway.logged(&["event=rate-limit", "limit_per_s=none", "was=2.5"]) {
        number += 1;
        assert!(number < 500, "the end of the limit was not noticed");
        deployment
            .send(gateway.callers, Method::POST, "/charge/x", &format!("a{number}"))
            .await
            .expect("an answer");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let metrics = deployment.caller.get(gateway.metrics, "/metrics").await.expect("metrics");
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(text.contains("arbutusshelf_gateway_targets_limited 0"), "{text}");
}
