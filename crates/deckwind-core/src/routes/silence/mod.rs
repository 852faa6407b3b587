//! Which engines are dead, told from the streams that fell silent together.
//!
//! A stream passes a dozen engines. When one dies, all streams through it stop at
//! the same moment, and those that don't pass it go on. So streams, their paths
//! and the times of their events come in; the engines that all silent ones share
//! and no lively one does come out, after little more than one usual gap. Asking
//! takes longer, since engines report what was so some 200 ms ago.
//!
//! ```text
//!  event ──► gap of the stream ──► silent? ──┐
//!       └──► engines on its path are alive ──┴► explain ──► suspects, streams to move
//! ```
//!
//! For streams on routes that say how long a pause may be; that sets the time
//! scale. A router that was itself kept from running draws no conclusions for a
//! moment: all its streams look silent then.

mod evidence;
mod explain;
mod gaps;

pub use evidence::{EngineEvidence, Evidence, EvidenceDesk, SilentPath};
pub use explain::{Candidates, explain};

use crate::state::DataCentre;
use crate::time::Instant;
use gaps::Gaps;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// How long an engine is suspected, unless an event passes through it before.
/// The leader has asked it by then, and all routers know.
pub const SUSPECTED_FOR: Duration = Duration::from_millis(1_000);

/// Between two looks while streams are silent and nobody knows why: a fifth of a
/// usual gap.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// A look that comes so late was kept from running, and what came meanwhile may
/// not have been read yet.
const LATE: Duration = Duration::from_millis(20);

/// How long nothing is concluded after that.
const BLIND_FOR: Duration = Duration::from_millis(15);

/// Between two tries to move one stream.
const MOVE_AGAIN: Duration = Duration::from_millis(150);

/// Between two tellings of the leader.
const TELL_EVERY: Duration = Duration::from_millis(20);

/// Longest silence that says anything: engines let go of what depends on a dead
/// one after some 2 s.
const STALE: Duration = Duration::from_millis(1_000);

/// A stream that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey {
    slot: u32,
    life: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct EngineKey(u32);

#[derive(Clone, Debug)]
struct Stream {
    life: u32,
    data_centre: DataCentre,
    path: Vec<EngineKey>,
    pause: Duration,
    gaps: Gaps,
    /// Its last event, or when its path changed.
    last: Instant,
    /// Whether anything came over its present path.
    heard: bool,
    /// When it was last to move.
    moved: Option<Instant>,
}

impl Stream {
    /// When its next event is due.
    fn due(&self) -> Instant {
        self.last + self.gaps.usual()
    }

    /// When it is silent.
    fn silent_at(&self) -> Instant {
        let reread = match self.heard {
            true => Duration::ZERO,
            false => self.gaps.usual(),
        };
        self.last + self.gaps.silent_after(self.pause) + reread
    }
}

#[derive(Clone, Debug)]
struct EngineSeen {
    address: SocketAddr,
    /// Last event through it.
    alive: Instant,
    suspected_until: Instant,
    streams: u32,
}

/// What a look found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    /// Engines that are suspected from now on, and how many silent streams each
    /// explains.
    pub suspects: Vec<(SocketAddr, usize)>,
    /// Streams that pass through a suspected engine and should leave it.
    pub to_move: Vec<StreamKey>,
    /// What the leader is to hear, where this router is not sure.
    pub unsure: Vec<Evidence>,
}

/// The streams of one router.
#[derive(Clone, Debug, Default)]
pub struct SilenceWatch {
    streams: Vec<Option<Stream>>,
    free: Vec<u32>,
    lives: u32,
    engines: Vec<EngineSeen>,
    by_address: HashMap<SocketAddr, EngineKey>,
    /// Gaps of all streams, with which a new one begins.
    usual: Option<Gaps>,
    look_at: Option<Instant>,
    blind_until: Instant,
    told_at: Instant,
}

impl SilenceWatch {
    /// A stream has begun on this path; `pause` is the longest that is on time.
    pub fn begin(
        &mut self,
        now: Instant,
        data_centre: &DataCentre,
        path: &[SocketAddr],
        pause: Duration,
    ) -> StreamKey {
        self.lives += 1;
        let path = self.engines_of(now, path);
        let stream = Stream {
            life: self.lives,
            data_centre: data_centre.clone(),
            path,
            pause,
            gaps: self.usual.unwrap_or(Gaps::unknown(pause)),
            last: now,
            heard: false,
            moved: None,
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
            life: self.lives,
        }
    }

