//! Explores the specification exhaustively within small bounds. For larger bounds
//! run `cargo run --release -p deckwind-spec --example explore`.

use deckwind_spec::{
    AttributionSpec, Case, ClaimRules, ClaimSpec, ForwardingSpec, LimitBounds, LimitRules,
    LimitSpec, LogBounds, LogRules, LogSpec, MembershipFaults, MembershipRules, MembershipSpec,
    RetryBounds, RetryRules, RetrySpec, ServingRules, ServingSpec, Spec, StreamEndBounds,
    StreamEndRules, StreamEndSpec, TrialSpec, TunnelSpec, attribution_cases, claim_cases, explore,
    forwarding_cases, limit_cases, log_cases, membership_cases, retry_cases, serving_cases,
    stream_end_cases, trial_cases, tunnel_cases,
};

/// Asserts that without any one rule, exploration finds a run that violates the
/// invariant which the rule protects.
fn assert_each_rule_is_needed<S: Spec>(cases: Vec<Case<S>>) {
    for case in cases {
        let run = explore(&case.spec).counterexample;
        let run = run.unwrap_or_else(|| {
            panic!(
                "without rule {}: no invariant is violated",
                case.disabled_rule
            )
        });
        assert_eq!(
            run.last().map(String::as_str),
            Some(case.violates),
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
    assert_each_rule_is_needed(log_cases());
}

#[test]
fn with_all_rules_a_claimed_request_runs_at_most_once() {
    let explored = explore(&ClaimSpec::with(ClaimRules::ALL));
    assert_eq!(explored.counterexample, None);
    assert!(explored.states > 1_000, "{}", explored.states);
}

#[test]
fn without_any_one_of_their_rules_claims_break() {
    assert_each_rule_is_needed(claim_cases());
}

#[test]
fn with_all_rules_routers_keep_the_retry_budget() {
    for bounds in RetryBounds::SMALL {
        let rules = RetryRules::ALL;
        let explored = explore(&RetrySpec { rules, bounds });
        assert_eq!(explored.counterexample, None, "{bounds:?}");
        assert!(explored.states > 10_000, "{bounds:?}: {}", explored.states);
    }
}

#[test]
fn without_any_one_of_their_rules_retries_exceed_the_budget() {
    assert_each_rule_is_needed(retry_cases());
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
fn without_any_one_of_their_rules_limits_are_exceeded() {
    assert_each_rule_is_needed(limit_cases());
}

#[test]
fn with_all_rules_forwarding_keeps_leases_apart() {
    assert_eq!(explore(&ForwardingSpec::SMALL).counterexample, None);
}

#[test]
fn without_any_one_of_its_rules_forwarding_breaks() {
    assert_each_rule_is_needed(forwarding_cases());
}

#[test]
fn with_all_rules_a_request_runs_once_whatever_way_it_takes() {
    let explored = explore(&TunnelSpec::SMALL);
    assert_eq!(explored.counterexample, None);
    assert!(explored.states > 300, "{}", explored.states);
}

#[test]
fn without_any_one_of_their_rules_tunnels_break() {
    assert_each_rule_is_needed(tunnel_cases());
}

/// Guards against an end of a stream that the rules do not cover: a broken one looks
/// complete, or its events are lost, come twice or are not resumed.
#[test]
fn with_all_rules_a_stream_looks_complete_only_if_it_is() {
    let spec = StreamEndSpec {
        rules: StreamEndRules::ALL,
        bounds: StreamEndBounds::SMALL,
    };
    let explored = explore(&spec);
    println!("{} states", explored.states);
    assert_eq!(explored.counterexample, None);
    assert!(explored.states > 1_000, "{}", explored.states);
}

/// Guards against a rule of the ends of streams that protects nothing.
#[test]
fn without_any_one_of_their_rules_ends_of_streams_break() {
    assert_each_rule_is_needed(stream_end_cases());
}

#[test]
fn with_all_rules_a_part_at_fault_is_found_and_no_sound_request_refused() {
    let explored = explore(&AttributionSpec::SMALL);
    assert_eq!(explored.counterexample, None);
    assert!(explored.states > 100, "{}", explored.states);
    println!("{} states", explored.states);
}

#[test]
fn without_any_one_of_its_rules_the_attribution_breaks() {
    assert_each_rule_is_needed(attribution_cases());
}

/// Guards against trials of a quarantined content that crash more targets than there are
/// trials, or run at two routers at the same time.
#[test]
fn with_all_rules_a_trial_runs_at_one_router_and_once() {
    let explored = explore(&TrialSpec::SMALL);
    assert_eq!(explored.counterexample, None);
    assert!(explored.states > 500, "{}", explored.states);
    println!("{} states", explored.states);
}

#[test]
fn without_any_one_of_their_rules_trials_break() {
    assert_each_rule_is_needed(trial_cases());
}

/// Guards against a replica that is taken in and never votes, and against one that keeps
/// others out.
#[test]
fn with_all_rules_all_wanted_replicas_vote_again() {
    for faults in MembershipFaults::SMALL {
        let rules = MembershipRules::ALL;
        let explored = explore(&MembershipSpec { rules, faults });
        println!("{faults:?}: {} states", explored.states);
        assert_eq!(explored.counterexample, None, "{faults:?}");
        assert!(explored.states > 500, "{faults:?}: {}", explored.states);
    }
}

/// Guards against a rule of taking replicas in that protects nothing.
#[test]
fn without_any_one_of_their_rules_not_all_replicas_vote() {
    assert_each_rule_is_needed(membership_cases());
}

/// Guards against a request that a router admits by a new lease and an old release.
#[test]
fn with_all_rules_no_request_runs_with_a_revoked_key() {
    let rules = ServingRules::ALL;
    let explored = explore(&ServingSpec { rules });
    println!("{} states", explored.states);
    assert_eq!(explored.counterexample, None);
    assert!(explored.states > 15, "{}", explored.states);
}

/// Guards against a rule of serving that protects nothing.
#[test]
fn without_any_one_of_their_rules_routers_serve_by_an_old_release() {
    assert_each_rule_is_needed(serving_cases());
}
