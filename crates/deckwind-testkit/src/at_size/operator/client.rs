//! HTTP client of an operator.

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of redirects that are followed.
const MAX_REDIRECTS: usize = 2;

/// HTTP client of an operator; follows redirects.
pub struct OperatorClient {
    http: Client<HttpConnector, Full<Bytes>>,
    control: Vec<SocketAddr>,
}

impl OperatorClient {
    /// Creates a client of the replicas at these addresses.
    pub fn new(control: Vec<SocketAddr>) -> Self {
        let http = Client::builder(TokioExecutor::new()).build_http();
        Self { http, control }
    }

    /// Returns the number of replicas.
    pub fn replicas(&self) -> usize {
        self.control.len()
    }

    /// Sends a release to a replica; returns `None` if no whole answer came in time.
    pub async fn post(
        &self,
        replica: usize,
        body: &Bytes,
        timeout: Duration,
    ) -> Option<StatusCode> {
        let called = self.call("POST", replica, "/v1/config/put", body, timeout);
        called.await.map(|(status, _)| status)
    }

    /// Reads the release at a replica.
    pub async fn get(&self, replica: usize) -> Option<(StatusCode, Bytes)> {
        let none = Bytes::new();
        self.call("GET", replica, "/v1/config/get", &none, CALL_TIMEOUT)
            .await
    }

    /// Calls a replica; returns `None` if no whole answer came in time.
    async fn call(
        &self,
        method: &str,
        replica: usize,
        path: &str,
        body: &Bytes,
        timeout: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let address = self.control[replica % self.control.len()];
        let mut url = format!("http://{address}{path}");
        let mut last = None;
        for _ in 0..=MAX_REDIRECTS {
            let req = Request::builder().method(method).uri(&url);
            let req = req.body(Full::new(body.clone())).ok()?;
            let res = tokio::time::timeout(timeout, async {
                let res = self.http.request(req).await.ok()?;
                let location = res.headers().get(header::LOCATION);
                let location = location.and_then(|l| l.to_str().ok().map(str::to_string));
                let status = res.status();
                let body = res.into_body().collect().await.ok()?.to_bytes();
                Some((status, location, body))
            });
            let (status, location, body) = res.await.ok()??;
            last = Some((status, body));
            match location {
                Some(location) if status == StatusCode::TEMPORARY_REDIRECT => url = location,
                _ => break,
            }
        }
        last
    }
}
