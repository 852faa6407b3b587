//! Which engine has crashed, concluded from streams that stalled at the same time.
//! Simulates a data centre with three chains, and the routers that have streams there,
//! in virtual time.

use deckwind_core::routes::stall_detection::{ProbeResult, StallDetector, StreamKey, explain};
use deckwind_core::state::DataCentre;
use deckwind_core::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use yare::parameterized;

const STAGES: usize = 11;
const CHAINS: usize = 3;
/// Longest pause that a stream may have.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Mean interval between two events of a stream, and its greatest random deviation, in
/// microseconds.
const EVENT_INTERVAL_US: u64 = 48_000;
const EVENT_JITTER_US: u64 = 9_000;

/// Events per thousand that wait until a prompt was read, and the longest such wait in
/// microseconds.
const PROMPTS_PER_MILLE: u64 = 30;
const MAX_PROMPT_US: u64 = 25_000;

/// Time from a probe of a stream to its answer.
const PROBE_TIME: Duration = Duration::from_millis(2);

/// Time from one router's suspicion to the other routers, through the leader.
const REPORT_TIME: Duration = Duration::from_millis(4);

/// Time from a router's decision to the first event over the new path: the order, a
/// prompt read at one stage, an event.
const PATH_CHANGE_TIME: Duration = Duration::from_millis(8);

fn engine(stage: usize, chain: usize) -> SocketAddr {
    format!("10.0.{chain}.{stage}:80").parse().expect("valid")
}

#[derive(Clone)]
struct Stream {
    router: usize,
    key: StreamKey,
    path: Vec<SocketAddr>,
    last: u64,
    /// Number of the path change whose first event is awaited, or 0. Queued events with
    /// another number belong to an earlier path.
    path_change: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    StreamEvent(usize, u32),
    Check(usize),
    SuspicionReported(SocketAddr),
    ProbeEnded(usize, StreamKey),
    PathChanged(usize),
}

/// Counts and times of a simulation.
#[derive(Default)]
struct Outcome {
    /// Engines that were suspected though they had not crashed.
    wrongly_suspected: usize,
    /// Probes of streams whose stages were all running.
    needless_probes: usize,
    /// Microseconds from the last event of a stream through a crashed engine to the
    /// decision to move the stream.
    detection_times: Vec<u64>,
    /// Microseconds from the last event before a change of path to the next one.
    pauses: Vec<u64>,
    moved: usize,
}

struct Simulation {
    rng: ChaCha8Rng,
    now: u64,
    data_centre: DataCentre,
    routers: Vec<StallDetector>,
    streams: Vec<Stream>,
    by_key: HashMap<(usize, StreamKey), usize>,
    queue: BinaryHeap<Reverse<(u64, Step)>>,
    crashed: BTreeMap<SocketAddr, u64>,
    /// Whether the first engine of a stream answers probes.
    answers: bool,
    outcome: Outcome,
}

