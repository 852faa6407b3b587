//! The bound on repeats over routers that start, stop, and lose their leader.

use deckwind_core::membership::RecentRouters;
use deckwind_core::routes::{RepeatBudget, RepeatLimits, RouterCount};
use deckwind_core::state::Holder;
use deckwind_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use yare::parameterized;

const LIMITS: RepeatLimits = RepeatLimits {
    share: 0.2,
    beyond: 200.0,
    window: Duration::from_secs(10),
};
const STEP_MS: u64 = 50;
const LEASE_MS: u64 = 2_800;
const RUN_MS: u64 = 70_000;

/// A router is down, or cut off from the leader, from one moment to another.
#[derive(Clone, Copy, Debug)]
struct Outage {
    router: usize,
    from_ms: u64,
    for_ms: u64,
    /// It runs on without a leader, until its lease ends, and forgets nothing.
    cut_off: bool,
}

impl Outage {
    fn covers(&self, router: usize, ms: u64) -> bool {
        self.router == router && (self.from_ms..self.from_ms + self.for_ms).contains(&ms)
    }
}

#[derive(Clone, Debug, Default)]
struct Schedule {
    routers: usize,
    outages: Vec<Outage>,
    /// When another leader takes over, after a second without any.
    leaders_ms: Vec<u64>,
}

struct Router {
    holder: Holder,
    budget: RepeatBudget,
    count: RouterCount,
    renewed_ms: Option<u64>,
}

impl Router {
    fn start(number: usize, boot: u64) -> Self {
        Self {
            holder: Holder {
                vm: format!("r{number}").as_str().into(),
                boot,
            },
            budget: RepeatBudget::new(LIMITS),
            count: RouterCount::new(LIMITS.window),
            renewed_ms: None,
        }
    }

    fn has_lease(&self, ms: u64) -> bool {
        self.renewed_ms.is_some_and(|at| ms < at + LEASE_MS)
    }
}

#[derive(Default)]
struct Sent {
    requests_ms: Vec<u64>,
    repeats_ms: Vec<u64>,
}

/// Every router renews each 400 ms, and sends as many repeats as it may.
fn play(schedule: &Schedule) -> Sent {
    let mut sent = Sent::default();
    let mut routers: Vec<Router> = (0..schedule.routers).map(|i| Router::start(i, 0)).collect();
    let mut recent = RecentRouters::new(Instant::ZERO);
    for ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        let now = Instant::from_millis(ms);
        if schedule
            .leaders_ms
            .iter()
            .any(|at| at / STEP_MS == ms / STEP_MS)
        {
            recent = RecentRouters::new(now);
        }
        let no_leader = schedule
            .leaders_ms
            .iter()
            .any(|at| (at.saturating_sub(1_000)..*at).contains(&ms));
        for (i, router) in routers.iter_mut().enumerate() {
            let outage = schedule.outages.iter().find(|o| o.covers(i, ms));
            if outage.is_some_and(|o| !o.cut_off) {
                *router = Router::start(i, ms);
                continue;
            }
            let due = (ms / STEP_MS + i as u64).is_multiple_of(8);
            if due && outage.is_none() && !no_leader {
                recent.renewed(now, &router.holder);
                router.count.told(now, recent.lately(now));
                router.renewed_ms = Some(ms);
            }
            if !router.has_lease(ms) {
                continue;
            }
            if ms % 1_000 == 0 {
                router.budget.requested(now);
                sent.requests_ms.push(ms);
            }
            while router.budget.spend(now, router.count.sharers(now)) {
                sent.repeats_ms.push(ms);
            }
        }
    }
    sent
}

fn check(sent: &Sent) -> Result<(), String> {
    for start in (0..RUN_MS - 10_000).step_by(100) {
        let inside = |list: &[u64]| {
            let window = start..start + 10_000;
            list.iter().filter(|t| window.contains(t)).count() as f64
        };
        let most = LIMITS.share * inside(&sent.requests_ms) + LIMITS.beyond;
        let repeats = inside(&sent.repeats_ms);
        if repeats > most {
            return Err(format!(
                "{repeats} repeats from {start} ms on, {most} allowed"
            ));
        }
    }
    Ok(())
}

/// All stop at the same moment, and their leader with them.
fn herd(at_ms: &[u64], leader: bool) -> Schedule {
    let outage = |router: usize| {
        at_ms.iter().map(move |at| Outage {
            router,
            from_ms: *at,
            for_ms: 1_200,
            cut_off: false,
        })
    };
    Schedule {
        routers: 6,
        outages: (0..6).flat_map(outage).collect(),
        leaders_ms: match leader {
            true => at_ms.iter().map(|at| at + 2_000).collect(),
            false => Vec::new(),
        },
    }
}

#[parameterized(
    once = { &[34_000], false },
    with_the_leader = { &[34_000], true },
    twice_in_a_window = { &[30_000, 34_000], true },
    again_and_again = { &[20_000, 24_000, 28_000, 32_000, 36_000], true },
)]
fn the_bound_on_repeats_holds_when_all_restart_at_once(at_ms: &[u64], leader: bool) {
    let sent = play(&herd(at_ms, leader));
    assert_eq!(check(&sent), Ok(()));
}

#[test]
fn calm_routers_use_most_of_the_bound() {
    let sent = play(&Schedule {
        routers: 6,
        ..Schedule::default()
    });
    assert_eq!(check(&sent), Ok(()));
    let late = sent.repeats_ms.iter().filter(|ms| **ms >= 60_000);
    assert!(late.count() >= 140, "of 200 and a share of 60 requests");
}

#[test]
fn another_leader_does_not_take_the_bound_from_routers_that_go_on() {
    let sent = play(&Schedule {
        routers: 6,
        leaders_ms: vec![55_000],
        ..Schedule::default()
    });
    assert_eq!(check(&sent), Ok(()));
    let after = sent.repeats_ms.iter().filter(|ms| **ms >= 58_000);
    assert!(after.count() >= 100, "of 200 and a share of 60 requests");
}

fn outages() -> impl Strategy<Value = Vec<Outage>> {
    let one = (0..9usize, 0..60_000u64, 100..20_000u64, any::<bool>());
    let outage = one.prop_map(|(router, from_ms, for_ms, cut_off)| Outage {
        router,
        from_ms,
        for_ms,
        cut_off,
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
        leaders_ms in prop::collection::vec(1_000..60_000u64, 0..5),
    ) {
        let sent = play(&Schedule { routers, outages, leaders_ms });
        prop_assert_eq!(check(&sent), Ok(()));
    }
}
