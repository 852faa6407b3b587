//! An ordered list of stages that covers the layers of a model.

use crate::state::{LayerRange, TargetName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A target and the layers that it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// Name of the target.
    pub target: TargetName,
    /// Layers that the target runs in this stage: all or some of those it holds.
    pub layers: LayerRange,
}

/// Stages that run layers `0..n` without gap or overlap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain(Vec<Stage>);

/// The reason why a list of stages is not a valid chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChainError {
    /// A gap or an overlap between two stages.
    #[error("layer {expected} comes next, but a stage starts at {found}")]
    Broken {
        /// Layer at which the next stage must start.
        expected: u32,
        /// Layer at which the stage starts.
        found: u32,
    },
    /// A stage without layers.
    #[error("a stage at layer {at} runs no layer")]
    Empty {
        /// First layer of the stage.
        at: u32,
    },
    /// The stages end before or after the last layer of the model.
    #[error("the stages end at layer {end}, the model has {layers}")]
    Short {
        /// Layer at which the stages end.
        end: u32,
        /// Number of layers of the model.
        layers: u32,
    },
}

impl Chain {
    /// Creates a chain from stages that cover layers `0..layers`.
    ///
    /// # Errors
    ///
    /// Returns an error if the stages have gaps or overlaps, a stage is empty, or the
    /// last stage does not end at `layers`.
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

    /// Returns the stages in the order of their layers.
    pub fn stages(&self) -> &[Stage] {
        &self.0
    }
}
