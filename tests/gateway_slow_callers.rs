//! Callers that take long to send a request, or to take a response.

mod gateway_env;

use std::time::{Duration, Instant};

use arbutusshelf_bench::endless::{EndlessPart, EndlessTarget};
use gateway_env::{HOST, TestDeployment, entry, manifest, route};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Time that the manifest of these tests allows for a head; connections may be idle for 15 s.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the status of one complete response, whose body is shorter than the buffer.
async fn read_status(stream: &mut TcpStream) -> u16 {
    let mut received = vec![0; 4_096];
    let length = stream.read(&mut received).await.expect("a response");
    let text = String::from_utf8_lossy(&received[..length]).into_owned();
    text.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status line")
}

/// Guards against callers that occupy connections with heads which they never finish: the manifest's time for a head
/// was read and not applied.
#[tokio::test]
async fn a_head_that_takes_too_long_ends_its_connection() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    let mut stream = TcpStream::connect(gateway.callers).await.expect("a connection");
    let began_at = Instant::now();
    // A part at a time, so that the connection is never idle for long.
    let parts = [
        "GET /read/y HTTP/1.1\r\n",
        "Host: hall",
        ".example\r\n",
        "X-A: 1\r\n",
        "X-B: 2\r\n",
        "X-C: 3\r\n",
        "X-D: 4\r\n",
    ];
    let (mut reader, mut writer) = stream.split();
    let write = async {
        for part in parts {
            // The gateway may have closed the connection, which the reader notices.
            let _closed = writer.write_all(part.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
        tokio::time::sleep(HEAD_TIMEOUT * 3).await;
    };
    let mut received = Vec::new();
    tokio::select! {
        // A reset ends the reading, too.
        _ended = reader.read_to_end(&mut received) => {}
        () = write => {}
    }
    let took = began_at.elapsed();
    assert!((HEAD_TIMEOUT..HEAD_TIMEOUT + Duration::from_secs(1)).contains(&took), "{took:?}");
}

/// Only the time for the head is limited: not that between requests, nor that of a response.
#[tokio::test]
async fn an_idle_connection_and_a_slow_response_outlast_the_time_for_a_head() {
    let deployment = TestDeployment::start().await;
    deployment.put_routes(&[route("read", "/read/", "idempotent", "plan", 6_000)]);
    let worker = deployment.worker("i-1").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    let mut stream = TcpStream::connect(gateway.callers).await.expect("a connection");
    let request = |id: &str| format!("GET /read/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\r\n");
    stream.write_all(request("a1").as_bytes()).await.expect("it is written");
    assert_eq!(read_status(&mut stream).await, 200);
    tokio::time::sleep(HEAD_TIMEOUT + Duration::from_millis(500)).await;
    worker.set_service_time(HEAD_TIMEOUT + Duration::from_millis(500));
    stream.write_all(request("a2").as_bytes()).await.expect("it is written");
    // The next head begins while the response is awaited.
    tokio::time::sleep(Duration::from_millis(100)).await;
    stream.write_all(b"GET /read/y HTTP/1.1\r\n").await.expect("it is written");
    assert_eq!(read_status(&mut stream).await, 200);
}

/// Sends the head of a request with a body, and a byte of the body now and then, until a response comes. Returns the
/// response and how long it took.
async fn send_body_slowly(address: std::net::SocketAddr, deadline_ms: u64) -> (String, Duration) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!(
        "POST /charge/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a1\r\nX-Request-Deadline-Ms: {deadline_ms}\r\n\
         Content-Length: 100\r\n\r\n"
    );
    let sent_at = Instant::now();
    stream.write_all(head.as_bytes()).await.expect("it is written");
    let (mut reader, mut writer) = stream.split();
    let drip = async {
        for _ in 0..99 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            // The gateway may have closed the connection, which the reader notices.
            let _closed = writer.write_all(b"x").await;
        }
    };
    let mut received = vec![0; 4_096];
    let length = tokio::select! {
        length = reader.read(&mut received) => length.expect("a response"),
        () = drip => 0,
    };
    (String::from_utf8_lossy(&received[..length]).into_owned(), sent_at.elapsed())
}

/// Guards against requests whose body arrives so slowly that they are answered long after their deadline.
#[tokio::test]
async fn a_body_that_is_not_there_at_the_deadline_ends_the_request() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    // The timeout of the route is 2 s.
    for (deadline_ms, expected) in [(600, DEADLINE), (30_000, Duration::from_secs(2))] {
        let (response, took) = send_body_slowly(gateway.callers, deadline_ms).await;
        assert!(response.starts_with("HTTP/1.1 408") && response.contains("not-run"), "{response:?}");
        assert!((expected..expected + Duration::from_millis(500)).contains(&took), "{took:?}");
    }
    assert_eq!(worker.executed_requests().len(), 0);
}

