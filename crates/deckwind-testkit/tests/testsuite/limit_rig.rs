//! Simulation of routers and a leader that enforce the rate limit of one target, in virtual
//! time, and the check of the requests that arrive at the target.

use deckwind_core::control::{
    LimitKey, LimitList, LimitReport, PermitAnswer, PermitRequest, PermitVerdict, TargetLimiter,
};
use deckwind_core::rate::Rate;
use deckwind_core::replication::Term;
use deckwind_core::routes::{Permit, TargetLimits};
use deckwind_core::state::Incarnation;
use deckwind_core::time::Instant;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Simulated time per step, ms.
const STEP_MS: u64 = 10;

/// Window over which arrivals are compared with the limit, ms.
const WINDOW_MS: u64 = 4_000;

/// Multiple of the rate limit that may arrive in a window, beside [`EXTRA_REQUESTS`].
const LIMIT_FACTOR: f64 = 1.5;

/// Requests that may arrive in a window beyond that.
const EXTRA_REQUESTS: f64 = 5.0;

/// Time from the first response that names a limit until the requests of a router count, ms.
const LIMIT_KNOWN_AFTER_MS: u64 = 500;

/// Time between two renewals of a router, ms.
const RENEWAL_INTERVAL_MS: u64 = 400;

/// Time after which an unanswered permit request is abandoned, ms.
const PERMIT_REQUEST_TIMEOUT_MS: u64 = 200;

pub fn target() -> LimitKey {
    LimitKey {
        address: ([10, 0, 0, 1], 80).into(),
        life: Incarnation::from("engine"),
    }
}

/// Limits that the target names, each from a time on; none for no limit.
type LimitChanges = [(u64, Option<u32>)];

/// Parameters of a simulation, and the faults in it.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub routers: usize,
    /// Limits that the target names: the time from which on, ms, and thousandths of a request
    /// per second.
    pub limit_changes: Vec<(u64, Option<u32>)>,
    /// Requests per second that each router has to send.
    pub demand_per_s: f64,
    /// Times of changes of the leader, ms.
    pub leader_changes_ms: Vec<u64>,
    /// Restarts: the router and the time, ms.
    pub restarts: Vec<(usize, u64)>,
    /// Partitions from the leader: the router, the beginning and the length, ms.
    pub partitions: Vec<(usize, u64, u64)>,
    /// Maximum delay of a message or an answer, ms.
    pub max_delay_ms: u64,
    /// Lost messages per 1,000.
    pub lost_per_mille: u32,
    pub duration_ms: u64,
    pub seed: u64,
}

impl Default for Schedule {
    fn default() -> Self {
        Self {
            routers: 9,
            limit_changes: vec![(3_000, Some(5_900))],
            demand_per_s: 6.0,
            leader_changes_ms: Vec::new(),
            restarts: Vec::new(),
            partitions: Vec::new(),
            max_delay_ms: 20,
            lost_per_mille: 0,
            duration_ms: 20_000,
            seed: 1,
        }
    }
}

struct Router {
    limits: TargetLimits,
    boot: u64,
    /// Clock drift, parts per 1,000; positive for a fast clock.
    clock_drift: i64,
    /// Number of requests that wait for a permit.
    waiting: u32,
    /// Time of the open permit request.
    permit_asked_ms: Option<u64>,
    permits: Vec<Permit>,
    next_renewal_ms: u64,
    /// Time when a response with a limit first reached this router process.
    limit_known_ms: Option<u64>,
}

impl Router {
    fn now(&self, ms: u64) -> Instant {
        let ms = ms as i64;
        let own = 1_000_000 + ms + ms * self.clock_drift / 1_000;
        Instant::from_millis(own as u64)
    }
}

