//! Who is served when not all can be.
//!
//! ```text
//!  request ─► AccountLimiter ─► Admission ───────────────► dispatch
//!              over its share │   │ one queue a priority,    ▲
//!                             ▼   ▼ fair between accounts    │ a place is free
//!                        refused at once, not run,           │
//!                        with the time to come back ─────────┘
//! ```
//!
//! Whoever can't be served before the deadline hears so at once, with the time
//! after which another try helps; nothing is held back until near its deadline.
//! Queues are bounded in number; a deadline is known at entry.

mod limiter;
mod queue;
mod retry_budget;

pub use limiter::AccountLimiter;
pub use queue::{Admission, AdmissionConfig, Offer, Refused, RefusedWhy, Ticket, TicketId};
pub use retry_budget::{RetryBudget, RetryPolicy};
