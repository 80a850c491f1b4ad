//! Requests under which targets have ended, and which of them are no longer sent.
//!
//! A request may end each target that executes it. Its caller sends it again, to any instance. The instances
//! therefore count together how many targets have ended under a request *in succession*: each under a send that
//! began after the end before it, or some time after that end. Ends at the same time count as one, since all the
//! targets of a rack may end at once under requests that have nothing to do with it. An answer of a target clears
//! the count.
//!
//! A caller may vary its request. So there are digests of more and more requests that may be like it. A digest of more
//! requests counts an end only under one that is new by the finer digest. Once the finer one is quarantined, one end
//! under another request of the coarser one is enough to quarantine that, too.
//!
//! The counts of two instances are merged by taking the later one, so that they may arrive in any order and any
//! number of times.

use std::time::Duration;

use crate::{
    collections::HashMap,
    units::{MonoTime, RequestDigest},
};

/// Ends in succession from which on a request is quarantined.
pub const QUARANTINE_ENDS: u8 = 3;

/// Ends in succession up to which an instance sends the request again by itself.
const MAX_REPEATED_ENDS: u8 = 1;

/// Time between two ends from which on they don't have the same cause outside of the request.
const SEPARATE_ENDS_GAP: Duration = Duration::from_millis(20);

/// Time for which a request is quarantined after the last end that made it so.
const FIRST_QUARANTINE: Duration = Duration::from_mins(10);

/// Factor by which each further end prolongs the quarantine.
const QUARANTINE_GROWTH: u32 = 4;

/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_hours(24);

/// Time for which ends are remembered, after the quarantine if there is one.
const SUSPECT_RETENTION: Duration = Duration::from_hours(1);

/// Time for which the end of a suspicion is remembered, so that an instance that was cut off does not bring it back.
const CLEARED_RETENTION: Duration = Duration::from_mins(10);

/// Most requests that are remembered. Of more, those with the fewest ends and the oldest ones are forgotten.
pub const MAX_SUSPECTS: usize = 4_096;

/// Longest time that may lie before the start of this process's clock: more than anything is remembered.
const CLOCK_SHIFT: Duration = Duration::from_hours(48);

/// Identity of a request: digests of more and more requests that may be like it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestIdentity {
    /// Hash of caller, host, path, body, method and query.
    pub exact: RequestDigest,
    /// Hash of caller, host, path and body. A caller may vary the others from one attempt to the next.
    pub path: RequestDigest,
    /// Hash of host, path and body. A caller may have several addresses.
    pub content: RequestDigest,
}

impl RequestIdentity {
    /// Returns the digests, the one of the fewest requests first.
    fn digests(&self) -> [RequestDigest; DIGEST_COUNT] {
        [self.exact, self.path, self.content]
    }
}

/// Number of digests of an identity.
const DIGEST_COUNT: usize = 3;

/// Targets that have ended under a request. Of two counts of one request, the greater one is the later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct EndCount {
    /// Number of answers that have cleared the count.
    pub generation: u32,
    /// Ends in succession since then.
    pub ends: u8,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Send,
    /// Targets have ended under it, and another send of it is in progress at this instance. It may be sent when
    /// that one has ended.
    Wait,
    /// It is quarantined for this time.
    Quarantined(Duration),
}

/// What an instance knows of one digest, as passed on between instances and kept in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectRecord {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Targets that have ended under it.
    pub count: EndCount,
    /// Time since the last end, or since the answer that cleared the count.
    pub age: Duration,
}

/// A count that has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectChange {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Ends in succession now.
    pub ends: u8,
    /// Ends in succession before.
    pub previous_ends: u8,
}

impl SuspectChange {
    /// Returns whether the request is quarantined from this change on.
    pub fn starts_quarantine(&self) -> bool {
        self.ends >= QUARANTINE_ENDS && self.ends > self.previous_ends
    }
}

