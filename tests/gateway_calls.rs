//! Requests through a gateway process: the response to the caller, and which target executes the request how
//! often.

mod gateway_env;

use std::time::{Duration, Instant};

use arbutusshelf_bench::{client::exchange_raw, worker::WorkerMode};
use gateway_env::{HOST, TestDeployment, entry, route};
use hyper::Method;
use serde_json::json;

#[tokio::test]
async fn an_answer_is_passed_on_with_its_seal_id_and_body() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    let answer = deployment
        .send(gateway.callers, Method::POST, "/charge/rent?month=5", "a1")
        .await
        .expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["x-response-seal"], "3e1b.07");
    assert_eq!(answer.headers["x-attempt-id"], "a1");
    assert_eq!(answer.body, "body of a1");
    assert!(!answer.headers.contains_key("x-worker-load"));
    let runs = worker.executed_requests();
    assert_eq!(runs.len(), 1);
    assert!(runs[0].head.starts_with("POST /charge/rent?month=5 HTTP/1.1"), "{}", runs[0].head);
    assert_eq!(runs[0].body, b"booking a1");
    assert_eq!(runs[0].header("x-expect-worker"), Some("i-1"));
    assert_eq!(runs[0].header("x-attempt-id"), Some("a1"));
    let left_ms = runs[0].header("x-request-deadline-ms").and_then(|v| v.parse::<u64>().ok());
    assert!(left_ms.is_some_and(|ms| ms <= 2_000), "{left_ms:?}");
}

#[tokio::test]
async fn a_gateway_that_knows_nothing_is_not_ready_and_refuses_with_503() {
    let deployment = TestDeployment::start().await;
    deployment.store.set_fault(arbutusshelf_bench::rows::RowStoreFault::Down);
    let gateway = deployment.start_gateway("one", &json!({}));
    let ready = deployment.caller.get(gateway.ready, "/ready").await.expect("an answer");
    assert_eq!(ready.status, 503);
    let answer = deployment.send(gateway.callers, Method::GET, "/read/x", "a1").await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn a_path_without_route_is_answered_404() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    let answer = deployment.send(gateway.callers, Method::GET, "/reads/x", "a1").await.expect("an answer");
    assert_eq!(answer.status, 404);
}

#[tokio::test]
async fn a_charge_whose_answer_is_lost_runs_once_and_is_told_unknown() {
    let deployment = TestDeployment::start().await;
    let (one, two) = (deployment.worker("i-1").await, deployment.worker("i-2").await);
    for worker in [&one, &two] {
        worker.set_mode(WorkerMode::ResetConnection);
    }
    let gateway = deployment.gateway("one", &json!({})).await;
    // Until then, there is no budget for repeats, which would keep the charge from being repeated as well.
    deployment
        .wait_until("the instances are counted", || async { gateway.logged(&["event=instances-counted"]) })
        .await;
    for number in 1..=3 {
        let id = format!("a{number}");
        let answer = deployment.send(gateway.callers, Method::POST, "/charge/x", &id).await;
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
        assert_eq!(one.executed_requests().len() + two.executed_requests().len(), number);
    }
}

/// Guards against repeats beyond the budget, which would multiply the load of targets in trouble.
#[tokio::test]
async fn reads_whose_answers_are_lost_are_repeated_within_the_budget_only() {
    const READS: usize = 12;
    const EXTRA: usize = 3;
    let deployment = TestDeployment::start().await;
    let (one, two) = (deployment.worker("i-1").await, deployment.worker("i-2").await);
    for worker in [&one, &two] {
        worker.set_mode(WorkerMode::ResetConnection);
    }
    let budget = json!({"repeat_ratio": 0.0, "repeat_window_s": 600.0, "repeat_extra": EXTRA});
    let gateway = deployment.gateway("one", &budget).await;
    deployment
        .wait_until("the instances are counted", || async { gateway.logged(&["event=instances-counted"]) })
        .await;
    for number in 0..READS {
        let id = format!("r{number}");
        let answer = deployment.send(gateway.callers, Method::GET, &format!("/read/{number}"), &id).await;
        assert_eq!(answer.expect("an answer").status, 502);
    }
    let executed = one.executed_requests().len() + two.executed_requests().len();
    assert!((READS + 1..=READS + EXTRA).contains(&executed), "{executed} executions of {READS} reads");
}

