//! Other instances as a pure state machine: list lines, hellos and heartbeats in, changes out.
//!
//! Every run of an instance is a member of its own, since names and addresses are reused. What a peer says
//! is dated by its echo: a heartbeat counts as of when this instance sent the heartbeat that it echoes. So
//! neither a paused peer nor a pause of this instance makes old words look fresh, whatever the clocks say.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    collections::{HashMap, HashSet},
    peer::frame::{Heartbeat, Hello},
    store::ListedInstance,
    units::{DataCentre, InstanceId, MonoTime, PlanVersion, RunId},
};

/// Age of a peer's last dated word from which it is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);

/// Age of a peer's last dated word from which it is removed, unless the list still has its run.
pub const REMOVE_AFTER: Duration = Duration::from_secs(10);

/// Heartbeats whose times of sending are kept for dating echoes.
const KEPT_SENDS: usize = 32;

/// Most members; hellos beyond it are refused.
pub const MAX_MEMBERS: usize = 1_000;

/// How much a peer is trusted to be there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Liveness {
    /// Listed, never heard from in a dated way.
    Unheard,
    /// Heard from within [`SUSPECT_AFTER`].
    Live,
    /// Silent for longer.
    Suspect,
}

/// One run of another instance.
#[derive(Debug, Clone)]
pub struct Member {
    /// Name; more than one run may bear it.
    pub instance: InstanceId,
    /// Run.
    pub run_id: RunId,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Where it takes links.
    pub peer_address: SocketAddr,
    /// Time as of which it is known to have been there.
    pub last_seen_at: Option<MonoTime>,
    /// When it entered the table.
    pub added_at: MonoTime,
    /// Last heartbeat's content; the version in it never falls.
    pub last_heartbeat: Heartbeat,
    /// Whether it said, or the list says, that it is leaving; never false again.
    pub leaving: bool,
    /// Whether the last list has this run.
    pub listed: bool,
    /// Whether it opened a link to here and has not been removed since.
    pub has_linked_here: bool,
    /// Liveness at the last tick.
    last_liveness: Liveness,
    /// Number of the last heartbeat sent to it.
    last_number: u64,
    /// Numbers and times of the latest heartbeats sent to it, oldest first.
    sends: VecDeque<(u64, MonoTime)>,
    /// Number of the last heartbeat taken from it.
    taken_number: u64,
}

impl Member {
    /// Returns how much the member is trusted to be there at `now`.
    pub fn liveness(&self, now: MonoTime) -> Liveness {
        match self.last_seen_at {
            None => Liveness::Unheard,
            Some(at) if now.since(at) < SUSPECT_AFTER => Liveness::Live,
            Some(_) => Liveness::Suspect,
        }
    }

    /// Returns whether the member is live at `now`.
    pub fn is_live(&self, now: MonoTime) -> bool {
        self.liveness(now) == Liveness::Live
    }
}

/// What a tick changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// The member became live.
    Live(InstanceId, RunId),
    /// The member fell silent.
    Silent(InstanceId, RunId),
    /// The member was removed.
    Removed(InstanceId, RunId),
}

/// Members heard from against members known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MemberCount {
    /// Other instances heard from within [`SUSPECT_AFTER`].
    pub live: usize,
    /// Other instances that should be there: listed or heard, not leaving.
    pub known: usize,
}

impl MemberCount {
    /// Returns whether this instance and those it hears are more than half of all.
    pub fn is_majority(self) -> bool {
        self.live > 0 && 2 * (self.live + 1) > self.known.max(self.live) + 1
    }
}

