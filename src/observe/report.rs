//! Burn report: how fast each service spends its error budget, merged from the roll-ups of all instances.
//!
//! The code does no input or output and takes the roll-ups, the plan and the wall clock as arguments.

use serde::{Deserialize, Serialize};

use super::{
    coverage::{self, RunCoverage},
    merge::{RollUpIndex, ServiceTotals, WindowTotals},
    rollup::{Annotation, CauseCount, ControlCost, HourRollUp, MinuteRollUp, UnixMinute},
    series::{self, SeriesPoint},
    window::{Alarm, ObjectiveCounts, Window, raised_alarms},
};
use crate::{
    plan::{Objective, Plan},
    store::ListedInstance,
    units::{InstanceId, PlanVersion, ServiceName},
};

/// Data from which a report is built.
#[derive(Debug, Clone, Default)]
pub struct ReportInput {
    /// Minute roll-ups in any order; duplicates are permitted.
    pub minutes: Vec<MinuteRollUp>,
    /// Hour roll-ups in any order; duplicates are permitted.
    pub hours: Vec<HourRollUp>,
    /// Instances that the platform lists; empty if it did not answer.
    pub listed: Vec<ListedInstance>,
    /// Why roll-ups of other instances may be missing; none if all roll-ups in the store were read.
    pub store_fault: Option<String>,
}

/// Burn report of all services over all instances, as returned by `GET /report`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Instance that built the report.
    pub instance: InstanceId,
    /// Version of the plan in force at that instance.
    pub plan_version: PlanVersion,
    /// Time of the report, in seconds since the Unix epoch.
    pub at_unix_s: u64,
    /// Burn rates of each service of the plan, sorted by name.
    pub services: Vec<ServiceBurn>,
    /// Cost of measuring and coordination, shortest window first.
    pub costs: Vec<WindowCost>,
    /// Known and missing minutes of each run.
    pub coverage: Vec<RunCoverage>,
    /// Why roll-ups of other instances may be missing; none if all roll-ups in the store were read.
    pub store_fault: Option<String>,
    /// Events such as drains, plan changes and outages, sorted by time.
    #[serde(rename = "marks")]
    pub annotations: Vec<Annotation>,
}

/// Burn rates and latencies of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// Name of the service.
    pub service: ServiceName,
    /// Objective of the service in the plan in force.
    pub objective: Objective,
    /// Alarms that are raised, the most urgent first.
    pub alarms: Vec<Alarm>,
    /// Figures of each window, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Figures of the crest minutes (minutes of peak demand) of the last day.
    pub crest: CrestBurn,
    /// Number of calls of the last day for each outcome and cause, sorted.
    pub causes: Vec<CauseCount>,
    /// Burn rate and latency over time, oldest first.
    pub series: Vec<SeriesPoint>,
}

impl ServiceBurn {
    /// Returns the figures of one window.
    pub fn window(&self, window: Window) -> Option<&WindowBurn> {
        self.windows.iter().find(|w| w.window == window)
    }
}

/// Burn rate and latencies of one service over one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Window, which ends at the time of the report.
    pub window: Window,
    /// Number of all calls, eligible or not.
    pub calls: u64,
    /// Number of calls that count against the objective: all but those that failed by a fault of the caller.
    #[serde(rename = "judged")]
    pub eligible: u64,
    /// Share of eligible calls that met the objective, 0.0 to 1.0.
    pub useful_share: f64,
    /// Burn rate; 1.0 spends the error budget exactly within the compliance window of the objective.
    pub burn: f64,
    /// Quantiles of the time to the response head; absent without eligible calls that ran or may have run.
    pub latency: Option<Quantiles>,
    /// Quantiles of the time in the queue; absent without eligible calls.
    pub queue_wait: Option<Quantiles>,
    /// Quantiles of the time in the queue behind long requests; absent without eligible calls.
    pub head_of_line: Option<Quantiles>,
}

/// Quantiles of a duration, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
}

/// Burn rate and latency of one service in the crest minutes of the last day.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrestBurn {
    /// Number of minutes in which the plan announced a crest, summed over all instances.
    pub planned_minutes: u64,
    /// Number of minutes in which demand was far above its recent mean, summed over all instances.
    pub demand_minutes: u64,
    /// Number of calls in these minutes that count against the objective.
    #[serde(rename = "judged")]
    pub eligible: u64,
    /// Share of these calls that met the objective, 0.0 to 1.0.
    pub useful_share: f64,
    /// Burn rate in these minutes.
    pub burn: f64,
    /// Quantiles of the time to the response head; absent without eligible calls that ran or may have run.
    pub latency: Option<Quantiles>,
}

