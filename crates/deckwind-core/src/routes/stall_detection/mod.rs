//! Detects dead engines from streams that stall together.
//!
//! A stream passes about a dozen engines. When one of them dies, all streams through it
//! stall at the same moment while the others continue. From the streams, their paths and
//! the times of their events, the detector derives the engines that are shared by all
//! stalled streams and by no active one, within little more than one usual gap. Asking the
//! engines for their reports would take longer, since these are some 200 ms old.
//!
//! ```text
//!  event ──► gap of the stream ──► stalled? ─┐
//!       └──► engines on its path are alive ──┴► explain ──► probe one stream
//!                             suspect ◄── answer ◄──────────┘   └► streams to move
//! ```
//!
//! The streams only give an indication. A probe confirms it: the first engine of a stream
//! is ordered to keep the stream's path unchanged, and at once refuses and names the stage
//! if one is gone. The streams decide when to probe and which stream to use, with one probe
//! for all streams that stalled together. If a probe gets no answer, the indication counts.
//!
//! Only streams on routes that set a maximum pause are watched, since the pause sets the
//! time scale. A router that was itself suspended draws no conclusions for a moment,
//! because all its streams look stalled then.

mod explain;
mod gaps;
mod stream;

pub use explain::{Candidates, explain};
pub use stream::StreamKey;

use crate::state::DataCentre;
use crate::time::Instant;
use gaps::GapEstimate;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use stream::{EngineKey, EngineState, Stream, stream_mut};

/// Time for which an engine is suspected, unless an event passes through it before. By its
/// end the leader has probed the engine and all routers know the result.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval between checks while streams are stalled and the cause is unknown: a fifth of a
/// usual gap.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Delay of a check from which the router counts as having been suspended, so that received
/// events may not have been read yet.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(20);

/// Time for which no conclusions are drawn after a late check.
const HOLD_OFF_TIME: Duration = Duration::from_millis(15);

/// Interval between two attempts to move a stream.
const MOVE_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Fraction of the longest pause on time after which a stream that stalls alone is probed.
/// Of 5,500 streams on a calm day 24 pause for longer in their lifetime.
const LONE_STALL_FRACTION: f64 = 0.5;

/// Interval between two probes about one stream.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of probes in flight per router.
const MAX_PROBES_IN_FLIGHT: usize = 4;

/// Budget of probes that find nothing, and the interval at which one is restored. A probe
/// costs a little, and slow engines that are not gone make streams look stalled all the
/// time: 60 routers sent 26,736 probes on a day of 34 s with 14 engines 12 times as slow.
const MAX_FRUITLESS_PROBES: u32 = 6;
const FRUITLESS_PROBE_REFILL_INTERVAL: Duration = Duration::from_secs(4);

/// Longest stall that is evidence. Engines release what depends on a dead engine after some
/// 2 s.
const MAX_STALL_AGE: Duration = Duration::from_millis(1_000);

/// Result of a probe about a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// This stage of the stream's path is gone.
    Gone(SocketAddr),
    /// All stages are there.
    AllThere,
    /// No answer came, or one without a result.
    Unknown,
}

/// Result of a check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StallCheck {
    /// Streams whose first engine is to be probed.
    pub to_probe: Vec<StreamKey>,
    /// Streams that pass through a suspected engine and should move to another path.
    pub to_move: Vec<StreamKey>,
}

/// Stall detector for the streams of one router.
#[derive(Clone, Debug, Default)]
pub struct StallDetector {
    streams: Vec<Option<Stream>>,
    free: Vec<u32>,
    last_generation: u32,
    engines: Vec<EngineState>,
    by_address: HashMap<SocketAddr, EngineKey>,
    /// Gap estimate over all streams, used as the initial estimate of a new one.
    overall_gaps: Option<GapEstimate>,
    next_check: Option<Instant>,
    hold_off_until: Instant,
    /// Streams that were stalled by this time have been checked.
    checked_at: Instant,
    /// Probes in flight, with the engine that the stalled streams point to.
    probes: BTreeMap<StreamKey, Option<EngineKey>>,
    fruitless_probes: FruitlessProbes,
}

/// Probes that found nothing, counted as a leaky bucket.
#[derive(Clone, Copy, Debug, Default)]
struct FruitlessProbes {
    count: u32,
    /// Time at which the bucket last leaked.
    leaked_at: Instant,
}

