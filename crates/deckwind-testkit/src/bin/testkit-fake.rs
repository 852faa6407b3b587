//! Builds `deckwind-fake` in this package, so that tests find the program.

fn main() -> anyhow::Result<()> {
    deckwind_fakes::command::main()
}
