//! Bounds in which limits are explored, and each of their rules taken out.

use crate::{Case, LimitBounds, LimitRules, LimitSpec};

impl LimitBounds {
    /// One permit a step, counted over one step; nothing that fails.
    pub const LEAST: LimitBounds = LimitBounds {
        routers: 2,
        steps: 2,
        span: 1,
        interval: 1,
        lasts: 1,
        questions: 2,
        renewals: 0,
        sends: 2,
        changes: 0,
        leaders: 0,
        restarts: 0,
    };

    /// One router; the limit ends and begins again.
    const CHANGES: LimitBounds = LimitBounds {
        routers: 1,
        questions: 3,
        sends: 4,
        changes: 2,
        ..Self::LEAST
    };

    /// One router that only renews its lease; the leader changes.
    const RENEWALS: LimitBounds = LimitBounds {
        routers: 1,
        steps: 1,
        questions: 0,
        renewals: 3,
        leaders: 1,
        ..Self::LEAST
    };

    /// Explored in the tests.
    pub const SMALL: [LimitBounds; 4] = [
        LimitBounds {
            leaders: 1,
            ..Self::LEAST
        },
        LimitBounds {
            steps: 3,
            span: 2,
            interval: 2,
            lasts: 2,
            sends: 3,
            ..Self::LEAST
        },
        Self::CHANGES,
        LimitBounds {
            renewals: 2,
            ..Self::RENEWALS
        },
    ];

    /// Explored by the example.
    pub const LARGE: [LimitBounds; 8] = [
        Self::SMALL[0],
        Self::SMALL[1],
        Self::SMALL[2],
        Self::SMALL[3],
        LimitBounds {
            restarts: 1,
            sends: 3,
            ..Self::LEAST
        },
        LimitBounds {
            leaders: 1,
            ..Self::CHANGES
        },
        LimitBounds {
            steps: 2,
            ..Self::RENEWALS
        },
        LimitBounds {
            questions: 1,
            renewals: 2,
            ..Self::CHANGES
        },
    ];
}

/// Limits without each of their rules.
pub fn limit_cases() -> Vec<Case<LimitSpec>> {
    let all = LimitRules::ALL;
    let least = LimitBounds::LEAST;
    let changes = LimitBounds::CHANGES;
    let renewals = LimitBounds::RENEWALS;
    let case = |without, rules, bounds| Case {
        without,
        spec: LimitSpec { rules, bounds },
        breaks: "more requests in a span than the target's limit",
    };
    vec![
        case(
            "permits",
            LimitRules {
                permit_first: false,
                ..all
            },
            least,
        ),
        case(
            "a pace",
            LimitRules {
                paced: false,
                ..all
            },
            least,
        ),
        case(
            "a new leader's wait",
            LimitRules {
                new_leader_waits: false,
                ..all
            },
            LimitBounds {
                leaders: 1,
                ..least
            },
        ),
        case(
            "a permit's time from its question",
            LimitRules {
                lasts_from_question: false,
                ..all
            },
            least,
        ),
        case(
            "a permit's being used once",
            LimitRules {
                used_once: false,
                ..all
            },
            least,
        ),
        case(
            "an end by permitted requests only",
            LimitRules {
                ended_by_permitted: false,
                ..all
            },
            LimitBounds {
                steps: 0,
                questions: 0,
                restarts: 1,
                ..changes
            },
        ),
        case(
            "an end by later ones only",
            LimitRules {
                ended_by_later: false,
                ..all
            },
            changes,
        ),
        case(
            "an end by the leader's own time only",
            LimitRules {
                ended_by_own_time: false,
                ..all
            },
            LimitBounds {
                leaders: 1,
                ..changes
            },
        ),
        case(
            "the last renewal's answer only",
            LimitRules {
                one_renewal: false,
                ..all
            },
            renewals,
        ),
        case(
            "telling another leader all",
            LimitRules {
                another_is_told_all: false,
                ..all
            },
            LimitBounds {
                renewals: 2,
                ..renewals
            },
        ),
        case(
            "what was heard since a question standing",
            LimitRules {
                over_as_asked: false,
                ..all
            },
            changes,
        ),
    ]
}
