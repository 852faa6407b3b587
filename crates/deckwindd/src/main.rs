//! Entry point of the `deckwindd` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    deckwindd::commands::main()
}
