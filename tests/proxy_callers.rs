//! Handling of callers on HTTP/1.1 and HTTP/2: smuggling, limits, headers, deadlines and cancellation.

use std::time::{Duration, Instant};

use arbutusshelf_bench::{
    client::{Caller, exchange_raw},
    test_instance::{SERVICE, TestInstance, TestInstanceOptions, wait_until},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const RAW_EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

async fn start_test_instance(settings: serde_json::Value) -> TestInstance {
    let options = TestInstanceOptions { targets: 1, settings, ..TestInstanceOptions::default() };
    TestInstance::start(options).await.expect("the instance starts")
}

async fn start_default() -> TestInstance {
    start_test_instance(serde_json::json!({})).await
}

/// Bytes that hide a second request in the body of a first, and whether the first may run.
struct SmugglingCase {
    name: &'static str,
    request: String,
    may_run: bool,
}

fn smuggling_cases() -> Vec<SmugglingCase> {
    let post = format!("POST /{SERVICE}/x HTTP/1.1\r\nHost: a\r\n");
    let hidden = format!("GET /{SERVICE}/smuggled HTTP/1.1\r\nHost: a\r\n\r\n");
    let case = |name, head: &str, body: &str, may_run| SmugglingCase {
        name,
        request: format!("{post}{head}\r\n{body}"),
        may_run,
    };
    let chunked = "Transfer-Encoding: chunked\r\n";
    let length = format!("Content-Length: {}\r\n", hidden.len() + 5);
    let end_then_hidden = format!("0\r\n\r\n{hidden}");
    vec![
        case("differing lengths", "Content-Length: 0\r\nContent-Length: 5\r\n", &hidden, false),
        case("length list", "Content-Length: 0, 5\r\n", &hidden, false),
        case("signed length", "Content-Length: +0\r\n", &hidden, false),
        case("negative length", "Content-Length: -1\r\n", &hidden, false),
        case("length not a number", "Content-Length: 0x0\r\n", &hidden, false),
        case("both, length first", &format!("{length}{chunked}"), &end_then_hidden, true),
        case("both, length last", &format!("{chunked}{length}"), &end_then_hidden, true),
        case("unknown coding", "Transfer-Encoding: xchunked\r\n", &end_then_hidden, false),
        case("chunked not last", "Transfer-Encoding: chunked, identity\r\n", &end_then_hidden, false),
        case("space before colon", "Transfer-Encoding : chunked\r\n", &end_then_hidden, false),
        case("folded header", "X: a\r\n Transfer-Encoding: chunked\r\n", &hidden, false),
        case("chunk size not a number", chunked, &format!("zz\r\n{hidden}"), false),
        case("chunk size overflow", chunked, &format!("fffffffffffffffff\r\n{hidden}"), false),
        case("chunk longer than stated", chunked, &format!("1\r\nabc\r\n{end_then_hidden}"), false),
        case("two hosts", "Host: b\r\n", "", false),
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ambiguous_requests_smuggle_nothing() {
    let instance = start_default().await;
    for case in smuggling_cases() {
        let ran_before = instance.executed_count();
        let response = exchange_raw(instance.callers(), case.request.as_bytes(), RAW_EXCHANGE_TIMEOUT).await;
        let response = response.expect("the instance accepts the connection");
        assert!(response.matches("HTTP/1.1 ").count() <= 1, "{}: {response}", case.name);
        if case.may_run {
            assert!(instance.executed_count() <= ran_before + 1, "{}", case.name);
        } else {
            assert_eq!(instance.executed_count(), ran_before, "{}: {response}", case.name);
            assert!(response.is_empty() || response.starts_with("HTTP/1.1 4"), "{}: {response}", case.name);
        }
        let seen = instance.targets[0].recent_requests();
        assert!(!seen.iter().any(|r| r.path.contains("smuggled")), "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_answer_carries_an_outcome() {
    let instance = start_test_instance(serde_json::json!({"max_body_bytes": 1_000})).await;
    let long_head = format!("GET /{SERVICE}/x HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n", "x".repeat(40_000));
    let too_large = format!("POST /{SERVICE}/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n");
    for (request, status) in [
        ("BROKEN\r\n\r\n".to_owned(), "400"),
        (long_head, "431"),
        (too_large, "413"),
        (format!("GET /{SERVICE}/x HTTP/1.1\r\n\r\n"), "400"),
        (format!("GET /{SERVICE}/x HTTP/1.1\r\nHost: a\r\narbutusshelf-deadline-ms: soon\r\n\r\n"), "400"),
    ] {
        let response = exchange_raw(instance.callers(), request.as_bytes(), RAW_EXCHANGE_TIMEOUT).await;
        let response = response.expect("the instance accepts the connection");
        assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
        assert_eq!(response.matches("arbutusshelf-outcome: not-run").count(), 1, "{response}");
    }
    assert_eq!(instance.executed_count(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_and_idle_callers_are_let_go() {
    let instance =
        start_test_instance(serde_json::json!({"head_timeout_ms": 300, "progress_timeout_ms": 300})).await;
    let starts = [
        String::new(),
        "GET / HT".to_owned(),
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_owned(),
        format!("POST /{SERVICE}/x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n123"),
        format!("GET /{SERVICE}/x HTTP/1.1\r\nHost: a\r\n\r\n"),
    ];
    for start in starts {
        let mut stream =
            TcpStream::connect(instance.callers()).await.expect("the instance accepts the connection");
        stream.write_all(start.as_bytes()).await.expect("the partial request is written");
        let mut response = Vec::new();
        let end = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut response)).await;
        assert!(end.is_ok(), "the connection stayed open after {start:?}");
    }
    wait_until(|| instance.kernel.caller_connection_count() == 0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_end_to_end_headers_reach_the_target() {
    let instance = start_default().await;
    for caller in [Caller::default(), Caller::http2()] {
        let uri = format!("http://{}/{SERVICE}/x", instance.callers());
        let mut request = Request::get(uri).header("x-kept", "1").header("arbutusshelf-outcome", "ran");
        request = request.header("arbutusshelf-deadline-ms", "700").header("arbutusshelf-attempt", "3");
        if matches!(request.version_ref(), Some(&hyper::Version::HTTP_11)) {
            request = request.header("proxy-authorization", "secret").header("te", "trailers");
        }
        let response = caller.send(request.body(Full::default()).expect("a request")).await;
        assert_eq!(response.expect("a response").outcome(), "ran");
        let seen = instance.targets[0].recent_requests().pop().expect("the target saw it");
        for absent in ["proxy-authorization", "te", "arbutusshelf-outcome", "connection"] {
            assert!(!seen.headers.contains_key(absent), "{absent}");
        }
        assert_eq!(seen.headers["x-kept"], "1");
        assert_eq!(seen.headers["arbutusshelf-attempt"], "3");
        let deadline_ms = seen.headers["arbutusshelf-deadline-ms"].to_str().expect("text");
        let deadline_ms = deadline_ms.parse::<u64>().expect("a number");
        assert!((500..=700).contains(&deadline_ms), "{deadline_ms}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn headers_named_by_connection_are_dropped() {
    let instance = start_default().await;
    let request = format!(
        "GET /{SERVICE}/x HTTP/1.1\r\nHost: a\r\nConnection: close, x-hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\n\r\n"
    );
    let response = exchange_raw(instance.callers(), request.as_bytes(), RAW_EXCHANGE_TIMEOUT).await;
    assert!(response.expect("the instance accepts the connection").starts_with("HTTP/1.1 200"));
    let seen = instance.targets[0].recent_requests().pop().expect("the target saw it");
    assert!(!seen.headers.contains_key("x-hop") && !seen.headers.contains_key("keep-alive"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_callers_deadline_is_kept() {
    let instance = start_default().await;
    let uri = format!("http://{}/{SERVICE}/x?work_us=5000000", instance.callers());
    let request = Request::get(uri).header("arbutusshelf-deadline-ms", "150").body(Full::default());
    let started = Instant::now();
    let response = Caller::default().send(request.expect("a request")).await.expect("a response");
    assert_eq!((response.status, response.outcome()), (504, "unknown"));
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
}

/// When a caller disconnects, only an idempotent request is cancelled at the target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_cancels_only_what_is_idempotent() {
    for (method, path, cancelled) in
        [(Method::GET, "x", 1), (Method::POST, "x", 0), (Method::POST, "once", 0)]
    {
        for caller in [Caller::default(), Caller::http2()] {
            let instance = start_default().await;
            let (address, method) = (instance.callers(), method.clone());
            let path = format!("/{SERVICE}/{path}?work_us=400000");
            let call = async move { caller.call(method, address, &path, Some("key-1"), Bytes::new()).await };
            let leaving = tokio::spawn(call);
            wait_until(|| instance.targets[0].executed_count() == 1).await;
            leaving.abort();
            wait_until(|| instance.targets[0].in_flight() == 0).await;
            assert_eq!(instance.targets[0].cancelled_count(), cancelled);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_result_of_an_at_most_once_request_is_kept_when_its_caller_leaves() {
    let instance = start_default().await;
    let address = instance.callers();
    let path = format!("/{SERVICE}/once?work_us=100000");
    let caller = Caller::default();
    let (first, first_path) = (caller.clone(), path.clone());
    let leaving = tokio::spawn(async move {
        first.call(Method::POST, address, &first_path, Some("key-1"), Bytes::new()).await
    });
    wait_until(|| instance.targets[0].executed_count() == 1).await;
    leaving.abort();
    wait_until(|| instance.kernel.requests_in_progress().is_empty()).await;
    let again = caller.call(Method::POST, address, &path, Some("key-1"), Bytes::new()).await;
    let again = again.expect("a response");
    assert_eq!((again.status, again.outcome()), (200, "ran"));
    assert!(again.headers.contains_key("arbutusshelf-stored"));
    assert_eq!(instance.executed_count(), 1);
}
