//! For each invariant, a history that violates it, which the checker must report, and one that just meets it,
//! which it must not report.

use arbutusshelf_bench::soak::{
    checker::{Bounds, Invariant, RouteAnswers, check, route_answers},
    cluster::bounds,
    history::{
        Arrival, Attempt, AttemptKind, AttemptResult, Disturbance, Drain, History, ProcessRun,
        RateLimitPeriod, RouteLifetime, Scope, WorkerCut, WorkerEnd,
    },
    schedule::{SoakSize, generate_schedule},
};
use quickcheck::quickcheck;

const BOUNDS: Bounds = Bounds {
    settle_ms: 3_000,
    drain_ms: 2_000,
    route_apply_ms: 2_000,
    rollback_ms: 250,
    grace_ms: 6_000,
    repeat_ratio: 0.2,
    repeat_extra: 5.0,
    repeat_window_ms: 10_000,
    limit_window_ms: 4_000,
    limit_ratio: 1.5,
    limit_extra: 5.0,
    fatal_ends: 3,
    fatal_sends: 3,
    memory_bytes: 160_000_000,
};

fn answered(status: u16) -> AttemptResult {
    AttemptResult::Answered { status, is_sealed: status == 200, is_own_body: status == 200 }
}

fn attempt(id: &str, kind: AttemptKind, sent_ms: u64, result: AttemptResult) -> Attempt {
    let (request_line, body) = match kind {
        AttemptKind::Idempotent => (format!("GET /read/{id}"), Vec::new()),
        AttemptKind::AtMostOnce => (format!("POST /charge/{id}"), b"booking".to_vec()),
    };
    let id = id.to_owned();
    Attempt {
        id,
        kind,
        instance: 0,
        request_line,
        body,
        sent_ms,
        timeout_ms: 1_500,
        ended_ms: sent_ms + 50,
        result,
    }
}

fn arrival(attempt: &Attempt, worker: &str, at_ms: u64) -> Arrival {
    Arrival {
        id: attempt.id.clone(),
        worker: worker.to_owned(),
        request_line: attempt.request_line.clone(),
        body: attempt.body.clone(),
        at_ms,
        was_run: true,
        ended_ms: Some(at_ms + 20),
    }
}

/// Returns a history without faults in which every invariant holds.
fn healthy_history() -> History {
    let mut history = History { undisturbed_from_ms: 40_000, ..History::default() };
    for number in 0..200 {
        let kind = if number % 3 == 0 { AttemptKind::AtMostOnce } else { AttemptKind::Idempotent };
        let attempt = attempt(&format!("a{number}"), kind, number * 250, answered(200));
        history.arrivals.push(arrival(&attempt, "i-1", attempt.sent_ms + 5));
        history.attempts.push(attempt);
    }
    history.process_runs.push(ProcessRun {
        instance: 0,
        from_ms: 0,
        term_ms: None,
        exited_ms: None,
        is_crash: false,
        peak_resident_bytes: 0,
    });
    history
}

fn violated(history: &History) -> Vec<Invariant> {
    let mut violated = check(history, &BOUNDS).into_iter().map(|f| f.invariant).collect::<Vec<_>>();
    violated.sort_unstable();
    violated.dedup();
    violated
}

fn add_disturbance(history: &mut History, scope: Scope, from_ms: u64, to_ms: u64) {
    history.disturbances.push(Disturbance { scope, name: "forged", from_ms, to_ms });
}

#[test]
fn a_calm_history_has_no_finding() {
    assert_eq!(check(&healthy_history(), &BOUNDS), []);
}

#[test]
fn a_charge_that_runs_twice_is_found_and_a_read_may() {
    for (kind, expected) in
        [(AttemptKind::AtMostOnce, vec![Invariant::RunsAtMostOnce]), (AttemptKind::Idempotent, vec![])]
    {
        let mut history = healthy_history();
        let twice = attempt("x", kind, 20_000, answered(200));
        history.arrivals.extend([arrival(&twice, "i-1", 20_005), arrival(&twice, "i-2", 20_030)]);
        history.attempts.push(twice);
        // A disturbance is no excuse.
        add_disturbance(&mut history, Scope::Instance(0), 19_000, 21_000);
        assert_eq!(violated(&history), expected);
    }
}

