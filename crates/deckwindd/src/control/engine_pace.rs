//! Query for the pace of an engine.

use super::handle::{ControlHandle, Input};
use deckwind_net::edge::EngineDialect;
use deckwind_net::targets::{ConnectionPool, call_target};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for a report: some hundred round trips.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Queries the pace of the engine at `address` and sends it to the driver. A query that
/// fails is only logged.
pub async fn query(
    address: SocketAddr,
    dialect: Arc<dyn EngineDialect>,
    connections: Arc<ConnectionPool>,
    handle: ControlHandle,
) {
    let call = dialect.report();
    let called = call_target(&connections, address, &call, REPORT_TIMEOUT).await;
    let report = called
        .map_err(|e| e.to_string())
        .and_then(|reply| {
            let report = dialect.read_report(&reply.body);
            report.map_err(|e| e.to_string())
        })
        .and_then(|r| r.pace_percent.ok_or("the report gives no pace".to_string()));
    match report {
        Ok(percent) => {
            log::info!("event=pace_told address={address} percent={percent}");
            handle.send(Input::Pace(address, percent));
        }
        Err(e) => log::info!("event=pace_not_told address={address} error={e:?}"),
    }
}
