//! Random schedules of plan submissions and faults on eighteen simulated instances.

mod schedules;

use arbutusshelf::units::InstanceId;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use schedules::{Cluster, DURATION_MS, Fault, INSTANCES};

/// Time range of the faults, in milliseconds. The first 5 s of a schedule are for the start and the last 15 s
/// for the recovery.
const FAULT_PERIOD_MS: std::ops::Range<u64> = 5_000..45_000;

/// Faults with the seed of the simulated network and store.
#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    /// Faults with their times in milliseconds, sorted by time.
    faults: Vec<(u64, Fault)>,
}

fn random_below(g: &mut Gen, bound: usize) -> usize {
    usize::arbitrary(g) % bound
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let faults = (0..4 + random_below(g, 24)).map(|_| (any_time(g), any_fault(g)));
        let mut faults = faults.collect::<Vec<_>>();
        faults.sort_by_key(|(at, _)| *at);
        Self { seed: u64::arbitrary(g), faults }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let schedule = self.clone();
        Box::new((0..self.faults.len()).map(move |skipped| {
            let mut shorter = schedule.clone();
            shorter.faults.remove(skipped);
            shorter
        }))
    }
}

fn any_time(g: &mut Gen) -> u64 {
    FAULT_PERIOD_MS.start + u64::arbitrary(g) % (FAULT_PERIOD_MS.end - FAULT_PERIOD_MS.start)
}

fn any_fault(g: &mut Gen) -> Fault {
    let node = random_below(g, INSTANCES);
    let for_ms = 200 + u64::arbitrary(g) % 25_000;
    match random_below(g, 16) {
        0..=4 => Fault::Submit { at: node, leave: None },
        5 => Fault::Submit { at: node, leave: Some(random_below(g, INSTANCES)) },
        6 | 7 => Fault::Kill { node, for_ms },
        8 | 9 => Fault::Pause { node, for_ms },
        10..=12 => {
            let count = 1 + random_below(g, 8);
            Fault::Partition {
                first: random_below(g, INSTANCES),
                count,
                with_store: bool::arbitrary(g),
                for_ms,
            }
        }
        13 => Fault::StoreDown { for_ms },
        14 => Fault::LoseReplies { for_ms },
        _ => Fault::StaleReads { for_ms },
    }
}

fn run(schedule: &Schedule) -> Cluster {
    let mut cluster = Cluster::new(schedule.seed);
    cluster.run(&schedule.faults, DURATION_MS);
    cluster
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes schedules by value")]
fn has_no_violation(schedule: Schedule) -> TestResult {
    match run(&schedule).violations.first() {
        None => TestResult::passed(),
        Some(violation) => TestResult::error(violation.as_str()),
    }
}

#[test]
fn plans_hold_over_random_schedules() {
    let rng = Gen::from_size_and_seed(100, 6);
    QuickCheck::new()
        .rng(rng)
        .tests(30)
        .max_tests(30)
        .quickcheck(has_no_violation as fn(Schedule) -> TestResult);
}

#[test]
fn a_minority_without_the_store_withdraws() {
    let cut = Fault::Partition { first: 0, count: 5, with_store: false, for_ms: 25_000 };
    let submit = Fault::Submit { at: 9, leave: None };
    let faults = vec![(5_000, submit.clone()), (10_000, cut), (12_000, submit)];
    let cluster = run(&Schedule { seed: 1, faults });
    assert_eq!(cluster.violations, Vec::<String>::new());
    assert_eq!(cluster.accepted, 2);
}

#[test]
fn a_paused_instance_wakes_without_serving_by_its_old_plan() {
    let submit = Fault::Submit { at: 9, leave: None };
    let pause = Fault::Pause { node: 3, for_ms: 20_000 };
    let down = Fault::StoreDown { for_ms: 20_000 };
    let faults = vec![(5_000, submit.clone()), (10_000, pause), (12_000, submit), (20_000, down)];
    let cluster = run(&Schedule { seed: 1, faults });
    assert_eq!(cluster.violations, Vec::<String>::new());
    assert_eq!(cluster.accepted, 2);
}

#[test]
fn a_long_loss_of_a_data_centre_heals_by_itself() {
    let (lost_at, for_ms) = (10_000, 600_000);
    let cut = Fault::Partition { first: 0, count: 6, with_store: false, for_ms };
    let submit = Fault::Submit { at: 9, leave: None };
    let mut faults = vec![(5_000, submit.clone()), (lost_at, cut)];
    faults.extend((1..10).map(|n| (lost_at + n * 60_000, submit.clone())));
    let mut cluster = Cluster::new(1);
    cluster.run(&faults, lost_at + for_ms - 1_000);
    assert_eq!(cluster.lagging().len(), 6, "the disconnected instances do not serve");
    cluster.run(&[], lost_at + for_ms + 5_000);
    assert_eq!(cluster.lagging(), Vec::<&InstanceId>::new(), "5 s after the partition has ended");
    assert_eq!((cluster.violations.len(), cluster.accepted), (0, 10), "{:?}", cluster.violations);
}

#[test]
fn the_schedules_accept_plans_and_see_leaves() {
    let mut g = Gen::from_size_and_seed(100, 7);
    let clusters = (0..6).map(|_| run(&Schedule::arbitrary(&mut g))).collect::<Vec<_>>();
    assert!(clusters.iter().map(|c| c.accepted).sum::<usize>() >= 6, "plans were accepted");
    assert!(clusters.iter().map(|c| c.confirmed_leaves).sum::<usize>() >= 1, "instances left by plan");
}
