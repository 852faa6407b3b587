//! Traits for the wire formats of callers, targets and operators at one site.
//!
//! Routes, announcements and releases are deckwind's own concepts. Which header or
//! field carries each value depends on the site. An adapter implements these traits;
//! it only translates and makes no decisions.

use bytes::Bytes;
use deckwind_core::control::{AnnouncementFault, UnloadMode};
use deckwind_core::routes::TargetNotice;
use deckwind_core::routing::paths::Stage;
use deckwind_core::state::{
    Incarnation, Instance, KeyDigest, LayerRange, PartId, PublishedRelease,
};
use http::{HeaderMap, Method, StatusCode, request::Parts};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Fields decoded from the head of a caller's request, besides method, path and host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequestHead {
    /// Request id that the caller assigned to this attempt.
    pub id: String,
    /// Time that the caller waits for the answer.
    pub wait_time: Option<Duration>,
    /// Digest of the API key that the request carries.
    pub key: Option<KeyDigest>,
    /// Size of the generation; `None` for other requests.
    pub generation: Option<Generation>,
    /// Number of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Parts of the prompt.
    pub prompt: PromptParts,
}

/// Parts of a prompt in their order, as the caller names them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts {
    /// Names of the parts.
    pub ids: Vec<PartId>,
    /// Why the parts could not be read. The request is proper without them.
    pub unreadable: Option<String>,
}

/// Size of a generation request, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation {
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Maximum number of answer tokens.
    pub max_answer_tokens: u64,
    /// Number of answer tokens that the caller estimates.
    pub estimated_answer_tokens: Option<u64>,
}

/// Fields added to a request for a target, besides those that the caller sent.
#[derive(Clone, Debug)]
pub struct TargetRequestHead<'a> {
    /// Incarnation of the target that may run the request; any other must refuse it.
    pub instance: &'a str,
    /// Client account that sends the request.
    pub account: Option<&'a str>,
    /// Time for which the caller still waits.
    pub time_left: Option<Duration>,
    /// Path of the request, for engines that hold layers.
    pub path: Option<&'a [Stage]>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Event after which the target resumes the stream.
    pub last_event: Option<u64>,
}

/// Fields decoded from the head of a target's answer, besides the status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetAnswer {
    /// Id of the request that is answered.
    pub id: Option<String>,
    /// Whether the answer carries the target's signature.
    pub is_signed: bool,
    /// Whether the target states that it has not run the request.
    pub not_run: bool,
    /// Address of the failed stage, if that is not the answering target.
    pub failed_stage: Option<SocketAddr>,
    /// Whether the body has a content encoding. An intermediary must have applied it, so
    /// the body is not the target's own.
    pub content_encoded: bool,
}

/// Wire format of callers and of the targets behind routes.
pub trait CallerDialect: Send + Sync {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    /// If a field is missing or cannot be parsed.
    fn read_head(&self, head: &Parts) -> Result<CallerRequestHead, InvalidInput>;
    /// Converts the headers of a caller's request to those of the request to a target.
    fn to_target_headers(&self, headers: &mut HeaderMap, head: &TargetRequestHead);
    /// Decodes the head of a target's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> TargetAnswer;
    /// Decodes what a target states about itself in the head of any answer: to a
    /// request, to a call for its report, or to an order.
    fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> TargetNotice;
    /// Returns the path of readiness checks.
    fn ready_path(&self) -> &str;
}

/// Status report of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether the engine is executing an order.
    pub busy: bool,
    /// Number of orders accepted since the engine started.
    pub orders: u64,
    /// Layers that the engine holds; `None` if the report does not include them.
    pub layers: Option<LayerRange>,
    /// Ids of stalled requests, each with the address of the stage that it waits for.
    pub stalled: Vec<(String, SocketAddr)>,
    /// Start time of the engine's incarnation, Unix milliseconds by its own clock;
    /// `None` if the report does not include it.
    pub born: Option<u64>,
    /// Duration of the engine's work in percent of the usual duration; `None` if the
    /// report does not include it.
    pub pace_percent: Option<u32>,
}

impl EngineReport {
    /// Returns whether the report comes from an incarnation other than the one started
    /// at `born`. Returns `false` if either start time is unknown.
    pub fn is_of_other_incarnation(&self, born: Option<u64>) -> bool {
        matches!((self.born, born), (Some(said), Some(known)) if said != known)
    }
}

/// An HTTP request to a target's own API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCall {
    /// HTTP method.
    pub method: Method,
    /// Request path.
    pub path: String,
    /// JSON body; empty for none.
    pub body: Vec<u8>,
}

/// Wire format of orders to engines and of their reports.
pub trait EngineDialect: Send + Sync {
    /// Returns the call that requests a report.
    fn report(&self) -> TargetCall;
    /// Decodes a report.
    ///
    /// # Errors
    /// If the body is not a valid report.
    fn read_report(&self, body: &[u8]) -> Result<EngineReport, InvalidInput>;
    /// Returns the call that moves a running request to another path with the same
    /// first stage.
    fn change_path(&self, request: &str, path: &[Stage]) -> TargetCall;
    /// Returns the engine that refused a change of path, if the answer names it.
    fn refusing_engine(&self, status: StatusCode, body: &[u8]) -> Option<SocketAddr>;
    /// Returns the call that orders an engine to hold these layers. `orders` is the
    /// number of orders that the engine has accepted so far; it must refuse if it has
    /// accepted more.
    fn place(&self, layers: LayerRange, unload_mode: UnloadMode, orders: u64) -> TargetCall;
}

/// A decoded call to a control replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// Publishes a release.
    Publish(Box<PublishedRelease>),
    /// Reads the document of the release in force.
    Document,
    /// Announces a target's current state.
    Announce(Box<Instance>),
    /// Reports that a target has left. Without a start time, this applies to the
    /// incarnation that is known at that moment.
    Leave(Incarnation),
}

/// Wire format of calls from operators and targets to control replicas.
pub trait ControlDialect: Send + Sync {
    /// Decodes a call.
    ///
    /// # Errors
    /// If there is no such call, or its body is not valid.
    fn read_call(
        &self,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<ControlCall, InvalidInput>;
    /// Returns the answer to an accepted announcement. It names `here`, the address at
    /// which a replica accepts further announcements.
    fn announcement_reply(&self, here: SocketAddr) -> Bytes;
}

/// The wire formats of a site.
#[derive(Clone)]
pub struct Dialects {
    /// Wire format of callers and targets.
    pub callers: Arc<dyn CallerDialect>,
    /// Wire format of engines.
    pub engines: Arc<dyn EngineDialect>,
    /// Wire format of operators and announcements.
    pub control: Arc<dyn ControlDialect>,
}

/// Error for external input that is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidInput {
    /// The call does not exist.
    #[error("there is no {0} here")]
    UnknownCall(String),
    /// The input cannot be decoded.
    #[error("{0}")]
    Unreadable(String),
    /// The announcement of a target is not valid.
    #[error("{fault}: {why}")]
    Announcement {
        /// Category of the fault.
        fault: AnnouncementFault,
        /// Details for logs and for the answer.
        why: String,
    },
}
