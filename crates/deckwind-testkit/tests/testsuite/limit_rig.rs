//! Routers and a leader that keep the limit of one target, in virtual time, and the
//! check of what came to it.

use deckwind_core::control::{
    LimitDesk, LimitKey, LimitList, LimitReport, PermitAnswer, PermitAsk, PermitVerdict,
};
use deckwind_core::rate::Rate;
use deckwind_core::replication::Term;
use deckwind_core::routes::{Permit, TargetLimits};
use deckwind_core::state::Life;
use deckwind_core::time::Instant;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

const STEP_MS: u64 = 10;

/// Span over which a limit is counted, ms.
const SPAN_MS: u64 = 4_000;

/// Of what a limit allows in a span so much may come, and [`MORE`] requests.
const PART: f64 = 1.5;
const MORE: f64 = 5.0;

/// A router is told by an answer this long before what it sends counts, ms.
const TOLD_MS: u64 = 500;

/// Between two renewals of a router, ms.
const RENEW_MS: u64 = 400;

/// A message of permits that was not answered for so long is given up, ms.
const GIVEN_UP_MS: u64 = 200;

pub fn target() -> LimitKey {
    LimitKey {
        address: ([10, 0, 0, 1], 80).into(),
        life: Life::from("engine"),
    }
}

/// The limit that the target names, from a moment on; nothing for none.
type Named = [(u64, Option<u32>)];

#[derive(Clone, Debug)]
pub struct Schedule {
    pub routers: usize,
    /// From when on the target names what, thousandths a second.
    pub named: Vec<(u64, Option<u32>)>,
    /// Requests a second that each router wants to send.
    pub wants_per_s: f64,
    /// When another leader takes over.
    pub leaders_ms: Vec<u64>,
    /// A router is started again then.
    pub restarts: Vec<(usize, u64)>,
    /// A router has no contact to the leader, from and for how long.
    pub cuts: Vec<(usize, u64, u64)>,
    /// Longest time of a message or an answer, ms.
    pub delay_ms: u64,
    /// Messages lost, of 1,000.
    pub lost: u32,
    pub run_ms: u64,
    pub seed: u64,
}

impl Default for Schedule {
    fn default() -> Self {
        Self {
            routers: 9,
            named: vec![(3_000, Some(5_900))],
            wants_per_s: 6.0,
            leaders_ms: Vec::new(),
            restarts: Vec::new(),
            cuts: Vec::new(),
            delay_ms: 20,
            lost: 0,
            run_ms: 20_000,
            seed: 1,
        }
    }
}

struct Router {
    limits: TargetLimits,
    boot: u64,
    /// Its clock runs so much faster, parts in 1,000.
    fast: i64,
    /// Requests that wait for a permit.
    waiting: u32,
    asked_ms: Option<u64>,
    permits: Vec<Permit>,
    renew_ms: u64,
    /// When an answer with a limit first reached this start.
    told_ms: Option<u64>,
}

impl Router {
    fn now(&self, ms: u64) -> Instant {
        let ms = ms as i64;
        let own = 1_000_000 + ms + ms * self.fast / 1_000;
        Instant::from_millis(own as u64)
    }
}

enum Message {
    Renewal(usize, u64, Instant, LimitReport),
    Ask(usize, u64, Instant, PermitAsk),
    Told(usize, u64, Instant, Term, Option<LimitList>),
    Answer(usize, u64, Instant, PermitAnswer),
    /// An answer of the target: what it names, and the permit that it was sent with.
    Served(usize, u64, Option<u32>, Option<Permit>),
}

/// What came to the target: when, and from which routers that had been told.
#[derive(Clone, Debug)]
pub struct Came {
    pub ms: u64,
    pub told: bool,
}

struct Play<'a> {
    schedule: &'a Schedule,
    rng: StdRng,
    routers: Vec<Router>,
    desk: LimitDesk,
    term: u64,
    flying: BTreeMap<(u64, u64), Message>,
    sequence: u64,
    came: Vec<Came>,
}

pub fn leader_now(ms: u64) -> Instant {
    Instant::from_millis(5_000_000 + ms)
}

fn named_at(named: &Named, ms: u64) -> Option<u32> {
    let last = named.iter().rev().find(|(from, _)| *from <= ms);
    last.and_then(|(_, limit)| *limit)
}

