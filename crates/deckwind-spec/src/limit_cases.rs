//! Bounds for the limit specification, and cases that disable one rule each.

use crate::{Case, LimitBounds, LimitRules, LimitSpec};

impl LimitBounds {
    /// One permit per step, requests counted over one step, no faults.
    pub const MINIMAL: LimitBounds = LimitBounds {
        routers: 2,
        steps: 2,
        window: 1,
        permit_interval: 1,
        permit_lifetime: 1,
        permit_requests: 2,
        renewals: 0,
        requests: 2,
        limit_changes: 0,
        leader_changes: 0,
        restarts: 0,
    };

    /// One router; the limit ends and starts again.
    const LIMIT_CHANGES: LimitBounds = LimitBounds {
        routers: 1,
        permit_requests: 3,
        requests: 4,
        limit_changes: 2,
        ..Self::MINIMAL
    };

    /// One router that only renews its lease; the leader changes once.
    const RENEWALS: LimitBounds = LimitBounds {
        routers: 1,
        steps: 1,
        permit_requests: 0,
        renewals: 3,
        leader_changes: 1,
        ..Self::MINIMAL
    };

    /// Bounds explored in the tests.
    pub const SMALL: [LimitBounds; 4] = [
        LimitBounds {
            leader_changes: 1,
            ..Self::MINIMAL
        },
        LimitBounds {
            steps: 3,
            window: 2,
            permit_interval: 2,
            permit_lifetime: 2,
            requests: 3,
            ..Self::MINIMAL
        },
        Self::LIMIT_CHANGES,
        LimitBounds {
            renewals: 2,
            ..Self::RENEWALS
        },
    ];

    /// Bounds explored by the `explore` example.
    pub const LARGE: [LimitBounds; 8] = [
        Self::SMALL[0],
        Self::SMALL[1],
        Self::SMALL[2],
        Self::SMALL[3],
        LimitBounds {
            restarts: 1,
            requests: 3,
            ..Self::MINIMAL
        },
        LimitBounds {
            leader_changes: 1,
            ..Self::LIMIT_CHANGES
        },
        LimitBounds {
            steps: 2,
            ..Self::RENEWALS
        },
        LimitBounds {
            permit_requests: 1,
            renewals: 2,
            ..Self::LIMIT_CHANGES
        },
    ];
}

/// Returns the limit specification with each rule disabled in turn.
pub fn limit_cases() -> Vec<Case<LimitSpec>> {
    let all = LimitRules::ALL;
    let minimal = LimitBounds::MINIMAL;
    let limit_changes = LimitBounds::LIMIT_CHANGES;
    let renewals = LimitBounds::RENEWALS;
    let case = |disabled_rule, rules, bounds| Case {
        disabled_rule,
        spec: LimitSpec { rules, bounds },
        violates: "more requests in a window than the target's limit",
    };
    vec![
        case(
            "requiring permits",
            LimitRules {
                permit_required: false,
                ..all
            },
            minimal,
        ),
        case(
            "pacing permits",
            LimitRules {
                paced: false,
                ..all
            },
            minimal,
        ),
        case(
            "the wait of a new leader",
            LimitRules {
                new_leader_waits: false,
                ..all
            },
            LimitBounds {
                leader_changes: 1,
                ..minimal
            },
        ),
        case(
            "counting the lifetime of a permit from its request",
            LimitRules {
                lifetime_from_request: false,
                ..all
            },
            minimal,
        ),
        case(
            "using a permit only once",
            LimitRules {
                single_use: false,
                ..all
            },
            minimal,
        ),
        case(
            "ending a limit by permitted requests only",
            LimitRules {
                end_by_permitted_only: false,
                ..all
            },
            LimitBounds {
                steps: 0,
                permit_requests: 0,
                restarts: 1,
                ..limit_changes
            },
        ),
        case(
            "ending a limit by later permits only",
            LimitRules {
                end_by_later_only: false,
                ..all
            },
            limit_changes,
        ),
        case(
            "ending a limit by the leader's own time only",
            LimitRules {
                end_by_own_time_only: false,
                ..all
            },
            LimitBounds {
                leader_changes: 1,
                ..limit_changes
            },
        ),
        case(
            "accepting only the answer to the last renewal",
            LimitRules {
                last_renewal_only: false,
                ..all
            },
            renewals,
        ),
        case(
            "reporting all limits to a new leader",
            LimitRules {
                full_report_to_new_leader: false,
                ..all
            },
            LimitBounds {
                renewals: 2,
                ..renewals
            },
        ),
        case(
            "keeping a limit received after the request",
            LimitRules {
                end_older_only: false,
                ..all
            },
            limit_changes,
        ),
    ]
}
