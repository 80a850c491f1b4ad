//! For each promise a forged history that the soak's checker must catch, and a near miss that it must let pass.

use arbutusshelf_bench::soak::{
    checker::{Bounds, Promise, check},
    history::{Arrival, Attempt, Boot, Disturbance, Drain, End, History, Kind, RouteLife, Scope},
    plan::{Size, draw},
    world::bounds,
};
use quickcheck::quickcheck;

const BOUNDS: Bounds = Bounds {
    contact_ms: 3_000,
    drain_ms: 2_000,
    apply_ms: 2_000,
    rollback_ms: 250,
    grace_ms: 6_000,
    repeat_ratio: 0.2,
    repeat_extra: 5.0,
    repeat_window_ms: 10_000,
};

fn answered(status: u16) -> End {
    End::Answered { status, is_sealed: status == 200, is_own: status == 200 }
}

fn attempt(id: &str, kind: Kind, sent_ms: u64, end: End) -> Attempt {
    let (line, body) = match kind {
        Kind::Idempotent => (format!("GET /read/{id}"), Vec::new()),
        Kind::AtMostOnce => (format!("POST /charge/{id}"), b"booking".to_vec()),
    };
    let id = id.to_owned();
    Attempt { id, kind, instance: 0, line, body, sent_ms, timeout_ms: 1_500, ended_ms: sent_ms + 50, end }
}

fn arrival(attempt: &Attempt, worker: &str, at_ms: u64) -> Arrival {
    Arrival {
        id: attempt.id.clone(),
        worker: worker.to_owned(),
        line: attempt.line.clone(),
        body: attempt.body.clone(),
        at_ms,
        is_run: true,
        ended_ms: Some(at_ms + 20),
    }
}

/// A history in which everything is as it should be.
fn calm() -> History {
    let mut history = History { calm_ms: 40_000, ..History::default() };
    for number in 0..200 {
        let kind = if number % 3 == 0 { Kind::AtMostOnce } else { Kind::Idempotent };
        let attempt = attempt(&format!("a{number}"), kind, number * 250, answered(200));
        history.arrivals.push(arrival(&attempt, "i-1", attempt.sent_ms + 5));
        history.attempts.push(attempt);
    }
    history.boots.push(Boot { instance: 0, from_ms: 0, term_ms: None, gone_ms: None, is_crash: false });
    history
}

fn promises(history: &History) -> Vec<Promise> {
    let mut promises = check(history, &BOUNDS).into_iter().map(|f| f.promise).collect::<Vec<_>>();
    promises.sort_unstable();
    promises.dedup();
    promises
}

fn disturb(history: &mut History, scope: Scope, from_ms: u64, to_ms: u64) {
    history.disturbances.push(Disturbance { scope, name: "forged", from_ms, to_ms });
}

#[test]
fn a_calm_history_has_no_finding() {
    assert_eq!(check(&calm(), &BOUNDS), []);
}

#[test]
fn a_charge_that_runs_twice_is_found_and_a_read_may() {
    for (kind, expected) in [(Kind::AtMostOnce, vec![Promise::Twice]), (Kind::Idempotent, vec![])] {
        let mut history = calm();
        let twice = attempt("x", kind, 20_000, answered(200));
        history.arrivals.extend([arrival(&twice, "i-1", 20_005), arrival(&twice, "i-2", 20_030)]);
        history.attempts.push(twice);
        // Disturbances are no excuse.
        disturb(&mut history, Scope::Instance(0), 19_000, 21_000);
        assert_eq!(promises(&history), expected);
    }
}

#[test]
fn a_charge_that_was_told_not_to_have_run_and_ran_is_found() {
    for (status, expected) in [(503, vec![Promise::Refused]), (429, vec![Promise::Refused]), (502, vec![])] {
        let mut history = calm();
        let refused = attempt("x", Kind::AtMostOnce, 20_000, answered(status));
        history.arrivals.push(arrival(&refused, "i-1", 20_900));
        history.attempts.push(refused);
        assert_eq!(promises(&history), expected, "{status}");
    }
}

