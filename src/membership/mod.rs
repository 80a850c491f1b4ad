//! Other instances as seen from here: who is live, who is leaving, which plan they have in force.
//!
//! Nothing that must always hold depends on this view; it only makes things faster.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    collections::HashMap,
    platform::ListedInstance,
    units::{DataCentre, InstanceId, MonoTime, PlanVersion, RunId},
};

/// Silence after which a peer no longer counts as live.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// One other instance.
#[derive(Debug, Clone)]
pub struct Member {
    /// Run that was heard last, or listed.
    pub run_id: RunId,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Where it takes links.
    pub peer_address: SocketAddr,
    /// When it was last heard from, if ever.
    pub heard_at: Option<MonoTime>,
    /// Version in force there, as last heard.
    pub plan_version: PlanVersion,
    /// Whether it said, or the list says, that it is leaving.
    pub leaving: bool,
}

/// What operators see of a member.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberView {
    /// Name.
    pub instance: InstanceId,
    /// Run.
    pub run_id: String,
    /// Whether it was heard from lately.
    pub live: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Version in force there.
    pub plan_version: PlanVersion,
}

/// Table of other instances.
#[derive(Debug, Default)]
pub struct Members {
    members: Mutex<HashMap<InstanceId, Member>>,
}

impl Members {
    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, Member>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the candidates of the lagging list.
    pub fn listed(&self, own: &InstanceId, list: &[ListedInstance]) {
        let mut members = self.lock();
        members.retain(|id, m| m.heard_at.is_some() || list.iter().any(|l| l.id == *id));
        for line in list.iter().filter(|l| l.id != *own) {
            let member = members.entry(line.id.clone()).or_insert_with(|| Member {
                run_id: line.run_id,
                data_centre: line.data_centre.clone(),
                peer_address: line.peer_address,
                heard_at: None,
                plan_version: PlanVersion::default(),
                leaving: line.leaving,
            });
            if member.heard_at.is_none() {
                member.peer_address = line.peer_address;
                member.run_id = line.run_id;
            }
        }
    }

    /// Takes a peer's hello.
    pub fn greeted(&self, now: MonoTime, id: InstanceId, mut member: Member) {
        member.heard_at = Some(now);
        self.lock().insert(id, member);
    }

    /// Takes a heartbeat of a run; an older run's is ignored.
    pub fn heard(
        &self,
        now: MonoTime,
        id: &InstanceId,
        run_id: RunId,
        plan_version: PlanVersion,
        leaving: bool,
    ) {
        let mut members = self.lock();
        let Some(member) = members.get_mut(id).filter(|m| m.run_id == run_id) else {
            return;
        };
        member.heard_at = Some(now);
        member.plan_version = plan_version;
        member.leaving = leaving;
    }

    /// Returns every member to link to.
    pub fn candidates(&self) -> Vec<(InstanceId, Member)> {
        self.lock().iter().map(|(id, m)| (id.clone(), m.clone())).collect()
    }

    /// Returns whether any peer was heard from lately.
    pub fn any_live(&self, now: MonoTime) -> bool {
        self.lock().values().any(|m| is_live(m, now))
    }

    /// Returns the version in force at a member, 0 when unknown.
    pub fn plan_version(&self, id: &InstanceId) -> PlanVersion {
        self.lock().get(id).map(|m| m.plan_version).unwrap_or_default()
    }

    /// Returns the live members that do not have `version` in force yet.
    pub fn without(&self, version: PlanVersion, now: MonoTime) -> Vec<InstanceId> {
        let members = self.lock();
        let lagging =
            members.iter().filter(|(_, m)| is_live(m, now) && !m.leaving && m.plan_version < version);
        lagging.map(|(id, _)| id.clone()).collect()
    }

    /// Returns what operators see.
    pub fn view(&self, now: MonoTime) -> Vec<MemberView> {
        let members = self.lock();
        let mut views = members
            .iter()
            .map(|(id, m)| MemberView {
                instance: id.clone(),
                run_id: m.run_id.to_string(),
                live: is_live(m, now),
                leaving: m.leaving,
                plan_version: m.plan_version,
            })
            .collect::<Vec<_>>();
        views.sort_by(|a, b| a.instance.cmp(&b.instance));
        views
    }
}

fn is_live(member: &Member, now: MonoTime) -> bool {
    member.heard_at.is_some_and(|at| now.since(at) < SILENCE_LIMIT)
}
