//! Pool of persistent HTTP/1.1 connections to targets.
//!
//! Each connection carries one request at a time. A target states how long it keeps an
//! idle connection open (`Keep-Alive`), or that it closes it (`Connection: close`). A
//! connection that has been idle for almost that long is not reused, so that a request
//! rarely coincides with the target's close. Data that was not requested closes the
//! connection.

use super::connector::{BoxedStream, Connector, TcpConnector};
use super::overhead_limit::{LimitedStream, OverheadMeter};
use super::reach::{HEDGE_DELAY, Reach, TunnelOpener, Way};
use super::receive_budget::ReceiveBudget;
use super::traits::TargetError;
use crate::body::{MessageBody, NoReservation, collect, describe_error};
use crate::clock::Clock;
use crate::edge::TargetCall;
use bytes::Bytes;
use deckwind_core::routes::BodyEnd;
use deckwind_core::time::Instant;
use http::{HeaderMap, Request, StatusCode, header, response};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Idle time after which a connection is not reused if the target does not state one:
/// less than the 5 s that servers commonly allow.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time by which reuse of an idle connection ends before the target's stated timeout.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// Maximum number of idle connections per target.
const MAX_IDLE_CONNECTIONS: usize = 48;

/// Limit on the bytes held of all answers if no budget is given: an eighth of a VM with 160 MB.
const DEFAULT_BUDGET_BYTES: u64 = 20 << 20;

/// Maximum time until a connection that was just returned to the pool is ready.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Maximum size of the head of a target's answer, and of the library's buffer, bytes.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time after its opening for which a connection through another router is used for
/// further requests. A router that stops carries its tunnels for longer than that.
const MAX_TUNNEL_REUSE: Duration = Duration::from_secs(2);

type RequestSender = SendRequest<Full<Bytes>>;

/// A connection to a target, without its address.
struct Established {
    tx: RequestSender,
    meter: OverheadMeter,
    way: Way,
    opened_at: Instant,
}

struct IdleConnection {
    established: Established,
    idle_since: Instant,
    idle_timeout: Duration,
}

impl IdleConnection {
    /// Whether the connection may be used for another request.
    fn is_usable(&self, now: Instant) -> bool {
        let is_fresh = match self.established.way {
            Way::Direct => true,
            Way::Tunnel => now.since(self.established.opened_at) < MAX_TUNNEL_REUSE,
        };
        is_fresh
            && !self.established.tx.is_closed()
            && now.since(self.idle_since) < self.idle_timeout
    }
}

/// A connection taken from the pool for one request.
pub struct TargetConnection {
    address: SocketAddr,
    established: Established,
    /// Whether the connection has served requests before.
    pub reused: bool,
}

/// Pool of idle connections by target address. Idle time includes time for which this VM
/// was suspended, because the target may have closed the connection meanwhile, and a
/// request that must not be retried would be lost on it.
#[derive(Clone)]
pub struct ConnectionPool {
    inner: Arc<Inner>,
}

struct Inner {
    clock: Clock,
    reach: Reach,
    budget: Arc<ReceiveBudget>,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool of TCP connections with a budget of its own.
    pub fn new(clock: Clock) -> Self {
        Self::with_connector(clock, Arc::new(TcpConnector))
    }

    /// Creates an empty pool of connections that are opened by `connector`, with a budget of
    /// its own.
    pub fn with_connector(clock: Clock, connector: Arc<dyn Connector>) -> Self {
        Self::with_budget(clock, connector, ReceiveBudget::new(DEFAULT_BUDGET_BYTES))
    }

