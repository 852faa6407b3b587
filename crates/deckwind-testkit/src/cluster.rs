//! A cluster of real daemons in the test's process.

use crate::cut_links::{CutConnector, CutLinks};
use crate::layout::Layout;
use crate::vm_time::VmTime;
use crate::wait::eventually_async;
use anyhow::{Context, Result};
use deckwind::context::{Exit, exit_of};
use deckwind::ops::{ApplyOptions, ControlApi, apply, new_request_id};
use deckwind_core::state::{Change, Revision};
use deckwind_wire::operator::AppliedAnswer;
use deckwindd::ops::Daemon;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which a change with an unknown outcome is retried: as long as tests wait for
/// a condition.
const RETRY_TIMEOUT: Duration = Duration::from_secs(30);

/// Control replicas and routers that run in this process and communicate over loopback.
pub struct Cluster {
    /// Folder and addresses of the daemons.
    pub layout: Layout,
    controls: Vec<Option<Daemon>>,
    routers: Vec<Option<Daemon>>,
    control_times: Vec<&'static VmTime>,
    router_times: Vec<&'static VmTime>,
    router_links: Vec<Arc<CutLinks>>,
}

async fn start(file: &Path, time: &'static VmTime, links: &Arc<CutLinks>) -> Result<Daemon> {
    let connector = Arc::new(CutConnector(links.clone()));
    Daemon::start_with(deckwind_config::load(file)?, time.clock(), connector).await
}

impl Cluster {
    /// Starts this number of control replicas and routers, and waits until they serve.
    pub async fn start(control: usize, routers: usize) -> Result<Self> {
        Self::start_with(Layout::new(control, routers)?).await
    }

    /// Starts the replicas and routers of a layout, and waits until they serve.
    pub async fn start_with(layout: Layout) -> Result<Self> {
        let (control, routers) = (layout.control.len(), layout.routers.len());
        let mut cluster = Self {
            layout,
            controls: (0..control).map(|_| None).collect(),
            routers: (0..routers).map(|_| None).collect(),
            control_times: (0..control).map(|_| VmTime::new()).collect(),
            router_times: (0..routers).map(|_| VmTime::new()).collect(),
            router_links: (0..routers).map(|_| CutLinks::new()).collect(),
        };
        for slot in 0..control {
            cluster.start_control(slot).await?;
        }
        for i in 0..routers {
            cluster.start_router(i).await?;
        }
        for i in 0..routers {
            cluster.wait_for_lease(i).await;
        }
        Ok(cluster)
    }

    /// Starts a control replica.
    pub async fn start_control(&mut self, slot: usize) -> Result<()> {
        let daemon = start(
            &self.layout.control_settings(slot)?,
            self.control_times[slot],
            &CutLinks::new(),
        )
        .await?;
        self.controls[slot] = Some(daemon);
        Ok(())
    }

    /// Starts a router.
    pub async fn start_router(&mut self, i: usize) -> Result<()> {
        let settings = self.layout.router_settings(i)?;
        let daemon = start(&settings, self.router_times[i], &self.router_links[i]).await?;
        self.routers[i] = Some(daemon);
        Ok(())
    }

    /// Waits until a router holds a lease.
    pub async fn wait_for_lease(&self, i: usize) {
        eventually_async("the router holds a lease", || async move {
            let router = self.routers[i].as_ref()?.router()?;
            let shared = router.shared();
            let ready = shared.core().is_ready(shared.clock.now());
            ready.then_some(())
        })
        .await;
    }

    /// Advances a router's clock as if its VM had been suspended for this time.
    pub fn simulate_router_suspension(&self, i: usize, time: Duration) {
        self.router_times[i].add_suspension(time);
    }

    /// Advances a control replica's clock as if its VM had been suspended for this time.
    pub fn simulate_control_suspension(&self, slot: usize, time: Duration) {
        self.control_times[slot].add_suspension(time);
    }

    /// Returns the links from a router to targets of published routes.
    pub fn router_links(&self, i: usize) -> &Arc<CutLinks> {
        &self.router_links[i]
    }

    /// Returns a router's daemon.
    pub fn router(&self, i: usize) -> &Daemon {
        self.routers[i].as_ref().expect("the daemon runs")
    }

    /// Returns the number of connections that a router has closed unread because its tasks ran
    /// late, as on a busy machine; none if its daemon was taken out of the cluster.
    pub fn closed_unread(&self, i: usize) -> usize {
        let router = self.routers[i].as_ref().and_then(Daemon::router);
        router.map_or(0, |r| r.shared().caller_connections.closed_unread())
    }

    /// Removes a router's daemon from the cluster, so that the test can close it.
    pub fn take_router(&mut self, i: usize) -> Daemon {
        self.routers[i].take().expect("the daemon runs")
    }

    /// Removes a control replica's daemon from the cluster, so that the test can close
    /// it.
    pub fn take_control(&mut self, slot: usize) -> Daemon {
        self.controls[slot].take().expect("the daemon runs")
    }

    /// The address at which a router accepts callers.
    pub fn callers(&self, i: usize) -> SocketAddr {
        self.layout.routers[i].callers
    }

    /// Returns a client of the operators' interface.
    pub fn api(&self) -> Result<ControlApi> {
        let token = std::fs::read_to_string(self.layout.token_file())?;
        Ok(ControlApi::new(
            self.layout.control_admin.clone(),
            Some(token),
        ))
    }

    /// Makes a change and waits until it is in force.
    pub async fn apply(&self, change: Change) -> Result<AppliedAnswer> {
        let id = new_request_id();
        let deadline = Instant::now() + RETRY_TIMEOUT;
        loop {
            // Operators are advised to retry a change with an unknown outcome under the
            // same id.
            let applied = self.apply_with(change.clone(), None, &id).await;
            let is_unknown = applied.as_ref().is_err_and(|e| exit_of(e) == Exit::Unknown);
            if !is_unknown || Instant::now() > deadline {
                return applied;
            }
        }
    }

    /// Makes a change with an expected revision and a request id, without retries.
    pub async fn apply_with(
        &self,
        change: Change,
        expected: Option<Revision>,
        request_id: &str,
    ) -> Result<AppliedAnswer> {
        let api = self.api()?;
        let options = ApplyOptions {
            expected,
            request_id: request_id.to_string(),
            wait: Duration::from_secs(15),
        };
        tokio::task::spawn_blocking(move || apply(&api, change, &options))
            .await
            .context("the call panicked")?
    }

    /// Closes all daemons, routers first.
    pub async fn close(mut self) -> Result<()> {
        for daemon in self.routers.iter_mut().filter_map(Option::take) {
            daemon.close().await?;
        }
        for daemon in self.controls.iter_mut().filter_map(Option::take) {
            daemon.close().await?;
        }
        Ok(())
    }
}
