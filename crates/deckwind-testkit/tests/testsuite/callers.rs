//! Answers of a router to callers: unknown keys, limits, error codes, readiness and
//! bursts of connections.

use crate::any_loopback_port;
use deckwind_core::state::Change;
use deckwind_fakes::{FakeService, serve};
use deckwind_testkit::{Caller, Cluster, account, service_target, service_template};
use std::sync::Arc;

async fn cluster() -> Cluster {
    let cluster = Cluster::start(1, 1).await.unwrap();
    let template = service_template("card-status", true);
    cluster.apply(Change::Template(template)).await.unwrap();
    let mut small = account("small", "small-key");
    small.limits.requests_per_s = 2.0;
    cluster.apply(Change::Account(small)).await.unwrap();
    cluster
        .apply(Change::Account(account("care", "key")))
        .await
        .unwrap();
    let service = FakeService::new("card-status");
    let served = serve::service(any_loopback_port(), Arc::new(service))
        .await
        .unwrap();
    let target = service_target("card-status-1", served.address, "card-status");
    cluster.apply(Change::Target(target)).await.unwrap();
    cluster
}

#[test]
fn bad_requests_get_a_stable_code_and_were_not_run() {
    crate::run_async(async {
        let cluster = cluster().await;
        let caller = Caller::new(cluster.callers(0), "key");
        let unknown_caller = Caller::new(cluster.callers(0), "wrong");
        let long_key = "k".repeat(201);
        let chat = "/v1/chat/completions";
        let cases = [
            (
                unknown_caller.post("/s/card-status/1", "{}", &[]).await,
                401,
                "unknown-key",
            ),
            (
                caller.post("/s/nothing/1", "{}", &[]).await,
                404,
                "unknown-template",
            ),
            (
                caller.post("/nowhere", "{}", &[]).await,
                404,
                "unknown-path",
            ),
            (caller.post(chat, "{", &[]).await, 400, "bad-request"),
            (
                caller
                    .post(chat, "{\"model\":\"x\",\"messages\":[]}", &[])
                    .await,
                400,
                "bad-request",
            ),
            (
                caller.chat("card-status", "hi", 1, &[]).await,
                400,
                "wrong-template",
            ),
            (
                caller.chat("card-status", "hi", 0, &[]).await,
                400,
                "bad-request",
            ),
            (
                caller
                    .post("/s/card-status/1", "{}", &[("idempotency-key", &long_key)])
                    .await,
                400,
                "bad-request",
            ),
            (
                caller
                    .post("/s/card-status/1", vec![b'x'; (1 << 20) + 1], &[])
                    .await,
                413,
                "body-too-large",
            ),
        ];
        for (answer, status, code) in cases {
            let answer = answer.unwrap();
            assert_eq!((answer.status, answer.code().as_str()), (status, code));
            assert_eq!(answer.header("deckwind-ran"), Some("not-run"), "{code}");
        }
        cluster.close().await.unwrap();
    });
}

#[test]
fn an_account_over_its_limit_hears_when_to_come_back() {
    crate::run_async(async {
        let cluster = cluster().await;
        let caller = Caller::new(cluster.callers(0), "small-key");
        let mut refused = None;
        for _ in 0..20 {
            let answer = caller.post("/s/card-status/1", "{}", &[]).await.unwrap();
            if answer.status != 200 {
                refused = Some(answer);
                break;
            }
        }
        let refused = refused.expect("20 at once are above 2 a second");
        assert_eq!(
            (refused.status, refused.code().as_str()),
            (429, "over-limit")
        );
        assert!(refused.header("retry-after").is_some());
        cluster.close().await.unwrap();
    });
}

#[test]
fn a_router_without_a_lease_is_not_ready() {
    crate::run_async(async {
        let mut cluster = cluster().await;
        let caller = Caller::new(cluster.callers(0), "key");
        assert_eq!(caller.post("/ready", "", &[]).await.unwrap().status, 200);
        cluster.take_control(0).close().await.unwrap();
        deckwind_testkit::eventually_async("the lease runs out", || async {
            (caller.post_once("/ready", "", &[]).await.unwrap().status == 503).then_some(())
        })
        .await;
        let refused = caller
            .post_once("/s/card-status/1", "{}", &[])
            .await
            .unwrap();
        assert_eq!((refused.status, refused.code().as_str()), (503, "no-lease"));
        assert_eq!(refused.header("deckwind-ran"), Some("not-run"));
        assert_eq!(caller.post("/health", "", &[]).await.unwrap().status, 200);
        cluster.close().await.unwrap();
    });
}

#[test]
fn a_head_that_is_too_long_is_refused_and_the_router_goes_on() {
    crate::run_async(async {
        let cluster = cluster().await;
        let caller = Caller::new(cluster.callers(0), "key");
        let long = "x".repeat(70 * 1024);
        let refused = caller
            .post("/s/card-status/1", "{}", &[("x-long", &long)])
            .await;
        assert!(refused.is_err() || refused.is_ok_and(|a| a.status == 431));
        let good = caller.post("/s/card-status/1", "{}", &[]).await.unwrap();
        assert_eq!(good.status, 200);
        cluster.close().await.unwrap();
    });
}

/// The listen backlog takes a burst of connections before any of them is accepted. A
/// connection that doesn't fit would wait a second until its SYN is retransmitted.
#[test]
fn five_hundred_callers_at_once_lose_no_handshake() {
    crate::run_async(async {
        let listener = deckwindd::router::listen(any_loopback_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let mut open = Vec::new();
        for _ in 0..500 {
            open.push(tokio::net::TcpStream::connect(address).await.unwrap());
        }
        for _ in 0..500 {
            listener.accept().await.unwrap();
        }
    });
}
