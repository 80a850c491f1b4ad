//! Report writer for an SVG plot of burn rate and latency over time, with annotations as vertical lines.

use plotters::{
    chart::{ChartBuilder, ChartContext},
    coord::{
        Shift,
        types::{RangedCoordf64, RangedCoordu64},
    },
    drawing::{DrawingArea, IntoDrawingArea},
    element::{Circle, PathElement, Rectangle, Text},
    prelude::{Cartesian2d, SVGBackend},
    series::LineSeries,
    style::{BLACK, Color, IntoFont, RGBColor, WHITE},
};

use super::{
    report::{Report, ServiceBurn},
    rollup::{Annotation, AnnotationKind},
    series::SeriesPoint,
};
use crate::{
    error::{Error, ErrorKind, Result},
    kernel::registry::{REPORT_WRITERS, ReportWriter},
    plan::utc::format_utc,
};

/// Width of the plot, in pixels.
const WIDTH: u32 = 1_200;

/// Height of the row of one service, in pixels.
const ROW_HEIGHT: u32 = 240;

/// Height of the header, which contains title and legend, in pixels.
const HEADER_HEIGHT: u32 = 64;

/// Maximum number of services in the plot; those with the highest burn rate are drawn.
const MAX_SERVICES: usize = 12;

/// Minimum upper end of the burn rate axis.
const MIN_BURN_AXIS: f64 = 2.0;

const BURN_COLOUR: RGBColor = RGBColor(178, 34, 34);
const LATENCY_COLOUR: RGBColor = RGBColor(31, 87, 164);
const LIMIT_COLOUR: RGBColor = RGBColor(120, 120, 120);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordu64, RangedCoordf64>>;

/// Formats a label of the time axis from a time in seconds since the Unix epoch.
type AxisLabel = fn(&u64) -> String;

/// Draws the report and returns the SVG text.
///
/// # Errors
///
/// [`ErrorKind::File`] when the plotting library fails.
pub fn draw(report: &Report) -> Result<String> {
    let mut svg_text = String::new();
    draw_all(&mut svg_text, report)
        .map_err(|e| Error::new(ErrorKind::File, format!("the plot could not be drawn: {e}")))?;
    Ok(svg_text)
}

type DrawResult<T = ()> = std::result::Result<T, Box<dyn std::error::Error>>;

