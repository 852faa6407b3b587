//! How answers end on their callers' connections: an answer that breaks off looks complete
//! to no caller. Without chunks (HTTP/1.0), only the end of the connection marks the end of
//! a stream, so a break resets it.

use crate::answer_ends::ends;
use crate::processes::process_cluster;
use crate::rig::{API_KEY, Rig, data_centre_of, post};
use crate::{any_loopback_port, run_async};
use deckwind_core::state::{Change, LayerRange};
use deckwind_fakes::{
    ConnectionEnd, EVENTS_PER_STREAM, EngineFault, FakeEngine, FakeEngineConfig, FakeTargetFault,
    FakeTargetServer, HOST, StreamFraming, release_document, serve, whole_stream,
};
use deckwind_testkit::{
    Caller, Cluster, Layout, account, chat_template, engine_target, eventually_async,
};
use http::StatusCode;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use yare::parameterized;

/// Timeout for the end of an answer.
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// Receive buffer in bytes of a caller that reads nothing.
const SMALL_BUFFER: u32 = 8_192;

/// Header line that asks for the end of the connection after the answer.
const CLOSE: &str = "Connection: close\r\n";

/// Path of streams that can't be resumed.
const STREAM: &str = "/tell/x";

/// Number of layers of the chat model.
const LAYERS: u32 = 4;

/// Time that an engine needs for a token.
const STEP_TIME: Duration = Duration::from_millis(20);

/// Number of tokens of a chat: more than are sent before its engine fails.
const TOKENS: u32 = 100;

const PROMPT: &str = "rewrite the swap of tuesday";

/// End of a chunked body that is whole, with the end of the chunk before it.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// Number of streams that are broken off just after an event.
const ROUNDS: usize = 100;

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closed {
    /// All bytes were received, and the sender closed the connection.
    Properly,
    ByReset,
}

/// What a caller received until its connection ended.
#[derive(Debug)]
struct RawAnswer {
    head: String,
    body: Vec<u8>,
    closed: Closed,
}

