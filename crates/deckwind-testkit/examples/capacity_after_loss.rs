//! Measures the token capacity of the layer with the least capacity, without faults and
//! after losses of engines. The bound is the maximum that any layout of the same cards in
//! complete chains could reach. Runs in virtual time and takes seconds.
//!
//! `cargo run --release -p deckwind-testkit --example capacity_after_loss`
//!
//! For each fleet, the capacity without faults and its bound are printed (thousands
//! of tokens). Each row below gives fractions of the capacity without faults, as mean and
//! worst of all draws: at the moment of the loss, 1 s and 6 s after it, and the bound for
//! the engines that are left.

use deckwind_testkit::placement_simulation::{FLEETS, PlacementSimulation};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time until all layers are loaded after a start.
const START_TIME: Duration = Duration::from_secs(60);

/// Times after a loss at which the capacity is measured.
const FIRST_CHECK: Duration = Duration::from_secs(1);
const SECOND_CHECK: Duration = Duration::from_secs(6);

/// Number of random losses of three engines.
const DRAWS: u64 = 60;

/// Capacity after one loss, as fractions of the capacity without faults.
struct RemainingCapacity {
    at_loss: f64,
    at_first_check: f64,
    at_second_check: f64,
    bound: f64,
}

fn lose(baseline: &PlacementSimulation, lost: &BTreeSet<String>) -> RemainingCapacity {
    let capacity = baseline.capacity().narrowest;
    let mut simulation = baseline.clone();
    simulation.crash_engines(lost);
    let fraction = |simulation: &PlacementSimulation| simulation.capacity().narrowest / capacity;
    let at_loss = fraction(&simulation);
    let bound = simulation.max_capacity() / capacity;
    simulation.run_for(FIRST_CHECK);
    let at_first_check = fraction(&simulation);
    simulation.run_for(SECOND_CHECK - FIRST_CHECK);
    RemainingCapacity {
        at_loss,
        at_first_check,
        at_second_check: fraction(&simulation),
        bound,
    }
}

fn print_row(name: &str, results: &[RemainingCapacity]) {
    let mean_and_worst = |value: fn(&RemainingCapacity) -> f64| {
        let values = results.iter().map(value);
        let worst = values.clone().fold(f64::INFINITY, f64::min);
        let mean = values.sum::<f64>() / results.len() as f64;
        format!("{mean:.2} {worst:.2}")
    };
    println!(
        "    {name:<28} at once {}   1 s {}   6 s {}   bound {}",
        mean_and_worst(|a| a.at_loss),
        mean_and_worst(|a| a.at_first_check),
        mean_and_worst(|a| a.at_second_check),
        mean_and_worst(|a| a.bound)
    );
}

/// Returns the groups of engines with the same kind of card in the same data centre.
fn groups(ids: &[String]) -> Vec<BTreeSet<String>> {
    let group = |id: &str| id.rsplit_once('-').map(|(group, _)| group.to_string());
    let names: BTreeSet<Option<String>> = ids.iter().map(|id| group(id)).collect();
    let members = |name: &Option<String>| {
        let members = ids.iter().filter(|id| group(id) == *name);
        members.cloned().collect()
    };
    names.iter().map(members).collect()
}

fn main() {
    for (name, fleet) in FLEETS {
        let mut baseline = PlacementSimulation::new(fleet);
        baseline.run_for(START_TIME);
        println!(
            "{name}: without faults {:.0}, bound {:.0}",
            baseline.capacity().narrowest / 1e3,
            baseline.max_capacity() / 1e3
        );
        let ids = baseline.ready();
        let single = ids.iter().map(|id| BTreeSet::from([id.clone()]));
        let single: Vec<RemainingCapacity> = single.map(|lost| lose(&baseline, &lost)).collect();
        print_row("each single engine", &single);
        let draw = |seed| {
            let mut ids = ids.clone();
            ids.shuffle(&mut StdRng::seed_from_u64(seed));
            ids.into_iter().take(3).collect::<BTreeSet<String>>()
        };
        let three: Vec<RemainingCapacity> = (0..DRAWS)
            .map(|seed| lose(&baseline, &draw(seed)))
            .collect();
        print_row("any three, 60 draws", &three);
        let groups: Vec<RemainingCapacity> =
            groups(&ids).iter().map(|g| lose(&baseline, g)).collect();
        print_row("one kind in one data centre", &groups);
    }
}
