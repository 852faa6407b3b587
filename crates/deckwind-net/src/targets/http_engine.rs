//! HTTP/2 client for engines. A stage is one request whose body and answer are streams
//! of JSON lines: one step order per line, one step output per line.

use super::http_client::HttpTarget;
use super::retry_after::refusal_error;
use super::traits::{
    CacheEvents, Engine, EngineLoad, KvExport, OpenStage, StageStream, TargetError,
};
use crate::BoxFuture;
use crate::body::{BodyPart, MessageBody};
use bytes::{Bytes, BytesMut};
use deckwind_core::control::TargetOrder;
use deckwind_core::session::{StepOrder, StepOutput};
use http::Request;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// Paths of the engine API.
pub mod paths {
    /// Opening a stage.
    pub const STAGE: &str = "/v1/stage";
    /// Load report.
    pub const LOAD: &str = "/v1/load";
    /// Cache events.
    pub const EVENTS: &str = "/v1/cache-events";
    /// Export of a KV cache.
    pub const EXPORT: &str = "/v1/kv/export";
    /// Import of a KV cache.
    pub const IMPORT: &str = "/v1/kv/import";
    /// Fenced orders.
    pub const ORDER: &str = "/v1/order";
}

/// Header that carries an [`OpenStage`] as JSON.
pub const OPEN_STAGE_HEADER: &str = "deckwind-stage";

/// Maximum size of the output of one step, bytes: the activations of a long prompt.
const MAX_OUTPUT_BYTES: usize = 64 << 20;

/// Maximum size of an exported cache, bytes.
const MAX_EXPORT_BYTES: usize = 1 << 30;

/// Maximum time for which a closed stage waits for the end of its engine's answer. After it,
/// the stream is reset.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP/2 client for an engine.
#[derive(Clone)]
pub struct HttpEngine(Arc<HttpTarget>);

impl HttpEngine {
    /// Creates a client; it connects at the first request.
    pub fn new(address: SocketAddr) -> Self {
        Self(Arc::new(HttpTarget::new(address)))
    }

    async fn open_stage(&self, open: OpenStage) -> Result<Box<dyn StageStream>, TargetError> {
        let head = serde_json::to_string(&open).map_err(|e| TargetError::NotSent(e.to_string()))?;
        let (tx, rx) = mpsc::channel::<Result<Frame<Bytes>, Infallible>>(1);
        let body = BodyExt::boxed(StreamBody::new(ReceiverStream::new(rx)));
        let req = Request::post(self.0.uri(paths::STAGE))
            .header(OPEN_STAGE_HEADER, head)
            .body(body)
            .map_err(|e| TargetError::NotSent(e.to_string()))?;
        let (head, body) = self.0.send(req).await?;
        if !head.status.is_success() {
            return Err(refusal_error(head.status, &head.headers));
        }
        Ok(Box::new(HttpStage {
            tx,
            rx: body,
            buf: BytesMut::new(),
        }))
    }
}

impl Engine for HttpEngine {
    fn open(&self, open: OpenStage) -> BoxFuture<'_, Result<Box<dyn StageStream>, TargetError>> {
        Box::pin(self.open_stage(open))
    }

    fn load(&self) -> BoxFuture<'_, Result<EngineLoad, TargetError>> {
        Box::pin(async move { self.0.post_json(paths::LOAD, &()).await })
    }

    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<CacheEvents, TargetError>> {
        Box::pin(async move { self.0.post_json(paths::EVENTS, &from).await })
    }

    fn export_kv(&self, session: String) -> BoxFuture<'_, Result<KvExport, TargetError>> {
        Box::pin(async move {
            self.0
                .post_json_with_limit(paths::EXPORT, &session, MAX_EXPORT_BYTES)
                .await
        })
    }

    fn import_kv(&self, kv: KvExport) -> BoxFuture<'_, Result<(), TargetError>> {
        Box::pin(async move { self.0.post_json(paths::IMPORT, &kv).await })
    }

    fn order(&self, order: TargetOrder) -> BoxFuture<'_, Result<(), TargetError>> {
        Box::pin(async move { self.0.post_json(paths::ORDER, &order).await })
    }
}

/// An open stage. Dropping it resets the stream, which cancels the session at
/// the engine.
struct HttpStage {
    tx: mpsc::Sender<Result<Frame<Bytes>, Infallible>>,
    rx: MessageBody,
    buf: BytesMut,
}

fn broken_error(e: impl std::fmt::Display) -> TargetError {
    TargetError::Broken(e.to_string())
}

impl HttpStage {
    async fn run_step(&mut self, order: StepOrder) -> Result<StepOutput, TargetError> {
        let mut line = serde_json::to_vec(&order).map_err(broken_error)?;
        line.push(b'\n');
        let frame = Frame::data(Bytes::from(line));
        self.tx.send(Ok(frame)).await.map_err(broken_error)?;
        let line = self.read_line().await?;
        serde_json::from_slice(&line).map_err(broken_error)
    }

    async fn read_line(&mut self) -> Result<BytesMut, TargetError> {
        let mut searched = 0;
        loop {
            if let Some(end) = self.buf[searched..].iter().position(|b| *b == b'\n') {
                return Ok(self.buf.split_to(searched + end + 1));
            }
            searched = self.buf.len();
            if searched > MAX_OUTPUT_BYTES {
                metrics::counter!("deckwind_target_answers_without_end_total").increment(1);
                return Err(broken_error("the output of a step is too long"));
            }
            match self.rx.next().await.map_err(broken_error)? {
                BodyPart::Data(data) => self.buf.extend_from_slice(&data),
                BodyPart::End(_) => return Err(broken_error("the engine closed the stage")),
            }
        }
    }
}

impl StageStream for HttpStage {
    fn step(&mut self, order: StepOrder) -> BoxFuture<'_, Result<StepOutput, TargetError>> {
        Box::pin(self.run_step(order))
    }

    fn close(self: Box<Self>) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            let HttpStage { tx, mut rx, .. } = *self;
            drop(tx);
            let draining = async { while let Ok(BodyPart::Data(_)) = rx.next().await {} };
            if tokio::time::timeout(CLOSE_TIMEOUT, draining).await.is_err() {
                log::info!("event=stage_reset reason=\"its engine does not end it\"");
            }
        })
    }
}
