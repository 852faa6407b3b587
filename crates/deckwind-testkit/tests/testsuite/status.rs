//! What `deckwind status` tells: routers by revision and lease, replicas, targets;
//! and who may ask.

use crate::processes::processes;
use deckwind_core::control::{ClusterStatus, EngineView, OperatorReply, OperatorRequest};
use deckwind_core::state::InstanceState;
use deckwind_testkit::fan_out::engine;
use deckwind_testkit::{HELD_BYTES, Lab, NetFaults, eventually};
use std::time::Duration;

fn status(lab: &mut Lab, leader: usize) -> ClusterStatus {
    lab.ask(leader, "status", OperatorRequest::Status);
    lab.run_for(Duration::from_millis(100));
    match lab.last_reply("status") {
        Some(OperatorReply::Status(status)) => status.clone(),
        other => panic!("{other:?}"),
    }
}

fn view<'a>(status: &'a ClusterStatus, id: &str) -> &'a EngineView {
    let mut all = status.engines.iter();
    all.find(|e| e.id == id).expect("it is told")
}

#[test]
fn the_leader_tells_of_routers_replicas_and_targets() {
    let mut lab = Lab::new(3, 2, 7, NetFaults::NONE);
    let leader = lab.run_until_led();
    lab.run_for(Duration::from_secs(1));
    lab.announce(leader, engine(1, 8, 1));
    lab.announce(leader, engine(2, 0, 1));
    lab.run_for(Duration::from_millis(800));
    let told = status(&mut lab, leader);
    assert_eq!(told.routers.len(), 2);
    for router in &told.routers {
        assert_eq!(router.behind, told.revision.0 - router.applied.0);
        assert!(router.lease_ms > 0, "{router:?}");
        assert_eq!(router.held_bytes, Some(HELD_BYTES));
        assert_eq!(router.repeats, None, "nobody has wanted one yet");
    }
    let leads: Vec<bool> = told.replicas.iter().map(|r| r.leads).collect();
    assert_eq!(leads.iter().filter(|l| **l).count(), 1);
    let holds = view(&told, "engine-1");
    assert_eq!((holds.layers.len(), holds.state), (8, InstanceState::Ready));
    assert!(holds.heard_ms.is_some_and(|ms| ms < 1_200), "{holds:?}");
    assert!(view(&told, "engine-2").layers.is_empty());

    lab.routers.iter_mut().for_each(|r| r.want_repeats(1));
    lab.run_for(Duration::from_secs(10));
    let later = status(&mut lab, leader);
    for router in &later.routers {
        assert!(router.repeats.is_some(), "{router:?}");
    }
    assert_eq!(view(&later, "engine-1").state, InstanceState::Silent);
}

#[test]
fn a_status_is_read_back_as_it_was_told_and_an_older_one_too() {
    let mut lab = Lab::new(1, 1, 7, NetFaults::NONE);
    let leader = lab.run_until_led();
    lab.run_for(Duration::from_secs(1));
    lab.announce(leader, engine(1, 8, 1));
    lab.run_for(Duration::from_millis(800));
    let told = status(&mut lab, leader);
    let mut text = serde_json::to_value(&told).expect("it serializes");
    let back: ClusterStatus = serde_json::from_value(text.clone()).expect("it is read");
    assert_eq!(back, told);
    text.as_object_mut().expect("an object").remove("engines");
    let older: ClusterStatus = serde_json::from_value(text).expect("it is read");
    assert!(older.engines.is_empty());
}

/// Where the settings hold no token for operators, the status can be read without
/// one, and nothing else can.
#[test]
fn without_a_token_in_the_settings_the_status_is_served_alone() {
    let cluster = processes(1, 0);
    let _control = cluster.open_control().unwrap();
    let args = ["status", "--engines", "--format", "json"];
    let told = eventually("the replica leads", || {
        let output = cluster.cli_without_token(&args).unwrap();
        output.status.success().then_some(output.stdout)
    });
    let told: ClusterStatus = serde_json::from_slice(&told).unwrap();
    assert_eq!(told.replicas.len(), 1);
    assert!(told.engines.is_empty());
    let text = cluster.cli_without_token(&["status", "--engines"]).unwrap();
    let text = String::from_utf8_lossy(&text.stdout).into_owned();
    assert!(text.contains("lease ms"), "{text}");
    let refused = cluster.cli(&["account", "list"]).unwrap();
    let error = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(error.contains("401"), "{error}");
}
