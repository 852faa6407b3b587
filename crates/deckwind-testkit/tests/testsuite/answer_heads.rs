//! Heads of answers that targets begin and do not finish: none of them is an answer.

use crate::answer_ends::ends;
use crate::rig::{API_KEY, Rig};
use crate::routes::placed;
use crate::run_async;
use bytes::Bytes;
use deckwind_core::routes::BodyEnd;
use deckwind_fakes::{
    ConnectionEnd, FakeCall, FakeTargetFault, FakeTargetServer, RawAnswer, StreamFraming,
    USUAL_TOKENS, whole_stream,
};
use deckwind_net::body::{NoReservation, collect};
use deckwind_net::clock::Clock;
use deckwind_net::targets::{ConnectionPool, TargetConnection, TargetError};
use http::{Method, Request};
use http_body_util::Full;
use std::time::Duration;
use tokio::task::JoinSet;
use yare::parameterized;

/// Headers of a target's own answer.
const OWN: &str = "X-Deckwind-Request-Id: {id}\r\nX-Deckwind-Response-Seal: s\r\n";

/// Time without an answer after which a silent target's head still is no answer.
const SILENT_TIME: Duration = Duration::from_millis(300);

/// Timeout for a request whose target ends its connection.
const END_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time for which a connection is used again.
const MAX_IDLE: Duration = Duration::from_secs(60);

/// Largest answer to read, bytes.
const MAX_ANSWER: usize = 1 << 20;

/// Ways in which a target stops inside a head.
const ALL_ENDS: [ConnectionEnd; 3] = [
    ConnectionEnd::Close,
    ConnectionEnd::Reset,
    ConnectionEnd::Silence,
];

/// The head of an answer, with its empty line.
fn head(fields: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{OWN}{fields}\r\n")
}

/// Returns a fault: each request is answered with the first bytes of this answer.
fn stops_after(answer: &str, bytes: usize, connection: ConnectionEnd) -> FakeTargetFault {
    FakeTargetFault::Writes(RawAnswer {
        text: answer[..bytes].to_string(),
        connection: Some(connection),
    })
}

/// Opens a connection to a target; with `is_kept` it has served a request before.
async fn connect(target: &FakeTargetServer, is_kept: bool) -> TargetConnection {
    let pool = ConnectionPool::new(Clock::start());
    if is_kept {
        let connection = pool.get(target.address, MAX_IDLE).await;
        let mut connection = connection.expect("a connection");
        let (head, body) = connection
            .send(request(&Method::GET))
            .await
            .expect("an answer");
        let collected = collect(body, MAX_ANSWER, &mut NoReservation).await;
        let end = collected.expect("a whole answer").end;
        assert_eq!(end, BodyEnd::Framed);
        pool.return_connection(connection, &head.headers, end, 1);
    }
    let connection = pool.get(target.address, MAX_IDLE).await;
    let connection = connection.expect("a connection");
    assert_eq!(connection.reused, is_kept);
    connection
}

fn request(method: &Method) -> Request<Full<Bytes>> {
    let req = Request::builder().method(method).uri("/x");
    req.body(Full::new(Bytes::new())).expect("a request")
}

/// Sends a request to a target that stops after `bytes` of its answer.
async fn assert_no_answer(
    answer: String,
    bytes: usize,
    end: ConnectionEnd,
    method: Method,
    is_kept: bool,
) {
    let target = FakeTargetServer::start("t").await.expect("a target");
    let mut connection = connect(&target, is_kept).await;
    target.set_fault(stops_after(&answer, bytes, end));
    let case = format!("{end:?} after {:?}", &answer[..bytes]);
    let sending = connection.send(request(&method));
    if end == ConnectionEnd::Silence {
        let sent = tokio::time::timeout(SILENT_TIME, sending).await;
        assert!(sent.is_err(), "{case}: an answer or an end");
        return;
    }
    let sent = tokio::time::timeout(END_TIMEOUT, sending).await;
    let sent = sent.unwrap_or_else(|_| panic!("{case}: nothing"));
    let result = sent.map(|(head, _)| head.status);
    assert!(
        matches!(result, Err(TargetError::Broken(_))),
        "{case}: {result:?}"
    );
}

/// Guards against a head that is cut at any byte and is taken for an answer, or for a request
/// that was not sent: a field that is cut in its name or value, a length with fewer digits, a
/// head without its empty line.
#[parameterized(
    length = { "Content-Length: 1234\r\n", Method::POST, false },
    length_kept = { "Content-Length: 1234\r\n", Method::POST, true },
    chunks = { "Transfer-Encoding: chunked\r\n", Method::POST, false },
    chunks_kept = { "Transfer-Encoding: chunked\r\n", Method::POST, true },
    connection = { "Content-Type: text/plain\r\n", Method::POST, false },
    connection_kept = { "Content-Type: text/plain\r\n", Method::POST, true },
    without_a_body = { "Content-Length: 1234\r\n", Method::HEAD, false },
    without_a_body_kept = { "Content-Length: 1234\r\n", Method::HEAD, true },
    after_an_interim_answer = { "Content-Length: 0\r\n", Method::GET, false },
)]
fn a_head_that_stops_at_any_byte_is_no_answer(fields: &str, method: Method, is_kept: bool) {
    let mut answer = head(fields);
    if method == Method::GET {
        answer.insert_str(0, "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n");
    }
    run_async(async move {
        let mut all = JoinSet::new();
        for bytes in 0..answer.len() {
            for end in ALL_ENDS {
                let (answer, method) = (answer.clone(), method.clone());
                all.spawn(assert_no_answer(answer, bytes, end, method, is_kept));
            }
        }
        all.join_all().await;
    });
}

