//! Tests of the plan-driven pool: invariants under random events from fixed seeds, and single cases that
//! failed before.

use std::{collections::BTreeMap, time::Duration};

use arbutusshelf::{
    decide::{
        Action, Attempt, AttemptEnd, Call, Event, LoadReport, PeerLoad, RouteKey, TargetIndex,
        pool::{Pool, PoolSettings, TargetState},
        quota::{self, InstancePosition},
    },
    error::{ErrorKind, Outcome},
    plan::{Plan, Priority, RequestKind, ServiceSpec, sheet},
    units::{CallId, MonoTime},
};
use quickcheck::{Arbitrary, Gen};

const SEEDS: u64 = 12;
const STEPS: usize = 800;

fn plan() -> Plan {
    sheet::parse(include_bytes!("../examples/kremsau.csv")).expect("the example sheet is valid")
}

fn settings(plan: &Plan, seed: u64) -> PoolSettings {
    let name = "kremsau-01".parse().expect("a valid name");
    PoolSettings::of(plan, &name, "ost-a".parse().expect("a valid name"), seed)
}

fn service(plan: &Plan) -> ServiceSpec {
    plan.service("hallenplan").expect("the sheet has the service").clone()
}

fn call(id: u64, kind: RequestKind, deadline: MonoTime) -> Call {
    Call {
        id: CallId::from(id),
        route: RouteKey(0),
        kind,
        priority: Priority::Normal,
        deadline,
        prior_attempts: 0,
    }
}

#[derive(Debug, Default)]
struct CallRecord {
    kind: Option<RequestKind>,
    open_attempts: BTreeMap<u32, TargetIndex>,
    /// Whether an attempt ended in a way that forbids sending the call again unless it is idempotent.
    may_have_run: bool,
    answered: bool,
    /// Number of attempts that the pool has cancelled and whose end has not been reported to it yet.
    unreported_cancels: usize,
    final_actions: u32,
    closed: bool,
}

/// Records what one pool does and checks every action against the record.
#[derive(Debug)]
struct Checker {
    pool: Pool,
    now: MonoTime,
    calls: BTreeMap<u64, CallRecord>,
    draining: Vec<bool>,
    first_attempts: u64,
    repeats: u64,
    probes: Vec<(MonoTime, usize)>,
}

