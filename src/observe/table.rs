//! Report writers for the text table and for JSON.

use std::fmt::Write;

use super::{
    coverage::{RunCoverage, RunState},
    report::{Quantiles, Report, ServiceBurn, WindowBurn, WindowCost},
    rollup::{Annotation, UnixMinute},
    window::Window,
};
use crate::{
    error::{Error, ErrorKind},
    kernel::registry::{REPORT_WRITERS, ReportWriter},
    plan::utc::format_utc,
};

/// Maximum number of annotations at the end of the table, which shows the latest ones; the JSON report
/// contains all.
const ANNOTATIONS_SHOWN: usize = 12;

/// Formats the report as a text table.
///
/// # Panics
///
/// Never: writing to a string does not fail.
pub fn format_table(report: &Report) -> String {
    let mut text = String::new();
    write_table(&mut text, report).expect("writing to a string does not fail");
    text
}

fn write_table(out: &mut String, report: &Report) -> std::fmt::Result {
    let at = format_utc(report.at_unix_s);
    writeln!(out, "burn at {at}, plan version {}, asked of {}", report.plan_version, report.instance)?;
    if let Some(fault) = &report.store_fault {
        writeln!(out, "INCOMPLETE: {fault}")?;
    }
    write_alarms(out, report)?;
    writeln!(
        out,
        "\n{:<18} {:>6} {:>9} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}",
        "service", "window", "calls", "goal", "useful", "burn", "p50 ms", "p99 ms", "queue p99", "HOL p99"
    )?;
    for service in &report.services {
        for window in &service.windows {
            write_window(out, service, window)?;
        }
        write_causes_and_crest(out, service)?;
    }
    writeln!(out, "\ncost of measuring, all instances")?;
    for cost in &report.costs {
        write_cost(out, cost)?;
    }
    writeln!(out, "\ninstances")?;
    for coverage in &report.coverage {
        write_coverage(out, coverage)?;
    }
    write_annotations(out, &report.annotations)
}

fn write_alarms(out: &mut String, report: &Report) -> std::fmt::Result {
    let mut raised = 0;
    for service in &report.services {
        for alarm in &service.alarms {
            raised += 1;
            let (long, short) = alarm.windows();
            let burn = |window: Window| service.window(window).map_or(0.0, |w| w.burn);
            writeln!(
                out,
                "ALARM {alarm} {}: burn {:.1} over {long} and {:.1} over {short}, threshold {:.1}",
                service.service,
                burn(long),
                burn(short),
                alarm.threshold(&service.objective)
            )?;
        }
    }
    if raised == 0 { writeln!(out, "no alarms") } else { Ok(()) }
}

fn write_window(out: &mut String, service: &ServiceBurn, window: &WindowBurn) -> std::fmt::Result {
    let is_first_window = window.window == Window::FiveMinutes;
    writeln!(
        out,
        "{:<18} {:>6} {:>9} {:>7.3}% {:>7.3}% {:>8.2} {:>9} {:>9} {:>9} {:>9}",
        if is_first_window { service.service.as_str() } else { "" },
        window.window.to_string(),
        window.calls,
        service.objective.useful_share * 100.0,
        window.useful_share * 100.0,
        window.burn,
        format_quantile(window.latency, |q| q.p50_ms),
        format_quantile(window.latency, |q| q.p99_ms),
        format_quantile(window.queue_wait, |q| q.p99_ms),
        format_quantile(window.head_of_line, |q| q.p99_ms),
    )
}

fn format_quantile(quantiles: Option<Quantiles>, select: impl Fn(Quantiles) -> f64) -> String {
    quantiles.map_or_else(|| "-".to_owned(), |q| format!("{:.2}", select(q)))
}

fn write_causes_and_crest(out: &mut String, service: &ServiceBurn) -> std::fmt::Result {
    let causes = service.causes.iter().map(|c| {
        let slash = if c.cause.is_empty() { "" } else { "/" };
        format!("{}{slash}{}={}", c.outcome, c.cause, c.calls)
    });
    let causes = causes.collect::<Vec<_>>().join(" ");
    if !causes.is_empty() {
        writeln!(out, "    last day: {causes}")?;
    }
    let crest = &service.crest;
    if crest.eligible > 0 {
        writeln!(
            out,
            "    crest: {} minutes planned, {} by demand; {} calls, useful {:.3}%, burn {:.2}, p99 {} ms",
            crest.planned_minutes,
            crest.demand_minutes,
            crest.eligible,
            crest.useful_share * 100.0,
            crest.burn,
            format_quantile(crest.latency, |q| q.p99_ms)
        )?;
    }
    Ok(())
}

fn write_cost(out: &mut String, cost: &WindowCost) -> std::fmt::Result {
    let per_minute = |count: u64| count as f64 / cost.instance_minutes.max(1) as f64;
    writeln!(
        out,
        "  {:>3}: {:.1} probes/s of {:.0} allowed; an instance and minute: {:.0} bytes to peers, \
         {:.1} store reads, {:.1} store writes",
        cost.window.to_string(),
        cost.probes_per_s,
        cost.probe_budget_per_s,
        per_minute(cost.cost.control_bytes),
        per_minute(cost.cost.store_reads),
        per_minute(cost.cost.store_writes)
    )
}

fn write_coverage(out: &mut String, coverage: &RunCoverage) -> std::fmt::Result {
    let RunCoverage { instance, run_id, state, minutes, .. } = coverage;
    write!(out, "  {instance} run {run_id} {state}: ")?;
    match coverage.state {
        RunState::Missing => write!(out, "listed, and no roll-up yet")?,
        _ => write!(out, "{minutes} minutes known")?,
    }
    if *state != RunState::Reporting
        && let Some(latest) = coverage.latest
    {
        write!(out, ", none after {}", format_minute(latest))?;
    }
    for gap in &coverage.gaps {
        write!(out, ", gap {} to {}", format_minute(gap.from), format_minute(gap.to))?;
    }
    writeln!(out)
}

fn format_minute(minute: UnixMinute) -> String {
    format_utc(minute.start_s())
}

fn write_annotations(out: &mut String, annotations: &[Annotation]) -> std::fmt::Result {
    if annotations.is_empty() {
        return Ok(());
    }
    writeln!(out, "\nwhat happened, latest last")?;
    for annotation in &annotations[annotations.len().saturating_sub(ANNOTATIONS_SHOWN)..] {
        writeln!(out, "  {} {} {}", format_utc(annotation.unix_s), annotation.kind, annotation.subject)?;
    }
    Ok(())
}

#[linkme::distributed_slice(REPORT_WRITERS)]
static TABLE: ReportWriter = ReportWriter { name: "table", write: |report| Ok(format_table(report)) };

#[linkme::distributed_slice(REPORT_WRITERS)]
static JSON: ReportWriter = ReportWriter {
    name: "json",
    write: |report| {
        let json = serde_json::to_string_pretty(report);
        json.map(|text| text + "\n")
            .map_err(|e| Error::new(ErrorKind::File, format!("the report could not be encoded: {e}")))
    },
};
