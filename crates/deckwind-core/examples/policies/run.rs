//! One run: routers, sessions and targets in virtual time.

mod sessions;

use crate::events::Events;
use crate::fleet::{
    BETWEEN_US, DATA_CENTRES, FakeTarget, WITHIN_US, bound, costs, micros, runner, template,
};
use crate::load::{Class, Fault, Scenario};
use crate::report::{ClassResult, RunResult};
use deckwind_core::admission::{AdmissionConfig, TicketId};
use deckwind_core::membership::{AccountShare, LeaseGrant, LeaseTiming, share_of};
use deckwind_core::replication::Term;
use deckwind_core::router::{Admitted, Entered, Placed, RouterConfig, RouterCore};
use deckwind_core::routing::{
    Estimated, FleetGate, LeastLoaded, LoadReport, PREFILL_COST, PlannedStage, Policy, PrefixHash,
    RoundRobin, TargetKey,
};
use deckwind_core::session::{Session, StageKey};
use deckwind_core::state::{
    Account, AccountLimits, AccountName, ApplyRequest, Change, Command, CommandBody, LayerRange,
    StateMachine, TargetName,
};
use deckwind_core::time::Instant;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// The ways that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyName {
    Estimated,
    RoundRobin,
    LeastLoaded,
    FleetGate,
}

impl PolicyName {
    pub const ALL: [PolicyName; 4] = [
        PolicyName::Estimated,
        PolicyName::RoundRobin,
        PolicyName::LeastLoaded,
        PolicyName::FleetGate,
    ];

    pub fn name(self) -> &'static str {
        self.build(0).name()
    }

    fn build(self, seed: u64) -> Box<dyn Policy> {
        match self {
            PolicyName::Estimated => Box::new(Estimated::new(seed)),
            PolicyName::RoundRobin => Box::new(RoundRobin::new(seed)),
            PolicyName::LeastLoaded => Box::new(LeastLoaded::new(seed)),
            PolicyName::FleetGate => Box::new(FleetGate::new(seed)),
        }
    }
}

enum Event {
    Arrive(usize),
    Answer {
        session: u64,
        key: StageKey,
        attempt: u32,
        position: u32,
    },
    Late {
        session: u64,
        key: StageKey,
        order: u64,
    },
    Replan {
        session: u64,
    },
    Tick,
    Renew,
    Publish,
    Fault,
}

/// A stage that is open.
struct OpenedStage {
    target: TargetKey,
    runner: usize,
    layers: LayerRange,
    order_sent: Instant,
}

struct Running {
    class: usize,
    router: usize,
    entered: Entered,
    session: Session,
    stages: BTreeMap<StageKey, OpenedStage>,
    planned: Vec<PlannedStage>,
    prefixes: Vec<PrefixHash>,
    orders: u64,
    positions: usize,
    last_token: Option<Instant>,
    lost: Option<(BTreeSet<TargetName>, LayerRange)>,
}

struct Waiting {
    class: usize,
    router: usize,
    entered: Entered,
    conversation: u32,
}

struct ClassCounts {
    result: ClassResult,
    first: Histogram<u64>,
    gap: Histogram<u64>,
}

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub runners: u32,
    pub routers: u32,
    /// Sessions that a runner serves at once.
    pub slots: u32,
}

/// A run.
pub struct Run {
    scenario: Scenario,
    policy: PolicyName,
    now: Instant,
    rng: ChaCha8Rng,
    events: Events<Event>,
    machine: StateMachine,
    runners: Vec<FakeTarget>,
    by_name: HashMap<TargetName, usize>,
    routers: Vec<RouterCore>,
    sessions: HashMap<u64, Running>,
    waiting: HashMap<(usize, TicketId), Waiting>,
    next_session: u64,
    counts: Vec<ClassCounts>,
    work_done: f64,
    bound_seconds: f64,
    bound_now: f64,
    /// Bound of all runners in good health: what loads are shares of.
    full_bound: f64,
    bound_since: Instant,
    prompt_positions: u64,
    cached_positions: u64,
    rebuilds: u64,
    idle: Option<f64>,
    changes: u64,
}

