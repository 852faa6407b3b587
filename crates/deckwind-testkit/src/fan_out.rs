//! One leader and hundreds of routers in virtual time, with the leader's link.
//!
//! The control node is the daemon's own; routers are a lease and a renewal in
//! flight each. Every answer goes through the leader's link, byte by byte, so
//! what a change costs there and how long the queue grows can be told.

use crate::made_up_fleet::{CENTRES, POOL};
pub use crate::made_up_fleet::{engine, engine_fleet, engine_release, release};
use anyhow::{Context, Result, ensure};
use deckwind_core::control::{
    ControlEvent, ControlLimits, ControlReply, ControlRequest, EngineUse, LimitReport, Looks,
    OperatorRequest, PlaceOrder, PoolReport, RelayedReplies, RelayedRequest, Renewal, RepeatReport,
    UseNumber,
};
use deckwind_core::membership::{LeaseTiming, RouterLeaseState};
use deckwind_core::replication::{ReplicaConfig, ReplicaId};
use deckwind_core::routing::paths::Held;
use deckwind_core::state::{Holder, Instance, LayerRange, Published, Release, Revision};
use deckwind_core::time::Instant;
use deckwind_store::{MemoryDisk, Store};
use deckwind_wire::encode;
use deckwindd::control::{ControlNode, Effect, Now};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(1);

/// One way between a router and the leader.
const ONE_WAY: Duration = Duration::from_millis(1);

/// How long a replica gathers what it passes on.
const GATHER_MICROS: u64 = 20_000;
const GATHER: Duration = Duration::from_micros(GATHER_MICROS);

/// Headers of IP, UDP and QUIC for one message, bytes.
const HEADERS: usize = 60;

/// Bytes of a message that go into one packet.
const PACKET: usize = 1_200;

/// Time in which an engine loads layers.
const LOADS_IN: Duration = Duration::from_millis(30);

/// Length of a lease.
const LEASE: Duration = Duration::from_millis(2_800);

fn lease_timing() -> LeaseTiming {
    LeaseTiming {
        ttl: LEASE,
        ..LeaseTiming::default()
    }
}

struct Router {
    lease: RouterLeaseState,
    /// When the renewal on its way was sent.
    asked: Option<Instant>,
    was_live: bool,
    /// Up to where it has heard what streams hold.
    use_known: Option<UseNumber>,
}

enum Arrival {
    Asked(usize, Box<Renewal>),
    Answered(usize, Box<ControlReply>),
    /// An engine has carried out an order.
    Placed(PlaceOrder),
}

/// What the leader's link has carried.
#[derive(Clone, Copy, Debug, Default)]
pub struct Carried {
    /// Renewals that came.
    pub renewals: u64,
    /// Messages with answers.
    pub messages: u64,
    /// Their bytes, headers included.
    pub bytes: u64,
    /// Longest time for which bytes stood in the link's queue.
    pub longest_queue: Duration,
    /// Leases that ran out.
    pub leases_lost: u64,
    /// Time that the leader worked, by this machine's clock.
    pub worked: Duration,
    /// The longest of its batches, by this machine's clock: what a heartbeat
    /// may wait for.
    pub longest_batch: Duration,
}

/// The leader and its routers.
pub struct FanOut {
    node: ControlNode,
    now: Instant,
    start: Instant,
    routers: Vec<Router>,
    engines_in_use: usize,
    /// Replicas that pass the routers' requests on; none if routers ask the leader.
    relays: u32,
    /// Most repeats that all routers may be given; nothing if they want none.
    repeats: Option<u64>,
    bytes_per_s: f64,
    link_free_at: Instant,
    on_the_way: BTreeMap<(Instant, u64), Arrival>,
    asked_by: BTreeMap<u64, usize>,
    next_number: u64,
    operator: Vec<ControlEvent>,
    carried: Carried,
}

impl FanOut {
    /// A leader that leads, and routers with live leases. Each router's streams
    /// hold something at a quarter of `engines_in_use` engines.
    pub fn new(routers: usize, engines_in_use: usize, link_mbps: f64) -> Result<Self> {
        let id = ReplicaId {
            slot: 0,
            identity: 1,
        };
        let (store, opened) = Store::open(Box::new(MemoryDisk::default()), id)?;
        let start = Instant::from_millis(1_000);
        let lease = lease_timing();
        let limits = ControlLimits {
            state_bytes_per_s: ControlLimits::state_pace(link_mbps),
            ..ControlLimits::default()
        };
        let cfg = ReplicaConfig::new(id, [0], 1);
        let router = |_| Router {
            lease: RouterLeaseState::new(lease),
            asked: None,
            was_live: false,
            use_known: None,
        };
        let mut fan_out = Self {
            node: ControlNode::new(cfg, lease, limits, store, opened, start)?,
            now: start,
            start,
            routers: (0..routers).map(router).collect(),
            engines_in_use,
            relays: 0,
            repeats: None,
            bytes_per_s: link_mbps * 125_000.0,
            link_free_at: start,
            on_the_way: BTreeMap::new(),
            asked_by: BTreeMap::new(),
            next_number: 1,
            operator: Vec::new(),
            carried: Carried::default(),
        };
        fan_out.run_for(Duration::from_secs(5))?;
        ensure!(fan_out.routers.iter().all(|r| r.was_live), "no lease");
        fan_out.carried = Carried::default();
        Ok(fan_out)
    }