    /// An event of a stream came. The engines that are no longer suspected for it.
    pub fn event(&mut self, now: Instant, key: StreamKey) -> Vec<SocketAddr> {
        let Some(stream) = get_mut(&mut self.streams, key) else {
            return Vec::new();
        };
        if stream.heard {
            let gap = now.since(stream.last);
            stream.gaps.add(gap);
            let usual = self.usual.get_or_insert(Gaps::unknown(stream.pause));
            usual.add(gap);
        }
        stream.heard = true;
        stream.last = now;
        stream.moved = None;
        let mut cleared = Vec::new();
        for engine in &stream.path {
            let seen = &mut self.engines[engine.0 as usize];
            seen.alive = now;
            if seen.suspected_until > now {
                seen.suspected_until = Instant::ZERO;
                cleared.push(seen.address);
            }
        }
        cleared
    }

    /// A stream goes on over another path.
    pub fn path_is(&mut self, now: Instant, key: StreamKey, path: &[SocketAddr]) {
        let path = self.engines_of(now, path);
        let Some(stream) = get_mut(&mut self.streams, key) else {
            self.leave(&path);
            return;
        };
        let before = std::mem::replace(&mut stream.path, path);
        stream.last = now;
        stream.heard = false;
        stream.moved = None;
        self.leave(&before);
    }

    /// A stream has ended.
    pub fn end(&mut self, key: StreamKey) {
        if get_mut(&mut self.streams, key).is_none() {
            return;
        }
        if let Some(stream) = self.streams[key.slot as usize].take() {
            self.free.push(key.slot);
            self.leave(&stream.path);
        }
    }

    /// The leader names engines. One through which an event came within a usual
    /// gap is not suspected here.
    pub fn told(&mut self, now: Instant, suspects: &[SocketAddr]) {
        let usual = self.usual.map_or(Duration::ZERO, |g| g.usual());
        for address in suspects {
            let Some(key) = self.by_address.get(address) else {
                continue;
            };
            let seen = &mut self.engines[key.0 as usize];
            if now.since(seen.alive) > usual && seen.suspected_until <= now {
                seen.suspected_until = now + SUSPECTED_FOR;
                self.look_at = Some(now);
            }
        }
    }

