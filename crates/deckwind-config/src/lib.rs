//! Settings of a process: JSON with comments.
//!
//! For: reading one file, and telling everything that is wrong with it in one
//! run, each finding with file, line and column and with what to write instead.
//! Not for: templates, client accounts and targets; those are agreed state.
//!
//! ```text
//!  text ─► syntax tree ─► schema (keys, types, units) ─► serde ─► checks (clashes, files)
//!              └──────────── findings, with their place ──────────────┘
//! ```

mod check;
mod duration;
mod finding;
mod place;
mod schema;
mod settings;

pub use check::load;
pub use finding::{Finding, Findings};
pub use settings::{
    ControlSettings, ControlVm, KeySettings, LogSettings, PlatformSettings, RepeatSettings,
    RouterSettings, SeedSettings, Settings,
};
