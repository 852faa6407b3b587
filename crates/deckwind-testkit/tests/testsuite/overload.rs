//! Overload: sixty routers begin more streams than the engines can hold. Each router
//! knows the load of the others' streams as of half a second ago, and engines refuse
//! streams for which they have no free capacity. No network; virtual time.
//!
//! The figures stand for 93 engines of three kinds in three data centres and 275
//! requests per second with 770 tokens in and 240 out, of which half are held on
//! average. At such a load engines refused four in ten arrivals, and each refusal costs
//! one of the few retries.

use deckwind_core::control::{EngineFull, EngineStreamLoad};
use deckwind_core::routes::{
    CapacityDemand, RequestClass, TargetChoice, TargetRecords, choose_path,
};
use deckwind_core::routing::paths::{Stage, StreamLoad};
use deckwind_core::routing::placement::token_capacity;
use deckwind_core::state::{DataCentre, Instance};
use deckwind_core::time::Instant;
use deckwind_testkit::placement_simulation::{KINDS, PlacementSimulation, model};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use yare::parameterized;

const ROUTERS: usize = 60;
/// Tokens that a stream holds on average: 770 + 240 / 2.
const HELD_TOKENS: u64 = 890;
/// Tokens that routers count for a stream: five sixths of [`HELD_TOKENS`].
const COUNTED_TOKENS: u64 = 740;
/// Mean duration of a stream: 240 tokens of 12 to 15 ms.
const MEAN_STREAM_DURATION: Duration = Duration::from_millis(3_500);
/// Interval at which routers receive the load of the others.
const LOAD_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// The engines' actual load, and the load as each router knows it.
struct Simulation {
    engines: Vec<Instance>,
    capacity: HashMap<SocketAddr, f64>,
    load: HashMap<SocketAddr, f64>,
    records: Vec<TargetRecords>,
    data_centres: Vec<DataCentre>,
    streams: Vec<(Instant, usize, Vec<Stage>)>,
}

impl Simulation {
    fn new() -> Self {
        let mut sim =
            PlacementSimulation::new(&[[4, 0, 10, 11, 0], [3, 0, 14, 16, 0], [2, 0, 24, 9, 0]]);
        sim.run_for(Duration::from_secs(60));
        let engines: Vec<Instance> = sim.instances().iter().cloned().collect();
        let capacity = |i: &Instance| {
            let kind = KINDS.iter().find(|k| Some(k.0) == i.accelerator.as_deref());
            let layers = i.layers.len();
            let tokens = token_capacity(&model(), kind.expect("known").1, layers);
            (i.address, tokens * f64::from(layers))
        };
        let centre = |r: usize| DataCentre::from(format!("dc-{}", r % 3));
        Self {
            capacity: engines.iter().map(capacity).collect(),
            engines,
            load: HashMap::new(),
            records: vec![TargetRecords::default(); ROUTERS],
            data_centres: (0..ROUTERS).map(centre).collect(),
            streams: Vec::new(),
        }
    }

    fn choose(&self, router: usize, draw: u64, now: Instant) -> Option<TargetChoice> {
        let demand = CapacityDemand {
            tokens: COUNTED_TOKENS,
            claim: RequestClass::New,
            draw,
        };
        let (records, own) = (&self.records[router], &self.data_centres[router]);
        let none = HashSet::new();
        choose_path(&model(), &self.engines, records, own, demand, &none, now).ok()
    }

    /// Begins a stream.
    ///
    /// # Errors
    ///
    /// Returns the first engine on the path that has no free capacity, and so refuses it.
    fn begin(
        &mut self,
        router: usize,
        stages: Vec<Stage>,
        until: Instant,
    ) -> Result<(), SocketAddr> {
        let tokens_needed = |s: &Stage| HELD_TOKENS as f64 * f64::from(s.layers.len());
        let load = &self.load;
        let fits = |s: &Stage| {
            load.get(&s.address).unwrap_or(&0.0) + tokens_needed(s) <= self.capacity[&s.address]
        };
        if let Some(full) = stages.iter().find(|s| !fits(s)) {
            return Err(full.address);
        }
        for s in &stages {
            *self.load.entry(s.address).or_default() += tokens_needed(s);
        }
        self.records[router].add_load(&stages, COUNTED_TOKENS);
        self.streams.push((until, router, stages));
        Ok(())
    }

