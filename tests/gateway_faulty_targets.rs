//! Targets whose responses can't be trusted, and entries in the store that are none of a target.

mod gateway_env;

use std::time::Duration;

use arbutusshelf_bench::worker::{WorkerMode, WorkerStandIn};
use gateway_env::{GatewayProcess, TestDeployment, entry};
use hyper::Method;
use serde_json::{Value, json};

/// Longest head of a response that the stand-in sends, in bytes.
const MAX_HEAD_BYTES: usize = 220;

/// Requests at least, and at most until the target has repeated a refusal: it does so only for the second request on a
/// connection that was not probed before the first one.
const MIN_REQUESTS: usize = 20;
const MAX_REQUESTS: usize = 200;

/// Sends a charge, and checks that it was executed once at most, and not at all if its caller is told so.
async fn send_charge(
    deployment: &TestDeployment,
    gateway: &GatewayProcess,
    worker: &WorkerStandIn,
    number: usize,
) {
    let id = format!("a{number}");
    let response = deployment.send(gateway.callers, Method::POST, "/charge/x", &id).await;
    let executed = worker.executed_requests();
    let executions = executed.iter().filter(|r| r.header("x-attempt-id") == Some(&id)).count();
    assert!(executions <= 1, "{id} was executed {executions} times");
    let status = response.map(|r| r.status).unwrap_or_default();
    assert!(executions == 0 || ![408, 421, 429, 503].contains(&status), "{id}: {status}");
}

// Guards against a refusal that belongs to an earlier request on the connection: the caller would be told that its
// request was not executed although it was.
#[tokio::test]
async fn a_refusal_that_is_sent_once_more_is_not_taken_for_that_of_the_next_request() {
    for with_id in [true, false] {
        let deployment = TestDeployment::start().await;
        let worker = deployment.worker("i-1").await;
        worker.set_mode(WorkerMode::RepeatRefusal { with_id });
        let gateway = deployment.gateway("one", &json!({})).await;
        for number in 0..MAX_REQUESTS {
            send_charge(&deployment, &gateway, &worker, number).await;
            if number >= MIN_REQUESTS && !worker.executed_requests().is_empty() {
                break;
            }
        }
        assert!(!worker.executed_requests().is_empty(), "no refusal was repeated");
    }
}

// Guards against a charge that is answered with the 503 of a health probe, which its target sends twice: the caller would
// be told that the charge was not executed although it was.
#[tokio::test]
async fn the_answer_to_a_probe_is_not_taken_for_that_of_the_next_request() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    worker.set_mode(WorkerMode::RepeatProbe);
    let gateway = deployment.gateway("one", &json!({})).await;
    for number in 0..20 {
        send_charge(&deployment, &gateway, &worker, number).await;
    }
    assert!(!worker.executed_requests().is_empty(), "no answer was repeated");
}

// Guards against a success with an empty or short body, when the target has closed the connection in the head of its
// response.
#[tokio::test]
async fn a_response_that_ends_in_its_head_is_no_success() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    for bytes in (0..MAX_HEAD_BYTES).step_by(3) {
        worker.set_mode(WorkerMode::CutHead(bytes));
        let id = format!("a{bytes}");
        let response = deployment.send(gateway.callers, Method::POST, "/charge/x", &id).await;
        let status = response.map(|r| r.status).unwrap_or_default();
        assert!(status >= 400, "{status} after {bytes} bytes of the head");
    }
}

/// Returns values that no target writes.
fn odd_values() -> Vec<Vec<u8>> {
    let valid = entry(([127, 0, 0, 1], 9).into(), "plan", "ready");
    let with = |path: [&str; 2], value: Value| {
        let mut odd = valid.clone();
        if path[1].is_empty() {
            odd[path[0]] = value;
        } else {
            odd[path[0]][path[1]] = value;
        }
        odd.to_string()
    };
    let number = |text: &str| valid.to_string().replace("1780000000000", text);
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let nested_field = valid.to_string().replacen('{', &format!("{{\"extra\":{},", nested(20_000)), 1);
    let texts = [
        nested(20_000),
        nested_field,
        with(["address", ""], json!("127.0.0.1:99999")),
        with(["address", ""], json!(["127.0.0.1", 80])),
        with(["address", ""], json!("127.0.0.1:0")),
        with(["info", "slots"], json!(-1)),
        with(["info", "slots"], json!(u32::MAX)),
        with(["info", "slots"], json!(1e300)),
        with(["info", "service"], json!(null)),
        with(["info", "service"], json!("x".repeat(60_000))),
        with(["info", ""], json!([])),
        with(["status", "state"], json!("retired")),
        with(["status", "warmupLeftS"], json!(1e19)),
        with(["status", "warmupLeftS"], json!(1e300)),
        with(["status", "warmupLeftS"], json!(-5)),
        with(["status", "seq"], json!(u64::MAX)),
        number("18446744073709551615"),
        number("18446744073709551616"),
        number("1e999"),
        String::new(),
        "null".to_owned(),
    ];
    let mut values = texts.map(String::into_bytes).to_vec();
    values.push(vec![0xff, 0xfe, 0x00, 0x80]);
    values
}

// Guards against instances that end, or no longer follow the table, because another writer has left an odd entry among
// those of the targets.
#[tokio::test]
async fn odd_entries_stop_no_instance_and_hide_no_target() {
    let deployment = TestDeployment::start().await;
    let mut workers = vec![deployment.worker("i-first").await];
    let reader = deployment.gateway("reader", &json!({})).await;
    let follower = deployment.gateway("follower", &json!({"peer_seeds": [reader.peers]})).await;
    for (number, value) in odd_values().into_iter().enumerate() {
        deployment.store.put_bytes("servers", &format!("odd-{number}"), &value);
        deployment.store.put_bytes("servers", &format!("odd key {number}\u{1}\u{fc}"), &value);
        let later = deployment.worker(&format!("i-later-{number}")).await;
        for instance in [&reader, &follower] {
            let target = format!("target={}", later.id);
            let added = || async { instance.logged(&["event=target-added", &target]) };
            deployment.wait_until(&format!("the target after odd entry {number} is known"), added).await;
        }
        workers.push(later);
    }
    // Started while all of them are there.
    let late = deployment.gateway("late", &json!({"peer_seeds": []})).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    for instance in [&reader, &follower, &late] {
        let mut served = 0;
        for number in 0..20 {
            let id = format!("a{number}");
            let response = deployment.send(instance.callers, Method::GET, "/read/x", &id).await;
            served += usize::from(response.is_ok_and(|r| r.status == 200));
        }
        assert!(served >= 18, "{served} of 20 served");
    }
}
