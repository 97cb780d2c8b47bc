//! Renders the burn report as one HTML page with plots as inline SVG.

use std::fmt::Write;

use corneltrestle_node::counts::summary;
use plotters::prelude::*;

use super::text;

/// Limit on the plots of a page; rows with the worst verdicts come first.
const MAX_PLOTS: usize = 40;
/// Width and height of a plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (640, 180);
/// Lowest upper end of the burn rate axis, so that the line at burn rate 1 is always visible.
const MIN_AXIS_TOP: f64 = 2.0;

const STYLE: &str = "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}\
td,th{border:1px solid #999;padding:.2em .6em;text-align:right}\
td:first-child,td:nth-child(2),td:nth-child(3),th{text-align:left}\
.slow-burn{background:#fff2cc}.fast-burn,.exhausted{background:#f8cecc}";

const HEADERS: [&str; 9] = [
    "service",
    "organisation",
    "target",
    "counted in 24 h",
    "missed",
    "budget left",
    "burn 5 min",
    "burn 1 h",
    "verdict",
];

/// Renders the report as a page without scripts and without references to other files.
///
/// # Errors
///
/// When a plot cannot be drawn.
pub fn render(summary: &summary::Summary) -> Result<String, String> {
    let mut rows: Vec<_> = summary.rows.iter().collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.verdict));
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Burn report</title><style>{STYLE}</style></head><body>\n<h1>Burn report</h1>\n"
    );
    let _ = writeln!(
        page,
        "<p>Targets of revision {}; counts of {} nodes.</p>",
        summary.revision,
        summary.nodes.len()
    );
    if !summary.missing.is_empty() {
        let _ = writeln!(page, "<p><strong>{}</strong></p>", escape(&text::missing(summary)));
    }
    page.push_str(&table(&rows));
    page.push_str("<h2>Highest burn rate of each minute of the last hour</h2>\n");
    for row in rows.iter().take(MAX_PLOTS) {
        let _ = writeln!(
            page,
            "<h3>{} / {}</h3>\n{}",
            escape(row.service.as_str()),
            escape(row.organisation.as_str()),
            plot(&row.minutes).map_err(|e| e.to_string())?
        );
    }
    if rows.len() > MAX_PLOTS {
        let _ = writeln!(page, "<p>{} further rows are not plotted.</p>", rows.len() - MAX_PLOTS);
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn table(rows: &[&summary::Row]) -> String {
    let mut table = String::from("<table>\n<tr>");
    for header in HEADERS {
        let _ = write!(table, "<th>{header}</th>");
    }
    table.push_str("</tr>\n");
    for line in rows.iter().flat_map(|row| text::lines(row)) {
        let _ = write!(table, "<tr class=\"{}\">", escape(&line[8]));
        for cell in &line {
            let _ = write!(table, "<td>{}</td>", escape(cell));
        }
        table.push_str("</tr>\n");
    }
    table.push_str("</table>\n");
    table
}

/// Plots the burn rate by minute, with a line at 1, the rate that uses up the budget in exactly 24
/// hours.
fn plot(minutes: &[f64]) -> Result<String, Box<dyn std::error::Error + '_>> {
    let last = i32::try_from(minutes.len()).unwrap_or(i32::MAX) - 1;
    let top = minutes.iter().copied().fold(MIN_AXIS_TOP, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        let failed = |e: String| -> Box<dyn std::error::Error> { e.into() };
        area.fill(&WHITE).map_err(|e| failed(e.to_string()))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(-last..0, 0.0..top)
            .map_err(|e| failed(e.to_string()))?;
        chart
            .configure_mesh()
            .x_desc("minutes")
            .y_desc("burn rate")
            .x_labels(7)
            .y_labels(5)
            .draw()
            .map_err(|e| failed(e.to_string()))?;
        let points = (-last..=0).zip(minutes.iter().copied());
        chart.draw_series(LineSeries::new(points, &BLUE)).map_err(|e| failed(e.to_string()))?;
        let limit = [(-last, 1.0), (0, 1.0)];
        chart.draw_series(LineSeries::new(limit, &RED)).map_err(|e| failed(e.to_string()))?;
        area.present().map_err(|e| failed(e.to_string()))?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            c => escaped.push(c),
        }
    }
    escaped
}
