//! At-most-once requests run no more than once, however often they are sent. The fake
//! service counts the runs of each idempotency key.

use crate::any_loopback_port;
use deckwind_core::state::Change;
use deckwind_fakes::{FakeService, ServiceFault, serve};
use deckwind_testkit::{
    Answer, Caller, Cluster, account, eventually_async, service_target, service_template,
};
use std::sync::Arc;
use std::time::Duration;
use yare::parameterized;

struct Rig {
    cluster: Cluster,
    service: FakeService,
}

impl Rig {
    async fn start(routers: usize) -> Self {
        let cluster = Cluster::start(1, routers).await.unwrap();
        let template = service_template("confirm", false);
        cluster.apply(Change::Template(template)).await.unwrap();
        cluster
            .apply(Change::Account(account("care", "key")))
            .await
            .unwrap();
        cluster
            .apply(Change::Account(account("other", "other-key")))
            .await
            .unwrap();
        let service = FakeService::new("confirm");
        let served = serve::service(any_loopback_port(), Arc::new(service.clone()))
            .await
            .unwrap();
        let target = service_target("confirm-1", served.address, "confirm");
        cluster.apply(Change::Target(target)).await.unwrap();
        Self { cluster, service }
    }

    async fn confirm(&self, router: usize, key: &str, body: &str) -> Answer {
        self.confirm_as(router, "key", key, body).await
    }

    async fn confirm_as(&self, router: usize, bearer: &str, key: &str, body: &str) -> Answer {
        let caller = Caller::new(self.cluster.callers(router), bearer);
        let headers = [("idempotency-key", key)];
        caller
            .post("/s/confirm/week-49", body.to_string(), &headers)
            .await
            .unwrap()
    }

    fn runs(&self, key: &str) -> u32 {
        self.service.runs().get(key).copied().unwrap_or(0)
    }

    async fn close(self) {
        self.cluster.close().await.unwrap();
    }
}

#[test]
fn a_resend_through_another_router_gets_the_recorded_answer() {
    crate::run_async(async {
        let rig = Rig::start(2).await;
        let first = rig.confirm(0, "k", "{}").await;
        let again = rig.confirm(1, "k", "{}").await;
        assert_eq!((first.status, again.status), (200, 200));
        assert_eq!(first.body, again.body);
        assert_eq!(again.header("idempotent-replayed"), Some("true"));
        assert_eq!(rig.runs("k"), 1);
        rig.close().await;
    });
}

#[test]
fn the_same_key_with_another_body_is_refused() {
    crate::run_async(async {
        let rig = Rig::start(1).await;
        rig.confirm(0, "k", "{}").await;
        let other = rig.confirm(0, "k", "{\"week\":50}").await;
        assert_eq!((other.status, other.code().as_str()), (422, "key-reused"));
        assert_eq!(other.header("deckwind-ran"), Some("not-run"));
        assert_eq!(rig.runs("k"), 1);
        rig.close().await;
    });
}

#[test]
fn another_accounts_key_never_shows_its_answer() {
    crate::run_async(async {
        let rig = Rig::start(1).await;
        let mine = rig.confirm(0, "k", "mine").await;
        let theirs = rig.confirm_as(0, "other-key", "k", "theirs").await;
        assert_eq!(mine.json()["request"], "mine");
        assert_eq!(theirs.json()["request"], "theirs");
        assert_eq!(theirs.header("idempotent-replayed"), None);
        rig.close().await;
    });
}

#[parameterized(
    breaks = { ServiceFault::RunsThenBreaks },
    freezes = { ServiceFault::RunsThenFreezes },
)]
fn what_may_have_run_is_never_sent_again(fault: ServiceFault) {
    crate::run_async(async {
        let rig = Rig::start(2).await;
        rig.service.set_fault(fault);
        let first = rig.confirm(0, "k", "{}").await;
        assert_eq!(
            (first.status, first.code().as_str()),
            (502, "target-failed")
        );
        assert_eq!(first.header("deckwind-ran"), Some("unknown"));
        rig.service.set_fault(ServiceFault::None);
        for router in [0, 1] {
            let again = rig.confirm(router, "k", "{}").await;
            assert_eq!((again.status, again.code().as_str()), (409, "may-have-run"));
        }
        assert_eq!(rig.runs("k"), 1);
        rig.close().await;
    });
}

