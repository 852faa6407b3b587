//! Rate limits that targets name in their responses, in requests per second from all VMs
//! together.
//!
//! Guards against a fault seen when two of three first-stage engines named limits of 5.9 and
//! 5.5 requests per second. Nine routers sent as before: 57 and 66 requests arrived in the 4 s
//! after the routers had received the limits, 14 per second in all, for as long as the limits
//! were in force. Nothing was refused and callers noticed nothing: the excess load fell on the
//! engines alone. No code read the header: routers chose engines by the memory that streams
//! held there. Had each router enforced the limit by itself, all nine could have sent nine times
//! as much, since nothing coordinated a limit for all VMs. Arrivals per second were the same
//! before and after, and sends went on beside `event=target_names_limit` lines.

use crate::rig::{API_KEY, NOT_RESUMABLE, ONCE, REPEATABLE, RequestKind, Rig, STREAMS};
use crate::run_async;
use deckwind_testkit::soak::{FaultSpans, check_limits, id_for_router};
use deckwind_testkit::{Layout, eventually_async};
use http::StatusCode;
use std::time::Duration;
use yare::parameterized;

const ROUTERS: usize = 3;

/// Limit that targets name, in requests per second.
const LIMIT: &str = "1";

/// Number of requests by which each router learns the limits: each target is chosen several
/// times.
const LEARNING_REQUESTS: usize = 8;

/// Number of requests to each router after that, as fast as they are answered.
const REQUESTS: usize = 30;

/// Time after which requests in flight have arrived.
const SETTLE_TIME: Duration = Duration::from_millis(500);

async fn rig(kind: RequestKind) -> Rig {
    let mut layout = Layout::new(1, ROUTERS).expect("a layout");
    layout.retry_budget = (4.0, 200);
    let rig = Rig::start_placed(layout, kind.plain, kind.engines).await;
    for router in 0..ROUTERS {
        rig.cluster.wait_for_lease(router).await;
    }
    rig
}

/// Sends `count` requests to each router, one at a time at each.
async fn ask_all_routers(rig: &Rig, name: &str, count: usize, kind: RequestKind) {
    for i in 0..count {
        let ask = |router: usize| {
            let id = id_for_router(&format!("{name}-{i}"), router);
            async move {
                rig.ask_router(router, &id, kind.path, API_KEY, kind.tokens, None)
                    .await
            }
        };
        tokio::join!(ask(0), ask(1), ask(2));
    }
}

/// Covers streams over chains of engines, and requests that a single target serves.
#[parameterized(
    streams = { STREAMS },
    repeatable = { REPEATABLE },
    at_most_once = { ONCE },
    not_resumable = { NOT_RESUMABLE },
)]
fn all_routers_together_keep_to_a_limit(kind: RequestKind) {
    run_async(async move {
        let rig = rig(kind).await;
        rig.wait_until_served(kind.path, kind.tokens).await;
        rig.targets().for_each(|t| t.set_server_limit(Some(LIMIT)));
        ask_all_routers(&rig, "told", LEARNING_REQUESTS, kind).await;
        tokio::time::sleep(SETTLE_TIME).await;
        ask_all_routers(&rig, "r", REQUESTS, kind).await;
        let no_disturbances: Vec<FaultSpans> =
            (0..ROUTERS).map(|_| FaultSpans::default()).collect();
        for target in rig.targets() {
            let checked =
                check_limits(&target.arrivals(), &no_disturbances, &FaultSpans::default());
            assert!(checked.is_ok(), "{:#}", checked.unwrap_err());
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// The limited target answers as well as the others do, and no request is refused because of
/// its limit.
#[parameterized(
    streams = { STREAMS },
    repeatable = { REPEATABLE },
    at_most_once = { ONCE },
)]
fn others_serve_what_a_limited_target_does_not(kind: RequestKind) {
    run_async(async move {
        let rig = rig(kind).await;
        rig.wait_until_served(kind.path, kind.tokens).await;
        let limited = rig.targets().find(|t| !t.received_requests().is_empty());
        let limited = limited.expect("a target has served").clone();
        limited.set_server_limit(Some("0.2"));
        ask_all_routers(&rig, "told", LEARNING_REQUESTS, kind).await;
        for i in 0..REQUESTS {
            let id = id_for_router(&format!("r-{i}"), i % ROUTERS);
            let response = rig
                .ask_router(i % ROUTERS, &id, kind.path, API_KEY, kind.tokens, None)
                .await;
            assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
        }
        let no_disturbances: Vec<FaultSpans> =
            (0..ROUTERS).map(|_| FaultSpans::default()).collect();
        let checked = check_limits(
            &limited.arrivals(),
            &no_disturbances,
            &FaultSpans::default(),
        );
        assert!(checked.is_ok(), "{:#}", checked.unwrap_err());
        rig.cluster.close().await.expect("closed");
    });
}

/// If all targets are at their limits, a request is refused at once, with the time until one
/// has free capacity again.
#[parameterized(
    streams = { STREAMS },
    repeatable = { REPEATABLE },
    at_most_once = { ONCE },
)]
fn where_all_targets_are_limited_the_rest_is_refused(kind: RequestKind) {
    run_async(async move {
        let rig = rig(kind).await;
        rig.wait_until_served(kind.path, kind.tokens).await;
        rig.targets().for_each(|t| t.set_server_limit(Some("0.1")));
        ask_all_routers(&rig, "told", LEARNING_REQUESTS, kind).await;
        let refused = eventually_async("a request is refused", || async {
            let response = rig.ask("r", kind.path, API_KEY, kind.tokens).await;
            (response.status != StatusCode::OK).then_some(response)
        });
        let refused = refused.await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(refused.body.as_deref(), Ok("resting\n"));
        let after = refused.retry_after_time();
        assert!((0.0..1.6).contains(&after), "{after} s");
        rig.cluster.close().await.expect("closed");
    });
}

/// A response without a limit ends the limit for all routers.
#[parameterized(
    streams = { STREAMS, "0.5" },
    repeatable = { REPEATABLE, "0.5" },
    at_most_once = { ONCE, "0.5" },
    of_nothing_at_all = { REPEATABLE, "0" },
)]
fn a_limit_that_is_no_longer_named_is_over(kind: RequestKind, limit: &str) {
    let limit = limit.to_string();
    run_async(async move {
        let rig = rig(kind).await;
        rig.wait_until_served(kind.path, kind.tokens).await;
        rig.targets().for_each(|t| t.set_server_limit(Some(&limit)));
        ask_all_routers(&rig, "told", LEARNING_REQUESTS, kind).await;
        rig.targets().for_each(|t| t.set_server_limit(None));
        for router in 0..ROUTERS {
            eventually_async("ten in a row are served", || async {
                for i in 0..10 {
                    let id = format!("after-{i}");
                    let response = rig
                        .ask_router(router, &id, kind.path, API_KEY, kind.tokens, None)
                        .await;
                    if response.status != StatusCode::OK {
                        return None;
                    }
                }
                Some(())
            })
            .await;
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// A limit that cannot be parsed is ignored.
#[test]
fn an_unreadable_limit_changes_nothing() {
    run_async(async {
        let rig = rig(RequestKind {
            plain: 1,
            ..REPEATABLE
        })
        .await;
        rig.wait_until_served("/safe/x", false).await;
        rig.plain[0].set_server_limit(Some("a few"));
        for i in 0..REQUESTS {
            let response = rig.ask(&format!("r-{i}"), "/safe/x", API_KEY, false).await;
            assert_eq!(response.status, StatusCode::OK);
        }
        rig.cluster.close().await.expect("closed");
    });
}
