//! Polls load reports and cache events of engines, and the VM list of the platform.

use super::shared::RouterShared;
use deckwind_core::routing::{LoadReport, PrefixHash, TargetKey};
use deckwind_net::targets::{CacheEventKind, Engine, HttpPlatformList, PlatformList};
use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between rounds of load reports.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Number of engines polled per round. Engines in use by this router report their load
/// with every answer, so a small sample is enough. Its fixed size keeps the cost of a
/// router independent of the size of the fleet.
const SAMPLE_SIZE: usize = 2;

/// Polls the load and cache events of a random sample of the engines. Never returns.
pub async fn poll_targets(shared: Arc<RouterShared>) {
    let mut next_sequence: HashMap<SocketAddr, u64> = HashMap::new();
    loop {
        for (key, address) in sample(&shared) {
            let engine = shared.clients.engine(address);
            poll_load(&shared, key, engine.as_ref()).await;
            let from = next_sequence.entry(address).or_insert(1);
            *from = apply_cache_events(&shared, key, engine.as_ref(), *from).await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
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
    engines
        .sample(&mut rand::rng(), SAMPLE_SIZE)
        .copied()
        .collect()
}

async fn poll_load(shared: &RouterShared, key: TargetKey, engine: &dyn Engine) {
    match engine.load().await {
        Ok(report) => {
            let now = shared.clock.now();
            let load = LoadReport { load: report.load };
            shared.core().load_reported(now, key, load);
        }
        Err(e) => log::debug!("event=load_not_reported error={:?}", e.to_string()),
    }
}

async fn apply_cache_events(
    shared: &RouterShared,
    key: TargetKey,
    engine: &dyn Engine,
    from: u64,
) -> u64 {
    let answer = match engine.cache_events(from).await {
        Ok(answer) => answer,
        Err(e) => {
            log::debug!("event=cache_events_not_reported error={:?}", e.to_string());
            return from;
        }
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

/// Polls the VM list of the platform. Returns only if the settings name none.
pub async fn poll_platform(shared: Arc<RouterShared>) {
    let Some(cfg) = shared.cx.settings.platform.clone() else {
        return;
    };
    let list = HttpPlatformList::new(cfg.list);
    loop {
        match list.list().await {
            Ok(snapshot) => shared
                .core()
                .platform_listed(snapshot.sequence, snapshot.vms),
            Err(e) => log::info!("event=platform_not_listed error={:?}", e.to_string()),
        }
        tokio::time::sleep(cfg.every).await;
    }
}
