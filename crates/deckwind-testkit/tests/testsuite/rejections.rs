//! A router reports to the leader that an engine has refused it, and the leader passes this
//! on to all other routers. Runs on the control core of a single replica in virtual time.

use deckwind_core::control::{
    ControlEvent, ControlLimits, ControlReply, ControlRequest, EngineFull, Grant, LimitReport,
    PeerListVersion, Renewal,
};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::replication::{ReplicaConfig, ReplicaId};
use deckwind_core::routes::TargetRecords;
use deckwind_core::routing::paths::EngineLookup;
use deckwind_core::state::{Revision, RouterProcess};
use deckwind_core::time::Instant;
use deckwind_store::{MemoryDisk, Store};
use deckwindd::control::{ControlNode, Effect, Now};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

const START: Instant = Instant::from_millis(1_000);

fn holder(vm: &str) -> RouterProcess {
    RouterProcess {
        vm: vm.into(),
        boot: 1,
    }
}

fn engine() -> SocketAddr {
    ([10, 0, 0, 7], 80).into()
}

/// A single replica, which is the leader.
struct Leader {
    node: ControlNode,
    ms: u64,
}

impl Leader {
    fn new() -> Self {
        let id = ReplicaId {
            slot: 0,
            identity: 1,
        };
        let (store, opened) = Store::open(Box::new(MemoryDisk::default()), id).unwrap();
        let cfg = ReplicaConfig::new(id, [0], 1);
        let (lease, limits) = (LeaseTiming::default(), ControlLimits::default());
        let node = ControlNode::new(cfg, lease, limits, store, opened, START).unwrap();
        let mut leader = Self { node, ms: 0 };
        leader.run(3_000);
        leader
    }

    /// Handles requests, and returns the replies that are due.
    fn handle(&mut self, requests: Vec<(u64, ControlRequest)>) -> Vec<(u64, ControlReply)> {
        self.ms += 10;
        let now = Now {
            at: START + Duration::from_millis(self.ms),
            wall_ms: self.ms,
        };
        let event = |(token, request)| ControlEvent::Request { token, request };
        let batch = requests.into_iter().map(event).collect();
        let mut effects = Vec::new();
        self.node.process_batch(now, batch, &mut effects).unwrap();
        let reply = |effect| match effect {
            Effect::Reply(token, reply) => Some((token, reply)),
            _ => None,
        };
        effects.into_iter().filter_map(reply).collect()
    }

    fn run(&mut self, ms: u64) -> Vec<(u64, ControlReply)> {
        (0..ms / 10).flat_map(|_| self.handle(Vec::new())).collect()
    }

    fn renew(&mut self, token: u64, vm: &str) -> Vec<(u64, ControlReply)> {
        let renewal = Renewal {
            holder: holder(vm),
            applied: Revision::ZERO,
            admin: ([127, 0, 0, 1], 1).into(),
            demand: Vec::new(),
            tunnels: None,
            peers_known: PeerListVersion::default(),
            data_centre: "a".into(),
            in_use: Vec::new(),
            use_known: None,
            failing: Vec::new(),
            held_bytes: 0,
            repeats: None,
            limits: LimitReport::default(),
        };
        self.handle(vec![(token, ControlRequest::Renew(Box::new(renewal)))])
    }

    fn report_full(&mut self, token: u64, vm: &str, layer_tokens: u64) -> Vec<(u64, ControlReply)> {
        let full = EngineFull {
            address: engine(),
            layer_tokens,
        };
        self.handle(vec![(token, ControlRequest::Full(holder(vm), vec![full]))])
    }
}

fn grant(replies: &[(u64, ControlReply)], of: u64) -> Option<&Grant> {
    replies.iter().find_map(|(token, reply)| match reply {
        ControlReply::Granted(grant) if *token == of => Some(&**grant),
        _ => None,
    })
}

#[test]
fn an_engine_that_refuses_one_router_is_told_to_the_others_once() {
    let mut leader = Leader::new();
    leader.renew(1, "a");
    leader.renew(2, "b");
    leader.run(500);
    leader.renew(3, "a");
    leader.renew(4, "b");
    let mut replies = leader.report_full(5, "a", 700);
    replies.extend(leader.run(110));
    let (a, b) = (grant(&replies, 3), grant(&replies, 4));
    let grant_of_b = b.expect("b is answered before its 400 ms have passed");
    let full = grant_of_b.full.iter().map(|f| (f.address, f.layer_tokens));
    assert_eq!(full.collect::<Vec<_>>(), [(engine(), 700)]);
    assert!(
        a.is_none_or(|a| a.full.is_empty()),
        "a is not sent its own report"
    );
    leader.renew(6, "b");
    let later = leader.run(500);
    let later = grant(&later, 6).expect("the renewal is answered in the end");
    assert!(later.full.is_empty(), "the refusal is sent once");
}

#[test]
fn an_engine_that_refused_holds_no_more_than_it_did_for_a_moment() {
    let mut records = TargetRecords::default();
    let full = EngineFull {
        address: engine(),
        layer_tokens: 700,
    };
    records.record_full_engines(START, &[full]);
    let none = HashSet::new();
    let at = |ms: u64| {
        let now = START + Duration::from_millis(ms);
        records.at(now, &none).load_when_refused(engine())
    };
    assert_eq!(at(0), Some(700));
    assert_eq!(at(240), Some(700));
    assert_eq!(at(260), None);
}
