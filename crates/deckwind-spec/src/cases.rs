//! Bounds that are explored, and each rule taken out in turn.

use crate::{ClaimRules, ClaimSpec, LogBounds, LogRules, LogSpec};

/// A specification without one of its rules.
pub struct Case<S> {
    /// The rule.
    pub without: &'static str,
    /// The specification.
    pub spec: S,
    /// The invariant that breaks.
    pub breaks: &'static str,
}

impl LogBounds {
    /// Two terms, one entry, no fault.
    pub const LEAST: LogBounds = LogBounds {
        terms: 2,
        entries: 1,
        crashes: 0,
        losses: 0,
        leases: false,
        rivals: false,
    };

    /// Explored in the tests: under 100,000 states each.
    pub const SMALL: [LogBounds; 4] = [
        LogBounds {
            leases: true,
            ..Self::LEAST
        },
        LogBounds {
            crashes: 1,
            ..Self::LEAST
        },
        LogBounds {
            entries: 2,
            ..Self::LEAST
        },
        LogBounds {
            terms: 4,
            rivals: true,
            ..Self::LEAST
        },
    ];

    /// Explored by the example.
    pub const LARGE: [LogBounds; 8] = [
        Self::SMALL[0],
        Self::SMALL[1],
        Self::SMALL[2],
        Self::SMALL[3],
        LogBounds {
            losses: 1,
            ..Self::LEAST
        },
        LogBounds {
            entries: 2,
            crashes: 1,
            ..Self::LEAST
        },
        LogBounds {
            crashes: 1,
            losses: 1,
            ..Self::LEAST
        },
        LogBounds {
            crashes: 1,
            leases: true,
            ..Self::LEAST
        },
    ];
}

/// The log without each of its rules.
pub fn log_cases() -> Vec<Case<LogSpec>> {
    let all = LogRules::ALL;
    let least = LogBounds::LEAST;
    let case = |without, rules, bounds, breaks| Case {
        without,
        spec: LogSpec { rules, bounds },
        breaks,
    };
    const TWO_LEADERS: &str = "two leaders in one term";
    const TWO_LEASES: &str = "two leaders hold the lease";
    const REPLACED: &str = "a committed entry was replaced";
    vec![
        case(
            "the sync before the message",
            LogRules { sync: false, ..all },
            LogBounds {
                crashes: 1,
                ..least
            },
            TWO_LEADERS,
        ),
        case(
            "a new identity for a lost disk",
            LogRules {
                identity: false,
                ..all
            },
            LogBounds { losses: 1, ..least },
            TWO_LEADERS,
        ),
        case(
            "the promise to the leader",
            LogRules {
                lease: false,
                ..all
            },
            LogBounds {
                leases: true,
                ..least
            },
            TWO_LEASES,
        ),
        case(
            "the promise over a restart",
            LogRules {
                promise_over_restart: false,
                ..all
            },
            LogBounds {
                crashes: 1,
                leases: true,
                ..least
            },
            TWO_LEASES,
        ),
        case(
            "a candidate's log being up to date",
            LogRules {
                up_to_date: false,
                ..all
            },
            least,
            REPLACED,
        ),
        case(
            "commit by the own term only",
            LogRules {
                own_term: false,
                ..all
            },
            LogBounds {
                terms: 4,
                rivals: true,
                ..least
            },
            REPLACED,
        ),
    ]
}

impl ClaimSpec {
    /// Two routers, two tries a boot, one restart each.
    pub const fn with(rules: ClaimRules) -> Self {
        ClaimSpec {
            rules,
            tries: 2,
            restarts: 1,
        }
    }
}

/// Claims without each of their rules.
pub fn claim_cases() -> Vec<Case<ClaimSpec>> {
    let all = ClaimRules::ALL;
    let case = |without, rules| Case {
        without,
        spec: ClaimSpec::with(rules),
        breaks: "the request ran twice",
    };
    vec![
        case(
            "the claim before the send",
            ClaimRules {
                claim_first: false,
                ..all
            },
        ),
        case(
            "the holder in a resend",
            ClaimRules {
                holder_in_resend: false,
                ..all
            },
        ),
        case(
            "a gone holder's claim staying taken",
            ClaimRules {
                gone_stays_taken: false,
                ..all
            },
        ),
        case(
            "the try in an outcome",
            ClaimRules {
                try_in_outcome: false,
                ..all
            },
        ),
        case(
            "freeing by the holder only",
            ClaimRules {
                free_by_holder: false,
                ..all
            },
        ),
    ]
}
