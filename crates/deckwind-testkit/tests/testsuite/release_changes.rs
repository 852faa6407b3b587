//! Releases by difference: whatever is missed, doubled or overtaken, a receiver
//! ends with the release that was published.

use deckwind_core::state::{
    Command, CommandBody, Configuration, Delta, InstanceChange, KeyHolder, PackedDelta, Pool,
    Published, Release, ReleaseDelta, Revision, Route, RouteKind, Split, StateMachine,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A release in which numbers stand for contents: `routes[place]` is a route's
/// time-out, `holders[account]` the first byte of its key.
#[derive(Clone, Debug, Default)]
struct Sketch {
    routes: BTreeMap<u8, u64>,
    pools: BTreeMap<u8, u32>,
    holders: Option<BTreeMap<u8, u8>>,
    /// Whether one account is listed twice.
    twice: bool,
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

impl Sketch {
    fn release(&self, version: u64) -> Release {
        let pools = self
            .pools
            .iter()
            .map(|(p, c)| pool(format!("pool-{p}"), *c));
        let holders = self.holders.as_ref().map(|holders| {
            // One key is never shared by two accounts.
            let own = holders
                .iter()
                .map(|(a, k)| holder(*a, a.wrapping_mul(16) + k % 16));
            let again = self.twice.then(|| holder(0, 15));
            own.chain(again).collect()
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

fn sketches() -> impl Strategy<Value = Vec<Sketch>> {
    let routes = prop::collection::btree_map(0u8..12, 0u64..3, 0..8);
    let pools = prop::collection::btree_map(0u8..4, 0u32..3, 0..4);
    let holders = prop::option::weighted(0.8, prop::collection::btree_map(0u8..6, 0u8..3, 0..5));
    let twice = prop::bool::weighted(0.1);
    let one = (routes, pools, holders, twice);
    let one = one.prop_map(|(routes, pools, holders, twice)| Sketch {
        routes,
        pools,
        holders,
        twice,
    });
    prop::collection::vec(one, 1..8)
}

fn publish(machine: &mut StateMachine, release: Release) {
    let published = Published {
        release,
        document: Vec::new(),
    };
    machine.apply(Command {
        at_ms: 1,
        body: CommandBody::Publish(Box::new(published)),
    });
}

/// The same release, whatever the order of its parts.
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

    /// A receiver hears of some of the releases only; what it hears comes late,
    /// doubled, or after something newer.
    #[test]
    fn any_deltas_in_any_order_end_in_the_release_published_last(
        sketches in sketches(),
        heard in prop::collection::vec(any::<bool>(), 8),
        restarted in prop::collection::vec(prop::bool::weighted(0.15), 8),
        late in prop::collection::vec(any::<prop::sample::Index>(), 6),
    ) {
        let mut machine = StateMachine::default();
        machine.hand_out(true);
        let mut router = Configuration::default();
        let mut sent = Vec::new();
        for (i, sketch) in sketches.iter().enumerate() {
            if restarted[i] {
                machine = StateMachine::from_snapshot(&machine.to_snapshot()).unwrap();
                machine.hand_out(i % 2 == 0);
            }
            publish(&mut machine, sketch.release(i as u64 + 1));
            if heard[i] {
                let delta = packed(&machine, router.revision());
                sent.push(delta.clone());
                router.merge(delta);
            }
            if let (Some(old), false) = (late.get(i), sent.is_empty()) {
                router.merge(old.get(&sent).clone());
            }
        }
        router.merge(packed(&machine, router.revision()));
        let want = machine.configuration().release().unwrap();
        let have = router.release().unwrap();
        prop_assert_eq!(sorted(have), sorted(want));
        prop_assert_eq!(router.revision(), machine.configuration().revision());
    }
}

fn machine_with(routes: u16) -> StateMachine {
    let mut machine = StateMachine::default();
    publish(&mut machine, large(1, routes, 0));
    machine.hand_out(true);
    machine
}

/// A release with many routes, one of which has another time-out in every
/// version.
fn large(version: u64, routes: u16, timeout_ms: u64) -> Release {
    let mut release = Sketch::default().release(version);
    for i in 0..routes {
        let mut one = route(0, if i == 0 { timeout_ms } else { 0 });
        one.name = format!("route-{i}");
        one.path_prefix = format!("/path-{i}/of/some/length");
        release.routes.push(one);
    }
    release
}

#[test]
fn one_changed_route_of_many_goes_alone() {
    let mut machine = machine_with(1_400);
    let whole = PackedDelta::of(&machine.configuration().delta_since(Revision::ZERO));
    let held = machine.configuration().revision();
    publish(&mut machine, large(2, 1_400, 5));
    let change = PackedDelta::of(&machine.configuration().delta_since(held));
    assert!(change.size() < 200, "{}", change.size());
    assert!(whole.size() < 20_000, "{}", whole.size());
}

/// What changed is known only where it is handed out; elsewhere nothing is spent
/// on it.
#[test]
fn a_replica_that_hands_nothing_out_knows_the_whole_only() {
    let mut machine = machine_with(3);
    let held = machine.configuration().revision();
    machine.hand_out(false);
    publish(&mut machine, large(2, 3, 5));
    let whole = machine.configuration().delta_since(held).release;
    assert!(matches!(whole, Some(ReleaseDelta::Whole(_))));
    machine.hand_out(true);
    let held = machine.configuration().revision();
    publish(&mut machine, large(3, 3, 6));
    let change = machine.configuration().delta_since(held).release;
    assert!(matches!(change, Some(ReleaseDelta::Changes(_))));
}

/// Targets announce themselves before anything is published.
#[test]
fn who_was_there_before_the_first_release_gets_all_of_it() {
    let mut machine = StateMachine::default();
    machine.apply(Command {
        at_ms: 1,
        body: CommandBody::Instances(vec![InstanceChange::Silent("engine".into())]),
    });
    machine.hand_out(true);
    let mut router = Configuration::default();
    router.merge(packed(&machine, Revision::ZERO));
    assert!(router.revision() > Revision::ZERO);
    publish(&mut machine, large(1, 3, 0));
    machine.hand_out(true);
    router.merge(packed(&machine, router.revision()));
    assert_eq!(router.release(), machine.configuration().release());
}

#[test]
fn a_change_that_builds_on_a_release_never_held_is_not_taken() {
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
