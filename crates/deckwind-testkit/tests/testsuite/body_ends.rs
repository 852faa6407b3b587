//! Ends of bodies that targets send, over real sockets: what marks an end, and which of our own
//! readers take one that was broken off for a whole one. `routed_body_ends` tests what callers
//! get from them.

use crate::{any_loopback_port, run_async};
use bytes::Bytes;
use deckwind_config::load;
use deckwind_core::routes::BodyEnd;
use deckwind_core::state::Incarnation;
use deckwind_net::body::{BodyPart, BrokenBody, MessageBody};
use deckwind_net::clock::Clock;
use deckwind_net::edge::Dialects;
use deckwind_net::targets::{
    ConnectionPool, HttpTarget, HttpWeightStore, TargetConnection, TargetError, TcpConnector,
    WeightStore,
};
use deckwind_testkit::Layout;
use deckwindd::context::Context;
use deckwindd::control::{ControlHandle, Input, target_check};
use http::{Request, StatusCode};
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use yare::parameterized;

/// Time that a receiver gets to read what was sent before the connection is reset.
pub const TIME_TO_READ: Duration = Duration::from_millis(30);

/// Maximum time until a body ends.
const END_TIMEOUT: Duration = Duration::from_secs(5);

/// End of a body that is taken as whole by its framing.
const FRAMED: Option<BodyEnd> = Some(BodyEnd::Framed);

/// End of a body that only its connection marks.
const CLOSED: Option<BodyEnd> = Some(BodyEnd::Closed);

/// End of a body that was broken off, or of a message that is invalid.
const BROKEN: Option<BodyEnd> = None;

/// What becomes of a connection after the bytes were sent.
#[derive(Clone, Copy, PartialEq)]
enum Then {
    Close,
    Reset,
    StayOpen,
}

/// Sends what `answer` returns for each request, then ends the connection. `read_request`
/// reads one.
async fn listen<R, F>(answer: Vec<u8>, then: Then, read_request: R) -> SocketAddr
where
    R: Fn(TcpStream) -> F + Send + 'static,
    F: Future<Output = TcpStream> + Send,
{
    let listener = TcpListener::bind(any_loopback_port()).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut stream = read_request(stream).await;
            stream.write_all(&answer).await.expect("sent");
            end_connection(stream, then).await;
        }
    });
    address
}

async fn end_connection(mut stream: TcpStream, then: Then) {
    match then {
        Then::Close => stream.shutdown().await.expect("closed"),
        Then::Reset => {
            tokio::time::sleep(TIME_TO_READ).await;
            stream.set_zero_linger().expect("a reset");
            return;
        }
        Then::StayOpen => {}
    }
    // Bytes that were not read would turn the close into a reset.
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
}

async fn read_http1_request(mut stream: TcpStream) -> TcpStream {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a request"));
    }
    stream
}

/// Reads a body to its end, and returns its bytes.
async fn read_to_end(mut body: MessageBody) -> (String, Result<BodyEnd, BrokenBody>) {
    let mut bytes = Vec::new();
    let reading = async {
        loop {
            match body.next().await? {
                BodyPart::Data(data) => bytes.extend_from_slice(&data),
                BodyPart::End(end) => return Ok(end),
            }
        }
    };
    let end = tokio::time::timeout(END_TIMEOUT, reading).await;
    let end = end.expect("the body ends");
    (String::from_utf8_lossy(&bytes).into_owned(), end)
}

/// Requests a body over HTTP/1.1. An error is that of the head.
async fn send_http1_request(
    address: SocketAddr,
) -> Result<(MessageBody, TargetConnection), String> {
    let pool = ConnectionPool::new(Clock::start());
    let connection = pool.get(address, Duration::ZERO).await;
    let mut connection = connection.expect("a connection");
    let req = Request::get("/x").header("host", address.to_string());
    let req = req.body(Full::new(Bytes::new())).expect("a request");
    let (_, body) = connection.send(req).await.map_err(|e| e.to_string())?;
    Ok((body, connection))
}

