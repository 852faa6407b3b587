//! Streams that share engines with a poison request must not be quarantined with it.
//!
//! Guards against a fault seen when five requests with one content came within some 50 ms,
//! before any router could know of a crash. Seven engines crashed within half a second.
//! The content was quarantined for an hour, and nine others with it: streams that had moved
//! together from one crashed engine to the next, and had just begun at three of them.
//! The cause was that each content was judged by its own crashes alone, although the poison
//! request explained all of them. The routers' `event=run_cut` lines by content showed it:
//! the poison request was at all seven crashes, each of the nine others at three.

use crate::quarantine::{apply, content};
use deckwind_core::routes::InterruptedRuns;
use deckwind_core::state::{ContentDigest, Incarnation, RequestTrait, StateMachine, SuspectChange};
use deckwind_core::time::Instant;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;
use std::time::Duration;
use yare::parameterized;

const ENGINES: usize = 12;
const ROUTERS: usize = 10;

/// Number of streams at the start, each assigned to an engine and a router.
const STREAMS: usize = 120;

/// Simulated time per step.
const STEP_MS: u64 = 5;

/// Time from sending a stream's request to its first event.
const FIRST_EVENT_MS: u64 = 60;

/// Time from sending a poison request to the crash of its engine.
const CRASH_AFTER_MS: u64 = 100;

/// Time from a crash until all routers know that the incarnation has ended.
const CRASH_KNOWN_AFTER_MS: u64 = 150;

/// Time from a router's report until all routers know the agreed crash counts.
const AGREEMENT_KNOWN_AFTER_MS: u64 = 60;

