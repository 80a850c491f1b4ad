//! A gateway that is stopped takes no request that it would cut off, and tells every caller what became of its own.

mod gateway_env;

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};

use arbutusshelf_bench::{
    client::{Caller, CompleteResponse, IncompleteResponse},
    worker::WorkerStandIn,
};
use bytes::Bytes;
use futures::future::join_all;
use gateway_env::{GatewayProcess, TestDeployment, route};
use hyper::Method;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Grace period of the gateways under test; they refuse requests from half of it on.
const GRACE: Duration = Duration::from_secs(2);

/// Deadline of callers who would wait beyond the end of the process.
const LONG_DEADLINE_MS: u64 = 10_000;

type Answer = Result<CompleteResponse, IncompleteResponse>;

/// Starts a gateway with a short grace period, and routes whose requests may last longer than that.
async fn gateway(deployment: &TestDeployment) -> GatewayProcess {
    deployment.put_routes(&[
        route("read", "/read/", "idempotent", "plan", 10_000),
        route("charge", "/charge/", "non_idempotent", "plan", 10_000),
    ]);
    deployment.gateway("one", &json!({"grace_s": GRACE.as_secs_f64(), "log_level": "debug"})).await
}

/// Sends charges one after the other, each on a new connection, until the gateway accepts none any more. Returns what
/// became of each, by its identifier.
async fn send_until_gone(
    deployment: &TestDeployment,
    to: SocketAddr,
    name: &str,
    deadline_ms: u64,
    is_gone: &AtomicBool,
) -> Vec<(String, Answer)> {
    let mut answers = Vec::new();
    while !is_gone.load(Ordering::Acquire) {
        let id = format!("{name}-{}", answers.len());
        let (caller, path) = (Caller::default(), format!("/charge/{id}"));
        let body = Bytes::from_static(b"booking");
        let answer = deployment.send_from(&caller, to, (Method::POST, &path), (&id, deadline_ms), body).await;
        answers.push((id, answer));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    answers
}

fn was_executed(workers: &[WorkerStandIn], id: &str) -> bool {
    workers.iter().any(|w| w.executed_requests().iter().any(|r| r.header("x-attempt-id") == Some(id)))
}

/// Guards against charges that are executed and cut off without an answer when a gateway is stopped while callers still
/// reach it, since too few other instances are ready.
#[tokio::test]
async fn a_stopped_gateway_cuts_off_no_request_that_comes_late() {
    for deadline_ms in [LONG_DEADLINE_MS, 400] {
        let deployment = TestDeployment::start().await;
        let workers = [deployment.worker("i-1").await, deployment.worker("i-2").await];
        for worker in &workers {
            worker.set_service_time(Duration::from_millis(150));
        }
        let mut gateway = gateway(&deployment).await;
        let is_gone = AtomicBool::new(false);
        let callers = (0..4).map(|number| {
            let name = format!("c{number}");
            let (deployment, to, is_gone) = (&deployment, gateway.callers, &is_gone);
            async move {
                // Their requests don't end at the same moment.
                tokio::time::sleep(Duration::from_millis(number * 40)).await;
                send_until_gone(deployment, to, &name, deadline_ms, is_gone).await
            }
        });
        let callers = join_all(callers);
        let stop = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            gateway.signal("TERM");
            let stopped_at = Instant::now();
            assert!(gateway.wait_for_exit().await, "the gateway ended with an error");
            is_gone.store(true, Ordering::Release);
            stopped_at.elapsed()
        };
        let (answers, took) = tokio::join!(callers, stop);
        let mut refused = 0;
        for (id, answer) in answers.into_iter().flatten() {
            let was_executed = was_executed(&workers, &id);
            match answer {
                Ok(answer) if answer.status == 200 => assert!(was_executed),
                Ok(answer) => {
                    assert!(!was_executed, "{id} was executed and answered {answer:?}");
                    assert_eq!((answer.status, answer.outcome()), (503, "not-run"), "{id}: {answer:?}");
                    assert!(answer.headers.contains_key("retry-after"), "{id}: {answer:?}");
                    refused += usize::from(answer.cause() == "leaving");
                }
                Err(e) => assert!(!was_executed, "{id} was executed and not answered: {e}"),
            }
        }
        assert!(refused > 0, "no request came late");
        // Callers that come late don't keep a process from ending that has nothing else to do.
        assert!(took < GRACE.mul_f64(0.75), "the process took {took:?} to end");
    }
}

/// Guards against callers that are cut off at the end of the grace period without being told what became of their
/// requests: those that wait for a target have not run, those that were sent may have.
#[tokio::test]
async fn calls_in_progress_are_told_the_truth_when_the_process_ends() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    worker.set_service_time(Duration::from_mins(1));
    let mut gateway = gateway(&deployment).await;
    let ids = (0..6).map(|number| format!("c{number}")).collect::<Vec<_>>();
    let calls = ids
        .iter()
        .map(|id| deployment.send_within(gateway.callers, Method::POST, "/charge/x", id, LONG_DEADLINE_MS));
    let calls = join_all(calls);
    let stop = async {
        let (deployment, worker) = (&deployment, &worker);
        deployment
            .wait_until("all slots are taken", || async move { worker.executed_requests().len() == 3 })
            .await;
        gateway.signal("TERM");
        assert!(gateway.wait_for_exit().await, "the gateway ended with an error");
    };
    let (answers, ()) = tokio::join!(calls, stop);
    let mut unknown = 0;
    for (id, answer) in ids.iter().zip(answers) {
        let answer = answer.expect("each call is answered");
        let was_executed = was_executed(std::slice::from_ref(&worker), id);
        let expected = if was_executed { (504, "unknown") } else { (503, "not-run") };
        assert_eq!((answer.status, answer.outcome()), expected, "{id}: {answer:?}");
        unknown += usize::from(was_executed);
    }
    assert_eq!(unknown, 3);
}

