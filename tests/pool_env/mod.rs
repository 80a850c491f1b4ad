//! Pools of targets with given load readings, for tests of the choice without a network.

#![allow(dead_code, clippy::allow_attributes, reason = "each test file uses its own part of the helpers")]

use std::time::Duration;

use arbutusshelf::{
    decide::{
        directory::{DirectoryChange, Listing},
        probed_pool::{Choice, ChoiceRequest, ProbedPool},
        probed_target::LoadReading,
        wait_stage::WaitStage,
    },
    units::{MonoTime, TargetId},
};
use rand::{SeedableRng, rngs::SmallRng};

/// Returns a time in milliseconds.
pub fn at(ms: u64) -> MonoTime {
    MonoTime::from(ms * 1_000)
}

/// Returns the entry of a ready target with three slots in the data centre `ost-a`.
pub fn listing(id: &str) -> Listing {
    Listing {
        id: id.parse().expect("a name"),
        service: "plan".parse().expect("a name"),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "ost-a".parse().expect("a name"),
        slots: 3,
        draining: false,
        warm_up: Duration::ZERO,
        started_unix_ms: Some(1),
        sequence: 1,
    }
}

/// Returns the reading of a target with three slots.
pub fn reading(running: u32, slowdown: f64) -> LoadReading {
    LoadReading { running, waiting: 0, slots: 3, slowdown }
}

/// Returns a pool of an instance in `ost-a` with these targets, and readings taken at `now`.
pub fn pool(targets: &[(&str, Option<LoadReading>)], now: MonoTime) -> ProbedPool {
    let listings = targets.iter().map(|(id, reading)| (listing(id), *reading)).collect::<Vec<_>>();
    pool_of(&listings, now)
}

/// Returns a pool of an instance in `ost-a` with the listed targets, and readings taken at `now`.
pub fn pool_of(targets: &[(Listing, Option<LoadReading>)], now: MonoTime) -> ProbedPool {
    let mut pool = ProbedPool::new("ost-a".parse().expect("a name"), SmallRng::seed_from_u64(7));
    for (listing, reading) in targets {
        pool.apply_change(now, &DirectoryChange::Added(listing.clone()));
        if let Some(reading) = reading {
            pool.record_reading(now, &listing.id, *reading);
        }
    }
    pool
}

/// Returns the target to which a choice sends, if it does.
pub fn sent_to(choice: &Choice) -> Option<&str> {
    match choice {
        Choice::Send(listing) => Some(listing.id.as_str()),
        Choice::Probe(_) | Choice::Wait(_) | Choice::NoTarget => None,
    }
}

/// Returns the identifier of a target.
pub fn id(text: &str) -> TargetId {
    text.parse().expect("a name")
}

/// A call that has just begun to choose, with no other one ahead of it.
pub const FIRST_CHOICE: ChoiceRequest<'static> = ChoiceRequest {
    excluded: &[],
    probe_rounds: 0,
    stage: WaitStage::FastSlot,
    calls_ahead: 0,
    give_up_at: MonoTime::MAX,
};
