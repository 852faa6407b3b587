//! Requests that a router can't parse: each gets a clear error status, no target
//! receives any part of it, and the next request is served.

use crate::rig::{API_KEY, Rig};
use crate::run_async;
use deckwind_fakes::HOST;
use http::StatusCode;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

/// Timeout for the router's answer; longer than the timeouts of the router itself.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends raw bytes and returns the status of the answer, or `None` if the
/// connection ended without one. `half_close` closes the sending side after them.
async fn send_raw(rig: &Rig, bytes: &[u8], half_close: bool) -> Option<u16> {
    let router = rig.cluster.layout.routers[0].routes;
    let mut stream = TcpStream::connect(router).await.expect("a connection");
    stream.write_all(bytes).await.expect("sent");
    if half_close {
        stream.shutdown().await.expect("closed for writing");
    }
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let ended = tokio::time::timeout(ANSWER_TIMEOUT, reading).await;
    if let Err(e) = ended.expect("an answer or an end") {
        assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset);
    }
    let text = String::from_utf8_lossy(&answer);
    let status = text.strip_prefix("HTTP/1.1 ")?.get(..3)?;
    Some(status.parse().expect("a status"))
}

/// Builds a request to the plain route `once` with the given headers and body; an
/// empty `id` leaves out the header with the request's id.
fn request(id: &str, headers: &str, body: &str) -> Vec<u8> {
    let id = match id.is_empty() {
        true => String::new(),
        false => format!("X-Deckwind-Request-Id: {id}\r\n"),
    };
    format!(
        "POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\nAuthorization: Bearer {API_KEY}\r\n\
         {id}X-Deckwind-Deadline-Ms: 3000\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

#[parameterized(
    no_id = { "", "Content-Length: 2\r\n", "ab", false, Some(400) },
    longer_than_may_be = { "bad", "Content-Length: 99999999\r\n", "ab", false, Some(413) },
    no_number_as_length = { "bad", "Content-Length: two\r\n", "ab", false, Some(400) },
    two_lengths = { "bad", "Content-Length: 2\r\nContent-Length: 3\r\n", "abc", false, Some(400) },
    no_chunk_length = { "bad", "Transfer-Encoding: chunked\r\n", "zz\r\nab\r\n0\r\n\r\n", false, Some(400) },
    ends_within_its_length = { "bad", "Content-Length: 10\r\n", "ab", true, None },
    ends_within_a_chunk = { "bad", "Transfer-Encoding: chunked\r\n", "a\r\nab", true, None },
    never_ends = { "bad", "Content-Length: 10\r\n", "ab", false, Some(408) },
    bad_last_event_id = { "bad", "Content-Length: 0\r\nLast-Event-Id: x\r\n", "", false, Some(400) },
)]
fn a_body_that_can_not_be_read_reaches_no_target(
    id: &str,
    headers: &str,
    body: &str,
    half_close: bool,
    status: Option<u16>,
) {
    let bytes = request(id, headers, body);
    run_async(async move {
        let rig = Rig::start(1, 0).await;
        rig.wait_until_served("/once/x", false).await;
        let before = rig.plain[0].received_requests().len();
        let answered = send_raw(&rig, &bytes, half_close).await;
        if status.is_some() {
            assert_eq!(answered, status);
        } else {
            assert!(matches!(answered, None | Some(400)), "{answered:?}");
        }
        assert_eq!(
            rig.plain[0].received_requests().len(),
            before,
            "no target received it"
        );
        let next = rig.ask("next", "/once/x", API_KEY, false).await;
        assert_eq!(next.status, StatusCode::OK);
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against request smuggling: with `Content-Length` and `Transfer-Encoding` in
/// one request, a second request in its body must not run.
#[test]
fn a_request_hidden_in_another_s_body_does_not_run() {
    let hidden = String::from_utf8(request("hidden", "Content-Length: 0\r\n", ""));
    let hidden = hidden.expect("text");
    let headers = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n";
    let bytes = request("outer", headers, &format!("0\r\n\r\n{hidden}"));
    run_async(async move {
        let rig = Rig::start(1, 0).await;
        rig.wait_until_served("/once/x", false).await;
        send_raw(&rig, &bytes, false).await;
        rig.ask("next", "/once/x", API_KEY, false).await;
        assert_eq!(rig.send_count("hidden"), 0);
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against a head that is refused for the number of its fields, although it is no
/// longer than a head may be.
#[parameterized(
    a_hundred = { 100 },
    as_many_as_fit = { 2_500 },
)]
fn a_short_head_of_many_fields_is_served(fields: usize) {
    run_async(async move {
        let rig = Rig::start(1, 0).await;
        rig.wait_until_served("/once/x", false).await;
        let headers = format!("{}Content-Length: 2\r\n", "x:\r\n".repeat(fields));
        let answered = send_raw(&rig, &request("many", &headers, "ab"), false).await;
        assert_eq!(answered, Some(200));
        rig.cluster.close().await.expect("closed");
    });
}
