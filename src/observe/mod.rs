//! Seeing what the instance does: counts, roll-ups, metrics and the burn report.

pub mod calls;
pub mod choices;
pub mod counts;
pub mod coverage;
pub mod merge;
pub mod metrics;
pub mod recorder;
pub mod report;
pub mod request_id;
pub mod roll_up_reader;
pub mod rollup;
pub mod series;
pub mod snapshot;
pub mod store_calls;
pub mod svg;
pub mod table;
pub mod tally;
pub mod window;

use std::{
    mem,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{
    task::spawn_blocking,
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};

use self::{
    choices::CallerRequestIds,
    metrics::Metrics,
    recorder::RollUpRecorder,
    report::{Report, ReportInput},
    roll_up_reader::ObjectCache,
    rollup::{Annotation, AnnotationKind, ControlCost, RunKey, UnixMinute},
    store_calls::StoreCallMetrics,
};
use crate::{
    error::{Error, ErrorKind, Result},
    kernel::Kernel,
    logging,
    plan::{IntendedAction, Plan},
    store::{ObjectCondition, WriteResult, rate_limit::Purpose},
    units::PlanVersion,
};

/// Time between two drains of the ends of calls; a call may be counted this much late.
const COUNT_PERIOD: Duration = Duration::from_millis(500);

/// Pause between two looks for objects to write.
const UPLOAD_PERIOD: Duration = Duration::from_secs(1);

/// Time that an instance that left spends on writing its last roll-ups.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// Marks that wait for the next drain; further ones are dropped.
const MAX_WAITING_ANNOTATIONS: usize = 64;

#[derive(Debug)]
struct State {
    roll_ups: RollUpRecorder,
    /// Plan whose arrival and intentions have been marked.
    plan: Arc<Plan>,
    plan_since: Instant,
    /// Point up to which intentions have been marked.
    annotated_until_s: u64,
    leaving_annotated: bool,
    /// Log lines and ends that were counted as lost so far.
    lost_before: u64,
    dropped_before: u64,
}

/// What this instance sees of itself.
///
/// Its locks are taken last, after any other, and never two at once.
#[derive(Debug)]
pub struct Observer {
    /// Metrics.
    pub metrics: Metrics,
    /// Identifiers that callers gave to calls.
    pub caller_request_ids: CallerRequestIds,
    store_calls: Arc<StoreCallMetrics>,
    store_reachable: AtomicBool,
    /// Marks of other parts since the last drain; at most [`MAX_WAITING_ANNOTATIONS`].
    waiting_annotations: Mutex<Vec<Annotation>>,
    state: Mutex<State>,
    /// Held while a report is made: one at a time keeps to the share of reads.
    reporting: tokio::sync::Mutex<ObjectCache>,
}

impl Observer {
    /// Starts with nothing seen.
    pub fn new(run: RunKey, store_calls: Arc<StoreCallMetrics>) -> Self {
        let state = State {
            roll_ups: RollUpRecorder::new(run),
            plan: Arc::default(),
            plan_since: Instant::now(),
            annotated_until_s: 0,
            leaving_annotated: false,
            lost_before: 0,
            dropped_before: 0,
        };
        Self {
            metrics: Metrics::new(&store_calls),
            caller_request_ids: CallerRequestIds::default(),
            store_calls,
            store_reachable: AtomicBool::new(true),
            waiting_annotations: Mutex::default(),
            state: Mutex::new(state),
            reporting: tokio::sync::Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes whether the platform's store answered; a change is marked in the report.
    pub fn set_store_reachable(&self, reachable: bool) {
        if self.store_reachable.swap(reachable, Ordering::AcqRel) != reachable {
            let kind = if reachable { AnnotationKind::StoreBack } else { AnnotationKind::StoreLost };
            log::warn!("event=store-reachable reachable={reachable}");
            self.annotate(kind, String::new());
        }
    }

    /// Marks that something happened now.
    pub fn annotate(&self, kind: AnnotationKind, subject: String) {
        let mut annotations = self.waiting_annotations.lock().unwrap_or_else(PoisonError::into_inner);
        if annotations.len() < MAX_WAITING_ANNOTATIONS {
            annotations.push(Annotation { unix_s: unix_s(), kind, subject });
        }
    }

    fn cost(&self) -> ControlCost {
        ControlCost {
            probes: self.metrics.probes.get(),
            control_bytes: self.metrics.control_bytes.get(),
            store_reads: self.store_calls.reads(),
            store_writes: self.store_calls.writes(),
        }
    }

    fn take_annotations(&self) -> Vec<Annotation> {
        mem::take(&mut *self.waiting_annotations.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Counts what has ended since the last time.
pub fn count_completed_calls(kernel: &Kernel) {
    let observer = &kernel.observer;
    let now_s = unix_s();
    let plan = kernel.plan.current();
    let ends = kernel.tally.drain();
    let annotations = observer.take_annotations();
    observer.metrics.count(&ends);
    let mut state = observer.state();
    state.roll_ups.advance(now_s, &plan, observer.cost());
    state.roll_ups.count_calls(&ends);
    for annotation in annotations {
        state.roll_ups.annotate(annotation.unix_s, annotation.kind, annotation.subject);
    }
    annotate_plan(&mut state, kernel, &plan, now_s);
    if kernel.is_leaving() && !mem::replace(&mut state.leaving_annotated, true) {
        state.roll_ups.annotate(now_s, AnnotationKind::Leaving, kernel.config.instance.to_string());
    }
    count_losses(&mut state, kernel);
}

fn count_losses(state: &mut State, kernel: &Kernel) {
    let metrics = &kernel.observer.metrics;
    let lost = kernel.tally.dropped();
    metrics.calls_uncounted.inc_by(lost - state.lost_before);
    state.lost_before = lost;
    let dropped = state.roll_ups.dropped_minutes();
    metrics.rollup_dropped.inc_by(dropped - state.dropped_before);
    state.dropped_before = dropped;
    metrics.log_lines_dropped.inc_by(logging::take_dropped());
}

/// Marks a new plan, and the drains and returns whose time has come since the last look.
fn annotate_plan(state: &mut State, kernel: &Kernel, plan: &Arc<Plan>, now_s: u64) {
    let from_s = if state.plan.version == plan.version { state.annotated_until_s } else { 0 };
    if state.plan.version != plan.version {
        if state.plan.version == PlanVersion::default() {
            state.roll_ups.annotate(now_s, AnnotationKind::Started, kernel.config.instance.to_string());
        }
        state.roll_ups.annotate(now_s, AnnotationKind::PlanInForce, plan.version.to_string());
        kernel.observer.metrics.retain_services_of(plan);
        state.plan_since = Instant::now();
    }
    let known = Arc::clone(&state.plan);
    for intention in &plan.intentions {
        let due = intention.at_unix_s <= now_s && (from_s == 0 || intention.at_unix_s > from_s);
        let new = due && (from_s > 0 || !known.intentions.contains(intention));
        let (IntendedAction::Drain(target) | IntendedAction::Return(target)) = &intention.action else {
            continue;
        };
        if new {
            let at_s = if intention.at_unix_s == 0 { now_s } else { intention.at_unix_s };
            state.roll_ups.annotate(at_s, AnnotationKind::Drain, target.to_string());
        }
    }
    state.plan = Arc::clone(plan);
    state.annotated_until_s = now_s.max(1);
}

/// Counts periodically; runs until dropped.
pub async fn run_counting(kernel: Arc<Kernel>) {
    let mut period = interval(COUNT_PERIOD);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        count_completed_calls(&kernel);
        logging::report_dropped();
    }
}

/// Writes roll-ups to the object store as they are due; runs until dropped.
pub async fn run_uploads(kernel: Arc<Kernel>) {
    loop {
        sleep(UPLOAD_PERIOD).await;
        upload_one(&kernel, unix_s()).await;
    }
}

/// Writes one object if one is due at `at_s`; returns whether the store has it now.
async fn upload_one(kernel: &Kernel, at_s: u64) -> bool {
    let upload = kernel.observer.state().roll_ups.next_upload(at_s);
    let Some(upload) = upload else { return false };
    let write = (upload.name.clone(), upload.content.clone(), ObjectCondition::Absent);
    let result = (kernel.store.for_purpose(Purpose::Report).put_object)(write).await;
    let budgets = &kernel.plan.current().budgets;
    let writes_per_s = f64::from(budgets.store_writes_per_s) / f64::from(budgets.max_instances);
    kernel.observer.state().roll_ups.record_upload(&upload, &result, at_s, writes_per_s);
    matches!(result, WriteResult::TookEffect(_) | WriteResult::Conflict(_))
}

/// Closes the run's roll-ups and writes what the store takes within a bounded time.
pub async fn flush_roll_ups(kernel: &Kernel) {
    count_completed_calls(kernel);
    kernel.observer.state().roll_ups.finish(&kernel.plan.current(), kernel.observer.cost());
    let write_all = async {
        // The pace is for steady writing; the few last objects go at once, and failures are not tried again.
        let mut taken = true;
        while taken {
            kernel.observer.state().roll_ups.make_next_upload_due();
            taken = upload_one(kernel, unix_s()).await;
        }
    };
    if timeout(FLUSH_TIMEOUT, write_all).await.is_err() {
        log::warn!("event=roll-ups-not-written");
    }
}

/// Makes the burn report from the roll-ups of all instances.
///
/// # Errors
///
/// [`ErrorKind::File`] when the runtime ends meanwhile.
pub async fn build_report(kernel: &Kernel) -> Result<Report> {
    let mut cache = kernel.observer.reporting.lock().await;
    count_completed_calls(kernel);
    let now_s = unix_s();
    let plan = kernel.plan.current();
    let budgets = &plan.budgets;
    let reads_per_s = f64::from(budgets.store_reads_per_s) / f64::from(budgets.max_instances);
    let platform = kernel.store.for_purpose(Purpose::Report);
    let mut gathered =
        roll_up_reader::read_last_day(&platform, &mut cache, UnixMinute::from_unix_s(now_s), reads_per_s)
            .await;
    add_own(kernel, &plan, &mut gathered);
    drop(cache);
    let instance = kernel.config.instance.clone();
    // Merging a day takes up to seconds at 68 services, which no worker of the pool should be held for.
    let merged = spawn_blocking(move || report::build(&instance, &plan, &gathered, now_s)).await;
    merged.map_err(|e| Error::new(ErrorKind::File, format!("report: {e}")))
}

/// Adds what this instance has in memory, which the store may not have yet.
fn add_own(kernel: &Kernel, plan: &Plan, gathered: &mut ReportInput) {
    let state = kernel.observer.state();
    gathered.minutes.extend(state.roll_ups.minutes(plan, kernel.observer.cost()));
    gathered.hours.extend(state.roll_ups.hours());
}

/// Returns the wall clock in seconds since the Unix epoch.
pub fn unix_s() -> u64 {
    u64::try_from(logging::unix_ms() / 1_000).unwrap_or(u64::MAX)
}
