//! Orders to engines: what a target's configuration asks of it.
//!
//! ```text
//!  a target is written ─► due ─► issued with a fence ─► under way ─► done
//!                          ▲                               │ refused, late
//!                          └───────────────────────────────┘
//! ```
//!
//! Orders repeat what the configuration says, so giving one again changes
//! nothing; a new leader gives all of them again with higher fences. See
//! [`OrderIssuer`] for when an order may leave.

use crate::replication::{Fence, FenceCheck, OrderIssuer, Term};
use crate::state::{Configuration, LayerRange, Revision, Target, TargetKind, TargetName};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// What a fenced order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load a version of a model.
    LoadModel {
        /// Model.
        model: String,
        /// Version.
        version: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Hold other layers.
    ChangeLayers {
        /// Layers.
        layers: LayerRange,
    },
}

/// An order with its fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOrder {
    /// Rank of the order.
    pub fence: Fence,
    /// What it asks for.
    pub order: OrderKind,
}

/// Orders for one target, to be sent in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderBatch {
    /// The target.
    pub target: TargetName,
    /// Where it is.
    pub address: SocketAddr,
    /// Revision of the target that they follow from.
    pub revision: Revision,
    /// The orders.
    pub orders: Vec<TargetOrder>,
    /// When the connection must be closed, whatever was sent by then.
    pub within: Duration,
}

/// How long an order may be under way. Well below a leader's lease, so that
/// orders to targets that don't check fences can leave inside it.
pub const ORDER_FLIGHT: Duration = Duration::from_millis(200);

/// Batches under way at once.
const MOST_UNDER_WAY: usize = 16;

/// Pause before a batch that failed is given again.
const AGAIN_AFTER: Duration = Duration::from_secs(1);

/// Orders that a leader has to give.
#[derive(Clone, Debug)]
pub(super) struct OrderDesk {
    issuer: OrderIssuer,
    seen: Revision,
    due: BTreeMap<TargetName, Instant>,
    under_way: BTreeSet<TargetName>,
}

impl OrderDesk {
    /// Of a leader of `term` since `since`, who has given none.
    pub fn new(term: Term, since: Instant) -> Self {
        Self {
            issuer: OrderIssuer::new(term, since, ORDER_FLIGHT),
            seen: Revision::ZERO,
            due: BTreeMap::new(),
            under_way: BTreeSet::new(),
        }
    }

    /// Batches that may leave now.
    pub fn issue(
        &mut self,
        now: Instant,
        lease_until: Option<Instant>,
        cfg: &Configuration,
    ) -> Vec<OrderBatch> {
        self.note_changes(now, cfg);
        let room = MOST_UNDER_WAY.saturating_sub(self.under_way.len());
        let ready: Vec<TargetName> = self
            .due
            .iter()
            .filter(|(name, at)| **at <= now && !self.under_way.contains(*name))
            .map(|(name, _)| name.clone())
            .take(room)
            .collect();
        let batches = ready
            .iter()
            .filter_map(|name| self.batch(now, lease_until, cfg, name));
        let batches: Vec<OrderBatch> = batches.collect();
        for batch in &batches {
            self.due.remove(&batch.target);
            self.under_way.insert(batch.target.clone());
        }
        batches
    }

    fn note_changes(&mut self, now: Instant, cfg: &Configuration) {
        if cfg.revision() == self.seen {
            return;
        }
        for (name, written) in cfg.delta_since(self.seen).targets {
            match written.value.map(|t| t.kind) {
                Some(TargetKind::Engine { .. }) => self.due.insert(name, now),
                _ => self.due.remove(&name),
            };
        }
        self.seen = cfg.revision();
    }

    fn batch(
        &mut self,
        now: Instant,
        lease_until: Option<Instant>,
        cfg: &Configuration,
        name: &TargetName,
    ) -> Option<OrderBatch> {
        let target = cfg.target(name)?;
        let check = match target.checks_fences {
            true => FenceCheck::Checks,
            false => FenceCheck::DoesNotCheck,
        };
        let mut orders = Vec::new();
        for order in wanted(target) {
            let fence = self.issuer.issue(now, lease_until, check)?;
            orders.push(TargetOrder { fence, order });
        }
        Some(OrderBatch {
            target: name.clone(),
            address: target.address,
            revision: self.seen,
            orders,
            within: ORDER_FLIGHT,
        })
    }

    /// A batch is over; one that failed is given again after a while.
    pub fn finished(&mut self, now: Instant, target: &TargetName, taken: bool) {
        self.under_way.remove(target);
        if !taken {
            self.due.entry(target.clone()).or_insert(now + AGAIN_AFTER);
        }
    }
}

fn wanted(target: &Target) -> Vec<OrderKind> {
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
