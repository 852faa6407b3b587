//! The subcommand `deckwind report burn`.

use crate::context::{Context, Exit};
use crate::ops;
use anyhow::{Context as _, Result};
use clap::{Arg, ArgMatches, Command, value_parser};
use comfy_table::Table;
use deckwind_core::burn::{BurnReport, BurnRow};
use std::path::PathBuf;

/// Returns the parser of the subcommand.
pub fn cli() -> Command {
    let html = Arg::new("html")
        .long("html")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Also write the report as an HTML page with plots");
    Command::new("report")
        .about("Reports")
        .subcommand_required(true)
        .subcommand(
            Command::new("burn")
                .about("Shows how fast each template and account spends its error budget")
                .arg(html),
        )
}

/// Collects the routers' counts and prints the report.
pub fn exec(cx: &Context, args: &ArgMatches) -> Result<Exit> {
    let Some((_, args)) = args.subcommand() else {
        return Ok(Exit::Failed);
    };
    let collected = ops::collect_burn(&cx.api()?)?;
    if let Some(file) = args.get_one::<PathBuf>("html") {
        let page = ops::burn_page(&collected.report)?;
        std::fs::write(file, page)
            .with_context(|| format!("failed to write {}", file.display()))?;
    }
    cx.print(&collected.report, table)?;
    for router in &collected.unanswered {
        eprintln!("warning: router {router} did not answer; the report is incomplete");
    }
    Ok(Exit::Ok)
}

/// Formats the report as a text table.
pub fn table(report: &BurnReport) -> String {
    let mut table = Table::new();
    table.set_header([
        "template",
        "account",
        "objective",
        "answers",
        "on time",
        "budget left",
        "burn 5m",
        "burn 1h",
        "burn 6h",
        "alert",
    ]);
    for row in &report.rows {
        table.add_row(cells(row));
    }
    table.to_string()
}

fn cells(row: &BurnRow) -> Vec<String> {
    let counts = row.since_start;
    let mut cells = vec![
        row.template.to_string(),
        row.account.to_string(),
        format!(
            "{}% in {}ms",
            row.objective.share * 100.0,
            row.objective.within_ms
        ),
        counts.total.to_string(),
        counts.good.to_string(),
        format!("{:.0}%", row.budget_left() * 100.0),
    ];
    cells.extend(row.windows.iter().map(|w| format!("{:.1}", w.burn)));
    cells.push(format!("{:?}", row.alert()).to_lowercase());
    cells
}
