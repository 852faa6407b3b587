//! Targets that ask for a rest period, and targets that give notice that they leave.
//!
//! Guards against a fault seen when an engine refused all requests for 9 s and asked for a
//! rest period of 3 s with each refusal. Three VMs sent it 36 requests in that time, up to 5
//! in one rest period. Later all first-stage engines did so at once, and were sent up to 87
//! requests per second. A router avoided a target that had refused it for 300 ms of its own
//! choosing and then sent to it again. Since the engine's streams ended and none began, it had
//! the lowest load and was chosen more often. Routers used notices of a target for the request
//! at hand or not at all: they read neither the rest period nor the notice of leaving, so
//! neither outlasted the request. Refusals were 0.3 to 0.5 s apart, with a rest period of
//! 3,000 ms (`event=target_asks_rest`) beside an avoidance time of 300 ms
//! (`event=target_refused`).

use crate::rig::{API_KEY, NOT_RESUMABLE, ONCE, REPEATABLE, RequestKind, Rig, STREAMS};
use crate::run_async;
use deckwind_fakes::{FakeTargetFault, FakeTargetServer};
use deckwind_testkit::{Layout, eventually_async};
use http::StatusCode;
use std::time::Duration;
use yare::parameterized;

/// Step by which time advances: longer than the router's own avoidance time, shorter than its
/// lease.
const TIME_STEP: Duration = Duration::from_millis(600);

/// Rest period that targets ask for, in seconds.
const REST_PERIOD: &str = "30.5";

/// The same as a number.
const REST_PERIOD_S: f64 = 30.5;

/// Number of time steps.
const TIME_STEPS: u64 = 10;

async fn rig(kind: RequestKind) -> Rig {
    let mut layout = Layout::new(1, 1).expect("a layout");
    layout.retry_budget = (4.0, 200);
    Rig::start_placed(layout, kind.plain, kind.engines).await
}

/// Advances the router's clock, and waits until its lease is renewed.
async fn advance_time(rig: &Rig, time: Duration) {
    rig.cluster.simulate_router_suspension(0, time);
    rig.cluster.wait_for_lease(0).await;
}

/// Sends requests until one is served, and returns the target that serves the next one.
async fn first_choice(rig: &Rig, kind: RequestKind) -> FakeTargetServer {
    rig.wait_until_served(kind.path, kind.tokens).await;
    let before: Vec<usize> = rig.targets().map(|t| t.received_requests().len()).collect();
    let response = rig.ask("first", kind.path, API_KEY, kind.tokens).await;
    assert_eq!(response.status, StatusCode::OK);
    let mut now = rig.targets().zip(before);
    let (target, _) = now
        .find(|(t, n)| t.received_requests().len() > *n)
        .expect("a target was sent the request");
    target.clone()
}

/// Sends requests until the target receives one, and returns how many it has received in all.
/// On a busy machine another target may be the first choice for a moment.
async fn request_until_received(rig: &Rig, target: &FakeTargetServer, kind: RequestKind) -> usize {
    let before = target.received_requests().len();
    eventually_async("the target is sent a request", || async {
        rig.ask("told", kind.path, API_KEY, kind.tokens).await;
        (target.received_requests().len() > before).then_some(())
    })
    .await;
    let seen = target.received_requests().len();
    assert_eq!(seen, before + 1, "the target was sent one request");
    seen
}

/// Sends a request after each time step; other targets must serve all of them.
async fn request_at_each_step(rig: &Rig, kind: RequestKind) {
    for i in 0..TIME_STEPS {
        advance_time(rig, TIME_STEP).await;
        eventually_async("another target serves", || async {
            let response = rig
                .ask(&format!("r{i}"), kind.path, API_KEY, kind.tokens)
                .await;
            (response.status == StatusCode::OK && response.body.is_ok()).then_some(())
        })
        .await;
    }
}

/// Covers streams over chains of engines, and requests that a single target serves.
#[parameterized(
    streams = { STREAMS },
    repeatable = { REPEATABLE },
    at_most_once = { ONCE },
    not_resumable = { NOT_RESUMABLE },
)]
fn a_target_that_asks_for_rest_is_left_alone(kind: RequestKind) {
    run_async(async move {
        let rig = rig(kind).await;
        let target = first_choice(&rig, kind).await;
        target.set_fault(FakeTargetFault::Refuses { at_fault: None });
        target.set_retry_after(Some(REST_PERIOD));
        let seen = request_until_received(&rig, &target, kind).await;
        request_at_each_step(&rig, kind).await;
        assert_eq!(
            target.received_requests().len(),
            seen,
            "it was sent nothing in its rest period"
        );
        target.set_fault(FakeTargetFault::None);
        advance_time(&rig, Duration::from_secs(31)).await;
        eventually_async(
            "the target is sent requests after its rest period",
            || async {
                rig.ask("after", kind.path, API_KEY, kind.tokens).await;
                (target.received_requests().len() > seen).then_some(())
            },
        )
        .await;
        rig.cluster.close().await.expect("closed");
    });
}

