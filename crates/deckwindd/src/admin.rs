//! The operators' side of a daemon: HTTP by `oxhttp`, a thread a connection.

use anyhow::{Context as _, Result};
use oxhttp::Server;
use oxhttp::model::{Body, Request, Response, StatusCode};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest request or answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Connections at once.
const MAX_CONNECTIONS: usize = 64;

/// Serves `handle` at an address until the process ends.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&mut Request<Body>) -> Response<Body> + Send + Sync + 'static,
) -> Result<()> {
    Server::new(handle)
        .with_global_timeout(TIMEOUT)
        .with_max_concurrent_connections(MAX_CONNECTIONS)
        .bind(address)
        .spawn()
        .with_context(|| format!("TCP {address} can't be bound"))?;
    Ok(())
}

/// A text answer.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response<Body> {
    answer(status, "text/plain; charset=utf-8", body.into())
}

/// A JSON answer.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_string(value) {
        Ok(body) => answer(status, "application/json", body),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

fn answer(status: StatusCode, content_type: &str, body: String) -> Response<Body> {
    let built = Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Body::from(body));
    built.unwrap_or_else(|_| Response::new(Body::from(String::new())))
}