#[test]
fn a_charge_that_was_told_not_to_have_run_and_ran_is_found() {
    for (status, expected) in
        [(503, vec![Invariant::RefusedNotRun]), (429, vec![Invariant::RefusedNotRun]), (502, vec![])]
    {
        let mut history = healthy_history();
        let refused = attempt("x", AttemptKind::AtMostOnce, 20_000, answered(status));
        history.arrivals.push(arrival(&refused, "i-1", 20_900));
        history.attempts.push(refused);
        assert_eq!(violated(&history), expected, "{status}");
    }
}

#[test]
fn a_success_that_is_not_the_workers_is_found() {
    for (is_sealed, is_own_body, runs) in [(false, true, 1), (true, false, 1), (true, true, 0)] {
        let mut history = healthy_history();
        let result = AttemptResult::Answered { status: 200, is_sealed, is_own_body };
        let wrong_response = attempt("x", AttemptKind::Idempotent, 20_000, result);
        history.arrivals.extend((0..runs).map(|_| arrival(&wrong_response, "i-1", 20_005)));
        history.attempts.push(wrong_response);
        assert_eq!(violated(&history), [Invariant::OwnCompleteResponse]);
    }
}

#[test]
fn a_status_that_no_final_response_has_is_found() {
    for (status, expected) in [
        (101, vec![Invariant::OwnCompleteResponse]),
        (199, vec![Invariant::OwnCompleteResponse]),
        (600, vec![Invariant::OwnCompleteResponse]),
        (999, vec![Invariant::OwnCompleteResponse]),
        (599, vec![]),
    ] {
        let mut history = healthy_history();
        let answered = attempt("x", AttemptKind::Idempotent, 20_000, answered(status));
        history.arrivals.push(arrival(&answered, "i-1", 20_005));
        history.attempts.push(answered);
        // A disturbance is no excuse.
        add_disturbance(&mut history, Scope::Instance(0), 19_000, 21_000);
        assert_eq!(violated(&history), expected, "{status}");
    }
}

#[test]
fn a_run_of_something_else_is_found() {
    let mut history = healthy_history();
    let mut changed = history.arrivals[3].clone();
    changed.request_line = "DELETE /read/a3".to_owned();
    history.arrivals[3] = changed;
    assert_eq!(violated(&history), [Invariant::RunsAsSent]);
    let mut history = healthy_history();
    let unsent = attempt("never-sent", AttemptKind::Idempotent, 20_000, answered(200));
    history.arrivals.push(arrival(&unsent, "i-1", 20_000));
    assert_eq!(violated(&history), [Invariant::RunsAsSent]);
}

#[test]
fn a_request_to_a_drained_worker_is_found_unless_the_instance_was_cut_off() {
    let drained = |at_ms: u64| {
        let mut history = healthy_history();
        history.drains.push(Drain { worker: "i-9".to_owned(), acked_ms: 20_000 });
        let late = attempt("x", AttemptKind::Idempotent, at_ms, answered(200));
        history.arrivals.push(arrival(&late, "i-9", at_ms + 1));
        history.attempts.push(late);
        history
    };
    assert_eq!(violated(&drained(22_100)), [Invariant::NoRequestAfterDrain]);
    assert_eq!(violated(&drained(21_900)), []);
    let mut cut = drained(22_100);
    add_disturbance(&mut cut, Scope::Instance(0), 15_000, 18_000);
    assert_eq!(violated(&cut), []);
    let mut cut_earlier = drained(22_100);
    add_disturbance(&mut cut_earlier, Scope::Instance(0), 15_000, 16_900);
    assert_eq!(violated(&cut_earlier), [Invariant::NoRequestAfterDrain]);
}

fn with_route(removed_ms: Option<u64>, sent_and_statuses: &[(u64, u16)]) -> History {
    let mut history = healthy_history();
    let prefix = "/route-1/".to_owned();
    history.routes.push(RouteLifetime { prefix, added_ms: 10_000, removed_ms });
    for (sent_ms, status) in sent_and_statuses {
        let mut request =
            attempt(&format!("r{sent_ms}"), AttemptKind::Idempotent, *sent_ms, answered(*status));
        request.request_line = format!("GET /route-1/{}", request.id);
        if *status == 200 {
            history.arrivals.push(arrival(&request, "i-1", sent_ms + 5));
        }
        history.attempts.push(request);
    }
    history
}