const START: Instant = Instant::from_millis(1_000);
/// Requests come from here on: the routers have their leases by then.
const ARRIVALS: Instant = Instant::from_millis(1_600);
const TICK: Duration = Duration::from_millis(100);
const RENEW: Duration = Duration::from_millis(500);
/// Between two rounds of asking targets for their load, which lags by as much.
const PUBLISH: Duration = Duration::from_secs(1);
/// Targets that a router asks in a round.
const ASKED: usize = 2;
const REPLAN_PAUSE: Duration = Duration::from_millis(100);
/// After the last arrival, time for what runs to end.
const TAIL: Duration = Duration::from_secs(30);
/// A broken connection is noticed after this time.
const BREAK_NOTICED: Duration = Duration::from_millis(2);
/// Prompt blocks: all but the last are shared by a conversation.
const BLOCKS: u32 = 4;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("fixed bounds")
}

impl Run {
    pub fn new(scenario: Scenario, policy: PolicyName, size: Size, seed: u64) -> Self {
        let mut run = Self {
            scenario,
            policy,
            now: START,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: Events::new(),
            machine: StateMachine::default(),
            runners: (0..size.runners).map(|i| runner(i, size.slots)).collect(),
            by_name: HashMap::new(),
            routers: Vec::new(),
            sessions: HashMap::new(),
            waiting: HashMap::new(),
            next_session: 1,
            counts: Vec::new(),
            work_done: 0.0,
            bound_seconds: 0.0,
            bound_now: 0.0,
            full_bound: 0.0,
            bound_since: ARRIVALS,
            prompt_positions: 0,
            cached_positions: 0,
            rebuilds: 0,
            idle: None,
            changes: 0,
        };
        run.configure();
        for i in 0..size.routers {
            run.add_router(u64::from(i) + seed * 1_000);
        }
        run
    }

    fn configure(&mut self) {
        self.full_bound = bound(self.runners.iter());
        for class in self.scenario.classes {
            self.change(Change::Template(template(class.template, class.priority)));
            let digit = |c: char| char::from_digit(c as u32 % 16, 16).expect("below 16");
            let hash: String = class.account.chars().map(digit).cycle().take(64).collect();
            self.change(Change::Account(Account {
                name: class.account.into(),
                key_sha256: hash,
                limits: AccountLimits {
                    requests_per_s: 1e6,
                    weight: 1,
                },
                parameters: BTreeMap::new(),
            }));
            self.counts.push(ClassCounts {
                result: ClassResult {
                    name: format!("{} of {}", class.template, class.account),
                    ..ClassResult::default()
                },
                first: histogram(),
                gap: histogram(),
            });
        }
        let joins = matches!(self.scenario.fault, Fault::Join { .. });
        for i in 0..self.runners.len() {
            self.by_name.insert(self.runners[i].target.name.clone(), i);
            self.runners[i].dead = joins && is_hit(i, 4);
            if !self.runners[i].dead {
                let target = self.runners[i].target.clone();
                self.change(Change::Target(target));
            }
        }
        self.bound_now = bound(self.runners.iter());
    }

    fn change(&mut self, change: Change) {
        self.changes += 1;
        self.machine.apply(Command {
            at_ms: 0,
            body: CommandBody::Apply(ApplyRequest {
                request_id: self.changes.to_string().into(),
                expected: None,
                change,
            }),
        });
    }

    fn add_router(&mut self, seed: u64) {
        let links = DATA_CENTRES.iter().enumerate();
        let home = self.routers.len() % DATA_CENTRES.len();
        let link = |i: usize| if i == home { WITHIN_US } else { BETWEEN_US };
        let cfg = RouterConfig {
            lease: LeaseTiming::default(),
            costs: costs(),
            links: links.map(|(i, dc)| ((*dc).into(), link(i))).collect(),
            admission: AdmissionConfig::default(),
            seed,
        };
        let router = RouterCore::with_policy(cfg, self.policy.build(seed), self.now);
        self.routers.push(router);
    }

