//! The specification, explored exhaustively within small bounds; larger ones
//! are explored by `cargo run --release -p deckwind-spec --example explore`.

use deckwind_spec::{
    Case, ClaimRules, ClaimSpec, LimitBounds, LimitRules, LimitSpec, LogBounds, LogRules, LogSpec,
    PassOnSpec, RepeatBounds, RepeatRules, RepeatSpec, Spec, claim_cases, explore, limit_cases,
    log_cases, pass_on_cases, repeat_cases,
};

/// Each rule that is taken out gives a run that breaks what it protects.
fn each_breaks<S: Spec>(cases: Vec<Case<S>>) {
    for case in cases {
        let run = explore(&case.spec).counterexample;
        let run = run.unwrap_or_else(|| panic!("without {}: nothing breaks", case.without));
        assert_eq!(
            run.last().map(String::as_str),
            Some(case.breaks),
            "{run:#?}"
        );
    }
}

#[test]
fn with_all_rules_the_log_keeps_its_invariants() {
    for bounds in LogBounds::SMALL {
        let rules = LogRules::ALL;
        let explored = explore(&LogSpec { rules, bounds });
        assert_eq!(explored.counterexample, None, "{bounds:?}");
    }
}

#[test]
fn without_any_one_of_its_rules_the_log_breaks() {
    each_breaks(log_cases());
}

#[test]
fn with_all_rules_a_claimed_request_runs_at_most_once() {
    let explored = explore(&ClaimSpec::with(ClaimRules::ALL));
    assert_eq!(explored.counterexample, None);
    assert!(explored.states > 1_000, "{}", explored.states);
}

#[test]
fn without_any_one_of_their_rules_claims_break() {
    each_breaks(claim_cases());
}

#[test]
fn with_all_rules_routers_keep_the_bound_on_repeats() {
    for bounds in RepeatBounds::SMALL {
        let rules = RepeatRules::ALL;
        let explored = explore(&RepeatSpec { rules, bounds });
        assert_eq!(explored.counterexample, None, "{bounds:?}");
        assert!(explored.states > 10_000, "{bounds:?}: {}", explored.states);
    }
}

#[test]
fn without_any_one_of_their_rules_repeats_pass_the_bound() {
    each_breaks(repeat_cases());
}

#[test]
fn with_all_rules_routers_keep_a_limit() {
    for bounds in LimitBounds::SMALL {
        let rules = LimitRules::ALL;
        let explored = explore(&LimitSpec { rules, bounds });
        assert_eq!(explored.counterexample, None, "{bounds:?}");
        assert!(explored.states > 1_000, "{bounds:?}: {}", explored.states);
    }
}

#[test]
fn without_any_one_of_their_rules_limits_are_passed() {
    each_breaks(limit_cases());
}

#[test]
fn with_all_rules_what_is_passed_on_keeps_leases_apart() {
    assert_eq!(explore(&PassOnSpec::SMALL).counterexample, None);
}

#[test]
fn without_any_one_rule_of_passing_on_its_invariant_breaks() {
    each_breaks(pass_on_cases());
}
