//! VMs that the platform reports as leaving, and router processes that are killed.

use crate::any_loopback_port;
use crate::processes::process_cluster;
use deckwind_core::membership::PlatformStatus;
use deckwind_core::state::{Change, LayerRange};
use deckwind_fakes::{
    FakeEngine, FakeEngineConfig, FakePlatformList, FakeService, ServiceFault, serve,
};
use deckwind_testkit::{
    Caller, Cluster, Layout, account, chat_template, engine_target, eventually_async,
    service_target, service_template,
};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

const LEAVING_IP: &str = "127.0.0.2";

/// Two engines hold the whole model, on two IP addresses, and the platform's list lags
/// by one change. Streams at the engine on the leaving VM complete; no new ones start
/// there.
#[test]
fn a_vm_reported_as_leaving_gets_no_new_streams() {
    crate::run_async(async {
        let list = FakePlatformList::with_lag(1);
        let served = serve::platform(any_loopback_port(), list.clone())
            .await
            .unwrap();
        let mut layout = Layout::new(1, 1).unwrap();
        layout.platform = Some(served.address);
        let cluster = Cluster::start_with(layout).await.unwrap();
        cluster
            .apply(Change::Template(chat_template("t", 4)))
            .await
            .unwrap();
        cluster
            .apply(Change::Account(account("a", "key")))
            .await
            .unwrap();
        let mut engines = Vec::new();
        for ip in ["127.0.0.1", LEAVING_IP] {
            let mut cfg = FakeEngineConfig::new(LayerRange::new(0, 4), 4);
            cfg.step_time = Duration::from_millis(2);
            let engine = FakeEngine::new(cfg);
            let address = SocketAddr::new(ip.parse().unwrap(), 0);
            let server = serve::engine(address, Arc::new(engine.clone()))
                .await
                .unwrap();
            let name = format!("engine-{ip}");
            cluster
                .apply(Change::Target(engine_target(&name, server.address, 0, 4)))
                .await
                .unwrap();
            engines.push(engine);
        }
        let caller = Caller::new(cluster.callers(0), "key");
        let mut streams = Vec::new();
        while engines[1].open_stages() == 0 {
            let mut stream = caller.stream("t", "hello", 400).await.unwrap();
            stream.token().await.unwrap();
            streams.push(stream);
        }
        let ip: IpAddr = LEAVING_IP.parse().unwrap();
        list.set(ip, PlatformStatus::Live);
        list.set(ip, PlatformStatus::Leaving);
        list.set("127.0.0.3".parse().unwrap(), PlatformStatus::Live);
        let shared = cluster.router(0).router().unwrap().shared().clone();
        eventually_async("the router has the list", || async {
            let core = shared.core();
            let known = core.fleet().iter().any(|(_, t)| t.is_leaving());
            known.then_some(())
        })
        .await;
        let before = engines[1].open_stages();
        for _ in 0..10 {
            caller.chat("t", "hello", 2, &[]).await.unwrap();
        }
        assert_eq!(engines[1].open_stages(), before);
        for stream in streams {
            assert_eq!(stream.text().await.unwrap().split_whitespace().count(), 399);
        }
        cluster.close().await.unwrap();
    });
}

/// A router is killed after its target has run a request that must not be repeated and
/// before it has answered. At another router the same key gets `in-progress` and, once
/// the lease of the killed router has expired, `may-have-run`; it never runs again.
#[test]
fn a_router_killed_between_send_and_answer_leaves_no_second_run() {
    crate::run_async(async {
        let cluster = process_cluster(1, 2);
        let _control = cluster.control(0).unwrap();
        let router = cluster.router(0).unwrap();
        let _other = cluster.router(1).unwrap();
        cluster
            .apply("template", &service_template("confirm", false))
            .unwrap();
        cluster.apply("account", &account("a", "key")).unwrap();
        let service = FakeService::new("confirm");
        service.set_fault(ServiceFault::RunsThenFreezes);
        let served = serve::service(any_loopback_port(), Arc::new(service.clone()))
            .await
            .unwrap();
        let target = service_target("confirm-1", served.address, "confirm");
        cluster.apply("target", &target).unwrap();
        let callers: Vec<Caller> = cluster
            .layout
            .routers
            .iter()
            .map(|r| Caller::new(r.callers, "key"))
            .collect();
        let first = callers[0].clone();
        let headers = [("idempotency-key", "k")];
        let request = tokio::spawn(async move {
            first
                .post("/s/confirm/1", "{}", &[("idempotency-key", "k")])
                .await
        });
        eventually_async("the target runs the request", || async {
            service.runs().contains_key("k").then_some(())
        })
        .await;
        router.kill();
        assert!(request.await.unwrap().is_err());
        service.set_fault(ServiceFault::None);
        let mut codes = Vec::new();
        eventually_async("the other router answers", || {
            let caller = callers[1].clone();
            async move { caller.post("/s/confirm/1", "{}", &headers).await.ok() }
        })
        .await;
        while codes.last().is_none_or(|code| code == "in-progress") {
            let answer = callers[1]
                .post("/s/confirm/1", "{}", &headers)
                .await
                .unwrap();
            assert_eq!(answer.status, 409);
            codes.push(answer.code());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(codes.last().map(String::as_str), Some("may-have-run"));
        assert_eq!(service.runs()["k"], 1);
    });
}
