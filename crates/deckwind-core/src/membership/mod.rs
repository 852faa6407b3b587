//! Leases that routers hold on the configuration, and related views of the cluster.
//!
//! ```text
//!  router ──Renew{applied}──► leader            accepted(R): committed
//!         ◄─Grant{delta,ttl}─                   in force(R): every router with a live lease
//!                                                            has applied R, or its lease expired
//! ```
//!
//! A router counts its lease from the time at which it *sent* the request; the
//! leader counts it from the time at which it *answered*, and adds the clock drift.
//! Therefore no lease ends at the leader while the router still acts on it (Gray
//! and Cheriton, "Leases", SOSP 1989). A new leader does not know the leases that
//! the previous one granted, so it reports no revision as in force until they have
//! expired.

mod lease_table;
mod platform;
mod replica_choice;
mod router_lease;
mod shares;

pub use lease_table::{InForce, LeaseTable, LeaseTiming, RouterLease};
pub use platform::{PlatformStatus, PlatformView};
pub use replica_choice::ReplicaChoice;
pub use router_lease::{LeaseGrant, RouterLeaseState, ServeDecision};
pub use shares::{AccountDemand, AccountShare, account_share};
