//! Report of the results as a table, as JSON and as a plot.

use plotters::prelude::*;
use serde_json::{Value, json};

/// Result of one class of requests in a run.
#[derive(Clone, Debug, Default)]
pub struct ClassResult {
    pub name: String,
    pub offered: u64,
    pub finished: u64,
    pub refused: u64,
    pub failed: u64,
    /// 95th percentile of the time to first token, in milliseconds.
    pub first_p95_ms: f64,
    /// 95th percentile of the time between two tokens, in milliseconds.
    pub gap_p95_ms: f64,
    /// Longest time that a refused request waited for its answer, in milliseconds.
    pub refusal_max_ms: f64,
}

/// Result of one run.
#[derive(Clone, Debug)]
pub struct RunResult {
    pub scenario: &'static str,
    pub policy: &'static str,
    /// Work finished while requests arrived, as a share of the fleet's maximum throughput.
    pub of_bound: f64,
    /// Share of prompt positions found in a prefix cache.
    pub prefix_hits: f64,
    /// Share of the targets' capacity that was idle while requests arrived.
    pub idle: f64,
    /// Number of times that a session's chain was replanned after a fault.
    pub rebuilds: u64,
    pub classes: Vec<ClassResult>,
}

/// Results of all runs.
#[derive(Default)]
pub struct Table(Vec<RunResult>);

impl Table {
    /// Adds the result of a run.
    pub fn push(&mut self, result: RunResult) {
        self.0.push(result);
    }

    /// Returns the results as a text table.
    pub fn text(&self) -> String {
        let mut lines = vec![format!(
            "{:<17} {:<13} {:>8} {:>6} {:>6} {:>8}  {:<28} {:>7} {:>8} {:>7} {:>6} {:>9} {:>8} {:>10}",
            "scenario",
            "policy",
            "of bound",
            "idle",
            "hits",
            "rebuilds",
            "class",
            "offered",
            "finished",
            "refused",
            "failed",
            "first p95",
            "gap p95",
            "refusal max"
        )];
        for r in &self.0 {
            for (i, c) in r.classes.iter().enumerate() {
                let head = if i == 0 {
                    format!(
                        "{:<17} {:<13} {:>8.3} {:>6.3} {:>6.2} {:>8}",
                        r.scenario, r.policy, r.of_bound, r.idle, r.prefix_hits, r.rebuilds
                    )
                } else {
                    " ".repeat(63)
                };
                lines.push(format!(
                    "{head}  {:<28} {:>7} {:>8} {:>7} {:>6} {:>7.0}ms {:>6.1}ms {:>8.0}ms",
                    c.name,
                    c.offered,
                    c.finished,
                    c.refused,
                    c.failed,
                    c.first_p95_ms,
                    c.gap_p95_ms,
                    c.refusal_max_ms
                ));
            }
        }
        lines.join("\n")
    }

    /// Returns the results as JSON.
    pub fn json(&self) -> serde_json::Result<String> {
        let class = |c: &ClassResult| {
            json!({
                "class": c.name, "offered": c.offered, "finished": c.finished,
                "refused": c.refused, "failed": c.failed, "first_p95_ms": c.first_p95_ms,
                "gap_p95_ms": c.gap_p95_ms, "refusal_max_ms": c.refusal_max_ms,
            })
        };
        let rows: Vec<Value> = self
            .0
            .iter()
            .map(|r| {
                json!({
                    "scenario": r.scenario, "policy": r.policy, "of_bound": r.of_bound,
                    "prefix_hits": r.prefix_hits, "idle": r.idle, "rebuilds": r.rebuilds,
                    "classes": r.classes.iter().map(class).collect::<Vec<_>>(),
                })
            })
            .collect();
        serde_json::to_string_pretty(&rows)
    }

    /// Returns an SVG bar plot of the work done in each run.
    pub fn svg(&self) -> Result<String, Box<dyn std::error::Error>> {
        const WIDTH: u32 = 900;
        const ROW_HEIGHT: u32 = 16;
        const MARGIN: u32 = 80;
        let rows = self.0.len();
        let names: Vec<String> = self
            .0
            .iter()
            .map(|r| format!("{} / {}", r.scenario, r.policy))
            .collect();
        let mut svg = String::new();
        {
            let size = (WIDTH, MARGIN + ROW_HEIGHT * rows as u32);
            let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
            area.fill(&WHITE)?;
            let mut chart = ChartBuilder::on(&area)
                .margin(8)
                .caption(
                    "work done as a share of the hardware bound",
                    ("sans-serif", 16),
                )
                .x_label_area_size(30)
                .y_label_area_size(240)
                .build_cartesian_2d(0.0..1.1, (0..rows as i32).into_segmented())?;
            chart
                .configure_mesh()
                .disable_y_mesh()
                .y_labels(rows)
                .y_label_formatter(&|y| match y {
                    SegmentValue::CenterOf(i) => {
                        names.get(*i as usize).cloned().unwrap_or_default()
                    }
                    _ => String::new(),
                })
                .draw()?;
            let bars = self.0.iter().enumerate().map(|(i, r)| {
                let colour = if r.policy == "estimated" {
                    BLUE
                } else {
                    RGBColor(150, 150, 150)
                };
                let from = (0.0, SegmentValue::Exact(i as i32));
                let to = (r.of_bound, SegmentValue::Exact(i as i32 + 1));
                let mut bar = Rectangle::new([from, to], colour.filled());
                bar.set_margin(2, 2, 0, 0);
                bar
            });
            chart.draw_series(bars)?;
            area.present()?;
        }
        Ok(svg)
    }
}