impl FruitlessProbes {
    /// Whether another probe may be sent while `under_way` are in flight.
    fn allows(&mut self, now: Instant, under_way: usize) -> bool {
        while self.count > 0 && now.since(self.leaked_at) >= FRUITLESS_PROBE_REFILL_INTERVAL {
            self.count -= 1;
            self.leaked_at = self.leaked_at + FRUITLESS_PROBE_REFILL_INTERVAL;
        }
        self.count + (under_way as u32) < MAX_FRUITLESS_PROBES
    }

    fn record(&mut self, now: Instant) {
        if self.count == 0 {
            self.leaked_at = now;
        }
        self.count += 1;
    }
}

impl StallDetector {
    /// Starts to watch a stream on this path. `pause` is the longest pause that is on time.
    pub fn watch(
        &mut self,
        now: Instant,
        data_centre: &DataCentre,
        path: &[SocketAddr],
        pause: Duration,
    ) -> StreamKey {
        self.last_generation += 1;
        let path = self.watch_engines(now, path);
        let stream = Stream {
            generation: self.last_generation,
            data_centre: data_centre.clone(),
            path,
            pause,
            gaps: self.overall_gaps.unwrap_or(GapEstimate::initial(pause)),
            last_activity: now,
            has_event: false,
            moved_at: None,
            probed_at: None,
        };
        let slot = match self.free.pop() {
            Some(slot) => slot,
            None => {
                self.streams.push(None);
                self.streams.len() as u32 - 1
            }
        };
        self.streams[slot as usize] = Some(stream);
        StreamKey {
            slot,
            generation: self.last_generation,
        }
    }

    /// Records an event of a stream. Returns the engines that are no longer suspected
    /// because of it.
    pub fn record_event(&mut self, now: Instant, key: StreamKey) -> Vec<SocketAddr> {
        let Some(stream) = stream_mut(&mut self.streams, key) else {
            return Vec::new();
        };
        if stream.has_event {
            let gap = now.since(stream.last_activity);
            stream.gaps.add(gap);
            let usual = self
                .overall_gaps
                .get_or_insert(GapEstimate::initial(stream.pause));
            usual.add(gap);
        }
        stream.has_event = true;
        stream.last_activity = now;
        stream.moved_at = None;
        stream.probed_at = None;
        let mut cleared = Vec::new();
        for engine in &stream.path {
            let engine_state = &mut self.engines[engine.0 as usize];
            engine_state.last_event = now;
            if engine_state.suspected_until > now {
                engine_state.suspected_until = Instant::ZERO;
                cleared.push(engine_state.address);
            }
        }
        cleared
    }

    /// Records that a stream continues on another path.
    pub fn replace_path(&mut self, now: Instant, key: StreamKey, path: &[SocketAddr]) {
        let path = self.watch_engines(now, path);
        let Some(stream) = stream_mut(&mut self.streams, key) else {
            self.unwatch_engines(&path);
            return;
        };
        let before = std::mem::replace(&mut stream.path, path);
        stream.last_activity = now;
        stream.has_event = false;
        stream.moved_at = None;
        stream.probed_at = None;
        self.unwatch_engines(&before);
    }

    /// Stops watching a stream that has ended.
    pub fn unwatch(&mut self, key: StreamKey) {
        if stream_mut(&mut self.streams, key).is_none() {
            return;
        }
        self.probes.remove(&key);
        if let Some(stream) = self.streams[key.slot as usize].take() {
            self.free.push(key.slot);
            self.unwatch_engines(&stream.path);
        }
    }

    /// Marks engines as suspected that the leader reports, except those through which an
    /// event came within a usual gap.
    pub fn suspect_reported(&mut self, now: Instant, suspects: &[SocketAddr]) {
        let usual = self.overall_gaps.map_or(Duration::ZERO, |g| g.mean());
        for address in suspects {
            let Some(key) = self.by_address.get(address) else {
                continue;
            };
            let engine_state = &mut self.engines[key.0 as usize];
            if now.since(engine_state.last_event) > usual && engine_state.suspected_until <= now {
                engine_state.suspected_until = now + SUSPICION_TIMEOUT;
                engine_state.is_gone = false;
                self.next_check = Some(now);
            }
        }
    }

    /// Returns the time of the next check, or `None` while no stream is watched.
    pub fn next_check_at(&self) -> Option<Instant> {
        let stalled_at = self.streams.iter().flatten().map(Stream::stalled_at);
        let first = stalled_at.filter(|at| *at > self.checked_at).min();
        let next = match (self.next_check, first) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        next.map(|at| at.max(self.hold_off_until))
    }

