//! Load that a stream causes at its targets: number of requests, memory, and the path.

use super::job::Job;
use crate::router::shared::RouterShared;
use deckwind_core::routes::{CapacityDemand, InstanceIndex, RequestClass, TargetChoice};
use deckwind_core::routing::paths::{EnginePath, Stage, path_from, replace_stages};
use deckwind_core::state::{DataCentre, Instance};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Load of one attempt at its targets. Dropping it releases the load.
pub struct Reservation {
    shared: Arc<RouterShared>,
    addresses: Vec<SocketAddr>,
    /// Stages of the path; empty where a target serves alone.
    stages: Vec<Stage>,
    /// Tokens that the request keeps at each stage.
    tokens: u64,
    data_centre: Option<DataCentre>,
}

impl Reservation {
    /// Reserves load for an attempt on this choice that keeps `tokens` tokens.
    pub fn new(job: &Job, choice: &TargetChoice, tokens: u64) -> Self {
        let path = choice.path.as_ref();
        let stages = path.map_or(Vec::new(), |p| p.stages.clone());
        let data_centre = path.map(|p| p.data_centre.clone());
        Self::reserve(job, choice.address, stages, tokens, data_centre)
    }

    /// Reserves load for the same request on another path with the same first stage.
    pub fn on_path(&self, job: &Job, path: &EnginePath) -> Self {
        let stages = path.stages.clone();
        let data_centre = self.data_centre.clone();
        Self::reserve(job, self.first(), stages, self.tokens, data_centre)
    }

    fn reserve(
        job: &Job,
        first: SocketAddr,
        stages: Vec<Stage>,
        tokens: u64,
        data_centre: Option<DataCentre>,
    ) -> Self {
        let addresses = match stages.is_empty() {
            true => vec![first],
            false => stages.iter().map(|s| s.address).collect(),
        };
        let mut records = job.shared.routes.target_records();
        records.record_start(&addresses);
        records.add_load(&stages, tokens);
        drop(records);
        Self {
            shared: job.shared.clone(),
            addresses,
            stages,
            tokens,
            data_centre,
        }
    }

    /// Records that all targets on the path have answered.
    pub fn record_answered(&self) {
        self.shared.routes.record_answered(&self.addresses);
    }

    /// Returns the target that the request was sent to.
    pub fn first(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Whether a target on the path is down at this router, reported as down by another
    /// one, or suspected.
    pub fn is_unreliable(&self) -> bool {
        let now = self.shared.clock.now();
        let records = self.shared.routes.target_records();
        self.addresses
            .iter()
            .any(|a| records.is_unconfirmed(now, *a))
    }

    /// Whether a target on the path other than the first no longer takes new requests.
    pub fn has_leaving_target(&self, instances: &InstanceIndex) -> bool {
        let records = self.shared.routes.target_records();
        let now = self.shared.clock.now();
        let takes_work = |i: &Instance| records.is_available(now, i) && !records.notices.leaves(i);
        let ready = |a: &SocketAddr| {
            let mut all = instances.iter();
            all.any(|i| i.address == *a && takes_work(i))
        };
        !self.addresses.iter().skip(1).all(ready)
    }

    /// Whether the target that the request was sent to is down, reported as down, or
    /// suspected.
    pub fn is_first_unreliable(&self) -> bool {
        let now = self.shared.clock.now();
        self.shared
            .routes
            .target_records()
            .is_unconfirmed(now, self.first())
    }

    /// Returns the stages of the path; empty where a target serves alone.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// Returns the addresses of all targets on the path.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns the data centre of the path; `None` where a target serves alone.
    pub fn path_data_centre(&self) -> Option<&DataCentre> {
        self.data_centre.as_ref()
    }

    /// Returns another path with the same first stage and without the engines in
    /// `avoid`. Prefers the current path with only those engines replaced that are
    /// unreliable, refuse or are leaving; otherwise all stages behind the first are
    /// chosen anew.
    pub fn other_path(&self, job: &Job, avoid: &HashSet<SocketAddr>) -> Option<EnginePath> {
        let data_centre = self.data_centre.as_ref()?;
        let model = job.pool.engine.as_ref()?;
        let instances = self.shared.routes.instances();
        let instances = instances.of_pool(&job.pool.name);
        let now = self.shared.clock.now();
        let demand = CapacityDemand {
            tokens: self.tokens,
            claim: RequestClass::Begun,
            draw: rand::random(),
        };
        let records = self.shared.routes.target_records();
        let view = records.at(now, avoid);
        let need = demand.need();
        let first = self.stages.first()?;
        let find = |a: SocketAddr| instances.iter().find(|i| i.address == a);
        let takes_work = |i: &Instance| records.is_available(now, i) && !records.notices.leaves(i);
        let ready = |a| find(a).is_some_and(takes_work);
        let must_replace = |a| records.is_unconfirmed(now, a) || avoid.contains(&a) || !ready(a);
        let to_replace = |a| a != first.address && must_replace(a);
        let all = || instances.iter();
        let path = replace_stages(model, all(), &view, &need, &self.stages, &to_replace)
            .or_else(|| path_from(model, all(), &view, &need, first, data_centre))?;
        let is_reliable = path
            .stages
            .iter()
            .all(|s| !records.is_unconfirmed(now, s.address));
        (is_reliable && path.stages != self.stages).then_some(path)
    }

    /// Returns the number of stages of this path that another one does not have, for
    /// logs.
    pub fn count_replaced(&self, other: &EnginePath) -> usize {
        let kept = |s: &&Stage| other.stages.contains(s);
        self.stages.len() - self.stages.iter().filter(kept).count()
    }

    /// Returns the data centre of the path, for logs.
    pub fn data_centre_name(&self) -> String {
        let dc = self.data_centre.as_ref();
        dc.map_or("-".to_string(), DataCentre::to_string)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut records = self.shared.routes.target_records();
        records.record_end(&self.addresses);
        records.remove_load(&self.stages, self.tokens);
    }
}
