//! Rate limits that targets state in their responses.

use hyper::HeaderMap;

use super::Gateway;
use crate::{decide::directory::Listing, units::PerSecond};

/// Records what a response of a target says of its rate limit.
///
/// The absence of a limit counts only in responses that bear the target's proof: others may not be its own.
pub fn record(gateway: &Gateway, listing: &Listing, headers: &HeaderMap) {
    let names = &gateway.platform.headers;
    let limit = match headers.get(&names.rate_limit) {
        Some(value) => {
            let limit = (gateway.platform.decode_rate_limit)(value);
            if limit.is_none() {
                log::warn!("event=rate-limit-unreadable target={} value={value:?}", listing.id);
                return;
            }
            limit
        }
        None if headers.contains_key(&names.authenticity_proof) => None,
        None => return,
    };
    let previous = gateway.service_pools().record_rate_limit(&listing.service, &listing.id, limit);
    if let Some(previous) = previous {
        log::info!(
            "event=rate-limit target={} service={} limit_per_s={} was={}",
            listing.id,
            listing.service,
            display(limit),
            display(previous)
        );
    }
}

/// Formats a limit for log lines.
pub fn display(limit: Option<PerSecond>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}
