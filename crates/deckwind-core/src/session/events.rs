//! Events and actions of a session, with the messages to its stages and its limits.

use super::chain::{Chain, Stage};
use crate::state::{LayerRange, TargetName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The activation passed from one stage to the next; opaque to routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Activation(pub String);

/// A token produced by the last stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Token ID, which is the next input of the first stage.
    pub id: u32,
    /// Text of the token.
    pub text: String,
    /// Whether the token ends the answer.
    pub end: bool,
}

/// Identifies an open stage; never reused within a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StageKey(pub u32);

/// An order to a stage to run one step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepOrder {
    /// Attempt to which the step belongs; engines refuse steps of older attempts.
    pub attempt: u32,
    /// Position of the first input.
    pub position: u32,
    /// One input per position.
    pub inputs: Vec<Activation>,
    /// Whether the stage's cache already holds these positions. The stage then returns
    /// their outputs and changes nothing.
    pub replay: bool,
}

/// A stage's result of a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepOutput {
    /// Attempt from the order.
    pub attempt: u32,
    /// Position from the order.
    pub position: u32,
    /// One output per position.
    pub outputs: Vec<Activation>,
    /// Token after the last position; present if the stage holds the last layer.
    pub token: Option<Token>,
    /// Sum of the layers of all open stages at the target: a load report without a
    /// message of its own.
    #[serde(default)]
    pub load: Option<u32>,
}

/// The way in which a stage failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StageFault {
    /// The connection broke.
    Broken,
    /// The stage did not answer in time.
    Late,
    /// The stage refused the order.
    Refused,
}

/// An input event of a session.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionEvent {
    /// A chain was found, at the start or with a failed stage replaced.
    Planned(Chain),
    /// No chain could be found.
    NoChain,
    /// A stage returned a result.
    Output {
        /// Key of the stage.
        key: StageKey,
        /// Result of the step.
        output: StepOutput,
    },
    /// The awaited stage failed. Faults of other stages are reported when these are
    /// awaited.
    Fault {
        /// Key of the stage.
        key: StageKey,
        /// Type of fault.
        fault: StageFault,
    },
    /// The caller disconnected.
    CallerGone,
}

/// The reason why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The whole answer was delivered.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// No targets are left to run the layers.
    NoTargets,
    /// Too many faults occurred.
    TooManyFaults,
}

/// An action that the driver of a session must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionAction {
    /// Find a chain. Stages outside `missing` should stay as they are.
    Plan {
        /// Targets that failed in this session.
        avoid: BTreeSet<TargetName>,
        /// Layers without a stage.
        missing: LayerRange,
    },
    /// Open a stage.
    Open {
        /// Key of the new stage.
        key: StageKey,
        /// Target and layers of the stage.
        stage: Stage,
    },
    /// Order a step from a stage.
    Step {
        /// Key of the stage.
        key: StageKey,
        /// Step to order.
        order: StepOrder,
    },
    /// Deliver a token to the caller. Each position is delivered once, in order.
    Deliver {
        /// Position of the token in the answer, from 0.
        position: u32,
        /// Token to deliver.
        token: Token,
    },
    /// Close a stage and free its resources.
    Close {
        /// Key of the stage.
        key: StageKey,
    },
    /// End the session and close all open stages.
    End(EndReason),
}

/// Limits of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionLimits {
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Maximum number of faults before the session fails.
    pub max_faults: u32,
}

impl Default for SessionLimits {
    fn default() -> Self {
        Self {
            max_tokens: 4_096,
            max_faults: 8,
        }
    }
}
