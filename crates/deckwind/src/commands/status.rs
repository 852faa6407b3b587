//! `deckwind status`

use crate::context::{Context, Exit};
use anyhow::Result;
use clap::{ArgMatches, Command};
use comfy_table::Table;
use deckwind_core::control::ClusterStatus;

/// The command.
pub fn cli() -> Command {
    Command::new("status").about("Shows how the cluster is")
}

/// Asks the leader.
pub fn exec(cx: &Context, _: &ArgMatches) -> Result<Exit> {
    let status = cx.api()?.status()?;
    cx.print(&status, table)?;
    Ok(Exit::Ok)
}

/// The status for people.
pub fn table(status: &ClusterStatus) -> String {
    let mut lines = vec![format!(
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
    )];
    let mut replicas = Table::new();
    replicas.set_header(["replica", "votes"]);
    for r in &status.replicas {
        replicas.add_row([r.id.clone(), r.votes.to_string()]);
    }
    lines.push(replicas.to_string());
    let mut routers = Table::new();
    routers.set_header(["router", "applied", "admin"]);
    for r in &status.routers {
        routers.add_row([r.vm.to_string(), r.applied.to_string(), r.admin.to_string()]);
    }
    lines.push(routers.to_string());
    lines.join("\n")
}
