//! The control role: one thread drives the control core; network servers and timers
//! send it inputs over a channel.
//!
//! ```text
//!  QUIC ──┐                    ┌─► store: write, sync
//!  HTTP ──┼─► channel ─► driver┤
//!  ticks ─┘   (crossbeam)      ├─► one sender task per peer and queue
//!                              └─► replies
//! ```

mod backlog;
mod calls;
mod driver;
mod effect;
mod effect_performer;
mod engine_pace;
mod handle;
mod leadership;
mod limit_metrics;
mod member_metrics;
mod node;
mod operators;
mod orders;
mod peers;
mod placement_task;
mod refusals;
mod retry_metrics;
mod supervisor;
pub mod target_check;
mod work_times;

pub use effect::{Effect, EffectSink};
pub use handle::{ControlHandle, Inbox, Input, InputAges, InputBatch, MAX_OTHER_INPUTS};
pub use node::{ControlNode, Now, SLICE};
pub use refusals::{REFUSAL_LOG_INTERVAL, RefusalLog};
pub use supervisor::OpenDisk;

use crate::context::Context;
use anyhow::Result;
use deckwind_config::ControlSettings;
use deckwind_net::quic::QuicPeer;
use deckwind_wire::MAX_MESSAGE_BYTES;
use std::thread::JoinHandle;
use supervisor::{Supervisor, open_fs_disk};

/// A running control replica.
pub struct Control {
    handle: ControlHandle,
    thread: JoinHandle<Result<()>>,
    peer: QuicPeer,
}

impl Control {
    /// Opens the data folder and starts the replica.
    pub fn start(cx: &Context, cfg: &ControlSettings) -> Result<Self> {
        Self::start_with_disk(cx, cfg, Box::new(open_fs_disk))
    }

    /// Starts the replica like [`Control::start`], on the disk that `open_disk` opens.
    pub fn start_with_disk(
        cx: &Context,
        cfg: &ControlSettings,
        open_disk: OpenDisk,
    ) -> Result<Self> {
        let (store, opened) = supervisor::open(cx, &open_disk, cfg)?;
        let _guard = cx.runtime.enter();
        let address = cx.control_address(cfg.slot)?;
        let peer = QuicPeer::bind(address, cx.key_files().as_ref(), MAX_MESSAGE_BYTES)?;
        let (handle, inbox) = ControlHandle::new();
        cx.runtime.spawn(peers::serve(peer.clone(), handle.clone()));
        operators::serve(cfg, handle.clone())?;
        if let Some(address) = cfg.calls {
            let serving = calls::serve(cx, address, handle.clone())?;
            cx.runtime.spawn(serving);
        }
        let supervisor = Supervisor {
            cx: cx.clone(),
            cfg: cfg.clone(),
            peer: peer.clone(),
            handle: handle.clone(),
            open_disk,
        };
        let driver = supervisor.driver(store, opened)?;
        let thread = std::thread::Builder::new()
            .name("control".to_string())
            .spawn(move || supervisor.run(driver, &inbox))?;
        Ok(Self {
            handle,
            thread,
            peer,
        })
    }

    /// Returns the handle that sends inputs to the driver.
    pub fn handle(&self) -> &ControlHandle {
        &self.handle
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&self, slots: Vec<u32>) {
        self.handle.send(Input::Seeds(slots));
    }

    /// Returns whether the driver's thread still runs.
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
