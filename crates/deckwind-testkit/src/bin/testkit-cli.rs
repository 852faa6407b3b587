//! `deckwind`, built beside the tests so that they find it.

use std::process::ExitCode;

fn main() -> ExitCode {
    deckwind::cli::main()
}
