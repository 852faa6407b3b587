//! The subcommands `deckwind template|account|target apply|list|show|retire`.

use super::{path_arg, string_arg};
use crate::context::{Context, Exit};
use crate::ops::{self, ApplyOptions, ObjectKind};
use anyhow::Result;
use clap::{Arg, ArgMatches, Command, value_parser};
use comfy_table::Table;
use deckwind_core::state::Revision;
use deckwind_wire::operator::AppliedAnswer;
use std::path::PathBuf;
use std::time::Duration;

/// Kind of templates.
pub const TEMPLATE: ObjectKind = ObjectKind::Template;
/// Kind of client accounts.
pub const ACCOUNT: ObjectKind = ObjectKind::Account;
/// Kind of targets.
pub const TARGET: ObjectKind = ObjectKind::Target;

/// Returns the parser of the subcommand for one kind of object.
pub fn cli(kind: ObjectKind) -> Command {
    let kind_name = kind.as_str();
    let name = Arg::new("name").required(true);
    let file = Arg::new("file")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("File with the object as JSON, comments allowed; - for standard input");
    Command::new(kind_name)
        .about(format!("Manages {kind_name}s"))
        .subcommand_required(true)
        .subcommand(change_options(
            Command::new("apply")
                .about(format!(
                    "Creates or replaces the {kind_name} in the given file"
                ))
                .arg(file),
        ))
        .subcommand(change_options(
            Command::new("retire")
                .about(format!("Retires the {kind_name} with this name"))
                .arg(name.clone()),
        ))
        .subcommand(Command::new("list").about(format!("Lists the {kind_name}s")))
        .subcommand(
            Command::new("show")
                .about(format!("Shows the {kind_name} with this name"))
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
                .help("Expected revision of the object; 0 if the object must be new"),
        )
        .arg(
            Arg::new("request-id")
                .long("request-id")
                .value_name("ID")
                .help("Id of the change, the same when it is sent again; random by default"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .value_name("TIME")
                .default_value("3s")
                .value_parser(|t: &str| humantime::parse_duration(t).map_err(|e| e.to_string()))
                .help("Maximum time to wait until the change is in force everywhere"),
        )
}

fn apply_options(args: &ArgMatches) -> ApplyOptions {
    let id = args.get_one::<String>("request-id").cloned();
    let wait = args.get_one::<Duration>("wait").copied();
    ApplyOptions {
        expected: args.get_one::<u64>("expect").copied().map(Revision),
        request_id: id.unwrap_or_else(ops::new_request_id),
        wait: wait.unwrap_or(Duration::from_secs(3)),
    }
}

/// Runs the subcommand for one kind of object.
pub fn exec(cx: &Context, kind: ObjectKind, args: &ArgMatches) -> Result<Exit> {
    match args.subcommand() {
        Some(("apply", args)) => {
            let change = ops::read_change(kind, &path_arg(args, "file")?)?;
            print_applied(cx, ops::apply(&cx.api()?, change, &apply_options(args))?)
        }
        Some(("retire", args)) => {
            let change = kind.retire(&string_arg(args, "name")?);
            print_applied(cx, ops::apply(&cx.api()?, change, &apply_options(args))?)
        }
        Some(("list", _)) => {
            let rows = ops::list(&cx.api()?, kind)?;
            cx.print(&rows, |rows| table(rows))?;
            Ok(Exit::Ok)
        }
        Some(("show", args)) => {
            let row = ops::show(&cx.api()?, kind, &string_arg(args, "name")?)?;
            println!("{}", serde_json::to_string_pretty(&row)?);
            Ok(Exit::Ok)
        }
        _ => Ok(Exit::Failed),
    }
}

fn print_applied(cx: &Context, answer: AppliedAnswer) -> Result<Exit> {
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
