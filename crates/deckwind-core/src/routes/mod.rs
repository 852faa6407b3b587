//! Published routes: which one a request takes, who may, and which target.
//!
//! For: routers that serve releases and announced targets. Not for: chat
//! completions and services by template, which `crate::router` decides.

mod book;
mod choice;
mod come_back;
mod cut_runs;
mod events;
mod held_back;
mod index;
mod leased;
mod limits;
mod notices;
mod patience;
mod promise;
mod repeats;
pub mod silence;
mod tries;

pub use book::{BookAt, TargetBook, TargetFault};
pub use choice::{Choice, Claim, NoChoice, Room, choose_path, choose_plain};
pub use come_back::Refusal;
pub use cut_runs::{CutRuns, JUST_BEGUN};
pub use events::{EventCutter, Events};
pub use held_back::{AnswerArena, AnswerKey, Behind, FEW, HoldLimits, Way};
pub use index::{InstanceIndex, KeyRights, LifeOver, ReleaseIndex, UnknownKey};
pub use leased::{LeasedRepeats, may_take};
pub use limits::{LimitsTold, Permit, TargetLimits};
pub use notices::{Heard, TargetNotice, TargetNotices};
pub use patience::Patience;
pub use promise::{Came, Told, is_promise, told};
pub use repeats::{Paid, RepeatBudget, RepeatBudgets, RepeatLimits, Started};
pub use tries::Tries;
