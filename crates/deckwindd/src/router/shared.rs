//! What a router's tasks share.

use super::control_client::ControlClient;
use super::routes::Routes;
use super::template_runs::TemplateLives;
use crate::context::Context;
use deckwind_config::RouterSettings;
use deckwind_core::admission::{AdmissionConfig, TicketId};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::router::{Admitted, Denied, DeniedCode, RouterConfig, RouterCore};
use deckwind_core::routes::Refusal;
use deckwind_core::routing::TargetKey;
use deckwind_core::state::{ContentDigest, DataCentre, Holder, Revision, VmName};
use deckwind_net::clock::Clock;
use deckwind_net::quic::QuicPeer;
use deckwind_net::targets::{Engine, HttpEngine, HttpService, PlainService};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::oneshot;

/// Clients of all targets, by address; made at the first use.
#[derive(Default)]
pub struct TargetClients {
    engines: Mutex<HashMap<SocketAddr, Arc<dyn Engine>>>,
    services: Mutex<HashMap<SocketAddr, Arc<dyn PlainService>>>,
}

impl TargetClients {
    /// The engine at an address.
    pub fn engine(&self, address: SocketAddr) -> Arc<dyn Engine> {
        let mut engines = self.engines.lock().expect("no holder panics");
        let made = || Arc::new(HttpEngine::new(address)) as Arc<dyn Engine>;
        engines.entry(address).or_insert_with(made).clone()
    }

    /// The plain service at an address.
    pub fn service(&self, address: SocketAddr) -> Arc<dyn PlainService> {
        let mut services = self.services.lock().expect("no holder panics");
        let made = || Arc::new(HttpService::new(address)) as Arc<dyn PlainService>;
        services.entry(address).or_insert_with(made).clone()
    }

    /// Forgets the clients of addresses that `keep` does not name.
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

/// Where a waiting request hears whether it starts.
type Waiter = oneshot::Sender<Result<(), Denied>>;

/// Shared by all tasks of a router.
pub struct RouterShared {
    /// Context of the daemon.
    pub cx: Context,
    /// Its VM.
    pub vm: VmName,
    /// Its boot.
    pub boot: u64,
    /// Its clock.
    pub clock: Clock,
    /// Its settings.
    pub cfg: RouterSettings,
    /// Clients of targets.
    pub clients: TargetClients,
    /// Client of the control replicas.
    pub control: ControlClient,
    /// Published routes.
    pub routes: Routes,
    /// Ends of configured targets.
    pub template_lives: TemplateLives,
    core: Mutex<RouterCore>,
    waiters: Mutex<HashMap<TicketId, Waiter>>,
    in_progress: AtomicUsize,
    next_id: AtomicU64,
}

impl RouterShared {
    /// For a router that starts now.
    pub fn new(cx: &Context, cfg: &RouterSettings, peer: QuicPeer) -> Self {
        let micros = |d: &Duration| d.as_micros() as f64;
        let core = RouterConfig {
            lease: LeaseTiming {
                ttl: cfg.lease,
                ..LeaseTiming::default()
            },
            costs: cfg
                .accelerators
                .iter()
                .map(|(k, d)| (k.clone(), micros(d)))
                .collect(),
            links: cfg
                .links
                .iter()
                .map(|(k, d)| (DataCentre::from(k.as_str()), micros(d)))
                .collect(),
            admission: AdmissionConfig {
                max_queued: cfg.max_queued,
            },
            seed: rand::random(),
        };
        Self {
            cx: cx.clone(),
            vm: cx.settings.vm.clone(),
            boot: cx.boot,
            clock: cx.clock,
            cfg: cfg.clone(),
            clients: TargetClients::default(),
            control: ControlClient::new(cx.clone(), peer),
            routes: Routes::new(cx, cfg),
            template_lives: TemplateLives::default(),
            core: Mutex::new(RouterCore::new(core, cx.clock.now())),
            waiters: Mutex::default(),
            in_progress: AtomicUsize::new(0),
            next_id: AtomicU64::new(1),
        }
    }

    /// This process, as it holds leases and claims.
    pub fn holder(&self) -> Holder {
        Holder {
            vm: self.vm.clone(),
            boot: self.boot,
        }
    }

    /// A target of a template wants to be left alone for so long.
    pub fn target_rests(&self, key: TargetKey, rest: Duration) {
        let now = self.clock.now();
        let mut core = self.core();
        core.target_rests(now, key, rest);
        let name = core.fleet().get(key).map(|t| t.name.to_string());
        drop(core);
        metrics::counter!("deckwind_router_rests_asked_total").increment(1);
        log::info!(
            "event=target_asks_rest target={} rest_ms={}",
            name.unwrap_or_default(),
            rest.as_millis()
        );
    }

    /// Whether a request of this content may be sent to a target; a refusal if targets
    /// have ended under it.
    pub fn may_be_sent(&self, content: &ContentDigest) -> Result<(), Denied> {
        let suspects = &self.routes.suspects;
        if suspects.may_send(self.clock.now(), content) {
            return Ok(());
        }
        metrics::counter!("deckwind_route_quarantined_total").increment(1);
        let after = Refusal::Quarantined.come_back_after(rand::random_range(0.0..1.0));
        Err(Denied::for_now(DeniedCode::Quarantined, after))
    }

    /// The decisions. Hold it only for one call.
    pub fn core(&self) -> MutexGuard<'_, RouterCore> {
        self.core.lock().expect("no holder panics")
    }

    /// Revision of the configuration that is applied here, for logs.
    pub fn revision(&self) -> Revision {
        self.core().lease().applied()
    }

    /// A number that no other request or try of this boot has.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// A request id, unique over all routers.
    pub fn request_id(&self) -> String {
        format!("{}-{:x}-{:x}", self.vm, self.boot, self.next_id())
    }

    /// Counts a request that has begun to be answered.
    pub fn begin(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(self.clone())
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Where a waiting request will hear of its fate.
    pub fn wait_for(&self, id: TicketId) -> oneshot::Receiver<Result<(), Denied>> {
        let (tx, rx) = oneshot::channel();
        self.waiters
            .lock()
            .expect("no holder panics")
            .insert(id, tx);
        rx
    }

    /// Tells waiting requests what became of them.
    pub fn tell(&self, admitted: Vec<Admitted>) {
        for one in admitted {
            let (id, fate) = match one {
                Admitted::Start(id) => (id, Ok(())),
                Admitted::Denied(id, denied) => (id, Err(denied)),
            };
            let waiter = self.waiters.lock().expect("no holder panics").remove(&id);
            let heard = waiter.is_some_and(|tx| tx.send(fate).is_ok());
            if !heard && fate.is_ok() {
                self.leave(id);
            }
        }
    }

    /// Gives a ticket back, and its place if it had one.
    pub fn leave(&self, id: TicketId) {
        self.waiters.lock().expect("no holder panics").remove(&id);
        let admitted = self.core().leave(self.clock.now(), id);
        self.tell(admitted);
    }
}

/// A request in progress, for as long as this lives.
pub struct InProgress(Arc<RouterShared>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A ticket that is given back when this goes.
pub struct HeldTicket {
    shared: Arc<RouterShared>,
    id: TicketId,
}

impl HeldTicket {
    /// Holds a ticket.
    pub fn new(shared: &Arc<RouterShared>, id: TicketId) -> Self {
        Self {
            shared: shared.clone(),
            id,
        }
    }
}

impl Drop for HeldTicket {
    fn drop(&mut self) {
        self.shared.leave(self.id);
    }
}
