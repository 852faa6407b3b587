//! HTTP/2 client for plain services.

use super::http_client::{HttpTarget, read_answer};
use super::retry_after::refusal_error;
use super::traits::{PlainService, ServiceAnswer, ServiceCall, TargetError};
use crate::BoxFuture;
use http::{Request, StatusCode, header};
use std::net::SocketAddr;
use std::sync::Arc;

/// Header with the idempotency key (draft-ietf-httpapi-idempotency-key-header).
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum size of an answer, bytes. It is passed on as a whole.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// HTTP/2 client for a plain service.
#[derive(Clone)]
pub struct HttpService(Arc<HttpTarget>);

impl HttpService {
    /// Creates a client; it connects at the first request.
    pub fn new(address: SocketAddr) -> Self {
        Self(Arc::new(HttpTarget::new(address)))
    }

    async fn call_once(&self, call: ServiceCall) -> Result<ServiceAnswer, TargetError> {
        let mut req =
            Request::post(self.0.uri(&call.path)).header(header::CONTENT_TYPE, &call.content_type);
        if let Some(key) = &call.idempotency_key {
            req = req.header(IDEMPOTENCY_KEY, key);
        }
        let req = req
            .body(HttpTarget::full_body(call.body))
            .map_err(|e| TargetError::NotSent(e.to_string()))?;
        let (head, body) = self.0.send(req).await?;
        let status = head.status;
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(refusal_error(status, &head.headers));
        }
        let content_type = head
            .headers
            .get(header::CONTENT_TYPE)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_string();
        let body = read_answer(body, MAX_ANSWER_BYTES).await?.to_vec();
        Ok(ServiceAnswer {
            status: status.as_u16(),
            content_type,
            body,
        })
    }
}

impl PlainService for HttpService {
    fn call(&self, call: ServiceCall) -> BoxFuture<'_, Result<ServiceAnswer, TargetError>> {
        Box::pin(async move {
            let timeout = call.timeout;
            tokio::time::timeout(timeout, self.call_once(call))
                .await
                .map_err(|_| TargetError::Late(timeout))?
        })
    }
}
