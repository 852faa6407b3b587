//! Departures of targets that the control replicas no longer record: a router that was away
//! meanwhile must not keep such a target.

use deckwind_core::state::{
    Command, CommandBody, Configuration, Instance, InstanceChange, StateMachine,
};
use deckwind_testkit::fan_out::engine;
use yare::parameterized;

/// Number of departures that control replicas record.
const RECORDED_DEPARTURES: u64 = 4_096;

fn change(machine: &mut StateMachine, change: InstanceChange) {
    let body = CommandBody::Instances(vec![change]);
    machine.apply(Command { at_ms: 0, body });
}

fn announce(machine: &mut StateMachine, instance: Instance) {
    let announced = InstanceChange::Announced {
        instance,
        keep_layers: false,
        over: Vec::new(),
    };
    change(machine, announced);
}

/// Announces a target with this id, which leaves at once.
fn come_and_leave(machine: &mut StateMachine, id: String) {
    let mut instance = engine(1, 1, 1);
    instance.id = id;
    let life = instance.incarnation();
    announce(machine, instance);
    change(machine, InstanceChange::Left(life));
}

fn update(router: &mut Configuration, machine: &StateMachine) {
    assert!(router.merge(machine.configuration().delta_since(router.revision())));
}

/// Guards against a router that sends requests to a target that has left: the departure was
/// dropped after many others, and the router took what it was not told for unchanged.
#[parameterized(
    few_departures = { 10, false },
    as_many_as_are_recorded = { RECORDED_DEPARTURES, false },
    more = { RECORDED_DEPARTURES + 10, false },
    more_and_a_restart = { RECORDED_DEPARTURES + 10, true },
)]
fn a_router_that_was_away_forgets_a_target_that_left(departures: u64, restarts: bool) {
    let mut machine = StateMachine::default();
    let stays = engine(2, 1, 1);
    let leaves = engine(3, 1, 1);
    announce(&mut machine, stays.clone());
    announce(&mut machine, leaves.clone());
    let mut router = Configuration::default();
    update(&mut router, &machine);
    let at_start = machine.configuration().delta_since(router.revision());
    assert!(at_start.instances.is_empty());
    change(&mut machine, InstanceChange::Left(leaves.incarnation()));
    for i in 0..departures {
        come_and_leave(&mut machine, format!("short-{i}"));
    }
    if restarts {
        let snapshot = machine.to_snapshot();
        machine = StateMachine::from_snapshot(&snapshot).expect("a readable snapshot");
    }
    update(&mut router, &machine);
    let ids: Vec<&str> = router.instances().iter().map(|i| i.id.as_str()).collect();
    assert_eq!(ids, [stays.id.as_str()]);
    // A delta of before changes nothing any more.
    router.merge(at_start);
    assert_eq!(router.instances().iter().count(), 1);
}
