//! Bounds in which repeats are explored, and each of their rules taken out.

use crate::{Case, RepeatBounds, RepeatRules, RepeatSpec};

impl RepeatBounds {
    /// One repeat a window of two steps, nothing that fails.
    pub const LEAST: RepeatBounds = RepeatBounds {
        steps: 3,
        window: 2,
        lasts: 1,
        most: 1,
        questions: 3,
        entries: 2,
        restarts: 0,
        leaders: 0,
        backs: 0,
    };

    /// Explored in the tests.
    pub const SMALL: [RepeatBounds; 4] = [
        RepeatBounds {
            restarts: 1,
            ..Self::LEAST
        },
        RepeatBounds {
            leaders: 1,
            ..Self::LEAST
        },
        RepeatBounds {
            backs: 1,
            ..Self::LEAST
        },
        RepeatBounds {
            steps: 2,
            window: 3,
            lasts: 2,
            most: 2,
            ..Self::LEAST
        },
    ];

    /// Explored by the example.
    pub const LARGE: [RepeatBounds; 6] = [
        Self::SMALL[0],
        Self::SMALL[1],
        Self::SMALL[2],
        Self::SMALL[3],
        RepeatBounds {
            steps: 4,
            questions: 4,
            ..Self::LEAST
        },
        RepeatBounds {
            restarts: 1,
            leaders: 1,
            backs: 1,
            ..Self::LEAST
        },
    ];
}

/// Repeats without each of their rules.
pub fn repeat_cases() -> Vec<Case<RepeatSpec>> {
    let all = RepeatRules::ALL;
    let least = RepeatBounds::LEAST;
    let leaders = RepeatBounds {
        leaders: 1,
        ..least
    };
    let case = |without, rules, bounds| Case {
        without,
        spec: RepeatSpec { rules, bounds },
        breaks: "more repeats in a window than the bound",
    };
    vec![
        case(
            "agreement before the answer",
            RepeatRules {
                agreed_first: false,
                ..all
            },
            RepeatBounds {
                steps: 0,
                most: 2,
                entries: 3,
                ..leaders
            },
        ),
        case(
            "a new leader counting all that was given",
            RepeatRules {
                counted_by_new_leader: false,
                ..all
            },
            leaders,
        ),
        case(
            "its time from the question",
            RepeatRules {
                lasts_from_question: false,
                ..all
            },
            least,
        ),
        case(
            "an allowance for each start",
            RepeatRules {
                allowance_by_start: false,
                ..all
            },
            RepeatBounds {
                restarts: 1,
                ..least
            },
        ),
        case(
            "keeping to the newest allowance",
            RepeatRules {
                newest_only: false,
                ..all
            },
            RepeatBounds {
                steps: 1,
                most: 2,
                ..leaders
            },
        ),
        case(
            "used ones counting for a window",
            RepeatRules {
                used_counts: false,
                ..all
            },
            least,
        ),
        case(
            "those of a silent router counting for a window",
            RepeatRules {
                silent_counts: false,
                ..all
            },
            least,
        ),
        case(
            "what was given back being gone",
            RepeatRules {
                back_is_gone: false,
                ..all
            },
            RepeatBounds { backs: 1, ..least },
        ),
        case(
            "remembering what was used",
            RepeatRules {
                remembered: false,
                ..all
            },
            RepeatBounds {
                steps: 2,
                window: 3,
                lasts: 2,
                ..least
            },
        ),
        case(
            "used ones being over only after a window",
            RepeatRules {
                over_after_window: false,
                ..all
            },
            least,
        ),
    ]
}
