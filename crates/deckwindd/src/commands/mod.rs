//! The daemon's command line.

pub mod run;

use std::process::ExitCode;

/// Parses the arguments, runs, and tells how it ended.
pub fn main() -> ExitCode {
    match run::exec(&run::cli().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
