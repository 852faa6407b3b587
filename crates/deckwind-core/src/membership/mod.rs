//! Who is in force: routers' leases on the configuration.
//!
//! ```text
//!  router ──Renew{applied}──► leader            accepted(R): committed
//!         ◄─Grant{delta,ttl}─                   in force(R): every router with a live lease
//!                                                            has applied R, or its lease ran out
//! ```
//!
//! A router counts its lease from the moment that it *asked*; the leader from
//! the moment that it *answered*, plus clock drift. So the leader never thinks
//! that a lease has ended while the router still acts on it (Gray and Cheriton,
//! "Leases", SOSP 1989). A new leader does not know the leases of the one
//! before it, and so counts nothing as in force until they have run out.

mod lease_table;
mod platform;
mod replica_choice;
mod router_lease;
mod shares;

pub use lease_table::{InForce, LeaseTable, LeaseTiming, RouterLease};
pub use platform::{PlatformStatus, PlatformView};
pub use replica_choice::ReplicaChoice;
pub use router_lease::{LeaseGrant, RouterLeaseState, ServeDecision};
pub use shares::{AccountDemand, AccountShare, share_of};
