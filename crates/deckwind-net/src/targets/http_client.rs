//! One HTTP/2 connection to a target, kept and made anew when it breaks.

use super::traits::TargetError;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::Incoming;
use hyper::client::conn::http2::SendRequest;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::{Serialize, de::DeserializeOwned};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;

/// A request's body: whole, or a stream.
pub type Body = BoxBody<Bytes, Infallible>;

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_millis(500);

/// Longest wait for a short answer.
const SHORT: Duration = Duration::from_secs(2);

/// Between two pings on a connection with open streams; one that is not
/// answered in the same time breaks the connection.
const PING: Duration = Duration::from_secs(1);

/// A target's address and the connection to it. Prior knowledge of HTTP/2
/// (RFC 9113, section 3.3): targets stand on the inside.
pub struct HttpTarget {
    address: SocketAddr,
    connection: Mutex<Option<SendRequest<Body>>>,
}

impl HttpTarget {
    /// No connection is made before the first use.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: Mutex::new(None),
        }
    }

    /// A whole body.
    pub fn full(bytes: impl Into<Bytes>) -> Body {
        Full::new(bytes.into()).boxed()
    }

    /// The URI of a path here.
    pub fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(&self, req: Request<Body>) -> Result<Response<Incoming>, TargetError> {
        let mut tx = self.connect().await?;
        if let Err(e) = tx.ready().await {
            self.forget();
            return Err(TargetError::NotSent(e.to_string()));
        }
        match tx.try_send_request(req).await {
            Ok(res) => Ok(res),
            Err(mut e) => {
                self.forget();
                let never_sent = e.take_message().is_some();
                let why = e.into_error().to_string();
                if never_sent {
                    return Err(TargetError::NotSent(why));
                }
                Err(TargetError::Broken(why))
            }
        }
    }

    async fn connect(&self) -> Result<SendRequest<Body>, TargetError> {
        let known = self.connection.lock().expect("no holder panics").clone();
        if let Some(tx) = known.filter(|tx| !tx.is_closed()) {
            return Ok(tx);
        }
        let not_sent = |e: &dyn std::fmt::Display| TargetError::NotSent(e.to_string());
        let stream = tokio::time::timeout(CONNECT, TcpStream::connect(self.address))
            .await
            .map_err(|e| not_sent(&e))?
            .map_err(|e| not_sent(&e))?;
        stream.set_nodelay(true).map_err(|e| not_sent(&e))?;
        let (tx, connection) = hyper::client::conn::http2::Builder::new(TokioExecutor::new())
            .timer(hyper_util::rt::TokioTimer::new())
            .keep_alive_interval(PING)
            .keep_alive_timeout(PING)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(&e))?;
        tokio::spawn(connection);
        *self.connection.lock().expect("no holder panics") = Some(tx.clone());
        Ok(tx)
    }

    fn forget(&self) {
        *self.connection.lock().expect("no holder panics") = None;
    }

    /// Sends a JSON body, takes a JSON answer.
    pub async fn json<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
    ) -> Result<A, TargetError> {
        let body = serde_json::to_vec(body).map_err(|e| TargetError::NotSent(e.to_string()))?;
        let req = Request::post(self.uri(path))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Self::full(body))
            .map_err(|e| TargetError::NotSent(e.to_string()))?;
        let answer = tokio::time::timeout(SHORT, self.whole(req))
            .await
            .map_err(|_| TargetError::Late(SHORT))??;
        serde_json::from_slice(&answer.into_body()).map_err(|e| TargetError::Broken(e.to_string()))
    }

    /// Sends a request and reads the whole answer; anything but success is a
    /// refusal.
    async fn whole(&self, req: Request<Body>) -> Result<Response<Bytes>, TargetError> {
        let res = self.send(req).await?;
        let (head, body) = res.into_parts();
        let bytes = body
            .collect()
            .await
            .map_err(|e| TargetError::Broken(e.to_string()))?
            .to_bytes();
        if !head.status.is_success() {
            let text = String::from_utf8_lossy(&bytes);
            return Err(TargetError::Refused(format!("{} {text}", head.status)));
        }
        Ok(Response::from_parts(head, bytes))
    }
}
