//! `deckwind template|account|target apply|list|show|retire`

use super::{file_of, text_of};
use crate::context::{Context, Exit};
use crate::ops::{self, ApplyOptions, ObjectKind};
use anyhow::Result;
use clap::{Arg, ArgMatches, Command, value_parser};
use comfy_table::Table;
use deckwind_core::state::Revision;
use deckwind_wire::operator::AppliedAnswer;
use std::path::PathBuf;
use std::time::Duration;

/// Templates.
pub const TEMPLATE: ObjectKind = ObjectKind::Template;
/// Client accounts.
pub const ACCOUNT: ObjectKind = ObjectKind::Account;
/// Targets.
pub const TARGET: ObjectKind = ObjectKind::Target;

/// The command of one kind of object.
pub fn cli(kind: ObjectKind) -> Command {
    let word = kind.word();
    let name = Arg::new("name").required(true);
    let file = Arg::new("file")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("JSON with comments; - for standard input");
    Command::new(word)
        .about(format!("Writes and reads {word}s"))
        .subcommand_required(true)
        .subcommand(change_options(
            Command::new("apply")
                .about(format!("Writes a {word}"))
                .arg(file),
        ))
        .subcommand(change_options(
            Command::new("retire")
                .about(format!("Takes a {word} out of use"))
                .arg(name.clone()),
        ))
        .subcommand(Command::new("list").about(format!("Lists the {word}s")))
        .subcommand(
            Command::new("show")
                .about(format!("Shows a {word}"))
                .arg(name),
        )
}

fn change_options(command: Command) -> Command {
    command
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("REVISION")
                .value_parser(value_parser!(u64))
                .help("Revision of the object that the change builds on; 0 if it must be new"),
        )
        .arg(
            Arg::new("request-id")
                .long("request-id")
                .value_name("ID")
                .help("The same on a resend; made up and printed if not given"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .value_name("TIME")
                .default_value("3s")
                .value_parser(|t: &str| humantime::parse_duration(t).map_err(|e| e.to_string()))
                .help("How long to wait for the change to be in force everywhere"),
        )
}

fn options_of(args: &ArgMatches) -> ApplyOptions {
    let id = args.get_one::<String>("request-id").cloned();
    let wait = args.get_one::<Duration>("wait").copied();
    ApplyOptions {
        expected: args.get_one::<u64>("expect").copied().map(Revision),
        request_id: id.unwrap_or_else(ops::new_request_id),
        wait: wait.unwrap_or(Duration::from_secs(3)),
    }
}

/// Runs it.
pub fn exec(cx: &Context, kind: ObjectKind, args: &ArgMatches) -> Result<Exit> {
    match args.subcommand() {
        Some(("apply", args)) => {
            let change = ops::read_change(kind, &file_of(args, "file")?)?;
            changed(cx, ops::apply(&cx.api()?, change, &options_of(args))?)
        }
        Some(("retire", args)) => {
            let change = kind.retire(&text_of(args, "name")?);
            changed(cx, ops::apply(&cx.api()?, change, &options_of(args))?)
        }
        Some(("list", _)) => {
            let rows = ops::list(&cx.api()?, kind)?;
            cx.print(&rows, |rows| table(rows))?;
            Ok(Exit::Ok)
        }
        Some(("show", args)) => {
            let row = ops::show(&cx.api()?, kind, &text_of(args, "name")?)?;
            println!("{}", serde_json::to_string_pretty(&row)?);
            Ok(Exit::Ok)
        }
        _ => Ok(Exit::Failed),
    }
}

fn changed(cx: &Context, answer: AppliedAnswer) -> Result<Exit> {
    cx.print(&answer, |a| {
        let lagging: Vec<&str> = a.lagging.iter().map(|vm| vm.as_str()).collect();
        match (a.in_force, lagging.is_empty()) {
            (true, _) => format!("revision {} in force", a.revision),
            (false, true) => format!(
                "revision {} accepted, not yet known to be in force",
                a.revision
            ),
            (false, false) => format!(
                "revision {} accepted, lagging: {}",
                a.revision,
                lagging.join(", ")
            ),
        }
    })?;
    Ok(if answer.in_force {
        Exit::Ok
    } else {
        Exit::NotYetInForce
    })
}

fn table(rows: &[ops::ObjectRow]) -> String {
    let mut table = Table::new();
    table.set_header(["name", "revision", "what"]);
    for row in rows {
        table.add_row([
            row.name.clone(),
            row.revision.to_string(),
            row.summary.clone(),
        ]);
    }
    table.to_string()
}
