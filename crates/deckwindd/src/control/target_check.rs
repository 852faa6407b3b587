//! Check whether a target that routers report as failing still runs.

use super::handle::{ControlHandle, Input};
use deckwind_core::state::Incarnation;
use deckwind_net::clock::Clock;
use deckwind_net::edge::EngineDialect;
use deckwind_net::targets::{ConnectionPool, call_target};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for the answer of a target that routers report as failing: some hundred round
/// trips. The chain of engines that it belongs to is stalled meanwhile.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Checks whether this incarnation of a target still runs and sends the result to the
/// driver. Any answer counts as running, except a report of another incarnation, which
/// means that this one has ended. Two requests are sent in parallel, because a packet of
/// one may be lost.
pub async fn check(
    incarnation: Incarnation,
    address: SocketAddr,
    dialect: Arc<dyn EngineDialect>,
    handle: ControlHandle,
    clock: Clock,
) {
    let call = dialect.report();
    let request = async || {
        let connections = ConnectionPool::new(clock);
        let calling = call_target(&connections, address, &call, CHECK_TIMEOUT);
        match tokio::time::timeout(CHECK_TIMEOUT, calling).await {
            Ok(Ok(reply)) => match dialect.read_report(&reply.body) {
                Ok(report) if report.is_of_other_incarnation(incarnation.born) => {
                    Err("the report is of another incarnation".to_string())
                }
                _ => Ok(()),
            },
            Ok(Err(e)) => Err(e.to_string()),
            Err(_) => Err(format!("no answer within {CHECK_TIMEOUT:?}")),
        }
    };
    let (first, second) = tokio::join!(request(), request());
    let is_running = first.is_ok() || second.is_ok();
    if let (Err(e), Err(_)) = (first, second) {
        log::warn!("event=target_not_there life={incarnation} address={address} error={e:?}");
    }
    handle.send(Input::Checked(incarnation, is_running));
}
