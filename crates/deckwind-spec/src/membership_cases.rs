//! Faults for the membership specification, and cases that disable one rule each.

use crate::cases::Case;
use crate::membership_spec::{
    MembershipFaults, MembershipRules, MembershipSpec, NOT_ALL_VOTE, TOO_FEW_COPIES,
};

impl MembershipFaults {
    const NONE: MembershipFaults = MembershipFaults {
        leader_restarts: 0,
        replaced: false,
        replaced_again: false,
        second_loss: false,
        no_seed_left: false,
    };

    /// Faults explored in the tests.
    pub const SMALL: [MembershipFaults; 4] = [
        MembershipFaults {
            leader_restarts: 1,
            ..Self::NONE
        },
        MembershipFaults {
            replaced: true,
            ..Self::NONE
        },
        MembershipFaults {
            second_loss: true,
            ..Self::NONE
        },
        MembershipFaults {
            second_loss: true,
            no_seed_left: true,
            ..Self::NONE
        },
    ];

    /// Faults that leave no leader if a successor votes beside the lost voter that it replaces.
    pub const LOST_SUCCESSOR: MembershipFaults = MembershipFaults {
        replaced: true,
        replaced_again: true,
        second_loss: true,
        ..Self::NONE
    };

    /// Faults explored by the `explore` example.
    pub const LARGE: [MembershipFaults; 3] = [
        MembershipFaults {
            leader_restarts: 1,
            replaced: true,
            ..Self::NONE
        },
        MembershipFaults {
            leader_restarts: 1,
            second_loss: true,
            ..Self::NONE
        },
        MembershipFaults {
            leader_restarts: 1,
            second_loss: true,
            no_seed_left: true,
            ..Self::NONE
        },
    ];
}

/// Returns the membership specification with each rule disabled in turn.
pub fn membership_cases() -> Vec<Case<MembershipSpec>> {
    let all = MembershipRules::ALL;
    let [leader_goes, replaced, second_loss, no_seed_left] = MembershipFaults::SMALL;
    let case = |disabled_rule, rules, faults, violates| Case {
        disabled_rule,
        spec: MembershipSpec { rules, faults },
        violates,
    };
    vec![
        case(
            "promotion by any leader",
            MembershipRules {
                any_leader_promotes: false,
                ..all
            },
            leader_goes,
            NOT_ALL_VOTE,
        ),
        case(
            "a learner without a leader asking again",
            MembershipRules {
                learner_asks_again: false,
                ..all
            },
            leader_goes,
            NOT_ALL_VOTE,
        ),
        case(
            "nobody waiting for another",
            MembershipRules {
                nobody_waits_for_another: false,
                ..all
            },
            replaced,
            NOT_ALL_VOTE,
        ),
        case(
            "removing learners that are gone",
            MembershipRules {
                gone_learners_are_removed: false,
                ..all
            },
            replaced,
            NOT_ALL_VOTE,
        ),
        case(
            "one replacement after the other",
            MembershipRules {
                promoted_one_by_one: false,
                ..all
            },
            second_loss,
            TOO_FEW_COPIES,
        ),
        case(
            "one more voter only if all answer",
            MembershipRules {
                one_more_only_if_all_answer: false,
                ..all
            },
            MembershipFaults::LOST_SUCCESSOR,
            NOT_ALL_VOTE,
        ),
        case(
            "asking who sends to its slot",
            MembershipRules {
                asks_who_sends_to_its_slot: false,
                ..all
            },
            no_seed_left,
            NOT_ALL_VOTE,
        ),
    ]
}
