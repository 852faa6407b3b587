//! Ends of connections to targets through other routers: the opener of a tunnel takes as
//! ended only what the target has ended.

use crate::rig::{API_KEY, NOT_RESUMABLE, Rig};
use crate::{any_loopback_port, run_async};
use deckwind_core::routes::BodyEnd;
use deckwind_fakes::{ConnectionEnd, FakeTargetFault, StreamEnding, StreamFraming, whole_stream};
use deckwind_net::BoxFuture;
use deckwind_net::body::{BodyPart, BrokenBody, MessageBody};
use deckwind_net::clock::Clock;
use deckwind_net::quic::QuicPeer;
use deckwind_net::targets::{
    BoxedStream, ConnectionPool, Connector, TargetConnection, TargetStream,
};
use deckwind_net::tunnel::{CarriedBytes, IncomingTunnel, TunnelStream};
use deckwind_testkit::{Layout, LinkFault, eventually_async};
use http::{Request, StatusCode, response};
use http_body_util::Full;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use yare::parameterized;

const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Size of the buffer of a connection in memory, bytes.
const BUFFER_BYTES: usize = 4 * 1_024;

/// Idle time for which a connection may be used again.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Maximum number of idle connections.
const MAX_IDLE: usize = 8;

const REQUEST: &[u8] = b"request";
const ACCEPTED: &[u8] = b"accepted";

/// What a target has sent before the tunnel ends.
const ANSWER: &[u8] = b"id: 1\ndata: tok";

/// An answer that ends with its connection, as far as it was sent.
const UNFRAMED: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: tok";

/// An answer with a length.
const FRAMED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A request that lacks most of its body.
const CUT_REQUEST: &[u8] = b"POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc";

/// Maximum time until the opener notices the end of a tunnel: more than the idle timeout of
/// connections between routers.
const MAX_NOTICE_TIME: Duration = Duration::from_secs(10);

fn peer() -> QuicPeer {
    QuicPeer::bind(any_loopback_port(), None, MAX_MESSAGE_BYTES).expect("a port")
}

/// A router that carries tunnels, on a runtime of its own.
struct Carrier {
    runtime: Runtime,
    peer: QuicPeer,
    incoming: mpsc::UnboundedReceiver<IncomingTunnel>,
}

impl Carrier {
    fn start() -> Self {
        let runtime = Builder::new_multi_thread().enable_all().build();
        let runtime = runtime.expect("the runtime starts");
        let peer = {
            let _entered = runtime.enter();
            peer()
        };
        let (tx, incoming) = mpsc::unbounded_channel();
        let handle = move |tunnel| tx.send(tunnel).expect("the test waits");
        runtime.spawn(peer.clone().serve_tunnels(handle));
        Self {
            runtime,
            peer,
            incoming,
        }
    }
}

/// All of a tunnel but the opener's stream.
struct FarSide {
    carrier: Carrier,
    carrying: JoinHandle<CarriedBytes>,
    /// Keeps the opener's endpoint.
    opener: QuicPeer,
    target: TcpStream,
}

/// What must outlast the end of a tunnel, so that only one part of it ends.
struct Remains {
    _runtime: Option<BackgroundRuntime>,
    _opener: QuicPeer,
    _target: Option<TcpStream>,
}

/// Opens a tunnel to a TCP connection.
async fn open_tunnel() -> (TunnelStream, FarSide) {
    let (near, target) = connected_sockets().await;
    let mut carrier = Carrier::start();
    let opener = peer();
    let via = carrier.peer.local_addr().expect("an address");
    let dialer = opener.tunnel_dialer();
    let opening = tokio::spawn(async move { dialer.open(via, REQUEST).await });
    let tunnel = carrier.incoming.recv().await.expect("a tunnel");
    assert_eq!(tunnel.request, REQUEST);
    let carrying = carrier.runtime.spawn(async move {
        let near = TcpStream::from_std(near).expect("a socket");
        tunnel.carry(ACCEPTED, Box::new(near)).await
    });
    let opened = opening.await.expect("no panic");
    let (answer, stream) = opened.expect("a tunnel");
    assert_eq!(answer, ACCEPTED);
    let far = FarSide {
        carrier,
        carrying,
        opener,
        target,
    };
    (stream, far)
}

/// Returns both ends of a TCP connection; the first is not bound to a runtime.
async fn connected_sockets() -> (std::net::TcpStream, TcpStream) {
    let listener = TcpListener::bind(any_loopback_port()).await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connecting = TcpStream::connect(address);
    let (near, far) = tokio::join!(connecting, listener.accept());
    let near = near.expect("a connection").into_std().expect("a socket");
    (near, far.expect("a connection").0)
}

