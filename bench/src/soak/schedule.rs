//! Randomized schedule of a soak's disturbances, derived from the seed. Steps come in series, and may
//! overlap.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    caller_cuts::CallerCut,
    endless::EndlessPart,
    relay::LinkFault,
    rows::RowStoreFault,
    worker::{BodyEnd, StatedResponse, WorkerMode},
};

/// An operator action or an injected fault. Instances and workers are given by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Sends an instance SIGTERM, and starts it again once it has exited.
    Restart(usize),
    /// Kills an instance and starts it again.
    Kill(usize),
    /// Stops an instance's process with SIGSTOP, then continues it.
    Pause(usize),
    /// Sends an instance SIGHUP, so that it reloads its settings.
    Reload(usize),
    /// Injects a fault into the connections between an instance and the store.
    StoreLink(usize, LinkFault),
    /// Injects a fault into the connections between callers and an instance.
    CallerLink(usize, LinkFault),
    /// Injects a fault into the connections of other instances to one instance.
    PeerLink(usize, LinkFault),
    /// Injects a fault into the store.
    Store(RowStoreFault),
    /// Makes the store forget its change history, so that instances cannot resume reading changes where they
    /// stopped.
    ForgetHistory,
    /// Takes a copy of the store at the start of the step and puts it back at its end; what was written meanwhile
    /// is written again shortly after.
    RestoreStore,
    /// Makes a worker misbehave.
    Worker(usize, WorkerMode),
    /// Slows a worker down, which the worker reports.
    SlowWorker(usize),
    /// Makes a worker state a rate limit, in thousandths of a request per second from all instances together.
    LimitWorker(usize, u32),
    /// Adds a worker that sends bytes without end, and removes it.
    EndlessWorker(EndlessPart),
    /// Makes a caller send a request that ends each worker which executes it, again and again until the end of the
    /// soak.
    FatalRequest(FatalKind),
    /// Cuts instances off from all workers: the first one and how many from it on.
    CutFromWorkers(usize, usize, CallerCut),
    /// Drains a worker and removes it; another worker reuses its address.
    Drain(usize),
    /// Adds a route.
    AddRoute,
    /// Removes the oldest added route.
    RemoveRoute,
    /// Adds one route after the other in quick succession.
    RouteStorm,
    /// Adds many routes that nobody uses.
    GrowManifest,
    /// Writes a version that must not be used, and a valid one at the end of the step.
    InvalidManifest(ManifestFault),
    /// Kills all instances at once, this many milliseconds after a route was added.
    PowerLoss(u64),
}

/// Why a version of the manifest must not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ManifestFault {
    /// The text ends too soon.
    CutShort,
    /// A route has a prefix without its last slash.
    BarePrefix,
    /// A route leads to a service that is not there.
    UnknownService,
    /// A route allows no attempt.
    NoAttempts,
    /// The version is lower than that in force.
    OldVersion,
}

impl ManifestFault {
    /// All faults.
    pub const ALL: [Self; 5] =
        [Self::CutShort, Self::BarePrefix, Self::UnknownService, Self::NoAttempts, Self::OldVersion];
}

/// How a request that ends workers comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FatalKind {
    /// As a request that may be repeated.
    Read,
    /// As such a request, with another query each time.
    VaryingRead,
    /// As an at-most-once request.
    Charge,
}

/// One step of the schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Start, in milliseconds since the schedule began.
    pub at_ms: u64,
    /// Duration in milliseconds, ignored by actions without a duration.
    pub for_ms: u64,
    /// What the step does.
    pub action: Action,
}

/// Size of the deployment and length of the schedule.
#[derive(Debug, Clone, Copy)]
pub struct SoakSize {
    /// Number of instances.
    pub instances: usize,
    /// Number of workers.
    pub workers: usize,
    /// Time within which all steps start, in milliseconds.
    pub disturbed_ms: u64,
    /// Routes of the manifest besides those that are used; without any, changes of the manifest are small and single.
    pub routes: usize,
}

/// Mean time between the starts of two series, in milliseconds.
const SERIES_GAP_MS: u64 = 1_500;

/// Maximum number of steps in a series.
const MAX_STEPS_IN_SERIES: u64 = 4;

/// Range of a step's duration, in milliseconds.
const STEP_LENGTH_MS: std::ops::Range<u64> = 300..3_500;

/// Range of the time between the starts of two steps of a series, in milliseconds.
const STEP_GAP_MS: std::ops::Range<u64> = 0..700;

/// Mean time between two restores of the store from a copy, in milliseconds.
const RESTORE_GAP_MS: u64 = 8_000;

/// Number that is mixed into the seed of the restores.
const RESTORE_SEED: u64 = 0x5e57_03e0;

