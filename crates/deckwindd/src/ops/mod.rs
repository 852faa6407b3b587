//! Operations of the daemon, usable without the command line.

mod daemon;

pub use daemon::Daemon;
