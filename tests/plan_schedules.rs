//! Random schedules of submits and faults on eighteen instances in virtual time.

mod schedules;

use arbutusshelf::units::InstanceId;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use schedules::{Cluster, Fault, INSTANCES, LENGTH_MS};

/// Faults come from the 5th second on, and the last 15 s of a schedule are quiet.
const FAULTS_MS: std::ops::Range<u64> = 5_000..45_000;

/// A schedule with the seed of its network and store.
#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    faults: Vec<(u64, Fault)>,
}

fn within(g: &mut Gen, bound: usize) -> usize {
    usize::arbitrary(g) % bound
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let faults = (0..4 + within(g, 24)).map(|_| (any_time(g), any_fault(g)));
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
    FAULTS_MS.start + u64::arbitrary(g) % (FAULTS_MS.end - FAULTS_MS.start)
}

fn any_fault(g: &mut Gen) -> Fault {
    let who = within(g, INSTANCES);
    let for_ms = 200 + u64::arbitrary(g) % 25_000;
    match within(g, 16) {
        0..=4 => Fault::Submit { at: who, leave: None },
        5 => Fault::Submit { at: who, leave: Some(within(g, INSTANCES)) },
        6 | 7 => Fault::Kill { who, for_ms },
        8 | 9 => Fault::Pause { who, for_ms },
        10..=12 => {
            let count = 1 + within(g, 8);
            Fault::Partition { first: within(g, INSTANCES), count, with_store: bool::arbitrary(g), for_ms }
        }
        13 => Fault::StoreDown { for_ms },
        14 => Fault::LoseReplies { for_ms },
        _ => Fault::StaleReads { for_ms },
    }
}

fn run(schedule: &Schedule) -> Cluster {
    let mut cluster = Cluster::new(schedule.seed);
    cluster.run(&schedule.faults, LENGTH_MS);
    cluster
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes schedules by value")]
fn holds(schedule: Schedule) -> TestResult {
    match run(&schedule).broken.first() {
        None => TestResult::passed(),
        Some(broken) => TestResult::error(broken.as_str()),
    }
}

#[test]
fn plans_hold_over_random_schedules() {
    let rng = Gen::from_size_and_seed(100, 6);
    QuickCheck::new().rng(rng).tests(30).max_tests(30).quickcheck(holds as fn(Schedule) -> TestResult);
}

#[test]
fn a_minority_without_the_store_withdraws() {
    let cut = Fault::Partition { first: 0, count: 5, with_store: false, for_ms: 25_000 };
    let submit = Fault::Submit { at: 9, leave: None };
    let faults = vec![(5_000, submit.clone()), (10_000, cut), (12_000, submit)];
    let cluster = run(&Schedule { seed: 1, faults });
    assert_eq!(cluster.broken, Vec::<String>::new());
    assert_eq!(cluster.accepted, 2);
}

#[test]
fn a_paused_instance_wakes_without_serving_by_its_old_plan() {
    let submit = Fault::Submit { at: 9, leave: None };
    let pause = Fault::Pause { who: 3, for_ms: 20_000 };
    let down = Fault::StoreDown { for_ms: 20_000 };
    let faults = vec![(5_000, submit.clone()), (10_000, pause), (12_000, submit), (20_000, down)];
    let cluster = run(&Schedule { seed: 1, faults });
    assert_eq!(cluster.broken, Vec::<String>::new());
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
    assert_eq!(cluster.lagging().len(), 6, "the lost ones have withdrawn");
    cluster.run(&[], lost_at + for_ms + 5_000);
    assert_eq!(cluster.lagging(), Vec::<&InstanceId>::new(), "5 s after the links are back");
    assert_eq!((cluster.broken.len(), cluster.accepted), (0, 10), "{:?}", cluster.broken);
}

#[test]
fn the_schedules_accept_plans_and_see_leaves() {
    let mut g = Gen::from_size_and_seed(100, 7);
    let clusters = (0..6).map(|_| run(&Schedule::arbitrary(&mut g))).collect::<Vec<_>>();
    assert!(clusters.iter().map(|c| c.accepted).sum::<usize>() >= 6, "plans were accepted");
    assert!(clusters.iter().map(|c| c.left).sum::<usize>() >= 1, "instances left by plan");
}
