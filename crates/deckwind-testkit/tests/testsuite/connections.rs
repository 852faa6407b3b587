//! Idle connections to a target: its connection limit applies to all routers together,
//! so each router keeps a share of it.

use deckwind_core::state::Pool;
use deckwind_fakes::FakeTargetServer;
use deckwind_net::clock::Clock;
use deckwind_net::targets::ConnectionPool;
use http::HeaderMap;
use std::time::Duration;
use yare::parameterized;

/// Cases: connection limit of a target, number of routers, and idle connections that
/// each router may keep.
#[parameterized(
    one = { 50, 1, 25 },
    nine = { 110, 9, 6 },
    many = { 1_200, 195, 3 },
    more_than_it_takes = { 50, 350, 1 },
    none_known = { 50, 0, 25 },
)]
fn idle_connections_of_all_routers_share_half_of_the_limit(
    limit: u32,
    routers: u32,
    max_idle: usize,
) {
    let pool = Pool {
        name: "pool".into(),
        max_connections: limit,
        engine: None,
    };
    assert_eq!(pool.max_idle_connections(routers), max_idle);
}

/// Five connections are in use at once; two of them may be kept once they are idle.
#[tokio::test]
async fn idle_connections_above_the_limit_are_closed() {
    let idle_timeout = Duration::from_secs(60);
    let target = FakeTargetServer::start("t").await.expect("a target");
    let connections = ConnectionPool::new(Clock::start());
    let mut in_use = Vec::new();
    for _ in 0..5 {
        in_use.push(
            connections
                .get(target.address, idle_timeout)
                .await
                .expect("the target listens"),
        );
    }
    for connection in in_use {
        connections.return_connection(connection, &HeaderMap::new(), 2);
    }
    let mut reused = Vec::new();
    for _ in 0..3 {
        reused.push(
            connections
                .get(target.address, idle_timeout)
                .await
                .expect("the target listens"),
        );
    }
    let reused: Vec<bool> = reused.iter().map(|c| c.reused).collect();
    assert_eq!(reused, [true, true, false]);
}
