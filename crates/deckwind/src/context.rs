//! What every command is given, and how commands end.

use crate::ops::ControlApi;
use anyhow::{Context as _, Result, bail};
use clap::ArgMatches;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// How a command ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done; a change is in force everywhere.
    Ok,
    /// It failed; nothing was changed.
    Failed,
    /// A change was rejected; nothing was changed.
    Rejected,
    /// A change was accepted, and is not yet in force everywhere.
    NotYetInForce,
    /// It is not known whether a change was accepted: send it again with the
    /// same request id.
    Unknown,
}

impl Exit {
    /// The process's exit code. 2 is clap's, for a wrong command line.
    pub fn code(self) -> u8 {
        match self {
            Exit::Ok => 0,
            Exit::Failed => 1,
            Exit::Rejected => 3,
            Exit::NotYetInForce => 4,
            Exit::Unknown => 5,
        }
    }
}

/// An error that has an exit code of its own.
#[derive(Debug, Error)]
#[error("{message}")]
pub struct ExitError {
    /// The code.
    pub exit: Exit,
    /// What to tell.
    pub message: String,
}

/// The exit code of an error.
pub fn exit_of(e: &anyhow::Error) -> Exit {
    e.downcast_ref::<ExitError>()
        .map_or(Exit::Failed, |e| e.exit)
}

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Context of one command.
pub struct Context {
    /// How to print.
    pub format: Format,
    /// Control replicas.
    pub control: Vec<SocketAddr>,
    /// File that holds the operators' token.
    pub token_file: Option<PathBuf>,
}

impl Context {
    /// Of the arguments that all commands share.
    pub fn of(args: &ArgMatches) -> Self {
        let json = args
            .get_one::<String>("format")
            .is_some_and(|f| f == "json");
        let control = args.get_many::<SocketAddr>("control").unwrap_or_default();
        Self {
            format: if json { Format::Json } else { Format::Text },
            control: control.copied().collect(),
            token_file: args.get_one::<PathBuf>("token-file").cloned(),
        }
    }

    /// The control replicas' interface.
    pub fn api(&self) -> Result<ControlApi> {
        if self.control.is_empty() {
            bail!("no control replica is named; give --control IP:PORT, once for each");
        }
        if self.token_file.is_none() {
            bail!("the operators' token is missing; give --token-file FILE");
        }
        self.api_for_status()
    }

    /// The same to read the status, which needs no token where the settings hold
    /// none.
    pub fn api_for_status(&self) -> Result<ControlApi> {
        if self.control.is_empty() {
            bail!("no control replica is named; give --control IP:PORT, once for each");
        }
        let read = |file: &PathBuf| {
            let token = std::fs::read_to_string(file)
                .with_context(|| format!("the token file {} can't be read", file.display()))?;
            Ok::<String, anyhow::Error>(token.trim().to_string())
        };
        let token = self.token_file.as_ref().map(read).transpose()?;
        Ok(ControlApi::new(self.control.clone(), token))
    }

    /// Prints a result: as JSON, or as `text` makes it.
    pub fn print<T: serde::Serialize>(
        &self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<()> {
        match self.format {
            Format::Json => println!("{}", serde_json::to_string_pretty(value)?),
            Format::Text => println!("{}", text(value)),
        }
        Ok(())
    }
}
