//! Which engine is dead, told from the streams that fell silent together, in
//! virtual time: a data centre with three chains, and the routers that have
//! streams there.

use deckwind_core::routes::silence::{Answer, SilenceWatch, StreamKey, explain};
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
const PAUSE: Duration = Duration::from_millis(250);

/// Usual gap, microseconds, and how far it is off by chance.
const GAP: u64 = 48_000;
const OFF: u64 = 9_000;

/// Part of the events, in thousandths, that wait for a prompt to be read, and for
/// how long at most.
const PROMPTS: u64 = 30;
const PROMPT: u64 = 25_000;

/// From a question about a stream to the answer.
const ANSWERED_AFTER: Duration = Duration::from_millis(2);

/// From the decision of one router to the others, by the leader.
const TOLD_AFTER: Duration = Duration::from_millis(4);

/// From the decision of a router to the first event over the new path: the order,
/// a prompt read at one stage, an event.
const CHANGED: Duration = Duration::from_millis(8);

fn engine(stage: usize, chain: usize) -> SocketAddr {
    format!("10.0.{chain}.{stage}:80").parse().expect("valid")
}

#[derive(Clone)]
struct One {
    router: usize,
    key: StreamKey,
    path: Vec<SocketAddr>,
    last: u64,
    /// Later events on the queue are of an earlier path.
    turn: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Event(usize, u32),
    Look(usize),
    Told(SocketAddr),
    Answered(usize, StreamKey),
    Changed(usize),
}

/// What came of a run.
#[derive(Default)]
struct Outcome {
    /// Engines named that are well.
    wrong: usize,
    /// Questions about streams whose stages are all there.
    asked_in_vain: usize,
    /// Of streams through a dead engine: from the last event to the decision, and
    /// to the next event, microseconds.
    noticed: Vec<u64>,
    pauses: Vec<u64>,
    moved: usize,
}

struct Load {
    rng: ChaCha8Rng,
    now: u64,
    centre: DataCentre,
    routers: Vec<SilenceWatch>,
    streams: Vec<One>,
    by_key: HashMap<(usize, StreamKey), usize>,
    queue: BinaryHeap<Reverse<(u64, Next)>>,
    dead: BTreeMap<SocketAddr, u64>,
    /// Whether first engines answer.
    answers: bool,
    outcome: Outcome,
}

