//! Has an engine hold other layers, and follows until it does.

use super::handle::{ControlHandle, Input};
use deckwind_core::control::PlaceOrder;
use deckwind_core::state::LayerRange;
use deckwind_net::clock::Clock;
use deckwind_net::edge::{EngineDialect, EngineReport};
use deckwind_net::targets::{KeptConnections, TargetError, TargetReply, asked_rest, call_target};
use http::StatusCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// Longest wait for one answer of an engine: a hundred round trips.
const ANSWER: Duration = Duration::from_millis(500);

/// Longest wait for the answer to an order, after which its report tells whether
/// it was taken: fifty round trips.
const ORDER_ANSWER: Duration = Duration::from_millis(150);

/// Between two looks at an engine that loads.
const LOOK_EVERY: Duration = Duration::from_millis(120);

/// Looks at which an engine is idle with other layers than ordered, before the
/// order counts as lost: its reports lag by some hundred milliseconds.
const IDLE_LOOKS: u32 = 8;

/// Statuses of an order that is being carried out, or was.
const TAKEN: [StatusCode; 2] = [StatusCode::OK, StatusCode::ACCEPTED];

/// Carries out one order and tells the driver what the engine then holds.
pub async fn place(
    order: PlaceOrder,
    dialect: Arc<dyn EngineDialect>,
    handle: ControlHandle,
    clock: Clock,
) {
    let task = Placing {
        order,
        dialect,
        connections: KeptConnections::new(clock),
    };
    let ended = clock.timeout(task.order.within, task.run()).await;
    let held = match ended {
        Some(Ok(held)) => Some(held),
        Some(Err(why)) => task.note_failure(&why),
        None => task.note_failure("not done in time"),
    };
    handle.send(Input::Placed(task.order.life(), held));
}

/// What came of an order.
enum Ordered {
    /// It is being carried out.
    Taken,
    /// There is nothing to do, or the engine is not as believed: it holds this.
    Holds(LayerRange),
}

struct Placing {
    order: PlaceOrder,
    dialect: Arc<dyn EngineDialect>,
    connections: KeptConnections,
}

impl Placing {
    async fn run(&self) -> Result<LayerRange, String> {
        let started = Instant::now();
        let held = match self.order().await? {
            Ordered::Holds(layers) => return Ok(layers),
            Ordered::Taken => self.follow().await?,
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

    /// Gives the order until it is taken. One that is not answered may have been
    /// taken, or may be carried out later: its report tells the first, and the
    /// number of orders in the next one keeps the second from being done after
    /// it.
    async fn order(&self) -> Result<Ordered, String> {
        let PlaceOrder {
            layers,
            believed,
            give_up,
            address,
            ..
        } = self.order;
        loop {
            let report = self.idle_report().await?;
            let held = held_of(&report)?;
            if held == layers || held != believed {
                return Ok(Ordered::Holds(held));
            }
            let call = self.dialect.place(layers, give_up, report.orders);
            match call_target(&self.connections, address, &call, ORDER_ANSWER).await {
                Ok(reply) if TAKEN.contains(&reply.status) => return Ok(Ordered::Taken),
                Ok(reply) => self.rest_or_fail(&reply).await?,
                Err(TargetError::Late(_)) => log::info!(
                    "event=order_unanswered instance={} address={address} orders={}",
                    self.order.id,
                    report.orders
                ),
                Err(e) => return Err(e.to_string()),
            }
        }
    }

    /// Leaves an engine alone for as long as it asks with its refusal; then the order is
    /// given again. It is not given elsewhere: the plan counts on this engine.
    async fn rest_or_fail(&self, reply: &TargetReply) -> Result<(), String> {
        let rest = asked_rest(reply.status, &reply.headers, SystemTime::now());
        let rest = rest.map_err(|e| e.to_string())?;
        let rest = rest.ok_or_else(|| format!("refused with {}", reply.status))?;
        log::info!(
            "event=target_asks_rest target={} life={} to=order rest_ms={}",
            self.order.address,
            self.order.life(),
            rest.as_millis()
        );
        // An engine that asks for no time at all is not asked again at once.
        tokio::time::sleep(rest.max(LOOK_EVERY)).await;
        Ok(())
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
            let held = held_of(&report)?;
            if held == self.order.layers && !report.busy {
                return Ok(held);
            }
            idle_looks = if report.busy { 0 } else { idle_looks + 1 };
            if idle_looks >= IDLE_LOOKS {
                let LayerRange { first, last } = held;
                return Err(format!("idle with layers {first}-{last}"));
            }
        }
    }

    async fn report(&self) -> Result<EngineReport, String> {
        let call = self.dialect.report();
        let called = call_target(&self.connections, self.order.address, &call, ANSWER);
        let reply = called.await.map_err(|e| e.to_string())?;
        if reply.status != StatusCode::OK {
            return Err(format!("its report came with {}", reply.status));
        }
        let report = self.dialect.read_report(&reply.body);
        let report = report.map_err(|e| e.to_string())?;
        if report.is_of_another_life(self.order.born) {
            return Err("another life".to_string());
        }
        Ok(report)
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

/// A report without layers says nothing of them.
fn held_of(report: &EngineReport) -> Result<LayerRange, String> {
    let held = report.layers;
    held.ok_or_else(|| "its report tells no layers".to_string())
}
