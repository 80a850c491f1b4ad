//! Probes: asks targets for their load when a call has to choose among them.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header};
use tokio::time::timeout;

use super::{
    Gateway,
    exchange::{connect, discard},
    rate_limits,
};
use crate::{
    decide::{directory::Listing, probed_target::LoadReading},
    proxy::{
        connection::{ExchangeResult, ReusePolicy},
        upload::RequestBody,
    },
};

/// Time after which a probe has failed: ten times what a busy target in another data centre takes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts a probe of a target unless one is in flight. `Gateway::state_changed` is notified when it ends.
pub fn start(gateway: &Arc<Gateway>, listing: Listing) {
    let Some(marker) = gateway.service_pools().start_probe(&listing.service, &listing.id) else { return };
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        let reading = timeout(PROBE_TIMEOUT, probe(&gateway, &listing)).await.ok().flatten();
        gateway.metrics.record_probe(reading.is_some());
        if reading.is_none() {
            log::info!("event=probe-failed target={} service={}", listing.id, listing.service);
        }
        let now = gateway.now();
        gateway.service_pools().finish_probe(now, &listing.service, &listing.id, marker, reading);
        gateway.state_changed.notify_waiters();
    });
}

/// Sends one probe. Returns the target's load, or `None` if no valid response came.
async fn probe(gateway: &Gateway, listing: &Listing) -> Option<LoadReading> {
    let routing = gateway.routing()?;
    let path = routing.services.get(&listing.service)?.health_path.as_str();
    let request = Request::get(path)
        .header(header::HOST, listing.address.to_string())
        .body(RequestBody::Buffered(Full::new(Bytes::new())))
        .ok()?;
    let mut connection = connect(gateway, listing, ReusePolicy::AnyIdle).await?;
    let ExchangeResult::Answered(response) = connection.send(request).await else { return None };
    let names = &gateway.platform.headers;
    let headers = response.headers();
    let is_expected_target = headers.get(&names.target_id).is_some_and(|id| id == listing.id.as_str());
    // A late duplicate response to an earlier request may arrive instead of the probe's.
    let is_probe_response =
        !headers.contains_key(&names.request_id) && !headers.contains_key(&names.authenticity_proof);
    if !is_expected_target || !is_probe_response {
        return None;
    }
    rate_limits::record(gateway, listing, headers);
    // Targets that do not report their load are judged only by this instance's sends to them.
    let unreported = LoadReading { running: 0, waiting: 0, slots: listing.slots, slowdown: 1.0 };
    let load_header = headers.get(&names.load);
    let reading = load_header.map_or(Some(unreported), gateway.platform.decode_load);
    if discard(response.into_body()).await {
        connection.release();
    }
    reading
}
