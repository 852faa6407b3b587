//! Router role: accepts requests from callers and forwards them to targets, as decided by
//! the router core.
//!
//! ```text
//!  callers ─► template_callers.rs ─┬─► chat.rs ────► stages at engines
//!     ▲                            │      │
//!     └──── chat_response.rs ◄─────│──────┘
//!                                  └─► service.rs ─► plain services
//!
//!  all of these ─► RouterCore (one lock, short calls)
//!                      ▲
//!  lease.rs ───────────┤ configuration, lease, shares
//!  reports.rs ─────────┘ load, cache events, the platform's VM list
//! ```
//!
//! `routes` serves published routes; the modules above serve templates.

mod admin_page;
mod caller_connections;
mod channel_body;
mod chat;
mod chat_body;
mod chat_response;
mod claims;
mod control_client;
mod lease;
mod lease_log;
mod reports;
mod routes;
mod service;
mod shared;
mod template_answers;
mod template_callers;
mod template_runs;
mod tunnels;

pub use shared::{RouterShared, TargetClients};
pub use template_callers::listen;

use crate::context::Context;
use anyhow::{Context as _, Result};
use deckwind_config::RouterSettings;
use deckwind_core::routes::PlannedStop;
use deckwind_core::time::Instant;
use deckwind_net::quic::QuicPeer;
use deckwind_wire::{ControlRequest, MAX_MESSAGE_BYTES};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Running router with its background tasks.
pub struct Router {
    shared: Arc<RouterShared>,
    drain: Duration,
    killed_after: Option<Duration>,
    callers: Option<SocketAddr>,
    tasks: Vec<JoinHandle<()>>,
    peer: QuicPeer,
}

/// Interval between checks for remaining requests while the router drains.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time to write answers to callers whose requests are interrupted.
const INTERRUPT_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum time to wait until the leader confirms the release of the lease. Without
/// confirmation the lease expires.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(200);

fn bind(address: SocketAddr) -> Result<tokio::net::TcpListener> {
    template_callers::listen(address)
        .with_context(|| format!("failed to bind TCP address {address}"))
}

impl Router {
    /// Binds the addresses of the router and starts its tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the certificates cannot be loaded.
    pub async fn start(cx: &Context, cfg: &RouterSettings) -> Result<Self> {
        let peer = QuicPeer::bind(cfg.peers, cx.key_files().as_ref(), MAX_MESSAGE_BYTES)?;
        let shared = Arc::new(RouterShared::new(cx, cfg, peer.clone()));
        let connections = &shared.routes.connections;
        connections.set_tunnels(shared.tunnels.clone());
        admin_page::serve(cfg.admin, shared.clone())?;
        let mut tasks = vec![
            tokio::spawn(tunnels::serve(shared.clone(), peer.clone())),
            tokio::spawn(caller_connections::watch_lag(shared.clone())),
            tokio::spawn(lease::run_renewals(shared.clone())),
            tokio::spawn(lease::report_failing(shared.clone())),
            tokio::spawn(lease::report_retries_short(shared.clone())),
            tokio::spawn(lease::report_full(shared.clone())),
            tokio::spawn(routes::watch_streams(shared.clone())),
            tokio::spawn(routes::report_slow_engines(shared.clone())),
            tokio::spawn(routes::report_interrupted_runs(shared.clone())),
            tokio::spawn(routes::request_permits(shared.clone())),
            tokio::spawn(template_callers::expire_waiting(shared.clone())),
            tokio::spawn(reports::poll_targets(shared.clone())),
            tokio::spawn(reports::poll_platform(shared.clone())),
            tokio::spawn(shared.routes.deliveries.clone().monitor()),
        ];
        let mut callers = None;
        if let Some(address) = cfg.callers {
            let listener = bind(address)?;
            callers = Some(listener.local_addr()?);
            tasks.push(tokio::spawn(template_callers::accept(
                listener,
                shared.clone(),
            )));
        }
        if let Some(address) = cfg.ready {
            let accepting = routes::accept_readiness_checks(bind(address)?, shared.clone());
            tasks.push(tokio::spawn(accepting));
        }
        if let Some(address) = cfg.routes {
            let accepting = routes::accept(bind(address)?, shared.clone());
            tasks.push(tokio::spawn(accepting));
        }
        Ok(Self {
            shared,
            drain: cfg.drain,
            killed_after: cfg.killed_after,
            callers,
            tasks,
            peer,
        })
    }

    /// Returns the address for callers of templates, if there is one.
    pub fn callers(&self) -> Option<SocketAddr> {
        self.callers
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&self, slots: Vec<u32>) {
        self.shared.control.set_seeds(slots);
    }

    /// Returns the state that the tasks of the router share.
    pub fn shared(&self) -> &Arc<RouterShared> {
        &self.shared
    }

    /// Shuts down gracefully: admits requests that can end in time, waits for those in
    /// progress, interrupts the rest, releases the lease and closes the connections.
    pub async fn close(self) {
        let clock = self.shared.clock;
        let stop = PlannedStop::new(clock.now(), self.drain, self.killed_after);
        self.shared.core().drain();
        self.shared.routes.stop.begin(stop);
        if self.shared.cfg.routes.is_some() {
            while clock.now() < stop.admits_until() {
                tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
            }
        }
        self.wait_for_requests(stop.answers_until()).await;
        self.interrupt_requests().await;
        for task in &self.tasks {
            task.abort();
        }
        let release = ControlRequest::Release(self.shared.holder());
        let _ = self.shared.control.ask(&release, RELEASE_TIMEOUT).await;
        self.peer.close().await;
    }

    /// Waits until no request is in progress, at most until the deadline.
    async fn wait_for_requests(&self, deadline: Instant) {
        while self.shared.in_progress() > 0 && self.shared.clock.now() < deadline {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Ends the requests that have no answer yet, so that their callers learn whether they may
    /// have run.
    async fn interrupt_requests(&self) {
        let in_progress = self.shared.in_progress();
        let stop = &self.shared.routes.stop;
        stop.end_answers();
        self.wait_for_requests(self.shared.clock.now() + INTERRUPT_TIMEOUT)
            .await;
        log::info!(
            "event=drained in_progress={in_progress} interrupted={}",
            stop.interrupted()
        );
    }
}
