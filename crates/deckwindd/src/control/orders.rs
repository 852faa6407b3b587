//! Sends orders to engines.

use super::handle::{ControlHandle, Input};
use deckwind_core::control::OrderBatch;
use deckwind_net::clock::Clock;
use deckwind_net::targets::{Engine, HttpEngine, TargetError};

/// Sends a batch of orders on a connection of its own, which is closed when the batch
/// times out, so that no order can arrive later. If the process was suspended for that
/// time, the remaining orders are not sent.
pub async fn send(batch: OrderBatch, handle: ControlHandle, clock: Clock) {
    let deadline = clock.now() + batch.order_timeout;
    let engine = HttpEngine::new(batch.address);
    let sending = async {
        for order in batch.orders {
            if deadline <= clock.now() {
                return Err(TargetError::Late(batch.order_timeout));
            }
            engine.order(order).await?;
        }
        Ok::<(), TargetError>(())
    };
    let sent = clock.timeout(batch.order_timeout, sending).await;
    let sent = sent.unwrap_or(Err(TargetError::Late(batch.order_timeout)));
    let is_accepted = sent.is_ok();
    if let Err(e) = sent {
        log::info!(
            "event=orders_not_taken target={} address={} revision={} error={:?}",
            batch.target,
            batch.address,
            batch.revision,
            e.to_string()
        );
    }
    handle.send(Input::OrdersDone(batch.target, is_accepted));
}
