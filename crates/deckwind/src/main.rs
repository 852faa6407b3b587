//! The `deckwind` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    deckwind::cli::main()
}