impl Load {
    fn new(seed: u64, routers: usize, streams: usize, answers: bool) -> Self {
        let mut load = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000_000,
            centre: DataCentre::from("a"),
            routers: vec![SilenceWatch::default(); routers],
            streams: Vec::new(),
            by_key: HashMap::new(),
            queue: BinaryHeap::new(),
            dead: BTreeMap::new(),
            answers,
            outcome: Outcome::default(),
        };
        for i in 0..streams {
            load.begin(i % routers);
        }
        for router in 0..routers {
            load.look_next(router);
        }
        load
    }

    fn at(&self) -> Instant {
        Instant::from_micros(self.now)
    }

    fn path(&mut self) -> Vec<SocketAddr> {
        let mut path = Vec::new();
        for stage in 0..STAGES {
            let mut chain = self.rng.random_range(0..CHAINS);
            while self.dead.contains_key(&engine(stage, chain)) {
                chain = (chain + 1) % CHAINS;
            }
            path.push(engine(stage, chain));
        }
        path
    }

    fn begin(&mut self, router: usize) {
        let path = self.path();
        let (now, centre) = (self.at(), self.centre.clone());
        let key = self.routers[router].begin(now, &centre, &path, PAUSE);
        let i = self.streams.len();
        self.by_key.insert((router, key), i);
        self.streams.push(One {
            router,
            key,
            path,
            last: self.now,
            turn: 0,
        });
        let first = self.rng.random_range(0..GAP);
        let next = Next::Event(i, 0);
        self.queue.push(Reverse((self.now + first, next)));
    }

    fn gap(&mut self) -> u64 {
        let off = self.rng.random_range(0..=2 * OFF);
        let prompt = match self.rng.random_range(0..1_000) < PROMPTS {
            true => self.rng.random_range(0..PROMPT),
            false => 0,
        };
        GAP - OFF + off + prompt
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((at, next))) = self.queue.pop() {
            if at > until {
                self.queue.push(Reverse((at, next)));
                break;
            }
            self.now = at;
            match next {
                Next::Event(i, turn) => self.event(i, turn),
                Next::Look(router) => self.look(router),
                Next::Told(engine) => self.told(engine),
                Next::Answered(router, key) => self.answered(router, key),
                Next::Changed(i) => self.changed(i),
            }
        }
        self.now = until;
    }

    fn event(&mut self, i: usize, turn: u32) {
        let one = &self.streams[i];
        // An event that had to pass a dead engine does not come.
        let stopped = one.path.iter().any(|e| self.dead.contains_key(e));
        if turn != one.turn || stopped {
            return;
        }
        let (router, key, last) = (one.router, one.key, one.last);
        let now = self.at();
        self.routers[router].event(now, key);
        if turn > 0 && last > 0 {
            self.outcome.pauses.push(self.now - last);
        }
        self.streams[i].last = self.now;
        if turn > 0 {
            // Counted once.
            self.streams[i].turn = 0;
        }
        let gap = self.gap();
        self.queue
            .push(Reverse((self.now + gap, Next::Event(i, 0))));
    }

    fn look_next(&mut self, router: usize) {
        let at = self.routers[router].look_at();
        let at = at.map_or(self.now + GAP, |at| at.as_micros().max(self.now + 500));
        self.queue.push(Reverse((at, Next::Look(router))));
    }

    fn look(&mut self, router: usize) {
        let now = self.at();
        let found = self.routers[router].look(now, now);
        for key in found.to_move {
            self.move_away(router, key);
        }
        for key in found.to_ask {
            let at = self.now + ANSWERED_AFTER.as_micros() as u64;
            let next = Next::Answered(router, key);
            self.queue.push(Reverse((at, next)));
        }
        self.look_next(router);
    }

    /// The first engine of a stream knows which stage is gone, if it answers.
    fn answered(&mut self, router: usize, key: StreamKey) {
        let one = &self.streams[self.by_key[&(router, key)]];
        let gone = one.path.iter().find(|e| self.dead.contains_key(*e));
        let answer = match gone {
            _ if !self.answers => Answer::Unknown,
            Some(gone) => Answer::Gone(*gone),
            None => Answer::AllThere,
        };
        self.outcome.asked_in_vain += usize::from(gone.is_none());
        let now = self.at();
        let Some(engine) = self.routers[router].answered(now, key, answer) else {
            return;
        };
        self.outcome.wrong += usize::from(!self.dead.contains_key(&engine));
        let found = self.routers[router].look(now, now);
        for key in found.to_move {
            self.move_away(router, key);
        }
        let at = self.now + TOLD_AFTER.as_micros() as u64;
        self.queue.push(Reverse((at, Next::Told(engine))));
    }

    fn told(&mut self, engine: SocketAddr) {
        let now = self.at();
        for router in 0..self.routers.len() {
            self.routers[router].told(now, &[engine]);
            if self.routers[router].look_at() == Some(now) {
                let found = self.routers[router].look(now, now);
                for key in found.to_move {
                    self.move_away(router, key);
                }
            }
        }
    }

    fn move_away(&mut self, router: usize, key: StreamKey) {
        let i = self.by_key[&(router, key)];
        let one = &self.streams[i];
        self.outcome.moved += 1;
        if one.path.iter().any(|e| self.dead.contains_key(e)) {
            self.outcome.noticed.push(self.now - one.last);
        }
        let at = self.now + CHANGED.as_micros() as u64;
        self.queue.push(Reverse((at, Next::Changed(i))));
    }

    fn changed(&mut self, i: usize) {
        let path = self.path();
        let now = self.at();
        let one = &mut self.streams[i];
        one.turn += 1;
        one.path = path.clone();
        let (router, key, turn) = (one.router, one.key, one.turn);
        self.routers[router].path_is(now, key, &path);
        let gap = self.gap();
        let next = Next::Event(i, turn);
        self.queue.push(Reverse((self.now + gap, next)));
    }

    fn kill(&mut self, engine: SocketAddr) {
        self.dead.insert(engine, self.now);
    }

    fn stopped(&self) -> usize {
        let dead = |e: &SocketAddr| self.dead.contains_key(e);
        let stopped = |s: &&One| s.path.iter().any(dead);
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
fn the_fewest_engines_that_explain_all(silent: &[&[u32]], lively: usize, named: &[u32]) {
    let silent: Vec<Vec<u32>> = silent.iter().map(|c| c.to_vec()).collect();
    let through = |e| silent.iter().filter(|c| c.contains(&e)).count();
    assert_eq!(explain(&silent, lively, through), named);
}

/// Each middle stage in turn; of the streams that stopped 90 in 100 go on in time.
#[parameterized(
    big_routers = { 11, 200, true },
    small_routers = { 20, 120, true },
    no_answers = { 11, 200, false },
)]
fn streams_go_on_in_time_after_each_single_loss(routers: usize, streams: usize, answers: bool) {
    let (mut noticed, mut pauses, mut stopped, mut wrong) = (Vec::new(), Vec::new(), 0, 0);
    for stage in 1..STAGES {
        let mut load = Load::new(stage as u64, routers, streams, answers);
        load.run(3_000_000);
        load.kill(engine(stage, stage % CHAINS));
        stopped += load.stopped();
        load.run(5_000_000);
        noticed.append(&mut load.outcome.noticed);
        pauses.append(&mut load.outcome.pauses);
        wrong += load.outcome.wrong;
    }
    let in_time = pauses.iter().filter(|p| **p <= PAUSE.as_micros() as u64);
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
}