    fn end_streams(&mut self, now: Instant) {
        let (ended, ongoing): (Vec<_>, Vec<_>) = self.streams.drain(..).partition(|s| s.0 <= now);
        self.streams = ongoing;
        for (_, router, stages) in ended {
            for s in &stages {
                let tokens_needed = HELD_TOKENS as f64 * f64::from(s.layers.len());
                *self.load.entry(s.address).or_default() -= tokens_needed;
            }
            self.records[router].remove_load(&stages, COUNTED_TOKENS);
        }
    }

    /// Sends each router the current load of the others' streams.
    fn send_load_updates(&mut self) {
        let mut totals: HashMap<SocketAddr, StreamLoad> = HashMap::new();
        for one in self.records.iter().flat_map(TargetRecords::own_engine_load) {
            let total = totals.entry(one.address).or_default();
            total.layer_tokens += one.layer_tokens;
            total.begun += one.begun;
        }
        for records in &mut self.records {
            let mut others = totals.clone();
            for one in records.own_engine_load() {
                let total = others.entry(one.address).or_default();
                total.layer_tokens -= one.layer_tokens;
                total.begun -= one.begun;
            }
            let uses = others
                .into_iter()
                .map(|(a, load)| EngineStreamLoad::new(a, load));
            records.set_others_load(&uses.collect::<Vec<_>>());
        }
    }
}

/// Counts of streams that were requested once the engines were filled.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requested: f64,
    /// Streams that engines refused or that had no path.
    refused: f64,
    paths: f64,
    stages: f64,
}

/// Simulates eight seconds with the given number of streams per second.
fn simulate(per_s: u64, seed: u64) -> Counts {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut simulation = Simulation::new();
    let start = Instant::from_millis(1_000);
    let mut counts = Counts::default();
    let mut last_update = start;
    for i in 0..per_s * 8 {
        let now = start + Duration::from_micros(i * 1_000_000 / per_s);
        simulation.end_streams(now);
        if now.since(last_update) >= LOAD_UPDATE_INTERVAL {
            last_update = now;
            simulation.send_load_updates();
        }
        let router = rng.random_range(0..ROUTERS);
        let choice = simulation.choose(router, rng.random(), now);
        let path = choice.and_then(|c| c.path);
        let spread = rng.random_range(0.5..1.5);
        // The first seconds fill the engines.
        let is_counted = now.since(start) >= Duration::from_secs(4);
        if let Some(path) = path.as_ref().filter(|_| is_counted) {
            counts.paths += 1.0;
            counts.stages += path.stages.len() as f64;
        }
        let ends = now + MEAN_STREAM_DURATION.mul_f64(spread);
        let admitted = path.is_some_and(|p| simulation.begin(router, p.stages, ends).is_ok());
        if is_counted {
            counts.requested += 1.0;
            counts.refused += f64::from(u8::from(!admitted));
        }
    }
    counts
}

/// The more random paths a router compares, the shorter is the best of them, but the more
/// alike are the routers' choices. With three paths, the best has 9.7 and 9.9 stages at
/// 200 and 240 streams per second; with twelve, 9.4 to 9.6. Refused are 7 % (three paths)
/// and 10 % (twelve) at 240 per second, and 20 % and 25 % at 300 per second. In
/// simulations of whole days, where a refused request is retried elsewhere, refusals are
/// the same and requests evicted from an engine's memory a quarter fewer.
#[parameterized(
    fits = { 200, 9.55, 2.5 },
    nearly_fits = { 240, 9.7, 13.0 },
    does_not_fit = { 300, 9.6, 28.0 },
)]
fn paths_are_short_and_few_are_refused(per_s: u64, max_stages: f64, max_refused_percent: f64) {
    for seed in 1..=2 {
        let counts = simulate(per_s, seed);
        let stages = counts.stages / counts.paths;
        let refused = 100.0 * counts.refused / counts.requested;
        assert!(stages <= max_stages, "{stages} stages");
        assert!(refused <= max_refused_percent, "{refused} % refused");
    }
}

/// How routers learn that an engine has refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefusalNotice {
    /// Only the router that was refused avoids the engine, for 300 ms.
    OneRouter,
    /// All routers receive the refusal, with the engine's load, after this delay.
    AllRoutersAfter(Duration),
}

/// Outcome of streams after the loss of engines, in percent of the requested streams. A
/// refused stream is retried at most twice.
#[derive(Clone, Copy, Debug, Default)]
struct AfterLoss {
    /// Attempts that an engine refused.
    rejections: f64,
    /// Streams that no engine admitted.
    refused: f64,
}

