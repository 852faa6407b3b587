//! Simulation of one run: routers, sessions and targets in virtual time.

mod sessions;

use crate::events::EventQueue;
use crate::fleet::{
    DATA_CENTRES, FakeTarget, INTER_DC_US, INTRA_DC_US, layer_costs, max_throughput, micros,
    runner, template,
};
use crate::load::{Class, Fault, Scenario};
use crate::report::{ClassResult, RunResult};
use deckwind_core::admission::{AdmissionConfig, TicketId};
use deckwind_core::membership::{AccountShare, LeaseGrant, LeaseTiming, account_share};
use deckwind_core::replication::Term;
use deckwind_core::router::{CheckedRequest, QueueOutcome, RouterConfig, RouterCore, SlotOutcome};
use deckwind_core::routing::{
    EstimatedTimePolicy, LeastLoaded, LoadGatePolicy, LoadReport, PREFILL_COST, PlannedStage,
    Policy, PrefixHash, RoundRobin, TargetKey,
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

/// Policies that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyName {
    EstimatedTimePolicy,
    RoundRobin,
    LeastLoaded,
    LoadGatePolicy,
}

impl PolicyName {
    pub const ALL: [PolicyName; 4] = [
        PolicyName::EstimatedTimePolicy,
        PolicyName::RoundRobin,
        PolicyName::LeastLoaded,
        PolicyName::LoadGatePolicy,
    ];

    pub fn name(self) -> &'static str {
        self.build(0).name()
    }

    fn build(self, seed: u64) -> Box<dyn Policy> {
        match self {
            PolicyName::EstimatedTimePolicy => Box::new(EstimatedTimePolicy::new(seed)),
            PolicyName::RoundRobin => Box::new(RoundRobin::new(seed)),
            PolicyName::LeastLoaded => Box::new(LeastLoaded::new(seed)),
            PolicyName::LoadGatePolicy => Box::new(LoadGatePolicy::new(seed)),
        }
    }
}

/// Event of the simulation.
enum Event {
    Arrive(usize),
    Answer {
        session: u64,
        key: StageKey,
        attempt: u32,
        position: u32,
    },
    /// A step order exceeds its time limit, or its connection was seen to break.
    StepTimeout {
        session: u64,
        key: StageKey,
        order: u64,
    },
    Replan {
        session: u64,
    },
    Tick,
    /// The leader renews the leases of all routers.
    Renew,
    /// Routers poll the load that targets last published; then targets publish again.
    Publish,
    /// The fault of the scenario happens.
    Fault,
}

/// Open stage of a running session.
struct OpenStage {
    target: TargetKey,
    runner: usize,
    layers: LayerRange,
    order_sent: Instant,
}

/// Session that was started.
struct RunningSession {
    class: usize,
    router: usize,
    checked_request: CheckedRequest,
    session: Session,
    stages: BTreeMap<StageKey, OpenStage>,
    planned: Vec<PlannedStage>,
    prefixes: Vec<PrefixHash>,
    /// Number of the last step order; also incremented when an order ends, so that its
    /// timeout no longer matches.
    orders: u64,
    positions: usize,
    last_token: Option<Instant>,
    /// Targets to avoid and layers to plan, while no chain was found.
    pending_plan: Option<(BTreeSet<TargetName>, LayerRange)>,
}

/// Request that waits in a router's queue.
struct QueuedRequest {
    class: usize,
    router: usize,
    checked_request: CheckedRequest,
    conversation: u32,
}

/// Counts and latency histograms of a class, in microseconds.
struct ClassStats {
    result: ClassResult,
    first: Histogram<u64>,
    gap: Histogram<u64>,
}

/// Number of runners and routers in a run.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub runners: u32,
    pub routers: u32,
    /// Maximum number of concurrent sessions per runner.
    pub slots: u32,
}