impl Checker {
    fn new(seed: u64) -> Self {
        let plan = plan();
        let spec = service(&plan);
        let pool = Pool::new(&spec, &settings(&plan, seed));
        Self {
            pool,
            now: MonoTime::from(1_000_000),
            calls: BTreeMap::new(),
            draining: vec![false; spec.targets.len()],
            first_attempts: 0,
            repeats: 0,
            probes: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.pool.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        let open = self
            .calls
            .values_mut()
            .map(|c| c.open_attempts.len() + std::mem::take(&mut c.unreported_cancels))
            .sum::<usize>();
        let counted = self.pool.own_in_flight().sum::<u32>() as usize;
        assert_eq!(open, counted, "the pool's in-flight counts must match the open attempts");
        // Report the end of cancelled attempts and probes only after all actions are checked, as the I/O
        // layer does.
        for action in actions {
            match action {
                Action::Cancel { call, attempt } => {
                    self.handle(Event::AttemptEnded { call, attempt, end: AttemptEnd::Cancelled });
                }
                Action::Probe(target) => {
                    self.handle(Event::ProbeEnded { target, report: Some(LoadReport::default()) });
                }
                Action::Send { .. } | Action::Deliver { .. } | Action::Refuse { .. } => {}
            }
        }
    }

    fn check(&mut self, action: &Action) {
        match *action {
            Action::Send { call, attempt, target } => self.check_attempt(call, attempt, target),
            Action::Deliver { call, .. } => self.check_final(call),
            Action::Refuse { call, kind, retry_after } => {
                let record = &self.calls[&u64::from(call)];
                if kind.answer().outcome == Outcome::NotRun {
                    assert!(!record.may_have_run, "call {call} may have run, yet its caller is told {kind}");
                    let min_retry_after = kind.answer().retry_after_s.map(|_| Duration::from_secs(1));
                    assert!(
                        retry_after >= min_retry_after,
                        "call {call} is refused without a time to retry after"
                    );
                }
                self.check_final(call);
            }
            Action::Cancel { call, attempt } => {
                let record = self.calls.get_mut(&u64::from(call)).expect("a known call");
                assert!(
                    record.answered,
                    "an attempt of call {call} is cancelled before the call has an answer"
                );
                record.unreported_cancels += 1;
                record.open_attempts.remove(&attempt.0).expect("only open attempts are cancelled");
            }
            Action::Probe(target) => self.probes.push((self.now, target.0)),
        }
    }

    fn check_attempt(&mut self, call: CallId, attempt: Attempt, target: TargetIndex) {
        assert!(!self.draining[target.0], "call {call} was sent to a draining target");
        let slots = self.pool.target(target).slots;
        let own = self.pool.explain(self.now)[target.0].own_in_flight;
        assert!(own <= 2 * slots, "{own} requests of this instance at a target of {slots} slots");
        let record = self.calls.get_mut(&u64::from(call)).expect("a known call");
        assert!(
            record.final_actions == 0 && !record.answered && !record.closed,
            "call {call} is sent although it has ended"
        );
        if attempt.0 == 0 {
            self.first_attempts += 1;
        } else {
            let idempotent = record.kind == Some(RequestKind::Idempotent);
            assert!(idempotent || !record.may_have_run, "call {call} may run twice");
            assert!(
                idempotent || record.open_attempts.is_empty(),
                "call {call} is sent while another attempt is open"
            );
            self.repeats += u64::from(idempotent && record.may_have_run || !record.open_attempts.is_empty());
        }
        assert!(record.open_attempts.insert(attempt.0, target).is_none());
    }

    fn check_final(&mut self, call: CallId) {
        let record = self.calls.get_mut(&u64::from(call)).expect("a known call");
        record.final_actions += 1;
        assert!(record.final_actions == 1 && !record.answered, "call {call} has two final actions");
        assert!(record.open_attempts.is_empty(), "call {call} ended with an attempt open");
    }

    fn arrive(&mut self, id: u64, kind: RequestKind, wait: Duration) {
        self.calls.insert(id, CallRecord { kind: Some(kind), ..CallRecord::default() });
        self.handle(Event::CallArrived(call(id, kind, self.now + wait)));
    }

    fn end(&mut self, id: u64, attempt: u32, end: AttemptEnd) {
        let record = self.calls.get_mut(&id).expect("a known call");
        record.open_attempts.remove(&attempt);
        record.may_have_run |= !matches!(end, AttemptEnd::Unsent | AttemptEnd::Refused);
        record.answered |= end == AttemptEnd::Answered;
        self.handle(Event::AttemptEnded { call: CallId::from(id), attempt: Attempt(attempt), end });
        if end == AttemptEnd::Answered {
            self.calls.get_mut(&id).expect("a known call").closed = true;
            self.handle(Event::CallClosed(CallId::from(id)));
        }
    }

    fn open_attempt(&self, number: usize) -> Option<(u64, u32)> {
        let open = self.calls.iter().flat_map(|(id, record)| record.open_attempts.keys().map(|a| (*id, *a)));
        let open = open.collect::<Vec<_>>();
        (!open.is_empty()).then(|| open[number % open.len()])
    }
}

fn random_step(checker: &mut Checker, random: &mut Gen, id: u64) {
    let choice = u8::arbitrary(random) % 100;
    let number = usize::arbitrary(random);
    checker.now = checker.now + Duration::from_micros(u64::from(u16::arbitrary(random)) % 2_000);
    let ends = [
        AttemptEnd::Answered,
        AttemptEnd::Answered,
        AttemptEnd::Answered,
        AttemptEnd::Answered,
        AttemptEnd::Failed,
        AttemptEnd::Refused,
        AttemptEnd::Unsent,
        AttemptEnd::Lost,
        AttemptEnd::TimedOut,
    ];
    let target = service(&plan()).targets[number % 15].id.clone();
    match choice {
        0..45 => {
            let kinds = [RequestKind::Idempotent, RequestKind::AtMostOnce, RequestKind::Unstated];
            checker.arrive(id, kinds[number % 3], Duration::from_millis(5 + number as u64 % 400));
        }
        45..85 => {
            if let Some((call, attempt)) = checker.open_attempt(number) {
                checker.end(call, attempt, ends[number / 7 % ends.len()]);
            }
        }
        85..90 => {
            if let Some((call, attempt)) = checker.open_attempt(number) {
                let report = LoadReport::default();
                let (call, attempt) = (CallId::from(call), Attempt(attempt));
                checker.handle(Event::ResponseStarted { call, attempt, report });
            }
        }
        90..95 => {
            let loads =
                vec![PeerLoad { target, in_flight: number as u32 % 4, age: Duration::from_millis(3) }];
            let peer = format!("kremsau-0{}", number % 7 + 2).parse().expect("a valid name");
            checker.handle(Event::PeerLoads { peer, loads });
        }
        95 => checker.handle(Event::PeerGone("kremsau-03".parse().expect("a valid name"))),
        96..98 => {
            let draining = choice == 96 && checker.draining.iter().filter(|d| **d).count() < 10;
            checker.draining[number % 15] = draining;
            checker.handle(Event::DrainChanged { target, draining });
        }
        _ => {
            checker.now = checker.now + Duration::from_millis(number as u64 % 300);
            checker.handle(Event::Tick);
        }
    }
}

#[test]
fn random_events_keep_all_invariants() {
    for seed in 0..SEEDS {
        let mut checker = Checker::new(seed);
        let mut random = Gen::from_size_and_seed(1_000, seed);
        for id in 0..STEPS as u64 {
            random_step(&mut checker, &mut random, id);
        }
        while let Some((call, attempt)) = checker.open_attempt(0) {
            checker.end(call, attempt, AttemptEnd::Answered);
        }
        checker.now = checker.now + Duration::from_secs(2);
        checker.handle(Event::Tick);
        while let Some((call, attempt)) = checker.open_attempt(0) {
            checker.end(call, attempt, AttemptEnd::Answered);
        }
        for (id, record) in &checker.calls {
            assert_eq!(
                record.final_actions + u32::from(record.answered),
                1,
                "seed {seed} call {id}: {record:?}"
            );
        }
        let budget = 0.1 * checker.first_attempts as f64 + 2.0;
        assert!(checker.repeats as f64 <= budget, "seed {seed}: {} repeats", checker.repeats);
        for (at, target) in &checker.probes {
            let second = *at..*at + Duration::from_secs(1);
            let same = checker.probes.iter().filter(|(t, other)| other == target && second.contains(t));
            assert_eq!(same.count(), 1, "seed {seed}: more than one probe of a target in a second");
        }
    }
}

#[test]
fn at_most_ten_of_eighteen_instances_probe_a_target() {
    let plan = plan();
    let spec = service(&plan);
    let mut probers = vec![0; spec.targets.len()];
    for own in 0..18 {
        let mut settings = settings(&plan, 1);
        settings.position.own_index = Some(own);
        settings.position.data_centres = vec![settings.data_centre.clone(); 18];
        let mut pool = Pool::new(&spec, &settings);
        let mut actions = Vec::new();
        pool.handle(MonoTime::from(5_000_000), Event::Tick, &mut actions);
        for action in actions {
            let Action::Probe(target) = action else { panic!("only probes are due, not {action:?}") };
            probers[target.0] += 1;
        }
    }
    assert_eq!(probers, vec![10; spec.targets.len()]);
}

#[test]
fn quotas_of_all_instances_are_all_slots() {
    for deployment in
        [include_bytes!("../examples/kremsau.csv").as_slice(), include_bytes!("../examples/magnolia.csv")]
    {
        let plan = sheet::parse(deployment).expect("the example sheet is valid");
        let data_centres = plan.instances.iter().map(|i| i.data_centre.clone()).collect::<Vec<_>>();
        for spec in &plan.services {
            let mut granted = vec![(0, 0); spec.targets.len()];
            for own in 0..data_centres.len() {
                let position = InstancePosition { data_centres: data_centres.clone(), own_index: Some(own) };
                for (index, quota) in quota::divide(&position, &spec.targets) {
                    granted[index.0].0 += quota.slots;
                    granted[index.0].1 += quota.long_call_slots;
                }
            }
            let wanted = spec.targets.iter().map(|t| (t.slots, t.slots - 1)).collect::<Vec<_>>();
            assert_eq!(granted, wanted, "{}", spec.name);
        }
    }
}

#[test]
fn a_lost_send_is_never_told_not_run() {
    let mut checker = Checker::new(3);
    checker.arrive(1, RequestKind::Idempotent, Duration::from_millis(50));
    for target in service(&plan()).targets {
        checker.handle(Event::DrainChanged { target: target.id, draining: true });
    }
    checker.draining.fill(true);
    checker.end(1, 0, AttemptEnd::Lost);
    assert_eq!(checker.calls[&1].final_actions, 0, "it waits for a second attempt");
    checker.now = checker.now + Duration::from_millis(60);
    checker.handle(Event::Tick);
    assert_eq!(checker.calls[&1].final_actions, 1);
}

#[test]
fn a_lost_call_is_repeated_at_once_on_the_only_target_that_serves() {
    let plan = plan();
    let mut checker = Checker::new(4);
    for (index, target) in service(&plan).targets.into_iter().enumerate().skip(1) {
        checker.draining[index] = true;
        checker.handle(Event::DrainChanged { target: target.id, draining: true });
    }
    checker.arrive(1, RequestKind::Idempotent, Duration::from_secs(1));
    let only = checker.calls[&1].open_attempts[&0];
    checker.end(1, 0, AttemptEnd::Lost);
    assert_eq!(checker.calls[&1].open_attempts, BTreeMap::from([(1, only)]));
}

#[test]
fn a_repeated_call_is_not_repeated_again() {
    let plan = plan();
    let mut pool = Pool::new(&service(&plan), &settings(&plan, 1));
    let now = MonoTime::from(1_000_000);
    let mut actions = Vec::new();
    let repeat = Call { prior_attempts: 1, ..call(1, RequestKind::Idempotent, now + Duration::from_secs(1)) };
    pool.handle(now, Event::CallArrived(repeat), &mut actions);
    actions.clear();
    let (call, attempt) = (CallId::from(1), Attempt(0));
    pool.handle(now, Event::AttemptEnded { call, attempt, end: AttemptEnd::Lost }, &mut actions);
    let refused = |a: &Action| matches!(a, Action::Refuse { kind: ErrorKind::ConnectionLost, .. });
    assert!(actions.iter().any(refused), "{actions:?}");
    assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })), "{actions:?}");
}