/// Message in flight: the router, its boot number, and the contents. Messages between router
/// and leader carry the time of the request on the router's clock too.
enum Message {
    Renewal(usize, u64, Instant, LimitReport),
    AskPermits(usize, u64, Instant, PermitRequest),
    RenewalAnswered(usize, u64, Instant, Term, Option<LimitList>),
    PermitsAnswered(usize, u64, Instant, PermitAnswer),
    /// Response of the target: the limit that it names, and the permit of the request.
    TargetAnswered(usize, u64, Option<u32>, Option<Permit>),
}

/// Request that arrived at the target.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub ms: u64,
    /// Whether its router had known of a limit for [`LIMIT_KNOWN_AFTER_MS`].
    pub knew_limit: bool,
}

struct Simulation<'a> {
    schedule: &'a Schedule,
    rng: StdRng,
    routers: Vec<Router>,
    limiter: TargetLimiter,
    term: u64,
    in_flight: BTreeMap<(u64, u64), Message>,
    sequence: u64,
    arrivals: Vec<Arrival>,
}

pub fn leader_now(ms: u64) -> Instant {
    Instant::from_millis(5_000_000 + ms)
}

fn limit_at(limit_changes: &LimitChanges, ms: u64) -> Option<u32> {
    let last = limit_changes.iter().rev().find(|(from, _)| *from <= ms);
    last.and_then(|(_, limit)| *limit)
}

