//! Relaying of routers' requests to the leader by any replica. Routers need not know the
//! leader, also across leader changes, partitions and message loss. Runs in virtual time.

use deckwind_core::control::{
    ControlReply, Grant, RelayedReplies, RelayedRequest, RelayedRequests,
};
use deckwind_core::membership::ReplicaChoice;
use deckwind_core::replication::Term;
use deckwind_core::state::{Delta, PackedDelta, Revision};
use deckwind_core::time::Instant;
use deckwind_testkit::{ControlSimulation, NetFaults};
use deckwind_wire::{PeerMessage, decode, encode};
use std::collections::BTreeMap;
use std::time::Duration;
use yare::parameterized;

/// Starts five replicas and twenty routers, each of which sends its requests to the replica
/// that its name hashes to. Returns the simulation and the leader.
fn sim(seed: u64) -> (ControlSimulation, usize) {
    let mut sim = ControlSimulation::new(5, 20, seed, NetFaults::NONE);
    let leader = sim.run_until_leader();
    sim.run_for(Duration::from_secs(3));
    (sim, leader)
}

fn all_routers_serve(sim: &ControlSimulation) -> bool {
    sim.routers.iter().all(|r| r.serves(sim.now()))
}

#[parameterized(a = { 1 }, b = { 2 }, c = { 3 }, d = { 4 })]
fn a_router_that_asks_a_follower_holds_its_lease_and_stays_there(seed: u64) {
    let (mut sim, leader) = sim(seed);
    let asked: Vec<usize> = sim.routers.iter().map(|r| r.last_slot()).collect();
    assert!(asked.iter().any(|slot| *slot != leader));
    for _ in 0..20 {
        sim.run_for(Duration::from_millis(200));
        assert!(all_routers_serve(&sim), "leader {leader}");
        let now: Vec<usize> = sim.routers.iter().map(|r| r.last_slot()).collect();
        assert_eq!(
            now, asked,
            "no router was redirected to the leader, {leader}"
        );
    }
}

/// After a crash of the leader, routers that send to a follower serve again as soon as the
/// next leader may answer.
#[parameterized(a = { 11 }, b = { 12 }, c = { 13 }, d = { 14 }, e = { 15 })]
fn routers_serve_on_soon_with_the_next_leader(seed: u64) {
    let (mut sim, leader) = sim(seed);
    sim.crash(leader, 0);
    sim.run_until_leader();
    sim.run_for(Duration::from_millis(200));
    for router in sim.routers.iter().filter(|r| r.last_slot() != leader) {
        assert!(router.serves(sim.now()), "{} has no lease", router.name());
    }
}

/// Claims, leases and committed entries stay consistent under message loss, duplication and
/// crashes of replicas that relay requests. The simulation checks its invariants at each step.
#[parameterized(a = { 21 }, b = { 22 }, c = { 23 }, d = { 24 }, e = { 25 }, f = { 26 })]
fn relayed_requests_keep_all_invariants_under_faults(seed: u64) {
    let mut sim = ControlSimulation::new(3, 4, seed, NetFaults::BAD);
    sim.run_until_leader();
    for round in 0..6 {
        sim.routers.iter_mut().for_each(|r| r.add_claims(3));
        let slot = (seed as usize + round) % 3;
        match round % 3 {
            0 => sim.crash(slot, 7),
            1 => sim.set_partitioned(slot, true),
            _ => sim.freeze(slot, true),
        }
        sim.run_for(Duration::from_millis(1_500));
        sim.heal();
        sim.run_for(Duration::from_millis(1_500));
    }
    let mut ran: BTreeMap<String, usize> = BTreeMap::new();
    for key in sim.routers.iter().flat_map(|r| &r.executed_keys) {
        *ran.entry(key.clone()).or_default() += 1;
    }
    assert!(ran.values().all(|runs| *runs == 1), "{ran:?}");
}

fn grant(delta: Option<PackedDelta>) -> ControlReply {
    ControlReply::Granted(Box::new(Grant {
        term: Term(1),
        lasts: None,
        delta,
        shares: Vec::new(),
        routers: 1,
        in_use: None,
        replicas: vec![1, 2, 3],
        failing: Vec::new(),
        repeats: Vec::new(),
        full: Vec::new(),
        slow: Vec::new(),
        limits: None,
        peers: None,
    }))
}

