//! Estimate of the requests that peer instances have in flight at each target, from reports that are always
//! some milliseconds old.

use std::time::Duration;

use super::{PeerLoad, TargetIndex};
use crate::{
    collections::HashMap,
    units::{InstanceId, MonoTime},
};

/// Counts of a peer that has sent no report for this long no longer apply.
const SILENT_PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Weight of the latest report in the moving average of the reports' age.
const AGE_EWMA_WEIGHT: f64 = 0.05;

/// Counts lose their meaning this many times faster than slots change hands, since all instances see the
/// same least loaded target.
const CONFIDENCE_DECAY_FACTOR: f64 = 6.0;

/// The sums over all near and over all far targets are smoothed over this many times the age of the reports.
const SMOOTHING_AGE_FACTOR: f64 = 5.0;

/// Time constant with which a target's recent minimum count rises to its current count, in seconds.
const MINIMUM_DECAY_S: f64 = 0.02;

/// Maximum gap between two reports that enters the average age; longer gaps come from times without traffic,
/// not from staleness.
const MAX_COUNTED_GAP: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Peer {
    counts: Vec<u32>,
    heard_at: MonoTime,
}

/// Whether a target is in the data centre of this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Locality {
    /// Same data centre.
    Near,
    /// Another data centre.
    Far,
}

#[derive(Debug, Default)]
struct LocalityTotals {
    /// Sum of the peers' counts.
    in_flight: u32,
    /// The same, smoothed over several times the age of the reports.
    smoothed: f64,
    slots: f64,
}

/// Recent minimum of a target's count: the requests that stay while short ones come and go.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingMinimum {
    minimum: f64,
    recorded_at: MonoTime,
}

impl DecayingMinimum {
    /// Returns the minimum at `now`, given the count that has applied since it was recorded.
    fn at(&self, now: MonoTime, count: u32) -> f64 {
        let count = f64::from(count);
        let decay = (-now.since(self.recorded_at).as_secs_f64() / MINIMUM_DECAY_S).exp();
        count + (self.minimum.min(count) - count) * decay
    }
}

/// Peers' in-flight counts for each target of a pool.
#[derive(Debug, Default)]
pub struct PeerCounts {
    peers: HashMap<InstanceId, Peer>,
    /// Sum over all peers, by target.
    sums: Vec<u32>,
    /// Recent minimum of each sum, by target.
    minimums: Vec<DecayingMinimum>,
    locality_of_target: Vec<Locality>,
    totals_by_locality: [LocalityTotals; 2],
    smoothed_at: MonoTime,
    /// Mean total time for which a currently occupied slot is held, in seconds. Long requests weigh more in
    /// it, since they occupy more of the slots at any moment.
    pub slot_hold_s: f64,
    age_s: f64,
}

impl PeerCounts {
    /// Applies the counts that one peer reports as changed; its earlier counts for other targets still
    /// apply.
    ///
    /// `find` must only return indexes that were passed to [`PeerCounts::set_localities`].
    pub fn record(
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
        let gap = now.since(known.heard_at).min(MAX_COUNTED_GAP);
        known.heard_at = now;
        for load in loads {
            let Some(index) = find(load) else { continue };
            let min_len = index.0 + 1;
            known.counts.resize(known.counts.len().max(min_len), 0);
            let before = std::mem::replace(&mut known.counts[index.0], load.in_flight);
            let sum = self.sums[index.0] - before + load.in_flight;
            let minimum = self.minimums[index.0].at(now, self.sums[index.0]).min(f64::from(sum));
            self.minimums[index.0] = DecayingMinimum { minimum, recorded_at: now };
            self.sums[index.0] = sum;
            let totals = &mut self.totals_by_locality[self.locality_of_target[index.0] as usize];
            totals.in_flight = totals.in_flight - before + load.in_flight;
        }
        self.smooth(now);
        let age = loads.first().map_or(Duration::ZERO, |l| l.age) + gap / 2;
        self.age_s += AGE_EWMA_WEIGHT * (age.as_secs_f64() - self.age_s);
    }

