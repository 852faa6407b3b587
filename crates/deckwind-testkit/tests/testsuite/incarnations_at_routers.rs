//! Restarts of a target under the same id, as a router handles them: it discards the
//! health record of the address and treats requests in flight there as broken.

use crate::rig::{API_KEY, Rig};
use crate::run_async;
use crate::support::{announced_change, announced_instances, engine_cards};
use deckwind_core::routes::{InstanceIndex, TargetFault, TargetRecords};
use deckwind_core::state::{
    Command, CommandBody, Instance, InstanceChange, InstanceState, StateMachine,
};
use deckwind_core::time::Instant;
use deckwind_fakes::{FakeTargetFault, FakeTargetServer, SeenRequest, request_id};
use deckwind_testkit::eventually_async;
use http::StatusCode;
use std::time::Duration;
use yare::parameterized;

/// The id stays the same, so a retry would reach the new incarnation, and whether the old
/// one ran the request is unknown. A request that must run at most once is not retried.
#[parameterized(
    at_most_once = { "/once/x", 502, 1 },
    repeatable = { "/safe/x", 200, 2 },
)]
fn a_request_whose_target_starts_again_is_judged_as_broken(path: &str, status: u16, sends: usize) {
    let path = path.to_string();
    run_async(async move {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served(&path, false).await;
        for target in &rig.plain {
            target.set_fault(FakeTargetFault::NeverAnswers);
        }
        let restart = async {
            let first = eventually_async("the request has reached a target", || async {
                rig.plain
                    .iter()
                    .find(|t| t.received_requests().iter().any(is_first))
            })
            .await;
            for target in &rig.plain {
                target.set_fault(FakeTargetFault::None);
            }
            first.restart();
        };
        let (answer, ()) = tokio::join!(rig.ask("r1", &path, API_KEY, false), restart);
        assert_eq!(answer.status.as_u16(), status);
        assert_eq!(rig.send_count("r1"), sends);
        for i in 0..2 {
            rig.announce("plain", "p", i, "ready").await;
        }
        rig.wait_until_in_force().await;
        let next = rig.ask("r2", &path, API_KEY, false).await;
        assert_eq!(
            next.status,
            StatusCode::OK,
            "the new incarnation serves requests"
        );
        rig.cluster.close().await.expect("closed");
    });
}

fn is_first(req: &SeenRequest) -> bool {
    request_id(req) == "r1"
}

/// An engine holds no layers after a restart. The leader must order them again, and the
/// engine counts its orders from zero.
#[test]
fn an_engine_that_starts_again_is_given_its_layers_again() {
    run_async(async {
        let mut rig = Rig::start(0, 4).await;
        let held = |e: &FakeTargetServer| e.layers().1 - e.layers().0;
        eventually_async("the layers are placed", || async {
            rig.engines.iter().all(|e| held(e) > 0).then_some(())
        })
        .await;
        for i in 0..4 {
            rig.announce("engines", "e", i, "ready").await;
        }
        rig.wait_until_served("/stream/x", true).await;
        rig.engines[0].restart();
        assert_eq!(held(&rig.engines[0]), 0);
        rig.announce("engines", "e", 0, "ready").await;
        eventually_async("the layers are placed on the engine again", || async {
            (held(&rig.engines[0]) > 0).then_some(())
        })
        .await;
        assert_eq!(rig.engines[0].orders(), 1);
        rig.wait_until_served("/stream/x", true).await;
        rig.cluster.close().await.expect("closed");
    });
}

fn instance_at(
    address_of: &Instance,
    id: &str,
    born: Option<u64>,
    state: InstanceState,
) -> Instance {
    Instance {
        id: id.to_string(),
        born,
        state,
        ..address_of.clone()
    }
}

fn index(all: &[Instance]) -> InstanceIndex {
    let mut machine = StateMachine::default();
    for instance in all {
        let change = announced_change(Instance {
            state: InstanceState::Ready,
            ..instance.clone()
        });
        let silent = InstanceChange::Silent(instance.incarnation());
        let mut changes = vec![change];
        changes.extend((instance.state == InstanceState::Silent).then_some(silent));
        let body = CommandBody::Instances(changes);
        machine.apply(Command { at_ms: 1, body });
    }
    InstanceIndex::new(machine.configuration())
}

/// Cases in which a router treats an incarnation as ended. Each case gives its start time
/// and state before, the id and start time that stand at its address now, and whether it
/// has ended.
#[parameterized(
    the_same = { Some(1), InstanceState::Ready, Some(("e", Some(1))), false },
    started_again = { Some(1), InstanceState::Ready, Some(("e", Some(2))), true },
    reports_its_start_for_the_first_time = { None, InstanceState::Ready, Some(("e", Some(2))), true },
    another_id_at_its_address = { None, InstanceState::Ready, Some(("f", None)), true },
    left_and_may_serve_for_a_while = { Some(1), InstanceState::Ready, None, false },
    silent_and_gone = { Some(1), InstanceState::Silent, None, true },
    silent_only = { Some(1), InstanceState::Silent, Some(("e", Some(1))), false },
)]
fn an_incarnation_has_ended_once_another_replaces_it(
    born: Option<u64>,
    state: InstanceState,
    now: Option<(&str, Option<u64>)>,
    has_ended: bool,
) {
    let first = announced_instances(&engine_cards("a", 1, 0, 0)).remove(0);
    let before = index(&[instance_at(&first, "e", born, state)]);
    let now: Vec<Instance> = now
        .map(|(id, born)| instance_at(&first, id, born, InstanceState::Ready))
        .into_iter()
        .collect();
    let found = index(&now).ended_incarnations(&before);
    assert_eq!(found.len(), usize::from(has_ended));
    let addresses: Vec<_> = found.iter().map(|o| o.address).collect();
    assert!(addresses.iter().all(|a| *a == first.address));
}

/// Failures of an ended incarnation must not keep requests from the next one. The address
/// counts as unconfirmed for a while, so that stalled streams through it look for another
/// path at once.
#[test]
fn the_health_record_of_an_ended_incarnation_is_discarded() {
    let address = ([127, 0, 0, 1], 9).into();
    let now = Instant::from_millis(1_000);
    let later = now + Duration::from_millis(100);
    let mut records = TargetRecords::default();
    records.record_start(&[address]);
    for i in 0..4 {
        let at = now + Duration::from_secs(i * 10);
        records.record_failure(at, address, TargetFault::Down);
    }
    let now = now + Duration::from_secs(30);
    assert!(records.is_in_backoff(now, address) && records.is_down(now, address));
    assert_eq!(records.down_targets(now), [address]);
    records.reset_target(later + Duration::from_secs(31), address);
    assert!(!records.is_in_backoff(now, address) && !records.is_down(now, address));
    assert!(
        records.down_targets(now).is_empty(),
        "the failure is no longer reported to other routers"
    );
    assert!(records.is_unconfirmed(now, address));
    assert_eq!(
        records.in_flight(address),
        1,
        "requests in flight are still counted"
    );
    let first = records.record_failure(now, address, TargetFault::Down);
    assert_eq!(first, Duration::from_millis(500), "the backoff starts over");
}
