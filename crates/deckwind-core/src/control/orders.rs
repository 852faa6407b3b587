//! Orders that the leader sends to engine targets so that they match their configuration.
//!
//! ```text
//!  target written ─► due ─► issued with a fence ─► in flight ─► done
//!                     ▲                               │ refused or timed out
//!                     └───────────────────────────────┘
//! ```
//!
//! An order restates what the configuration says and is therefore idempotent. A new
//! leader issues all of them again with higher fences. See [`FenceIssuer`] for when an
//! order may be sent.

use crate::replication::{Fence, FenceIssuer, FenceSupport, Term};
use crate::state::{Configuration, LayerRange, Revision, Target, TargetKind, TargetName};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Action that a fenced order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Loads a version of a model.
    LoadModel {
        /// Name of the model.
        model: String,
        /// Version of the model.
        version: String,
    },
    /// Loads an adapter.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Changes the range of layers that the engine holds.
    ChangeLayers {
        /// Layers to hold.
        layers: LayerRange,
    },
}

/// An order and its fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOrder {
    /// Fence that ranks this order against other orders.
    pub fence: Fence,
    /// Requested action.
    pub order: OrderKind,
}

/// Orders for one target, in the order in which they are to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderBatch {
    /// Name of the target.
    pub target: TargetName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Configuration revision from which the orders were derived.
    pub revision: Revision,
    /// Orders to send.
    pub orders: Vec<TargetOrder>,
    /// Time after which the connection must be closed, whether or not everything was
    /// sent.
    pub order_timeout: Duration,
}

/// Maximum time that an order may be in flight. Well below a leader's lease, so that
/// orders to targets that don't check fences can be sent within the lease.
pub const MAX_ORDER_FLIGHT_TIME: Duration = Duration::from_millis(200);

/// Maximum number of batches in flight at once.
const MAX_IN_FLIGHT_BATCHES: usize = 16;

/// Delay before a failed batch is issued again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Queue of the orders that the leader has to issue.
#[derive(Clone, Debug)]
pub(super) struct OrderDispatcher {
    issuer: FenceIssuer,
    queued_upto: Revision,
    due: BTreeMap<TargetName, Instant>,
    in_flight: BTreeSet<TargetName>,
}

impl OrderDispatcher {
    /// Creates the queue of the leader of `term`, which began to lead at `since` and has
    /// issued no order yet.
    pub fn new(term: Term, since: Instant) -> Self {
        Self {
            issuer: FenceIssuer::new(term, since, MAX_ORDER_FLIGHT_TIME),
            queued_upto: Revision::ZERO,
            due: BTreeMap::new(),
            in_flight: BTreeSet::new(),
        }
    }

    /// Returns the batches that may be sent now and marks them as in flight.
    pub fn issue(
        &mut self,
        now: Instant,
        lease_until: Option<Instant>,
        cfg: &Configuration,
    ) -> Vec<OrderBatch> {
        self.queue_changed_targets(now, cfg);
        let free_slots = MAX_IN_FLIGHT_BATCHES.saturating_sub(self.in_flight.len());
        let ready: Vec<TargetName> = self
            .due
            .iter()
            .filter(|(name, at)| **at <= now && !self.in_flight.contains(*name))
            .map(|(name, _)| name.clone())
            .take(free_slots)
            .collect();
        let batches = ready
            .iter()
            .filter_map(|name| self.build_batch(now, lease_until, cfg, name));
        let batches: Vec<OrderBatch> = batches.collect();
        for batch in &batches {
            self.due.remove(&batch.target);
            self.in_flight.insert(batch.target.clone());
        }
        batches
    }

    fn queue_changed_targets(&mut self, now: Instant, cfg: &Configuration) {
        if cfg.revision() == self.queued_upto {
            return;
        }
        for (name, written) in cfg.delta_since(self.queued_upto).targets {
            match written.value.map(|t| t.kind) {
                Some(TargetKind::Engine { .. }) => self.due.insert(name, now),
                _ => self.due.remove(&name),
            };
        }
        self.queued_upto = cfg.revision();
    }

    fn build_batch(
        &mut self,
        now: Instant,
        lease_until: Option<Instant>,
        cfg: &Configuration,
        name: &TargetName,
    ) -> Option<OrderBatch> {
        let target = cfg.target(name)?;
        let check = match target.checks_fences {
            true => FenceSupport::Checks,
            false => FenceSupport::DoesNotCheck,
        };
        let mut orders = Vec::new();
        for order in orders_for(target) {
            let fence = self.issuer.issue(now, lease_until, check)?;
            orders.push(TargetOrder { fence, order });
        }
        Some(OrderBatch {
            target: name.clone(),
            address: target.address,
            revision: self.queued_upto,
            orders,
            order_timeout: MAX_ORDER_FLIGHT_TIME,
        })
    }

    /// Records the end of a batch. A batch that was not `accepted` is issued again after
    /// [`RETRY_DELAY`].
    pub fn finished(&mut self, now: Instant, target: &TargetName, accepted: bool) {
        self.in_flight.remove(target);
        if !accepted {
            self.due.entry(target.clone()).or_insert(now + RETRY_DELAY);
        }
    }
}

fn orders_for(target: &Target) -> Vec<OrderKind> {
    let TargetKind::Engine {
        model,
        version,
        adapters,
        layers,
        ..
    } = &target.kind
    else {
        return Vec::new();
    };
    let model = OrderKind::LoadModel {
        model: model.clone(),
        version: version.clone(),
    };
    let layers = OrderKind::ChangeLayers { layers: *layers };
    let adapters = adapters
        .iter()
        .map(|a| OrderKind::LoadAdapter { adapter: a.clone() });
    [model, layers].into_iter().chain(adapters).collect()
}
