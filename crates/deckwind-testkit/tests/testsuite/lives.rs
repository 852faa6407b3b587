//! Targets that start again under the id that they had: what was agreed, planned
//! and heard of the life before does not hold for the new one. Virtual time.

use crate::support::{announced, cards, instances, model};
use deckwind_core::control::{ControlEvent, OperatorReply, PlacementDesk};
use deckwind_core::state::{
    Command, CommandBody, Instance, InstanceChange, InstanceState, LayerRange, Life, Pool, Release,
    StateMachine,
};
use deckwind_core::time::Instant;
use deckwind_testkit::fan_out::engine;
use deckwind_testkit::{Lab, NetFaults};
use std::time::Duration;
use yare::parameterized;

/// Between two announcements of a target.
const PERIOD: Duration = Duration::from_millis(1_200);

/// The time for what was announced to be agreed.
const AGREED_IN: Duration = Duration::from_millis(300);

/// The start of the life that is known first.
const FIRST: u64 = 1_700_000_000_000;

/// What the engine says in a life that started then.
fn said(born: Option<u64>, layers: u32, announced: u64) -> Instance {
    Instance {
        born,
        ..engine(1, layers, announced)
    }
}

fn life(born: Option<u64>) -> Life {
    said(born, 0, 0).life()
}

struct World {
    lab: Lab,
    leader: usize,
    follower: usize,
}

impl World {
    /// The engine is known in a life that started at [`FIRST`], with four layers.
    fn new() -> Self {
        let mut lab = Lab::new(3, 1, 11, NetFaults::NONE);
        let leader = lab.run_until_led();
        lab.run_for(Duration::from_secs(1));
        let follower = usize::from(leader == 0);
        let mut world = Self {
            lab,
            leader,
            follower,
        };
        world.hear(said(Some(FIRST), 4, 50));
        assert_eq!(world.known().map(|i| i.announced), Some(50));
        world
    }

    fn hear(&mut self, instance: Instance) {
        self.lab.announce(self.follower, instance);
        self.lab.run_for(AGREED_IN);
    }

    fn agreed(&self, id: &str) -> Option<Instance> {
        let node = self.lab.node(self.leader).expect("it is up");
        let cfg = node.core().machine().configuration();
        cfg.instances().get(id).cloned()
    }

    fn known(&self) -> Option<Instance> {
        self.agreed("engine-1")
    }

    fn leave(&mut self, born: Option<u64>) -> OperatorReply {
        self.lab.leave(self.leader, life(born));
        self.lab.run_for(Duration::from_millis(600));
        let reply = self.lab.last_reply("engine-1");
        reply.expect("it is answered").clone()
    }
}

/// Which life counts, where the second is heard while the first still speaks and
/// once it has fallen silent.
#[parameterized(
    started_later = { Some(FIRST + 1), true, true },
    far_in_the_future = { Some(u64::MAX), true, true },
    its_clock_went_back = { Some(FIRST - 5_000), false, true },
    its_clock_is_at_zero = { Some(0), false, true },
    tells_no_start_any_more = { None, false, false },
)]
fn a_start_tells_which_life_is_newer(born: Option<u64>, at_once: bool, after_silence: bool) {
    let mut world = World::new();
    world.hear(said(born, 0, 1));
    let first = Some(Some(FIRST));
    let second = Some(born);
    let want = if at_once { second } else { first };
    assert_eq!(world.known().map(|i| i.born), want, "at once");
    let mut world = World::new();
    world.lab.run_for(Duration::from_secs(5));
    let silent = world.known().map(|i| i.state);
    assert_eq!(silent, Some(InstanceState::Silent));
    world.hear(said(born, 0, 1));
    let want = if after_silence { second } else { first };
    assert_eq!(world.known().map(|i| i.born), want, "after silence");
}

