//! Table of other instances as a pure state machine. Its inputs are the platform's instance list, hellos and
//! heartbeats; its outputs are changes of liveness.
//!
//! Every process (run) of an instance is a separate member, since names and addresses are reused. A heartbeat
//! proves that the peer was alive when this instance sent the heartbeat that it echoes. A pause of the peer
//! or of this instance therefore never makes an old heartbeat look recent, and clocks need not agree.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    collections::{HashMap, HashSet},
    peer::frame::{Heartbeat, Hello},
    store::ListedInstance,
    units::{DataCentre, InstanceId, MonoTime, PlanVersion, RunId},
};

/// Time since a peer was last seen alive after which it is suspected to be down.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);

/// Time since a peer was last seen alive after which it is removed, unless the list still contains its run.
pub const REMOVE_AFTER: Duration = Duration::from_secs(10);

/// Number of sent heartbeats per peer whose time of sending is kept, to match echoes to it.
const KEPT_SENT_HEARTBEATS: usize = 32;

/// Largest number of members; hellos of further ones are refused.
pub const MAX_MEMBERS: usize = 1_000;

/// Whether a peer is believed to be alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Liveness {
    /// Has never echoed a heartbeat.
    Unheard,
    /// Was seen alive within [`SUSPECT_AFTER`].
    Live,
    /// Was last seen alive longer ago.
    Suspect,
}

/// One process (run) of another instance.
#[derive(Debug, Clone)]
pub struct Member {
    /// Name of the instance; several runs may have the same one.
    pub instance: InstanceId,
    /// Identifier of the process.
    pub run_id: RunId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Address on which it accepts links.
    pub peer_address: SocketAddr,
    /// Latest time at which it is known to have been alive: the time of sending of the last heartbeat that it
    /// echoed.
    pub last_seen_at: Option<MonoTime>,
    /// When it was added to the table.
    pub added_at: MonoTime,
    /// Content of the last heartbeat, except that its plan version never decreases.
    pub last_heartbeat: Heartbeat,
    /// Whether a heartbeat of its or the list stated that it is shutting down; never reset.
    pub leaving: bool,
    /// Whether the instance list contained this run when it was last read.
    pub listed: bool,
    /// Whether it has opened a link to this instance.
    pub has_linked_here: bool,
    /// Liveness at the last tick.
    last_liveness: Liveness,
    /// Sequence number of the last heartbeat sent to it.
    last_sent_number: u64,
    /// Sequence numbers and times of sending of the latest heartbeats sent to it, oldest first.
    sent_heartbeats: VecDeque<(u64, MonoTime)>,
    /// Sequence number of the last heartbeat received from it.
    last_received_number: u64,
}

impl Member {
    /// Returns whether the member is believed to be alive at `now`.
    pub fn liveness(&self, now: MonoTime) -> Liveness {
        match self.last_seen_at {
            None => Liveness::Unheard,
            Some(at) if now.since(at) < SUSPECT_AFTER => Liveness::Live,
            Some(_) => Liveness::Suspect,
        }
    }

    /// Returns whether the member's liveness at `now` is [`Liveness::Live`].
    pub fn is_live(&self, now: MonoTime) -> bool {
        self.liveness(now) == Liveness::Live
    }
}

/// Change of a member that a tick found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// The member became live.
    Live(InstanceId, RunId),
    /// The member is suspected to be down.
    Silent(InstanceId, RunId),
    /// The member was removed.
    Removed(InstanceId, RunId),
}

/// Number of live members compared with the number of known ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MemberCount {
    /// Other instances that are live.
    pub live: usize,
    /// Other instances in the table that are not shutting down.
    pub known: usize,
}

impl MemberCount {
    /// Returns whether this instance and the live ones are more than half of all.
    pub fn is_majority(self) -> bool {
        self.live > 0 && 2 * (self.live + 1) > self.known.max(self.live) + 1
    }
}

