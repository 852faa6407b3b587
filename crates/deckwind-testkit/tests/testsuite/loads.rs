//! Which engines load, and what a load may wait for: a fleet of two very large,
//! eight large and 88 slow engines in three data centres. Each of the three holds
//! three chains; requests pass through layers for ten seconds after nobody new is
//! sent to them.

use deckwind_testkit::placing::{KINDS, Placing, model_over};
use std::collections::BTreeSet;
use std::time::Duration;
use yare::parameterized;

const COUNTS: [[usize; 5]; 3] = [[0, 4, 0, 11, 18], [1, 2, 0, 13, 17], [1, 2, 0, 20, 9]];

/// What nine whole chains keep.
const WHOLE: f64 = 900_000.0;

fn fleet() -> Placing {
    let kinds = [
        ("fast", 72_000.0, 1.4),
        KINDS[1],
        KINDS[2],
        KINDS[3],
        KINDS[4],
    ];
    let mut model = model_over(&kinds);
    model.token_bytes = 393_000.0;
    model.loads_at_once = 16;
    let mut placing = Placing::over(model, &COUNTS);
    placing.run_for(Duration::from_secs(60));
    placing.requests_last = Duration::from_secs(10);
    assert!(placing.room().narrowest >= WHOLE);
    placing
}

/// So many engines of one data centre, a few apart, from the `skip`th on.
fn some_of(placing: &Placing, dc: usize, skip: usize, count: usize) -> BTreeSet<String> {
    let ids = placing.ready().into_iter();
    let there = ids.filter(|id| id.starts_with(&format!("{dc}-")));
    there.skip(skip).step_by(7).take(count).collect()
}

/// Looks, 100 ms apart, at which the narrowest layers keep less than all chains do.
fn looks_short(placing: &mut Placing, time: Duration) -> usize {
    let rooms = placing.run_for(time);
    rooms.iter().filter(|r| r.narrowest < WHOLE * 0.9).count()
}

/// Engines that give layers up for a chain wait for the requests that pass through
/// them; those that come back meanwhile must not wait for that.
#[parameterized(
    first = { 0, 1 },
    second = { 1, 3 },
    third = { 2, 5 },
)]
fn engines_that_come_back_mend_their_chain_at_once(dc: usize, skip: usize) {
    let mut placing = fleet();
    let lost = some_of(&placing, dc, skip, 4);
    placing.lose(&lost);
    placing.run_for(Duration::from_millis(3_300));
    placing.replace(&lost);
    let short = looks_short(&mut placing, Duration::from_secs(15));
    assert!(short <= 40, "short for {short} looks");
}

/// An engine that comes while others load is not kept waiting for them.
#[test]
fn an_engine_that_comes_while_others_load_is_used_beside_them() {
    let mut placing = fleet();
    let lost = some_of(&placing, 1, 0, 4);
    placing.lose(&lost);
    let mut back = lost.iter().cloned();
    for _ in 0..4 {
        let one = BTreeSet::from([back.next().expect("four")]);
        placing.replace(&one);
        placing.run_for(Duration::from_millis(900));
    }
    let short = looks_short(&mut placing, Duration::from_secs(15));
    assert!(short <= 30, "short for {short} looks");
}

/// What a data centre has beyond its whole chains stands by empty: any range is
/// loaded there in about a second, without waiting for requests.
#[test]
fn a_single_loss_is_made_up_for_by_a_spare_engine() {
    let ids = fleet().ready();
    let lost = ids.iter().step_by(9);
    let shorts = lost.clone().map(|id| {
        let mut placing = fleet();
        placing.lose(&BTreeSet::from([id.clone()]));
        looks_short(&mut placing, Duration::from_secs(6))
    });
    let shorts: Vec<usize> = shorts.collect();
    let mean = shorts.iter().sum::<usize>() as f64 / shorts.len() as f64;
    assert!(mean <= 20.0, "short for {shorts:?} looks");
    let quick = shorts.iter().filter(|s| **s <= 20).count();
    assert!(quick * 10 >= shorts.len() * 8, "{shorts:?}");
}

#[test]
fn each_data_centre_of_the_fleet_keeps_spare_engines() {
    let placing = fleet();
    for dc in 0..3 {
        let instances = placing.instances().iter();
        let there = instances.filter(|i| i.data_centre == format!("dc-{dc}").as_str().into());
        let spare = there.filter(|i| i.layers.is_empty()).count();
        assert!(spare >= 2, "{spare} in {dc}");
    }
    let room = placing.room();
    assert!(room.mean <= WHOLE * 1.02, "no layer is held without need");
}

/// An engine that starts again under its id has lost what it held: that is known at
/// once, and not waited out as if engines were only coming.
#[test]
fn engines_that_start_again_under_their_ids_load_at_once() {
    let mut placing = fleet();
    let lost = some_of(&placing, 1, 0, 4);
    placing.restart(&lost);
    let before = placing.orders;
    placing.run_for(Duration::from_millis(400));
    assert!(placing.orders > before, "nothing ordered within 400 ms");
}
