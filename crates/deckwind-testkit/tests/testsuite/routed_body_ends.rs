//! Ends of answers that callers get from a router whose targets end their own in other ways, and
//! what the router learns from these.

use crate::body_ends::TIME_TO_READ;
use crate::rig::{API_KEY, Rig};
use crate::run_async;
use deckwind_fakes::{
    ConnectionEnd, ENDS_ITS_TARGET, FakeTargetFault, FakeTargetServer, RawAnswer, StreamEnding,
    StreamFraming,
};
use deckwind_testkit::{Layout, eventually_async};
use http::StatusCode;
use std::time::Duration;
use yare::parameterized;

/// Returns a fault: each request is answered with these bytes. `{own}` stands for the
/// headers of a target's own answer.
fn writes(text: &str, connection: Option<ConnectionEnd>) -> FakeTargetFault {
    let own = "X-Deckwind-Request-Id: {id}\r\nX-Deckwind-Response-Seal: s\r\n";
    let text = format!("HTTP/{}", text.replace("{own}", own));
    FakeTargetFault::Writes(RawAnswer { text, connection })
}

/// An answer as its caller got it: the status, the body if it looks complete, and the number
/// of targets that the request was sent to.
type Received = (u16, Result<String, ()>, usize);

/// Sends one request to two plain targets with this fault.
async fn ask_targets_with(fault: FakeTargetFault, path: &str, is_stream: bool) -> Received {
    let mut rig = Rig::start(2, 0).await;
    rig.wait_until_in_force().await;
    rig.wait_until_served(path, is_stream).await;
    rig.plain.iter().for_each(|p| p.set_fault(fault.clone()));
    let answer = rig.ask("r1", path, API_KEY, is_stream).await;
    let sent = rig.send_count("r1");
    rig.cluster.close().await.expect("closed");
    (answer.status.as_u16(), answer.body.map_err(drop), sent)
}

/// Status of an answer that was broken off, and the number of targets.
fn broken(sent: usize) -> (u16, Option<&'static str>, usize) {
    (502, None, sent)
}

