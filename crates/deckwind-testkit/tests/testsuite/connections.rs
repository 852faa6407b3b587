//! A target's bound on connections is for all routers together.

use deckwind_core::state::Pool;
use deckwind_fakes::FakeRunner;
use deckwind_net::clock::Clock;
use deckwind_net::targets::KeptConnections;
use http::HeaderMap;
use std::time::Duration;
use yare::parameterized;

/// What a target takes, routers, and what each of them may leave idle.
#[parameterized(
    one = { 50, 1, 25 },
    nine = { 110, 9, 6 },
    many = { 1_200, 195, 3 },
    more_than_it_takes = { 50, 350, 1 },
    none_known = { 50, 0, 25 },
)]
fn routers_together_leave_half_to_what_is_in_use(takes: u32, routers: u32, most: usize) {
    let pool = Pool {
        name: "pool".into(),
        max_connections: takes,
        engine: None,
    };
    assert_eq!(pool.most_idle(routers), most);
}

/// Five are in use at once; two may be idle then.
#[tokio::test]
async fn no_more_connections_are_kept_than_may_be() {
    let rest = Duration::from_secs(60);
    let target = FakeRunner::start("t").await.expect("a target");
    let kept = KeptConnections::new(Clock::start());
    let mut all = Vec::new();
    for _ in 0..5 {
        all.push(kept.get(target.address, rest).await.expect("it listens"));
    }
    for one in all {
        kept.give_back(one, &HeaderMap::new(), 2);
    }
    let mut reused = Vec::new();
    for _ in 0..3 {
        reused.push(kept.get(target.address, rest).await.expect("it listens"));
    }
    let reused: Vec<bool> = reused.iter().map(|c| c.reused).collect();
    assert_eq!(reused, [true, true, false]);
}
