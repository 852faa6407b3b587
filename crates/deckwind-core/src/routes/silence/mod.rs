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
//!       └──► engines on its path are alive ──┴► explain ──► ask about one stream
//!                             suspect ◄── answer ◄──────────┘   └► streams to move
//! ```
//!
//! What streams show is how things look; a first engine that is ordered to keep a
//! stream's path as it is refuses at once if a stage of it is gone, and names it
//! (its report tells what was so some 200 ms ago). So the streams decide when to
//! ask, and about which of them: one question for all that fell silent together.
//! If no answer comes, what they show holds.
//!
//! For streams on routes that say how long a pause may be; that sets the time
//! scale. A router that was itself kept from running draws no conclusions for a
//! moment: all its streams look silent then.

mod explain;
mod gaps;
mod stream;

pub use explain::{Candidates, explain};
pub use stream::StreamKey;

use crate::state::DataCentre;
use crate::time::Instant;
use gaps::Gaps;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use stream::{EngineKey, EngineSeen, Stream, get_mut};

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

/// Part of the longest pause on time after which a stream that is silent alone is
/// asked about: of 5,500 streams on a calm day 24 pause for longer in their lives.
const ALONE_PART: f64 = 0.5;

/// Between two questions about one stream.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// Questions of a router under way at a time.
const MOST_ASKED: usize = 4;

/// Questions in vain that a router may ask at once, and the time that brings back
/// one. An order costs a little, and engines that are slow, not gone, make streams
/// look silent all the time: 26,736 questions by 60 routers on a day of 34 s with 14
/// engines 12 times as slow.
const VAIN_AT_ONCE: u32 = 6;
const VAIN_EVERY: Duration = Duration::from_secs(4);

/// Longest silence that says anything: engines let go of what depends on a dead
/// one after some 2 s.
const STALE: Duration = Duration::from_millis(1_000);

/// What became of a question about a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// This stage of its path is gone.
    Gone(SocketAddr),
    /// All stages are there.
    AllThere,
    /// None came, or one that tells nothing.
    Unknown,
}

/// What a look found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    /// Streams about which their first engine is to be asked.
    pub to_ask: Vec<StreamKey>,
    /// Streams that pass through a suspected engine and should leave it.
    pub to_move: Vec<StreamKey>,
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
    /// Streams that were silent then have been looked at.
    looked_at: Instant,
    /// Questions under way, with the engine that the silent streams name.
    asked: BTreeMap<StreamKey, Option<EngineKey>>,
    vain: Vain,
}

/// Questions in vain, as a bucket that empties.
#[derive(Clone, Copy, Debug, Default)]
struct Vain {
    count: u32,
    /// When the last one was forgotten.
    at: Instant,
}

impl Vain {
    /// Whether another question may be asked, beside `under_way`.
    fn allows(&mut self, now: Instant, under_way: usize) -> bool {
        while self.count > 0 && now.since(self.at) >= VAIN_EVERY {
            self.count -= 1;
            self.at = self.at + VAIN_EVERY;
        }
        self.count + (under_way as u32) < VAIN_AT_ONCE
    }

