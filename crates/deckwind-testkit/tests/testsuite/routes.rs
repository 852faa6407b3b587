//! Published routes: real daemons with fake targets.

use crate::rig::{API_KEY, Rig, data_centre_of, post};
use crate::run_async;
use bytes::Bytes;
use deckwind_core::state::InstanceState;
use deckwind_fakes::{
    EVENTS_PER_STREAM, FakeTargetFault, FakeTargetServer, release_document, request_id,
};
use deckwind_testkit::{Layout, eventually_async};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use std::time::{Duration, Instant};
use yare::parameterized;

#[test]
fn a_request_reaches_a_target_of_its_route_unchanged_but_for_our_headers() {
    run_async(async {
        let rig = Rig::start(1, 0).await;
        rig.wait_until_served("/safe/x", false).await;
        let answer = rig.ask("r1", "/safe/a?b=c", API_KEY, false).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.body.as_deref(), Ok("answer to r1"));
        assert_eq!(answer.headers["x-deckwind-response-seal"], "s");
        let seen = rig.plain[0].received_requests();
        let seen = seen
            .iter()
            .find(|r| r.headers["x-deckwind-request-id"] == "r1");
        let seen = seen.expect("the request arrived");
        assert_eq!(seen.line, "POST /safe/a?b=c");
        assert_eq!(seen.body, b"body");
        assert_eq!(seen.headers["x-deckwind-tenant"], "account");
        assert_eq!(seen.headers["x-deckwind-expect-instance"], "p-0");
        assert!(!seen.headers.contains_key("authorization"));
        let left: u64 = seen.headers["x-deckwind-deadline-ms"].parse().expect("ms");
        assert!((2_000..=3_000).contains(&left), "{left} ms left");
        rig.cluster.close().await.expect("closed");
    });
}

#[parameterized(
    fails_safe = { FakeTargetFault::Fails, "/safe/x", 200, 2 },
    fails_once = { FakeTargetFault::Fails, "/once/x", 500, 1 },
    cuts_safe = { FakeTargetFault::ClosesMidAnswer, "/safe/x", 200, 2 },
    cuts_once = { FakeTargetFault::ClosesMidAnswer, "/once/x", 502, 1 },
    mute_safe = { FakeTargetFault::NeverAnswers, "/safe/x", 200, 2 },
    mute_once = { FakeTargetFault::NeverAnswers, "/once/x", 504, 1 },
    other_id_safe = { FakeTargetFault::OtherId, "/safe/x", 200, 2 },
    other_id_once = { FakeTargetFault::OtherId, "/once/x", 502, 1 },
    unsigned_safe = { FakeTargetFault::Unsigned, "/safe/x", 200, 2 },
    unsigned_once = { FakeTargetFault::Unsigned, "/once/x", 502, 1 },
    refuses_safe = { FakeTargetFault::Refuses { at_fault: None }, "/safe/x", 200, 2 },
    refuses_once = { FakeTargetFault::Refuses { at_fault: None }, "/once/x", 503, 1 },
    unframed_once = { FakeTargetFault::Unframed, "/once/x", 200, 1 },
    extra_once = { FakeTargetFault::SecondAnswer, "/once/x", 200, 1 },
)]
fn a_faulty_target_s_request_is_retried_where_the_route_allows_it(
    fault: FakeTargetFault,
    path: &str,
    status: u16,
    sends: usize,
) {
    run_async(async move {
        let mut rig = Rig::start(1, 0).await;
        rig.wait_until_served(path, false).await;
        // The second target is idle, and its data centre is as near: the router sends to
        // a random one of the two first.
        let server = FakeTargetServer::start("p-1").await.expect("a target");
        rig.plain.push(server);
        rig.announce("plain", "p", 1, "ready").await;
        rig.wait_until_in_force().await;
        rig.plain[0].set_fault(fault);
        let mut faulty_first = 0;
        for i in 0..40 {
            let id = format!("r{i}");
            let answer = rig.ask(&id, path, API_KEY, false).await;
            let first = rig.plain[0].received_requests();
            if !first
                .iter()
                .any(|r| r.headers["x-deckwind-request-id"] == id)
            {
                assert_eq!(answer.status, StatusCode::OK, "the healthy target answers");
                continue;
            }
            faulty_first += 1;
            assert_eq!(answer.status.as_u16(), status);
            assert_eq!(rig.send_count(&id), sends);
            if status == 200 {
                assert_eq!(answer.body, Ok(format!("answer to {id}")));
            }
            if status == 503 {
                assert!(answer.headers.contains_key("retry-after"));
            }
            if faulty_first >= 3 {
                break;
            }
        }
        assert!(
            faulty_first > 0,
            "the faulty target received at least one request"
        );
        rig.cluster.close().await.expect("closed");
    });
}

