//! What the control replicas report of their members, by their metrics.

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Timeout of one query; a replica may be suspended.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between two queries while waiting.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// Returns whether each of the replicas says that it votes, and that all others do.
pub async fn all_vote(admin: &[SocketAddr]) -> bool {
    for address in admin {
        if !votes_among(*address, admin.len()).await.unwrap_or(false) {
            return false;
        }
    }
    true
}

/// Waits until all replicas vote.
///
/// # Errors
///
/// Fails if they do not within `timeout`.
pub async fn wait_until_all_vote(admin: &[SocketAddr], timeout: Duration) -> Result<()> {
    let end = Instant::now() + timeout;
    while !all_vote(admin).await {
        let is_late = Instant::now() > end;
        ensure!(!is_late, "not all replicas vote within {timeout:?}");
        tokio::time::sleep(QUERY_INTERVAL).await;
    }
    Ok(())
}

async fn votes_among(address: SocketAddr, replicas: usize) -> Result<bool> {
    let page = tokio::time::timeout(QUERY_TIMEOUT, read_metrics(address)).await??;
    let value = |name: &str| {
        let mut lines = page.lines().filter_map(|l| l.split_once(' '));
        let value = lines.find(|(n, _)| *n == name);
        value.and_then(|(_, v)| v.parse::<f64>().ok())
    };
    let (votes, voters) = (
        value("deckwind_control_votes"),
        value("deckwind_control_voters"),
    );
    let learners = value("deckwind_control_learners");
    Ok(votes == Some(1.0) && voters == Some(replicas as f64) && learners == Some(0.0))
}

async fn read_metrics(address: SocketAddr) -> Result<String> {
    let http = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let req = Request::get(format!("http://{address}/metrics")).body(Full::default())?;
    let res = http.request(req).await.context("the metrics")?;
    let body = res.into_body().collect().await?.to_bytes();
    Ok(String::from_utf8_lossy(&body).into_owned())
}