#[test]
fn a_route_that_comes_late_or_stays_is_found() {
    assert_eq!(violated(&with_route(None, &[(12_100, 404)])), [Invariant::RoutesApplied]);
    assert_eq!(violated(&with_route(None, &[(11_900, 404), (12_500, 200)])), []);
    assert_eq!(violated(&with_route(Some(20_000), &[(22_100, 200)])), [Invariant::RoutesApplied]);
    assert_eq!(violated(&with_route(Some(20_000), &[(21_900, 200), (22_100, 404)])), []);
    // A disturbance excuses requests for 3 s after its end, and not what was changed in that time for good.
    for (sent_ms, expected) in [(12_400, vec![]), (12_600, vec![Invariant::RoutesApplied])] {
        let mut disturbed = with_route(None, &[(sent_ms, 404)]);
        add_disturbance(&mut disturbed, Scope::Store, 9_000, 9_500);
        assert_eq!(violated(&disturbed), expected, "{sent_ms}");
    }
}

#[test]
fn an_instance_that_goes_back_to_an_older_table_is_found() {
    assert_eq!(violated(&with_route(None, &[(10_300, 200), (11_000, 404)])), [Invariant::RoutesNotReverted]);
    let mut restarted = with_route(None, &[(10_300, 200), (11_000, 404)]);
    restarted.process_runs[0].exited_ms = Some(10_500);
    restarted.process_runs.push(ProcessRun {
        instance: 0,
        from_ms: 10_700,
        term_ms: None,
        exited_ms: None,
        is_crash: false,
        peak_resident_bytes: 0,
    });
    assert_eq!(violated(&restarted), []);
}

#[test]
fn a_proper_request_that_is_turned_away_as_faulty_is_found() {
    for (status, expected) in [(404, vec![Invariant::ProperNotDenied]), (429, vec![]), (503, vec![])] {
        let mut history = healthy_history();
        // No disturbance excuses it.
        add_disturbance(&mut history, Scope::Store, 9_000, 20_000);
        history.attempts.push(attempt("denied", AttemptKind::Idempotent, 12_000, answered(status)));
        assert_eq!(violated(&history), expected, "{status}");
    }
    // Such an answer on a route that was added is for another invariant.
    assert_eq!(violated(&with_route(None, &[(10_100, 404)])), []);
}

#[test]
fn a_route_of_an_invalid_version_that_is_served_is_found() {
    for (status, expected) in [(200, vec![Invariant::RoutesApplied]), (404, vec![])] {
        let mut history = healthy_history();
        history.invalid_prefixes.push("/invalid-7/".to_owned());
        let mut asked = attempt("asked", AttemptKind::Idempotent, 12_000, answered(status));
        asked.request_line = "GET /invalid-7/asked".to_owned();
        history.arrivals.extend((status == 200).then(|| arrival(&asked, "w-1", 12_010)));
        history.attempts.push(asked);
        assert_eq!(violated(&history), expected, "{status}");
    }
}

#[test]
fn answers_about_changed_routes_count_when_the_instance_was_in_touch() {
    let history = with_route(None, &[(11_900, 404), (12_100, 200), (13_000, 200)]);
    assert_eq!(route_answers(&history, &BOUNDS), RouteAnswers { all: 2, counted: 2 });
    let mut disturbed = history;
    add_disturbance(&mut disturbed, Scope::Store, 12_500, 12_600);
    assert_eq!(route_answers(&disturbed, &BOUNDS), RouteAnswers { all: 2, counted: 1 });
}

#[test]
fn an_answer_after_its_deadline_is_found() {
    for (took_ms, expected) in [(2_001, vec![Invariant::EndsByDeadline]), (1_999, vec![])] {
        let mut history = healthy_history();
        let mut late = attempt("x", AttemptKind::Idempotent, 20_000, answered(504));
        late.ended_ms = 20_000 + took_ms;
        history.attempts.push(late);
        assert_eq!(violated(&history), expected);
    }
}

#[test]
fn requests_that_were_passed_on_and_never_answered_are_found() {
    let lost = |count: usize| {
        let mut history = healthy_history();
        for number in 0..count {
            let lost = attempt(
                &format!("x{number}"),
                AttemptKind::AtMostOnce,
                20_000,
                AttemptResult::NoResponse("closed".to_owned()),
            );
            history.arrivals.push(arrival(&lost, "i-1", 20_005));
            history.attempts.push(lost);
        }
        history
    };
    assert_eq!(violated(&lost(4)), [Invariant::SentIsAnswered]);
    assert_eq!(violated(&lost(3)), []);
    let mut killed = lost(4);
    killed.process_runs[0].exited_ms = Some(20_040);
    assert_eq!(violated(&killed), []);
    let mut stopped = lost(4);
    stopped.process_runs[0].exited_ms = Some(20_040);
    stopped.process_runs[0].term_ms = Some(19_000);
    assert_eq!(violated(&stopped), [Invariant::SentIsAnswered]);
    let mut broken_worker = lost(4);
    add_disturbance(&mut broken_worker, Scope::Worker("i-1".to_owned()), 19_000, 21_000);
    assert_eq!(violated(&broken_worker), []);
}

