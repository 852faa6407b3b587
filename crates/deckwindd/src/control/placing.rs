//! Has an engine hold other layers, and follows until it does.

use super::handle::{ControlHandle, Input};
use deckwind_core::control::PlaceOrder;
use deckwind_core::state::{InstanceId, LayerRange};
use deckwind_net::edge::{EngineDialect, EngineReport};
use deckwind_net::targets::{KeptConnections, call_target};
use http::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait for one answer of an engine: a hundred round trips.
const ANSWER: Duration = Duration::from_millis(500);

/// Between two looks at an engine that loads.
const LOOK_EVERY: Duration = Duration::from_millis(120);

/// Looks at which an engine is idle with other layers than ordered, before the
/// order counts as lost: its reports lag by some hundred milliseconds.
const IDLE_LOOKS: u32 = 8;

/// Carries out one order and tells the driver what the engine then holds.
pub async fn place(order: PlaceOrder, dialect: Arc<dyn EngineDialect>, handle: ControlHandle) {
    let task = Placing {
        order,
        dialect,
        connections: KeptConnections::default(),
    };
    let ended = tokio::time::timeout(task.order.within, task.run()).await;
    let held = match ended {
        Ok(Ok(held)) => Some(held),
        Ok(Err(why)) => task.note_failure(&why),
        Err(_) => task.note_failure("not done in time"),
    };
    handle.send(Input::Placed(task.order.id, held));
}

/// Asks a target whether it is there and tells the driver. Any answer will do.
pub async fn check(
    id: InstanceId,
    address: SocketAddr,
    dialect: Arc<dyn EngineDialect>,
    handle: ControlHandle,
) {
    let connections = KeptConnections::default();
    let called = call_target(&connections, address, &dialect.report(), ANSWER).await;
    if let Err(e) = &called {
        log::warn!(
            "event=target_not_there instance={id} address={address} error={:?}",
            e.to_string()
        );
    }
    handle.send(Input::Checked(id, called.is_ok()));
}

struct Placing {
    order: PlaceOrder,
    dialect: Arc<dyn EngineDialect>,
    connections: KeptConnections,
}

impl Placing {
    async fn run(&self) -> Result<LayerRange, String> {
        let report = self.idle_report().await?;
        let as_believed = report.layers == self.order.believed;
        if report.layers == self.order.layers || !as_believed {
            return Ok(report.layers);
        }
        let started = Instant::now();
        let call = {
            let PlaceOrder {
                layers, give_up, ..
            } = self.order;
            self.dialect.place(layers, give_up, report.orders)
        };
        let called = call_target(&self.connections, self.order.address, &call, ANSWER);
        let (status, _) = called.await.map_err(|e| e.to_string())?;
        if !matches!(status, StatusCode::OK | StatusCode::ACCEPTED) {
            return Err(format!("refused with {status}"));
        }
        let held = self.follow().await?;
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

    /// Its report once it carries out no order: a leader before this one may
    /// have given one.
    async fn idle_report(&self) -> Result<EngineReport, String> {
        loop {
            let report = self.report().await?;
            if !report.busy {
                return Ok(report);
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    async fn follow(&self) -> Result<LayerRange, String> {
        let mut idle_looks = 0;
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let report = self.report().await?;
            if report.layers == self.order.layers && !report.busy {
                return Ok(report.layers);
            }
            idle_looks = if report.busy { 0 } else { idle_looks + 1 };
            if idle_looks >= IDLE_LOOKS {
                let LayerRange { first, last } = report.layers;
                return Err(format!("idle with layers {first}-{last}"));
            }
        }
    }

    async fn report(&self) -> Result<EngineReport, String> {
        let call = self.dialect.report();
        let called = call_target(&self.connections, self.order.address, &call, ANSWER);
        let (status, body) = called.await.map_err(|e| e.to_string())?;
        if status != StatusCode::OK {
            return Err(format!("its report came with {status}"));
        }
        self.dialect.read_report(&body).map_err(|e| e.to_string())
    }

    fn note_failure(&self, why: &str) -> Option<LayerRange> {
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
