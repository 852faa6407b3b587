//! Placement of layers in fleets of hundreds of engines per data centre: the engines scanned
//! per round, engines that keep joining, and engines that can't hold layers. No network.

use crate::support::announced_change;
use deckwind_core::control::{PlacementManager, PlacementStep};
use deckwind_core::state::{
    Command, CommandBody, Instance, InstanceChange, Instances, Release, StateMachine,
};
use deckwind_core::time::Instant;
use deckwind_testkit::fan_out::{engine, engine_fleet, engine_release};
use std::time::Duration;
use yare::parameterized;

/// Interval between two rounds of the leader's placement.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Drives a [`PlacementManager`] against a state machine, as a leader does.
struct PlacementRig {
    manager: PlacementManager,
    machine: StateMachine,
    release: Release,
    now: Instant,
}

impl PlacementRig {
    fn new(fleet: Vec<Instance>) -> Self {
        let mut rig = Self {
            manager: PlacementManager::default(),
            machine: StateMachine::default(),
            release: engine_release(1, 1),
            now: Instant::from_millis(1_000),
        };
        rig.apply(fleet.into_iter().map(announced_change).collect());
        rig
    }

    fn apply(&mut self, changes: Vec<InstanceChange>) {
        let body = CommandBody::Instances(changes);
        self.machine.apply(Command { at_ms: 0, body });
    }

    fn instances(&self) -> &Instances {
        self.machine.configuration().instances()
    }

    /// Runs one round and carries out its orders at once.
    fn run_round(&mut self) -> PlacementStep {
        self.now = self.now + ROUND_INTERVAL;
        let instances = self.instances().clone();
        let work = self.manager.next_step(self.now, &self.release, &instances);
        self.apply(work.changes.clone());
        for order in &work.orders {
            self.manager
                .order_ended(self.now, &order.incarnation(), true);
            self.apply(vec![InstanceChange::Holds {
                life: order.incarnation(),
                layers: order.layers,
                in_memory: order.layers.len(),
            }]);
        }
        work
    }

    /// Runs `rounds` rounds and returns the number of orders.
    fn run_rounds(&mut self, rounds: usize) -> usize {
        let orders = (0..rounds).map(|_| self.run_round().orders.len());
        orders.sum()
    }

    /// Runs one round and returns the number of engines that it scanned.
    fn run_round_counting_scans(&mut self) -> u64 {
        let before = self.manager.rows_scanned();
        self.run_round();
        self.manager.rows_scanned() - before
    }
}

/// The most engines whose layers change when one chain is repaired.
const MAX_REPAIRED: u64 = 32;

/// After the loss of an engine, a round scans only its data centre and the engines that have
/// changed. Once all layers are placed, a round scans nothing.
#[parameterized(
    hundreds = { 300 },
    thousands = { 3_000 },
)]
fn a_loss_scans_one_data_centre_only(engines: usize) {
    let mut rig = PlacementRig::new(engine_fleet(engines));
    assert!(rig.run_rounds(40) > 0);
    assert_eq!(rig.run_round_counting_scans(), 0, "all layers are placed");
    let held = rig.instances().iter().find(|i| !i.layers.is_empty());
    let lost = held.map(Instance::incarnation).expect("one holds layers");
    rig.apply(vec![InstanceChange::Left(lost)]);
    let max_scanned = engines as u64 / 3 + MAX_REPAIRED;
    let scanned: Vec<u64> = (0..10).map(|_| rig.run_round_counting_scans()).collect();
    assert!(scanned.iter().all(|n| *n <= max_scanned), "{scanned:?}");
    assert!(scanned.iter().any(|n| *n > 0), "{scanned:?}");
}

/// Engines keep joining at shorter intervals than the leader waits for a data centre to
/// settle. Layers must be placed all the same.
#[test]
fn engines_that_keep_joining_do_not_delay_the_placement() {
    let mut fleet = engine_fleet(600);
    let late = fleet.split_off(300);
    let mut rig = PlacementRig::new(fleet);
    let mut orders = 0;
    for engine in late.into_iter().take(120) {
        rig.apply(vec![announced_change(engine)]);
        orders += rig.run_rounds(1);
    }
    assert!(orders > 0, "nothing was placed in 12 s");
}