/// Four of 33 at once: nearly all streams are silent.
#[test]
fn streams_go_on_in_time_after_four_losses_at_once() {
    let mut load = Load::new(1, 11, 200, true);
    load.run(3_000_000);
    for stage in [1, 4, 6, 9] {
        load.kill(engine(stage, stage % CHAINS));
    }
    let stopped = load.stopped();
    load.run(6_000_000);
    let mut pauses = std::mem::take(&mut load.outcome.pauses);
    let limit = PAUSE.as_micros() as u64;
    let in_time = pauses.iter().filter(|p| **p <= limit).count();
    println!(
        "stopped={stopped} went_on={} in_time={in_time} wrong={} pause_us={}/{}",
        pauses.len(),
        load.outcome.wrong,
        percentile(&mut pauses, 50),
        percentile(&mut pauses, 99),
    );
    assert!(in_time * 10 >= stopped * 8, "{in_time} of {stopped}");
}

/// Ten minutes of 200 streams.
#[test]
fn calm_play_raises_no_false_alarm() {
    let (mut wrong, mut asked, mut moved) = (0, 0, 0);
    for seed in 0..2 {
        let mut load = Load::new(seed, 11, 200, true);
        load.run(5 * 60 * 1_000_000);
        wrong += load.outcome.wrong;
        asked += load.outcome.asked_in_vain;
        moved += load.outcome.moved;
    }
    println!("wrong={wrong} asked={asked} moved={moved}");
    assert_eq!(wrong, 0);
}

fn one_router(streams: usize) -> (SilenceWatch, Vec<StreamKey>) {
    let mut watch = SilenceWatch::default();
    let centre = DataCentre::from("a");
    let start = Instant::from_millis(1_000);
    let begin = |i: usize| {
        let path = [engine(0, i % CHAINS), engine(1, 0), engine(2, i % 2)];
        watch.begin(start, &centre, &path, PAUSE)
    };
    let keys: Vec<StreamKey> = (0..streams).map(begin).collect();
    for at in (1_050..=2_000).step_by(50) {
        let now = Instant::from_millis(at);
        keys.iter().for_each(|k| drop(watch.event(now, *k)));
    }
    (watch, keys)
}

#[test]
fn a_router_that_was_kept_from_running_concludes_nothing() {
    let (mut watch, _) = one_router(12);
    let due = Instant::from_millis(2_060);
    let late = Instant::from_millis(2_200);
    assert_eq!(watch.look(late, due), Default::default());
    let again = watch.look_at().expect("a look");
    assert!(again > late);
    assert!(!watch.look(again, again).to_ask.is_empty());
}

#[test]
fn questions_in_vain_are_bounded() {
    let (mut watch, keys) = one_router(12);
    let mut asked = 0;
    for at in (2_000..4_000).step_by(10) {
        let now = Instant::from_millis(at);
        // All are slow: an event each 140 ms.
        if at % 140 == 0 {
            keys.iter().for_each(|k| drop(watch.event(now, *k)));
        }
        for key in watch.look(now, now).to_ask {
            asked += 1;
            assert_eq!(watch.answered(now, key, Answer::AllThere), None);
        }
    }
    assert!((1..=7).contains(&asked), "{asked}");
}

#[test]
fn an_event_through_a_suspect_clears_it() {
    let (mut watch, keys) = one_router(12);
    let now = Instant::from_millis(2_080);
    let found = watch.look(now, now);
    let gone = engine(1, 0);
    let suspect = watch.answered(now, found.to_ask[0], Answer::Gone(gone));
    assert_eq!(suspect, Some(gone));
    assert!(watch.suspects(now, gone));
    assert_eq!(watch.look(now, now).to_move.len(), keys.len());
    assert_eq!(watch.event(now, keys[0]), [gone]);
    assert!(!watch.suspects(now, gone));
}
