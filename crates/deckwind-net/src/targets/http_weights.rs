//! HTTP/2 client for the weight store, using range requests (RFC 9110, section 14).

use super::http_client::{HttpTarget, read_answer};
use super::traits::{TargetError, WeightChunk, WeightStore};
use crate::BoxFuture;
use http::{Request, header};
use std::net::SocketAddr;
use std::sync::Arc;

/// HTTP/2 client for a weight store.
#[derive(Clone)]
pub struct HttpWeightStore(Arc<HttpTarget>);

impl HttpWeightStore {
    /// Creates a client; it connects at the first request.
    pub fn new(address: SocketAddr) -> Self {
        Self(Arc::new(HttpTarget::new(address)))
    }

    async fn read_chunk(
        &self,
        path: String,
        offset: u64,
        len: u64,
    ) -> Result<WeightChunk, TargetError> {
        if len == 0 {
            return Err(TargetError::NotSent(
                "a chunk must have at least one byte".to_string(),
            ));
        }
        let range = format!("bytes={offset}-{}", offset + len - 1);
        let req = Request::get(self.0.uri(&path))
            .header(header::RANGE, range)
            .body(HttpTarget::full_body(Vec::new()))
            .map_err(|e| TargetError::NotSent(e.to_string()))?;
        let (head, body) = self.0.send(req).await?;
        if !head.status.is_success() {
            return Err(TargetError::Refused(head.status.to_string()));
        }
        let total = total_size(&head.headers).ok_or_else(|| {
            TargetError::Broken("the answer has no valid Content-Range".to_string())
        })?;
        let bytes = read_answer(body).await?;
        Ok(WeightChunk {
            bytes: bytes.to_vec(),
            total,
        })
    }
}

fn total_size(headers: &http::HeaderMap) -> Option<u64> {
    let range = headers.get(header::CONTENT_RANGE)?.to_str().ok()?;
    range.rsplit('/').next()?.parse().ok()
}

impl WeightStore for HttpWeightStore {
    fn read(
        &self,
        model: String,
        version: String,
        offset: u64,
        len: u64,
    ) -> BoxFuture<'_, Result<WeightChunk, TargetError>> {
        let path = format!("/v1/weights/{model}/{version}");
        Box::pin(self.read_chunk(path, offset, len))
    }
}
