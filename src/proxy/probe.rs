//! Probes of targets, as pools order them.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, header};
use tokio::{sync::mpsc, time::timeout};

use super::{
    connection::{ExchangeResult, ReusePolicy, connection_limit},
    send::load_report,
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

/// Carries out the probes that pools order; runs until dropped.
pub async fn run(kernel: Arc<Kernel>, mut orders: mpsc::UnboundedReceiver<ProbeRequest>) {
    while let Some(order) = orders.recv().await {
        let kernel = Arc::clone(&kernel);
        kernel.observer.metrics.probes.inc();
        tokio::spawn(async move {
            let report = timeout(PROBE_TIMEOUT, probe(&kernel, &order.spec)).await;
            let report = report.ok().flatten();
            order.cell.handle(Event::ProbeEnded { target: order.target, report });
        });
    }
}

/// Sends one probe; `None` when no good answer came.
async fn probe(kernel: &Kernel, target: &TargetSpec) -> Option<LoadReport> {
    let limit = connection_limit(target.max_connections, kernel.plan.current().budgets.max_instances);
    let mut connection = kernel.connections.checkout(target.address, limit, ReusePolicy::AnyIdle).await?;
    let request = Request::get(PROBE_PATH)
        .header(header::HOST, target.address.to_string())
        .body(RequestBody::Whole(Full::new(Bytes::new())))
        .ok()?;
    let ExchangeResult::Answered(response) = connection.send(request).await else { return None };
    if !response.status().is_success() {
        return None;
    }
    let report = load_report(&response);
    response.into_body().collect().await.ok()?;
    connection.release();
    Some(report)
}
