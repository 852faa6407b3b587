//! Lease renewals around elections, and the time until a leader is elected.

use deckwind_core::control::{
    ControlEvent, ControlLimits, ControlReply, ControlRequest, LimitReport, PeerListVersion,
    Renewal,
};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::replication::{ReplicaConfig, ReplicaId};
use deckwind_core::state::{Revision, RouterProcess};
use deckwind_core::time::Instant;
use deckwind_store::{MemoryDisk, Store};
use deckwind_testkit::{ControlSimulation, NetFaults};
use deckwindd::control::{ControlNode, Effect, Now};
use std::time::Duration;

fn renewal() -> ControlRequest {
    ControlRequest::Renew(Box::new(Renewal {
        holder: RouterProcess {
            vm: "router".into(),
            boot: 1,
        },
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
    }))
}

/// Starts one replica of the cluster `slots`, alone, with a renewal that arrives at its
/// start. Returns the replies to the renewal within `run_ms`, with their times in
/// milliseconds.
fn replies(slots: &[u32], run_ms: u64) -> Vec<(u64, ControlReply)> {
    let id = ReplicaId {
        slot: 0,
        identity: 1,
    };
    let (store, opened) = Store::open(Box::new(MemoryDisk::default()), id).unwrap();
    let cfg = ReplicaConfig::new(id, slots.iter().copied(), 1);
    let start = Instant::from_millis(1_000);
    let (lease, limits) = (LeaseTiming::default(), ControlLimits::default());
    let mut node = ControlNode::new(cfg, lease, limits, store, opened, start).unwrap();
    let mut replies = Vec::new();
    for ms in (0..run_ms).step_by(10) {
        let now = Now {
            at: start + Duration::from_millis(ms),
            wall_ms: ms,
        };
        let request = ControlEvent::Request {
            token: 7,
            request: renewal(),
        };
        let batch = if ms == 0 { vec![request] } else { Vec::new() };
        let mut effects = Vec::new();
        node.process_batch(now, batch, &mut effects).unwrap();
        replies.extend(effects.into_iter().filter_map(|e| match e {
            Effect::Reply(7, reply) => Some((ms, reply)),
            _ => None,
        }));
    }
    replies
}

#[test]
fn a_renewal_that_came_before_the_election_is_granted_after_it() {
    let replies = replies(&[0], 3_000);
    assert_eq!(replies.len(), 1, "{replies:?}");
    assert!(
        matches!(replies[0].1, ControlReply::Granted(_)),
        "{replies:?}"
    );
}

#[test]
fn a_renewal_does_not_wait_long_where_no_leader_can_be_elected() {
    let replies = replies(&[0, 1, 2], 3_000);
    let no_leader = ControlReply::NotLeader { leader: None };
    assert_eq!(replies, [(500, no_leader)]);
}

/// All replicas stop, and three of five start one after the other. The first pre-votes are
/// refused by replicas that may still have a promise to a previous leader.
#[test]
fn a_leader_is_found_soon_after_a_start_of_all() {
    let mut slowest = Duration::ZERO;
    for seed in 0..100 {
        let mut sim = ControlSimulation::new(5, 0, seed, NetFaults::NONE);
        sim.run_until_leader();
        (0..5).for_each(|slot| sim.crash(slot, 0));
        // The two others stay down, so all of these three are needed for a quorum.
        for slot in 0..2 {
            sim.start(slot);
            sim.run_for(Duration::from_millis(250));
        }
        sim.start(2);
        let begun = sim.now();
        sim.run_until_leader();
        slowest = slowest.max(sim.now().since(begun));
    }
    // Takes 1,015 ms; 1,885 ms with the ordinary wait after each lost election instead
    // of the shorter one.
    assert!(slowest < Duration::from_millis(1_200), "{slowest:?}");
}
