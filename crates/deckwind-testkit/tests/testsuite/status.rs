//! The output of `deckwind status` (routers with revision and lease, replicas,
//! targets), and access to it.

use crate::processes::process_cluster;
use deckwind_core::control::{ClusterStatus, EngineView, OperatorReply, OperatorRequest};
use deckwind_core::state::InstanceState;
use deckwind_testkit::fan_out::engine;
use deckwind_testkit::{ControlSimulation, HELD_BYTES, NetFaults, eventually};
use std::time::Duration;

fn status(sim: &mut ControlSimulation, leader: usize) -> ClusterStatus {
    sim.request(leader, "status", OperatorRequest::Status);
    sim.run_for(Duration::from_millis(100));
    match sim.last_reply("status") {
        Some(OperatorReply::Status(status)) => status.clone(),
        other => panic!("{other:?}"),
    }
}

fn engine_view<'a>(status: &'a ClusterStatus, id: &str) -> &'a EngineView {
    let mut all = status.engines.iter();
    all.find(|e| e.id == id)
        .expect("the status lists the engine")
}

#[test]
fn the_leader_reports_routers_replicas_and_targets() {
    let mut sim = ControlSimulation::new(3, 2, 7, NetFaults::NONE);
    let leader = sim.run_until_leader();
    sim.run_for(Duration::from_secs(1));
    sim.announce(leader, engine(1, 8, 1));
    sim.announce(leader, engine(2, 0, 1));
    sim.run_for(Duration::from_millis(800));
    let reported = status(&mut sim, leader);
    assert_eq!(reported.routers.len(), 2);
    for router in &reported.routers {
        assert_eq!(router.behind, reported.revision.0 - router.applied.0);
        assert!(router.lease_ms > 0, "{router:?}");
        assert_eq!(router.held_bytes, Some(HELD_BYTES));
        assert_eq!(router.repeats, None, "no router has needed a retry yet");
    }
    let leads: Vec<bool> = reported.replicas.iter().map(|r| r.leads).collect();
    assert_eq!(leads.iter().filter(|l| **l).count(), 1);
    let loaded = engine_view(&reported, "engine-1");
    assert_eq!(
        (loaded.layers.len(), loaded.state),
        (8, InstanceState::Ready)
    );
    assert!(loaded.heard_ms.is_some_and(|ms| ms < 1_200), "{loaded:?}");
    assert!(engine_view(&reported, "engine-2").layers.is_empty());

    sim.routers.iter_mut().for_each(|r| r.need_retries(1));
    sim.run_for(Duration::from_secs(10));
    let later = status(&mut sim, leader);
    for router in &later.routers {
        assert!(router.repeats.is_some(), "{router:?}");
    }
    assert_eq!(engine_view(&later, "engine-1").state, InstanceState::Silent);
}

#[test]
fn a_status_round_trips_and_one_without_engines_is_read() {
    let mut sim = ControlSimulation::new(1, 1, 7, NetFaults::NONE);
    let leader = sim.run_until_leader();
    sim.run_for(Duration::from_secs(1));
    sim.announce(leader, engine(1, 8, 1));
    sim.run_for(Duration::from_millis(800));
    let reported = status(&mut sim, leader);
    let mut json = serde_json::to_value(&reported).expect("the status serializes");
    let back: ClusterStatus =
        serde_json::from_value(json.clone()).expect("the status deserializes");
    assert_eq!(back, reported);
    json.as_object_mut()
        .expect("the status is a JSON object")
        .remove("engines");
    let older: ClusterStatus = serde_json::from_value(json).expect("the status deserializes");
    assert!(older.engines.is_empty());
}

/// Without an operator token in the settings, the status can be read without a
/// token, and all other operator requests are refused.
#[test]
fn without_an_operator_token_only_the_status_is_served() {
    let cluster = process_cluster(1, 0);
    let _control = cluster.control_without_token().unwrap();
    let args = ["status", "--engines", "--format", "json"];
    let reported = eventually("the replica leads", || {
        let output = cluster.cli_without_token(&args).unwrap();
        output.status.success().then_some(output.stdout)
    });
    let reported: ClusterStatus = serde_json::from_slice(&reported).unwrap();
    assert_eq!(reported.replicas.len(), 1);
    assert!(reported.engines.is_empty());
    let text = cluster.cli_without_token(&["status", "--engines"]).unwrap();
    let text = String::from_utf8_lossy(&text.stdout).into_owned();
    assert!(text.contains("lease ms"), "{text}");
    let refused = cluster.cli(&["account", "list"]).unwrap();
    let error = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(error.contains("401"), "{error}");
}
