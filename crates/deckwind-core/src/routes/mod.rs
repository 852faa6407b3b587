//! Routing of published routes: matching a request to a route, checking its key and
//! choosing a target.
//!
//! Used by routers that serve releases and announced targets. Chat completions and
//! template-based services are handled by `crate::router`.

mod answer_end;
mod attempt_result;
mod attempts;
mod choice;
mod connectivity;
mod events;
mod granted_retries;
mod index;
mod interrupted_runs;
mod limits;
mod notices;
mod own_crashes;
mod own_trials;
mod relay_choice;
mod retry_after;
mod retry_budget;
mod returning_callers;
mod serving_state;
mod silence_evidence;
mod slow_readers;
pub mod stall_detection;
mod target_records;

pub use answer_end::{BodyEnd, Framing, ReceivedEvents, StreamBreak, check_stream_end};
pub use attempt_result::{AttemptOutcome, AttemptResult, attempt_result, guarantees_not_run};
pub use attempts::AttemptedTargets;
pub use choice::{
    CapacityDemand, ChoiceError, RequestClass, TargetChoice, choose_path, choose_target,
};
pub use connectivity::{ConnectFailure, Connectivity};
pub use events::{EventSplitter, Events};
pub use granted_retries::{GrantedRetries, may_use_retry};
pub use index::{EndedIncarnation, InstanceIndex, KeyRights, ReleaseIndex, UnknownKey};
pub use interrupted_runs::{InterruptedRuns, MAX_POISON_RUN_TIME, SendVerdict};
pub use limits::{LimitListChanges, Permit, TargetLimits};
pub use notices::{NoticeChange, TargetNotice, TargetNotices};
pub use own_trials::TrialUse;
pub use relay_choice::{MAX_RELAYS_TRIED, RelayChoice};
pub use retry_after::RefusalReason;
pub use retry_budget::{PoolRetryBudget, ProcessStart, RetryBudgets, RetryLimits, RetrySource};
pub use returning_callers::ReturningCallers;
pub use serving_state::{ServingChanges, ServingState};
pub use silence_evidence::SilenceEvidence;
pub use slow_readers::{
    AnswerArena, AnswerKey, BufferLimits, DisconnectOrder, LaggingCaller, MAX_SPARED_CHUNKS,
};
pub use target_records::{TargetFault, TargetRecords, TargetRecordsAt};
