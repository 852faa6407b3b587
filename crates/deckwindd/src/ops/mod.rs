//! What the daemon does, usable without its command line.

mod daemon;

pub use daemon::Daemon;
