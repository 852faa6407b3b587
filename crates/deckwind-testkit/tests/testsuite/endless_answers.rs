//! Bytes without end that are no answer: a router reads a bounded number of them, closes the
//! connection, and judges the request as one whose answer broke off.

use crate::answer_ends::ends;
use crate::answer_heads::stream_call;
use crate::rig::{API_KEY, CallerAnswer, Rig};
use crate::routes::placed;
use crate::run_async;
use bytes::Bytes;
use deckwind_core::routes::BodyEnd;
use deckwind_fakes::{
    ConnectionEnd, EndlessAnswer, FakeCall, FakeTargetFault, FakeTargetServer, MAX_ENDLESS_BYTES,
    RawAnswer, StreamFraming, whole_stream,
};
use deckwind_net::body::{CollectError, CollectedBody, NoReservation, collect};
use deckwind_net::clock::Clock;
use deckwind_net::edge::TargetCall;
use deckwind_net::targets::{ConnectionPool, TargetConnection, TargetError, call_target};
use deckwind_testkit::eventually_async;
use http::{Method, Request};
use http_body_util::Full;
use std::time::{Duration, Instant};
use yare::parameterized;

/// Maximum number of bytes that a target can send before its caller closes the connection:
/// what the caller reads, and what the buffers of both sockets take.
const MAX_READ_BYTES: usize = MAX_ENDLESS_BYTES / 2;

/// Timeout for the end of an answer.
const END_TIMEOUT: Duration = Duration::from_secs(10);

/// Idle time for which a connection is used again.
const MAX_IDLE: Duration = Duration::from_secs(60);

/// Maximum size of the answers that are read whole, bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Pause between two pieces of an answer that trickles in.
const PAUSE: Duration = Duration::from_millis(5);

/// Returns an answer without end. `{own}` stands for the headers of a target's own answer, and
/// `{chunks}` for a whole head that announces chunks.
fn endless(beginning: &str, repeated: &str) -> EndlessAnswer {
    let own = "X-Deckwind-Request-Id: {id}\r\nX-Deckwind-Response-Seal: s\r\n";
    let chunks = format!("HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n");
    let beginning = beginning.replace("{chunks}", &chunks).replace("{own}", own);
    EndlessAnswer {
        beginning,
        repeated: repeated.to_string(),
        pause: None,
    }
}

/// Returns the same answer, sent piece by piece.
fn trickling(answer: EndlessAnswer) -> EndlessAnswer {
    EndlessAnswer {
        pause: Some(PAUSE),
        ..answer
    }
}

/// Waits until the caller of an endless answer has closed its connection; returns the bytes
/// that were sent.
async fn closed_answer(target: &FakeTargetServer) -> usize {
    eventually_async("the connection is closed", || async {
        target.closed_endless_answers().first().copied()
    })
    .await
}

async fn connect(pool: &ConnectionPool, target: &FakeTargetServer) -> TargetConnection {
    let connection = pool.get(target.address, MAX_IDLE).await;
    connection.expect("a connection")
}

/// Sends a request and reads its answer. An error is that of the head.
async fn request(
    connection: &mut TargetConnection,
) -> Result<Result<CollectedBody, CollectError>, TargetError> {
    let req = Request::get("/x").body(Full::new(Bytes::new()));
    let (_, body) = connection.send(req.expect("a request")).await?;
    Ok(collect(body, MAX_ANSWER_BYTES, &mut NoReservation).await)
}

/// Guards against a target that keeps its caller reading: the library bounds most of these, but
/// read interim answers, the digits of a chunk's size and the spaces after them without end.
#[parameterized(
    no_http = { "", "x" },
    empty_lines = { "", "\r\n" },
    reason = { "HTTP/1.1 200 ", "x" },
    field_name = { "HTTP/1.1 200 OK\r\n", "x" },
    field_value = { "HTTP/1.1 200 OK\r\nX-A: ", "x" },
    fields = { "HTTP/1.1 200 OK\r\n", "X-A: 1\r\n" },
    interim_answers = { "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
    interim_answers_with_fields = { "", "HTTP/1.1 102 Processing\r\nX-A: 1\r\nX-B: 2\r\n\r\n" },
    chunk_size = { "{chunks}", "0" },
    chunk_size_after_data = { "{chunks}5\r\nwhole\r\n", "0" },
    spaces_after_chunk_size = { "{chunks}5", " " },
    chunk_extension = { "{chunks}5;", "x" },
    chunk_extensions = { "{chunks}5", ";x=y" },
    trailer = { "{chunks}5\r\nwhole\r\n0\r\nX-A: ", "x" },
    trailers = { "{chunks}5\r\nwhole\r\n0\r\n", "X-A: 1\r\n" },
)]
fn bytes_that_are_no_answer_are_not_read_without_end(beginning: &str, repeated: &str) {
    let fault = FakeTargetFault::WritesEndlessly(endless(beginning, repeated));
    run_async(async move {
        let target = FakeTargetServer::start("t").await.expect("a target");
        target.set_fault(fault);
        let pool = ConnectionPool::new(Clock::start());
        let mut connection = connect(&pool, &target).await;
        let received = tokio::time::timeout(END_TIMEOUT, request(&mut connection)).await;
        let received = received.expect("the request ends");
        let is_broken = matches!(
            received,
            Err(TargetError::Broken(_)) | Ok(Err(CollectError::Broken(_)))
        );
        assert!(is_broken, "{received:?}");
        let sent = closed_answer(&target).await;
        assert!(sent < MAX_READ_BYTES, "{sent} bytes were sent");
        drop(connection);
    });
}