#[test]
fn repeats_beyond_the_budget_of_any_window_are_found() {
    // 40 requests in ten seconds allow 8 retries, and `repeat_extra` allows 5 more.
    for (retries, expected) in [(14, vec![Invariant::RetryBudget]), (13, vec![])] {
        let mut history = healthy_history();
        for number in 0..retries {
            let repeated = history.attempts[100 + number * 3 + 1].clone();
            history.arrivals.push(arrival(&repeated, "i-2", 31_000));
        }
        assert_eq!(violated(&history), expected, "{retries}");
    }
}

#[test]
fn work_for_callers_that_left_is_found() {
    let left = |ran_ms: u64| {
        let mut history = healthy_history();
        for number in 0..8 {
            let left =
                attempt(&format!("x{number}"), AttemptKind::Idempotent, 20_000, AttemptResult::CallerLeft);
            let mut arrival = arrival(&left, "i-1", 20_005);
            arrival.ended_ms = Some(20_005 + ran_ms);
            history.arrivals.push(arrival);
            history.attempts.push(left);
        }
        history
    };
    assert_eq!(violated(&left(900)), [Invariant::CancelledWhenCallerLeaves]);
    assert_eq!(violated(&left(400)), []);
}

#[test]
fn an_instance_that_does_not_leave_or_ends_by_itself_is_found() {
    let ended = |term_ms, exited_ms, is_crash| {
        let mut history = healthy_history();
        history.process_runs[0] =
            ProcessRun { instance: 0, from_ms: 0, term_ms, exited_ms, is_crash, peak_resident_bytes: 0 };
        history.process_runs.push(ProcessRun {
            instance: 0,
            from_ms: 30_000,
            term_ms: None,
            exited_ms: None,
            is_crash: false,
            peak_resident_bytes: 0,
        });
        violated(&history)
    };
    assert_eq!(ended(Some(20_000), Some(26_100), false), [Invariant::LeavesInTime]);
    assert_eq!(ended(Some(20_000), Some(25_900), false), []);
    assert_eq!(ended(None, Some(20_000), true), [Invariant::NoCrash]);
}

#[test]
fn a_deployment_that_does_not_recover_is_found() {
    let mut history = healthy_history();
    for attempt in history.attempts.iter_mut().filter(|a| a.sent_ms >= 43_000) {
        attempt.result = answered(503);
        attempt.kind = AttemptKind::Idempotent;
    }
    assert!(violated(&history).contains(&Invariant::ServesAfterDisturbances));
}

quickcheck! {
    /// A seed always gives the same sorted schedule, whose steps start within the disturbed time.
    fn a_seed_gives_one_plan(seed: u64) -> bool {
        let size = SoakSize { instances: 5, workers: 8, disturbed_ms: 18_000, routes: 1_500 };
        let schedule = generate_schedule(seed, &size);
        schedule == generate_schedule(seed, &size)
            && schedule.iter().all(|s| s.at_ms < 18_000)
            && schedule.is_sorted_by_key(|s| s.at_ms)
    }
}

#[test]
fn the_bounds_are_those_of_the_users_settings() {
    let bounds = bounds(13);
    let times =
        [bounds.settle_ms, bounds.drain_ms, bounds.route_apply_ms, bounds.rollback_ms, bounds.grace_ms];
    assert_eq!(times, [3_000, 2_000, 2_000, 250, 6_000]);
}