#[derive(Debug, Clone, Copy)]
struct Suspect {
    count: EndCount,
    /// Time of the last change, shifted by [`CLOCK_SHIFT`].
    changed_at: MonoTime,
    /// Number of this change among those of all digests at this instance.
    revision: u64,
    /// Sends in progress at this instance that began when the digest was known.
    in_progress: u32,
    /// Whether the store has an earlier or the present count.
    is_stored: bool,
    /// Whether the present count must be written to the store by this instance.
    must_store: bool,
}

impl Suspect {
    fn age(&self, now: MonoTime) -> Duration {
        (now + CLOCK_SHIFT).since(self.changed_at)
    }

    /// Returns the remaining time of the quarantine, zero if there is none.
    fn quarantine_left(&self, now: MonoTime) -> Duration {
        quarantine(self.count.ends).saturating_sub(self.age(now))
    }

    fn retention(&self) -> Duration {
        match self.count.ends {
            0 => CLEARED_RETENTION,
            ends => quarantine(ends) + SUSPECT_RETENTION,
        }
    }

    fn is_obsolete(&self, now: MonoTime) -> bool {
        self.in_progress == 0 && self.age(now) > self.retention()
    }
}

fn quarantine(ends: u8) -> Duration {
    let Some(further) = ends.checked_sub(QUARANTINE_ENDS) else { return Duration::ZERO };
    let factor = QUARANTINE_GROWTH.saturating_pow(u32::from(further));
    FIRST_QUARANTINE.saturating_mul(factor).min(MAX_QUARANTINE)
}

/// A send of a request in progress, to be handed back when it ends.
#[derive(Debug, Clone, Copy)]
pub struct SuspectSend {
    identity: RequestIdentity,
    /// Counts of the digests that were known when the send began.
    known: [EndCount; DIGEST_COUNT],
    started: MonoTime,
    /// Whether it is counted as in progress, for each digest.
    is_counted: [bool; DIGEST_COUNT],
}

/// The end of the target of a send.
#[derive(Debug, Clone, Copy)]
pub struct TargetEnd {
    /// When the send was lost.
    pub lost_at: MonoTime,
    /// Whether the target ended at that time, rather than at some time after.
    pub is_exact: bool,
}

/// Requests under which targets have ended, as this instance knows them.
#[derive(Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<RequestDigest, Suspect>,
    revision: u64,
}

impl SuspectTable {
    /// Returns whether a request may be sent now.
    pub fn admission(&self, now: MonoTime, identity: RequestIdentity) -> Admission {
        let known = identity.digests().map(|digest| self.suspects.get(&digest));
        let known = || known.into_iter().flatten();
        let quarantine_left = known().map(|s| s.quarantine_left(now)).max().unwrap_or_default();
        if !quarantine_left.is_zero() {
            return Admission::Quarantined(quarantine_left);
        }
        let is_other_in_progress = known().any(|s| s.count.ends > MAX_REPEATED_ENDS && s.in_progress > 0);
        if is_other_in_progress { Admission::Wait } else { Admission::Send }
    }

    /// Returns whether an instance may send a request again by itself: a retry or a hedge.
    pub fn may_repeat(&self, identity: RequestIdentity) -> bool {
        self.ends(identity) <= MAX_REPEATED_ENDS
    }

    /// Returns how many targets have ended under a request in succession.
    pub fn ends(&self, identity: RequestIdentity) -> u8 {
        identity.digests().map(|digest| self.count(digest).ends).into_iter().max().unwrap_or_default()
    }

    /// Starts a send of a request.
    pub fn start_send(&mut self, now: MonoTime, identity: RequestIdentity) -> SuspectSend {
        let known = identity.digests().map(|digest| self.count(digest));
        let is_counted = identity.digests().map(|digest| {
            let suspect = self.suspects.get_mut(&digest);
            suspect.map(|s| s.in_progress += 1).is_some()
        });
        SuspectSend { identity, known, started: now, is_counted }
    }

    /// Ends a send. Returns whether other calls may wait for this.
    pub fn finish_send(&mut self, send: SuspectSend) -> bool {
        for (digest, is_counted) in send.identity.digests().into_iter().zip(send.is_counted) {
            if let Some(suspect) = self.suspects.get_mut(&digest).filter(|_| is_counted) {
                suspect.in_progress = suspect.in_progress.saturating_sub(1);
            }
        }
        send.is_counted.contains(&true)
    }

