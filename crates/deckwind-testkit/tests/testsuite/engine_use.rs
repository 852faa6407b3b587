//! What routers hear of what the streams of all routers hold at engines: what has moved,
//! closely in their own data centre and roughly in others. No network.

use deckwind_core::control::{EngineUse, UseNews, UseNumber};
use deckwind_core::replication::Term;
use deckwind_core::routes::TargetBook;
use deckwind_core::routing::paths::Held;
use deckwind_testkit::fan_out::{FanOut, engine_fleet, engine_release};
use std::net::SocketAddr;
use std::time::Duration;
use yare::parameterized;

/// Bytes that a router hears a second while it and all others hold streams at the engines
/// of a fleet, and nothing moves.
fn bytes_a_router(routers: usize, engines: usize) -> u64 {
    let mut fan_out = FanOut::new(routers, 0, 420.0).unwrap();
    fan_out.publish(engine_release(1, 10));
    engine_fleet(engines)
        .into_iter()
        .for_each(|e| fan_out.announce(e));
    fan_out.run_for(Duration::from_secs(3)).unwrap();
    fan_out.hold_at(engines);
    fan_out.run_for(Duration::from_secs(2)).unwrap();
    fan_out.take_carried();
    fan_out.run_for(Duration::from_secs(4)).unwrap();
    fan_out.take_carried().bytes / 4 / routers as u64
}

#[parameterized(
    some = { 60, 150 },
    more_engines = { 60, 600 },
    more_routers = { 240, 150 },
)]
fn streams_that_go_on_cost_a_router_nothing(routers: usize, engines: usize) {
    let bytes = bytes_a_router(routers, engines);
    assert!(bytes < 600, "{bytes} bytes a second");
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn held(layer_tokens: u64, begun: u32) -> Held {
    Held {
        layer_tokens,
        begun,
    }
}

fn news(number: u64, all: bool, engines: Vec<EngineUse>) -> UseNews {
    UseNews {
        upto: UseNumber {
            term: Term(1),
            number,
        },
        all,
        engines,
    }
}

/// What a router reported is part of what it hears of all: the rest is the others'.
#[test]
fn a_router_counts_its_own_streams_once() {
    let mut book = TargetBook::default();
    let own = [EngineUse::new(at(1), held(300, 1))];
    let all = vec![EngineUse::new(at(1), held(1_000, 3))];
    book.use_told(&own, Some(&news(1, true, all)));
    // Its own streams have ended since.
    assert_eq!(book.held(at(1)), held(700, 2));
    // It reported nothing, and what others hold is as before.
    book.use_told(&[], None);
    assert_eq!(book.held(at(1)), held(1_000, 3));
}

/// Engines that are not named stay as they were, but for what another leader tells.
#[test]
fn what_is_not_named_holds_on_until_all_is_told_anew() {
    let mut book = TargetBook::default();
    let one = |port, tokens| EngineUse::new(at(port), held(tokens, 0));
    book.use_told(&[], Some(&news(1, true, vec![one(1, 10), one(2, 20)])));
    book.use_told(&[], Some(&news(2, false, vec![one(2, 25), one(3, 30)])));
    let tokens = |book: &TargetBook| [1, 2, 3].map(|port| book.held(at(port)).layer_tokens);
    assert_eq!(tokens(&book), [10, 25, 30]);
    book.use_told(&[], Some(&news(3, false, vec![one(2, 0)])));
    assert_eq!(tokens(&book), [10, 0, 30]);
    book.use_told(&[], Some(&news(1, true, vec![one(3, 5)])));
    assert_eq!(tokens(&book), [0, 0, 5]);
    assert_eq!(book.use_known().map(|known| known.number), Some(1));
}
