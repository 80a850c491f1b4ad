//! Load on targets that state how many requests per second they take from all instances together.

mod pool_env;

use std::{sync::Arc, time::Duration};

use arbutusshelf::{
    decide::{
        directory::{DirectoryChange, Listing},
        probed_pool::{Choice, ChoiceRequest, ProbedPool},
        probed_target::HealthSignal,
        rate_limit::RateLimitStatement,
        rate_share::RateShare,
        retry_pacing::{RetryAfterPacer, ServiceCapacity},
        wait_stage::WaitStage,
    },
    gateway::follower_places::FollowerPlaces,
    units::PerSecond,
};
use pool_env::{FIRST_CHOICE, at, id, listing, pool, reading, sent_to};
use quickcheck::quickcheck;

/// Window in which the users count the requests to such a target, in milliseconds.
const LIMIT_WINDOW_MS: u64 = 4_000;

/// A call that has probed in vain.
const PROBED: ChoiceRequest<'static> = ChoiceRequest { probe_rounds: 1, ..FIRST_CHOICE };

fn per_s(rate: f64) -> PerSecond {
    PerSecond::from(rate)
}

/// Returns a pool in which all targets state `limit`, shared by `instances`.
fn limited_pool(ids: &[&str], limit: f64, instances: u64) -> ProbedPool {
    let targets = ids.iter().map(|id| (*id, Some(reading(0, 1.0)))).collect::<Vec<_>>();
    let mut pool = pool(&targets, at(0));
    pool.set_instances(at(0), Some(instances));
    for target in ids {
        pool.record_rate_limit(at(0), &id(target), Some(per_s(limit)), 1);
    }
    pool
}

fn statement(limit: Option<f64>, version: u64, phase: Option<f64>) -> RateLimitStatement {
    RateLimitStatement {
        target: id("limited"),
        started_unix_ms: Some(1),
        limit: limit.map(PerSecond::from),
        version,
        phase,
    }
}

/// Returns the most entries of sorted times in milliseconds that lie in one window.
fn most_in_a_window(sent_ms: &[u64]) -> usize {
    let in_window =
        |start: &u64| sent_ms.iter().filter(|ms| (*start..start + LIMIT_WINDOW_MS).contains(ms)).count();
    sent_ms.iter().map(in_window).max().unwrap_or(0)
}

/// Returns when one target gets requests from instances that always have calls for it. Each instance follows one
/// of three seeds; seeds spread the phases of their followers, and know nothing of each other's.
fn sent_by_all(instances: usize, limit: f64, length_ms: u64) -> Vec<u64> {
    let mut pools = (0..instances)
        .map(|number| {
            let (seed, place) = (number % 3, number / 3);
            let followers = (instances - seed).div_ceil(3);
            let phase = (0.29 * seed as f64 + place as f64 / followers as f64).fract();
            let mut pool = limited_pool(&["limited"], limit, instances as u64);
            pool.merge_rate_limit(at(0), &statement(Some(limit), 1, Some(phase)), 2);
            pool
        })
        .collect::<Vec<_>>();
    let mut sent_ms = Vec::new();
    for ms in (0..length_ms).step_by(100) {
        for pool in &mut pools {
            while let Choice::Send(listing) = pool.choose_target(at(ms), &PROBED) {
                sent_ms.push(ms);
                pool.record_end(at(ms), &listing.id, HealthSignal::Answered);
            }
        }
    }
    sent_ms
}

/// Guards against shares below one request a second that are rounded up or saved up: then many instances, which
/// all stay within their own share, send at once.
#[test]
fn the_sum_over_all_instances_keeps_to_the_limit_in_every_window() {
    for instances in [1, 2, 3, 13, 40, 120, 500] {
        for limit in [0.2, 1.0, 1.2, 3.0, 20.0] {
            let length_ms = 60_000;
            let sent_ms = sent_by_all(instances, limit, length_ms);
            let allowed = (1.5 * limit * 4.0 + 5.0) as usize;
            let most = most_in_a_window(&sent_ms);
            assert!(most <= allowed, "{instances} instances, {limit} a second: {most}, {allowed} allowed");
            let wanted = (limit * length_ms as f64 / 1_000.0) as usize;
            let got = sent_ms.len();
            assert!(
                got <= wanted + 1 + instances.min(3),
                "{instances} instances, {limit} a second: {got} of {wanted}"
            );
            assert!(
                got * 10 >= wanted * 8,
                "{instances} instances, {limit} a second: only {got} of {wanted}"
            );
        }
    }
}

