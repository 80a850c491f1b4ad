//! Eighteen instances in virtual time: the pure machines over one fake store and a fake network.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use arbutusshelf::{
    membership::table::MemberTable,
    peer::frame::{Heartbeat, Hello, PROTOCOL_VERSION},
    plan::{
        IntendedAction, Intention, Plan,
        accept::{Acceptance, Event, PlanRows, Step, Submission, SubmissionOutcome},
        active_plan::ActivePlan,
        freshness::{Freshness, FreshnessTracker, PlanPush, plan_push},
        intentions::must_leave,
        record::{PlanBody, PlanHead, change_key, from_row, head_key},
    },
    store::{ListedInstance, RowWrite, WriteResult, embedded::Store},
    units::{ChangeId, InstanceId, MonoTime, PlanVersion, RunId},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub const INSTANCES: usize = 18;
/// Virtual time of one schedule, in milliseconds.
pub const LENGTH_MS: u64 = 60_000;
const STEP_MS: u64 = 5;
const HEARTBEAT_MS: u64 = 500;
const TICK_MS: u64 = 100;
const BALANCER_LAG_MS: u64 = 2_000;
pub const CUT_OFF_MS: u64 = 4_000;
const CONFIRM_MS: u64 = 5_000;
/// Letters that wait for a paused node; its peers drop it beyond that.
const KEPT_LETTERS: usize = 60;
const KEPT_FINDINGS: usize = 20;
const LEAVE_LIMIT_MS: u64 = 3_000;
/// Time of day at which every schedule starts, in seconds since the Unix epoch.
const MORNING_UNIX_S: u64 = 1_800_000_000;

/// Something that goes wrong or is asked for.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    Submit { at: usize, leave: Option<usize> },
    Kill { who: usize, for_ms: u64 },
    Pause { who: usize, for_ms: u64 },
    Partition { first: usize, count: usize, with_store: bool, for_ms: u64 },
    StoreDown { for_ms: u64 },
    LoseReplies { for_ms: u64 },
    StaleReads { for_ms: u64 },
}

#[derive(Debug, Clone)]
enum Letter {
    Beat(Hello, Heartbeat),
    Wanted(RunId, PlanVersion),
    Plan(Arc<Plan>),
}

#[derive(Debug)]
pub struct Node {
    pub id: InstanceId,
    pub run: RunId,
    alive: bool,
    restart_at: Option<u64>,
    paused_until: u64,
    /// Time since which it has been up, unpaused and on the same side of any partition.
    steady_since: u64,
    started: u64,
    /// Error of its clock of the day, in seconds.
    wall_offset_s: i64,
    table: MemberTable,
    follower: FreshnessTracker,
    plan: ActivePlan,
    /// Highest version seen in force; the check of reversions.
    highest: PlanVersion,
    accepted_here: PlanVersion,
    leaving_at: Option<u64>,
    next_beat: u64,
    next_tick: u64,
    poll: Option<(u64, u64, Option<PlanHead>)>,
    inbox: VecDeque<Letter>,
}

/// What an operator was told, and when it was committed.
#[derive(Debug, Clone)]
struct Told {
    version: PlanVersion,
    at: u64,
}

/// An instance that a plan told to leave.
#[derive(Debug)]
struct ExpectedLeave {
    version: PlanVersion,
    since: u64,
    accepted_by: usize,
    node: usize,
    run: RunId,
}

#[derive(Debug)]
struct Operation {
    change_id: ChangeId,
    plan: Plan,
    node: usize,
    run: RunId,
    acceptance: Acceptance,
    /// Whether an earlier submission of the change ended without an answer.
    unsure: bool,
    /// When the running step ends, and what comes of it.
    due: Option<(u64, Event)>,
    committed: Option<(PlanVersion, u64)>,
}

