//! Graceful shutdown: requests in progress complete before the instance ends.

mod testenv;

use std::{convert::Infallible, time::Duration};

use arbutusshelf_bench::{
    client::{Caller, exchange_raw},
    deployment::ANY_PORT,
    platform::PlatformStandIn,
    target::{RECEIVED_DIGEST, TargetStandIn, generate_content},
    test_instance::{SERVICE, TestInstance, TestInstanceOptions, wait_until},
};
use bytes::Bytes;
use http_body_util::StreamBody;
use hyper::{Request, body::Frame, client::conn::http1};
use hyper_util::rt::TokioIo;
use testenv::TestEnv;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const MEGABYTE: usize = 1 << 20;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_download_outlasts_a_shutdown() {
    let instance = TestInstance::start(TestInstanceOptions::default()).await.expect("the instance starts");
    let address = instance.callers();
    let path = format!("/{SERVICE}/recording");
    let request = format!("{path}?bytes={MEGABYTE}&work_us=900000");
    let transfer = tokio::spawn(async move { Caller::default().get(address, &request).await });
    wait_until(|| instance.targets.iter().any(|t| t.in_flight() > 0)).await;
    instance.kernel.leave();
    let received = transfer.await.expect("the caller does not panic").expect("a complete response");
    assert_eq!(received.outcome(), "ran");
    assert!(received.body == generate_content(&path, MEGABYTE), "the response differs");
    tokio::time::timeout(Duration::from_secs(10), instance.task)
        .await
        .expect("the instance ends in time")
        .expect("the instance does not panic");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_caller_gets_its_last_byte_before_the_instance_ends() {
    let size = 12 << 20;
    let instance = TestInstance::start(TestInstanceOptions::default()).await.expect("the instance starts");
    let path = format!("/{SERVICE}/recording");
    let request = format!("{path}?bytes={size}");
    let started = Caller::default().start_get(instance.callers(), &request).await.expect("a response head");
    instance.kernel.leave();
    instance.kernel.wait_refusing().await;
    assert!(!instance.task.is_finished());
    let received = started.read_to_end().await.expect("a complete response");
    assert!(received.body == generate_content(&path, size), "the response differs");
    tokio::time::timeout(Duration::from_secs(10), instance.task)
        .await
        .expect("the instance ends in time")
        .expect("the instance does not panic");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_upload_outlasts_a_shutdown() {
    let instance = TestInstance::start(TestInstanceOptions::default()).await.expect("the instance starts");
    let (sender, receiver) = tokio::sync::mpsc::channel::<Bytes>(1);
    let chunks = futures::stream::unfold(receiver, |mut receiver| async move {
        let chunk = receiver.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(chunk)), receiver))
    });
    let stream = TcpStream::connect(instance.callers()).await.expect("the instance accepts the connection");
    let (mut connection, driver) =
        http1::handshake(TokioIo::new(stream)).await.expect("the connection opens");
    tokio::spawn(driver);
    let request = Request::post(format!("/{SERVICE}/x")).header("host", "a");
    let request = request.body(StreamBody::new(Box::pin(chunks))).expect("a request");
    let response = tokio::spawn(async move { connection.send_request(request).await });
    let chunk = Bytes::from(vec![1; 100_000]);
    sender.send(chunk.clone()).await.expect("the upload continues");
    wait_until(|| instance.targets[0].in_flight() + instance.targets[1].in_flight() == 1).await;
    instance.kernel.leave();
    instance.kernel.wait_refusing().await;
    for _ in 0..3 {
        sender.send(chunk.clone()).await.expect("the upload continues");
    }
    drop(sender);
    let response = response.await.expect("the caller does not panic").expect("a response");
    assert_eq!(response.headers()["arbutusshelf-outcome"], "ran");
    let upload = response.headers()[RECEIVED_DIGEST].to_str().expect("text").to_owned();
    assert!(upload.starts_with("400000:"), "{upload}");
    drop(response);
    tokio::time::timeout(Duration::from_secs(10), instance.task)
        .await
        .expect("the instance ends in time")
        .expect("the instance does not panic");
}

