//! Test support: builders and small clusters for tests, the quick start and measurements.
//!
//! Starts real daemons on loopback with fake targets, in one process ([`Cluster`]) or as
//! separate processes ([`Processes`]). Not for use in production.

pub mod at_size;
mod caller;
mod cluster;
pub mod fan_out;
mod lab;
mod lab_checks;
mod lab_net;
mod lab_routers;
mod layout;
mod objects;
pub mod placing;
mod processes;
pub mod soak;
mod synthetic_fleet;
mod vm_time;
mod wait;

pub use caller::{Answer, Caller, Streaming};
pub use cluster::Cluster;
pub use lab::{Lab, NetFaults};
pub use lab_routers::{HELD_BYTES, LabRouter};
pub use layout::{Layout, RouterAddresses};
pub use objects::{account, chat_template, engine_target, service_target, service_template};
pub use processes::{Process, Processes};
pub use vm_time::VmTime;
pub use wait::{eventually, eventually_async};
