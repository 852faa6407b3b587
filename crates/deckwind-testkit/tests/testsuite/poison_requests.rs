//! Poison requests: requests that crash each target that runs them.
//!
//! Guards against a fault seen in three periods of some 15 s: 67 engines crashed one after
//! the other, and hardly anything was served meanwhile. Requests that had crashed three
//! engines were sent 9 and 10 times more; 25 engines crashed under each.
//!
//! An engine crashes 40 to 115 ms after it begins to run such a request. The router resumes
//! the stream at another engine, which crashes too. The caller sees a broken response and
//! sends the same content again under another id, to any router. Routers kept what they
//! learned only for the lifetime of one request, not by request content, and did not share
//! it, so each retry started without it: one content under new ids, at two routers in turn,
//! crashed 16 engines in 8 requests, with one digest in all `event=run_cut` lines. Streams
//! that shared an engine were not the cause: each was at one or two crashes, and none came
//! again.

use crate::rig::{API_KEY, CallerAnswer, Rig};
use crate::run_async;
use deckwind_fakes::{ENDS_ITS_TARGET, FakeTargetServer};
use deckwind_testkit::{Layout, eventually_async};
use http::StatusCode;
use std::time::Duration;
use yare::parameterized;

/// Number of requests with one content, each under its own id.
const REQUESTS: usize = 8;

/// Number of targets that one content may crash.
const MAX_CRASHES: u32 = 3;

/// Starts a control replica, two routers and the targets. The retry budget is large enough
/// for each request to be sent to a second target.
async fn rig(plain: usize, engines: usize) -> Rig {
    let mut layout = Layout::new(1, 2).expect("a layout");
    layout.retry_budget = (4.0, 200);
    let mut rig = Rig::start_with(layout, plain, engines).await;
    rig.wait_until_in_force().await;
    rig
}

fn crashes(targets: &[FakeTargetServer]) -> u32 {
    targets
        .iter()
        .map(FakeTargetServer::crashes_by_request)
        .sum()
}

/// Waits until both routers serve a request, so that a refusal for want of a target is not
/// mistaken for a quarantine.
async fn wait_until_both_serve(rig: &Rig, path: &str, tokens: bool) {
    for router in 0..2 {
        eventually_async("the router serves", || async {
            let response = rig
                .ask_router(router, "warm-up", path, API_KEY, tokens, None)
                .await;
            (response.status == StatusCode::OK && response.body.is_ok()).then_some(())
        })
        .await;
    }
}

/// Pause of a caller before it retries. Learning of a crash takes a probe of the target, a
/// log entry and a reply to each router: 30 ms on an idle cluster, more while other tests
/// run.
const PAUSE: Duration = Duration::from_millis(400);

/// Sends one content repeatedly, at both routers in turn, and returns the last response.
async fn send_repeatedly(rig: &Rig, route: &str, tokens: bool, pause: Duration) -> CallerAnswer {
    let path = format!("{route}1{ENDS_ITS_TARGET}");
    let other = format!("{route}x");
    let mut last_response = None;
    for i in 0..REQUESTS {
        tokio::time::sleep(pause).await;
        wait_until_both_serve(rig, &other, tokens).await;
        let id = format!("r{i}");
        last_response = Some(
            rig.ask_router(i % 2, &id, &path, API_KEY, tokens, None)
                .await,
        );
    }
    last_response.expect("at least one request was sent")
}

/// Covers streams over chains of engines, and requests that a single target answers.
#[parameterized(
    streams = { "/stream/", true, 0, 8 },
    repeatable = { "/safe/", false, 6, 0 },
    at_most_once = { "/once/", false, 6, 0 },
    not_resumable = { "/tell/", true, 6, 0 },
)]
fn a_content_that_ends_its_targets_ends_three_of_them(
    route: &str,
    tokens: bool,
    plain: usize,
    engines: usize,
) {
    let route = route.to_string();
    run_async(async move {
        let rig = rig(plain, engines).await;
        let response = send_repeatedly(&rig, &route, tokens, PAUSE).await;
        assert_eq!(crashes(&rig.plain) + crashes(&rig.engines), MAX_CRASHES);
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        let after = response
            .headers
            .get("retry-after")
            .expect("a retry-after header");
        let after: f64 = after.to_str().expect("text").parse().expect("seconds");
        assert!(after > 60.0, "retry-after is too short: {after} s");
        wait_until_both_serve(&rig, &format!("{route}x"), tokens).await;
        rig.cluster.close().await.expect("closed");
    });
}

/// Without a pause, one router sends before it can know of a crash at the other. Once the
/// crashes are known nothing more is sent, however many requests come.
#[parameterized(
    streams = { "/stream/", true, 0, 8 },
    repeatable = { "/safe/", false, 6, 0 },
)]
fn tries_without_a_pause_end_nobody_once_the_ends_are_known(
    route: &str,
    tokens: bool,
    plain: usize,
    engines: usize,
) {
    let route = route.to_string();
    run_async(async move {
        let rig = rig(plain, engines).await;
        send_repeatedly(&rig, &route, tokens, Duration::ZERO).await;
        tokio::time::sleep(PAUSE).await;
        let known_crashes = crashes(&rig.plain) + crashes(&rig.engines);
        assert!(known_crashes >= MAX_CRASHES);
        let response = send_repeatedly(&rig, &route, tokens, Duration::ZERO).await;
        assert_eq!(crashes(&rig.plain) + crashes(&rig.engines), known_crashes);
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        rig.cluster.close().await.expect("closed");
    });
}

/// Crashes under one content do not count against another of the same route and account.
#[test]
fn each_content_counts_for_itself() {
    run_async(async {
        let rig = rig(6, 0).await;
        send_repeatedly(&rig, "/safe/", false, PAUSE).await;
        let before = crashes(&rig.plain);
        let path = format!("/safe/2{ENDS_ITS_TARGET}");
        wait_until_both_serve(&rig, "/safe/x", false).await;
        rig.ask("another", &path, API_KEY, false).await;
        assert!(
            crashes(&rig.plain) > before,
            "it was refused because of the first content"
        );
        rig.cluster.close().await.expect("closed");
    });
}

/// Targets restart for reasons of their own. Their requests are served by other targets,
/// and the same content is served again each time, however often that happens.
#[test]
fn a_content_whose_targets_end_by_themselves_is_served() {
    run_async(async {
        let rig = rig(0, 8).await;
        for i in 0..5 {
            wait_until_both_serve(&rig, "/stream/x", true).await;
            let restart = async {
                let id = format!("r{i}");
                let engine = eventually_async("the request has arrived at an engine", || async {
                    let mut all = rig.engines.iter();
                    all.find(|e| {
                        e.received_requests()
                            .iter()
                            .any(|r| deckwind_fakes::request_id(r) == id)
                    })
                })
                .await;
                tokio::time::sleep(Duration::from_millis(30)).await;
                engine.restart();
            };
            let id = format!("r{i}");
            let request = rig.ask_router(i % 2, &id, "/stream/x", API_KEY, true, None);
            tokio::join!(request, restart);
        }
        wait_until_both_serve(&rig, "/stream/x", true).await;
        rig.cluster.close().await.expect("closed");
    });
}
