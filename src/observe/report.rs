//! The service-level burn report.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use super::tally::{ServiceCounts, Tally};
use crate::{
    error::{Error, ErrorKind},
    kernel::registry::{REPORT_WRITERS, ReportWriter},
    plan::Plan,
    units::{InstanceId, PlanVersion, ServiceName},
};

/// Burn of all services as seen by one instance since it started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Instance that made the report.
    pub instance: InstanceId,
    /// Plan in force.
    pub plan_version: PlanVersion,
    /// Services, sorted by name.
    pub services: Vec<ServiceBurn>,
}

/// Burn of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// Name.
    pub service: ServiceName,
    /// Calls that ended.
    pub calls: u64,
    /// Share of calls that must be useful, 0.0 to 1.0.
    pub objective: f64,
    /// Share of calls that were useful, 0.0 to 1.0.
    pub useful_share: f64,
    /// Speed at which the error budget is spent; 1.0 spends it exactly within the window.
    pub burn: f64,
    /// Median time to the head of the answer, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same, in milliseconds.
    pub p99_ms: f64,
    /// Calls by outcome and cause, sorted.
    pub causes: Vec<CauseCount>,
}

/// Calls with one outcome and cause.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CauseCount {
    /// Outcome.
    pub outcome: String,
    /// Cause, empty when the target answered.
    pub cause: String,
    /// Calls.
    pub calls: u64,
}

/// Makes the report from the counts of this instance.
pub fn make(instance: &InstanceId, plan: &Plan, tally: &Tally) -> Report {
    let mut services = tally.inspect(|all| all.iter().map(|(n, c)| burn(n, c, plan)).collect::<Vec<_>>());
    services.sort_by(|a, b| a.service.cmp(&b.service));
    Report { instance: instance.clone(), plan_version: plan.version, services }
}

fn burn(service: &ServiceName, counts: &ServiceCounts, plan: &Plan) -> ServiceBurn {
    let calls = counts.by_cause.values().sum::<u64>();
    let objective = plan.service(service.as_str()).map_or(0.999, |s| s.objective.useful_share);
    let useful_share = if calls == 0 { 1.0 } else { counts.useful as f64 / calls as f64 };
    let budget = (1.0 - objective).max(f64::EPSILON);
    let ms = |quantile| counts.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
    let mut causes = counts
        .by_cause
        .iter()
        .map(|((outcome, cause), calls)| CauseCount {
            outcome: outcome.to_string(),
            cause: cause.map(|c| c.to_string()).unwrap_or_default(),
            calls: *calls,
        })
        .collect::<Vec<_>>();
    causes.sort();
    ServiceBurn {
        service: service.clone(),
        calls,
        objective,
        useful_share,
        burn: (1.0 - useful_share) / budget,
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
        causes,
    }
}

/// Writes the report as a table for people.
pub fn table(report: &Report) -> String {
    let mut text = format!("instance {} plan {}\n", report.instance, report.plan_version);
    let _ = writeln!(
        text,
        "{:<20} {:>9} {:>9} {:>9} {:>8} {:>9} {:>9}  outcomes",
        "service", "calls", "goal", "useful", "burn", "p50 ms", "p99 ms"
    );
    for s in &report.services {
        let causes = s
            .causes
            .iter()
            .map(|c| {
                format!("{}{}{}={}", c.outcome, if c.cause.is_empty() { "" } else { "/" }, c.cause, c.calls)
            })
            .collect::<Vec<_>>()
            .join(" ");
        let _ = writeln!(
            text,
            "{:<20} {:>9} {:>8.3}% {:>8.3}% {:>8.2} {:>9.2} {:>9.2}  {causes}",
            s.service,
            s.calls,
            s.objective * 100.0,
            s.useful_share * 100.0,
            s.burn,
            s.p50_ms,
            s.p99_ms
        );
    }
    text
}

#[linkme::distributed_slice(REPORT_WRITERS)]
static TABLE: ReportWriter = ReportWriter { name: "table", write: |report| Ok(table(report)) };

#[linkme::distributed_slice(REPORT_WRITERS)]
static JSON: ReportWriter = ReportWriter {
    name: "json",
    write: |report| {
        serde_json::to_string_pretty(report).map_err(|e| Error::new(ErrorKind::File, format!("report: {e}")))
    },
};
