//! Targets that execute a charge and answer it with a status that promises the opposite.
//!
//! Callers send a charge again after 408, 421, 429 or 503. Only a target that states by a header, or by 421, that it has
//! not executed a charge may have it told so.

mod cut_off_env;
mod gateway_env;

use std::time::Duration;

use arbutusshelf::{
    decide::target_response::{Meaning, interpret},
    plan::RequestKind,
};
use arbutusshelf_bench::{
    client::CompleteResponse,
    relay::LinkFault,
    worker::{BodyEnd, StatedResponse, WorkerMode, WorkerStandIn},
};
use bytes::Bytes;
use cut_off_env::CutOffDeployment;
use gateway_env::{GatewayProcess, TestDeployment, executions};
use hyper::Method;
use serde_json::json;

/// Statuses by which a caller is told that its request was not executed.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Lengths of bodies: one that is buffered, and one that would be passed on while it arrives.
const BODY_BYTES: [usize; 2] = [12, 400_000];

/// Length of the body of a charge that can't be sent twice, since it is not buffered in full.
const LONG_CHARGE_BYTES: usize = 300_000;

/// Charges for each kind of response.
const CHARGES: usize = 2;

/// Returns all responses with which a target breaks the promise. 421 is a statement by itself.
fn responses() -> Vec<StatedResponse> {
    StatedResponse::all_forms(&[408, 429, 503], &BODY_BYTES)
}

/// Checks that a caller whose charge was executed is told that this is unknown.
fn assert_told_unknown(what: &str, response: &CompleteResponse) {
    assert_eq!(response.status, 502, "{what}");
    let headers = &response.headers;
    assert_eq!(headers["arbutusshelf-outcome"], "unknown", "{what}");
    assert_eq!(headers["arbutusshelf-cause"], "refusal-unconfirmed", "{what}");
    for absent in ["retry-after", "x-response-seal", "x-worker-load"] {
        assert!(!headers.contains_key(absent), "{what}: {absent}");
    }
}

/// Sends charges with bodies of `charge_bytes` to an instance while its targets execute them and refuse them, and checks
/// what is told of them.
async fn check_charges(
    deployment: &TestDeployment,
    instance: &GatewayProcess,
    workers: &[WorkerStandIn],
    charge_bytes: usize,
) {
    let mut wrong = Vec::new();
    for response in responses() {
        for worker in workers {
            worker.set_mode(WorkerMode::Respond(response));
        }
        for number in 0..CHARGES {
            let id = format!("{response:?}-{number}").replace([' ', '{', '}', ':', ','], "");
            let body = Bytes::from(vec![b'x'; charge_bytes]);
            let to = instance.callers;
            let answer = deployment.send_body(to, Method::POST, "/charge/x", (&id, 2_000), body).await;
            let runs = executions(workers, &id);
            assert_eq!(runs, 1, "{response:?} was executed {runs} times");
            let answer = answer.expect("a whole response");
            let status = answer.status;
            if PROMISES.contains(&status) {
                wrong.push(format!("{response:?}: {status}"));
                continue;
            }
            assert_told_unknown(&format!("{response:?}"), &answer);
        }
    }
    assert!(wrong.is_empty(), "{} executed charges told as not executed: {wrong:#?}", wrong.len());
    for worker in workers {
        worker.set_mode(WorkerMode::Serve);
    }
    let served = deployment.send(instance.callers, Method::POST, "/charge/x", "after").await;
    assert_eq!(served.expect("a response").status, 200, "the targets are used again");
}

// Guards against a charge that is executed twice, because the status of its target's failure was passed on, which tells
// the caller to send it again.
#[tokio::test]
async fn a_charge_that_was_executed_is_never_told_as_not_executed() {
    let deployment = TestDeployment::start().await;
    let workers = [deployment.worker("i-1").await];
    let gateway = deployment.gateway("one", &json!({})).await;
    check_charges(&deployment, &gateway, &workers, 10).await;
    deployment
        .wait_for_log(&gateway, &["event=send-ended", "outcome=unusable", "status=503", "proof=true"])
        .await;
    deployment
        .wait_for_log(&gateway, &["event=request-ended", "outcome=unknown", "cause=refusal-unconfirmed"])
        .await;
}

// Guards against the same for a charge whose body is passed on while it arrives.
#[tokio::test]
async fn a_long_charge_that_was_executed_is_never_told_as_not_executed() {
    let deployment = TestDeployment::start().await;
    let workers = [deployment.worker("i-1").await];
    let gateway = deployment.gateway("one", &json!({})).await;
    check_charges(&deployment, &gateway, &workers, LONG_CHARGE_BYTES).await;
}

// Guards against the same for a charge that another instance has sent to the target.
#[tokio::test]
async fn a_forwarded_charge_that_was_executed_is_never_told_as_not_executed() {
    let deployment = CutOffDeployment::start(1).await;
    deployment.cut_off(LinkFault::Blackhole).await;
    check_charges(&deployment.deployment, &deployment.cut_off, &deployment.workers, 10).await;
}

