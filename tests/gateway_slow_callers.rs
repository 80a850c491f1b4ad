//! Callers that take long to send a request.

mod gateway_env;

use std::time::{Duration, Instant};

use gateway_env::{HOST, TestDeployment, manifest, route};
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

/// The manifest of these tests has the time that they expect.
#[test]
fn the_manifest_of_the_tests_states_the_time_for_a_head() {
    let manifest = manifest(1, &[]);
    let limits = &manifest["resources"].as_array().expect("a list")[1]["spec"];
    assert_eq!(limits["headerTimeoutS"].as_f64(), Some(HEAD_TIMEOUT.as_secs_f64()));
}
