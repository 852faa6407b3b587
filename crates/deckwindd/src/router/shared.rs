//! State shared by the tasks of a router.

use super::caller_connections::CallerConnections;
use super::control_client::ControlClient;
use super::routes::Routes;
use super::template_runs::TargetCrashCounts;
use super::tunnels::Tunnels;
use crate::context::Context;
use deckwind_config::RouterSettings;
use deckwind_core::admission::{AdmissionConfig, TicketId};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::router::{Denied, DeniedCode, QueueOutcome, RouterConfig, RouterCore};
use deckwind_core::routes::{RefusalReason, SendVerdict};
use deckwind_core::routing::TargetKey;
use deckwind_core::state::{DataCentre, RequestTraits, Revision, RouterProcess, VmName};
use deckwind_net::clock::Clock;
use deckwind_net::quic::QuicPeer;
use deckwind_net::targets::{Engine, HttpEngine, HttpService, PlainService};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::oneshot;

/// Clients of all targets by address, created on first use.
#[derive(Default)]
pub struct TargetClients {
    engines: Mutex<HashMap<SocketAddr, Arc<dyn Engine>>>,
    services: Mutex<HashMap<SocketAddr, Arc<dyn PlainService>>>,
}

impl TargetClients {
    /// Returns the client of the engine at an address.
    pub fn engine(&self, address: SocketAddr) -> Arc<dyn Engine> {
        let mut engines = self.engines.lock().expect("no holder panics");
        let create = || Arc::new(HttpEngine::new(address)) as Arc<dyn Engine>;
        engines.entry(address).or_insert_with(create).clone()
    }

    /// Returns the client of the plain service at an address.
    pub fn service(&self, address: SocketAddr) -> Arc<dyn PlainService> {
        let mut services = self.services.lock().expect("no holder panics");
        let create = || Arc::new(HttpService::new(address)) as Arc<dyn PlainService>;
        services.entry(address).or_insert_with(create).clone()
    }

    /// Drops the clients of all addresses for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.engines
            .lock()
            .expect("no holder panics")
            .retain(|a, _| keep(a));
        self.services
            .lock()
            .expect("no holder panics")
            .retain(|a, _| keep(a));
    }
}

/// Channel that notifies a queued request whether it starts.
type Waiter = oneshot::Sender<Result<(), Denied>>;

/// State shared by all tasks of a router.
pub struct RouterShared {
    /// Open connections of callers.
    pub caller_connections: Arc<CallerConnections>,
    /// Context of the daemon.
    pub cx: Context,
    /// VM of the router.
    pub vm: VmName,
    /// Boot number of this router process.
    pub boot: u64,
    /// Clock of the daemon.
    pub clock: Clock,
    /// Settings of the router role.
    pub cfg: RouterSettings,
    /// Clients of targets.
    pub clients: TargetClients,
    /// Client of the control replicas.
    pub control: ControlClient,
    /// State of the published routes.
    pub routes: Routes,
    /// Tunnels to targets through other routers.
    pub tunnels: Arc<Tunnels>,
    /// Number of crashes of each configured target.
    pub crash_counts: TargetCrashCounts,
    core: Mutex<RouterCore>,
    waiters: Mutex<HashMap<TicketId, Waiter>>,
    in_progress: AtomicUsize,
    next_id: AtomicU64,
}

impl RouterShared {
    /// Creates the state of a router that starts now.
    pub fn new(cx: &Context, cfg: &RouterSettings, peer: QuicPeer) -> Self {
        let micros = |d: &Duration| d.as_micros() as f64;
        let core = RouterConfig {
            lease: LeaseTiming {
                ttl: cfg.lease,
                ..LeaseTiming::default()
            },
            layer_costs_us: cfg
                .accelerators
                .iter()
                .map(|(k, d)| (k.clone(), micros(d)))
                .collect(),
            link_latencies_us: cfg
                .links
                .iter()
                .map(|(k, d)| (DataCentre::from(k.as_str()), micros(d)))
                .collect(),
            admission: AdmissionConfig {
                max_queued: cfg.max_queued,
            },
            seed: rand::random(),
        };
        let data_centre = cx.settings.data_centre.clone();
        let tunnels = Tunnels::new(cx.clock, data_centre, &peer);
        let descriptors = cfg.file_descriptors.map(|n| n as usize);
        Self {
            caller_connections: Arc::new(CallerConnections::new(descriptors)),
            cx: cx.clone(),
            vm: cx.settings.vm.clone(),
            boot: cx.boot,
            clock: cx.clock,
            cfg: cfg.clone(),
            clients: TargetClients::default(),
            control: ControlClient::new(cx.clone(), peer),
            routes: Routes::new(cx, cfg),
            tunnels: Arc::new(tunnels),
            crash_counts: TargetCrashCounts::default(),
            core: Mutex::new(RouterCore::new(core, cx.clock.now())),
            waiters: Mutex::default(),
            in_progress: AtomicUsize::new(0),
            next_id: AtomicU64::new(1),
        }
    }

