//! Tracking of the awaited result, so that each result is accepted exactly once.

/// The decision on a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The result is the awaited one.
    Take,
    /// The result is late: it belongs to an older attempt or was already accepted.
    Drop,
}

/// Accepts each (position, stage) of a session once, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ledger {
    attempt: u32,
    position: u32,
    stage: usize,
    stages: usize,
    taken: u64,
}

impl Ledger {
    /// Creates a ledger for a chain of `stages` stages that awaits the result of stage
    /// 0 for `position`. The attempt is 0 until the first restart.
    pub fn new(stages: usize, position: u32) -> Self {
        Self {
            attempt: 0,
            position,
            stage: 0,
            stages,
            taken: 0,
        }
    }

    /// Returns the current attempt; results of other attempts are dropped.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the position of the next token.
    pub fn position(&self) -> u32 {
        self.position
    }

    /// Returns the index of the stage whose result is awaited.
    pub fn stage(&self) -> usize {
        self.stage
    }

    /// Returns the number of accepted results.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Decides on a result. An accepted result advances the ledger to the next stage or
    /// position.
    pub fn offer(&mut self, attempt: u32, stage: usize, position: u32) -> Verdict {
        let awaited = (self.attempt, self.stage, self.position);
        if (attempt, stage, position) != awaited {
            return Verdict::Drop;
        }
        self.taken += 1;
        self.stage += 1;
        if self.stage == self.stages {
            self.stage = 0;
            self.position += 1;
        }
        Verdict::Take
    }

    /// Starts a new attempt at the same position, on a chain of `stages` stages.
    pub fn restart(&mut self, stages: usize) {
        self.attempt += 1;
        self.stages = stages;
        self.stage = 0;
    }
}