/// Of the requests of the healthy history, i-1 gets four in each second.
#[test]
fn a_worker_that_gets_more_than_it_takes_is_found_unless_the_instance_could_not_know() {
    let limited = |limit_per_s: f64| {
        let mut history = healthy_history();
        let worker = "i-1".to_owned();
        history.rate_limits.push(RateLimitPeriod { worker, limit_per_s, from_ms: 10_000, to_ms: 20_000 });
        history
    };
    // Sixteen requests in 4 s; one and a half times the limit and five more are allowed.
    assert_eq!(violated(&limited(1.8)), [Invariant::RateLimit]);
    assert_eq!(violated(&limited(1.9)), []);
    let mut restarted = limited(1.0);
    restarted.process_runs[0].exited_ms = Some(11_000);
    restarted.process_runs[0].term_ms = Some(10_900);
    for from_ms in [11_500, 14_000, 16_500, 19_000] {
        let run = ProcessRun {
            instance: 0,
            from_ms,
            term_ms: None,
            exited_ms: None,
            is_crash: false,
            peak_resident_bytes: 0,
        };
        restarted.process_runs.push(run);
    }
    assert_eq!(violated(&restarted), []);
    let mut paused = limited(1.0);
    add_disturbance(&mut paused, Scope::Instance(0), 12_000, 20_000);
    assert_eq!(violated(&paused), []);
    let mut store_down = limited(1.0);
    add_disturbance(&mut store_down, Scope::Store, 12_000, 20_000);
    assert_eq!(violated(&store_down), [Invariant::RateLimit], "the store is no excuse");
    let mut other = limited(1.0);
    other.rate_limits[0].worker = "i-2".to_owned();
    assert_eq!(violated(&other), []);
}

#[test]
fn a_process_that_uses_more_memory_than_its_machine_has_is_found() {
    let mut history = healthy_history();
    history.process_runs[0].peak_resident_bytes = BOUNDS.memory_bytes;
    assert_eq!(violated(&history), []);
    history.process_runs[0].peak_resident_bytes += 1;
    assert_eq!(violated(&history), [Invariant::MemoryBounded]);
}

/// Returns a history in which one request ends `count` workers, the first three within a second and the others 4 s
/// later.
fn history_with_fatal_request(count: u64) -> History {
    let mut history = healthy_history();
    for number in 0..count {
        let at_ms = 20_000 + number * 300 + if number < 3 { 0 } else { 4_000 };
        let mut fatal = attempt(&format!("f{number}"), AttemptKind::Idempotent, at_ms, answered(502));
        fatal.request_line = format!("GET /read/fatal-1?page={number}");
        let worker = format!("i-{number}");
        history.arrivals.push(arrival(&fatal, &worker, at_ms + 5));
        history.worker_ends.push(WorkerEnd { worker, at_ms: at_ms + 40 });
        history.attempts.push(fatal);
    }
    history
}

#[test]
fn a_request_that_ends_more_and_more_workers_is_found_and_three_late_ones_are_allowed() {
    assert_eq!(violated(&history_with_fatal_request(7)), [Invariant::FatalNotSentOn]);
    assert_eq!(violated(&history_with_fatal_request(6)), []);
}

#[test]
fn an_instance_that_was_cut_off_may_send_a_fatal_request() {
    let mut history = history_with_fatal_request(7);
    add_disturbance(&mut history, Scope::Instance(0), 24_000, 25_000);
    assert_eq!(violated(&history), []);
}

// Guards against callers of instances that reach no worker being refused while others are served.
#[test]
fn callers_of_instances_that_are_cut_off_must_be_served_like_others() {
    let history = |served_cut_off: usize, is_disturbed: bool, cut_instances: Vec<usize>| {
        let attempts = (0..120).map(|number| {
            let (instance, number_there) = (number % 2, number / 2);
            let status = if instance == 0 && number_there >= served_cut_off { 503 } else { 200 };
            let sent_ms = 23_100 + number as u64;
            let id = format!("a{number}");
            Attempt { instance, ..attempt(&id, AttemptKind::Idempotent, sent_ms, answered(status)) }
        });
        let attempts = attempts.collect::<Vec<_>>();
        let arrivals = attempts.iter().map(|a| arrival(a, "i-1", a.sent_ms + 1)).collect();
        let disturbances = is_disturbed.then_some(Disturbance {
            scope: Scope::Instance(0),
            name: "store link",
            from_ms: 22_000,
            to_ms: 22_500,
        });
        History {
            attempts,
            arrivals,
            disturbances: disturbances.into_iter().collect(),
            worker_cuts: vec![WorkerCut { instances: cut_instances, from_ms: 20_000, to_ms: 26_000 }],
            undisturbed_from_ms: 15_000,
            ..History::default()
        }
    };
    let is_found = |history: &History| {
        check(history, &BOUNDS).iter().any(|finding| finding.invariant == Invariant::ServesWhileCutOff)
    };
    assert!(is_found(&history(39, false, vec![0])), "39 of 60 against 60 of 60");
    assert!(!is_found(&history(40, false, vec![0])), "two thirds are enough");
    assert!(!is_found(&history(0, true, vec![0])), "its link to the store was disturbed, too");
    assert!(!is_found(&history(0, false, vec![0, 1])), "nobody reaches a worker");
}
