//! The targets of a deployment and their announcements.

use super::releases::PROBE_POOLS;
use super::size::{ENGINES, PLAIN, Size};
use anyhow::Result;
use deckwind_fakes::{FakeFleet, FakeTargetServer};
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Interval between two announcements of a target.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Timeout of a call to a control replica.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of targets in each of the pools that only probes reach.
const PROBE_TARGETS: usize = 3;

/// A target and the state of its announcements.
pub struct Target {
    id: String,
    /// Pool of the target.
    pub pool: &'static str,
    data_centre: &'static str,
    /// The server.
    pub server: FakeTargetServer,
    /// Number of announcements of its incarnation.
    pub announced: AtomicU64,
}

/// Starts the targets of a deployment.
pub async fn start_targets(size: &Size, fleet: &FakeFleet) -> Result<Vec<Target>> {
    let centres = &size.data_centres;
    let mut all = Vec::new();
    for group in &size.engine_groups {
        for (centre, count) in centres.iter().zip(&group.engines) {
            for i in 0..*count {
                let id = format!("{}-{centre}-{i}", group.kind);
                all.push(start_target(&id, ENGINES, centre, Some(group.kind), fleet).await?);
            }
        }
    }
    for i in 0..size.plain {
        let centre = centres[i % centres.len()];
        all.push(start_target(&format!("plain-{i}"), PLAIN, centre, None, fleet).await?);
    }
    let probe_targets = size.operator.map_or(0, |_| PROBE_TARGETS);
    for (pool, i) in PROBE_POOLS
        .into_iter()
        .flat_map(|p| (0..probe_targets).map(move |i| (p, i)))
    {
        let centre = centres[i % centres.len()];
        all.push(start_target(&format!("{pool}-{i}"), pool, centre, None, fleet).await?);
    }
    Ok(all)
}

async fn start_target(
    id: &str,
    pool: &'static str,
    data_centre: &'static str,
    kind: Option<&str>,
    fleet: &FakeFleet,
) -> Result<Target> {
    let server = FakeTargetServer::start(id).await?;
    server.join(fleet, pool, kind);
    Ok(Target {
        id: id.to_string(),
        pool,
        data_centre,
        server,
        announced: AtomicU64::new(0),
    })
}

impl Target {
    async fn announce(&self, control_client: &ControlClient) {
        if !self.server.is_reachable() {
            return;
        }
        let number = self.announced.fetch_add(1, Ordering::Relaxed) + 1;
        let server = &self.server;
        let body = server.announcement(self.pool, self.data_centre, "ready", number);
        let path = format!("/v1/instances/{}/heartbeat", self.id);
        control_client.call(&path, &body).await;
    }
}

/// Announces one target until it is aborted. The first announcements of all targets are
/// spread evenly over [`ANNOUNCE_INTERVAL`].
pub async fn announce_repeatedly(
    targets: Arc<Vec<Target>>,
    i: usize,
    control_client: ControlClient,
) {
    tokio::time::sleep(ANNOUNCE_INTERVAL * i as u32 / targets.len() as u32).await;
    loop {
        targets[i].announce(&control_client).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// HTTP client of the control replicas.
#[derive(Clone)]
pub struct ControlClient {
    http: Client<HttpConnector, Full<bytes::Bytes>>,
    control: Vec<SocketAddr>,
}

impl ControlClient {
    /// Creates a client of the replicas at these addresses.
    pub fn new(control: Vec<SocketAddr>) -> Self {
        let http = Client::builder(TokioExecutor::new()).build_http();
        Self { http, control }
    }

    /// Tries the replicas in turn until one answers with 200; returns whether one did.
    pub async fn call(&self, path: &str, body: &Value) -> bool {
        let body = bytes::Bytes::from(body.to_string());
        for address in &self.control {
            let req = Request::post(format!("http://{address}{path}"));
            let Ok(req) = req.body(Full::new(body.clone())) else {
                return false;
            };
            let res = tokio::time::timeout(CALL_TIMEOUT, self.http.request(req)).await;
            if matches!(res, Ok(Ok(res)) if res.status() == StatusCode::OK) {
                return true;
            }
        }
        false
    }
}