/// Requests a body over HTTP/1.1, and reads it to its end. An error is that of the head.
async fn request_http1(
    address: SocketAddr,
) -> Result<(String, Result<BodyEnd, BrokenBody>), String> {
    let (body, _connection) = send_http1_request(address).await?;
    Ok(read_to_end(body).await)
}

/// Guards against an end that is taken for that of a whole body, by framing, by the position
/// of the end, and by its way.
#[parameterized(
    length_whole = { "1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", FRAMED, FRAMED },
    length_cut_inside = { "1.1 200 OK\r\nContent-Length: 5\r\n\r\nwho", BROKEN, BROKEN },
    length_cut_before = { "1.1 200 OK\r\nContent-Length: 5\r\n\r\n", BROKEN, BROKEN },
    length_zero = { "1.1 200 OK\r\nContent-Length: 0\r\n\r\n", FRAMED, FRAMED },
    length_with_bytes_after_it = { "1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholemore", FRAMED, FRAMED },
    two_lengths = { "1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nwhole", BROKEN, BROKEN },
    chunked_whole = { "1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", FRAMED, FRAMED },
    chunked_empty = { "1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", FRAMED, FRAMED },
    chunked_cut_inside = { "1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho", BROKEN, BROKEN },
    chunked_cut_between = { "1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", BROKEN, BROKEN },
    chunked_cut_in_last_chunk = { "1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n", BROKEN, BROKEN },
    chunked_cut_in_trailers = { "1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-T: 1\r\n", BROKEN, BROKEN },
    chunked_cut_before = { "1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", BROKEN, BROKEN },
    chunked_with_trailers = { "1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-T: 1\r\n\r\n", FRAMED, FRAMED },
    chunked_in_capitals = { "1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", FRAMED, FRAMED },
    length_and_chunks = { "1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", FRAMED, FRAMED },
    length_and_chunks_cut = { "1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho", BROKEN, BROKEN },
    none_whole = { "1.1 200 OK\r\n\r\nwhole", CLOSED, BROKEN },
    none_cut_before = { "1.1 200 OK\r\n\r\n", CLOSED, BROKEN },
    none_and_kept_alive = { "1.1 200 OK\r\nConnection: keep-alive\r\n\r\nwhole", CLOSED, BROKEN },
    old_without_length = { "1.0 200 OK\r\n\r\nwhole", CLOSED, BROKEN },
    old_kept_alive_without_length = { "1.0 200 OK\r\nConnection: keep-alive\r\n\r\nwhole", CLOSED, BROKEN },
    old_with_length = { "1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", FRAMED, FRAMED },
    old_with_length_cut = { "1.0 200 OK\r\nContent-Length: 5\r\n\r\nwho", BROKEN, BROKEN },
    old_with_chunks = { "1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", BROKEN, BROKEN },
    no_content = { "1.1 204 No Content\r\n\r\n", FRAMED, FRAMED },
    not_modified = { "1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", FRAMED, FRAMED },
    failure_without_length = { "1.1 500 Failed\r\n\r\nwhole", CLOSED, BROKEN },
    head_cut = { "1.1 200 OK\r\nContent-Len", BROKEN, BROKEN },
    head_cut_before_its_last_byte = { "1.1 200 OK\r\n\r", BROKEN, BROKEN },
    nothing_but_an_interim_answer = { "1.1 103 Early Hints\r\n\r\n", BROKEN, BROKEN },
)]
fn an_end_says_what_marked_it(answer: &str, closed: Option<BodyEnd>, reset: Option<BodyEnd>) {
    let answer = format!("HTTP/{answer}").into_bytes();
    run_async(async move {
        for (then, expected) in [(Then::Close, closed), (Then::Reset, reset)] {
            let address = listen(answer.clone(), then, read_http1_request).await;
            let received = request_http1(address).await;
            let end = match &received {
                Ok((_, end)) => end.as_ref().ok().copied(),
                Err(_) => None,
            };
            let is_reset = then == Then::Reset;
            assert_eq!(end, expected, "reset: {is_reset}, received: {received:?}");
        }
    });
}