impl Simulation {
    fn new(seed: u64, routers: usize, streams: usize, answers: bool) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000_000,
            data_centre: DataCentre::from("a"),
            routers: vec![StallDetector::default(); routers],
            streams: Vec::new(),
            by_key: HashMap::new(),
            queue: BinaryHeap::new(),
            crashed: BTreeMap::new(),
            answers,
            outcome: Outcome::default(),
        };
        for i in 0..streams {
            simulation.begin_stream(i % routers);
        }
        for router in 0..routers {
            simulation.schedule_check(router);
        }
        simulation
    }

    fn instant(&self) -> Instant {
        Instant::from_micros(self.now)
    }

    fn random_path(&mut self) -> Vec<SocketAddr> {
        let mut path = Vec::new();
        for stage in 0..STAGES {
            let mut chain = self.rng.random_range(0..CHAINS);
            while self.crashed.contains_key(&engine(stage, chain)) {
                chain = (chain + 1) % CHAINS;
            }
            path.push(engine(stage, chain));
        }
        path
    }

    fn begin_stream(&mut self, router: usize) {
        let path = self.random_path();
        let (now, data_centre) = (self.instant(), self.data_centre.clone());
        let key = self.routers[router].watch(now, &data_centre, &path, MAX_PAUSE);
        let i = self.streams.len();
        self.by_key.insert((router, key), i);
        self.streams.push(Stream {
            router,
            key,
            path,
            last: self.now,
            path_change: 0,
        });
        let first = self.rng.random_range(0..EVENT_INTERVAL_US);
        let step = Step::StreamEvent(i, 0);
        self.queue.push(Reverse((self.now + first, step)));
    }

    fn random_interval(&mut self) -> u64 {
        let jitter = self.rng.random_range(0..=2 * EVENT_JITTER_US);
        let prompt = match self.rng.random_range(0..1_000) < PROMPTS_PER_MILLE {
            true => self.rng.random_range(0..MAX_PROMPT_US),
            false => 0,
        };
        EVENT_INTERVAL_US - EVENT_JITTER_US + jitter + prompt
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((at, step))) = self.queue.pop() {
            if at > until {
                self.queue.push(Reverse((at, step)));
                break;
            }
            self.now = at;
            match step {
                Step::StreamEvent(i, path_change) => self.stream_event(i, path_change),
                Step::Check(router) => self.check(router),
                Step::SuspicionReported(engine) => self.report_suspicion(engine),
                Step::ProbeEnded(router, key) => self.probe_ended(router, key),
                Step::PathChanged(i) => self.path_changed(i),
            }
        }
        self.now = until;
    }

    fn stream_event(&mut self, i: usize, path_change: u32) {
        let stream = &self.streams[i];
        // An event that had to pass a crashed engine does not arrive.
        let stopped = stream.path.iter().any(|e| self.crashed.contains_key(e));
        if path_change != stream.path_change || stopped {
            return;
        }
        let (router, key, last) = (stream.router, stream.key, stream.last);
        let now = self.instant();
        self.routers[router].record_event(now, key);
        if path_change > 0 && last > 0 {
            self.outcome.pauses.push(self.now - last);
        }
        self.streams[i].last = self.now;
        if path_change > 0 {
            // Counts the pause only once.
            self.streams[i].path_change = 0;
        }
        let gap = self.random_interval();
        self.queue
            .push(Reverse((self.now + gap, Step::StreamEvent(i, 0))));
    }

    fn schedule_check(&mut self, router: usize) {
        let at = self.routers[router].next_check_at();
        let at = at.map_or(self.now + EVENT_INTERVAL_US, |at| {
            at.as_micros().max(self.now + 500)
        });
        self.queue.push(Reverse((at, Step::Check(router))));
    }

    fn check(&mut self, router: usize) {
        let now = self.instant();
        let found = self.routers[router].check(now, now);
        for key in found.to_move {
            self.move_stream(router, key);
        }
        for key in found.to_probe {
            let at = self.now + PROBE_TIME.as_micros() as u64;
            let step = Step::ProbeEnded(router, key);
            self.queue.push(Reverse((at, step)));
        }
        self.schedule_check(router);
    }

    /// Handles the end of a probe: the first engine of the stream, if it answers, knows
    /// which stage has crashed.
    fn probe_ended(&mut self, router: usize, key: StreamKey) {
        let stream = &self.streams[self.by_key[&(router, key)]];
        let gone = stream.path.iter().find(|e| self.crashed.contains_key(*e));
        let answer = match gone {
            _ if !self.answers => ProbeResult::Unknown,
            Some(gone) => ProbeResult::Gone(*gone),
            None => ProbeResult::AllThere,
        };
        self.outcome.needless_probes += usize::from(gone.is_none());
        let now = self.instant();
        let Some(engine) = self.routers[router].record_probe(now, key, answer) else {
            return;
        };
        self.outcome.wrongly_suspected += usize::from(!self.crashed.contains_key(&engine));
        let found = self.routers[router].check(now, now);
        for key in found.to_move {
            self.move_stream(router, key);
        }
        let at = self.now + REPORT_TIME.as_micros() as u64;
        self.queue
            .push(Reverse((at, Step::SuspicionReported(engine))));
    }

    fn report_suspicion(&mut self, engine: SocketAddr) {
        let now = self.instant();
        for router in 0..self.routers.len() {
            self.routers[router].suspect_reported(now, &[engine]);
            if self.routers[router].next_check_at() == Some(now) {
                let found = self.routers[router].check(now, now);
                for key in found.to_move {
                    self.move_stream(router, key);
                }
            }
        }
    }

    fn move_stream(&mut self, router: usize, key: StreamKey) {
        let i = self.by_key[&(router, key)];
        let stream = &self.streams[i];
        self.outcome.moved += 1;
        if stream.path.iter().any(|e| self.crashed.contains_key(e)) {
            self.outcome.detection_times.push(self.now - stream.last);
        }
        let at = self.now + PATH_CHANGE_TIME.as_micros() as u64;
        self.queue.push(Reverse((at, Step::PathChanged(i))));
    }

    fn path_changed(&mut self, i: usize) {
        let path = self.random_path();
        let now = self.instant();
        let stream = &mut self.streams[i];
        stream.path_change += 1;
        stream.path = path.clone();
        let (router, key, path_change) = (stream.router, stream.key, stream.path_change);
        self.routers[router].replace_path(now, key, &path);
        let gap = self.random_interval();
        let step = Step::StreamEvent(i, path_change);
        self.queue.push(Reverse((self.now + gap, step)));
    }

    fn crash(&mut self, engine: SocketAddr) {
        self.crashed.insert(engine, self.now);
    }

    fn stopped_streams(&self) -> usize {
        let crashed = |e: &SocketAddr| self.crashed.contains_key(e);
        let stopped = |s: &&Stream| s.path.iter().any(crashed);
        self.streams.iter().filter(stopped).count()
    }
}

