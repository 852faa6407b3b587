//! Requests, as input to the router's decisions.

use super::denied::Denied;
use crate::admission::TicketId;
use crate::routing::GroupKey;
use crate::state::{AccountName, Priority, TemplateName};
use crate::time::Instant;
use std::time::Duration;

/// A chat request, resolved against its template and account.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatWork {
    /// Model and version.
    pub group: GroupKey,
    /// Adapter, if any.
    pub adapter: Option<String>,
    /// Number of layers of the model.
    pub layers: u32,
}

/// A call to a plain service, resolved against its template.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWork {
    /// Timeout of one call.
    pub timeout: Duration,
}

/// The work that a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// A chat over a chain of engines.
    Chat(ChatWork),
    /// A call to a plain service.
    Service(ServiceWork),
}

/// A request that passed authentication, template and rate limit checks.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedRequest {
    /// Ticket ID of the request until it is finished.
    pub id: TicketId,
    /// Template of the request.
    pub template: TemplateName,
    /// Account of the request.
    pub account: AccountName,
    /// Priority in the queue.
    pub priority: Priority,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time of arrival.
    pub arrived: Instant,
    /// Time by which the request must have started.
    pub start_by: Instant,
    /// Work to run.
    pub work: Work,
}

/// The result of requesting a slot.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotOutcome {
    /// The request starts now.
    Start,
    /// The request is queued until a slot is free.
    Wait,
}

/// The result for a queued request.
#[derive(Clone, Debug, PartialEq)]
pub enum QueueOutcome {
    /// The request starts now.
    Start(TicketId),
    /// The request is refused and was not run.
    Denied(TicketId, Denied),
}
