//! Which target or path a request takes.

use super::book::TargetBook;
use crate::control::LimitKey;
use crate::routing::draws::Draws;
use crate::routing::paths::{EnginePath, Fullest, Need, NoPath, has_chain, paths};
use crate::state::{DataCentre, EngineModel, Instance, InstanceState, Life};
use crate::time::Instant;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// How full an engine may get with requests that begin.
const MOST: f64 = 1.0;

/// How full with requests that are late already, as their callers were refused
/// before: the last room is for those that can still be in time.
const LATE_MOST: f64 = 0.99;

/// How full with requests that have begun elsewhere: breaking one off costs more
/// than a little crowding. Well past the edge engines refuse, and each refusal
/// costs a repeat.
const BEGUN_MOST: f64 = 1.1;

/// Below this use a request stays in its own data centre.
const STAY_BELOW: f64 = 0.7;

/// Tells the draw of a data centre from those of the stages in it.
const DATA_CENTRES: u64 = u64::MAX;

/// Room that a full data centre counts with, for requests that may crowd it.
const LEAST_ROOM: f64 = 0.02;

/// What a request may claim of the room that is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It begins, and can still be in time.
    New,
    /// It begins, and is late already.
    Late,
    /// It has begun at another target.
    Begun,
}

impl Claim {
    /// How full an engine may get with it, as a part of what it has.
    fn most(self) -> f64 {
        match self {
            Claim::New => MOST,
            Claim::Late => LATE_MOST,
            Claim::Begun => BEGUN_MOST,
        }
    }
}

/// What a request takes of the engines on its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Tokens that it will keep.
    pub tokens: u64,
    /// What it may claim.
    pub claim: Claim,
    /// A random number that spreads requests over engines that are alike.
    pub draw: u64,
}

impl Room {
    /// What it needs of each engine.
    pub fn need(&self) -> Need {
        Need {
            tokens: self.tokens,
            most: self.claim.most(),
            draw: self.draw,
        }
    }
}

/// A target, and the path where engines hold layers.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Where the request is sent.
    pub address: SocketAddr,
    /// Only a target with this id may run it.
    pub instance: String,
    /// The path.
    pub path: Option<EnginePath>,
    /// When the life that is meant started.
    pub born: Option<u64>,
}

impl Choice {
    /// The life that is meant. A target can't tell it from a later one by the id.
    pub fn life(&self) -> Life {
        Life {
            id: self.instance.clone(),
            born: self.born,
        }
    }

    /// The target that is meant, as limits are kept.
    pub fn limit_key(&self) -> LimitKey {
        LimitKey {
            address: self.address,
            life: self.life(),
        }
    }
}

/// Why there is none.
#[derive(Clone, Debug, PartialEq)]
pub enum NoChoice {
    /// No target, or no whole chain.
    NoTarget,
    /// On every path some engine is as full as it may be; the least full one.
    Full(Fullest),
    /// Those that are there want to be left alone, or get as much as they take already;
    /// the time until enough of them take requests again.
    Resting(Duration),
}

/// The path for a request that needs this room; through targets in
/// `avoid` only if there is no other. Before it is refused for want of room, it
/// is sent through targets that have lately answered badly: most of their
/// answers may be whole, and one without whose range a data centre has no chain
/// would take all of its engines away.
pub fn choose_path(
    model: &EngineModel,
    instances: &[Instance],
    book: &TargetBook,
    own: &DataCentre,
    room: Room,
    avoid: &HashSet<SocketAddr>,
    now: Instant,
) -> Result<Choice, NoChoice> {
    let need = room.need();
    let find = |avoid: &HashSet<SocketAddr>| {
        let view = book.at(now, avoid);
        paths(model, instances.iter(), &view, &need)
    };
    let find_any = |avoid: &HashSet<SocketAddr>| {
        let view = book.with_faulty_at(now, avoid);
        paths(model, instances.iter(), &view, &need)
    };
    let mut found = find(avoid);
    if found.is_err() {
        found = find_any(avoid);
    }
    if found == Err(NoPath::Broken) {
        found = find_any(&HashSet::new());
    }
    let found = found.map_err(|none| match none {
        NoPath::Broken => match chain_after(model, instances, book, now) {
            Some(rest) => NoChoice::Resting(rest),
            None => NoChoice::NoTarget,
        },
        NoPath::Full(fullest) => NoChoice::Full(fullest),
    })?;
    let path = draw_data_centre(found, own, room.draw).ok_or(NoChoice::NoTarget)?;
    let first = instances.iter().find(|i| i.id == path.first_id);
    Ok(Choice {
        address: path.stages[0].address,
        instance: path.first_id.clone(),
        born: first.and_then(|i| i.born),
        path: Some(path),
    })
}

/// The time until enough of the engines that rest are there again for a whole chain;
/// nothing if all of them are not enough.
fn chain_after(
    model: &EngineModel,
    instances: &[Instance],
    book: &TargetBook,
    now: Instant,
) -> Option<Duration> {
    let mut ends = rest_ends(instances, book, now);
    ends.sort_unstable();
    let none = HashSet::new();
    let lacks = |then: &Instant| {
        let view = book.rested_by(now, *then, &none);
        !has_chain(model, instances.iter(), &view)
    };
    let end = ends.get(ends.partition_point(lacks))?;
    Some(end.since(now))
}

/// When the rests of these targets end.
fn rest_ends(instances: &[Instance], book: &TargetBook, now: Instant) -> Vec<Instant> {
    let takes_work = |i: &&Instance| takes_work(i, book);
    let takes_work = instances.iter().filter(takes_work);
    let ends = takes_work.filter_map(|i| book.rests_until(now, i));
    ends.collect()
}

/// Whether a target takes new work, as far as it is known; it may want to rest first.
fn takes_work(instance: &Instance, book: &TargetBook) -> bool {
    instance.state != InstanceState::Draining && !book.notices.leaves(instance)
}

/// The path at home if there is room to spare; else one of all, in proportion to
/// the square of their room. If all routers took the emptiest data centre, what
/// they were told would be out of date before the next of them chose.
fn draw_data_centre(mut found: Vec<EnginePath>, own: &DataCentre, draw: u64) -> Option<EnginePath> {
    let home = |p: &EnginePath| p.data_centre == *own && p.fullest.used < STAY_BELOW;
    let drawn = match found.iter().position(home) {
        Some(home) => home,
        None => {
            let room = |p: &EnginePath| (1.0 - p.fullest.used).max(LEAST_ROOM).powi(2);
            Draws::new(draw, DATA_CENTRES).in_proportion(found.iter().map(room))?
        }
    };
    Some(found.swap_remove(drawn))
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
    let takes_work = |i: &&Instance| takes_work(i, book);
    let rests = |i: &Instance| book.rests_until(now, i).is_some();
    let ready = instances.iter().filter(takes_work).filter(|i| !rests(i));
    let ready: Vec<&Instance> = ready.collect();
    if ready.is_empty()
        && let Some(end) = rest_ends(instances, book, now).into_iter().min()
    {
        return Err(NoChoice::Resting(end.since(now)));
    }
    let usable = ready.into_iter().filter(|i| !avoid.contains(&i.address));
    let usable: Vec<&Instance> = usable.collect();
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
        born: best.born,
    })
}
