//! Bodies of requests that are cut short: whatever has arrived, and however the caller went,
//! no part of such a request runs or is committed.

use crate::any_loopback_port;
use crate::rig::{API_KEY, Rig};
use crate::run_async;
use deckwind_core::state::Change;
use deckwind_fakes::{FakeService, HOST, release_document, serve};
use deckwind_testkit::{
    Caller, Cluster, account, eventually_async, service_target, service_template,
};
use http::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

/// Time that a router gets to read what was sent before the caller goes.
const PAUSE: Duration = Duration::from_millis(50);

/// Timeout for the end of a connection; longer than those of the servers.
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// What is missing of a body whose data is there.
#[derive(Clone, Copy, Debug)]
enum Missing {
    /// The last byte that the length announces.
    PartOfLength,
    LastChunk,
}

/// How a caller goes.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    ByHalfClose,
    ByReset,
}

/// Sends a request with all of `body`, but without its end, and waits until the connection
/// ends. Returns what was answered.
async fn send_cut(
    server: SocketAddr,
    head: &str,
    body: &str,
    missing: Missing,
    leaves: Leaves,
) -> String {
    let length = body.len();
    let framed = match missing {
        Missing::PartOfLength => format!("Content-Length: {}\r\n\r\n{body}", length + 1),
        Missing::LastChunk => {
            format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n")
        }
    };
    let mut stream = TcpStream::connect(server).await.expect("a connection");
    let request = format!("{head}{framed}");
    stream.write_all(request.as_bytes()).await.expect("sent");
    tokio::time::sleep(PAUSE).await;
    if matches!(leaves, Leaves::ByReset) {
        stream.set_zero_linger().expect("set");
        return String::new();
    }
    stream.shutdown().await.expect("closed for writing");
    read_to_end(stream).await
}

