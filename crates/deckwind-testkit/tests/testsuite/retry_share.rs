//! The share of its own requests that each router may retry: all routers together must keep
//! to it, also when processes restart and callers move to other routers. Virtual time.

use crate::retry_rig::{Control, LIMITS};
use deckwind_core::routes::{ProcessStart, RequestClass, RetryBudgets};
use deckwind_core::state::RouterProcess;
use deckwind_core::time::Instant;
use yare::parameterized;

const ROUTERS: usize = 12;

/// Time between two requests.
const REQUEST_INTERVAL_MS: u64 = 3;

/// Time between two renewals of a router.
const RENEWAL_INTERVAL_MS: u64 = 400;

/// Time in which all routers want more retries than are available, except for its second
/// second.
const DEMAND_MS: [u64; 2] = [40_000, 52_000];

/// Time of the disturbance, at the beginning of that second.
const DISTURBANCE_MS: u64 = 41_000;

/// Disturbance of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    Calm,
    /// This number of routers is killed and restarts at once.
    Restart(usize),
    /// The callers of this number of routers move to the others.
    MoveCallers(usize),
    /// This number of routers is killed and does not restart: their callers move to the others.
    Stop(usize),
}

/// Times of the requests and retries of a run.
struct SimulationResult {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

/// Guards against a fault of routers that kept the share of their own requests without
/// regard to others: a restarted process, and routers to which callers had moved, spent
/// again what had just been spent, and all together exceeded the bound.
#[parameterized(
    calm = { Disturbance::Calm },
    all_start_again = { Disturbance::Restart(ROUTERS) },
    half_start_again = { Disturbance::Restart(ROUTERS / 2) },
    callers_of_half_move = { Disturbance::MoveCallers(ROUTERS / 2) },
    half_stay_away = { Disturbance::Stop(ROUTERS / 2) },
)]
fn all_routers_together_keep_the_share(disturbance: Disturbance) {
    let result = simulate(disturbance);
    let window = LIMITS.window.as_millis() as u64;
    for until in (window..DEMAND_MS[1] + window).step_by(50) {
        let from = until - window;
        let retries = count_within(&result.retries, from, until);
        // The bound counts requests of this window, the one before, or half of each.
        let requests = [0, window / 2, window].map(|back| {
            let from = from.saturating_sub(back);
            count_within(&result.requests, from, until.saturating_sub(back))
        });
        let requests = requests.into_iter().max().unwrap_or_default();
        let allowed = LIMITS.share * requests as f64 + LIMITS.extra;
        assert!(
            retries as f64 <= allowed,
            "{retries} retries until {until} ms, {allowed} allowed"
        );
    }
    let used = count_within(&result.retries, DEMAND_MS[0], DEMAND_MS[0] + 1_000);
    let share = 0.7 * LIMITS.share * (window / REQUEST_INTERVAL_MS) as f64;
    assert!(used as f64 > share, "{used} retries used");
}

fn count_within(times: &[u64], from: u64, until: u64) -> usize {
    times.iter().filter(|t| **t >= from && **t < until).count()
}

fn simulate(disturbance: Disturbance) -> SimulationResult {
    let at = |ms: u64| Instant::from_millis(1_000 + ms);
    let mut control = Control::new(at(0));
    let first = ProcessStart {
        at: at(0),
        first: true,
    };
    let mut routers: Vec<_> = (0..ROUTERS)
        .map(|_| (RetryBudgets::new(LIMITS, first), 0))
        .collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for ms in 0..DEMAND_MS[1] {
        let is_disturbed = ms >= DISTURBANCE_MS;
        if ms == DISTURBANCE_MS
            && let Disturbance::Restart(count) = disturbance
        {
            let started = ProcessStart {
                at: at(ms),
                first: false,
            };
            let restarted_budgets = || (RetryBudgets::new(LIMITS, started), 1);
            routers[..count].fill_with(restarted_budgets);
        }
        let stopped = match disturbance {
            Disturbance::Stop(count) if is_disturbed => count,
            _ => 0,
        };
        for (i, (budgets, boot)) in routers.iter_mut().enumerate().skip(stopped) {
            if (ms + i as u64 * 30).is_multiple_of(RENEWAL_INTERVAL_MS) {
                control.request_retries(at(ms), &holder(i, *boot), budgets);
            }
        }
        if ms.is_multiple_of(REQUEST_INTERVAL_MS) {
            let caller = (ms / REQUEST_INTERVAL_MS) as usize;
            let router = match disturbance {
                Disturbance::MoveCallers(count) | Disturbance::Stop(count) if is_disturbed => {
                    count + caller % (ROUTERS - count)
                }
                _ => caller % ROUTERS,
            };
            routers[router].0.of_pool("pool").record_request(at(ms));
            requests.push(ms);
        }
        let has_demand = (DEMAND_MS[0]..DEMAND_MS[1]).contains(&ms);
        if has_demand && !(DEMAND_MS[0] + 1_000..DEMAND_MS[0] + 2_000).contains(&ms) {
            for (i, (budgets, _)) in routers.iter_mut().enumerate().skip(stopped) {
                let budget = budgets.of_pool("pool");
                let spent = budget.spend(at(ms), RequestClass::Begun, ms * 100 + i as u64);
                retries.extend(spent.map(|_| ms));
            }
        }
    }
    SimulationResult { requests, retries }
}

fn holder(vm: usize, boot: u64) -> RouterProcess {
    RouterProcess {
        vm: format!("r{vm}").as_str().into(),
        boot,
    }
}