/// Guards against a burst when many instances had nothing to send for a while.
#[test]
fn permits_that_were_not_used_are_not_saved_up() {
    let (instances, limit) = (60, 1.0);
    let mut shares = (0..instances)
        .map(|place| RateShare::new(at(0), per_s(limit / 60.0), f64::from(place) / 60.0))
        .collect::<Vec<_>>();
    let used = shares.iter_mut().filter_map(|share| share.take(at(300_500)).then_some(())).count();
    assert!(used <= 2, "{used} at once");
}

/// Guards against a burst when a seed is lost and many instances follow another one at the same time: they got
/// almost the same phase there, since each was given the last place of those known so far.
#[test]
fn instances_that_change_their_seed_at_once_do_not_send_at_once() {
    const INSTANCES: u32 = 113;
    for seed_phase in [0.0, 0.1, 0.37, 0.5, 0.8, 0.99] {
        let places = [Arc::<FollowerPlaces>::default(), Arc::default(), Arc::default()];
        let mut followers = (0..INSTANCES)
            .map(|number| {
                let place = places[number as usize % 3].take();
                (RateShare::new(at(0), per_s(1.0 / f64::from(INSTANCES)), place.phase()), place)
            })
            .collect::<Vec<_>>();
        let mut sent_ms = Vec::new();
        for ms in (0..240_000).step_by(50) {
            if ms == 60_000 {
                for (number, (share, place)) in (0..).zip(&mut followers) {
                    if number % 3 > 0 {
                        *place = places[0].take();
                        share.align(at(ms), (place.phase() + seed_phase).fract());
                    }
                }
            }
            sent_ms.extend(followers.iter_mut().filter_map(|(share, _)| share.take(at(ms)).then_some(ms)));
        }
        let most = most_in_a_window(&sent_ms);
        assert!(most <= 11, "phase {seed_phase}: {most}");
        assert!(sent_ms.len() > 160, "phase {seed_phase}: {}", sent_ms.len());
    }
}

/// A pause of a process, or a stall of its event loop, must not release the permits of that time.
#[test]
fn a_process_that_was_paused_has_no_more_permits_than_one_lifetime_gives() {
    let mut share = RateShare::new(at(0), PerSecond::from(3.0), 0.0);
    let taken = (0..100).filter(|_| share.take(at(20_000))).count();
    assert_eq!(taken, 3);
    let mut slow = RateShare::new(at(0), PerSecond::from(0.1), 0.5);
    assert!(!slow.take(at(6_500)), "the permit of 5.0 s has expired");
    assert_eq!(slow.next_at(at(6_500)).map(|next| next.as_micros().div_ceil(1_000)), Some(15_000));
}

quickcheck! {
    /// Phases are assigned again and again, and rates change; the number of permits still follows the rates.
    fn changed_rates_and_phases_give_no_further_permits(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut share = RateShare::new(at(0), PerSecond::from(0.5), 0.9);
        let (mut now_ms, mut taken, mut allowed) = (0, 0.0, 1.0);
        let mut rate = 0.5;
        for (wait, new_rate, phase) in steps {
            let wait_ms = u64::from(wait) * 4;
            allowed += rate * wait_ms as f64 / 1_000.0;
            now_ms += wait_ms;
            while share.take(at(now_ms)) {
                taken += 1.0;
            }
            rate = f64::from(new_rate % 8) / 2.0;
            share.set_rate(at(now_ms), PerSecond::from(rate));
            let available = share.available(at(now_ms));
            share.align(at(now_ms), f64::from(phase) / 255.0);
            // A new phase gives no permit by itself, and brings the next one nearer by at most half of an interval.
            assert!(share.available(at(now_ms)) <= available);
            allowed += 0.5;
        }
        taken <= allowed
    }
}

/// Guards against load on a target in trouble that the limit is not counted for: probes, and calls that another
/// target could take.
#[test]
fn a_limited_target_is_not_probed_and_gets_only_what_no_other_can_take() {
    let now = at(30_000);
    let mut pool = pool(&[("limited", None), ("free", Some(reading(0, 1.0)))], now);
    pool.set_instances(at(0), Some(1));
    pool.record_rate_limit(at(0), &id("limited"), Some(per_s(2.0)), 1);
    assert_eq!(sent_to(&pool.choose_target(now, &FIRST_CHOICE)), Some("free"));
    let later = at(31_000);
    let Choice::Probe(probed) = pool.choose_target(later, &FIRST_CHOICE) else {
        panic!("the reading is old")
    };
    assert_eq!(probed.iter().map(|l| l.id.as_str()).collect::<Vec<_>>(), ["free"]);
    assert!(pool.start_probe(&id("limited")).is_none());
    let marker = pool.start_probe(&id("free")).expect("no probe is in flight");
    pool.finish_probe(later, &id("free"), marker, Some(reading(3, 1.0)));
    assert_eq!(sent_to(&pool.choose_target(later, &PROBED)), Some("limited"));
    assert_eq!(sent_to(&pool.choose_target(later, &PROBED)), Some("limited"), "two permits a second");
    assert_eq!(sent_to(&pool.choose_target(later, &PROBED)), None, "no third one");
}

