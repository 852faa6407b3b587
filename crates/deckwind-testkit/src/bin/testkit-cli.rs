//! Builds `deckwind` in this package, so that tests find the program.

use std::process::ExitCode;

fn main() -> ExitCode {
    deckwind::cli::main()
}