    /// Runs to the end.
    pub fn execute(mut self) -> RunResult {
        self.events.put(self.now, Event::Renew);
        self.events.put(self.now, Event::Publish);
        self.events.put(self.now, Event::Tick);
        if let Some(at_s) = fault_time(self.scenario.fault) {
            self.events
                .put(START + Duration::from_secs_f64(at_s), Event::Fault);
        }
        for class in 0..self.scenario.classes.len() {
            self.events.put(ARRIVALS, Event::Arrive(class));
        }
        let end = self.arrivals_end() + TAIL;
        while let Some((at, event)) = self.events.next() {
            if at > end {
                break;
            }
            if self.idle.is_none() && at >= self.arrivals_end() {
                self.idle = Some(self.idle_share());
            }
            self.now = at;
            self.take(event);
        }
        self.result()
    }

    /// Idle time of the targets since the first arrival, weighed by their speed.
    fn idle_share(&self) -> f64 {
        let span_us = self.scenario.seconds * 1e6;
        let speeds = self.runners.iter().map(|r| 1.0 / r.layer_us);
        let worked = self.runners.iter().map(|r| r.busy_us / r.layer_us);
        1.0 - worked.sum::<f64>() / (span_us * speeds.sum::<f64>())
    }

    fn arrivals_end(&self) -> Instant {
        ARRIVALS + Duration::from_secs_f64(self.scenario.seconds)
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(class) => self.arrive(class),
            Event::Answer {
                session,
                key,
                attempt,
                position,
            } => {
                self.answer(session, key, attempt, position);
            }
            Event::Late {
                session,
                key,
                order,
            } => self.late(session, key, order),
            Event::Replan { session } => self.replan(session),
            Event::Tick => self.tick(),
            Event::Renew => self.renew(),
            Event::Publish => self.publish(),
            Event::Fault => self.fault(),
        }
    }

    fn class(&self, class: usize) -> Class {
        self.scenario.classes[class]
    }

    /// Work of a request with an empty cache, in tokens.
    fn work_of(class: &Class) -> f64 {
        f64::from(class.answer) + f64::from(class.prompt) * PREFILL_COST
    }

    fn arrive(&mut self, class: usize) {
        if self.now >= self.arrivals_end() {
            return;
        }
        let c = self.class(class);
        let full = self.full_bound;
        let per_s = c.share * full / Self::work_of(&c);
        let gap = -self.rng.random::<f64>().max(1e-9).ln() / per_s;
        self.events
            .put(self.now + micros(gap * 1e6), Event::Arrive(class));
        let router = self.rng.random_range(0..self.routers.len());
        self.counts[class].result.offered += 1;
        let conversation = self.rng.random_range(0..c.conversations);
        self.enter(class, router, conversation);
    }

    fn enter(&mut self, class: usize, router: usize, conversation: u32) {
        let c = self.class(class);
        let now = self.now;
        let core = &mut self.routers[router];
        let entered = core.enter(now, &c.account.into(), &c.template.into());
        let Ok(entered) = entered else {
            self.refuse(class, now);
            return;
        };
        let waiting = Waiting {
            class,
            router,
            entered,
            conversation,
        };
        match core.place(now, &waiting.entered) {
            Ok(Placed::Start) => self.start(waiting),
            Ok(Placed::Wait) => {
                let key = (router, waiting.entered.id);
                self.waiting.insert(key, waiting);
            }
            Err(_) => self.refuse(class, now),
        }
    }

    fn refuse(&mut self, class: usize, arrived: Instant) {
        let r = &mut self.counts[class].result;
        r.refused += 1;
        let waited = self.now.since(arrived).as_secs_f64() * 1e3;
        r.refusal_max_ms = r.refusal_max_ms.max(waited);
    }

    fn admitted(&mut self, router: usize, admitted: Vec<Admitted>) {
        for one in admitted {
            match one {
                Admitted::Start(id) => {
                    if let Some(waiting) = self.waiting.remove(&(router, id)) {
                        self.start(waiting);
                    }
                }
                Admitted::Denied(id, _) => {
                    if let Some(w) = self.waiting.remove(&(router, id)) {
                        self.refuse(w.class, w.entered.arrived);
                    }
                }
            }
        }
    }

    fn tick(&mut self) {
        self.events.put(self.now + TICK, Event::Tick);
        for i in 0..self.routers.len() {
            let admitted = self.routers[i].tick(self.now);
            self.admitted(i, admitted);
        }
    }

    /// The leader's grants, with the accounts' shares by demand.
    fn renew(&mut self) {
        self.events.put(self.now + RENEW, Event::Renew);
        let now = self.now;
        let routers = self.routers.len() as u32;
        let demands: Vec<_> = self.routers.iter_mut().map(|r| r.demand(now)).collect();
        let mut totals: BTreeMap<AccountName, f64> = BTreeMap::new();
        for (account, d) in demands.iter().flatten() {
            *totals.entry(account.clone()).or_default() += d.per_s;
        }
        let cfg = self.machine.configuration();
        for (router, demand) in self.routers.iter_mut().zip(demands) {
            let delta = cfg.delta_since(router.lease().applied());
            let shares: Vec<(AccountName, AccountShare)> = demand
                .into_iter()
                .filter_map(|(name, d)| {
                    let limit = cfg.account(&name)?.limits.requests_per_s;
                    let share = share_of(limit, d, totals[&name], routers);
                    Some((name, share))
                })
                .collect();
            router.granted(LeaseGrant::new(now, Term(1)), now, delta, shares, routers);
        }
    }

    /// Each router asks a few targets for their load, which is one period old.
    /// Those that it uses report theirs with every answer.
    fn publish(&mut self) {
        self.events.put(self.now + PUBLISH, Event::Publish);
        for router in &mut self.routers {
            for _ in 0..ASKED {
                let runner = &self.runners[self.rng.random_range(0..self.runners.len())];
                let key = router.fleet().key(&runner.target.name);
                if let Some(key) = key.filter(|_| !runner.dead) {
                    let load = runner.published;
                    router.load_reported(self.now, key, LoadReport { load });
                }
            }
        }
        for runner in &mut self.runners {
            runner.published = runner.load;
        }
    }

    fn settle_bound(&mut self) {
        let until = self.now.min(self.arrivals_end());
        self.bound_seconds += self.bound_now * until.since(self.bound_since).as_secs_f64();
        self.bound_since = until;
        self.bound_now = bound(self.runners.iter());
    }

    fn fault(&mut self) {
        let fault = self.scenario.fault;
        let every = if matches!(fault, Fault::HalfDie { .. }) {
            2
        } else {
            4
        };
        for i in 0..self.runners.len() {
            let hit = is_hit(i, every);
            let runner = &mut self.runners[i];
            match fault {
                Fault::Dies { .. } | Fault::HalfDie { .. } if hit => runner.dead = true,
                Fault::Freezes { .. } if hit => runner.frozen = true,
                Fault::Slows { .. } if hit => runner.slow = 10.0,
                Fault::LinkDegrades { .. }
                    if runner.target.data_centre.as_str() == DATA_CENTRES[2] =>
                {
                    runner.link_us = BETWEEN_US * 100.0;
                }
                Fault::Join { .. } if runner.dead => {
                    runner.dead = false;
                    let target = runner.target.clone();
                    self.change(Change::Target(target));
                }
                _ => {}
            }
        }
        self.settle_bound();
    }

    fn result(mut self) -> RunResult {
        self.now = self.arrivals_end();
        self.settle_bound();
        let classes = self
            .counts
            .iter()
            .map(|c| ClassResult {
                first_p95_ms: c.first.value_at_quantile(0.95) as f64 / 1e3,
                gap_p95_ms: c.gap.value_at_quantile(0.95) as f64 / 1e3,
                ..c.result.clone()
            })
            .collect();
        RunResult {
            scenario: self.scenario.name,
            policy: self.policy.build(0).name(),
            of_bound: self.work_done / self.bound_seconds,
            prefix_hits: self.cached_positions as f64 / self.prompt_positions.max(1) as f64,
            idle: self.idle.unwrap_or_default(),
            rebuilds: self.rebuilds,
            classes,
        }
    }
}

fn fault_time(fault: Fault) -> Option<f64> {
    match fault {
        Fault::None => None,
        Fault::Dies { at_s }
        | Fault::Freezes { at_s }
        | Fault::Slows { at_s }
        | Fault::LinkDegrades { at_s }
        | Fault::Join { at_s }
        | Fault::HalfDie { at_s } => Some(at_s),
    }
}

/// Whether runner `i` is one of each `every`, spread over kinds and ranges.
fn is_hit(i: usize, every: usize) -> bool {
    (i / 7 + (i % 7) / 2).is_multiple_of(every)
}
