//! More streams than fit, begun by sixty routers that each know what the others'
//! streams hold as of half a second ago. Engines refuse what they have no room
//! for. No network; virtual time.
//!
//! Grounds for the figures: 93 engines of three kinds in three data centres, 275
//! requests a second, 770 tokens in and 240 out, of which half are kept on the
//! mean; at such a load engines refused four in ten arrivals, and each refusal
//! costs one of the few repeats.

use deckwind_core::control::{EngineFull, EngineUse};
use deckwind_core::routes::{Choice, Claim, Room, TargetBook, choose_path};
use deckwind_core::routing::paths::{Held, Stage};
use deckwind_core::routing::placement::tokens_beside;
use deckwind_core::state::{DataCentre, Instance};
use deckwind_core::time::Instant;
use deckwind_testkit::placing::{KINDS, Placing, model};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use yare::parameterized;

const ROUTERS: usize = 60;
const KEPT: u64 = 890;
/// Routers count five sixths of it.
const COUNTED: u64 = 740;
/// A stream's life on the mean: 240 tokens of 12 to 15 ms.
const LASTS: Duration = Duration::from_millis(3_500);
const TOLD_EVERY: Duration = Duration::from_millis(500);

/// Engines as they really are, and what routers believe.
struct World {
    all: Vec<Instance>,
    room: HashMap<SocketAddr, f64>,
    held: HashMap<SocketAddr, f64>,
    books: Vec<TargetBook>,
    own: Vec<DataCentre>,
    streams: Vec<(Instant, usize, Vec<Stage>)>,
}

impl World {
    fn new() -> Self {
        let mut placing = Placing::new(&[[4, 0, 10, 11, 0], [3, 0, 14, 16, 0], [2, 0, 24, 9, 0]]);
        placing.run_for(Duration::from_secs(60));
        let all: Vec<Instance> = placing.instances().iter().cloned().collect();
        let room = |i: &Instance| {
            let kind = KINDS.iter().find(|k| Some(k.0) == i.accelerator.as_deref());
            let layers = i.layers.len();
            let tokens = tokens_beside(&model(), kind.expect("known").1, layers);
            (i.address, tokens * f64::from(layers))
        };
        let centre = |r: usize| DataCentre::from(format!("dc-{}", r % 3));
        Self {
            room: all.iter().map(room).collect(),
            all,
            held: HashMap::new(),
            books: vec![TargetBook::default(); ROUTERS],
            own: (0..ROUTERS).map(centre).collect(),
            streams: Vec::new(),
        }
    }

    fn choose(&self, router: usize, draw: u64, now: Instant) -> Option<Choice> {
        let room = Room {
            tokens: COUNTED,
            claim: Claim::New,
            draw,
        };
        let (book, own) = (&self.books[router], &self.own[router]);
        let none = HashSet::new();
        choose_path(&model(), &self.all, book, own, room, &none, now).ok()
    }

    /// If all engines on the way have room they hold the stream; else the first one
    /// without refuses it.
    fn begin(
        &mut self,
        router: usize,
        stages: Vec<Stage>,
        until: Instant,
    ) -> Result<(), SocketAddr> {
        let needs = |s: &Stage| KEPT as f64 * f64::from(s.layers.len());
        let held = &self.held;
        let fits =
            |s: &Stage| held.get(&s.address).unwrap_or(&0.0) + needs(s) <= self.room[&s.address];
        if let Some(full) = stages.iter().find(|s| !fits(s)) {
            return Err(full.address);
        }
        for s in &stages {
            *self.held.entry(s.address).or_default() += needs(s);
        }
        self.books[router].takes(&stages, COUNTED);
        self.streams.push((until, router, stages));
        Ok(())
    }

