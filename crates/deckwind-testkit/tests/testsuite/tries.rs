//! How many targets may run one try of a caller.

use crate::support::{announced, cards, instances};
use deckwind_core::routes::{InstanceIndex, Tries};
use deckwind_core::state::{
    Command, CommandBody, Instance, InstanceChange, InstanceState, StateMachine,
};
use yare::parameterized;

/// Targets that a route lets run one request.
const ATTEMPTS: u32 = 2;

/// A request may go to one target more than its route allows where one has ended
/// meanwhile. A target that has left, or is silent, may still run what it has; one that
/// started again since, under its id or another one, does not.
#[parameterized(
    ready = { InstanceState::Ready, &[], false },
    drains = { InstanceState::Draining, &[], false },
    silent = { InstanceState::Ready, &[InstanceChange::Silent("a-fast-0".into())], false },
    left = { InstanceState::Ready, &[InstanceChange::Left("a-fast-0".into())], false },
    started_again = { InstanceState::Ready, &[at_its_address("a-fast-0", Some(5))], true },
    another_at_its_address = { InstanceState::Ready, &[at_its_address("other", None)], true },
)]
fn only_a_target_that_started_again_has_ended(
    state: InstanceState,
    changes: &[InstanceChange],
    ended: bool,
) {
    let target = Instance { state, ..target() };
    let index = index_after(&target, changes);
    assert_eq!(index.has_ended(target.address, &target.life()), ended);
}

/// An engine that ended was subtracted once for each look at it: one end gave a request
/// as many further tries as it was looked for another target.
#[test]
fn one_end_gives_one_further_try_however_often_it_is_looked_at() {
    let first = target();
    let (other, third) = (another("b-fast-0"), another("c-fast-0"));
    let there = index_after(&first, &[]);
    let gone = index_after(&first, &[at_its_address("a-fast-0", Some(5))]);
    let mut tries = Tries::new(ATTEMPTS);
    tries.sent(first.address, first.life());
    assert!(tries.left(&there), "one more");
    for _ in 0..10 {
        assert!(tries.left(&gone), "two more");
    }
    tries.sent(other.address, other.life());
    assert!(!tries.left(&there), "both are there");
    assert!(tries.left(&gone), "one has ended");
    tries.sent(third.address, third.life());
    assert!(!tries.left(&gone), "two are there");
    assert_eq!((tries.count(), tries.ended(&gone)), (3, 1));
}

#[test]
fn a_target_that_did_not_run_a_request_does_not_count() {
    let first = target();
    let there = index_after(&first, &[]);
    let mut tries = Tries::new(ATTEMPTS);
    tries.sent(first.address, first.life());
    for _ in 0..3 {
        let refuses = another("b-fast-0");
        tries.sent(refuses.address, refuses.life());
        tries.not_run();
    }
    assert_eq!(tries.count(), 1);
    assert!(tries.left(&there), "one has run it");
}

fn target() -> Instance {
    instances(&cards("a", 1, 0, 0)).remove(0)
}

fn another(id: &str) -> Instance {
    Instance {
        id: id.to_string(),
        address: ([127, 0, 0, 9], 9).into(),
        ..target()
    }
}

fn at_its_address(id: &str, born: Option<u64>) -> InstanceChange {
    announced(Instance {
        id: id.to_string(),
        born,
        ..target()
    })
}

/// What is agreed once the target has announced itself, and these changes came.
fn index_after(target: &Instance, changes: &[InstanceChange]) -> InstanceIndex {
    let mut machine = StateMachine::default();
    machine.apply(Command {
        at_ms: 1,
        body: CommandBody::Instances([&[announced(target.clone())], changes].concat()),
    });
    InstanceIndex::of(machine.configuration())
}