    /// From now on so many replicas pass the routers' requests on.
    pub fn pass_on(&mut self, relays: u32) {
        self.relays = relays;
    }

    /// From now on each router's streams hold something at a quarter of so many engines.
    pub fn hold_at(&mut self, engines: usize) {
        self.engines_in_use = engines;
    }

    /// What the leader has looked at so far.
    pub fn looks(&self) -> Looks {
        self.node.core().looks()
    }

    /// From now on all routers serve the pool, and hold repeats ahead of need.
    pub fn serve(&mut self, repeats: u64) {
        self.repeats = Some(repeats);
    }

    /// What the link has carried since this was last asked.
    pub fn take_carried(&mut self) -> Carried {
        std::mem::take(&mut self.carried)
    }

    /// All routers start anew at once: without a lease, and with no state.
    pub fn restart_routers(&mut self) {
        self.on_the_way.clear();
        self.asked_by.clear();
        for r in &mut self.routers {
            r.lease = RouterLeaseState::new(lease_timing());
            r.asked = None;
            r.was_live = false;
            r.use_known = None;
        }
    }

    /// Publishes a release.
    pub fn publish(&mut self, release: Release) {
        let document = Vec::new();
        let published = Published { release, document };
        let request = OperatorRequest::Publish(Box::new(published));
        self.operator
            .push(ControlEvent::Operator { token: 0, request });
    }

    /// A target announces itself.
    pub fn announce(&mut self, instance: Instance) {
        let request = OperatorRequest::Announce(Box::new(instance));
        self.operator
            .push(ControlEvent::Operator { token: 0, request });
    }

    /// Routers that have not applied all that is agreed.
    pub fn lagging(&self) -> usize {
        let agreed = self.revision();
        let lags = |r: &&Router| r.lease.applied() < agreed;
        self.routers.iter().filter(lags).count()
    }

    /// The revision that is agreed.
    pub fn revision(&self) -> Revision {
        self.node.core().machine().configuration().revision()
    }

    /// The release at each router.
    pub fn releases(&self) -> impl Iterator<Item = &Release> {
        let cfgs = self.routers.iter().map(|r| r.lease.configuration());
        cfgs.filter_map(|cfg| cfg.release().map(|r| &**r))
    }

    /// Routers that may serve though they have not applied all that is agreed.
    pub fn serving_behind(&self) -> usize {
        let agreed = self.revision();
        let serves = |r: &&Router| r.lease.is_live(self.now) && r.lease.applied() < agreed;
        self.routers.iter().filter(serves).count()
    }

    /// Layers that the engine holds as agreed.
    pub fn held_by(&self, id: &str) -> LayerRange {
        let instances = self.node.core().machine().configuration().instances();
        instances.get(id).map(|i| i.layers).unwrap_or_default()
    }

    /// Engines that hold layers.
    pub fn holding(&self) -> usize {
        let instances = self.node.core().machine().configuration().instances();
        instances.iter().filter(|i| !i.layers.is_empty()).count()
    }

    /// Runs until all routers have applied what is agreed; the time it took.
    pub fn run_until_applied(&mut self, most: Duration) -> Result<Duration> {
        let begun = self.now;
        self.step()?;
        while self.lagging() > 0 {
            ensure!(self.now.since(begun) < most, "{} lag", self.lagging());
            self.step()?;
        }
        Ok(self.now.since(begun))
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) -> Result<()> {
        let until = self.now + time;
        while self.now < until {
            self.step()?;
        }
        Ok(())
    }

