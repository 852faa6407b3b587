//! A caller's chat session over a chain of stages.
//!
//! ```text
//!            inputs of position p                 token of p
//!  prompt ──► stage 0 ──► stage 1 ──► stage 2 ───────────────► caller
//!               ▲            ✗ fails                │ input of p+1
//!               └────────────────────────────────────┘
//!  on a fault: attempt + 1; positions 0..p go through the stages up to the new
//!  one, then p starts again at stage 0
//! ```
//!
//! Stages that did not fail keep their KV cache and replay the outputs for the
//! positions in it, which runs no layer again. Only the new stage, whose cache is
//! empty, runs the positions before p. Among the accepted results, each layer therefore
//! runs once for each token.
//!
//! A fault is noticed only when its stage is awaited: a stage that broke earlier fails
//! at its next step.
//!
//! [`Ledger`] accepts each (position, stage, attempt) at most once and in order, and
//! drops late results of older attempts.

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