/// Guards against a connection that is kept although bytes follow its answer: they would be
/// read as the answer to the next request, or without end.
#[parameterized(
    after_a_length = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "more" },
    after_the_last_chunk = { "{chunks}5\r\nwhole\r\n0\r\n\r\n", "more" },
    empty_lines = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "\r\n" },
    interim_answers = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 100 Continue\r\n\r\n" },
    answers = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" },
)]
fn bytes_after_an_answer_close_its_connection(beginning: &str, repeated: &str) {
    let fault = FakeTargetFault::WritesEndlessly(endless(beginning, repeated));
    run_async(async move {
        let target = FakeTargetServer::start("t").await.expect("a target");
        target.set_fault(fault);
        let pool = ConnectionPool::new(Clock::start());
        let mut connection = connect(&pool, &target).await;
        let req = Request::get("/x").body(Full::new(Bytes::new()));
        let (head, body) = connection
            .send(req.expect("a request"))
            .await
            .expect("a head");
        let body = collect(body, MAX_ANSWER_BYTES, &mut NoReservation).await;
        let body = body.expect("a body");
        assert_eq!(
            (&body.bytes[..], body.end),
            (&b"whole"[..], BodyEnd::Framed)
        );
        pool.return_connection(connection, &head.headers, body.end, 1);
        let sent = closed_answer(&target).await;
        assert!(sent < MAX_READ_BYTES, "{sent} bytes were sent");
        assert!(!connect(&pool, &target).await.reused);
    });
}

/// Guards against an answer that is taken although it switches the connection to a protocol
/// that no request asks for.
#[test]
fn a_switch_of_protocols_is_no_answer() {
    let switch = "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n";
    let fault = FakeTargetFault::WritesEndlessly(endless(switch, "x"));
    run_async(async move {
        let target = FakeTargetServer::start("t").await.expect("a target");
        target.set_fault(fault);
        let pool = ConnectionPool::new(Clock::start());
        let mut connection = connect(&pool, &target).await;
        let received = request(&mut connection).await;
        let is_broken = matches!(received, Err(TargetError::Broken(_)));
        assert!(is_broken, "{received:?}");
        drop(connection);
        closed_answer(&target).await;
    });
}

/// Guards against an answer to a question of our own that holds a connection, memory or the
/// asker for longer than the question may take.
#[parameterized(
    head = { "HTTP/1.1 200 OK\r\nX-A: ", "x" },
    interim_answers = { "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
    chunk_size = { "{chunks}", "0" },
    chunked_document = { "{chunks}", "4\r\n[[[[\r\n" },
    unframed_document = { "HTTP/1.1 200 OK\r\n\r\n", "[" },
)]
fn a_call_to_a_target_ends_although_its_answer_does_not(beginning: &str, repeated: &str) {
    const WITHIN: Duration = Duration::from_millis(500);
    let answer = endless(beginning, repeated);
    run_async(async move {
        for answer in [answer.clone(), trickling(answer)] {
            for (method, path) in [(Method::GET, "/v1/report"), (Method::POST, "/v1/order")] {
                let target = FakeTargetServer::start("t").await.expect("a target");
                target.set_fault(FakeTargetFault::AnswersCallsEndlessly(answer.clone()));
                let pool = ConnectionPool::new(Clock::start());
                let call = TargetCall {
                    method,
                    path: path.to_string(),
                    body: b"{}".to_vec(),
                };
                let calling = call_target(&pool, target.address, &call, WITHIN);
                let called = tokio::time::timeout(END_TIMEOUT, calling).await;
                let called = called.expect("the call ends").map(|reply| reply.status);
                let is_failed =
                    matches!(called, Err(TargetError::Broken(_) | TargetError::Late(_)));
                assert!(is_failed, "{called:?}");
                let sent = closed_answer(&target).await;
                assert!(sent < MAX_READ_BYTES, "{sent} bytes were sent");
            }
        }
    });
}

