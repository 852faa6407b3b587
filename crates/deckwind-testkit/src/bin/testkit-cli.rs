//! `deckwind`, built beside the tests so that they find it.

use std::process::ExitCode;

fn main() -> ExitCode {
    match deckwind::cli::exec(&deckwind::cli::cli().get_matches()) {
        Ok(exit) => ExitCode::from(exit.code()),
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::from(deckwind::context::exit_of(&e).code())
        }
    }
}
