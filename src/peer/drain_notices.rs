//! Signs of draining that were learned from answers, in the order in which links pass them on.

use super::frame::DrainNotice;

/// Signs kept; each target has at most one.
#[derive(Debug, Default)]
pub struct DrainNotices {
    /// Signs with their numbers, in rising order.
    signs: Vec<(u64, DrainNotice)>,
    last: u64,
}

impl DrainNotices {
    /// Adds a sign; returns whether it is newer than the one kept for its target.
    pub fn add(&mut self, sign: DrainNotice) -> bool {
        let kept = self.signs.iter().position(|(_, s)| s.target == sign.target);
        if let Some(at) = kept {
            if self.signs[at].1.after_return_unix_s >= sign.after_return_unix_s {
                return false;
            }
            self.signs.remove(at);
        }
        self.last += 1;
        self.signs.push((self.last, sign));
        true
    }

    /// Drops the signs that `outdated` names.
    pub fn remove_if(&mut self, outdated: impl Fn(&DrainNotice) -> bool) {
        self.signs.retain(|(_, sign)| !outdated(sign));
    }

    /// Returns the signs after number `seen` and the number to ask with next.
    pub fn newer_than(&self, seen: u64) -> (Vec<DrainNotice>, u64) {
        let new = self.signs.iter().filter(|(number, _)| *number > seen).map(|(_, s)| s.clone());
        (new.collect(), self.last)
    }
}
