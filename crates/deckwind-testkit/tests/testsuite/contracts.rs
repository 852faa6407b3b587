//! Contract tests for each interface to a target or platform service: each test
//! runs against the fake in this process, and through the real HTTP client against
//! the same fake behind a server. Both must pass.

use crate::{any_loopback_port, run_async};
use deckwind_core::membership::PlatformStatus;
use deckwind_core::replication::{Fence, Term};
use deckwind_core::session::{Activation, StepOrder};
use deckwind_core::state::{LayerRange, Priority};
use deckwind_fakes::{
    EngineFault, FakeEngine, FakeEngineConfig, FakePlatformList, FakeService, FakeWeightStore,
    ServiceFault, serve,
};
use deckwind_net::targets::{
    CacheEventKind, Engine, HttpEngine, HttpPlatformList, HttpService, HttpWeightStore, OpenStage,
    OrderKind, PlainService, PlatformList, ServiceCall, StageStream, TargetError, TargetOrder,
    WeightStore,
};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use yare::parameterized;

/// How a contract test reaches the fake: by direct calls or through the HTTP client.
#[derive(Clone, Copy)]
enum Transport {
    Fake,
    OverHttp,
}

async fn engine_for(transport: Transport, cfg: FakeEngineConfig) -> (Arc<dyn Engine>, FakeEngine) {
    let fake = FakeEngine::new(cfg);
    match transport {
        Transport::Fake => (Arc::new(fake.clone()), fake),
        Transport::OverHttp => {
            let served = serve::engine(any_loopback_port(), Arc::new(fake.clone()))
                .await
                .unwrap();
            (Arc::new(HttpEngine::new(served.address)), fake)
        }
    }
}

fn config() -> FakeEngineConfig {
    FakeEngineConfig::new(LayerRange::new(0, 8), 8)
}

fn open_request(session: &str) -> OpenStage {
    OpenStage {
        session: session.to_string(),
        layers: LayerRange::new(0, 8),
        adapter: None,
        priority: Priority::Roster,
        prefixes: vec![1, 2],
    }
}

fn step_order(attempt: u32, position: u32, inputs: &[&str], replay: bool) -> StepOrder {
    let inputs = inputs.iter().map(|i| Activation(i.to_string())).collect();
    StepOrder {
        attempt,
        position,
        inputs,
        replay,
    }
}

async fn open_stream(engine: &dyn Engine, session: &str) -> Box<dyn StageStream> {
    engine
        .open(open_request(session))
        .await
        .expect("the stage opens")
}

#[parameterized(fake = { Transport::Fake }, http = { Transport::OverHttp })]
fn an_engine_runs_steps_and_replays_what_it_holds(transport: Transport) {
    run_async(async {
        let (engine, fake) = engine_for(transport, config()).await;
        let mut stage = open_stream(engine.as_ref(), "s").await;
        let first = stage
            .step(step_order(1, 0, &["a", "b"], false))
            .await
            .unwrap();
        assert_eq!(first.outputs.len(), 2);
        assert!(first.token.is_some());
        stage.step(step_order(1, 2, &["7"], false)).await.unwrap();
        let replayed = stage
            .step(step_order(2, 0, &["a", "b"], true))
            .await
            .unwrap();
        assert_eq!(replayed.outputs, first.outputs);
        assert_eq!(fake.runs().len(), 3);
        assert!(fake.runs().iter().all(|r| r.priority == Priority::Roster));
    });
}

#[parameterized(fake = { Transport::Fake }, http = { Transport::OverHttp })]
fn an_engine_refuses_an_older_attempt(transport: Transport) {
    run_async(async {
        let (engine, fake) = engine_for(transport, config()).await;
        let mut stage = open_stream(engine.as_ref(), "s").await;
        stage.step(step_order(2, 0, &["a"], false)).await.unwrap();
        let refused = stage.step(step_order(1, 1, &["b"], false)).await;
        assert!(refused.is_err());
        assert_eq!(fake.runs().len(), 1);
    });
}

#[parameterized(fake = { Transport::Fake }, http = { Transport::OverHttp })]
fn an_engine_refuses_layers_that_it_does_not_hold(transport: Transport) {
    run_async(async {
        let (engine, _) = engine_for(transport, config()).await;
        let mut wrong = open_request("s");
        wrong.layers = LayerRange::new(4, 12);
        let refused = engine.open(wrong).await.err().unwrap();
        assert!(refused.is_certainly_not_run(), "{refused}");
    });
}

