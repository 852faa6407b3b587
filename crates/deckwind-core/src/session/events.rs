//! What a session is told, what it asks for, and its bounds.

use super::chain::{Chain, Stage};
use crate::state::{LayerRange, TargetName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What goes from a stage to the next; only engines read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Activation(pub String);

/// A token as the last stage made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Its id, the first stage's next input.
    pub id: u32,
    /// Its text.
    pub text: String,
    /// Whether the answer ends with it.
    pub end: bool,
}

/// Names a stage for as long as it is open; never used again in a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StageKey(pub u32);

/// What a stage is to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepOrder {
    /// Attempt that it belongs to; an engine refuses older ones.
    pub attempt: u32,
    /// Position of the first input.
    pub position: u32,
    /// One input per position.
    pub inputs: Vec<Activation>,
    /// Whether the stage's cache holds these positions already: it answers
    /// with their outputs and changes nothing.
    pub replay: bool,
}

/// What a stage answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepOutput {
    /// From the order.
    pub attempt: u32,
    /// From the order.
    pub position: u32,
    /// One output per position.
    pub outputs: Vec<Activation>,
    /// The token after the last position, from a stage that ends the model.
    pub token: Option<Token>,
    /// Layers of all open stages there, added up: a load report that costs no
    /// message.
    #[serde(default)]
    pub load: Option<u32>,
}

/// What went wrong with a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StageFault {
    /// Its connection broke.
    Broken,
    /// It gave no answer in time.
    Late,
    /// It refused the order.
    Refused,
}

/// What happens to a session.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionEvent {
    /// A chain was found: at the start, or with the lost stage replaced.
    Planned(Chain),
    /// No chain could be found.
    NoChain,
    /// A stage answered.
    Output {
        /// Which.
        key: StageKey,
        /// With what.
        output: StepOutput,
    },
    /// The awaited stage failed. Faults of others wait until it is their turn.
    Fault {
        /// Which.
        key: StageKey,
        /// How.
        fault: StageFault,
    },
    /// The caller went away.
    CallerGone,
}

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The whole answer was delivered.
    Complete,
    /// The caller went away.
    CallerGone,
    /// No targets are left to run the layers.
    NoTargets,
    /// Too many faults.
    TooManyFaults,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionAction {
    /// Find a chain. Stages outside `missing` should stay as they are.
    Plan {
        /// Targets that failed in this session.
        avoid: BTreeSet<TargetName>,
        /// Layers that have no stage.
        missing: LayerRange,
    },
    /// Open a stage.
    Open {
        /// Its key from here on.
        key: StageKey,
        /// Who and what.
        with: Stage,
    },
    /// Order a step.
    Step {
        /// Stage to order it from.
        key: StageKey,
        /// The order.
        order: StepOrder,
    },
    /// Give the caller a token. Each position comes once, in order.
    Deliver {
        /// Position of the token in the answer, from 0.
        position: u32,
        /// The token.
        token: Token,
    },
    /// Close a stage and free what it holds.
    Close {
        /// Which.
        key: StageKey,
    },
    /// All is done; close what is open.
    End(EndReason),
}

/// Bounds of one session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionLimits {
    /// Most tokens in the answer.
    pub max_tokens: u32,
    /// Most faults before it gives up.
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
