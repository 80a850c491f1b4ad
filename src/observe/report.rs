//! The service-level burn report, merged from the roll-ups of all instances.
//!
//! Pure: the roll-ups, the plan and the wall clock are passed in.

use serde::{Deserialize, Serialize};

use super::{
    coverage::{self, RunCoverage},
    merge::{RollUpIndex, ServiceTotals, WindowTotals},
    rollup::{Annotation, CauseCount, ControlCost, HourRollUp, MinuteRollUp, UnixMinute},
    series::{self, SeriesPoint},
    window::{Alarm, ObjectiveCounts, Window, alarms},
};
use crate::{
    plan::{Objective, Plan},
    store::ListedInstance,
    units::{InstanceId, PlanVersion, ServiceName},
};

/// What a report is made from.
#[derive(Debug, Clone, Default)]
pub struct ReportInput {
    /// Minutes, in any order, any number of times.
    pub minutes: Vec<MinuteRollUp>,
    /// Hours, in any order, any number of times.
    pub hours: Vec<HourRollUp>,
    /// Instances that the platform lists, if it answered.
    pub listed: Vec<ListedInstance>,
    /// Why roll-ups of others may be missing; none when all that the store has were read.
    pub store_fault: Option<String>,
}

/// Burn of all services over all instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Instance that made the report.
    pub instance: InstanceId,
    /// Plan in force there.
    pub plan_version: PlanVersion,
    /// When it was made, in seconds since the Unix epoch.
    pub at_unix_s: u64,
    /// Services, sorted by name.
    pub services: Vec<ServiceBurn>,
    /// What measuring and coordination cost, shortest window first.
    pub costs: Vec<WindowCost>,
    /// Instances with what is known and missing of them.
    pub coverage: Vec<RunCoverage>,
    /// Why roll-ups of others may be missing.
    pub store_fault: Option<String>,
    /// Drains, plan changes and outages, sorted by time.
    #[serde(rename = "marks")]
    pub annotations: Vec<Annotation>,
}

/// Burn of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// Name.
    pub service: ServiceName,
    /// Objective of the plan in force.
    pub objective: Objective,
    /// Alarms that are raised, the most urgent first.
    pub alarms: Vec<Alarm>,
    /// Windows, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Crest minutes of the last day.
    pub crest: CrestBurn,
    /// Calls of the last day by outcome and cause, sorted.
    pub causes: Vec<CauseCount>,
    /// Burn and latency over time.
    pub series: Vec<SeriesPoint>,
}

impl ServiceBurn {
    /// Returns one window's figures.
    pub fn window(&self, window: Window) -> Option<&WindowBurn> {
        self.windows.iter().find(|w| w.window == window)
    }
}

/// Burn of one service over one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Window.
    pub window: Window,
    /// All calls.
    pub calls: u64,
    /// Calls that count against the objective; those that only the caller can put right do not.
    #[serde(rename = "judged")]
    pub eligible: u64,
    /// Share of useful ones among these, 0.0 to 1.0.
    pub useful_share: f64,
    /// Speed at which the error budget is spent; 1.0 spends it exactly within the objective's days.
    pub burn: f64,
    /// Quantiles of the time to the head of the answer; absent without answered calls.
    pub latency: Option<Quantiles>,
    /// Quantiles of the time in the queue.
    pub queue_wait: Option<Quantiles>,
    /// Quantiles of the time behind long requests.
    pub head_of_line: Option<Quantiles>,
}

/// Quantiles of a time in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
}

/// Service at the crest, over the last day.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrestBurn {
    /// Minutes in which the plan expected a crest, over all instances.
    pub planned_minutes: u64,
    /// Minutes in which demand was well above its recent mean, over all instances.
    pub demand_minutes: u64,
    /// Calls of all these minutes that count against the objective.
    #[serde(rename = "judged")]
    pub eligible: u64,
    /// Share of useful ones, 0.0 to 1.0.
    pub useful_share: f64,
    /// Burn of these minutes.
    pub burn: f64,
    /// Quantiles of the time to the head of the answer.
    pub latency: Option<Quantiles>,
}

/// What measuring and coordination cost over one window, all instances together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowCost {
    /// Window.
    pub window: Window,
    /// Sums.
    pub cost: ControlCost,
    /// Instance-minutes that the sums cover.
    pub instance_minutes: u64,
    /// Probes a second over all targets, beside the plan's budget for all targets together.
    pub probes_per_s: f64,
    /// Budget of the plan for all targets together, in probes a second.
    pub probe_budget_per_s: f64,
}

/// Makes the report.
pub fn build(instance: &InstanceId, plan: &Plan, gathered: &ReportInput, now_unix_s: u64) -> Report {
    let now = UnixMinute::from_unix_s(now_unix_s);
    let index = RollUpIndex::new(&gathered.minutes, &gathered.hours);
    let windows = Window::ALL.map(|window| (window, index.totals(window, now)));
    let services = plan.services.iter();
    let services = services.map(|s| service_burn(&s.name, &s.objective, &windows, &index, now)).collect();
    Report {
        instance: instance.clone(),
        plan_version: plan.version,
        at_unix_s: now_unix_s,
        services,
        costs: windows.iter().map(|(window, totals)| window_cost(*window, totals, plan)).collect(),
        coverage: coverage::by_run(&index, &gathered.listed, now),
        store_fault: gathered.store_fault.clone(),
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
    let nothing = ServiceTotals::default();
    let service_totals = |window: Window| {
        let totals = windows.iter().find(|(w, _)| *w == window);
        totals.and_then(|(_, totals)| totals.services.get(name)).unwrap_or(&nothing)
    };
    let day = service_totals(Window::Day);
    ServiceBurn {
        service: name.clone(),
        objective: objective.clone(),
        alarms: alarms(objective, |window| service_totals(window).objective_counts()),
        windows: Window::ALL.iter().map(|w| window_burn(*w, service_totals(*w), objective)).collect(),
        crest: crest_burn(day, objective),
        causes: day.causes(),
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

fn crest_burn(day: &ServiceTotals, objective: &Objective) -> CrestBurn {
    let counts: ObjectiveCounts = day.crest;
    CrestBurn {
        planned_minutes: day.planned_crest_minutes,
        demand_minutes: day.demand_crest_minutes,
        eligible: counts.eligible,
        useful_share: counts.useful_share(),
        burn: counts.burn(objective),
        latency: quantiles(&day.crest_latency),
    }
}

fn quantiles(times: &super::counts::DurationHistogram) -> Option<Quantiles> {
    Some(Quantiles {
        p50_ms: times.quantile_ms(0.5)?,
        p99_ms: times.quantile_ms(0.99)?,
        p999_ms: times.quantile_ms(0.999)?,
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
