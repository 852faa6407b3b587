//! The `deckwindd` binary: parses its arguments and calls one operation.

use std::process::ExitCode;

fn main() -> ExitCode {
    match deckwindd::commands::run::exec(&deckwindd::commands::run::cli().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
