//! Targets that name the requests a second that they take from all VMs together.
//!
//! **What was seen.** Two of three first engines named limits of 5.9 and 5.5 requests a
//! second in their answers. Nine routers went on as before: 57 and 66 requests came in
//! the 4 s after they had been told, 14 a second in all, for as long as the limits stood.
//! Nothing was refused, and callers noticed nothing: the engines were in need.
//!
//! **How it came about.** Each router chose among the first engines by the memory that
//! streams hold there, and sent as many requests as its callers did.
//!
//! **Cause.** Nobody read the limit. And had each router read it, all nine together could
//! have sent nine times as much: what a target tells one VM of all VMs had no keeper.
//!
//! **What proved it.** No code read the header; the engines' arrivals by second, the same
//! before and after; once routers noted the limits, their lines
//! (`event=target_names_limit`) beside sends that went on; and the tests below.

use crate::rig::{KEY, Kind, NOT_RESUMABLE, ONCE, REPEATABLE, Rig, STREAMS};
use crate::run;
use deckwind_testkit::soak::{Spans, check_limits, id_at};
use deckwind_testkit::{Layout, eventually_async};
use http::StatusCode;
use std::time::Duration;
use yare::parameterized;

const ROUTERS: usize = 3;

/// Limit that targets name, requests a second.
const LIMIT: &str = "1";

/// Requests by which each router is told: each target is drawn several times.
const TOLD_BY: usize = 8;

/// Requests that each router is asked for then, as fast as they are answered.
const ASKED: usize = 30;

/// What was under way when a target spoke has arrived.
const UNDER_WAY: Duration = Duration::from_millis(500);

async fn rig(kind: Kind) -> Rig {
    let mut layout = Layout::new(1, ROUTERS).expect("a layout");
    layout.repeats = (4.0, 200);
    let rig = Rig::start_placed(layout, kind.plain, kind.engines).await;
    for router in 0..ROUTERS {
        rig.cluster.wait_for_lease(router).await;
    }
    rig
}

/// Asks all routers so often, one request at each at a time.
async fn ask_all(rig: &Rig, name: &str, count: usize, kind: Kind) {
    for i in 0..count {
        let ask = |router: usize| {
            let id = id_at(&format!("{name}-{i}"), router);
            async move {
                rig.ask_at(router, &id, kind.path, KEY, kind.tokens, None)
                    .await
            }
        };
        tokio::join!(ask(0), ask(1), ask(2));
    }
}

/// Streams over engines that hand on, and what one target serves alone.
#[parameterized(
    streams = { STREAMS },
    repeatable = { REPEATABLE },
    at_most_once = { ONCE },
    not_resumable = { NOT_RESUMABLE },
)]
fn all_routers_together_keep_to_a_limit(kind: Kind) {
    run(async move {
        let rig = rig(kind).await;
        rig.until_served(kind.path, kind.tokens).await;
        rig.targets().for_each(|t| t.name_limit(Some(LIMIT)));
        ask_all(&rig, "told", TOLD_BY, kind).await;
        tokio::time::sleep(UNDER_WAY).await;
        ask_all(&rig, "r", ASKED, kind).await;
        let undisturbed: Vec<Spans> = (0..ROUTERS).map(|_| Spans::default()).collect();
        for target in rig.targets() {
            let checked = check_limits(&target.arrivals(), &undisturbed, &Spans::default());
            assert!(checked.is_ok(), "{:#}", checked.unwrap_err());
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// The one that is limited answers as well as the other; nobody is refused for it.
#[parameterized(
    streams = { STREAMS },
    repeatable = { REPEATABLE },
    at_most_once = { ONCE },
)]
fn others_serve_what_a_limited_target_does_not(kind: Kind) {
    run(async move {
        let rig = rig(kind).await;
        rig.until_served(kind.path, kind.tokens).await;
        let limited = rig.targets().find(|t| !t.seen().is_empty());
        let limited = limited.expect("one has served").clone();
        limited.name_limit(Some("0.2"));
        ask_all(&rig, "told", TOLD_BY, kind).await;
        for i in 0..ASKED {
            let id = id_at(&format!("r-{i}"), i % ROUTERS);
            let heard = rig
                .ask_at(i % ROUTERS, &id, kind.path, KEY, kind.tokens, None)
                .await;
            assert_eq!(heard.status, StatusCode::OK, "{:?}", heard.body);
        }
        let undisturbed: Vec<Spans> = (0..ROUTERS).map(|_| Spans::default()).collect();
        let checked = check_limits(&limited.arrivals(), &undisturbed, &Spans::default());
        assert!(checked.is_ok(), "{:#}", checked.unwrap_err());
        rig.cluster.close().await.expect("closed");
    });
}

/// Where all targets get what they take, a request is refused at once, and told when
/// there is room again.
#[parameterized(
    streams = { STREAMS },
    repeatable = { REPEATABLE },
    at_most_once = { ONCE },
)]
fn where_all_targets_are_limited_the_rest_is_refused(kind: Kind) {
    run(async move {
        let rig = rig(kind).await;
        rig.until_served(kind.path, kind.tokens).await;
        rig.targets().for_each(|t| t.name_limit(Some("0.1")));
        ask_all(&rig, "told", TOLD_BY, kind).await;
        let refused = eventually_async("one is refused", || async {
            let heard = rig.ask("r", kind.path, KEY, kind.tokens).await;
            (heard.status != StatusCode::OK).then_some(heard)
        });
        let refused = refused.await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(refused.body.as_deref(), Ok("resting\n"));
        let after = refused.come_back_after();
        assert!((0.0..1.6).contains(&after), "{after} s");
        rig.cluster.close().await.expect("closed");
    });
}

/// An answer without a limit ends it, for all routers.
#[parameterized(
    streams = { STREAMS, "0.5" },
    repeatable = { REPEATABLE, "0.5" },
    at_most_once = { ONCE, "0.5" },
    of_nothing_at_all = { REPEATABLE, "0" },
)]
fn a_limit_that_is_no_longer_named_is_over(kind: Kind, limit: &str) {
    let limit = limit.to_string();
    run(async move {
        let rig = rig(kind).await;
        rig.until_served(kind.path, kind.tokens).await;
        rig.targets().for_each(|t| t.name_limit(Some(&limit)));
        ask_all(&rig, "told", TOLD_BY, kind).await;
        rig.targets().for_each(|t| t.name_limit(None));
        for router in 0..ROUTERS {
            eventually_async("ten in a row are served", || async {
                for i in 0..10 {
                    let id = format!("after-{i}");
                    let heard = rig
                        .ask_at(router, &id, kind.path, KEY, kind.tokens, None)
                        .await;
                    if heard.status != StatusCode::OK {
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

/// What can't be read is not believed: nothing changes.
#[test]
fn an_unreadable_limit_changes_nothing() {
    run(async {
        let rig = rig(Kind {
            plain: 1,
            ..REPEATABLE
        })
        .await;
        rig.until_served("/safe/x", false).await;
        rig.plain[0].name_limit(Some("a few"));
        for i in 0..ASKED {
            let heard = rig.ask(&format!("r-{i}"), "/safe/x", KEY, false).await;
            assert_eq!(heard.status, StatusCode::OK);
        }
        rig.cluster.close().await.expect("closed");
    });
}
