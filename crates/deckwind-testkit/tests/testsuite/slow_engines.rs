//! Engines that are slow but not down: the leader asks them for their pace, and routers
//! avoid them.

use crate::support::{announced_instances, engine_cards, model, place_chain};
use deckwind_core::control::{
    ControlEvent, ControlLimits, ControlReply, ControlRequest, EnginePace, LimitReport,
    OperatorRequest, PeerListVersion, Renewal,
};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::replication::{ReplicaConfig, ReplicaId};
use deckwind_core::routes::{CapacityDemand, RequestClass, TargetRecords, choose_path};
use deckwind_core::state::{Instance, Revision, RouterProcess};
use deckwind_core::time::Instant;
use deckwind_store::{MemoryDisk, Store};
use deckwindd::control::{ControlNode, Effect, Now};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use yare::parameterized;

const RENEWAL_TOKEN: u64 = 7;

struct Leader {
    node: ControlNode,
    at: Instant,
}

impl Leader {
    /// Starts a lone replica that knows the given engines.
    fn new(engines: &[Instance]) -> Self {
        let id = ReplicaId {
            slot: 0,
            identity: 1,
        };
        let (store, opened) = Store::open(Box::new(MemoryDisk::default()), id).expect("opens");
        let cfg = ReplicaConfig::new(id, [0], 1);
        let at = Instant::from_millis(1_000);
        let (lease, limits) = (LeaseTiming::default(), ControlLimits::default());
        let node = ControlNode::new(cfg, lease, limits, store, opened, at).expect("starts");
        let mut leader = Self { node, at };
        leader.run(Duration::from_secs(2));
        for engine in engines {
            let request = OperatorRequest::Announce(Box::new(engine.clone()));
            leader.take(vec![ControlEvent::Operator { token: 1, request }]);
        }
        leader.run(Duration::from_secs(1));
        // The first renewal of a router is answered at once; later ones wait
        // for a change.
        leader.renew();
        leader
    }

    fn take(&mut self, events: Vec<ControlEvent>) -> Vec<Effect> {
        let now = Now {
            at: self.at,
            wall_ms: self.at.as_micros() / 1_000,
        };
        let mut effects = Vec::new();
        self.node
            .process_batch(now, events, &mut effects)
            .expect("works");
        effects
    }

    fn run(&mut self, time: Duration) -> Vec<Effect> {
        let until = self.at + time;
        let mut effects = Vec::new();
        while self.at < until {
            self.at = self.at + Duration::from_millis(10);
            effects.extend(self.take(Vec::new()));
        }
        effects
    }

    fn ask(&mut self, token: u64, request: ControlRequest) -> Vec<Effect> {
        self.take(vec![ControlEvent::Request { token, request }])
    }