#[derive(Debug)]
pub struct Cluster {
    now: u64,
    rng: SmallRng,
    nodes: Vec<Node>,
    store: Store,
    /// Content of the head row, and the row's version.
    head: Option<PlanHead>,
    head_row_version: u64,
    snapshots: VecDeque<(u64, Option<PlanHead>)>,
    late_writes: Vec<(u64, Vec<RowWrite>)>,
    store_down_until: u64,
    lose_until: u64,
    stale_until: u64,
    /// Side of each node, and whether the second side reaches the store.
    second_side: Vec<bool>,
    second_has_store: bool,
    partition_until: u64,
    mail: Vec<(u64, usize, usize, Letter)>,
    operations: Vec<Operation>,
    told: Vec<Told>,
    leaves: Vec<ExpectedLeave>,
    /// Change ids whose operators were told that nothing took effect.
    told_nothing: Vec<ChangeId>,
    pub accepted: usize,
    /// Leaves whose time was checked.
    pub left: usize,
    pub broken: Vec<String>,
}

fn mono(ms: u64) -> MonoTime {
    MonoTime::from(ms * 1_000)
}

impl Cluster {
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = (0..INSTANCES).map(|n| Node::start(n, rng.random(), 0, rng.random_range(-1..=1)));
        let nodes = nodes.collect::<Vec<_>>();
        let mut cluster = Self {
            now: 0,
            rng,
            nodes,
            store: Store::default(),
            head: None,
            head_row_version: 0,
            snapshots: VecDeque::new(),
            late_writes: Vec::new(),
            store_down_until: 0,
            lose_until: 0,
            stale_until: 0,
            second_side: vec![false; INSTANCES],
            second_has_store: true,
            partition_until: 0,
            mail: Vec::new(),
            operations: Vec::new(),
            told: Vec::new(),
            leaves: Vec::new(),
            told_nothing: Vec::new(),
            accepted: 0,
            left: 0,
            broken: Vec::new(),
        };
        (0..INSTANCES).for_each(|n| cluster.register(n));
        cluster
    }

    /// Runs a schedule of faults at their times, in order, then checks what is left to check.
    pub fn run(&mut self, schedule: &[(u64, Fault)], length_ms: u64) {
        let mut next = schedule.iter().peekable();
        while self.now < length_ms {
            while let Some((_, fault)) = next.next_if(|(at, _)| *at <= self.now) {
                self.inject(fault);
            }
            self.step();
        }
        self.check_end();
    }

    /// Returns the instances that do not serve by the newest accepted plan.
    pub fn lagging(&self) -> Vec<&InstanceId> {
        let newest = self.told.iter().map(|t| t.version).max().unwrap_or_default();
        let lags = |node: &&Node| !node.serves(self.now) || node.plan.version() < newest;
        self.nodes.iter().filter(lags).map(|node| &node.id).collect()
    }

    fn inject(&mut self, fault: &Fault) {
        let now = self.now;
        match *fault {
            Fault::Submit { at, leave } => self.submit(at, leave),
            Fault::Kill { who, for_ms } => self.kill(who, for_ms),
            Fault::Pause { who, for_ms } => self.nodes[who].paused_until = now + for_ms,
            Fault::Partition { first, count, with_store, for_ms } => {
                self.second_side = (0..INSTANCES).map(|n| (first..first + count).contains(&n)).collect();
                self.second_has_store = with_store;
                self.partition_until = now + for_ms;
                self.nodes.iter_mut().for_each(|n| n.steady_since = now);
            }
            Fault::StoreDown { for_ms } => self.store_down_until = now + for_ms,
            Fault::LoseReplies { for_ms } => self.lose_until = now + for_ms,
            Fault::StaleReads { for_ms } => self.stale_until = now + for_ms,
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        // The first broken property tells most; the others often follow from it.
        self.broken.truncate(KEPT_FINDINGS);
        if self.now >= self.partition_until && self.second_side.contains(&true) {
            self.second_side = vec![false; INSTANCES];
            self.nodes.iter_mut().for_each(|n| n.steady_since = self.now);
        }
        self.apply_late_writes();
        self.refresh_head();
        self.snapshots.push_back((self.now, self.head.clone()));
        while self.snapshots.front().is_some_and(|(at, _)| at + 1_000 < self.now) {
            self.snapshots.pop_front();
        }
        self.deliver();
        for n in 0..INSTANCES {
            self.step_node(n);
        }
        self.step_operations();
        self.check_leaving();
        if self.now.is_multiple_of(50) {
            self.check_serving();
        }
    }

    fn apply_late_writes(&mut self) {
        let due = self.late_writes.extract_if(.., |(at, _)| *at <= self.now).collect::<Vec<_>>();
        for (_, writes) in due {
            self.store.write(&writes);
        }
    }

    fn refresh_head(&mut self) {
        let row = self.store.get(&head_key());
        if let Some(row) = row.filter(|row| row.version != self.head_row_version) {
            self.head = Some(from_row(&row).expect("the head row holds a head"));
            self.head_row_version = row.version;
        }
    }

    fn reaches_store(&self, n: usize) -> bool {
        self.now >= self.store_down_until && (!self.second_side[n] || self.second_has_store)
    }

    fn is_running(&self, n: usize) -> bool {
        self.nodes[n].alive && self.now >= self.nodes[n].paused_until
    }

    fn register(&mut self, n: usize) {
        let node = &self.nodes[n];
        let address = "127.0.0.1:1".parse().expect("an address");
        self.store.register(ListedInstance {
            id: node.id.clone(),
            run_id: node.run,
            data_centre: "ost-a".parse().expect("a name"),
            peer_address: address,
            caller_address: address,
            leaving: node.leaving_at.is_some(),
        });
    }

    fn kill(&mut self, n: usize, for_ms: u64) {
        self.nodes[n].alive = false;
        self.nodes[n].restart_at = Some(self.now + for_ms);
        self.mail.retain(|(_, _, to, _)| *to != n);
    }

    fn restart(&mut self, n: usize) {
        let offset_s = self.nodes[n].wall_offset_s;
        self.nodes[n] = Node::start(n, self.rng.random(), self.now, offset_s);
    }

    fn post(&mut self, from: usize, to: usize, letter: Letter) {
        let delay = self.rng.random_range(1..20);
        self.mail.push((self.now + delay, from, to, letter));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.mail.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>();
        for (_, from, to, letter) in due {
            let cut = self.second_side[from] != self.second_side[to];
            let full = !self.is_running(to) && self.nodes[to].inbox.len() >= KEPT_LETTERS;
            if !cut && self.nodes[to].alive && !full {
                self.nodes[to].inbox.push_back(letter);
            }
        }
    }

    fn step_node(&mut self, n: usize) {
        if self.nodes[n].restart_at.is_some_and(|at| at <= self.now) {
            self.restart(n);
        }
        if !self.is_running(n) {
            self.nodes[n].steady_since = self.now;
            return;
        }
        self.check_waking(n);
        while let Some(letter) = self.nodes[n].inbox.pop_front() {
            self.read(n, letter);
        }
        if self.nodes[n].next_tick <= self.now {
            self.tick(n);
        }
        if self.nodes[n].next_beat <= self.now {
            self.beat(n);
        }
        self.poll(n);
    }

    /// A paused instance must not serve from what it knew before, not even before its first tick.
    fn check_waking(&mut self, n: usize) {
        let node = &self.nodes[n];
        let paused_for = self.now.saturating_sub(node.next_tick);
        if paused_for > 3_500 && node.serves(self.now) {
            self.broken.push(format!("{} serves on waking after {paused_for} ms", node.id));
        }
    }

    fn read(&mut self, n: usize, letter: Letter) {
        let now = mono(self.now);
        let node = &mut self.nodes[n];
        match letter {
            Letter::Beat(hello, beat) => {
                node.table.accept_hello(now, &hello);
                let dated = node.table.record_heartbeat(hello.run_id, beat);
                node.follower.on_heartbeat(dated, &beat);
                if node.follower.should_request_plan(now, beat.plan_version) {
                    let letter = Letter::Wanted(node.run, node.plan.version());
                    let to = self.index(&hello.instance);
                    self.post(n, to, letter);
                }
            }
            Letter::Wanted(run, version) => {
                let (plan, accepted_here) = (node.plan.current(), node.accepted_here);
                let to = self.nodes.iter().position(|other| other.run == run);
                if plan_push(plan.version, accepted_here, version, true) == PlanPush::Send
                    && let Some(to) = to
                {
                    self.post(n, to, Letter::Plan(plan));
                }
            }
            Letter::Plan(plan) => self.offer(n, &plan),
        }
    }

    fn index(&self, id: &InstanceId) -> usize {
        self.nodes.iter().position(|n| n.id == *id).expect("names are fixed")
    }

    fn offer(&mut self, n: usize, plan: &Plan) {
        let node = &mut self.nodes[n];
        if !node.plan.install_if_newer(plan.clone()) {
            return;
        }
        node.follower.set_version(plan.version);
        self.act_on_plan(n);
        self.beat(n);
    }

    fn act_on_plan(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let leave = must_leave(&node.plan.current(), &node.id, node.unix_s(node.started), node.unix_s(now));
        if leave && node.leaving_at.is_none() {
            node.leaving_at = Some(now);
            self.beat(n);
        }
        let node = &self.nodes[n];
        if node.leaving_at.is_some_and(|at| now >= at + BALANCER_LAG_MS) {
            self.kill(n, 5_000);
        }
    }

    fn tick(&mut self, n: usize) {
        let now = mono(self.now);
        let node = &mut self.nodes[n];
        node.next_tick = self.now + TICK_MS;
        node.table.tick(now);
        let headcount = node.table.member_count(now);
        let version = node.plan.version();
        let vouched = node
            .table
            .all()
            .any(|m| m.is_live(now) && m.last_heartbeat.current && m.last_heartbeat.plan_version == version);
        node.follower.tick(now, headcount, vouched);
        self.act_on_plan(n);
    }

    fn beat(&mut self, n: usize) {
        let now = mono(self.now);
        let node = &mut self.nodes[n];
        node.next_beat = self.now + HEARTBEAT_MS;
        let hello = node.hello();
        let says = node.follower.heartbeat(now, node.leaving_at.is_some());
        let peers = node.table.all().map(|m| (m.run_id, m.instance.clone(), m.last_heartbeat.plan_version));
        for (run, instance, peer_version) in peers.collect::<Vec<_>>() {
            let Some(beat) = self.nodes[n].table.next_heartbeat(now, run, says) else { continue };
            let to = self.index(&instance);
            if self.nodes[to].run == run {
                self.post(n, to, Letter::Beat(hello.clone(), beat));
            }
            let node = &self.nodes[n];
            if plan_push(node.plan.version(), node.accepted_here, peer_version, false) == PlanPush::Send {
                let plan = node.plan.current();
                self.post(n, to, Letter::Plan(plan));
            }
        }
    }

    fn poll(&mut self, n: usize) {
        let now = self.now;
        if let Some((began, ends, _)) = self.nodes[n].poll
            && ends <= now
        {
            let (_, _, read) = self.nodes[n].poll.take().expect("it was there");
            let reached = self.reaches_store(n);
            if reached {
                let list = self.store.instances();
                self.nodes[n].table.update_from_list(mono(now), &list);
                self.register(n);
            }
            let version = read.as_ref().map_or_else(PlanVersion::default, |h| h.version);
            if reached && let Some(PlanHead { body: PlanBody::Inline(plan), .. }) = read {
                self.offer(n, &plan);
            }
            self.nodes[n].follower.on_poll_finished(mono(began), mono(now), reached.then_some(version));
        }
        let due = self.nodes[n].poll.is_none() && self.nodes[n].follower.next_poll() <= mono(now);
        if due && self.nodes[n].alive {
            let latency = self.rng.random_range(2..50);
            let stale = now < self.stale_until && self.rng.random_bool(0.5);
            let read =
                if stale { self.snapshots.front().and_then(|(_, h)| h.clone()) } else { self.head.clone() };
            // A read that began while the store was out fails like one that ends then.
            let ends = if self.reaches_store(n) { now + latency } else { now + 500 };
            self.nodes[n].poll = Some((now, ends, read));
        }
    }

    fn submit(&mut self, node: usize, leave: Option<usize>) {
        let number = self.operations.len() + self.told.len() + self.told_nothing.len();
        let change_id = format!("change-{}-{number}", self.now).parse().expect("a name");
        let leave = leave
            .map(|n| Intention { at_unix_s: 0, action: IntendedAction::Leave(self.nodes[n].id.clone()) });
        let plan = Plan { intentions: leave.into_iter().collect(), ..Plan::default() };
        self.operate(change_id, plan, node, false);
    }

    fn operate(&mut self, change_id: ChangeId, plan: Plan, node: usize, unsure: bool) {
        let submission = Submission {
            plan: plan.clone(),
            change_id: change_id.clone(),
            base: None,
            token: self.rng.random(),
            submitted_unix_s: self.nodes[node].unix_s(self.now),
        };
        let acceptance = Acceptance::new(submission, mono(self.now + CONFIRM_MS));
        let run = self.nodes[node].run;
        self.operations.push(Operation {
            change_id,
            plan,
            node,
            run,
            unsure,
            acceptance,
            due: Some((self.now, Event::Paused)),
            committed: None,
        });
    }

    fn step_operations(&mut self) {
        for mut operation in std::mem::take(&mut self.operations) {
            let node = &self.nodes[operation.node];
            if !node.alive || node.run != operation.run {
                // The operator's connection broke: the same change goes through another instance.
                let elsewhere = self.rng.random_range(0..INSTANCES);
                self.operate(operation.change_id, operation.plan, elsewhere, true);
            } else if !self.is_running(operation.node) || self.advance(&mut operation) {
                self.operations.push(operation);
            }
        }
    }

    /// Advances an operation; returns whether it goes on.
    fn advance(&mut self, operation: &mut Operation) -> bool {
        if let Some((version, since)) = operation.committed {
            return self.confirm(operation.node, version, since);
        }
        let Some((_, event)) = operation.due.take_if(|(at, _)| *at <= self.now) else {
            return true;
        };
        match operation.acceptance.handle(mono(self.now), event) {
            Step::Done(verdict) => self.conclude(operation, &verdict),
            step => {
                operation.due = Some(self.carry_out(operation, step));
                true
            }
        }
    }

    fn carry_out(&mut self, operation: &Operation, step: Step) -> (u64, Event) {
        let ends = self.now + self.rng.random_range(2..50);
        let reached = self.reaches_store(operation.node);
        match step {
            Step::Read if !reached => (self.now + 500, Event::Read(None)),
            Step::Read => {
                let list = self.store.instances();
                self.nodes[operation.node].table.update_from_list(mono(self.now), &list);
                let change = self.store.get(&change_key(&operation.change_id));
                let change = change.map(|row| from_row(&row).expect("a change record"));
                let head = self.store.get(&head_key());
                let head = head.map(|row| (from_row(&row).expect("a head"), row.version));
                (ends, Event::Read(Some(PlanRows { head, change })))
            }
            Step::Write(writes) => (ends, Event::Wrote(self.write(reached, writes))),
            Step::Pause(pause) => (self.now + pause.as_millis() as u64, Event::Paused),
            Step::PutBody { .. } | Step::CheckBody(_) | Step::Done(_) => panic!("plans here are small"),
        }
    }

    fn write(&mut self, reached: bool, writes: Vec<RowWrite>) -> WriteResult {
        if !reached {
            let on_the_way = self.rng.random_bool(0.3);
            if on_the_way {
                self.late_writes.push((self.now + self.rng.random_range(50..4_000), writes));
            }
            let refused = !on_the_way && self.rng.random_bool(0.5);
            return if refused { WriteResult::Refused } else { WriteResult::Unknown };
        }
        let result = self.store.write(&writes);
        let lost = self.now < self.lose_until && self.rng.random_bool(0.6);
        if lost { WriteResult::Unknown } else { result }
    }

    fn conclude(&mut self, operation: &mut Operation, verdict: &SubmissionOutcome) -> bool {
        match verdict {
            &SubmissionOutcome::Committed { version, repeated } => {
                operation.committed = Some((version, self.now));
                if !repeated {
                    let n = operation.node;
                    self.nodes[n].accepted_here = version;
                    self.offer(n, operation.acceptance.plan());
                    self.nodes[n].follower.confirm_version(mono(self.now), version);
                    self.expect_leaving(n, operation.acceptance.plan());
                }
                true
            }
            SubmissionOutcome::Unknown | SubmissionOutcome::NothingWritten
                if operation.unsure || *verdict == SubmissionOutcome::Unknown =>
            {
                // Told to submit it again, the operator does.
                let elsewhere = self.rng.random_range(0..INSTANCES);
                self.operate(operation.change_id.clone(), operation.plan.clone(), elsewhere, true);
                false
            }
            SubmissionOutcome::Conflict(_)
            | SubmissionOutcome::NothingWritten
            | SubmissionOutcome::Unknown => {
                self.told_nothing.push(operation.change_id.clone());
                false
            }
            SubmissionOutcome::ChangeIdReused(_) | SubmissionOutcome::Unencodable(_) => {
                self.broken.push(format!("{} ended as {verdict:?}", operation.change_id));
                false
            }
        }
    }

    fn confirm(&mut self, n: usize, version: PlanVersion, since: u64) -> bool {
        let node = &self.nodes[n];
        let mut without = node.table.without_version(version, mono(self.now));
        if node.plan.version() < version {
            without.push(node.id.clone());
        }
        if !without.is_empty() && self.now < since + CONFIRM_MS {
            return true;
        }
        self.accepted += 1;
        self.check_told(n, version, since, &without);
        self.told.push(Told { version, at: since });
        false
    }

    /// Whoever was reachable all the while has the version, or is named as not having it.
    fn check_told(&mut self, n: usize, version: PlanVersion, since: u64, without: &[InstanceId]) {
        for other in 0..INSTANCES {
            let node = &self.nodes[other];
            let steady = |node: &Node| self.now.saturating_sub(node.steady_since.max(node.started)) > 5_000;
            let reachable = self.second_side[n] == self.second_side[other] && node.alive;
            if !reachable || !steady(node) || !steady(&self.nodes[n]) || node.plan.version() >= version {
                continue;
            }
            let waited = self.now - since;
            let named = if without.contains(&node.id) { "named" } else { "not named" };
            self.broken.push(format!("{} lacks version {version} after {waited} ms, {named}", node.id));
        }
    }

    fn expect_leaving(&mut self, accepted_by: usize, plan: &Plan) {
        let Some(Intention { action: IntendedAction::Leave(id), .. }) = plan.intentions.first() else {
            return;
        };
        let node = self.index(id);
        let (version, since, run) = (plan.version, self.now, self.nodes[node].run);
        self.leaves.push(ExpectedLeave { version, since, accepted_by, node, run });
    }

    /// An instance that was told to leave takes nothing 3 s later, if it could be reached all the while.
    fn check_leaving(&mut self) {
        let now = self.now;
        let due = self.leaves.extract_if(.., |l| now >= l.since + LEAVE_LIMIT_MS).collect::<Vec<_>>();
        for leave in due {
            let (node, by) = (&self.nodes[leave.node], &self.nodes[leave.accepted_by]);
            let steady = node.steady_since <= leave.since && by.steady_since <= leave.since && by.alive;
            let same_side = self.second_side[leave.node] == self.second_side[leave.accepted_by];
            // The clocks of the day differ by up to 2 s, so a younger run may take the plan for older than itself.
            let old_enough = node.started + 5_000 <= leave.since;
            let withdrawn = self.head.as_ref().is_some_and(|h| h.version > leave.version);
            let gone = !node.alive || node.run != leave.run;
            if gone || !steady || !same_side || !old_enough || withdrawn {
                self.left += usize::from(gone);
                continue;
            }
            self.broken.push(format!("{} stays though {} told it to leave", node.id, leave.version));
        }
    }

    /// Nobody serves by a plan that was replaced longer ago than the cut-off bound.
    fn check_serving(&mut self) {
        let bound = self.now.saturating_sub(CUT_OFF_MS + 2_500);
        for node in &mut self.nodes {
            let version = node.plan.version();
            if version < node.highest {
                self.broken.push(format!("{} went from {} back to {version}", node.id, node.highest));
            }
            node.highest = node.highest.max(version);
        }
        let Some(told) = self.told.iter().filter(|t| t.at <= bound).max_by_key(|t| t.version) else {
            return;
        };
        for node in &self.nodes {
            if node.alive && node.serves(self.now) && node.plan.version() < told.version {
                let (own, newer) = (node.plan.version(), told.version);
                self.broken.push(format!("{} serves by {own} long after {newer} at {}", node.id, self.now));
            }
        }
    }

    /// Every told version is that change's and no other's, and nothing refused took effect.
    fn check_end(&mut self) {
        let mut versions = Vec::new();
        for row in self.store.scan("plan/change/") {
            let record = from_row::<arbutusshelf::plan::record::ChangeRecord>(&row).expect("a record");
            let change = row.key.0.trim_start_matches("plan/change/").to_owned();
            if self.told_nothing.iter().any(|id| id.as_str() == change) {
                self.broken.push(format!("{change} took effect though its operator was told otherwise"));
            }
            versions.push(record.version);
        }
        versions.sort();
        let expected = (1..=versions.len() as u64).map(PlanVersion::from).collect::<Vec<_>>();
        if versions != expected {
            self.broken.push(format!("versions are {versions:?}"));
        }
        for told in &self.told {
            if !versions.contains(&told.version) {
                self.broken.push(format!("accepted version {} was lost", told.version));
            }
        }
    }
}