    fn step(&mut self) -> Result<()> {
        self.now = self.now + STEP;
        let mut batch = std::mem::take(&mut self.operator);
        while let Some(entry) = self.on_the_way.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Arrival::Asked(router, renewal) => batch.push(self.request(router, *renewal)),
                Arrival::Answered(router, reply) => self.take_answer(router, *reply)?,
                Arrival::Placed(order) => batch.push(ControlEvent::Placed {
                    life: order.life(),
                    held: Some(order.layers),
                }),
            }
        }
        let mut effects = Vec::new();
        let now = Now {
            at: self.now,
            wall_ms: self.now.since(self.start).as_millis() as u64,
        };
        let begun = std::time::Instant::now();
        self.node.take(now, batch, &mut effects)?;
        let took = begun.elapsed();
        self.carried.worked += took;
        self.carried.longest_batch = self.carried.longest_batch.max(took);
        let mut passed_back: BTreeMap<u32, Vec<(u64, ControlReply)>> = BTreeMap::new();
        for effect in effects {
            match effect {
                Effect::Reply(token, reply) => match self.relay_of(token) {
                    Some(relay) => passed_back.entry(relay).or_default().push((token, reply)),
                    None => self.send_answers(vec![(token, reply)])?,
                },
                Effect::Place(order) => self.put(self.now + LOADS_IN, Arrival::Placed(order)),
                _ => {}
            }
        }
        for (_, answers) in passed_back {
            self.send_answers(answers)?;
        }
        for router in 0..self.routers.len() {
            self.renew(router);
        }
        Ok(())
    }

    /// The replica that passed this request on.
    fn relay_of(&self, token: u64) -> Option<u32> {
        let router = self.asked_by.get(&token)?;
        (self.relays > 0).then(|| *router as u32 % self.relays)
    }

    fn request(&mut self, router: usize, renewal: Renewal) -> ControlEvent {
        self.next_number += 1;
        let token = self.next_number;
        self.asked_by.insert(token, router);
        self.carried.renewals += 1;
        let request = ControlRequest::Renew(renewal);
        let Some(relay) = self.relay_of(token) else {
            return ControlEvent::Request { token, request };
        };
        let waited = Duration::ZERO;
        let request = RelayedRequest {
            token,
            waited,
            request,
        };
        // Slot 0 is the leader's.
        let from = relay + 1;
        ControlEvent::Relayed {
            token,
            from,
            request,
        }
    }

    fn renew(&mut self, router: usize) {
        let in_use = self.in_use_of(router);
        let r = &mut self.routers[router];
        let live = r.lease.is_live(self.now);
        self.carried.leases_lost += u64::from(r.was_live && !live);
        r.was_live = live;
        if r.asked.is_some() {
            return;
        }
        r.asked = Some(self.now);
        let renewal = Renewal {
            holder: Holder {
                vm: format!("router-{router}").as_str().into(),
                boot: 1,
            },
            applied: r.lease.applied(),
            admin: SocketAddr::from(([127, 0, 0, 1], 1)),
            demand: Vec::new(),
            data_centre: CENTRES[router % CENTRES.len()].into(),
            in_use,
            use_known: r.use_known,
            failing: Vec::new(),
            held_bytes: 0,
            repeats: self.repeats.map(repeat_report),
            limits: LimitReport::default(),
        };
        let arrival = Arrival::Asked(router, Box::new(renewal));
        let gathered = match self.relays {
            0 => self.now,
            _ => self.now + GATHER - Duration::from_micros(self.now.as_micros() % GATHER_MICROS),
        };
        self.put(gathered + ONE_WAY, arrival);
    }

    fn in_use_of(&self, router: usize) -> Vec<EngineUse> {
        let held = Held {
            layer_tokens: 40_000,
            begun: 1,
        };
        let engine = |e: usize| {
            let address = SocketAddr::from(([127, 0, 1, 1], e as u16 + 1));
            EngineUse::new(address, held)
        };
        let own = (0..self.engines_in_use).filter(|e| e % 4 == router % 4);
        own.map(engine).collect()
    }

    /// Sends answers that go together: to one router, or for those that asked one
    /// replica.
    fn send_answers(&mut self, answers: Vec<(u64, ControlReply)>) -> Result<()> {
        let bytes = match &answers[..] {
            [(_, reply)] if self.relays == 0 => encode(reply).len(),
            answers => {
                let mut passed_back = RelayedReplies::new(0);
                for (token, reply) in answers {
                    passed_back.push(*token, reply.clone());
                }
                encode(&passed_back).len()
            }
        };
        let on_link = bytes + HEADERS * (1 + bytes / PACKET);
        let begins = self.link_free_at.max(self.now);
        let takes = Duration::from_secs_f64(on_link as f64 / self.bytes_per_s);
        self.link_free_at = begins + takes;
        let queued = self.link_free_at.since(self.now);
        self.carried.longest_queue = self.carried.longest_queue.max(queued);
        self.carried.messages += 1;
        self.carried.bytes += on_link as u64;
        for (token, reply) in answers {
            // What was asked before a restart is answered to nobody.
            if let Some(router) = self.asked_by.remove(&token) {
                let arrival = Arrival::Answered(router, Box::new(reply));
                self.put(self.link_free_at + ONE_WAY, arrival);
            }
        }
        Ok(())
    }

    fn take_answer(&mut self, router: usize, reply: ControlReply) -> Result<()> {
        let r = &mut self.routers[router];
        let asked = r.asked.take().context("an answer to no question")?;
        if let ControlReply::Granted(grant) = reply {
            let delta = grant.changes(r.lease.applied())?;
            r.lease.granted(grant.lease(asked), delta);
            r.use_known = grant.in_use.map(|news| news.upto).or(r.use_known);
        }
        Ok(())
    }

    fn put(&mut self, at: Instant, arrival: Arrival) {
        self.next_number += 1;
        self.on_the_way.insert((at, self.next_number), arrival);
    }
}

/// Of a router that serves the pool and has used none.
fn repeat_report(most: u64) -> RepeatReport {
    RepeatReport {
        most,
        window: Duration::from_secs(10),
        pools: vec![PoolReport {
            pool: POOL.to_string(),
            allowance: None,
            spent: 0,
            over: 0,
            back: 0,
            level: 1,
            serves: true,
        }],
    }
}
