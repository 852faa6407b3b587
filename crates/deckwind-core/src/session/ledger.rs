//! Which result comes next, and which must be dropped.

/// What to do with a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the one that was waited for.
    Take,
    /// It is late: an older attempt's, or one that was taken already.
    Drop,
}

/// Takes each (position, stage) of a session once, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ledger {
    attempt: u32,
    position: u32,
    stage: usize,
    stages: usize,
    taken: u64,
}

impl Ledger {
    /// For a chain of `stages` stages; the first result awaited is that of
    /// stage 0 for `position`. Attempts count from the first restart.
    pub fn new(stages: usize, position: u32) -> Self {
        Self {
            attempt: 0,
            position,
            stage: 0,
            stages,
            taken: 0,
        }
    }

    /// Current attempt; results of others are dropped.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Position whose token comes next.
    pub fn position(&self) -> u32 {
        self.position
    }

    /// Stage whose result comes next.
    pub fn stage(&self) -> usize {
        self.stage
    }

    /// Results taken so far.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Judges a result; taking it moves on to the next stage or position.
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
