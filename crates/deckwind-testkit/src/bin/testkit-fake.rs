//! `deckwind-fake`, built beside the tests so that they find it.

fn main() -> anyhow::Result<()> {
    deckwind_fakes::command::main()
}
