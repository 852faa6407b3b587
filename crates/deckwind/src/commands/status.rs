//! The subcommand `deckwind status`.

use super::quarantine;
use crate::context::{Context, Exit};
use anyhow::Result;
use clap::{Arg, ArgAction, ArgMatches, Command};
use comfy_table::Table;
use deckwind_core::control::{ClusterStatus, EngineView, RouterView};
use deckwind_core::state::{DataCentre, InstanceState};
use std::collections::BTreeMap;

/// Flag to list every target.
const ENGINES: &str = "engines";

/// Returns the parser of the subcommand.
pub fn cli() -> Command {
    let engines = Arg::new(ENGINES)
        .long(ENGINES)
        .action(ArgAction::SetTrue)
        .help("Also list every target that announces itself");
    Command::new("status")
        .about("Shows the status of the cluster")
        .arg(engines)
}

/// Reads the status from the leader and prints it.
pub fn exec(cx: &Context, args: &ArgMatches) -> Result<Exit> {
    let status = cx.api_for_status()?.status()?;
    cx.print(&status, |s| {
        let mut text = table(s);
        if args.get_flag(ENGINES) {
            text = format!("{text}\n{}", engine_table(&s.engines));
        }
        text
    })?;
    Ok(Exit::Ok)
}

/// Formats the status as text.
pub fn table(status: &ClusterStatus) -> String {
    let mut lines = vec![summary_line(status)];
    let mut replicas = Table::new();
    replicas.set_header(["replica", "votes", "leads"]);
    for r in &status.replicas {
        replicas.add_row([r.id.clone(), r.votes.to_string(), r.leads.to_string()]);
    }
    lines.push(replicas.to_string());
    lines.extend(voters_line(status));
    lines.push(router_table(&status.routers));
    if !status.engines.is_empty() {
        lines.push(pool_table(&status.engines));
    }
    if !status.quarantined.is_empty() {
        lines.push(quarantine::table(&status.quarantined));
    }
    lines.join("\n")
}

fn summary_line(status: &ClusterStatus) -> String {
    format!(
        "leader slot {} term {} revision {} {} claims {} log entries {}",
        status.leader,
        status.term.0,
        status.revision,
        if status.in_force {
            "in force"
        } else {
            "not yet in force"
        },
        status.claims,
        status.log_entries
    )
}

/// Returns how many replicas vote and who does not yet, or `None` if as many vote as wanted.
fn voters_line(status: &ClusterStatus) -> Option<String> {
    let voters = status.replicas.iter().filter(|r| r.votes).count();
    if voters >= status.voters_wanted && status.waiting.is_empty() {
        return None;
    }
    let waiting = status.waiting.iter();
    let waiting = waiting.map(|w| format!("; {} waits: {}", w.id, w.waits_for));
    let waiting: String = waiting.collect();
    Some(format!(
        "{voters} of {} replicas vote{waiting}",
        status.voters_wanted
    ))
}

/// Table cell for an unknown value.
const UNKNOWN: &str = "-";

fn or_unknown<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| UNKNOWN.to_string(), |v| v.to_string())
}

fn router_table(views: &[RouterView]) -> String {
    let mut table = Table::new();
    table.set_header([
        "router",
        "applied",
        "behind",
        "lease ms",
        "buffered bytes",
        "unused retries",
        "admin address",
    ]);
    for r in views {
        table.add_row([
            r.vm.to_string(),
            r.applied.to_string(),
            r.behind.to_string(),
            r.lease_ms.to_string(),
            or_unknown(r.held_bytes),
            or_unknown(r.repeats),
            r.admin.to_string(),
        ]);
    }
    table.to_string()
}

/// Numbers of targets of one pool in one data centre.
#[derive(Clone, Copy, Debug, Default)]
struct TargetCounts {
    ready: usize,
    draining: usize,
    silent: usize,
    with_layers: usize,
    with_orders: usize,
    suspected: usize,
}

fn pool_table(views: &[EngineView]) -> String {
    let mut counts: BTreeMap<(&str, &DataCentre), TargetCounts> = BTreeMap::new();
    for e in views {
        let count = counts.entry((&e.pool, &e.data_centre)).or_default();
        match e.state {
            InstanceState::Ready => count.ready += 1,
            InstanceState::Draining => count.draining += 1,
            InstanceState::Silent => count.silent += 1,
        }
        count.with_layers += usize::from(!e.layers.is_empty());
        count.with_orders += usize::from(e.ordered.is_some());
        count.suspected += usize::from(e.suspected);
    }
    let mut table = Table::new();
    table.set_header([
        "pool",
        "data centre",
        "ready",
        "draining",
        "silent",
        "with layers",
        "ordered",
        "suspected",
    ]);
    for ((pool, dc), c) in counts {
        let numbers = [
            c.ready,
            c.draining,
            c.silent,
            c.with_layers,
            c.with_orders,
            c.suspected,
        ];
        let mut row = vec![pool.to_string(), dc.to_string()];
        row.extend(numbers.map(|n| n.to_string()));
        table.add_row(row);
    }
    table.to_string()
}

fn engine_table(views: &[EngineView]) -> String {
    let mut table = Table::new();
    table.set_header([
        "target",
        "started (Unix ms)",
        "address",
        "state",
        "heard ms ago",
        "accelerator",
        "layers",
        "ordered",
        "layer tokens",
        "pace",
        "suspected",
    ]);
    let range = |r: deckwind_core::state::LayerRange| format!("{}-{}", r.first, r.last);
    for e in views {
        let pace = e.pace_per_mille.map(|p| f64::from(p) / 1_000.0);
        table.add_row([
            e.id.clone(),
            or_unknown(e.born),
            e.address.to_string(),
            format!("{:?}", e.state).to_lowercase(),
            or_unknown(e.heard_ms),
            or_unknown(e.accelerator.clone()),
            range(e.layers),
            or_unknown(e.ordered.map(range)),
            or_unknown(e.layer_tokens),
            or_unknown(pace),
            e.suspected.to_string(),
        ]);
    }
    table.to_string()
}
