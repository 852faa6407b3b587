//! Restarts of targets under the same id: committed state, orders and late messages of the
//! previous incarnation must not apply to the new one. Runs in virtual time.

use crate::support::{announced_change, announced_instances, engine_cards, model};
use deckwind_core::control::{ControlEvent, OperatorReply, PlacementManager};
use deckwind_core::state::{
    Command, CommandBody, Incarnation, Instance, InstanceChange, InstanceState, LayerRange, Pool,
    Release, StateMachine,
};
use deckwind_core::time::Instant;
use deckwind_testkit::fan_out::engine;
use deckwind_testkit::{ControlSimulation, NetFaults};
use std::time::Duration;
use yare::parameterized;

/// Interval between two announcements of a target.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time within which an announcement is committed.
const COMMIT_TIME: Duration = Duration::from_millis(300);

/// Start time, in Unix milliseconds, of the incarnation that is registered first.
const FIRST_BORN_MS: u64 = 1_700_000_000_000;

/// Returns an announcement of the engine's incarnation that started at `born`.
fn announcement(born: Option<u64>, layers: u32, announced: u64) -> Instance {
    Instance {
        born,
        ..engine(1, layers, announced)
    }
}

fn life_id(born: Option<u64>) -> Incarnation {
    announcement(born, 0, 0).incarnation()
}

struct RestartRig {
    sim: ControlSimulation,
    leader: usize,
    follower: usize,
}

impl RestartRig {
    /// Creates a cluster in which the engine's incarnation that started at
    /// [`FIRST_BORN_MS`] is registered, with four layers.
    fn new() -> Self {
        let mut sim = ControlSimulation::new(3, 1, 11, NetFaults::NONE);
        let leader = sim.run_until_leader();
        sim.run_for(Duration::from_secs(1));
        let follower = usize::from(leader == 0);
        let mut rig = Self {
            sim,
            leader,
            follower,
        };
        rig.announce(announcement(Some(FIRST_BORN_MS), 4, 50));
        assert_eq!(rig.registered().map(|i| i.announced), Some(50));
        rig
    }

    fn announce(&mut self, instance: Instance) {
        self.sim.announce(self.follower, instance);
        self.sim.run_for(COMMIT_TIME);
    }

    fn committed(&self, id: &str) -> Option<Instance> {
        let node = self.sim.node(self.leader).expect("it is up");
        let cfg = node.core().state_machine().configuration();
        cfg.instances().get(id).cloned()
    }

    fn registered(&self) -> Option<Instance> {
        self.committed("engine-1")
    }

    fn leave(&mut self, born: Option<u64>) -> OperatorReply {
        self.sim.leave(self.leader, life_id(born));
        self.sim.run_for(Duration::from_millis(600));
        let reply = self.sim.last_reply("engine-1");
        reply.expect("the leave is answered").clone()
    }
}

/// Checks which incarnation is registered when a second one announces itself: while the
/// first still sends announcements, and after the first has fallen silent.
#[parameterized(
    started_later = { Some(FIRST_BORN_MS + 1), true, true },
    far_in_the_future = { Some(u64::MAX), true, true },
    its_clock_went_back = { Some(FIRST_BORN_MS - 5_000), false, true },
    its_clock_is_at_zero = { Some(0), false, true },
    reports_no_start_any_more = { None, false, false },
)]
fn the_start_time_tells_which_incarnation_is_newer(
    born: Option<u64>,
    at_once: bool,
    after_silence: bool,
) {
    let mut rig = RestartRig::new();
    rig.announce(announcement(born, 0, 1));
    let first = Some(Some(FIRST_BORN_MS));
    let second = Some(born);
    let want = if at_once { second } else { first };
    assert_eq!(rig.registered().map(|i| i.born), want, "at once");
    let mut rig = RestartRig::new();
    rig.sim.run_for(Duration::from_secs(5));
    let silent = rig.registered().map(|i| i.state);
    assert_eq!(silent, Some(InstanceState::Silent));
    rig.announce(announcement(born, 0, 1));
    let want = if after_silence { second } else { first };
    assert_eq!(rig.registered().map(|i| i.born), want, "after silence");
}

/// A new incarnation is registered with what it announces: no layers, ready, its
/// announcements numbered from one.
#[parameterized(
    was_ready = { None },
    was_silent = { Some(InstanceChange::Silent(life_id(Some(FIRST_BORN_MS)))) },
    drained = { Some(draining_announcement()) },
    had_left = { Some(InstanceChange::Left(life_id(Some(FIRST_BORN_MS)))) },
)]
fn a_new_incarnation_inherits_nothing_from_the_previous_one(before: Option<InstanceChange>) {
    let mut machine = StateMachine::default();
    apply(
        &mut machine,
        announced_change(announcement(Some(FIRST_BORN_MS), 4, 50)),
    );
    before.into_iter().for_each(|c| apply(&mut machine, c));
    let new = announcement(Some(FIRST_BORN_MS + 1), 0, 1);
    apply(&mut machine, announced_change(new.clone()));
    assert_eq!(registered(&machine), Some(new));
}

