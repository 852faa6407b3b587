//! Admin endpoints of a router, for operators and load balancers.

use super::shared::RouterShared;
use crate::admin::{self, json, text};
use crate::metrics_page;
use anyhow::Result;
use oxhttp::model::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;

/// Serves `/health`, `/ready`, `/metrics` and `/v1/burn`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn serve(address: SocketAddr, shared: Arc<RouterShared>) -> Result<()> {
    admin::serve(address, move |req| match req.uri().path() {
        "/health" => text(StatusCode::OK, "alive\n"),
        "/ready" if shared.core().is_ready(shared.clock.now()) => text(StatusCode::OK, "ready\n"),
        "/ready" => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "not ready: draining or without a lease\n",
        ),
        "/metrics" => text(StatusCode::OK, metrics_page::page().render()),
        "/v1/burn" => {
            let report = shared.core().burn_report(shared.clock.now());
            json(StatusCode::OK, &report)
        }
        path => text(StatusCode::NOT_FOUND, format!("there is no {path} here\n")),
    })
}
