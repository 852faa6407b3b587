//! Status of the cluster as shown to operators.
//!
//! The status is computed on demand from what the leader has in memory. Facts that are
//! not known are left out instead of being reported as zero.

use super::control_core::{ControlCore, LeaderState};
use crate::membership::{InForce, RouterLease};
use crate::replication::{Term, WaitingReplica};
use crate::state::{
    DataCentre, Incarnation, Instance, InstanceId, InstanceState, LayerRange, QuarantinedGroup,
    RequestTrait, Revision, RouterProcess, VmName,
};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A router with a live lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterView {
    /// VM of the router.
    pub vm: VmName,
    /// Revision that the router has applied.
    pub applied: Revision,
    /// Address of the router's operator interface.
    pub admin: SocketAddr,
    /// Number of revisions that the router lacks.
    #[serde(default)]
    pub behind: u64,
    /// Time for which the leader still counts the router's lease as live, ms.
    #[serde(default)]
    pub lease_ms: u64,
    /// Memory that the router holds for callers and targets that read slowly, bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held_bytes: Option<u64>,
    /// Retries granted to the router and not used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeats: Option<u64>,
}

/// A control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Slot and identity of the replica.
    pub id: String,
    /// Whether the replica is a voter.
    pub votes: bool,
    /// Whether the replica is the leader.
    #[serde(default)]
    pub leads: bool,
}

/// A control replica that does not vote yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingView {
    /// Slot and identity of the replica.
    pub id: String,
    /// What it waits for, as in log lines.
    pub waits_for: String,
}

/// A target that announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineView {
    /// Id of the target.
    pub id: InstanceId,
    /// Start of this incarnation in Unix time, ms, if announced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
    /// Pool the target serves.
    pub pool: String,
    /// IP address and port.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: DataCentre,
    /// Whether the target accepts new work.
    pub state: InstanceState,
    /// Time since the last announcement of the target, ms; `None` if this leader has
    /// received none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heard_ms: Option<u64>,
    /// Kind of the target's accelerator.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accelerator: Option<String>,
    /// Layers available to requests.
    pub layers: LayerRange,
    /// Layers that the target has been ordered to hold, while an order is in progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ordered: Option<LayerRange>,
    /// Load from the streams of all routers, in layer tokens (tokens times layers).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layer_tokens: Option<u64>,
    /// Time per unit of work, in thousandths of the usual time; `None` if the engine is
    /// not known to be slow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace_per_mille: Option<u32>,
    /// Whether routers have recently reported the target as failing.
    #[serde(default)]
    pub suspected: bool,
}

/// Traits of poison requests, which are sent to no target because targets crashed while they
/// ran them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedView {
    /// Traits that no crash tells apart, as in logs. Requests with all of them are refused.
    pub traits: Vec<String>,
    /// Incarnations that crashed.
    pub ended: Vec<String>,
    /// Remaining time of the quarantine, ms.
    pub left_ms: u64,
}

/// Status of the cluster as known to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// Term of the leader.
    pub term: Term,
    /// Slot of the leader.
    pub leader: u32,
    /// Last accepted revision.
    pub revision: Revision,
    /// Whether the last accepted revision is in force everywhere.
    pub in_force: bool,
    /// Routers that lag behind the last accepted revision.
    pub lagging: Vec<VmName>,
    /// Control replicas.
    pub replicas: Vec<ReplicaView>,
    /// Number of control replicas that vote when nothing is lost.
    #[serde(default)]
    pub voters_wanted: usize,
    /// Control replicas that do not vote yet.
    #[serde(default)]
    pub waiting: Vec<WaitingView>,
    /// Routers.
    pub routers: Vec<RouterView>,
    /// Number of claims held.
    pub claims: usize,
    /// Number of log entries after the snapshot.
    pub log_entries: usize,
    /// Targets that announce themselves.
    #[serde(default)]
    pub engines: Vec<EngineView>,
    /// Quarantined poison requests.
    #[serde(default)]
    pub quarantined: Vec<QuarantinedView>,
}

