//! Traits for external systems (engine, plain service, weight store, platform list) and
//! their HTTP clients.
//!
//! The traits cover only what deckwind's decisions need. Each trait has an HTTP client
//! ([`HttpEngine`] and so on) and a fake in `deckwind-fakes`; both pass the same contract
//! tests.

mod connection_pool;
mod connector;
mod http_client;
pub mod http_engine;
pub mod http_platform;
pub mod http_service;
mod http_weights;
mod overhead_limit;
mod reach;
mod receive_budget;
mod retry_after;
mod tcp_options;
mod traits;

pub use connection_pool::{ConnectionPool, TargetConnection, TargetResponse, call_target};
pub use connector::{BoxedStream, Connector, TargetStream, TcpConnector};
pub use deckwind_core::control::{OrderKind, TargetOrder};
pub use http_client::HttpTarget;
pub use http_engine::HttpEngine;
pub use http_platform::HttpPlatformList;
pub use http_service::HttpService;
pub use http_weights::HttpWeightStore;
pub use overhead_limit::OverheadMeter;
pub use reach::{TunnelOpener, Way};
pub use receive_budget::ReceiveBudget;
pub use retry_after::{MAX_REST_PERIOD, UnreadableRest, requested_rest_period};
pub use tcp_options::{set_tcp_options, set_tcp_options_with_timeout};
pub use traits::{
    CacheEvent, CacheEventKind, CacheEvents, Engine, EngineLoad, KvExport, OpenStage, PlainService,
    PlatformList, PlatformSnapshot, ServiceAnswer, ServiceCall, StageStream, TargetError,
    WeightChunk, WeightStore,
};
