//! Calls through a gateway: what a caller is told, and what runs where.

mod gateway_env;

use std::time::{Duration, Instant};

use arbutusshelf_bench::{client::exchange_raw, worker::WorkerMode};
use gateway_env::{HOST, Hosted, route};
use hyper::Method;
use serde_json::json;

#[tokio::test]
async fn an_answer_is_passed_on_with_its_seal_id_and_body() {
    let hosted = Hosted::start().await;
    let worker = hosted.worker("i-1").await;
    let gateway = hosted.gateway("one", &json!({})).await;
    let answer =
        hosted.send(gateway.callers, Method::POST, "/charge/rent?month=5", "a1").await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["x-response-seal"], "3e1b.07");
    assert_eq!(answer.headers["x-attempt-id"], "a1");
    assert_eq!(answer.body, "body of a1");
    assert!(!answer.headers.contains_key("x-worker-load"));
    let runs = worker.runs();
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
    let hosted = Hosted::start().await;
    hosted.store.set_fault(arbutusshelf_bench::rows::RowsFault::Down);
    let gateway = hosted.start_gateway("one", &json!({}));
    let ready = hosted.caller.get(gateway.ready, "/ready").await.expect("an answer");
    assert_eq!(ready.status, 503);
    let answer = hosted.send(gateway.callers, Method::GET, "/read/x", "a1").await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn a_path_without_route_is_answered_404() {
    let hosted = Hosted::start().await;
    let _worker = hosted.worker("i-1").await;
    let gateway = hosted.gateway("one", &json!({})).await;
    let answer = hosted.send(gateway.callers, Method::GET, "/reads/x", "a1").await.expect("an answer");
    assert_eq!(answer.status, 404);
}

#[tokio::test]
async fn a_charge_whose_answer_is_lost_runs_once_and_is_told_unknown() {
    let hosted = Hosted::start().await;
    let (one, two) = (hosted.worker("i-1").await, hosted.worker("i-2").await);
    for worker in [&one, &two] {
        worker.set_mode(WorkerMode::LoseAnswer);
    }
    let gateway = hosted.gateway("one", &json!({})).await;
    let answer = hosted.send(gateway.callers, Method::POST, "/charge/x", "a1").await.expect("an answer");
    assert_eq!(answer.status, 502);
    assert_eq!(one.runs().len() + two.runs().len(), 1);
}

#[tokio::test]
async fn a_read_whose_answer_is_lost_is_sent_to_another_target() {
    for mode in [WorkerMode::LoseAnswer, WorkerMode::Truncate, WorkerMode::Unsealed, WorkerMode::Fail] {
        let hosted = Hosted::start().await;
        let (bad, good) = (hosted.worker("i-1").await, hosted.worker("i-2").await);
        bad.set_mode(mode);
        let gateway = hosted.gateway("one", &json!({})).await;
        hosted
            .until("the instances are counted", || async { gateway.logged(&["event=instances-counted"]) })
            .await;
        for number in 0..6 {
            let id = format!("a{number}");
            let answer = hosted.send(gateway.callers, Method::GET, "/read/x", &id).await.expect("an answer");
            assert_eq!((answer.status, answer.body), (200, format!("body of {id}").into()), "{mode:?}");
        }
        assert_eq!(good.runs().len(), 6, "{mode:?}");
    }
}

#[tokio::test]
async fn a_refused_charge_is_sent_to_another_target_and_runs_once() {
    for mode in [WorkerMode::Shed, WorkerMode::Misdirected] {
        let hosted = Hosted::start().await;
        let (full, free) = (hosted.worker("i-1").await, hosted.worker("i-2").await);
        full.set_mode(mode);
        let gateway = hosted.gateway("one", &json!({})).await;
        hosted
            .until("the instances are counted", || async { gateway.logged(&["event=instances-counted"]) })
            .await;
        for number in 0..4 {
            let id = format!("a{number}");
            let answer =
                hosted.send(gateway.callers, Method::POST, "/charge/x", &id).await.expect("an answer");
            assert_eq!(answer.status, 200, "{mode:?}");
        }
        assert_eq!((full.runs().len(), free.runs().len()), (0, 4), "{mode:?}");
    }
}

