//! Bounds for the retry specification, and cases that disable one rule each.

use crate::{Case, RepeatBounds, RepeatRules, RepeatSpec};

impl RepeatBounds {
    /// One retry per window of two steps, no faults.
    pub const MINIMAL: RepeatBounds = RepeatBounds {
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
    pub const SMALL: [RepeatBounds; 4] = [
        RepeatBounds {
            restarts: 1,
            ..Self::MINIMAL
        },
        RepeatBounds {
            leader_changes: 1,
            ..Self::MINIMAL
        },
        RepeatBounds {
            returns: 1,
            ..Self::MINIMAL
        },
        RepeatBounds {
            steps: 2,
            window: 3,
            allowance_lifetime: 2,
            max_retries: 2,
            ..Self::MINIMAL
        },
    ];

    /// Bounds explored by the `explore` example.
    pub const LARGE: [RepeatBounds; 6] = [
        Self::SMALL[0],
        Self::SMALL[1],
        Self::SMALL[2],
        Self::SMALL[3],
        RepeatBounds {
            steps: 4,
            requests: 4,
            ..Self::MINIMAL
        },
        RepeatBounds {
            restarts: 1,
            leader_changes: 1,
            returns: 1,
            ..Self::MINIMAL
        },
    ];
}

/// Returns the retry specification with each rule disabled in turn.
pub fn repeat_cases() -> Vec<Case<RepeatSpec>> {
    let all = RepeatRules::ALL;
    let minimal = RepeatBounds::MINIMAL;
    let leader_changes = RepeatBounds {
        leader_changes: 1,
        ..minimal
    };
    let case = |without, rules, bounds| Case {
        without,
        spec: RepeatSpec { rules, bounds },
        breaks: "more retries in a window than the bound",
    };
    vec![
        case(
            "the commit before the grant",
            RepeatRules {
                commit_before_grant: false,
                ..all
            },
            RepeatBounds {
                steps: 0,
                max_retries: 2,
                entries: 3,
                ..leader_changes
            },
        ),
        case(
            "counting all issued retries at a new leader",
            RepeatRules {
                new_leader_counts_issued: false,
                ..all
            },
            leader_changes,
        ),
        case(
            "counting the lifetime of an allowance from its request",
            RepeatRules {
                lifetime_from_request: false,
                ..all
            },
            minimal,
        ),
        case(
            "a new allowance after a restart",
            RepeatRules {
                allowance_per_process: false,
                ..all
            },
            RepeatBounds {
                restarts: 1,
                ..minimal
            },
        ),
        case(
            "using only the newest allowance",
            RepeatRules {
                newest_allowance_only: false,
                ..all
            },
            RepeatBounds {
                steps: 1,
                max_retries: 2,
                ..leader_changes
            },
        ),
        case(
            "counting spent retries for a window",
            RepeatRules {
                count_spent_for_window: false,
                ..all
            },
            minimal,
        ),
        case(
            "counting unreported retries for a window",
            RepeatRules {
                count_unreported_for_window: false,
                ..all
            },
            minimal,
        ),
        case(
            "returned retries being unusable",
            RepeatRules {
                returned_is_unusable: false,
                ..all
            },
            RepeatBounds {
                returns: 1,
                ..minimal
            },
        ),
        case(
            "keeping the count of spent retries after expiry",
            RepeatRules {
                keep_spent_after_expiry: false,
                ..all
            },
            RepeatBounds {
                steps: 2,
                window: 3,
                allowance_lifetime: 2,
                ..minimal
            },
        ),
        case(
            "reporting spent retries as expired only after a window",
            RepeatRules {
                expire_spent_after_window: false,
                ..all
            },
            minimal,
        ),
    ]
}
