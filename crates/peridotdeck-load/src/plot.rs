//! Plots of attainment over time.

use std::{error::Error, path::Path};

use plotters::prelude::*;

use crate::tally::Report;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Seconds over which attainment is averaged.
const WINDOW: usize = 2;

/// Draws attainment by class over time as an SVG file.
///
/// # Errors
/// If the file cannot be written.
pub fn attainment(report: &Report, path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let seconds = report.timeline.values().map(Vec::len).max().unwrap_or(1);
    let caption = format!(
        "Attainment by class, strategy {}, seed {}",
        report.strategy, report.seed
    );
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..105.0)?;
    chart
        .configure_mesh()
        .x_desc("second of arrival")
        .y_desc("attained, %")
        .draw()?;
    for (index, (class, timeline)) in report.timeline.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = timeline
            .windows(WINDOW)
            .enumerate()
            .filter_map(|(second, window)| {
                let sent: u64 = window.iter().map(|each| each.1).sum();
                let attained: u64 = window.iter().map(|each| each.0).sum();
                (sent > 0).then(|| (second as f64, attained as f64 * 100.0 / sent as f64))
            });
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(class)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