impl Node {
    fn start(number: usize, run: u64, now: u64, wall_offset_s: i64) -> Self {
        let id = format!("instance-{number:02}").parse::<InstanceId>().expect("a name");
        let run = RunId::from(run);
        Self {
            table: MemberTable::new(id.clone(), run),
            follower: FreshnessTracker::new(run.into(), Duration::from_millis(CUT_OFF_MS), mono(now)),
            id,
            run,
            alive: true,
            restart_at: None,
            paused_until: 0,
            steady_since: now,
            started: now,
            wall_offset_s,
            plan: ActivePlan::default(),
            highest: PlanVersion::default(),
            accepted_here: PlanVersion::default(),
            leaving_at: None,
            next_beat: now,
            next_tick: now,
            poll: None,
            inbox: VecDeque::new(),
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            protocol_version: PROTOCOL_VERSION,
            instance: self.id.clone(),
            run_id: self.run,
            data_centre: "ost-a".parse().expect("a name"),
            peer_address: "127.0.0.1:1".parse().expect("an address"),
        }
    }

    fn unix_s(&self, now: u64) -> u64 {
        (MORNING_UNIX_S + now / 1_000).saturating_add_signed(self.wall_offset_s)
    }

    /// Whether a request would be taken now, by the same rule as the edge.
    fn serves(&self, now: u64) -> bool {
        let current = self.follower.freshness() == Freshness::Current;
        current && self.follower.current_until().is_some_and(|until| mono(now) < until)
    }
}
