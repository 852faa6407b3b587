//! An ordered list of stages that tile the layers of a model.

use crate::state::{LayerRange, TargetName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One target and the layers that it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// The target.
    pub target: TargetName,
    /// Layers that it runs here: all that it holds, or a part.
    pub layers: LayerRange,
}

/// Stages that run layers `0..n` with no gap and no overlap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain(Vec<Stage>);

/// Why a list of stages is no chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChainError {
    /// Layers that nobody or two stages would run.
    #[error("layer {expected} comes next, but a stage starts at {found}")]
    Broken {
        /// Where the next stage must start.
        expected: u32,
        /// Where it starts.
        found: u32,
    },
    /// A stage without layers.
    #[error("a stage at layer {at} runs no layer")]
    Empty {
        /// Where.
        at: u32,
    },
    /// The last layer is not reached.
    #[error("the stages end at layer {end}, the model has {layers}")]
    Short {
        /// Where they end.
        end: u32,
        /// Layers of the model.
        layers: u32,
    },
}

impl Chain {
    /// Checks that `stages` tile layers `0..layers`.
    pub fn new(stages: Vec<Stage>, layers: u32) -> Result<Self, ChainError> {
        let mut expected = 0;
        for stage in &stages {
            let LayerRange { first, last } = stage.layers;
            if first != expected {
                return Err(ChainError::Broken {
                    expected,
                    found: first,
                });
            }
            if last <= first {
                return Err(ChainError::Empty { at: first });
            }
            expected = last;
        }
        if expected != layers {
            return Err(ChainError::Short {
                end: expected,
                layers,
            });
        }
        Ok(Self(stages))
    }

    /// The stages, first layers first.
    pub fn stages(&self) -> &[Stage] {
        &self.0
    }
}
