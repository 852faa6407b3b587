//! Invalid announcements sent to a running cluster: each is answered with an error and
//! not applied, and the registered targets keep serving. The parsing of such announcements
//! is covered by the tests of the platform crate.

use crate::rig::{API_KEY, Rig, data_centre_of, post};
use crate::routes::placed;
use crate::run_async;
use crate::support::{announced_change, announced_instances, engine_cards, model};
use deckwind_core::control::AnnouncementFault;
use deckwind_core::routes::InstanceIndex;
use deckwind_core::state::{
    Command, CommandBody, Instance, Pool, PublishedRelease, Release, StateMachine,
};
use deckwind_fakes::{FakeTargetFault, FakeTargetServer};
use deckwind_testkit::eventually_async;
use deckwindd::control::{REFUSAL_LOG_INTERVAL, RefusalLog};
use http::StatusCode;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use yare::parameterized;

/// The target in whose name an invalid announcement is sent.
#[derive(Clone, Copy)]
enum SentAs {
    /// The registered target.
    RegisteredTarget,
    /// Another target at the same address.
    OtherTargetAtAddress,
}

#[parameterized(
    pool_unknown = { SentAs::RegisteredTarget, json!({"backend": "nowhere"}) },
    pool_unknown_at_its_address = { SentAs::OtherTargetAtAddress, json!({"backend": "nowhere"}) },
    pool_unknown_and_draining = { SentAs::RegisteredTarget, json!({"backend": "nowhere", "state": "draining"}) },
    state_unknown = { SentAs::RegisteredTarget, json!({"state": "gone"}) },
    no_number = { SentAs::RegisteredTarget, json!({"seq": null}) },
    number_as_text = { SentAs::OtherTargetAtAddress, json!({"seq": "900"}) },
    start_as_text = { SentAs::RegisteredTarget, json!({"born": "now"}) },
    address_unreadable = { SentAs::RegisteredTarget, json!({"address": "nobody"}) },
    engine_without_layers = { SentAs::RegisteredTarget, json!({"layers": null, "backend": "engines", "kind": null, "stage": null}) },
)]
fn an_invalid_announcement_does_not_affect_a_registered_target(sent_as: SentAs, changed: Value) {
    run_async(async move {
        let mut rig = Rig::start(1, 0).await;
        rig.wait_until_served("/safe/x", false).await;
        let mut body = rig.plain[0].announcement("plain", data_centre_of(0), "ready", 900);
        for (field, value) in changed.as_object().expect("an object") {
            match value.is_null() {
                true => drop(body.as_object_mut().expect("an object").remove(field)),
                false => body[field] = value.clone(),
            }
        }
        let id = match sent_as {
            SentAs::RegisteredTarget => "p-0",
            SentAs::OtherTargetAtAddress => "p-other",
        };
        let path = format!("/v1/instances/{id}/heartbeat");
        let status = post(rig.control(), &path, &body).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
        rig.wait_until_in_force().await;
        let answer = rig.ask("r1", "/safe/x", API_KEY, false).await;
        assert_eq!(answer.status, StatusCode::OK);
        rig.cluster.close().await.expect("closed");
    });
}

#[parameterized(
    no_object = { json!([1]) },
    start_as_text = { json!({"born": "now"}) },
)]
fn an_unreadable_leave_ends_no_target(body: Value) {
    run_async(async move {
        let mut rig = Rig::start(1, 0).await;
        rig.wait_until_served("/safe/x", false).await;
        let status = post(rig.control(), "/v1/instances/p-0/leave", &body).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
        rig.wait_until_in_force().await;
        let answer = rig.ask("r1", "/safe/x", API_KEY, false).await;
        assert_eq!(answer.status, StatusCode::OK);
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
    CommandBody::Publish(Box::new(PublishedRelease { release, document }))
}

/// Targets may announce themselves before a release names their pool, whether that is the
/// first release or a later one.
#[parameterized(
    before_any_release = { None },
    before_the_release_that_names_it = { Some("another") },
)]
fn a_target_of_a_pool_that_is_named_later_is_usable_then(named_before: Option<&str>) {
    let mut machine = StateMachine::default();
    let mut apply = |body| machine.apply(Command { at_ms: 1, body });
    if let Some(pool) = named_before {
        apply(release(1, &[pool]));
    }
    let instance = Instance {
        pool: "new".to_string(),
        ..announced_instances(&engine_cards("a", 1, 0, 0)).remove(0)
    };
    apply(CommandBody::Instances(vec![announced_change(
        instance.clone(),
    )]));
    apply(release(2, &["another", "new"]));
    let index = InstanceIndex::new(machine.configuration());
    assert_eq!(index.of_pool("new"), [instance]);
}

/// An engine that answers a probe with an unreadable report is up, and the report doesn't
/// show which stage is down. The stream must stay on its path and continue.
#[parameterized(
    unreadable = { "no report" },
    another_type = { r#"{"busy":false,"seq":"2"}"# },
    a_field_is_missing = { r#"{"seq":2}"# },
)]
fn an_unreadable_report_leaves_the_stream_on_its_path(report: &str) {
    let report = report.to_string();
    run_async(async move {
        let rig = placed().await;
        for engine in &rig.engines {
            engine.override_report(&report);
            let stage = engine.address;
            engine.set_fault(FakeTargetFault::StallsAfter { event: 4, stage });
        }
        let reports = || {
            rig.engines
                .iter()
                .map(FakeTargetServer::reports)
                .sum::<u32>()
        };
        let before = reports();
        let recover = async {
            eventually_async("the engines have been probed several times", || async {
                (reports() >= before + 4).then_some(())
            })
            .await;
            for engine in &rig.engines {
                engine.set_fault(FakeTargetFault::None);
            }
        };
        let (answer, ()) = tokio::join!(rig.ask("r1", "/stream/x", API_KEY, true), recover);
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.body.is_ok(), "{:?}", answer.body);
        assert_eq!(
            rig.send_count("r1"),
            1,
            "the request was not sent elsewhere"
        );
        rig.cluster.close().await.expect("closed");
    });
}

/// The first refusal of each kind is logged at once, the following ones as a count in one
/// line per second.
#[test]
fn refused_announcements_are_logged_in_few_lines() {
    let refusals = RefusalLog::default();
    let start = Instant::now();
    let (one, other) = (AnnouncementFault::Unreadable, AnnouncementFault::NoId);
    assert_eq!(refusals.record(start, one), Some(0));
    for ms in 1..1_000 {
        assert_eq!(
            refusals.record(start + Duration::from_millis(ms), one),
            None
        );
    }
    assert_eq!(
        refusals.record(start + REFUSAL_LOG_INTERVAL / 2, other),
        Some(0)
    );
    assert_eq!(
        refusals.record(start + REFUSAL_LOG_INTERVAL, one),
        Some(999)
    );
    assert_eq!(
        refusals.record(start + 3 * REFUSAL_LOG_INTERVAL, one),
        Some(0)
    );
}
