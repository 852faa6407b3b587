//! HTTP server for operators, built on `oxhttp` with one thread per connection.

use anyhow::{Context as _, Result};
use oxhttp::Server;
use oxhttp::model::{Body, Request, Response, StatusCode};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for reading a request and for writing a response.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 64;

/// Serves `handle` at an address until the process exits.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&mut Request<Body>) -> Response<Body> + Send + Sync + 'static,
) -> Result<()> {
    Server::new(handle)
        .with_global_timeout(TIMEOUT)
        .with_max_concurrent_connections(MAX_CONNECTIONS)
        .bind(address)
        .spawn()
        .with_context(|| format!("failed to bind TCP address {address}"))?;
    Ok(())
}

/// Builds a plain-text response.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response<Body> {
    response(status, "text/plain; charset=utf-8", body.into())
}

/// Builds a JSON response; the status is 500 if `value` cannot be serialized.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_string(value) {
        Ok(body) => response(status, "application/json", body),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

fn response(status: StatusCode, content_type: &str, body: String) -> Response<Body> {
    let built = Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Body::from(body));
    built.unwrap_or_else(|_| Response::new(Body::from(String::new())))
}
