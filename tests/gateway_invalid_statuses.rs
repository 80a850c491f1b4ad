//! Targets that answer with a status that no final response has (RFC 9110, section 15: 100 to 599, of which 1xx are
//! interim).

mod cut_off_env;
mod gateway_env;

use arbutusshelf::{
    decide::target_response::{Meaning, interpret},
    plan::RequestKind,
};
use arbutusshelf_bench::{
    relay::LinkFault,
    scripted::{ScriptedResponse, ScriptedTarget},
    worker::{BodyEnd, StatedResponse, WorkerMode, WorkerStandIn},
};
use cut_off_env::CutOffDeployment;
use gateway_env::{GatewayProcess, TestDeployment, entry, executions};
use hyper::Method;
use quickcheck::quickcheck;
use serde_json::json;

/// Lengths of bodies: one that is buffered, and one that would be passed on while it arrives.
const BODY_BYTES: [usize; 2] = [2, 400_000];

/// Returns responses with statuses that the HTTP library refuses, that it takes, and that ask for another protocol.
fn responses() -> Vec<StatedResponse> {
    StatedResponse::all_forms(&[0, 99, 101, 600, 999], &BODY_BYTES)
}

/// Sends a charge and a read for each of the responses, which all targets give, and checks what callers are told.
async fn check_requests(deployment: &TestDeployment, instance: &GatewayProcess, workers: &[WorkerStandIn]) {
    let mut wrong = Vec::new();
    for (number, response) in responses().into_iter().enumerate() {
        for worker in workers {
            worker.set_mode(WorkerMode::Respond(response));
        }
        for (method, path) in [(Method::POST, "/charge/x"), (Method::GET, "/read/x")] {
            let id = format!("{method}-{number}");
            let answer = deployment.send(instance.callers, method.clone(), path, &id).await;
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            if status != 502 {
                wrong.push(format!("{method} {response:?}: {answer:?}"));
                continue;
            }
            let headers = answer.expect("a response").headers;
            assert!(!headers.contains_key("x-response-seal"), "{response:?}");
            assert_eq!(headers["arbutusshelf-outcome"], "unknown", "{response:?}");
            if method == Method::POST {
                assert_eq!(executions(workers, &id), 1, "{response:?}");
            }
        }
    }
    let count = wrong.len();
    assert!(wrong.is_empty(), "{count} responses with an invalid status were passed on: {wrong:#?}");
    for worker in workers {
        worker.set_mode(WorkerMode::Serve);
    }
    let served = deployment.send(instance.callers, Method::POST, "/charge/x", "after").await;
    assert_eq!(served.expect("a response").status, 200, "the targets are used again");
}

// Guards against a caller that gets a status such as 600 as an answer, which it can't understand, or a switch of
// protocols that it has not asked for.
#[tokio::test]
async fn a_status_that_no_final_response_has_is_not_passed_on() {
    let deployment = TestDeployment::start().await;
    let workers = [deployment.worker("i-1").await];
    let gateway = deployment.gateway("one", &json!({})).await;
    check_requests(&deployment, &gateway, &workers).await;
    deployment
        .wait_for_log(&gateway, &["event=send-ended", "outcome=unusable", "status=600", "proof=true"])
        .await;
    deployment
        .wait_for_log(&gateway, &["event=request-ended", "outcome=unknown", "cause=status-invalid"])
        .await;
}

// Guards against the same by way of another instance.
#[tokio::test]
async fn a_status_that_no_final_response_has_is_not_passed_on_by_another_instance() {
    let deployment = CutOffDeployment::start(1).await;
    deployment.cut_off(LinkFault::Blackhole).await;
    check_requests(&deployment.deployment, &deployment.cut_off, &deployment.workers).await;
}

