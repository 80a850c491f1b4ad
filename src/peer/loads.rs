//! Load counts between instances: the sender transmits changed counts, the receiver restores all counts.

use std::time::Duration;

use super::frame::{LoadCount, Loads};
use crate::units::{MonoTime, PlanVersion};

/// Largest number of counts in one frame; further changes follow in the next one.
pub const MAX_COUNTS_PER_FRAME: usize = 1_024;

/// Time after which a sender confirms counts that did not change, so that their age at the receiver stays
/// small.
pub const REFRESH_PERIOD: Duration = Duration::from_millis(500);

/// Least time between two updates in which a receiver also returns unchanged counts.
const FULL_UPDATE_PERIOD: Duration = Duration::from_millis(100);

/// Time for which the smallest clock difference is kept; then the next frame replaces it.
const CLOCK_DIFFERENCE_RETENTION: Duration = Duration::from_mins(1);

/// Sending side of the load counts of one link: remembers what the peer already knows.
///
/// ```
/// use arbutusshelf::{peer::loads::LoadSender, units::{MonoTime, PlanVersion}};
///
/// let (version, now) = (PlanVersion::from(1), MonoTime::from(5));
/// let mut sender = LoadSender::default();
/// let first = sender.next_update(version, &[0, 3, 0, 1], now).expect("counts changed");
/// assert_eq!(first.counts.len(), 2);
/// assert_eq!(sender.next_update(version, &[0, 3, 0, 1], now), None);
/// ```
#[derive(Debug, Default)]
pub struct LoadSender {
    version: PlanVersion,
    /// Counts that the peer has, in the order of the plan's targets.
    sent: Vec<u32>,
    /// When the last frame was sent.
    sent_at: MonoTime,
}

impl LoadSender {
    /// Returns the next frame to send, with the counts that changed since the last one; `None` if none is
    /// due.
    ///
    /// A frame without counts confirms the counts sent before; one is due after [`REFRESH_PERIOD`] without a
    /// frame, unless all counts are 0. `in_flight` has one count for each target of plan `version`, in the
    /// plan's order.
    pub fn next_update(&mut self, version: PlanVersion, in_flight: &[u32], now: MonoTime) -> Option<Loads> {
        if self.version != version || self.sent.len() != in_flight.len() {
            self.version = version;
            self.sent = vec![0; in_flight.len()];
        }
        let mut counts = Vec::new();
        let mut next = 0;
        for (index, (sent, actual)) in self.sent.iter_mut().zip(in_flight).enumerate() {
            if sent == actual || counts.len() == MAX_COUNTS_PER_FRAME {
                continue;
            }
            *sent = *actual;
            counts.push(LoadCount { skipped: (index - next) as u32, in_flight: *actual });
            next = index + 1;
        }
        let refresh = now.since(self.sent_at) >= REFRESH_PERIOD && self.sent.iter().any(|n| *n > 0);
        if counts.is_empty() && !refresh {
            return None;
        }
        self.sent_at = now;
        Some(Loads { plan_version: version, sent_at_us: now.as_micros(), counts })
    }
}

/// Number of a peer's requests in flight at one target, as received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedLoad {
    /// Position of the target in the plan's list of targets.
    pub index: usize,
    /// Requests that the peer has in flight at the target.
    pub in_flight: u32,
    /// Estimated age of the count: the frame's delay beyond that of the fastest frame of the last minute.
    pub age: Duration,
}

/// Receiving side of the load counts of one link.
#[derive(Debug, Default)]
pub struct LoadReceiver {
    /// Smallest difference in microseconds between receipt on this clock and sending on the peer's, and when
    /// it was seen.
    min_clock_difference: Option<(i128, MonoTime)>,
    version: PlanVersion,
    /// The peer's counts, in the order of the plan's targets.
    counts: Vec<u32>,
    /// When unchanged counts were last returned.
    full_update_at: MonoTime,
}

impl LoadReceiver {
    /// Applies a frame and returns the counts that it states, in the order of the plan's targets.
    ///
    /// Counts for a plan other than `version` or beyond the number of `targets` are ignored. A frame also
    /// confirms the counts that it leaves out; those above 0 are returned as well, at most every 100 ms.
    pub fn receive(
        &mut self,
        now: MonoTime,
        version: PlanVersion,
        targets: usize,
        loads: &Loads,
    ) -> Vec<ReceivedLoad> {
        let age = self.age(now, loads.sent_at_us);
        if loads.plan_version != version {
            return Vec::new();
        }
        if self.version != version || self.counts.len() != targets {
            self.version = version;
            self.counts = vec![0; targets];
        }
        let changed = self.apply(loads);
        let load = |index: usize| ReceivedLoad { index, in_flight: self.counts[index], age };
        if now.since(self.full_update_at) < FULL_UPDATE_PERIOD {
            return changed.into_iter().map(load).collect();
        }
        self.full_update_at = now;
        let included = |index: &usize| self.counts[*index] > 0 || changed.binary_search(index).is_ok();
        (0..targets).filter(included).map(load).collect()
    }

    /// Stores the counts and returns the positions of those within the plan, in ascending order.
    fn apply(&mut self, loads: &Loads) -> Vec<usize> {
        let mut changed = Vec::with_capacity(loads.counts.len().min(self.counts.len()));
        let mut next = 0_usize;
        for count in &loads.counts {
            let index = next.saturating_add(count.skipped as usize);
            let Some(current) = self.counts.get_mut(index) else {
                return changed;
            };
            *current = count.in_flight;
            changed.push(index);
            next = index + 1;
        }
        changed
    }

    /// Returns how much longer the frame took than the fastest one of the last minute.
    ///
    /// The clocks of two instances differ by an unknown offset, so only differences between delays are known.
    fn age(&mut self, now: MonoTime, sent_at_us: u64) -> Duration {
        let difference = i128::from(now.as_micros()) - i128::from(sent_at_us);
        let kept =
            self.min_clock_difference.filter(|(_, since)| now.since(*since) < CLOCK_DIFFERENCE_RETENTION);
        let (min, _) = *self.min_clock_difference.insert(match kept {
            Some((min, since)) if min <= difference => (min, since),
            _ => (difference, now),
        });
        Duration::from_micros(u64::try_from(difference - min).unwrap_or(0))
    }
}
