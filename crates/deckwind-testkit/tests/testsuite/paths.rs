//! Paths over engines that hold layers, and the free capacity of these engines.

use crate::support::{announced_instances, engine_cards, model, place_chain};
use deckwind_core::control::EngineStreamLoad;
use deckwind_core::routes::{
    CapacityDemand, ChoiceError, RequestClass, ReturningCallers, TargetChoice, TargetFault,
    TargetRecords, choose_path,
};
use deckwind_core::routing::paths::{
    EngineLookup, PathError, PathRequirements, Stage, StreamLoad, find_paths, replace_stages,
};
use deckwind_core::routing::placement::{EngineCard, overlap};
use deckwind_core::state::{Instance, LayerRange};
use deckwind_core::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use yare::parameterized;

const NEED: PathRequirements = PathRequirements {
    tokens: 1_000,
    max_utilization: 1.0,
    path_seed: 1,
};

/// A view of engines without load that avoids the given ones.
struct AvoidedEngines(Vec<SocketAddr>);

impl EngineLookup for AvoidedEngines {
    fn load_when_refused(&self, _: SocketAddr) -> Option<u64> {
        None
    }

    fn is_avoided(&self, instance: &Instance) -> bool {
        self.0.contains(&instance.address)
    }

    fn load(&self, _: SocketAddr) -> StreamLoad {
        StreamLoad::default()
    }
}

#[test]
fn a_path_runs_each_layer_once_and_stays_inside_a_data_centre() {
    let mut a = engine_cards("a", 1, 5, 8);
    place_chain(&mut a);
    let mut b = engine_cards("b", 3, 3, 5);
    place_chain(&mut b);
    a.extend(b);
    let all = announced_instances(&a);
    let found =
        find_paths(&model(), all.iter(), &AvoidedEngines(Vec::new()), &NEED).expect("two paths");
    assert_eq!(found.len(), 2);
    for path in found {
        let mut next = 0;
        for stage in &path.stages {
            assert_eq!(stage.layers.first, next);
            next = stage.layers.last;
            let engine = all.iter().find(|i| i.address == stage.address);
            let engine = engine.expect("the engine exists");
            assert_eq!(engine.data_centre, path.data_centre);
            assert_eq!(overlap(engine.layers, stage.layers), stage.layers);
        }
        assert_eq!(next, 80);
    }
}

fn overlapping() -> Vec<Instance> {
    let range = LayerRange::new;
    let mut all = engine_cards("a", 0, 4, 0);
    let held = [range(0, 9), range(5, 14), range(9, 18), range(12, 18)];
    all.iter_mut().zip(held).for_each(|(c, r)| c.held = r);
    announced_instances(&all)
}

#[test]
fn a_path_goes_round_an_engine_whose_layers_others_hold() {
    let mut model = model();
    model.layers = 18;
    let all = overlapping();
    let paths_avoiding = |avoided: usize| {
        let view = AvoidedEngines(vec![all[avoided].address]);
        find_paths(&model, all.iter(), &view, &NEED)
    };
    let found = paths_avoiding(2).expect("a path");
    let addresses: Vec<_> = found[0].stages.iter().map(|s| s.address).collect();
    assert_eq!(addresses, [all[0].address, all[1].address, all[3].address]);
    let none = paths_avoiding(0);
    assert_eq!(
        none,
        Err(PathError::Broken),
        "nobody else holds the first layers"
    );
}

/// Builds stages from the index of an engine, the first layer and the end of the layers.
fn stages(all: &[Instance], of: &[(usize, u32, u32)]) -> Vec<Stage> {
    let stage = |(i, first, last): &(usize, u32, u32)| Stage {
        address: all[*i].address,
        layers: LayerRange::new(*first, *last),
    };
    of.iter().map(stage).collect()
}

#[parameterized(
    the_last_by_one = { &[(0, 0, 9), (2, 9, 18)], 2, Some(&[(0, 0, 9), (1, 9, 14), (3, 14, 18)]) },
    the_middle_runs_no_more_than_it_did = { &[(0, 0, 9), (2, 9, 12), (3, 12, 18)], 2, Some(&[(0, 0, 9), (1, 9, 12), (3, 12, 18)]) },
    never_the_first = { &[(0, 0, 9), (2, 9, 18)], 0, None },
    not_twice_through_one = { &[(0, 0, 9), (1, 9, 14), (2, 14, 16), (3, 16, 18)], 2, None },
)]
fn others_take_the_place_of_a_stage_and_the_rest_stays(
    path: &[(usize, u32, u32)],
    replaced: usize,
    expected: Option<&[(usize, u32, u32)]>,
) {
    let mut model = model();
    model.layers = 18;
    let all = overlapping();
    let path = stages(&all, path);
    let avoided = all[replaced].address;
    let view = AvoidedEngines(vec![avoided]);
    let found = replace_stages(&model, all.iter(), &view, &NEED, &path, &|a| a == avoided);
    assert_eq!(found.map(|p| p.stages), expected.map(|e| stages(&all, e)));
}

