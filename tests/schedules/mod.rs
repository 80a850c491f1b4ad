//! Simulation of eighteen instances in virtual time: the state machines of plan and membership over a fake
//! store and a fake network. All times are milliseconds since the start of the simulation unless stated
//! otherwise.

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
/// Duration of one schedule in virtual time.
pub const DURATION_MS: u64 = 60_000;
const STEP_MS: u64 = 5;
const HEARTBEAT_MS: u64 = 500;
const TICK_MS: u64 = 100;
/// Time after which a leaving instance exits.
const BALANCER_LAG_MS: u64 = 2_000;
/// Time without evidence after which an instance's plan no longer counts as current.
pub const CUT_OFF_MS: u64 = 4_000;
/// Time within which an accepted plan must be active on the live instances or the operator is given the
/// exceptions.
const CONFIRM_TIMEOUT_MS: u64 = 5_000;
/// Maximum number of messages queued for a suspended node; further ones are dropped, as peers close its
/// links.
const MAX_QUEUED_MESSAGES: usize = 60;
const MAX_VIOLATIONS: usize = 20;
/// Time within which an instance must follow a plan that requires it to leave.
const LEAVE_TIMEOUT_MS: u64 = 3_000;
/// Wall-clock time at which every schedule starts, in seconds since the Unix epoch.
const START_UNIX_S: u64 = 1_800_000_000;

/// Fault to inject, or submission of a plan.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// An operator submits a plan to the node `at`; the plan may require the node `leave` to leave.
    Submit { at: usize, leave: Option<usize> },
    /// The process of a node is killed and started again later.
    Kill { node: usize, for_ms: u64 },
    /// The process of a node is suspended.
    Pause { node: usize, for_ms: u64 },
    /// The network is split; `count` nodes from `first` on are on the second side, with or without the store.
    Partition { first: usize, count: usize, with_store: bool, for_ms: u64 },
    /// The store is unreachable.
    StoreDown { for_ms: u64 },
    /// Some replies to writes are lost.
    LoseReplies { for_ms: u64 },
    /// Some reads return the head row as it was a second earlier.
    StaleReads { for_ms: u64 },
}

/// Message between two nodes.
#[derive(Debug, Clone)]
enum Message {
    Heartbeat(Hello, Heartbeat),
    PlanRequest(RunId, PlanVersion),
    Plan(Arc<Plan>),
}

/// One instance of the load balancer.
#[derive(Debug)]
pub struct Node {
    pub id: InstanceId,
    pub run: RunId,
    alive: bool,
    restart_at: Option<u64>,
    paused_until: u64,
    /// Time since which the node has been running without a suspension or a change of the partition.
    undisturbed_since: u64,
    started: u64,
    /// Offset of the node's wall clock, in seconds.
    wall_clock_offset_s: i64,
    table: MemberTable,
    tracker: FreshnessTracker,
    plan: ActivePlan,
    /// Highest version that was active on the node, to detect a return to an older one.
    highest: PlanVersion,
    /// Highest version that operators submitted through this node.
    accepted_here: PlanVersion,
    leaving_at: Option<u64>,
    next_heartbeat_at: u64,
    next_tick: u64,
    /// Read of the head row in progress: its start, its end and the head that it returns.
    poll: Option<(u64, u64, Option<PlanHead>)>,
    inbox: VecDeque<Message>,
}

/// Version that was reported to an operator as accepted, with the time of its commit.
#[derive(Debug, Clone)]
struct ReportedVersion {
    version: PlanVersion,
    at: u64,
}

/// Node that a committed plan requires to leave.
#[derive(Debug)]
struct ExpectedLeave {
    version: PlanVersion,
    since: u64,
    accepted_by: usize,
    node: usize,
    run: RunId,
}

/// Submission in progress.
#[derive(Debug)]
struct Operation {
    change_id: ChangeId,
    plan: Plan,
    node: usize,
    run: RunId,
    acceptance: Acceptance,
    /// Whether an earlier submission of the change ended without a certain outcome.
    earlier_unknown: bool,
    /// End of the step in progress and its result.
    due: Option<(u64, Event)>,
    /// Version and time of the commit, while the submission waits for the nodes to activate it.
    committed: Option<(PlanVersion, u64)>,
}