impl FarSide {
    async fn end(self, how: HowItEnds) -> Remains {
        let Self {
            carrier,
            carrying,
            opener,
            target,
        } = self;
        let mut target = Some(target);
        let mut runtime = Some(carrier.runtime);
        match how {
            HowItEnds::TargetCloses => drop(target.take()),
            HowItEnds::TargetResets => {
                let target = target.take().expect("it is connected");
                target.set_zero_linger().expect("an option");
            }
            HowItEnds::CarryingIsDropped => carrying.abort(),
            HowItEnds::CarrierCloses => {
                carrier.peer.close().await;
                shut_down(runtime.take()).await;
            }
            HowItEnds::CarrierStops => shut_down(runtime.take()).await,
        }
        Remains {
            _runtime: runtime.map(|r| BackgroundRuntime(Some(r))),
            _opener: opener,
            _target: target,
        }
    }
}

/// Stops a runtime and drops its tasks.
async fn shut_down(runtime: Option<Runtime>) {
    let stopping = tokio::task::spawn_blocking(move || drop(runtime));
    stopping.await.expect("it stops");
}

/// A runtime that can be dropped within another one.
struct BackgroundRuntime(Option<Runtime>);

impl Drop for BackgroundRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Reads to a proper end and returns the number of bytes, or the error.
async fn read_to_end(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
    let mut rest = Vec::new();
    let read = tokio::time::timeout(MAX_NOTICE_TIME, stream.read_to_end(&mut rest)).await;
    read.expect("the end is noticed")
}

/// How a tunnel ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HowItEnds {
    /// The target closes its connection.
    TargetCloses,
    /// The target resets its connection.
    TargetResets,
    /// The task that carries the tunnel is dropped; its router runs on.
    CarryingIsDropped,
    /// The carrying router closes its connections, then its runtime stops.
    CarrierCloses,
    /// The carrying router's runtime stops without closing anything.
    CarrierStops,
}

/// Guards against a tunnel that a router ended by itself and that looked as if the target
/// had closed its connection: a dropped QUIC stream is finished, not reset.
#[parameterized(
    target_closes = { HowItEnds::TargetCloses },
    target_resets = { HowItEnds::TargetResets },
    carrying_is_dropped = { HowItEnds::CarryingIsDropped },
    carrier_closes = { HowItEnds::CarrierCloses },
    carrier_stops = { HowItEnds::CarrierStops },
)]
fn a_tunnel_ends_properly_only_if_the_target_closes(how: HowItEnds) {
    run_async(async move {
        let (mut stream, mut far) = open_tunnel().await;
        far.target.write_all(ANSWER).await.expect("sent");
        let mut buf = [0; ANSWER.len()];
        stream.read_exact(&mut buf).await.expect("the bytes");
        assert_eq!(buf, ANSWER);
        let _remains = far.end(how).await;
        let read = read_to_end(&mut stream).await;
        match how {
            HowItEnds::TargetCloses => assert_eq!(read.expect("a proper end"), 0),
            _ => assert!(read.is_err(), "{read:?}"),
        }
    });
}

/// Guards against an opener that leaves, or closes its side early, and that takes what it has
/// of the answer as ended. The target sees a closed connection, inside the request.
#[parameterized(closes_its_side = { true }, leaves = { false })]
fn a_tunnel_whose_opener_ends_it_closes_the_connection_and_does_not_end_properly(closes: bool) {
    run_async(async move {
        let (mut stream, mut far) = open_tunnel().await;
        stream.write_all(CUT_REQUEST).await.expect("sent");
        let mut received = vec![0; CUT_REQUEST.len()];
        let reading = far.target.read_exact(&mut received);
        reading.await.expect("the bytes");
        if closes {
            stream.shutdown().await.expect("closed");
            let read = read_to_end(&mut stream).await;
            assert!(read.is_err(), "{read:?}");
        } else {
            drop(stream);
        }
        let rest = read_to_end(&mut far.target).await;
        assert_eq!(rest.expect("a closed connection"), 0);
        assert_eq!(received, CUT_REQUEST);
        let _remains = far.end(HowItEnds::CarryingIsDropped).await;
    });
}

/// Connects to each of these streams once.
struct GivenStreams(Mutex<Vec<BoxedStream>>);

impl Connector for GivenStreams {
    fn connect(&self, _: SocketAddr) -> BoxFuture<'_, io::Result<BoxedStream>> {
        let next = self.0.lock().expect("no holder panics").pop();
        let connected = next.ok_or_else(|| io::ErrorKind::ConnectionRefused.into());
        Box::pin(std::future::ready(connected))
    }
}