/// Guards against a stop of the process while answers are read: the task that reads a
/// connection is dropped, which ends its body without an error, and others still run.
#[parameterized(
    length = { "Content-Length: 9\r\n\r\nwhole" },
    chunked = { "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n" },
    none = { "Content-Type: text/event-stream\r\n\r\nwhole" },
)]
fn a_body_whose_connection_is_no_longer_read_is_broken(answer: &str) {
    let answer = format!("HTTP/1.1 200 OK\r\n{answer}").into_bytes();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime of the connections starts");
    run_async(async move {
        let address = listen(answer, Then::StayOpen, read_http1_request).await;
        let sending = runtime.spawn(send_http1_request(address));
        let (mut body, connection) = sending.await.expect("sent").expect("a head");
        let first = body.next().await;
        assert_eq!(first, Ok(BodyPart::Data(Bytes::from("whole"))));
        runtime.shutdown_background();
        let (rest, end) = read_to_end(body).await;
        assert!(end.is_err(), "{rest:?}, {end:?}");
        drop(connection);
    });
}

/// Guards against content that its transfer coding hides: it is passed on without the header
/// that names the coding, so a caller would take the coded bytes for the content.
#[parameterized(
    then_chunked = { "Transfer-Encoding: gzip, chunked", "5\r\nwhole\r\n0\r\n\r\n" },
    then_chunked_in_two_lines = { "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", "5\r\nwhole\r\n0\r\n\r\n" },
    chunked_twice = { "Transfer-Encoding: chunked, chunked", "5\r\nwhole\r\n0\r\n\r\n" },
    not_chunked_last = { "Transfer-Encoding: chunked, gzip", "whole" },
    not_chunked = { "Transfer-Encoding: gzip", "whole" },
    not_chunked_with_a_length = { "Content-Length: 5\r\nTransfer-Encoding: identity", "whole" },
    empty = { "Transfer-Encoding:", "whole" },
)]
fn a_body_with_an_unknown_transfer_coding_is_broken(headers: &str, body: &str) {
    let answer = format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\n{body}").into_bytes();
    run_async(async move {
        let address = listen(answer, Then::Close, read_http1_request).await;
        let received = request_http1(address).await;
        let (bytes, end) = received.expect("a head");
        assert!(end.is_err(), "received {bytes:?}, {end:?}");
        assert_eq!(bytes, "", "coded bytes must not be passed on");
    });
}

/// Preface of an HTTP/2 connection.
const PREFACE_BYTES: usize = 24;

/// Types of HTTP/2 frames (RFC 9113, section 6).
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const GOAWAY: u8 = 7;

/// Flags of HTTP/2 frames.
const NO_FLAGS: u8 = 0;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// HTTP/2 error codes.
const NO_ERROR: u8 = 0;
const INTERNAL_ERROR: u8 = 2;
const CANCEL: u8 = 8;

/// Header block with `:status: 200` (RFC 7541, appendix A).
const STATUS_200: &[u8] = &[0x88];
/// Header block with `:status: 200` and `content-length: 5`.
const STATUS_200_LENGTH_5: &[u8] = &[0x88, 0x0f, 0x0d, 1, b'5'];
/// Header block with `x: 1`.
const TRAILERS: &[u8] = &[0, 1, b'x', 1, b'1'];

fn frame(kind: u8, flags: u8, stream: u8, payload: &[u8]) -> Vec<u8> {
    let length = u8::try_from(payload.len()).expect("a short frame");
    let mut frame = vec![0, 0, length, kind, flags, 0, 0, 0, stream];
    frame.extend_from_slice(payload);
    frame
}

fn head(flags: u8, block: &[u8]) -> Vec<u8> {
    frame(HEADERS, END_HEADERS | flags, 1, block)
}

fn data(flags: u8, text: &str) -> Vec<u8> {
    frame(DATA, flags, 1, text.as_bytes())
}

fn rst_stream(code: u8) -> Vec<u8> {
    frame(RST_STREAM, NO_FLAGS, 1, &[0, 0, 0, code])
}

/// A GOAWAY frame; streams above `last` were not handled.
fn goaway(last: u8, code: u8) -> Vec<u8> {
    frame(GOAWAY, NO_FLAGS, 0, &[0, 0, 0, last, 0, 0, 0, code])
}