/// Retries that each request adds to the retry budget.
const RETRIES_PER_REQUEST: f64 = 0.25;
/// Maximum of the retry budget.
const MAX_RETRY_BUDGET: f64 = 100.0;

/// Simulates the loss of a tenth of the engines, which overloads those that hold the same
/// layers.
fn simulate_after_loss(per_s: u64, notice: RefusalNotice, seed: u64) -> AfterLoss {
    const MAX_ATTEMPTS: u32 = 3;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut simulation = Simulation::new();
    simulation.engines.retain(|_| !rng.random_ratio(1, 10));
    let start = Instant::from_millis(1_000);
    let (mut last_update, mut requested) = (start, 0.0);
    let mut budget = MAX_RETRY_BUDGET;
    let mut counts = AfterLoss::default();
    let mut pending_notices: VecDeque<(Instant, EngineFull)> = VecDeque::new();
    for i in 0..per_s * 8 {
        let now = start + Duration::from_micros(i * 1_000_000 / per_s);
        simulation.end_streams(now);
        if now.since(last_update) >= LOAD_UPDATE_INTERVAL {
            last_update = now;
            simulation.send_load_updates();
        }
        while pending_notices.front().is_some_and(|(at, _)| *at <= now) {
            let (_, full) = pending_notices.pop_front().expect("the queue is not empty");
            simulation
                .records
                .iter_mut()
                .for_each(|b| b.record_full_engines(now, &[full]));
        }
        let router = rng.random_range(0..ROUTERS);
        let ends = now + MEAN_STREAM_DURATION.mul_f64(rng.random_range(0.5..1.5));
        let mut rejections = 0.0;
        budget = (budget + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
        let mut admitted = false;
        for _ in 0..MAX_ATTEMPTS {
            let choice = simulation.choose(router, rng.random(), now);
            let Some(path) = choice.and_then(|c| c.path) else {
                break;
            };
            let Err(full) = simulation.begin(router, path.stages, ends) else {
                admitted = true;
                break;
            };
            rejections += 1.0;
            let can_retry = budget >= 1.0;
            match notice {
                RefusalNotice::OneRouter => simulation.records[router].avoid_full_engine(now, full),
                RefusalNotice::AllRoutersAfter(delay) => {
                    let full = simulation.records[router].record_refusal(now, full);
                    pending_notices.push_back((now + delay, full));
                }
            }
            if !can_retry {
                break;
            }
            budget -= 1.0;
        }
        // The first seconds fill the engines.
        if now.since(start) >= Duration::from_secs(4) {
            requested += 1.0;
            counts.rejections += rejections;
            counts.refused += f64::from(u8::from(!admitted));
        }
    }
    AfterLoss {
        rejections: 100.0 * counts.rejections / requested,
        refused: 100.0 * counts.refused / requested,
    }
}

/// Per 100 streams, engines refused 28 attempts at 200 streams per second when only the
/// refused router avoided the engine, and 20 since all routers receive the refusal; at 240
/// per second 42 and 37. No engine admitted 3.1 and 1.2 streams at 200 per second, 16.9
/// and 15.1 at 240 (refusals received after 60 ms; means of three seeds).
#[parameterized(
    nearly_fits = { 200, 0.85 },
    does_not_fit = { 240, 0.95 },
)]
fn engines_known_to_be_full_are_sent_less(per_s: u64, max_rejection_ratio: f64) {
    let mean = |notice: RefusalNotice| {
        let runs = [1, 2, 3].map(|seed| simulate_after_loss(per_s, notice, seed));
        let part = |part: fn(&AfterLoss) -> f64| runs.iter().map(part).sum::<f64>() / 3.0;
        (part(|a| a.rejections), part(|a| a.refused))
    };
    let (rejections, refused) = mean(RefusalNotice::OneRouter);
    let (now_rejections, now_refused) =
        mean(RefusalNotice::AllRoutersAfter(Duration::from_millis(100)));
    println!(
        "{rejections:.1} {now_rejections:.1} rejections, {refused:.1} {now_refused:.1} refused"
    );
    assert!(
        now_rejections <= rejections * max_rejection_ratio,
        "{now_rejections} of {rejections} rejections"
    );
    assert!(
        now_refused <= refused,
        "{now_refused} refused, {refused} before"
    );
}