/// A life begins with what it announces: no layers, ready, its numbers anew.
#[parameterized(
    was_ready = { None },
    was_silent = { Some(InstanceChange::Silent(life(Some(FIRST)))) },
    drained = { Some(drains()) },
    had_left = { Some(InstanceChange::Left(life(Some(FIRST)))) },
)]
fn a_new_life_holds_nothing_of_the_one_before(before: Option<InstanceChange>) {
    let mut machine = StateMachine::default();
    apply(&mut machine, announced(said(Some(FIRST), 4, 50)));
    before.into_iter().for_each(|c| apply(&mut machine, c));
    let new = said(Some(FIRST + 1), 0, 1);
    apply(&mut machine, announced(new.clone()));
    assert_eq!(known(&machine), Some(new));
}

/// What was found out of a life says nothing of the next one.
#[parameterized(
    held_by_then = { InstanceChange::Holds { life: life(Some(FIRST)), layers: LayerRange::new(0, 8), in_memory: 8 } },
    silent_by_then = { InstanceChange::Silent(life(Some(FIRST))) },
    left_by_then = { InstanceChange::Left(life(Some(FIRST))) },
    drained_by_then = { drains() },
    announced_by_then = { announced(said(Some(FIRST), 6, 60)) },
    of_an_engine_that_tells_no_start = { InstanceChange::Left(life(None)) },
)]
fn what_comes_late_of_a_life_that_is_over_changes_nothing(late: InstanceChange) {
    let mut machine = StateMachine::default();
    apply(&mut machine, announced(said(Some(FIRST), 4, 50)));
    let new = said(Some(FIRST + 1), 2, 1);
    apply(&mut machine, announced(new.clone()));
    apply(&mut machine, late);
    assert_eq!(known(&machine), Some(new));
}

#[test]
fn a_lower_number_is_late_within_a_life_only() {
    let mut world = World::new();
    world.hear(said(Some(FIRST), 8, 49));
    assert_eq!(world.known().map(|i| i.layers.len()), Some(4));
    world.hear(said(Some(FIRST + 1), 0, 1));
    world.hear(said(Some(FIRST + 1), 2, 2));
    assert_eq!(world.known().map(|i| i.layers.len()), Some(2));
}

/// Also where the new life has fallen silent by then: the ended one is not there.
#[test]
fn a_late_word_of_an_ended_life_brings_it_back_at_no_time() {
    let mut world = World::new();
    world.hear(said(Some(FIRST + 1), 0, 1));
    for number in 51..56 {
        world.hear(said(Some(FIRST), 4, number));
        world.lab.run_for(PERIOD);
        assert_eq!(world.known().map(|i| i.born), Some(Some(FIRST + 1)));
    }
    let state = world.known().map(|i| i.state);
    assert_eq!(state, Some(InstanceState::Silent));
}

/// It was cut off, and a word of an unknown life came meanwhile: once that one is
/// silent in turn, the living one counts again.
#[test]
fn a_life_that_was_silent_and_replaced_by_an_older_one_comes_back() {
    let mut world = World::new();
    world.lab.run_for(Duration::from_secs(5));
    world.hear(said(Some(FIRST - 9), 6, 7));
    assert_eq!(world.known().map(|i| i.born), Some(Some(FIRST - 9)));
    world.hear(said(Some(FIRST), 4, 51));
    assert_eq!(world.known().map(|i| i.born), Some(Some(FIRST - 9)));
    world.lab.run_for(Duration::from_secs(5));
    world.hear(said(Some(FIRST), 4, 52));
    let now = world.known().expect("it is there");
    assert_eq!((now.born, now.layers.len()), (Some(FIRST), 4));
}

/// A drain of a life that may be over is not acknowledged while the known one
/// speaks: nothing was done for it.
#[test]
fn a_doubtful_life_that_drains_is_told_to_ask_again() {
    let mut world = World::new();
    let draining = Instance {
        state: InstanceState::Draining,
        ..said(Some(FIRST - 9), 0, 3)
    };
    let leader = world.leader;
    world.lab.announce(leader, draining.clone());
    world.lab.run_for(AGREED_IN);
    let reply = world.lab.last_reply("engine-1");
    assert_eq!(reply, Some(&OperatorReply::Doubted));
    world.lab.run_for(Duration::from_secs(5));
    world.lab.announce(leader, draining);
    world.lab.run_for(Duration::from_millis(600));
    let reply = world.lab.last_reply("engine-1");
    assert!(
        matches!(reply, Some(OperatorReply::Accepted { .. })),
        "{reply:?}"
    );
}