#[tokio::test]
async fn a_read_whose_answer_is_lost_is_sent_to_another_target() {
    for mode in [WorkerMode::ResetConnection, WorkerMode::Truncate, WorkerMode::MissingSeal, WorkerMode::Fail]
    {
        let deployment = TestDeployment::start().await;
        let (bad, good) = (deployment.worker("i-1").await, deployment.worker("i-2").await);
        bad.set_mode(mode);
        let gateway = deployment.gateway("one", &json!({})).await;
        deployment
            .wait_until("the instances are counted", || async {
                gateway.logged(&["event=instances-counted"])
            })
            .await;
        for number in 0..6 {
            let id = format!("a{number}");
            let answer =
                deployment.send(gateway.callers, Method::GET, "/read/x", &id).await.expect("an answer");
            assert_eq!((answer.status, answer.body), (200, format!("body of {id}").into()), "{mode:?}");
        }
        assert_eq!(good.executed_requests().len(), 6, "{mode:?}");
    }
}

#[tokio::test]
async fn a_refused_charge_is_sent_to_another_target_and_runs_once() {
    for mode in [WorkerMode::Shed, WorkerMode::Misdirected] {
        let deployment = TestDeployment::start().await;
        let (busy, idle) = (deployment.worker("i-1").await, deployment.worker("i-2").await);
        busy.set_mode(mode);
        let gateway = deployment.gateway("one", &json!({})).await;
        deployment
            .wait_until("the instances are counted", || async {
                gateway.logged(&["event=instances-counted"])
            })
            .await;
        for number in 0..4 {
            let id = format!("a{number}");
            let answer =
                deployment.send(gateway.callers, Method::POST, "/charge/x", &id).await.expect("an answer");
            assert_eq!(answer.status, 200, "{mode:?}");
        }
        assert_eq!((busy.executed_requests().len(), idle.executed_requests().len()), (0, 4), "{mode:?}");
    }
}

#[tokio::test]
async fn a_charge_that_all_targets_refuse_is_told_not_run_and_when_to_come_back() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    worker.set_mode(WorkerMode::Shed);
    let gateway = deployment.gateway("one", &json!({})).await;
    let answer = deployment.send(gateway.callers, Method::POST, "/charge/x", "a1").await.expect("an answer");
    assert!([429, 503].contains(&answer.status), "{}", answer.status);
    let after_s = answer.headers["retry-after"].to_str().ok().and_then(|v| v.parse::<f64>().ok());
    assert!(after_s.is_some_and(|s| s > 0.0 && s <= 1.0), "{after_s:?}");
    assert!(worker.executed_requests().is_empty());
}

#[tokio::test]
async fn a_late_second_answer_reaches_no_other_caller() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    worker.set_mode(WorkerMode::DuplicateResponse);
    let gateway = deployment.gateway("one", &json!({})).await;
    for number in 0..20 {
        let id = format!("a{number}");
        let answer = deployment.send(gateway.callers, Method::GET, "/read/x", &id).await.expect("an answer");
        if answer.status == 200 {
            assert_eq!(answer.body, format!("body of {id}"));
        }
    }
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_whole() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    worker.set_mode(WorkerMode::CloseDelimited);
    let gateway = deployment.gateway("one", &json!({})).await;
    let answer = deployment.send(gateway.callers, Method::POST, "/charge/x", "a1").await.expect("an answer");
    assert_eq!((answer.status, answer.body), (200, "body of a1".into()));
}

