//! Plots of a report as an SVG document.

use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::coord::Shift;
use plotters::drawing::{DrawingArea, IntoDrawingArea};
use plotters::prelude::{BLUE, GREEN, IntoFont, LineSeries, RED, RGBColor, WHITE};

use crate::error::LoadError;
use crate::number::count_to_f64;
use crate::report::{Report, SecondStats};

/// Width and height of the document in pixels.
const SIZE: (u32, u32) = (900, 900);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Label, colour and points of a line in a plot.
type Line<'a> = (&'a str, RGBColor, Vec<(f64, f64)>);

/// Renders plots of the response time, the response ratio and the number of jobs over time.
///
/// # Errors
///
/// Returns an error if the plotting library fails.
///
/// # Examples
///
/// ```
/// let svg = chestnutfork_load::render_svg(&chestnutfork_load::Report::default())?;
/// assert!(svg.starts_with("<svg"));
/// # Ok::<(), chestnutfork_load::LoadError>(())
/// ```
pub fn render_svg(report: &Report) -> Result<String, LoadError> {
    let mut text = String::new();
    draw(report, &mut text).map_err(|reason| LoadError::Plot { reason })?;
    Ok(text)
}

fn draw(report: &Report, text: &mut String) -> Result<(), String> {
    let root = SVGBackend::with_string(text, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|e| e.to_string())?;
    let areas = root.split_evenly((3, 1));
    let line = |value: fn(&SecondStats) -> f64| -> Vec<(f64, f64)> {
        let points = report.series.iter();
        points
            .map(|point| (count_to_f64(point.second), value(point)))
            .collect()
    };
    let lines: [(&str, Vec<Line<'_>>); 3] = [
        (
            "worst response time of the jobs planned in each second (ms)",
            vec![("worst", RED, line(|point| point.worst_ms))],
        ),
        (
            "worst ratio of response time to ideal",
            vec![("worst", RED, line(|point| point.worst_ratio))],
        ),
        (
            "jobs per second: planned (blue) and completed (green)",
            vec![
                ("planned", BLUE, line(|point| count_to_f64(point.jobs))),
                ("completed", GREEN, line(|point| count_to_f64(point.completed))),
            ],
        ),
    ];
    for (area, (caption, lines)) in areas.iter().zip(&lines) {
        draw_lines(area, caption, lines)?;
    }
    root.present().map_err(|e| e.to_string())
}

fn draw_lines(area: &Area<'_>, caption: &str, lines: &[Line<'_>]) -> Result<(), String> {
    let points = || lines.iter().flat_map(|(_, _, points)| points);
    let max_x = points().map(|point| point.0).fold(1.0, f64::max);
    let max_y = points().map(|point| point.1).fold(1.0, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16).into_font())
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)
        .map_err(|e| e.to_string())?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("seconds").draw().map_err(|e| e.to_string())?;
    for (_, color, points) in lines {
        let series = LineSeries::new(points.iter().copied(), color);
        chart.draw_series(series).map_err(|e| e.to_string())?;
    }
    Ok(())
}
