//! Asks targets that routers call failing whether they are there.

use super::handle::{ControlHandle, Input};
use deckwind_core::state::Life;
use deckwind_net::clock::Clock;
use deckwind_net::edge::EngineDialect;
use deckwind_net::targets::{KeptConnections, call_target};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a target that routers call failing: some hundred round trips.
/// Its chain stands still meanwhile.
const CHECK_WITHIN: Duration = Duration::from_millis(200);

/// Asks a target whether this life of it is there and tells the driver. Any answer
/// will do, but a report of another life: then this one is over. It is asked twice
/// at once, since packets are lost at times.
pub async fn check(
    life: Life,
    address: SocketAddr,
    dialect: Arc<dyn EngineDialect>,
    handle: ControlHandle,
    clock: Clock,
) {
    let call = dialect.report();
    let ask = async || {
        let connections = KeptConnections::new(clock);
        let asking = call_target(&connections, address, &call, CHECK_WITHIN);
        match tokio::time::timeout(CHECK_WITHIN, asking).await {
            Ok(Ok(reply)) => match dialect.read_report(&reply.body) {
                Ok(report) if report.is_of_another_life(life.born) => {
                    Err("another life".to_string())
                }
                _ => Ok(()),
            },
            Ok(Err(e)) => Err(e.to_string()),
            Err(_) => Err(format!("no answer within {CHECK_WITHIN:?}")),
        }
    };
    let (first, second) = tokio::join!(ask(), ask());
    let there = first.is_ok() || second.is_ok();
    if let (Err(e), Err(_)) = (first, second) {
        log::warn!("event=target_not_there life={life} address={address} error={e:?}");
    }
    handle.send(Input::Checked(life, there));
}
