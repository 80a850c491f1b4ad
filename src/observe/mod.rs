//! Observability of the instance: call counts, roll-ups in the object store, metrics and the error-budget
//! burn report.

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
    kernel::{Kernel, clock::unix_ms},
    logging,
    plan::{IntendedAction, Plan},
    store::{ObjectCondition, WriteResult, rate_limit::Purpose},
    units::PlanVersion,
};

/// Time between two drains of the buffer of completed calls; a call may be counted this much late.
const COUNTING_PERIOD: Duration = Duration::from_millis(500);

/// Time between two checks whether a roll-up is due for upload.
const UPLOAD_PERIOD: Duration = Duration::from_secs(1);

/// Time limit for uploading the last roll-ups at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of annotations that wait for the next count; further ones are dropped.
const MAX_WAITING_ANNOTATIONS: usize = 64;

#[derive(Debug)]
struct State {
    roll_ups: RollUpRecorder,
    /// Plan that has been annotated, together with its intentions that were due.
    plan: Arc<Plan>,
    plan_in_force_since: Instant,
    /// Time up to which due intentions have been annotated, in seconds since the Unix epoch; 0 before the
    /// first count.
    annotated_until_s: u64,
    leaving_annotated: bool,
    /// Number of completed calls dropped by the buffer that the metrics already contain.
    dropped_calls_reported: u64,
    /// Number of dropped roll-up minutes that the metrics already contain.
    dropped_minutes_reported: u64,
}

/// Metrics and roll-ups of this instance.
///
/// Lock order: its locks are taken after all others, and never two of them at once.
#[derive(Debug)]
pub struct Observer {
    /// Metrics that are served at the admin address.
    pub metrics: Metrics,
    /// Recent calls by the request identifiers that their callers sent.
    pub caller_request_ids: CallerRequestIds,
    store_calls: Arc<StoreCallMetrics>,
    store_reachable: AtomicBool,
    /// Annotations added since the last count; at most [`MAX_WAITING_ANNOTATIONS`].
    waiting_annotations: Mutex<Vec<Annotation>>,
    state: Mutex<State>,
    /// Locked while a report is built: one report at a time stays within the share of store reads.
    report_cache: tokio::sync::Mutex<ObjectCache>,
}

