//! Derives the list of suspects beside the driver's thread, which must not stand still for it.

use super::handle::{ControlHandle, Input};
use deckwind_core::state::SuspectEvidence;
use std::time::Instant;
use tokio::runtime::Handle;

/// Derives the list on a thread for blocking work and sends it to the driver. The core hands out
/// the next evidence only once the result has come.
pub fn derive(runtime: &Handle, evidence: SuspectEvidence, handle: ControlHandle) {
    runtime.spawn_blocking(move || {
        let begun = Instant::now();
        let derived = evidence.derive();
        metrics::histogram!("deckwind_control_derivation_seconds").record(begun.elapsed());
        handle.send(Input::SuspectsDerived(derived));
    });
}