#[test]
fn a_target_that_fails_fast_is_ejected_and_returns_by_trial() {
    let mut checker = Checker::new(5);
    let bad = TargetIndex(0);
    for id in 0..2_000 {
        checker.arrive(id, RequestKind::Idempotent, Duration::from_secs(1));
        while let Some((call, attempt)) = checker.open_attempt(0) {
            let target = checker.calls[&call].open_attempts[&attempt];
            checker.now = checker.now + Duration::from_micros(100);
            checker.end(call, attempt, if target == bad { AttemptEnd::Failed } else { AttemptEnd::Answered });
        }
    }
    let failed = checker.calls.values().filter(|c| c.final_actions == 1).count();
    assert!(failed < 20, "{failed} of 2000 calls saw the target that fails fast");
    assert!(checker.pool.counters().ejections > 0);
    checker.now = checker.now + Duration::from_secs(6);
    checker.handle(Event::Tick);
    assert_eq!(checker.pool.explain(checker.now)[0].state, TargetState::Trial);
    for id in 2_000..2_100 {
        checker.now = checker.now + Duration::from_millis(1);
        checker.arrive(id, RequestKind::Idempotent, Duration::from_secs(1));
        while let Some((call, attempt)) = checker.open_attempt(0) {
            checker.end(call, attempt, AttemptEnd::Answered);
        }
    }
    let state = checker.pool.explain(checker.now)[0].state;
    assert!(matches!(state, TargetState::InService | TargetState::WarmingUp), "{state}");
}

