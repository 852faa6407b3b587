//! What a router serves by: a lease never counts without the configuration that came with
//! it, and what was admitted before a lease lapsed is admitted again.

use crate::rig::{API_KEY, Rig, post};
use crate::run_async;
use deckwind_core::membership::{LeaseGrant, LeaseTiming, RouterLeaseState};
use deckwind_core::replication::Term;
use deckwind_core::routes::{ReleaseIndex, ServingChanges, ServingState};
use deckwind_core::state::{
    Configuration, Delta, ItemChanges, KeyHolder, Release, ReleaseChange, ReleaseDelta, Revision,
    Versioned,
};
use deckwind_core::time::Instant;
use deckwind_fakes::{HOST, release_document};
use deckwind_testkit::eventually_async;
use http::StatusCode;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

/// Key that the second release no longer has.
const REVOKED: [u8; 32] = [7; 32];

/// Duration of a lease, ms.
const LEASE_MS: u64 = 2_800;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Returns the release of a revision, with or without the key.
fn release(revision: u64, has_key: bool) -> Arc<ReleaseIndex> {
    let holder = KeyHolder {
        account: "account".into(),
        keys: has_key.then_some(REVOKED).into_iter().collect(),
        priority: None,
    };
    let release = Release {
        version: revision,
        key_holders: Some(vec![holder]),
        ..Release::default()
    };
    let mut cfg = Configuration::default();
    cfg.merge(Delta {
        to: Revision(revision),
        release: Some(ReleaseDelta::Whole(Versioned {
            revision: Revision(revision),
            value: Some(Arc::new(release)),
        })),
        ..Delta::default()
    });
    Arc::new(ReleaseIndex::new(&cfg).expect("there is a release"))
}

fn changes(revision: u64, has_key: bool) -> Option<ServingChanges> {
    Some(ServingChanges {
        release: Some(release(revision, has_key)),
        ..ServingChanges::default()
    })
}

/// Returns the state of a router that got a lease with the first release at 1,000 ms.
fn first_lease() -> ServingState {
    let state = ServingState::default();
    state.renewed(at(1_000), at(1_000 + LEASE_MS), changes(1, true))
}

/// Guards against a request that runs with a revoked key, as the lease of a router that
/// comes back counts before the release that revokes it: whatever a reader finds, a live
/// lease and the old release never stand together after the lapse.
#[test]
fn a_lease_after_a_lapse_counts_only_with_its_release() {
    let before = first_lease();
    let back = at(7_400);
    assert!(!before.is_live(back));
    let after = before.renewed(back, at(7_400 + LEASE_MS), changes(2, false));
    for state in [before, after] {
        let release = state.release().expect("there is a release");
        let is_old = release.revision() == Revision(1);
        assert!(!(is_old && state.is_live(back)), "{:?}", release.revision());
    }
}

/// Guards against a request that is sent by a renewed lease although it was admitted before
/// the lease lapsed: its key may have been revoked meanwhile.
#[parameterized(
    renewed_in_time = { 3_000, true },
    renewed_at_the_last_moment = { 3_799, true },
    lapsed = { 3_800, false },
    lapsed_for_long = { 7_400, false },
)]
fn what_was_admitted_before_a_lapse_does_not_count(renewed_ms: u64, counts: bool) {
    let admitted = at(1_500);
    let renewed = at(renewed_ms);
    let state = first_lease().renewed(renewed, at(renewed_ms + LEASE_MS), None);
    assert!(state.is_live(renewed));
    assert_eq!(state.is_live_since(renewed, admitted), counts);
    assert!(state.is_live_since(renewed, renewed));
}

fn no_changes<K, T>() -> ItemChanges<K, T> {
    ItemChanges {
        written: Vec::new(),
        removed: Vec::new(),
    }
}

/// Guards against a lease that counts although the changes that came with it could not be
/// applied, as they are based on a state that this router does not have.
#[test]
fn a_grant_whose_changes_can_not_be_applied_extends_no_lease() {
    let mut lease = RouterLeaseState::new(LeaseTiming::default());
    let change = ReleaseChange {
        base: Revision(5),
        revision: Revision(6),
        version: 6,
        limits: Default::default(),
        asks_keys: true,
        routes: no_changes(),
        pools: no_changes(),
        key_holders: no_changes(),
    };
    let delta = Delta {
        to: Revision(6),
        release: Some(ReleaseDelta::Changes(change)),
        ..Delta::default()
    };
    let grant = LeaseGrant::new(at(1_000), Term(1));
    assert!(!lease.apply_grant(grant, delta));
    assert!(!lease.is_live(at(1_001)));
    assert!(lease.apply_grant(grant, Delta::default()));
    assert!(lease.is_live(at(1_001)));
}

/// Guards against a request whose body takes long and that runs for the account that its key
/// belonged to when its head came.
#[test]
fn a_request_runs_as_it_was_admitted_last() {
    run_async(async {
        let rig = Rig::start(1, 0).await;
        rig.wait_until_served("/once/x", false).await;
        let router = rig.cluster.layout.routers[0].routes;
        let mut stream = TcpStream::connect(router).await.expect("a connection");
        let head = format!(
            "POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\
             Authorization: Bearer {API_KEY}\r\nX-Deckwind-Request-Id: slow-body\r\n\
             X-Deckwind-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nab"
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        let mut document = release_document(5, &[API_KEY]);
        document["tenants"][0]["name"] = "another".into();
        let published = post(rig.control(), "/v1/config/put", &document).await;
        assert_eq!(published, StatusCode::OK);
        eventually_async("the key belongs to another account", || async {
            rig.ask("probe", "/once/x", API_KEY, false).await;
            let seen = rig.plain[0].received_requests();
            let last = seen.last()?.headers.get("x-deckwind-tenant").cloned();
            (last? == "another").then_some(())
        })
        .await;
        stream.write_all(b"cd").await.expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let seen = rig.plain[0].received_requests();
        let slow = seen.last().expect("a request");
        assert_eq!(slow.headers["x-deckwind-tenant"], "another");
        rig.cluster.close().await.expect("closed");
    });
}
