//! What a stream holds at its targets: counts, memory, and the path.

use super::callers::Job;
use crate::router::shared::RouterShared;
use deckwind_core::routes::{Choice, InstanceIndex};
use deckwind_core::routing::paths::{EnginePath, Stage, path_from};
use deckwind_core::state::{DataCentre, InstanceState};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// What one try holds at its targets, for as long as this lives.
pub struct Hold {
    shared: Arc<RouterShared>,
    addresses: Vec<SocketAddr>,
    /// Empty where a target serves alone.
    stages: Vec<Stage>,
    memory: Option<(DataCentre, u64)>,
}

impl Hold {
    /// Of a try on this choice that keeps so many tokens.
    pub fn new(job: &Job, choice: &Choice, tokens: u64) -> Self {
        let stages = choice
            .path
            .as_ref()
            .map_or(Vec::new(), |p| p.stages.clone());
        let memory = choice.path.as_ref();
        let memory = memory.map(|p| (p.data_centre.clone(), tokens));
        Self::begin(job, choice.address, stages, memory)
    }

    /// The same request on another path with the same first stage.
    pub fn on_path(&self, job: &Job, path: &EnginePath) -> Self {
        let stages = path.stages.clone();
        Self::begin(job, self.first(), stages, self.memory.clone())
    }

    fn begin(
        job: &Job,
        first: SocketAddr,
        stages: Vec<Stage>,
        memory: Option<(DataCentre, u64)>,
    ) -> Self {
        let addresses = match stages.is_empty() {
            true => vec![first],
            false => stages.iter().map(|s| s.address).collect(),
        };
        let mut book = job.shared.routes.book();
        book.began(&addresses);
        if let Some((dc, tokens)) = &memory {
            book.takes(dc, *tokens);
        }
        drop(book);
        Self {
            shared: job.shared.clone(),
            addresses,
            stages,
            memory,
        }
    }

    /// The target that the request was sent to.
    pub fn first(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Whether a target on the way has failed this router or another one by now.
    pub fn is_doubted(&self) -> bool {
        let now = self.shared.clock.now();
        let book = self.shared.routes.book();
        self.addresses.iter().any(|a| book.doubts(now, *a))
    }

    /// Whether a target on the way, but the first, no longer takes new work.
    pub fn is_leaving(&self, instances: &InstanceIndex) -> bool {
        let ready = |a: &SocketAddr| {
            let mut all = instances.iter();
            all.any(|i| i.address == *a && i.state == InstanceState::Ready)
        };
        !self.addresses.iter().skip(1).all(ready)
    }

    /// Another path with the same first stage.
    pub fn other_path(&self, job: &Job) -> Option<EnginePath> {
        let (data_centre, _) = self.memory.as_ref()?;
        let model = job.pool.engine.as_ref()?;
        let instances = self.shared.routes.instances();
        let instances = instances.of_pool(&job.pool.name).iter();
        let book = self.shared.routes.book();
        let none = HashSet::new();
        let view = book.at(self.shared.clock.now(), &none, rand::random());
        let path = path_from(model, instances, &view, self.stages.first()?, data_centre)?;
        let now = self.shared.clock.now();
        let good = path.stages.iter().all(|s| !book.doubts(now, s.address));
        (good && path.stages != self.stages).then_some(path)
    }

    /// Data centre of the path, for logs.
    pub fn data_centre(&self) -> String {
        let dc = self.memory.as_ref().map(|(dc, _)| dc.to_string());
        dc.unwrap_or_else(|| "-".to_string())
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut book = self.shared.routes.book();
        book.ended(&self.addresses);
        if let Some((dc, tokens)) = &self.memory {
            book.gives_back(dc, *tokens);
        }
    }
}