#[test]
fn what_was_told_not_run_did_not_run_and_may_be_sent_again() {
    crate::run_async(async {
        let rig = Rig::start(2).await;
        rig.service.set_fault(ServiceFault::Refuses);
        let refused = rig.confirm(0, "k", "{}").await;
        assert_eq!(refused.status, 503);
        assert_eq!(refused.header("deckwind-ran"), Some("not-run"));
        assert!(refused.header("retry-after").is_some());
        assert_eq!(rig.runs("k"), 0);
        rig.service.set_fault(ServiceFault::None);
        let again = eventually_async("the router sends to the target again", || async {
            let answer = rig.confirm(1, "k", "{}").await;
            (answer.status == 200).then_some(answer)
        })
        .await;
        assert_eq!(again.status, 200);
        assert_eq!(rig.runs("k"), 1);
        rig.close().await;
    });
}

/// The rest period is longer than the router's own avoidance time and than its lease.
#[test]
fn a_target_that_asks_for_rest_is_left_alone() {
    crate::run_async(async {
        let rig = Rig::start(1).await;
        rig.service.set_fault(ServiceFault::Rests(120_500));
        assert_eq!(rig.confirm(0, "k", "{}").await.status, 503);
        for _ in 0..5 {
            let time_step = Duration::from_secs(3);
            rig.cluster.simulate_router_suspension(0, time_step);
            rig.cluster.wait_for_lease(0).await;
            let refused = rig.confirm(0, "k", "{}").await;
            assert_eq!(refused.status, 503);
            assert_eq!(refused.header("deckwind-ran"), Some("not-run"));
            let after: u64 = refused.header("retry-after").unwrap().parse().unwrap();
            assert!((60..=121).contains(&after), "{after} s");
        }
        assert_eq!(rig.service.refused(), 1);
        rig.service.set_fault(ServiceFault::None);
        rig.cluster
            .simulate_router_suspension(0, Duration::from_secs(91));
        rig.cluster.wait_for_lease(0).await;
        eventually_async("the target serves after its rest period", || async {
            (rig.confirm(0, "k", "{}").await.status == 200).then_some(())
        })
        .await;
        rig.close().await;
    });
}

#[test]
fn many_tries_at_once_through_two_routers_run_once() {
    crate::run_async(async {
        let rig = Arc::new(Rig::start(2).await);
        let mut attempts = Vec::new();
        for i in 0..24 {
            let rig = rig.clone();
            attempts.push(tokio::spawn(
                async move { rig.confirm(i % 2, "k", "{}").await },
            ));
        }
        for attempt in attempts {
            let answer = attempt.await.unwrap();
            let code = answer.code();
            assert!(
                answer.status == 200 || code == "in-progress",
                "{} {code}",
                answer.status
            );
        }
        assert_eq!(rig.runs("k"), 1);
        Arc::into_inner(rig).unwrap().close().await;
    });
}

#[test]
fn without_a_quorum_nothing_that_must_not_repeat_is_sent() {
    crate::run_async(async {
        let mut rig = Rig::start(1).await;
        rig.cluster.take_control(0).close().await.unwrap();
        let caller = Caller::new(rig.cluster.callers(0), "key");
        let headers = [("idempotency-key", "k")];
        let refused = caller.post_once("/s/confirm/week-49", "{}", &headers).await;
        let refused = refused.unwrap();
        assert_eq!(refused.status, 503);
        assert_eq!(refused.header("deckwind-ran"), Some("not-run"));
        assert_eq!(rig.runs("k"), 0);
        rig.close().await;
    });
}