impl ControlCore {
    pub(super) fn status(&self, now: Instant) -> ClusterStatus {
        let revision = self.state_machine.configuration().revision();
        let lagging = match self.in_force(now, revision) {
            InForce::Lagging(vms) => vms,
            _ => Vec::new(),
        };
        ClusterStatus {
            term: self.replica.term(),
            leader: self.replica.id().slot,
            revision,
            in_force: self.in_force(now, revision) == InForce::Yes,
            lagging,
            replicas: self.replica_views(),
            voters_wanted: self.replica.desired_voters(),
            waiting: self.waiting_views(now),
            routers: self.router_views(now),
            claims: self.state_machine.claims().len(),
            log_entries: self.replica.log().len(),
            engines: self.engine_views(now),
            quarantined: self.quarantined_views(),
        }
    }

    fn quarantined_views(&self) -> Vec<QuarantinedView> {
        let list = self.state_machine.configuration().suspects();
        let table = self.state_machine.quarantine();
        let quarantined = table.quarantined(&list, self.wall_ms);
        let view = |group: QuarantinedGroup| QuarantinedView {
            traits: group.traits.iter().map(RequestTrait::to_string).collect(),
            ended: group
                .ended
                .into_iter()
                .map(Incarnation::to_string)
                .collect(),
            left_ms: group.left_ms,
        };
        quarantined.into_iter().map(view).collect()
    }

    fn replica_views(&self) -> Vec<ReplicaView> {
        let members = self.replica.members();
        let replicas = members.all().map(|id| ReplicaView {
            id: id.to_string(),
            votes: members.voters.contains(&id),
            leads: id == self.replica.id(),
        });
        replicas.collect()
    }

    fn waiting_views(&self, now: Instant) -> Vec<WaitingView> {
        let waiting = self.replica.waiting_replicas(now).into_iter();
        let view = |w: WaitingReplica| WaitingView {
            id: w.id.to_string(),
            waits_for: w.reason.name().to_string(),
        };
        waiting.map(view).collect()
    }

    fn router_views(&self, now: Instant) -> Vec<RouterView> {
        let Some(leader_state) = &self.leader_state else {
            return Vec::new();
        };
        let revision = self.state_machine.configuration().revision();
        let view = |(vm, lease): (&VmName, &RouterLease)| {
            Some(RouterView {
                vm: vm.clone(),
                applied: lease.applied,
                admin: *leader_state.admin_addresses.get(vm)?,
                behind: revision.0.saturating_sub(lease.applied.0),
                lease_ms: lease.expires_at.since(now).as_millis() as u64,
                held_bytes: leader_state.held_bytes.get(vm).copied(),
                repeats: unused_retries(leader_state, vm, lease),
            })
        };
        leader_state.leases.routers().filter_map(view).collect()
    }

    fn engine_views(&self, now: Instant) -> Vec<EngineView> {
        let Some(leader_state) = &self.leader_state else {
            return Vec::new();
        };
        let instances = self.state_machine.configuration().instances();
        let views = instances.iter().map(|i| engine_view(now, leader_state, i));
        views.collect()
    }
}

/// Returns the retries a router process holds and has not used; `None` if no retries are
/// granted.
fn unused_retries(leader_state: &LeaderState, vm: &VmName, lease: &RouterLease) -> Option<u64> {
    let holder = RouterProcess {
        vm: vm.clone(),
        boot: lease.boot,
    };
    let allocator = leader_state.retry_allocator.as_ref()?;
    Some(allocator.unused_of(&holder))
}

fn engine_view(now: Instant, leader_state: &LeaderState, i: &Instance) -> EngineView {
    let received = leader_state
        .last_announcements
        .last_received(&i.incarnation());
    EngineView {
        id: i.id.clone(),
        born: i.born,
        pool: i.pool.clone(),
        address: i.address,
        data_centre: i.data_centre.clone(),
        state: i.state,
        heard_ms: received.map(|at| now.since(at).as_millis() as u64),
        accelerator: i.accelerator.clone(),
        layers: i.layers,
        ordered: leader_state.placement.ordered_layers(&i.id),
        layer_tokens: leader_state.engine_load.layer_tokens_at(i.address),
        pace_per_mille: leader_state.paces.per_mille(now, i.address),
        suspected: leader_state.is_failing(now, i.address),
    }
}
