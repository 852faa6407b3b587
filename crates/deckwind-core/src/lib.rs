//! Decisions and state machines of deckwind.
//!
//! For: embedding. Everything here takes events, the time and seeds as
//! arguments, and returns actions or decisions, so that each fault is a row
//! of a table and each run repeats.
//!
//! Not for: sockets, files, threads, clocks or global random numbers. Those
//! stand round this crate, in `deckwind-store`, `deckwind-net` and `deckwindd`.
//!
//! ```text
//!  control VM                              router VM
//!  ┌─────────────┐  entries  ┌───────┐     ┌───────────┐ ┌─────────┐ ┌─────────┐
//!  │ replication ├──────────►│ state ├────►│ admission ├►│ routing ├►│ session │
//!  └─────────────┘ committed └───────┘ conf└───────────┘ └─────────┘ └─────────┘
//!         ▲                      ▲ leases        │            ▲
//!         └── membership ────────┴───────────────┴── burn ────┘ progress
//! ```

pub mod admission;
pub mod burn;
pub mod control;
pub mod membership;
pub mod rate;
pub mod replication;
pub mod router;
pub mod routes;
pub mod routing;
pub mod session;
pub mod state;
pub mod time;
