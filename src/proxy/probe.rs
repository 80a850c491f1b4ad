//! Sends the probes that pools request to targets.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, header};
use tokio::{sync::mpsc, time::timeout};

use super::{
    attempt::read_load_report,
    connection::{ExchangeResult, ReusePolicy, connection_limit},
    upload::RequestBody,
};
use crate::{
    decide::{Event, LoadReport},
    kernel::{Kernel, pools::ProbeRequest},
    plan::TargetSpec,
};

/// Path at which targets answer probes.
const PROBE_PATH: &str = "/probe";

/// Time after which a probe counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends probes until the future is dropped.
pub async fn run(kernel: Arc<Kernel>, mut requests: mpsc::UnboundedReceiver<ProbeRequest>) {
    while let Some(request) = requests.recv().await {
        let kernel = Arc::clone(&kernel);
        kernel.observer.metrics.probes.inc();
        tokio::spawn(async move {
            let report = timeout(PROBE_TIMEOUT, probe(&kernel, &request.spec)).await;
            let report = report.ok().flatten();
            request.service_pool.handle(Event::ProbeEnded { target: request.target, report });
        });
    }
}

/// Sends one probe; returns `None` unless the target responds with success.
async fn probe(kernel: &Kernel, target: &TargetSpec) -> Option<LoadReport> {
    let limit = connection_limit(target.max_connections, kernel.plan.current().budgets.max_instances);
    let mut connection =
        kernel.connections.checkout(target.address, limit, ReusePolicy::AnyIdle).await.ok()?;
    let request = Request::get(PROBE_PATH)
        .header(header::HOST, target.address.to_string())
        .body(RequestBody::Buffered(Full::new(Bytes::new())))
        .ok()?;
    let ExchangeResult::Answered(response) = connection.send(request).await else { return None };
    if !response.status().is_success() {
        return None;
    }
    let report = read_load_report(&response);
    response.into_body().collect().await.ok()?;
    connection.release();
    Some(report)
}