    /// Moves the smoothed sums towards the current sums. Without smoothing, all instances would shift their
    /// load between near and far targets at the same time.
    fn smooth(&mut self, now: MonoTime) {
        let passed_s = now.since(self.smoothed_at).as_secs_f64();
        self.smoothed_at = now;
        let fraction = 1.0 - (-passed_s / (SMOOTHING_AGE_FACTOR * self.age_s).max(f64::EPSILON)).exp();
        for totals in &mut self.totals_by_locality {
            totals.smoothed += fraction * (f64::from(totals.in_flight) - totals.smoothed);
        }
    }

    /// Drops the counts of one peer.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        let Some(removed) = self.peers.remove(peer) else { return };
        for ((sum, count), locality) in self.sums.iter_mut().zip(removed.counts).zip(&self.locality_of_target)
        {
            *sum -= count;
            self.totals_by_locality[*locality as usize].in_flight -= count;
        }
    }

    /// Drops the counts of peers that have been silent for too long.
    pub fn remove_silent_peers(&mut self, now: MonoTime) {
        let silent = self.peers.iter().filter(|(_, p)| now.since(p.heard_at) > SILENT_PEER_TIMEOUT);
        for peer in silent.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.remove_peer(&peer);
        }
    }

    /// Drops all counts of one target, so that its index can be given to another.
    pub fn clear_target(&mut self, target: TargetIndex) {
        for peer in self.peers.values_mut() {
            if let Some(count) = peer.counts.get_mut(target.0) {
                *count = 0;
            }
        }
        if let Some(sum) = self.sums.get_mut(target.0) {
            let removed = std::mem::take(sum);
            if let Some(locality) = self.locality_of_target.get(target.0) {
                self.totals_by_locality[*locality as usize].in_flight -= removed;
            }
        }
    }

    /// Returns the number of requests that peers have in flight at a target.
    pub fn in_flight_at(&self, target: TargetIndex) -> u32 {
        self.sums.get(target.0).copied().unwrap_or(0)
    }

    /// Returns the estimated number of peers' requests that have been at a target for longer than short ones
    /// take.
    pub fn long_lived_at(&self, now: MonoTime, target: TargetIndex) -> f64 {
        self.minimums.get(target.0).map_or(0.0, |minimum| minimum.at(now, self.in_flight_at(target)))
    }

    /// Returns how much a count still says about the present, from 0 to 1; it falls with the ratio of the
    /// reports' age to the time for which slots are held.
    pub fn confidence(&self) -> f64 {
        (-self.age_s * CONFIDENCE_DECAY_FACTOR / self.slot_hold_s.max(f64::EPSILON)).exp()
    }

    /// Returns the number of requests that peers are expected to have at a target.
    ///
    /// As the counts get older, the mean over all targets of the same locality takes their place.
    pub fn expected_at(&self, target: TargetIndex, slots: u32, locality: Locality) -> f64 {
        let confidence = self.confidence();
        let totals = &self.totals_by_locality[locality as usize];
        let mean = totals.smoothed / totals.slots.max(1.0) * f64::from(slots);
        confidence * f64::from(self.in_flight_at(target)) + (1.0 - confidence) * mean
    }

    /// Sets the locality of each target and the total number of slots of near and far targets; counts are
    /// kept.
    pub fn set_localities(&mut self, localities: Vec<Locality>, slots: [f64; 2]) {
        self.locality_of_target = localities;
        self.sums.resize(self.locality_of_target.len(), 0);
        self.minimums.resize(self.locality_of_target.len(), DecayingMinimum::default());
        for (totals, slots) in self.totals_by_locality.iter_mut().zip(slots) {
            *totals = LocalityTotals { slots, ..LocalityTotals::default() };
        }
        for (sum, locality) in self.sums.iter().zip(&self.locality_of_target) {
            self.totals_by_locality[*locality as usize].in_flight += sum;
        }
        for totals in &mut self.totals_by_locality {
            totals.smoothed = f64::from(totals.in_flight);
        }
    }

    /// Returns the mean age of the counts in use, or `None` if no peer reports.
    pub fn age(&self) -> Option<Duration> {
        (!self.peers.is_empty()).then(|| Duration::from_secs_f64(self.age_s))
    }
}
