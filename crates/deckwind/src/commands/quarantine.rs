//! The subcommand `deckwind quarantine list|lift`.

use super::string_arg;
use crate::context::{Context, Exit};
use anyhow::Result;
use clap::{Arg, ArgMatches, Command};
use comfy_table::Table;
use deckwind_core::control::QuarantinedView;
use std::time::Duration;

/// Argument with the digest of a request content.
const CONTENT: &str = "CONTENT";

/// Returns the parser of the subcommand.
pub fn cli() -> Command {
    let content = Arg::new(CONTENT)
        .required(true)
        .help("Digest of the request content, as in `quarantine list` and in the routers' logs");
    Command::new("quarantine")
        .about("Manages requests that are sent to no target, because targets crashed on them")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists the quarantined requests"))
        .subcommand(
            Command::new("lift")
                .about("Lifts the quarantine of a request and forgets the crashes on it")
                .arg(content),
        )
}

/// Lists the quarantined requests, or lifts the quarantine of one.
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
    let content = string_arg(args, CONTENT)?.parse()?;
    let answer = cx.api()?.lift(content)?;
    cx.print(&answer, |a| {
        format!(
            "quarantine of {content} lifted as of revision {}",
            a.revision
        )
    })?;
    Ok(match answer.in_force {
        true => Exit::Ok,
        false => Exit::NotYetInForce,
    })
}

/// Formats the quarantined requests as a text table.
pub fn table(quarantined: &[QuarantinedView]) -> String {
    let mut table = Table::new();
    table.set_header(["content", "ended", "expires in"]);
    for view in quarantined {
        let remaining = Duration::from_secs(view.left_ms / 1_000);
        let remaining = humantime::format_duration(remaining).to_string();
        table.add_row([view.content.clone(), view.ended.join(", "), remaining]);
    }
    table.to_string()
}