// Guards against reads that fail although a sound target is there.
#[tokio::test]
async fn a_read_with_an_invalid_status_is_sent_to_another_target() {
    let deployment = TestDeployment::start().await;
    let workers = [deployment.worker("i-1").await, deployment.worker("i-2").await];
    let gateway = deployment.gateway("one", &json!({})).await;
    let (has_seal, body_bytes, end) = (true, 2, BodyEnd::Length);
    let invalid = WorkerMode::Respond(StatedResponse { status: 600, has_seal, body_bytes, end });
    // A part of the requests before may be repeated.
    let (count_before, count_after) = (40, 20);
    let mut executed_before = 0;
    for number in 0..count_before + count_after {
        if number == count_before {
            executed_before = workers[0].executed_requests().len();
            workers[0].set_mode(invalid);
        }
        let id = format!("a{number}");
        let answer = deployment.send(gateway.callers, Method::GET, "/read/x", &id).await.expect("a response");
        assert_eq!((answer.status, answer.body), (200, format!("body of {id}").into()));
    }
    assert!(workers[0].executed_requests().len() > executed_before, "the failing target got no request");
}

// Guards against a target that is taken for sound, or for one that leaves, by what it states in a response to a probe
// that is none.
#[tokio::test]
async fn a_probe_with_an_invalid_status_shows_nothing() {
    for status in ["101 Switching Protocols", "600 Beyond", "999 Beyond"] {
        let deployment = TestDeployment::start().await;
        let fields = "X-Worker-Load: 0,0,3\r\nX-Worker-Id: i-1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n";
        let bytes = format!("HTTP/1.1 {status}\r\n{fields}\r\n");
        let script = move |_| ScriptedResponse { bytes: bytes.clone().into(), close: false };
        let target = ScriptedTarget::start(script).await.expect("loopback has a free port");
        deployment.store.put_json("servers", "i-1", &entry(target.address, "plan", "ready"));
        let gateway = deployment.gateway("one", &json!({})).await;
        let answer = deployment.send(gateway.callers, Method::GET, "/read/x", "a1").await;
        assert_eq!(answer.expect("a response").status, 502, "{status}");
        let is_invalid = || async { gateway.logged(&["event=probe-failed", "cause=invalid"]) };
        deployment.wait_until("a probe has failed", is_invalid).await;
        assert!(!gateway.logged(&["event=target-leaving"]), "{status}: {:?}", gateway.log());
    }
}

// Guards against an interim response that is taken for the final one, or passed on in its place.
#[tokio::test]
async fn a_final_response_after_interim_ones_is_passed_on() {
    let deployment = TestDeployment::start().await;
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    let last = "HTTP/1.1 200 OK\r\nX-Response-Seal: 3e1b.07\r\nX-Worker-Load: 0,0,3\r\nX-Worker-Id: i-1\r\n";
    let bytes = format!("{interim}{last}Content-Length: 2\r\n\r\nok");
    let script = move |_| ScriptedResponse { bytes: bytes.clone().into(), close: true };
    let target = ScriptedTarget::start(script).await.expect("loopback has a free port");
    deployment.store.put_json("servers", "i-1", &entry(target.address, "plan", "ready"));
    let gateway = deployment.gateway("one", &json!({})).await;
    let answer = deployment.send(gateway.callers, Method::GET, "/read/x", "a1").await.expect("a response");
    assert_eq!((answer.status, &answer.body[..]), (200, &b"ok"[..]));
    assert!(!answer.headers.contains_key("link"));
}

quickcheck! {
    // Guards against a status outside 200 to 599 that has any other meaning, whatever else the response states.
    fn only_statuses_of_final_responses_mean_something(status: u16, states_not_run: bool, kind: u8) -> bool {
        let kinds = [RequestKind::Idempotent, RequestKind::AtMostOnce, RequestKind::Unstated];
        let kind = kinds[usize::from(kind) % kinds.len()];
        [status, status % 1_000].into_iter().all(|status| {
            let is_invalid = interpret(kind, status, states_not_run) == Meaning::InvalidStatus;
            is_invalid != (200..=599).contains(&status)
        })
    }
}
