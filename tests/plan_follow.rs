//! Freshness of the plan, draining of targets, and what peer links send: drain notices, load counts and the
//! byte budget.

use std::time::Duration;

use arbutusshelf::{
    membership::table::MemberCount,
    peer::{
        budget::{ByteBudget, OVERHEAD_BYTES, TrafficClass},
        drain_notices::DrainNotices,
        frame::{DrainNotice, Heartbeat, LoadCount, Loads},
        loads::{LoadReceiver, LoadSender},
    },
    plan::{
        IntendedAction, Intention, Plan,
        freshness::{
            CONFIRMED_POLL_INTERVAL, Freshness, FreshnessTracker, MAX_POLL_BACKOFF, MAX_TICK_GAP, PlanPush,
            UNCONFIRMED_POLL_INTERVAL, plan_push,
        },
        intentions::{DrainChange, DrainTracker, must_leave},
    },
    units::{MonoTime, PlanVersion, TargetId},
};

/// Time without evidence after which the plan no longer counts as current.
const CUT_OFF: Duration = Duration::from_secs(30);
const ALONE: MemberCount = MemberCount { live: 0, known: 17 };
const MINORITY: MemberCount = MemberCount { live: 8, known: 17 };
const MAJORITY: MemberCount = MemberCount { live: 9, known: 17 };

fn at(ms: u64) -> MonoTime {
    MonoTime::from(ms * 1_000)
}

/// Returns a tracker whose active plan has version 5.
fn tracker() -> FreshnessTracker {
    let mut tracker = FreshnessTracker::new(1, CUT_OFF, at(0));
    tracker.set_version(5.into());
    tracker
}

/// Ticks every 100 ms up to `until_ms` and returns the last freshness.
fn tick_until(
    tracker: &mut FreshnessTracker,
    from_ms: u64,
    until_ms: u64,
    member_count: MemberCount,
) -> Freshness {
    let ticks = (from_ms..=until_ms).step_by(100);
    ticks.map(|ms| tracker.tick(at(ms), member_count, false)).last().expect("one tick at least")
}

fn heartbeat(version: u64, confirmed_age_ms: Option<u32>) -> Heartbeat {
    Heartbeat { plan_version: version.into(), confirmed_age_ms, ..Heartbeat::default() }
}

