//! Load reports, cache events and the platform's list.

use super::shared::RouterShared;
use deckwind_core::routing::{LoadReport, PrefixHash, TargetKey};
use deckwind_net::targets::{CacheEventKind, Engine, HttpPlatformList, PlatformList};
use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Between two rounds of load reports.
const EVERY: Duration = Duration::from_secs(1);

/// Targets asked in one round. Those that this router uses report their load
/// with every answer; a few others are asked, so that the cost for a router does
/// not grow with the fleet.
const SAMPLE: usize = 2;

/// Asks a sample of the engines for their load and cache events, for ever.
pub async fn poll_targets(shared: Arc<RouterShared>) {
    let mut next_event: HashMap<SocketAddr, u64> = HashMap::new();
    loop {
        for (key, address) in sample(&shared) {
            let engine = shared.clients.engine(address);
            report_load(&shared, key, engine.as_ref()).await;
            let from = next_event.entry(address).or_insert(1);
            *from = take_events(&shared, key, engine.as_ref(), *from).await;
        }
        tokio::time::sleep(EVERY).await;
    }
}

fn sample(shared: &RouterShared) -> Vec<(TargetKey, SocketAddr)> {
    let engines: Vec<(TargetKey, SocketAddr)> = shared
        .core()
        .fleet()
        .iter()
        .filter(|(_, t)| !t.layers.is_empty())
        .map(|(k, t)| (k, t.address))
        .collect();
    engines.sample(&mut rand::rng(), SAMPLE).copied().collect()
}

async fn report_load(shared: &RouterShared, key: TargetKey, engine: &dyn Engine) {
    if let Ok(report) = engine.load().await {
        let now = shared.clock.now();
        let load = LoadReport { load: report.load };
        shared.core().load_reported(now, key, load);
    }
}

async fn take_events(shared: &RouterShared, key: TargetKey, engine: &dyn Engine, from: u64) -> u64 {
    let Ok(answer) = engine.cache_events(from).await else {
        return from;
    };
    let mut core = shared.core();
    if let Some(index) = core.policy().prefixes() {
        for event in &answer.events {
            let prefix = PrefixHash(event.prefix);
            match event.kind {
                CacheEventKind::Stored => index.insert(prefix, key),
                CacheEventKind::Removed => index.remove(prefix, key),
            }
        }
    }
    answer.next
}

/// Reads the platform's list, for ever, if the settings name one.
pub async fn poll_platform(shared: Arc<RouterShared>) {
    let Some(cfg) = shared.cx.settings.platform.clone() else {
        return;
    };
    let list = HttpPlatformList::new(cfg.list);
    loop {
        if let Ok(snapshot) = list.list().await {
            shared
                .core()
                .platform_listed(snapshot.sequence, snapshot.vms);
        }
        tokio::time::sleep(cfg.every).await;
    }
}