    /// When to look next; nothing while no stream is watched.
    pub fn look_at(&self) -> Option<Instant> {
        let first = self.streams.iter().flatten().map(Stream::silent_at).min();
        match (self.look_at, first) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Whether an engine is suspected.
    pub fn suspects(&self, now: Instant, address: SocketAddr) -> bool {
        let key = self.by_address.get(&address);
        key.is_some_and(|k| self.engines[k.0 as usize].suspected_until > now)
    }

    /// Streams that are watched.
    pub fn streams(&self) -> usize {
        self.streams.len() - self.free.len()
    }

    /// Looks who is silent, and why. `due` is when this look was to be.
    pub fn look(&mut self, now: Instant, due: Instant) -> Found {
        self.look_at = None;
        if now.since(due) > LATE {
            self.blind_until = now + BLIND_FOR;
        }
        if now < self.blind_until {
            self.look_at = Some(self.blind_until);
            return Found::default();
        }
        let mut found = Found::default();
        for (centre, view) in self.by_centre(now) {
            self.judge(now, &centre, view, &mut found);
        }
        self.take_to_move(now, &mut found);
        found
    }

    /// Silent streams with their candidates, and lively ones, by data centre.
    fn by_centre(&self, now: Instant) -> BTreeMap<DataCentre, View> {
        let mut views: BTreeMap<DataCentre, View> = BTreeMap::new();
        for stream in self.streams.iter().flatten() {
            let silent = now >= stream.silent_at();
            let view = views.entry(stream.data_centre.clone()).or_default();
            if !silent {
                view.lively += 1;
            } else if now.since(stream.last) < STALE {
                let candidates = self.candidates(now, stream);
                if !candidates.is_empty() {
                    view.silent.push((stream.due(), candidates));
                }
            }
        }
        views.retain(|_, v| !v.silent.is_empty());
        views
    }

    /// Engines that may be why a stream is silent: nothing came through them since
    /// its event was due, and a little later, as what is past a dead engine still
    /// comes. None if a suspected one explains it.
    fn candidates(&self, now: Instant, stream: &Stream) -> Vec<EngineKey> {
        let path = stream.path.iter();
        let seen = |e: &EngineKey| &self.engines[e.0 as usize];
        if path.clone().any(|e| seen(e).suspected_until > now) {
            return Vec::new();
        }
        let since = stream.due() + past_it(stream.gaps.usual());
        let quiet = path.filter(|e| seen(e).alive <= since);
        quiet.copied().collect()
    }

    fn judge(&mut self, now: Instant, centre: &DataCentre, view: View, found: &mut Found) {
        let silent: Vec<_> = view.silent.iter().map(|(_, c)| c.clone()).collect();
        let through = |e: EngineKey| self.engines[e.0 as usize].streams as usize;
        let named = explain(&silent, view.lively, through);
        for engine in &named {
            let met = silent.iter().filter(|c| c.contains(engine)).count();
            let seen = &mut self.engines[engine.0 as usize];
            seen.suspected_until = now + SUSPECTED_FOR;
            found.suspects.push((seen.address, met));
        }
        let left: Vec<_> = view
            .silent
            .into_iter()
            .filter(|(_, c)| !c.iter().any(|e| named.contains(e)))
            .collect();
        if left.is_empty() {
            return;
        }
        self.look_at = Some(now + LOOK_EVERY);
        if now.since(self.told_at) >= TELL_EVERY {
            let evidence = self.evidence(now, centre, &left, view.lively);
            found.unsure.push(evidence);
        }
    }

    fn evidence(
        &mut self,
        now: Instant,
        centre: &DataCentre,
        left: &[(Instant, Candidates<EngineKey>)],
        lively: usize,
    ) -> Evidence {
        self.told_at = now;
        let of_centre = |s: &&Stream| s.data_centre == *centre;
        let streams = self.streams.iter().flatten().filter(of_centre);
        let mut engines: Vec<EngineKey> = streams.flat_map(|s| s.path.clone()).collect();
        engines.sort_unstable();
        engines.dedup();
        let seen = |e: &EngineKey| &self.engines[e.0 as usize];
        let as_told = |e: &EngineKey| EngineEvidence {
            address: seen(e).address,
            alive_ago: now.since(seen(e).alive),
            streams: seen(e).streams,
        };
        let index = |e: &EngineKey| engines.binary_search(e).ok().map(|i| i as u16);
        let silent = left.iter().map(|(due, candidates)| SilentPath {
            due_ago: now.since(*due),
            candidates: candidates.iter().filter_map(index).collect(),
        });
        Evidence {
            data_centre: centre.clone(),
            engines: engines.iter().map(as_told).collect(),
            silent: silent.collect(),
            lively: lively as u32,
        }
    }

    /// Streams through a suspected engine whose next event is overdue.
    fn take_to_move(&mut self, now: Instant, found: &mut Found) {
        let mut again = None;
        for (slot, stream) in self.streams.iter_mut().enumerate() {
            let Some(stream) = stream else {
                continue;
            };
            let suspected = |e: &EngineKey| self.engines[e.0 as usize].suspected_until > now;
            if !stream.path.iter().any(suspected) {
                continue;
            }
            let not_before = stream.moved.map_or(stream.due(), |at| at + MOVE_AGAIN);
            if now < not_before {
                again = Some(again.map_or(not_before, |a: Instant| a.min(not_before)));
                continue;
            }
            stream.moved = Some(now);
            found.to_move.push(StreamKey {
                slot: slot as u32,
                life: stream.life,
            });
        }
        if let Some(again) = again {
            self.look_at = Some(self.look_at.map_or(again, |at| at.min(again)));
        }
    }

    fn engines_of(&mut self, now: Instant, path: &[SocketAddr]) -> Vec<EngineKey> {
        path.iter().map(|a| self.engine(now, *a)).collect()
    }

    fn engine(&mut self, now: Instant, address: SocketAddr) -> EngineKey {
        let engines = &mut self.engines;
        let key = *self.by_address.entry(address).or_insert_with(|| {
            engines.push(EngineSeen {
                address,
                alive: Instant::ZERO,
                suspected_until: Instant::ZERO,
                streams: 0,
            });
            EngineKey(engines.len() as u32 - 1)
        });
        let seen = &mut engines[key.0 as usize];
        // Nobody has watched it for a while: what was known of it is old.
        if seen.streams == 0 {
            seen.alive = now;
        }
        seen.streams += 1;
        key
    }

    fn leave(&mut self, path: &[EngineKey]) {
        for engine in path {
            let seen = &mut self.engines[engine.0 as usize];
            seen.streams = seen.streams.saturating_sub(1);
        }
    }
}

/// How long after its death events still come that have passed an engine: half a
/// usual gap.
fn past_it(usual: Duration) -> Duration {
    usual / 2
}

#[derive(Default)]
struct View {
    silent: Vec<(Instant, Candidates<EngineKey>)>,
    lively: usize,
}

fn get_mut(streams: &mut [Option<Stream>], key: StreamKey) -> Option<&mut Stream> {
    let stream = streams.get_mut(key.slot as usize)?.as_mut()?;
    (stream.life == key.life).then_some(stream)
}
