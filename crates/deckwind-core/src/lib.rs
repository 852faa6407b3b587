//! Decision logic and state machines of deckwind.
//!
//! The code in this crate takes events, the current time and random seeds as
//! arguments and returns actions or decisions. Faults can therefore be tested as
//! rows of a table, and every run is reproducible.
//!
//! The crate uses no sockets, files, threads, clocks or global random numbers.
//! `deckwind-store`, `deckwind-net` and `deckwindd` provide them.
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
pub mod backoff;
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