/// Table of other instances' runs.
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
    /// Creates an empty table of the instance `own` with its run.
    pub fn new(own: InstanceId, own_run: RunId) -> Self {
        Self { own, own_run, members: HashMap::default() }
    }

    /// Takes the candidates of the lagging list; returns whether it says that this run is leaving.
    pub fn update_from_list(&mut self, now: MonoTime, list: &[ListedInstance]) -> bool {
        let runs = list.iter().map(|l| l.run_id).collect::<HashSet<_>>();
        for member in self.members.values_mut() {
            member.listed = runs.contains(&member.run_id);
        }
        self.members.retain(|_, m| m.listed || m.has_linked_here || m.last_seen_at.is_some());
        let (own_run, own) = (self.own_run, self.own.clone());
        for line in list.iter().filter(|l| l.id != own && l.run_id != own_run) {
            let member = self.members.entry(line.run_id).or_insert_with(|| member_of(now, line));
            member.listed = true;
            member.leaving |= line.leaving;
        }
        list.iter().any(|l| l.run_id == own_run && l.leaving)
    }

    /// Takes a peer's hello; returns whether its link may stay.
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

    /// Numbers a heartbeat to a run; `None` when the run is no member.
    pub fn next_heartbeat(&mut self, now: MonoTime, run: RunId, content: Heartbeat) -> Option<Heartbeat> {
        let member = self.members.get_mut(&run)?;
        member.last_number += 1;
        if member.sends.len() == KEPT_SENDS {
            member.sends.pop_front();
        }
        member.sends.push_back((member.last_number, now));
        Some(Heartbeat { number: member.last_number, echo: member.taken_number, ..content })
    }

    /// Takes a heartbeat; returns the time as of which its words are known to hold, if any.
    ///
    /// An unknown run, a repeated or an old number is ignored.
    pub fn record_heartbeat(&mut self, run: RunId, heartbeat: Heartbeat) -> Option<MonoTime> {
        let member = self.members.get_mut(&run)?;
        if heartbeat.number <= member.taken_number {
            return None;
        }
        member.taken_number = heartbeat.number;
        let plan_version = heartbeat.plan_version.max(member.last_heartbeat.plan_version);
        member.last_heartbeat = Heartbeat { plan_version, ..heartbeat };
        member.leaving |= heartbeat.leaving;
        let sent_at = member.sends.iter().find(|(number, _)| *number == heartbeat.echo).map(|(_, at)| *at)?;
        member.last_seen_at = member.last_seen_at.max(Some(sent_at));
        Some(sent_at)
    }

    /// Returns what changed by the passing of time, and drops removed members.
    pub fn tick(&mut self, now: MonoTime) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        for member in self.members.values_mut() {
            let liveness = member.liveness(now);
            match (member.last_liveness, liveness) {
                (Liveness::Unheard | Liveness::Suspect, Liveness::Live) => {
                    changes.push(named(MemberChange::Live, member))
                }
                (Liveness::Live, Liveness::Suspect) => changes.push(named(MemberChange::Silent, member)),
                _ => {}
            }
            member.last_liveness = liveness;
        }
        self.members.retain(|_, m| {
            let silent_for = now.since(m.last_seen_at.unwrap_or(m.added_at));
            let stays = m.listed || silent_for < REMOVE_AFTER;
            if !stays {
                changes.push(named(MemberChange::Removed, m));
            }
            stays
        });
        changes
    }

    /// Finds a member by its run.
    pub fn find(&self, run: RunId) -> Option<&Member> {
        self.members.get(&run)
    }

    /// Returns all members in no stated order.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Counts those heard from against those that should be there, by name.
    pub fn member_count(&self, now: MonoTime) -> MemberCount {
        let names = |filter: &dyn Fn(&Member) -> bool| {
            let members = self.members.values().filter(|m| !m.leaving && filter(m));
            members.map(|m| &m.instance).collect::<HashSet<_>>().len()
        };
        MemberCount { live: names(&|m| m.is_live(now)), known: names(&|_| true) }
    }

    /// Returns the names that may be live and do not have `version` in force, sorted.
    ///
    /// Those are the live, the suspected and the newly listed; what was listed for [`REMOVE_AFTER`] and never
    /// heard from is in [`MemberTable::never_heard_from`].
    pub fn without_version(&self, version: PlanVersion, now: MonoTime) -> Vec<InstanceId> {
        let may_be_live = |m: &Member| m.last_seen_at.is_some() || now.since(m.added_at) < REMOVE_AFTER;
        self.names(|m| may_be_live(m) && !m.leaving && m.last_heartbeat.plan_version < version)
    }

    /// Returns the names that have been listed for [`REMOVE_AFTER`] and were never heard from, sorted.
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

fn named(change: fn(InstanceId, RunId) -> MemberChange, member: &Member) -> MemberChange {
    change(member.instance.clone(), member.run_id)
}

fn member_of(now: MonoTime, line: &ListedInstance) -> Member {
    new_member(now, &line.id, line.run_id, &line.data_centre, line.peer_address)
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
        last_number: 0,
        sends: VecDeque::new(),
        taken_number: 0,
    }
}