#[parameterized(
    fake_closed = { Transport::Fake, true }, fake_dropped = { Transport::Fake, false },
    http_closed = { Transport::OverHttp, true }, http_dropped = { Transport::OverHttp, false },
)]
fn an_engine_frees_a_stage_that_is_closed_or_dropped(transport: Transport, close: bool) {
    run_async(async {
        let (engine, fake) = engine_for(transport, config()).await;
        let mut stage = open_stream(engine.as_ref(), "s").await;
        stage.step(step_order(1, 0, &["a"], false)).await.unwrap();
        assert_eq!(fake.open_stages(), 1);
        if close {
            stage.close().await;
        } else {
            drop(stage);
        }
        deckwind_testkit::eventually_async("the stage is freed", || async {
            (fake.open_stages() == 0).then_some(())
        })
        .await;
    });
}

#[parameterized(fake = { Transport::Fake }, http = { Transport::OverHttp })]
fn a_step_that_never_ends_can_be_cancelled(transport: Transport) {
    run_async(async {
        let (engine, fake) = engine_for(transport, config()).await;
        let mut stage = open_stream(engine.as_ref(), "s").await;
        fake.set_fault(EngineFault::Frozen);
        let step = tokio::time::timeout(
            Duration::from_millis(50),
            stage.step(step_order(1, 0, &["a"], false)),
        );
        assert!(step.await.is_err());
        drop(stage);
        deckwind_testkit::eventually_async("the stage is freed", || async {
            (fake.open_stages() == 0).then_some(())
        })
        .await;
    });
}

#[parameterized(fake = { Transport::Fake }, http = { Transport::OverHttp })]
fn an_engines_kv_cache_moves_to_another(transport: Transport) {
    run_async(async {
        let (from, _) = engine_for(transport, config()).await;
        let (to, fake) = engine_for(transport, config()).await;
        let mut stage = open_stream(from.as_ref(), "s").await;
        stage
            .step(step_order(1, 0, &["a", "b"], false))
            .await
            .unwrap();
        let kv = from.export_kv("s".to_string()).await.unwrap();
        assert_eq!(kv.positions, 2);
        to.import_kv(kv).await.unwrap();
        let mut moved = open_stream(to.as_ref(), "s").await;
        let on_target = moved.step(step_order(2, 2, &["7"], false)).await.unwrap();
        let on_source = stage.step(step_order(2, 2, &["7"], false)).await.unwrap();
        assert_eq!(on_target, on_source);
        assert_eq!(fake.runs().len(), 1);
    });
}

#[parameterized(fake = { Transport::Fake }, http = { Transport::OverHttp })]
fn an_engine_reports_its_load_with_a_lag(transport: Transport) {
    run_async(async {
        let mut cfg = config();
        cfg.load_lag = Duration::from_secs(3_600);
        let (engine, _) = engine_for(transport, cfg).await;
        let _stage = open_stream(engine.as_ref(), "s").await;
        let report = engine.load().await.unwrap();
        assert_eq!((report.load, report.sessions), (0, 0));
        assert_eq!(report.age_ms, 3_600_000);
    });
}

#[parameterized(fake = { Transport::Fake }, http = { Transport::OverHttp })]
fn cache_events_come_with_gaps(transport: Transport) {
    run_async(async {
        let mut cfg = config();
        cfg.cache_prefixes = 1;
        cfg.lost_event_interval = 2;
        let (engine, _) = engine_for(transport, cfg).await;
        let _stage = open_stream(engine.as_ref(), "s").await;
        let seen = engine.cache_events(1).await.unwrap();
        let sequences: Vec<u64> = seen.events.iter().map(|e| e.sequence).collect();
        assert_eq!(sequences, [1, 3]);
        assert_eq!(seen.events[1].kind, CacheEventKind::Removed);
        assert_eq!(seen.next, 4);
    });
}

#[parameterized(
    fake_checks = { Transport::Fake, true }, http_checks = { Transport::OverHttp, true },
    fake_does_not = { Transport::Fake, false }, http_does_not = { Transport::OverHttp, false },
)]
fn an_order_with_an_old_fence_is_refused_by_those_who_check(transport: Transport, checks: bool) {
    run_async(async {
        let mut cfg = config();
        cfg.checks_fences = checks;
        let (engine, fake) = engine_for(transport, cfg).await;
        let order = |term, sequence| TargetOrder {
            fence: Fence {
                term: Term(term),
                sequence,
            },
            order: OrderKind::LoadAdapter {
                adapter: "a".to_string(),
            },
        };
        engine.order(order(2, 1)).await.unwrap();
        let old = engine.order(order(1, 9)).await;
        assert_eq!(old.is_err(), checks);
        assert_eq!(fake.orders().len(), if checks { 1 } else { 2 });
    });
}

async fn service_for(transport: Transport, fake: &FakeService) -> Arc<dyn PlainService> {
    match transport {
        Transport::Fake => Arc::new(fake.clone()),
        Transport::OverHttp => {
            let served = serve::service(any_loopback_port(), Arc::new(fake.clone()))
                .await
                .unwrap();
            Arc::new(HttpService::new(served.address))
        }
    }
}

