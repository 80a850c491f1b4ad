//! Outcomes stated to callers: exactly one for each response, and no truncated body that looks complete.

use arbutusshelf_bench::{
    client::{Caller, CompleteResponse},
    scripted::{ScriptedResponse, ScriptedTarget},
    target::Framing,
    test_instance::{SERVICE, TestInstance, TestInstanceOptions, start_instance, wait_until},
};
use bytes::Bytes;
use hyper::Method;

const MEGABYTE: usize = 1 << 20;

async fn start_with_one_target() -> TestInstance {
    let options = TestInstanceOptions { targets: 1, ..TestInstanceOptions::default() };
    TestInstance::start(options).await.expect("the instance starts")
}

async fn call(instance: &TestInstance, method: Method, path: &str) -> CompleteResponse {
    let path = format!("/{SERVICE}/{path}");
    let response = Caller::default().call(method, instance.callers(), &path, None, Bytes::new()).await;
    response.expect("a response")
}

/// Sends a request that may run once, always with the same key.
async fn call_with_key(instance: &TestInstance) -> CompleteResponse {
    let path = format!("/{SERVICE}/once");
    let key = Some("key-1");
    let response = Caller::default().call(Method::POST, instance.callers(), &path, key, Bytes::new()).await;
    response.expect("a response")
}

/// Starts an instance whose only target gives all requests a response with this head and a body of `body_bytes`.
async fn start_with_response(head: String, body_bytes: usize) -> (TestInstance, ScriptedTarget) {
    let response = Bytes::from(head + &"x".repeat(body_bytes));
    let script = move |_| ScriptedResponse { bytes: response.clone(), close: false };
    let target = ScriptedTarget::start(script).await.expect("loopback has a free port");
    let started = start_instance(&TestInstanceOptions::default(), &[target.address]).await;
    let (kernel, task) = started.expect("the instance starts");
    (TestInstance { kernel, task, targets: Vec::new() }, target)
}