#[test]
fn no_more_than_a_third_of_the_targets_is_ejected() {
    let mut checker = Checker::new(6);
    for id in 0..500 {
        checker.now = checker.now + Duration::from_millis(1);
        checker.arrive(id, RequestKind::Unstated, Duration::from_secs(1));
        while let Some((call, attempt)) = checker.open_attempt(0) {
            checker.end(call, attempt, AttemptEnd::Lost);
        }
        let views = checker.pool.explain(checker.now);
        let out_of_service =
            views.iter().filter(|v| matches!(v.state, TargetState::Ejected | TargetState::Trial));
        assert!(out_of_service.count() <= 5, "at call {id}");
    }
}

#[test]
fn critical_calls_overtake_waiting_reads_under_overload() {
    let mut checker = Checker::new(7);
    for id in 0..400 {
        checker.arrive(id, RequestKind::Idempotent, Duration::from_secs(1));
    }
    let booking = Call {
        priority: Priority::Critical,
        ..call(1_000, RequestKind::AtMostOnce, checker.now + Duration::from_secs(1))
    };
    checker.calls.insert(1_000, CallRecord { kind: Some(RequestKind::AtMostOnce), ..CallRecord::default() });
    checker.handle(Event::CallArrived(booking));
    assert_eq!(
        checker.calls[&1_000].final_actions, 0,
        "the queue is full of reads, one of which is refused to make room"
    );
    let (call, attempt) = checker.open_attempt(0).expect("attempts are open");
    checker.end(call, attempt, AttemptEnd::Answered);
    assert_eq!(checker.calls[&1_000].open_attempts.len(), 1, "it is sent first");
}