fn percentile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let at = (values.len() * percent / 100).min(values.len() - 1);
    values[at]
}

#[parameterized(
    one_explains_all = { &[&[1, 2], &[1, 3], &[1, 4]], 10, &[1] },
    two_dead = { &[&[1, 2], &[1, 3], &[4, 5], &[4, 2], &[1, 6], &[4, 7], &[4], &[1]], 90, &[1, 4] },
    a_single_stream_names_nobody = { &[&[1]], 100, &[] },
    all_are_silent = { &[&[1, 2], &[1, 3], &[4, 5], &[6, 5]], 0, &[] },
    two_alike_are_named_together = { &[&[1, 2], &[1, 2], &[1, 2, 3]], 90, &[1, 2] },
    too_many_alike = { &[&[1, 2, 3], &[1, 2, 3]], 20, &[] },
    nobody_is_left = { &[&[], &[], &[]], 20, &[] },
)]
fn the_fewest_engines_that_explain_all(silent: &[&[u32]], active_streams: usize, named: &[u32]) {
    let silent: Vec<Vec<u32>> = silent.iter().map(|c| c.to_vec()).collect();
    let through = |e| silent.iter().filter(|c| c.contains(&e)).count();
    assert_eq!(explain(&silent, active_streams, through), named);
}

/// Each stage but the first crashes in turn; 90 % of the stopped streams resume in time.
#[parameterized(
    big_routers = { 11, 200, true },
    small_routers = { 20, 120, true },
    no_answers = { 11, 200, false },
)]
fn streams_go_on_in_time_after_each_single_loss(routers: usize, streams: usize, answers: bool) {
    let (mut noticed, mut pauses, mut stopped, mut wrong) = (Vec::new(), Vec::new(), 0, 0);
    for stage in 1..STAGES {
        let mut simulation = Simulation::new(stage as u64, routers, streams, answers);
        simulation.run(3_000_000);
        simulation.crash(engine(stage, stage % CHAINS));
        stopped += simulation.stopped_streams();
        simulation.run(5_000_000);
        noticed.append(&mut simulation.outcome.detection_times);
        pauses.append(&mut simulation.outcome.pauses);
        wrong += simulation.outcome.wrongly_suspected;
    }
    let in_time = pauses
        .iter()
        .filter(|p| **p <= MAX_PAUSE.as_micros() as u64);
    let in_time = in_time.count();
    println!(
        "stopped={stopped} went_on={} in_time={in_time} wrong={wrong} noticed_us={}/{} pause_us={}/{}",
        pauses.len(),
        percentile(&mut noticed, 50),
        percentile(&mut noticed, 99),
        percentile(&mut pauses, 50),
        percentile(&mut pauses, 99),
    );
    assert!(in_time * 10 >= stopped * 9, "{in_time} of {stopped}");
    // Without reports, an engine next to the crashed one may be suspected as well.
    assert!(wrong == 0 || !answers, "{wrong} wrongly suspected");
}

