//! `deckwindd`, built beside the tests so that they find it.

fn main() -> anyhow::Result<()> {
    deckwindd::commands::run::exec(&deckwindd::commands::run::cli().get_matches())
}
