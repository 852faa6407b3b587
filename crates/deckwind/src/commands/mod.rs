//! Subcommands, one module each: the arguments, and the call of the operation in
//! [`ops`](crate::ops).

pub mod completions;
pub mod keys;
pub mod object;
pub mod quarantine;
pub mod report;
pub mod settings;
pub mod status;

use anyhow::{Context as _, Result};
use clap::ArgMatches;
use std::path::PathBuf;

/// Returns the path given as the argument `name`.
fn path_arg(args: &ArgMatches, name: &str) -> Result<PathBuf> {
    let file = args.get_one::<PathBuf>(name);
    Ok(file.with_context(|| format!("{name} is missing"))?.clone())
}

/// Returns the string given as the argument `name`.
fn string_arg(args: &ArgMatches, name: &str) -> Result<String> {
    let text = args.get_one::<String>(name);
    Ok(text.with_context(|| format!("{name} is missing"))?.clone())
}
