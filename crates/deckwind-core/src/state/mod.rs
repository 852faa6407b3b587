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

mod attribution;
mod claims;
mod command;
mod configuration;
mod content;
mod culprits;
mod encoding;
mod incarnations;
mod instance_index;
mod instances;
mod names;
mod objects;
mod packed;
mod quarantine;
mod release;
mod release_change;
mod request_trait;
mod retry_ledger;
mod state_machine;
mod suspect_list;
mod waves;

pub use attribution::{Crash, RunKey, RunProgress, Suspect};
pub use claims::{
    Claim, ClaimKey, ClaimLimits, ClaimStatus, ClaimTable, ClaimVerdict, Outcome, RouterProcess,
};
pub use command::{
    ApplyRequest, Change, ClaimRequest, Command, CommandBody, CommandKind, FinishRequest,
    Rejection, Reply,
};
pub use configuration::{Configuration, Delta, Versioned};
pub use content::{ContentDigest, ParseDigestError};
pub use culprits::culprits;
pub use encoding::{DecodeStateError, STATE_VERSION};
pub use incarnations::{Incarnation, IncarnationStatus};
pub use instances::{Instance, InstanceChange, InstanceId, InstanceState, Instances};
pub use names::{AccountName, DataCentre, RequestId, Revision, TargetName, TemplateName, VmName};
pub use objects::{
    Account, AccountLimits, LayerRange, Objective, Parameters, Priority, Target, TargetKind,
    TargetStatus, Template, Workload,
};
pub use packed::{PackedDelta, UnpackError};
pub use quarantine::{
    CrashedRun, MAX_ENDS, QUARANTINE_DURATION_MS, QUARANTINE_THRESHOLD, Quarantine,
    QuarantinedGroup, SuspectChange,
};
pub use release::{
    AcceleratorKind, CallerLimits, EngineModel, KeyDigest, KeyHolder, Pool, PoolName,
    PublishedRelease, Release, Route, RouteKind, Split,
};
pub use release_change::{ItemChanges, ReleaseChange, ReleaseDelta, RouteKey};
pub use request_trait::{MAX_PARTS, PartId, RequestTrait, RequestTraits};
pub use retry_ledger::{
    RetryAllowance, RetryAllowanceId, RetryAllowanceKey, RetryChange, RetryLedger,
};
pub use state_machine::StateMachine;
pub use suspect_list::{DerivedSuspects, EvidenceVersion, SuspectEvidence, SuspectList};