    /// Records that the target of a send has ended without an answer.
    pub fn record_end(&mut self, now: MonoTime, send: &SuspectSend, end: TargetEnd) -> Vec<SuspectChange> {
        let mut changes = Vec::new();
        let digests = send.identity.digests();
        let age = now.since(end.lost_at);
        let mut is_new = true;
        for (level, (digest, known)) in digests.into_iter().zip(send.known).enumerate() {
            let before = self.ends_before(digest, known, send.started, end);
            if is_new {
                changes.extend(self.add_end(now, digest, before, age));
            }
            // Further ends under a digest don't show that more requests are like it.
            is_new &= before == 0;
            if self.count(digest).ends >= QUARANTINE_ENDS {
                let coarser = &digests[level + 1..];
                changes.extend(
                    coarser.iter().filter_map(|coarser| self.raise(now, *coarser, QUARANTINE_ENDS - 1, age)),
                );
            }
        }
        changes
    }

    /// Records that a target has executed and answered a request.
    pub fn record_answer(&mut self, now: MonoTime, identity: RequestIdentity) -> Vec<SuspectChange> {
        identity.digests().into_iter().filter_map(|digest| self.clear_count(now, digest)).collect()
    }

    /// Records what another instance, or the store, knows.
    pub fn merge(&mut self, now: MonoTime, record: &SuspectRecord) -> Option<SuspectChange> {
        if record.count <= self.count(record.digest) {
            return None;
        }
        let change = self.set(now, record.digest, record.count, record.age);
        if let Some(suspect) = self.suspects.get_mut(&record.digest) {
            suspect.must_store |= suspect.is_stored;
        }
        Some(change)
    }

    /// Records what the store has.
    pub fn merge_stored(&mut self, now: MonoTime, record: &SuspectRecord) -> Option<SuspectChange> {
        let change = self.merge(now, record);
        let known = self.count(record.digest);
        if let Some(suspect) = self.suspects.get_mut(&record.digest) {
            suspect.is_stored = true;
            suspect.must_store = known > record.count;
        }
        change
    }

    /// Records that the store has nothing of the digests for which `is_missing`: what is known of them must be
    /// written again.
    pub fn record_missing_in_store(&mut self, is_missing: impl Fn(RequestDigest) -> bool) {
        for (digest, suspect) in &mut self.suspects {
            if suspect.count.ends > 0 && is_missing(*digest) {
                suspect.must_store = true;
            }
        }
    }

    /// Returns the records that this instance must write to the store, at most `max`.
    pub fn unstored(&self, now: MonoTime, max: usize) -> Vec<SuspectRecord> {
        let unstored = self.suspects.iter().filter(|(_, suspect)| suspect.must_store);
        unstored.take(max).map(|(digest, suspect)| record(now, *digest, suspect)).collect()
    }

    /// Records that the store has these records.
    pub fn record_stored(&mut self, records: &[SuspectRecord]) {
        for record in records {
            if let Some(suspect) = self.suspects.get_mut(&record.digest) {
                suspect.is_stored = true;
                suspect.must_store &= suspect.count != record.count;
            }
        }
    }

    /// Forgets what is too old, and returns the digests of which the store has something.
    pub fn expire(&mut self, now: MonoTime) -> Vec<RequestDigest> {
        let obsolete = self.suspects.extract_if(|_, suspect| suspect.is_obsolete(now));
        obsolete.filter(|(_, suspect)| suspect.is_stored).map(|(digest, _)| digest).collect()
    }

    /// Returns whether a record is so old that it would be forgotten at once.
    pub fn is_obsolete(record: &SuspectRecord) -> bool {
        let quarantine = quarantine(record.count.ends);
        record.age > quarantine + SUSPECT_RETENTION
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.suspects.clear();
    }

    /// Returns the number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the records that have changed after `revision`.
    pub fn records_since(&self, now: MonoTime, revision: u64) -> Vec<SuspectRecord> {
        let changed = self.suspects.iter().filter(|(_, suspect)| suspect.revision > revision);
        changed.map(|(digest, suspect)| record(now, *digest, suspect)).collect()
    }

