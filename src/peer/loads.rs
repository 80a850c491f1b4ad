//! Load counts between instances: changed counts out, whole states in.

use std::time::Duration;

use super::frame::{LoadCount, Loads};
use crate::units::{MonoTime, PlanVersion};

/// Longest list of counts in one frame.
pub const MAX_COUNTS_PER_FRAME: usize = 1_024;

/// Time after which counts that did not change are told anew, so that their age stays small.
pub const REFRESH_PERIOD: Duration = Duration::from_millis(500);

/// Time after which a receiver passes on also the counts that a frame leaves unchanged.
const PASS_ON_PERIOD: Duration = Duration::from_millis(100);

/// Time over which the fastest frame is remembered.
const FASTEST_KEPT: Duration = Duration::from_mins(1);

/// What one link has told its peer of this instance's requests in flight.
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
    told: Vec<u32>,
    sent_at: MonoTime,
}

impl LoadSender {
    /// Returns the counts that changed since the last frame, or `None`.
    ///
    /// A frame without counts says that all is as before; it is due every [`REFRESH_PERIOD`] unless all are 0.
    ///
    /// `in_flight` has one count for each target of plan `version`, in the order of the plan.
    pub fn next_update(&mut self, version: PlanVersion, in_flight: &[u32], now: MonoTime) -> Option<Loads> {
        if self.version != version || self.told.len() != in_flight.len() {
            self.version = version;
            self.told = vec![0; in_flight.len()];
        }
        let mut counts = Vec::new();
        let mut next = 0;
        for (index, (told, actual)) in self.told.iter_mut().zip(in_flight).enumerate() {
            if told == actual || counts.len() == MAX_COUNTS_PER_FRAME {
                continue;
            }
            *told = *actual;
            counts.push(LoadCount { skipped: (index - next) as u32, in_flight: *actual });
            next = index + 1;
        }
        let refresh = now.since(self.sent_at) >= REFRESH_PERIOD && self.told.iter().any(|n| *n > 0);
        if counts.is_empty() && !refresh {
            return None;
        }
        self.sent_at = now;
        Some(Loads { plan_version: version, sent_at_us: now.as_micros(), counts })
    }
}

/// One count as received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedLoad {
    /// Position in the plan's list of targets.
    pub index: usize,
    /// Requests the peer has in flight there.
    pub in_flight: u32,
    /// Time since the peer took the count, beyond the delay of the fastest frame.
    pub age: Duration,
}

/// What one peer has told of its requests in flight.
#[derive(Debug, Default)]
pub struct LoadReceiver {
    /// Least difference between this clock at receipt and the peer's at sending, and since when it is kept.
    fastest: Option<(i128, MonoTime)>,
    version: PlanVersion,
    /// Counts in the order of the plan's targets.
    held: Vec<u32>,
    /// When all counts were last passed on.
    passed_on_at: MonoTime,
}

impl LoadReceiver {
    /// Takes a frame and returns what it tells, in the order of the plan.
    ///
    /// Counts for another plan than `version` or beyond `targets` give nothing. A frame also shows that the
    /// counts it leaves out are as before; those above 0 are returned with it every 100 ms.
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
        if self.version != version || self.held.len() != targets {
            self.version = version;
            self.held = vec![0; targets];
        }
        let changed = self.apply(loads);
        let load = |index: usize| ReceivedLoad { index, in_flight: self.held[index], age };
        if now.since(self.passed_on_at) < PASS_ON_PERIOD {
            return changed.into_iter().map(load).collect();
        }
        self.passed_on_at = now;
        let told = |index: &usize| self.held[*index] > 0 || changed.binary_search(index).is_ok();
        (0..targets).filter(told).map(load).collect()
    }

    /// Takes the counts and returns the positions of those within the plan, rising.
    fn apply(&mut self, loads: &Loads) -> Vec<usize> {
        let mut changed = Vec::with_capacity(loads.counts.len().min(self.held.len()));
        let mut next = 0_usize;
        for count in &loads.counts {
            let index = next.saturating_add(count.skipped as usize);
            let Some(held) = self.held.get_mut(index) else {
                return changed;
            };
            *held = count.in_flight;
            changed.push(index);
            next = index + 1;
        }
        changed
    }

    fn age(&mut self, now: MonoTime, sent_at_us: u64) -> Duration {
        let difference = i128::from(now.as_micros()) - i128::from(sent_at_us);
        let kept = self.fastest.filter(|(_, since)| now.since(*since) < FASTEST_KEPT);
        let (fastest, _) = *self.fastest.insert(match kept {
            Some((fastest, since)) if fastest <= difference => (fastest, since),
            _ => (difference, now),
        });
        Duration::from_micros(u64::try_from(difference - fastest).unwrap_or(0))
    }
}