/// Late changes that concern an ended incarnation are ignored.
#[parameterized(
    held_by_then = { InstanceChange::Holds { life: life_id(Some(FIRST_BORN_MS)), layers: LayerRange::new(0, 8), in_memory: 8 } },
    silent_by_then = { InstanceChange::Silent(life_id(Some(FIRST_BORN_MS))) },
    left_by_then = { InstanceChange::Left(life_id(Some(FIRST_BORN_MS))) },
    drained_by_then = { draining_announcement() },
    announced_by_then = { announced_change(announcement(Some(FIRST_BORN_MS), 6, 60)) },
    of_an_engine_that_reports_no_start = { InstanceChange::Left(life_id(None)) },
)]
fn late_changes_of_an_ended_incarnation_are_ignored(late: InstanceChange) {
    let mut machine = StateMachine::default();
    apply(
        &mut machine,
        announced_change(announcement(Some(FIRST_BORN_MS), 4, 50)),
    );
    let new = announcement(Some(FIRST_BORN_MS + 1), 2, 1);
    apply(&mut machine, announced_change(new.clone()));
    apply(&mut machine, late);
    assert_eq!(registered(&machine), Some(new));
}

#[test]
fn a_lower_sequence_number_is_late_within_one_incarnation_only() {
    let mut rig = RestartRig::new();
    rig.announce(announcement(Some(FIRST_BORN_MS), 8, 49));
    assert_eq!(rig.registered().map(|i| i.layers.len()), Some(4));
    rig.announce(announcement(Some(FIRST_BORN_MS + 1), 0, 1));
    rig.announce(announcement(Some(FIRST_BORN_MS + 1), 2, 2));
    assert_eq!(rig.registered().map(|i| i.layers.len()), Some(2));
}

/// Late announcements of an ended incarnation are ignored, also after the new one has
/// fallen silent.
#[test]
fn a_late_announcement_never_revives_an_ended_incarnation() {
    let mut rig = RestartRig::new();
    rig.announce(announcement(Some(FIRST_BORN_MS + 1), 0, 1));
    for number in 51..56 {
        rig.announce(announcement(Some(FIRST_BORN_MS), 4, number));
        rig.sim.run_for(ANNOUNCE_INTERVAL);
        assert_eq!(
            rig.registered().map(|i| i.born),
            Some(Some(FIRST_BORN_MS + 1))
        );
    }
    let state = rig.registered().map(|i| i.state);
    assert_eq!(state, Some(InstanceState::Silent));
}

/// A target is partitioned, and meanwhile a late announcement of an older, unknown
/// incarnation replaces it. Once that one falls silent, the running one is registered again.
#[test]
fn a_silent_incarnation_that_an_older_one_replaced_comes_back() {
    let mut rig = RestartRig::new();
    rig.sim.run_for(Duration::from_secs(5));
    rig.announce(announcement(Some(FIRST_BORN_MS - 9), 6, 7));
    assert_eq!(
        rig.registered().map(|i| i.born),
        Some(Some(FIRST_BORN_MS - 9))
    );
    rig.announce(announcement(Some(FIRST_BORN_MS), 4, 51));
    assert_eq!(
        rig.registered().map(|i| i.born),
        Some(Some(FIRST_BORN_MS - 9))
    );
    rig.sim.run_for(Duration::from_secs(5));
    rig.announce(announcement(Some(FIRST_BORN_MS), 4, 52));
    let now = rig.registered().expect("the engine is registered");
    assert_eq!((now.born, now.layers.len()), (Some(FIRST_BORN_MS), 4));
}

/// A drain of an unconfirmed incarnation is not acknowledged while the registered one still
/// sends announcements, since nothing has been drained for it.
#[test]
fn the_drain_of_an_unconfirmed_incarnation_is_not_acknowledged() {
    let mut rig = RestartRig::new();
    let draining = Instance {
        state: InstanceState::Draining,
        ..announcement(Some(FIRST_BORN_MS - 9), 0, 3)
    };
    let leader = rig.leader;
    rig.sim.announce(leader, draining.clone());
    rig.sim.run_for(COMMIT_TIME);
    let reply = rig.sim.last_reply("engine-1");
    assert_eq!(reply, Some(&OperatorReply::Unconfirmed));
    rig.sim.run_for(Duration::from_secs(5));
    rig.sim.announce(leader, draining);
    rig.sim.run_for(Duration::from_millis(600));
    let reply = rig.sim.last_reply("engine-1");
    assert!(
        matches!(reply, Some(OperatorReply::Accepted { .. })),
        "{reply:?}"
    );
}