impl RawAnswer {
    fn events(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request without a body. `version` is that of HTTP, and `headers` are further
/// header lines.
async fn connect(
    router: SocketAddr,
    version: &str,
    path: &str,
    deadline: Duration,
    headers: &str,
) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(SMALL_BUFFER)
        .expect("a small buffer");
    let mut stream = socket.connect(router).await.expect("a connection");
    let tokens = match path {
        STREAM => "X-Deckwind-Token-Count: 50,24\r\n",
        _ => "",
    };
    let head = format!(
        "POST {path} {version}\r\nHost: {HOST}\r\nAuthorization: Bearer {API_KEY}\r\n\
         X-Deckwind-Request-Id: r1\r\nX-Deckwind-Deadline-Ms: {}\r\n\
         {tokens}Content-Length: 0\r\n{headers}\r\n",
        deadline.as_millis()
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

/// Reads until the connection ends.
async fn read_to_end(mut stream: TcpStream) -> RawAnswer {
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    let ended = tokio::time::timeout(END_TIMEOUT, reading).await;
    let closed = match ended.expect("the connection ends") {
        Ok(_) => Closed::Properly,
        Err(e) if e.kind() == ErrorKind::ConnectionReset => Closed::ByReset,
        Err(e) => panic!("{e}"),
    };
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n");
    let end = end.unwrap_or_else(|| panic!("a head: {:?}", String::from_utf8_lossy(&bytes)));
    RawAnswer {
        head: String::from_utf8_lossy(&bytes[..end]).to_lowercase(),
        body: bytes[end + 4..].to_vec(),
        closed,
    }
}

async fn ask(rig: &Rig, version: &str, path: &str, headers: &str) -> RawAnswer {
    let router = rig.cluster.layout.routers[0].routes;
    let deadline = Duration::from_secs(3);
    read_to_end(connect(router, version, path, deadline, headers).await).await
}

async fn rig_of_one_target() -> Rig {
    let mut rig = Rig::start(1, 0).await;
    rig.wait_until_in_force().await;
    rig.wait_until_served(STREAM, true).await;
    rig
}

/// Guards against a reset that hides the end of a whole stream from a caller without chunks.
#[parameterized(
    alone = { "" },
    keep_alive = { "Connection: keep-alive\r\n" },
)]
fn a_whole_stream_to_an_http_1_0_caller_ends_with_a_closed_connection(headers: &str) {
    run_async(async {
        let rig = rig_of_one_target().await;
        let answer = ask(&rig, "HTTP/1.0", STREAM, headers).await;
        assert_eq!(answer.closed, Closed::Properly);
        assert!(
            !answer.head.contains("transfer-encoding"),
            "{}",
            answer.head
        );
        assert_eq!(answer.events(), whole_stream());
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against a stream that broke off and looks complete to a caller without chunks,
/// because its connection was closed like that of a whole one.
#[parameterized(
    by_close = { StreamFraming::Connection, ConnectionEnd::Close },
    by_reset = { StreamFraming::Connection, ConnectionEnd::Reset },
    chunked_by_close = { StreamFraming::Chunked, ConnectionEnd::Close },
    chunked_by_reset = { StreamFraming::Chunked, ConnectionEnd::Reset },
)]
fn a_stream_to_an_http_1_0_caller_that_breaks_off_resets_the_connection(
    framing: StreamFraming,
    connection: ConnectionEnd,
) {
    run_async(async {
        let rig = rig_of_one_target().await;
        let whole = whole_stream();
        let fault = ends(framing, Some(whole.len() / 2), connection);
        rig.plain[0].set_fault(fault);
        let answer = ask(&rig, "HTTP/1.0", STREAM, "").await;
        assert_eq!(answer.closed, Closed::ByReset);
        let events = answer.events();
        assert!(whole.starts_with(&events), "{events:?}");
        assert_ne!(events, whole);
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against a stream whose time is over and that looks complete to a caller without
/// chunks.
#[test]
fn a_stream_to_an_http_1_0_caller_that_runs_out_of_time_resets_the_connection() {
    run_async(async {
        let rig = rig_of_one_target().await;
        rig.plain[0].set_fault(FakeTargetFault::StallsAfter {
            event: 2,
            stage: rig.plain[0].address,
        });
        let router = rig.cluster.layout.routers[0].routes;
        let deadline = Duration::from_millis(500);
        let answer = read_to_end(connect(router, "HTTP/1.0", STREAM, deadline, "").await).await;
        assert_eq!(answer.closed, Closed::ByReset);
        assert!(whole_stream().starts_with(&answer.events()));
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against a caller without chunks that closes its sending side early: its answer
/// must not look complete before it is.
#[test]
fn a_stream_to_an_http_1_0_caller_that_half_closes_does_not_look_complete_early() {
    run_async(async {
        let rig = rig_of_one_target().await;
        let router = rig.cluster.layout.routers[0].routes;
        let deadline = Duration::from_secs(3);
        let mut stream = connect(router, "HTTP/1.0", STREAM, deadline, "").await;
        let mut first = [0; 1];
        stream.read_exact(&mut first).await.expect("a first byte");
        stream.shutdown().await.expect("closed for writing");
        let mut rest = Vec::new();
        let reading = stream.read_to_end(&mut rest);
        let ended = tokio::time::timeout(END_TIMEOUT, reading).await;
        if ended.expect("the connection ends").is_ok() {
            let text = String::from_utf8_lossy(&rest);
            assert!(text.ends_with(&whole_stream()), "{text}");
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against a caller without chunks that the router disconnects because it lags, and
/// whose answer then looks complete.
#[test]
fn an_http_1_0_caller_that_is_disconnected_sees_a_reset() {
    run_async(async {
        let mut layout = Layout::new(1, 1).expect("a layout");
        layout.memory_mb = Some(1.0);
        let mut rig = Rig::start_with(layout, 1, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served(STREAM, true).await;
        rig.plain[0].set_fault(FakeTargetFault::Floods {
            events: 5_000,
            bytes: 4_000,
            continues: false,
        });
        let router = rig.cluster.layout.routers[0].routes;
        let deadline = Duration::from_secs(60);
        let stuck = connect(router, "HTTP/1.0", STREAM, deadline, "").await;
        eventually_async("the caller is disconnected", || async {
            let router = rig.cluster.router(0).router().expect("a router");
            let disconnected = router.shared().routes.deliveries.disconnected_count();
            (disconnected >= 1).then_some(())
        })
        .await;
        let answer = read_to_end(stuck).await;
        assert_eq!(answer.closed, Closed::ByReset);
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against whole answers that a reset cuts: their length says where they end.
#[parameterized(
    version_1_0 = { "HTTP/1.0", 100 },
    version_1_0_long = { "HTTP/1.0", 900_000 },
    version_1_1_that_closes = { "HTTP/1.1", 900_000 },
)]
fn a_whole_answer_ends_with_its_length_and_a_closed_connection(version: &str, bytes: usize) {
    run_async(async {
        let rig = rig_of_one_target().await;
        rig.plain[0].set_fault(FakeTargetFault::LongBody(bytes));
        let answer = ask(&rig, version, "/once/x", CLOSE).await;
        assert_eq!(answer.closed, Closed::Properly);
        let length = format!("content-length: {bytes}");
        assert!(answer.head.contains(&length), "{}", answer.head);
        assert_eq!(answer.body, "y".repeat(bytes).as_bytes());
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against a caller that asks for `Connection: close` and gets a stream without
/// chunks: a close would then look like the end.
#[test]
fn a_stream_to_a_caller_that_closes_ends_with_a_last_chunk_only_if_it_is_whole() {
    run_async(async {
        let rig = rig_of_one_target().await;
        for broken_after in [None, Some(30)] {
            let fault = ends(
                StreamFraming::Connection,
                broken_after,
                ConnectionEnd::Close,
            );
            rig.plain[0].set_fault(fault);
            let answer = ask(&rig, "HTTP/1.1", STREAM, CLOSE).await;
            let chunked = "transfer-encoding: chunked";
            assert!(answer.head.contains(chunked), "{}", answer.head);
            let is_whole = answer.body.ends_with(LAST_CHUNK);
            assert_eq!(is_whole, broken_after.is_none(), "{}", answer.events());
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against events that were received whole, but lost on their way to the caller
/// because the stream broke off just after them.
#[test]
fn the_events_before_a_break_reach_the_caller() {
    run_async(async {
        let rig = rig_of_one_target().await;
        let whole = whole_stream();
        for count in (1..EVENTS_PER_STREAM as usize).cycle().take(ROUNDS) {
            let sent: String = whole.split_inclusive("\n\n").take(count).collect();
            let fault = ends(
                StreamFraming::Connection,
                Some(sent.len() + 1),
                ConnectionEnd::Close,
            );
            rig.plain[0].set_fault(fault);
            for version in ["HTTP/1.0", "HTTP/1.1"] {
                let answer = ask(&rig, version, STREAM, "").await;
                let received = answer.events();
                assert!(received.contains(&sent), "{version} {count}: {received}");
            }
        }
        rig.cluster.close().await.expect("closed");
    });
}

/// Guards against a chat whose session ends early and whose event stream looks complete.
#[parameterized(
    chunked = { "HTTP/1.1" },
    without_chunks = { "HTTP/1.0" },
)]
fn a_chat_that_ends_early_breaks_its_event_stream_off(version: &str) {
    run_async(async {
        let cluster = Cluster::start(1, 1).await.expect("a cluster");
        let template = chat_template("swaps", LAYERS);
        let changes = [
            Change::Template(template),
            Change::Account(account("care", "key")),
        ];
        for change in changes {
            cluster.apply(change).await.expect("applied");
        }
        let mut cfg = FakeEngineConfig::new(LayerRange::new(0, LAYERS), LAYERS);
        cfg.step_time = STEP_TIME;
        let engine = FakeEngine::new(cfg);
        let served = serve::engine(any_loopback_port(), Arc::new(engine.clone()));
        let served = served.await.expect("an engine");
        let target = engine_target("engine", served.address, 0, LAYERS);
        cluster
            .apply(Change::Target(target))
            .await
            .expect("applied");
        let caller = Caller::new(cluster.callers(0), "key");
        eventually_async("the chat is served", || async {
            let answer = caller.chat("swaps", PROMPT, 1, &[]).await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;

        let whole = read_to_end(chat(&cluster, version).await).await;
        assert_eq!(whole.closed, Closed::Properly);
        assert!(whole.events().contains("[DONE]"), "{}", whole.events());

        let stream = chat(&cluster, version).await;
        stream.readable().await.expect("a first byte");
        let retired = cluster.apply(Change::RetireTarget("engine".into())).await;
        retired.expect("applied");
        engine.set_fault(EngineFault::Dead);
        let broken = read_to_end(stream).await;
        let events = broken.events();
        assert!(events.contains("event: error"), "{events}");
        assert!(!events.contains("[DONE]"), "{events}");
        match version {
            "HTTP/1.0" => assert_eq!(broken.closed, Closed::ByReset),
            _ => assert!(!broken.body.ends_with(LAST_CHUNK), "{events}"),
        }
        cluster.close().await.expect("closed");
        served.kill().await;
    });
}

/// Asks for a chat as an event stream.
async fn chat(cluster: &Cluster, version: &str) -> TcpStream {
    let body = serde_json::json!({
        "model": "swaps",
        "messages": [{ "role": "user", "content": PROMPT }],
        "max_tokens": TOKENS,
        "stream": true,
    });
    let body = body.to_string();
    let stream = TcpStream::connect(cluster.callers(0)).await;
    let mut stream = stream.expect("a connection");
    let head = format!(
        "POST /v1/chat/completions {version}\r\nHost: {HOST}\r\nAuthorization: Bearer key\r\n\
         Connection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

/// Guards against a router that is killed within a stream, which then looks complete: the
/// kernel closes its connections.
#[parameterized(
    chunked = { "HTTP/1.1" },
    without_chunks = { "HTTP/1.0" },
)]
fn a_stream_of_a_router_that_is_killed_does_not_look_complete(version: &str) {
    run_async(async {
        let cluster = process_cluster(1, 1);
        let control = cluster.control(0).expect("a control replica");
        let router = cluster.router(0).expect("a router");
        let address = cluster.layout.routers[0].routes;
        let target = FakeTargetServer::start("p-0").await.expect("a target");
        publish_target(cluster.layout.control_calls[0], &target).await;
        let deadline = Duration::from_secs(3);
        eventually_async("a stream is served", || async {
            TcpStream::connect(address).await.ok()?;
            let stream = connect(address, version, STREAM, deadline, CLOSE).await;
            let answer = read_to_end(stream).await;
            answer.head.contains("200 ok").then_some(())
        })
        .await;

        target.set_fault(FakeTargetFault::StallsAfter {
            event: 2,
            stage: target.address,
        });
        let stream = connect(address, version, STREAM, deadline, CLOSE).await;
        stream.readable().await.expect("a first byte");
        router.kill();
        let answer = read_to_end(stream).await;
        match version {
            "HTTP/1.0" => {
                assert_eq!(answer.closed, Closed::ByReset);
                assert!(whole_stream().starts_with(&answer.events()));
            }
            _ => assert!(!answer.body.ends_with(LAST_CHUNK), "{}", answer.events()),
        }
        control.kill();
    });
}

/// Publishes the first release, and announces a target of its plain routes.
pub async fn publish_target(control: SocketAddr, target: &FakeTargetServer) {
    let release = release_document(1, &[API_KEY]);
    let announcement = target.announcement("plain", data_centre_of(0), "ready", 1);
    let posts = [
        ("/v1/config/put", release),
        ("/v1/instances/p-0/heartbeat", announcement),
    ];
    for (path, body) in posts {
        eventually_async("control accepts it", || async {
            (post(control, path, &body).await == StatusCode::OK).then_some(())
        })
        .await;
    }
}
