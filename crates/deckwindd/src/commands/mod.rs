//! Command line of the daemon.

pub mod run;

use deckwind_net::clock::Clock;
use std::process::ExitCode;

/// Parses the arguments, runs the daemon and returns its exit code.
pub fn main() -> ExitCode {
    main_with_clock(Clock::start())
}

/// Runs like [`main`], with the given clock.
pub fn main_with_clock(clock: Clock) -> ExitCode {
    match run::exec(&run::cli().get_matches(), clock) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
