//! Rate limits that targets state in their responses, and their exchange among instances.
//!
//! An instance that gets only a few requests for a target would learn too late of its limit, and of the end of it,
//! from its own responses. So the instances pass on each change along the links by which they follow each other.

use std::time::Duration;

use hyper::HeaderMap;

use super::Gateway;
use crate::{
    decide::{
        directory::Listing,
        rate_limit::{RateLimitChange, RateLimitStatement},
    },
    peer::frame::{Frame, RateLimitEntry},
    units::{MonoTime, PerSecond, TargetId},
};

/// Time after which all limits are sent to a follower again: for one that did not know a target yet, and to keep the
/// phases of permits together.
const FOLLOWER_RESEND_PERIOD: Duration = Duration::from_secs(2);

/// Time after which all limits are sent to the followed instance again. It assigns phases and needs none.
const UPSTREAM_RESEND_PERIOD: Duration = Duration::from_secs(10);

/// Least time between two sends on one link; later changes wait for the next heartbeat.
const MIN_SEND_PERIOD: Duration = Duration::from_millis(100);

/// Most statements in one frame; keeps frames below their size limit.
const MAX_ENTRIES_PER_FRAME: usize = 400;

/// Millionths in one, the unit of limits and phases in frames.
const MICROS: f64 = 1e6;

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
    let now = gateway.now();
    let change = gateway.service_pools().record_rate_limit(now, &listing.service, &listing.id, limit);
    if let Some(change) = change {
        announce(gateway, &listing.id, change, "response");
    }
}

/// Records the statements that another instance has sent.
pub fn receive(gateway: &Gateway, entries: Vec<RateLimitEntry>) {
    for entry in entries {
        let statement = from_entry(entry);
        let change = gateway.service_pools().merge_rate_limit(gateway.now(), &statement);
        if let Some(change) = change {
            announce(gateway, &statement.target, change, "instance");
        }
    }
}

/// Passes a change on, and logs it if the limit is another one.
fn announce(gateway: &Gateway, target: &TargetId, change: RateLimitChange, source: &str) {
    gateway.notify_rate_limit_change();
    let RateLimitChange { limit, previous } = change;
    if limit == previous {
        return;
    }
    log::info!(
        "event=rate-limit target={target} limit_per_s={} was={} source={source} instances={}",
        display(limit),
        display(previous),
        gateway.instance_count().unwrap_or(0)
    );
    // Waiting calls may use the target now.
    gateway.state_changed.notify_waiters();
}

/// Formats a limit for log lines.
pub fn display(limit: Option<PerSecond>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}

/// The statements that the other end of a link has been sent.
#[derive(Debug, Default)]
pub struct SentRateLimits {
    /// Number of changes of limits that have been sent.
    revision: u64,
    /// When changes were sent; `None` before the first time.
    sent_at: Option<MonoTime>,
    /// When all limits were sent; `None` before the first time.
    all_sent_at: Option<MonoTime>,
}

impl SentRateLimits {
    /// Returns the frames to send now. `place` is the receiver's place among the followers of this instance, from
    /// 0 to 1, or `None` if it is not a follower.
    pub fn next_frames(&mut self, gateway: &Gateway, place: Option<f64>) -> Vec<Frame> {
        let now = gateway.now();
        let resend_period = if place.is_some() { FOLLOWER_RESEND_PERIOD } else { UPSTREAM_RESEND_PERIOD };
        let is_due = self.all_sent_at.is_none_or(|at| now.since(at) >= resend_period);
        let service_pools = gateway.service_pools();
        let revision = service_pools.rate_limit_revision();
        let is_too_soon = self.sent_at.is_some_and(|at| now.since(at) < MIN_SEND_PERIOD);
        if !is_due && (revision == self.revision || is_too_soon) {
            return Vec::new();
        }
        if revision != self.revision {
            self.sent_at = Some(now);
        }
        let statements = service_pools.rate_limit_statements(now, self.revision, is_due, place);
        drop(service_pools);
        self.revision = revision;
        if is_due {
            self.all_sent_at = Some(now);
        }
        let entries = statements.into_iter().map(to_entry).collect::<Vec<_>>();
        entries.chunks(MAX_ENTRIES_PER_FRAME).map(|chunk| Frame::RateLimits(chunk.to_vec())).collect()
    }
}

fn from_entry(entry: RateLimitEntry) -> RateLimitStatement {
    RateLimitStatement {
        target: entry.target,
        started_unix_ms: entry.started_unix_ms,
        limit: entry.limit_micros_per_s.map(|micros| PerSecond::from(micros as f64 / MICROS)),
        version: entry.version,
        phase: entry.phase_micros.map(|micros| f64::from(micros) / MICROS),
    }
}

fn to_entry(statement: RateLimitStatement) -> RateLimitEntry {
    RateLimitEntry {
        target: statement.target,
        started_unix_ms: statement.started_unix_ms,
        limit_micros_per_s: statement.limit.map(|limit| (f64::from(limit) * MICROS) as u64),
        version: statement.version,
        phase_micros: statement.phase.map(|phase| (phase * MICROS) as u32),
    }
}
