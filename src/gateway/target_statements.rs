//! What targets state of themselves in their responses: that they leave, or that they want a pause.

use hyper::{HeaderMap, StatusCode, header};

use super::Gateway;
use crate::decide::directory::Listing;

/// Records what a response states. Does nothing if it is not that of the target that was meant.
pub fn record(gateway: &Gateway, listing: &Listing, status: StatusCode, headers: &HeaderMap) {
    let names = &gateway.platform.headers;
    let is_of_other = headers.get(&names.target_id).is_some_and(|id| id != listing.id.as_str());
    if status == StatusCode::MISDIRECTED_REQUEST || is_of_other {
        return;
    }
    if headers.get_all(&names.leaving).iter().any(gateway.platform.decode_leaving) {
        record_leaving(gateway, listing);
    }
    if status == StatusCode::SERVICE_UNAVAILABLE {
        record_pause(gateway, listing, headers);
    }
}

fn record_leaving(gateway: &Gateway, listing: &Listing) {
    let now = gateway.now();
    let change = {
        let mut service_pools = gateway.service_pools();
        let change = service_pools.directory.record_leaving(now, &listing.id);
        service_pools.apply_changes(now, change.as_slice());
        change
    };
    if change.is_some() {
        log::info!("event=target-leaving target={} service={} source=response", listing.id, listing.service);
        gateway.state_changed.notify_waiters();
    }
}

/// Records the longest of the pauses that a response asks for.
fn record_pause(gateway: &Gateway, listing: &Listing, headers: &HeaderMap) {
    let values = headers.get_all(header::RETRY_AFTER).iter();
    let Some(pause) = values.filter_map(gateway.platform.decode_pause).max() else { return };
    let (service, target) = (&listing.service, &listing.id);
    let is_longer = gateway.service_pools().record_pause(gateway.now(), service, target, pause);
    if is_longer {
        log::info!("event=target-paused target={target} service={service} pause_ms={}", pause.as_millis());
        gateway.state_changed.notify_waiters();
    }
}
