//! Admission control: decides which requests are served when capacity is short.
//!
//! ```text
//!  request ─► AccountLimiter ─► Admission ─────────────────► dispatch
//!              over its share │   │ one queue per priority,    ▲
//!                             ▼   ▼ fair between accounts      │ a slot is free
//!                        refused at once, not run,             │
//!                        with a retry-after time ──────────────┘
//! ```
//!
//! A request that can't be served before its deadline is refused at once, with the time
//! after which a retry can succeed, instead of being held until near its deadline. Queues
//! are bounded in length, and the deadline is known on entry.

mod connection_gate;
mod limiter;
mod queue;
mod retry_budget;

pub use connection_gate::{ConnectionGate, GateDecision, LAG_INTERVAL};
pub use limiter::AccountLimiter;
pub use queue::{Admission, AdmissionConfig, AdmissionRefusal, Offer, Refused, Ticket, TicketId};
pub use retry_budget::{RetryBudget, RetryPolicy};
