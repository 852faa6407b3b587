//! Renews the lease of the router, again as soon as the previous answer has arrived, and
//! reports urgent changes to the leader between renewals.

use super::control_client::{RENEWAL_TIMEOUT, RequestTime};
use super::lease_log::LeaseLog;
use super::shared::RouterShared;
use deckwind_core::control::Grant;
use deckwind_core::state::{Delta, PackedDelta};
use deckwind_wire::{ControlReply, ControlRequest, Renewal, encode};
use std::sync::Arc;
use std::time::Duration;

/// Maximum time to deliver a report to the leader. Failing targets that it misses are in
/// the next renewal.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which needs of retries are collected into one message, since many streams
/// stall together when an engine is lost.
const RETRY_COLLECT_TIME: Duration = Duration::from_millis(10);

/// Time for which engines that refuse requests are collected into one message.
const FULL_COLLECT_TIME: Duration = Duration::from_millis(20);

/// Minimum interval between reports of needed retries; the leader issues retries no more
/// often than this.
const RETRY_REPORT_INTERVAL: Duration = Duration::from_millis(80);

/// Maximum time of a search for the leader with the same renewal. After it, the settings
/// may name other replicas, and the load of the streams has changed.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a renewal that was not granted.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Renews the lease repeatedly. Never returns.
pub async fn run_renewals(shared: Arc<RouterShared>) {
    let mut log = LeaseLog::default();
    loop {
        let granted = renew(&shared, &mut log).await;
        log.record_lease(&shared);
        if !granted {
            tokio::time::sleep(RENEWAL_RETRY_DELAY).await;
        }
    }
}

/// Reports failing targets to the leader as they fail. Never returns.
pub async fn report_failing(shared: Arc<RouterShared>) {
    loop {
        let failing = shared.routes.failed_targets().await;
        let request = ControlRequest::Failing(failing);
        if let Err(e) = shared.control.ask(&request, REPORT_TIMEOUT).await {
            log::debug!("event=failing_not_told error={:?}", e.to_string());
        }
    }
}

/// Reports engines that refuse requests for lack of capacity to the leader. Never returns.
pub async fn report_full(shared: Arc<RouterShared>) {
    loop {
        let full = shared.routes.refusing_engines(FULL_COLLECT_TIME).await;
        let request = ControlRequest::Full(shared.holder(), full);
        if let Err(e) = shared.control.ask(&request, REPORT_TIMEOUT).await {
            log::debug!("event=full_not_told error={:?}", e.to_string());
        }
    }
}

/// Reports to the leader that retries are running short. Never returns. The leader grants
/// retries in its answer to the renewal that it holds open.
pub async fn report_retries_short(shared: Arc<RouterShared>) {
    loop {
        shared.routes.retries_short().await;
        tokio::time::sleep(RETRY_COLLECT_TIME).await;
        let Some(report) = shared.routes.retry_report(shared.clock.now()) else {
            continue;
        };
        let request = ControlRequest::Repeats(shared.holder(), report);
        if let Err(e) = shared.control.ask(&request, REPORT_TIMEOUT).await {
            log::debug!("event=repeats_short_not_told error={:?}", e.to_string());
        }
        tokio::time::sleep(RETRY_REPORT_INTERVAL).await;
    }
}

async fn renew(shared: &RouterShared, log: &mut LeaseLog) -> bool {
    let sent_at = shared.clock.now();
    let (in_use, use_known, failing) = {
        let records = shared.routes.target_records();
        (
            records.own_engine_load(),
            records.load_position(),
            records.down_targets(sent_at),
        )
    };
    let repeats = shared.routes.retry_report(sent_at);
    let request = {
        let mut core = shared.core();
        ControlRequest::Renew(Box::new(Renewal {
            holder: shared.holder(),
            applied: core.lease().applied(),
            admin: shared.cfg.admin,
            demand: core.demand(sent_at),
            tunnels: shared.tunnels.address(),
            peers_known: shared.tunnels.peers_version(),
            data_centre: shared.cx.settings.data_centre.clone(),
            in_use: in_use.clone(),
            use_known,
            failing,
            held_bytes: shared.routes.deliveries.held_bytes(),
            repeats,
            limits: shared.routes.limit_report(sent_at),
        }))
    };
    let Some((sent_at, grant)) = send_renewal(shared, sent_at, &encode(&request)).await else {
        return false;
    };
    shared.control.set_replicas(&grant.replicas);
    let Some(delta) = unpack_delta(shared, &grant) else {
        return false;
    };
    if let Some(peers) = &grant.peers {
        shared.tunnels.set_peers(peers.clone());
    }
    let now = shared.clock.now();
    let lease_duration = shared.cfg.lease;
    shared
        .routes
        .apply_grant(sent_at, now, lease_duration, &in_use, &grant);
    // The changes are prepared before the lease counts anywhere: no request may be served
    // by the new lease and the old configuration.
    let cfg = shared.core().lease().preview(grant.term, &delta);
    let changes = cfg.map(|cfg| shared.routes.prepare(now, &cfg));
    let has_changes = changes.is_some();
    let lease = grant.lease(sent_at);
    let (is_applied, until, applied) = {
        let mut core = shared.core();
        let is_applied = core.apply_grant(lease, now, delta, grant.shares, grant.routers);
        (
            is_applied,
            core.lease().expires_at(),
            core.lease().applied(),
        )
    };
    if !is_applied {
        log::warn!("event=grant_ignored vm={} revision={applied}", shared.vm);
        return false;
    }
    shared.routes.renew(now, until, changes);
    log.record_grant(shared, lease);
    if has_changes {
        drop_unused_clients(shared);
        metrics::gauge!("deckwind_router_revision", "vm" => shared.vm.to_string())
            .set(applied.0 as f64);
        log::info!(
            "event=configuration_applied vm={} revision={applied}",
            shared.vm
        );
    }
    true
}

/// Sends a renewal. Returns the time at which it was sent, and the grant, or `None` if the
/// renewal was not granted.
async fn send_renewal(
    shared: &RouterShared,
    now: RequestTime,
    request: &[u8],
) -> Option<(RequestTime, Box<Grant>)> {
    let live = shared.core().lease().is_live(now);
    let answered = match live {
        true => {
            let answering = shared.control.ask_once(request, RENEWAL_TIMEOUT);
            answering.await.map(|reply| (now, reply))
        }
        false => shared.control.find_leader(request, SEARCH_TIMEOUT).await,
    };
    match answered {
        Ok((sent_at, ControlReply::Granted(grant))) => Some((sent_at, grant)),
        Ok(_) => None,
        Err(e) => {
            log::debug!("event=not_renewed error={:?}", e.to_string());
            None
        }
    }
}

/// Unpacks the configuration changes of a grant. Returns `None` if they cannot be read; the
/// lease is then not renewed.
fn unpack_delta(shared: &RouterShared, grant: &Grant) -> Option<Delta> {
    let bytes = grant.delta.as_ref().map_or(0, PackedDelta::size);
    metrics::counter!("deckwind_router_state_bytes_total").increment(bytes as u64);
    match grant.changes(shared.revision()) {
        Ok(delta) => Some(delta),
        Err(e) => {
            let error = e.to_string();
            log::error!("event=state_unreadable vm={} error={error:?}", shared.vm);
            None
        }
    }
}

fn drop_unused_clients(shared: &RouterShared) {
    let addresses: std::collections::HashSet<_> = shared
        .core()
        .fleet()
        .iter()
        .map(|(_, t)| t.address)
        .collect();
    shared.clients.retain(|a| addresses.contains(a));
}
