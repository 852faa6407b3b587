//! Bounds for the retry specification, and cases that disable one rule each.

use crate::{Case, RetryBounds, RetryRules, RetrySpec};

impl RetryBounds {
    /// One retry per window of two steps, no faults.
    pub const MINIMAL: RetryBounds = RetryBounds {
        steps: 3,
        window: 2,
        allowance_lifetime: 1,
        max_retries: 1,
        requests: 3,
        entries: 2,
        restarts: 0,
        leader_changes: 0,
        returns: 0,
    };

    /// Bounds explored in the tests.
    pub const SMALL: [RetryBounds; 4] = [
        RetryBounds {
            restarts: 1,
            ..Self::MINIMAL
        },
        RetryBounds {
            leader_changes: 1,
            ..Self::MINIMAL
        },
        RetryBounds {
            returns: 1,
            ..Self::MINIMAL
        },
        RetryBounds {
            steps: 2,
            window: 3,
            allowance_lifetime: 2,
            max_retries: 2,
            ..Self::MINIMAL
        },
    ];

    /// Bounds explored by the `explore` example.
    pub const LARGE: [RetryBounds; 6] = [
        Self::SMALL[0],
        Self::SMALL[1],
        Self::SMALL[2],
        Self::SMALL[3],
        RetryBounds {
            steps: 4,
            requests: 4,
            ..Self::MINIMAL
        },
        RetryBounds {
            restarts: 1,
            leader_changes: 1,
            returns: 1,
            ..Self::MINIMAL
        },
    ];
}

/// Returns the retry specification with each rule disabled in turn.
pub fn retry_cases() -> Vec<Case<RetrySpec>> {
    let all = RetryRules::ALL;
    let minimal = RetryBounds::MINIMAL;
    let leader_changes = RetryBounds {
        leader_changes: 1,
        ..minimal
    };
    let case = |disabled_rule, rules, bounds| Case {
        disabled_rule,
        spec: RetrySpec { rules, bounds },
        violates: "more retries in a window than the bound",
    };
    vec![
        case(
            "the commit before the grant",
            RetryRules {
                commit_before_grant: false,
                ..all
            },
            RetryBounds {
                steps: 0,
                max_retries: 2,
                entries: 3,
                ..leader_changes
            },
        ),
        case(
            "counting all issued retries at a new leader",
            RetryRules {
                new_leader_counts_issued: false,
                ..all
            },
            leader_changes,
        ),
        case(
            "counting the lifetime of an allowance from its request",
            RetryRules {
                lifetime_from_request: false,
                ..all
            },
            minimal,
        ),
        case(
            "a new allowance after a restart",
            RetryRules {
                allowance_per_process: false,
                ..all
            },
            RetryBounds {
                restarts: 1,
                ..minimal
            },
        ),
        case(
            "using only the newest allowance",
            RetryRules {
                newest_allowance_only: false,
                ..all
            },
            RetryBounds {
                steps: 1,
                max_retries: 2,
                ..leader_changes
            },
        ),
        case(
            "counting spent retries for a window",
            RetryRules {
                count_spent_for_window: false,
                ..all
            },
            minimal,
        ),
        case(
            "counting unreported retries for a window",
            RetryRules {
                count_unreported_for_window: false,
                ..all
            },
            minimal,
        ),
        case(
            "returned retries being unusable",
            RetryRules {
                returned_is_unusable: false,
                ..all
            },
            RetryBounds {
                returns: 1,
                ..minimal
            },
        ),
        case(
            "keeping the count of spent retries after expiry",
            RetryRules {
                keep_spent_after_expiry: false,
                ..all
            },
            RetryBounds {
                steps: 2,
                window: 3,
                allowance_lifetime: 2,
                ..minimal
            },
        ),
        case(
            "reporting spent retries as expired only after a window",
            RetryRules {
                expire_spent_after_window: false,
                ..all
            },
            minimal,
        ),
    ]
}