impl Simulation<'_> {
    fn send_lossy(&mut self, ms: u64, message: Message) {
        if self.rng.random_range(0..1_000) < self.schedule.lost_per_mille {
            return;
        }
        self.send_reliably(ms, message);
    }

    fn send_reliably(&mut self, ms: u64, message: Message) {
        let delay = self.rng.random_range(1..=self.schedule.max_delay_ms);
        self.sequence += 1;
        self.in_flight.insert((ms + delay, self.sequence), message);
    }

    fn is_partitioned(&self, router: usize, ms: u64) -> bool {
        let partitions = self.schedule.partitions.iter();
        let mut own = partitions.filter(|(r, _, _)| *r == router);
        own.any(|(_, from, length)| (*from..from + length).contains(&ms))
    }

    fn deliver(&mut self, ms: u64) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > ms {
                return;
            }
            let message = entry.remove();
            self.handle(ms, message);
        }
    }

    fn handle(&mut self, ms: u64, message: Message) {
        match message {
            Message::Renewal(router, boot, asked, report) => {
                for heard in &report.heard {
                    self.limiter.record_received_limit(leader_now(ms), heard);
                }
                let list = self.limiter.list_if_changed(leader_now(ms), report.known);
                let answer = Message::RenewalAnswered(router, boot, asked, Term(self.term), list);
                self.send_lossy(ms, answer);
            }
            Message::AskPermits(router, boot, asked, ask) => {
                let now = leader_now(ms);
                self.limiter.record_received_limit(now, &ask.heard);
                let answer = PermitAnswer {
                    verdicts: vec![self.limiter.permit(now, &ask)],
                    at: self.limiter.time(now),
                };
                self.send_lossy(ms, Message::PermitsAnswered(router, boot, asked, answer));
            }
            Message::RenewalAnswered(router, boot, asked, term, list) => {
                let r = &mut self.routers[router];
                if r.boot == boot {
                    let now = r.now(ms);
                    r.limits.apply_list(asked, now, term, list.as_ref());
                }
            }
            Message::PermitsAnswered(router, boot, asked, answer) => {
                let r = &mut self.routers[router];
                if r.boot == boot {
                    r.handle_permit_answer(ms, asked, &answer);
                }
            }
            Message::TargetAnswered(router, boot, limit, permit) => {
                let r = &mut self.routers[router];
                if r.boot == boot {
                    let now = r.now(ms);
                    let rate = limit.map(Rate::from_millis);
                    let permitted = permit.map(|p| p.issued);
                    r.limits.record_limit(now, &target(), rate, permitted);
                    if limit.is_some() {
                        r.limit_known_ms = r.limit_known_ms.or(Some(ms));
                    }
                }
            }
        }
    }

    fn step_router(&mut self, router: usize, ms: u64) {
        let per_step = self.schedule.demand_per_s * STEP_MS as f64 / 1e3;
        let wants = self.rng.random_bool(per_step.min(1.0));
        let is_partitioned = self.is_partitioned(router, ms);
        let r = &mut self.routers[router];
        let now = r.now(ms);
        if wants && !r.limits.is_limited(&target()) {
            self.send_request(router, ms, None);
        } else if wants {
            r.waiting += 1;
        }
        self.use_permits(router, ms);
        let r = &mut self.routers[router];
        if !r.limits.is_limited(&target()) {
            let waiting = std::mem::take(&mut r.waiting);
            (0..waiting).for_each(|_| self.send_request(router, ms, None));
        }
        let r = &mut self.routers[router];
        let boot = r.boot;
        let is_timed_out = r
            .permit_asked_ms
            .is_some_and(|at| at + PERMIT_REQUEST_TIMEOUT_MS <= ms);
        if is_timed_out {
            r.permit_asked_ms = None;
            r.waiting = 0;
        }
        if r.waiting > 0 && r.permit_asked_ms.is_none() && !r.is_denied(now) {
            let heard = r
                .limits
                .limit_report_for(now, &target())
                .expect("the target is limited");
            let wants = r.waiting;
            r.permit_asked_ms = Some(ms);
            if !is_partitioned {
                let ask = PermitRequest { heard, wants };
                self.send_lossy(ms, Message::AskPermits(router, boot, now, ask));
            }
        } else if r.permit_asked_ms.is_none() {
            // Other targets serve requests that were denied a permit.
            r.waiting = 0;
        }
        let r = &mut self.routers[router];
        if ms >= r.next_renewal_ms {
            r.next_renewal_ms = ms + RENEWAL_INTERVAL_MS;
            let report = r.limits.report(now);
            if !is_partitioned {
                self.send_lossy(ms, Message::Renewal(router, boot, now, report));
            }
        }
    }

    fn use_permits(&mut self, router: usize, ms: u64) {
        let r = &mut self.routers[router];
        let now = r.now(ms);
        r.permits.retain(|p| now < p.until);
        let (usable, later) = r.permits.iter().partition(|p| p.is_valid(now));
        r.permits = later;
        let usable: Vec<Permit> = usable;
        usable
            .into_iter()
            .for_each(|p| self.send_request(router, ms, Some(p)));
    }

    fn send_request(&mut self, router: usize, ms: u64, permit: Option<Permit>) {
        let r = &self.routers[router];
        let knew_limit = r
            .limit_known_ms
            .is_some_and(|at| at + LIMIT_KNOWN_AFTER_MS <= ms);
        self.arrivals.push(Arrival { ms, knew_limit });
        let limit = limit_at(&self.schedule.limit_changes, ms);
        let answer = Message::TargetAnswered(router, r.boot, limit, permit);
        self.send_reliably(ms, answer);
    }
}

impl Router {
    fn new(boot: u64, clock_drift: i64) -> Self {
        Self {
            limits: TargetLimits::default(),
            boot,
            clock_drift,
            waiting: 0,
            permit_asked_ms: None,
            permits: Vec::new(),
            next_renewal_ms: 0,
            limit_known_ms: None,
        }
    }

    fn is_denied(&self, now: Instant) -> bool {
        let instance =
            crate::support::announced_instances(&crate::support::engine_cards("a", 1, 0, 0));
        let mut instance = instance.into_iter().next().expect("an instance");
        instance.id = target().life.id;
        instance.address = target().address;
        instance.born = target().life.born;
        self.limits.denied_until(now, &instance).is_some()
    }

