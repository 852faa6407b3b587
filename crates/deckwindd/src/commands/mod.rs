//! The daemon's command line.

pub mod run;