/// Reads frames until the end of a request. A connection that closes while a request is sent
/// breaks its answer, even a whole one.
async fn read_http2_request(mut stream: TcpStream) -> TcpStream {
    let mut preface = [0; PREFACE_BYTES];
    stream.read_exact(&mut preface).await.expect("a preface");
    let settings = frame(SETTINGS, NO_FLAGS, 0, &[]);
    stream.write_all(&settings).await.expect("sent");
    loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head).await.expect("a frame");
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
        let mut payload = vec![0; length as usize];
        stream.read_exact(&mut payload).await.expect("a payload");
        let [kind, flags] = [head[3], head[4]];
        if matches!(kind, HEADERS | DATA) && flags & END_STREAM != 0 {
            return stream;
        }
    }
}

/// Guards against an HTTP/2 answer that was reset and looks whole: the library ends the body
/// of some without an error.
#[parameterized(
    whole = { &[head(0, STATUS_200), data(END_STREAM, "whole")], Then::StayOpen, FRAMED },
    whole_then_closed = { &[head(0, STATUS_200), data(END_STREAM, "whole")], Then::Close, FRAMED },
    whole_then_reset_without_error = { &[head(0, STATUS_200), data(END_STREAM, "whole"), rst_stream(NO_ERROR)], Then::StayOpen, FRAMED },
    whole_with_empty_last_frame = { &[head(0, STATUS_200), data(0, "whole"), data(END_STREAM, "")], Then::StayOpen, FRAMED },
    whole_with_length = { &[head(0, STATUS_200_LENGTH_5), data(END_STREAM, "whole")], Then::StayOpen, FRAMED },
    whole_with_trailers = { &[head(0, STATUS_200), data(0, "whole"), head(END_STREAM, TRAILERS)], Then::StayOpen, FRAMED },
    trailers_without_data = { &[head(0, STATUS_200), head(END_STREAM, TRAILERS)], Then::StayOpen, FRAMED },
    empty = { &[head(END_STREAM, STATUS_200)], Then::StayOpen, FRAMED },
    empty_then_reset_without_error = { &[head(END_STREAM, STATUS_200), rst_stream(NO_ERROR)], Then::StayOpen, FRAMED },
    shorter_than_its_length = { &[head(0, STATUS_200_LENGTH_5), data(END_STREAM, "who")], Then::StayOpen, BROKEN },
    cut_no_error = { &[head(0, STATUS_200), data(0, "who"), rst_stream(NO_ERROR)], Then::StayOpen, BROKEN },
    cut_cancel = { &[head(0, STATUS_200), data(0, "who"), rst_stream(CANCEL)], Then::StayOpen, BROKEN },
    cut_internal_error = { &[head(0, STATUS_200), data(0, "who"), rst_stream(INTERNAL_ERROR)], Then::StayOpen, BROKEN },
    cut_before_no_error = { &[head(0, STATUS_200), rst_stream(NO_ERROR)], Then::StayOpen, BROKEN },
    cut_before_cancel = { &[head(0, STATUS_200), rst_stream(CANCEL)], Then::StayOpen, BROKEN },
    cut_with_length_no_error = { &[head(0, STATUS_200_LENGTH_5), data(0, "who"), rst_stream(NO_ERROR)], Then::StayOpen, BROKEN },
    cut_by_goaway = { &[head(0, STATUS_200), data(0, "who"), goaway(0, NO_ERROR)], Then::Close, BROKEN },
    cut_after_goaway = { &[head(0, STATUS_200), data(0, "who"), goaway(1, NO_ERROR)], Then::Close, BROKEN },
    cut_by_goaway_with_error = { &[head(0, STATUS_200), data(0, "who"), goaway(1, INTERNAL_ERROR)], Then::Close, BROKEN },
    whole_then_goaway = { &[head(0, STATUS_200), data(END_STREAM, "whole"), goaway(1, NO_ERROR)], Then::Close, FRAMED },
    cut_by_close = { &[head(0, STATUS_200), data(0, "who")], Then::Close, BROKEN },
    cut_by_reset_connection = { &[head(0, STATUS_200), data(0, "who")], Then::Reset, BROKEN },
    cut_before_by_close = { &[head(0, STATUS_200)], Then::Close, BROKEN },
    no_head = { &[rst_stream(NO_ERROR)], Then::StayOpen, BROKEN },
)]
fn an_http2_answer_is_whole_only_at_its_end_of_stream(
    frames: &[Vec<u8>],
    then: Then,
    expected: Option<BodyEnd>,
) {
    let answer = frames.concat();
    run_async(async move {
        let address = listen(answer, then, read_http2_request).await;
        let target = HttpTarget::new(address);
        let req = Request::post(target.uri("/x")).body(HttpTarget::full_body("q"));
        let sent = target.send(req.expect("a request")).await;
        let received = match sent {
            Ok((_, body)) => Ok(read_to_end(body).await),
            Err(e) => Err(e),
        };
        let end = match &received {
            Ok((_, end)) => end.as_ref().ok().copied(),
            Err(_) => None,
        };
        assert_eq!(end, expected, "received: {received:?}");
    });
}