/// Table of the runs of other instances.
///
/// ```
/// use arbutusshelf::{
///     membership::table::{MemberTable, Liveness},
///     peer::frame::{Heartbeat, Hello, PROTOCOL_VERSION},
///     units::{MonoTime, RunId},
/// };
///
/// let mut table = MemberTable::new("here".parse()?, RunId::from(1));
/// let peer = RunId::from(2);
/// let hello = Hello {
///     protocol_version: PROTOCOL_VERSION,
///     instance: "there".parse()?,
///     run_id: peer,
///     data_centre: "ost-a".parse()?,
///     peer_address: "127.0.0.1:9".parse()?,
/// };
/// let at = |ms: u64| MonoTime::from(ms * 1_000);
/// assert!(table.accept_hello(at(0), &hello));
/// let sent = table.next_heartbeat(at(100), peer, Heartbeat::default()).expect("the peer is a member");
/// table.record_heartbeat(peer, Heartbeat { number: 1, echo: sent.number, ..Heartbeat::default() });
/// assert_eq!(table.find(peer).map(|m| m.liveness(at(150))), Some(Liveness::Live));
/// assert_eq!(table.find(peer).map(|m| m.liveness(at(5_000))), Some(Liveness::Suspect));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct MemberTable {
    own: InstanceId,
    own_run: RunId,
    members: HashMap<RunId, Member>,
}

impl MemberTable {
    /// Creates an empty table for the instance `own`, whose own run is `own_run`.
    pub fn new(own: InstanceId, own_run: RunId) -> Self {
        Self { own, own_run, members: HashMap::default() }
    }

    /// Updates the members from the platform's instance list, which may be out of date.
    ///
    /// Returns whether the list marks this instance's own run as leaving.
    pub fn update_from_list(&mut self, now: MonoTime, list: &[ListedInstance]) -> bool {
        let runs = list.iter().map(|l| l.run_id).collect::<HashSet<_>>();
        for member in self.members.values_mut() {
            member.listed = runs.contains(&member.run_id);
        }
        self.members.retain(|_, m| m.listed || m.has_linked_here || m.last_seen_at.is_some());
        let (own_run, own) = (self.own_run, self.own.clone());
        for listed in list.iter().filter(|l| l.id != own && l.run_id != own_run) {
            let member = self.members.entry(listed.run_id).or_insert_with(|| listed_member(now, listed));
            member.listed = true;
            member.leaving |= listed.leaving;
        }
        list.iter().any(|l| l.run_id == own_run && l.leaving)
    }

    /// Adds the sender of a hello; returns false if its link must be closed.
    pub fn accept_hello(&mut self, now: MonoTime, hello: &Hello) -> bool {
        let full = self.members.len() >= MAX_MEMBERS && !self.members.contains_key(&hello.run_id);
        if hello.run_id == self.own_run || full {
            return false;
        }
        let member = self.members.entry(hello.run_id).or_insert_with(|| {
            new_member(now, &hello.instance, hello.run_id, &hello.data_centre, hello.peer_address)
        });
        member.has_linked_here = true;
        true
    }

    /// Returns the next heartbeat to send to a run, with sequence number and echo; `None` if it is no member.
    pub fn next_heartbeat(&mut self, now: MonoTime, run: RunId, content: Heartbeat) -> Option<Heartbeat> {
        let member = self.members.get_mut(&run)?;
        member.last_sent_number += 1;
        if member.sent_heartbeats.len() == KEPT_SENT_HEARTBEATS {
            member.sent_heartbeats.pop_front();
        }
        member.sent_heartbeats.push_back((member.last_sent_number, now));
        Some(Heartbeat { number: member.last_sent_number, echo: member.last_received_number, ..content })
    }

    /// Records a received heartbeat.
    ///
    /// Returns when this instance sent the heartbeat that it echoes; the content is at most as old as that.
    /// Returns `None` if it echoes none of the latest `KEPT_SENT_HEARTBEATS`. Heartbeats of an unknown run
    /// and those with an old or repeated sequence number are ignored.
    pub fn record_heartbeat(&mut self, run: RunId, heartbeat: Heartbeat) -> Option<MonoTime> {
        let member = self.members.get_mut(&run)?;
        if heartbeat.number <= member.last_received_number {
            return None;
        }
        member.last_received_number = heartbeat.number;
        let plan_version = heartbeat.plan_version.max(member.last_heartbeat.plan_version);
        member.last_heartbeat = Heartbeat { plan_version, ..heartbeat };
        member.leaving |= heartbeat.leaving;
        let sent_at =
            member.sent_heartbeats.iter().find(|(number, _)| *number == heartbeat.echo).map(|(_, at)| *at)?;
        member.last_seen_at = member.last_seen_at.max(Some(sent_at));
        Some(sent_at)
    }

