//! The bound on repeats over routers that start, stop, and lose their leader, with
//! messages that are late, lost and doubled, and clocks that run apart.

use crate::repeat_rig::{Control, LIMITS, STARTED, USED};
use deckwind_core::control::RepeatGrant;
use deckwind_core::routes::{Claim, RepeatBudgets};
use deckwind_core::state::Holder;
use deckwind_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use yare::parameterized;

const STEP_MS: u64 = 50;
const LEASE: Duration = Duration::from_secs(2);
const RUN_MS: u64 = 70_000;
const POOL: &str = "pool";

/// A router that was not answered for this long asks again.
const ASK_AGAIN_MS: u64 = 700;

/// A router is down, or cut off from the leader, from one moment to another.
#[derive(Clone, Copy, Debug)]
struct Outage {
    router: usize,
    from_ms: u64,
    for_ms: u64,
    /// It runs on without a leader, and forgets nothing.
    cut_off: bool,
}

impl Outage {
    fn covers(&self, router: usize, ms: u64) -> bool {
        self.router == router && (self.from_ms..self.from_ms + self.for_ms).contains(&ms)
    }
}

/// Repeats that streams want of a router in a step.
#[derive(Clone, Copy, Debug, Default)]
enum Wants {
    /// All that there are.
    #[default]
    All,
    /// By router and time.
    By(fn(usize, u64) -> u64),
    /// Nothing for some seconds, then all that there are: routers hold some for long.
    Bursts(u64),
}

