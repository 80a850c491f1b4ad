//! Tests of the candidates among which the plan-driven pool chooses.

use std::collections::BTreeSet;

use arbutusshelf::decide::{TargetIndex, choice};
use rand::{SeedableRng, rngs::SmallRng};

const SEEDS: u64 = 200;

/// Most candidates that are drawn for one call.
const MAX_CANDIDATES: usize = 6;

/// Guards against a candidate that is drawn twice, which leaves fewer to compare, or just one.
#[test]
fn candidates_of_one_call_are_all_different() {
    let all = (0..24).map(TargetIndex).collect::<Vec<_>>();
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        for list in (0..=all.len()).map(|len| &all[..len]) {
            for count in 1..=MAX_CANDIDATES {
                let drawn = choice::draw(list, count, &mut rng).map(|t| t.0).collect::<BTreeSet<_>>();
                assert_eq!(drawn.len(), count.min(list.len()), "seed {seed}, {} of {count}", list.len());
            }
        }
    }
}

/// Guards against targets that are drawn more often than others.
#[test]
fn each_target_is_drawn_as_often_as_any_other() {
    let all = (0..10).map(TargetIndex).collect::<Vec<_>>();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut times = [0_u32; 10];
    for _ in 0..10_000 {
        choice::draw(&all, 4, &mut rng).for_each(|target| times[target.0] += 1);
    }
    // 4,000 expected, with a standard deviation of 49.
    assert!(times.iter().all(|n| (3_700..=4_300).contains(n)), "{times:?}");
}
