//! The shared retry budget over routers that start, stop and lose their leader, with delayed,
//! lost and duplicated messages and drifting clocks.

use crate::retry_rig::{Control, LIMITS, RESTARTED, USED_FRACTION};
use deckwind_core::control::RetryGrant;
use deckwind_core::routes::{RequestClass, RetryBudgets};
use deckwind_core::state::RouterProcess;
use deckwind_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use yare::parameterized;

/// Simulated time per step.
const STEP_MS: u64 = 50;

const LEASE: Duration = Duration::from_secs(2);

/// Length of a simulation.
const RUN_MS: u64 = 70_000;

const POOL: &str = "pool";

/// Time after which a router repeats an unanswered renewal.
const RENEWAL_TIMEOUT_MS: u64 = 700;

/// Time range in which a router is down, or partitioned from the leader.
#[derive(Clone, Copy, Debug)]
struct Outage {
    router: usize,
    from_ms: u64,
    duration_ms: u64,
    /// Whether the router keeps running, partitioned from the leader, with its state.
    is_partitioned: bool,
}

impl Outage {
    fn covers(&self, router: usize, ms: u64) -> bool {
        self.router == router && (self.from_ms..self.from_ms + self.duration_ms).contains(&ms)
    }
}

/// Retries that streams request of a router in a step.
#[derive(Clone, Copy, Debug, Default)]
enum Demand {
    /// As many as are available.
    #[default]
    All,
    /// A number by router and time, ms.
    PerRouter(fn(usize, u64) -> u64),
    /// None for some seconds, then as many as are available, so that routers hold granted
    /// retries for long.
    Bursts(u64),
}

impl Demand {
    fn at(self, router: usize, ms: u64) -> u64 {
        match self {
            Demand::All => u64::MAX,
            Demand::PerRouter(demand) => demand(router, ms),
            Demand::Bursts(seed) => {
                let burst_seed = seed ^ (router as u64) << 32 ^ (ms / 3_000);
                match StdRng::seed_from_u64(burst_seed).random_ratio(1, 3) {
                    true => u64::MAX,
                    false => 0,
                }
            }
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Schedule {
    routers: usize,
    outages: Vec<Outage>,
    /// Times of changes of the leader, each after a second without any leader.
    leader_changes_ms: Vec<u64>,
    demand: Demand,
    /// Maximum delay of a message, in steps. Unless it is 0, some messages are lost or
    /// duplicated, and clocks drift.
    max_delay: u64,
    seed: u64,
}

struct Router {
    holder: RouterProcess,
    budgets: RetryBudgets,
    /// Time of the unanswered renewal.
    pending_since_ms: Option<u64>,
    /// Clock drift, parts per 1,000; positive for a fast clock.
    clock_drift: i64,
}

impl Router {
    fn start(number: usize, boot: u64, clock_drift: i64) -> Self {
        Self {
            holder: RouterProcess {
                vm: format!("r{number}").as_str().into(),
                boot,
            },
            budgets: RetryBudgets::new(LIMITS, RESTARTED),
            pending_since_ms: None,
            clock_drift,
        }
    }

    fn now(&self, ms: u64) -> Instant {
        Instant::from_millis(((1_000 + ms) as i64 * (1_000 + self.clock_drift) / 1_000) as u64)
    }
}

/// Answer to a renewal, in flight.
struct Answer {
    at_ms: u64,
    router: usize,
    boot: u64,
    asked_ms: u64,
    asked: Instant,
    grants: Vec<RetryGrant>,
}

/// Times of the requests, and of the retries with their routers.
#[derive(Default)]
struct SentRequests {
    requests_ms: Vec<u64>,
    retries_ms: Vec<(usize, u64)>,
}

impl SentRequests {
    fn retries_between(&self, from: u64, until: u64) -> usize {
        let inside = |(_, ms): &&(usize, u64)| (from..until).contains(ms);
        self.retries_ms.iter().filter(inside).count()
    }
}

struct Simulation<'a> {
    schedule: &'a Schedule,
    rng: StdRng,
    routers: Vec<Router>,
    control: Control,
    answers: Vec<Answer>,
    sent: SentRequests,
    request: u64,
}

/// Runs a simulation. Each router renews every 400 ms, and sends as many retries as are
/// requested and granted.
fn simulate(schedule: &Schedule) -> SentRequests {
    let mut rng = StdRng::seed_from_u64(schedule.seed);
    let mut random_drift = || match schedule.max_delay {
        0 => 0,
        _ => rng.random_range(-24..=24),
    };
    let routers = (0..schedule.routers).map(|i| Router::start(i, 0, random_drift()));
    let routers = routers.collect();
    let mut sim = Simulation {
        schedule,
        rng,
        routers,
        control: Control::new(Instant::from_millis(1_000)),
        answers: Vec::new(),
        sent: SentRequests::default(),
        request: 0,
    };
    for ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        sim.step(ms);
    }
    sim.sent
}

impl Simulation<'_> {
    fn step(&mut self, ms: u64) {
        let now = Instant::from_millis(1_000 + ms);
        let leaders = &self.schedule.leader_changes_ms;
        if leaders.iter().any(|at| at / STEP_MS == ms / STEP_MS) {
            let commits = self.rng.random_ratio(1, 2);
            self.control.change_leader(now, commits);
        }
        let is_leaderless = |at: &u64| (at.saturating_sub(1_000)..*at).contains(&ms);
        let has_leader = !leaders.iter().any(is_leaderless);
        for i in 0..self.routers.len() {
            self.step_router(i, ms, has_leader);
        }
        if has_leader {
            self.control.commit_and_propose(now);
            for (router, asked_ms, asked, boot, grants) in self.control.answer_renewals(now, ms) {
                self.queue_answer(ms, router, boot, asked_ms, asked, &grants);
            }
        }
    }

