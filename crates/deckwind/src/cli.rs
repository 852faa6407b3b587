//! Command line: global options and the dispatch to the subcommands.

use crate::commands;
use crate::context::{Context, Exit, exit_of};
use anyhow::{Result, bail};
use clap::{Arg, ArgMatches, Command, value_parser};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

const EXIT_CODES: &str = "\
Exit codes:
  0  success; a change is in force everywhere
  1  failure; nothing was changed
  2  invalid command line
  3  the change was rejected; nothing was changed
  4  the change was accepted but is not yet in force everywhere
  5  unknown whether the change was accepted; send it again with the same --request-id";

/// Returns the command-line parser with all subcommands.
pub fn cli() -> Command {
    Command::new("deckwind")
        .about("Operates a deckwind cluster")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg(
            Arg::new("format")
                .long("format")
                .global(true)
                .value_parser(["text", "json"])
                .default_value("text")
                .help("Output format"),
        )
        .arg(
            Arg::new("control")
                .long("control")
                .global(true)
                .value_name("IP:PORT")
                .value_delimiter(',')
                .action(clap::ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Addresses of the control replicas' operator interface"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .global(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File with the operators' token"),
        )
        .subcommands([
            commands::settings::cli(),
            commands::object::cli(commands::object::TEMPLATE),
            commands::object::cli(commands::object::ACCOUNT),
            commands::object::cli(commands::object::TARGET),
            commands::status::cli(),
            commands::quarantine::cli(),
            commands::report::cli(),
            commands::keys::cli(),
            commands::completions::cli(),
        ])
}

/// Parses the arguments, runs the subcommand, and returns the exit code of the process.
pub fn main() -> ExitCode {
    match exec(&cli().get_matches()) {
        Ok(exit) => ExitCode::from(exit.code()),
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::from(exit_of(&e).code())
        }
    }
}

/// Runs the subcommand that the arguments select.
pub fn exec(args: &ArgMatches) -> Result<Exit> {
    let cx = Context::from_args(args);
    match args.subcommand() {
        Some(("settings", args)) => commands::settings::exec(&cx, args),
        Some(("template", args)) => commands::object::exec(&cx, commands::object::TEMPLATE, args),
        Some(("account", args)) => commands::object::exec(&cx, commands::object::ACCOUNT, args),
        Some(("target", args)) => commands::object::exec(&cx, commands::object::TARGET, args),
        Some(("status", args)) => commands::status::exec(&cx, args),
        Some(("quarantine", args)) => commands::quarantine::exec(&cx, args),
        Some(("report", args)) => commands::report::exec(&cx, args),
        Some(("keys", args)) => commands::keys::exec(&cx, args),
        Some(("completions", args)) => commands::completions::exec(&cx, args),
        _ => bail!("a subcommand is required; see --help"),
    }
}
