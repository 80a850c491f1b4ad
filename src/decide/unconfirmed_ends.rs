//! Sends that were lost or given up, and of which it is not known yet whether their target has ended.

use std::{collections::VecDeque, time::Duration};

use derive_more::Display;

use super::{
    directory::{DirectoryChange, Listing},
    suspects::SuspectSend,
};
use crate::{
    collections::HashSet,
    units::{MonoTime, TargetId},
};

/// Time within which the directory shows that a target has ended: its entry lapses after three missed heartbeats.
const CONFIRMATION_TIME: Duration = Duration::from_secs(10);

/// Most lost sends that are remembered; of more, the oldest ones are forgotten.
const MAX_UNCONFIRMED: usize = 256;

/// What new and open connections show of the process of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum ProcessState {
    /// It accepts connections.
    Listening,
    /// Nothing listens there, and no connection to it is left.
    Ended,
    /// It gave no sign in time, or contradictory ones.
    Unknown,
}

#[derive(Debug)]
struct UnconfirmedEnd {
    listing: Listing,
    process: ProcessState,
    send: SuspectSend,
    lost_at: MonoTime,
}

impl UnconfirmedEnd {
    /// Returns whether a change shows that the target has ended: another process has its name or its address, or
    /// its entry has lapsed and it gave no sign of life when the send was lost.
    fn is_confirmed_by(&self, change: &DirectoryChange) -> bool {
        match change {
            DirectoryChange::Added(other) => {
                let is_other_process = other.id != self.listing.id
                    || other
                        .started_unix_ms
                        .is_some_and(|started| Some(started) != self.listing.started_unix_ms);
                (other.id == self.listing.id || other.address == self.listing.address) && is_other_process
            }
            DirectoryChange::Updated(_) => false,
            DirectoryChange::Removed(id) => *id == self.listing.id && self.process == ProcessState::Unknown,
        }
    }
}

/// Lost sends of the last seconds whose target may have ended.
#[derive(Debug, Default)]
pub struct UnconfirmedEnds {
    ends: VecDeque<UnconfirmedEnd>,
    /// Targets that are being checked.
    checked: HashSet<TargetId>,
}

impl UnconfirmedEnds {
    /// Adds a send that was lost at `lost_at`. `process` is what was found of the target right after. Returns
    /// whether checks of the target are to be started; [`UnconfirmedEnds::end_checks`] ends them.
    pub fn add(
        &mut self,
        lost_at: MonoTime,
        listing: &Listing,
        process: ProcessState,
        send: SuspectSend,
    ) -> bool {
        if self.is_full(lost_at) {
            self.ends.pop_front();
        }
        self.ends.push_back(UnconfirmedEnd { listing: listing.clone(), process, send, lost_at });
        self.checked.insert(listing.id.clone())
    }

    /// Returns whether the next send displaces the oldest one.
    pub fn is_full(&mut self, now: MonoTime) -> bool {
        self.forget_old(now);
        self.ends.len() >= MAX_UNCONFIRMED
    }

    /// Records that the checks of a target have ended.
    pub fn end_checks(&mut self, target: &TargetId) {
        self.checked.remove(target);
    }

    /// Returns the sends to a target that has ended, with the times at which they were lost, and forgets them.
    pub fn confirm_target(&mut self, now: MonoTime, target: &TargetId) -> Vec<(SuspectSend, MonoTime)> {
        self.confirm_where(now, |end| end.listing.id == *target)
    }

    /// Returns the sends whose target has ended as these changes show, with the times at which they were lost, and
    /// forgets them.
    pub fn confirm(&mut self, now: MonoTime, changes: &[DirectoryChange]) -> Vec<(SuspectSend, MonoTime)> {
        self.confirm_where(now, |end| changes.iter().any(|change| end.is_confirmed_by(change)))
    }

    fn confirm_where(
        &mut self,
        now: MonoTime,
        is_confirmed: impl Fn(&UnconfirmedEnd) -> bool,
    ) -> Vec<(SuspectSend, MonoTime)> {
        self.forget_old(now);
        let mut confirmed = Vec::new();
        self.ends.retain(|end| {
            let is_confirmed = is_confirmed(end);
            confirmed.extend(is_confirmed.then_some((end.send, end.lost_at)));
            !is_confirmed
        });
        confirmed
    }

    fn forget_old(&mut self, now: MonoTime) {
        while self.ends.front().is_some_and(|end| now.since(end.lost_at) > CONFIRMATION_TIME) {
            self.ends.pop_front();
        }
    }
}