#[test]
fn a_request_that_ran_is_not_refused_as_not_run_when_its_repeat_is() {
    run_async(async {
        let rig = Rig::start(2, 0).await;
        rig.wait_until_served("/safe/x", false).await;
        rig.plain[0].set_fault(FakeTargetFault::Fails);
        rig.plain[1].set_fault(FakeTargetFault::Refuses { at_fault: None });
        for i in 0..12 {
            let answer = rig.ask(&format!("r{i}"), "/safe/x", API_KEY, false).await;
            assert_eq!(answer.status.as_u16(), 500, "request r{i}");
        }
        rig.cluster.close().await.expect("closed");
    });
}

#[parameterized(
    no_route = { "/none/x", API_KEY, 404 },
    wrong_key = { "/safe/x", "another", 401 },
    no_target = { "/safe/x", API_KEY, 503 },
)]
fn a_request_that_can_not_be_sent_is_refused_at_once(path: &str, key: &str, status: u16) {
    run_async(async move {
        let rig = Rig::start(0, 0).await;
        let started = Instant::now();
        let answer = rig.ask("r1", path, key, false).await;
        assert_eq!(answer.status.as_u16(), status);
        assert!(started.elapsed() < Duration::from_secs(1));
        assert_eq!(answer.headers.contains_key("retry-after"), status == 503);
        rig.cluster.close().await.expect("closed");
    });
}

#[test]
fn a_key_that_was_taken_away_no_longer_runs() {
    run_async(async {
        let rig = Rig::start(1, 0).await;
        rig.wait_until_served("/once/x", false).await;
        assert_eq!(rig.publish(5, &["a-new-key"]).await, StatusCode::OK);
        eventually_async("the key is no longer valid", || async {
            let answer = rig.ask("r1", "/once/x", API_KEY, false).await;
            (answer.status == StatusCode::UNAUTHORIZED).then_some(())
        })
        .await;
        // An older release is acknowledged and changes nothing.
        assert_eq!(rig.publish(4, &[API_KEY]).await, StatusCode::OK);
        let answer = rig.ask("r2", "/once/x", API_KEY, false).await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
        rig.cluster.close().await.expect("closed");
    });
}

#[test]
fn a_draining_target_gets_nothing_new_once_that_is_acknowledged() {
    run_async(async {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_served("/safe/x", false).await;
        rig.announce("plain", "p", 0, "draining").await;
        eventually_async("only the other target receives requests", || async {
            let before = rig.plain[0].received_requests().len();
            for i in 0..12 {
                rig.ask(&format!("r{i}"), "/safe/x", API_KEY, false).await;
            }
            (rig.plain[0].received_requests().len() == before).then_some(())
        })
        .await;
        // A late announcement from before does not make the target ready again.
        let late = rig.plain[0].announcement("plain", data_centre_of(0), "ready", 1);
        let path = "/v1/instances/p-0/heartbeat";
        assert_eq!(post(rig.control(), path, &late).await, StatusCode::OK);
        let before = rig.plain[0].received_requests().len();
        for i in 0..12 {
            rig.ask(&format!("s{i}"), "/safe/x", API_KEY, false).await;
        }
        assert_eq!(rig.plain[0].received_requests().len(), before);
        rig.cluster.close().await.expect("closed");
    });
}

fn whole_stream() -> String {
    let event = |i| format!("id: {i}\ndata: token {i}\n\n");
    (1..=EVENTS_PER_STREAM).map(event).collect()
}

/// Starts two engines in each of two data centres, and waits until each data centre has a
/// whole chain.
pub async fn placed() -> Rig {
    placed_with(Layout::new(1, 1).expect("a layout")).await
}

async fn placed_with(layout: Layout) -> Rig {
    let mut rig = Rig::start_with(layout, 0, 4).await;
    eventually_async("the layers are placed", || {
        let held: u32 = rig
            .engines
            .iter()
            .map(|e| e.layers().1 - e.layers().0)
            .sum();
        async move { (held >= 8).then_some(()) }
    })
    .await;
    for i in 0..4 {
        rig.announce("engines", "e", i, "ready").await;
    }
    rig.wait_until_in_force().await;
    eventually_async("the router knows the layers of both data centres", || {
        let router = rig.cluster.router(0).router().expect("a router");
        let instances = router.shared().routes.instances();
        let ready = instances.iter().filter(|i| i.state == InstanceState::Ready);
        let held: u32 = ready.map(|i| i.layers.len()).sum();
        async move { (held >= 8).then_some(()) }
    })
    .await;
    rig.wait_until_served("/stream/x", true).await;
    rig
}

