//! Incremental updates of releases: with missed, duplicated and reordered deltas a receiver
//! still ends with the release that was published last.

use deckwind_core::state::{
    Command, CommandBody, Configuration, Delta, InstanceChange, KeyHolder, PackedDelta, Pool,
    PublishedRelease, Release, ReleaseDelta, Revision, Route, RouteKind, Split, StateMachine,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A compact description of a release, for generated test cases: `routes[place]` is the
/// timeout of a route, `holders[account]` determines the bytes of the account's key.
#[derive(Clone, Debug, Default)]
struct ReleaseSketch {
    routes: BTreeMap<u8, u64>,
    pools: BTreeMap<u8, u32>,
    holders: Option<BTreeMap<u8, u8>>,
    /// Whether one account is listed twice.
    has_duplicate_account: bool,
}

fn route(place: u8, timeout_ms: u64) -> Route {
    Route {
        name: format!("route-{place}"),
        host: format!("host-{}", place % 3),
        path_prefix: format!("/{place}"),
        kind: RouteKind::Repeatable,
        split: vec![Split {
            pool: "p".to_string(),
            weight: 1.0,
        }],
        timeout_ms: timeout_ms + 1,
        objective_ms: 100,
        pause_ms: None,
        priority: 1,
        attempts: 2,
        open: false,
    }
}

fn pool(name: String, max_connections: u32) -> Pool {
    Pool {
        name,
        max_connections,
        engine: None,
    }
}

fn holder(account: u8, key: u8) -> KeyHolder {
    KeyHolder {
        account: format!("account-{account}").as_str().into(),
        keys: vec![[key; 32]],
        priority: None,
    }
}

impl ReleaseSketch {
    fn release(&self, version: u64) -> Release {
        let pools = self
            .pools
            .iter()
            .map(|(p, c)| pool(format!("pool-{p}"), *c));
        let holders = self.holders.as_ref().map(|holders| {
            // Two accounts never share a key.
            let keys_of_accounts = holders
                .iter()
                .map(|(a, k)| holder(*a, a.wrapping_mul(16) + k % 16));
            let again = self.has_duplicate_account.then(|| holder(0, 15));
            keys_of_accounts.chain(again).collect()
        });
        Release {
            version,
            routes: self.routes.iter().map(|(p, t)| route(*p, *t)).collect(),
            pools: pools.chain([pool("p".to_string(), 1)]).collect(),
            key_holders: holders,
            ..Release::default()
        }
    }
}

fn sketches() -> impl Strategy<Value = Vec<ReleaseSketch>> {
    let routes = prop::collection::btree_map(0u8..12, 0u64..3, 0..8);
    let pools = prop::collection::btree_map(0u8..4, 0u32..3, 0..4);
    let holders = prop::option::weighted(0.8, prop::collection::btree_map(0u8..6, 0u8..3, 0..5));
    let has_duplicate_account = prop::bool::weighted(0.1);
    let fields = (routes, pools, holders, has_duplicate_account);
    let sketch = fields.prop_map(
        |(routes, pools, holders, has_duplicate_account)| ReleaseSketch {
            routes,
            pools,
            holders,
            has_duplicate_account,
        },
    );
    prop::collection::vec(sketch, 1..8)
}

fn publish(machine: &mut StateMachine, release: Release) {
    let published = PublishedRelease {
        release,
        document: Vec::new(),
    };
    machine.apply(Command {
        at_ms: 1,
        body: CommandBody::Publish(Box::new(published)),
    });
}

/// Returns the release with its parts in a canonical order.
fn sorted(release: &Release) -> Release {
    let mut sorted = release.clone();
    sorted
        .routes
        .sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
    sorted.pools.sort_by(|a, b| a.name.cmp(&b.name));
    if let Some(holders) = &mut sorted.key_holders {
        holders.sort_by(|a, b| (&a.account, &a.keys).cmp(&(&b.account, &b.keys)));
    }
    sorted
}

fn packed(machine: &StateMachine, since: Revision) -> Delta {
    let delta = machine.configuration().delta_since(since);
    PackedDelta::of(&delta).unpack().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// A receiver gets deltas for only some of the releases, and some of these arrive late,
    /// twice, or after newer ones.
    #[test]
    fn any_deltas_in_any_order_end_in_the_release_published_last(
        sketches in sketches(),
        received_by_router in prop::collection::vec(any::<bool>(), 8),
        restarted in prop::collection::vec(prop::bool::weighted(0.15), 8),
        late in prop::collection::vec(any::<prop::sample::Index>(), 6),
    ) {
        let mut machine = StateMachine::default();
        machine.set_record_changes(true);
        let mut router = Configuration::default();
        let mut sent = Vec::new();
        for (i, sketch) in sketches.iter().enumerate() {
            if restarted[i] {
                machine = StateMachine::from_snapshot(&machine.to_snapshot()).unwrap();
                machine.set_record_changes(i % 2 == 0);
            }
            publish(&mut machine, sketch.release(i as u64 + 1));
            if received_by_router[i] {
                let delta = packed(&machine, router.revision());
                sent.push(delta.clone());
                router.merge(delta);
            }
            if let (Some(old), false) = (late.get(i), sent.is_empty()) {
                router.merge(old.get(&sent).clone());
            }
        }
        router.merge(packed(&machine, router.revision()));
        let published = machine.configuration().release().unwrap();
        let received = router.release().unwrap();
        prop_assert_eq!(sorted(received), sorted(published));
        prop_assert_eq!(router.revision(), machine.configuration().revision());
    }
}

fn machine_with(routes: u16) -> StateMachine {
    let mut machine = StateMachine::default();
    publish(&mut machine, large(1, routes, 0));
    machine.set_record_changes(true);
    machine
}

/// Returns a release with many routes, the first of which has the given timeout.
fn large(version: u64, routes: u16, timeout_ms: u64) -> Release {
    let mut release = ReleaseSketch::default().release(version);
    for i in 0..routes {
        let mut route = route(0, if i == 0 { timeout_ms } else { 0 });
        route.name = format!("route-{i}");
        route.path_prefix = format!("/path-{i}/of/some/length");
        release.routes.push(route);
    }
    release
}

#[test]
fn a_change_of_one_route_sends_that_route_only() {
    let mut machine = machine_with(1_400);
    let whole = PackedDelta::of(&machine.configuration().delta_since(Revision::ZERO));
    let held = machine.configuration().revision();
    publish(&mut machine, large(2, 1_400, 5));
    let change = PackedDelta::of(&machine.configuration().delta_since(held));
    assert!(change.size() < 200, "{}", change.size());
    assert!(whole.size() < 20_000, "{}", whole.size());
}

/// Only a replica that hands out releases records what changed in them; others don't spend
/// anything on it and can only send whole releases.
#[test]
fn a_replica_that_does_not_hand_out_releases_sends_whole_ones_only() {
    let mut machine = machine_with(3);
    let held = machine.configuration().revision();
    machine.set_record_changes(false);
    publish(&mut machine, large(2, 3, 5));
    let whole = machine.configuration().delta_since(held).release;
    assert!(matches!(whole, Some(ReleaseDelta::Whole(_))));
    machine.set_record_changes(true);
    let held = machine.configuration().revision();
    publish(&mut machine, large(3, 3, 6));
    let change = machine.configuration().delta_since(held).release;
    assert!(matches!(change, Some(ReleaseDelta::Changes(_))));
}

/// Targets announce themselves before the first release, so a router has a revision without
/// having a release. It must get the first release whole.
#[test]
fn a_router_that_was_there_before_the_first_release_gets_it_whole() {
    let mut machine = StateMachine::default();
    machine.apply(Command {
        at_ms: 1,
        body: CommandBody::Instances(vec![InstanceChange::Silent("engine".into())]),
    });
    machine.set_record_changes(true);
    let mut router = Configuration::default();
    router.merge(packed(&machine, Revision::ZERO));
    assert!(router.revision() > Revision::ZERO);
    publish(&mut machine, large(1, 3, 0));
    machine.set_record_changes(true);
    router.merge(packed(&machine, router.revision()));
    assert_eq!(router.release(), machine.configuration().release());
}

#[test]
fn a_change_to_a_release_that_the_router_never_had_is_not_applied() {
    let mut machine = machine_with(3);
    let held = machine.configuration().revision();
    publish(&mut machine, large(2, 3, 5));
    let change = machine.configuration().delta_since(held);
    assert!(matches!(change.release, Some(ReleaseDelta::Changes(_))));
    let mut empty = Configuration::default();
    empty.merge(change);
    assert_eq!(empty.release(), None);
    assert_eq!(empty.revision(), Revision::ZERO);
}

#[test]
fn damaged_bytes_are_an_error() {
    let machine = machine_with(100);
    let delta = PackedDelta::of(&machine.configuration().delta_since(Revision::ZERO));
    let mut bytes = deckwind_wire::encode(&delta);
    let middle = bytes.len() / 2;
    for b in &mut bytes[middle..] {
        *b ^= 0x5a;
    }
    let damaged = deckwind_wire::decode::<PackedDelta>(&bytes);
    let unpacked = damaged.map(|d| d.unpack().is_err());
    assert!(unpacked.unwrap_or(true));
}
