//! Bounds for the specification of the ends of streams, and cases that disable one rule
//! each.

use crate::stream_end_spec::{FALSELY_COMPLETE, FALSELY_SERVED, JOINED, NOT_IN_ORDER, NOT_RESUMED};
use crate::{Case, StreamEndBounds, StreamEndRules, StreamEndSpec};

impl StreamEndBounds {
    /// Bounds explored in the tests.
    pub const SMALL: StreamEndBounds = StreamEndBounds {
        events: 3,
        tries: 2,
    };

    /// Bounds explored by the `explore` example.
    pub const LARGE: StreamEndBounds = StreamEndBounds {
        events: 3,
        tries: 3,
    };
}

/// Returns the specification of the ends of streams with each rule disabled in turn.
pub fn stream_end_cases() -> Vec<Case<StreamEndSpec>> {
    let all = StreamEndRules::ALL;
    let case = |disabled_rule, rules, violates| Case {
        disabled_rule,
        spec: StreamEndSpec {
            rules,
            bounds: StreamEndBounds::SMALL,
        },
        violates,
    };
    vec![
        case(
            "naming what marks an end",
            StreamEndRules {
                name_what_marks_the_end: false,
                ..all
            },
            FALSELY_COMPLETE,
        ),
        case(
            "asking whether an event is open",
            StreamEndRules {
                ask_for_open_event: false,
                ..all
            },
            FALSELY_COMPLETE,
        ),
        case(
            "a reset being a break",
            StreamEndRules {
                reset_is_break: false,
                ..all
            },
            FALSELY_COMPLETE,
        ),
        case(
            "silence being no end",
            StreamEndRules {
                silence_is_no_end: false,
                ..all
            },
            FALSELY_COMPLETE,
        ),
        case(
            "breaking off visibly",
            StreamEndRules {
                break_off_visibly: false,
                ..all
            },
            FALSELY_COMPLETE,
        ),
        case(
            "passing on whole events only",
            StreamEndRules {
                pass_whole_events: false,
                ..all
            },
            NOT_IN_ORDER,
        ),
        case(
            "skipping events that were seen",
            StreamEndRules {
                skip_seen_events: false,
                ..all
            },
            NOT_IN_ORDER,
        ),
        case(
            "resuming after the last event that was passed on",
            StreamEndRules {
                resume_after_last_event: false,
                ..all
            },
            NOT_IN_ORDER,
        ),
        case(
            "resuming only what may be resumed",
            StreamEndRules {
                resume_only_resumable: false,
                ..all
            },
            JOINED,
        ),
        case(
            "resuming while tries are left",
            StreamEndRules {
                resume_while_tries_left: false,
                ..all
            },
            NOT_RESUMED,
        ),
        case(
            "a broken run not being served",
            StreamEndRules {
                broken_is_not_served: false,
                ..all
            },
            FALSELY_SERVED,
        ),
    ]
}
