//! Traffic between data centres is paid for: calls stay near while a target there can take them.

mod pool_env;

use arbutusshelf::decide::{directory::Listing, probed_pool::Choice, probed_target::LoadReading};
use pool_env::{FIRST_CHOICE, at, listing, pool_of, reading, sent_to};

fn targets(near: Option<LoadReading>, remote: Option<LoadReading>) -> Vec<(Listing, Option<LoadReading>)> {
    let target = |number: u32| {
        let is_near = number < 4;
        let data_centre = if is_near { "ost-a" } else { "ost-b" }.parse().expect("a name");
        (Listing { data_centre, ..listing(&format!("t{number}")) }, if is_near { near } else { remote })
    };
    (0..8).map(target).collect()
}

fn is_near(id: &str) -> bool {
    id < "t4"
}

#[test]
fn near_targets_are_probed_before_remote_ones() {
    let mut pool = pool_of(&targets(None, None), at(0));
    for round in 0..50 {
        let now = at(1_000 + round * 500);
        let Choice::Probe(probed) = pool.choose_target(now, &FIRST_CHOICE) else {
            panic!("no reading is fresh")
        };
        assert!(probed.iter().all(|target| is_near(target.id.as_str())), "{probed:?}");
        for target in probed {
            let marker = pool.start_probe(&target.id).expect("no probe is in flight");
            pool.finish_probe(now, &target.id, marker, Some(reading(0, 1.0)));
        }
    }
}

#[test]
fn an_idle_remote_target_is_not_preferred_to_a_near_one_with_a_free_slot() {
    let now = at(1_000);
    let mut pool = pool_of(&targets(Some(reading(2, 1.0)), Some(reading(0, 1.0))), now);
    let choice = pool.choose_target(now, &FIRST_CHOICE);
    assert!(sent_to(&choice).is_some_and(is_near), "{choice:?}");
}

#[test]
fn a_remote_target_takes_calls_while_all_near_ones_are_full_or_slow() {
    let now = at(1_000);
    for near in [reading(3, 1.0), reading(0, 7.0)] {
        let mut pool = pool_of(&targets(Some(near), Some(reading(0, 1.0))), now);
        let choice = pool.choose_target(now, &FIRST_CHOICE);
        assert!(sent_to(&choice).is_some_and(|id| !is_near(id)), "{choice:?}");
    }
}