/// Cost of measuring and coordination over one window, for all instances together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowCost {
    /// Window, which ends at the time of the report.
    pub window: Window,
    /// Sums over all instances.
    pub cost: ControlCost,
    /// Number of minute roll-ups that the sums cover, over all instances.
    pub instance_minutes: u64,
    /// Health probes per second to all targets together, measured.
    pub probes_per_s: f64,
    /// Health probes per second to all targets together that the plan permits.
    pub probe_budget_per_s: f64,
}

/// Builds the report at `now_unix_s`, in seconds since the Unix epoch.
pub fn build(instance: &InstanceId, plan: &Plan, input: &ReportInput, now_unix_s: u64) -> Report {
    let now = UnixMinute::from_unix_s(now_unix_s);
    let index = RollUpIndex::new(&input.minutes, &input.hours);
    let windows = Window::ALL.map(|window| (window, index.totals(window, now)));
    let services = plan.services.iter();
    let services = services.map(|s| service_burn(&s.name, &s.objective, &windows, &index, now)).collect();
    Report {
        instance: instance.clone(),
        plan_version: plan.version,
        at_unix_s: now_unix_s,
        services,
        costs: windows.iter().map(|(window, totals)| window_cost(*window, totals, plan)).collect(),
        coverage: coverage::by_run(&index, &input.listed, now),
        store_fault: input.store_fault.clone(),
        annotations: index.annotations(now),
    }
}

fn service_burn(
    name: &ServiceName,
    objective: &Objective,
    windows: &[(Window, WindowTotals)],
    index: &RollUpIndex<'_>,
    now: UnixMinute,
) -> ServiceBurn {
    let no_calls = ServiceTotals::default();
    let service_totals = |window: Window| {
        let totals = windows.iter().find(|(w, _)| *w == window);
        totals.and_then(|(_, totals)| totals.services.get(name)).unwrap_or(&no_calls)
    };
    let last_day = service_totals(Window::Day);
    ServiceBurn {
        service: name.clone(),
        objective: objective.clone(),
        alarms: raised_alarms(objective, |window| service_totals(window).objective_counts()),
        windows: Window::ALL.iter().map(|w| window_burn(*w, service_totals(*w), objective)).collect(),
        crest: crest_burn(last_day, objective),
        causes: last_day.causes(),
        series: series::build_series(index, name, objective, now),
    }
}

fn window_burn(window: Window, service_totals: &ServiceTotals, objective: &Objective) -> WindowBurn {
    let counts = service_totals.objective_counts();
    WindowBurn {
        window,
        calls: service_totals.calls(),
        eligible: counts.eligible,
        useful_share: counts.useful_share(),
        burn: counts.burn(objective),
        latency: quantiles(&service_totals.latency),
        queue_wait: quantiles(&service_totals.queue_wait),
        head_of_line: quantiles(&service_totals.head_of_line),
    }
}

fn crest_burn(last_day: &ServiceTotals, objective: &Objective) -> CrestBurn {
    let counts: ObjectiveCounts = last_day.crest;
    CrestBurn {
        planned_minutes: last_day.planned_crest_minutes,
        demand_minutes: last_day.demand_crest_minutes,
        eligible: counts.eligible,
        useful_share: counts.useful_share(),
        burn: counts.burn(objective),
        latency: quantiles(&last_day.crest_latency),
    }
}

fn quantiles(histogram: &super::counts::DurationHistogram) -> Option<Quantiles> {
    Some(Quantiles {
        p50_ms: histogram.quantile_ms(0.5)?,
        p99_ms: histogram.quantile_ms(0.99)?,
        p999_ms: histogram.quantile_ms(0.999)?,
    })
}

fn window_cost(window: Window, totals: &WindowTotals, plan: &Plan) -> WindowCost {
    let targets = plan.services.iter().map(|s| s.targets.len()).sum::<usize>();
    let seconds = totals.covered_minutes.max(1) as f64 * 60.0;
    WindowCost {
        window,
        cost: totals.cost,
        instance_minutes: totals.instance_minutes,
        probes_per_s: totals.cost.probes as f64 / seconds,
        probe_budget_per_s: plan.budgets.probes_per_target_per_s * targets as f64,
    }
}
