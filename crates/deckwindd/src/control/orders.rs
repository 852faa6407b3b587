//! Sends orders to engines.

use super::handle::{ControlHandle, Input};
use deckwind_core::control::OrderBatch;
use deckwind_net::targets::{Engine, HttpEngine};

/// Sends a batch on a connection of its own, which is closed when the batch's
/// time is over: nothing of it can arrive later.
pub async fn send(batch: OrderBatch, handle: ControlHandle) {
    let engine = HttpEngine::new(batch.address);
    let sending = async {
        for order in batch.orders {
            engine.order(order).await?;
        }
        Ok::<(), deckwind_net::targets::TargetError>(())
    };
    let sent = tokio::time::timeout(batch.within, sending).await;
    let taken = matches!(sent, Ok(Ok(())));
    if !taken {
        log::info!(
            "event=orders_not_taken target={} address={} revision={}",
            batch.target,
            batch.address,
            batch.revision
        );
    }
    handle.send(Input::OrdersDone(batch.target, taken));
}