/// Simulated run of a scenario with a policy.
pub struct Run {
    scenario: Scenario,
    policy: PolicyName,
    now: Instant,
    rng: ChaCha8Rng,
    events: EventQueue<Event>,
    machine: StateMachine,
    runners: Vec<FakeTarget>,
    by_name: HashMap<TargetName, usize>,
    routers: Vec<RouterCore>,
    sessions: HashMap<u64, RunningSession>,
    queued: HashMap<(usize, TicketId), QueuedRequest>,
    next_session: u64,
    class_stats: Vec<ClassStats>,
    /// Work finished while requests arrived, in tokens.
    work_done: f64,
    /// Work that the fleet could have done up to `possible_work_until`, in tokens.
    possible_work: f64,
    /// Present maximum throughput of the fleet, in tokens per second.
    max_throughput_now: f64,
    /// Maximum throughput of all runners in good health, to which class loads are
    /// relative, in tokens per second.
    healthy_throughput: f64,
    possible_work_until: Instant,
    prompt_positions: u64,
    cached_positions: u64,
    rebuilds: u64,
    idle: Option<f64>,
    change_count: u64,
}

const START: Instant = Instant::from_millis(1_000);
/// Time of the first arrivals, by which the routers have their leases.
const ARRIVALS: Instant = Instant::from_millis(1_600);
const TICK_INTERVAL: Duration = Duration::from_millis(100);
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which routers poll targets for their load, which is outdated by the same
/// time.
const LOAD_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of targets that a router polls per interval.
const POLLED_TARGETS: usize = 2;
const REPLAN_DELAY: Duration = Duration::from_millis(100);
/// Time after the last arrival for running sessions to end.
const DRAIN_TIME: Duration = Duration::from_secs(30);
/// Time until a router detects a broken connection.
const DISCONNECT_DELAY: Duration = Duration::from_millis(2);
/// Number of blocks of a prompt, all but the last of which are shared by a conversation.
const PROMPT_BLOCKS: u32 = 4;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("fixed bounds")
}

impl Run {
    pub fn new(scenario: Scenario, policy: PolicyName, size: FleetSize, seed: u64) -> Self {
        let mut run = Self {
            scenario,
            policy,
            now: START,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: EventQueue::new(),
            machine: StateMachine::default(),
            runners: (0..size.runners).map(|i| runner(i, size.slots)).collect(),
            by_name: HashMap::new(),
            routers: Vec::new(),
            sessions: HashMap::new(),
            queued: HashMap::new(),
            next_session: 1,
            class_stats: Vec::new(),
            work_done: 0.0,
            possible_work: 0.0,
            max_throughput_now: 0.0,
            healthy_throughput: 0.0,
            possible_work_until: ARRIVALS,
            prompt_positions: 0,
            cached_positions: 0,
            rebuilds: 0,
            idle: None,
            change_count: 0,
        };
        run.configure();
        for i in 0..size.routers {
            run.add_router(u64::from(i) + seed * 1_000);
        }
        run
    }

