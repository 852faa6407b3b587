//! A crowd of connections at one router: it reads what it can serve, and closes the rest unread
//! so that callers try other routers at once.
//!
//! Guards against a router that reads every new connection it is handed. While a balancer hands
//! it those of a whole data centre, its tasks run later and later, and all of its callers are
//! late together, those of before too.

use crate::rig::{API_KEY, Rig};
use crate::run_async;
use deckwind_core::admission::{ConnectionGate, GateDecision, LAG_INTERVAL};
use deckwind_fakes::FakeCall;
use deckwind_testkit::{Layout, eventually_async};
use http::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

/// Requests per second that one router serves, and time that one takes it.
const SERVED_PER_S: u64 = 100;
const WORK_MS: f64 = 1_000.0 / SERVED_PER_S as f64;

/// Time in which a request has to be served to be in time.
const OBJECTIVE_MS: f64 = 300.0;

/// The crowd begins at this time and lasts until the other one.
const CROWD_MS: (u64, u64) = (3_000, 13_000);
/// Time within which routers have to adapt to it.
const CONTACT_MS: u64 = 3_000;

/// Routers that work off requests one after the other.
struct Model {
    rng: StdRng,
    gates: Vec<ConnectionGate>,
    /// Time until which each router has work.
    busy_until: Vec<f64>,
    /// Whether routers read every connection.
    reads_all: bool,
}

/// What became of one try.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Try {
    Unread,
    InTime,
    Late,
}

impl Model {
    fn new(seed: u64, routers: usize, reads_all: bool) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            gates: vec![ConnectionGate::new(4_000); routers],
            busy_until: vec![0.0; routers],
            reads_all,
        }
    }

    fn offer(&mut self, router: usize, now: f64) -> Try {
        let decision = self.gates[router].decide(0);
        if decision != GateDecision::Read && !self.reads_all {
            return Try::Unread;
        }
        let done = self.busy_until[router].max(now) + WORK_MS;
        self.busy_until[router] = done;
        match done - now <= OBJECTIVE_MS {
            true => Try::InTime,
            false => Try::Late,
        }
    }

    /// Runs the day. Returns the tries that were read, as time and whether they were served in
    /// time, and the times of requests that no router read.
    fn run(&mut self, per_second: u64) -> (Vec<(u64, bool)>, Vec<u64>) {
        const MAX_TRIES: u32 = 4;
        let (mut read, mut never_read) = (Vec::new(), Vec::new());
        let mut next_probe = 0.0;
        for i in 0..per_second * 16 {
            let at = i * 1_000 / per_second;
            let now = at as f64;
            while next_probe <= now {
                for (gate, busy) in self.gates.iter_mut().zip(&self.busy_until) {
                    let lag = (busy - next_probe).max(0.0);
                    gate.record_lag(Duration::from_secs_f64(lag / 1e3));
                }
                next_probe += LAG_INTERVAL.as_millis() as f64;
            }
            let is_crowd = (CROWD_MS.0..CROWD_MS.1).contains(&at);
            let mut router = match is_crowd && self.rng.random_bool(0.9) {
                true => 0,
                false => self.rng.random_range(0..self.gates.len()),
            };
            let mut outcome = Try::Unread;
            for _ in 0..MAX_TRIES {
                outcome = self.offer(router, now);
                if outcome != Try::Unread {
                    break;
                }
                // A later try meets another router.
                let other = self.rng.random_range(1..self.gates.len());
                router = (router + other) % self.gates.len();
            }
            match outcome {
                Try::Unread => never_read.push(at),
                _ => read.push((at, outcome == Try::InTime)),
            }
        }
        (read, never_read)
    }
}

fn share_in_time(read: &[(u64, bool)], from_ms: u64, to_ms: u64) -> f64 {
    let tries = read.iter().filter(|(at, _)| (from_ms..to_ms).contains(at));
    let tries: Vec<bool> = tries.map(|(_, in_time)| *in_time).collect();
    let in_time = tries.iter().filter(|t| **t).count();
    in_time as f64 / tries.len().max(1) as f64
}