#[parameterized(
    of_the_known_life = { Some(FIRST) },
    without_a_start = { None },
    of_a_newer_life = { Some(FIRST + 1) },
)]
fn a_leave_ends_the_life_that_is_known(born: Option<u64>) {
    let mut world = World::new();
    let reply = world.leave(born);
    assert!(matches!(reply, OperatorReply::Accepted { .. }), "{reply:?}");
    assert_eq!(world.known(), None);
    world.hear(said(Some(FIRST), 4, 51));
    assert_eq!(world.known(), None, "a late word changes nothing");
    world.hear(said(Some(FIRST + 2), 0, 1));
    let now = world.known().map(|i| i.born);
    assert_eq!(now, Some(Some(FIRST + 2)), "the next life is there");
}

/// It may be a late word, or the living one on a clock that went back: a request
/// may still reach it by its id, so nothing is promised while the other speaks.
#[test]
fn a_doubtful_life_that_leaves_is_told_to_ask_again() {
    let mut world = World::new();
    assert_eq!(world.leave(Some(FIRST - 1)), OperatorReply::Doubted);
    assert!(world.known().is_some());
    world.lab.run_for(Duration::from_secs(5));
    let reply = world.leave(Some(FIRST - 1));
    assert!(matches!(reply, OperatorReply::Accepted { .. }), "{reply:?}");
    assert_eq!(world.known(), None);
}

#[test]
fn the_leave_of_the_old_life_after_the_new_one_began_is_acknowledged_and_ends_nobody() {
    let mut world = World::new();
    world.hear(said(Some(FIRST + 1), 0, 1));
    let reply = world.leave(Some(FIRST));
    assert!(matches!(reply, OperatorReply::Accepted { .. }), "{reply:?}");
    assert_eq!(world.known().map(|i| i.born), Some(Some(FIRST + 1)));
}

/// The leader's own findings on a life that is over by then.
#[parameterized(
    an_order_that_ended = { ControlEvent::Placed { life: life(Some(FIRST)), held: Some(LayerRange::new(0, 8)) } },
    a_question_without_answer = { ControlEvent::Checked { life: life(Some(FIRST)), there: false } },
)]
fn what_the_leader_finds_out_of_the_old_life_does_not_touch_the_new_one(late: ControlEvent) {
    let mut world = World::new();
    let new = said(Some(FIRST + 1), 2, 1);
    world.hear(new.clone());
    let leader = world.leader;
    world.lab.happens(leader, late);
    world.lab.run_for(AGREED_IN);
    assert_eq!(world.known(), Some(new));
}

/// Another id at the same address, whose first word was held back until after the
/// target that is there now announced itself.
#[parameterized(
    started_earlier = { Some(FIRST - 1), false },
    started_later = { Some(FIRST + 1), true },
    tells_no_start = { None, true },
)]
fn a_life_of_another_id_ends_only_an_older_one(born: Option<u64>, ends: bool) {
    let mut world = World::new();
    let other = Instance {
        id: "other".to_string(),
        ..said(born, 0, 3)
    };
    world.hear(other);
    assert_eq!(world.known().is_none(), ends);
    assert_eq!(world.agreed("other").is_some(), ends);
}

/// An engine that starts again again and again is still remembered by its last
/// lives, and by few of them.
#[test]
fn ended_lives_are_remembered_in_a_bounded_number() {
    let mut machine = StateMachine::default();
    for start in 0..2_000 {
        apply(&mut machine, announced(said(Some(FIRST + start), 4, 9)));
    }
    let size = machine.to_snapshot().len();
    assert!(size < 400, "{size} bytes for one engine");
    let last = said(Some(FIRST + 1_999), 4, 9);
    for late in 1_992..1_999 {
        apply(&mut machine, announced(said(Some(FIRST + late), 4, 99)));
        assert_eq!(known(&machine), Some(last.clone()));
    }
}

