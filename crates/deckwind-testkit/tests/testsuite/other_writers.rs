//! Announcements that aren't a target's own, at a running cluster: each is answered
//! and not taken, and the targets that hold go on. What they look like as bytes is
//! in the platform's own tests.

use crate::rig::{KEY, Rig, data_centre, post};
use crate::routes::placed;
use crate::run;
use crate::support::{announced, cards, instances, model};
use deckwind_core::control::AnnouncementFault;
use deckwind_core::routes::InstanceIndex;
use deckwind_core::state::{
    Command, CommandBody, Instance, Pool, Published, Release, StateMachine,
};
use deckwind_fakes::{FakeRunner, RunnerFault};
use deckwind_testkit::eventually_async;
use deckwindd::control::{LOG_EVERY, Refusals};
use http::StatusCode;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use yare::parameterized;

/// Whose word it is said to be.
#[derive(Clone, Copy)]
enum In {
    /// The one target's.
    ItsName,
    /// Another target's at the same address.
    ItsPlace,
}

#[parameterized(
    pool_unknown = { In::ItsName, json!({"backend": "nowhere"}) },
    pool_unknown_at_its_address = { In::ItsPlace, json!({"backend": "nowhere"}) },
    pool_unknown_and_draining = { In::ItsName, json!({"backend": "nowhere", "state": "draining"}) },
    state_unknown = { In::ItsName, json!({"state": "gone"}) },
    no_number = { In::ItsName, json!({"seq": null}) },
    number_as_text = { In::ItsPlace, json!({"seq": "900"}) },
    start_as_text = { In::ItsName, json!({"born": "now"}) },
    address_unreadable = { In::ItsName, json!({"address": "nobody"}) },
    engine_without_layers = { In::ItsName, json!({"layers": null, "backend": "engines", "kind": null, "stage": null}) },
)]
fn a_target_holds_whatever_others_write_in_its_name(said: In, changed: Value) {
    run(async move {
        let mut rig = Rig::start(1, 0).await;
        rig.until_served("/safe/x", false).await;
        let mut body = rig.plain[0].announcement("plain", data_centre(0), "ready", 900);
        for (field, value) in changed.as_object().expect("an object") {
            match value.is_null() {
                true => drop(body.as_object_mut().expect("an object").remove(field)),
                false => body[field] = value.clone(),
            }
        }
        let id = match said {
            In::ItsName => "p-0",
            In::ItsPlace => "p-other",
        };
        let path = format!("/v1/instances/{id}/heartbeat");
        let status = post(rig.control(), &path, &body).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
        rig.until_in_force().await;
        let heard = rig.ask("r1", "/safe/x", KEY, false).await;
        assert_eq!(heard.status, StatusCode::OK);
        rig.cluster.close().await.expect("closed");
    });
}

#[parameterized(
    no_object = { json!([1]) },
    start_as_text = { json!({"born": "now"}) },
)]
fn a_leave_that_can_t_be_read_ends_nobody(body: Value) {
    run(async move {
        let mut rig = Rig::start(1, 0).await;
        rig.until_served("/safe/x", false).await;
        let status = post(rig.control(), "/v1/instances/p-0/leave", &body).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
        rig.until_in_force().await;
        let heard = rig.ask("r1", "/safe/x", KEY, false).await;
        assert_eq!(heard.status, StatusCode::OK);
        rig.cluster.close().await.expect("closed");
    });
}

fn release(version: u64, pools: &[&str]) -> CommandBody {
    let pool = |name: &&str| Pool {
        name: name.to_string(),
        max_connections: 10,
        engine: Some(model()),
    };
    let release = Release {
        version,
        pools: pools.iter().map(pool).collect(),
        ..Release::default()
    };
    let document = Vec::new();
    CommandBody::Publish(Box::new(Published { release, document }))
}

/// Targets may announce themselves before the release that names their pool, the
/// first one or a later one.
#[parameterized(
    before_any_release = { None },
    before_the_release_that_names_it = { Some("another") },
)]
fn a_target_of_a_pool_that_is_named_later_counts_then(named_before: Option<&str>) {
    let mut machine = StateMachine::default();
    let mut apply = |body| machine.apply(Command { at_ms: 1, body });
    if let Some(pool) = named_before {
        apply(release(1, &[pool]));
    }
    let instance = Instance {
        pool: "new".to_string(),
        ..instances(&cards("a", 1, 0, 0)).remove(0)
    };
    apply(CommandBody::Instances(vec![announced(instance.clone())]));
    apply(release(2, &["another", "new"]));
    let index = InstanceIndex::of(machine.configuration());
    assert_eq!(index.of_pool("new"), [instance]);
}

/// It answered, so it is there: what it answered says neither that it is down nor
/// which stage is. The stream stays where it is and goes on.
#[parameterized(
    unreadable = { "no report" },
    another_type = { r#"{"busy":false,"seq":"2"}"# },
    a_field_is_missing = { r#"{"seq":2}"# },
)]
fn a_report_that_can_t_be_read_says_nothing_of_its_engine(report: &str) {
    let report = report.to_string();
    run(async move {
        let rig = placed().await;
        for engine in &rig.engines {
            engine.report_instead(&report);
            let stage = engine.address;
            engine.set_fault(RunnerFault::StallsAfter { event: 4, stage });
        }
        let reports = || rig.engines.iter().map(FakeRunner::reports).sum::<u32>();
        let before = reports();
        let go_on = async {
            eventually_async("its engine was asked again and again", || async {
                (reports() >= before + 4).then_some(())
            })
            .await;
            for engine in &rig.engines {
                engine.set_fault(RunnerFault::None);
            }
        };
        let (heard, ()) = tokio::join!(rig.ask("r1", "/stream/x", KEY, true), go_on);
        assert_eq!(heard.status, StatusCode::OK);
        assert!(heard.body.is_ok(), "{:?}", heard.body);
        assert_eq!(rig.sends("r1"), 1, "it was not sent elsewhere");
        rig.cluster.close().await.expect("closed");
    });
}

/// Each kind has a line at once, then one a second that tells of the rest.
#[test]
fn refused_announcements_are_logged_in_few_lines() {
    let refusals = Refusals::default();
    let start = Instant::now();
    let (one, other) = (AnnouncementFault::Unreadable, AnnouncementFault::NoId);
    assert_eq!(refusals.note(start, one), Some(0));
    for ms in 1..1_000 {
        assert_eq!(refusals.note(start + Duration::from_millis(ms), one), None);
    }
    assert_eq!(refusals.note(start + LOG_EVERY / 2, other), Some(0));
    assert_eq!(refusals.note(start + LOG_EVERY, one), Some(999));
    assert_eq!(refusals.note(start + 3 * LOG_EVERY, one), Some(0));
}