#[tokio::test]
async fn a_charge_that_all_targets_refuse_is_told_not_run_and_when_to_come_back() {
    let hosted = Hosted::start().await;
    let worker = hosted.worker("i-1").await;
    worker.set_mode(WorkerMode::Shed);
    let gateway = hosted.gateway("one", &json!({})).await;
    let answer = hosted.send(gateway.callers, Method::POST, "/charge/x", "a1").await.expect("an answer");
    assert!([429, 503].contains(&answer.status), "{}", answer.status);
    let after_s = answer.headers["retry-after"].to_str().ok().and_then(|v| v.parse::<f64>().ok());
    assert!(after_s.is_some_and(|s| s > 0.0 && s <= 1.0), "{after_s:?}");
    assert!(worker.runs().is_empty());
}

#[tokio::test]
async fn a_late_second_answer_reaches_no_other_caller() {
    let hosted = Hosted::start().await;
    let worker = hosted.worker("i-1").await;
    worker.set_mode(WorkerMode::ExtraAnswer);
    let gateway = hosted.gateway("one", &json!({})).await;
    for number in 0..20 {
        let id = format!("a{number}");
        let answer = hosted.send(gateway.callers, Method::GET, "/read/x", &id).await.expect("an answer");
        if answer.status == 200 {
            assert_eq!(answer.body, format!("body of {id}"));
        }
    }
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_whole() {
    let hosted = Hosted::start().await;
    let worker = hosted.worker("i-1").await;
    worker.set_mode(WorkerMode::Unframed);
    let gateway = hosted.gateway("one", &json!({})).await;
    let answer = hosted.send(gateway.callers, Method::POST, "/charge/x", "a1").await.expect("an answer");
    assert_eq!((answer.status, answer.body), (200, "body of a1".into()));
}

#[tokio::test]
async fn a_silent_target_is_given_up_at_the_routes_timeout() {
    let hosted = Hosted::start().await;
    hosted.put_routes(&[route("charge", "/charge/", "non_idempotent", "plan", 600)]);
    let worker = hosted.worker("i-1").await;
    worker.set_mode(WorkerMode::Mute);
    let gateway = hosted.gateway("one", &json!({})).await;
    let asked = Instant::now();
    let answer = hosted.send_within(gateway.callers, Method::POST, "/charge/x", "a1", 5_000).await;
    assert_eq!(answer.expect("an answer").status, 504);
    let took = asked.elapsed();
    // Half a second past the timeout is what the users allow.
    assert!((Duration::from_millis(600)..Duration::from_millis(1_100)).contains(&took), "{took:?}");
}

#[tokio::test]
async fn a_request_whose_caller_left_is_abandoned_at_the_target() {
    let hosted = Hosted::start().await;
    let worker = hosted.worker("i-1").await;
    worker.set_work(Duration::from_secs(20));
    let gateway = hosted.gateway("one", &json!({})).await;
    let request = format!("GET /read/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a1\r\n\r\n");
    let left = exchange_raw(gateway.callers, request.as_bytes(), Duration::from_millis(300)).await;
    assert_eq!(left.expect("a connection"), "");
    hosted.until("the target sees the end", || async { worker.abandoned() == 1 }).await;
    hosted
        .until("the end is logged", || async {
            gateway.logged(&["event=request-ended", "request=\"a1\"", "outcome=caller-left"])
        })
        .await;
}

#[tokio::test]
async fn a_head_with_two_lengths_smuggles_nothing() {
    let hosted = Hosted::start().await;
    let worker = hosted.worker("i-1").await;
    let gateway = hosted.gateway("one", &json!({})).await;
    let smuggled = format!(
        "POST /charge/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a1\r\nContent-Length: 4\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/y HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
    );
    let answer = exchange_raw(gateway.callers, smuggled.as_bytes(), Duration::from_secs(2)).await;
    let answer = answer.expect("a connection");
    // Chunks go before a length, and the connection ends with this answer.
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    let runs = worker.runs();
    assert!(runs.iter().all(|run| run.head.starts_with("POST /charge/x ")), "{runs:?}");
}

#[tokio::test]
async fn a_machine_that_tells_it_is_slow_gets_nothing_while_another_is_calm() {
    let hosted = Hosted::start().await;
    let (slow, calm) = (hosted.worker("i-1").await, hosted.worker("i-2").await);
    slow.set_pace_percent(500);
    let gateway = hosted.gateway("one", &json!({})).await;
    for number in 0..10 {
        let id = format!("a{number}");
        let answer = hosted.send(gateway.callers, Method::POST, "/charge/x", &id).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert_eq!((slow.runs().len(), calm.runs().len()), (0, 10));
    assert!(slow.probes() > 0);
}

#[tokio::test]
async fn a_leaving_gateway_answers_what_it_has_read_and_ends_in_time() {
    let hosted = Hosted::start().await;
    let worker = hosted.worker("i-1").await;
    worker.set_work(Duration::from_millis(1_500));
    let mut gateway = hosted.gateway("one", &json!({})).await;
    let (callers, asked) = (gateway.callers, Instant::now());
    let call = hosted.send(callers, Method::POST, "/charge/x", "a1");
    let leave = async {
        hosted.until("the request runs", || async { worker.runs().len() == 1 }).await;
        gateway.signal("TERM");
        hosted
            .until("it is not ready", || async {
                hosted.caller.get(gateway.ready, "/ready").await.is_ok_and(|r| r.status == 503)
            })
            .await;
    };
    let (answer, ()) = tokio::join!(call, leave);
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["connection"], "close");
    assert!(gateway.ended().await);
    assert!(asked.elapsed() < Duration::from_secs(6));
    assert!(gateway.logged(&["event=left", "in_progress=0"]));
}

#[tokio::test]
async fn a_service_without_targets_is_told_from_one_that_is_overloaded() {
    let hosted = Hosted::start().await;
    let worker = hosted.worker("i-1").await;
    let gateway = hosted.gateway("one", &json!({})).await;
    hosted.register(&worker, "draining");
    hosted
        .until("the drain is known", || async { gateway.logged(&["event=target-updated", "draining=true"]) })
        .await;
    let answer = hosted.send(gateway.callers, Method::POST, "/charge/x", "n1").await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert_eq!(answer.headers["arbutusshelf-cause"], "no-target");
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(worker.runs().len(), 0);
}

#[tokio::test]
async fn a_failed_request_can_be_followed_through_the_log_by_its_id() {
    let hosted = Hosted::start().await;
    let worker = hosted.worker("i-1").await;
    worker.set_mode(WorkerMode::LoseAnswer);
    let gateway = hosted.gateway("one", &json!({})).await;
    hosted.send(gateway.callers, Method::POST, "/charge/x", "c7").await.expect("an answer");
    let lines: [&[&str]; 4] = [
        &["event=request-admitted", "kind=at-most-once", "objective_ms=400"],
        &["event=request-sent", "target=i-1", "running=", "pace=1.00", "reading_age_ms="],
        &["event=send-ended", "target=i-1", "outcome=lost"],
        &["event=request-ended", "outcome=unknown", "cause=connection-lost"],
    ];
    for words in lines {
        let words = [words, &["request=\"c7\""]].concat();
        hosted.until("the line is logged", || async { gateway.logged(&words) }).await;
    }
    let metrics = hosted.caller.get(gateway.metrics, "/metrics").await.expect("metrics");
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(text.contains("arbutusshelf_gateway_sends_total{outcome=\"lost\"} 1"), "{text}");
}
