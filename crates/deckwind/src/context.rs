//! Context shared by all commands, and their exit codes.

use crate::ops::ControlApi;
use anyhow::{Context as _, Result, bail};
use clap::ArgMatches;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Outcome of a command, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Success; a change is in force everywhere.
    Ok,
    /// Failure; nothing was changed.
    Failed,
    /// Rejected change; nothing was changed.
    Rejected,
    /// Accepted change that is not yet in force everywhere.
    NotYetInForce,
    /// Change of which it is unknown whether it was accepted; it must be sent again with
    /// the same request id.
    Unknown,
}

impl Exit {
    /// Returns the exit code of the process. Code 2 is not used here, since clap exits with
    /// it on an invalid command line.
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

/// Error with an exit code of its own.
#[derive(Debug, Error)]
#[error("{message}")]
pub struct ExitError {
    /// Outcome that determines the exit code.
    pub exit: Exit,
    /// Message for the operator.
    pub message: String,
}

/// Returns the outcome for an error: that of an [`ExitError`], else [`Exit::Failed`].
pub fn exit_of(e: &anyhow::Error) -> Exit {
    e.downcast_ref::<ExitError>()
        .map_or(Exit::Failed, |e| e.exit)
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Text,
    /// JSON for programs.
    Json,
}

/// Global options of a command.
pub struct Context {
    /// Output format.
    pub format: Format,
    /// Addresses of the control replicas' operator interface.
    pub control: Vec<SocketAddr>,
    /// File with the operators' token.
    pub token_file: Option<PathBuf>,
}

impl Context {
    /// Reads the global options from the parsed arguments.
    pub fn from_args(args: &ArgMatches) -> Self {
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

    /// Returns a client of the control replicas.
    ///
    /// # Errors
    ///
    /// Fails if no control replica or no token file was given, or if the file can't be read.
    pub fn api(&self) -> Result<ControlApi> {
        if self.control.is_empty() {
            bail!("no control replica was given; pass --control IP:PORT for each of them");
        }
        if self.token_file.is_none() {
            bail!("the operators' token is missing; pass --token-file FILE");
        }
        self.api_for_status()
    }

    /// Returns a client that can read the status. It needs no token if the settings of the
    /// control replicas hold none.
    ///
    /// # Errors
    ///
    /// Fails if no control replica was given, or if the token file can't be read.
    pub fn api_for_status(&self) -> Result<ControlApi> {
        if self.control.is_empty() {
            bail!("no control replica was given; pass --control IP:PORT for each of them");
        }
        let read = |file: &PathBuf| {
            let token = std::fs::read_to_string(file)
                .with_context(|| format!("failed to read the token file {}", file.display()))?;
            Ok::<String, anyhow::Error>(token.trim().to_string())
        };
        let token = self.token_file.as_ref().map(read).transpose()?;
        Ok(ControlApi::new(self.control.clone(), token))
    }

    /// Prints a result as JSON, or as the text that `text` returns.
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
