//! Routers receive no updates about engines that hold no layers until requests can be sent
//! to them. Of 3,000 engines 2,600 are spare, and after a start of the fleet all of them
//! announce themselves within 1.2 s.

use crate::support::announced_change;
use deckwind_core::state::{
    Command, CommandBody, Configuration, Instance, InstanceChange, LayerRange, PublishedRelease,
    Release, Revision, StateMachine,
};
use deckwind_testkit::fan_out::{engine, engine_release, release};

fn apply(machine: &mut StateMachine, body: CommandBody) {
    machine.apply(Command { at_ms: 0, body });
}

fn publish(machine: &mut StateMachine, release: Release) {
    let document = Vec::new();
    let published = Box::new(PublishedRelease { release, document });
    apply(machine, CommandBody::Publish(published));
}

fn announce(machine: &mut StateMachine, instance: Instance) {
    apply(
        machine,
        CommandBody::Instances(vec![announced_change(instance)]),
    );
}

fn set_layers(machine: &mut StateMachine, id: &str, layers: u32) {
    let change = InstanceChange::Holds {
        life: id.into(),
        layers: LayerRange::new(0, layers),
        in_memory: layers,
    };
    apply(machine, CommandBody::Instances(vec![change]));
}

/// Returns a state machine with a release of layered engines and one engine without layers,
/// and the configuration of a router that has applied all of its state.
fn with_spare_engine() -> (StateMachine, Configuration) {
    let mut machine = StateMachine::default();
    publish(&mut machine, engine_release(1, 1));
    announce(&mut machine, engine(1, 0, 1));
    let router = catch_up(&machine, Configuration::default());
    (machine, router)
}

/// Applies everything that the router's configuration lacks.
fn catch_up(machine: &StateMachine, mut router: Configuration) -> Configuration {
    let delta = machine.configuration().delta_since(router.revision());
    router.merge(delta);
    assert_eq!(router.revision(), machine.configuration().revision());
    router
}

fn layers(router: &Configuration) -> Option<u32> {
    router.instances().get("engine-1").map(|i| i.layers.len())
}

#[test]
fn a_spare_engine_is_not_sent_to_routers() {
    let (mut machine, router) = with_spare_engine();
    assert_eq!(layers(&router), None);
    let shown = machine.configuration().visible_revision();
    announce(&mut machine, engine(2, 0, 1));
    assert_eq!(machine.configuration().visible_revision(), shown);
    assert!(machine.configuration().revision() > shown);
}

#[test]
fn an_engine_is_sent_to_routers_once_it_holds_layers_and_when_it_unloads_them() {
    let (mut machine, router) = with_spare_engine();
    set_layers(&mut machine, "engine-1", 8);
    assert_eq!(
        machine.configuration().visible_revision(),
        machine.configuration().revision()
    );
    let router = catch_up(&machine, router);
    assert_eq!(layers(&router), Some(8));
    set_layers(&mut machine, "engine-1", 0);
    let router = catch_up(&machine, router);
    assert_eq!(layers(&router), Some(0));
    let left = InstanceChange::Left("engine-1".into());
    apply(&mut machine, CommandBody::Instances(vec![left]));
    let router = catch_up(&machine, router);
    assert_eq!(layers(&router), None);
}

/// After a late announcement of an engine that has left, a router that missed the end of the
/// engine must still learn that it has left.
#[test]
fn a_late_announcement_does_not_hide_that_an_engine_has_left() {
    let (mut machine, router) = with_spare_engine();
    set_layers(&mut machine, "engine-1", 8);
    let router = catch_up(&machine, router);
    let left = InstanceChange::Left("engine-1".into());
    apply(&mut machine, CommandBody::Instances(vec![left]));
    announce(&mut machine, engine(1, 0, 2));
    let router = catch_up(&machine, router);
    assert_eq!(layers(&router), None);
}

/// Once a release turns a layered pool into one without layers, its engines are used
/// without layers, so routers must receive the spare ones.
#[test]
fn a_release_without_layers_makes_spare_engines_visible() {
    let (mut machine, router) = with_spare_engine();
    publish(&mut machine, release(2, 1));
    let router = catch_up(&machine, router);
    assert_eq!(layers(&router), Some(0));
}

/// A replica that starts from a snapshot doesn't know which engines routers have received,
/// so it sends all of them.
#[test]
fn a_replica_from_a_snapshot_sends_all_engines() {
    let (machine, _) = with_spare_engine();
    let restored =
        StateMachine::from_snapshot(&machine.to_snapshot()).expect("the snapshot is readable");
    let delta = restored.configuration().delta_since(Revision::ZERO);
    assert_eq!(delta.instances.len(), 1);
}