    fn one_more(&mut self, now: Instant) {
        if self.count == 0 {
            self.at = now;
        }
        self.count += 1;
    }
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
            asked: None,
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
        stream.asked = None;
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
        stream.asked = None;
        self.leave(&before);
    }

    /// A stream has ended.
    pub fn end(&mut self, key: StreamKey) {
        if get_mut(&mut self.streams, key).is_none() {
            return;
        }
        self.asked.remove(&key);
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
                seen.gone = false;
                self.look_at = Some(now);
            }
        }
    }

    /// When to look next; nothing while no stream is watched.
    pub fn look_at(&self) -> Option<Instant> {
        let silent_at = self.streams.iter().flatten().map(Stream::silent_at);
        let first = silent_at.filter(|at| *at > self.looked_at).min();
        let sooner = match (self.look_at, first) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        sooner.map(|at| at.max(self.blind_until))
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
        self.looked_at = now;
        let mut found = Found::default();
        for view in self.by_centre(now).into_values() {
            self.choose_to_ask(now, &view, &mut found);
        }
        self.take_to_move(now, &mut found);
        found
    }

    /// What the first engine of a stream said. The engine that is suspected from now
    /// on.
    pub fn answered(&mut self, now: Instant, key: StreamKey, answer: Answer) -> Option<SocketAddr> {
        let named = self.asked.remove(&key).flatten();
        if answer == Answer::AllThere {
            self.vain.one_more(now);
        }
        let gone = match answer {
            Answer::Gone(address) => self.by_address.get(&address).copied(),
            Answer::AllThere => None,
            Answer::Unknown => named,
        };
        let seen = &mut self.engines[gone?.0 as usize];
        let news = seen.suspected_until <= now;
        seen.suspected_until = now + SUSPECTED_FOR;
        seen.gone = matches!(answer, Answer::Gone(_));
        self.look_at = Some(now);
        news.then_some(seen.address)
    }

    /// Engines that may be slow: a stream pauses though all of its stages are there,
    /// and nothing came through these since its event was due.
    pub fn perhaps_slow(&self, now: Instant, key: StreamKey) -> Vec<SocketAddr> {
        let stream = self.streams.get(key.slot as usize);
        let stream = stream.and_then(|s| s.as_ref().filter(|s| s.life == key.life));
        let candidates = stream.map(|s| self.candidates(now, s));
        let address = |e: EngineKey| self.engines[e.0 as usize].address;
        candidates.into_iter().flatten().map(address).collect()
    }

    /// Silent streams with their candidates, and lively ones, by data centre.
    fn by_centre(&self, now: Instant) -> BTreeMap<DataCentre, View> {
        let mut views: BTreeMap<DataCentre, View> = BTreeMap::new();
        for (slot, stream) in self.streams.iter().enumerate() {
            let Some(stream) = stream else {
                continue;
            };
            let view = views.entry(stream.data_centre.clone()).or_default();
            if now < stream.silent_at() {
                view.lively += 1;
            } else if now.since(stream.last) < STALE {
                let candidates = self.candidates(now, stream);
                if !candidates.is_empty() {
                    let slot = slot as u32;
                    let life = stream.life;
                    view.silent.push((StreamKey { slot, life }, candidates));
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

    /// One stream for each engine that silent ones name, and those that have been
    /// silent alone for long.
    fn choose_to_ask(&mut self, now: Instant, view: &View, found: &mut Found) {
        self.look_at = Some(now + LOOK_EVERY);
        let silent: Vec<_> = view.silent.iter().map(|(_, c)| c.clone()).collect();
        let through = |e: EngineKey| self.engines[e.0 as usize].streams as usize;
        let named = explain(&silent, view.lively, through);
        let mut unasked = named.clone();
        for (key, candidates) in &view.silent {
            let names = candidates.iter().find(|e| unasked.contains(e)).copied();
            let Some(stream) = get_mut(&mut self.streams, *key) else {
                continue;
            };
            let alone = stream.pause.mul_f64(ALONE_PART);
            let explained = candidates.iter().any(|e| named.contains(e));
            let long = now.since(stream.last) >= alone && !explained;
            let lately = stream.asked.is_some_and(|at| now.since(at) < ASK_AGAIN);
            // Whoever waits for an answer waits for all that share the engine.
            let waits = self.asked.values().any(|e| e.is_some() && *e == names);
            let under_way = self.asked.len();
            let full = under_way >= MOST_ASKED || !self.vain.allows(now, under_way);
            if lately || waits || full || (names.is_none() && !long) {
                continue;
            }
            stream.asked = Some(now);
            unasked.retain(|e| !candidates.contains(e));
            self.asked.insert(*key, names);
            found.to_ask.push(*key);
        }
    }

    /// Streams through a suspected engine whose next event is overdue, or can't come.
    fn take_to_move(&mut self, now: Instant, found: &mut Found) {
        let mut again = None;
        for (slot, stream) in self.streams.iter_mut().enumerate() {
            let Some(stream) = stream else {
                continue;
            };
            let seen = stream.path.iter().map(|e| &self.engines[e.0 as usize]);
            let mut suspected = seen.filter(|e| e.suspected_until > now).peekable();
            if suspected.peek().is_none() {
                continue;
            }
            let since = match suspected.any(|e| e.gone) {
                true => stream.last,
                false => stream.due(),
            };
            let not_before = stream.moved.map_or(since, |at| at + MOVE_AGAIN);
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
                gone: false,
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
    silent: Vec<(StreamKey, Candidates<EngineKey>)>,
    lively: usize,
}