    fn end_streams(&mut self, now: Instant) {
        let (over, on): (Vec<_>, Vec<_>) = self.streams.drain(..).partition(|s| s.0 <= now);
        self.streams = on;
        for (_, router, stages) in over {
            for s in &stages {
                let needs = KEPT as f64 * f64::from(s.layers.len());
                *self.held.entry(s.address).or_default() -= needs;
            }
            self.books[router].gives_back(&stages, COUNTED);
        }
    }

    /// Each router hears what the others' streams hold now.
    fn tell(&mut self) {
        let mut totals: HashMap<SocketAddr, Held> = HashMap::new();
        for one in self.books.iter().flat_map(TargetBook::own_use) {
            let total = totals.entry(one.address).or_default();
            total.layer_tokens += one.layer_tokens;
            total.begun += one.begun;
        }
        for book in &mut self.books {
            let mut others = totals.clone();
            for one in book.own_use() {
                let total = others.entry(one.address).or_default();
                total.layer_tokens -= one.layer_tokens;
                total.begun -= one.begun;
            }
            let uses = others.into_iter().map(|(a, held)| EngineUse::new(a, held));
            book.others_hold(&uses.collect::<Vec<_>>());
        }
    }
}

/// What was seen of streams once the engines were filled.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    asked: f64,
    /// Refused by engines, or without any path.
    refused: f64,
    paths: f64,
    stages: f64,
}

/// Plays so many streams a second for eight seconds.
fn play(per_s: u64, seed: u64) -> Seen {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::new();
    let start = Instant::from_millis(1_000);
    let mut seen = Seen::default();
    let mut told = start;
    for i in 0..per_s * 8 {
        let now = start + Duration::from_micros(i * 1_000_000 / per_s);
        world.end_streams(now);
        if now.since(told) >= TOLD_EVERY {
            told = now;
            world.tell();
        }
        let router = rng.random_range(0..ROUTERS);
        let choice = world.choose(router, rng.random(), now);
        let path = choice.and_then(|c| c.path);
        let spread = rng.random_range(0.5..1.5);
        // The first seconds fill the engines.
        let counts = now.since(start) >= Duration::from_secs(4);
        if let Some(path) = path.as_ref().filter(|_| counts) {
            seen.paths += 1.0;
            seen.stages += path.stages.len() as f64;
        }
        let ends = now + LASTS.mul_f64(spread);
        let let_in = path.is_some_and(|p| world.begin(router, p.stages, ends).is_ok());
        if counts {
            seen.asked += 1.0;
            seen.refused += f64::from(u8::from(!let_in));
        }
    }
    seen
}

/// The more paths a router draws, the shorter the best of them, and the more alike
/// the routers' choices. With three paths drawn 9.7 and 9.9 stages at 200 and 240 a
/// second, with twelve 9.4 to 9.6; of 240 a second 7 and 10 in a hundred are refused, of
/// 300 a second 20 and 25. On played days, where a refused request is sent again
/// elsewhere, refusals are the same and requests that are thrown out of an engine's
/// memory a quarter fewer.
#[parameterized(
    fits = { 200, 9.55, 2.5 },
    nearly_fits = { 240, 9.7, 13.0 },
    does_not_fit = { 300, 9.6, 28.0 },
)]
fn paths_are_short_and_few_are_refused(per_s: u64, most_stages: f64, most_refused: f64) {
    for seed in 1..=2 {
        let seen = play(per_s, seed);
        let stages = seen.stages / seen.paths;
        let refused = 100.0 * seen.refused / seen.asked;
        assert!(stages <= most_stages, "{stages} stages");
        assert!(refused <= most_refused, "{refused} refused in a hundred");
    }
}

/// How routers hear that an engine has refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hear {
    /// Who was refused avoids it for 300 ms; the others hear nothing.
    Alone,
    /// All hear it so much later, and what it held.
    After(Duration),
}

/// What came of streams where engines were lost, as parts of a hundred of those
/// asked for; a refused one is sent again at most twice.
#[derive(Clone, Copy, Debug, Default)]
struct AfterLoss {
    /// Arrivals that an engine refused.
    rejections: f64,
    /// Streams that nobody let in.
    refused: f64,
}

