//! The subcommand `deckwind completions SHELL`.

use crate::context::{Context, Exit};
use anyhow::{Context as _, Result};
use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

/// Returns the parser of the subcommand.
pub fn cli() -> Command {
    Command::new("completions")
        .about("Prints the completion script of a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

/// Prints the completion script.
pub fn exec(_: &Context, args: &ArgMatches) -> Result<Exit> {
    let shell = *args.get_one::<Shell>("shell").context("shell is missing")?;
    clap_complete::generate(
        shell,
        &mut crate::cli::cli(),
        "deckwind",
        &mut std::io::stdout(),
    );
    Ok(Exit::Ok)
}
