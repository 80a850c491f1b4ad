//! Requests under which targets have ended: what this instance sees of them, and the exchange among instances.

use std::{sync::Arc, time::Duration};

use tokio::{sync::watch, time::sleep};

use super::{
    Gateway,
    identity::{IdentityKey, KeyInUse},
    target_end,
};
use crate::{
    decide::{
        directory::{DirectoryChange, Listing},
        suspects::{EndCount, RequestIdentity, SuspectChange, SuspectRecord, SuspectSend, TargetEnd},
        unconfirmed_ends::ProcessState,
    },
    peer::frame::{Frame, SuspectEntry},
    units::MonoTime,
};

/// Most records in one frame; keeps frames below their size limit.
const MAX_ENTRIES_PER_FRAME: usize = 1_000;

/// Least time between two sends of changes on one link, so that the changes of a time of many ends are passed on
/// together.
const MIN_SEND_PERIOD: Duration = Duration::from_millis(10);

/// Watches one send of a request, from its start to its end, for what it shows of the request.
#[derive(Debug)]
pub struct SendWatch {
    gateway: Arc<Gateway>,
    send: SuspectSend,
    identity: RequestIdentity,
    is_finished: bool,
}

impl SendWatch {
    /// Starts to watch a send.
    pub fn start(gateway: &Arc<Gateway>, identity: RequestIdentity) -> Self {
        let send = gateway.suspects().start_send(gateway.now(), identity);
        Self { gateway: Arc::clone(gateway), send, identity, is_finished: false }
    }

    /// Ends with an answer of the target, which has executed the request and lives.
    pub fn answered(mut self) {
        let changes = self.gateway.suspects().record_answer(self.gateway.now(), self.identity);
        self.finish();
        announce(&self.gateway, &changes, "send");
    }

    /// Ends without an answer at `lost_at`. `process` is what was found of the target's process.
    ///
    /// A target that is draining or no longer listed ends by itself, and one that still may be alive is no
    /// evidence until a later check or the directory shows that it has ended.
    pub fn lost(mut self, listing: &Listing, process: ProcessState, lost_at: MonoTime) {
        if self.is_expected_to_run(listing) {
            match process {
                ProcessState::Ended => {
                    let end = TargetEnd { lost_at, is_exact: true };
                    record_end(&self.gateway, &self.send, end, "send");
                }
                ProcessState::Listening | ProcessState::Unknown => {
                    self.check_later(listing, process, lost_at);
                }
            }
        }
        self.finish();
    }

    /// Ends because nobody waits for the answer any longer, while the target may be executing the request.
    pub fn given_up(mut self, listing: &Listing) {
        let now = self.gateway.now();
        // Lost sends say more, so these must not displace them.
        if self.is_expected_to_run(listing) && !self.gateway.unconfirmed_ends().is_full(now) {
            self.check_later(listing, ProcessState::Listening, now);
        }
        self.finish();
    }

    fn is_expected_to_run(&self, listing: &Listing) -> bool {
        let service_pools = self.gateway.service_pools();
        service_pools.directory.get(&listing.id).is_some_and(|known| !known.draining)
    }

    fn check_later(&self, listing: &Listing, process: ProcessState, lost_at: MonoTime) {
        let is_first = self.gateway.unconfirmed_ends().add(lost_at, listing, process, self.send);
        if is_first {
            target_end::start_later_checks(&self.gateway, listing.clone());
        }
    }

    fn finish(&mut self) {
        if !std::mem::replace(&mut self.is_finished, true) && self.gateway.suspects().finish_send(self.send) {
            // Another send of the same request may wait for this one.
            self.gateway.state_changed.notify_waiters();
        }
    }
}

impl Drop for SendWatch {
    fn drop(&mut self) {
        self.finish();
    }
}

/// Records the ends that a change of the directory confirms.
pub fn confirm_ends(gateway: &Gateway, changes: &[DirectoryChange]) {
    let confirmed = gateway.unconfirmed_ends().confirm(gateway.now(), changes);
    record_confirmed_ends(gateway, &confirmed, "directory");
}

