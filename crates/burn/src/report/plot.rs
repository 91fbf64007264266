//! Plots of burn rates as SVG.
//!
//! Colours are fixed markers that the style sheet of the page replaces by those of its theme.

use {
    super::{Line, Point},
    plotters::prelude::*,
};

/// Marker colours; the page selects on them. Each is readable on light and dark ground by itself.
pub(crate) const INK: RGBColor = RGBColor(120, 120, 121);
pub(crate) const GRID: RGBColor = RGBColor(150, 150, 151);
pub(crate) const RATE: RGBColor = RGBColor(60, 130, 201);
pub(crate) const LIMIT: RGBColor = RGBColor(201, 80, 60);

const SIZE: (u32, u32) = (460, 190);

/// Highest burn rate shown. Targets beyond 99.9% can have higher ones; the curve is cut there.
const MAX_RATE: f64 = 1_000.0;

/// Plots the burn rate of `points` against age. Returns nothing when the drawing fails.
pub(crate) fn render(
    line: &Line,
    points: &[Point],
    buckets: u16,
    width_ms: u64,
    unit: &str,
) -> Option<String> {
    let mut svg = String::new();
    draw(line, points, buckets, width_ms, unit, &mut svg).ok()?;
    Some(svg)
}

fn draw(
    line: &Line,
    points: &[Point],
    buckets: u16,
    width_ms: u64,
    unit: &str,
    svg: &mut String,
) -> Result<(), Box<dyn std::error::Error>> {
    let hours = |age: u16| -(f64::from(age) * width_ms as f64 / 3_600_000.0);
    let segments = segments(line, points, buckets);
    let highest = segments
        .iter()
        .flatten()
        .map(|&(_, rate)| rate)
        .fold(2.0, f64::max);
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&root)
        .margin(8)
        .x_label_area_size(40)
        .y_label_area_size(52)
        .build_cartesian_2d(hours(buckets)..0.0, 0.0..highest * 1.05)?;
    let label = ("sans-serif", 15).into_font().color(&INK);
    chart
        .configure_mesh()
        .x_labels(7)
        .y_labels(5)
        .x_desc(unit)
        .y_desc("burn rate")
        .axis_style(INK)
        .label_style(label.clone())
        .axis_desc_style(label)
        .bold_line_style(GRID.mix(0.5))
        .light_line_style(TRANSPARENT)
        .draw()?;
    chart.draw_series(LineSeries::new(
        [(hours(buckets), 1.0), (0.0, 1.0)],
        LIMIT.stroke_width(1),
    ))?;
    for segment in segments {
        let curve = segment.into_iter().map(|(age, rate)| (hours(age), rate));
        chart.draw_series(LineSeries::new(curve, RATE.filled().stroke_width(2)).point_size(2))?;
    }
    root.present()?;
    drop(chart);
    drop(root);
    Ok(())
}

/// Splits the curve where buckets have no events. Values may come from another machine, so ages and
/// rates are bounded.
fn segments(line: &Line, points: &[Point], buckets: u16) -> Vec<Vec<(u16, f64)>> {
    let allowed = (1.0 - line.target).clamp(1e-9, 1.0);
    let mut segments: Vec<Vec<(u16, f64)>> = Vec::new();
    let mut previous: Option<u16> = None;
    for point in points.iter().take(usize::from(buckets) + 1) {
        let total = point.good as f64 + point.bad as f64;
        if point.age > buckets || total <= 0.0 {
            continue;
        }
        let rate = (point.bad as f64 / total / allowed).min(MAX_RATE);
        match segments.last_mut() {
            Some(segment) if previous == point.age.checked_sub(1) => {
                segment.push((point.age, rate))
            }
            _ => segments.push(vec![(point.age, rate)]),
        }
        previous = Some(point.age);
    }
    segments
}
