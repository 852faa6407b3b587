//! Burn report as one self-contained HTML page.

use anyhow::{Result, anyhow};
use deckwind_core::burn::{Alert, BurnReport, BurnRow, Window};
use maud::{DOCTYPE, PreEscaped, html};
use plotters::prelude::*;

const WIDTH: u32 = 900;
const ROW_HEIGHT: u32 = 26;
const MARGINS: u32 = 110;

const STYLE: &str = "body{font:15px sans-serif;margin:2em;max-width:70em}\
    table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.3em .6em;text-align:left}\
    .page{background:#f8d0d0}.ticket{background:#f8ecc8}";

/// Renders the page: a table of all rows, and a plot per window.
pub fn burn_page(report: &BurnReport) -> Result<String> {
    let mut plots = Vec::new();
    for window in Window::ALL {
        plots.push((window, plot(report, window)?));
    }
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "deckwind: service-level burn" }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "Service-level burn" }
                p {
                    "A burn rate of 1 spends the error budget in exactly its period. Page: burn rate above 14.4 over 1h and 5m. "
                    "Ticket: burn rate above 6 over 6h and 1h."
                }
                table {
                    tr {
                        th { "template" } th { "account" } th { "objective" } th { "answers" }
                        th { "on time" } th { "budget left" }
                        @for window in Window::ALL { th { "burn " (window.label()) } }
                        th { "alert" }
                    }
                    @for row in &report.rows { (table_row(row)) }
                }
                @for (window, svg) in &plots {
                    h2 { "Burn over " (window.label()) }
                    (PreEscaped(svg))
                }
            }
        }
    };
    Ok(page.into_string())
}

fn table_row(row: &BurnRow) -> maud::Markup {
    let class = match row.alert() {
        Alert::Page => "page",
        Alert::Ticket => "ticket",
        Alert::Ok => "ok",
    };
    html! {
        tr class=(class) {
            td { (row.template) } td { (row.account) }
            td { (row.objective.share * 100.0) "% in " (row.objective.within_ms) "ms" }
            td { (row.since_start.total) } td { (row.since_start.good) }
            td { (format!("{:.0}%", row.budget_left() * 100.0)) }
            @for w in &row.windows { td { (format!("{:.1}", w.burn)) } }
            td { (class) }
        }
    }
}

fn burn_of(row: &BurnRow, window: Window) -> f64 {
    let found = row.windows.iter().find(|w| w.window == window);
    found.map_or(0.0, |w| w.burn)
}

fn plot(report: &BurnReport, window: Window) -> Result<String> {
    let rows = report.rows.len().max(1);
    let names: Vec<String> = report
        .rows
        .iter()
        .map(|r| format!("{} / {}", r.template, r.account))
        .collect();
    let max_burn = report
        .rows
        .iter()
        .map(|r| burn_of(r, window))
        .fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let height = MARGINS + ROW_HEIGHT * rows as u32;
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(260)
            .build_cartesian_2d(0.0..max_burn * 1.05, (0..rows as i32).into_segmented())
            .map_err(|e| anyhow!("{e}"))?;
        chart
            .configure_mesh()
            .disable_y_mesh()
            .x_desc("burn rate")
            .y_labels(rows)
            .y_label_formatter(&|y| match y {
                SegmentValue::CenterOf(i) => names.get(*i as usize).cloned().unwrap_or_default(),
                _ => String::new(),
            })
            .draw()
            .map_err(|e| anyhow!("{e}"))?;
        let bars = report.rows.iter().enumerate().map(|(i, row)| {
            let i = i as i32;
            let from = (0.0, SegmentValue::Exact(i));
            let to = (burn_of(row, window), SegmentValue::Exact(i + 1));
            let mut bar = Rectangle::new([from, to], BLUE.mix(0.6).filled());
            bar.set_margin(4, 4, 0, 0);
            bar
        });
        chart.draw_series(bars).map_err(|e| anyhow!("{e}"))?;
        area.present().map_err(|e| anyhow!("{e}"))?;
    }
    Ok(svg)
}
