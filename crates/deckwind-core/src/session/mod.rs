//! One caller's chat session over a chain of stages.
//!
//! ```text
//!            inputs of position p                 token of p
//!  prompt ──► stage 0 ──► stage 1 ──► stage 2 ───────────────► caller
//!               ▲            ✗ dies                 │ input of p+1
//!               └────────────────────────────────────┘
//!  on a death: attempt + 1; positions 0..p go through the stages up to the new
//!  one, then p starts again at stage 0
//! ```
//!
//! Stages that live keep their KV cache and answer for what it holds as replay,
//! which runs no layer anew. Only the new stage, whose cache is empty, runs the
//! positions before p. So of the results that count, each layer's is made once
//! for each token.
//!
//! A fault shows only when its stage is awaited; a stage that broke earlier
//! fails at the next order for it.
//!
//! [`Ledger`] takes each (position, stage, attempt) at most once and in order;
//! whatever comes late from an older attempt is dropped.

mod chain;
mod events;
mod ledger;
mod machine;

pub use chain::{Chain, ChainError, Stage};
pub use events::{
    Activation, EndReason, SessionAction, SessionEvent, SessionLimits, StageFault, StageKey,
    StepOrder, StepOutput, Token,
};
pub use ledger::{Ledger, Verdict};
pub use machine::Session;
