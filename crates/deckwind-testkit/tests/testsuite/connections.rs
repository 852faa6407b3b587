//! Idle connections to a target: its connection limit applies to all routers together,
//! so each router keeps a share of it.

use crate::run_async;
use deckwind_core::routes::BodyEnd;
use deckwind_core::state::Pool;
use deckwind_fakes::FakeTargetServer;
use deckwind_net::clock::Clock;
use deckwind_net::targets::{ConnectionPool, set_tcp_options, set_tcp_options_with_timeout};
use http::HeaderMap;
use socket2::SockRef;
use std::time::Duration;
use tokio::net::TcpStream;
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
        connections.return_connection(connection, &HeaderMap::new(), BodyEnd::Framed, 2);
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

/// Guards against two options that disagree on when a silent peer is given up. On Linux
/// `TCP_USER_TIMEOUT` decides for keep-alive probes as well, whatever their number: the
/// last probe must be due when it has passed, and no later. Cases: the timeouts towards
/// targets and callers.
#[parameterized(targets = { 3 }, callers = { 10 })]
fn keep_alive_probes_and_the_user_timeout_agree(timeout_s: u64) {
    run_async(async move {
        let target = FakeTargetServer::start("t").await.expect("a target");
        let stream = TcpStream::connect(target.address).await;
        let stream = stream.expect("the target listens");
        let timeout = Duration::from_secs(timeout_s);
        set_tcp_options_with_timeout(&stream, timeout);
        let socket = SockRef::from(&stream);
        let set = socket.tcp_user_timeout().expect("an option");
        let set = set.expect("a timeout");
        assert_eq!(set, timeout);
        let first_probe = socket.tcp_keepalive_time().expect("an option");
        let interval = socket.tcp_keepalive_interval().expect("an option");
        let probes = socket.tcp_keepalive_retries().expect("an option");
        let given_up = first_probe + interval * probes;
        assert!(
            (set..set + interval).contains(&given_up),
            "{given_up:?} {set:?}"
        );
        assert!(
            probes > 1,
            "a single lost probe must not close a connection"
        );
    });
}

/// Guards against a connection that is given up while a sound target is silent for a second
/// or so.
#[tokio::test]
async fn connections_to_targets_outlast_a_second_of_silence() {
    let target = FakeTargetServer::start("t").await.expect("a target");
    let stream = TcpStream::connect(target.address).await;
    let stream = stream.expect("the target listens");
    set_tcp_options(&stream);
    let timeout = SockRef::from(&stream).tcp_user_timeout();
    let timeout = timeout.expect("an option").expect("a timeout");
    assert!(timeout >= Duration::from_secs(2), "{timeout:?}");
}