/// Guards against calls that wait for their deadline although the limits of all targets are known to be used up.
#[test]
fn a_call_that_gets_no_permit_in_time_is_refused_at_once() {
    let now = at(1_000);
    let mut pool = limited_pool(&["a", "b"], 1.0, 20);
    for stage in [WaitStage::FastSlot, WaitStage::SpareSlot, WaitStage::Expired] {
        let request = ChoiceRequest { stage, give_up_at: at(1_200), ..FIRST_CHOICE };
        assert_eq!(pool.choose_target(now, &request), Choice::NoTarget, "{stage:?}");
    }
    let patient = ChoiceRequest { give_up_at: at(41_000), ..FIRST_CHOICE };
    assert!(matches!(pool.choose_target(now, &patient), Choice::Wait(_)));
    let behind_many = ChoiceRequest { calls_ahead: 10, ..patient };
    assert_eq!(
        pool.choose_target(now, &behind_many),
        Choice::NoTarget,
        "the calls ahead get the next permits"
    );
}

/// An instance that has just started does not know how many share the limit, so it can't know its share.
#[test]
fn without_the_number_of_instances_a_limited_target_gets_nothing() {
    let mut pool = limited_pool(&["limited"], 50.0, 1);
    pool.set_instances(at(0), None);
    assert_eq!(pool.choose_target(at(60_000), &PROBED), Choice::NoTarget);
    pool.set_instances(at(60_000), Some(10));
    assert_eq!(sent_to(&pool.choose_target(at(61_000), &PROBED)), Some("limited"));
}

/// A target that takes nothing at all would never be heard of again.
#[test]
fn a_limit_of_zero_leaves_a_request_now_and_then() {
    let sent_ms = sent_by_all(13, 0.0, 100_000);
    assert!((5..=11).contains(&sent_ms.len()), "{sent_ms:?}");
}

#[test]
fn the_end_of_a_limit_makes_the_target_like_any_other() {
    let mut pool = limited_pool(&["limited"], 1.0, 20);
    assert_eq!(sent_to(&pool.choose_target(at(10), &FIRST_CHOICE)), None);
    let change = pool.record_rate_limit(at(11), &id("limited"), None, 2).expect("a change");
    assert_eq!((change.limit, change.previous), (None, Some(per_s(1.0))));
    assert_eq!(sent_to(&pool.choose_target(at(11), &FIRST_CHOICE)), Some("limited"));
}

/// Statements come late and out of order from other instances, whose clocks can't be compared.
#[test]
fn the_statement_with_more_changes_wins_and_the_stricter_one_of_two_with_as_many() {
    let mut pool = limited_pool(&["limited"], 2.0, 4);
    let limit = |pool: &ProbedPool| pool.rate_limit(&id("limited")).map(f64::from);
    let merge = |pool: &mut ProbedPool, limit: Option<f64>, version: u64| {
        pool.merge_rate_limit(at(9_000), &statement(limit, version, None), 5);
    };
    merge(&mut pool, None, 1);
    assert_eq!(limit(&pool), Some(2.0), "as many changes, but less strict");
    merge(&mut pool, Some(1.0), 1);
    assert_eq!(limit(&pool), Some(1.0));
    merge(&mut pool, None, 2);
    assert_eq!(limit(&pool), None);
    merge(&mut pool, Some(0.5), 1);
    assert_eq!(limit(&pool), None, "it is older");
    // A response of its own counts more than all that was heard.
    pool.record_rate_limit(at(9_001), &id("limited"), Some(per_s(3.0)), 6);
    merge(&mut pool, None, 2);
    assert_eq!(limit(&pool), Some(3.0));
}

