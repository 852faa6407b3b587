//! Tokens that engines keep at the narrowest layer and at the mean one: at the
//! start, and over 12 s in which a sixth of the engines die and come back empty
//! 4.5 s later. Virtual time, eight seeds; takes seconds.
//!
//! For the last mix also what is left right after each single loss and after the
//! loss of four engines of one data centre, and how long until most of it is
//! back.
//!
//! `cargo run --release -p deckwind-testkit --example placement_room`

use deckwind_core::state::EngineModel;
use deckwind_testkit::placing::{KINDS, Placing, Room, model, model_over};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::collections::BTreeSet;
use std::time::Duration;

/// Until all layers of a start are loaded, 15 loads waiting for each other.
const STARTS_IN: Duration = Duration::from_secs(60);

/// Engines by kind in three data centres.
type Mix = [[usize; 5]; 3];

const MIXES: [(&str, Mix); 4] = [
    (
        "93 engines, large small slow",
        [[4, 0, 10, 11, 0], [3, 0, 14, 16, 0], [2, 0, 24, 9, 0]],
    ),
    (
        "38 engines, large small slow",
        [[2, 0, 4, 4, 0], [1, 0, 6, 6, 0], [1, 0, 10, 4, 0]],
    ),
    (
        "38 engines, half slow weak",
        [[0, 3, 0, 3, 5], [0, 1, 0, 5, 8], [0, 1, 0, 7, 5]],
    ),
    (
        "99 engines, half slow weak",
        [[0, 4, 0, 9, 14], [0, 2, 0, 13, 22], [0, 1, 0, 22, 12]],
    ),
];

fn mean(rooms: &[Room], of: impl Fn(&Room) -> f64) -> f64 {
    rooms.iter().map(of).sum::<f64>() / rooms.len() as f64 / 1e3
}

/// How long requests pass through layers that are to be given up: as long as the
/// last of some hundred answers takes.
const REQUESTS_LAST: Duration = Duration::from_secs(10);

/// Accelerators of a fleet with few very fast and many slow ones.
const MIXED_KINDS: [(&str, f64, f64); 5] = [
    ("fast", 72_000.0, 1.4),
    KINDS[1],
    KINDS[2],
    KINDS[3],
    KINDS[4],
];

/// The same by data centre: 98 engines.
const MIXED: Mix = [[0, 4, 0, 11, 18], [1, 2, 0, 13, 17], [1, 2, 0, 20, 9]];

fn mixed_model() -> EngineModel {
    EngineModel {
        token_bytes: 393_000.0,
        loads_at_once: 16,
        ..model_over(&MIXED_KINDS)
    }
}

fn main() {
    println!("thousands of tokens: narrowest layer, mean layer, empty engines, orders");
    let only = std::env::args().nth(1).unwrap_or_default();
    for (name, mix) in MIXES.iter().filter(|m| m.0.starts_with(&only)) {
        show(name, &|| started(model(), mix));
    }
    let mixed = || started(mixed_model(), &MIXED);
    show("98 engines, fast half slow weak", &mixed);
    show_losses("each single loss", &mixed, 1);
    show_losses("four of one data centre", &mixed, 4);
}

fn started(model: EngineModel, mix: &Mix) -> Placing {
    let mut placing = Placing::over(model, mix);
    placing.run_for(STARTS_IN);
    placing.requests_last = REQUESTS_LAST;
    placing
}

/// Part of the tokens before a loss with which a fleet counts as mended.
const MENDED: f64 = 0.97;

fn show_losses(name: &str, start: &dyn Fn() -> Placing, count: usize) {
    let calm = start();
    let before = calm.room().narrowest;
    let ids = calm.ready();
    let (mut left, mut slowest, mut waits, mut orders) = (Vec::new(), 0.0_f64, 0.0, 0);
    for (i, id) in ids.iter().enumerate() {
        let mut placing = start();
        let orders_before = placing.orders;
        let near = ids[i..].iter().chain(&ids[..i]);
        let near = near.filter(|o| o.as_bytes()[0] == id.as_bytes()[0]);
        placing.lose(&near.step_by(7).take(count).cloned().collect());
        left.push(placing.room());
        let rooms = placing.run_for(Duration::from_secs(12));
        let short = rooms.iter().filter(|r| r.narrowest < MENDED * before);
        let wait = short.count() as f64 * 0.1;
        slowest = slowest.max(wait);
        waits += wait;
        orders += placing.orders - orders_before;
    }
    let worst = left
        .iter()
        .map(|r| r.narrowest)
        .fold(f64::INFINITY, f64::min);
    let count = ids.len() as f64;
    println!(
        "    {name}: at once {:.0} worst {:.0}, short for {:.2} s at most {slowest:.1} s, orders {:.1}",
        mean(&left, |r| r.narrowest),
        worst / 1e3,
        waits / count,
        orders as f64 / count
    );
}

fn show(name: &str, start: &dyn Fn() -> Placing) {
    let calm = start();
    let room = calm.room();
    println!(
        "{name}: start {:>5.0} {:>5.0} {:>3} {:>4}",
        room.narrowest / 1e3,
        room.mean / 1e3,
        room.empty,
        calm.orders
    );
    let mut all = Vec::new();
    let mut orders = 0;
    for seed in 1..=8 {
        let mut placing = start();
        let before = placing.orders;
        let mut ids = placing.ready();
        ids.shuffle(&mut StdRng::seed_from_u64(seed));
        let lost: BTreeSet<String> = ids.iter().take(ids.len() / 6).cloned().collect();
        placing.lose(&lost);
        all.extend(placing.run_for(Duration::from_millis(4_500)));
        placing.replace(&lost);
        all.extend(placing.run_for(Duration::from_millis(7_500)));
        orders += placing.orders - before;
    }
    let worst = all
        .iter()
        .map(|r| r.narrowest)
        .fold(f64::INFINITY, f64::min)
        / 1e3;
    println!(
        "    losses: {:>5.0} {:>5.0} {:>5.1} {:>4}, worst {worst:>4.0}",
        mean(&all, |r| r.narrowest),
        mean(&all, |r| r.mean),
        mean(&all, |r| r.empty as f64) * 1e3,
        orders / 8
    );
    let mut placing = start();
    let count = placing.ready().len() * 3 / 10;
    let rooms = placing.replace_in_turn(count, Duration::from_millis(500));
    println!(
        "    replaced in turn: {:>5.0} {:>5.0}",
        mean(&rooms, |r| r.narrowest),
        mean(&rooms, |r| r.mean)
    );
}