/// During `balancer_lag_ms` the instance still serves requests; after it, it answers `not-run`, also on
/// connections opened earlier.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_after_the_lag_are_told_not_run() {
    let instance = TestInstance::start(TestInstanceOptions::default()).await.expect("the instance starts");
    let request = format!("GET /{SERVICE}/x HTTP/1.1\r\nHost: a\r\n\r\n");
    let mut connection_opened_before =
        TcpStream::connect(instance.callers()).await.expect("the instance accepts the connection");
    instance.kernel.leave();
    assert!(instance.kernel.check_readiness().is_err());
    let during = exchange_raw(instance.callers(), request.as_bytes(), Duration::from_secs(5)).await;
    let during = during.expect("the instance accepts the connection");
    assert!(during.starts_with("HTTP/1.1 200") && during.contains("connection: close"), "{during}");
    instance.kernel.wait_refusing().await;
    connection_opened_before.write_all(request.as_bytes()).await.expect("the connection is still open");
    let mut response = String::new();
    connection_opened_before
        .read_to_string(&mut response)
        .await
        .expect("a response and the end of the connection");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("arbutusshelf-outcome: not-run") && response.contains("connection: close"));
    tokio::time::timeout(Duration::from_secs(10), instance.task)
        .await
        .expect("the instance ends in time")
        .expect("the instance does not panic");
    assert_eq!(instance.targets.iter().map(TargetStandIn::executed_count).sum::<u32>(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_http2_caller_is_told_to_go_away_and_loses_nothing() {
    let instance = TestInstance::start(TestInstanceOptions::default()).await.expect("the instance starts");
    let caller = Caller::http2();
    let path = format!("/{SERVICE}/x?work_us=150000");
    let calls = (0..8).map(|_| {
        let (caller, path, address) = (caller.clone(), path.clone(), instance.callers());
        tokio::spawn(async move { caller.get(address, &path).await })
    });
    let calls = calls.collect::<Vec<_>>();
    wait_until(|| instance.targets.iter().map(TargetStandIn::in_flight).sum::<u32>() == 8).await;
    instance.kernel.leave();
    for call in calls {
        let response = call.await.expect("the caller does not panic").expect("a complete response");
        assert_eq!(response.outcome(), "ran");
    }
    tokio::time::timeout(Duration::from_secs(10), instance.task)
        .await
        .expect("the instance ends in time")
        .expect("the instance does not panic");
}

/// The second signal logs the requests that the third one would interrupt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_signal_names_the_requests_in_progress() {
    let target = TargetStandIn::start(ANY_PORT, 3).await.expect("loopback has a free port");
    let platform = PlatformStandIn::start(ANY_PORT, 1).await.expect("loopback has a free port");
    let settings =
        serde_json::json!({"platform_driver": "http", "platform_address": platform.server.address});
    let address = target.server.address;
    let (mut instance, env) = tokio::task::spawn_blocking(move || {
        let env = TestEnv::new();
        let instance = env.serve("entry-01", &settings);
        let sheet = env.write("sheet.csv", &one_target_sheet(address));
        let admin = instance.admin.to_string();
        let output = env.run(&["plan", "submit", &sheet, "--to", &admin, "--change-id", "first"]);
        assert_eq!(output.status.code(), Some(0), "{}", testenv::stderr(&output));
        (instance, env)
    })
    .await
    .expect("the instance starts");
    let (callers, path) = (instance.callers, format!("/{SERVICE}/x?work_us=20000000"));
    let call = tokio::spawn(async move { Caller::default().get(callers, &path).await });
    wait_until(|| target.in_flight() == 1).await;
    let instance = tokio::task::spawn_blocking(move || {
        instance.signal("TERM");
        instance.wait_log("event=refusing-new");
        instance.signal("TERM");
        let line = instance.wait_log("event=second-signal-request");
        assert!(line.contains(&format!("service={SERVICE}")) && line.contains("kind=idempotent"), "{line}");
        instance.signal("TERM");
        assert_eq!(instance.wait_end(), Some(1));
        drop(env);
        instance
    });
    instance.await.expect("the instance logs the request");
    assert!(call.await.expect("the caller does not panic").is_err());
}

fn one_target_sheet(target: std::net::SocketAddr) -> String {
    format!(
        "[instances]\nid,data_centre\nentry-01,ost-a\n\n[services]\nname,deadline_ms\n{SERVICE},30000\n\n\
         [targets]\nservice,id,address,data_centre,slots,max_connections\n{SERVICE},svc-01,{target},ost-a,3,200\n\n\
         [routes]\nservice,method,path_prefix,kind,priority\n{SERVICE},GET,/{SERVICE},idempotent,normal\n"
    )
}