fn in_flight(instance: &TestInstance) -> u32 {
    let service = SERVICE.parse().expect("the name is valid");
    let pool = instance.kernel.pools.find(&service).expect("the pool exists");
    pool.inspect(|pool| pool.own_in_flight().sum())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_name_their_cause_and_outcome() {
    let instance = start_with_one_target().await;
    let caller = Caller::default();
    let address = instance.callers();
    let unknown = caller.get(address, "/nowhere/x").await.expect("a response");
    assert_eq!((unknown.status, unknown.outcome(), unknown.cause()), (404, "not-run", "unknown-service"));
    let without_key = call(&instance, Method::POST, "once").await;
    assert_eq!(
        (without_key.status, without_key.outcome(), without_key.cause()),
        (400, "not-run", "key-missing")
    );
    instance.targets[0].set_behaviour(|b| b.shed = true);
    let shed = call(&instance, Method::GET, "x").await;
    assert_eq!((shed.status, shed.outcome(), shed.cause()), (503, "not-run", "target-refused"));
    assert!(shed.headers.contains_key("retry-after"));
    assert_eq!(instance.executed_count(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failed_answer_is_passed_on_and_frees_slot_and_connection() {
    let instance = start_with_one_target().await;
    for _ in 0..3 {
        let failed = call(&instance, Method::POST, "x?status=507").await;
        assert_eq!((failed.status, failed.outcome()), (507, "ran"));
        assert_eq!(&failed.body[..], b"as asked");
    }
    assert_eq!(instance.executed_count(), 3);
    wait_until(|| in_flight(&instance) == 0).await;
    assert_eq!(instance.targets[0].server.connections.accepted(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_failed_answer_holds_its_slot_until_it_stalls_out() {
    let long_error = |_| {
        let head = format!("HTTP/1.1 500 E\r\ncontent-length: {MEGABYTE}\r\n\r\n");
        ScriptedResponse { bytes: Bytes::from(head + &"x".repeat(1_000)), close: false }
    };
    let target = ScriptedTarget::start(long_error).await.expect("loopback has a free port");
    let settings = serde_json::json!({"progress_timeout_ms": 400});
    let options = TestInstanceOptions { settings, ..TestInstanceOptions::default() };
    let (kernel, task) = start_instance(&options, &[target.address]).await.expect("the instance starts");
    let (address, path) = (kernel.config.callers_address, format!("/{SERVICE}/x"));
    let response = tokio::spawn(async move { Caller::default().get(address, &path).await });
    let instance = TestInstance { kernel, task, targets: Vec::new() };
    wait_until(|| target.requests() == 1 && in_flight(&instance) == 1).await;
    assert!(
        response.await.expect("the caller does not panic").is_err(),
        "a stalled body is not a complete response"
    );
    wait_until(|| in_flight(&instance) == 0).await;
    assert_eq!(instance.kernel.connections.open_count(target.address), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_is_not_idempotent_is_sent_once_and_told_unknown() {
    let close = |_| ScriptedResponse { bytes: Bytes::new(), close: true };
    let target = ScriptedTarget::start(close).await.expect("loopback has a free port");
    let other = ScriptedTarget::start(close).await.expect("loopback has a free port");
    let options = TestInstanceOptions::default();
    let addresses = [target.address, other.address];
    let (kernel, task) = start_instance(&options, &addresses).await.expect("the instance starts");
    let instance = TestInstance { kernel, task, targets: Vec::new() };
    let response = call(&instance, Method::POST, "x").await;
    assert_eq!((response.status, response.outcome(), response.cause()), (502, "unknown", "connection-lost"));
    assert_eq!(target.requests() + other.requests(), 1);
    let retried = call(&instance, Method::GET, "x").await;
    assert_eq!((retried.status, retried.outcome()), (502, "unknown"));
    assert!(target.requests() + other.requests() >= 3, "an idempotent request is sent again");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unreachable_target_means_not_run() {
    let closed = ScriptedTarget::start(|_| ScriptedResponse { bytes: Bytes::new(), close: true }).await;
    let address = closed.expect("loopback has a free port").address;
    let options = TestInstanceOptions::default();
    wait_until(|| std::net::TcpStream::connect(address).is_err()).await;
    let (kernel, task) = start_instance(&options, &[address]).await.expect("the instance starts");
    let instance = TestInstance { kernel, task, targets: Vec::new() };
    let refused = call(&instance, Method::POST, "x").await;
    assert_eq!((refused.status, refused.outcome(), refused.cause()), (503, "not-run", "unsent"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_whose_end_cannot_be_told_is_no_answer() {
    let response = Bytes::from_static(b"HTTP/1.1 200 OK\r\n\r\nperhaps all of it");
    let target =
        ScriptedTarget::start(move |_| ScriptedResponse { bytes: response.clone(), close: true }).await;
    let target = target.expect("loopback has a free port");
    let (kernel, task) = start_instance(&TestInstanceOptions::default(), &[target.address])
        .await
        .expect("the instance starts");
    let instance = TestInstance { kernel, task, targets: Vec::new() };
    let response = call(&instance, Method::GET, "x").await;
    assert_eq!((response.status, response.outcome()), (502, "unknown"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_headers_of_targets_and_callers_are_not_passed_on() {
    let response = Bytes::from_static(
        b"HTTP/1.1 200 OK\r\narbutusshelf-outcome: not-run\r\narbutusshelf-stored: 1\r\ncontent-length: 2\r\n\r\nok",
    );
    let target =
        ScriptedTarget::start(move |_| ScriptedResponse { bytes: response.clone(), close: false }).await;
    let target = target.expect("loopback has a free port");
    let (kernel, task) = start_instance(&TestInstanceOptions::default(), &[target.address])
        .await
        .expect("the instance starts");
    let instance = TestInstance { kernel, task, targets: Vec::new() };
    let response = call(&instance, Method::GET, "x").await;
    let outcomes = response.headers.get_all("arbutusshelf-outcome").iter().collect::<Vec<_>>();
    assert_eq!(outcomes, ["ran"]);
    assert!(!response.headers.contains_key("arbutusshelf-stored"));
}

// Guards against a request that is told as not run although its target has run it and answered with a status that other
// gateways take for a refusal: only the statement in the plan counts, 503 with `Retry-After`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_that_others_take_for_a_refusal_is_told_as_run() {
    for (status, field) in [(408, "x: y"), (421, "x: y"), (429, "retry-after: 1"), (503, "x: y")] {
        for bytes in [12, 400_000] {
            let head = format!("HTTP/1.1 {status} S\r\n{field}\r\ncontent-length: {bytes}\r\n\r\n");
            let (instance, target) = start_with_response(head, bytes).await;
            let what = format!("{status} with {bytes} bytes");
            let unstated = call(&instance, Method::POST, "x").await;
            assert_eq!((unstated.status, unstated.outcome()), (status, "ran"), "{what}");
            assert_eq!(target.requests(), 1, "{what}");
            for _ in 0..2 {
                let charge = call_with_key(&instance).await;
                assert_eq!((charge.status, charge.outcome()), (status, "ran"), "{what}");
                assert_eq!(target.requests(), 2, "the charge runs once: {what}");
            }
        }
    }
}

// Guards against a status that no final response has and that a caller gets as the target's answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_status_is_no_answer() {
    for status in ["000", "099", "101", "600", "999"] {
        for bytes in [12, 400_000] {
            let head = format!("HTTP/1.1 {status} S\r\ncontent-length: {bytes}\r\n\r\n");
            let (instance, target) = start_with_response(head, bytes).await;
            let what = format!("{status} with {bytes} bytes");
            for (method, requests) in [(Method::POST, 1..=1), (Method::GET, 2..=10)] {
                let requests_before = target.requests();
                let response = call(&instance, method.clone(), "x").await;
                assert_eq!((response.status, response.outcome()), (502, "unknown"), "{method} {what}");
                let sent = target.requests() - requests_before;
                assert!(requests.contains(&sent), "{method} {what}: sent {sent} times");
            }
            let charge = call_with_key(&instance).await;
            assert_eq!((charge.status, charge.outcome()), (502, "unknown"), "{what}");
        }
    }
}

/// A truncated body, short or long, must end with an error on every protocol and framing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_body_never_ends_cleanly() {
    let instance = start_with_one_target().await;
    for (caller, protocol) in [(Caller::default(), "HTTP/1.1"), (Caller::http2(), "HTTP/2")] {
        for framing in [Framing::Length, Framing::Chunked] {
            for size in [50_000, MEGABYTE] {
                instance.targets[0].set_behaviour(|b| {
                    b.framing = framing;
                    b.cut_at = Some(size as u64 / 2);
                    b.etag = arbutusshelf_bench::target::EtagKind::Absent;
                });
                let path = format!("/{SERVICE}/x?bytes={size}");
                let response = caller.get(instance.callers(), &path).await;
                assert!(response.is_err(), "{protocol} {framing:?} {size}: accepted as complete");
            }
        }
    }
    wait_until(|| in_flight(&instance) == 0).await;
    let open = instance.kernel.connections.open_count(instance.targets[0].server.address);
    assert_eq!(open, 0, "connections of truncated responses are closed");
}