/// Number of engines that one request is sent to.
const MAX_SENDS: u32 = 2;

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
    now_ms: u64,
    incarnations: [u64; ENGINES],
    streams: Vec<Stream>,
    routers: Vec<InterruptedRuns>,
    state_machine: StateMachine,
    /// Ended incarnations, and when routers learn of them.
    ended_incarnations: Vec<(u64, Incarnation)>,
    /// Time when routers learn the agreed crash counts.
    agreement_known_at: Option<u64>,
    crashed: BTreeSet<Incarnation>,
    poison_contents: Vec<ContentDigest>,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut model = Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 100_000,
            incarnations: [0; ENGINES],
            streams: Vec::new(),
            routers: vec![InterruptedRuns::default(); ROUTERS],
            state_machine: StateMachine::default(),
            ended_incarnations: Vec::new(),
            agreement_known_at: None,
            crashed: BTreeSet::new(),
            poison_contents: Vec::new(),
        };
        for i in 0..STREAMS {
            let ago = model.rng.random_range(0..3_000);
            model.start_stream(content(&i.to_string()), ago);
        }
        model
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn start_stream(&mut self, content: ContentDigest, ago_ms: u64) {
        let stream = Stream {
            content,
            router: self.rng.random_range(0..ROUTERS),
            engine: self.rng.random_range(0..ENGINES),
            sent_ms: self.now_ms - ago_ms,
            sends: 1,
        };
        self.streams.push(stream);
    }

    fn incarnation_at(&self, engine: usize) -> Incarnation {
        Incarnation {
            id: format!("e-{engine}"),
            born: Some(self.incarnations[engine]),
        }
    }

    /// Crashes an engine. Its streams move together to another engine, as far as their
    /// routers allow.
    fn crash_engine(&mut self, engine: usize) {
        let incarnation = self.incarnation_at(engine);
        self.incarnations[engine] += 1;
        self.crashed.insert(incarnation.clone());
        self.ended_incarnations
            .push((self.now_ms + CRASH_KNOWN_AFTER_MS, incarnation.clone()));
        let to = (engine + self.rng.random_range(1..ENGINES)) % ENGINES;
        let now = self.now();
        let (affected, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|s| s.engine == engine);
        self.streams = rest;
        for mut stream in affected {
            let since = Duration::from_millis(self.now_ms - stream.sent_ms);
            let ran = since.checked_sub(Duration::from_millis(FIRST_EVENT_MS));
            let crashing = self.poison_contents.contains(&stream.content);
            let ran = ran.filter(|_| !crashing);
            let cut_runs = &mut self.routers[stream.router];
            cut_runs.record_interrupted(now, &stream.content.into(), &incarnation, ran);
            // The caller retries at another router.
            if stream.sends == MAX_SENDS {
                stream.sends = 0;
                stream.router = self.rng.random_range(0..ROUTERS);
            }
            if self.routers[stream.router].may_send(now, &stream.content.into()) {
                stream.engine = to;
                stream.sent_ms = self.now_ms;
                stream.sends += 1;
                self.streams.push(stream);
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now = self.now();
        let due = |s: &&Stream| {
            self.poison_contents.contains(&s.content) && self.now_ms >= s.sent_ms + CRASH_AFTER_MS
        };
        let crashing: BTreeSet<usize> = self.streams.iter().filter(due).map(|s| s.engine).collect();
        crashing.into_iter().for_each(|e| self.crash_engine(e));
        let known_ended = |(at, _): &(u64, Incarnation)| *at <= self.now_ms;
        let (known_ended, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ended_incarnations)
            .into_iter()
            .partition(known_ended);
        self.ended_incarnations = rest;
        let known_ended: Vec<Incarnation> = known_ended
            .into_iter()
            .map(|(_, incarnation)| incarnation)
            .collect();
        for router in 0..ROUTERS {
            let cut_runs = &mut self.routers[router];
            cut_runs.record_ended_incarnations(now, known_ended.clone());
            let changes = cut_runs.take_unreported_changes();
            if !changes.is_empty() {
                self.agree(changes);
            }
        }
        // The leader derives a list again that awaits answers.
        if self
            .state_machine
            .configuration()
            .suspects()
            .awaits_answers()
        {
            self.agree(Vec::new());
        }
        if self
            .agreement_known_at
            .take_if(|at| *at <= self.now_ms)
            .is_some()
        {
            let list = self.state_machine.configuration().suspects();
            for cut_runs in &mut self.routers {
                cut_runs.set_agreed(now, list.clone());
            }
        }
    }

    fn agree(&mut self, changes: Vec<SuspectChange>) {
        apply(&mut self.state_machine, self.now_ms, changes);
        self.agreement_known_at = self
            .agreement_known_at
            .or(Some(self.now_ms + AGREEMENT_KNOWN_AFTER_MS));
    }

    fn run_for(&mut self, duration_ms: u64) {
        (0..duration_ms / STEP_MS).for_each(|_| self.step());
    }

    /// Returns the quarantined contents.
    fn quarantined(&mut self) -> BTreeSet<ContentDigest> {
        let list = self.state_machine.configuration().suspects();
        let contents = list.quarantined().flatten().filter_map(|t| match t {
            RequestTrait::Content(content) => Some(*content),
            _ => None,
        });
        contents.collect()
    }
}

/// Arguments: number of poison contents, and requests for each within 50 ms. The second
/// content follows 200 ms after the first.
#[parameterized(
    five_requests_each = { 1, 5 },
    two_requests_each = { 1, 2 },
    two_contents = { 2, 4 },
)]
fn crashes_explained_by_another_content_quarantine_no_bystander(
    contents: usize,
    requests_per_content: usize,
) {
    for seed in 0..40 {
        let mut model = Model::new(seed);
        for i in 0..contents {
            let poison = content(&format!("bad-{i}"));
            model.poison_contents.push(poison);
            for _ in 0..requests_per_content {
                model.start_stream(poison, 0);
                model.run_for(10);
            }
            model.run_for(200);
        }
        model.run_for(3_000);
        let poison_contents: BTreeSet<ContentDigest> =
            model.poison_contents.iter().copied().collect();
        let quarantined = model.quarantined();
        let crashed = model.crashed.len();
        let bystanders = quarantined.difference(&poison_contents).count();
        assert_eq!(bystanders, 0, "seed {seed}: {crashed} crashed");
        assert!(
            quarantined.is_superset(&poison_contents),
            "seed {seed}: {crashed} crashed"
        );
        // Further requests for a quarantined content crash no engine.
        for _ in 0..20 {
            let before = model.crashed.len();
            let router = model.rng.random_range(0..ROUTERS);
            let now = model.now();
            let poison = model.poison_contents[0];
            assert!(
                !model.routers[router].may_send(now, &poison.into()),
                "seed {seed}"
            );
            model.run_for(100);
            assert_eq!(model.crashed.len(), before, "seed {seed}");
        }
    }
}
