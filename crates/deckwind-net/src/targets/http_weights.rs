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
        let range = ContentRange::of(&head.headers).ok_or_else(|| {
            TargetError::Broken("the answer has no valid Content-Range".to_string())
        })?;
        let max_bytes = usize::try_from(len).unwrap_or(usize::MAX);
        let bytes = read_answer(body, max_bytes).await?;
        let expected = len.min(range.total.saturating_sub(offset));
        if range.first != offset || bytes.len() as u64 != expected {
            return Err(TargetError::Broken(format!(
                "{} bytes from {} on instead of {expected} from {offset} on",
                bytes.len(),
                range.first
            )));
        }
        Ok(WeightChunk {
            bytes: bytes.to_vec(),
            total: range.total,
        })
    }
}

/// The header `Content-Range` (RFC 9110, section 14.4), without the last position.
struct ContentRange {
    /// Position of the first byte.
    first: u64,
    /// Size of the complete weights, bytes.
    total: u64,
}

impl ContentRange {
    fn of(headers: &http::HeaderMap) -> Option<Self> {
        let value = headers.get(header::CONTENT_RANGE)?.to_str().ok()?;
        let (range, total) = value.strip_prefix("bytes ")?.split_once('/')?;
        let (first, _) = range.split_once('-')?;
        Some(Self {
            first: first.parse().ok()?,
            total: total.parse().ok()?,
        })
    }
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