#[test]
fn a_start_is_ready_only_with_evidence() {
    /// Name, evidence, numbers of members, whether a peer is current, and expected freshness.
    type Case = (&'static str, fn(&mut FreshnessTracker), MemberCount, bool, Freshness);
    let table: [Case; 9] = [
        ("no evidence", |_| {}, MAJORITY, false, Freshness::Starting),
        (
            "the store has the same version",
            |f| f.on_poll_finished(at(10), at(20), Some(5.into())),
            ALONE,
            false,
            Freshness::Current,
        ),
        (
            "the store has an older version",
            |f| f.on_poll_finished(at(10), at(20), Some(4.into())),
            ALONE,
            false,
            Freshness::Starting,
        ),
        (
            "the store has a newer version",
            |f| f.on_poll_finished(at(10), at(20), Some(6.into())),
            ALONE,
            false,
            Freshness::Starting,
        ),
        ("the store fails", |f| f.on_poll_finished(at(10), at(20), None), ALONE, true, Freshness::Starting),
        ("a majority with a current peer", |_| {}, MAJORITY, true, Freshness::Current),
        ("a minority with a current peer", |_| {}, MINORITY, true, Freshness::Starting),
        (
            "a peer has read the store",
            |f| f.on_heartbeat(Some(at(50)), &heartbeat(5, Some(20))),
            ALONE,
            false,
            Freshness::Current,
        ),
        (
            "a peer has a newer version",
            |f| f.on_heartbeat(Some(at(50)), &heartbeat(6, Some(20))),
            MAJORITY,
            true,
            Freshness::Starting,
        ),
    ];
    for (name, add_evidence, member_count, peer_is_current, expected) in table {
        let mut tracker = tracker();
        add_evidence(&mut tracker);
        assert_eq!(tracker.tick(at(100), member_count, peer_is_current), expected, "{name}");
    }
}

#[test]
fn a_heartbeat_without_a_valid_time_confirms_nothing() {
    let mut tracker = tracker();
    tracker.on_heartbeat(None, &heartbeat(5, Some(0)));
    assert_eq!(tracker.tick(at(100), ALONE, false), Freshness::Starting);
}

#[test]
fn an_instance_without_store_and_majority_withdraws_after_the_bound() {
    let mut tracker = tracker();
    tracker.on_poll_finished(at(0), at(0), Some(5.into()));
    assert_eq!(tick_until(&mut tracker, 0, 29_900, MINORITY), Freshness::Current);
    assert!(tracker.current_until().is_some_and(|until| until == at(30_000)));
    assert_eq!(tick_until(&mut tracker, 30_000, 30_000, MINORITY), Freshness::CutOff);
    assert_eq!(tracker.current_until(), None);
}

#[test]
fn a_majority_serves_on_through_a_store_outage() {
    let mut tracker = tracker();
    tracker.on_poll_finished(at(0), at(0), Some(5.into()));
    assert_eq!(tick_until(&mut tracker, 0, 3_600_000, MAJORITY), Freshness::Current);
}

#[test]
fn a_newer_plan_that_is_not_available_ends_freshness() {
    let mut tracker = tracker();
    tracker.on_poll_finished(at(0), at(0), Some(5.into()));
    tick_until(&mut tracker, 0, 1_000, MAJORITY);
    tracker.on_heartbeat(Some(at(1_000)), &heartbeat(6, None));
    assert_eq!(tick_until(&mut tracker, 1_100, 40_000, MAJORITY), Freshness::CutOff);
    tracker.set_version(6.into());
    assert_eq!(tick_until(&mut tracker, 40_100, 40_100, MAJORITY), Freshness::Current);
}

#[test]
fn a_paused_instance_trusts_nothing_from_before() {
    let mut tracker = tracker();
    tracker.on_poll_finished(at(0), at(0), Some(5.into()));
    tick_until(&mut tracker, 0, 1_000, ALONE);
    let until = tracker.current_until().expect("the plan is current");
    assert!(
        until <= at(1_000) + MAX_TICK_GAP,
        "requests are refused even before the first tick after a suspension"
    );
    assert_eq!(tracker.tick(at(5_000), ALONE, false), Freshness::Starting);
    // A read that began before the suspension and ended after it confirms nothing.
    tracker.on_poll_finished(at(1_000), at(5_010), Some(5.into()));
    assert_eq!(tracker.tick(at(5_100), ALONE, false), Freshness::Starting);
    tracker.on_poll_finished(at(5_050), at(5_150), Some(5.into()));
    assert_eq!(tracker.tick(at(5_200), ALONE, false), Freshness::Current);
}

#[test]
fn reads_are_jittered_and_less_frequent_while_peers_confirm() {
    let wait = |f: &FreshnessTracker, now: MonoTime| f.next_poll().since(now);
    let around =
        |period: Duration, wait: Duration| wait >= period.mul_f64(0.75) && wait <= period.mul_f64(1.25);
    let mut tracker = tracker();
    tracker.on_poll_finished(at(0), at(10), Some(5.into()));
    assert!(around(UNCONFIRMED_POLL_INTERVAL, wait(&tracker, at(10))));
    tracker.on_heartbeat(Some(at(500)), &heartbeat(5, Some(10)));
    tracker.on_poll_finished(at(500), at(510), Some(5.into()));
    assert!(around(CONFIRMED_POLL_INTERVAL, wait(&tracker, at(510))));
    for _ in 0..5 {
        tracker.on_poll_finished(at(600), at(600), None);
    }
    assert!(around(MAX_POLL_BACKOFF, wait(&tracker, at(600))));
    let waits =
        (0..50).map(|seed| FreshnessTracker::new(seed, CUT_OFF, at(0)).next_poll()).collect::<Vec<_>>();
    assert!(waits.iter().max() > waits.iter().min(), "the first reads are jittered");
}

#[test]
fn eighteen_instances_stay_within_the_plan_share_of_reads() {
    // Each poll performs two reads; the shortest interval is 0.75 of the nominal one.
    let reads_per_s = 18.0 * 2.0 / UNCONFIRMED_POLL_INTERVAL.mul_f64(0.75).as_secs_f64();
    assert!(reads_per_s < 2_000.0 * 0.15, "{reads_per_s}");
}

#[test]
fn one_peer_at_a_time_is_asked_for_a_plan() {
    let mut tracker = tracker();
    assert!(!tracker.should_request_plan(at(0), 5.into()));
    assert!(tracker.should_request_plan(at(0), 6.into()));
    assert!(!tracker.should_request_plan(at(100), 6.into()));
    assert!(tracker.should_request_plan(at(300), 6.into()));
}

#[test]
fn plans_are_pushed_by_the_acceptor_and_given_to_who_asks() {
    let (old, new) = (PlanVersion::from(1), PlanVersion::from(2));
    let table = [
        (new, new, old, false, PlanPush::Send),
        (new, old, old, false, PlanPush::Skip),
        (new, old, old, true, PlanPush::Send),
        (new, new, new, true, PlanPush::Skip),
        (old, old, new, true, PlanPush::Skip),
    ];
    for (own, accepted_here, peer, requested, expected) in table {
        assert_eq!(
            plan_push(own, accepted_here, peer, requested),
            expected,
            "{own} {accepted_here} {peer} {requested}"
        );
    }
}

fn target() -> TargetId {
    "hallenplan-01".parse().expect("the name is valid")
}

fn plan(version: u64, intentions: &[(u64, bool)]) -> Plan {
    let action =
        |drains| if drains { IntendedAction::Drain(target()) } else { IntendedAction::Return(target()) };
    let intention = |(at, drains): &(u64, bool)| Intention { at_unix_s: *at, action: action(*drains) };
    let intentions = intentions.iter().map(intention).collect();
    Plan { version: version.into(), intentions, ..Plan::default() }
}

/// Returns a drain notice from after the given return of the target.
fn notice(after_return_unix_s: u64) -> DrainNotice {
    DrainNotice { target: target(), after_return_unix_s }
}

fn drains(changes: &[DrainChange]) -> Vec<bool> {
    changes.iter().map(|c| c.draining).collect()
}

#[test]
fn a_drain_is_not_carried_out_again_over_its_return() {
    let plan = plan(1, &[(100, true), (200, false)]);
    let mut drain_tracker = DrainTracker::default();
    assert_eq!(drains(&drain_tracker.apply_plan(&plan, 150)), [true]);
    assert_eq!(drains(&drain_tracker.apply_plan(&plan, 200)), [false]);
    for now in 201..300 {
        assert!(drain_tracker.apply_plan(&plan, now).is_empty());
    }
}

#[test]
fn the_later_of_two_intentions_of_one_time_holds() {
    let mut drain_tracker = DrainTracker::default();
    assert!(drain_tracker.apply_plan(&plan(1, &[(100, true), (100, false)]), 100).is_empty());
}

#[test]
fn a_new_plans_pools_hear_of_every_draining_target() {
    let mut drain_tracker = DrainTracker::default();
    drain_tracker.apply_plan(&plan(1, &[(100, true)]), 150);
    assert_eq!(drains(&drain_tracker.apply_plan(&plan(2, &[(100, true)]), 151)), [true]);
    assert_eq!(drains(&drain_tracker.apply_plan(&plan(3, &[]), 152)), [false], "a withdrawn drain ends");
}

#[test]
fn an_operators_return_overrides_older_drain_notices() {
    let mut drain_tracker = DrainTracker::default();
    drain_tracker.apply_plan(&plan(1, &[]), 100);
    assert_eq!(drain_tracker.on_drain_notice(&notice(0)).map(|c| c.draining), Some(true));
    assert_eq!(drain_tracker.on_drain_notice(&notice(0)), None, "a repeated notice changes nothing");
    assert_eq!(drains(&drain_tracker.apply_plan(&plan(2, &[(150, false)]), 150)), [false]);
    assert_eq!(drain_tracker.on_drain_notice(&notice(0)), None, "a peer's notice from before the return");
    assert_eq!(
        drain_tracker.on_drain_notice(&notice(150)).map(|c| c.draining),
        Some(true),
        "an answer after it"
    );
}

#[test]
fn an_intention_whose_time_had_come_at_acceptance_holds_whatever_the_clock() {
    let plan = Plan { accepted_unix_s: 500, ..plan(1, &[(500, true)]) };
    assert_eq!(drains(&DrainTracker::default().apply_plan(&plan, 400)), [true]);
}

#[test]
fn an_instance_leaves_by_intentions_of_its_own_run_only() {
    let leave = |at| Intention {
        at_unix_s: at,
        action: IntendedAction::Leave("kremsau-01".parse().expect("the name is valid")),
    };
    let plan = Plan { intentions: vec![leave(100)], ..Plan::default() };
    let (own, other) =
        ("kremsau-01".parse().expect("the name is valid"), "kremsau-02".parse().expect("the name is valid"));
    assert!(must_leave(&plan, &own, 50, 100));
    assert!(!must_leave(&plan, &own, 50, 99), "not yet");
    assert!(!must_leave(&plan, &own, 101, 200), "a replacement of the same name stays");
    assert!(!must_leave(&plan, &other, 50, 100));
}

#[test]
fn drain_notices_are_forwarded_once_per_link() {
    let mut notices = DrainNotices::default();
    assert!(notices.add(notice(0)));
    assert!(!notices.add(notice(0)));
    let (first, seen) = notices.newer_than(0);
    assert_eq!(first, [notice(0)]);
    assert_eq!(notices.newer_than(seen).0, []);
    assert!(notices.add(notice(9)), "a notice after a later return is new");
    assert_eq!(notices.newer_than(seen).0, [notice(9)]);
    notices.remove_if(|s| s.after_return_unix_s < 10);
    assert_eq!(notices.newer_than(0).0, []);
}

#[test]
fn spending_stays_within_the_rate_whatever_is_offered() {
    let rate = 21_000;
    let mut budget = ByteBudget::new(at(0), rate);
    for ms in 0..60_000 {
        let now = at(ms);
        if ms % 500 == 0 {
            budget.record_sent(now, TrafficClass::Heartbeat, 17 * 80);
        }
        if ms % 20_000 == 0 {
            budget.record_sent(now, TrafficClass::Urgent, 30_000);
        }
        if budget.allows(now, 900) {
            budget.record_sent(now, TrafficClass::Loads, 900);
        }
    }
    let classes = [TrafficClass::Urgent, TrafficClass::Heartbeat, TrafficClass::Loads];
    let sent = classes.iter().map(|c| budget.bytes_sent(*c)).sum::<u64>();
    let burst = u64::from(rate) / 4;
    assert!(sent <= u64::from(rate) * 60 + burst, "{sent}");
    assert!(budget.bytes_sent(TrafficClass::Loads) > 0);
}

#[test]
fn heartbeats_and_loads_stay_within_the_rate_in_any_ten_seconds() {
    let rate = 21_000;
    for (peers, count_bytes) in [(5, 40), (11, 100), (17, 40), (17, 600)] {
        let round = peers * (OVERHEAD_BYTES + 20 + count_bytes);
        let mut budget = ByteBudget::new(at(0), rate);
        let mut sent = Vec::new();
        for ms in (0..60_000).step_by(5) {
            let mut spend = |budget: &mut ByteBudget, class, bytes| {
                budget.record_sent(at(ms), class, bytes);
                sent.push((ms, bytes));
            };
            if ms % 500 == 0 {
                spend(&mut budget, TrafficClass::Heartbeat, peers * (OVERHEAD_BYTES + 20));
            }
            if budget.allows(at(ms), round) {
                spend(&mut budget, TrafficClass::Loads, round);
            }
        }
        for from in (0..50_000).step_by(1_000) {
            let window = sent.iter().filter(|(ms, _)| (from..from + 10_000).contains(ms));
            let bytes = window.map(|(_, bytes)| bytes).sum::<usize>();
            assert!(
                bytes <= 10 * rate as usize,
                "{peers} peers, {count_bytes} bytes: {bytes} from {from} ms"
            );
        }
        assert!(budget.bytes_sent(TrafficClass::Loads) > 0, "{peers} peers get load counts");
    }
}

#[test]
fn loads_arrive_as_they_are() {
    let mut sender = LoadSender::default();
    let mut receiver = LoadReceiver::default();
    let mut seen = vec![0; 300];
    let mut actual = vec![0_u32; 300];
    for round in 0..200_u64 {
        for step in 0..7 {
            let index = (round * 31 + step * 17) as usize % actual.len();
            actual[index] = (round % 5) as u32 * 100;
        }
        let Some(loads) = sender.next_update(1.into(), &actual, at(round)) else { continue };
        for load in receiver.receive(at(round + 3), 1.into(), actual.len(), &loads) {
            seen[load.index] = load.in_flight;
        }
        assert_eq!(seen, actual, "round {round}");
    }
}

#[test]
fn a_long_request_stays_known_without_changes() {
    let mut sender = LoadSender::default();
    let mut receiver = LoadReceiver::default();
    let first = sender.next_update(1.into(), &[1, 0], at(1_000)).expect("a change");
    assert_eq!(receiver.receive(at(1_000), 1.into(), 2, &first).len(), 1);
    assert_eq!(sender.next_update(1.into(), &[1, 0], at(1_499)), None);
    let again = sender.next_update(1.into(), &[1, 0], at(1_500)).expect("a refresh is due");
    assert!(again.counts.is_empty());
    let loads = receiver.receive(at(1_500), 1.into(), 2, &again);
    assert_eq!(loads.iter().map(|l| (l.index, l.in_flight)).collect::<Vec<_>>(), [(0, 1)]);
    sender.next_update(1.into(), &[0, 0], at(1_600)).expect("a change");
    assert_eq!(
        sender.next_update(1.into(), &[0, 0], at(9_000)),
        None,
        "no refresh without requests in flight"
    );
}

#[test]
fn loads_of_another_plan_or_beyond_its_targets_give_nothing() {
    let counts = vec![LoadCount { skipped: 0, in_flight: 1 }, LoadCount { skipped: u32::MAX, in_flight: 2 }];
    let loads = Loads { plan_version: 1.into(), sent_at_us: 0, counts };
    let mut receiver = LoadReceiver::default();
    assert!(receiver.receive(at(0), 2.into(), 10, &loads).is_empty());
    assert_eq!(receiver.receive(at(0), 1.into(), 10, &loads).len(), 1);
    assert_eq!(receiver.receive(at(0), 1.into(), 0, &loads).len(), 0);
}

#[test]
fn a_new_plan_starts_the_counts_from_zero() {
    let mut sender = LoadSender::default();
    sender.next_update(1.into(), &[4, 0], at(0));
    assert_eq!(sender.next_update(1.into(), &[4, 0], at(1)), None);
    let again = sender.next_update(2.into(), &[4, 0], at(2)).expect("the counts are sent again");
    assert_eq!(again.counts, [LoadCount { skipped: 0, in_flight: 4 }]);
}

#[test]
fn load_ages_are_relative_to_the_frame_with_the_smallest_delay() {
    let mut receiver = LoadReceiver::default();
    let frame = |sent_ms: u64| Loads {
        plan_version: 1.into(),
        sent_at_us: 77_000_000 + sent_ms * 1_000,
        counts: vec![LoadCount { skipped: 0, in_flight: 1 }],
    };
    let mut age = |now_ms, sent_ms| receiver.receive(at(now_ms), 1.into(), 1, &frame(sent_ms))[0].age;
    assert_eq!(age(10, 0), Duration::ZERO);
    assert_eq!(age(20, 15), Duration::ZERO, "a delay of 5 ms is now the smallest");
    assert_eq!(age(130, 100), Duration::from_millis(25));
}