/// A view of engines without load that suspects the given ones.
struct SuspectedEngines(Vec<SocketAddr>);

impl EngineLookup for SuspectedEngines {
    fn load_when_refused(&self, _: SocketAddr) -> Option<u64> {
        None
    }

    fn is_avoided(&self, _: &Instance) -> bool {
        false
    }

    fn load(&self, _: SocketAddr) -> StreamLoad {
        StreamLoad::default()
    }

    fn is_suspected(&self, address: SocketAddr) -> bool {
        self.0.contains(&address)
    }
}

#[parameterized(
    one_that_others_replace = { 2, false },
    one_without_which_there_is_no_chain = { 0, true },
)]
fn suspects_are_avoided_where_a_chain_is_left(suspect: usize, used: bool) {
    let mut model = model();
    model.layers = 18;
    let all = overlapping();
    let suspect = all[suspect].address;
    let view = SuspectedEngines(vec![suspect]);
    for path_seed in 0..20 {
        let need = PathRequirements { path_seed, ..NEED };
        let found = find_paths(&model, all.iter(), &view, &need).expect("a path");
        let is_used = found[0].stages.iter().any(|s| s.address == suspect);
        assert_eq!(is_used, used);
    }
}

#[test]
fn a_path_ends_with_the_model_s_last_layer() {
    let mut model = model();
    model.layers = 16;
    let all = overlapping();
    let found = find_paths(&model, all.iter(), &AvoidedEngines(Vec::new()), &NEED).expect("a path");
    for path in found {
        let last = path.stages.last().expect("a stage");
        assert_eq!(last.layers.last, 16);
    }
}

fn choose(
    records: &TargetRecords,
    all: &[Instance],
    demand: CapacityDemand,
) -> Result<TargetChoice, ChoiceError> {
    let own = all[0].data_centre.clone();
    let now = Instant::from_millis(1);
    choose_path(&model(), all, records, &own, demand, &HashSet::new(), now)
}

fn demand(tokens: u64, begun: bool, draw: u64) -> CapacityDemand {
    let claim = match begun {
        true => RequestClass::Begun,
        false => RequestClass::New,
    };
    CapacityDemand {
        tokens,
        claim,
        draw,
    }
}

fn several_chains(count: usize) -> Vec<EngineCard> {
    let mut all = Vec::new();
    for chain in 0..count {
        let mut cards = engine_cards("a", 0, 4, 8);
        place_chain(&mut cards);
        for card in &mut cards {
            card.id = format!("{}-{chain}", card.id);
        }
        all.extend(cards);
    }
    all
}

#[parameterized(
    one_chain = { 1 },
    three_chains = { 3 },
)]
fn requests_fill_all_engines_evenly_and_none_beyond_its_memory(chains: usize) {
    let all = announced_instances(&several_chains(chains));
    let mut records = TargetRecords::default();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut placed = 0;
    let refused = loop {
        let demand = demand(900, false, rng.random());
        match choose(&records, &all, demand) {
            Ok(choice) => {
                let path = choice.path.expect("a path");
                assert!(path.bottleneck.used <= 1.0);
                records.add_load(&path.stages, demand.tokens);
                placed += 1;
            }
            Err(none) => break none,
        }
    };
    assert!(matches!(refused, ChoiceError::Full(_)), "{refused:?}");
    let expected = chains as u32 * 100_000 / 900;
    assert!(
        placed * 100 >= expected * 75,
        "{placed} of {expected}: some engine filled up before the others"
    );
    assert!(
        choose(&records, &all, demand(900, true, 1)).is_ok(),
        "a request that has begun may go a little beyond the limit"
    );
}

#[test]
fn what_other_routers_hold_counts_as_ones_own() {
    let all = announced_instances(&several_chains(2));
    let mut records = TargetRecords::default();
    let first = choose(&records, &all, demand(900, false, 1)).expect("a path");
    let path = first.path.expect("a path");
    let load = |stage: &deckwind_core::routing::paths::Stage| EngineStreamLoad {
        address: stage.address,
        layer_tokens: 99_500 * u64::from(stage.layers.len()),
        begun: 100,
    };
    let loads: Vec<EngineStreamLoad> = path.stages.iter().map(load).collect();
    records.set_others_load(&loads);
    for draw in 0..20 {
        let next = choose(&records, &all, demand(900, false, draw)).expect("the other chain");
        let next = next.path.expect("a path");
        let is_on_path = |a: &SocketAddr| path.stages.iter().any(|s| s.address == *a);
        assert!(!next.stages.iter().any(|s| is_on_path(&s.address)));
    }
    records.set_others_load(&[]);
    assert_eq!(records.load(path.stages[0].address), StreamLoad::default());
}