/// Deadline of callers that are slow.
const DEADLINE: Duration = Duration::from_millis(600);

/// Sends a read whose response has no end, and takes nothing of it.
async fn send_and_take_nothing(
    deployment: &TestDeployment,
    gateway: &gateway_env::GatewayProcess,
) -> TcpStream {
    let mut stream = TcpStream::connect(gateway.callers).await.expect("a connection");
    let deadline_ms = DEADLINE.as_millis();
    let request = format!(
        "GET /read/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a1\r\nX-Request-Deadline-Ms: {deadline_ms}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("it is written");
    let admitted = || async { gateway.logged(&["event=request-ended", "request=\"a1\""]) };
    deployment.wait_until("the head of the response is there", admitted).await;
    stream
}

/// Guards against targets that are held by a caller that takes nothing: a body was only given up when its caller had
/// room for more of it.
#[tokio::test]
async fn a_caller_that_takes_nothing_holds_no_target_beyond_its_deadline() {
    for part in [EndlessPart::BodyWithLength, EndlessPart::ChunkedBody] {
        let deployment = TestDeployment::start().await;
        let target = EndlessTarget::start("i-1", part).await.expect("the target starts");
        deployment.store.put_json("servers", "i-1", &entry(target.address, "plan", "ready"));
        let gateway = deployment.gateway("one", &json!({})).await;
        let sent_at = Instant::now();
        let _stream = send_and_take_nothing(&deployment, &gateway).await;
        deployment.wait_until("the target is let go", || async { target.open_responses() == 0 }).await;
        let took = sent_at.elapsed();
        assert!(took < DEADLINE + Duration::from_millis(500), "{part:?}: the target was held for {took:?}");
    }
}

/// Guards against connections, and responses in memory, that a caller which takes nothing keeps for good.
#[tokio::test]
async fn a_caller_that_takes_nothing_is_disconnected() {
    let deployment = TestDeployment::start().await;
    let (route_timeout, idle_timeout) = (Duration::from_secs(1), Duration::from_millis(700));
    let mut short = manifest(100, &[route("read", "/read/", "idempotent", "plan", 1_000)]);
    for resource in short["resources"].as_array_mut().expect("a list") {
        if resource["resourceKind"] == "limits" {
            resource["spec"]["idleTimeoutS"] = json!(idle_timeout.as_secs_f64());
        }
    }
    deployment.store.put_json("op", "config", &short);
    let target = EndlessTarget::start("i-1", EndlessPart::BodyWithLength).await.expect("the target starts");
    deployment.store.put_json("servers", "i-1", &entry(target.address, "plan", "ready"));
    let gateway = deployment.gateway("one", &json!({})).await;
    let sent_at = Instant::now();
    let stream = send_and_take_nothing(&deployment, &gateway).await;
    let is_reset = || async { stream.take_error().expect("the state of the socket").is_some() };
    deployment.wait_until("the connection is reset", is_reset).await;
    let took = sent_at.elapsed();
    let limit = route_timeout + idle_timeout;
    assert!(took < limit + Duration::from_secs(1), "the connection was kept for {took:?}");
}

/// Guards against connections that occupy descriptors for good at the addresses of readiness and metrics, idle or with
/// heads that are never finished.
#[tokio::test]
async fn unused_connections_for_readiness_and_metrics_are_closed() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    let connected_at = Instant::now();
    let mut open = Vec::new();
    for address in [gateway.ready, gateway.metrics] {
        for sent in ["", "GET /ready HTTP/1.1\r\nHost: a\r\n", "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"] {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            stream.write_all(sent.as_bytes()).await.expect("it is written");
            open.push(stream);
        }
    }
    for mut stream in open {
        let mut received = Vec::new();
        // A reset ends the connection, too.
        let ended = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut received)).await;
        assert!(ended.is_ok(), "still open after {:?}", connected_at.elapsed());
    }
    // Checks once a second may use one connection.
    let mut stream = TcpStream::connect(gateway.ready).await.expect("a connection");
    for _ in 0..7 {
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("it is open");
        assert_eq!(read_status(&mut stream).await, 200);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// The manifest of these tests has the time that they expect.
#[test]
fn the_manifest_of_the_tests_states_the_time_for_a_head() {
    let manifest = manifest(1, &[]);
    let limits = &manifest["resources"].as_array().expect("a list")[1]["spec"];
    assert_eq!(limits["headerTimeoutS"].as_f64(), Some(HEAD_TIMEOUT.as_secs_f64()));
}