/// What another version wrote is told as such, and not guessed at.
#[parameterized(
    this_version = { |bytes: Vec<u8>| bytes, true },
    a_later_one = { |mut bytes: Vec<u8>| { bytes[0] += 1; bytes }, false },
    before_it_was_marked = { |bytes: Vec<u8>| bytes[1..].to_vec(), false },
    nothing = { |_: Vec<u8>| Vec::new(), false },
)]
fn state_is_read_in_its_own_version_only(change: fn(Vec<u8>) -> Vec<u8>, read: bool) {
    let command = Command {
        at_ms: FIRST,
        body: CommandBody::Instances(vec![announced(said(Some(FIRST), 4, 50))]),
    };
    let mut machine = StateMachine::default();
    machine.apply(command.clone());
    assert_eq!(machine.clock_ms(), FIRST);
    let snapshot = StateMachine::from_snapshot(&change(machine.to_snapshot()));
    assert_eq!(snapshot.is_ok(), read);
    let again = Command::from_bytes(&change(command.to_bytes()));
    assert_eq!(again.is_ok(), read);
    if let (Ok(snapshot), Ok(again)) = (snapshot, again) {
        assert_eq!(snapshot.clock_ms(), FIRST);
        assert_eq!(known(&snapshot), known(&machine));
        assert_eq!(again, command);
    }
}

/// An order to the old life is over with it: the new one gets its own, and what
/// came of the old one is not taken for it.
#[test]
fn an_order_is_for_one_life() {
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
    let fleet = instances(&cards("a", 5, 0, 0));
    let mut machine = StateMachine::default();
    for i in &fleet {
        let born = Some(FIRST);
        apply(&mut machine, announced(Instance { born, ..i.clone() }));
    }
    let mut desk = PlacementDesk::default();
    let mut now = Instant::from_millis(1_000);
    let mut looks = |desk: &mut PlacementDesk, machine: &mut StateMachine| {
        let mut orders = Vec::new();
        for _ in 0..20 {
            now = now + Duration::from_millis(100);
            let instances = machine.configuration().instances().clone();
            let work = desk.work(now, &release, &instances);
            work.changes.into_iter().for_each(|c| apply(machine, c));
            orders.extend(work.orders);
        }
        (now, orders)
    };
    let (at, first) = looks(&mut desk, &mut machine);
    let (old, others) = first.split_first().expect("layers are placed");
    assert_eq!(old.born, Some(FIRST));
    for order in others {
        desk.ended(at, &order.life(), true);
        let held = InstanceChange::Holds {
            life: order.life(),
            layers: order.layers,
            in_memory: order.layers.len(),
        };
        apply(&mut machine, held);
    }
    let again = fleet.iter().find(|i| i.id == old.id).expect("it is known");
    let born = Some(FIRST + 1);
    apply(
        &mut machine,
        announced(Instance {
            born,
            ..again.clone()
        }),
    );
    let (at, second) = looks(&mut desk, &mut machine);
    let new = second.iter().find(|o| o.id == old.id);
    let new = new.expect("the new life is given an order of its own");
    assert_eq!((new.born, new.believed), (born, LayerRange::default()));
    desk.ended(at, &old.life(), true);
    assert!(desk.is_under_way(&new.life()), "its own is still under way");
}

fn drains() -> InstanceChange {
    announced(Instance {
        state: InstanceState::Draining,
        ..said(Some(FIRST), 4, 51)
    })
}

fn apply(machine: &mut StateMachine, change: InstanceChange) {
    let body = CommandBody::Instances(vec![change]);
    machine.apply(Command { at_ms: 1, body });
}

fn known(machine: &StateMachine) -> Option<Instance> {
    let instances = machine.configuration().instances();
    instances.get("engine-1").cloned()
}
