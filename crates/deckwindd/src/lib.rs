//! The deckwind daemon as a library: I/O for the router and control roles.
//!
//! Used by the `deckwindd` binary, tests and the quick-start example. Decisions are made
//! in `deckwind-core`, which does no I/O.
//!
//! ```text
//!              callers (HTTP)                 operators (HTTP)
//!                   │                              │
//!   ┌───────────────▼──────────┐  QUIC  ┌──────────▼──────────┐  QUIC
//!   │ router: RouterCore       ├───────►│ control: ControlCore├───────► other replicas
//!   └───────────────┬──────────┘ leases,└──────────┬──────────┘
//!                   ▼            claims            ▼
//!             targets (HTTP/2)                data folder
//! ```

pub mod admin;
pub mod byte_budget;
pub mod commands;
pub mod context;
pub mod control;
mod log_queue;
pub mod logging;
pub mod metrics_page;
pub mod ops;
pub mod router;
mod suspension;