    /// Returns the identity of this router process as a holder of leases and claims.
    pub fn holder(&self) -> RouterProcess {
        RouterProcess {
            vm: self.vm.clone(),
            boot: self.boot,
        }
    }

    /// Records the rest period that a target of a template has asked for.
    pub fn start_rest_period(&self, key: TargetKey, rest: Duration) {
        let now = self.clock.now();
        let mut core = self.core();
        core.set_target_rest_period(now, key, rest);
        let name = core.fleet().get(key).map(|t| t.name.to_string());
        drop(core);
        metrics::counter!("deckwind_router_rests_asked_total").increment(1);
        log::info!(
            "event=target_asks_rest target={} rest_ms={}",
            name.unwrap_or_default(),
            rest.as_millis()
        );
    }

    /// Checks that a request may be sent to a target.
    ///
    /// # Errors
    ///
    /// Fails if a trait of it is quarantined because targets crashed while running it.
    pub fn check_quarantine(&self, request: &RequestTraits) -> Result<(), Denied> {
        let suspects = &self.routes.poison_requests;
        if suspects.verdict(self.clock.now(), request) == SendVerdict::Send {
            return Ok(());
        }
        metrics::counter!("deckwind_route_quarantined_total").increment(1);
        let after = RefusalReason::Quarantined.retry_after_time(rand::random_range(0.0..1.0));
        Err(Denied::retryable(DeniedCode::Quarantined, after))
    }

    /// Locks the router core, which makes the decisions. The lock must be held for a single
    /// call only.
    pub fn core(&self) -> MutexGuard<'_, RouterCore> {
        self.core.lock().expect("no holder panics")
    }

    /// Returns the revision of the configuration applied by this router, for logs.
    pub fn revision(&self) -> Revision {
        self.core().lease().applied()
    }

    /// Returns a number that is unique among the requests and attempts of this router process.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a new request ID that is unique across all routers.
    pub fn request_id(&self) -> String {
        format!("{}-{:x}-{:x}", self.vm, self.boot, self.next_id())
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(self.clone())
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Returns a channel that receives whether a queued request starts or is denied.
    pub fn register_waiter(&self, id: TicketId) -> oneshot::Receiver<Result<(), Denied>> {
        let (tx, rx) = oneshot::channel();
        self.waiters
            .lock()
            .expect("no holder panics")
            .insert(id, tx);
        rx
    }

    /// Notifies queued requests whether they start or are denied.
    pub fn notify_waiters(&self, admitted: Vec<QueueOutcome>) {
        for decision in admitted {
            let (id, outcome) = match decision {
                QueueOutcome::Start(id) => (id, Ok(())),
                QueueOutcome::Denied(id, denied) => (id, Err(denied)),
            };
            let waiter = self.waiters.lock().expect("no holder panics").remove(&id);
            let was_notified = waiter.is_some_and(|tx| tx.send(outcome).is_ok());
            if !was_notified && outcome.is_ok() {
                self.release_ticket(id);
            }
        }
    }

    /// Releases a ticket, and its slot if it has one.
    pub fn release_ticket(&self, id: TicketId) {
        self.waiters.lock().expect("no holder panics").remove(&id);
        let admitted = self.core().release_slot(self.clock.now(), id);
        self.notify_waiters(admitted);
    }
}

/// Guard that counts a request as in progress until it is dropped.
pub struct InProgress(Arc<RouterShared>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guard that releases a ticket when it is dropped.
pub struct HeldTicket {
    shared: Arc<RouterShared>,
    id: TicketId,
}

impl HeldTicket {
    /// Creates a guard for a ticket.
    pub fn new(shared: &Arc<RouterShared>, id: TicketId) -> Self {
        Self {
            shared: shared.clone(),
            id,
        }
    }
}

impl Drop for HeldTicket {
    fn drop(&mut self) {
        self.shared.release_ticket(self.id);
    }
}