/// Guards against a plain answer that looks complete and is not the target's whole one, and
/// against a whole one that is refused.
#[parameterized(
    without_length = { "1.1 200 OK\r\n{own}\r\nwhole", ConnectionEnd::Close, "/once/x", (200, Some("whole"), 1) },
    without_length_reset = { "1.1 200 OK\r\n{own}\r\nwho", ConnectionEnd::Reset, "/once/x", broken(1) },
    without_length_reset_repeatable = { "1.1 200 OK\r\n{own}\r\nwho", ConnectionEnd::Reset, "/safe/x", broken(2) },
    reset_before_the_body = { "1.1 200 OK\r\n{own}\r\n", ConnectionEnd::Reset, "/once/x", broken(1) },
    old_without_length = { "1.0 200 OK\r\n{own}\r\nwhole", ConnectionEnd::Close, "/once/x", (200, Some("whole"), 1) },
    failure_without_length = { "1.1 500 Failed\r\n{own}\r\nwhole", ConnectionEnd::Close, "/once/x", (500, Some("whole"), 1) },
    failure_without_length_reset = { "1.1 500 Failed\r\n{own}\r\nwho", ConnectionEnd::Reset, "/once/x", broken(1) },
    refusal_without_length = { "1.1 404 Not Found\r\n{own}\r\nwhole", ConnectionEnd::Close, "/safe/x", (404, Some("whole"), 1) },
    refusal_whole = { "1.1 503 Unavailable\r\n{own}X-Deckwind-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nwhole", ConnectionEnd::Close, "/safe/x", (503, None, 2) },
    refusal_cut = { "1.1 503 Unavailable\r\n{own}X-Deckwind-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nwho", ConnectionEnd::Close, "/safe/x", (503, None, 2) },
    refusal_cut_once = { "1.1 503 Unavailable\r\n{own}X-Deckwind-Not-Executed: 1\r\n\r\nwho", ConnectionEnd::Reset, "/once/x", (503, None, 1) },
    chunks_cut = { "1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", ConnectionEnd::Close, "/once/x", broken(1) },
    head_cut = { "1.1 200 OK\r\n{own}Content-Len", ConnectionEnd::Close, "/once/x", broken(1) },
    head_cut_repeatable = { "1.1 200 OK\r\n{own}Content-Len", ConnectionEnd::Close, "/safe/x", broken(2) },
    length_below_the_chunks = { "1.1 200 OK\r\n{own}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", ConnectionEnd::Close, "/once/x", (200, Some("whole"), 1) },
    length_above_the_chunks = { "1.1 200 OK\r\n{own}Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", ConnectionEnd::Close, "/once/x", (200, Some("whole"), 1) },
    not_modified = { "1.1 304 Not Modified\r\n{own}Content-Length: 5\r\n\r\n", ConnectionEnd::Close, "/once/x", (304, Some(""), 1) },
    trailers = { "1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-T: 1\r\n\r\n", ConnectionEnd::Close, "/once/x", (200, Some("whole"), 1) },
    coded = { "1.1 200 OK\r\n{own}Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", ConnectionEnd::Close, "/once/x", broken(1) },
    content_coded = { "1.1 200 OK\r\n{own}Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nwhole", ConnectionEnd::Close, "/once/x", broken(1) },
    switch_of_protocols = { "1.1 101 Switching Protocols\r\n{own}Connection: upgrade\r\nUpgrade: x\r\n\r\n", ConnectionEnd::Close, "/once/x", broken(1) },
    switch_of_protocols_repeatable = { "1.1 101 Switching Protocols\r\n{own}Connection: upgrade\r\nUpgrade: x\r\n\r\n", ConnectionEnd::Close, "/safe/x", broken(2) },
)]
fn a_plain_answer_looks_complete_only_if_it_is(
    answer: &str,
    connection: ConnectionEnd,
    path: &str,
    expected: (u16, Option<&str>, usize),
) {
    let fault = writes(answer, Some(connection));
    let path = path.to_string();
    let (status, body, sent) = expected;
    let expected = (status, body.map(str::to_string), sent);
    run_async(async move {
        let (status, body, sent) = ask_targets_with(fault, &path, false).await;
        // The body of a router's own failure is not compared.
        let body = body.ok().filter(|_| expected.1.is_some());
        assert_eq!((status, body, sent), expected);
    });
}

/// Guards against the same for answers on routes of streams: some are no streams.
#[parameterized(
    failure_without_length = { "1.1 500 Failed\r\n{own}\r\nwhole", ConnectionEnd::Close, (500, Some("whole"), 1) },
    failure_without_length_reset = { "1.1 500 Failed\r\n{own}\r\nwho", ConnectionEnd::Reset, broken(1) },
    failure_cut = { "1.1 500 Failed\r\n{own}Content-Length: 5\r\n\r\nwho", ConnectionEnd::Close, broken(1) },
    head_cut = { "1.1 200 OK\r\n{own}Content-Ty", ConnectionEnd::Close, broken(1) },
    content_coded = { "1.1 200 OK\r\n{own}Content-Encoding: gzip\r\n\r\ndata: 1\n\n", ConnectionEnd::Close, broken(1) },
    coded = { "1.1 200 OK\r\n{own}Transfer-Encoding: gzip, chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n", ConnectionEnd::Close, (200, None, 1) },
    trailers = { "1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\nX-T: 1\r\n\r\n", ConnectionEnd::Close, (200, Some("data: 1\n\n"), 1) },
    length = { "1.1 200 OK\r\n{own}Content-Length: 9\r\n\r\ndata: 1\n\n", ConnectionEnd::Close, (200, Some("data: 1\n\n"), 1) },
    length_above_the_chunks = { "1.1 200 OK\r\n{own}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n", ConnectionEnd::Close, (200, Some("data: 1\n\n"), 1) },
    switch_of_protocols = { "1.1 101 Switching Protocols\r\n{own}Connection: upgrade\r\nUpgrade: x\r\n\r\n", ConnectionEnd::Close, broken(1) },
    no_content = { "1.1 204 No Content\r\n{own}\r\n", ConnectionEnd::Close, (204, Some(""), 1) },
    no_event = { "1.1 200 OK\r\n{own}Content-Length: 0\r\n\r\n", ConnectionEnd::Close, (200, Some(""), 1) },
)]
fn an_answer_on_a_stream_route_looks_complete_only_if_it_is(
    answer: &str,
    connection: ConnectionEnd,
    expected: (u16, Option<&str>, usize),
) {
    let fault = writes(answer, Some(connection));
    let (status, body, sent) = expected;
    let expected = (status, body.map(str::to_string), sent);
    run_async(async move {
        let (status, body, sent) = ask_targets_with(fault, "/tell/x", true).await;
        if status == 200 {
            assert_eq!(body.is_ok(), expected.1.is_some(), "{body:?}");
        }
        let body = body.ok().filter(|_| expected.1.is_some());
        assert_eq!((status, body, sent), expected);
    });
}