/// Places in an answer at which the bytes without end begin.
const PLACES: [(&str, &str); 6] = [
    ("", "x"),
    ("HTTP/1.1 200 OK\r\n{own}X-A: ", "x"),
    ("HTTP/1.1 200 OK\r\n{own}", "X-A: 1\r\n"),
    ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    ("{chunks}", "0"),
    ("{chunks}5", " "),
];

/// Asks for a stream or a plain answer, until the router takes the request.
async fn ask(rig: &Rig, id: &str, path: &str, is_stream: bool) -> CallerAnswer {
    let call = match is_stream {
        true => stream_call(id, path, None),
        false => FakeCall::new(id, path, API_KEY),
    };
    rig.ask_until_taken(&Method::POST, &call).await
}

/// Sends a request for each place to plain targets whose answers are without end there. Returns
/// the status, whether the body looks complete, and how often the request was sent.
async fn ask_endless(rig: &Rig, route: &str, is_stream: bool) -> Vec<(u16, bool, usize)> {
    let mut all = Vec::new();
    for (i, (beginning, repeated)) in PLACES.into_iter().enumerate() {
        let fault = FakeTargetFault::WritesEndlessly(endless(beginning, repeated));
        rig.plain.iter().for_each(|p| p.set_fault(fault.clone()));
        let id = format!("r{i}");
        let path = format!("{route}{i}");
        let asking = ask(rig, &id, &path, is_stream);
        let answer = tokio::time::timeout(END_TIMEOUT, asking).await;
        let answer = answer.expect("an answer");
        let sent = rig.send_count(&id);
        all.push((answer.status.as_u16(), answer.body.is_ok(), sent));
    }
    all
}

async fn wait_until_closed(rig: &Rig, count: usize) {
    let sizes = eventually_async("the connections are closed", || async {
        let closed = rig.targets().flat_map(|t| t.closed_endless_answers());
        let sizes: Vec<usize> = closed.collect();
        (sizes.len() == count).then_some(sizes)
    })
    .await;
    assert!(sizes.iter().all(|sent| *sent < MAX_READ_BYTES), "{sizes:?}");
}