    /// Whether an engine is suspected.
    pub fn is_suspected(&self, now: Instant, address: SocketAddr) -> bool {
        let key = self.by_address.get(&address);
        key.is_some_and(|k| self.engines[k.0 as usize].suspected_until > now)
    }

    /// The number of watched streams.
    pub fn streams(&self) -> usize {
        self.streams.len() - self.free.len()
    }

    /// Checks which streams have stalled and why. `due` is the time for which this check
    /// was planned.
    pub fn check(&mut self, now: Instant, due: Instant) -> StallCheck {
        self.next_check = None;
        if now.since(due) > MAX_CHECK_DELAY {
            self.hold_off_until = now + HOLD_OFF_TIME;
        }
        if now < self.hold_off_until {
            self.next_check = Some(self.hold_off_until);
            return StallCheck::default();
        }
        self.checked_at = now;
        let mut found = StallCheck::default();
        for view in self.stalled_by_data_centre(now).into_values() {
            self.select_probes(now, &view, &mut found);
        }
        self.select_moves(now, &mut found);
        found
    }

    /// Records the result of a probe about a stream. Returns the engine that becomes
    /// suspected by it.
    pub fn record_probe(
        &mut self,
        now: Instant,
        key: StreamKey,
        answer: ProbeResult,
    ) -> Option<SocketAddr> {
        let implicated = self.probes.remove(&key).flatten();
        if answer == ProbeResult::AllThere {
            self.fruitless_probes.record(now);
        }
        let gone = match answer {
            ProbeResult::Gone(address) => self.by_address.get(&address).copied(),
            ProbeResult::AllThere => None,
            ProbeResult::Unknown => implicated,
        };
        let engine_state = &mut self.engines[gone?.0 as usize];
        let is_new = engine_state.suspected_until <= now;
        engine_state.suspected_until = now + SUSPICION_TIMEOUT;
        engine_state.is_gone = matches!(answer, ProbeResult::Gone(_));
        self.next_check = Some(now);
        is_new.then_some(engine_state.address)
    }

    /// Returns the engines that may be slow when a stream has paused although all of its
    /// stages are there: those without an event since the stream's next event was due.
    pub fn slow_candidates(&self, now: Instant, key: StreamKey) -> Vec<SocketAddr> {
        let stream = self.streams.get(key.slot as usize);
        let stream = stream.and_then(|s| s.as_ref().filter(|s| s.generation == key.generation));
        let candidates = stream.map(|s| self.candidates(now, s));
        let address = |e: EngineKey| self.engines[e.0 as usize].address;
        candidates.into_iter().flatten().map(address).collect()
    }

    /// Groups stalled streams with their candidates, and counts active ones, by data
    /// centre.
    fn stalled_by_data_centre(&self, now: Instant) -> BTreeMap<DataCentre, DataCentreStreams> {
        let mut views: BTreeMap<DataCentre, DataCentreStreams> = BTreeMap::new();
        for (slot, stream) in self.streams.iter().enumerate() {
            let Some(stream) = stream else {
                continue;
            };
            let view = views.entry(stream.data_centre.clone()).or_default();
            if now < stream.stalled_at() {
                view.active += 1;
            } else if now.since(stream.last_activity) < MAX_STALL_AGE {
                let candidates = self.candidates(now, stream);
                if !candidates.is_empty() {
                    let slot = slot as u32;
                    let generation = stream.generation;
                    view.stalled
                        .push((StreamKey { slot, generation }, candidates));
                }
            }
        }
        views.retain(|_, v| !v.stalled.is_empty());
        views
    }

    /// Returns the engines that may have caused a stream to stall: those without an event
    /// since the stream's next event was due, plus a margin, as events already past a dead
    /// engine still arrive. Empty if a suspected engine explains the stall.
    fn candidates(&self, now: Instant, stream: &Stream) -> Vec<EngineKey> {
        let path = stream.path.iter();
        let engine_state = |e: &EngineKey| &self.engines[e.0 as usize];
        if path.clone().any(|e| engine_state(e).suspected_until > now) {
            return Vec::new();
        }
        let since = stream.due() + propagation_margin(stream.gaps.mean());
        let without_event = path.filter(|e| engine_state(e).last_event <= since);
        without_event.copied().collect()
    }

