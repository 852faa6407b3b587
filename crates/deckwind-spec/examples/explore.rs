//! Explores the specifications and prints bounds, states and, with a rule taken
//! out, the shortest bad run.

use deckwind_spec::{
    ClaimRules, ClaimSpec, LimitBounds, LimitRules, LimitSpec, LogBounds, LogRules, LogSpec,
    RepeatBounds, RepeatRules, RepeatSpec, Spec, claim_cases, explore, limit_cases, log_cases,
    repeat_cases,
};
use std::time::Instant;

fn show<S: Spec>(name: &str, spec: &S) {
    let begun = Instant::now();
    let explored = explore(spec);
    println!(
        "{name}: {} states, {:.1?}",
        explored.states,
        begun.elapsed()
    );
    for (i, line) in explored.counterexample.iter().flatten().enumerate() {
        println!("  {:2} {line}", i + 1);
    }
}

fn main() {
    for bounds in LogBounds::LARGE {
        let rules = LogRules::ALL;
        show(
            &format!("log, all rules, {bounds:?}"),
            &LogSpec { rules, bounds },
        );
    }
    for case in log_cases() {
        let name = format!("log without {}, {:?}", case.without, case.spec.bounds);
        show(&name, &case.spec);
    }
    let spec = ClaimSpec::with(ClaimRules::ALL);
    show(&format!("claims, all rules, {spec:?}"), &spec);
    for case in claim_cases() {
        show(&format!("claims without {}", case.without), &case.spec);
    }
    for bounds in RepeatBounds::LARGE {
        let rules = RepeatRules::ALL;
        let name = format!("repeats, all rules, {bounds:?}");
        show(&name, &RepeatSpec { rules, bounds });
    }
    for case in repeat_cases() {
        let name = format!("repeats without {}, {:?}", case.without, case.spec.bounds);
        show(&name, &case.spec);
    }
    for bounds in LimitBounds::LARGE {
        let rules = LimitRules::ALL;
        let name = format!("limits, all rules, {bounds:?}");
        show(&name, &LimitSpec { rules, bounds });
    }
    for case in limit_cases() {
        let name = format!("limits without {}, {:?}", case.without, case.spec.bounds);
        show(&name, &case.spec);
    }
}