    /// Creates an empty pool of connections that are opened by `connector`, and whose answers
    /// count in `budget`.
    pub fn with_budget(
        clock: Clock,
        connector: Arc<dyn Connector>,
        budget: Arc<ReceiveBudget>,
    ) -> Self {
        let inner = Inner {
            clock,
            reach: Reach::new(clock, connector),
            budget,
            idle: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Creates an empty pool of TCP connections whose answers count in the budget of this one.
    pub fn with_same_budget(&self) -> Self {
        let Inner { clock, budget, .. } = &*self.inner;
        Self::with_budget(*clock, Arc::new(TcpConnector), budget.clone())
    }

    /// Sets how targets are reached through other routers, where the direct path is lost.
    pub fn set_tunnels(&self, tunnels: Arc<dyn TunnelOpener>) {
        self.inner.reach.set_tunnels(tunnels);
    }

    /// Returns a connection to `address`: the most recently used one if it has been
    /// idle for less than `max_idle_time`, otherwise a new one.
    ///
    /// # Errors
    /// If no connection can be established; nothing was sent in that case.
    pub async fn get(
        &self,
        address: SocketAddr,
        max_idle_time: Duration,
    ) -> Result<TargetConnection, TargetError> {
        while let Some(idle) = self.take_idle(address, max_idle_time) {
            let mut established = idle;
            let ready = tokio::time::timeout(READY_TIMEOUT, established.tx.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(TargetConnection {
                    address,
                    established,
                    reused: true,
                });
            }
        }
        if self.inner.reach.start_probe(address) {
            tokio::spawn(self.clone().connect_in_advance(address));
        }
        let connecting = self.inner.reach.connect(address);
        let (stream, way) = connecting.await.map_err(TargetError::NotSent)?;
        if way == Way::Tunnel {
            self.close_silent(address);
        }
        Ok(TargetConnection {
            address,
            established: self.establish(address, stream, way).await?,
            reused: false,
        })
    }

    async fn establish(
        &self,
        address: SocketAddr,
        stream: BoxedStream,
        way: Way,
    ) -> Result<Established, TargetError> {
        let meter = OverheadMeter::new(self.inner.budget.count(address));
        let stream = LimitedStream::new(stream, meter.clone());
        Ok(Established {
            tx: handshake(address, stream).await?,
            meter,
            way,
            opened_at: self.inner.clock.now(),
        })
    }

    /// Connects directly to a target whose path was lost or may be. A new connection is
    /// kept for the next request, and replaces those through other routers.
    async fn connect_in_advance(self, address: SocketAddr) {
        let connecting = self.inner.reach.connect_directly(address, HEDGE_DELAY);
        let Ok(stream) = connecting.await else {
            self.close_silent(address);
            return;
        };
        let Ok(established) = self.establish(address, stream, Way::Direct).await else {
            return;
        };
        let now = self.inner.clock.now();
        let mut all = self.idle();
        let list = all.entry(address).or_default();
        list.retain(|i| i.established.way == Way::Direct);
        list.push(IdleConnection {
            established,
            idle_since: now,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        });
    }

    /// Closes the idle direct connections to a target that does not answer new ones.
    fn close_silent(&self, address: SocketAddr) {
        if !self.inner.reach.is_silent(address) {
            return;
        }
        if let Some(list) = self.idle().get_mut(&address) {
            list.retain(|i| i.established.way == Way::Tunnel);
        }
    }

    /// Checks the direct path to a target that answers late, unless it was checked lately.
    /// Returns whether the path is lost.
    pub async fn check_path(&self, address: SocketAddr) -> bool {
        if self.inner.reach.start_check(address) {
            self.clone().connect_in_advance(address).await;
        }
        self.inner.reach.is_lost(address)
    }

    /// Opens a byte stream to a target for another router.
    ///
    /// # Errors
    /// If this router doesn't reach the target directly.
    pub async fn connect_for_peer(&self, address: SocketAddr) -> Result<BoxedStream, String> {
        if self.inner.reach.is_lost(address) {
            return Err(format!("the path to {address} is lost"));
        }
        let connecting = self.inner.reach.connect_directly(address, HEDGE_DELAY);
        connecting.await
    }

    /// Whether a request that went this way is likely cut off from its target: the target
    /// does not answer new direct connections.
    pub fn is_cut_off(&self, address: SocketAddr, way: Way) -> bool {
        way == Way::Direct && self.inner.reach.is_silent(address)
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.inner.idle.lock().expect("no holder panics")
    }

    fn take_idle(&self, address: SocketAddr, max_idle_time: Duration) -> Option<Established> {
        let mut all = self.idle();
        let list = all.get_mut(&address)?;
        let now = self.inner.clock.now();
        list.retain(|i| i.is_usable(now));
        let last = list.last()?;
        if now.since(last.idle_since) >= max_idle_time {
            return None;
        }
        list.pop().map(|idle| idle.established)
    }

    /// Returns a connection to the pool after its answer was read to its end, `end`.
    /// `headers` are those of the answer. A connection that ended with it is dropped, and
    /// so is one if `max_idle` connections are idle already, because a target resets
    /// connections beyond its limit on those of all its callers together.
    pub fn return_connection(
        &self,
        connection: TargetConnection,
        headers: &HeaderMap,
        end: BodyEnd,
        max_idle: usize,
    ) {
        connection.established.meter.release();
        if end == BodyEnd::Closed {
            return;
        }
        let Some(idle_timeout) = idle_timeout(headers) else {
            return;
        };
        let idle = IdleConnection {
            established: connection.established,
            idle_since: self.inner.clock.now(),
            idle_timeout,
        };
        let mut all = self.idle();
        let list = all.entry(connection.address).or_default();
        if list.len() < max_idle.min(MAX_IDLE_CONNECTIONS) && idle.is_usable(idle.idle_since) {
            list.push(idle);
        }
    }

    /// Closes the idle connections to an address, for use when another process has taken
    /// over the address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle().remove(&address);
    }

    /// Closes the idle connections to addresses for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.inner.reach.retain(&keep);
        self.idle().retain(|a, _| keep(a));
    }
}