    /// Selects the streams to probe: one for each engine that stalled streams point to, and
    /// those that have stalled alone for long.
    fn select_probes(&mut self, now: Instant, view: &DataCentreStreams, found: &mut StallCheck) {
        self.next_check = Some(now + CHECK_INTERVAL);
        let stalled: Vec<_> = view.stalled.iter().map(|(_, c)| c.clone()).collect();
        let streams_through = |e: EngineKey| self.engines[e.0 as usize].streams as usize;
        let implicated = explain(&stalled, view.active, streams_through);
        let mut unprobed = implicated.clone();
        for (key, candidates) in &view.stalled {
            let suspect = candidates.iter().find(|e| unprobed.contains(e)).copied();
            let Some(stream) = stream_mut(&mut self.streams, *key) else {
                continue;
            };
            let lone_limit = stream.pause.mul_f64(LONE_STALL_FRACTION);
            let is_explained = candidates.iter().any(|e| implicated.contains(e));
            let is_long = now.since(stream.last_activity) >= lone_limit && !is_explained;
            let is_recently_probed = stream
                .probed_at
                .is_some_and(|at| now.since(at) < PROBE_INTERVAL);
            // A probe in flight serves all streams that point to the same engine.
            let has_probe = self.probes.values().any(|e| e.is_some() && *e == suspect);
            let under_way = self.probes.len();
            let is_exhausted =
                under_way >= MAX_PROBES_IN_FLIGHT || !self.fruitless_probes.allows(now, under_way);
            if is_recently_probed || has_probe || is_exhausted || (suspect.is_none() && !is_long) {
                continue;
            }
            stream.probed_at = Some(now);
            unprobed.retain(|e| !candidates.contains(e));
            self.probes.insert(*key, suspect);
            found.to_probe.push(*key);
        }
    }

    /// Selects the streams through a suspected engine whose next event is overdue or can't
    /// come.
    fn select_moves(&mut self, now: Instant, found: &mut StallCheck) {
        let mut next_attempt = None;
        for (slot, stream) in self.streams.iter_mut().enumerate() {
            let Some(stream) = stream else {
                continue;
            };
            let engines = stream.path.iter().map(|e| &self.engines[e.0 as usize]);
            let mut suspected = engines.filter(|e| e.suspected_until > now).peekable();
            if suspected.peek().is_none() {
                continue;
            }
            let since = match suspected.any(|e| e.is_gone) {
                true => stream.last_activity,
                false => stream.due(),
            };
            let not_before = stream.moved_at.map_or(since, |at| at + MOVE_RETRY_INTERVAL);
            if now < not_before {
                next_attempt =
                    Some(next_attempt.map_or(not_before, |a: Instant| a.min(not_before)));
                continue;
            }
            stream.moved_at = Some(now);
            found.to_move.push(StreamKey {
                slot: slot as u32,
                generation: stream.generation,
            });
        }
        if let Some(next_attempt) = next_attempt {
            self.next_check = Some(
                self.next_check
                    .map_or(next_attempt, |at| at.min(next_attempt)),
            );
        }
    }

    fn watch_engines(&mut self, now: Instant, path: &[SocketAddr]) -> Vec<EngineKey> {
        path.iter().map(|a| self.watch_engine(now, *a)).collect()
    }

    fn watch_engine(&mut self, now: Instant, address: SocketAddr) -> EngineKey {
        let engines = &mut self.engines;
        let key = *self.by_address.entry(address).or_insert_with(|| {
            engines.push(EngineState {
                address,
                last_event: Instant::ZERO,
                suspected_until: Instant::ZERO,
                is_gone: false,
                streams: 0,
            });
            EngineKey(engines.len() as u32 - 1)
        });
        let engine_state = &mut engines[key.0 as usize];
        // The engine was not watched for a while, so its recorded state is outdated.
        if engine_state.streams == 0 {
            engine_state.last_event = now;
        }
        engine_state.streams += 1;
        key
    }

    fn unwatch_engines(&mut self, path: &[EngineKey]) {
        for engine in path {
            let engine_state = &mut self.engines[engine.0 as usize];
            engine_state.streams = engine_state.streams.saturating_sub(1);
        }
    }
}

/// Time after the death of an engine during which events that had passed it still arrive:
/// half a usual gap.
fn propagation_margin(mean_gap: Duration) -> Duration {
    mean_gap / 2
}

#[derive(Default)]
struct DataCentreStreams {
    stalled: Vec<(StreamKey, Candidates<EngineKey>)>,
    active: usize,
}
