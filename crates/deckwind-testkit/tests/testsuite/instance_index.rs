//! Lookups of instances by address and by revision return the same as a scan over all
//! instances.

use deckwind_core::state::{
    Command, CommandBody, Instance, InstanceChange, Instances, Revision, StateMachine,
};
use deckwind_testkit::fan_out::engine;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use yare::parameterized;

fn ids<'a>(instances: impl Iterator<Item = &'a Instance>) -> BTreeSet<String> {
    instances.map(|i| i.id.clone()).collect()
}

fn assert_lookups_match_scan(instances: &Instances) {
    let addresses: BTreeSet<_> = instances.iter().map(|i| i.address).collect();
    for address in addresses {
        let expected = ids(instances.iter().filter(|i| i.address == address));
        assert_eq!(ids(instances.at(address)), expected);
    }
    let all = instances.since(Revision::ZERO);
    let last = all.iter().map(|(_, v)| v.revision).max();
    assert_eq!(instances.last_written(), last.unwrap_or(Revision::ZERO));
    for since in [0, 5, 20, 1_000].map(Revision) {
        let later = all.iter().filter(|(_, v)| v.revision > since);
        let later: BTreeSet<&String> = later.map(|(id, _)| id).collect();
        let found = instances.since(since);
        assert_eq!(
            found.iter().map(|(id, _)| id).collect::<BTreeSet<_>>(),
            later
        );
    }
}

/// Applies random changes: targets join, take over addresses of others, change, fall silent
/// and leave. Now and then the state is restored from a snapshot.
#[parameterized(a = { 1 }, b = { 2 }, c = { 3 }, d = { 4 })]
fn indexed_lookups_match_a_full_scan(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut machine = StateMachine::default();
    for round in 0..200u64 {
        let number = rng.random_range(0..30u16);
        let mut instance = engine(number, rng.random_range(0..5), round);
        instance.address.set_port(rng.random_range(1..20));
        let life = instance.incarnation();
        let change = match rng.random_range(0..6) {
            0 => InstanceChange::Left(life),
            1 => InstanceChange::Silent(life),
            2 => InstanceChange::Holds {
                life,
                layers: instance.layers,
                in_memory: 1,
            },
            _ => InstanceChange::Announced {
                instance,
                keep_layers: false,
                over: Vec::new(),
            },
        };
        let body = CommandBody::Instances(vec![change]);
        machine.apply(Command { at_ms: 0, body });
        assert_lookups_match_scan(machine.configuration().instances());
        if round % 50 == 49 {
            machine = StateMachine::from_snapshot(&machine.to_snapshot())
                .expect("the snapshot is readable");
            assert_lookups_match_scan(machine.configuration().instances());
        }
    }
}
