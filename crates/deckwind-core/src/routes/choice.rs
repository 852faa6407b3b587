//! Which target or path a request takes.

use super::book::TargetBook;
use crate::routing::paths::{EnginePath, paths};
use crate::state::{DataCentre, EngineModel, Instance, InstanceState};
use crate::time::Instant;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Part of a chain's memory that is given out. The rest is for answers that
/// grow beyond their estimate: past the edge every stream of the chain is late.
const MEMORY_GIVEN: f64 = 1.0;

/// Part of the first stage's places that is given out, for what other routers
/// have begun since they last told.
const PLACES_GIVEN: f64 = 0.95;

/// Below this use a request stays in its own data centre.
const STAY_BELOW: f64 = 0.7;

/// How full a chain may get with requests that have begun elsewhere: breaking
/// one off costs more than a little crowding.
const BEGUN_MOST: f64 = 1.2;

/// What a request takes of a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Tokens that it will keep.
    pub tokens: u64,
    /// Whether it has begun at another target.
    pub begun: bool,
    /// A random number that spreads requests over engines that are alike.
    pub draw: u64,
}

/// A target, and the path where engines hold layers.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Where the request is sent.
    pub address: SocketAddr,
    /// Only this life of it may run it.
    pub instance: String,
    /// The path.
    pub path: Option<EnginePath>,
}

/// Why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoChoice {
    /// No target, or no whole chain.
    NoTarget,
    /// All are as full as they may be. The chain with most room:
    Full {
        /// Where it is.
        data_centre: DataCentre,
        /// Tokens that its streams hold.
        tokens: u64,
        /// Tokens that its scarcest engine keeps.
        most: u64,
        /// Its streams.
        streams: u32,
    },
}

/// The path for a request that needs this room; through targets in
/// `avoid` only if there is no other.
pub fn choose_path(
    model: &EngineModel,
    instances: &[Instance],
    book: &TargetBook,
    own: &DataCentre,
    room: Room,
    avoid: &HashSet<SocketAddr>,
    now: Instant,
) -> Result<Choice, NoChoice> {
    let mut open = Vec::new();
    let mut found = paths(model, instances.iter(), &book.at(now, avoid, room.draw));
    if found.is_empty() {
        found = paths(
            model,
            instances.iter(),
            &book.at(now, &HashSet::new(), room.draw),
        );
    }
    if found.is_empty() {
        return Err(NoChoice::NoTarget);
    }
    let roomiest = found.iter().max_by(|a, b| a.tokens.total_cmp(&b.tokens));
    let full = roomiest.map(|path| full(book, path));
    for path in found {
        if let Some(used) = use_with(book, &path, room) {
            let home = path.data_centre == *own && used < STAY_BELOW;
            open.push((if home { 0.0 } else { used }, path));
        }
    }
    let best = open.into_iter().min_by(|a, b| a.0.total_cmp(&b.0));
    let Some((_, path)) = best else {
        return Err(full.unwrap_or(NoChoice::NoTarget));
    };
    Ok(Choice {
        address: path.stages[0].address,
        instance: path.first_id.clone(),
        path: Some(path),
    })
}

fn full(book: &TargetBook, path: &EnginePath) -> NoChoice {
    NoChoice::Full {
        data_centre: path.data_centre.clone(),
        tokens: book.tokens(&path.data_centre),
        most: path.tokens as u64,
        streams: book.streams(&path.data_centre),
    }
}

/// How full a chain is with one more request, as a part of what is given out;
/// nothing if it does not fit.
fn use_with(book: &TargetBook, path: &EnginePath, room: Room) -> Option<f64> {
    let held = book.tokens(&path.data_centre);
    let streams = book.streams(&path.data_centre);
    let memory = (held + room.tokens) as f64 / (path.tokens * MEMORY_GIVEN).max(1.0);
    let places = f64::from(streams + 1) / (f64::from(path.places.max(1)) * PLACES_GIVEN);
    let used = memory.max(places);
    let most = if room.begun { BEGUN_MOST } else { 1.0 };
    (used <= most || streams == 0).then_some(used)
}

/// The target for a request that one target serves alone: the least busy; one's
/// own data centre where that is equal.
pub fn choose_plain(
    instances: &[Instance],
    book: &TargetBook,
    own: &DataCentre,
    avoid: &HashSet<SocketAddr>,
    at: f64,
    now: Instant,
) -> Result<Choice, NoChoice> {
    let usable = |i: &&Instance| i.state != InstanceState::Draining && !avoid.contains(&i.address);
    let usable: Vec<&Instance> = instances.iter().filter(usable).collect();
    let start = (at * usable.len() as f64) as usize;
    let rotated = usable.iter().cycle().skip(start).take(usable.len());
    let cost = |i: &Instance| {
        let doubtful = i.state == InstanceState::Silent || book.avoids(now, i.address);
        let load = book.in_flight(i.address) * 1_000 / i.slots.max(1);
        (doubtful, load, i.data_centre != *own)
    };
    let best = rotated.min_by_key(|i| cost(i)).ok_or(NoChoice::NoTarget)?;
    Ok(Choice {
        address: best.address,
        instance: best.id.clone(),
        path: None,
    })
}
