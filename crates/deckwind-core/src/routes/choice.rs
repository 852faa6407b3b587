//! Choice of the target, or of the path through engines, that a request takes.

use super::target_records::{TargetRecords, TargetRecordsAt};
use crate::control::LimitKey;
use crate::routing::paths::{
    Bottleneck, EnginePath, PathError, PathRequirements, find_paths, has_chain,
};
use crate::routing::seeded_rng::SeededRng;
use crate::state::{DataCentre, EngineModel, Incarnation, Instance, InstanceState};
use crate::time::Instant;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum load of an engine for new requests, as a fraction of its capacity.
const MAX_LOAD_NEW: f64 = 1.0;

/// Maximum load of an engine for requests that are already late because their callers were
/// refused before. The last capacity is reserved for requests that can still be on time.
const MAX_LOAD_LATE: f64 = 0.99;

/// Maximum load of an engine for requests that have begun at another target. Interrupting
/// one costs more than slight overload. Engines refuse requests well above this value, and
/// each refusal costs a retry.
const MAX_LOAD_BEGUN: f64 = 1.1;

/// A request stays in its own data centre while the load of the fullest engine is below
/// this.
const MAX_LOCAL_LOAD: f64 = 0.7;

/// Draw index for the choice of a data centre, distinct from those of the stages inside it.
const DATA_CENTRE_DRAW: u64 = u64::MAX;

/// Free capacity that a full data centre counts with when one is drawn, for requests that
/// may overload it.
const MIN_FREE_CAPACITY: f64 = 0.02;

/// Share of a pool's targets that are silent at the same time from which silence is ignored,
/// in percent. So many seldom die together; rather, the control replicas have lost their
/// network path to them, and routers find out by themselves which of them are dead.
const MANY_SILENT_PERCENT: usize = 50;

/// Priority of a request for the capacity that is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// The request begins and can still be on time.
    New,
    /// The request begins and is already late.
    Late,
    /// The request has begun at another target.
    Begun,
}

impl RequestClass {
    /// Maximum load of an engine with this request, as a fraction of its capacity.
    fn max_load(self) -> f64 {
        match self {
            RequestClass::New => MAX_LOAD_NEW,
            RequestClass::Late => MAX_LOAD_LATE,
            RequestClass::Begun => MAX_LOAD_BEGUN,
        }
    }
}

/// Capacity that a request takes of the engines on its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityDemand {
    /// Number of tokens that the request will hold.
    pub tokens: u64,
    /// Priority for the capacity that is left.
    pub claim: RequestClass,
    /// Random number that spreads requests over equivalent engines.
    pub draw: u64,
}

impl CapacityDemand {
    /// Returns the demand on each engine of the path.
    pub fn need(&self) -> PathRequirements {
        PathRequirements {
            tokens: self.tokens,
            max_utilization: self.claim.max_load(),
            path_seed: self.draw,
        }
    }
}

/// The chosen target, with the path if engines hold layers.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetChoice {
    /// Address to which the request is sent.
    pub address: SocketAddr,
    /// Id of the target. A target with another id must not run the request.
    pub instance: String,
    /// Path through engines, if the target is an engine.
    pub path: Option<EnginePath>,
    /// Start time of the chosen incarnation.
    pub born: Option<u64>,
}

impl TargetChoice {
    /// Returns the chosen incarnation. The id alone does not distinguish it from a later
    /// incarnation of the same target.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.instance.clone(),
            born: self.born,
        }
    }

    /// Returns the key under which request limits of the target are stored.
    pub fn limit_key(&self) -> LimitKey {
        LimitKey {
            address: self.address,
            life: self.incarnation(),
        }
    }
}

/// The reason why no target was chosen.
#[derive(Clone, Debug, PartialEq)]
pub enum ChoiceError {
    /// There is no target, or no complete chain of engines.
    NoTarget,
    /// Every path has an engine at its maximum load. Holds the least full of these engines.
    Full(Bottleneck),
    /// The available targets asked for a rest period or already get as many requests as
    /// they accept. Holds the time until enough of them accept requests again.
    Resting(Duration),
}

/// Chooses a path for a request that needs this capacity, through targets in `avoid` only
/// if there is no other path.
///
/// Before a request is refused for lack of capacity, targets that recently gave bad answers
/// are allowed too. Most of their answers may be complete. If such an engine is the only
/// one with its layer range, excluding it would leave its data centre without a chain and
/// waste all engines there.
///
/// # Errors
///
/// Returns [`ChoiceError`] if there is no chain, if all paths are full, or if the engines
/// needed for a chain are resting.
pub fn choose_path(
    model: &EngineModel,
    instances: &[Instance],
    records: &TargetRecords,
    own: &DataCentre,
    demand: CapacityDemand,
    avoid: &HashSet<SocketAddr>,
    now: Instant,
) -> Result<TargetChoice, ChoiceError> {
    let need = demand.need();
    let allow_silent = are_many_silent(instances);
    let find_in = |view: TargetRecordsAt<'_>| {
        let view = match allow_silent {
            true => view.with_silent(),
            false => view,
        };
        find_paths(model, instances.iter(), &view, &need)
    };
    let find = |avoid: &HashSet<SocketAddr>| find_in(records.at(now, avoid));
    let find_any = |avoid: &HashSet<SocketAddr>| find_in(records.with_faulty_at(now, avoid));
    let mut found = find(avoid);
    if found.is_err() {
        found = find_any(avoid);
    }
    if found == Err(PathError::Broken) {
        found = find_any(&HashSet::new());
    }
    let found = found.map_err(|none| match none {
        PathError::Broken => match time_until_chain(model, instances, records, now) {
            Some(rest) => ChoiceError::Resting(rest),
            None => ChoiceError::NoTarget,
        },
        PathError::Full(fullest) => ChoiceError::Full(fullest),
    })?;
    let path = draw_data_centre(found, own, demand.draw).ok_or(ChoiceError::NoTarget)?;
    let first = instances.iter().find(|i| i.id == path.first_id);
    Ok(TargetChoice {
        address: path.stages[0].address,
        instance: path.first_id.clone(),
        born: first.and_then(|i| i.born),
        path: Some(path),
    })
}