    fn queue_answer(
        &mut self,
        ms: u64,
        router: usize,
        boot: u64,
        asked_ms: u64,
        asked: Instant,
        grants: &[RetryGrant],
    ) {
        let max_delay = self.schedule.max_delay;
        let copies = match max_delay {
            0 => 1,
            _ => self.rng.random_range(0..=2),
        };
        for copy in 0..copies {
            // A duplicate may be delayed 20 times as long.
            let max_steps = max_delay * if copy == 0 { 1 } else { 20 };
            let after = self.rng.random_range(0..=max_steps) * STEP_MS;
            self.answers.push(Answer {
                at_ms: ms + after,
                router,
                boot,
                asked_ms,
                asked,
                grants: grants.to_vec(),
            });
        }
    }

    fn step_router(&mut self, i: usize, ms: u64, has_leader: bool) {
        let outage = self.schedule.outages.iter().find(|o| o.covers(i, ms));
        let outage = outage.copied();
        let router = &mut self.routers[i];
        if outage.is_some_and(|o| !o.is_partitioned) {
            *router = Router::start(i, ms, router.clock_drift);
            return;
        }
        let (due, later) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|a: &Answer| a.router == i && a.at_ms <= ms);
        self.answers = later;
        let due: Vec<Answer> = due;
        for answer in due.iter().filter(|a| a.boot == router.holder.boot) {
            router
                .budgets
                .apply_grants(answer.asked, LEASE, &answer.grants);
            router.pending_since_ms = router.pending_since_ms.filter(|at| *at != answer.asked_ms);
        }
        let now = router.now(ms);
        if ms.is_multiple_of(1_000) {
            router.budgets.of_pool(POOL).record_request(now);
            self.sent.requests_ms.push(ms);
        }
        let demand = self.schedule.demand.at(i, ms);
        for _ in 0..demand {
            self.request += 1;
            let budget = router.budgets.of_pool(POOL);
            if budget
                .spend(now, RequestClass::Begun, self.request)
                .is_none()
            {
                break;
            }
            self.sent.retries_ms.push((i, ms));
        }
        if outage.is_some() || !has_leader {
            return;
        }
        let report = router
            .budgets
            .report(now)
            .expect("the limits allow retries");
        let holder = router.holder.clone();
        if router.budgets.needs_more(now) {
            self.control
                .report_shortage(Instant::from_millis(1_000 + ms), &holder, &report);
        }
        if router
            .pending_since_ms
            .is_none_or(|at| at + RENEWAL_TIMEOUT_MS <= ms)
        {
            router.pending_since_ms = Some(ms);
            self.control.renew(
                Instant::from_millis(1_000 + ms),
                i,
                ms,
                now,
                &holder,
                &report,
            );
        }
    }
}

/// Checks the bound in each window. Nothing is sent late in the simulation, so that even the
/// used fraction of the budget is never exceeded.
fn check(sent: &SentRequests) -> Result<(), String> {
    for start in (0..RUN_MS - 10_000).step_by(100) {
        let window = start..start + 10_000;
        let requests = sent.requests_ms.iter().filter(|t| window.contains(t));
        let limit = LIMITS.share * requests.count() as f64 + USED_FRACTION * LIMITS.extra;
        let retries = sent.retries_between(window.start, window.end);
        if retries as f64 > limit {
            return Err(format!(
                "{retries} retries from {start} ms on, {limit} allowed"
            ));
        }
    }
    Ok(())
}

/// Returns a schedule in which all routers stop at the same times, optionally with a change of
/// leader.
fn restart_all(at_ms: &[u64], with_leader: bool) -> Schedule {
    let outage = |router: usize| {
        at_ms.iter().map(move |at| Outage {
            router,
            from_ms: *at,
            duration_ms: 1_200,
            is_partitioned: false,
        })
    };
    Schedule {
        routers: 6,
        outages: (0..6).flat_map(outage).collect(),
        leader_changes_ms: match with_leader {
            true => at_ms.iter().map(|at| at + 2_000).collect(),
            false => Vec::new(),
        },
        ..Schedule::default()
    }
}

