//! Requests as the router's decisions see them.

use super::denied::Denied;
use crate::admission::TicketId;
use crate::routing::GroupKey;
use crate::state::{AccountName, Priority, TemplateName};
use crate::time::Instant;
use std::time::Duration;

/// A chat request, resolved against template and account.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatWork {
    /// Model and version.
    pub group: GroupKey,
    /// Adapter.
    pub adapter: Option<String>,
    /// Layers of the model.
    pub layers: u32,
}

/// A call to a plain service, resolved.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWork {
    /// Upper bound of one call.
    pub timeout: Duration,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Chat.
    Chat(ChatWork),
    /// Plain service.
    Service(ServiceWork),
}

/// A request that passed the first checks.
#[derive(Clone, Debug, PartialEq)]
pub struct Entered {
    /// Ticket; names it until it is finished.
    pub id: TicketId,
    /// Template.
    pub template: TemplateName,
    /// Account.
    pub account: AccountName,
    /// Order of service.
    pub priority: Priority,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When it came.
    pub arrived: Instant,
    /// When it must have started.
    pub start_by: Instant,
    /// What is to be done.
    pub work: Work,
}

/// Whether an entered request starts now.
#[derive(Clone, Debug, PartialEq)]
pub enum Placed {
    /// It starts.
    Start,
    /// It waits for a place.
    Wait,
}

/// What became of requests that waited.
#[derive(Clone, Debug, PartialEq)]
pub enum Admitted {
    /// It starts.
    Start(TicketId),
    /// It is refused; it was not run.
    Denied(TicketId, Denied),
}
