//! Check whether a target that routers report as failing still runs.

use super::handle::{ControlHandle, Input};
use deckwind_core::state::Incarnation;
use deckwind_net::edge::EngineDialect;
use deckwind_net::targets::{ConnectionPool, call_target};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for one answer of a target that routers report as failing: some hundred round
/// trips. The chain of engines that it belongs to is stalled meanwhile.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of requests to a target whose answers are not reports. One that crashes while it
/// answers may close its connection like one that is done, and doesn't answer again.
const MAX_REQUESTS: u32 = 2;

/// An answer to a request for a report.
enum Answer {
    /// The target runs.
    Runs,
    /// The answer is a success, but no report, or only a part of one.
    Unreadable(String),
}

/// Checks whether this incarnation of a target still runs and sends the result to the
/// driver. Any answer counts as running, except a report of another incarnation, which
/// means that this one has ended, and one that can't be read, after which the target is
/// asked again. Two requests are sent in parallel, because a packet of one may be lost. Each
/// uses a new connection, and counts in the budget of `connections`.
pub async fn check(
    incarnation: Incarnation,
    address: SocketAddr,
    dialect: Arc<dyn EngineDialect>,
    handle: ControlHandle,
    connections: Arc<ConnectionPool>,
) {
    let request = || request(&incarnation, address, dialect.as_ref(), &connections);
    let (first, second) = tokio::join!(request(), request());
    let is_running = first.is_ok() || second.is_ok();
    if let (Err(e), Err(_)) = (first, second) {
        log::warn!("event=target_not_there life={incarnation} address={address} error={e:?}");
    }
    handle.send(Input::Checked(incarnation, is_running));
}

/// Asks a target until it answers with a report, a limited number of times.
///
/// # Errors
///
/// Fails if the target does not answer, or its report is of another incarnation.
async fn request(
    incarnation: &Incarnation,
    address: SocketAddr,
    dialect: &dyn EngineDialect,
    connections: &ConnectionPool,
) -> Result<(), String> {
    for _ in 0..MAX_REQUESTS {
        match request_once(incarnation, address, dialect, connections).await? {
            Answer::Runs => return Ok(()),
            Answer::Unreadable(why) => log::info!(
                "event=report_unreadable target={address} life={incarnation} error={why:?}"
            ),
        }
    }
    Ok(())
}

async fn request_once(
    incarnation: &Incarnation,
    address: SocketAddr,
    dialect: &dyn EngineDialect,
    connections: &ConnectionPool,
) -> Result<Answer, String> {
    let connections = connections.with_same_budget();
    let call = dialect.report();
    let called = call_target(&connections, address, &call, CHECK_TIMEOUT).await;
    let reply = called.map_err(|e| e.to_string())?;
    match dialect.read_report(&reply.body) {
        Ok(report) if report.is_of_other_incarnation(incarnation.born) => {
            Err("the report is of another incarnation".to_string())
        }
        Err(e) if reply.status.is_success() => Ok(Answer::Unreadable(e.to_string())),
        Ok(_) | Err(_) => Ok(Answer::Runs),
    }
}