impl TargetConnection {
    /// Returns the way that the connection takes.
    pub fn way(&self) -> Way {
        self.established.way
    }

    /// Sends a request and waits for the head of its answer; returns it and the body.
    ///
    /// # Errors
    /// [`TargetError::NotSent`] if the target cannot have received the request,
    /// [`TargetError::Broken`] if the connection broke after it was sent.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<(response::Parts, MessageBody), TargetError> {
        let Established { tx, meter, .. } = &mut self.established;
        meter.release();
        let sent = tx.try_send_request(req).await;
        let res = sent.map_err(|mut e| {
            let is_unsent = e.take_message().is_some();
            let reason = describe_error(&e.into_error());
            match is_unsent {
                true => TargetError::NotSent(reason),
                false => TargetError::Broken(reason),
            }
        })?;
        if res.status() == StatusCode::SWITCHING_PROTOCOLS {
            let why = "a switch to a protocol that was not asked for".to_string();
            return Err(TargetError::Broken(why));
        }
        meter.record_head(res.headers());
        let (head, body) = MessageBody::of_answer(res);
        Ok((head, body.with_meter(meter.clone())))
    }
}

/// Returns how long a connection may stay idle after an answer with these headers, or
/// `None` if it must be closed.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = |name| headers.get(name).and_then(|v| v.to_str().ok());
    let closes = |v: &str| v.to_ascii_lowercase().contains("close");
    if value(header::CONNECTION).is_some_and(closes) {
        return None;
    }
    let stated = value(header::HeaderName::from_static("keep-alive")).and_then(|v| {
        let timeout = v.split(',').find_map(|p| p.trim().strip_prefix("timeout="));
        timeout?.trim().parse::<u64>().ok()
    });
    match stated {
        None => Some(DEFAULT_IDLE_TIMEOUT),
        Some(s) => Duration::from_secs(s).checked_sub(IDLE_TIMEOUT_MARGIN),
    }
}

/// Maximum number of header fields of a target's answer.
const MAX_ANSWER_FIELDS: usize = 1_024;

async fn handshake(
    address: SocketAddr,
    stream: LimitedStream,
) -> Result<RequestSender, TargetError> {
    let handshake = Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_ANSWER_FIELDS)
        .handshake(TokioIo::new(stream));
    let handshake = handshake.await;
    let (tx, connection) =
        handshake.map_err(|e| TargetError::NotSent(format!("{address}: {e}")))?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("event=target_connection_ended target={address} error={e:?}");
        }
    });
    Ok(tx)
}

/// Maximum size of an answer from a target's own API, bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Answer to a call to a target's own API.
#[derive(Clone, Debug)]
pub struct TargetResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

/// Calls a target's own API and reads the complete answer.
///
/// # Errors
/// [`TargetError::Late`] if the answer is not complete after `within`; otherwise as for
/// [`TargetConnection::send`].
pub async fn call_target(
    connections: &ConnectionPool,
    address: SocketAddr,
    call: &TargetCall,
    within: Duration,
) -> Result<TargetResponse, TargetError> {
    let calling = async {
        let mut connection = connections.get(address, DEFAULT_IDLE_TIMEOUT).await?;
        let req = Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(call.body.clone())))
            .map_err(|e| TargetError::NotSent(e.to_string()))?;
        let (head, body) = connection.send(req).await?;
        let collected = collect(body, MAX_ANSWER_BYTES, &mut NoReservation).await;
        let body = collected.map_err(|e| TargetError::Broken(e.to_string()))?;
        connections.return_connection(connection, &head.headers, body.end, MAX_IDLE_CONNECTIONS);
        Ok(TargetResponse {
            status: head.status,
            headers: head.headers,
            body: body.bytes,
        })
    };
    match tokio::time::timeout(within, calling).await {
        Ok(result) => result,
        Err(_) => Err(TargetError::Late(within)),
    }
}
