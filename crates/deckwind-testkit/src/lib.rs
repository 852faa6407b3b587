//! Test support: builders and small clusters for tests, the quick start and measurements.
//!
//! Starts real daemons on loopback with fake targets, in one process ([`Cluster`]) or as
//! separate processes ([`Processes`]). Not for use in production.

pub mod answer_check;
pub mod at_size;
mod caller;
mod cluster;
mod control_simulation;
mod cut_links;
pub mod fan_out;
mod heartbeat_gaps;
mod layout;
mod objects;
pub mod placement_simulation;
mod processes;
mod simulated_network;
mod simulated_routers;
mod simulation_checks;
pub mod soak;
mod synthetic_fleet;
mod vm_time;
mod wait;
mod work_costs;

pub use caller::{Answer, Caller, Streaming};
pub use cluster::Cluster;
pub use control_simulation::{ControlSimulation, NetFaults};
pub use cut_links::{CutLinks, LinkFault};
pub use layout::{Layout, RouterAddresses, SeedLayout};
pub use objects::{account, chat_template, engine_target, service_target, service_template};
pub use processes::{Process, Processes};
pub use simulated_routers::{HELD_BYTES, SimulatedRouter};
pub use vm_time::VmTime;
pub use wait::{eventually, eventually_async};
pub use work_costs::WorkCosts;