quickcheck! {
    /// Whatever responses instances get, and in whichever order they hear of each other, they agree once each has
    /// heard of all the others.
    fn instances_agree_once_they_have_heard_of_each_other(events: Vec<(u8, u8, u8)>) -> bool {
        const INSTANCES: usize = 4;
        let mut pools = (0..INSTANCES).map(|_| limited_pool(&["limited"], 1.0, 4)).collect::<Vec<_>>();
        let pass_on = |pools: &mut Vec<ProbedPool>, from: usize, to: usize| {
            let statements = pools[from].rate_limit_statements(at(1), 0, true, None);
            for statement in statements {
                pools[to].merge_rate_limit(at(1), &statement, 9);
            }
        };
        for (instance, other, limit) in events {
            let (instance, other) = (usize::from(instance) % INSTANCES, usize::from(other) % INSTANCES);
            if limit % 3 == 0 {
                pass_on(&mut pools, instance, other);
            } else {
                let limit = (limit % 5 > 0).then(|| per_s(f64::from(limit % 5)));
                pools[instance].record_rate_limit(at(1), &id("limited"), limit, 9);
            }
        }
        // Along a star and back.
        for _ in 0..2 {
            for other in 1..INSTANCES {
                pass_on(&mut pools, other, 0);
            }
            for other in 1..INSTANCES {
                pass_on(&mut pools, 0, other);
            }
        }
        let known = pools.iter().map(|pool| pool.rate_limit(&id("limited"))).collect::<Vec<_>>();
        known.iter().all(|limit| *limit == known[0])
    }
}

#[test]
fn a_statement_of_an_earlier_process_of_the_target_changes_nothing() {
    let mut pool = pool(&[("limited", Some(reading(0, 1.0)))], at(0));
    let earlier = RateLimitStatement { started_unix_ms: Some(0), ..statement(Some(1.0), 5, None) };
    assert_eq!(pool.merge_rate_limit(at(5), &earlier, 1), None);
    assert_eq!(pool.rate_limit(&id("limited")), None);
}

/// Refused callers are told to come back at the rate at which the limits let the service work, not the slots.
#[test]
fn refused_callers_come_back_at_the_rate_of_the_limits() {
    let pool = limited_pool(&["a", "b", "c"], 2.0, 3);
    assert!((f64::from(pool.capacity()) - 6.0).abs() < 1e-9, "{}", pool.capacity());
    let capacity = ServiceCapacity { rate: pool.capacity(), instances: 3 };
    let mut pacer = RetryAfterPacer::default();
    let first = pacer.next_retry_after(at(1_000), &capacity, 0);
    let second = pacer.next_retry_after(at(1_000), &capacity, 0);
    assert_eq!(first, Duration::from_millis(500));
    assert_eq!(second, Duration::from_secs(1));
}

/// Result of an emulation.
#[derive(Debug, Default)]
struct Outcome {
    calls: usize,
    served: usize,
    refused: usize,
    /// Longest time until a call was refused, in milliseconds.
    longest_refusal_ms: u64,
    /// Requests to each limited target, by the time at which they were sent in milliseconds.
    sent_to_limited: Vec<Vec<u64>>,
}

