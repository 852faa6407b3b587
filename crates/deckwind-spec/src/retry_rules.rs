//! Rules of the retry specification, which routers and the leader follow for retry
//! allowances, and bounds of its exploration.

/// Rules of the protocol, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRules {
    /// Retries are granted to a router only after their entry is committed.
    pub commit_before_grant: bool,
    /// A new leader counts all issued retries that may not have expired as issued at the
    /// start of its term.
    pub new_leader_counts_issued: bool,
    /// The time for which a router may use its allowance starts when it sends the request.
    pub lifetime_from_request: bool,
    /// A router that restarted gets a new allowance.
    pub allowance_per_process: bool,
    /// A router never returns to an older allowance.
    pub newest_allowance_only: bool,
    /// Spent retries count for a window after they were reported.
    pub count_spent_for_window: bool,
    /// Retries that a router may have spent without reporting them count for a window after
    /// its allowance expires.
    pub count_unreported_for_window: bool,
    /// Returned retries are never spent.
    pub returned_is_unusable: bool,
    /// A router keeps its count of spent retries after its allowance expires.
    pub keep_spent_after_expiry: bool,
    /// A router reports a spent retry as expired only after a window.
    pub expire_spent_after_window: bool,
}

impl RetryRules {
    /// Enables all rules.
    pub const ALL: RetryRules = RetryRules {
        commit_before_grant: true,
        new_leader_counts_issued: true,
        lifetime_from_request: true,
        allowance_per_process: true,
        newest_allowance_only: true,
        count_spent_for_window: true,
        count_unreported_for_window: true,
        returned_is_unusable: true,
        keep_spent_after_expiry: true,
        expire_spent_after_window: true,
    };
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBounds {
    /// Number of time steps.
    pub steps: u8,
    /// Length of the window, in steps.
    pub window: u8,
    /// Steps for which a router may use its allowance.
    pub allowance_lifetime: u8,
    /// Maximum number of retries within a window.
    pub max_retries: u8,
    /// Maximum number of requests of all routers to the leader.
    pub requests: u8,
    /// Maximum number of log entries, each of which issues one retry.
    pub entries: u8,
    /// Maximum number of restarts of all routers.
    pub restarts: u8,
    /// Maximum number of leader changes.
    pub leader_changes: u8,
    /// Maximum number of retries that routers return.
    pub returns: u8,
}
