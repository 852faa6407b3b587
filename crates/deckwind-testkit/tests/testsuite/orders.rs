//! Orders to engines, which follow from the targets that operators configure.

use crate::any_loopback_port;
use deckwind_core::control::OrderKind;
use deckwind_core::state::{Change, LayerRange, TargetKind};
use deckwind_fakes::{FakeEngine, FakeEngineConfig, serve};
use deckwind_testkit::{Cluster, engine_target, eventually_async};
use std::sync::Arc;
use yare::parameterized;

#[parameterized(checks_fences = { true }, does_not_check = { false })]
fn a_configured_engine_is_ordered_to_load_its_layers_and_adapters(checks_fences: bool) {
    crate::run_async(async {
        let cluster = Cluster::start(3, 0).await.unwrap();
        let mut cfg = FakeEngineConfig::new(LayerRange::new(0, 8), 8);
        cfg.checks_fences = checks_fences;
        let engine = FakeEngine::new(cfg);
        let served = serve::engine(any_loopback_port(), Arc::new(engine.clone()))
            .await
            .unwrap();
        let mut target = engine_target("e", served.address, 0, 8);
        target.checks_fences = checks_fences;
        cluster.apply(Change::Target(target.clone())).await.unwrap();
        let orders_received = |count: usize| {
            let engine = engine.clone();
            eventually_async("the engine has received the orders", move || {
                let orders = engine.orders();
                async move { (orders.len() >= count).then_some(orders) }
            })
        };
        let first = orders_received(2).await;
        assert_eq!(
            first[1].order,
            OrderKind::ChangeLayers {
                layers: LayerRange::new(0, 8)
            }
        );
        if let TargetKind::Engine { adapters, .. } = &mut target.kind {
            adapters.push("north".to_string());
        }
        cluster.apply(Change::Target(target)).await.unwrap();
        let all = orders_received(first.len() + 3).await;
        let last = all.last().unwrap();
        let adapter = "north".to_string();
        assert_eq!(last.order, OrderKind::LoadAdapter { adapter });
        let fences: Vec<_> = all.iter().map(|o| o.fence).collect();
        assert!(fences.is_sorted(), "{fences:?}");
        cluster.close().await.unwrap();
    });
}