impl Play<'_> {
    fn put(&mut self, ms: u64, message: Message) {
        if self.rng.random_range(0..1_000) < self.schedule.lost {
            return;
        }
        self.put_sure(ms, message);
    }

    fn put_sure(&mut self, ms: u64, message: Message) {
        let delay = self.rng.random_range(1..=self.schedule.delay_ms);
        self.sequence += 1;
        self.flying.insert((ms + delay, self.sequence), message);
    }

    fn is_cut(&self, router: usize, ms: u64) -> bool {
        let cuts = self.schedule.cuts.iter();
        let mut mine = cuts.filter(|(r, _, _)| *r == router);
        mine.any(|(_, from, length)| (*from..from + length).contains(&ms))
    }

    fn deliver(&mut self, ms: u64) {
        while let Some(entry) = self.flying.first_entry() {
            if entry.key().0 > ms {
                return;
            }
            let message = entry.remove();
            self.take(ms, message);
        }
    }

    fn take(&mut self, ms: u64, message: Message) {
        match message {
            Message::Renewal(router, boot, asked, report) => {
                for heard in &report.heard {
                    self.desk.heard(leader_now(ms), heard);
                }
                let list = self.desk.list_for(leader_now(ms), report.known);
                let told = Message::Told(router, boot, asked, Term(self.term), list);
                self.put(ms, told);
            }
            Message::Ask(router, boot, asked, ask) => {
                let now = leader_now(ms);
                self.desk.heard(now, &ask.heard);
                let answer = PermitAnswer {
                    verdicts: vec![self.desk.permit(now, &ask)],
                    at: self.desk.time(now),
                };
                self.put(ms, Message::Answer(router, boot, asked, answer));
            }
            Message::Told(router, boot, asked, term, list) => {
                let r = &mut self.routers[router];
                if r.boot == boot {
                    let now = r.now(ms);
                    r.limits.told(asked, now, term, list.as_ref());
                }
            }
            Message::Answer(router, boot, asked, answer) => {
                let r = &mut self.routers[router];
                if r.boot == boot {
                    r.answered(ms, asked, &answer);
                }
            }
            Message::Served(router, boot, limit, permit) => {
                let r = &mut self.routers[router];
                if r.boot == boot {
                    let now = r.now(ms);
                    let rate = limit.map(Rate::from_millis);
                    let permitted = permit.map(|p| p.issued);
                    r.limits.hear(now, &target(), rate, permitted);
                    if limit.is_some() {
                        r.told_ms = r.told_ms.or(Some(ms));
                    }
                }
            }
        }
    }

    fn step_router(&mut self, router: usize, ms: u64) {
        let per_step = self.schedule.wants_per_s * STEP_MS as f64 / 1e3;
        let wants = self.rng.random_bool(per_step.min(1.0));
        let cut = self.is_cut(router, ms);
        let r = &mut self.routers[router];
        let now = r.now(ms);
        if wants && !r.limits.is_limited(&target()) {
            self.send(router, ms, None);
        } else if wants {
            r.waiting += 1;
        }
        self.use_permits(router, ms);
        let r = &mut self.routers[router];
        if !r.limits.is_limited(&target()) {
            let waiting = std::mem::take(&mut r.waiting);
            (0..waiting).for_each(|_| self.send(router, ms, None));
        }
        let r = &mut self.routers[router];
        let boot = r.boot;
        let given_up = r.asked_ms.is_some_and(|at| at + GIVEN_UP_MS <= ms);
        if given_up {
            r.asked_ms = None;
            r.waiting = 0;
        }
        if r.waiting > 0 && r.asked_ms.is_none() && !r.is_denied(now) {
            let heard = r.limits.heard_of(now, &target()).expect("it is limited");
            let wants = r.waiting;
            r.asked_ms = Some(ms);
            if !cut {
                let ask = PermitAsk { heard, wants };
                self.put(ms, Message::Ask(router, boot, now, ask));
            }
        } else if r.asked_ms.is_none() {
            // Denied: other targets serve them.
            r.waiting = 0;
        }
        let r = &mut self.routers[router];
        if ms >= r.renew_ms {
            r.renew_ms = ms + RENEW_MS;
            let report = r.limits.report(now);
            if !cut {
                self.put(ms, Message::Renewal(router, boot, now, report));
            }
        }
    }

    fn use_permits(&mut self, router: usize, ms: u64) {
        let r = &mut self.routers[router];
        let now = r.now(ms);
        r.permits.retain(|p| now < p.until);
        let (good, later) = r.permits.iter().partition(|p| p.is_good(now));
        r.permits = later;
        let good: Vec<Permit> = good;
        good.into_iter()
            .for_each(|p| self.send(router, ms, Some(p)));
    }

    fn send(&mut self, router: usize, ms: u64, permit: Option<Permit>) {
        let r = &self.routers[router];
        let told = r.told_ms.is_some_and(|at| at + TOLD_MS <= ms);
        self.came.push(Came { ms, told });
        let limit = named_at(&self.schedule.named, ms);
        let served = Message::Served(router, r.boot, limit, permit);
        self.put_sure(ms, served);
    }
}