fn delta(to: u64) -> PackedDelta {
    PackedDelta::of(&Delta {
        to: Revision(to),
        ..Delta::default()
    })
}

/// Relayed answers that share a delta are encoded and decoded without loss, each with its
/// own delta.
#[test]
fn answers_that_share_state_come_back_whole() {
    let answers = [
        (7, grant(Some(delta(3)))),
        (8, grant(None)),
        (9, grant(Some(delta(3)))),
        (10, grant(Some(delta(4)))),
        (11, ControlReply::Done),
        (12, ControlReply::NotLeader { leader: Some(2) }),
    ];
    let mut relayed = RelayedReplies::new(5);
    for (token, reply) in answers.clone() {
        relayed.push(token, reply);
    }
    let wire = encode(&PeerMessage::Answers(relayed));
    let PeerMessage::Answers(read) = decode(&wire).unwrap() else {
        panic!("decoded another kind of message");
    };
    assert_eq!(read.life, 5);
    assert_eq!(read.into_answers(), answers);
}

#[test]
fn requests_come_back_from_the_wire_as_they_were() {
    let requests = RelayedRequests {
        slot: 3,
        life: 4,
        requests: vec![RelayedRequest {
            token: 1,
            waited: Duration::from_millis(15),
            request: deckwind_wire::ControlRequest::Failing(Vec::new()),
        }],
    };
    let message = PeerMessage::PassedOn(requests);
    assert_eq!(decode(&encode(&message)), Ok(message));
}

const MEMBERS: [u32; 10] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

fn choices(routers: u32) -> Vec<ReplicaChoice> {
    let choice_of = |i: u32| {
        let mut choice = ReplicaChoice::new(format!("router-{i}").into(), vec![1, 2, 3]);
        choice.set_members(&MEMBERS);
        choice
    };
    (0..routers).map(choice_of).collect()
}

const NOW: Instant = Instant::from_millis(1_000);

/// Routers spread evenly over the replicas without coordination.
#[test]
fn routers_spread_evenly_over_the_replicas() {
    let mut asked: BTreeMap<u32, u32> = BTreeMap::new();
    for mut choice in choices(1_000) {
        *asked.entry(choice.next(NOW).unwrap()).or_default() += 1;
    }
    assert_eq!(asked.len(), MEMBERS.len());
    assert!(asked.values().all(|n| (70..140).contains(n)), "{asked:?}");
}

/// When a replica fails, only the routers that sent to it move, and they spread over all
/// others. They return to it later.
#[test]
fn a_replica_that_is_gone_moves_its_own_routers_only() {
    let failed_slot = 4;
    let mut moved_to: BTreeMap<u32, u32> = BTreeMap::new();
    for mut choice in choices(1_000) {
        let first = choice.next(NOW).unwrap();
        choice.record_failure(NOW, failed_slot);
        let then = choice.next(NOW).unwrap();
        match first == failed_slot {
            true => *moved_to.entry(then).or_default() += 1,
            false => assert_eq!(then, first),
        }
        let later = NOW + Duration::from_secs(10);
        assert_eq!(choice.next(later), Some(first));
    }
    assert_eq!(moved_to.len(), MEMBERS.len() - 1, "{moved_to:?}");
}

/// A replica that is named as the leader is tried once. A replica that knows no leader is
/// avoided for several seconds, a slow one for one second. If all have failed, the one that
/// failed first is tried.
#[test]
fn a_router_avoids_replicas_that_can_not_answer() {
    let mut choice = choices(1).remove(0);
    let preferred = choice.next(NOW).unwrap();
    let leader = MEMBERS.into_iter().find(|slot| *slot != preferred).unwrap();
    choice.record_not_forwarded(NOW, preferred, Some(leader));
    assert_eq!(choice.next(NOW), Some(leader));
    let two_seconds_later = NOW + Duration::from_secs(2);
    assert_ne!(
        choice.next(two_seconds_later),
        Some(preferred),
        "it is still avoided"
    );
    choice.record_success(preferred);
    choice.record_slow(NOW, preferred);
    assert_ne!(choice.next(NOW), Some(preferred));
    assert_eq!(choice.next(two_seconds_later), Some(preferred));
    for (ms, slot) in MEMBERS.into_iter().enumerate() {
        choice.record_failure(NOW + Duration::from_millis(ms as u64), slot);
    }
    assert_eq!(choice.next(two_seconds_later), Some(MEMBERS[0]));
}
