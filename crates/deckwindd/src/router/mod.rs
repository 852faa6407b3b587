//! The router role: callers in front, targets behind, the core between.
//!
//! ```text
//!  callers ─► callers.rs ─► chat.rs ────► stages at engines
//!         ◄─ answering.rs ◄──┘
//!                    │  └─► service.rs ─► plain services
//!                    ▼
//!               RouterCore (one lock, short calls)
//!                    ▲
//!  lease.rs ─────────┤ configuration, lease, shares
//!  reports.rs ───────┘ load, cache events, the platform's list
//! ```

mod admin_page;
mod answering;
mod chat;
mod chat_body;
mod claims;
mod control_client;
mod lease;
mod reports;
mod routes;
mod service;
mod shared;
mod template_answers;
mod template_callers;
mod template_runs;

pub use shared::{RouterShared, TargetClients};
pub use template_callers::listen;

use crate::context::Context;
use anyhow::{Context as _, Result};
use deckwind_config::RouterSettings;
use deckwind_net::quic::QuicPeer;
use deckwind_wire::{ControlRequest, MAX_MESSAGE};
use routes::LetIn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// A running router.
pub struct Router {
    shared: Arc<RouterShared>,
    drain: Duration,
    killed_after: Option<Duration>,
    callers: Option<SocketAddr>,
    tasks: Vec<JoinHandle<()>>,
    peer: QuicPeer,
}

/// Between two looks at what still runs while the router drains.
const DRAIN_STEP: Duration = Duration::from_millis(20);

/// How long after a planned stop began callers of routes are still served as
/// usual: balancers ask each second, and leave out one that said no twice.
const STILL_ACCEPT: Duration = Duration::from_millis(2_800);

/// After this no request is let in: what takes longest with a whole answer ends
/// before the process is killed.
const LAST_ACCEPT: Duration = Duration::from_millis(4_500);

/// What is done after the last answer must end before the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(600);

/// Longest wait for the leader to take the lease back; else it runs out.
const RELEASE_WITHIN: Duration = Duration::from_millis(200);

fn bind(address: SocketAddr) -> Result<tokio::net::TcpListener> {
    template_callers::listen(address).with_context(|| format!("TCP {address} can't be bound"))
}

impl Router {
    /// Binds its addresses and starts.
    pub async fn start(cx: &Context, cfg: &RouterSettings) -> Result<Self> {
        let peer = QuicPeer::bind(cfg.peers, cx.key_files().as_ref(), MAX_MESSAGE)?;
        let shared = Arc::new(RouterShared::new(cx, cfg, peer.clone()));
        admin_page::serve(cfg.admin, shared.clone())?;
        let mut tasks = vec![
            tokio::spawn(lease::keep(shared.clone())),
            tokio::spawn(lease::tell_failing(shared.clone())),
            tokio::spawn(lease::tell_repeats_short(shared.clone())),
            tokio::spawn(lease::tell_full(shared.clone())),
            tokio::spawn(routes::watch_streams(shared.clone())),
            tokio::spawn(routes::tell_slow(shared.clone())),
            tokio::spawn(routes::tell_cut_runs(shared.clone())),
            tokio::spawn(routes::ask_for_permits(shared.clone())),
            tokio::spawn(template_callers::expire_waiting(shared.clone())),
            tokio::spawn(reports::poll_targets(shared.clone())),
            tokio::spawn(reports::poll_platform(shared.clone())),
            tokio::spawn(shared.routes.deliveries.clone().watch()),
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
            let serving = routes::accept_ready(bind(address)?, shared.clone());
            tasks.push(tokio::spawn(serving));
        }
        if let Some(address) = cfg.routes {
            let serving = routes::accept(bind(address)?, shared.clone());
            tasks.push(tokio::spawn(serving));
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

    /// Where callers of templates reach it.
    pub fn callers(&self) -> Option<SocketAddr> {
        self.callers
    }

    /// Other seeds: the settings have changed.
    pub fn take_seeds(&self, slots: Vec<u32>) {
        self.shared.control.take_seeds(slots);
    }

    /// What it shares between its tasks.
    pub fn shared(&self) -> &Arc<RouterShared> {
        &self.shared
    }

    /// A planned stop: takes nothing new, finishes what runs, gives its lease
    /// back, closes.
    pub async fn close(self) {
        self.shared.core().drain();
        self.shared.routes.drain();
        let began = tokio::time::Instant::now();
        let end = began + self.stop_within();
        if self.shared.cfg.routes.is_some() {
            let steps = [
                (STILL_ACCEPT, LetIn::NoStreams),
                (LAST_ACCEPT, LetIn::Nothing),
            ];
            for (after, let_in) in steps {
                tokio::time::sleep_until((began + after).min(end)).await;
                self.shared.routes.restrict(let_in);
            }
        }
        while self.shared.in_progress() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(DRAIN_STEP).await;
        }
        log::info!("event=drained in_progress={}", self.shared.in_progress());
        for task in &self.tasks {
            task.abort();
        }
        let release = ControlRequest::Release(self.shared.holder());
        let _ = self.shared.control.ask(&release, RELEASE_WITHIN).await;
        self.peer.close().await;
    }

    /// Longest time that requests in progress are waited for.
    fn stop_within(&self) -> Duration {
        let killed = self.killed_after.map(|d| d.saturating_sub(KILL_MARGIN));
        killed.unwrap_or(self.drain).min(self.drain)
    }
}