/// Engines that start together announce themselves within one interval, and the gaps between
/// announcements are longer within one data centre than over all. No chain must be planned
/// before the last engine has announced itself.
#[test]
fn a_data_centre_waits_for_engines_that_start_together_with_those_of_others() {
    let fleet = engine_fleet(36);
    let (local, rest): (Vec<_>, Vec<_>) =
        fleet.into_iter().partition(|e| e.data_centre == "a".into());
    let mut local = local;
    let last = local.pop().expect("the data centre has engines");
    let mut rig = PlacementRig::new(local);
    for engine in rest {
        rig.apply(vec![announced_change(engine)]);
        assert_eq!(rig.run_rounds(1), 0, "an engine may still come");
    }
    rig.apply(vec![announced_change(last)]);
    assert_eq!(rig.run_rounds(5), 0, "an engine may still come");
    assert!(rig.run_rounds(20) > 0);
}

fn of_kind(number: u16, kind: Option<&str>) -> Instance {
    Instance {
        accelerator: kind.map(str::to_string),
        data_centre: "alone".into(),
        ..engine(number, 0, 1)
    }
}

/// An engine that can't hold any layers is left out, and the others are placed as if it
/// weren't there.
#[parameterized(
    a_data_centre_with_one_engine = { of_kind(9_000, Some("large")) },
    a_kind_that_the_model_does_not_list = { of_kind(9_000, Some("tpu")) },
    no_kind = { of_kind(9_000, None) },
)]
fn an_unusable_engine_changes_nothing_for_the_others(unusable: Instance) {
    let mut without = PlacementRig::new(engine_fleet(300));
    let mut with = PlacementRig::new(engine_fleet(300).into_iter().chain([unusable]).collect());
    assert_eq!(with.run_rounds(40), without.run_rounds(40));
    let unusable = with
        .instances()
        .get("engine-9000")
        .expect("the engine is registered");
    assert!(unusable.layers.is_empty());
    assert_eq!(
        with.run_round_counting_scans(),
        0,
        "no round waits for the engine"
    );
}

/// Engines that restart many times leave no order of an ended incarnation under way.
#[test]
fn engines_that_start_again_and_again_are_placed_in_the_end() {
    let mut rig = PlacementRig::new(engine_fleet(300));
    rig.run_rounds(20);
    for start in 1..=20u64 {
        let again = engine_fleet(30).into_iter().map(|mut e| {
            e.born = Some(start);
            announced_change(e)
        });
        rig.apply(again.collect());
        rig.run_rounds(1);
    }
    rig.run_rounds(60);
    let ids: Vec<String> = rig.instances().iter().map(|i| i.id.clone()).collect();
    assert_eq!(ids.len(), 300);
    for id in ids {
        assert!(
            rig.manager.ordered_layers(&id).is_none(),
            "the order to {id} is still under way"
        );
    }
}

/// When a whole fleet starts at once, its orders are sent over several rounds, and all chains
/// are whole in the end.
#[test]
fn a_fleet_that_starts_at_once_is_placed_over_several_rounds() {
    const MAX_UNDER_WAY: usize = 256;
    const LONGEST_CHAIN: usize = 64;
    let mut rig = PlacementRig::new(engine_fleet(3_000));
    let orders: Vec<usize> = (0..60).map(|_| rig.run_round().orders.len()).collect();
    let largest_round = orders.iter().max().copied().unwrap_or_default();
    assert!(largest_round < MAX_UNDER_WAY + LONGEST_CHAIN, "{orders:?}");
    assert!(orders.iter().sum::<usize>() > MAX_UNDER_WAY, "{orders:?}");
    assert_eq!(
        rig.run_round_counting_scans(),
        0,
        "all layers are placed: {orders:?}"
    );
}
