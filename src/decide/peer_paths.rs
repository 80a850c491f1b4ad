//! Which other instances have a path to the targets of a service, as they state themselves, and the choice among
//! them.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, seq::index};

use crate::{
    collections::HashMap,
    units::{InstanceId, MonoTime, ServiceName},
};

/// Time after which an instance states its paths again, although they have not changed.
const REFRESH_PERIOD: Duration = Duration::from_mins(1);

/// Time after which a statement that was not renewed is forgotten.
const RETENTION: Duration = Duration::from_mins(3);

/// Time for which an instance that could not be reached is not chosen.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);

/// Number of instances drawn for a request, of which the one with the fewest requests in progress gets it.
const CANDIDATES: usize = 2;

/// What an instance states of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PathStatement {
    /// The instance.
    pub instance: InstanceId,
    /// Start time of its process in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Number of statements that this process had made before.
    pub version: u32,
    /// Address on which it takes requests from other instances.
    pub address: SocketAddr,
    /// Whether it takes any.
    pub is_accepting: bool,
    /// Services to whose targets it has no path.
    pub closed: Vec<ServiceName>,
}

impl PathStatement {
    /// Returns the order of the statements of one instance.
    fn order(&self) -> (u64, u32) {
        (self.started_unix_ms, self.version)
    }
}

#[derive(Debug)]
struct Peer {
    statement: PathStatement,
    received_at: MonoTime,
    /// Change of the table with which the statement came.
    revision: u64,
    /// This instance's requests in progress there.
    in_progress: u32,
    /// Time until which it is not chosen.
    unreachable_until: MonoTime,
}

/// Statements of all known instances, this one's included.
#[derive(Debug)]
pub struct PeerPaths {
    own: InstanceId,
    peers: HashMap<InstanceId, Peer>,
    revision: u64,
}

impl PeerPaths {
    /// Creates the table of the instance `own`, which has stated nothing yet.
    pub fn new(own: InstanceId) -> Self {
        Self { own, peers: HashMap::default(), revision: 0 }
    }

    /// States the paths of this instance. `statement.version` is ignored. Returns whether others need to hear of it:
    /// it differs from the latest one, or that one is due to be renewed.
    pub fn state_own(&mut self, now: MonoTime, mut statement: PathStatement) -> bool {
        if let Some(own) = self.peers.get(&self.own) {
            let known = &own.statement;
            // The clock of the host may have been set back since an earlier process.
            statement.started_unix_ms = statement.started_unix_ms.max(known.started_unix_ms);
            statement.version = known.version;
            if statement == *known && now.since(own.received_at) < REFRESH_PERIOD {
                return false;
            }
            statement.version += 1;
        }
        self.insert(now, statement);
        true
    }

    /// Records what another instance states, or passes on. Returns whether others need to hear of it.
    pub fn merge(&mut self, now: MonoTime, statement: PathStatement) -> bool {
        if let Some(known) = self.peers.get_mut(&statement.instance) {
            if known.statement.order() >= statement.order() {
                return false;
            }
            if statement.instance == self.own {
                // A statement of an earlier process; the next one of this process must go before it.
                let PathStatement { started_unix_ms, version, .. } = statement;
                let own = &mut known.statement;
                (own.started_unix_ms, own.version) = (started_unix_ms, version + 1);
                self.revision += 1;
                known.revision = self.revision;
                return true;
            }
        }
        if statement.instance == self.own {
            // Nothing has been stated yet, so the first statement comes after this one.
            self.insert(now, PathStatement { is_accepting: false, ..statement });
            return false;
        }
        self.insert(now, statement);
        true
    }

    fn insert(&mut self, now: MonoTime, statement: PathStatement) {
        self.revision += 1;
        let revision = self.revision;
        self.peers.retain(|_, peer| now.since(peer.received_at) <= RETENTION || peer.in_progress > 0);
        if let Some(peer) = self.peers.get_mut(&statement.instance) {
            if peer.statement.address != statement.address {
                peer.unreachable_until = now;
            }
            (peer.statement, peer.received_at, peer.revision) = (statement, now, revision);
        } else {
            let instance = statement.instance.clone();
            let peer = Peer { statement, received_at: now, revision, in_progress: 0, unreachable_until: now };
            self.peers.insert(instance, peer);
        }
    }

    /// Returns the number of changes of the table so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the statements that came after `revision`.
    pub fn statements_since(&self, revision: u64) -> Vec<PathStatement> {
        let changed = self.peers.values().filter(|peer| peer.revision > revision);
        changed.map(|peer| peer.statement.clone()).collect()
    }

    /// Returns whether another instance is known that takes requests.
    pub fn is_any_accepting(&self, now: MonoTime) -> bool {
        let others = self.peers.values().filter(|peer| peer.statement.instance != self.own);
        others.filter(|peer| now.since(peer.received_at) <= RETENTION).any(|peer| peer.statement.is_accepting)
    }

    /// Returns whether another instance is known that has a path to a service and can be reached, as far as is known.
    pub fn has_path(&self, now: MonoTime, service: &ServiceName) -> bool {
        self.candidates(now, service, &[]).next().is_some()
    }

    /// Chooses an instance other than those in `excluded` that has a path to a service, and counts a request in
    /// progress there until [`end_request`](Self::end_request).
    pub fn choose(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        excluded: &[InstanceId],
        rng: &mut impl Rng,
    ) -> Option<(InstanceId, SocketAddr)> {
        let candidates = self.candidates(now, service, excluded).collect::<Vec<_>>();
        let drawn = index::sample(rng, candidates.len(), CANDIDATES.min(candidates.len()));
        let chosen = drawn.into_iter().map(|i| candidates[i]).min_by_key(|peer| peer.in_progress)?;
        let (instance, address) = (chosen.statement.instance.clone(), chosen.statement.address);
        if let Some(peer) = self.peers.get_mut(&instance) {
            peer.in_progress += 1;
        }
        Some((instance, address))
    }

    /// Ends a request at an instance.
    pub fn end_request(&mut self, instance: &InstanceId) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.in_progress = peer.in_progress.saturating_sub(1);
        }
    }

    /// Records that an instance could not be reached, or takes no request of a service at present.
    pub fn record_unreachable(&mut self, now: MonoTime, instance: &InstanceId) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.unreachable_until = now + UNREACHABLE_TIME;
        }
    }

    fn candidates(
        &self,
        now: MonoTime,
        service: &ServiceName,
        excluded: &[InstanceId],
    ) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| {
            let PathStatement { instance, is_accepting, closed, .. } = &peer.statement;
            *is_accepting
                && *instance != self.own
                && peer.unreachable_until <= now
                && now.since(peer.received_at) <= RETENTION
                && !closed.contains(service)
                && !excluded.contains(instance)
        })
    }
}