    fn renew(&mut self) -> Vec<Effect> {
        let renewal = Renewal {
            holder: RouterProcess {
                vm: "router".into(),
                boot: 1,
            },
            applied: Revision(u64::MAX),
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
        self.ask(RENEWAL_TOKEN, ControlRequest::Renew(Box::new(renewal)))
    }

    fn pace(&mut self, address: SocketAddr, percent: u32) -> Vec<Effect> {
        self.take(vec![ControlEvent::Pace { address, percent }])
    }
}

fn pace_requests(effects: &[Effect]) -> Vec<SocketAddr> {
    let requests = effects.iter().filter_map(|e| match e {
        Effect::ProbePace(address) => Some(*address),
        _ => None,
    });
    requests.collect()
}

fn reported_slow(effects: &[Effect]) -> Option<Vec<EnginePace>> {
    effects.iter().find_map(|e| match e {
        Effect::Reply(RENEWAL_TOKEN, ControlReply::Granted(grant)) => Some(grant.slow.clone()),
        _ => None,
    })
}

fn engines() -> Vec<Instance> {
    let mut cards = engine_cards("a", 1, 5, 8);
    place_chain(&mut cards);
    announced_instances(&cards)
}

#[test]
fn an_engine_named_by_several_pauses_is_asked_for_its_pace_and_reported_slow() {
    let all = engines();
    let mut leader = Leader::new(&all);
    let engine = all[2].address;
    let hint = |engines: &[SocketAddr]| ControlRequest::PerhapsSlow(engines.to_vec());
    assert!(pace_requests(&leader.ask(1, hint(&[engine, all[3].address]))).is_empty());
    assert!(pace_requests(&leader.ask(2, hint(&[engine]))).is_empty());
    assert_eq!(pace_requests(&leader.ask(3, hint(&[engine]))), [engine]);
    assert!(
        pace_requests(&leader.ask(4, hint(&[engine]))).is_empty(),
        "the leader has asked it just before"
    );

    assert_eq!(
        reported_slow(&leader.renew()),
        None,
        "it waits for a change"
    );
    let effects = leader.pace(engine, 1_200);
    let slow = EnginePace {
        address: engine,
        percent: 1_200,
    };
    assert_eq!(reported_slow(&effects), Some(vec![slow]), "at once");

    assert_eq!(
        pace_requests(&leader.run(Duration::from_millis(800))),
        [engine],
        "again"
    );
    assert_eq!(reported_slow(&leader.renew()), None);
    let effects = [
        leader.pace(engine, 100),
        leader.run(Duration::from_millis(30)),
    ]
    .concat();
    assert_eq!(reported_slow(&effects), Some(Vec::new()), "no longer slow");
}

#[test]
fn an_engine_that_does_not_answer_is_not_slow_for_long() {
    let all = engines();
    let mut leader = Leader::new(&all);
    leader.pace(all[2].address, 400);
    leader.run(Duration::from_millis(1_700));
    // The router has missed the round with that report, so it is answered at once.
    let effects = [leader.renew(), leader.run(Duration::from_millis(500))].concat();
    assert_eq!(reported_slow(&effects), Some(Vec::new()));
}

#[parameterized(
    others_hold_its_layers = { 2, 200, true },
    no_chain_without_it = { 1, 200, false },
    reported_long_ago = { 2, 2_000, false },
)]
fn new_requests_avoid_slow_engines(chains: usize, after_ms: u64, avoided: bool) {
    let mut cards: Vec<_> = (0..chains).flat_map(|_| chain_cards()).collect();
    for (i, card) in cards.iter_mut().enumerate() {
        card.id = format!("{}-{i}", card.id);
    }
    let all = announced_instances(&cards);
    let slow = all[1].address;
    let mut records = TargetRecords::default();
    let reported_at = Instant::from_millis(1_000);
    records.set_slow(
        reported_at + Duration::from_millis(1_600),
        [slow].into_iter(),
    );
    let now = reported_at + Duration::from_millis(after_ms);
    let uses_slow = |draw| {
        let demand = CapacityDemand {
            tokens: 1_000,
            claim: RequestClass::New,
            draw,
        };
        let own = all[0].data_centre.clone();
        let choice = choose_path(&model(), &all, &records, &own, demand, &HashSet::new(), now);
        let path = choice.expect("free capacity").path.expect("a path");
        path.stages.iter().any(|s| s.address == slow)
    };
    assert_eq!(!(0..40).any(uses_slow), avoided);
}

fn chain_cards() -> Vec<deckwind_core::routing::placement::EngineCard> {
    let mut cards = engine_cards("a", 0, 4, 8);
    place_chain(&mut cards);
    cards
}

/// Two rounds of updates follow each other closely. A router whose next renewal was in
/// transit during the second one gets that update as soon as the renewal arrives.
#[test]
fn a_router_that_missed_a_round_is_told_at_once() {
    let all = engines();
    let mut leader = Leader::new(&all);
    assert_eq!(
        reported_slow(&leader.renew()),
        None,
        "it waits for a change"
    );
    assert!(reported_slow(&leader.pace(all[2].address, 400)).is_some());
    leader.pace(all[3].address, 400);
    leader.run(Duration::from_millis(30));
    let reported = reported_slow(&leader.renew()).map(|slow| slow.len());
    assert_eq!(reported, Some(2), "at once");
}