/// Records that the targets of sends have ended some time after these were lost.
pub fn record_confirmed_ends(gateway: &Gateway, confirmed: &[(SuspectSend, MonoTime)], source: &str) {
    for (send, lost_at) in confirmed {
        record_end(gateway, send, TargetEnd { lost_at: *lost_at, is_exact: false }, source);
    }
}

fn record_end(gateway: &Gateway, send: &SuspectSend, end: TargetEnd, source: &str) {
    let changes = gateway.suspects().record_end(gateway.now(), send, end);
    announce(gateway, &changes, source);
}

/// Records what another instance knows.
pub fn receive(gateway: &Gateway, entries: Vec<SuspectEntry>) {
    let records = entries.into_iter().map(from_entry).collect::<Vec<_>>();
    merge(gateway, &records, "instance");
    gateway.mark_suspects_known();
}

/// Records the key that another instance uses. The key of the followed instance goes before the one that is known.
pub fn receive_key(gateway: &Gateway, key: IdentityKey, is_from_followed: bool) {
    if is_from_followed || !gateway.identity_key().is_shared {
        gateway.share_identity_key(key);
    }
}

/// Records what another instance or the store knows.
pub fn merge(gateway: &Gateway, records: &[SuspectRecord], source: &str) {
    let now = gateway.now();
    let changes = {
        let mut suspects = gateway.suspects();
        records.iter().filter_map(|record| suspects.merge(now, record)).collect::<Vec<_>>()
    };
    announce(gateway, &changes, source);
}

/// Logs changes, passes them on, and makes the calls in progress look at them.
pub fn announce(gateway: &Gateway, changes: &[SuspectChange], source: &str) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        let SuspectChange { digest, ends, previous_ends } = change;
        log::info!("event=suspect identity={digest} ends={ends} was={previous_ends} source={source}");
        if change.starts_quarantine() {
            log::warn!("event=quarantine identity={digest} ends={ends} source={source}");
        }
    }
    gateway.notify_suspect_change(changes.iter().any(SuspectChange::starts_quarantine));
    // Waiting calls may be refused or sent now.
    gateway.state_changed.notify_waiters();
}

/// Waits for a change that has not been sent on a link, and at least for the time that must lie between two sends.
///
/// # Errors
///
/// Never: the sender lives as long as the gateway.
pub async fn wait_for_change(changes: &mut watch::Receiver<u64>) -> Result<(), watch::error::RecvError> {
    sleep(MIN_SEND_PERIOD).await;
    changes.changed().await
}

/// What the other end of a link has been sent of the suspects.
#[derive(Debug, Default)]
pub struct SentSuspects {
    key: Option<IdentityKey>,
    /// Number of changes of the table that have been sent.
    revision: u64,
}

impl SentSuspects {
    /// Returns the frames to send now.
    pub fn next_frames(&mut self, gateway: &Gateway) -> Vec<Frame> {
        let now = gateway.now();
        let mut frames = Vec::new();
        let KeyInUse { key, is_shared } = gateway.identity_key();
        if !is_shared {
            // Nobody else could compare its hashes.
            return frames;
        }
        let is_start = self.key != Some(key);
        if is_start {
            frames.push(Frame::IdentityKey(key.into()));
            self.key = Some(key);
        }
        let (revision, records) = {
            let suspects = gateway.suspects();
            (suspects.revision(), suspects.records_since(now, self.revision))
        };
        self.revision = revision;
        if is_start && records.is_empty() {
            // The other end may wait for this.
            frames.push(Frame::Suspects(Vec::new()));
        }
        let entries = records.iter().map(to_entry).collect::<Vec<_>>();
        frames.extend(entries.chunks(MAX_ENTRIES_PER_FRAME).map(|chunk| Frame::Suspects(chunk.to_vec())));
        frames
    }
}

fn from_entry(entry: SuspectEntry) -> SuspectRecord {
    let SuspectEntry { digest, generation, ends, age_ms } = entry;
    let age = Duration::from_millis(u64::from(age_ms));
    SuspectRecord { digest, count: EndCount { generation, ends }, age }
}

fn to_entry(record: &SuspectRecord) -> SuspectEntry {
    SuspectEntry {
        digest: record.digest,
        generation: record.count.generation,
        ends: record.count.ends,
        age_ms: u32::try_from(record.age.as_millis()).unwrap_or(u32::MAX),
    }
}