    /// Returns the number of digests that are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of digests in quarantine.
    pub fn quarantined_count(&self, now: MonoTime) -> usize {
        self.suspects.values().filter(|suspect| !suspect.quarantine_left(now).is_zero()).count()
    }

    fn clear_count(&mut self, now: MonoTime, digest: RequestDigest) -> Option<SuspectChange> {
        let known = self.count(digest);
        if known.ends == 0 {
            return None;
        }
        let cleared = EndCount { generation: known.generation.saturating_add(1), ends: 0 };
        let change = self.set(now, digest, cleared, Duration::ZERO);
        if let Some(suspect) = self.suspects.get_mut(&digest) {
            suspect.must_store = suspect.is_stored;
        }
        Some(change)
    }

    fn count(&self, digest: RequestDigest) -> EndCount {
        self.suspects.get(&digest).map(|suspect| suspect.count).unwrap_or_default()
    }

    /// Returns how many ends there were before that of a send which began at `started`, when `known` was known.
    fn ends_before(&self, digest: RequestDigest, known: EndCount, started: MonoTime, end: TargetEnd) -> u8 {
        let Some(current) = self.suspects.get(&digest) else { return 0 };
        let is_separate = end.is_exact && end.lost_at + CLOCK_SHIFT >= current.changed_at + SEPARATE_ENDS_GAP;
        if is_separate || started + CLOCK_SHIFT >= current.changed_at {
            return current.count.ends;
        }
        // An answer since the send began has cleared what was known then.
        if current.count.generation == known.generation { known.ends } else { 0 }
    }

    /// Counts an end that came `age` ago, after `before` others.
    fn add_end(
        &mut self,
        now: MonoTime,
        digest: RequestDigest,
        before: u8,
        age: Duration,
    ) -> Option<SuspectChange> {
        let current = self.count(digest);
        let count = EndCount { generation: current.generation, ends: before.saturating_add(1) };
        if count <= current {
            return None;
        }
        Some(self.set_own(now, digest, count, age))
    }

    /// Raises a count to at least `ends`, the last of which came `age` ago.
    fn raise(
        &mut self,
        now: MonoTime,
        digest: RequestDigest,
        ends: u8,
        age: Duration,
    ) -> Option<SuspectChange> {
        let current = self.count(digest);
        (current.ends < ends).then(|| self.set_own(now, digest, EndCount { ends, ..current }, age))
    }

    /// Sets a count that follows from what this instance has seen.
    fn set_own(
        &mut self,
        now: MonoTime,
        digest: RequestDigest,
        count: EndCount,
        age: Duration,
    ) -> SuspectChange {
        let change = self.set(now, digest, count, age);
        if let Some(suspect) = self.suspects.get_mut(&digest) {
            suspect.must_store = true;
        }
        change
    }

    fn set(&mut self, now: MonoTime, digest: RequestDigest, count: EndCount, age: Duration) -> SuspectChange {
        if !self.suspects.contains_key(&digest) && self.suspects.len() >= MAX_SUSPECTS {
            self.forget_least_important();
        }
        self.revision += 1;
        let known = self.suspects.get(&digest).copied();
        let suspect = Suspect {
            count,
            changed_at: (now + CLOCK_SHIFT).checked_sub(age).unwrap_or_default(),
            revision: self.revision,
            in_progress: known.map_or(0, |s| s.in_progress),
            is_stored: known.is_some_and(|s| s.is_stored),
            must_store: known.is_some_and(|s| s.must_store),
        };
        self.suspects.insert(digest, suspect);
        SuspectChange { digest, ends: count.ends, previous_ends: known.map_or(0, |s| s.count.ends) }
    }

    fn forget_least_important(&mut self) {
        let least = self.suspects.iter().min_by_key(|(_, suspect)| (suspect.count.ends, suspect.changed_at));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }
}

fn record(now: MonoTime, digest: RequestDigest, suspect: &Suspect) -> SuspectRecord {
    SuspectRecord { digest, count: suspect.count, age: suspect.age(now) }
}