/// The simulated deployment.
#[derive(Debug)]
pub struct Cluster {
    now: u64,
    rng: SmallRng,
    nodes: Vec<Node>,
    store: Store,
    /// Content of the head row.
    head: Option<PlanHead>,
    head_row_version: u64,
    /// Heads of the last second with their times, for stale reads.
    snapshots: VecDeque<(u64, Option<PlanHead>)>,
    /// Delayed writes with the times at which the store applies them.
    late_writes: Vec<(u64, Vec<RowWrite>)>,
    store_down_until: u64,
    replies_lost_until: u64,
    stale_until: u64,
    /// Whether each node is on the second side of the partition.
    on_second_side: Vec<bool>,
    /// Whether the second side of the partition reaches the store.
    second_side_has_store: bool,
    partition_until: u64,
    /// Messages on the network: time of delivery, sender, receiver and content.
    in_transit: Vec<(u64, usize, usize, Message)>,
    operations: Vec<Operation>,
    reported: Vec<ReportedVersion>,
    leaves: Vec<ExpectedLeave>,
    /// Change ids that were reported to operators as without effect.
    reported_ineffective: Vec<ChangeId>,
    /// Number of submissions reported as accepted.
    pub accepted: usize,
    /// Number of expected leaves after which the node was gone.
    pub confirmed_leaves: usize,
    /// Descriptions of the violated invariants.
    pub violations: Vec<String>,
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
            replies_lost_until: 0,
            stale_until: 0,
            on_second_side: vec![false; INSTANCES],
            second_side_has_store: true,
            partition_until: 0,
            in_transit: Vec::new(),
            operations: Vec::new(),
            reported: Vec::new(),
            leaves: Vec::new(),
            reported_ineffective: Vec::new(),
            accepted: 0,
            confirmed_leaves: 0,
            violations: Vec::new(),
        };
        (0..INSTANCES).for_each(|n| cluster.register(n));
        cluster
    }

    /// Runs a schedule of faults, sorted by time, and then checks the final state.
    pub fn run(&mut self, schedule: &[(u64, Fault)], duration_ms: u64) {
        let mut next = schedule.iter().peekable();
        while self.now < duration_ms {
            while let Some((_, fault)) = next.next_if(|(at, _)| *at <= self.now) {
                self.inject(fault);
            }
            self.step();
        }
        self.check_end();
    }

    /// Returns the instances that do not serve requests with the newest accepted plan.
    pub fn lagging(&self) -> Vec<&InstanceId> {
        let newest = self.reported.iter().map(|r| r.version).max().unwrap_or_default();
        let lags = |node: &&Node| !node.serves(self.now) || node.plan.version() < newest;
        self.nodes.iter().filter(lags).map(|node| &node.id).collect()
    }

    fn inject(&mut self, fault: &Fault) {
        let now = self.now;
        match *fault {
            Fault::Submit { at, leave } => self.submit(at, leave),
            Fault::Kill { node, for_ms } => self.kill(node, for_ms),
            Fault::Pause { node, for_ms } => self.nodes[node].paused_until = now + for_ms,
            Fault::Partition { first, count, with_store, for_ms } => {
                self.on_second_side = (0..INSTANCES).map(|n| (first..first + count).contains(&n)).collect();
                self.second_side_has_store = with_store;
                self.partition_until = now + for_ms;
                self.nodes.iter_mut().for_each(|n| n.undisturbed_since = now);
            }
            Fault::StoreDown { for_ms } => self.store_down_until = now + for_ms,
            Fault::LoseReplies { for_ms } => self.replies_lost_until = now + for_ms,
            Fault::StaleReads { for_ms } => self.stale_until = now + for_ms,
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        // Only the first violations are kept, since the others often follow from them.
        self.violations.truncate(MAX_VIOLATIONS);
        if self.now >= self.partition_until && self.on_second_side.contains(&true) {
            self.on_second_side = vec![false; INSTANCES];
            self.nodes.iter_mut().for_each(|n| n.undisturbed_since = self.now);
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
        self.check_leaves();
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
        self.now >= self.store_down_until && (!self.on_second_side[n] || self.second_side_has_store)
    }

    fn is_running(&self, n: usize) -> bool {
        self.nodes[n].alive && self.now >= self.nodes[n].paused_until
    }

    fn register(&mut self, n: usize) {
        let node = &self.nodes[n];
        let address = "127.0.0.1:1".parse().expect("the address is valid");
        self.store.register(ListedInstance {
            id: node.id.clone(),
            run_id: node.run,
            data_centre: "ost-a".parse().expect("the name is valid"),
            peer_address: address,
            caller_address: address,
            leaving: node.leaving_at.is_some(),
        });
    }

    fn kill(&mut self, n: usize, for_ms: u64) {
        self.nodes[n].alive = false;
        self.nodes[n].restart_at = Some(self.now + for_ms);
        self.in_transit.retain(|(_, _, to, _)| *to != n);
    }

    fn restart(&mut self, n: usize) {
        let offset_s = self.nodes[n].wall_clock_offset_s;
        self.nodes[n] = Node::start(n, self.rng.random(), self.now, offset_s);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let delay = self.rng.random_range(1..20);
        self.in_transit.push((self.now + delay, from, to, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.in_transit.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>();
        for (_, from, to, message) in due {
            let cut = self.on_second_side[from] != self.on_second_side[to];
            let full = !self.is_running(to) && self.nodes[to].inbox.len() >= MAX_QUEUED_MESSAGES;
            if !cut && self.nodes[to].alive && !full {
                self.nodes[to].inbox.push_back(message);
            }
        }
    }

    fn step_node(&mut self, n: usize) {
        if self.nodes[n].restart_at.is_some_and(|at| at <= self.now) {
            self.restart(n);
        }
        if !self.is_running(n) {
            self.nodes[n].undisturbed_since = self.now;
            return;
        }
        self.check_resumption(n);
        while let Some(message) = self.nodes[n].inbox.pop_front() {
            self.receive(n, message);
        }
        if self.nodes[n].next_tick <= self.now {
            self.tick(n);
        }
        if self.nodes[n].next_heartbeat_at <= self.now {
            self.send_heartbeats(n);
        }
        self.poll(n);
    }

    /// Checks that a resumed node does not serve with its evidence from before the suspension, even before
    /// its first tick.
    fn check_resumption(&mut self, n: usize) {
        let node = &self.nodes[n];
        let paused_for = self.now.saturating_sub(node.next_tick);
        if paused_for > 3_500 && node.serves(self.now) {
            self.violations.push(format!("{} serves when resumed after {paused_for} ms", node.id));
        }
    }

    fn receive(&mut self, n: usize, message: Message) {
        let now = mono(self.now);
        let node = &mut self.nodes[n];
        match message {
            Message::Heartbeat(hello, heartbeat) => {
                node.table.accept_hello(now, &hello);
                let valid_at = node.table.record_heartbeat(hello.run_id, heartbeat);
                node.tracker.on_heartbeat(valid_at, &heartbeat);
                if node.tracker.should_request_plan(now, heartbeat.plan_version) {
                    let message = Message::PlanRequest(node.run, node.plan.version());
                    let to = self.index(&hello.instance);
                    self.send(n, to, message);
                }
            }
            Message::PlanRequest(run, version) => {
                let (plan, accepted_here) = (node.plan.current(), node.accepted_here);
                let to = self.nodes.iter().position(|other| other.run == run);
                if plan_push(plan.version, accepted_here, version, true) == PlanPush::Send
                    && let Some(to) = to
                {
                    self.send(n, to, Message::Plan(plan));
                }
            }
            Message::Plan(plan) => self.activate(n, &plan),
        }
    }

    fn index(&self, id: &InstanceId) -> usize {
        self.nodes.iter().position(|n| n.id == *id).expect("names are fixed")
    }

    fn activate(&mut self, n: usize, plan: &Plan) {
        let node = &mut self.nodes[n];
        if !node.plan.install_if_newer(plan.clone()) {
            return;
        }
        node.tracker.set_version(plan.version);
        self.apply_intentions(n);
        self.send_heartbeats(n);
    }

    /// Starts leaving if the plan requires it, and exits [`BALANCER_LAG_MS`] later.
    fn apply_intentions(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let leave = must_leave(&node.plan.current(), &node.id, node.unix_s(node.started), node.unix_s(now));
        if leave && node.leaving_at.is_none() {
            node.leaving_at = Some(now);
            self.send_heartbeats(n);
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
        let member_count = node.table.member_count(now);
        let version = node.plan.version();
        let peer_is_current = node
            .table
            .all()
            .any(|m| m.is_live(now) && m.last_heartbeat.current && m.last_heartbeat.plan_version == version);
        node.tracker.tick(now, member_count, peer_is_current);
        self.apply_intentions(n);
    }

    fn send_heartbeats(&mut self, n: usize) {
        let now = mono(self.now);
        let node = &mut self.nodes[n];
        node.next_heartbeat_at = self.now + HEARTBEAT_MS;
        let hello = node.hello();
        let heartbeat = node.tracker.heartbeat(now, node.leaving_at.is_some());
        let peers = node.table.all().map(|m| (m.run_id, m.instance.clone(), m.last_heartbeat.plan_version));
        for (run, instance, peer_version) in peers.collect::<Vec<_>>() {
            let Some(numbered) = self.nodes[n].table.next_heartbeat(now, run, heartbeat) else { continue };
            let to = self.index(&instance);
            if self.nodes[to].run == run {
                self.send(n, to, Message::Heartbeat(hello.clone(), numbered));
            }
            let node = &self.nodes[n];
            if plan_push(node.plan.version(), node.accepted_here, peer_version, false) == PlanPush::Send {
                let plan = node.plan.current();
                self.send(n, to, Message::Plan(plan));
            }
        }
    }

    /// Ends a read of the head row and the instance list, or starts one if it is due.
    fn poll(&mut self, n: usize) {
        let now = self.now;
        if let Some((began, ends, _)) = self.nodes[n].poll
            && ends <= now
        {
            let (_, _, read) = self.nodes[n].poll.take().expect("a read is in progress");
            let reached = self.reaches_store(n);
            if reached {
                let list = self.store.instances();
                self.nodes[n].table.update_from_list(mono(now), &list);
                self.register(n);
            }
            let version = read.as_ref().map_or_else(PlanVersion::default, |h| h.version);
            if reached && let Some(PlanHead { body: PlanBody::Inline(plan), .. }) = read {
                self.activate(n, &plan);
            }
            self.nodes[n].tracker.on_poll_finished(mono(began), mono(now), reached.then_some(version));
        }
        let due = self.nodes[n].poll.is_none() && self.nodes[n].tracker.next_poll() <= mono(now);
        if due && self.nodes[n].alive {
            let latency = self.rng.random_range(2..50);
            let stale = now < self.stale_until && self.rng.random_bool(0.5);
            let read =
                if stale { self.snapshots.front().and_then(|(_, h)| h.clone()) } else { self.head.clone() };
            // A read fails if the store is unreachable at its start or at its end.
            let ends = if self.reaches_store(n) { now + latency } else { now + 500 };
            self.nodes[n].poll = Some((now, ends, read));
        }
    }

    fn submit(&mut self, node: usize, leave: Option<usize>) {
        let number = self.operations.len() + self.reported.len() + self.reported_ineffective.len();
        let change_id = format!("change-{}-{number}", self.now).parse().expect("the name is valid");
        let leave = leave
            .map(|n| Intention { at_unix_s: 0, action: IntendedAction::Leave(self.nodes[n].id.clone()) });
        let plan = Plan { intentions: leave.into_iter().collect(), ..Plan::default() };
        self.start_operation(change_id, plan, node, false);
    }

    fn start_operation(&mut self, change_id: ChangeId, plan: Plan, node: usize, earlier_unknown: bool) {
        let submission = Submission {
            plan: plan.clone(),
            change_id: change_id.clone(),
            base: None,
            token: self.rng.random(),
            submitted_unix_s: self.nodes[node].unix_s(self.now),
        };
        let acceptance = Acceptance::new(submission, mono(self.now + CONFIRM_TIMEOUT_MS));
        let run = self.nodes[node].run;
        self.operations.push(Operation {
            change_id,
            plan,
            node,
            run,
            earlier_unknown,
            acceptance,
            due: Some((self.now, Event::Paused)),
            committed: None,
        });
    }

    fn step_operations(&mut self) {
        for mut operation in std::mem::take(&mut self.operations) {
            let node = &self.nodes[operation.node];
            if !node.alive || node.run != operation.run {
                // The operator's connection is lost, so the operator submits the change through another
                // instance.
                let elsewhere = self.rng.random_range(0..INSTANCES);
                self.start_operation(operation.change_id, operation.plan, elsewhere, true);
            } else if !self.is_running(operation.node) || self.advance(&mut operation) {
                self.operations.push(operation);
            }
        }
    }

    /// Advances a submission; returns whether it continues.
    fn advance(&mut self, operation: &mut Operation) -> bool {
        if let Some((version, since)) = operation.committed {
            return self.await_confirmation(operation.node, version, since);
        }
        let Some((_, event)) = operation.due.take_if(|(at, _)| *at <= self.now) else {
            return true;
        };
        match operation.acceptance.handle(mono(self.now), event) {
            Step::Done(outcome) => self.finish(operation, &outcome),
            step => {
                operation.due = Some(self.perform(operation, step));
                true
            }
        }
    }

    /// Performs a step of a submission; returns its end and result.
    fn perform(&mut self, operation: &Operation, step: Step) -> (u64, Event) {
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

    /// Sends a transaction to the store. If the store is unreachable, the transaction may still arrive later.
    fn write(&mut self, reached: bool, writes: Vec<RowWrite>) -> WriteResult {
        if !reached {
            let delayed = self.rng.random_bool(0.3);
            if delayed {
                self.late_writes.push((self.now + self.rng.random_range(50..4_000), writes));
            }
            let refused = !delayed && self.rng.random_bool(0.5);
            return if refused { WriteResult::Refused } else { WriteResult::Unknown };
        }
        let result = self.store.write(&writes);
        let lost = self.now < self.replies_lost_until && self.rng.random_bool(0.6);
        if lost { WriteResult::Unknown } else { result }
    }

    /// Handles the outcome of a submission; returns whether the submission continues.
    fn finish(&mut self, operation: &mut Operation, outcome: &SubmissionOutcome) -> bool {
        match outcome {
            &SubmissionOutcome::Committed { version, repeated } => {
                operation.committed = Some((version, self.now));
                if !repeated {
                    let n = operation.node;
                    self.nodes[n].accepted_here = version;
                    self.activate(n, operation.acceptance.plan());
                    self.nodes[n].tracker.confirm_version(mono(self.now), version);
                    self.expect_leave(n, operation.acceptance.plan());
                }
                true
            }
            SubmissionOutcome::Unknown | SubmissionOutcome::NothingWritten
                if operation.earlier_unknown || *outcome == SubmissionOutcome::Unknown =>
            {
                // The operator is asked to submit the change again and does so.
                let elsewhere = self.rng.random_range(0..INSTANCES);
                self.start_operation(operation.change_id.clone(), operation.plan.clone(), elsewhere, true);
                false
            }
            SubmissionOutcome::Conflict(_)
            | SubmissionOutcome::NothingWritten
            | SubmissionOutcome::Unknown => {
                self.reported_ineffective.push(operation.change_id.clone());
                false
            }
            SubmissionOutcome::ChangeIdReused(_) | SubmissionOutcome::Unencodable(_) => {
                self.violations.push(format!("{} ended as {outcome:?}", operation.change_id));
                false
            }
        }
    }

    /// Waits until the live nodes have activated the version or the time limit has passed; returns whether
    /// the submission continues.
    fn await_confirmation(&mut self, n: usize, version: PlanVersion, since: u64) -> bool {
        let node = &self.nodes[n];
        let mut without = node.table.without_version(version, mono(self.now));
        if node.plan.version() < version {
            without.push(node.id.clone());
        }
        if !without.is_empty() && self.now < since + CONFIRM_TIMEOUT_MS {
            return true;
        }
        self.accepted += 1;
        self.check_confirmation(n, version, since, &without);
        self.reported.push(ReportedVersion { version, at: since });
        false
    }

    /// Checks that every node that was reachable all the time has activated the version.
    fn check_confirmation(&mut self, n: usize, version: PlanVersion, since: u64, without: &[InstanceId]) {
        for other in 0..INSTANCES {
            let node = &self.nodes[other];
            let undisturbed =
                |node: &Node| self.now.saturating_sub(node.undisturbed_since.max(node.started)) > 5_000;
            let reachable = self.on_second_side[n] == self.on_second_side[other] && node.alive;
            if !reachable
                || !undisturbed(node)
                || !undisturbed(&self.nodes[n])
                || node.plan.version() >= version
            {
                continue;
            }
            let waited = self.now - since;
            let listed = if without.contains(&node.id) { "listed" } else { "not listed" };
            self.violations.push(format!("{} lacks version {version} after {waited} ms, {listed}", node.id));
        }
    }

    fn expect_leave(&mut self, accepted_by: usize, plan: &Plan) {
        let Some(Intention { action: IntendedAction::Leave(id), .. }) = plan.intentions.first() else {
            return;
        };
        let node = self.index(id);
        let (version, since, run) = (plan.version, self.now, self.nodes[node].run);
        self.leaves.push(ExpectedLeave { version, since, accepted_by, node, run });
    }

    /// Checks that a node that a plan requires to leave is gone within [`LEAVE_TIMEOUT_MS`], if it was
    /// reachable all the time.
    fn check_leaves(&mut self) {
        let now = self.now;
        let due = self.leaves.extract_if(.., |l| now >= l.since + LEAVE_TIMEOUT_MS).collect::<Vec<_>>();
        for leave in due {
            let (node, by) = (&self.nodes[leave.node], &self.nodes[leave.accepted_by]);
            let undisturbed =
                node.undisturbed_since <= leave.since && by.undisturbed_since <= leave.since && by.alive;
            let same_side = self.on_second_side[leave.node] == self.on_second_side[leave.accepted_by];
            // Wall clocks differ by up to 2 s, so a recently started process may take the plan for older than
            // itself.
            let old_enough = node.started + 5_000 <= leave.since;
            let superseded = self.head.as_ref().is_some_and(|h| h.version > leave.version);
            let gone = !node.alive || node.run != leave.run;
            if gone || !undisturbed || !same_side || !old_enough || superseded {
                self.confirmed_leaves += usize::from(gone);
                continue;
            }
            self.violations
                .push(format!("{} stays although version {} requires it to leave", node.id, leave.version));
        }
    }

    /// Checks that no node returns to an older plan, and that no node serves with a plan that was replaced
    /// longer ago than the cut-off time.
    fn check_serving(&mut self) {
        let bound = self.now.saturating_sub(CUT_OFF_MS + 2_500);
        for node in &mut self.nodes {
            let version = node.plan.version();
            if version < node.highest {
                self.violations
                    .push(format!("{} went back from version {} to {version}", node.id, node.highest));
            }
            node.highest = node.highest.max(version);
        }
        let Some(reported) = self.reported.iter().filter(|r| r.at <= bound).max_by_key(|r| r.version) else {
            return;
        };
        for node in &self.nodes {
            if node.alive && node.serves(self.now) && node.plan.version() < reported.version {
                let (own, newer) = (node.plan.version(), reported.version);
                self.violations.push(format!(
                    "{} serves with version {own} long after {newer} at {}",
                    node.id, self.now
                ));
            }
        }
    }

    /// Checks that the versions are consecutive, that every reported version exists, and that no change that
    /// was reported as without effect took effect.
    fn check_end(&mut self) {
        let mut versions = Vec::new();
        for row in self.store.scan("plan/change/") {
            let record = from_row::<arbutusshelf::plan::record::ChangeRecord>(&row).expect("a record");
            let change = row.key.0.trim_start_matches("plan/change/").to_owned();
            if self.reported_ineffective.iter().any(|id| id.as_str() == change) {
                self.violations
                    .push(format!("{change} took effect although it was reported as without effect"));
            }
            versions.push(record.version);
        }
        versions.sort();
        let expected = (1..=versions.len() as u64).map(PlanVersion::from).collect::<Vec<_>>();
        if versions != expected {
            self.violations.push(format!("versions are {versions:?}"));
        }
        for reported in &self.reported {
            if !versions.contains(&reported.version) {
                self.violations.push(format!("accepted version {} was lost", reported.version));
            }
        }
    }
}

impl Node {
    fn start(number: usize, run: u64, now: u64, wall_clock_offset_s: i64) -> Self {
        let id = format!("instance-{number:02}").parse::<InstanceId>().expect("the name is valid");
        let run = RunId::from(run);
        Self {
            table: MemberTable::new(id.clone(), run),
            tracker: FreshnessTracker::new(run.into(), Duration::from_millis(CUT_OFF_MS), mono(now)),
            id,
            run,
            alive: true,
            restart_at: None,
            paused_until: 0,
            undisturbed_since: now,
            started: now,
            wall_clock_offset_s,
            plan: ActivePlan::default(),
            highest: PlanVersion::default(),
            accepted_here: PlanVersion::default(),
            leaving_at: None,
            next_heartbeat_at: now,
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
            data_centre: "ost-a".parse().expect("the name is valid"),
            peer_address: "127.0.0.1:1".parse().expect("the address is valid"),
        }
    }

    fn unix_s(&self, now: u64) -> u64 {
        (START_UNIX_S + now / 1_000).saturating_add_signed(self.wall_clock_offset_s)
    }

    /// Returns whether the node would accept a request now, by the same rule as a real instance.
    fn serves(&self, now: u64) -> bool {
        let current = self.tracker.freshness() == Freshness::Current;
        current && self.tracker.current_until().is_some_and(|until| mono(now) < until)
    }
}
