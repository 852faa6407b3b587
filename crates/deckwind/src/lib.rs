//! Command line of deckwind for operators, as a library.
//!
//! Used by the `deckwind` binary, and by programs that operate a cluster through [`ops`].
//! The daemon does not use it.

pub mod cli;
pub mod commands;
pub mod context;
pub mod ops;