#[test]
fn layers_are_placed_and_a_stream_takes_a_path_over_all_of_them() {
    run_async(async {
        let rig = placed().await;
        let answer = rig.ask("r1", "/stream/x", API_KEY, true).await;
        assert_eq!(answer.body, Ok(whole_stream()));
        let seen = rig
            .engines
            .iter()
            .flat_map(FakeTargetServer::received_requests);
        let seen: Vec<_> = seen
            .filter(|r| r.headers["x-deckwind-request-id"] == "r1")
            .collect();
        assert_eq!(seen.len(), 1, "engines forward to each other");
        let mut next = 0;
        for stage in seen[0].headers["path"].split(',') {
            let (address, layers) = stage.split_once('=').expect("layers");
            let own_engines = [0, 2].map(|i: usize| rig.engines[i].address.to_string());
            assert!(
                own_engines.contains(&address.to_string()),
                "the path stays in its data centre"
            );
            let (from, to) = layers.split_once('-').expect("a range");
            assert_eq!(from.parse(), Ok(next));
            next = to.parse::<u32>().expect("a layer");
        }
        assert_eq!(next, 4);
        rig.cluster.close().await.expect("closed");
    });
}

#[test]
fn an_order_that_is_not_answered_is_given_again_and_done_once() {
    run_async(async {
        let mut rig = Rig::start(0, 0).await;
        for i in 0..4 {
            let server = FakeTargetServer::start(&format!("e-{i}")).await;
            let server = server.expect("an engine");
            server.set_fault(FakeTargetFault::DelaysOrders);
            rig.engines.push(server);
            rig.announce("engines", "e", i, "ready").await;
        }
        eventually_async("the layers are placed", || {
            let held: u32 = rig
                .engines
                .iter()
                .map(|e| e.layers().1 - e.layers().0)
                .sum();
            async move { (held >= 8).then_some(()) }
        })
        .await;
        let orders: Vec<u64> = rig.engines.iter().map(FakeTargetServer::orders).collect();
        assert_eq!(orders, [1; 4], "the late order was refused by its number");
        rig.cluster.close().await.expect("closed");
    });
}

#[derive(Clone, Copy)]
enum StreamFault {
    Cuts(u64),
    Stalls(u64),
    Refuses,
}

#[parameterized(
    cut = { StreamFault::Cuts(5), 1, 2 },
    cut_before_the_first = { StreamFault::Cuts(0), 1, 2 },
    cut_before_the_last = { StreamFault::Cuts(EVENTS_PER_STREAM - 1), 1, 2 },
    stalled = { StreamFault::Stalls(4), 1, 2 },
    stalled_before_the_first = { StreamFault::Stalls(0), 1, 2 },
    refused = { StreamFault::Refuses, 1, 2 },
    taken_up_by_the_caller = { StreamFault::Cuts(9), 7, 2 },
)]
fn a_stream_goes_on_in_another_data_centre(fault: StreamFault, first: u64, sends: usize) {
    run_async(async move {
        let rig = placed().await;
        for i in [0, 2] {
            let engine = &rig.engines[i];
            engine.set_fault(match fault {
                StreamFault::Cuts(event) => FakeTargetFault::BreaksStreamAfter(event),
                StreamFault::Refuses => FakeTargetFault::Refuses { at_fault: None },
                StreamFault::Stalls(event) => FakeTargetFault::StallsAfter {
                    event,
                    stage: engine.address,
                },
            });
        }
        let last = (first > 1).then(|| first - 1);
        let answer = rig
            .ask_resuming("r1", "/stream/x", API_KEY, true, last)
            .await;
        assert_eq!(answer.status, StatusCode::OK);
        let event = |i| format!("id: {i}\ndata: token {i}\n\n");
        let want: String = (first..=EVENTS_PER_STREAM).map(event).collect();
        assert_eq!(answer.body, Ok(want));
        assert_eq!(rig.send_count("r1"), sends);
        rig.cluster.close().await.expect("closed");
    });
}

