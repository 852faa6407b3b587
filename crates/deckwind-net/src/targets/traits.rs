//! Traits for external systems, and the data types of their methods.

use crate::BoxFuture;
use deckwind_core::control::TargetOrder;
use deckwind_core::membership::PlatformStatus;
use deckwind_core::session::{Activation, StepOrder, StepOutput};
use deckwind_core::state::{LayerRange, Priority};
use serde::{Deserialize, Serialize};
use std::net::IpAddr;
use std::time::Duration;
use thiserror::Error;

/// Error of a call to a target. The variants differ in whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TargetError {
    /// The target cannot have received the request, so it did not run.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The target refused the request and states that it did not run it.
    #[error("refused by the target: {0}")]
    Refused(String),
    /// The target refused the request, as for [`TargetError::Refused`], and requests a
    /// rest period of this length.
    #[error("refused by the target, which rests for {0:?}")]
    Rests(Duration),
    /// The connection broke after the request was sent; it may have run.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// No answer arrived in time; the request may have run or still be running.
    #[error("no answer within {0:?}")]
    Late(Duration),
}

impl TargetError {
    /// Returns whether the request certainly did not run.
    pub fn is_certainly_not_run(&self) -> bool {
        match self {
            TargetError::NotSent(_) | TargetError::Refused(_) | TargetError::Rests(_) => true,
            TargetError::Broken(_) | TargetError::Late(_) => false,
        }
    }
}

/// Request to open a stage at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenStage {
    /// Session id, unique over all routers.
    pub session: String,
    /// Layers to run.
    pub layers: LayerRange,
    /// Adapter to run the layers with.
    pub adapter: Option<String>,
    /// Priority of the session.
    pub priority: Priority,
    /// Hashes of prompt prefixes that the engine may have cached, shortest first.
    pub prefixes: Vec<u64>,
}

/// An open stage: one session at one engine.
pub trait StageStream: Send {
    /// Runs a step. Only one step of a stage may be in progress at a time.
    fn step(&mut self, order: StepOrder) -> BoxFuture<'_, Result<StepOutput, TargetError>>;

    /// Ends the session at the engine and frees its cache. Dropping the stream without
    /// calling this also cancels the session.
    fn close(self: Box<Self>) -> BoxFuture<'static, ()>;
}

/// Load report of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Total number of layers of all open stages.
    pub load: u32,
    /// Number of open stages.
    pub sessions: u32,
    /// Age of the report, milliseconds.
    pub age_ms: u64,
}

/// Type of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was removed from the cache.
    Removed,
}

/// A change to an engine's prefix cache. Events arrive late, and some are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// Type of the event.
    pub kind: CacheEventKind,
    /// Hash of the prefix.
    pub prefix: u64,
}

/// Cache events from a sequence number on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in order. The first number may be above the requested one.
    pub events: Vec<CacheEvent>,
    /// Sequence number to request next.
    pub next: u64,
}

/// Exported KV cache of one stage of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Session id.
    pub session: String,
    /// Layers that the cache covers.
    pub layers: LayerRange,
    /// Number of token positions in the cache.
    pub positions: u32,
    /// Content of the cache, which only engines interpret.
    pub data: Activation,
}

/// A model engine.
pub trait Engine: Send + Sync {
    /// Opens a stage.
    fn open(&self, open: OpenStage) -> BoxFuture<'_, Result<Box<dyn StageStream>, TargetError>>;
    /// Returns the engine's load; the report may be outdated.
    fn load(&self) -> BoxFuture<'_, Result<EngineLoad, TargetError>>;
    /// Returns cache events from a sequence number on.
    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<CacheEvents, TargetError>>;
    /// Exports the KV cache of an open stage.
    fn export_kv(&self, session: String) -> BoxFuture<'_, Result<KvExport, TargetError>>;
    /// Imports a KV cache, for a stage to be opened with the same session id.
    fn import_kv(&self, kv: KvExport) -> BoxFuture<'_, Result<(), TargetError>>;
    /// Sends an order. Engines that check fences refuse an order with an old fence.
    fn order(&self, order: TargetOrder) -> BoxFuture<'_, Result<(), TargetError>>;
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// Path relative to the path of the template.
    pub path: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Content type of the body.
    pub content_type: String,
    /// Idempotency key to forward to the service.
    pub idempotency_key: Option<String>,
    /// Maximum time to wait for the answer.
    pub timeout: Duration,
}

/// Answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body of the answer.
    pub body: Vec<u8>,
}

/// A plain service: a target that answers single HTTP requests.
pub trait PlainService: Send + Sync {
    /// Calls the service once, without retries.
    fn call(&self, call: ServiceCall) -> BoxFuture<'_, Result<ServiceAnswer, TargetError>>;
}

/// Part of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightChunk {
    /// Bytes from the requested offset on: as many as requested, or up to the end.
    pub bytes: Vec<u8>,
    /// Size of the complete weights, bytes.
    pub total: u64,
}

/// The rate-limited store for model weights.
pub trait WeightStore: Send + Sync {
    /// Reads a part. The store refuses reads above its rate limit.
    fn read(
        &self,
        model: String,
        version: String,
        offset: u64,
        len: u64,
    ) -> BoxFuture<'_, Result<WeightChunk, TargetError>>;
}

/// The platform's list of VMs at one point in time; it lags behind the actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformSnapshot {
    /// Sequence number; increases with each list.
    pub sequence: u64,
    /// IP address and status of each VM.
    pub vms: Vec<(IpAddr, PlatformStatus)>,
}

/// Source of the platform's list of VMs, which lags behind the actual state.
pub trait PlatformList: Send + Sync {
    /// Returns the latest list.
    fn list(&self) -> BoxFuture<'_, Result<PlatformSnapshot, TargetError>>;
}
