//! Requests that peers have in flight, from counts that are always some milliseconds old.

use std::time::Duration;

use super::{PeerLoad, TargetIndex};
use crate::{
    collections::HashMap,
    units::{InstanceId, MonoTime},
};

/// Time after which the counts of a silent peer no longer apply.
const FORGET_AFTER: Duration = Duration::from_secs(2);

/// Weight of the latest age in the running mean.
const AGE_WEIGHT: f64 = 0.05;

/// Longest gap between two frames that counts towards the age, so that a quiet night does not look stale.
const LONGEST_GAP: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Peer {
    counts: Vec<u32>,
    heard_at: MonoTime,
}

/// Peers' counts for each target of a pool.
#[derive(Debug, Default)]
pub struct PeerCounts {
    peers: HashMap<InstanceId, Peer>,
    /// Sum over all peers, by target.
    sums: Vec<u32>,
    age_s: f64,
}

impl PeerCounts {
    /// Takes the counts that one peer changed; the others it reported before still apply.
    pub fn take(
        &mut self,
        now: MonoTime,
        peer: &InstanceId,
        loads: &[PeerLoad],
        find: impl Fn(&PeerLoad) -> Option<TargetIndex>,
    ) {
        if !self.peers.contains_key(peer) {
            self.peers.insert(peer.clone(), Peer { heard_at: now, ..Peer::default() });
        }
        let Some(known) = self.peers.get_mut(peer) else { return };
        let gap = now.since(known.heard_at).min(LONGEST_GAP);
        known.heard_at = now;
        for load in loads {
            let Some(index) = find(load) else { continue };
            let least = index.0 + 1;
            known.counts.resize(known.counts.len().max(least), 0);
            self.sums.resize(self.sums.len().max(least), 0);
            let before = std::mem::replace(&mut known.counts[index.0], load.in_flight);
            self.sums[index.0] = self.sums[index.0] - before + load.in_flight;
        }
        let age = loads.first().map_or(Duration::ZERO, |l| l.age) + gap / 2;
        self.age_s += AGE_WEIGHT * (age.as_secs_f64() - self.age_s);
    }

    /// Drops a peer's counts.
    pub fn forget(&mut self, peer: &InstanceId) {
        let Some(gone) = self.peers.remove(peer) else { return };
        for (sum, count) in self.sums.iter_mut().zip(gone.counts) {
            *sum -= count;
        }
    }

    /// Drops the counts of peers that have been silent for too long.
    pub fn forget_silent(&mut self, now: MonoTime) {
        let silent = self.peers.iter().filter(|(_, p)| now.since(p.heard_at) > FORGET_AFTER);
        for peer in silent.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.forget(&peer);
        }
    }

    /// Drops all counts at one target, whose index goes to another.
    pub fn clear_target(&mut self, target: TargetIndex) {
        for peer in self.peers.values_mut() {
            if let Some(count) = peer.counts.get_mut(target.0) {
                *count = 0;
            }
        }
        if let Some(sum) = self.sums.get_mut(target.0) {
            *sum = 0;
        }
    }

    /// Returns the requests that peers have in flight at a target.
    pub fn at(&self, target: TargetIndex) -> u32 {
        self.sums.get(target.0).copied().unwrap_or(0)
    }

    /// Returns the mean age at which counts are in use, or `None` when no peer reports.
    pub fn age(&self) -> Option<Duration> {
        (!self.peers.is_empty()).then(|| Duration::from_secs_f64(self.age_s))
    }
}