/// `at_home` is the fault of the engines in the router's own data centre, which get the
/// request first.
#[parameterized(
    may_have_run = { FakeTargetFault::ClosesMidAnswer, 502 },
    has_not_run = { FakeTargetFault::Refuses { at_fault: None }, 503 },
)]
fn only_a_stream_that_has_not_run_is_refused_as_not_run(at_home: FakeTargetFault, status: u16) {
    run_async(async move {
        let rig = placed().await;
        for (i, engine) in rig.engines.iter().enumerate() {
            engine.set_fault(match i % 2 {
                0 => at_home.clone(),
                _ => FakeTargetFault::Refuses { at_fault: None },
            });
        }
        let answer = rig.ask("r1", "/stream/x", API_KEY, true).await;
        let at_home = rig
            .engines
            .iter()
            .step_by(2)
            .flat_map(FakeTargetServer::received_requests);
        let mut at_home = at_home.map(|r| request_id(&r));
        assert!(
            at_home.any(|id| id == "r1"),
            "it was sent to the own data centre first"
        );
        assert_eq!(answer.status.as_u16(), status);
        assert_eq!(answer.headers.contains_key("retry-after"), status == 503);
        rig.cluster.close().await.expect("closed");
    });
}

/// The target of a stalled stream may still go on. A router that left it without another
/// target would break the stream off itself.
#[test]
fn a_stream_that_stands_still_keeps_its_target_while_no_other_takes_it() {
    run_async(async {
        let rig = placed().await;
        for (i, engine) in rig.engines.iter().enumerate() {
            engine.set_fault(match i % 2 {
                0 => FakeTargetFault::StallsAfter {
                    event: 4,
                    stage: engine.address,
                },
                _ => FakeTargetFault::Refuses { at_fault: None },
            });
        }
        let resume = async {
            eventually_async("another target has refused the stream", || async {
                let away = rig.engines.iter().skip(1).step_by(2);
                let mut seen = away.flat_map(FakeTargetServer::received_requests);
                let arrived = seen.any(|r| r.headers["x-deckwind-request-id"] == "r1");
                arrived.then_some(())
            })
            .await;
            for engine in rig.engines.iter().step_by(2) {
                engine.set_fault(FakeTargetFault::None);
            }
        };
        let (answer, ()) = tokio::join!(rig.ask("r1", "/stream/x", API_KEY, true), resume);
        assert_eq!(answer.body, Ok(whole_stream()));
        let at_home = rig
            .engines
            .iter()
            .step_by(2)
            .flat_map(FakeTargetServer::received_requests);
        let sent = at_home.filter(|r| r.headers["x-deckwind-request-id"] == "r1");
        assert_eq!(sent.count(), 1, "the stream stayed at its first target");
        rig.cluster.close().await.expect("closed");
    });
}

/// A stream stalled, another target refused it, and then the first target broke it off
/// without crashing. The incarnation of the refusing target was mistaken for that of the
/// first one, so the first target seemed to have crashed, and a third target ran the
/// request where the route allows two.
#[test]
fn a_refusal_does_not_make_the_target_before_it_look_ended() {
    run_async(async {
        let rig = placed().await;
        let home = || rig.engines.iter().step_by(2);
        let away = || rig.engines.iter().skip(1).step_by(2);
        for engine in home() {
            engine.set_fault(FakeTargetFault::StallsAfter {
                event: 4,
                stage: engine.address,
            });
        }
        away().for_each(|e| e.set_fault(FakeTargetFault::Refuses { at_fault: None }));
        let break_streams = async {
            eventually_async("another target has refused the stream", || async {
                let mut seen = away().flat_map(FakeTargetServer::received_requests);
                let arrived = seen.any(|r| r.headers["x-deckwind-request-id"] == "r1");
                arrived.then_some(())
            })
            .await;
            away().for_each(|e| e.set_fault(FakeTargetFault::BreaksStreamAfter(8)));
            home().for_each(|e| e.set_fault(FakeTargetFault::BreaksStreamAfter(9)));
            home().for_each(FakeTargetServer::close_connections);
        };
        let (answer, ()) = tokio::join!(rig.ask("r1", "/stream/x", API_KEY, true), break_streams);
        assert!(answer.body.is_err(), "broke off: {:?}", answer.body);
        let runs: usize = rig.engines.iter().map(|e| e.runs("r1")).sum();
        assert_eq!(runs, 2, "no more than the route allows");
        rig.cluster.close().await.expect("closed");
    });
}

