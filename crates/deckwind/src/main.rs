//! The `deckwind` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = deckwind::cli::cli().get_matches();
    match deckwind::cli::exec(&matches) {
        Ok(exit) => ExitCode::from(exit.code()),
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::from(deckwind::context::exit_of(&e).code())
        }
    }
}