#[test]
fn layers_that_an_engine_gives_up_take_its_memory_until_it_has() {
    let mut all = announced_instances(&several_chains(1));
    let large = demand(80_000, false, 1);
    assert!(choose(&TargetRecords::default(), &all, large).is_ok());
    let mut records = TargetRecords::default();
    let path = choose(&records, &all, demand(1_000, false, 1)).expect("a path");
    records.add_load(&path.path.expect("a path").stages, 1_000);
    assert!(choose(&records, &all, large).is_ok());
    for engine in &mut all {
        engine.in_memory = engine.layers.len() + 1;
    }
    let small_engines = all
        .iter()
        .filter(|i| i.accelerator.as_deref() == Some("small"));
    assert!(small_engines.count() > 0);
    assert!(
        choose(&records, &all, large).is_err(),
        "a small engine keeps 54,000 tokens beside seven layers"
    );
}

#[test]
fn memory_that_streams_give_back_can_be_given_again() {
    let all = announced_instances(&several_chains(1));
    let mut records = TargetRecords::default();
    let path = choose(&records, &all, demand(60_000, false, 1)).expect("a path");
    let path = path.path.expect("a path");
    records.add_load(&path.stages, 60_000);
    assert!(choose(&records, &all, demand(60_000, false, 2)).is_err());
    records.remove_load(&path.stages, 60_000);
    assert!(choose(&records, &all, demand(60_000, false, 2)).is_ok());
    assert!(records.own_engine_load().is_empty());
}

#[test]
fn an_engine_without_room_is_avoided_for_a_moment_and_not_reported() {
    let mut records = TargetRecords::default();
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let at = Instant::from_millis;
    for _ in 0..10 {
        records.record_refusal(at(1_000), address);
    }
    assert!(records.is_in_backoff(at(1_200), address));
    assert!(
        !records.is_in_backoff(at(1_400), address),
        "however often it refused"
    );
}

/// Routers that have all received the same load report choose one path each.
#[test]
fn routers_with_the_same_old_report_do_not_rush_to_one_chain() {
    let all = announced_instances(&several_chains(4));
    let mut records = TargetRecords::default();
    let is_unloaded = |i: &&Instance| i.layers.first == 0 && i.id.ends_with("-0");
    let loaded = all.iter().filter(|i| !is_unloaded(i));
    let half_load = |i: &Instance| EngineStreamLoad {
        address: i.address,
        layer_tokens: 40_000 * u64::from(i.layers.len()),
        begun: 40,
    };
    let loads: Vec<EngineStreamLoad> = loaded.map(half_load).collect();
    records.set_others_load(&loads);
    let mut begun = std::collections::BTreeMap::new();
    for draw in 0..200 {
        let path = choose(&records, &all, demand(900, false, draw)).expect("free capacity");
        *begun.entry(path.address).or_insert(0) += 1;
    }
    let most = begun.values().max().copied().unwrap_or_default();
    assert!(
        most <= 120,
        "{most} of 200 began at the engine with the least load"
    );
    assert_eq!(begun.len(), 4, "each chain is used");
}

#[test]
fn routers_with_the_same_old_report_do_not_rush_to_one_data_centre() {
    let mut all = Vec::new();
    for dc in ["a", "b", "c"] {
        let mut cards = engine_cards(dc, 0, 4, 8);
        place_chain(&mut cards);
        all.extend(cards);
    }
    let all = announced_instances(&all);
    let mut records = TargetRecords::default();
    let tokens = |i: &Instance| match i.data_centre.as_str() {
        "a" => 85_000,
        "b" => 60_000,
        _ => 50_000,
    };
    let load = |i: &Instance| EngineStreamLoad {
        address: i.address,
        layer_tokens: tokens(i) * u64::from(i.layers.len()),
        begun: 50,
    };
    let loads: Vec<EngineStreamLoad> = all.iter().map(load).collect();
    records.set_others_load(&loads);
    let mut begun = std::collections::BTreeMap::new();
    for draw in 0..300 {
        let path = choose(&records, &all, demand(900, false, draw)).expect("free capacity");
        let path = path.path.expect("a path");
        *begun.entry(path.data_centre.to_string()).or_insert(0) += 1;
    }
    assert!(begun["b"] > 60 && begun["c"] > 100, "{begun:?}");
    assert!(begun["c"] < 220, "{begun:?}");
    assert!(begun["a"] < 60, "little is left there: {begun:?}");
}