#[test]
fn a_stream_that_has_not_begun_keeps_its_target_while_no_repeat_is_left() {
    run_async(async {
        let mut layout = Layout::new(1, 1).expect("a layout");
        layout.retry_budget = (0.0, 0);
        let rig = placed_with(layout).await;
        for engine in rig.engines.iter().step_by(2) {
            engine.set_fault(FakeTargetFault::StallsAfter {
                event: 0,
                stage: engine.address,
            });
        }
        let reports = || {
            rig.engines
                .iter()
                .map(FakeTargetServer::reports)
                .sum::<u32>()
        };
        let before = reports();
        let resume = async {
            eventually_async("the router has probed the stalled stream", || async {
                (reports() >= before + 4).then_some(())
            })
            .await;
            for engine in &rig.engines {
                engine.set_fault(FakeTargetFault::None);
            }
        };
        let (answer, ()) = tokio::join!(rig.ask("r1", "/stream/x", API_KEY, true), resume);
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.body, Ok(whole_stream()));
        assert_eq!(rig.send_count("r1"), 1);
        rig.cluster.close().await.expect("closed");
    });
}

/// A stream that is admitted late would outlast the router process and be interrupted.
#[test]
fn a_router_that_stops_lets_no_streams_in_before_it_refuses_the_rest() {
    run_async(async {
        let mut rig = placed().await;
        let server = FakeTargetServer::start("p-0").await.expect("a target");
        rig.plain.push(server);
        rig.announce("plain", "p", 0, "ready").await;
        rig.wait_until_served("/once/x", false).await;
        let router = rig.cluster.take_router(0);
        let stopping = tokio::spawn(router.close());
        let before = rig.ask("r1", "/stream/x", API_KEY, true).await;
        assert_eq!(
            before.body,
            Ok(whole_stream()),
            "streams are still admitted at first"
        );
        let refused = eventually_async("streams are refused", || async {
            let answer = rig.ask("late", "/stream/x", API_KEY, true).await;
            (answer.status != StatusCode::OK).then_some(answer)
        })
        .await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(refused.body.as_deref(), Ok("stopping\n"));
        assert!(refused.headers.contains_key("retry-after"));
        let plain = rig.ask("r2", "/once/x", API_KEY, false).await;
        assert_eq!(plain.status, StatusCode::OK, "short requests still run");
        stopping.await.expect("no panic").expect("closed");
        rig.cluster.close().await.expect("closed");
    });
}

#[test]
fn a_stream_that_nobody_can_take_up_does_not_look_whole() {
    run_async(async {
        let rig = placed().await;
        for engine in &rig.engines {
            engine.set_fault(FakeTargetFault::BreaksStreamAfter(5));
        }
        let answer = rig.ask("r1", "/stream/x", API_KEY, true).await;
        assert!(answer.body.is_err(), "broke off: {:?}", answer.body);
        assert_eq!(rig.send_count("r1"), 2, "no more than the route allows");
        rig.cluster.close().await.expect("closed");
    });
}

#[parameterized(
    cut_short = { r#"{"version": 9, "routes": ["# },
    unknown_pool = { r#"{"version":9,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"safe","timeoutMs":5,"backend":"none"}],"services":[]}"# },
    no_timeout = { r#"{"version":9,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"safe","timeoutMs":0,"backend":"p"}],"services":[{"name":"p"}]}"# },
    no_weight = { r#"{"version":9,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"safe","timeoutMs":5,"split":[{"backend":"p","weight":0}]}],"services":[{"name":"p"}]}"# },
    shared_key = { r#"{"version":9,"routes":[],"services":[],"tenants":[{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k"]}]}"# },
)]
fn a_bad_release_is_refused_and_changes_nothing(body: &str) {
    let body = body.to_string();
    run_async(async move {
        let rig = Rig::start(1, 0).await;
        rig.wait_until_served("/safe/x", false).await;
        let client = Client::builder(TokioExecutor::new()).build_http();
        let url = format!("http://{}/v1/config/put", rig.control());
        let req = Request::post(url).body(Full::new(Bytes::from(body)));
        let res = client.request(req.expect("a request")).await;
        assert_eq!(res.expect("an answer").status(), StatusCode::BAD_REQUEST);
        let url = format!("http://{}/v1/config/get", rig.control());
        let req = Request::get(url).body(Full::<Bytes>::default());
        let res = client.request(req.expect("a request")).await;
        let body = res.expect("an answer").into_body().collect().await;
        let body = body.expect("a body").to_bytes();
        let current: Value = serde_json::from_slice(&body).expect("JSON");
        assert_eq!(
            current,
            release_document(1, &[API_KEY]),
            "read back as it was sent"
        );
        rig.wait_until_served("/safe/x", false).await;
        rig.cluster.close().await.expect("closed");
    });
}