fn service_call(timeout_ms: u64) -> ServiceCall {
    ServiceCall {
        path: "/cap".to_string(),
        body: b"{}".to_vec(),
        content_type: "application/json".to_string(),
        idempotency_key: Some("k".to_string()),
        timeout: Duration::from_millis(timeout_ms),
    }
}

#[parameterized(
    fake = { Transport::Fake },
    http = { Transport::OverHttp },
)]
fn a_service_says_how_long_it_rests(transport: Transport) {
    run_async(async move {
        let fake = FakeService::new("s");
        fake.set_fault(ServiceFault::Rests(1_500));
        let service = service_for(transport, &fake).await;
        let error = service.call(service_call(300)).await.unwrap_err();
        assert_eq!(error, TargetError::Rests(Duration::from_millis(1_500)));
    });
}

#[parameterized(
    fake_refuses = { Transport::Fake, ServiceFault::Refuses, true, 0 },
    http_refuses = { Transport::OverHttp, ServiceFault::Refuses, true, 0 },
    fake_rests = { Transport::Fake, ServiceFault::Rests(1_500), true, 0 },
    http_rests = { Transport::OverHttp, ServiceFault::Rests(1_500), true, 0 },
    fake_breaks = { Transport::Fake, ServiceFault::RunsThenBreaks, false, 1 },
    http_breaks = { Transport::OverHttp, ServiceFault::RunsThenBreaks, false, 1 },
    fake_freezes = { Transport::Fake, ServiceFault::RunsThenFreezes, false, 1 },
    http_freezes = { Transport::OverHttp, ServiceFault::RunsThenFreezes, false, 1 },
)]
fn a_services_failure_says_whether_it_ran(
    transport: Transport,
    fault: ServiceFault,
    certainly_not_run: bool,
    runs: u32,
) {
    run_async(async {
        let fake = FakeService::new("s");
        fake.set_fault(fault);
        let service = service_for(transport, &fake).await;
        let error = service.call(service_call(300)).await.unwrap_err();
        assert_eq!(error.is_certainly_not_run(), certainly_not_run, "{error}");
        assert_eq!(fake.runs().get("k").copied().unwrap_or(0), runs);
    });
}

#[parameterized(fake = { Transport::Fake }, http = { Transport::OverHttp })]
fn a_service_answers(transport: Transport) {
    run_async(async {
        let fake = FakeService::new("s");
        let answer = service_for(transport, &fake)
            .await
            .call(service_call(5_000))
            .await
            .unwrap();
        assert_eq!(
            (answer.status, answer.content_type.as_str()),
            (200, "application/json")
        );
        assert_eq!(fake.runs()["k"], 1);
    });
}

#[test]
fn a_service_that_is_not_there_was_not_run() {
    run_async(async {
        let unused_address = std::net::TcpListener::bind(any_loopback_port())
            .unwrap()
            .local_addr()
            .unwrap();
        let error = HttpService::new(unused_address)
            .call(service_call(5_000))
            .await
            .unwrap_err();
        assert!(matches!(error, TargetError::NotSent(_)), "{error}");
    });
}

#[parameterized(fake = { Transport::Fake }, http = { Transport::OverHttp })]
fn the_platforms_list_lags(transport: Transport) {
    run_async(async {
        let fake = FakePlatformList::with_lag(1);
        let list: Arc<dyn PlatformList> = match transport {
            Transport::Fake => Arc::new(fake.clone()),
            Transport::OverHttp => {
                let served = serve::platform(any_loopback_port(), fake.clone())
                    .await
                    .unwrap();
                Arc::new(HttpPlatformList::new(served.address))
            }
        };
        let ip: IpAddr = "127.0.0.9".parse().unwrap();
        fake.set(ip, PlatformStatus::Live);
        fake.set(ip, PlatformStatus::Leaving);
        let seen = list.list().await.unwrap();
        assert_eq!(
            (seen.sequence, seen.vms),
            (1, vec![(ip, PlatformStatus::Live)])
        );
    });
}

#[parameterized(fake = { Transport::Fake }, http = { Transport::OverHttp })]
fn the_weight_store_reads_parts_and_keeps_its_rate(transport: Transport) {
    run_async(async {
        let fake = FakeWeightStore::new(100, 60);
        let store: Arc<dyn WeightStore> = match transport {
            Transport::Fake => Arc::new(fake.clone()),
            Transport::OverHttp => {
                let served = serve::weights(any_loopback_port(), fake.clone())
                    .await
                    .unwrap();
                Arc::new(HttpWeightStore::new(served.address))
            }
        };
        let read = |offset| store.read("m".to_string(), "1".to_string(), offset, 50);
        let first = read(0).await.unwrap();
        assert_eq!((first.bytes.len(), first.total), (50, 100));
        let over_rate = read(50).await.unwrap_err();
        assert!(over_rate.is_certainly_not_run(), "{over_rate}");
        fake.refill(50);
        assert_eq!(read(50).await.unwrap().bytes.len(), 50);
    });
}
