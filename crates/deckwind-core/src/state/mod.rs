//! The replicated state: the result of applying the control replicas' log.
//!
//! ```text
//!  Command ──(committed, in log order)──► StateMachine::apply ──► Reply
//!                                           │ configuration   objects, each with its revision
//!                                           │ claims          one row per non-idempotent request
//!                                           │ repeats         retry allowances of routers
//!                                           │ quarantine      requests that crash targets
//!                                           └ results         first reply to each operator request id
//! ```
//!
//! `apply` is deterministic: the only time it reads is the `at_ms` that the
//! leader wrote into the command. All tables are bounded and part of the
//! snapshot.

mod claims;
mod command;
mod configuration;
mod content;
mod encoding;
mod instance_index;
mod instances;
mod lives;
mod names;
mod objects;
mod packed;
mod quarantine;
mod release;
mod release_change;
mod repeats;
mod state_machine;

pub use claims::{
    Claim, ClaimKey, ClaimLimits, ClaimStatus, ClaimTable, ClaimVerdict, Holder, Outcome,
};
pub use command::{
    ApplyRequest, Change, ClaimRequest, Command, CommandBody, FinishRequest, Rejection, Reply,
};
pub use configuration::{Configuration, Delta, Versioned};
pub use content::{ContentDigest, NoDigest};
pub use encoding::{STATE_VERSION, UnreadableState};
pub use instances::{Instance, InstanceChange, InstanceId, InstanceState, Instances};
pub use lives::{Life, Standing};
pub use names::{AccountName, DataCentre, RequestId, Revision, TargetName, TemplateName, VmName};
pub use objects::{
    Account, AccountLimits, LayerRange, Objective, Parameters, Priority, Target, TargetKind,
    TargetStatus, Template, Workload,
};
pub use packed::{PackedDelta, Unpackable};
pub use quarantine::{
    ENDS_TO_QUARANTINE, MOST_ENDS, QUARANTINED_FOR_MS, Quarantine, SuspectChange, SuspectList,
};
pub use release::{
    AcceleratorKind, CallerLimits, EngineModel, KeyDigest, KeyHolder, Pool, PoolName, Published,
    Release, Route, RouteKind, Split,
};
pub use release_change::{Changed, ReleaseChange, ReleaseDelta, RouteKey};
pub use repeats::{Allowance, AllowanceId, AllowanceKey, RepeatChange, RepeatLedger};
pub use state_machine::StateMachine;
