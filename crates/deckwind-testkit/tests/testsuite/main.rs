//! Tests of whole clusters, one module per feature.

mod announcements;
mod answer_check;
mod answer_ends;
mod answer_heads;
mod at_most_once;
mod at_size;
mod at_size_checks;
mod attempt_results;
mod attempted_targets;
mod backoffs;
mod body_ends;
mod busy_leaders;
mod bystanders;
mod caller_bodies;
mod caller_ends;
mod callers;
mod command_line;
mod connection_gate;
mod connections;
mod connectivity;
mod contracts;
mod crash_reports;
mod crash_waves;
mod cut_bodies;
mod cut_off_routers;
mod decisions;
mod endless_answers;
mod endless_http2_answers;
mod endless_memory;
mod engine_load;
mod event_splitter;
mod examples;
mod fan_out;
mod first_start;
mod forgotten_departures;
mod full_disk;
mod growth;
mod inbox;
mod incarnations;
mod incarnations_at_routers;
mod instance_index;
mod interrupted_runs;
mod invalid_announcements;
mod lagging_callers;
mod leader_changes;
mod leaving_vms;
mod limit_rig;
mod lost_answers;
mod lost_holders;
mod member_changes;
mod member_storms;
mod notices;
mod orders;
mod overload;
mod paths;
mod placement;
mod placement_at_size;
mod planned_stops;
mod poison_part_storms;
mod poison_parts;
mod poison_requests;
mod poison_templates;
mod processes;
mod published_releases;
mod quarantine;
mod quarantine_trials;
mod rejections;
mod relayed_requests;
mod release_changes;
mod release_checks;
mod renewals;
mod replication;
mod replication_flow;
mod rest_periods;
mod retries;
mod retry_rig;
mod retry_share;
mod returning_callers;
mod rig;
mod routed_body_ends;
mod routes;
mod seed_cluster;
mod seeds;
mod serving_state;
mod sessions;
mod settings;
mod shared_rate_limit;
mod shared_retry_budget;
mod silent_targets;
mod slow_engines;
mod slow_readers;
mod soak;
mod spare_engines;
mod specification;
mod stale_leases;
mod stalled_streams;
mod status;
mod store;
mod support;
mod suspended_vms;
mod target_limits;
mod target_periods;
mod template;
mod tunnel_ends;

use std::net::SocketAddr;

/// The loopback address with port 0, which binds to any free port.
fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs an asynchronous test on a multi-threaded runtime.
fn run_async(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(test);
}
