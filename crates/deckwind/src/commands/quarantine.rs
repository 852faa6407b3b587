//! The subcommand `deckwind quarantine list|lift`.

use super::string_arg;
use crate::context::{Context, Exit};
use anyhow::Result;
use clap::{Arg, ArgMatches, Command};
use comfy_table::Table;
use deckwind_core::control::QuarantinedView;
use std::time::Duration;

/// Argument with a trait of requests.
const TRAIT: &str = "TRAIT";

/// Returns the parser of the subcommand.
pub fn cli() -> Command {
    let suspect = Arg::new(TRAIT).required(true).help(
        "Digest of a request, or part of prompts, as in `quarantine list` and in the routers' logs",
    );
    Command::new("quarantine")
        .about("Manages requests that are sent to no target, because targets crashed on them")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists the quarantined requests"))
        .subcommand(
            Command::new("lift")
                .about("Lifts the quarantine of requests and forgets the crashes on them")
                .arg(suspect),
        )
}

/// Lists what is quarantined, or lifts a quarantine.
pub fn exec(cx: &Context, args: &ArgMatches) -> Result<Exit> {
    match args.subcommand() {
        Some(("list", _)) => {
            let status = cx.api_for_status()?.status()?;
            cx.print(&status.quarantined, |quarantined| table(quarantined))?;
            Ok(Exit::Ok)
        }
        Some(("lift", args)) => lift(cx, args),
        _ => Ok(Exit::Failed),
    }
}

fn lift(cx: &Context, args: &ArgMatches) -> Result<Exit> {
    let suspect = string_arg(args, TRAIT)?.parse()?;
    let answer = cx.api()?.lift(suspect)?;
    cx.print(&answer, |a| {
        format!(
            "quarantine of {suspect} lifted as of revision {}",
            a.revision
        )
    })?;
    Ok(match answer.in_force {
        true => Exit::Ok,
        false => Exit::NotYetInForce,
    })
}

/// Formats what is quarantined as a text table.
pub fn table(quarantined: &[QuarantinedView]) -> String {
    let mut table = Table::new();
    table.set_header(["traits", "ended", "expires in"]);
    for view in quarantined {
        let remaining = Duration::from_secs(view.left_ms / 1_000);
        let remaining = humantime::format_duration(remaining).to_string();
        table.add_row([view.traits.join(", "), view.ended.join(", "), remaining]);
    }
    table.to_string()
}
