//! Tests of whole clusters, one module per feature.

mod announcements;
mod at_most_once;
mod at_size;
mod bystanders;
mod caller_bodies;
mod callers;
mod come_back;
mod command_line;
mod connections;
mod contracts;
mod crowding;
mod cut_runs;
mod decisions;
mod ending_requests;
mod ending_templates;
mod engine_use;
mod examples;
mod fan_out;
mod full_disk;
mod growth;
mod held_back;
mod inbox;
mod instance_index;
mod leader_changes;
mod leaving;
mod limit_rig;
mod limits;
mod lives;
mod lives_at_routers;
mod notices;
mod orders;
mod other_writers;
mod passed_on;
mod paths;
mod placement;
mod placement_at_size;
mod processes;
mod promises;
mod published;
mod quarantine;
mod rejections;
mod release_changes;
mod renewals;
mod repeat_rig;
mod repeat_share;
mod repeats;
mod replication;
mod replication_flow;
mod rests;
mod rig;
mod routes;
mod seeds;
mod sessions;
mod settings;
mod shared_bound;
mod shared_limit;
mod silence;
mod slow;
mod slow_readers;
mod soak;
mod spare_engines;
mod specification;
mod status;
mod store;
mod support;
mod suspended;
mod target_periods;
mod template;
mod tries;

use std::net::SocketAddr;

/// The loopback address with port 0, which binds to any free port.
fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs an asynchronous test on a multi-threaded runtime.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(test);
}