/// The notice of leaving comes in a complete response, the head of a stream, a refusal, or a
/// failure.
#[parameterized(
    streams = { STREAMS, FakeTargetFault::None },
    streams_refused = { STREAMS, FakeTargetFault::Refuses { at_fault: None } },
    repeatable = { REPEATABLE, FakeTargetFault::None },
    repeatable_failed = { REPEATABLE, FakeTargetFault::Fails },
    at_most_once = { ONCE, FakeTargetFault::None },
    at_most_once_refused = { ONCE, FakeTargetFault::Refuses { at_fault: None } },
    not_resumable = { NOT_RESUMABLE, FakeTargetFault::None },
)]
fn a_target_that_says_it_leaves_gets_nothing_new(kind: RequestKind, fault: FakeTargetFault) {
    run_async(async move {
        let rig = rig(kind).await;
        let target = first_choice(&rig, kind).await;
        target.set_fault(fault);
        target.set_leaving(true);
        let seen = request_until_received(&rig, &target, kind).await;
        target.set_fault(FakeTargetFault::None);
        request_at_each_step(&rig, kind).await;
        assert_eq!(
            target.received_requests().len(),
            seen,
            "it was sent nothing after its notice"
        );
        rig.cluster.close().await.expect("closed");
    });
}

/// A target refuses a request without asking for a rest period, and has the lowest load.
/// Others are preferred for a while. A caller whose request may not be sent to another target
/// is told to retry at once, since the others are ready.
#[parameterized(
    repeatable = { REPEATABLE, 200 },
    at_most_once = { ONCE, 503 },
)]
fn a_target_that_refuses_a_plain_request_comes_last(kind: RequestKind, status: u16) {
    run_async(async move {
        let rig = rig(kind).await;
        let target = first_choice(&rig, kind).await;
        target.set_fault(FakeTargetFault::Refuses { at_fault: None });
        let response = rig.ask("refused", kind.path, API_KEY, kind.tokens).await;
        assert_eq!(response.status.as_u16(), status);
        if status == 503 {
            let after = response.retry_after_time();
            assert!((0.01..0.061).contains(&after), "{after} s");
        }
        let seen = target.received_requests().len();
        for i in 0..4 {
            let response = rig
                .ask(&format!("r{i}"), kind.path, API_KEY, kind.tokens)
                .await;
            assert_eq!(response.status, StatusCode::OK);
        }
        assert_eq!(target.received_requests().len(), seen);
        rig.cluster.close().await.expect("closed");
    });
}

/// If all targets are in rest periods, a request is refused at once, with the time until the
/// first of these ends.
#[parameterized(
    streams = { STREAMS },
    repeatable = { REPEATABLE },
    at_most_once = { ONCE },
)]
fn where_all_targets_rest_a_request_is_refused_with_the_time_that_is_left(kind: RequestKind) {
    run_async(async move {
        let rig = rig(kind).await;
        rig.wait_until_served(kind.path, kind.tokens).await;
        for target in rig.targets() {
            target.set_fault(FakeTargetFault::Refuses { at_fault: None });
            target.set_retry_after(Some(REST_PERIOD));
        }
        let mut response = rig.ask("r", kind.path, API_KEY, kind.tokens).await;
        for i in 0..4 {
            response = rig
                .ask(&format!("r{i}"), kind.path, API_KEY, kind.tokens)
                .await;
        }
        let seen: usize = rig.targets().map(|t| t.received_requests().len()).sum();
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        let after = response.retry_after_time();
        assert!(
            (REST_PERIOD_S - 5.0..REST_PERIOD_S + 2.0).contains(&after),
            "{after} s"
        );
        for i in 0..TIME_STEPS {
            advance_time(&rig, TIME_STEP).await;
            rig.ask(&format!("s{i}"), kind.path, API_KEY, kind.tokens)
                .await;
        }
        let now: usize = rig.targets().map(|t| t.received_requests().len()).sum();
        assert_eq!(now, seen, "no target was sent anything");
        rig.cluster.close().await.expect("closed");
    });
}

/// Starts engines that refuse orders to load layers and ask for this rest period.
async fn start_engines_that_refuse_orders(rest_period: &str) -> Rig {
    let mut rig = Rig::start(0, 0).await;
    for i in 0..4 {
        let engine = FakeTargetServer::start(&format!("e-{i}")).await;
        let engine = engine.expect("an engine");
        engine.set_fault(FakeTargetFault::RefusesOrders);
        engine.set_retry_after(Some(rest_period));
        rig.engines.push(engine);
        rig.announce("engines", "e", i, "ready").await;
    }
    eventually_async("each has refused an order", || async {
        let refused = |e: &FakeTargetServer| e.orders_refused() > 0;
        rig.engines.iter().all(refused).then_some(())
    })
    .await;
    rig
}

/// A failed order is repeated after 0.8 s, unless its engine is in a rest period.
#[test]
fn orders_leave_an_engine_alone_that_asks_for_rest() {
    run_async(async {
        let rig = start_engines_that_refuse_orders("60").await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let refused: Vec<u32> = rig.engines.iter().map(|e| e.orders_refused()).collect();
        assert_eq!(refused, [1; 4]);
        rig.cluster.close().await.expect("closed");
    });
}

#[test]
fn an_order_is_given_again_after_the_rest() {
    run_async(async {
        let rig = start_engines_that_refuse_orders("0.2").await;
        for engine in &rig.engines {
            engine.set_fault(FakeTargetFault::None);
        }
        rig.wait_until_served("/stream/x", true).await;
        rig.cluster.close().await.expect("closed");
    });
}