    fn configure(&mut self) {
        self.healthy_throughput = max_throughput(self.runners.iter());
        for class in self.scenario.classes {
            self.apply_change(Change::Template(template(class.template, class.priority)));
            let digit = |c: char| char::from_digit(c as u32 % 16, 16).expect("below 16");
            let hash: String = class.account.chars().map(digit).cycle().take(64).collect();
            self.apply_change(Change::Account(Account {
                name: class.account.into(),
                key_sha256: hash,
                limits: AccountLimits {
                    requests_per_s: 1e6,
                    weight: 1,
                },
                parameters: BTreeMap::new(),
            }));
            self.class_stats.push(ClassStats {
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
            self.runners[i].dead = joins && is_affected(i, 4);
            if !self.runners[i].dead {
                let target = self.runners[i].target.clone();
                self.apply_change(Change::Target(target));
            }
        }
        self.max_throughput_now = max_throughput(self.runners.iter());
    }

    fn apply_change(&mut self, change: Change) {
        self.change_count += 1;
        self.machine.apply(Command {
            at_ms: 0,
            body: CommandBody::Apply(ApplyRequest {
                request_id: self.change_count.to_string().into(),
                expected: None,
                change,
            }),
        });
    }

    fn add_router(&mut self, seed: u64) {
        let links = DATA_CENTRES.iter().enumerate();
        let home = self.routers.len() % DATA_CENTRES.len();
        let link = |i: usize| if i == home { INTRA_DC_US } else { INTER_DC_US };
        let cfg = RouterConfig {
            lease: LeaseTiming::default(),
            layer_costs_us: layer_costs(),
            link_latencies_us: links.map(|(i, dc)| ((*dc).into(), link(i))).collect(),
            admission: AdmissionConfig::default(),
            seed,
        };
        let router = RouterCore::with_policy(cfg, self.policy.build(seed), self.now);
        self.routers.push(router);
    }

    /// Runs the simulation to its end and returns the result.
    pub fn execute(mut self) -> RunResult {
        self.events.push(self.now, Event::Renew);
        self.events.push(self.now, Event::Publish);
        self.events.push(self.now, Event::Tick);
        if let Some(at_s) = fault_time(self.scenario.fault) {
            self.events
                .push(START + Duration::from_secs_f64(at_s), Event::Fault);
        }
        for class in 0..self.scenario.classes.len() {
            self.events.push(ARRIVALS, Event::Arrive(class));
        }
        let end = self.arrivals_end() + DRAIN_TIME;
        while let Some((at, event)) = self.events.pop() {
            if at > end {
                break;
            }
            if self.idle.is_none() && at >= self.arrivals_end() {
                self.idle = Some(self.idle_share());
            }
            self.now = at;
            self.handle(event);
        }
        self.result()
    }

    /// Returns the share of idle time of the targets since the first arrival, weighted by
    /// their speed.
    fn idle_share(&self) -> f64 {
        let span_us = self.scenario.seconds * 1e6;
        let speeds = self.runners.iter().map(|r| 1.0 / r.layer_us);
        let worked = self.runners.iter().map(|r| r.busy_us / r.layer_us);
        1.0 - worked.sum::<f64>() / (span_us * speeds.sum::<f64>())
    }

    fn arrivals_end(&self) -> Instant {
        ARRIVALS + Duration::from_secs_f64(self.scenario.seconds)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(class) => self.arrive(class),
            Event::Answer {
                session,
                key,
                attempt,
                position,
            } => {
                self.step_answered(session, key, attempt, position);
            }
            Event::StepTimeout {
                session,
                key,
                order,
            } => self.step_timed_out(session, key, order),
            Event::Replan { session } => self.replan(session),
            Event::Tick => self.tick(),
            Event::Renew => self.renew(),
            Event::Publish => self.publish(),
            Event::Fault => self.inject_fault(),
        }
    }

    fn class(&self, class: usize) -> Class {
        self.scenario.classes[class]
    }

    /// Returns the work of a request with an empty cache, in tokens.
    fn work_of(class: &Class) -> f64 {
        f64::from(class.answer) + f64::from(class.prompt) * PREFILL_COST
    }

    fn arrive(&mut self, class: usize) {
        if self.now >= self.arrivals_end() {
            return;
        }
        let c = self.class(class);
        let full = self.healthy_throughput;
        let per_s = c.share * full / Self::work_of(&c);
        let gap = -self.rng.random::<f64>().max(1e-9).ln() / per_s;
        self.events
            .push(self.now + micros(gap * 1e6), Event::Arrive(class));
        let router = self.rng.random_range(0..self.routers.len());
        self.class_stats[class].result.offered += 1;
        let conversation = self.rng.random_range(0..c.conversations);
        self.enter(class, router, conversation);
    }

    fn enter(&mut self, class: usize, router: usize, conversation: u32) {
        let c = self.class(class);
        let now = self.now;
        let core = &mut self.routers[router];
        let checked_request = core.check_request(now, &c.account.into(), &c.template.into());
        let Ok(checked_request) = checked_request else {
            self.refuse(class, now);
            return;
        };
        let request = QueuedRequest {
            class,
            router,
            checked_request,
            conversation,
        };
        match core.request_slot(now, &request.checked_request) {
            Ok(SlotOutcome::Start) => self.start(request),
            Ok(SlotOutcome::Wait) => {
                let key = (router, request.checked_request.id);
                self.queued.insert(key, request);
            }
            Err(_) => self.refuse(class, now),
        }
    }

    fn refuse(&mut self, class: usize, arrived: Instant) {
        let r = &mut self.class_stats[class].result;
        r.refused += 1;
        let waited = self.now.since(arrived).as_secs_f64() * 1e3;
        r.refusal_max_ms = r.refusal_max_ms.max(waited);
    }

    fn handle_admitted(&mut self, router: usize, admitted: Vec<QueueOutcome>) {
        for outcome in admitted {
            match outcome {
                QueueOutcome::Start(id) => {
                    if let Some(request) = self.queued.remove(&(router, id)) {
                        self.start(request);
                    }
                }
                QueueOutcome::Denied(id, _) => {
                    if let Some(w) = self.queued.remove(&(router, id)) {
                        self.refuse(w.class, w.checked_request.arrived);
                    }
                }
            }
        }
    }

    fn tick(&mut self) {
        self.events.push(self.now + TICK_INTERVAL, Event::Tick);
        for i in 0..self.routers.len() {
            let admitted = self.routers[i].tick(self.now);
            self.handle_admitted(i, admitted);
        }
    }

    /// Renews the lease of each router, with the accounts' shares by demand.
    fn renew(&mut self) {
        self.events.push(self.now + RENEW_INTERVAL, Event::Renew);
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
                    let share = account_share(limit, d, totals[&name], routers);
                    Some((name, share))
                })
                .collect();
            router.apply_grant(LeaseGrant::new(now, Term(1)), now, delta, shares, routers);
        }
    }

    /// Polls the load of a few targets for each router. The published load is one
    /// interval old; targets in use also report their load with every answer.
    fn publish(&mut self) {
        self.events
            .push(self.now + LOAD_POLL_INTERVAL, Event::Publish);
        for router in &mut self.routers {
            for _ in 0..POLLED_TARGETS {
                let runner = &self.runners[self.rng.random_range(0..self.runners.len())];
                let key = router.fleet().key(&runner.target.name);
                if let Some(key) = key.filter(|_| !runner.dead) {
                    let load = runner.published_load;
                    router.load_reported(self.now, key, LoadReport { load });
                }
            }
        }
        for runner in &mut self.runners {
            runner.published_load = runner.load;
        }
    }

    /// Adds the possible work since the last update and recomputes the maximum
    /// throughput.
    fn update_possible_work(&mut self) {
        let until = self.now.min(self.arrivals_end());
        self.possible_work +=
            self.max_throughput_now * until.since(self.possible_work_until).as_secs_f64();
        self.possible_work_until = until;
        self.max_throughput_now = max_throughput(self.runners.iter());
    }

    fn inject_fault(&mut self) {
        let fault = self.scenario.fault;
        let every = if matches!(fault, Fault::CrashHalf { .. }) {
            2
        } else {
            4
        };
        for i in 0..self.runners.len() {
            let affected = is_affected(i, every);
            let runner = &mut self.runners[i];
            match fault {
                Fault::Crash { .. } | Fault::CrashHalf { .. } if affected => runner.dead = true,
                Fault::Freeze { .. } if affected => runner.frozen = true,
                Fault::SlowDown { .. } if affected => runner.slowdown = 10.0,
                Fault::DegradeLink { .. }
                    if runner.target.data_centre.as_str() == DATA_CENTRES[2] =>
                {
                    runner.link_latency_us = INTER_DC_US * 100.0;
                }
                Fault::Join { .. } if runner.dead => {
                    runner.dead = false;
                    let target = runner.target.clone();
                    self.apply_change(Change::Target(target));
                }
                _ => {}
            }
        }
        self.update_possible_work();
    }

    fn result(mut self) -> RunResult {
        self.now = self.arrivals_end();
        self.update_possible_work();
        let classes = self
            .class_stats
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
            of_bound: self.work_done / self.possible_work,
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
        Fault::Crash { at_s }
        | Fault::Freeze { at_s }
        | Fault::SlowDown { at_s }
        | Fault::DegradeLink { at_s }
        | Fault::Join { at_s }
        | Fault::CrashHalf { at_s } => Some(at_s),
    }
}

/// Returns whether a fault that affects one in `every` runners affects runner `i`. The
/// affected runners are spread over accelerator kinds and layer ranges.
fn is_affected(i: usize, every: usize) -> bool {
    (i / 7 + (i % 7) / 2).is_multiple_of(every)
}
