//! Rules that routers and the leader keep for repeats, and how far they are explored.

/// Rules that can be taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatRules {
    /// A router is told of what it was given only once that is agreed.
    pub agreed_first: bool,
    /// A new leader counts all that may still count as given out when it began.
    pub counted_by_new_leader: bool,
    /// A router uses what it was given for a lease's time after it asked.
    pub lasts_from_question: bool,
    /// A router that has started again gets another allowance.
    pub allowance_by_start: bool,
    /// A router never goes back to an allowance that it had before.
    pub newest_only: bool,
    /// What was used counts for a window after that was told.
    pub used_counts: bool,
    /// What a silent router may have used counts for a window after its time.
    pub silent_counts: bool,
    /// What was given back is never used.
    pub back_is_gone: bool,
    /// A router remembers what it has used after its time is over.
    pub remembered: bool,
    /// A router tells of what it has used as over only after a window.
    pub over_after_window: bool,
}

impl RepeatRules {
    /// All rules.
    pub const ALL: RepeatRules = RepeatRules {
        agreed_first: true,
        counted_by_new_leader: true,
        lasts_from_question: true,
        allowance_by_start: true,
        newest_only: true,
        used_counts: true,
        silent_counts: true,
        back_is_gone: true,
        remembered: true,
        over_after_window: true,
    };
}

/// How far it is explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatBounds {
    /// Steps of time.
    pub steps: u8,
    /// Steps that the window has.
    pub window: u8,
    /// Steps for which a router uses what it was given.
    pub lasts: u8,
    /// Most repeats within a window.
    pub most: u8,
    /// Questions of all routers.
    pub questions: u8,
    /// Allowances and additions to them.
    pub entries: u8,
    /// Restarts of routers.
    pub restarts: u8,
    /// Changes of the leader.
    pub leaders: u8,
    /// Repeats that are given back.
    pub backs: u8,
}
