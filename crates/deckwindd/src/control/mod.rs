//! The control role: one thread drives the core, the borders feed it.
//!
//! ```text
//!  QUIC ──┐                    ┌─► store: write, sync
//!  HTTP ──┼─► channel ─► driver┤
//!  ticks ─┘   (crossbeam)      ├─► one sender task a peer
//!                              └─► replies
//! ```

mod calls;
mod checking;
mod driver;
mod handle;
mod keeper;
mod limit_notes;
mod node;
mod operators;
mod orders;
mod paces;
mod peers;
mod placing;
mod refusals;
mod repeat_notes;
mod work_times;

pub use handle::{ControlHandle, Inbox, Input};
pub use keeper::OpenDisk;
pub use node::{ControlNode, Effect, Now};
pub use refusals::{LOG_EVERY, Refusals};

use crate::context::Context;
use anyhow::Result;
use deckwind_config::ControlSettings;
use deckwind_net::quic::QuicPeer;
use deckwind_wire::MAX_MESSAGE;
use keeper::{Keeper, open_fs_disk};
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
        Self::start_on(cx, cfg, Box::new(open_fs_disk))
    }

    /// The same on another disk.
    pub fn start_on(cx: &Context, cfg: &ControlSettings, open_disk: OpenDisk) -> Result<Self> {
        let (store, opened) = keeper::open(&open_disk, cfg)?;
        let _guard = cx.runtime.enter();
        let address = cx.control_address(cfg.slot)?;
        let peer = QuicPeer::bind(address, cx.key_files().as_ref(), MAX_MESSAGE)?;
        let (handle, inbox) = ControlHandle::new();
        cx.runtime.spawn(peers::serve(peer.clone(), handle.clone()));
        operators::serve(cfg, handle.clone())?;
        if let Some(address) = cfg.calls {
            let serving = calls::serve(cx, address, handle.clone())?;
            cx.runtime.spawn(serving);
        }
        let keeper = Keeper {
            cx: cx.clone(),
            cfg: cfg.clone(),
            peer: peer.clone(),
            handle: handle.clone(),
            open_disk,
        };
        let driver = keeper.driver(store, opened)?;
        let thread = std::thread::Builder::new()
            .name("control".to_string())
            .spawn(move || keeper.run(driver, &inbox))?;
        Ok(Self {
            handle,
            thread,
            peer,
        })
    }

    /// The way into it.
    pub fn handle(&self) -> &ControlHandle {
        &self.handle
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