    /// Returns the changes of liveness since the last tick, and removes members that are gone.
    pub fn tick(&mut self, now: MonoTime) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        for member in self.members.values_mut() {
            let liveness = member.liveness(now);
            match (member.last_liveness, liveness) {
                (Liveness::Unheard | Liveness::Suspect, Liveness::Live) => {
                    changes.push(change_of(MemberChange::Live, member));
                }
                (Liveness::Live, Liveness::Suspect) => changes.push(change_of(MemberChange::Silent, member)),
                _ => {}
            }
            member.last_liveness = liveness;
        }
        self.members.retain(|_, m| {
            let silent_for = now.since(m.last_seen_at.unwrap_or(m.added_at));
            let keep = m.listed || silent_for < REMOVE_AFTER;
            if !keep {
                changes.push(change_of(MemberChange::Removed, m));
            }
            keep
        });
        changes
    }

    /// Finds a member by its run.
    pub fn find(&self, run: RunId) -> Option<&Member> {
        self.members.get(&run)
    }

    /// Returns all members, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Counts the live and the known instances by name, without those that are shutting down.
    pub fn member_count(&self, now: MonoTime) -> MemberCount {
        let names = |filter: &dyn Fn(&Member) -> bool| {
            let members = self.members.values().filter(|m| !m.leaving && filter(m));
            members.map(|m| &m.instance).collect::<HashSet<_>>().len()
        };
        MemberCount { live: names(&|m| m.is_live(now)), known: names(&|_| true) }
    }

    /// Returns the names of the instances that may be live and on which plan `version` is not active yet,
    /// sorted.
    ///
    /// These are live, suspected or recently listed instances. Those that have been listed for
    /// [`REMOVE_AFTER`] and never answered are in [`MemberTable::never_heard_from`].
    pub fn without_version(&self, version: PlanVersion, now: MonoTime) -> Vec<InstanceId> {
        let may_be_live = |m: &Member| m.last_seen_at.is_some() || now.since(m.added_at) < REMOVE_AFTER;
        self.names(|m| may_be_live(m) && !m.leaving && m.last_heartbeat.plan_version < version)
    }

    /// Returns the names of the instances that have been listed for [`REMOVE_AFTER`] and never answered,
    /// sorted.
    pub fn never_heard_from(&self, now: MonoTime) -> Vec<InstanceId> {
        let silent = |m: &Member| m.last_seen_at.is_none() && now.since(m.added_at) >= REMOVE_AFTER;
        let heard = self.names(|m| !silent(m));
        let mut names = self.names(|m| silent(m) && !m.leaving);
        names.retain(|name| !heard.contains(name));
        names
    }

    fn names(&self, filter: impl Fn(&Member) -> bool) -> Vec<InstanceId> {
        let mut names =
            self.members.values().filter(|m| filter(m)).map(|m| m.instance.clone()).collect::<Vec<_>>();
        names.sort();
        names.dedup();
        names
    }
}

fn change_of(change: fn(InstanceId, RunId) -> MemberChange, member: &Member) -> MemberChange {
    change(member.instance.clone(), member.run_id)
}

fn listed_member(now: MonoTime, listed: &ListedInstance) -> Member {
    new_member(now, &listed.id, listed.run_id, &listed.data_centre, listed.peer_address)
}

fn new_member(
    now: MonoTime,
    instance: &InstanceId,
    run_id: RunId,
    data_centre: &DataCentre,
    peer_address: SocketAddr,
) -> Member {
    Member {
        instance: instance.clone(),
        run_id,
        data_centre: data_centre.clone(),
        peer_address,
        last_seen_at: None,
        added_at: now,
        last_heartbeat: Heartbeat::default(),
        leaving: false,
        listed: false,
        has_linked_here: false,
        last_liveness: Liveness::Unheard,
        last_sent_number: 0,
        sent_heartbeats: VecDeque::new(),
        last_received_number: 0,
    }
}