#[test]
fn a_changed_plan_keeps_sends_in_progress() {
    let mut plan = plan();
    let mut pool = Pool::new(&service(&plan), &settings(&plan, 1));
    let now = MonoTime::from(1_000_000);
    let mut actions = Vec::new();
    for id in 0..40 {
        let call = call(id, RequestKind::Idempotent, now + Duration::from_secs(1));
        pool.handle(now, Event::CallArrived(call), &mut actions);
    }
    let sends = actions.clone();
    let names = sends.iter().filter_map(|a| match a {
        Action::Send { target, .. } => Some((*target, pool.target(*target).id.clone())),
        _ => None,
    });
    let names = names.collect::<Vec<_>>();
    let position = plan
        .services
        .iter()
        .position(|s| s.name.as_str() == "hallenplan")
        .expect("the sheet has the service");
    let mut added = plan.services[position].targets[14].clone();
    added.id = "hallenplan-16".parse().expect("a valid name");
    added.address.set_port(1);
    let targets = &mut plan.services[position].targets;
    targets.drain(0..10);
    targets.push(added);
    pool.reconfigure(&plan.services[position], &settings(&plan, 1));
    for (index, id) in &names {
        assert_eq!(pool.target(*index).id, *id, "an index names the same target while an attempt is open");
    }
    assert_eq!(pool.own_in_flight().count(), 6);
    actions.clear();
    for action in &sends {
        let Action::Send { call, attempt, .. } = *action else { continue };
        pool.handle(now, Event::AttemptEnded { call, attempt, end: AttemptEnd::Answered }, &mut actions);
    }
    for id in 100..130 {
        let call = call(id, RequestKind::Idempotent, now + Duration::from_secs(1));
        pool.handle(now, Event::CallArrived(call), &mut actions);
    }
    for action in &actions {
        if let Action::Send { target, .. } = action {
            let id = &pool.target(*target).id;
            assert!(plan.services[position].targets.iter().any(|t| t.id == *id), "{id} is not in the plan");
        }
    }
    assert!(pool.own_in_flight().sum::<u32>() > 0);
}
