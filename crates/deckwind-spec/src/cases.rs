//! Bounds for the log and claim specifications, and cases that disable one rule each.

use crate::{ClaimRules, ClaimSpec, LogBounds, LogRules, LogSpec};

/// Specification with one rule disabled.
pub struct Case<S> {
    /// Description of the disabled rule.
    pub disabled_rule: &'static str,
    /// Specification without the rule.
    pub spec: S,
    /// Invariant that is violated without the rule.
    pub violates: &'static str,
}

impl LogBounds {
    /// Two terms, one entry, no faults.
    pub const MINIMAL: LogBounds = LogBounds {
        terms: 2,
        entries: 1,
        crashes: 0,
        disk_losses: 0,
        leases: false,
        competing_leaders: false,
    };

    /// Bounds explored in the tests: under 100,000 states each.
    pub const SMALL: [LogBounds; 4] = [
        LogBounds {
            leases: true,
            ..Self::MINIMAL
        },
        LogBounds {
            crashes: 1,
            ..Self::MINIMAL
        },
        LogBounds {
            entries: 2,
            ..Self::MINIMAL
        },
        LogBounds {
            terms: 4,
            competing_leaders: true,
            ..Self::MINIMAL
        },
    ];

    /// Bounds explored by the `explore` example.
    pub const LARGE: [LogBounds; 8] = [
        Self::SMALL[0],
        Self::SMALL[1],
        Self::SMALL[2],
        Self::SMALL[3],
        LogBounds {
            disk_losses: 1,
            ..Self::MINIMAL
        },
        LogBounds {
            entries: 2,
            crashes: 1,
            ..Self::MINIMAL
        },
        LogBounds {
            crashes: 1,
            disk_losses: 1,
            ..Self::MINIMAL
        },
        LogBounds {
            crashes: 1,
            leases: true,
            ..Self::MINIMAL
        },
    ];
}

/// Returns the log specification with each rule disabled in turn.
pub fn log_cases() -> Vec<Case<LogSpec>> {
    let all = LogRules::ALL;
    let minimal = LogBounds::MINIMAL;
    let case = |disabled_rule, rules, bounds, violates| Case {
        disabled_rule,
        spec: LogSpec { rules, bounds },
        violates,
    };
    const TWO_LEADERS: &str = "two leaders in one term";
    const TWO_LEASES: &str = "two leaders hold the lease";
    const REPLACED: &str = "a committed entry was replaced";
    vec![
        case(
            "syncing before sending",
            LogRules {
                sync_before_send: false,
                ..all
            },
            LogBounds {
                crashes: 1,
                ..minimal
            },
            TWO_LEADERS,
        ),
        case(
            "a new identity after a lost disk",
            LogRules {
                new_identity_after_loss: false,
                ..all
            },
            LogBounds {
                disk_losses: 1,
                ..minimal
            },
            TWO_LEADERS,
        ),
        case(
            "the promise to the leader blocking votes",
            LogRules {
                promise_blocks_votes: false,
                ..all
            },
            LogBounds {
                leases: true,
                ..minimal
            },
            TWO_LEASES,
        ),
        case(
            "keeping the promise over a restart",
            LogRules {
                promise_survives_restart: false,
                ..all
            },
            LogBounds {
                crashes: 1,
                leases: true,
                ..minimal
            },
            TWO_LEASES,
        ),
        case(
            "requiring an up-to-date log of candidates",
            LogRules {
                up_to_date_log: false,
                ..all
            },
            minimal,
            REPLACED,
        ),
        case(
            "counting acknowledgements for the own term only",
            LogRules {
                commit_own_term_only: false,
                ..all
            },
            LogBounds {
                terms: 4,
                competing_leaders: true,
                ..minimal
            },
            REPLACED,
        ),
    ]
}

impl ClaimSpec {
    /// Returns a specification with two routers, two attempts per boot and one restart
    /// each.
    pub const fn with(rules: ClaimRules) -> Self {
        ClaimSpec {
            rules,
            attempts: 2,
            restarts: 1,
        }
    }
}

/// Returns the claim specification with each rule disabled in turn.
pub fn claim_cases() -> Vec<Case<ClaimSpec>> {
    let all = ClaimRules::ALL;
    let case = |disabled_rule, rules| Case {
        disabled_rule,
        spec: ClaimSpec::with(rules),
        violates: "the request ran twice",
    };
    vec![
        case(
            "the claim before sending",
            ClaimRules {
                claim_before_send: false,
                ..all
            },
        ),
        case(
            "matching the holder of a resent claim",
            ClaimRules {
                match_holder_of_resend: false,
                ..all
            },
        ),
        case(
            "keeping the claim of a lost holder",
            ClaimRules {
                keep_claim_of_lost_holder: false,
                ..all
            },
        ),
        case(
            "matching the attempt of an outcome",
            ClaimRules {
                match_attempt_of_outcome: false,
                ..all
            },
        ),
        case(
            "releasing by the holder only",
            ClaimRules {
                release_by_holder_only: false,
                ..all
            },
        ),
    ]
}