impl Observer {
    /// Creates an observer without any counts.
    pub fn new(run: RunKey, store_calls: Arc<StoreCallMetrics>) -> Self {
        let state = State {
            roll_ups: RollUpRecorder::new(run),
            plan: Arc::default(),
            plan_in_force_since: Instant::now(),
            annotated_until_s: 0,
            leaving_annotated: false,
            dropped_calls_reported: 0,
            dropped_minutes_reported: 0,
        };
        Self {
            metrics: Metrics::new(&store_calls),
            caller_request_ids: CallerRequestIds::default(),
            store_calls,
            store_reachable: AtomicBool::new(true),
            waiting_annotations: Mutex::default(),
            state: Mutex::new(state),
            report_cache: tokio::sync::Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether the platform's store answered; a change is annotated in the report.
    pub fn set_store_reachable(&self, reachable: bool) {
        if self.store_reachable.swap(reachable, Ordering::AcqRel) != reachable {
            let kind = if reachable { AnnotationKind::StoreBack } else { AnnotationKind::StoreLost };
            log::warn!("event=store-reachable reachable={reachable}");
            self.annotate(kind, String::new());
        }
    }

    /// Adds an annotation with the current time.
    pub fn annotate(&self, kind: AnnotationKind, subject: String) {
        let mut annotations = self.waiting_annotations.lock().unwrap_or_else(PoisonError::into_inner);
        if annotations.len() < MAX_WAITING_ANNOTATIONS {
            annotations.push(Annotation { unix_s: unix_s(), kind, subject });
        }
    }

    fn control_cost(&self) -> ControlCost {
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

/// Adds the calls completed since the previous count to the metrics and the roll-ups.
pub fn count_completed_calls(kernel: &Kernel) {
    let observer = &kernel.observer;
    let now_s = unix_s();
    let plan = kernel.plan.current();
    let calls = kernel.tally.drain();
    let annotations = observer.take_annotations();
    observer.metrics.count(&calls);
    let mut state = observer.state();
    state.roll_ups.advance(now_s, &plan, observer.control_cost());
    state.roll_ups.count_calls(&calls);
    for annotation in annotations {
        state.roll_ups.annotate(annotation.unix_s, annotation.kind, annotation.subject);
    }
    annotate_plan(&mut state, kernel, &plan, now_s);
    if kernel.is_leaving() && !mem::replace(&mut state.leaving_annotated, true) {
        state.roll_ups.annotate(now_s, AnnotationKind::Leaving, kernel.config.instance.to_string());
    }
    count_dropped(&mut state, kernel);
}

fn count_dropped(state: &mut State, kernel: &Kernel) {
    let metrics = &kernel.observer.metrics;
    let dropped_calls = kernel.tally.dropped();
    metrics.calls_uncounted.inc_by(dropped_calls - state.dropped_calls_reported);
    state.dropped_calls_reported = dropped_calls;
    let dropped_minutes = state.roll_ups.dropped_minutes();
    metrics.rollup_dropped.inc_by(dropped_minutes - state.dropped_minutes_reported);
    state.dropped_minutes_reported = dropped_minutes;
    metrics.log_lines_dropped.inc_by(logging::take_dropped());
}

/// Annotates a new plan, and the drains and returns of targets that became due since the previous count.
fn annotate_plan(state: &mut State, kernel: &Kernel, plan: &Arc<Plan>, now_s: u64) {
    let from_s = if state.plan.version == plan.version { state.annotated_until_s } else { 0 };
    if state.plan.version != plan.version {
        if state.plan.version == PlanVersion::default() {
            state.roll_ups.annotate(now_s, AnnotationKind::Started, kernel.config.instance.to_string());
        }
        state.roll_ups.annotate(now_s, AnnotationKind::PlanInForce, plan.version.to_string());
        kernel.observer.metrics.retain_services_of(plan);
        state.plan_in_force_since = Instant::now();
    }
    let previous_plan = Arc::clone(&state.plan);
    for intention in &plan.intentions {
        let due = intention.at_unix_s <= now_s && (from_s == 0 || intention.at_unix_s > from_s);
        let new = due && (from_s > 0 || !previous_plan.intentions.contains(intention));
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

/// Counts completed calls periodically; runs until dropped.
pub async fn run_counting(kernel: Arc<Kernel>) {
    let mut period = interval(COUNTING_PERIOD);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        count_completed_calls(&kernel);
        logging::report_dropped();
    }
}

/// Uploads roll-ups to the object store when they are due; runs until dropped.
pub async fn run_uploads(kernel: Arc<Kernel>) {
    loop {
        sleep(UPLOAD_PERIOD).await;
        upload_one(&kernel, unix_s()).await;
    }
}

/// Uploads one roll-up if one is due at `at_s`; returns whether the store contains it now.
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

/// Closes the last minute and hour and uploads the remaining roll-ups until a write fails or the time limit
/// is reached.
pub async fn flush_roll_ups(kernel: &Kernel) {
    count_completed_calls(kernel);
    kernel.observer.state().roll_ups.finish(&kernel.plan.current(), kernel.observer.control_cost());
    let write_all = async {
        // The few last objects are uploaded without the usual pause between writes, and a failure is not
        // retried.
        let mut stored = true;
        while stored {
            kernel.observer.state().roll_ups.make_next_upload_due();
            stored = upload_one(kernel, unix_s()).await;
        }
    };
    if timeout(FLUSH_TIMEOUT, write_all).await.is_err() {
        log::warn!("event=roll-ups-not-written");
    }
}

/// Builds the burn report from the roll-ups of all instances.
///
/// # Errors
///
/// [`ErrorKind::File`] when the runtime shuts down before the report is complete.
pub async fn build_report(kernel: &Kernel) -> Result<Report> {
    let mut cache = kernel.observer.report_cache.lock().await;
    count_completed_calls(kernel);
    let now_s = unix_s();
    let plan = kernel.plan.current();
    let budgets = &plan.budgets;
    let reads_per_s = f64::from(budgets.store_reads_per_s) / f64::from(budgets.max_instances);
    let platform = kernel.store.for_purpose(Purpose::Report);
    let mut input =
        roll_up_reader::read_last_day(&platform, &mut cache, UnixMinute::from_unix_s(now_s), reads_per_s)
            .await;
    add_own_roll_ups(kernel, &plan, &mut input);
    drop(cache);
    let instance = kernel.config.instance.clone();
    // Merging the roll-ups of a day takes up to seconds with 68 services, too long to block an async worker.
    let merged = spawn_blocking(move || report::build(&instance, &plan, &input, now_s)).await;
    merged.map_err(|e| Error::new(ErrorKind::File, format!("report: {e}")))
}

/// Adds the roll-ups in the memory of this instance, which the store may not contain yet.
fn add_own_roll_ups(kernel: &Kernel, plan: &Plan, input: &mut ReportInput) {
    let state = kernel.observer.state();
    input.minutes.extend(state.roll_ups.minutes(plan, kernel.observer.control_cost()));
    input.hours.extend(state.roll_ups.hours());
}

/// Returns the wall clock in seconds since the Unix epoch.
pub fn unix_s() -> u64 {
    unix_ms() / 1_000
}
