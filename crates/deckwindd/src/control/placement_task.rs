//! Orders an engine to hold other layers and polls it until it holds them.

use super::handle::{ControlHandle, Input};
use deckwind_core::control::PlacementOrder;
use deckwind_core::state::LayerRange;
use deckwind_net::clock::Clock;
use deckwind_net::edge::{EngineDialect, EngineReport};
use deckwind_net::targets::{
    ConnectionPool, TargetError, TargetResponse, call_target, requested_rest_period,
};
use http::StatusCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// Timeout for one report of an engine: a hundred round trips.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for the answer to an order: fifty round trips. After it, the engine's report
/// shows whether the order was accepted.
const ORDER_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval between two reports requested from an engine that loads layers.
const POLL_INTERVAL: Duration = Duration::from_millis(120);

/// Number of consecutive reports of an idle engine with other layers than ordered after
/// which the order counts as lost. Reports lag by some hundred milliseconds.
const MAX_IDLE_POLLS: u32 = 8;

/// Statuses that answer an order which is in progress or done.
const ACCEPTED_STATUSES: [StatusCode; 2] = [StatusCode::OK, StatusCode::ACCEPTED];

/// Carries out one order and sends the driver the layers that the engine holds
/// afterwards, or `None` if the order failed.
pub async fn place(
    order: PlacementOrder,
    dialect: Arc<dyn EngineDialect>,
    handle: ControlHandle,
    clock: Clock,
    connections: ConnectionPool,
) {
    let task = PlacementTask {
        order,
        dialect,
        connections,
    };
    let result = clock.timeout(task.order.order_timeout, task.run()).await;
    let held = match result {
        Some(Ok(held)) => Some(held),
        Some(Err(why)) => task.log_failure(&why),
        None => task.log_failure("timed out"),
    };
    handle.send(Input::Placed(task.order.incarnation(), held));
}

/// Result of sending an order.
enum SendResult {
    /// The engine has accepted the order.
    Accepted,
    /// The engine holds these layers: the ordered ones, or others than expected. No order
    /// is sent then.
    Holds(LayerRange),
}

struct PlacementTask {
    order: PlacementOrder,
    dialect: Arc<dyn EngineDialect>,
    connections: ConnectionPool,
}

impl PlacementTask {
    async fn run(&self) -> Result<LayerRange, String> {
        let started = Instant::now();
        let held = match self.send_order().await? {
            SendResult::Holds(layers) => return Ok(layers),
            SendResult::Accepted => self.wait_until_placed().await?,
        };
        log::info!(
            "event=layers_placed instance={} address={} layers={}-{} took_ms={}",
            self.order.id,
            self.order.address,
            held.first,
            held.last,
            started.elapsed().as_millis()
        );
        Ok(held)
    }

    /// Sends the order until the engine accepts it.
    ///
    /// An order without an answer may have been accepted, which the next report shows, or
    /// may still arrive later. Each order carries the number of orders in the engine's
    /// last report, which keeps a late order from being carried out after a newer one.
    async fn send_order(&self) -> Result<SendResult, String> {
        let PlacementOrder {
            layers,
            expected_layers,
            unload_mode,
            address,
            ..
        } = self.order;
        loop {
            let report = self.wait_until_idle().await?;
            let held = held_layers(&report)?;
            if held == layers || held != expected_layers {
                return Ok(SendResult::Holds(held));
            }
            let call = self.dialect.place(layers, unload_mode, report.orders);
            match call_target(&self.connections, address, &call, ORDER_TIMEOUT).await {
                Ok(reply) if ACCEPTED_STATUSES.contains(&reply.status) => {
                    return Ok(SendResult::Accepted);
                }
                Ok(reply) => self.wait_rest_period(&reply).await?,
                Err(TargetError::Late(_)) => log::info!(
                    "event=order_unanswered instance={} address={address} orders={}",
                    self.order.id,
                    report.orders
                ),
                Err(e) => return Err(e.to_string()),
            }
        }
    }

    /// Waits for the rest period that the engine asks for with its refusal, after which the
    /// order is sent again. The order is not sent to another engine, since the placement
    /// plan relies on this one.
    ///
    /// # Errors
    ///
    /// Fails if the refusal asks for no rest period.
    async fn wait_rest_period(&self, reply: &TargetResponse) -> Result<(), String> {
        let rest = requested_rest_period(reply.status, &reply.headers, SystemTime::now());
        let rest = rest.map_err(|e| e.to_string())?;
        let rest = rest.ok_or_else(|| format!("refused with {}", reply.status))?;
        log::info!(
            "event=target_asks_rest target={} life={} to=order rest_ms={}",
            self.order.address,
            self.order.incarnation(),
            rest.as_millis()
        );
        // Waits for a minimum time, also if the engine asks for a rest period of 0.
        tokio::time::sleep(rest.max(POLL_INTERVAL)).await;
        Ok(())
    }

    /// Polls the engine until it carries out no order, and returns its report. An earlier
    /// leader may have sent an order.
    async fn wait_until_idle(&self) -> Result<EngineReport, String> {
        loop {
            let report = self.report().await?;
            if !report.busy {
                return Ok(report);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn wait_until_placed(&self) -> Result<LayerRange, String> {
        let mut idle_polls = 0;
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let report = self.report().await?;
            let held = held_layers(&report)?;
            if held == self.order.layers && !report.busy {
                return Ok(held);
            }
            idle_polls = if report.busy { 0 } else { idle_polls + 1 };
            if idle_polls >= MAX_IDLE_POLLS {
                let LayerRange { first, last } = held;
                return Err(format!("idle with layers {first}-{last}"));
            }
        }
    }

    async fn report(&self) -> Result<EngineReport, String> {
        let call = self.dialect.report();
        let called = call_target(&self.connections, self.order.address, &call, REPORT_TIMEOUT);
        let reply = called.await.map_err(|e| e.to_string())?;
        if reply.status != StatusCode::OK {
            return Err(format!("report answered with status {}", reply.status));
        }
        let report = self.dialect.read_report(&reply.body);
        let report = report.map_err(|e| e.to_string())?;
        if report.is_of_other_incarnation(self.order.born) {
            return Err("the report is of another incarnation".to_string());
        }
        Ok(report)
    }

    fn log_failure(&self, why: &str) -> Option<LayerRange> {
        log::warn!(
            "event=layers_not_placed instance={} address={} layers={}-{} error={why:?}",
            self.order.id,
            self.order.address,
            self.order.layers.first,
            self.order.layers.last
        );
        None
    }
}

/// Returns the layers of a report.
///
/// # Errors
///
/// Fails if the report has no layers.
fn held_layers(report: &EngineReport) -> Result<LayerRange, String> {
    let held = report.layers;
    held.ok_or_else(|| "the report has no layers".to_string())
}
