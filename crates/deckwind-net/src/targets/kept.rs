//! HTTP/1.1 connections to targets, kept between requests.
//!
//! One request at a time on each. A target says how long it keeps an idle
//! connection (`Keep-Alive`) and when it will not (`Connection: close`); one
//! that rested almost as long is not used again, so that a request seldom
//! crosses a close. What comes without being asked for ends the connection.

use super::traits::TargetError;
use crate::clock::Clock;
use crate::edge::TargetCall;
use bytes::Bytes;
use deckwind_core::time::Instant;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest wait for a connection inside a region: a hundred round trips, and
/// less than the second after which a lost opening packet is sent again.
const CONNECT: Duration = Duration::from_millis(400);

/// Without an acknowledgement for this long a connection is dead.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Rest after which an idle connection is not used again, where the target does
/// not say: short of the 5 s that servers commonly allow.
const REST: Duration = Duration::from_secs(4);

/// How much earlier than the target says we stop using an idle connection.
const REST_MARGIN: Duration = Duration::from_millis(700);

/// Most idle connections kept to one target.
const MAX_IDLE: usize = 48;

/// Longest wait for a connection that was just given back to be ready.
const READY: Duration = Duration::from_millis(20);

/// Longest answer head of a target, bytes.
const MAX_HEAD: usize = 64 * 1024;

type Sender = SendRequest<Full<Bytes>>;

struct Idle {
    tx: Sender,
    since: Instant,
    rest: Duration,
}

/// A connection that serves one request now.
pub struct TargetConnection {
    address: SocketAddr,
    tx: Sender,
    /// Whether it has served requests before.
    pub reused: bool,
}

/// Idle connections by target. How long one has rested counts suspensions: the
/// target has closed it meanwhile, and a request that must run once would be lost.
pub struct KeptConnections {
    clock: Clock,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl KeptConnections {
    /// None yet.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
        }
    }

    /// A connection to `address`: the one that rested least, if that is less
    /// than `rest_at_most`, or a new one. An error means that nothing was sent.
    pub async fn get(
        &self,
        address: SocketAddr,
        rest_at_most: Duration,
    ) -> Result<TargetConnection, TargetError> {
        while let Some(idle) = self.take(address, rest_at_most) {
            let mut tx = idle.tx;
            let ready = tokio::time::timeout(READY, tx.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(TargetConnection {
                    address,
                    tx,
                    reused: true,
                });
            }
        }
        let tx = connect(address).await?;
        Ok(TargetConnection {
            address,
            tx,
            reused: false,
        })
    }

    fn take(&self, address: SocketAddr, rest_at_most: Duration) -> Option<Idle> {
        let mut all = self.idle.lock().expect("no holder panics");
        let list = all.get_mut(&address)?;
        let now = self.clock.now();
        list.retain(|i| !i.tx.is_closed() && now.since(i.since) < i.rest);
        let last = list.last()?;
        if now.since(last.since) >= rest_at_most {
            return None;
        }
        list.pop()
    }

    /// Gives a connection back after its answer was read to the end. `headers`
    /// are the answer's. It is closed if `most` are idle already: a target resets what
    /// all its callers together hold beyond its bound.
    pub fn give_back(&self, connection: TargetConnection, headers: &HeaderMap, most: usize) {
        let Some(rest) = rest_of(headers) else {
            return;
        };
        let mut all = self.idle.lock().expect("no holder panics");
        let list = all.entry(connection.address).or_default();
        if list.len() < most.min(MAX_IDLE) && !connection.tx.is_closed() {
            list.push(Idle {
                tx: connection.tx,
                since: self.clock.now(),
                rest,
            });
        }
    }

    /// Closes the idle connections to an address: another process is there now.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.lock().expect("no holder panics").remove(&address);
    }

    /// Closes the idle connections to addresses that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut all = self.idle.lock().expect("no holder panics");
        all.retain(|a, _| keep(a));
    }
}

impl TargetConnection {
    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TargetError> {
        self.tx.try_send_request(req).await.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let why = e.into_error().to_string();
            match unsent {
                true => TargetError::NotSent(why),
                false => TargetError::Broken(why),
            }
        })
    }
}

/// How long a connection may rest after this answer; nothing if it ends.
fn rest_of(headers: &HeaderMap) -> Option<Duration> {
    let value = |name| headers.get(name).and_then(|v| v.to_str().ok());
    let closes = |v: &str| v.to_ascii_lowercase().contains("close");
    if value(header::CONNECTION).is_some_and(closes) {
        return None;
    }
    let kept = value(header::HeaderName::from_static("keep-alive")).and_then(|v| {
        let timeout = v.split(',').find_map(|p| p.trim().strip_prefix("timeout="));
        timeout?.trim().parse::<u64>().ok()
    });
    match kept {
        None => Some(REST),
        Some(s) => Duration::from_secs(s).checked_sub(REST_MARGIN),
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, TargetError> {
    let not_sent = |e: &dyn std::fmt::Display| TargetError::NotSent(format!("{address}: {e}"));
    let connecting = tokio::time::timeout(CONNECT, TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(not_sent(&e)),
        Err(_) => return Err(not_sent(&format!("no connection within {CONNECT:?}"))),
    };
    watch_over(&stream);
    let handshake = Builder::new()
        .max_buf_size(MAX_HEAD)
        .handshake(TokioIo::new(stream));
    let (tx, connection) = handshake.await.map_err(|e| not_sent(&e))?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("event=target_connection_ended target={address} error={e:?}");
        }
    });
    Ok(tx)
}

/// Has the kernel notice a peer that has gone without a word.
pub fn watch_over(stream: &TcpStream) {
    watch_over_for(stream, USER_TIMEOUT);
}

/// The same with another time without an acknowledgement or with a full window.
pub fn watch_over_for(stream: &TcpStream, timeout: Duration) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_secs(2))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(timeout)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(e) = set {
        log::debug!("event=socket_option_refused error={e:?}");
    }
}

/// Longest answer of a target's own interface, bytes.
const MAX_ANSWER: usize = 1 << 20;

/// A target's answer on its own interface.
#[derive(Clone, Debug)]
pub struct TargetReply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// One call to a target's own interface, its answer read whole.
pub async fn call_target(
    connections: &KeptConnections,
    address: SocketAddr,
    call: &TargetCall,
    within: Duration,
) -> Result<TargetReply, TargetError> {
    let calling = async {
        let mut connection = connections.get(address, REST).await?;
        let req = Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(call.body.clone())))
            .map_err(|e| TargetError::NotSent(e.to_string()))?;
        let res = connection.send(req).await?;
        let (head, body) = res.into_parts();
        let limited = Limited::new(body, MAX_ANSWER);
        let collected = limited.collect().await;
        let body = collected.map_err(|e| TargetError::Broken(e.to_string()))?;
        connections.give_back(connection, &head.headers, MAX_IDLE);
        Ok(TargetReply {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    };
    match tokio::time::timeout(within, calling).await {
        Ok(result) => result,
        Err(_) => Err(TargetError::Late(within)),
    }
}
