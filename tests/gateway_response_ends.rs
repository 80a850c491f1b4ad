//! Ends of responses that only the end of the connection marks, as callers see them.

mod gateway_env;

use std::time::Duration;

use arbutusshelf_bench::{client::exchange_raw, deployment::ANY_PORT};
use gateway_env::{HOST, TestDeployment, entry};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Length of the bodies in bytes: more than an instance buffers.
const BODY_BYTES: usize = 400_000;

/// Length of the part that is sent of a body that breaks off, in bytes.
const PART_BYTES: usize = 300_000;

/// Time after which such a connection is reset: the part has been passed on by then.
const RESET_AFTER: Duration = Duration::from_millis(100);

/// Time after which a caller has all that it gets of a response, at the latest.
const RESPONSE_TIME: Duration = Duration::from_secs(2);

/// Answers probes, and requests by a response of `version` without a length, whose connection ends in an orderly way or
/// is reset before.
async fn respond(mut stream: TcpStream, version: &str, breaks_off: bool) -> std::io::Result<()> {
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await? > 0 {
        if !received.ends_with(b"\r\n\r\n") {
            continue;
        }
        let load = "X-Worker-Id: i-1\r\nX-Worker-Load: 0,0,3\r\n";
        if received.starts_with(b"GET /healthz") {
            let head = format!("HTTP/1.1 200 OK\r\n{load}Content-Length: 0\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            received.clear();
            continue;
        }
        let head = format!("{version} 200 OK\r\n{load}X-Response-Seal: 3e1b.07\r\n\r\n");
        let body = "x".repeat(if breaks_off { PART_BYTES } else { BODY_BYTES });
        stream.write_all((head + &body).as_bytes()).await?;
        if breaks_off {
            tokio::time::sleep(RESET_AFTER).await;
            stream.set_zero_linger()?;
        }
        return Ok(());
    }
    Ok(())
}

/// Starts a target that responds to all requests like [`respond`].
async fn start_target(
    deployment: &TestDeployment,
    version: &'static str,
    breaks_off: bool,
) -> JoinHandle<()> {
    let listener = TcpListener::bind(ANY_PORT).await.expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound");
    deployment.store.put_json("servers", "i-1", &entry(address, "plan", "ready"));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, version, breaks_off));
        }
    })
}

// Guards against a response that breaks off and looks complete, because its target's version can't mark the end of a
// body without length and the caller gets it in that version.
#[tokio::test]
async fn a_response_without_length_that_breaks_off_never_looks_complete() {
    for version in ["HTTP/1.0", "HTTP/1.1"] {
        for breaks_off in [true, false] {
            let deployment = TestDeployment::start().await;
            let _target = start_target(&deployment, version, breaks_off).await;
            let gateway = deployment.gateway("one", &json!({})).await;
            let request = format!("GET /read/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a1\r\n\r\n");
            let received = exchange_raw(gateway.callers, request.as_bytes(), RESPONSE_TIME).await;
            let received = received.expect("a response").to_ascii_lowercase();
            let head = received.lines().take_while(|line| !line.is_empty()).collect::<Vec<_>>();
            assert!(head[0].starts_with("http/1.1 200"), "{version}: {head:?}");
            assert!(head.contains(&"transfer-encoding: chunked"), "{version}: {head:?}");
            let has_last_chunk = received.ends_with("\r\n0\r\n\r\n");
            assert_eq!(has_last_chunk, !breaks_off, "{version}, breaks off: {breaks_off}");
            let body_bytes = received.matches('x').count() - head.join("").matches('x').count();
            assert_eq!(body_bytes >= BODY_BYTES, !breaks_off, "{version}: {body_bytes} bytes");
        }
    }
}
