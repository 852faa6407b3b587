//! Explores the specifications and prints their bounds and the number of states.
//! For each specification with a rule disabled, prints a shortest run that violates
//! an invariant.

use deckwind_spec::{
    ClaimRules, ClaimSpec, LimitBounds, LimitRules, LimitSpec, LogBounds, LogRules, LogSpec,
    MembershipFaults, MembershipRules, MembershipSpec, RetryBounds, RetryRules, RetrySpec, Spec,
    StreamEndBounds, StreamEndRules, StreamEndSpec, claim_cases, explore, limit_cases, log_cases,
    membership_cases, retry_cases, stream_end_cases,
};
use std::time::Instant;

fn explore_and_print<S: Spec>(name: &str, spec: &S) {
    let started = Instant::now();
    let exploration = explore(spec);
    println!(
        "{name}: {} states, {:.1?}",
        exploration.states,
        started.elapsed()
    );
    for (i, line) in exploration.counterexample.iter().flatten().enumerate() {
        println!("  {:2} {line}", i + 1);
    }
}

fn main() {
    for faults in MembershipFaults::SMALL
        .into_iter()
        .chain(MembershipFaults::LARGE)
    {
        let rules = MembershipRules::ALL;
        let name = format!("members, all rules, {faults:?}");
        explore_and_print(&name, &MembershipSpec { rules, faults });
    }
    for case in membership_cases() {
        let name = format!("members without {}", case.disabled_rule);
        explore_and_print(&name, &case.spec);
    }
    for bounds in LogBounds::LARGE {
        let rules = LogRules::ALL;
        explore_and_print(
            &format!("log, all rules, {bounds:?}"),
            &LogSpec { rules, bounds },
        );
    }
    for case in log_cases() {
        let name = format!("log without {}, {:?}", case.disabled_rule, case.spec.bounds);
        explore_and_print(&name, &case.spec);
    }
    let spec = ClaimSpec::with(ClaimRules::ALL);
    explore_and_print(&format!("claims, all rules, {spec:?}"), &spec);
    for case in claim_cases() {
        explore_and_print(
            &format!("claims without {}", case.disabled_rule),
            &case.spec,
        );
    }
    for bounds in RetryBounds::LARGE {
        let rules = RetryRules::ALL;
        let name = format!("retries, all rules, {bounds:?}");
        explore_and_print(&name, &RetrySpec { rules, bounds });
    }
    for case in retry_cases() {
        let name = format!(
            "retries without {}, {:?}",
            case.disabled_rule, case.spec.bounds
        );
        explore_and_print(&name, &case.spec);
    }
    for bounds in LimitBounds::LARGE {
        let rules = LimitRules::ALL;
        let name = format!("limits, all rules, {bounds:?}");
        explore_and_print(&name, &LimitSpec { rules, bounds });
    }
    for case in limit_cases() {
        let name = format!(
            "limits without {}, {:?}",
            case.disabled_rule, case.spec.bounds
        );
        explore_and_print(&name, &case.spec);
    }
    for bounds in [StreamEndBounds::SMALL, StreamEndBounds::LARGE] {
        let rules = StreamEndRules::ALL;
        let name = format!("ends of streams, all rules, {bounds:?}");
        explore_and_print(&name, &StreamEndSpec { rules, bounds });
    }
    for case in stream_end_cases() {
        let name = format!("ends of streams without {}", case.disabled_rule);
        explore_and_print(&name, &case.spec);
    }
}
