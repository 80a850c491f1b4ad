//! Pauses that targets have asked for.

use crate::{
    collections::HashMap,
    decide::directory::Listing,
    units::{MonoTime, TargetId},
};

/// The pause of one run of a target.
#[derive(Debug)]
struct Pause {
    started_unix_ms: Option<u64>,
    until: MonoTime,
}

/// Pauses by target. They outlast the target's entry in the directory, which may lapse and return.
#[derive(Debug, Default)]
pub(super) struct Pauses {
    by_target: HashMap<TargetId, Pause>,
}

impl Pauses {
    /// Records a pause. Returns whether it ends later than an earlier one of the same run, which holds otherwise.
    pub(super) fn record(&mut self, now: MonoTime, listing: &Listing, until: MonoTime) -> bool {
        if self.paused_until(now, listing).is_some_and(|known| known >= until) {
            return false;
        }
        self.by_target.retain(|_, pause| pause.until > now);
        let started_unix_ms = listing.started_unix_ms;
        self.by_target.insert(listing.id.clone(), Pause { started_unix_ms, until });
        true
    }

    /// Returns when the pause of a target ends; `None` if it has none now.
    pub(super) fn paused_until(&self, now: MonoTime, listing: &Listing) -> Option<MonoTime> {
        let pause = self.by_target.get(&listing.id)?;
        let holds = pause.started_unix_ms == listing.started_unix_ms && pause.until > now;
        holds.then_some(pause.until)
    }

    /// Returns whether a target has asked for a pause that has not ended.
    pub(super) fn is_paused(&self, now: MonoTime, listing: &Listing) -> bool {
        self.paused_until(now, listing).is_some()
    }
}