#[parameterized(
    fails_two_of_five = { &[false, true, true, false, true], 2_000 },
    fails_one_of_five = { &[false, true, true, true, true], 1_000 },
)]
fn a_target_that_fails_often_is_avoided_for_longer(answers: &[bool], max_backoff_ms: u64) {
    let mut records = TargetRecords::default();
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut longest = std::time::Duration::ZERO;
    for (i, is_good) in answers.iter().cycle().take(60).enumerate() {
        // Each request is sent well after the previous one.
        let now = Instant::from_millis(10_000 * (i as u64 + 1));
        match is_good {
            true => records.record_success(address),
            false => {
                longest = longest.max(records.record_failure(now, address, TargetFault::Answer))
            }
        }
    }
    let is_long = max_backoff_ms >= 2_000;
    assert_eq!(longest.as_millis() as u64 >= 2_000, is_long, "{longest:?}");
    for _ in 0..8 {
        records.record_success(address);
    }
    let now = Instant::from_millis(10_000_000);
    assert_eq!(
        records
            .record_failure(now, address, TargetFault::Answer)
            .as_millis(),
        500,
        "the backoff is short again"
    );
}

/// One data centre is full, and all paths of the other need one engine. If that engine has
/// broken an answer off, it is used rather than refusing the request; if it is down, it is
/// not.
#[parameterized(
    answers_badly = { TargetFault::Answer, true },
    down = { TargetFault::Down, false },
)]
fn an_engine_that_answers_badly_is_used_before_a_request_is_refused(
    fault: TargetFault,
    used: bool,
) {
    let mut all = Vec::new();
    for dc in ["a", "b"] {
        let mut cards = engine_cards(dc, 0, 4, 8);
        place_chain(&mut cards);
        all.extend(cards);
    }
    let all = announced_instances(&all);
    let mut records = TargetRecords::default();
    let is_full = |i: &&Instance| i.data_centre.as_str() == "b";
    let loads = all.iter().filter(is_full).map(|i| EngineStreamLoad {
        address: i.address,
        layer_tokens: 100_000 * u64::from(i.layers.len()),
        begun: 100,
    });
    records.set_others_load(&loads.collect::<Vec<EngineStreamLoad>>());
    let first = all.iter().find(|i| i.layers.first == 0).expect("an engine");
    records.record_failure(Instant::from_millis(1_000), first.address, fault);
    let chosen = choose(&records, &all, demand(900, false, 1));
    assert_eq!(chosen.is_ok(), used, "{chosen:?}");
    assert_eq!(
        records.is_unconfirmed(Instant::from_millis(1_000), first.address),
        !used,
        "streams leave only an engine that is down"
    );
}

/// An engine that is found to be down while it is avoided for another reason counts as
/// down for the whole backoff, not only for the rest of the earlier one.
#[test]
fn an_engine_that_is_avoided_and_then_down_is_down_for_the_whole_time() {
    let mut records = TargetRecords::default();
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    records.record_refusal(Instant::from_millis(1_000), address);
    let wait = records.record_failure(Instant::from_millis(1_280), address, TargetFault::Down);
    assert_eq!(wait.as_millis(), 500);
    assert!(records.is_down(Instant::from_millis(1_700), address));
}

/// A caller that was refused and retries names a shorter wait time than at first.
#[parameterized(
    first = { 20_000, false },
    soon_back = { 19_700, false },
    late = { 18_900, true },
)]
fn callers_that_come_back_late_are_told_apart(patience_ms: u64, late: bool) {
    let ms = Duration::from_millis;
    let mut callers = ReturningCallers::default();
    assert!(!callers.is_late("r", ms(20_000), ms(500)), "the first one");
    assert_eq!(callers.is_late("r", ms(patience_ms), ms(500)), late);
    assert!(
        !callers.is_late("s", ms(patience_ms), ms(500)),
        "another route"
    );
    callers.retain(|_| false);
    assert!(!callers.is_late("r", ms(patience_ms), ms(500)), "forgotten");
}

/// When engines are nearly full, the remaining capacity is kept for callers that can still
/// be answered in time.
#[parameterized(
    new = { RequestClass::New, true },
    late = { RequestClass::Late, false },
    begun = { RequestClass::Begun, true },
)]
fn late_callers_leave_the_last_room_to_others(claim: RequestClass, has_capacity: bool) {
    let mut cards = engine_cards("a", 0, 4, 8);
    place_chain(&mut cards);
    let all = announced_instances(&cards);
    let mut records = TargetRecords::default();
    let loads = all.iter().map(|i| EngineStreamLoad {
        address: i.address,
        layer_tokens: 94_500 * u64::from(i.layers.len()),
        begun: 80,
    });
    records.set_others_load(&loads.collect::<Vec<EngineStreamLoad>>());
    let demand = CapacityDemand {
        claim,
        ..demand(900, false, 1)
    };
    assert_eq!(choose(&records, &all, demand).is_ok(), has_capacity);
}
