//! Graceful shutdown: no request in progress is cut off.

use std::time::Duration;

use arbutusshelf_bench::{
    client::Caller,
    gateway::{Gateway, GatewayOptions, SERVICE, wait_until},
    target::content,
};

const MEGABYTE: usize = 1 << 20;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_download_outlasts_a_shutdown() {
    let gateway = Gateway::start(GatewayOptions::default()).await.expect("the gateway starts");
    let address = gateway.callers();
    let path = format!("/{SERVICE}/recording");
    let request = format!("{path}?bytes={MEGABYTE}&work_us=900000");
    let transfer = tokio::spawn(async move { Caller::default().get(address, &request).await });
    wait_until(|| gateway.targets.iter().any(|t| t.in_flight() > 0)).await;
    gateway.kernel.leave();
    let received = transfer.await.expect("the caller does not panic").expect("a whole answer");
    assert_eq!(received.outcome(), "ran");
    assert!(received.body == content(&path, MEGABYTE), "the answer differs");
    tokio::time::timeout(Duration::from_secs(10), gateway.task).await.expect("it leaves").expect("no panic");
}
