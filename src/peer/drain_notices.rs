//! Drain notices that this instance has learned from answers of targets or from peers, in order of arrival.

use super::frame::DrainNotice;

/// Latest drain notice of each target. Every link reads from it the notices that it has not sent yet.
#[derive(Debug, Default)]
pub struct DrainNotices {
    /// Notices with their sequence numbers, in ascending order.
    notices: Vec<(u64, DrainNotice)>,
    /// Sequence number of the latest notice, 0 for none.
    last: u64,
}

impl DrainNotices {
    /// Adds a notice; returns whether it is newer than the one kept for its target.
    pub fn add(&mut self, notice: DrainNotice) -> bool {
        let known = self.notices.iter().position(|(_, n)| n.target == notice.target);
        if let Some(index) = known {
            if self.notices[index].1.after_return_unix_s >= notice.after_return_unix_s {
                return false;
            }
            self.notices.remove(index);
        }
        self.last += 1;
        self.notices.push((self.last, notice));
        true
    }

    /// Removes the notices for which `outdated` returns true.
    pub fn remove_if(&mut self, outdated: impl Fn(&DrainNotice) -> bool) {
        self.notices.retain(|(_, notice)| !outdated(notice));
    }

    /// Returns the notices after sequence number `seen`, and the number to pass on the next call.
    pub fn newer_than(&self, seen: u64) -> (Vec<DrainNotice>, u64) {
        let new = self.notices.iter().filter(|(number, _)| *number > seen).map(|(_, n)| n.clone());
        (new.collect(), self.last)
    }
}
