//! Disturbances of a soak, drawn from its seed; they come in series and overlap.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{relay::LinkFault, rows::RowStoreFault, worker::WorkerMode};

/// What is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// An instance is told to leave, and started again once it is gone.
    Restart(usize),
    /// An instance is killed and started again.
    Kill(usize),
    /// An instance is paused.
    Pause(usize),
    /// An instance is told that its settings changed.
    Reload(usize),
    /// The link between an instance and the store.
    StoreLink(usize, LinkFault),
    /// The link between callers and an instance.
    CallerLink(usize, LinkFault),
    /// The links of other instances to one.
    PeerLink(usize, LinkFault),
    /// The store.
    Store(RowStoreFault),
    /// The store forgets its history.
    ForgetHistory,
    /// What a worker does.
    Worker(usize, WorkerMode),
    /// A worker tells that its machine is slow, and is.
    SlowWorker(usize),
    /// A worker drains and leaves; another one takes its address.
    Drain(usize),
    /// The operator adds a route.
    AddRoute,
    /// The operator removes the oldest route that was added.
    RemoveRoute,
}

/// One step of the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts; what has no length ends at once.
    pub for_ms: u64,
    /// What is done.
    pub action: Action,
}

/// How large a soak is.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Instances.
    pub instances: usize,
    /// Workers.
    pub workers: usize,
    /// Time in which disturbances begin, in milliseconds.
    pub trouble_ms: u64,
}

/// Mean time between two series, in milliseconds.
const SERIES_GAP_MS: u64 = 1_500;

/// Most steps of a series.
const MOST_IN_SERIES: u64 = 4;

/// Range of a step's length, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 300..3_500;

/// Time between steps of a series, in milliseconds.
const STEP_GAP_MS: std::ops::Range<u64> = 0..700;

/// Draws the plan of a seed, in order of time.
pub fn draw(seed: u64, size: &Size) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut series_ms = 1_000;
    while series_ms < size.trouble_ms {
        let mut at_ms = series_ms;
        // A series is of one kind, as in a rolling restart, or mixed.
        let is_one_kind = rng.random_bool(0.4);
        let first = action(&mut rng, size);
        for number in 0..rng.random_range(1..=MOST_IN_SERIES) {
            let action = if number == 0 || is_one_kind {
                elsewhere(first, number, size)
            } else {
                action(&mut rng, size)
            };
            steps.push(Step { at_ms, for_ms: rng.random_range(LENGTH_MS), action });
            at_ms += rng.random_range(STEP_GAP_MS);
        }
        series_ms += rng.random_range(SERIES_GAP_MS / 2..SERIES_GAP_MS * 3 / 2);
    }
    steps.retain(|step| step.at_ms < size.trouble_ms);
    steps.sort_by_key(|step| step.at_ms);
    steps
}

/// Moves an action to the next instance or worker of a series.
fn elsewhere(action: Action, number: u64, size: &Size) -> Action {
    let next = |i: usize| (i + number as usize) % size.instances;
    match action {
        Action::Restart(i) => Action::Restart(next(i)),
        Action::Kill(i) => Action::Kill(next(i)),
        Action::Pause(i) => Action::Pause(next(i)),
        Action::Reload(i) => Action::Reload(next(i)),
        Action::StoreLink(i, fault) => Action::StoreLink(next(i), fault),
        Action::CallerLink(i, fault) => Action::CallerLink(next(i), fault),
        Action::PeerLink(i, fault) => Action::PeerLink(next(i), fault),
        Action::Worker(w, mode) => Action::Worker((w + number as usize) % size.workers, mode),
        Action::SlowWorker(w) => Action::SlowWorker((w + number as usize) % size.workers),
        Action::Drain(w) => Action::Drain((w + number as usize) % size.workers),
        other => other,
    }
}

fn action(rng: &mut SmallRng, size: &Size) -> Action {
    let instance = rng.random_range(0..size.instances);
    let worker = rng.random_range(0..size.workers);
    match rng.random_range(0..22) {
        0 | 1 => Action::Restart(instance),
        2 => Action::Kill(instance),
        3 => Action::Pause(instance),
        4 => Action::Reload(instance),
        5 | 6 => Action::StoreLink(instance, link_fault(rng)),
        7 => Action::CallerLink(instance, link_fault(rng)),
        8 | 9 => Action::PeerLink(instance.min(2), link_fault(rng)),
        10 | 11 => Action::Store(store_fault(rng)),
        12 => Action::ForgetHistory,
        13..=15 => Action::Worker(worker, worker_mode(rng)),
        16 => Action::SlowWorker(worker),
        17 | 18 => Action::Drain(worker),
        19 | 20 => Action::AddRoute,
        _ => Action::RemoveRoute,
    }
}

fn link_fault(rng: &mut SmallRng) -> LinkFault {
    use LinkFault::{Blackhole, BlackholeToCaller, BlackholeToTarget, Delayed, Down, Reset};
    let faults = [Delayed, Down, Reset, Blackhole, BlackholeToCaller, BlackholeToTarget];
    faults[rng.random_range(0..faults.len())]
}

fn store_fault(rng: &mut SmallRng) -> RowStoreFault {
    let faults = [RowStoreFault::Down, RowStoreFault::Throttled, RowStoreFault::InvalidJson];
    faults[rng.random_range(0..faults.len())]
}

fn worker_mode(rng: &mut SmallRng) -> WorkerMode {
    use WorkerMode::{
        CloseDelimited, DuplicateResponse, Fail, Misdirected, MissingSeal, NoResponse, ResetConnection, Shed,
        Truncate,
    };
    let modes = [
        Shed,
        Fail,
        ResetConnection,
        NoResponse,
        Truncate,
        MissingSeal,
        DuplicateResponse,
        CloseDelimited,
        Misdirected,
    ];
    modes[rng.random_range(0..modes.len())]
}
