//! Settings files of a process: JSON with comments.
//!
//! This crate loads one file and reports all problems in it at once, each with file,
//! line, column and a suggested correction. Templates, client accounts and targets are
//! not settings; they belong to the replicated state.
//!
//! ```text
//!  text ─► syntax tree ─► schema (keys, types, units) ─► serde ─► checks (conflicts, files)
//!              └──────────── findings, with their location ───────────┘
//! ```

mod check;
mod collector;
mod duration;
mod finding;
mod schema;
mod settings;

pub use check::load;
pub use finding::{Finding, Findings};
pub use settings::{
    ControlSettings, ControlVm, KeySettings, LogSettings, PlatformSettings, RetryBudgetSettings,
    RouterSettings, SeedSettings, Settings,
};
