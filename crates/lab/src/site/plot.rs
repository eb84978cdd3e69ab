//! Plots the fraction of requests served in time.

use std::error::Error;
use std::path::Path;

use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::Color;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

/// Width and height in pixels.
const SIZE: (u32, u32) = (720, 420);
/// Length of a line in the legend, in pixels.
const LEGEND: i32 = 18;

/// One line of a plot.
#[derive(Debug)]
pub struct Line {
    /// Label in the legend.
    pub name: String,
    /// Number of prefill replicas, and fraction served in time.
    pub points: Vec<(f64, f64)>,
}

/// Draws `lines` into an SVG file.
///
/// # Errors
/// If the file cannot be written.
pub fn draw(path: &Path, title: &str, lines: &[Line]) -> Result<(), Box<dyn Error>> {
    let points = || lines.iter().flat_map(|line| line.points.iter());
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let bottom = points().map(|point| point.1).fold(1.0, f64::min);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..right, bottom..1.0)?;
    chart
        .configure_mesh()
        .x_desc("replicas that read prompts")
        .y_desc("served in time")
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(series)?
            .label(line.name.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + LEGEND, y)], color));
    }
    chart.configure_series_labels().border_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
