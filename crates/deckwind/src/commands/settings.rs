//! `deckwind settings check FILE`

use super::file_of;
use crate::context::{Context, Exit};
use anyhow::Result;
use clap::{Arg, ArgMatches, Command, value_parser};
use std::path::PathBuf;

/// The command.
pub fn cli() -> Command {
    let file = Arg::new("file")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    Command::new("settings")
        .about("Settings files")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks a settings file and prints all findings")
                .arg(file),
        )
}

/// Checks the file.
pub fn exec(cx: &Context, args: &ArgMatches) -> Result<Exit> {
    let Some((_, args)) = args.subcommand() else {
        return Ok(Exit::Failed);
    };
    let file = file_of(args, "file")?;
    deckwind_config::load(&file)?;
    cx.print(&serde_json::json!({ "findings": [] }), |_| {
        format!("{}: no findings", file.display())
    })?;
    Ok(Exit::Ok)
}