/// Arguments: routers, and requests per second at all of them: between a third and two thirds
/// of what they serve together, which is more than one of them does.
#[parameterized(
    three_routers = { 3, 180 },
    nine_routers = { 9, 300 },
    nine_busy_routers = { 9, 600 },
    thirty_routers = { 30, 1_500 },
)]
fn a_crowd_at_one_router_leaves_what_it_reads_in_time(routers: usize, per_second: u64) {
    for seed in 0..10 {
        let (read, never_read) = Model::new(seed, routers, false).run(per_second);
        let before = share_in_time(&read, 0, CROWD_MS.0);
        let during = share_in_time(&read, CROWD_MS.0 + CONTACT_MS, CROWD_MS.1);
        assert!(
            during >= before * 0.75,
            "seed {seed}: {during:.2} of what is read is in time, {before:.2} before"
        );
        let lost = never_read.len() as f64 / (per_second * 16) as f64;
        assert!(lost < 0.01, "seed {seed}: {lost:.3} were never read");
        let (read, _) = Model::new(seed, routers, true).run(per_second);
        let during = share_in_time(&read, CROWD_MS.0 + CONTACT_MS, CROWD_MS.1);
        assert!(during < 0.75, "without the gate {during:.2} are in time");
    }
}

/// One late measurement, as after the suspension of a VM, closes no connection; several do, and
/// never all.
#[test]
fn a_single_late_task_is_no_overload() {
    let late = Duration::from_secs(8);
    let mut gate = ConnectionGate::new(4_000);
    gate.record_lag(late);
    assert_eq!(gate.decide(0), GateDecision::Read);
    assert!(!gate.closes_after_answer(0));
    for _ in 0..100 {
        gate.record_lag(late);
    }
    assert!(gate.closes_after_answer(0));
    let read = (0..100)
        .filter(|_| gate.decide(0) == GateDecision::Read)
        .count();
    assert!((1..20).contains(&read), "{read} of 100 are read");
    for _ in 0..40 {
        gate.record_lag(Duration::ZERO);
    }
    assert_eq!(gate.decide(0), GateDecision::Read);
    assert!(!gate.closes_after_answer(0));
}

/// A router with too many open connections closes new ones without reading them, and asks the
/// callers of the others to close theirs. It reads new ones again once there are fewer.
#[test]
fn connections_beyond_the_bound_are_closed_unread() {
    const DESCRIPTORS: u32 = 20;
    const MAX_OPEN: usize = 9;
    run_async(async {
        let mut layout = Layout::new(1, 1).expect("a layout");
        layout.file_descriptors = Some(DESCRIPTORS);
        let mut rig = Rig::start_with(layout, 2, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served("/safe/x", false).await;
        let address = rig.cluster.layout.routers[0].routes;
        let mut open = Vec::new();
        for _ in 0..MAX_OPEN {
            open.push(TcpStream::connect(address).await.expect("connected"));
        }
        let call = FakeCall::new("unread", "/safe/x", API_KEY);
        eventually_async("a new connection is closed unread", || async {
            rig.try_call(0, &call).await.is_err().then_some(())
        })
        .await;
        assert_eq!(rig.send_count("unread"), 0, "an unread request has run");
        // The request on an open connection is served, and its connection closed.
        let mut served = String::new();
        let first = &mut open[0];
        let request = plain_request("kept");
        first.write_all(request.as_bytes()).await.expect("sent");
        first.read_to_string(&mut served).await.expect("an answer");
        assert!(served.starts_with("HTTP/1.1 200"), "{served}");
        assert!(
            served.to_ascii_lowercase().contains("connection: close"),
            "{served}"
        );
        drop(open);
        eventually_async("new connections are read again", || async {
            let answer = rig.try_call(0, &call).await.ok()?;
            (answer.status == StatusCode::OK).then_some(())
        })
        .await;
        rig.cluster.close().await.expect("closed");
    });
}

/// Returns the bytes of a plain request.
fn plain_request(id: &str) -> String {
    format!(
        "POST /safe/x HTTP/1.1\r\nHost: {}\r\nAuthorization: Bearer {API_KEY}\r\nX-Deckwind-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n",
        deckwind_fakes::HOST
    )
}