#[test]
fn a_success_that_is_not_the_workers_is_found() {
    for (is_sealed, is_own, runs) in [(false, true, 1), (true, false, 1), (true, true, 0)] {
        let mut history = calm();
        let end = End::Answered { status: 200, is_sealed, is_own };
        let mixed = attempt("x", Kind::Idempotent, 20_000, end);
        history.arrivals.extend((0..runs).map(|_| arrival(&mixed, "i-1", 20_005)));
        history.attempts.push(mixed);
        assert_eq!(promises(&history), [Promise::Mixed]);
    }
}

#[test]
fn a_run_of_something_else_is_found() {
    let mut history = calm();
    let mut changed = history.arrivals[3].clone();
    changed.line = "DELETE /read/a3".to_owned();
    history.arrivals[3] = changed;
    assert_eq!(promises(&history), [Promise::Unasked]);
    let mut history = calm();
    let smuggled = attempt("never-sent", Kind::Idempotent, 20_000, answered(200));
    history.arrivals.push(arrival(&smuggled, "i-1", 20_000));
    assert_eq!(promises(&history), [Promise::Unasked]);
}

#[test]
fn a_request_to_a_drained_worker_is_found_unless_the_instance_was_cut_off() {
    let drained = |at_ms: u64| {
        let mut history = calm();
        history.drains.push(Drain { worker: "i-9".to_owned(), acked_ms: 20_000 });
        let late = attempt("x", Kind::Idempotent, at_ms, answered(200));
        history.arrivals.push(arrival(&late, "i-9", at_ms + 1));
        history.attempts.push(late);
        history
    };
    assert_eq!(promises(&drained(22_100)), [Promise::Drain]);
    assert_eq!(promises(&drained(21_900)), []);
    let mut cut = drained(22_100);
    disturb(&mut cut, Scope::Instance(0), 15_000, 18_000);
    assert_eq!(promises(&cut), []);
    let mut cut_earlier = drained(22_100);
    disturb(&mut cut_earlier, Scope::Instance(0), 15_000, 16_900);
    assert_eq!(promises(&cut_earlier), [Promise::Drain]);
}

fn with_route(removed_ms: Option<u64>, calls: &[(u64, u16)]) -> History {
    let mut history = calm();
    let prefix = "/route-1/".to_owned();
    history.routes.push(RouteLife { prefix, added_ms: 10_000, removed_ms });
    for (sent_ms, status) in calls {
        let mut call = attempt(&format!("r{sent_ms}"), Kind::Idempotent, *sent_ms, answered(*status));
        call.line = format!("GET /route-1/{}", call.id);
        if *status == 200 {
            history.arrivals.push(arrival(&call, "i-1", sent_ms + 5));
        }
        history.attempts.push(call);
    }
    history
}

#[test]
fn a_route_that_comes_late_or_stays_is_found() {
    assert_eq!(promises(&with_route(None, &[(12_100, 404)])), [Promise::Config]);
    assert_eq!(promises(&with_route(None, &[(11_900, 404), (12_500, 200)])), []);
    assert_eq!(promises(&with_route(Some(20_000), &[(22_100, 200)])), [Promise::Config]);
    assert_eq!(promises(&with_route(Some(20_000), &[(21_900, 200), (22_100, 404)])), []);
}

#[test]
fn an_instance_that_goes_back_to_an_older_table_is_found() {
    assert_eq!(promises(&with_route(None, &[(10_300, 200), (11_000, 404)])), [Promise::Regress]);
    let mut restarted = with_route(None, &[(10_300, 200), (11_000, 404)]);
    restarted.boots[0].gone_ms = Some(10_500);
    restarted.boots.push(Boot {
        instance: 0,
        from_ms: 10_700,
        term_ms: None,
        gone_ms: None,
        is_crash: false,
    });
    assert_eq!(promises(&restarted), []);
}

#[test]
fn an_answer_after_its_deadline_is_found() {
    for (took_ms, expected) in [(2_001, vec![Promise::Deadline]), (1_999, vec![])] {
        let mut history = calm();
        let mut late = attempt("x", Kind::Idempotent, 20_000, answered(504));
        late.ended_ms = 20_000 + took_ms;
        history.attempts.push(late);
        assert_eq!(promises(&history), expected);
    }
}

