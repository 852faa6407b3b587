//! Routing of published routes: matching a request to a route, checking its key and
//! choosing a target.
//!
//! Used by routers that serve releases and announced targets. Chat completions and
//! template-based services are handled by `crate::router`.

mod attempt_result;
mod attempts;
mod book;
mod choice;
mod cut_runs;
mod events;
mod granted_retries;
mod index;
mod limits;
mod notices;
mod patience;
mod retry_after;
mod retry_budget;
pub mod silence;
mod slow_readers;

pub use attempt_result::{Came, Told, is_promise, told};
pub use attempts::Tries;
pub use book::{BookAt, TargetBook, TargetFault};
pub use choice::{Choice, Claim, NoChoice, Room, choose_path, choose_plain};
pub use cut_runs::{CutRuns, JUST_BEGUN};
pub use events::{EventCutter, Events};
pub use granted_retries::{GrantedRetries, may_take};
pub use index::{InstanceIndex, KeyRights, LifeOver, ReleaseIndex, UnknownKey};
pub use limits::{LimitListChanges, Permit, TargetLimits};
pub use notices::{Heard, TargetNotice, TargetNotices};
pub use patience::Patience;
pub use retry_after::Refusal;
pub use retry_budget::{Paid, PoolRetryBudget, RepeatBudgets, RepeatLimits, Started};
pub use slow_readers::{AnswerArena, AnswerKey, Behind, FEW, HoldLimits, Way};