impl Wants {
    fn of(self, router: usize, ms: u64) -> u64 {
        match self {
            Wants::All => u64::MAX,
            Wants::By(wants) => wants(router, ms),
            Wants::Bursts(seed) => {
                let part = seed ^ (router as u64) << 32 ^ (ms / 3_000);
                match StdRng::seed_from_u64(part).random_ratio(1, 3) {
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
    /// When another leader takes over, after a second without any.
    leaders_ms: Vec<u64>,
    wants: Wants,
    /// Longest delay of a message, in steps; more than none loses and doubles some.
    delay: u64,
    seed: u64,
}

struct Router {
    holder: Holder,
    budgets: RepeatBudgets,
    /// When its open question was asked.
    open_ms: Option<u64>,
    /// Its clock runs so much faster, parts in 1,000.
    fast: i64,
}

impl Router {
    fn start(number: usize, boot: u64, fast: i64) -> Self {
        Self {
            holder: Holder {
                vm: format!("r{number}").as_str().into(),
                boot,
            },
            budgets: RepeatBudgets::new(LIMITS, STARTED),
            open_ms: None,
            fast,
        }
    }

    fn now(&self, ms: u64) -> Instant {
        Instant::from_millis(((1_000 + ms) as i64 * (1_000 + self.fast) / 1_000) as u64)
    }
}

struct Answer {
    at_ms: u64,
    router: usize,
    boot: u64,
    asked_ms: u64,
    asked: Instant,
    grants: Vec<RepeatGrant>,
}

#[derive(Default)]
struct Sent {
    requests_ms: Vec<u64>,
    repeats_ms: Vec<(usize, u64)>,
}

impl Sent {
    fn between(&self, from: u64, until: u64) -> usize {
        let inside = |(_, ms): &&(usize, u64)| (from..until).contains(ms);
        self.repeats_ms.iter().filter(inside).count()
    }
}

struct Play<'a> {
    schedule: &'a Schedule,
    rng: StdRng,
    routers: Vec<Router>,
    control: Control,
    answers: Vec<Answer>,
    sent: Sent,
    request: u64,
}

/// Every router asks each 400 ms, and sends as many repeats as it wants and may.
fn play(schedule: &Schedule) -> Sent {
    let mut rng = StdRng::seed_from_u64(schedule.seed);
    let mut fast = || match schedule.delay {
        0 => 0,
        _ => rng.random_range(-24..=24),
    };
    let routers = (0..schedule.routers).map(|i| Router::start(i, 0, fast()));
    let routers = routers.collect();
    let mut play = Play {
        schedule,
        rng,
        routers,
        control: Control::new(Instant::from_millis(1_000)),
        answers: Vec::new(),
        sent: Sent::default(),
        request: 0,
    };
    for ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        play.step(ms);
    }
    play.sent
}

impl Play<'_> {
    fn step(&mut self, ms: u64) {
        let now = Instant::from_millis(1_000 + ms);
        let leaders = &self.schedule.leaders_ms;
        if leaders.iter().any(|at| at / STEP_MS == ms / STEP_MS) {
            let commits = self.rng.random_ratio(1, 2);
            self.control.lead_anew(now, commits);
        }
        let away = |at: &u64| (at.saturating_sub(1_000)..*at).contains(&ms);
        let led = !leaders.iter().any(away);
        for i in 0..self.routers.len() {
            self.step_router(i, ms, led);
        }
        if led {
            self.control.agree(now);
            for (router, asked_ms, asked, boot, grants) in self.control.answer(now, ms) {
                self.fly(ms, router, boot, asked_ms, asked, &grants);
            }
        }
    }

    fn fly(
        &mut self,
        ms: u64,
        router: usize,
        boot: u64,
        asked_ms: u64,
        asked: Instant,
        grants: &[RepeatGrant],
    ) {
        let delay = self.schedule.delay;
        let copies = match delay {
            0 => 1,
            _ => self.rng.random_range(0..=2),
        };
        for copy in 0..copies {
            // A copy may come very late.
            let most = delay * if copy == 0 { 1 } else { 20 };
            let after = self.rng.random_range(0..=most) * STEP_MS;
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

    fn step_router(&mut self, i: usize, ms: u64, led: bool) {
        let outage = self.schedule.outages.iter().find(|o| o.covers(i, ms));
        let outage = outage.copied();
        let router = &mut self.routers[i];
        if outage.is_some_and(|o| !o.cut_off) {
            *router = Router::start(i, ms, router.fast);
            return;
        }
        let (taken, later) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|a: &Answer| a.router == i && a.at_ms <= ms);
        self.answers = later;
        let taken: Vec<Answer> = taken;
        for answer in taken.iter().filter(|a| a.boot == router.holder.boot) {
            router.budgets.told(answer.asked, LEASE, &answer.grants);
            router.open_ms = router.open_ms.filter(|at| *at != answer.asked_ms);
        }
        let now = router.now(ms);
        if ms.is_multiple_of(1_000) {
            router.budgets.of_pool(POOL).requested(now);
            self.sent.requests_ms.push(ms);
        }
        let wants = self.schedule.wants.of(i, ms);
        for _ in 0..wants {
            self.request += 1;
            let budget = router.budgets.of_pool(POOL);
            if budget.spend(now, Claim::Begun, self.request).is_none() {
                break;
            }
            self.sent.repeats_ms.push((i, ms));
        }
        if outage.is_some() || !led {
            return;
        }
        let report = router.budgets.report(now).expect("some are allowed");
        let holder = router.holder.clone();
        if router.budgets.runs_short(now) {
            self.control
                .short(Instant::from_millis(1_000 + ms), &holder, &report);
        }
        if router.open_ms.is_none_or(|at| at + ASK_AGAIN_MS <= ms) {
            router.open_ms = Some(ms);
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

/// Nothing is sent late here, so that the part that is used is never passed.
fn check(sent: &Sent) -> Result<(), String> {
    for start in (0..RUN_MS - 10_000).step_by(100) {
        let window = start..start + 10_000;
        let requests = sent.requests_ms.iter().filter(|t| window.contains(t));
        let most = LIMITS.share * requests.count() as f64 + USED * LIMITS.beyond;
        let repeats = sent.between(window.start, window.end);
        if repeats as f64 > most {
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
        ..Schedule::default()
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
    let late = sent.between(60_000, RUN_MS);
    assert!(late >= 140, "{late} of 200 and a share of 60 requests");
}

#[test]
fn another_leader_does_not_take_the_bound_from_routers_that_go_on() {
    let sent = play(&Schedule {
        routers: 6,
        leaders_ms: vec![55_000],
        ..Schedule::default()
    });
    assert_eq!(check(&sent), Ok(()));
    let after = sent.between(58_000, RUN_MS);
    assert!(after >= 100, "{after} of 200 and a share of 60 requests");
}

/// A chain is lost at one router, the others need nothing: it gets nearly all that
/// all together may use within a second.
#[test]
fn a_burst_at_one_router_uses_what_the_others_do_not_need() {
    let sent = play(&Schedule {
        routers: 60,
        wants: Wants::By(
            |router, ms| match router == 7 && (40_000..41_000).contains(&ms) {
                true => 8,
                false => 0,
            },
        ),
        ..Schedule::default()
    });
    assert_eq!(check(&sent), Ok(()));
    let used = sent.between(40_000, 41_000) as u64;
    let all = (USED * LIMITS.beyond) as u64;
    assert!(used * 10 >= all * 5, "{used} of {all}");
}

/// Half of the routers are cut off with repeats in hand, and want them only long after
/// their time; the others want all that there are by then.
#[test]
fn what_a_cut_off_router_holds_is_not_used_after_its_time() {
    let outage = |router| Outage {
        router,
        from_ms: 20_000,
        for_ms: 40_000,
        cut_off: true,
    };
    let sent = play(&Schedule {
        routers: 6,
        outages: (0..3).map(outage).collect(),
        wants: Wants::By(|router, ms| match (router < 3, ms) {
            (true, 40_000..) => 100,
            (false, 34_000..) => 100,
            _ => 0,
        }),
        ..Schedule::default()
    });
    assert_eq!(check(&sent), Ok(()));
    let late = sent.repeats_ms.iter().filter(|(router, _)| *router < 3);
    // One each, of the share of ten requests of its own.
    assert_eq!(late.filter(|(_, ms)| *ms < 41_000).count(), 3);
}

/// Everything stops at once after a calm time. Those who start again have repeats
/// as soon as they are led.
#[test]
fn repeats_are_there_at_once_after_a_full_stop() {
    let sent = play(&Schedule {
        wants: Wants::By(|_, ms| u64::from(ms >= 36_000)),
        ..herd(&[34_000], true)
    });
    assert_eq!(check(&sent), Ok(()));
    let used = sent.between(36_000, 38_000) as u64;
    let all = (USED * LIMITS.beyond) as u64;
    assert!(used * 10 >= all * 5, "{used} of {all}");
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
        delay in 0..12u64,
        seed in any::<u64>(),
        bursts in any::<bool>(),
    ) {
        let wants = if bursts { Wants::Bursts(seed) } else { Wants::All };
        let schedule = Schedule { routers, outages, leaders_ms, delay, seed, wants };
        let sent = play(&schedule);
        prop_assert_eq!(check(&sent), Ok(()));
    }
}
