//! Tokens that engines keep at the narrowest layer and at the mean one: at the
//! start, and over 12 s in which a sixth of the engines die and come back empty
//! 4.5 s later. Virtual time, eight seeds; takes seconds.
//!
//! `cargo run --release -p deckwind-testkit --example placement_room`

use deckwind_testkit::placing::{MIXES, Placing, Room};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::collections::BTreeSet;
use std::time::Duration;

/// Until all layers of a start are loaded, 15 loads waiting for each other.
const STARTS_IN: Duration = Duration::from_secs(60);

fn mean(rooms: &[Room], of: impl Fn(&Room) -> f64) -> f64 {
    rooms.iter().map(of).sum::<f64>() / rooms.len() as f64 / 1e3
}

fn main() {
    println!("thousands of tokens: narrowest layer, mean layer, empty engines, orders");
    for (name, mix) in MIXES {
        let mut start = Placing::new(mix);
        start.run_for(STARTS_IN);
        let room = start.room();
        println!(
            "{name}: start {:>5.0} {:>5.0} {:>3} {:>4}",
            room.narrowest / 1e3,
            room.mean / 1e3,
            room.empty,
            start.orders
        );
        let mut all = Vec::new();
        let mut orders = 0;
        for seed in 1..=8 {
            let mut placing = Placing::new(mix);
            placing.run_for(STARTS_IN);
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
        let mut placing = Placing::new(mix);
        placing.run_for(STARTS_IN);
        let rooms =
            placing.replace_in_turn(placing.ready().len() * 3 / 10, Duration::from_millis(500));
        println!(
            "    replaced in turn: {:>5.0} {:>5.0}",
            mean(&rooms, |r| r.narrowest),
            mean(&rooms, |r| r.mean)
        );
    }
}
