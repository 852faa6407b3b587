//! Builders for tests, the quick start and measurements.
//!
//! For: a small cluster of real daemons on loopback, with fakes behind it, in
//! one process ([`Cluster`]) or as processes ([`Processes`]). Not for:
//! production.

pub mod at_size;
mod caller;
mod cluster;
pub mod fan_out;
mod lab;
mod lab_checks;
mod lab_net;
mod lab_routers;
mod layout;
mod made_up_fleet;
mod objects;
pub mod placing;
mod processes;
pub mod soak;
mod vm_time;
mod wait;

pub use caller::{Answer, Caller, Streaming};
pub use cluster::Cluster;
pub use lab::{Lab, NetFaults};
pub use lab_routers::{HELD_BYTES, LabRouter};
pub use layout::{Layout, Placement};
pub use objects::{account, chat_template, engine_target, service_target, service_template};
pub use processes::{Process, Processes};
pub use vm_time::VmTime;
pub use wait::{eventually, eventually_async};