/// Returns a pool whose only connection is this stream.
fn pool_of(stream: impl TargetStream + 'static) -> ConnectionPool {
    let given = GivenStreams(Mutex::new(vec![Box::new(stream)]));
    ConnectionPool::with_connector(Clock::start(), Arc::new(given))
}

async fn take(pool: &ConnectionPool) -> Option<TargetConnection> {
    pool.get(any_loopback_port(), IDLE_TIME).await.ok()
}

/// Answers the next request on a connection with these bytes.
async fn answer(target: &mut (impl AsyncRead + AsyncWrite + Unpin), answer: &[u8]) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(target.read_u8().await.expect("a request"));
    }
    target.write_all(answer).await.expect("sent");
}

/// Sends a request on the pool's connection, and answers it with these bytes.
async fn ask(
    pool: &ConnectionPool,
    target: &mut (impl AsyncRead + AsyncWrite + Unpin),
    bytes: &[u8],
) -> (TargetConnection, response::Parts, MessageBody) {
    let mut connection = take(pool).await.expect("a connection");
    let req = Request::get("/x").body(Full::default()).expect("a request");
    let (sent, ()) = tokio::join!(connection.send(req), answer(target, bytes));
    let (head, body) = sent.expect("the head of an answer");
    (connection, head, body)
}

/// Reads a body to its end, and returns its bytes and how it ended.
async fn read_body(mut body: MessageBody) -> (Vec<u8>, Result<BodyEnd, BrokenBody>) {
    let mut bytes = Vec::new();
    loop {
        let next = tokio::time::timeout(MAX_NOTICE_TIME, body.next()).await;
        match next.expect("the end is noticed") {
            Ok(BodyPart::Data(data)) => bytes.extend_from_slice(&data),
            Ok(BodyPart::End(end)) => return (bytes, Ok(end)),
            Err(e) => return (bytes, Err(e)),
        }
    }
}

/// Guards against an answer without a length or chunks that a router on the way ended: the
/// end of its connection is all that tells a whole one from a cut one.
#[parameterized(
    target_closes = { HowItEnds::TargetCloses },
    target_resets = { HowItEnds::TargetResets },
    carrying_is_dropped = { HowItEnds::CarryingIsDropped },
    carrier_closes = { HowItEnds::CarrierCloses },
    carrier_stops = { HowItEnds::CarrierStops },
)]
fn an_answer_that_ends_with_its_tunnel_ends_properly_only_if_the_target_closes(how: HowItEnds) {
    run_async(async move {
        let (stream, mut far) = open_tunnel().await;
        let pool = pool_of(stream);
        let (_connection, _, mut body) = ask(&pool, &mut far.target, UNFRAMED).await;
        let first = body.next().await.expect("some bytes");
        assert_eq!(first, BodyPart::Data(ANSWER.into()));
        let _remains = far.end(how).await;
        let (rest, end) = read_body(body).await;
        assert_eq!(rest, b"");
        match how {
            HowItEnds::TargetCloses => assert_eq!(end, Ok(BodyEnd::Closed)),
            _ => assert!(end.is_err(), "{end:?}"),
        }
    });
}

/// A stream that fails with an error once its bytes are read.
struct FailingStream {
    inner: DuplexStream,
    bytes_left: usize,
    error: io::ErrorKind,
}

impl AsyncRead for FailingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.bytes_left == 0 {
            return Poll::Ready(Err(self.error.into()));
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.bytes_left -= buf.filled().len() - before;
        read
    }
}

impl AsyncWrite for FailingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// Guards against a connection that the kernel gave up, after silence or a reset, and whose
/// answer without a length or chunks was taken as ended.
#[parameterized(
    given_up = { io::ErrorKind::TimedOut },
    reset = { io::ErrorKind::ConnectionReset },
)]
fn an_answer_on_a_connection_that_fails_breaks_off(error: io::ErrorKind) {
    run_async(async move {
        let (inner, mut target) = tokio::io::duplex(BUFFER_BYTES);
        let pool = pool_of(FailingStream {
            inner,
            bytes_left: UNFRAMED.len(),
            error,
        });
        let (_connection, _, body) = ask(&pool, &mut target, UNFRAMED).await;
        let (bytes, end) = read_body(body).await;
        assert_eq!(bytes, ANSWER);
        assert!(end.is_err(), "{end:?}");
    });
}

