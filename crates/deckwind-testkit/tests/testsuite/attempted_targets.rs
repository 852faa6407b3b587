//! Number of targets that may run one request of a caller.

use crate::support::{announced_change, announced_instances, engine_cards};
use deckwind_core::routes::{AttemptedTargets, InstanceIndex};
use deckwind_core::state::{
    Command, CommandBody, Instance, InstanceChange, InstanceState, StateMachine,
};
use yare::parameterized;

/// Number of targets that may run one request on the route.
const ATTEMPTS: u32 = 2;

/// A request may be sent to one target more than its route allows for each target that has
/// ended. A target that has left or is silent may still run the request. One that has
/// restarted at its address, under its id or another one, does not.
#[parameterized(
    ready = { InstanceState::Ready, &[], false },
    drains = { InstanceState::Draining, &[], false },
    silent = { InstanceState::Ready, &[InstanceChange::Silent("a-fast-0".into())], false },
    left = { InstanceState::Ready, &[InstanceChange::Left("a-fast-0".into())], false },
    started_again = { InstanceState::Ready, &[announced_at_same_address("a-fast-0", Some(5))], true },
    another_at_its_address = { InstanceState::Ready, &[announced_at_same_address("other", None)], true },
)]
fn only_a_target_that_started_again_has_ended(
    state: InstanceState,
    changes: &[InstanceChange],
    ended: bool,
) {
    let target = Instance { state, ..target() };
    let index = index_after(&target, changes);
    assert_eq!(
        index.has_ended(target.address, &target.incarnation()),
        ended
    );
}

/// Guards against subtracting an ended engine once for each check: one end then gave a
/// request a further attempt for each time another target was chosen.
#[test]
fn one_end_gives_one_further_try_however_often_it_is_looked_at() {
    let first = target();
    let (other, third) = (another("b-fast-0"), another("c-fast-0"));
    let running_index = index_after(&first, &[]);
    let ended_index = index_after(&first, &[announced_at_same_address("a-fast-0", Some(5))]);
    let mut attempts = AttemptedTargets::new(ATTEMPTS);
    attempts.record_sent(first.address, first.incarnation());
    assert!(attempts.may_send(&running_index), "one more attempt");
    for _ in 0..10 {
        assert!(attempts.may_send(&ended_index), "two more attempts");
    }
    attempts.record_sent(other.address, other.incarnation());
    assert!(!attempts.may_send(&running_index), "both targets run");
    assert!(attempts.may_send(&ended_index), "one target has ended");
    attempts.record_sent(third.address, third.incarnation());
    assert!(!attempts.may_send(&ended_index), "two targets run");
    assert_eq!((attempts.count(), attempts.ended(&ended_index)), (3, 1));
}

#[test]
fn a_target_that_did_not_run_a_request_does_not_count() {
    let first = target();
    let running_index = index_after(&first, &[]);
    let mut attempts = AttemptedTargets::new(ATTEMPTS);
    attempts.record_sent(first.address, first.incarnation());
    for _ in 0..3 {
        let refuses = another("b-fast-0");
        attempts.record_sent(refuses.address, refuses.incarnation());
        attempts.remove_last();
    }
    assert_eq!(attempts.count(), 1);
    assert!(
        attempts.may_send(&running_index),
        "one target has run the request"
    );
}

fn target() -> Instance {
    announced_instances(&engine_cards("a", 1, 0, 0)).remove(0)
}

fn another(id: &str) -> Instance {
    Instance {
        id: id.to_string(),
        address: ([127, 0, 0, 9], 9).into(),
        ..target()
    }
}

fn announced_at_same_address(id: &str, born: Option<u64>) -> InstanceChange {
    announced_change(Instance {
        id: id.to_string(),
        born,
        ..target()
    })
}

/// Returns the index of the agreed state after the announcement of the target and these
/// changes.
fn index_after(target: &Instance, changes: &[InstanceChange]) -> InstanceIndex {
    let mut machine = StateMachine::default();
    machine.apply(Command {
        at_ms: 1,
        body: CommandBody::Instances([&[announced_change(target.clone())], changes].concat()),
    });
    InstanceIndex::new(machine.configuration())
}