#[tokio::test]
async fn a_silent_target_is_given_up_at_the_routes_timeout() {
    let deployment = TestDeployment::start().await;
    deployment.put_routes(&[route("charge", "/charge/", "non_idempotent", "plan", 600)]);
    let worker = deployment.worker("i-1").await;
    worker.set_mode(WorkerMode::NoResponse);
    let gateway = deployment.gateway("one", &json!({})).await;
    let sent_at = Instant::now();
    let answer = deployment.send_within(gateway.callers, Method::POST, "/charge/x", "a1", 5_000).await;
    assert_eq!(answer.expect("an answer").status, 504);
    let took = sent_at.elapsed();
    // The users allow the response half a second after the timeout.
    assert!((Duration::from_millis(600)..Duration::from_millis(1_100)).contains(&took), "{took:?}");
}

#[tokio::test]
async fn a_request_whose_caller_left_is_abandoned_at_the_target() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    worker.set_service_time(Duration::from_secs(20));
    let gateway = deployment.gateway("one", &json!({})).await;
    let request = format!("GET /read/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a1\r\n\r\n");
    let received = exchange_raw(gateway.callers, request.as_bytes(), Duration::from_millis(300)).await;
    assert_eq!(received.expect("a connection"), "");
    deployment
        .wait_until("the target sees the connection close", || async { worker.abandoned_count() == 1 })
        .await;
    deployment
        .wait_until("the end is logged", || async {
            gateway.logged(&["event=request-ended", "request=\"a1\"", "outcome=caller-left"])
        })
        .await;
}

#[tokio::test]
async fn a_head_with_two_lengths_smuggles_nothing() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    let request = format!(
        "POST /charge/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a1\r\nContent-Length: 4\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/y HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
    );
    let answer = exchange_raw(gateway.callers, request.as_bytes(), Duration::from_secs(2)).await;
    let answer = answer.expect("a connection");
    // Transfer-Encoding overrides Content-Length, and the gateway closes the connection after this response.
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    let runs = worker.executed_requests();
    assert!(runs.iter().all(|run| run.head.starts_with("POST /charge/x ")), "{runs:?}");
}

#[tokio::test]
async fn a_machine_that_tells_it_is_slow_gets_nothing_while_another_is_calm() {
    let deployment = TestDeployment::start().await;
    let (slow, normal) = (deployment.worker("i-1").await, deployment.worker("i-2").await);
    slow.set_reported_pace_percent(500);
    let gateway = deployment.gateway("one", &json!({})).await;
    for number in 0..10 {
        let id = format!("a{number}");
        let answer =
            deployment.send(gateway.callers, Method::POST, "/charge/x", &id).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert_eq!((slow.executed_requests().len(), normal.executed_requests().len()), (0, 10));
    assert!(slow.probe_count() > 0);
}

/// Guards against the load of a target that has got the address of another one, taken for that of the other.
#[tokio::test]
async fn a_probe_that_another_target_answers_says_nothing() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-new").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    deployment.store.put_json("servers", "i-old", &entry(worker.address, "plan", "ready"));
    deployment.store.remove("servers", "i-new");
    deployment
        .wait_until("the directory is known", || async {
            gateway.logged(&["event=target-added", "target=i-old"])
                && gateway.logged(&["event=target-removed", "target=i-new"])
        })
        .await;
    let answer = deployment.send(gateway.callers, Method::POST, "/charge/x", "a1").await;
    assert_eq!(answer.expect("an answer").outcome(), "not-run");
    assert!(worker.probe_count() > 0);
    deployment
        .wait_until("the probe has failed", || async {
            gateway.logged(&["event=probe-failed", "target=i-old"])
        })
        .await;
}

