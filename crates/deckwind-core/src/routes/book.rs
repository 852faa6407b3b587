//! What a router counts against targets: requests in flight, tokens that its
//! streams keep, and failures.

use crate::control::PathUse;
use crate::routing::paths::EngineView;
use crate::state::DataCentre;
use crate::time::Instant;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// First time for which a failed target is avoided; doubles with each failure.
const AVOID_FIRST: Duration = Duration::from_millis(500);

/// Longest such time: a target that came back is soon tried again.
const AVOID_MOST: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    in_flight: u32,
    avoided_until: Instant,
    /// Until when another router's failure counts.
    doubted_until: Instant,
    failures: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    tokens: u64,
    streams: u32,
}

/// Counts of one router.
#[derive(Clone, Debug, Default)]
pub struct TargetBook {
    targets: HashMap<SocketAddr, Account>,
    own: BTreeMap<DataCentre, Held>,
    others: BTreeMap<DataCentre, Held>,
}

/// The book at one moment, for one request.
pub struct BookAt<'a> {
    book: &'a TargetBook,
    now: Instant,
    /// Targets that this request is not to be sent through.
    avoid: &'a HashSet<SocketAddr>,
    /// Spreads this request over engines that are alike.
    draw: u64,
}

impl EngineView for BookAt<'_> {
    fn avoids(&self, address: SocketAddr) -> bool {
        self.avoid.contains(&address) || self.book.avoids(self.now, address)
    }

    fn streams(&self, address: SocketAddr) -> u32 {
        self.book.in_flight(address)
    }

    fn spread(&self, address: SocketAddr) -> f64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::with_seed(self.draw);
        address.hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }
}

impl TargetBook {
    /// The book as of `now`, for a request that is not to be sent through the
    /// targets in `avoid`; `draw` is a random number.
    pub fn at<'a>(&'a self, now: Instant, avoid: &'a HashSet<SocketAddr>, draw: u64) -> BookAt<'a> {
        BookAt {
            book: self,
            now,
            avoid,
            draw,
        }
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

    /// Other routers say that these targets fail them.
    pub fn doubt(&mut self, until: Instant, addresses: &[SocketAddr]) {
        for address in addresses {
            self.targets.entry(*address).or_default().doubted_until = until;
        }
    }

    /// Whether a target has failed this router or another one lately.
    pub fn doubts(&self, now: Instant, address: SocketAddr) -> bool {
        let account = self.targets.get(&address);
        account.is_some_and(|a| a.avoided_until.max(a.doubted_until) > now)
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
    pub fn failed(&mut self, now: Instant, address: SocketAddr) -> Duration {
        let account = self.targets.entry(address).or_default();
        if account.avoided_until > now {
            return account.avoided_until.since(now);
        }
        let wait = AVOID_FIRST * 2u32.pow(account.failures.min(8));
        let wait = wait.min(AVOID_MOST);
        account.failures += 1;
        account.avoided_until = now + wait;
        wait
    }

    /// A target has answered well.
    pub fn answered(&mut self, address: SocketAddr) {
        if let Some(account) = self.targets.get_mut(&address) {
            account.failures = 0;
        }
    }

    /// A stream takes memory in a data centre.
    pub fn takes(&mut self, data_centre: &DataCentre, tokens: u64) {
        let held = self.own.entry(data_centre.clone()).or_default();
        held.tokens += tokens;
        held.streams += 1;
    }

    /// It gives it back.
    pub fn gives_back(&mut self, data_centre: &DataCentre, tokens: u64) {
        if let Some(held) = self.own.get_mut(data_centre) {
            held.tokens = held.tokens.saturating_sub(tokens);
            held.streams = held.streams.saturating_sub(1);
        }
    }

    /// What all other routers' streams hold.
    pub fn others_hold(&mut self, uses: Vec<PathUse>) {
        let held = |u: PathUse| {
            let held = Held {
                tokens: u.tokens,
                streams: u.streams,
            };
            (u.data_centre, held)
        };
        self.others = uses.into_iter().map(held).collect();
    }

    /// What this router's streams hold, for the others.
    pub fn own_use(&self) -> Vec<PathUse> {
        let one = |(dc, held): (&DataCentre, &Held)| PathUse {
            data_centre: dc.clone(),
            tokens: held.tokens,
            streams: held.streams,
        };
        self.own.iter().map(one).collect()
    }

    /// Targets that are avoided now.
    pub fn failing(&self, now: Instant) -> Vec<SocketAddr> {
        let failing = self.targets.iter().filter(|(_, t)| t.avoided_until > now);
        failing.map(|(a, _)| *a).collect()
    }

    /// Tokens that all routers' streams hold in a data centre.
    pub fn tokens(&self, data_centre: &DataCentre) -> u64 {
        let of = |map: &BTreeMap<DataCentre, Held>| map.get(data_centre).map_or(0, |h| h.tokens);
        of(&self.own) + of(&self.others)
    }

    /// Streams of all routers in a data centre.
    pub fn streams(&self, data_centre: &DataCentre) -> u32 {
        let of = |map: &BTreeMap<DataCentre, Held>| map.get(data_centre).map_or(0, |h| h.streams);
        of(&self.own) + of(&self.others)
    }

    /// Forgets targets that `keep` does not name and that serve nothing.
    pub fn retain(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        self.targets.retain(|a, t| t.in_flight > 0 || keep(a));
    }
}
