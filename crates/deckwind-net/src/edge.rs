//! How callers, targets and operators of one site speak.
//!
//! Routes, announcements and releases are the product's; which header or field
//! carries what is a matter of the site. An adapter implements these traits and
//! translates, nothing more.

use bytes::Bytes;
use deckwind_core::control::{AnnouncementFault, GiveUp};
use deckwind_core::routes::TargetNotice;
use deckwind_core::routing::paths::Stage;
use deckwind_core::state::{Instance, KeyDigest, LayerRange, Life, Published};
use http::{HeaderMap, Method, StatusCode, request::Parts};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// What a caller's head says, besides method, path and host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The caller's name for this try.
    pub id: String,
    /// How long the caller will wait.
    pub patience: Option<Duration>,
    /// Digest of the key that it shows.
    pub key: Option<KeyDigest>,
    /// What a generation needs; nothing for other requests.
    pub generation: Option<Generation>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// Size of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the answer at most.
    pub most: u64,
    /// Tokens of the answer as the caller estimates them.
    pub likely: Option<u64>,
}

/// What a target is told besides what the caller sent.
#[derive(Clone, Debug)]
pub struct TargetHead<'a> {
    /// The only life of the target that may run it.
    pub instance: &'a str,
    /// Account that asks.
    pub account: Option<&'a str>,
    /// How long the caller still waits.
    pub left: Option<Duration>,
    /// Path that it takes, for engines that hold layers.
    pub path: Option<&'a [Stage]>,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Go on after this event.
    pub last_event: Option<u64>,
}

/// What a target's head says, besides its status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetAnswer {
    /// Request that it answers.
    pub id: Option<String>,
    /// Whether it carries the target's signature.
    pub signed: bool,
    /// Whether the target says that it has not run the request.
    pub not_run: bool,
    /// The stage at fault, if it is another one.
    pub at_fault: Option<SocketAddr>,
    /// Whether the body was encoded on the way: then it isn't the target's.
    pub encoded: bool,
}

/// Callers and the targets behind routes.
pub trait CallerDialect: Send + Sync {
    /// Reads a caller's head.
    fn read_head(&self, head: &Parts) -> Result<CallerHead, BadInput>;
    /// Makes a caller's headers those of the request to a target.
    fn to_target(&self, headers: &mut HeaderMap, head: &TargetHead);
    /// Reads the head of a target's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> TargetAnswer;
    /// What a target says of itself in the head of any answer: to a request, a report
    /// that it was asked for, or an order.
    fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> TargetNotice;
    /// Path at which readiness is asked for.
    fn ready_path(&self) -> &str;
}

/// How an engine is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders taken since its start.
    pub orders: u64,
    /// Layers that it holds; nothing where the report doesn't tell.
    pub layers: Option<LayerRange>,
    /// Requests that stand still, and the stage that they wait for.
    pub stalled: Vec<(String, SocketAddr)>,
    /// When its life started, Unix milliseconds by its own clock; nothing where
    /// it doesn't say.
    pub born: Option<u64>,
    /// Time that its work takes, in hundredths of the usual one; nothing where the
    /// report doesn't tell.
    pub pace_percent: Option<u32>,
}

impl EngineReport {
    /// Whether it is of another life than the one that started at `born`.
    pub fn is_of_another_life(&self, born: Option<u64>) -> bool {
        matches!((self.born, born), (Some(said), Some(known)) if said != known)
    }
}

/// A request to a target's own interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCall {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// JSON body; empty for none.
    pub body: Vec<u8>,
}

/// Orders to engines, and their reports.
pub trait EngineDialect: Send + Sync {
    /// Asks for a report.
    fn report(&self) -> TargetCall;
    /// Reads a report.
    fn read_report(&self, body: &[u8]) -> Result<EngineReport, BadInput>;
    /// Has a request that runs go on over another path with the same first
    /// stage.
    fn change_path(&self, request: &str, path: &[Stage]) -> TargetCall;
    /// The engine at fault, where a change of path was refused and the answer names
    /// it.
    fn path_refused_by(&self, status: StatusCode, body: &[u8]) -> Option<SocketAddr>;
    /// Has an engine that has taken `orders` orders hold these layers; one that
    /// has taken more must refuse.
    fn place(&self, layers: LayerRange, give_up: GiveUp, orders: u64) -> TargetCall;
}

/// A call to a control replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// Publish a release.
    Publish(Box<Published>),
    /// Read the document of the release that holds.
    Document,
    /// A target says how it is.
    Announce(Box<Instance>),
    /// A target has left; the life that is known where it doesn't tell its start.
    Leave(Life),
}

/// Operators and targets that call control replicas.
pub trait ControlDialect: Send + Sync {
    /// Reads a call.
    fn read_call(&self, method: &Method, path: &str, body: Bytes) -> Result<ControlCall, BadInput>;
    /// The answer to a target that was heard, and may go on telling the replica
    /// that takes calls at `here`.
    fn heard_at(&self, here: SocketAddr) -> Bytes;
}

/// All dialects of a site.
#[derive(Clone)]
pub struct Dialects {
    /// Callers.
    pub callers: Arc<dyn CallerDialect>,
    /// Engines.
    pub engines: Arc<dyn EngineDialect>,
    /// Operators and announcements.
    pub control: Arc<dyn ControlDialect>,
}

/// What came from outside can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BadInput {
    /// There is no such call.
    #[error("there is no {0} here")]
    NoSuchCall(String),
    /// It can't be read.
    #[error("{0}")]
    Unreadable(String),
    /// What a target says of itself can't be taken.
    #[error("{fault}: {why}")]
    Announcement {
        /// What is wrong.
        fault: AnnouncementFault,
        /// More of it.
        why: String,
    },
}