impl Router {
    fn new(boot: u64, fast: i64) -> Self {
        Self {
            limits: TargetLimits::default(),
            boot,
            fast,
            waiting: 0,
            asked_ms: None,
            permits: Vec::new(),
            renew_ms: 0,
            told_ms: None,
        }
    }

    fn is_denied(&self, now: Instant) -> bool {
        let instance = crate::support::instances(&crate::support::cards("a", 1, 0, 0));
        let mut instance = instance.into_iter().next().expect("one");
        instance.id = target().life.id;
        instance.address = target().address;
        instance.born = target().life.born;
        self.limits.denied_until(now, &instance).is_some()
    }

    fn answered(&mut self, ms: u64, asked: Instant, answer: &PermitAnswer) {
        let now = self.now(ms);
        self.asked_ms = None;
        match &answer.verdicts[0] {
            PermitVerdict::Unlimited => {
                self.limits.is_over(asked, &target());
            }
            PermitVerdict::Permitted(waits) => {
                let permits = waits.iter();
                let permits = permits.map(|w| Permit::new(asked, now, *w, answer.at));
                self.permits.extend(permits);
                self.waiting = 0;
            }
            PermitVerdict::Denied(wait) => {
                self.limits.denied(now, &target(), *wait);
                self.waiting = 0;
            }
        }
    }
}

/// All that came to the target.
pub fn play(schedule: &Schedule) -> Vec<Came> {
    let mut play = Play {
        schedule,
        rng: StdRng::seed_from_u64(schedule.seed),
        routers: Vec::new(),
        desk: LimitDesk::new(Term(1)),
        term: 1,
        flying: BTreeMap::new(),
        sequence: 0,
        came: Vec::new(),
    };
    for _ in 0..schedule.routers {
        let fast = play.rng.random_range(-25..=25);
        play.routers.push(Router::new(1, fast));
    }
    for ms in (0..schedule.run_ms).step_by(STEP_MS as usize) {
        let at = |when: &u64| *when / STEP_MS * STEP_MS == ms;
        if schedule.leaders_ms.iter().any(at) {
            play.term += 1;
            play.desk = LimitDesk::new(Term(play.term));
        }
        for (router, _) in schedule.restarts.iter().filter(|(_, when)| at(when)) {
            let r = &mut play.routers[router % schedule.routers];
            *r = Router::new(r.boot + 1, r.fast);
        }
        play.deliver(ms);
        (0..schedule.routers).for_each(|router| play.step_router(router, ms));
        play.desk.forget(leader_now(ms));
    }
    play.came
}

/// What the target allows in a span that begins at `from`: by the highest limit in force
/// in it, or so shortly before that routers may not have heard of the next one.
fn allowed(schedule: &Schedule, from: u64) -> Option<f64> {
    let named = &schedule.named;
    named_at(named, from)?;
    let unheard = TOLD_MS + 2 * schedule.delay_ms;
    let since = from.saturating_sub(unheard);
    let mut highest = named_at(named, since)?;
    let in_force = |at: &u64| (since..from + SPAN_MS).contains(at);
    for (_, limit) in named.iter().filter(|(at, _)| in_force(at)) {
        highest = highest.max((*limit)?);
    }
    let span_s = SPAN_MS as f64 / 1e3;
    Some(PART * f64::from(highest) / 1e3 * span_s + MORE)
}

/// The first span in which more came than the target allows.
pub fn check(schedule: &Schedule, came: &[Came]) -> Result<(), String> {
    let counted: Vec<u64> = came.iter().filter(|c| c.told).map(|c| c.ms).collect();
    for (i, from) in counted.iter().enumerate() {
        let Some(allowed) = allowed(schedule, *from) else {
            continue;
        };
        let in_span = counted[i..].iter().take_while(|ms| **ms < from + SPAN_MS);
        let count = in_span.count();
        if count as f64 > allowed {
            return Err(format!(
                "{count} from {from} ms on, allowed {allowed}: {schedule:?}"
            ));
        }
    }
    Ok(())
}

pub fn between(came: &[Came], from: u64, to: u64) -> usize {
    came.iter().filter(|c| (from..to).contains(&c.ms)).count()
}
