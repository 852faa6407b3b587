//! HTTP/2 client for one target. It keeps one connection and reconnects when that breaks.

use super::traits::TargetError;
use crate::body::{CollectError, MessageBody, NoReservation, collect};
use bytes::Bytes;
use http::{Request, Response, response};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::client::conn::http2::SendRequest;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::{Serialize, de::DeserializeOwned};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;

/// Body of a request: complete bytes or a stream.
pub type Body = BoxBody<Bytes, Infallible>;

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time for a JSON call, including its answer.
const JSON_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between pings on a connection with open streams. A ping that is not answered
/// within the same time closes the connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// HTTP/2 client for a target at a fixed address. It uses HTTP/2 with prior knowledge
/// (RFC 9113, section 3.3), because targets are on the internal network.
pub struct HttpTarget {
    address: SocketAddr,
    connection: Mutex<Option<SendRequest<Body>>>,
}

impl HttpTarget {
    /// Creates a client; it connects at the first request.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: Mutex::new(None),
        }
    }

    /// Creates a body from complete bytes.
    pub fn full_body(bytes: impl Into<Bytes>) -> Body {
        Full::new(bytes.into()).boxed()
    }

    /// Returns the URI of a path at this target.
    pub fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Sends a request and waits for the head of its answer; returns it and the body.
    ///
    /// # Errors
    /// [`TargetError::NotSent`] if the target cannot have received the request,
    /// [`TargetError::Broken`] if the connection broke after it was sent.
    pub async fn send(
        &self,
        req: Request<Body>,
    ) -> Result<(response::Parts, MessageBody), TargetError> {
        let mut tx = self.connect().await?;
        if let Err(e) = tx.ready().await {
            self.discard_connection();
            return Err(TargetError::NotSent(e.to_string()));
        }
        match tx.try_send_request(req).await {
            Ok(res) => Ok(MessageBody::of_answer(res)),
            Err(mut e) => {
                self.discard_connection();
                let is_unsent = e.take_message().is_some();
                let reason = e.into_error().to_string();
                if is_unsent {
                    return Err(TargetError::NotSent(reason));
                }
                Err(TargetError::Broken(reason))
            }
        }
    }

    async fn connect(&self) -> Result<SendRequest<Body>, TargetError> {
        let cached = self.connection.lock().expect("no holder panics").clone();
        if let Some(tx) = cached.filter(|tx| !tx.is_closed()) {
            return Ok(tx);
        }
        let not_sent = |e: &dyn std::fmt::Display| TargetError::NotSent(e.to_string());
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|e| not_sent(&e))?
            .map_err(|e| not_sent(&e))?;
        stream.set_nodelay(true).map_err(|e| not_sent(&e))?;
        let (tx, connection) = hyper::client::conn::http2::Builder::new(TokioExecutor::new())
            .timer(hyper_util::rt::TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_INTERVAL)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(&e))?;
        tokio::spawn(connection);
        *self.connection.lock().expect("no holder panics") = Some(tx.clone());
        Ok(tx)
    }

    fn discard_connection(&self) {
        *self.connection.lock().expect("no holder panics") = None;
    }

    /// Posts a JSON body and parses the JSON answer.
    pub async fn post_json<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
    ) -> Result<A, TargetError> {
        self.post_json_with_limit(path, body, MAX_DOCUMENT_BYTES)
            .await
    }

    /// Posts a JSON body and parses the JSON answer, which has at most `max_bytes` bytes.
    pub async fn post_json_with_limit<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
        max_bytes: usize,
    ) -> Result<A, TargetError> {
        let body = serde_json::to_vec(body).map_err(|e| TargetError::NotSent(e.to_string()))?;
        let req = Request::post(self.uri(path))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Self::full_body(body))
            .map_err(|e| TargetError::NotSent(e.to_string()))?;
        let answer = tokio::time::timeout(JSON_TIMEOUT, self.send_and_collect(req, max_bytes))
            .await
            .map_err(|_| TargetError::Late(JSON_TIMEOUT))??;
        serde_json::from_slice(&answer.into_body()).map_err(|e| TargetError::Broken(e.to_string()))
    }

    /// Sends a request and reads the complete answer. Any status other than success
    /// is returned as [`TargetError::Refused`].
    async fn send_and_collect(
        &self,
        req: Request<Body>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, TargetError> {
        let (head, body) = self.send(req).await?;
        let bytes = read_answer(body, max_bytes).await?;
        if !head.status.is_success() {
            let reason = &bytes[..bytes.len().min(MAX_REASON_BYTES)];
            let text = String::from_utf8_lossy(reason);
            return Err(TargetError::Refused(format!("{} {text}", head.status)));
        }
        Ok(Response::from_parts(head, bytes))
    }
}

/// Maximum size of a JSON document, bytes: a list of more than a hundred thousand VMs.
const MAX_DOCUMENT_BYTES: usize = 16 << 20;

/// Maximum size of the reason of a refusal that is kept and logged, bytes.
const MAX_REASON_BYTES: usize = 256;

/// Reads an answer of at most `max_bytes` bytes to its end.
///
/// # Errors
/// [`TargetError::Broken`] if it breaks off or is longer.
pub(super) async fn read_answer(body: MessageBody, max_bytes: usize) -> Result<Bytes, TargetError> {
    let collected = collect(body, max_bytes, &mut NoReservation).await;
    let collected = collected.map_err(|e| {
        if e == CollectError::TooLong {
            metrics::counter!("deckwind_target_answers_without_end_total").increment(1);
        }
        TargetError::Broken(e.to_string())
    })?;
    Ok(collected.bytes)
}
