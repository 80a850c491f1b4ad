//! Connections to targets: their limit, detection of dead ones, and no reuse before a response is complete.

use std::time::{Duration, Instant};

use arbutusshelf::proxy::{
    connection::{Connections, ExchangeResult, ReusePolicy, connection_limit},
    upload::RequestBody,
};
use arbutusshelf_bench::{
    client::Caller,
    http::ConnectionLimits,
    scripted::{ScriptedResponse, ScriptedTarget},
    target::generate_content,
    test_instance::{SERVICE, TestInstance, TestInstanceOptions, start_instance, wait_until},
};
use bytes::Bytes;
use futures::future::join_all;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};

const DEADLINE_MS: u64 = 2_000;

async fn start_test_instance(targets: usize) -> TestInstance {
    let settings = serde_json::json!({"progress_timeout_ms": 400});
    let options =
        TestInstanceOptions { targets, settings, deadline_ms: DEADLINE_MS, ..TestInstanceOptions::default() };
    TestInstance::start(options).await.expect("the instance starts")
}

#[test]
fn the_connection_limit_is_a_share_and_at_least_one() {
    assert_eq!(connection_limit(200, 18), 11);
    assert_eq!(connection_limit(250, 18), 13);
    assert_eq!(connection_limit(3, 18), 1);
    assert_eq!(connection_limit(200, 0), 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_connection_limit_is_kept_and_waited_for() {
    let limits = ConnectionLimits { max_connections: 3, setup_delay: Duration::from_millis(1) };
    let options = TestInstanceOptions {
        targets: 1,
        limits,
        max_connections: 7,
        max_instances: 2,
        ..TestInstanceOptions::default()
    };
    let instance = TestInstance::start(options).await.expect("the instance starts");
    let caller = Caller::default();
    let path = format!("/{SERVICE}/x?work_us=5000");
    let calls = (0..24).map(|_| caller.get(instance.callers(), &path));
    for response in join_all(calls).await {
        assert_eq!(response.expect("a response").outcome(), "ran");
    }
    assert_eq!(instance.targets[0].server.connections.refused(), 0);
    assert!(instance.targets[0].server.connections.open() <= 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_frozen_while_idle_is_retired() {
    let instance = start_test_instance(1).await;
    let (caller, path) = (Caller::default(), format!("/{SERVICE}/x"));
    caller.get(instance.callers(), &path).await.expect("a response");
    instance.targets[0].server.connections.freeze_open();
    let started = Instant::now();
    let response = caller.get(instance.callers(), &path).await.expect("a response");
    assert_eq!((response.status, response.outcome()), (200, "ran"));
    assert!(started.elapsed() < Duration::from_millis(DEADLINE_MS) / 2, "{:?}", started.elapsed());
    assert_eq!(instance.targets[0].server.connections.accepted(), 2);
    wait_until(|| instance.kernel.connections.open_count(instance.targets[0].server.address) == 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_answer_on_a_reused_connection_is_not_lost() {
    let instance = start_test_instance(1).await;
    let caller = Caller::default();
    caller.get(instance.callers(), &format!("/{SERVICE}/x")).await.expect("a response");
    let slow = format!("/{SERVICE}/x?work_us=1200000");
    let response = caller.get(instance.callers(), &slow).await.expect("a response");
    assert_eq!((response.status, response.outcome()), (200, "ran"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_sent_once_takes_only_a_connection_lately_proven_alive() {
    let instance = start_test_instance(1).await;
    let (caller, path) = (Caller::default(), format!("/{SERVICE}/x"));
    caller.get(instance.callers(), &path).await.expect("a response");
    instance.targets[0].server.connections.freeze_open();
    // Longer than the time for which the last response shows that its connection is alive.
    tokio::time::sleep(Duration::from_millis(60)).await;
    for kind in ["x", "once"] {
        let path = format!("/{SERVICE}/{kind}");
        let response =
            caller.call(Method::POST, instance.callers(), &path, Some("key-1"), Bytes::new()).await;
        assert_eq!(response.expect("a response").outcome(), "ran", "{kind}");
    }
    assert_eq!(instance.executed_count(), 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_frozen_in_mid_answer_is_replaced() {
    let instance = start_test_instance(2).await;
    instance.targets.iter().for_each(|t| t.set_behaviour(|b| b.stall_at = Some(200_000)));
    let path = format!("/{SERVICE}/x");
    let caller = Caller::default();
    let started =
        caller.start_get(instance.callers(), &format!("{path}?bytes=600000")).await.expect("a response head");
    instance.targets.iter().for_each(|t| t.server.connections.freeze_open());
    instance.targets.iter().for_each(|t| t.set_behaviour(|b| b.stall_at = None));
    let response = started.read_to_end().await.expect("a complete response");
    assert!(response.body == generate_content(&path, 600_000), "the resumed response differs");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_frozen_in_mid_upload_ends_as_unknown() {
    let instance = start_test_instance(1).await;
    instance.targets[0].set_behaviour(|b| b.service_us = 100_000);
    let address = instance.callers();
    // Larger than the buffers of loopback sockets.
    let body = Bytes::from(vec![7; 32 << 20]);
    let path = format!("/{SERVICE}/x");
    let upload =
        tokio::spawn(async move { Caller::default().call(Method::POST, address, &path, None, body).await });
    wait_until(|| instance.targets[0].executed_count() == 1).await;
    instance.targets[0].server.connections.freeze_open();
    let response = upload.await.expect("the caller does not panic").expect("a response");
    assert_eq!((response.status, response.outcome()), (502, "unknown"));
    wait_until(|| instance.kernel.connections.open_count(instance.targets[0].server.address) == 0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_after_an_answer_reach_no_other_caller() {
    let response = |number: usize| {
        let body = format!("answer {number}");
        let complete =
            |body: &str| format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        ScriptedResponse { bytes: Bytes::from(complete(&body) + &complete("poison")), close: false }
    };
    let target = ScriptedTarget::start(response).await.expect("loopback has a free port");
    let (kernel, _task) = start_instance(&TestInstanceOptions::default(), &[target.address])
        .await
        .expect("the instance starts");
    let (caller, path) = (Caller::default(), format!("/{SERVICE}/x"));
    for number in 0..50 {
        let response = caller.get(kernel.config.callers_address, &path).await.expect("a response");
        assert_eq!(response.body, Bytes::from(format!("answer {number}")));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_whose_caller_left_carries_no_other_request() {
    let instance = start_test_instance(1).await;
    let caller = Caller::default();
    for number in 0..10 {
        let (address, path) = (instance.callers(), format!("/{SERVICE}/left-{number}"));
        let request = format!("{path}?work_us=3000&bytes=100000");
        let disconnecting = caller.clone();
        let abandoned = tokio::spawn(async move { disconnecting.get(address, &request).await });
        wait_until(|| instance.targets[0].recent_requests().iter().any(|r| r.path.starts_with(&path))).await;
        abandoned.abort();
        let path = format!("/{SERVICE}/mine-{number}");
        let response = caller.get(address, &format!("{path}?bytes=20000")).await.expect("a response");
        assert!(response.body == generate_content(&path, 20_000), "the response belongs to another caller");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_past_its_deadline_is_cancelled_at_the_target() {
    let instance = start_test_instance(1).await;
    let path = format!("/{SERVICE}/x?work_us=20000000");
    let response = Caller::default().get(instance.callers(), &path).await.expect("a response");
    assert_eq!((response.status, response.outcome(), response.cause()), (504, "unknown", "answer-timeout"));
    wait_until(|| instance.targets[0].cancelled_count() == 1 && instance.targets[0].in_flight() == 0).await;
}

/// Guards against a request on a connection that the target has given up without a sign: it states after which idle
/// time it does.
#[tokio::test]
async fn a_connection_is_not_reused_after_the_idle_time_that_the_target_states() {
    let response = |keep_alive: &'static str| {
        let bytes = format!("HTTP/1.1 200 OK\r\n{keep_alive}Content-Length: 0\r\n\r\n");
        ScriptedTarget::start(move |_| ScriptedResponse { bytes: bytes.clone().into(), close: false })
    };
    for (keep_alive, is_reused_later) in [("", true), ("Keep-Alive: timeout=1, max=100\r\n", false)] {
        let target = response(keep_alive).await.expect("loopback has a free port");
        let connections = Connections::default();
        let exchange = async || {
            let checkout = connections.checkout(target.address, 4, ReusePolicy::AnyIdle);
            let mut connection = checkout.await.expect("a connection");
            let is_reused = connection.is_reused();
            let request =
                Request::get("/x").header("Host", "target").body(RequestBody::Buffered(Full::default()));
            let ExchangeResult::Answered(answer) = connection.send(request.expect("a request")).await else {
                panic!("no answer")
            };
            answer.into_body().collect().await.expect("a body");
            connection.release();
            is_reused
        };
        assert!(!exchange().await);
        assert!(exchange().await, "within the time");
        tokio::time::sleep(Duration::from_millis(1_050)).await;
        assert_eq!(exchange().await, is_reused_later, "{keep_alive:?}");
    }
}
