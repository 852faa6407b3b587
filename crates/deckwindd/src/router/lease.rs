//! Keeps the lease: asks again as soon as the last answer came.

use super::control_client::{Asked, RENEWAL_TRY};
use super::shared::RouterShared;
use deckwind_core::control::Grant;
use deckwind_core::state::{Delta, PackedDelta};
use deckwind_wire::{ControlReply, ControlRequest, Renewal, encode};
use std::sync::Arc;
use std::time::Duration;

/// Longest try to tell the leader of failing targets; the next renewal does.
const TELL_WITHIN: Duration = Duration::from_millis(400);

/// Time over which streams that want repeats are told of in one message: they
/// stand still together when an engine is lost.
const COLLECT: Duration = Duration::from_millis(10);

/// Time over which engines that refuse are told of in one message.
const COLLECT_FULL: Duration = Duration::from_millis(20);

/// Between two such messages of repeats: the leader issues no more often.
const TELL_EVERY: Duration = Duration::from_millis(80);

/// Longest search for a leader with one question: the settings may name other
/// replicas by then, and what streams hold has changed.
const LOOK_ANEW: Duration = Duration::from_secs(2);

/// Pause after an answer that was no grant.
const PAUSE: Duration = Duration::from_millis(50);

/// Renews for ever.
pub async fn keep(shared: Arc<RouterShared>) {
    let mut was_live = false;
    loop {
        let granted = renew(&shared).await;
        note_change(&shared, &mut was_live);
        if !granted {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Tells the leader of failing targets as they fail, for ever.
pub async fn tell_failing(shared: Arc<RouterShared>) {
    loop {
        let failing = shared.routes.failing().await;
        let request = ControlRequest::Failing(failing);
        if let Err(e) = shared.control.ask(&request, TELL_WITHIN).await {
            log::debug!("event=failing_not_told error={:?}", e.to_string());
        }
    }
}

/// Tells the leader of engines that refuse for want of room, for ever.
pub async fn tell_full(shared: Arc<RouterShared>) {
    loop {
        let full = shared.routes.full(COLLECT_FULL).await;
        let request = ControlRequest::Full(shared.holder(), full);
        if let Err(e) = shared.control.ask(&request, TELL_WITHIN).await {
            log::debug!("event=full_not_told error={:?}", e.to_string());
        }
    }
}

/// Tells the leader that repeats run short, for ever. What it gives comes with
/// the answer to the renewal that it holds.
pub async fn tell_repeats_short(shared: Arc<RouterShared>) {
    loop {
        shared.routes.repeats_short().await;
        tokio::time::sleep(COLLECT).await;
        let Some(report) = shared.routes.repeat_report(shared.clock.now()) else {
            continue;
        };
        let request = ControlRequest::Repeats(shared.holder(), report);
        if let Err(e) = shared.control.ask(&request, TELL_WITHIN).await {
            log::debug!("event=repeats_short_not_told error={:?}", e.to_string());
        }
        tokio::time::sleep(TELL_EVERY).await;
    }
}

async fn renew(shared: &RouterShared) -> bool {
    let asked = shared.clock.now();
    let (in_use, use_known, failing) = {
        let book = shared.routes.book();
        (book.own_use(), book.use_known(), book.failing(asked))
    };
    let repeats = shared.routes.repeat_report(asked);
    let request = {
        let mut core = shared.core();
        ControlRequest::Renew(Renewal {
            holder: shared.holder(),
            applied: core.lease().applied(),
            admin: shared.cfg.admin,
            demand: core.demand(asked),
            data_centre: shared.cx.settings.data_centre.clone(),
            in_use: in_use.clone(),
            use_known,
            failing,
            held_bytes: shared.routes.deliveries.held(),
            repeats,
            limits: shared.routes.limit_report(asked),
        })
    };
    let Some((asked, grant)) = ask(shared, asked, &encode(&request)).await else {
        return false;
    };
    shared.control.replicas_are(&grant.replicas);
    let Some(delta) = unpacked(shared, &grant) else {
        return false;
    };
    let now = shared.clock.now();
    let lasts = shared.cfg.lease;
    shared
        .routes
        .others_told(asked, now, lasts, &in_use, &grant);
    let lease = grant.lease(asked);
    let before = shared.core().lease().applied();
    shared
        .core()
        .granted(lease, now, delta, grant.shares, grant.routers);
    let applied = shared.core().lease().applied();
    if applied > before {
        forget_gone_targets(shared);
        let cfg = shared.core().configuration().clone();
        shared.routes.configuration_changed(now, &cfg);
        metrics::gauge!("deckwind_router_revision", "vm" => shared.vm.to_string())
            .set(applied.0 as f64);
        log::info!(
            "event=configuration_applied vm={} revision={applied}",
            shared.vm
        );
    }
    true
}

/// The leader's grant, and when it was asked for; nothing if there is none.
async fn ask(shared: &RouterShared, now: Asked, request: &[u8]) -> Option<(Asked, Box<Grant>)> {
    let live = shared.core().lease().is_live(now);
    let answered = match live {
        true => {
            let answering = shared.control.ask_once(request, RENEWAL_TRY);
            answering.await.map(|reply| (now, reply))
        }
        false => shared.control.find_leader(request, LOOK_ANEW).await,
    };
    match answered {
        Ok((asked, ControlReply::Granted(grant))) => Some((asked, grant)),
        Ok(_) => None,
        Err(e) => {
            log::debug!("event=not_renewed error={:?}", e.to_string());
            None
        }
    }
}

/// What changed. Nothing if it can't be read: such an answer renews no lease.
fn unpacked(shared: &RouterShared, grant: &Grant) -> Option<Delta> {
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

fn forget_gone_targets(shared: &RouterShared) {
    let addresses: std::collections::HashSet<_> = shared
        .core()
        .fleet()
        .iter()
        .map(|(_, t)| t.address)
        .collect();
    shared.clients.retain(|a| addresses.contains(a));
}

fn note_change(shared: &RouterShared, was_live: &mut bool) {
    let (live, revision) = {
        let core = shared.core();
        (
            core.lease().is_live(shared.clock.now()),
            core.lease().applied(),
        )
    };
    if live != *was_live {
        *was_live = live;
        let event = if live { "lease_held" } else { "lease_lost" };
        log::info!("event={event} vm={} revision={revision}", shared.vm);
    }
}