fn draw_all(svg_text: &mut String, report: &Report) -> DrawResult {
    let services = select_services(report);
    let height = HEADER_HEIGHT + ROW_HEIGHT * services.len().max(1) as u32;
    let root = SVGBackend::with_string(svg_text, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let (header, body) = root.split_vertically(HEADER_HEIGHT);
    draw_header(&header, report, services.len())?;
    let rows = body.split_evenly((services.len().max(1), 1));
    for (row, service) in rows.iter().zip(&services) {
        let (burn, latency) = row.split_horizontally(WIDTH / 2);
        draw_burn(&burn, service, &report.annotations)?;
        draw_latency(&latency, service, &report.annotations)?;
    }
    root.present()?;
    Ok(())
}

fn select_services(report: &Report) -> Vec<&ServiceBurn> {
    let mut services = report.services.iter().filter(|s| !s.series.is_empty()).collect::<Vec<_>>();
    let max_burn = |s: &ServiceBurn| s.windows.iter().map(|w| w.burn).fold(0.0, f64::max);
    services.sort_by(|a, b| max_burn(b).total_cmp(&max_burn(a)));
    services.truncate(MAX_SERVICES);
    services
}

fn draw_header(header: &Area<'_>, report: &Report, drawn: usize) -> DrawResult {
    let at = format_utc(report.at_unix_s);
    let title = format!(
        "Burn and latency up to {at}, plan version {}, {drawn} of {} services",
        report.plan_version,
        report.services.len()
    );
    header.draw(&Text::new(title, (16, 10), ("sans-serif", 18).into_font().color(&BLACK)))?;
    let mut x = 16;
    for (kind, name) in LEGEND {
        let colour = annotation_colour(kind);
        header.draw(&Rectangle::new([(x, 40), (x + 14, 52)], colour.filled()))?;
        header.draw(&Text::new(name, (x + 20, 38), ("sans-serif", 14).into_font().color(&BLACK)))?;
        x += 40 + 8 * i32::try_from(name.len()).unwrap_or_default();
    }
    if let Some(fault) = &report.store_fault {
        let text = format!("INCOMPLETE: {fault}");
        header.draw(&Text::new(text, (x, 38), ("sans-serif", 14).into_font().color(&BURN_COLOUR)))?;
    }
    Ok(())
}

const LEGEND: [(AnnotationKind, &str); 6] = [
    (AnnotationKind::PlanInForce, "plan in force"),
    (AnnotationKind::Drain, "drain or return"),
    (AnnotationKind::Started, "instance started"),
    (AnnotationKind::Leaving, "instance leaving"),
    (AnnotationKind::StoreLost, "store lost"),
    (AnnotationKind::StoreBack, "store back"),
];

fn annotation_colour(kind: AnnotationKind) -> RGBColor {
    match kind {
        AnnotationKind::PlanInForce => RGBColor(46, 125, 50),
        AnnotationKind::Drain => RGBColor(230, 126, 34),
        AnnotationKind::Started => RGBColor(90, 200, 220),
        AnnotationKind::Leaving => RGBColor(142, 68, 173),
        AnnotationKind::StoreLost => RGBColor(20, 20, 20),
        AnnotationKind::StoreBack => RGBColor(0, 150, 136),
    }
}

fn draw_burn(area: &Area<'_>, service: &ServiceBurn, annotations: &[Annotation]) -> DrawResult {
    let points = service.series.iter().map(|p| (middle(p), p.burn)).collect::<Vec<_>>();
    let top = points.iter().map(|p| p.1).fold(MIN_BURN_AXIS, f64::max) * 1.1;
    let goal = service.objective.useful_share * 100.0;
    let caption = format!("{}: burn (1 spends the budget of {goal:.2}% in its days)", service.service);
    let mut chart = chart(area, &caption, &service.series, top)?;
    draw_annotations(&mut chart, annotations, &service.series, top)?;
    draw_limit(&mut chart, &service.series, 1.0)?;
    draw_line(&mut chart, &service.series, &points, BURN_COLOUR)
}

fn draw_latency(area: &Area<'_>, service: &ServiceBurn, annotations: &[Annotation]) -> DrawResult {
    let with_latency = service.series.iter().filter_map(|p| Some((middle(p), p.p99_ms?)));
    let points = with_latency.collect::<Vec<_>>();
    let limit = service.objective.latency_ms as f64;
    let top = points.iter().map(|p| p.1).fold(limit, f64::max) * 1.1;
    let caption = format!("{}: p99 to the head of the answer, ms (bound {limit})", service.service);
    let mut chart = chart(area, &caption, &service.series, top)?;
    draw_annotations(&mut chart, annotations, &service.series, top)?;
    draw_limit(&mut chart, &service.series, limit)?;
    draw_line(&mut chart, &service.series, &points, LATENCY_COLOUR)
}

fn middle(point: &SeriesPoint) -> u64 {
    point.unix_s + point.step_s / 2
}

/// Returns the start and the end of the series, in seconds since the Unix epoch.
fn span(series: &[SeriesPoint]) -> (u64, u64) {
    let first = series.first().map_or(0, |p| p.unix_s);
    let last = series.last().map_or(1, |p| p.unix_s + p.step_s);
    (first, last.max(first + 1))
}

fn chart<'a, 'b>(
    area: &'a Area<'b>,
    caption: &str,
    series: &[SeriesPoint],
    top: f64,
) -> DrawResult<Chart<'a, 'b>> {
    let (first, last) = span(series);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 14))
        .margin(8)
        .margin_right(24)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(first..last, 0.0..top)?;
    let time: AxisLabel = |second| format_utc(*second)[11..16].to_owned();
    chart
        .configure_mesh()
        .x_labels(8)
        .y_labels(5)
        .x_label_formatter(&time)
        .light_line_style(WHITE)
        .label_style(("sans-serif", 12))
        .draw()?;
    Ok(chart)
}

fn draw_annotations(
    chart: &mut Chart<'_, '_>,
    annotations: &[Annotation],
    series: &[SeriesPoint],
    top: f64,
) -> DrawResult {
    let (first, last) = span(series);
    for annotation in annotations.iter().filter(|a| (first..=last).contains(&a.unix_s)) {
        let line = PathElement::new(
            [(annotation.unix_s, 0.0), (annotation.unix_s, top)],
            annotation_colour(annotation.kind),
        );
        chart.draw_series([line])?;
    }
    Ok(())
}

fn draw_limit(chart: &mut Chart<'_, '_>, series: &[SeriesPoint], limit: f64) -> DrawResult {
    let (first, last) = span(series);
    chart.draw_series(LineSeries::new([(first, limit), (last, limit)], LIMIT_COLOUR))?;
    Ok(())
}

/// Draws a line with breaks where steps are missing, so that gaps in the data are visible.
fn draw_line(
    chart: &mut Chart<'_, '_>,
    series: &[SeriesPoint],
    points: &[(u64, f64)],
    colour: RGBColor,
) -> DrawResult {
    let step_s = series.first().map_or(1, |p| p.step_s);
    for segment in points.chunk_by(|a, b| b.0 - a.0 <= step_s) {
        chart.draw_series(LineSeries::new(segment.iter().copied(), colour.stroke_width(2)))?;
        if let [single_point] = segment {
            chart.draw_series([Circle::new(*single_point, 2, colour.filled())])?;
        }
    }
    Ok(())
}

#[linkme::distributed_slice(REPORT_WRITERS)]
static SVG: ReportWriter = ReportWriter { name: "svg", write: draw };
