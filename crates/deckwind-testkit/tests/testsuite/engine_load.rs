//! Updates that routers receive on the load of all routers' streams at engines. Only
//! changed loads are sent: finely resolved for engines of the router's own data centre,
//! coarsely for others. No network.

use deckwind_core::control::{EngineLoadUpdate, EngineLoadVersion, EngineStreamLoad};
use deckwind_core::replication::Term;
use deckwind_core::routes::TargetRecords;
use deckwind_core::routing::paths::StreamLoad;
use deckwind_testkit::fan_out::{FanOut, engine_fleet, engine_release};
use std::net::SocketAddr;
use std::time::Duration;
use yare::parameterized;

/// Returns the bytes that a router receives per second while all routers have streams at
/// the engines of a fleet and no load changes.
fn steady_bytes_per_s(routers: usize, engines: usize) -> u64 {
    let mut fan_out = FanOut::new(routers, 0, 420.0).unwrap();
    fan_out.publish(engine_release(1, 10));
    engine_fleet(engines)
        .into_iter()
        .for_each(|e| fan_out.announce(e));
    fan_out.run_for(Duration::from_secs(3)).unwrap();
    fan_out.set_engines_in_use(engines);
    fan_out.run_for(Duration::from_secs(2)).unwrap();
    fan_out.take_traffic();
    fan_out.run_for(Duration::from_secs(4)).unwrap();
    fan_out.take_traffic().bytes / 4 / routers as u64
}

#[parameterized(
    some = { 60, 150 },
    more_engines = { 60, 600 },
    more_routers = { 240, 150 },
)]
fn unchanged_load_costs_a_router_little_traffic(routers: usize, engines: usize) {
    let bytes = steady_bytes_per_s(routers, engines);
    assert!(bytes < 600, "{bytes} bytes a second");
}

fn engine_address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn load(layer_tokens: u64, begun: u32) -> StreamLoad {
    StreamLoad {
        layer_tokens,
        begun,
    }
}

fn update(number: u64, all: bool, engines: Vec<EngineStreamLoad>) -> EngineLoadUpdate {
    EngineLoadUpdate {
        upto: EngineLoadVersion {
            term: Term(1),
            number,
        },
        all,
        engines,
    }
}

/// The total that a router receives includes the load that it reported itself; the rest
/// is the load of other routers.
#[test]
fn a_router_counts_its_own_streams_once() {
    let mut records = TargetRecords::default();
    let own = [EngineStreamLoad::new(engine_address(1), load(300, 1))];
    let all = vec![EngineStreamLoad::new(engine_address(1), load(1_000, 3))];
    records.apply_load_update(&own, Some(&update(1, true, all)));
    // The router's own streams have ended since its report.
    assert_eq!(records.load(engine_address(1)), load(700, 2));
    // The router reported nothing, and the load of the others is unchanged.
    records.apply_load_update(&[], None);
    assert_eq!(records.load(engine_address(1)), load(1_000, 3));
}

/// Engines that an update doesn't name keep their load, unless it is a full update, such
/// as the first one of another leader.
#[test]
fn engines_keep_their_load_until_an_update_names_them_or_is_full() {
    let mut records = TargetRecords::default();
    let engine_load = |port, tokens| EngineStreamLoad::new(engine_address(port), load(tokens, 0));
    records.apply_load_update(
        &[],
        Some(&update(
            1,
            true,
            vec![engine_load(1, 10), engine_load(2, 20)],
        )),
    );
    records.apply_load_update(
        &[],
        Some(&update(
            2,
            false,
            vec![engine_load(2, 25), engine_load(3, 30)],
        )),
    );
    let tokens = |records: &TargetRecords| {
        [1, 2, 3].map(|port| records.load(engine_address(port)).layer_tokens)
    };
    assert_eq!(tokens(&records), [10, 25, 30]);
    records.apply_load_update(&[], Some(&update(3, false, vec![engine_load(2, 0)])));
    assert_eq!(tokens(&records), [10, 0, 30]);
    records.apply_load_update(&[], Some(&update(1, true, vec![engine_load(3, 5)])));
    assert_eq!(tokens(&records), [0, 0, 5]);
    assert_eq!(records.load_position().map(|known| known.number), Some(1));
}