/// Header block of an answer with the bytes 0 to 9 of 100 (RFC 7541, appendix A).
fn partial_content_head(range: &str) -> Vec<u8> {
    const STATUS_206: u8 = 0x8a;
    const CONTENT_RANGE: [u8; 2] = [0x0f, 0x0f];
    let length = u8::try_from(range.len()).expect("a short range");
    [
        &[STATUS_206],
        &CONTENT_RANGE[..],
        &[length],
        range.as_bytes(),
    ]
    .concat()
}

/// Guards against weights with a gap: a part that is shorter than what was asked for, or is
/// another one, looked like the part itself.
#[parameterized(
    whole = { "bytes 0-9/100", "0123456789", Some(10) },
    short = { "bytes 0-9/100", "01234", None },
    shorter_by_its_head_too = { "bytes 0-4/100", "01234", None },
    empty = { "bytes 0-9/100", "", None },
    longer = { "bytes 0-9/100", "0123456789a", None },
    another_part = { "bytes 10-19/100", "0123456789", None },
    without_a_total = { "bytes 0-9/*", "0123456789", None },
    the_last_part = { "bytes 0-4/5", "01234", Some(5) },
)]
fn a_part_of_the_weights_is_whole(range: &str, body: &str, expected: Option<usize>) {
    let answer = [
        head(0, &partial_content_head(range)),
        data(END_STREAM, body),
    ];
    let answer = answer.concat();
    run_async(async move {
        let address = listen(answer, Then::StayOpen, read_http2_request).await;
        let store = HttpWeightStore::new(address);
        let read = store.read("m".to_string(), "1".to_string(), 0, 10).await;
        let length = read.as_ref().ok().map(|chunk| chunk.bytes.len());
        assert_eq!(length, expected, "{read:?}");
    });
}

/// Guards against half a document that is taken for a whole one, and against an order that
/// counts as done although its answer was cut.
#[parameterized(
    whole = { &[head(0, STATUS_200), data(END_STREAM, "[1,2]")], true },
    half = { &[head(0, STATUS_200), data(END_STREAM, "[1,")], false },
    empty = { &[head(END_STREAM, STATUS_200)], false },
    reset_inside = { &[head(0, STATUS_200), data(0, "[1,"), rst_stream(NO_ERROR)], false },
    reset_after_the_document = { &[head(0, STATUS_200), data(0, "[1,2]"), rst_stream(NO_ERROR)], false },
    closed_after_the_document = { &[head(0, STATUS_200), data(0, "[1,2]"), goaway(1, NO_ERROR)], false },
)]
fn a_document_is_read_whole_or_not_at_all(frames: &[Vec<u8>], is_whole: bool) {
    let answer = frames.concat();
    let then = match is_whole {
        true => Then::StayOpen,
        false => Then::Close,
    };
    run_async(async move {
        let address = listen(answer, then, read_http2_request).await;
        let target = HttpTarget::new(address);
        let read: Result<Vec<u32>, TargetError> = target.post_json("/v1/x", &()).await;
        match is_whole {
            true => assert_eq!(read, Ok(vec![1, 2])),
            false => assert!(matches!(read, Err(TargetError::Broken(_))), "{read:?}"),
        }
    });
}