#[test]
fn requests_that_were_passed_on_and_never_answered_are_found() {
    let lost = |count: usize| {
        let mut history = calm();
        for number in 0..count {
            let lost =
                attempt(&format!("x{number}"), Kind::AtMostOnce, 20_000, End::Lost("closed".to_owned()));
            history.arrivals.push(arrival(&lost, "i-1", 20_005));
            history.attempts.push(lost);
        }
        history
    };
    assert_eq!(promises(&lost(4)), [Promise::Lost]);
    assert_eq!(promises(&lost(3)), []);
    let mut killed = lost(4);
    killed.boots[0].gone_ms = Some(20_040);
    assert_eq!(promises(&killed), []);
    let mut stopped = lost(4);
    stopped.boots[0].gone_ms = Some(20_040);
    stopped.boots[0].term_ms = Some(19_000);
    assert_eq!(promises(&stopped), [Promise::Lost]);
    let mut broken_worker = lost(4);
    disturb(&mut broken_worker, Scope::Worker("i-1".to_owned()), 19_000, 21_000);
    assert_eq!(promises(&broken_worker), []);
}

#[test]
fn repeats_beyond_the_budget_of_any_window_are_found() {
    // 40 requests in ten seconds allow 8 repeats, and 5 besides.
    for (repeats, expected) in [(14, vec![Promise::Budget]), (13, vec![])] {
        let mut history = calm();
        for number in 0..repeats {
            let repeated = history.attempts[100 + number * 3 + 1].clone();
            history.arrivals.push(arrival(&repeated, "i-2", 31_000));
        }
        assert_eq!(promises(&history), expected, "{repeats}");
    }
}

#[test]
fn work_for_callers_that_left_is_found() {
    let left = |ran_ms: u64| {
        let mut history = calm();
        for number in 0..8 {
            let left = attempt(&format!("x{number}"), Kind::Idempotent, 20_000, End::Left);
            let mut arrival = arrival(&left, "i-1", 20_005);
            arrival.ended_ms = Some(20_005 + ran_ms);
            history.arrivals.push(arrival);
            history.attempts.push(left);
        }
        history
    };
    assert_eq!(promises(&left(900)), [Promise::Gone]);
    assert_eq!(promises(&left(400)), []);
}

#[test]
fn an_instance_that_does_not_leave_or_ends_by_itself_is_found() {
    let ended = |term_ms, gone_ms, is_crash| {
        let mut history = calm();
        history.boots[0] = Boot { instance: 0, from_ms: 0, term_ms, gone_ms, is_crash };
        history.boots.push(Boot {
            instance: 0,
            from_ms: 30_000,
            term_ms: None,
            gone_ms: None,
            is_crash: false,
        });
        promises(&history)
    };
    assert_eq!(ended(Some(20_000), Some(26_100), false), [Promise::Leave]);
    assert_eq!(ended(Some(20_000), Some(25_900), false), []);
    assert_eq!(ended(None, Some(20_000), true), [Promise::Crash]);
}

#[test]
fn a_deployment_that_does_not_recover_is_found() {
    let mut history = calm();
    for attempt in history.attempts.iter_mut().filter(|a| a.sent_ms >= 43_000) {
        attempt.end = answered(503);
        attempt.kind = Kind::Idempotent;
    }
    assert!(promises(&history).contains(&Promise::Recover));
}

quickcheck! {
    /// A seed gives one plan, within the time of trouble.
    fn a_seed_gives_one_plan(seed: u64) -> bool {
        let size = Size { instances: 5, workers: 8, trouble_ms: 18_000 };
        let plan = draw(seed, &size);
        plan == draw(seed, &size) && plan.iter().all(|s| s.at_ms < 18_000) && plan.is_sorted_by_key(|s| s.at_ms)
    }
}

#[test]
fn the_bounds_are_those_of_the_users_settings() {
    let bounds = bounds(13);
    let times = [bounds.contact_ms, bounds.drain_ms, bounds.apply_ms, bounds.rollback_ms, bounds.grace_ms];
    assert_eq!(times, [3_000, 2_000, 2_000, 250, 6_000]);
}