#[parameterized(
    of_the_registered_incarnation = { Some(FIRST_BORN_MS) },
    without_a_start = { None },
    of_a_newer_incarnation = { Some(FIRST_BORN_MS + 1) },
)]
fn a_leave_ends_the_registered_incarnation(born: Option<u64>) {
    let mut rig = RestartRig::new();
    let reply = rig.leave(born);
    assert!(matches!(reply, OperatorReply::Accepted { .. }), "{reply:?}");
    assert_eq!(rig.registered(), None);
    rig.announce(announcement(Some(FIRST_BORN_MS), 4, 51));
    assert_eq!(
        rig.registered(),
        None,
        "a late announcement changes nothing"
    );
    rig.announce(announcement(Some(FIRST_BORN_MS + 2), 0, 1));
    let now = rig.registered().map(|i| i.born);
    assert_eq!(
        now,
        Some(Some(FIRST_BORN_MS + 2)),
        "the next incarnation is registered"
    );
}

/// The leave of an unconfirmed incarnation may be a late message, or come from the running
/// one after its clock went back. Requests may still reach it by its id, so the leave isn't
/// acknowledged while the registered one still sends announcements.
#[test]
fn the_leave_of_an_unconfirmed_incarnation_is_not_acknowledged() {
    let mut rig = RestartRig::new();
    assert_eq!(
        rig.leave(Some(FIRST_BORN_MS - 1)),
        OperatorReply::Unconfirmed
    );
    assert!(rig.registered().is_some());
    rig.sim.run_for(Duration::from_secs(5));
    let reply = rig.leave(Some(FIRST_BORN_MS - 1));
    assert!(matches!(reply, OperatorReply::Accepted { .. }), "{reply:?}");
    assert_eq!(rig.registered(), None);
}

#[test]
fn a_late_leave_of_the_old_incarnation_is_acknowledged_and_does_not_end_the_new_one() {
    let mut rig = RestartRig::new();
    rig.announce(announcement(Some(FIRST_BORN_MS + 1), 0, 1));
    let reply = rig.leave(Some(FIRST_BORN_MS));
    assert!(matches!(reply, OperatorReply::Accepted { .. }), "{reply:?}");
    assert_eq!(
        rig.registered().map(|i| i.born),
        Some(Some(FIRST_BORN_MS + 1))
    );
}

/// Results of the leader's own orders and probes that arrive after the incarnation that
/// they concern has ended.
#[parameterized(
    an_order_that_ended = { ControlEvent::PlacementDone { incarnation: life_id(Some(FIRST_BORN_MS)), held: Some(LayerRange::new(0, 8)) } },
    a_probe_without_answer = { ControlEvent::Checked { incarnation: life_id(Some(FIRST_BORN_MS)), is_running: false } },
)]
fn late_results_for_an_ended_incarnation_do_not_change_the_new_one(late: ControlEvent) {
    let mut rig = RestartRig::new();
    let new = announcement(Some(FIRST_BORN_MS + 1), 2, 1);
    rig.announce(new.clone());
    let leader = rig.leader;
    rig.sim.push_event(leader, late);
    rig.sim.run_for(COMMIT_TIME);
    assert_eq!(rig.registered(), Some(new));
}

/// A target of another id at the same address, whose first announcement is delayed until
/// after that of the target now registered there.
#[parameterized(
    started_earlier = { Some(FIRST_BORN_MS - 1), false },
    started_later = { Some(FIRST_BORN_MS + 1), true },
    reports_no_start = { None, true },
)]
fn a_target_of_another_id_at_the_address_ends_only_an_older_one(born: Option<u64>, ends: bool) {
    let mut rig = RestartRig::new();
    let other = Instance {
        id: "other".to_string(),
        ..announcement(born, 0, 3)
    };
    rig.announce(other);
    assert_eq!(rig.registered().is_none(), ends);
    assert_eq!(rig.committed("other").is_some(), ends);
}

/// For an engine that restarts many times, the state keeps its latest ended incarnations
/// only, so that it stays small and still rejects their late announcements.
#[test]
fn a_bounded_number_of_ended_incarnations_is_kept() {
    let mut machine = StateMachine::default();
    for start in 0..2_000 {
        apply(
            &mut machine,
            announced_change(announcement(Some(FIRST_BORN_MS + start), 4, 9)),
        );
    }
    let size = machine.to_snapshot().len();
    assert!(size < 400, "{size} bytes for one engine");
    let last = announcement(Some(FIRST_BORN_MS + 1_999), 4, 9);
    for late in 1_992..1_999 {
        apply(
            &mut machine,
            announced_change(announcement(Some(FIRST_BORN_MS + late), 4, 99)),
        );
        assert_eq!(registered(&machine), Some(last.clone()));
    }
}