/// Guards against an exit that is held up by connections that never carry a request, and against one that cuts off a
/// request whose body is still arriving: it must be told that it has not run.
#[tokio::test]
async fn unused_connections_and_half_sent_requests_end_with_the_process() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    let mut gateway = gateway(&deployment).await;
    let _unused = TcpStream::connect(gateway.callers).await.expect("a connection");
    let mut half_sent = TcpStream::connect(gateway.callers).await.expect("a connection");
    let head = format!(
        "POST /charge/x HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: a1\r\nX-Request-Deadline-Ms: {LONG_DEADLINE_MS}\r\n\
         Content-Length: 10\r\n\r\nhalf",
        gateway_env::HOST
    );
    half_sent.write_all(head.as_bytes()).await.expect("the connection is open");
    tokio::time::sleep(Duration::from_millis(50)).await;
    gateway.signal("TERM");
    let mut answer = String::new();
    half_sent.read_to_string(&mut answer).await.expect("an answer and the end of the connection");
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("not-run"), "{answer}");
    assert!(gateway.wait_for_exit().await, "the gateway ended with an error");
    assert_eq!(worker.executed_requests().len(), 0);
}

/// Guards against callers that come back at once to the only instance, which is not there again yet.
#[tokio::test]
async fn late_callers_come_back_at_once_only_if_another_instance_takes_them() {
    for has_other in [true, false] {
        let deployment = TestDeployment::start().await;
        let worker = deployment.worker("i-1").await;
        let mut gateway = gateway(&deployment).await;
        let seeds = json!({"peer_seeds": [gateway.peers]});
        let other = if has_other { Some(deployment.gateway("two", &seeds).await) } else { None };
        if has_other {
            deployment
                .wait_until("the other one is known", || async {
                    gateway.logged(&["event=peer-paths", "instance=two", "accepting=true"])
                })
                .await;
        }
        // Keeps the process from ending before late callers come.
        worker.set_service_time(Duration::from_millis(1_400));
        let (long_caller, body) = (Caller::default(), Bytes::from_static(b"booking"));
        let long = (Method::POST, "/charge/long");
        let long =
            deployment.send_from(&long_caller, gateway.callers, long, ("long", LONG_DEADLINE_MS), body);
        let (is_gone, to) = (AtomicBool::new(false), gateway.callers);
        let callers = async {
            let worker = &worker;
            deployment
                .wait_until("the long one runs", || async move { worker.executed_requests().len() == 1 })
                .await;
            worker.set_service_time(Duration::from_millis(50));
            send_until_gone(&deployment, to, "c", LONG_DEADLINE_MS, &is_gone).await
        };
        let stop = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            gateway.signal("TERM");
            assert!(gateway.wait_for_exit().await, "the gateway ended with an error");
            is_gone.store(true, Ordering::Release);
        };
        let (answers, long, ()) = tokio::join!(callers, long, stop);
        assert_eq!(long.expect("an answer").status, 200);
        let late = answers.into_iter().filter_map(|(_, answer)| answer.ok());
        let late = late.filter(|answer| answer.cause() == "leaving").collect::<Vec<_>>();
        assert!(!late.is_empty(), "no request came late");
        for answer in late {
            let text = answer.headers["retry-after"].to_str().expect("text");
            let retry_after_s = text.parse::<f64>().expect("seconds");
            assert_eq!(retry_after_s < 0.5, has_other, "{answer:?}");
        }
        drop(other);
    }
}

// Guards against connections that are closed before the request on them is read, though it was there: a caller that comes
// late must be told that its request has not run, and not find out by a closed connection.
#[tokio::test]
async fn a_request_on_a_new_connection_is_refused_and_not_cut_off_while_the_process_waits_for_others() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    // Keeps the process until after the late requests.
    worker.set_service_time(GRACE.mul_f64(0.8));
    let gateway = gateway(&deployment).await;
    let held = deployment.send_within(gateway.callers, Method::GET, "/read/x", "held", LONG_DEADLINE_MS);
    let late = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        gateway.signal("TERM");
        tokio::time::sleep(GRACE.mul_f64(0.55)).await;
        for number in 0..20 {
            let caller = Caller::default();
            let id = format!("late-{number}");
            let request = (Method::POST, "/charge/x");
            let body = Bytes::from_static(b"booking");
            let sent = deployment.send_from(&caller, gateway.callers, request, (&id, LONG_DEADLINE_MS), body);
            let answer = sent.await.unwrap_or_else(|e| panic!("request {number} was not answered: {e}"));
            assert_eq!((answer.status, answer.cause()), (503, "leaving"));
        }
    };
    let (held, ()) = tokio::join!(held, late);
    assert_eq!(held.expect("an answer").status, 200);
}