/// Returns the wire formats of the platform.
fn dialects() -> Dialects {
    let layout = Layout::new(1, 1).expect("a layout");
    let file = layout
        .control_settings(0)
        .expect("the settings are written");
    let settings = load(&file).expect("the settings are valid");
    let clock = Clock::start();
    Context::new(settings, Handle::current(), clock, Arc::new(TcpConnector)).dialects
}

/// A report of an engine.
const REPORT: &str = r#"{"busy":false,"seq":3,"stalled":[{"id":"r","address":"127.0.0.1:9"}],"layers":{"from":0,"targetVersion":4},"born":7,"pace":1.5}"#;

/// An answer to a refused change of path.
const REFUSAL: &str = r#"{"address":"127.0.0.1:9"}"#;

/// Guards against a report or a refusal that was cut and is read as far as it goes.
#[test]
fn a_part_of_a_report_or_refusal_says_nothing() {
    run_async(async {
        let engines = dialects().engines;
        assert!(engines.read_report(REPORT.as_bytes()).is_ok());
        for at in 0..REPORT.len() {
            let read = engines.read_report(&REPORT.as_bytes()[..at]);
            assert!(read.is_err(), "cut at {at}: {read:?}");
        }
        let refusing = |text: &str| engines.refusing_engine(StatusCode::CONFLICT, text.as_bytes());
        assert!(refusing(REFUSAL).is_some());
        for at in 0..REFUSAL.len() {
            assert_eq!(refusing(&REFUSAL[..at]), None, "cut at {at}");
        }
    });
}

/// What a target does with the requests for its report: the answer to the first ones, and to
/// later ones; `None` if it is gone then.
struct Reports {
    first: &'static str,
    then: Option<&'static str>,
}

/// Number of requests that a check sends in parallel.
const PARALLEL_CHECKS: usize = 2;

async fn serve_reports(listener: TcpListener, reports: Reports) {
    for i in 0.. {
        let text = match (i < PARALLEL_CHECKS, reports.then) {
            (true, _) => reports.first,
            (false, Some(text)) => text,
            (false, None) => return,
        };
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let mut stream = read_http1_request(stream).await;
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{text}");
        stream.write_all(answer.as_bytes()).await.expect("sent");
        end_connection(stream, Then::Close).await;
    }
}

/// Guards against a target that crashes while it sends its report and counts as running: its
/// connection ends like that of one which is done.
#[parameterized(
    crashes_in_its_report = { Reports { first: "{\"busy\":fal", then: None }, false },
    crashes_before_its_report = { Reports { first: "", then: None }, false },
    reports = { Reports { first: REPORT, then: None }, true },
    reports_another_start = { Reports { first: "{\"busy\":false,\"seq\":3,\"born\":8}", then: None }, false },
    reports_something_else = { Reports { first: "ready", then: Some("ready") }, true },
    reports_after_a_cut_one = { Reports { first: "{\"busy\":fal", then: Some(REPORT) }, true },
    started_again_after_a_cut_one = { Reports { first: "{\"busy\":fal", then: Some("{\"busy\":false,\"seq\":0,\"born\":8}") }, false },
)]
fn a_target_that_crashes_in_its_report_does_not_run(reports: Reports, is_running: bool) {
    run_async(async move {
        let listener = TcpListener::bind(any_loopback_port()).await;
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let serving = tokio::spawn(serve_reports(listener, reports));
        let incarnation = Incarnation {
            id: "e-0".into(),
            born: Some(7),
        };
        let (handle, inbox) = ControlHandle::new();
        let engines = dialects().engines;
        let connections = Arc::new(ConnectionPool::new(Clock::start()));
        target_check::check(incarnation, address, engines, handle, connections).await;
        serving.abort();
        let batch = inbox.gather(Duration::ZERO).expect("the inbox is open");
        let inputs = batch.inputs;
        let checked = inputs.iter().find_map(|input| match input {
            Input::Checked(_, is_running) => Some(*is_running),
            _ => None,
        });
        assert_eq!(checked, Some(is_running));
    });
}