/// Emulates 13 instances that share 14 targets of three slots, of which the first `limited` take one request per
/// second. `calls_per_s` calls arrive, each takes 100 ms at a target, and gives up after 300 ms.
fn emulate(limited: usize, calls_per_s: u64) -> Outcome {
    const INSTANCES: usize = 13;
    const TARGETS: usize = 14;
    const STEP_MS: u64 = 5;
    let names = (0..TARGETS).map(|number| format!("t{number}")).collect::<Vec<_>>();
    let mut pools = (0..INSTANCES)
        .map(|instance| {
            let mut pool = pool(&names.iter().map(|name| (name.as_str(), None)).collect::<Vec<_>>(), at(0));
            pool.set_instances(at(0), Some(INSTANCES as u64));
            for (target, name) in names.iter().take(limited).enumerate() {
                let phase = Some((instance as f64 / INSTANCES as f64 + target as f64 * 0.37).fract());
                let limit = RateLimitStatement { target: id(name), ..statement(Some(1.0), 1, phase) };
                pool.merge_rate_limit(at(0), &limit, 1);
            }
            pool
        })
        .collect::<Vec<_>>();
    // Ends of the requests that each target processes, and the instances that sent them.
    let mut running = vec![Vec::<(u64, usize)>::new(); TARGETS];
    // Arrival, instance and probe rounds of the calls that wait.
    let mut waiting = Vec::<(u64, usize, u32)>::new();
    let mut outcome = Outcome { sent_to_limited: vec![Vec::new(); limited], ..Outcome::default() };
    for ms in (STEP_MS..30_000).step_by(STEP_MS as usize) {
        for (target, requests) in running.iter_mut().enumerate() {
            for (_, instance) in requests.extract_if(.., |(ends_ms, _)| *ends_ms <= ms) {
                pools[instance].record_end(at(ms), &id(&names[target]), HealthSignal::Answered);
            }
        }
        let arrived = (ms * calls_per_s / 1_000) as usize;
        while outcome.calls < arrived {
            waiting.push((ms, outcome.calls * 5 % INSTANCES, 0));
            outcome.calls += 1;
        }
        let mut ahead = [0; INSTANCES];
        for (arrived_ms, instance, probe_rounds) in std::mem::take(&mut waiting) {
            let give_up_ms = arrived_ms + 300;
            let stage = if ms < give_up_ms { WaitStage::FastSlot } else { WaitStage::Expired };
            let calls_ahead = ahead[instance];
            let give_up_at = at(give_up_ms);
            let request = ChoiceRequest { probe_rounds, stage, calls_ahead, give_up_at, ..FIRST_CHOICE };
            match pools[instance].choose_target(at(ms), &request) {
                Choice::Send(listing) => {
                    let target =
                        names.iter().position(|name| *name == listing.id.as_str()).expect("it exists");
                    running[target].push((ms + 100, instance));
                    outcome.served += 1;
                    if let Some(sent) = outcome.sent_to_limited.get_mut(target) {
                        sent.push(ms);
                    }
                }
                Choice::NoTarget => {
                    outcome.refused += 1;
                    outcome.longest_refusal_ms = outcome.longest_refusal_ms.max(ms - arrived_ms);
                }
                Choice::Wait(_) => {
                    ahead[instance] += 1;
                    waiting.push((arrived_ms, instance, probe_rounds));
                }
                Choice::Probe(listings) => {
                    for listing in listings {
                        let target = names.iter().position(|name| *name == listing.id.as_str());
                        let held = running[target.expect("it exists")].len() as u32;
                        let Some(marker) = pools[instance].start_probe(&listing.id) else { continue };
                        pools[instance].finish_probe(at(ms), &listing.id, marker, Some(reading(held, 1.0)));
                    }
                    ahead[instance] += 1;
                    waiting.push((arrived_ms, instance, probe_rounds + 1));
                }
            }
        }
    }
    outcome
}

/// The work of limited targets goes to the others while these have room.
#[test]
fn other_targets_take_the_work_of_limited_ones() {
    for limited in [0, 2, 6] {
        let outcome = emulate(limited, 100);
        assert!(outcome.refused * 100 <= outcome.calls, "{limited}: {outcome:?}");
        for sent_ms in &outcome.sent_to_limited {
            // One and a half times one request per second, and five more.
            assert!(most_in_a_window(sent_ms) <= 11, "{limited}: {sent_ms:?}");
        }
    }
}

/// Where all targets are limited, the service works at the rate of the limits, and refuses the rest at once.
#[test]
fn a_service_of_limited_targets_works_at_the_rate_of_the_limits() {
    let outcome = emulate(14, 100);
    let wanted = 14 * 30;
    assert!((wanted * 8 / 10..=wanted + 14).contains(&outcome.served), "{outcome:?}");
    assert!(outcome.served + outcome.refused + 50 >= outcome.calls, "{outcome:?}");
    // A call waits only for a permit that comes in time.
    assert!(outcome.longest_refusal_ms <= 300, "{outcome:?}");
    for sent_ms in &outcome.sent_to_limited {
        assert!(most_in_a_window(sent_ms) <= 11, "{sent_ms:?}");
    }
}

/// The entry of a live target may lapse in an outage of the store and come back.
#[test]
fn a_limit_outlasts_a_lapse_of_the_targets_entry_but_not_its_process() {
    let mut pool = limited_pool(&["limited"], 1.0, 1);
    let lapse = |pool: &mut ProbedPool, from_ms: u64, returned: &Listing| {
        pool.apply_change(at(from_ms), &DirectoryChange::Removed(id("limited")));
        pool.apply_change(at(from_ms + 2_000), &DirectoryChange::Added(returned.clone()));
        pool.rate_limit(&id("limited"))
    };
    let same_run = listing("limited");
    assert_eq!(lapse(&mut pool, 1_000, &same_run), Some(per_s(1.0)));
    let other_run = Listing { started_unix_ms: Some(2), ..listing("limited") };
    assert_eq!(lapse(&mut pool, 5_000, &other_run), None);
}