#[tokio::test]
async fn a_leaving_gateway_answers_what_it_has_read_and_ends_in_time() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    worker.set_service_time(Duration::from_millis(1_500));
    let mut gateway = deployment.gateway("one", &json!({})).await;
    let (callers, sent_at) = (gateway.callers, Instant::now());
    let call = deployment.send(callers, Method::POST, "/charge/x", "a1");
    let leave = async {
        deployment.wait_until("the request runs", || async { worker.executed_requests().len() == 1 }).await;
        gateway.signal("TERM");
        deployment
            .wait_until("the gateway is not ready", || async {
                deployment.caller.get(gateway.ready, "/ready").await.is_ok_and(|r| r.status == 503)
            })
            .await;
        // The ingress may send requests for up to 2.3 s, and this one runs longer than that.
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        deployment.send(callers, Method::POST, "/charge/x", "a2").await
    };
    let (answer, late_answer) = tokio::join!(call, leave);
    for answer in [answer, late_answer] {
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["connection"], "close");
    }
    assert!(gateway.wait_for_exit().await);
    assert!(sent_at.elapsed() < Duration::from_secs(6));
    assert!(gateway.logged(&["event=left", "in_progress=0"]));
}

#[tokio::test]
async fn a_service_without_targets_is_told_from_one_that_is_overloaded() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    deployment.register(&worker, "draining");
    deployment
        .wait_until("the drain is known", || async {
            gateway.logged(&["event=target-updated", "draining=true"])
        })
        .await;
    let answer = deployment.send(gateway.callers, Method::POST, "/charge/x", "n1").await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert_eq!(answer.headers["arbutusshelf-cause"], "no-target");
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(worker.executed_requests().len(), 0);
}

#[tokio::test]
async fn a_failed_request_can_be_followed_through_the_log_by_its_id() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    worker.set_mode(WorkerMode::ResetConnection);
    let gateway = deployment.gateway("one", &json!({})).await;
    deployment.send(gateway.callers, Method::POST, "/charge/x", "c7").await.expect("an answer");
    let lines: [&[&str]; 4] = [
        &["event=request-admitted", "kind=at-most-once", "objective_ms=400"],
        &["event=request-sent", "target=i-1", "running=", "pace=1.00", "reading_age_ms="],
        &["event=send-ended", "target=i-1", "outcome=lost"],
        &["event=request-ended", "outcome=unknown", "cause=connection-lost"],
    ];
    for words in lines {
        let words = [words, &["request=\"c7\""]].concat();
        deployment.wait_until("the line is logged", || async { gateway.logged(&words) }).await;
    }
    let metrics = deployment.caller.get(gateway.metrics, "/metrics").await.expect("metrics");
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(text.contains("arbutusshelf_gateway_sends_total{outcome=\"lost\"} 1"), "{text}");
}

#[tokio::test]
async fn a_charge_that_got_no_connection_is_told_not_run_at_its_deadline() {
    let deployment = TestDeployment::start().await;
    // A target whose queue of new connections is full: further ones get no answer.
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a free port");
    let target = socket.listen(1).expect("the socket listens");
    let address = target.local_addr().expect("an address");
    let _queued = [
        std::net::TcpStream::connect(address).expect("room in the queue"),
        std::net::TcpStream::connect(address).expect("room in the queue"),
    ];
    deployment.store.put_json("servers", "i-1", &entry(address, "plan", "ready"));
    let gateway = deployment.gateway("one", &json!({})).await;
    let answer = deployment.send_within(gateway.callers, Method::POST, "/charge/x", "a1", 400).await;
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"), "{answer:?}");
}

#[tokio::test]
async fn an_applications_own_404_is_its_answer_and_no_fault_of_the_target() {
    let deployment = TestDeployment::start().await;
    let workers = [deployment.worker("i-1").await, deployment.worker("i-2").await];
    for worker in &workers {
        worker.set_mode(WorkerMode::NotFound);
    }
    let gateway = deployment.gateway("one", &json!({})).await;
    deployment
        .wait_until("repeats are allowed", || async { gateway.logged(&["event=instances-counted"]) })
        .await;
    for number in 0..8 {
        let answer = deployment.send(gateway.callers, Method::GET, "/read/x", &format!("a{number}")).await;
        assert_eq!(answer.expect("an answer").status, 404);
    }
    let executed = workers.iter().map(|w| w.executed_requests().len()).sum::<usize>();
    assert_eq!(executed, 8, "each request runs once");
}
