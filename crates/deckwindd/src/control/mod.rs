//! The control role: one thread drives the core, the borders feed it.
//!
//! ```text
//!  QUIC ──┐                    ┌─► store: write, sync
//!  HTTP ──┼─► channel ─► driver┤
//!  ticks ─┘   (crossbeam)      ├─► one sender task a peer
//!                              └─► replies
//! ```

mod calls;
mod driver;
mod handle;
mod node;
mod operators;
mod orders;
mod peers;
mod placing;

pub use handle::{ControlHandle, Input};
pub use node::{ControlNode, Effect, Now};

use crate::context::Context;
use anyhow::{Context as _, Result};
use deckwind_config::ControlSettings;
use deckwind_core::replication::ReplicaId;
use deckwind_net::quic::QuicPeer;
use deckwind_store::{FsDisk, Store};
use deckwind_wire::MAX_MESSAGE;
use std::thread::JoinHandle;

/// A running control replica.
pub struct Control {
    handle: ControlHandle,
    thread: JoinHandle<Result<()>>,
    peer: QuicPeer,
}

impl Control {
    /// Opens the data folder and starts.
    pub fn start(cx: &Context, cfg: &ControlSettings) -> Result<Self> {
        let disk = FsDisk::open(&cfg.data_folder)?;
        let fresh = ReplicaId {
            slot: cfg.slot,
            identity: rand::random(),
        };
        let (store, opened) = Store::open(Box::new(disk), fresh)
            .with_context(|| format!("data folder {}", cfg.data_folder.display()))?;
        log::info!(
            "event=store_opened replica={} fresh={} entries={} cut_bytes={}",
            opened.id,
            opened.fresh,
            opened.stored.entries.len(),
            opened.cut_bytes
        );
        let _guard = cx.runtime.enter();
        let address = cx.control_address(cfg.slot)?;
        let peer = QuicPeer::bind(address, cx.key_files().as_ref(), MAX_MESSAGE)?;
        let (handle, rx) = ControlHandle::new();
        let senders = peers::Senders::new(cx, &peer);
        cx.runtime.spawn(peers::serve(peer.clone(), handle.clone()));
        operators::serve(cfg, handle.clone())?;
        if let Some(address) = cfg.calls {
            let serving = calls::serve(cx, address, handle.clone())?;
            cx.runtime.spawn(serving);
        }
        let driver = driver::Driver::new(cx, cfg, store, opened, senders, handle.clone())?;
        let thread = std::thread::Builder::new()
            .name("control".to_string())
            .spawn(move || driver.run(rx))?;
        Ok(Self {
            handle,
            thread,
            peer,
        })
    }

    /// Other seeds: the settings have changed.
    pub fn take_seeds(&self, slots: Vec<u32>) {
        self.handle.send(Input::Seeds(slots));
    }

    /// Whether the driver's thread still runs.
    pub fn is_alive(&self) -> bool {
        !self.thread.is_finished()
    }

    /// Stops the thread and closes the connections.
    pub async fn close(self) -> Result<()> {
        self.handle.send(Input::Stop);
        let joined = tokio::task::spawn_blocking(move || self.thread.join()).await?;
        self.peer.close().await;
        joined.map_err(|_| anyhow::anyhow!("the control thread panicked"))?
    }
}