async fn read_to_end(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let ended = tokio::time::timeout(END_TIMEOUT, reading).await;
    if let Err(e) = ended.expect("the connection ends") {
        assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns a cluster with the plain service `card-status`. Calls that are not repeatable are
/// claimed before they are sent.
async fn cluster_with_service(repeatable: bool) -> (Cluster, FakeService) {
    let cluster = Cluster::start(1, 1).await.expect("a cluster");
    let service = FakeService::new("card-status");
    let served = serve::service(any_loopback_port(), std::sync::Arc::new(service.clone()));
    let address = served.await.expect("a service").address;
    let changes = [
        Change::Template(service_template("card-status", repeatable)),
        Change::Account(account("care", "key")),
        Change::Target(service_target("card-status-1", address, "card-status")),
    ];
    for change in changes {
        cluster.apply(change).await.expect("applied");
    }
    wait_until_served(&cluster).await;
    (cluster, service)
}

async fn wait_until_served(cluster: &Cluster) {
    let caller = Caller::new(cluster.callers(0), "key");
    eventually_async("a call is served", || async {
        let answer = caller.post("/s/card-status/x", "{}", &[]).await.ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
}

fn count_runs(service: &FakeService) -> u32 {
    service.runs().values().sum()
}

/// Guards against a request that runs although its caller left before the end of its body.
#[parameterized(
    length_half_close = { Missing::PartOfLength, Leaves::ByHalfClose },
    length_reset = { Missing::PartOfLength, Leaves::ByReset },
    chunks_half_close = { Missing::LastChunk, Leaves::ByHalfClose },
    chunks_reset = { Missing::LastChunk, Leaves::ByReset },
)]
fn a_call_to_a_template_with_a_cut_body_does_not_run(missing: Missing, leaves: Leaves) {
    run_async(async move {
        let (cluster, service) = cluster_with_service(false).await;
        let before = count_runs(&service);
        let head = format!(
            "POST /s/card-status/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer key\r\n"
        );
        let answer = send_cut(cluster.callers(0), &head, "{}", missing, leaves).await;
        assert!(!answer.contains("200 OK"), "{answer}");
        tokio::time::sleep(PAUSE).await;
        assert_eq!(count_runs(&service), before);
        wait_until_served(&cluster).await;
        cluster.close().await.expect("closed");
    });
}

/// Guards against the same on a published route.
#[parameterized(
    length_reset = { Missing::PartOfLength, Leaves::ByReset },
    chunks_half_close = { Missing::LastChunk, Leaves::ByHalfClose },
    chunks_reset = { Missing::LastChunk, Leaves::ByReset },
)]
fn a_request_to_a_route_with_a_cut_body_does_not_run(missing: Missing, leaves: Leaves) {
    run_async(async move {
        let rig = Rig::start(1, 0).await;
        rig.wait_until_served("/once/x", false).await;
        let head = format!(
            "POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {API_KEY}\r\n\
             X-Deckwind-Request-Id: cut\r\nX-Deckwind-Deadline-Ms: 3000\r\n"
        );
        let router = rig.cluster.layout.routers[0].routes;
        send_cut(router, &head, "{}", missing, leaves).await;
        tokio::time::sleep(PAUSE).await;
        assert_eq!(rig.send_count("cut"), 0);
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against a release that is published although the operator's call was cut.
#[parameterized(
    length_half_close = { Missing::PartOfLength, Leaves::ByHalfClose },
    length_reset = { Missing::PartOfLength, Leaves::ByReset },
    chunks_half_close = { Missing::LastChunk, Leaves::ByHalfClose },
    chunks_reset = { Missing::LastChunk, Leaves::ByReset },
)]
fn a_release_whose_body_is_cut_is_not_published(missing: Missing, leaves: Leaves) {
    run_async(async move {
        let rig = Rig::start(1, 0).await;
        rig.wait_until_served("/once/x", false).await;
        let document = release_document(3, &["new-key"]).to_string();
        let head = format!("POST /v1/config/put HTTP/1.1\r\nHost: {HOST}\r\n");
        let answer = send_cut(rig.control(), &head, &document, missing, leaves).await;
        assert!(!answer.contains("200 OK"), "{answer}");
        // An older version is refused once a newer one is published.
        eventually_async("an older version is published", || async {
            let status = rig.publish(2, &[API_KEY]).await;
            assert_ne!(status, StatusCode::BAD_REQUEST);
            (status == StatusCode::OK).then_some(())
        })
        .await;
        let refused = rig.ask("r1", "/once/x", "new-key", false).await;
        assert_eq!(refused.status, StatusCode::UNAUTHORIZED);
        rig.cluster.close().await.expect("closed");
    });
}

/// A frame of HTTP/2 (RFC 9113, section 4.1) on stream 1, or on the connection.
fn frame(kind: u8, flags: u8, stream: u8, payload: &[u8]) -> Vec<u8> {
    let length = u8::try_from(payload.len()).expect("a short frame");
    let mut frame = vec![0, 0, length, kind, flags, 0, 0, 0, stream];
    frame.extend_from_slice(payload);
    frame
}

/// Header fields as literals without an index (RFC 7541, section 6.2.2).
fn header_block(fields: &[(&str, &str)]) -> Vec<u8> {
    let mut block = Vec::new();
    for (name, value) in fields {
        block.push(0);
        for text in [name, value] {
            block.push(u8::try_from(text.len()).expect("a short text"));
            block.extend_from_slice(text.as_bytes());
        }
    }
    block
}

/// Guards against an HTTP/2 request whose caller cancels it within its body: the library ends
/// the body without an error.
#[parameterized(
    cancelled = { Some(8), false },
    without_an_error = { Some(0), false },
    connection_closed = { None, false },
    whole = { None, true },
)]
fn an_http_2_call_that_is_reset_within_its_body_does_not_run(reset: Option<u8>, is_whole: bool) {
    const DATA: u8 = 0;
    const HEADERS: u8 = 1;
    const RST_STREAM: u8 = 3;
    const SETTINGS: u8 = 4;
    const END_STREAM: u8 = 1;
    const END_HEADERS: u8 = 4;
    run_async(async move {
        let (cluster, service) = cluster_with_service(true).await;
        let before = count_runs(&service);
        let fields = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", "/s/card-status/x"),
            (":authority", HOST),
            ("authorization", "Bearer key"),
        ];
        let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
        bytes.extend(frame(SETTINGS, 0, 0, &[]));
        bytes.extend(frame(HEADERS, END_HEADERS, 1, &header_block(&fields)));
        bytes.extend(frame(DATA, u8::from(is_whole) * END_STREAM, 1, b"{}"));
        let stream = TcpStream::connect(cluster.callers(0)).await;
        let mut stream = stream.expect("a connection");
        stream.write_all(&bytes).await.expect("sent");
        tokio::time::sleep(PAUSE).await;
        if let Some(code) = reset {
            let reset = frame(RST_STREAM, 0, 1, &[0, 0, 0, code]);
            stream.write_all(&reset).await.expect("sent");
            tokio::time::sleep(PAUSE).await;
        }
        if is_whole {
            eventually_async("the call runs", || async {
                (count_runs(&service) == before + 1).then_some(())
            })
            .await;
        } else {
            drop(stream);
            tokio::time::sleep(PAUSE).await;
            assert_eq!(count_runs(&service), before);
        }
        cluster.close().await.expect("closed");
    });
}