// Guards against a charge that is told as not executed by the refusal of one target, although another one has executed
// it.
#[tokio::test]
async fn a_charge_that_one_target_refuses_and_another_executes_is_told_as_unknown() {
    for response in responses().into_iter().filter(|response| response.end == BodyEnd::Length) {
        let deployment = TestDeployment::start().await;
        let workers = [deployment.worker("i-1").await, deployment.worker("i-2").await];
        workers[0].set_mode(WorkerMode::Shed);
        workers[1].set_mode(WorkerMode::Respond(response));
        let gateway = deployment.gateway("one", &json!({})).await;
        let mut sent_to_both = 0;
        for number in 0..12 {
            let id = format!("a{number}");
            let answer = deployment.send(gateway.callers, Method::POST, "/charge/x", &id).await;
            let answer = answer.expect("a whole response");
            let refused = workers[0].refused_requests();
            let is_refused = refused.iter().any(|r| r.header("x-attempt-id") == Some(&id));
            match executions(&workers, &id) {
                0 => assert!(PROMISES.contains(&answer.status), "{response:?}: {}", answer.status),
                runs => {
                    assert_eq!(runs, 1, "{response:?}");
                    assert_told_unknown(&format!("{response:?}"), &answer);
                    sent_to_both += usize::from(is_refused);
                }
            }
        }
        assert!(sent_to_both > 0, "no charge was refused by one and executed by the other: {response:?}");
    }
}

// Guards against a target that fails each charge and keeps its share of them, since its responses count as good ones.
#[tokio::test]
async fn a_target_that_refuses_what_it_has_executed_is_avoided() {
    const CALLS: usize = 60;
    for response in responses().into_iter().filter(|response| response.end == BodyEnd::Length) {
        let deployment = TestDeployment::start().await;
        let mut workers = Vec::new();
        for number in 0..4 {
            let worker = deployment.worker(&format!("i-{number}")).await;
            worker.set_service_time(Duration::from_millis(5));
            workers.push(worker);
        }
        workers[0].set_mode(WorkerMode::Respond(response));
        let gateway = deployment.gateway("one", &json!({})).await;
        for number in 0..CALLS {
            let id = format!("a{number}");
            let answer = deployment.send(gateway.callers, Method::POST, "/charge/x", &id).await;
            assert!([200, 502].contains(&answer.expect("a response").status), "{response:?}");
        }
        let failed = workers[0].executed_requests().len();
        assert!(
            failed < CALLS / workers.len() / 2,
            "{failed} of {CALLS} went to the failing target: {response:?}"
        );
    }
}

// Guards against a pause that is forgotten, because the response that asks for it is not passed on.
#[tokio::test]
async fn a_pause_in_an_unconfirmed_refusal_holds() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    let (status, end) = (503, BodyEnd::Length);
    worker.set_mode(WorkerMode::Respond(StatedResponse { status, has_seal: false, body_bytes: 12, end }));
    worker.set_retry_after(Some("30"));
    let gateway = deployment.gateway("one", &json!({})).await;
    let first = deployment.send(gateway.callers, Method::POST, "/charge/x", "a1").await;
    assert_told_unknown("the first", &first.expect("a response"));
    deployment.wait_for_log(&gateway, &["event=target-paused", "target=i-1", "pause_ms=30000"]).await;
    let second = deployment.send(gateway.callers, Method::POST, "/charge/x", "a2").await;
    let second = second.expect("a response");
    assert!([429, 503].contains(&second.status), "{}", second.status);
    assert_eq!(executions(&[worker], "a2"), 0);
}

// Guards against a sound target that counts as failing, and a charge that is told as unknown, because the target has
// refused it when it was full.
#[tokio::test]
async fn a_refusal_that_the_target_states_is_told_as_not_executed() {
    for mode in [WorkerMode::Shed, WorkerMode::Misdirected] {
        let deployment = TestDeployment::start().await;
        let worker = deployment.worker("i-1").await;
        worker.set_mode(mode);
        let gateway = deployment.gateway("one", &json!({})).await;
        let refused = deployment.send(gateway.callers, Method::POST, "/charge/x", "a1").await;
        let refused = refused.expect("a response");
        assert!([429, 503].contains(&refused.status), "{mode:?}: {}", refused.status);
        assert_eq!(refused.headers["arbutusshelf-outcome"], "not-run", "{mode:?}");
        assert!(worker.executed_requests().is_empty());
    }
}

// Guards against a changed response to a request that may be repeated: its status is the target's to choose.
#[tokio::test]
async fn a_refused_read_keeps_its_status_and_seal() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    for response in responses().into_iter().filter(|response| response.has_seal) {
        worker.set_mode(WorkerMode::Respond(response));
        let answer = deployment.send(gateway.callers, Method::GET, "/read/x", "a1").await;
        let answer = answer.expect("a whole response");
        assert_eq!(
            (answer.status, answer.body.len()),
            (response.status, response.body_bytes),
            "{response:?}"
        );
        assert!(answer.headers.contains_key("x-response-seal"), "{response:?}");
    }
}

// Guards against a status that is missing from the list of those that promise something, or kept from reads.
#[test]
fn only_a_stated_refusal_of_a_charge_keeps_a_status_that_promises_something() {
    for kind in [RequestKind::AtMostOnce, RequestKind::Unstated, RequestKind::Idempotent] {
        for status in 200..=599 {
            let is_promise = PROMISES.contains(&status) && kind != RequestKind::Idempotent;
            let expected = if is_promise { Meaning::UnconfirmedRefusal } else { Meaning::Final };
            assert_eq!(interpret(kind, status, false), expected, "{status} to {kind:?}");
            assert_eq!(interpret(kind, status, true), Meaning::NotRun, "{status} to {kind:?}");
        }
    }
}