/// Four of 33 engines crash at once, so nearly all streams stall.
#[test]
fn streams_go_on_in_time_after_four_losses_at_once() {
    let mut simulation = Simulation::new(1, 11, 200, true);
    simulation.run(3_000_000);
    for stage in [1, 4, 6, 9] {
        simulation.crash(engine(stage, stage % CHAINS));
    }
    let stopped = simulation.stopped_streams();
    simulation.run(6_000_000);
    let mut pauses = std::mem::take(&mut simulation.outcome.pauses);
    let limit = MAX_PAUSE.as_micros() as u64;
    let in_time = pauses.iter().filter(|p| **p <= limit).count();
    println!(
        "stopped={stopped} went_on={} in_time={in_time} wrong={} pause_us={}/{}",
        pauses.len(),
        simulation.outcome.wrongly_suspected,
        percentile(&mut pauses, 50),
        percentile(&mut pauses, 99),
    );
    assert!(in_time * 10 >= stopped * 8, "{in_time} of {stopped}");
    assert_eq!(simulation.outcome.wrongly_suspected, 0);
}

/// Ten minutes of 200 streams without a crash.
#[test]
fn a_run_without_crashes_suspects_no_engine() {
    let (mut wrong, mut asked, mut moved) = (0, 0, 0);
    for seed in 0..2 {
        let mut simulation = Simulation::new(seed, 11, 200, true);
        simulation.run(5 * 60 * 1_000_000);
        wrong += simulation.outcome.wrongly_suspected;
        asked += simulation.outcome.needless_probes;
        moved += simulation.outcome.moved;
    }
    println!("wrong={wrong} asked={asked} moved={moved}");
    assert_eq!(wrong, 0);
}

fn one_router(streams: usize) -> (StallDetector, Vec<StreamKey>) {
    let mut detector = StallDetector::default();
    let data_centre = DataCentre::from("a");
    let start = Instant::from_millis(1_000);
    let begin = |i: usize| {
        let path = [engine(0, i % CHAINS), engine(1, 0), engine(2, i % 2)];
        detector.watch(start, &data_centre, &path, MAX_PAUSE)
    };
    let keys: Vec<StreamKey> = (0..streams).map(begin).collect();
    for at in (1_050..=2_000).step_by(50) {
        let now = Instant::from_millis(at);
        keys.iter()
            .for_each(|k| drop(detector.record_event(now, *k)));
    }
    (detector, keys)
}

#[test]
fn a_router_that_was_kept_from_running_concludes_nothing() {
    let (mut detector, _) = one_router(12);
    let due = Instant::from_millis(2_060);
    let late = Instant::from_millis(2_200);
    assert_eq!(detector.check(late, due), Default::default());
    let again = detector
        .next_check_at()
        .expect("the time of the next check");
    assert!(again > late);
    assert!(!detector.check(again, again).to_probe.is_empty());
}

#[test]
fn needless_probes_are_bounded() {
    let (mut detector, keys) = one_router(12);
    let mut asked = 0;
    for at in (2_000..4_000).step_by(10) {
        let now = Instant::from_millis(at);
        // All streams are slow: an event every 140 ms.
        if at % 140 == 0 {
            keys.iter()
                .for_each(|k| drop(detector.record_event(now, *k)));
        }
        for key in detector.check(now, now).to_probe {
            asked += 1;
            assert_eq!(detector.record_probe(now, key, ProbeResult::AllThere), None);
        }
    }
    assert!((1..=7).contains(&asked), "{asked}");
}

#[test]
fn an_event_through_a_suspect_clears_it() {
    let (mut detector, keys) = one_router(12);
    let now = Instant::from_millis(2_080);
    let found = detector.check(now, now);
    let gone = engine(1, 0);
    let suspect = detector.record_probe(now, found.to_probe[0], ProbeResult::Gone(gone));
    assert_eq!(suspect, Some(gone));
    assert!(detector.is_suspected(now, gone));
    assert_eq!(detector.check(now, now).to_move.len(), keys.len());
    assert_eq!(detector.record_event(now, keys[0]), [gone]);
    assert!(!detector.is_suspected(now, gone));
}
