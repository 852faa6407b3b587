//! What a router counts against targets: requests in flight, tokens that
//! streams keep there, and failures.

use super::limits::TargetLimits;
use super::notices::TargetNotices;
use crate::control::{EngineFull, EngineUse, UseNews, UseNumber};
use crate::routing::paths::{EngineView, Held, Stage};
use crate::state::Instance;
use crate::time::Instant;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// First time for which a failed target is avoided; doubles with each failure.
const AVOID_FIRST: Duration = Duration::from_millis(500);

/// Longest such time: a target that came back is soon tried again.
const AVOID_MOST: Duration = Duration::from_secs(4);

/// Answers that make up for one failure: a target that fails more than a third
/// of its requests is avoided for longer and longer.
const FAULTS_PER_FAILURE: u32 = 2;

/// Most faults that are remembered: those of four failures.
const MOST_FAULTS: u32 = 4 * FAULTS_PER_FAILURE;

/// How long an engine without room is avoided by who was refused: a few answers end
/// meanwhile.
const NO_ROOM_FOR: Duration = Duration::from_millis(300);

/// How long what streams held there when it refused one is the most that it is
/// taken to hold. What a router counted there is out of date by then: for longer, more
/// requests would find no path at all.
const REFUSED_FOR: Duration = Duration::from_millis(250);

/// How a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// It can't be reached, or what passes through it stands still.
    Down,
    /// It answered, but badly, or broke one answer off. Others may be whole.
    Answer,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    in_flight: u32,
    /// Until when it is avoided, whatever its fault.
    avoided_until: Instant,
    /// Until when it counts as down.
    down_until: Instant,
    /// Until when another router's failure counts.
    doubted_until: Instant,
    /// Until when it is suspected, as streams through it fell silent together.
    suspected_until: Instant,
    /// Rises with failures, falls with answers.
    faults: u32,
}

/// Counts of one router.
#[derive(Clone, Debug, Default)]
pub struct TargetBook {
    targets: HashMap<SocketAddr, Account>,
    /// What this router's streams hold at engines.
    own: HashMap<SocketAddr, Held>,
    /// What those of all routers hold, as the leader last told.
    told: HashMap<SocketAddr, Held>,
    /// Up to where it has told that.
    use_known: Option<UseNumber>,
    /// What this router's streams held when it last reported: part of what was told.
    reported: HashMap<SocketAddr, Held>,
    /// Engines that have refused a request for want of room.
    refused: HashMap<SocketAddr, Refused>,
    /// Engines that are slow, as the leader last told, and until when that holds.
    slow: HashSet<SocketAddr>,
    slow_until: Instant,
    /// What targets have said of themselves.
    pub notices: TargetNotices,
    /// Limits that they have named.
    pub limits: TargetLimits,
}

/// An engine had no room.
#[derive(Clone, Copy, Debug)]
struct Refused {
    /// What streams held there, tokens times layers.
    layer_tokens: u64,
    until: Instant,
}

/// The book at one moment, for one request.
pub struct BookAt<'a> {
    book: &'a TargetBook,
    now: Instant,
    /// Targets that this request is not to be sent through.
    avoid: &'a HashSet<SocketAddr>,
    /// Whether targets that have lately answered badly may be used.
    takes_faulty: bool,
    /// Targets whose rest is over by then may be used.
    rested_by: Instant,
}

impl EngineView for BookAt<'_> {
    fn avoids(&self, instance: &Instance) -> bool {
        let address = instance.address;
        let avoided = match self.takes_faulty {
            true => self.book.is_down(self.now, address),
            false => self.book.avoids(self.now, address),
        };
        let notices = &self.book.notices;
        let turns_away =
            notices.leaves(instance) || self.book.rests_until(self.rested_by, instance).is_some();
        avoided || turns_away || self.avoid.contains(&address)
    }

    fn held(&self, address: SocketAddr) -> Held {
        self.book.held(address)
    }

    fn refused_at(&self, address: SocketAddr) -> Option<u64> {
        let refused = self.book.refused.get(&address);
        let lately = refused.filter(|r| r.until > self.now);
        lately.map(|r| r.layer_tokens)
    }

    fn suspects(&self, address: SocketAddr) -> bool {
        self.book.suspects(self.now, address) || self.book.is_slow(self.now, address)
    }
}

impl TargetBook {
    /// The book as of `now`, for a request that is not to be sent through the
    /// targets in `avoid`.
    pub fn at<'a>(&'a self, now: Instant, avoid: &'a HashSet<SocketAddr>) -> BookAt<'a> {
        BookAt {
            book: self,
            now,
            avoid,
            takes_faulty: false,
            rested_by: now,
        }
    }

