//! `deckwindd`, built beside the tests so that they find it.

use std::process::ExitCode;

fn main() -> ExitCode {
    deckwindd::commands::main()
}
