//! Probes: asks targets for their load at the moment of choice.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, header};
use tokio::time::timeout;

use super::{Gateway, exchange::connect};
use crate::{
    decide::{directory::Listing, probed::Reading},
    proxy::{
        connection::{ExchangeResult, ReusePolicy},
        upload::RequestBody,
    },
};

/// Time after which a probe counts as unanswered: ten times what a busy target in another data centre takes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts a probe of a target unless one is under way; its end is told through the gateway's news.
pub fn start(gateway: &Arc<Gateway>, listing: Listing) {
    let Some(mark) = gateway.fleet().probing(&listing.service, &listing.id) else { return };
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        let reading = timeout(PROBE_TIMEOUT, probe(&gateway, &listing)).await.ok().flatten();
        gateway.metrics.probe(reading.is_some());
        if reading.is_none() {
            log::info!("event=probe-failed target={} service={}", listing.id, listing.service);
        }
        let now = gateway.now();
        gateway.fleet().probed(now, &listing.service, &listing.id, mark, reading);
        gateway.news.notify_waiters();
    });
}

/// Sends one probe; `None` when the target did not tell its load.
async fn probe(gateway: &Gateway, listing: &Listing) -> Option<Reading> {
    let routing = gateway.routing()?;
    let path = routing.services.get(&listing.service)?.health_path.as_str();
    let request = Request::get(path)
        .header(header::HOST, listing.address.to_string())
        .body(RequestBody::Buffered(Full::new(Bytes::new())))
        .ok()?;
    let mut connection = connect(gateway, listing, ReusePolicy::AnyIdle).await?;
    let ExchangeResult::Answered(response) = connection.send(request).await else { return None };
    let names = &gateway.place.headers;
    let fields = response.headers();
    let is_meant = fields.get(&names.target_id).is_some_and(|id| id == listing.id.as_str());
    // A late second answer to an earlier request can come in the probe's place.
    let is_own = !fields.contains_key(&names.request_id) && !fields.contains_key(&names.proof);
    if !is_meant || !is_own {
        return None;
    }
    // A service whose targets tell no load is judged by its own sends alone.
    let untold = Reading { running: 0, waiting: 0, slots: listing.slots, pace: 1.0 };
    let told = fields.get(&names.load);
    let reading = told.map_or(Some(untold), gateway.place.decode_load);
    response.into_body().collect().await.ok()?;
    connection.release();
    reading
}