/// Guards against a plain request that is held until its deadline by bytes that are no answer,
/// and whose target goes on sending.
#[parameterized(once = { "/once/", 1 }, repeatable = { "/safe/", 2 })]
fn a_plain_request_to_targets_that_send_no_answer_fails_at_once(route: &str, sent: usize) {
    let route = route.to_string();
    run_async(async move {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served(&format!("{route}x"), false).await;
        let answers = ask_endless(&rig, &route, false).await;
        assert_eq!(answers, [(502, true, sent); PLACES.len()]);
        wait_until_closed(&rig, sent * PLACES.len()).await;
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against the same for streams, whose heads may already be with their callers.
#[test]
fn a_stream_of_targets_that_send_no_answer_fails_at_once() {
    run_async(async {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served("/tell/x", true).await;
        let answers = ask_endless(&rig, "/tell/", true).await;
        let expected = PLACES.map(|(beginning, _)| match beginning.contains("{chunks}") {
            true => (200, false, 1),
            false => (502, true, 1),
        });
        assert_eq!(answers, expected);
        wait_until_closed(&rig, PLACES.len()).await;
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against a stream that stays with such a target although another one can serve it.
#[test]
fn a_stream_goes_on_at_another_target_after_bytes_that_are_no_answer() {
    run_async(async {
        let rig = placed().await;
        rig.wait_until_served("/stream/x", true).await;
        let whole = ends(StreamFraming::Chunked, None, ConnectionEnd::Close);
        let after_an_event = ("{chunks}15\r\nid: 1\ndata: token 1\n\n\r\n", "0");
        let places = PLACES.into_iter().chain([after_an_event]);
        for (i, (beginning, repeated)) in places.enumerate() {
            let fault = FakeTargetFault::WritesEndlessly(endless(beginning, repeated));
            for (engine, server) in rig.engines.iter().enumerate() {
                server.set_fault(match engine % 2 {
                    0 => fault.clone(),
                    _ => whole.clone(),
                });
            }
            let (id, path) = (format!("r{i}"), format!("/stream/{i}"));
            let asking = ask(&rig, &id, &path, true);
            let answer = tokio::time::timeout(END_TIMEOUT, asking).await;
            let answer = answer.expect("an answer");
            assert_eq!(answer.body, Ok(whole_stream()), "{fault:?}");
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// Maximum time until an answer: the timeout of the route, and a second.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(4);

/// Guards against a caller that waits without limit for an answer whose bytes trickle in.
#[parameterized(
    plain_head = { "/once/x", false, "HTTP/1.1 200 OK\r\n{own}X-A: ", "x", 504 },
    plain_interim_answers = { "/once/x", false, "", "HTTP/1.1 103 Early Hints\r\n\r\n", 504 },
    plain_chunk_size = { "/once/x", false, "{chunks}", "0", 504 },
    plain_body = { "/once/x", false, "{chunks}", "1\r\nx\r\n", 504 },
    plain_unframed_body = { "/once/x", false, "HTTP/1.1 200 OK\r\n{own}\r\n", "x", 504 },
    stream_head = { "/tell/x", true, "HTTP/1.1 200 OK\r\n{own}X-A: ", "x", 504 },
    stream_chunk_size = { "/tell/x", true, "{chunks}", "0", 200 },
    stream_event = { "/tell/x", true, "{chunks}", "1\r\nx\r\n", 200 },
    stream_unframed_event = { "/tell/x", true, "HTTP/1.1 200 OK\r\n{own}\r\ndata: ", "x", 200 },
)]
fn an_answer_that_trickles_without_end_is_given_up(
    path: &str,
    is_stream: bool,
    beginning: &str,
    repeated: &str,
    status: u16,
) {
    let answer = trickling(endless(beginning, repeated));
    let path = path.to_string();
    run_async(async move {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served(&path, is_stream).await;
        let fault = FakeTargetFault::WritesEndlessly(answer);
        rig.plain.iter().for_each(|p| p.set_fault(fault.clone()));
        let asking = ask(&rig, "r1", &path, is_stream);
        let answer = tokio::time::timeout(MAX_ANSWER_TIME, asking).await;
        let answer = answer.expect("an answer by the deadline");
        assert_eq!((answer.status.as_u16(), rig.send_count("r1")), (status, 1));
        let looks_whole = answer.status.is_success() && answer.body.is_ok();
        assert!(!looks_whole, "{:?}", answer.body);
        wait_until_closed(&rig, 1).await;
        rig.cluster.close().await.expect("closed");
    });
}

/// Time for which a target that failed once is avoided.
const AVOIDED_TIME: Duration = Duration::from_millis(500);

/// Number of requests after a bad answer.
const REQUESTS_AFTER: usize = 20;

/// Guards against a target whose answers are none and that still gets its share of the
/// requests, or more: it looks the least busy.
#[parameterized(
    plain_head_cut = { "/once/", false, "HTTP/1.1 200 OK\r\n{own}Content-Len", "" },
    plain_endless_head = { "/once/", false, "HTTP/1.1 200 OK\r\n{own}", "X-A: 1\r\n" },
    plain_endless_interim_answers = { "/once/", false, "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
    plain_body_cut = { "/once/", false, "HTTP/1.1 200 OK\r\n{own}Content-Length: 5\r\n\r\nwho", "" },
    plain_endless_chunk_size = { "/once/", false, "{chunks}", "0" },
    plain_endless_body = { "/once/", false, "HTTP/1.1 200 OK\r\n{own}\r\n", "x" },
    plain_invalid_chunk = { "/once/", false, "{chunks}zz\r\n", "" },
    stream_invalid_chunk = { "/tell/", true, "{chunks}zz\r\n", "" },
    stream_head_cut = { "/tell/", true, "HTTP/1.1 200 OK\r\n{own}Content-Len", "" },
    stream_endless_head = { "/tell/", true, "HTTP/1.1 200 OK\r\n{own}", "X-A: 1\r\n" },
    stream_endless_chunk_size = { "/tell/", true, "{chunks}", "0" },
)]
fn a_target_that_sends_no_answer_is_avoided(
    route: &str,
    is_stream: bool,
    beginning: &str,
    repeated: &str,
) {
    let answer = endless(beginning, repeated);
    let fault = match repeated {
        "" => FakeTargetFault::Writes(RawAnswer {
            text: answer.beginning,
            connection: Some(ConnectionEnd::Close),
        }),
        _ => FakeTargetFault::WritesEndlessly(answer),
    };
    let route = route.to_string();
    run_async(async move {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served(&format!("{route}x"), is_stream).await;
        let faulty = rig.plain[0].clone();
        faulty.set_fault(fault);
        let runs = || faulty.run_request_ids().len();
        let before = runs();
        // The target is avoided from a moment after this one.
        let mut asked_at = Instant::now();
        let mut tries = 0;
        while runs() == before {
            tries += 1;
            asked_at = Instant::now();
            let (id, path) = (format!("first{tries}"), format!("{route}first"));
            ask(&rig, &id, &path, is_stream).await;
        }
        let before = runs();
        for i in 0..REQUESTS_AFTER {
            let (id, path) = (format!("r{i}"), format!("{route}{i}"));
            ask(&rig, &id, &path, is_stream).await;
            if asked_at.elapsed() < AVOIDED_TIME {
                assert_eq!(runs(), before, "request {i} went to the target");
            }
        }
        rig.cluster.close().await.expect("closed");
    });
}
