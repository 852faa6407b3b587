//! The operators' command line as a library.
//!
//! For: the `deckwind` binary, and programs that drive deckwind as operators
//! do ([`ops`]). Not for: the daemon.

pub mod cli;
pub mod commands;
pub mod context;
pub mod ops;