/// Whether so many targets are silent that a lost network path is more likely than their
/// death.
fn are_many_silent(instances: &[Instance]) -> bool {
    let silent = instances
        .iter()
        .filter(|i| i.state == InstanceState::Silent);
    silent.count() * 100 >= instances.len() * MANY_SILENT_PERCENT
}

/// Returns the time until enough resting engines are available again for a complete chain,
/// or `None` if even all of them are not enough.
fn time_until_chain(
    model: &EngineModel,
    instances: &[Instance],
    records: &TargetRecords,
    now: Instant,
) -> Option<Duration> {
    let mut ends = rest_ends(instances, records, now);
    ends.sort_unstable();
    let none = HashSet::new();
    let lacks_chain = |then: &Instant| {
        let view = records.rested_by(now, *then, &none);
        !has_chain(model, instances.iter(), &view)
    };
    let end = ends.get(ends.partition_point(lacks_chain))?;
    Some(end.since(now))
}

/// Returns the ends of the rest periods of these targets.
fn rest_ends(instances: &[Instance], records: &TargetRecords, now: Instant) -> Vec<Instant> {
    let accepts_work = |i: &&Instance| accepts_work(i, records);
    let accepts_work = instances.iter().filter(accepts_work);
    let ends = accepts_work.filter_map(|i| records.rest_ends_at(now, i));
    ends.collect()
}

/// Whether a target accepts new work, as far as is known. It may still be in a rest period.
fn accepts_work(instance: &Instance, records: &TargetRecords) -> bool {
    instance.state != InstanceState::Draining && !records.notices.leaves(instance)
}

/// Picks the path in the router's own data centre if it has capacity to spare, otherwise
/// one of all paths with a probability proportional to the square of its free capacity. If
/// all routers picked the emptiest data centre, its load would rise before their load
/// reports were updated.
fn draw_data_centre(mut found: Vec<EnginePath>, own: &DataCentre, draw: u64) -> Option<EnginePath> {
    let local = |p: &EnginePath| p.data_centre == *own && p.bottleneck.used < MAX_LOCAL_LOAD;
    let drawn = match found.iter().position(local) {
        Some(local) => local,
        None => {
            let weight = |p: &EnginePath| (1.0 - p.bottleneck.used).max(MIN_FREE_CAPACITY).powi(2);
            SeededRng::new(draw, DATA_CENTRE_DRAW).weighted_index(found.iter().map(weight))?
        }
    };
    Some(found.swap_remove(drawn))
}

/// Chooses the target for a request that a single target serves: the least busy one,
/// preferring the router's own data centre among equals.
///
/// # Errors
///
/// Returns [`ChoiceError`] if there is no target or all targets are resting.
pub fn choose_target(
    instances: &[Instance],
    records: &TargetRecords,
    own: &DataCentre,
    avoid: &HashSet<SocketAddr>,
    draw: f64,
    now: Instant,
) -> Result<TargetChoice, ChoiceError> {
    let accepts_work = |i: &&Instance| accepts_work(i, records);
    let rests = |i: &Instance| records.rest_ends_at(now, i).is_some();
    let ready = instances.iter().filter(accepts_work).filter(|i| !rests(i));
    let ready: Vec<&Instance> = ready.collect();
    if ready.is_empty()
        && let Some(end) = rest_ends(instances, records, now).into_iter().min()
    {
        return Err(ChoiceError::Resting(end.since(now)));
    }
    let usable = ready.into_iter().filter(|i| !avoid.contains(&i.address));
    let usable: Vec<&Instance> = usable.collect();
    let start = (draw * usable.len() as f64) as usize;
    let rotated = usable.iter().cycle().skip(start).take(usable.len());
    let cost = |i: &Instance| {
        let is_unconfirmed = !records.is_available(now, i) || records.is_in_backoff(now, i.address);
        let load = records.in_flight(i.address) * 1_000 / i.slots.max(1);
        (is_unconfirmed, load, i.data_centre != *own)
    };
    let best = rotated
        .min_by_key(|i| cost(i))
        .ok_or(ChoiceError::NoTarget)?;
    Ok(TargetChoice {
        address: best.address,
        instance: best.id.clone(),
        path: None,
        born: best.born,
    })
}
