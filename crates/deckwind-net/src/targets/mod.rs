//! Outside systems as trait objects: engine, plain service, weight store and
//! platform list.
//!
//! How the users' engines speak will be known with their bench; what stands
//! here is the least that the decisions need. Each trait has an HTTP client
//! ([`HttpEngine`] and so on) and a fake in `deckwind-fakes`, and both pass the
//! same contract tests.

mod http_client;
pub mod http_engine;
pub mod http_platform;
pub mod http_service;
mod http_weights;
mod kept;
mod rest;
mod traits;

pub use deckwind_core::control::{OrderKind, TargetOrder};
pub use http_client::HttpTarget;
pub use http_engine::HttpEngine;
pub use http_platform::HttpPlatformList;
pub use http_service::HttpService;
pub use http_weights::HttpWeightStore;
pub use kept::{
    KeptConnections, TargetConnection, TargetReply, call_target, watch_over, watch_over_for,
};
pub use rest::{MOST_REST, UnreadableRest, asked_rest};
pub use traits::{
    CacheEvent, CacheEventKind, CacheEvents, Engine, EngineLoad, KvExport, OpenStage, PlainService,
    PlatformList, PlatformSnapshot, ServiceAnswer, ServiceCall, StageStream, TargetError,
    WeightChunk, WeightStore,
};