/// Snapshots and commands written by another version are rejected, not misread.
#[parameterized(
    this_version = { |bytes: Vec<u8>| bytes, true },
    a_later_one = { |mut bytes: Vec<u8>| { bytes[0] += 1; bytes }, false },
    before_it_was_marked = { |bytes: Vec<u8>| bytes[1..].to_vec(), false },
    nothing = { |_: Vec<u8>| Vec::new(), false },
)]
fn state_is_read_in_its_own_version_only(change: fn(Vec<u8>) -> Vec<u8>, read: bool) {
    let command = Command {
        at_ms: FIRST_BORN_MS,
        body: CommandBody::Instances(vec![announced_change(announcement(
            Some(FIRST_BORN_MS),
            4,
            50,
        ))]),
    };
    let mut machine = StateMachine::default();
    machine.apply(command.clone());
    assert_eq!(machine.clock_ms(), FIRST_BORN_MS);
    let snapshot = StateMachine::from_snapshot(&change(machine.to_snapshot()));
    assert_eq!(snapshot.is_ok(), read);
    let again = Command::from_bytes(&change(command.to_bytes()));
    assert_eq!(again.is_ok(), read);
    if let (Ok(snapshot), Ok(again)) = (snapshot, again) {
        assert_eq!(snapshot.clock_ms(), FIRST_BORN_MS);
        assert_eq!(registered(&snapshot), registered(&machine));
        assert_eq!(again, command);
    }
}

/// An order to an incarnation ends with it. The next incarnation gets an order of its own,
/// and the result of the old order must not end the new one.
#[test]
fn an_order_applies_to_one_incarnation_only() {
    let pool = Pool {
        name: "engines".to_string(),
        max_connections: 10,
        engine: Some(model()),
    };
    let release = Release {
        version: 1,
        pools: vec![pool],
        ..Release::default()
    };
    let fleet = announced_instances(&engine_cards("a", 5, 0, 0));
    let mut machine = StateMachine::default();
    for i in &fleet {
        let born = Some(FIRST_BORN_MS);
        apply(
            &mut machine,
            announced_change(Instance { born, ..i.clone() }),
        );
    }
    let mut manager = PlacementManager::default();
    let mut now = Instant::from_millis(1_000);
    let mut run_rounds = |manager: &mut PlacementManager, machine: &mut StateMachine| {
        let mut orders = Vec::new();
        for _ in 0..20 {
            now = now + Duration::from_millis(100);
            let instances = machine.configuration().instances().clone();
            let work = manager.next_step(now, &release, &instances);
            work.changes.into_iter().for_each(|c| apply(machine, c));
            orders.extend(work.orders);
        }
        (now, orders)
    };
    let (at, first) = run_rounds(&mut manager, &mut machine);
    let (old, others) = first.split_first().expect("layers are placed");
    assert_eq!(old.born, Some(FIRST_BORN_MS));
    for order in others {
        manager.order_ended(at, &order.incarnation(), true);
        let held = InstanceChange::Holds {
            life: order.incarnation(),
            layers: order.layers,
            in_memory: order.layers.len(),
        };
        apply(&mut machine, held);
    }
    let again = fleet
        .iter()
        .find(|i| i.id == old.id)
        .expect("the engine is part of the fleet");
    let born = Some(FIRST_BORN_MS + 1);
    apply(
        &mut machine,
        announced_change(Instance {
            born,
            ..again.clone()
        }),
    );
    let (at, second) = run_rounds(&mut manager, &mut machine);
    let new = second.iter().find(|o| o.id == old.id);
    let new = new.expect("the new incarnation is given an order of its own");
    assert_eq!(
        (new.born, new.expected_layers),
        (born, LayerRange::default())
    );
    manager.order_ended(at, &old.incarnation(), true);
    assert!(
        manager.is_order_in_flight(&new.incarnation()),
        "the order to the new incarnation is still under way"
    );
}

fn draining_announcement() -> InstanceChange {
    announced_change(Instance {
        state: InstanceState::Draining,
        ..announcement(Some(FIRST_BORN_MS), 4, 51)
    })
}

fn apply(machine: &mut StateMachine, change: InstanceChange) {
    let body = CommandBody::Instances(vec![change]);
    machine.apply(Command { at_ms: 1, body });
}

fn registered(machine: &StateMachine) -> Option<Instance> {
    let instances = machine.configuration().instances();
    instances.get("engine-1").cloned()
}
