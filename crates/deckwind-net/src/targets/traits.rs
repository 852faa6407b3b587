//! The traits, and what goes through them.

use crate::BoxFuture;
use deckwind_core::control::TargetOrder;
use deckwind_core::membership::PlatformStatus;
use deckwind_core::session::{Activation, StepOrder, StepOutput};
use deckwind_core::state::{LayerRange, Priority};
use serde::{Deserialize, Serialize};
use std::net::IpAddr;
use std::time::Duration;
use thiserror::Error;

/// What went wrong with a target, told apart by what may have run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TargetError {
    /// No byte can have been taken: certainly not run.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The target itself says that it did not run it.
    #[error("refused by the target: {0}")]
    Refused(String),
    /// The same, and it wants to be left alone for so long.
    #[error("refused by the target, which rests for {0:?}")]
    Rests(Duration),
    /// It may have run.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// It may still run.
    #[error("no answer within {0:?}")]
    Late(Duration),
}

impl TargetError {
    /// Whether the request certainly did not run.
    pub fn certainly_not_run(&self) -> bool {
        match self {
            TargetError::NotSent(_) | TargetError::Refused(_) | TargetError::Rests(_) => true,
            TargetError::Broken(_) | TargetError::Late(_) => false,
        }
    }
}

/// A stage to open at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenStage {
    /// Session, unique over all routers.
    pub session: String,
    /// Layers to run.
    pub layers: LayerRange,
    /// Adapter to run them with.
    pub adapter: Option<String>,
    /// Order of service.
    pub priority: Priority,
    /// Prompt prefixes that it may have cached, as hashes, shortest first.
    pub prefixes: Vec<u64>,
}

/// A stage that is open: one session at one engine.
pub trait StageStream: Send {
    /// Runs a step. Steps of one stage are ordered one at a time.
    fn step(&mut self, order: StepOrder) -> BoxFuture<'_, Result<StepOutput, TargetError>>;

    /// Ends the session there and frees its cache. Dropping a stream without
    /// this cancels the session too.
    fn close(self: Box<Self>) -> BoxFuture<'static, ()>;
}

/// What an engine says of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Layers of all open stages, added up.
    pub load: u32,
    /// Open stages.
    pub sessions: u32,
    /// How long ago this was true, milliseconds.
    pub age_ms: u64,
}

/// What happened to a cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// It was put in.
    Stored,
    /// It was dropped.
    Removed,
}

/// A cache event. Events come late, and some never come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a gap means that some were lost.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// To which prefix.
    pub prefix: u64,
}

/// Events after a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, in order; the first number may be above the one asked for.
    pub events: Vec<CacheEvent>,
    /// Number to ask for next.
    pub next: u64,
}

/// A session's KV cache of one stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Session.
    pub session: String,
    /// Layers that it covers.
    pub layers: LayerRange,
    /// Positions that it holds.
    pub positions: u32,
    /// The cache; only engines read it.
    pub data: Activation,
}

/// A model engine.
pub trait Engine: Send + Sync {
    /// Opens a stage.
    fn open(&self, open: OpenStage) -> BoxFuture<'_, Result<Box<dyn StageStream>, TargetError>>;
    /// Its load, with a lag.
    fn load(&self) -> BoxFuture<'_, Result<EngineLoad, TargetError>>;
    /// Cache events from a number on.
    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<CacheEvents, TargetError>>;
    /// The KV cache of an open stage.
    fn export_kv(&self, session: String) -> BoxFuture<'_, Result<KvExport, TargetError>>;
    /// Takes a KV cache in, for a stage to be opened with the same session.
    fn import_kv(&self, kv: KvExport) -> BoxFuture<'_, Result<(), TargetError>>;
    /// Takes an order; refuses one with an old fence if it checks them.
    fn order(&self, order: TargetOrder) -> BoxFuture<'_, Result<(), TargetError>>;
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// Path below the template's.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Content type of the body.
    pub content_type: String,
    /// Idempotency key, passed on.
    pub idempotency_key: Option<String>,
    /// When to give up.
    pub timeout: Duration,
}

/// A plain service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// A plain service.
pub trait PlainService: Send + Sync {
    /// Calls it once.
    fn call(&self, call: ServiceCall) -> BoxFuture<'_, Result<ServiceAnswer, TargetError>>;
}

/// A part of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightChunk {
    /// Bytes from the offset asked for.
    pub bytes: Vec<u8>,
    /// Size of the whole.
    pub total: u64,
}

/// The rate-limited store for model weights.
pub trait WeightStore: Send + Sync {
    /// Reads a part. A store that is at its rate refuses.
    fn read(
        &self,
        model: String,
        version: String,
        offset: u64,
        len: u64,
    ) -> BoxFuture<'_, Result<WeightChunk, TargetError>>;
}

/// The platform's list as of a moment; it lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformSnapshot {
    /// Goes up with each list.
    pub sequence: u64,
    /// VMs by IP.
    pub vms: Vec<(IpAddr, PlatformStatus)>,
}

/// The platform's lagging list of VMs.
pub trait PlatformList: Send + Sync {
    /// The latest list.
    fn list(&self) -> BoxFuture<'_, Result<PlatformSnapshot, TargetError>>;
}