/// Guards against a connection with bytes of nobody's answer, or that ended with its answer,
/// and that is used for the next request. The bytes arrive at once.
#[parameterized(
    second_answer = { b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", BodyEnd::Framed },
    stray_bytes = { b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\r\n", BodyEnd::Framed },
    after_chunks = { b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nno", BodyEnd::Framed },
    after_an_empty_answer = { b"HTTP/1.1 204 No Content\r\n\r\nno", BodyEnd::Framed },
    ended_with_its_answer = { b"HTTP/1.1 200 OK\r\n\r\nok", BodyEnd::Closed },
)]
fn a_connection_with_stray_bytes_or_an_end_is_not_used_again(
    bytes: &'static [u8],
    expected: BodyEnd,
) {
    run_async(async move {
        let (inner, mut target) = tokio::io::duplex(BUFFER_BYTES);
        let pool = pool_of(inner);
        let (connection, head, body) = ask(&pool, &mut target, bytes).await;
        let _target = (expected == BodyEnd::Framed).then_some(target);
        let (_, end) = read_body(body).await;
        assert_eq!(end, Ok(expected));
        pool.return_connection(connection, &head.headers, expected, MAX_IDLE);
        assert!(take(&pool).await.is_none(), "it was used again");
    });
}

/// Guards against an idle connection that is used again after its tunnel has ended.
#[parameterized(
    target_closes = { HowItEnds::TargetCloses },
    target_resets = { HowItEnds::TargetResets },
    carrying_is_dropped = { HowItEnds::CarryingIsDropped },
    carrier_closes = { HowItEnds::CarrierCloses },
)]
fn an_idle_connection_whose_tunnel_ended_is_not_used_again(how: HowItEnds) {
    run_async(async move {
        let (stream, mut far) = open_tunnel().await;
        let pool = pool_of(stream);
        let (connection, head, body) = ask(&pool, &mut far.target, FRAMED).await;
        let (_, end) = read_body(body).await;
        assert_eq!(end, Ok(BodyEnd::Framed));
        pool.return_connection(connection, &head.headers, BodyEnd::Framed, MAX_IDLE);
        let connection = take(&pool).await.expect("the idle connection");
        assert!(connection.reused);
        pool.return_connection(connection, &head.headers, BodyEnd::Framed, MAX_IDLE);
        let _remains = far.end(how).await;
        eventually_async("the connection is gone", || async {
            let connection = take(&pool).await;
            let is_gone = connection.is_none();
            if let Some(connection) = connection {
                pool.return_connection(connection, &head.headers, BodyEnd::Framed, MAX_IDLE);
            }
            is_gone.then_some(())
        })
        .await;
    });
}

/// Starts two routers, of which the first reaches targets only through the second: its own
/// connections are reset, and new ones are not answered.
async fn start_cut_off(plain: usize) -> Rig {
    let layout = Layout::new(1, 2).expect("a layout");
    let mut rig = Rig::start_with(layout, plain, 0).await;
    rig.wait_until_in_force().await;
    rig.cluster.router_links(0).cut(LinkFault::Reset);
    rig.wait_until_served(NOT_RESUMABLE.path, NOT_RESUMABLE.tokens)
        .await;
    rig
}

/// Guards against streams without a length or chunks that are broken off behind another
/// router: the caller of a router without a path of its own must see the break.
#[parameterized(
    closed = { ConnectionEnd::Close },
    reset = { ConnectionEnd::Reset },
)]
fn a_stream_through_another_router_that_ends_inside_an_event_is_broken_off(
    connection: ConnectionEnd,
) {
    run_async(async move {
        let rig = start_cut_off(2).await;
        let event = whole_stream().find("\n\n").expect("an event") + 2;
        for at in (1..event).chain(event + 1..2 * event) {
            let fault = ends(Some(at), connection);
            rig.plain.iter().for_each(|p| p.set_fault(fault.clone()));
            let id = format!("cut-{at}");
            let asking = rig.try_router(0, &id, NOT_RESUMABLE.path, API_KEY, true, None);
            // A break may overtake the head on the way to the caller or to the router, which
            // then reports it.
            if let Ok(answer) = asking.await {
                let is_broken = answer.body.is_err();
                let is_reported = answer.status == StatusCode::BAD_GATEWAY;
                assert!(is_broken || is_reported, "cut at {at}: {:?}", answer.body);
            }
            assert_eq!(rig.send_count(&id), 1, "cut at {at}");
        }
        let whole = ends(None, ConnectionEnd::Close);
        rig.plain.iter().for_each(|p| p.set_fault(whole.clone()));
        let answer = rig.ask("whole", NOT_RESUMABLE.path, API_KEY, true).await;
        assert_eq!(answer.body, Ok(whole_stream()));
        rig.cluster.close().await.expect("closed");
    });
}

fn ends(broken_after: Option<usize>, connection: ConnectionEnd) -> FakeTargetFault {
    FakeTargetFault::EndsStream(StreamEnding {
        framing: StreamFraming::Connection,
        broken_after,
        connection,
    })
}