    /// The same, where a target that has lately answered badly is better than
    /// none.
    pub fn with_faulty_at<'a>(
        &'a self,
        now: Instant,
        avoid: &'a HashSet<SocketAddr>,
    ) -> BookAt<'a> {
        BookAt {
            takes_faulty: true,
            ..self.at(now, avoid)
        }
    }

    /// The same once the rests that are over by `then` are over.
    pub fn rested_by<'a>(
        &'a self,
        now: Instant,
        then: Instant,
        avoid: &'a HashSet<SocketAddr>,
    ) -> BookAt<'a> {
        BookAt {
            rested_by: then,
            ..self.with_faulty_at(now, avoid)
        }
    }

    /// Until when nothing may be sent to a target: it wants to be left alone, or others
    /// send as much as it takes. Nothing if something may be.
    pub fn rests_until(&self, now: Instant, instance: &Instance) -> Option<Instant> {
        let rests = self.notices.rests_until(now, instance);
        rests.max(self.limits.denied_until(now, instance))
    }

    /// Requests in flight at a target.
    pub fn in_flight(&self, address: SocketAddr) -> u32 {
        self.targets.get(&address).map_or(0, |a| a.in_flight)
    }

    /// Whether a target has failed lately.
    pub fn avoids(&self, now: Instant, address: SocketAddr) -> bool {
        let account = self.targets.get(&address);
        account.is_some_and(|a| a.avoided_until > now)
    }

    /// Whether a target could not be reached, or stood still, lately.
    pub fn is_down(&self, now: Instant, address: SocketAddr) -> bool {
        let account = self.targets.get(&address);
        account.is_some_and(|a| a.down_until > now)
    }

    /// Other routers say that these targets are down.
    pub fn doubt(&mut self, until: Instant, addresses: &[SocketAddr]) {
        for address in addresses {
            self.targets.entry(*address).or_default().doubted_until = until;
        }
    }

    /// Streams that fell silent together name this target.
    pub fn suspect(&mut self, until: Instant, address: SocketAddr) {
        self.targets.entry(address).or_default().suspected_until = until;
    }

    /// The leader names the engines that are slow.
    pub fn slow_are(&mut self, until: Instant, slow: impl Iterator<Item = SocketAddr>) {
        self.slow = slow.collect();
        self.slow_until = until;
    }

    /// Whether an engine is slow: new requests are better off without it, and it
    /// without them.
    pub fn is_slow(&self, now: Instant, address: SocketAddr) -> bool {
        self.slow_until > now && self.slow.contains(&address)
    }

    /// Something came through a suspected or doubted target: it is well.
    pub fn cleared(&mut self, address: SocketAddr) {
        if let Some(account) = self.targets.get_mut(&address) {
            account.suspected_until = Instant::ZERO;
            account.doubted_until = Instant::ZERO;
        }
    }

    /// Whether streams that fell silent together named a target lately.
    pub fn suspects(&self, now: Instant, address: SocketAddr) -> bool {
        let account = self.targets.get(&address);
        account.is_some_and(|a| a.suspected_until > now)
    }

    /// Whether a target was down lately, for this router or another one, or is
    /// suspected: streams that stand still are better off without it.
    pub fn doubts(&self, now: Instant, address: SocketAddr) -> bool {
        let until = |a: &Account| a.down_until.max(a.doubted_until).max(a.suspected_until);
        let account = self.targets.get(&address);
        account.is_some_and(|a| until(a) > now)
    }

    /// A request is sent through these targets.
    pub fn began(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.targets.entry(*address).or_default().in_flight += 1;
        }
    }

    /// It has ended.
    pub fn ended(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            let account = self.targets.entry(*address).or_default();
            account.in_flight = account.in_flight.saturating_sub(1);
        }
    }

    /// A target has failed: it is avoided for a while. How long.
    pub fn failed(&mut self, now: Instant, address: SocketAddr, fault: TargetFault) -> Duration {
        let account = self.targets.entry(address).or_default();
        let until = match fault {
            TargetFault::Down => account.down_until,
            TargetFault::Answer => account.avoided_until,
        };
        if until > now {
            return until.since(now);
        }
        let doubled = account.faults / FAULTS_PER_FAILURE;
        let wait = (AVOID_FIRST * 2u32.pow(doubled)).min(AVOID_MOST);
        account.faults = (account.faults + FAULTS_PER_FAILURE).min(MOST_FAULTS);
        account.avoided_until = account.avoided_until.max(now + wait);
        if fault == TargetFault::Down {
            account.down_until = now + wait;
        }
        wait
    }

    /// A target had no room. It is avoided for a moment by this router; what the
    /// others are to hear.
    pub fn had_no_room(&mut self, now: Instant, address: SocketAddr) -> EngineFull {
        self.avoid_full(now, address);
        let full = EngineFull {
            address,
            layer_tokens: self.held(address).layer_tokens,
        };
        self.are_full(now, &[full]);
        full
    }

    /// Sends nothing through an engine without room for a moment.
    pub fn avoid_full(&mut self, now: Instant, address: SocketAddr) {
        let account = self.targets.entry(address).or_default();
        account.avoided_until = account.avoided_until.max(now + NO_ROOM_FOR);
    }

    /// Engines have just refused a request of this router or another one. They are
    /// well: as much as they held then they hold again.
    pub fn are_full(&mut self, now: Instant, full: &[EngineFull]) {
        self.refused.retain(|_, r| r.until > now);
        for one in full {
            let refused = Refused {
                layer_tokens: one.layer_tokens,
                until: now + REFUSED_FOR,
            };
            self.refused.insert(one.address, refused);
        }
    }

    /// A target has answered well.
    pub fn answered(&mut self, address: SocketAddr) {
        if let Some(account) = self.targets.get_mut(&address) {
            account.faults = account.faults.saturating_sub(1);
        }
    }

    /// A stream takes memory at the engines on its path.
    pub fn takes(&mut self, stages: &[Stage], tokens: u64) {
        for stage in stages {
            let held = self.own.entry(stage.address).or_default();
            held.layer_tokens += tokens * u64::from(stage.layers.len());
        }
        if let Some(first) = stages.first() {
            self.own.entry(first.address).or_default().begun += 1;
        }
    }

    /// It gives it back.
    pub fn gives_back(&mut self, stages: &[Stage], tokens: u64) {
        for stage in stages {
            let held = self.own.entry(stage.address).or_default();
            let less = tokens * u64::from(stage.layers.len());
            held.layer_tokens = held.layer_tokens.saturating_sub(less);
        }
        if let Some(first) = stages.first() {
            let held = self.own.entry(first.address).or_default();
            held.begun = held.begun.saturating_sub(1);
        }
        self.own.retain(|_, held| *held != Held::default());
    }

    /// What all other routers' streams hold.
    pub fn others_hold(&mut self, uses: &[EngineUse]) {
        self.told = uses.iter().map(|u| (u.address, u.held())).collect();
        self.reported.clear();
    }

    /// The leader has answered a renewal that reported `own`; what it told of the
    /// streams of all routers, if there was any news.
    pub fn use_told(&mut self, own: &[EngineUse], news: Option<&UseNews>) {
        self.reported = own.iter().map(|u| (u.address, u.held())).collect();
        let Some(news) = news else {
            return;
        };
        if news.all {
            self.told.clear();
        }
        for one in &news.engines {
            match one.held() == Held::default() {
                true => self.told.remove(&one.address),
                false => self.told.insert(one.address, one.held()),
            };
        }
        self.use_known = Some(news.upto);
    }

    /// Up to where the leader has told what the streams of all routers hold.
    pub fn use_known(&self) -> Option<UseNumber> {
        self.use_known
    }

    /// What this router's streams hold, for the others; by address.
    pub fn own_use(&self) -> Vec<EngineUse> {
        let own = self.own.iter();
        let own = own.map(|(address, held)| EngineUse::new(*address, *held));
        let mut own: Vec<EngineUse> = own.collect();
        own.sort_unstable_by_key(|u| u.address);
        own
    }

    /// What the streams of all routers hold at an engine.
    pub fn held(&self, address: SocketAddr) -> Held {
        let of = |map: &HashMap<SocketAddr, Held>| map.get(&address).copied().unwrap_or_default();
        let (own, told, reported) = (of(&self.own), of(&self.told), of(&self.reported));
        let others = told.layer_tokens.saturating_sub(reported.layer_tokens);
        Held {
            layer_tokens: own.layer_tokens + others,
            begun: own.begun + told.begun.saturating_sub(reported.begun),
        }
    }

    /// The life at an address is over: how it failed says nothing of the next one.
    /// What still passes through it stands still, so it counts as doubtful for
    /// streams until `until`.
    pub fn life_over(&mut self, until: Instant, address: SocketAddr) {
        let account = self.targets.entry(address).or_default();
        *account = Account {
            in_flight: account.in_flight,
            doubted_until: until,
            ..Account::default()
        };
    }

    /// Targets that are down now.
    pub fn failing(&self, now: Instant) -> Vec<SocketAddr> {
        let failing = self.targets.iter().filter(|(_, t)| t.down_until > now);
        failing.map(|(a, _)| *a).collect()
    }

    /// Forgets targets that `keep` does not name and that serve nothing.
    pub fn retain(&mut self, now: Instant, keep: impl Fn(&SocketAddr) -> bool) {
        self.notices.forget(now, &keep);
        self.limits.forget(&keep);
        self.targets.retain(|a, t| t.in_flight > 0 || keep(a));
    }
}