/// Mean time between two rate limits of workers, in milliseconds.
const LIMIT_GAP_MS: u64 = 4_000;

/// Range of the time for which a worker states a rate limit, in milliseconds: longer than the time after which the
/// limit holds.
const LIMIT_LENGTH_MS: std::ops::Range<u64> = 5_000..9_000;

/// Range of rate limits, in thousandths of a request per second.
const LIMIT_MILLIS_PER_S: std::ops::Range<u32> = 0..6_000;

/// Number that is mixed into the seed of the rate limits.
const LIMIT_SEED: u64 = 0x6c69_6d69;

/// Mean time between two workers that send bytes without end, in milliseconds.
const ENDLESS_GAP_MS: u64 = 7_000;

/// Number that is mixed into the seed of those workers.
const ENDLESS_SEED: u64 = 0xe4d1_e550;

/// Mean time between two workers that execute requests and respond with a wrong status, in milliseconds.
const RESPONSE_GAP_MS: u64 = 3_000;

/// Statuses of these responses. Some promise that the request was not executed, and some no final response has.
const RESPONSE_STATUSES: [u16; 8] = [0, 101, 408, 429, 500, 503, 600, 999];

/// Lengths of their bodies in bytes: one that a gateway buffers, and one that it passes on while it arrives.
const RESPONSE_BODY_BYTES: [usize; 2] = [12, 400_000];

/// Number that is mixed into the seed of these workers.
const RESPONSE_SEED: u64 = 0x5a75_0503;

/// Mean time between two requests that end workers, in milliseconds.
const FATAL_GAP_MS: u64 = 6_000;

/// Number that is mixed into the seed of those requests.
const FATAL_SEED: u64 = 0xfa7a_1000;

/// Mean time between two cuts of instances from all workers, in milliseconds.
const CUT_GAP_MS: u64 = 12_000;

/// Range of the time for which they are cut off, in milliseconds: longer than the time from which on it counts.
const CUT_LENGTH_MS: std::ops::Range<u64> = 4_000..9_000;

/// Number that is mixed into the seed of these cuts.
const CUT_SEED: u64 = 0xc07_0ff;

/// Mean time between two changes of a manifest of real size, in milliseconds.
const MANIFEST_GAP_MS: u64 = 5_000;

/// Number that is mixed into the seed of these changes.
const MANIFEST_SEED: u64 = 0x3a91_fe57;

/// Range of the time between a change and a power loss, in milliseconds.
const POWER_LOSS_DELAY_MS: std::ops::Range<u64> = 5..400;

/// Generates the schedule of a seed, sorted by start.
pub fn generate_schedule(seed: u64, size: &SoakSize) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut series_start_ms = 1_000;
    while series_start_ms < size.disturbed_ms {
        let mut at_ms = series_start_ms;
        // A series repeats one action on consecutive instances or workers, as in a rolling restart, or mixes
        // actions.
        let repeats_one_action = rng.random_bool(0.4);
        let first = random_action(&mut rng, size);
        for number in 0..rng.random_range(1..=MAX_STEPS_IN_SERIES) {
            let action = if number == 0 || repeats_one_action {
                for_next_in_series(first, number, size)
            } else {
                random_action(&mut rng, size)
            };
            steps.push(Step { at_ms, for_ms: rng.random_range(STEP_LENGTH_MS), action });
            at_ms += rng.random_range(STEP_GAP_MS);
        }
        series_start_ms += rng.random_range(SERIES_GAP_MS / 2..SERIES_GAP_MS * 3 / 2);
    }
    steps.extend(regular_steps(seed ^ RESTORE_SEED, RESTORE_GAP_MS, STEP_LENGTH_MS, size, |_| {
        Action::RestoreStore
    }));
    steps.extend(regular_steps(seed ^ LIMIT_SEED, LIMIT_GAP_MS, LIMIT_LENGTH_MS, size, |rng| {
        let worker = rng.random_range(0..size.workers);
        Action::LimitWorker(worker, rng.random_range(LIMIT_MILLIS_PER_S))
    }));
    steps.extend(regular_steps(seed ^ ENDLESS_SEED, ENDLESS_GAP_MS, STEP_LENGTH_MS, size, |rng| {
        Action::EndlessWorker(EndlessPart::ALL[rng.random_range(0..EndlessPart::ALL.len())])
    }));
    steps.extend(regular_steps(seed ^ RESPONSE_SEED, RESPONSE_GAP_MS, STEP_LENGTH_MS, size, |rng| {
        let worker = rng.random_range(0..size.workers);
        Action::Worker(worker, WorkerMode::Respond(random_response(rng)))
    }));
    steps.extend(regular_steps(seed ^ FATAL_SEED, FATAL_GAP_MS, STEP_LENGTH_MS, size, |rng| {
        let kinds = [FatalKind::Read, FatalKind::VaryingRead, FatalKind::Charge];
        Action::FatalRequest(kinds[rng.random_range(0..kinds.len())])
    }));
    steps.extend(regular_steps(seed ^ CUT_SEED, CUT_GAP_MS, CUT_LENGTH_MS, size, |rng| {
        let cuts = [CallerCut::Silent, CallerCut::Reset, CallerCut::ResetNew];
        let (first, count) = (rng.random_range(0..size.instances), rng.random_range(1..=size.instances));
        Action::CutFromWorkers(first, count, cuts[rng.random_range(0..cuts.len())])
    }));
    if size.routes > 0 {
        steps.extend(regular_steps(
            seed ^ MANIFEST_SEED,
            MANIFEST_GAP_MS,
            STEP_LENGTH_MS,
            size,
            manifest_action,
        ));
    }
    steps.retain(|step| step.at_ms < size.disturbed_ms);
    steps.sort_by_key(|step| step.at_ms);
    steps
}

