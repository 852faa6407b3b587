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
mod answers;
mod callers;
mod chat;
mod chat_body;
mod claims;
mod control_client;
mod lease;
mod reports;
mod service;
mod shared;

pub use callers::listen;
pub use shared::{RouterShared, TargetClients};

use crate::context::Context;
use anyhow::{Context as _, Result};
use deckwind_config::RouterSettings;
use deckwind_net::quic::QuicPeer;
use deckwind_wire::{ControlRequest, MAX_MESSAGE};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// A running router.
pub struct Router {
    shared: Arc<RouterShared>,
    drain: Duration,
    callers: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    peer: QuicPeer,
}

/// Between two looks at what still runs while the router drains.
const DRAIN_STEP: Duration = Duration::from_millis(20);

impl Router {
    /// Binds its addresses and starts.
    pub async fn start(cx: &Context, cfg: &RouterSettings) -> Result<Self> {
        let peer = QuicPeer::bind(cfg.peers, &cx.key_files(), MAX_MESSAGE)?;
        let shared = Arc::new(RouterShared::new(cx, cfg, peer.clone()));
        admin_page::serve(cfg.admin, shared.clone())?;
        let listener = callers::listen(cfg.callers)
            .with_context(|| format!("TCP {} can't be bound", cfg.callers))?;
        let callers = listener.local_addr()?;
        let tasks = vec![
            tokio::spawn(lease::keep(shared.clone())),
            tokio::spawn(callers::accept(listener, shared.clone())),
            tokio::spawn(callers::expire_waiting(shared.clone())),
            tokio::spawn(reports::poll_targets(shared.clone())),
            tokio::spawn(reports::poll_platform(shared.clone())),
        ];
        Ok(Self {
            shared,
            drain: cfg.drain,
            callers,
            tasks,
            peer,
        })
    }

    /// Where callers reach it.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// What it shares between its tasks.
    pub fn shared(&self) -> &Arc<RouterShared> {
        &self.shared
    }

    /// A planned stop: takes nothing new, finishes what runs, gives its lease
    /// back, closes.
    pub async fn close(self) {
        self.shared.core().drain();
        let deadline = tokio::time::Instant::now() + self.drain;
        while self.shared.in_progress() > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(DRAIN_STEP).await;
        }
        for task in &self.tasks {
            task.abort();
        }
        let release = ControlRequest::Release(self.shared.holder());
        let _ = self
            .shared
            .control
            .ask(&release, Duration::from_secs(1))
            .await;
        self.peer.close().await;
    }
}