#[parameterized(
    once = { &[34_000], false },
    with_the_leader = { &[34_000], true },
    twice_in_a_window = { &[30_000, 34_000], true },
    again_and_again = { &[20_000, 24_000, 28_000, 32_000, 36_000], true },
)]
fn the_bound_on_repeats_holds_when_all_restart_at_once(at_ms: &[u64], with_leader: bool) {
    let sent = simulate(&restart_all(at_ms, with_leader));
    assert_eq!(check(&sent), Ok(()));
}

#[test]
fn calm_routers_use_most_of_the_bound() {
    let sent = simulate(&Schedule {
        routers: 6,
        ..Schedule::default()
    });
    assert_eq!(check(&sent), Ok(()));
    let late = sent.retries_between(60_000, RUN_MS);
    assert!(late >= 140, "{late} of 200 and a share of 60 requests");
}

#[test]
fn another_leader_does_not_take_the_bound_from_routers_that_go_on() {
    let sent = simulate(&Schedule {
        routers: 6,
        leader_changes_ms: vec![55_000],
        ..Schedule::default()
    });
    assert_eq!(check(&sent), Ok(()));
    let after = sent.retries_between(58_000, RUN_MS);
    assert!(after >= 100, "{after} of 200 and a share of 60 requests");
}

/// One router loses a chain of engines while the others need no retries. It gets at least half
/// of what all routers together may use within a second.
#[test]
fn a_burst_at_one_router_uses_what_the_others_do_not_need() {
    let sent = simulate(&Schedule {
        routers: 60,
        demand: Demand::PerRouter(|router, ms| {
            match router == 7 && (40_000..41_000).contains(&ms) {
                true => 8,
                false => 0,
            }
        }),
        ..Schedule::default()
    });
    assert_eq!(check(&sent), Ok(()));
    let used = sent.retries_between(40_000, 41_000) as u64;
    let all = (USED_FRACTION * LIMITS.extra) as u64;
    assert!(used * 10 >= all * 5, "{used} of {all}");
}

/// Half of the routers are partitioned while they hold retries, and request them only long
/// after these have expired. The others use all available retries by then.
#[test]
fn what_a_cut_off_router_holds_is_not_used_after_its_time() {
    let outage = |router| Outage {
        router,
        from_ms: 20_000,
        duration_ms: 40_000,
        is_partitioned: true,
    };
    let sent = simulate(&Schedule {
        routers: 6,
        outages: (0..3).map(outage).collect(),
        demand: Demand::PerRouter(|router, ms| match (router < 3, ms) {
            (true, 40_000..) => 100,
            (false, 34_000..) => 100,
            _ => 0,
        }),
        ..Schedule::default()
    });
    assert_eq!(check(&sent), Ok(()));
    let late = sent.retries_ms.iter().filter(|(router, _)| *router < 3);
    // One for each router, from the share of its own ten requests.
    assert_eq!(late.filter(|(_, ms)| *ms < 41_000).count(), 3);
}

/// All routers and the leader stop at once after a calm time. Restarted routers have retries as
/// soon as there is a leader.
#[test]
fn repeats_are_there_at_once_after_a_full_stop() {
    let sent = simulate(&Schedule {
        demand: Demand::PerRouter(|_, ms| u64::from(ms >= 36_000)),
        ..restart_all(&[34_000], true)
    });
    assert_eq!(check(&sent), Ok(()));
    let used = sent.retries_between(36_000, 38_000) as u64;
    let all = (USED_FRACTION * LIMITS.extra) as u64;
    assert!(used * 10 >= all * 5, "{used} of {all}");
}

fn outages() -> impl Strategy<Value = Vec<Outage>> {
    let one = (0..9usize, 0..60_000u64, 100..20_000u64, any::<bool>());
    let outage = one.prop_map(|(router, from_ms, duration_ms, is_partitioned)| Outage {
        router,
        from_ms,
        duration_ms,
        is_partitioned,
    });
    prop::collection::vec(outage, 0..16)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_bound_on_repeats_holds_over_any_restarts_cuts_and_leaders(
        routers in 1..9usize,
        outages in outages(),
        leader_changes_ms in prop::collection::vec(1_000..60_000u64, 0..5),
        max_delay in 0..12u64,
        seed in any::<u64>(),
        bursts in any::<bool>(),
    ) {
        let demand = if bursts { Demand::Bursts(seed) } else { Demand::All };
        let schedule = Schedule { routers, outages, leader_changes_ms, max_delay, seed, demand };
        let sent = simulate(&schedule);
        prop_assert_eq!(check(&sent), Ok(()));
    }
}