/// Fields of heads of plain answers that are framed in each way.
const PLAIN_FIELDS: [&str; 3] = [
    "Content-Length: 12\r\n",
    "Transfer-Encoding: chunked\r\n",
    "",
];

/// Returns faults for each byte of heads with these fields.
fn all_stops(heads: &[&str]) -> Vec<FakeTargetFault> {
    let mut all = Vec::new();
    for fields in heads {
        let head = head(fields);
        for bytes in 0..head.len() {
            let stop = |end| stops_after(&head, bytes, end);
            all.extend([stop(ConnectionEnd::Close), stop(ConnectionEnd::Reset)]);
        }
    }
    all
}

/// Returns a call for a stream.
pub fn stream_call<'a>(id: &'a str, path: &'a str, last_event: Option<u64>) -> FakeCall<'a> {
    FakeCall {
        tokens: Some(USUAL_TOKENS),
        last_event,
        ..FakeCall::new(id, path, API_KEY)
    }
}

/// Guards against a caller who gets a success, with an empty or a short body, from a target
/// that stopped in the head of its answer. The request may have run, so it is sent again only
/// where that is allowed.
#[parameterized(
    once = { "/once/", Method::POST, 1 },
    once_without_a_body = { "/once/", Method::HEAD, 1 },
    repeatable = { "/safe/", Method::POST, 2 },
    repeatable_without_a_body = { "/safe/", Method::HEAD, 2 },
)]
fn a_plain_request_gets_no_answer_from_a_head_that_stops(
    route: &str,
    method: Method,
    max_sent: usize,
) {
    let route = route.to_string();
    run_async(async move {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served(&format!("{route}x"), false).await;
        for (i, fault) in all_stops(&PLAIN_FIELDS).into_iter().enumerate() {
            rig.plain.iter().for_each(|p| p.set_fault(fault.clone()));
            let id = format!("r{i}");
            let path = format!("{route}{i}");
            let call = FakeCall::new(&id, &path, API_KEY);
            let answer = rig.ask_until_taken(&method, &call).await;
            assert_eq!(answer.status, 502, "{fault:?}: {:?}", answer.body);
            let sent = rig.send_count(&id);
            assert!((1..=max_sent).contains(&sent), "{fault:?}: sent {sent}");
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// Fields of heads of streams that are framed in each way.
const STREAM_FIELDS: [&str; 3] = [
    "Content-Type: text/event-stream\r\nContent-Length: 12\r\n",
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    "Content-Type: text/event-stream\r\n",
];

/// Guards against the same for streams that can't be resumed.
#[test]
fn a_stream_does_not_begin_with_a_head_that_stops() {
    run_async(async {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served("/tell/x", true).await;
        for (i, fault) in all_stops(&STREAM_FIELDS).into_iter().enumerate() {
            rig.plain.iter().for_each(|p| p.set_fault(fault.clone()));
            let id = format!("r{i}");
            let path = format!("/tell/{i}");
            let call = stream_call(&id, &path, None);
            let answer = rig.ask_until_taken(&Method::POST, &call).await;
            assert_eq!(answer.status, 502, "{fault:?}: {:?}", answer.body);
            assert_eq!(rig.send_count(&id), 1, "{fault:?}");
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against the same where another target can serve the stream, also one that its
/// caller resumes: it gets every event once.
#[parameterized(new = { None }, resumed_by_its_caller = { Some(3) })]
fn a_stream_goes_to_another_target_after_a_head_that_stops(last_event: Option<u64>) {
    let expected = match last_event {
        Some(last) => after_event(last),
        None => whole_stream(),
    };
    run_async(async move {
        let rig = placed().await;
        rig.wait_until_served("/stream/x", true).await;
        let whole = ends(StreamFraming::Chunked, None, ConnectionEnd::Close);
        for (i, fault) in all_stops(&STREAM_FIELDS).into_iter().enumerate() {
            for (engine, server) in rig.engines.iter().enumerate() {
                server.set_fault(match engine % 2 {
                    0 => fault.clone(),
                    _ => whole.clone(),
                });
            }
            let (id, path) = (format!("r{i}"), format!("/stream/{i}"));
            let call = stream_call(&id, &path, last_event);
            let answer = rig.ask_until_taken(&Method::POST, &call).await;
            assert_eq!(answer.status, 200, "{fault:?}: {:?}", answer.body);
            assert_eq!(answer.body, Ok(expected.clone()), "{fault:?}");
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// Returns the events of a whole stream after this one.
fn after_event(last: u64) -> String {
    let stream = whole_stream();
    let events = stream.split_inclusive("\n\n").skip(last as usize);
    events.collect()
}

/// Guards against a stream that breaks off, and is resumed by the router at a target that stops
/// in its head: it breaks off visibly and never ends as if it were whole.
#[test]
fn a_stream_whose_resumption_stops_in_a_head_is_broken_off() {
    run_async(async {
        let rig = placed().await;
        rig.wait_until_served("/stream/x", true).await;
        let first_event = whole_stream().find("\n\n").expect("an event") + 2;
        let breaks = ends(
            StreamFraming::Chunked,
            Some(first_event),
            ConnectionEnd::Close,
        );
        for (i, fault) in all_stops(&STREAM_FIELDS[..1]).into_iter().enumerate() {
            for (engine, server) in rig.engines.iter().enumerate() {
                server.set_fault(match engine % 2 {
                    0 => fault.clone(),
                    _ => breaks.clone(),
                });
            }
            let (id, path) = (format!("r{i}"), format!("/stream/{i}"));
            let call = stream_call(&id, &path, None);
            let answer = rig.ask_until_taken(&Method::POST, &call).await;
            let looks_whole = answer.status.is_success() && answer.body.is_ok();
            assert!(!looks_whole, "{fault:?}: {:?}", answer.body);
        }
        rig.cluster.close().await.expect("closed");
    });
}