    fn handle_permit_answer(&mut self, ms: u64, asked: Instant, answer: &PermitAnswer) {
        let now = self.now(ms);
        self.permit_asked_ms = None;
        match &answer.verdicts[0] {
            PermitVerdict::Unlimited => {
                self.limits.remove_ended(asked, &target());
            }
            PermitVerdict::Permitted(waits) => {
                let permits = waits.iter();
                let permits = permits.map(|w| Permit::new(asked, now, *w, answer.at));
                self.permits.extend(permits);
                self.waiting = 0;
            }
            PermitVerdict::Denied(wait) => {
                self.limits.record_denial(now, &target(), *wait);
                self.waiting = 0;
            }
        }
    }
}

/// Runs the simulation and returns all requests that arrived at the target.
pub fn simulate(schedule: &Schedule) -> Vec<Arrival> {
    let mut sim = Simulation {
        schedule,
        rng: StdRng::seed_from_u64(schedule.seed),
        routers: Vec::new(),
        limiter: TargetLimiter::new(Term(1)),
        term: 1,
        in_flight: BTreeMap::new(),
        sequence: 0,
        arrivals: Vec::new(),
    };
    for _ in 0..schedule.routers {
        let clock_drift = sim.rng.random_range(-25..=25);
        sim.routers.push(Router::new(1, clock_drift));
    }
    for ms in (0..schedule.duration_ms).step_by(STEP_MS as usize) {
        let at = |when: &u64| *when / STEP_MS * STEP_MS == ms;
        if schedule.leader_changes_ms.iter().any(at) {
            sim.term += 1;
            sim.limiter = TargetLimiter::new(Term(sim.term));
        }
        for (router, _) in schedule.restarts.iter().filter(|(_, when)| at(when)) {
            let r = &mut sim.routers[router % schedule.routers];
            *r = Router::new(r.boot + 1, r.clock_drift);
        }
        sim.deliver(ms);
        (0..schedule.routers).for_each(|router| sim.step_router(router, ms));
        sim.limiter.forget(leader_now(ms));
    }
    sim.arrivals
}

/// Returns the number of requests allowed in a window that begins at `from`, or none if they
/// are unlimited. It follows from the highest limit in force in the window, or shortly enough
/// before it that routers may not have received the next limit yet.
fn allowed(schedule: &Schedule, from: u64) -> Option<f64> {
    let limit_changes = &schedule.limit_changes;
    limit_at(limit_changes, from)?;
    let propagation_ms = LIMIT_KNOWN_AFTER_MS + 2 * schedule.max_delay_ms;
    let since = from.saturating_sub(propagation_ms);
    let mut highest = limit_at(limit_changes, since)?;
    let in_force = |at: &u64| (since..from + WINDOW_MS).contains(at);
    for (_, limit) in limit_changes.iter().filter(|(at, _)| in_force(at)) {
        highest = highest.max((*limit)?);
    }
    let window_s = WINDOW_MS as f64 / 1e3;
    Some(LIMIT_FACTOR * f64::from(highest) / 1e3 * window_s + EXTRA_REQUESTS)
}

/// Fails with the first window in which more requests arrived than allowed.
pub fn check(schedule: &Schedule, arrivals: &[Arrival]) -> Result<(), String> {
    let counted: Vec<u64> = arrivals
        .iter()
        .filter(|c| c.knew_limit)
        .map(|c| c.ms)
        .collect();
    for (i, from) in counted.iter().enumerate() {
        let Some(allowed) = allowed(schedule, *from) else {
            continue;
        };
        let in_window = counted[i..].iter().take_while(|ms| **ms < from + WINDOW_MS);
        let count = in_window.count();
        if count as f64 > allowed {
            return Err(format!(
                "{count} requests from {from} ms on, allowed {allowed}: {schedule:?}"
            ));
        }
    }
    Ok(())
}

/// Returns the number of arrivals in a time range, ms.
pub fn count_between(arrivals: &[Arrival], from: u64, to: u64) -> usize {
    arrivals
        .iter()
        .filter(|c| (from..to).contains(&c.ms))
        .count()
}
