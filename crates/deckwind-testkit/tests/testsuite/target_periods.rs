//! The platform sets the period at which targets announce themselves; the time until a
//! target counts as silent follows from it.

use deckwind_core::state::InstanceState;
use deckwind_testkit::fan_out::engine;
use deckwind_testkit::{ControlSimulation, NetFaults};
use deckwindd::context::announce_interval;
use std::time::Duration;
use yare::parameterized;

/// A target announces itself once and then no more: it is still ready after two and a
/// half periods, and silent after three and a quarter.
#[parameterized(
    usual = { 1_200 },
    slow = { 3_000 },
    slower = { 12_000 },
    fast = { 800 },
)]
fn a_target_is_silent_after_three_of_its_periods(period_ms: u64) {
    let period = Duration::from_millis(period_ms);
    let mut sim = ControlSimulation::with_announce_interval(3, 1, 7, NetFaults::NONE, period);
    let leader = sim.run_until_leader();
    sim.run_for(Duration::from_secs(1));
    sim.announce(leader, engine(1, 4, 1));
    let state = |sim: &ControlSimulation| {
        let node = sim.node(leader).expect("the replica is running");
        let instances = node.core().state_machine().configuration().instances();
        instances.get("engine-1").map(|i| i.state)
    };
    sim.run_for(period * 5 / 2);
    assert_eq!(state(&sim), Some(InstanceState::Ready));
    sim.run_for(period * 3 / 4);
    assert_eq!(state(&sim), Some(InstanceState::Silent));
}

/// A period outside 100 ms to 60 s is ignored, and the default period is used.
#[parameterized(
    none = { 0, None },
    too_short = { 99, None },
    shortest = { 100, Some(100) },
    usual = { 1_200, Some(1_200) },
    slow = { 3_000, Some(3_000) },
    longest = { 60_000, Some(60_000) },
    an_hour = { 3_600_000, None },
)]
fn an_implausible_period_is_ignored(given_ms: u64, used_ms: Option<u64>) {
    let used = announce_interval(Some(Duration::from_millis(given_ms)));
    let default = Duration::from_millis(1_200);
    assert_eq!(used, used_ms.map_or(default, Duration::from_millis));
    assert_eq!(announce_interval(None), default);
}