/// Number of requests, each sent after the connection of the one before it has closed.
const REQUESTS_IN_TURN: usize = 5;

/// Guards against a request that is lost on a connection that has ended with the answer
/// before it: requests that run at most once are not sent again.
#[parameterized(
    length = { "1.1 200 OK\r\n{own}Content-Length: 5\r\n\r\nwhole" },
    length_in_old_version = { "1.0 200 OK\r\n{own}Content-Length: 5\r\n\r\nwhole" },
    chunked = { "1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" },
    without_length = { "1.1 200 OK\r\n{own}\r\nwhole" },
    without_length_kept_alive = { "1.1 200 OK\r\n{own}Connection: keep-alive\r\nKeep-Alive: timeout=60\r\n\r\nwhole" },
)]
fn a_connection_that_ended_with_its_answer_is_not_used_again(answer: &str) {
    let fault = writes(answer, Some(ConnectionEnd::Close));
    run_async(async move {
        let mut rig = Rig::start(1, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served("/once/x", false).await;
        rig.plain[0].set_fault(fault);
        for i in 0..REQUESTS_IN_TURN {
            let answer = rig.ask(&format!("r{i}"), "/once/x", API_KEY, false).await;
            let received = (answer.status.as_u16(), answer.body.as_deref());
            assert_eq!(received, (200, Ok("whole")), "request {i}");
            tokio::time::sleep(TIME_TO_READ).await;
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// Maximum time until an answer: the timeout of the route, and half a second.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(3_500);

/// Guards against a caller that waits without an end for an answer that has begun and stands
/// still.
#[parameterized(
    plain = { "/once/x", false, "1.1 200 OK\r\n{own}Content-Length: 5\r\n\r\nwho" },
    plain_without_length = { "/once/x", false, "1.1 200 OK\r\n{own}\r\nwho" },
    plain_failure = { "/once/x", false, "1.1 500 Failed\r\n{own}Content-Length: 5\r\n\r\nwho" },
    no_stream = { "/tell/x", true, "1.1 500 Failed\r\n{own}Content-Length: 5\r\n\r\nwho" },
    no_stream_without_length = { "/tell/x", true, "1.1 500 Failed\r\n{own}\r\nwho" },
)]
fn an_answer_that_stands_still_is_given_up(path: &str, is_stream: bool, answer: &str) {
    let fault = writes(answer, None);
    let path = path.to_string();
    run_async(async move {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served(&path, is_stream).await;
        rig.plain.iter().for_each(|p| p.set_fault(fault.clone()));
        let asking = rig.ask("r1", &path, API_KEY, is_stream);
        let answer = tokio::time::timeout(MAX_ANSWER_TIME, asking).await;
        let answer = answer.expect("an answer by the deadline");
        assert_eq!((answer.status.as_u16(), rig.send_count("r1")), (504, 1));
        rig.cluster.close().await.expect("closed");
    });
}

/// Positions in a stream at which its target crashes.
const BEFORE_FIRST_EVENT: usize = 0;
const INSIDE_FIRST_EVENT: usize = 5;
const AFTER_FIRST_EVENT: usize = "id: 1\ndata: token 1\n\n".len();
const INSIDE_SECOND_EVENT: usize = 30;

/// Number of targets that one content may crash.
const MAX_CRASHES: u32 = 3;

/// Number of requests with one content.
const REQUESTS: usize = 8;

/// Pause of a caller, in which the routers learn of a crash.
const PAUSE: Duration = Duration::from_millis(400);

async fn wait_until_both_serve(rig: &Rig, path: &str) {
    for router in 0..2 {
        eventually_async("the router serves", || async {
            let answer = rig.ask_router(router, "warm-up", path, API_KEY, true, None);
            let answer = answer.await;
            (answer.status == 200 && answer.body.is_ok()).then_some(())
        })
        .await;
    }
}

/// Guards against a content that crashes each of its targets and is not found out: a target
/// that crashed closes a stream without a length or chunks like one that has served it.
#[parameterized(
    before_the_first_event = { "/tell/", 6, 0, BEFORE_FIRST_EVENT },
    inside_the_first_event = { "/tell/", 6, 0, INSIDE_FIRST_EVENT },
    inside_the_second_event = { "/tell/", 6, 0, INSIDE_SECOND_EVENT },
    before_the_first_event_resumable = { "/stream/", 0, 8, BEFORE_FIRST_EVENT },
    inside_the_second_event_resumable = { "/stream/", 0, 8, INSIDE_SECOND_EVENT },
)]
fn a_content_is_quarantined_whose_targets_close_unframed_streams(
    route: &str,
    plain: usize,
    engines: usize,
    broken_after: usize,
) {
    let route = route.to_string();
    run_async(async move {
        let crashes = crash_targets(&route, plain, engines, |_| broken_after).await;
        assert_eq!(crashes, (MAX_CRASHES, StatusCode::SERVICE_UNAVAILABLE));
    });
}

/// Guards against crashes that are forgotten because another target, which crashed on the
/// same content, happened to close its stream between two events: that does not show that
/// the content was served.
#[test]
fn a_stream_that_ends_early_between_two_events_clears_no_content() {
    let broken_after = |request: usize| match request % 2 {
        0 => AFTER_FIRST_EVENT,
        _ => BEFORE_FIRST_EVENT,
    };
    run_async(async move {
        let crashes = crash_targets("/tell/", 6, 0, broken_after).await;
        let expected = (2 * MAX_CRASHES, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(crashes, expected);
    });
}

/// Sends one content repeatedly, at two routers in turn, to targets that crash on it after
/// some bytes of an unframed stream. Returns the number of crashes and the last status.
async fn crash_targets(
    route: &str,
    plain: usize,
    engines: usize,
    broken_after: impl Fn(usize) -> usize,
) -> (u32, StatusCode) {
    let (path, other) = (format!("{route}1{ENDS_ITS_TARGET}"), format!("{route}x"));
    let mut layout = Layout::new(1, 2).expect("a layout");
    layout.retry_budget = (4.0, 200);
    let mut rig = Rig::start_with(layout, plain, engines).await;
    rig.wait_until_in_force().await;
    let mut last_status = StatusCode::OK;
    for i in 0..REQUESTS {
        tokio::time::sleep(PAUSE).await;
        wait_until_both_serve(&rig, &other).await;
        let fault = FakeTargetFault::EndsStream(StreamEnding {
            framing: StreamFraming::Connection,
            broken_after: Some(broken_after(i)),
            connection: ConnectionEnd::Close,
        });
        rig.targets().for_each(|t| t.set_fault(fault.clone()));
        let id = format!("r{i}");
        let answer = rig.ask_router(i % 2, &id, &path, API_KEY, true, None);
        let answer = answer.await;
        let healthy = FakeTargetFault::None;
        rig.targets().for_each(|t| t.set_fault(healthy.clone()));
        last_status = answer.status;
        let is_cut = broken_after(i) != AFTER_FIRST_EVENT;
        let looks_complete = last_status == StatusCode::OK && answer.body.is_ok();
        assert!(!(is_cut && looks_complete), "{:?}", answer.body);
    }
    let crashes = rig.targets().map(FakeTargetServer::crashes_by_request);
    let crashes = crashes.sum();
    rig.cluster.close().await.expect("closed");
    (crashes, last_status)
}