/// Generates steps of one kind at random distances, with a generator of their own, so that the other steps of a seed
/// don't depend on them.
fn regular_steps(
    seed: u64,
    mean_gap_ms: u64,
    length_ms: std::ops::Range<u64>,
    size: &SoakSize,
    mut action: impl FnMut(&mut SmallRng) -> Action,
) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at_ms = rng.random_range(0..mean_gap_ms);
    while at_ms < size.disturbed_ms {
        let for_ms = rng.random_range(length_ms.clone());
        steps.push(Step { at_ms, for_ms, action: action(&mut rng) });
        at_ms += rng.random_range(mean_gap_ms / 2..mean_gap_ms * 3 / 2);
    }
    steps
}

fn manifest_action(rng: &mut SmallRng) -> Action {
    match rng.random_range(0..8) {
        0 | 1 => Action::RouteStorm,
        2 => Action::GrowManifest,
        3 => Action::PowerLoss(rng.random_range(POWER_LOSS_DELAY_MS)),
        _ => Action::InvalidManifest(ManifestFault::ALL[rng.random_range(0..ManifestFault::ALL.len())]),
    }
}

/// Returns the action applied to the instance or worker that is `number` places after that of `action`.
fn for_next_in_series(action: Action, number: u64, size: &SoakSize) -> Action {
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

fn random_action(rng: &mut SmallRng, size: &SoakSize) -> Action {
    let instance = rng.random_range(0..size.instances);
    let worker = rng.random_range(0..size.workers);
    match rng.random_range(0..22) {
        0 | 1 => Action::Restart(instance),
        2 => Action::Kill(instance),
        3 => Action::Pause(instance),
        4 => Action::Reload(instance),
        5 | 6 => Action::StoreLink(instance, random_link_fault(rng)),
        7 => Action::CallerLink(instance, random_link_fault(rng)),
        // Only the first three instances are seeds, to which others connect through relays.
        8 | 9 => Action::PeerLink(instance.min(2), random_link_fault(rng)),
        10 | 11 => Action::Store(random_store_fault(rng)),
        12 => Action::ForgetHistory,
        13..=15 => Action::Worker(worker, random_worker_mode(rng)),
        16 => Action::SlowWorker(worker),
        17 | 18 => Action::Drain(worker),
        19 | 20 => Action::AddRoute,
        _ => Action::RemoveRoute,
    }
}

fn random_link_fault(rng: &mut SmallRng) -> LinkFault {
    use LinkFault::{Blackhole, BlackholeToCaller, BlackholeToTarget, Delayed, Down, Reset};
    let faults = [Delayed, Down, Reset, Blackhole, BlackholeToCaller, BlackholeToTarget];
    faults[rng.random_range(0..faults.len())]
}

fn random_store_fault(rng: &mut SmallRng) -> RowStoreFault {
    let faults = [RowStoreFault::Down, RowStoreFault::Throttled, RowStoreFault::InvalidJson];
    faults[rng.random_range(0..faults.len())]
}

fn random_response(rng: &mut SmallRng) -> StatedResponse {
    let ends = [BodyEnd::Length, BodyEnd::Chunks, BodyEnd::Close];
    StatedResponse {
        status: RESPONSE_STATUSES[rng.random_range(0..RESPONSE_STATUSES.len())],
        has_seal: rng.random_bool(0.5),
        body_bytes: RESPONSE_BODY_BYTES[rng.random_range(0..RESPONSE_BODY_BYTES.len())],
        end: ends[rng.random_range(0..ends.len())],
    }
}

fn random_worker_mode(rng: &mut SmallRng) -> WorkerMode {
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
