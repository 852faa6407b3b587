//! Measures the token capacity of the layer with the least capacity and the mean over all
//! layers: after the start, over 12 s in which a sixth of the engines crash and restart
//! empty 4.5 s later, and while engines are replaced one after another. Runs in virtual
//! time with eight seeds and takes seconds.
//!
//! `cargo run --release -p deckwind-testkit --example placement_capacity`

use deckwind_testkit::placement_simulation::{FLEETS, PlacementSimulation, TokenCapacity};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time until all layers are loaded after a start, with 15 loads in sequence.
const START_TIME: Duration = Duration::from_secs(60);

/// Returns the mean of a value over all measurements, in thousands.
fn mean(measurements: &[TokenCapacity], value: impl Fn(&TokenCapacity) -> f64) -> f64 {
    measurements.iter().map(value).sum::<f64>() / measurements.len() as f64 / 1e3
}

fn main() {
    println!(
        "thousands of tokens at the layer with the least capacity, mean of all layers, empty engines, orders"
    );
    for (name, fleet) in FLEETS {
        let mut start = PlacementSimulation::new(fleet);
        start.run_for(START_TIME);
        let capacity = start.capacity();
        println!(
            "{name}: start {:>5.0} {:>5.0} {:>3} {:>4}",
            capacity.narrowest / 1e3,
            capacity.mean / 1e3,
            capacity.empty_engines,
            start.orders
        );
        let mut measurements = Vec::new();
        let mut orders = 0;
        for seed in 1..=8 {
            let mut simulation = PlacementSimulation::new(fleet);
            simulation.run_for(START_TIME);
            let orders_before = simulation.orders;
            let mut ids = simulation.ready();
            ids.shuffle(&mut StdRng::seed_from_u64(seed));
            let lost: BTreeSet<String> = ids.iter().take(ids.len() / 6).cloned().collect();
            simulation.crash_engines(&lost);
            measurements.extend(simulation.run_for(Duration::from_millis(4_500)));
            simulation.replace(&lost);
            measurements.extend(simulation.run_for(Duration::from_millis(7_500)));
            orders += simulation.orders - orders_before;
        }
        let worst = measurements
            .iter()
            .map(|r| r.narrowest)
            .fold(f64::INFINITY, f64::min)
            / 1e3;
        println!(
            "    losses: {:>5.0} {:>5.0} {:>5.1} {:>4}, worst {worst:>4.0}",
            mean(&measurements, |r| r.narrowest),
            mean(&measurements, |r| r.mean),
            mean(&measurements, |r| r.empty_engines as f64) * 1e3,
            orders / 8
        );
        let mut simulation = PlacementSimulation::new(fleet);
        simulation.run_for(START_TIME);
        let measurements = simulation.replace_one_by_one(
            simulation.ready().len() * 3 / 10,
            Duration::from_millis(500),
        );
        println!(
            "    replaced one by one: {:>5.0} {:>5.0}",
            mean(&measurements, |r| r.narrowest),
            mean(&measurements, |r| r.mean)
        );
    }
}
