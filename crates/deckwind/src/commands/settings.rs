//! The subcommand `deckwind settings check FILE`.

use super::path_arg;
use crate::context::{Context, Exit};
use anyhow::Result;
use clap::{Arg, ArgMatches, Command, value_parser};
use std::path::PathBuf;

/// Returns the parser of the subcommand.
pub fn cli() -> Command {
    let file = Arg::new("file")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    Command::new("settings")
        .about("Checks settings files")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks a settings file and prints all findings")
                .arg(file),
        )
}

/// Checks the settings file.
///
/// # Errors
///
/// Fails with all findings if there are any.
pub fn exec(cx: &Context, args: &ArgMatches) -> Result<Exit> {
    let Some((_, args)) = args.subcommand() else {
        return Ok(Exit::Failed);
    };
    let file = path_arg(args, "file")?;
    deckwind_config::load(&file)?;
    cx.print(&serde_json::json!({ "findings": [] }), |_| {
        format!("{}: no findings", file.display())
    })?;
    Ok(Exit::Ok)
}
