//! Probes: asks targets for their load when a call has to choose among them.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use http_body_util::Full;
use hyper::{Request, header};
use tokio::time::timeout;

use super::{
    Gateway,
    exchange::{DiscardedBody, connect, discard},
    path_check, rate_limits, target_statements,
};
use crate::{
    decide::{directory::Listing, probed_target::LoadReading, target_response::is_final},
    proxy::{
        connection::{ConnectFailure, ExchangeResult, ReusePolicy},
        upload::RequestBody,
    },
};

/// Time after which a probe has failed: ten times what a busy target in another data centre takes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts a probe of a target unless one is in flight, or the target takes no requests. `Gateway::state_changed` is
/// notified when it ends.
pub fn start(gateway: &Arc<Gateway>, listing: Listing) {
    if !gateway.service_pools().takes_requests(gateway.now(), &listing) {
        return;
    }
    let Some(marker) = gateway.service_pools().start_probe(&listing.service, &listing.id) else { return };
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        let probed = timeout(PROBE_TIMEOUT, probe(&gateway, &listing)).await;
        let probed = probed.unwrap_or(Err(ProbeFailure::TimedOut));
        gateway.metrics.record_probe(probed.is_ok());
        if let Err(failure) = probed {
            let Listing { id, service, .. } = &listing;
            log::info!("event=probe-failed target={id} service={service} cause={failure}");
            if failure.may_be_of_path() {
                path_check::report_failure(&gateway, &listing);
            }
        }
        let reading = probed.ok();
        let now = gateway.now();
        gateway.service_pools().finish_probe(now, &listing.service, &listing.id, marker, reading);
        gateway.state_changed.notify_waiters();
    });
}

/// Why a probe has shown nothing of its target's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
enum ProbeFailure {
    /// There was no connection for it.
    #[display("{_0}")]
    Connect(ConnectFailure),
    /// No response came in time.
    TimedOut,
    /// The connection broke before the response.
    Lost,
    /// The response is not that of the target to this probe, or states no load that can be read.
    Invalid,
    /// The routing table does not name the target's service, or not a path for probes that can be requested.
    NotRouted,
}

impl ProbeFailure {
    /// Returns whether this host may have no path to the target.
    fn may_be_of_path(self) -> bool {
        match self {
            Self::Connect(failure) => failure.may_be_of_path(),
            Self::TimedOut | Self::Lost => true,
            Self::Invalid | Self::NotRouted => false,
        }
    }
}

/// Returns whether a target can be reached by a new connection. One that states a rate limit is sent no request.
pub async fn reach(gateway: &Gateway, listing: &Listing) -> bool {
    let Ok(mut connection) = gateway.connections.open_beyond_limit(listing.address).await else {
        return false;
    };
    let is_limited = gateway.service_pools().rate_limit(&listing.service, &listing.id).is_some();
    if is_limited {
        return true;
    }
    let Ok(request) = probe_request(gateway, listing) else { return true };
    let ExchangeResult::Answered(response) = connection.send(request).await else { return false };
    if discard(response.into_body()).await == DiscardedBody::Complete {
        connection.release();
    }
    true
}

/// Sends one probe and returns the target's load.
async fn probe(gateway: &Gateway, listing: &Listing) -> Result<LoadReading, ProbeFailure> {
    let request = probe_request(gateway, listing)?;
    let connection = connect(gateway, listing, ReusePolicy::AnyIdle).await;
    let mut connection = connection.map_err(ProbeFailure::Connect)?;
    let is_new_connection = !connection.is_reused();
    let ExchangeResult::Answered(response) = connection.send(request).await else {
        return Err(ProbeFailure::Lost);
    };
    let Listing { id, service, .. } = listing;
    gateway.target_paths().record_response(gateway.now(), service, id, is_new_connection);
    let names = &gateway.platform.headers;
    let headers = response.headers();
    let is_expected_target = headers.get(&names.target_id).is_some_and(|id| id == listing.id.as_str());
    // A late duplicate response to an earlier request may arrive instead of the probe's.
    let is_probe_response =
        !headers.contains_key(&names.request_id) && !headers.contains_key(&names.authenticity_proof);
    if !is_final(response.status().as_u16()) || !is_expected_target || !is_probe_response {
        return Err(ProbeFailure::Invalid);
    }
    target_statements::record(gateway, listing, response.status(), headers);
    rate_limits::record(gateway, listing, headers);
    // Targets that do not report their load are judged only by this instance's sends to them.
    let unreported = LoadReading { running: 0, waiting: 0, slots: listing.slots, slowdown: 1.0 };
    let load_header = headers.get(&names.load);
    let reading = load_header.map_or(Some(unreported), gateway.platform.decode_load);
    if discard(response.into_body()).await == DiscardedBody::Complete {
        connection.release();
    }
    reading.ok_or(ProbeFailure::Invalid)
}

fn probe_request(gateway: &Gateway, listing: &Listing) -> Result<Request<RequestBody>, ProbeFailure> {
    let routing = gateway.routing();
    let service = routing.as_ref().and_then(|routing| routing.services.get(&listing.service));
    let path = service.ok_or(ProbeFailure::NotRouted)?.health_path.as_str();
    let request = Request::get(path).header(header::HOST, listing.address.to_string());
    request.body(RequestBody::Buffered(Full::new(Bytes::new()))).map_err(|_malformed| ProbeFailure::NotRouted)
}
