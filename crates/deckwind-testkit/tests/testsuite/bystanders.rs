//! Streams beside a request that ends its targets and is asked for many times at once.
//!
//! **What was seen.** A content was asked by five requests within some 50 ms, before any
//! router could know of an end under it. Seven engines ended within half a second. The
//! content was quarantined, and nine others with it, for an hour: streams that had moved
//! together from one engine that ended to the next, and had just begun at three.
//!
//! **Cause.** Each content is judged by its own ends alone, however well another one
//! explains all of them.
//!
//! **What proved it.** The routers' lines of cut runs, by content: the one at fault was at
//! all seven ends, each of the nine at three of the seven.

use crate::quarantine::{apply, content};
use deckwind_core::routes::CutRuns;
use deckwind_core::state::{ContentDigest, Life, StateMachine};
use deckwind_core::time::Instant;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;
use std::time::Duration;
use yare::parameterized;

const ENGINES: usize = 12;
const ROUTERS: usize = 10;

/// Streams at the start, each on an engine and at a router.
const STREAMS: usize = 120;

const STEP_MS: u64 = 5;

/// From its sending to a stream's first event.
const FIRST_EVENT_MS: u64 = 60;

/// From its sending to the end of the engine that runs the request at fault.
const ENDS_AFTER_MS: u64 = 100;

/// From an end until all routers know that the life is over, and from a router's word
/// until what is agreed of it is known to all.
const KNOWN_AFTER_MS: u64 = 150;
const AGREED_AFTER_MS: u64 = 60;

/// Engines that one request is sent to.
const SENDS: u32 = 2;

#[derive(Clone)]
struct Stream {
    content: ContentDigest,
    router: usize,
    engine: usize,
    sent_ms: u64,
    sends: u32,
}

struct Model {
    rng: StdRng,
    ms: u64,
    lives: [u64; ENGINES],
    streams: Vec<Stream>,
    routers: Vec<CutRuns>,
    machine: StateMachine,
    /// Lives that are over, and when routers know.
    over: Vec<(u64, Life)>,
    /// What is agreed, and when routers know.
    agreed_at: Option<u64>,
    ended: BTreeSet<Life>,
    at_fault: Vec<ContentDigest>,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut model = Self {
            rng: StdRng::seed_from_u64(seed),
            ms: 100_000,
            lives: [0; ENGINES],
            streams: Vec::new(),
            routers: vec![CutRuns::default(); ROUTERS],
            machine: StateMachine::default(),
            over: Vec::new(),
            agreed_at: None,
            ended: BTreeSet::new(),
            at_fault: Vec::new(),
        };
        for i in 0..STREAMS {
            let ago = model.rng.random_range(0..3_000);
            model.begin(content(&i.to_string()), ago);
        }
        model
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.ms)
    }

    fn begin(&mut self, content: ContentDigest, ago_ms: u64) {
        let stream = Stream {
            content,
            router: self.rng.random_range(0..ROUTERS),
            engine: self.rng.random_range(0..ENGINES),
            sent_ms: self.ms - ago_ms,
            sends: 1,
        };
        self.streams.push(stream);
    }

    fn life_at(&self, engine: usize) -> Life {
        Life {
            id: format!("e-{engine}"),
            born: Some(self.lives[engine]),
        }
    }

    /// An engine ends. Its streams move together, as far as their routers let them.
    fn end(&mut self, engine: usize) {
        let life = self.life_at(engine);
        self.lives[engine] += 1;
        self.ended.insert(life.clone());
        self.over.push((self.ms + KNOWN_AFTER_MS, life.clone()));
        let to = (engine + self.rng.random_range(1..ENGINES)) % ENGINES;
        let now = self.now();
        let (there, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|s| s.engine == engine);
        self.streams = rest;
        for mut stream in there {
            let since = Duration::from_millis(self.ms - stream.sent_ms);
            let ran = since.checked_sub(Duration::from_millis(FIRST_EVENT_MS));
            let ends = self.at_fault.contains(&stream.content);
            let ran = ran.filter(|_| !ends);
            let runs = &mut self.routers[stream.router];
            runs.cut(now, stream.content, &life, ran);
            // Its caller asks again, at another router.
            if stream.sends == SENDS {
                stream.sends = 0;
                stream.router = self.rng.random_range(0..ROUTERS);
            }
            if self.routers[stream.router].may_send(now, &stream.content) {
                stream.engine = to;
                stream.sent_ms = self.ms;
                stream.sends += 1;
                self.streams.push(stream);
            }
        }
    }

    fn step(&mut self) {
        self.ms += STEP_MS;
        let now = self.now();
        let due = |s: &&Stream| {
            self.at_fault.contains(&s.content) && self.ms >= s.sent_ms + ENDS_AFTER_MS
        };
        let ends: BTreeSet<usize> = self.streams.iter().filter(due).map(|s| s.engine).collect();
        ends.into_iter().for_each(|e| self.end(e));
        let known = |(at, _): &(u64, Life)| *at <= self.ms;
        let (known, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.over).into_iter().partition(known);
        self.over = rest;
        let known: Vec<Life> = known.into_iter().map(|(_, life)| life).collect();
        for router in 0..ROUTERS {
            let runs = &mut self.routers[router];
            runs.lives_over(now, known.clone());
            let news = runs.take_news();
            if !news.is_empty() {
                apply(&mut self.machine, self.ms, news);
                self.agreed_at = self.agreed_at.or(Some(self.ms + AGREED_AFTER_MS));
            }
        }
        if self.agreed_at.take_if(|at| *at <= self.ms).is_some() {
            let list = self.machine.configuration().suspects();
            for runs in &mut self.routers {
                runs.agreed(now, list.clone());
            }
        }
    }

    fn run_for(&mut self, ms: u64) {
        (0..ms / STEP_MS).for_each(|_| self.step());
    }

    /// What no router sends.
    fn refused(&mut self) -> BTreeSet<ContentDigest> {
        let list = self.machine.configuration().suspects();
        list.quarantined().copied().collect()
    }
}

/// So many contents at fault, each asked so often within 50 ms, the second ones 200 ms
/// after the first.
#[parameterized(
    asked_five_times = { 1, 5 },
    asked_twice = { 1, 2 },
    two_of_them = { 2, 4 },
)]
fn what_another_content_explains_condemns_nobody(contents: usize, times: usize) {
    for seed in 0..40 {
        let mut model = Model::new(seed);
        for i in 0..contents {
            let bad = content(&format!("bad-{i}"));
            model.at_fault.push(bad);
            for _ in 0..times {
                model.begin(bad, 0);
                model.run_for(10);
            }
            model.run_for(200);
        }
        model.run_for(3_000);
        let at_fault: BTreeSet<ContentDigest> = model.at_fault.iter().copied().collect();
        let refused = model.refused();
        let ended = model.ended.len();
        let bystanders = refused.difference(&at_fault).count();
        assert_eq!(bystanders, 0, "seed {seed}: {ended} ended");
        assert!(refused.is_superset(&at_fault), "seed {seed}: {ended} ended");
        // What is asked again and again ends no more of them.
        for _ in 0..20 {
            let before = model.ended.len();
            let router = model.rng.random_range(0..ROUTERS);
            let now = model.now();
            let bad = model.at_fault[0];
            assert!(!model.routers[router].may_send(now, &bad), "seed {seed}");
            model.run_for(100);
            assert_eq!(model.ended.len(), before, "seed {seed}");
        }
    }
}