/// Repeats for each request, and most that are left over: the share and what is
/// beyond it.
const REPEATS: f64 = 0.25;
const MOST_REPEATS: f64 = 100.0;

/// A tenth of the engines is lost, and those that hold the same layers are crowded.
fn play_after_loss(per_s: u64, hear: Hear, seed: u64) -> AfterLoss {
    const TRIES: u32 = 3;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::new();
    world.all.retain(|_| !rng.random_ratio(1, 10));
    let start = Instant::from_millis(1_000);
    let (mut told, mut asked) = (start, 0.0);
    let mut budget = MOST_REPEATS;
    let mut seen = AfterLoss::default();
    let mut telling: VecDeque<(Instant, EngineFull)> = VecDeque::new();
    for i in 0..per_s * 8 {
        let now = start + Duration::from_micros(i * 1_000_000 / per_s);
        world.end_streams(now);
        if now.since(told) >= TOLD_EVERY {
            told = now;
            world.tell();
        }
        while telling.front().is_some_and(|(at, _)| *at <= now) {
            let (_, full) = telling.pop_front().expect("just seen");
            world
                .books
                .iter_mut()
                .for_each(|b| b.are_full(now, &[full]));
        }
        let router = rng.random_range(0..ROUTERS);
        let ends = now + LASTS.mul_f64(rng.random_range(0.5..1.5));
        let mut rejections = 0.0;
        budget = (budget + REPEATS).min(MOST_REPEATS);
        let mut let_in = false;
        for _ in 0..TRIES {
            let choice = world.choose(router, rng.random(), now);
            let Some(path) = choice.and_then(|c| c.path) else {
                break;
            };
            let Err(full) = world.begin(router, path.stages, ends) else {
                let_in = true;
                break;
            };
            rejections += 1.0;
            let goes_on = budget >= 1.0;
            match hear {
                Hear::Alone => world.books[router].avoid_full(now, full),
                Hear::After(delay) => {
                    let full = world.books[router].had_no_room(now, full);
                    telling.push_back((now + delay, full));
                }
            }
            if !goes_on {
                break;
            }
            budget -= 1.0;
        }
        // The first seconds fill the engines.
        if now.since(start) >= Duration::from_secs(4) {
            asked += 1.0;
            seen.rejections += rejections;
            seen.refused += f64::from(u8::from(!let_in));
        }
    }
    AfterLoss {
        rejections: 100.0 * seen.rejections / asked,
        refused: 100.0 * seen.refused / asked,
    }
}

/// Of a hundred streams 28 arrivals were refused by engines before and 20 are since
/// at 200 a second, 42 and 37 at 240; 3.1 and 1.2 streams are let in by nobody, 16.9
/// and 15.1 (heard after 60 ms, means of three seeds).
#[parameterized(
    nearly_fits = { 200, 0.85 },
    does_not_fit = { 240, 0.95 },
)]
fn engines_known_to_be_full_are_sent_less(per_s: u64, most_rejections: f64) {
    let mean = |hear: Hear| {
        let all = [1, 2, 3].map(|seed| play_after_loss(per_s, hear, seed));
        let part = |part: fn(&AfterLoss) -> f64| all.iter().map(part).sum::<f64>() / 3.0;
        (part(|a| a.rejections), part(|a| a.refused))
    };
    let (rejections, refused) = mean(Hear::Alone);
    let (now_rejections, now_refused) = mean(Hear::After(Duration::from_millis(100)));
    println!(
        "{rejections:.1} {now_rejections:.1} rejections, {refused:.1} {now_refused:.1} refused"
    );
    assert!(
        now_rejections <= rejections * most_rejections,
        "{now_rejections} of {rejections} rejections"
    );
    assert!(
        now_refused <= refused,
        "{now_refused} refused, {refused} before"
    );
}
