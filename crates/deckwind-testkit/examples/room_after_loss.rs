//! Tokens that the narrowest layers keep, calm and after losses, beside the most that any
//! layout of the same cards in whole chains could keep. Virtual time; takes seconds.
//!
//! `cargo run --release -p deckwind-testkit --example room_after_loss`
//!
//! Each row: the tokens kept (thousands), then what part of the calm ones is left at the
//! moment of a loss, 1 s and 6 s after it (mean and worst of all draws), then what part of
//! the calm ones the bound allows for what is left (mean and worst).

use deckwind_testkit::placing::{MIXES, Placing};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::collections::BTreeSet;
use std::time::Duration;

/// Until all layers of a start are loaded.
const STARTS_IN: Duration = Duration::from_secs(60);

/// When the room is looked at after a loss.
const SOON: Duration = Duration::from_secs(1);
const LATER: Duration = Duration::from_secs(6);

/// Losses of three engines that are drawn.
const DRAWS: u64 = 60;

/// Room after one loss, as parts of the calm one.
struct After {
    at_once: f64,
    soon: f64,
    later: f64,
    bound: f64,
}

fn lose(calm: &Placing, lost: &BTreeSet<String>) -> After {
    let before = calm.room().narrowest;
    let mut placing = calm.clone();
    placing.lose(lost);
    let part = |placing: &Placing| placing.room().narrowest / before;
    let at_once = part(&placing);
    let bound = placing.most_room() / before;
    placing.run_for(SOON);
    let soon = part(&placing);
    placing.run_for(LATER - SOON);
    After {
        at_once,
        soon,
        later: part(&placing),
        bound,
    }
}

fn show(name: &str, all: &[After]) {
    let of = |of: fn(&After) -> f64| {
        let values = all.iter().map(of);
        let worst = values.clone().fold(f64::INFINITY, f64::min);
        let mean = values.sum::<f64>() / all.len() as f64;
        format!("{mean:.2} {worst:.2}")
    };
    println!(
        "    {name:<28} at once {}   1 s {}   6 s {}   bound {}",
        of(|a| a.at_once),
        of(|a| a.soon),
        of(|a| a.later),
        of(|a| a.bound)
    );
}

/// Each group of engines of one kind in one data centre.
fn groups(ids: &[String]) -> Vec<BTreeSet<String>> {
    let group = |id: &str| id.rsplit_once('-').map(|(group, _)| group.to_string());
    let names: BTreeSet<Option<String>> = ids.iter().map(|id| group(id)).collect();
    let of = |name: &Option<String>| {
        let mine = ids.iter().filter(|id| group(id) == *name);
        mine.cloned().collect()
    };
    names.iter().map(of).collect()
}

fn main() {
    for (name, mix) in MIXES {
        let mut calm = Placing::new(mix);
        calm.run_for(STARTS_IN);
        println!(
            "{name}: calm {:.0}, bound {:.0}",
            calm.room().narrowest / 1e3,
            calm.most_room() / 1e3
        );
        let ids = calm.ready();
        let single = ids.iter().map(|id| BTreeSet::from([id.clone()]));
        let single: Vec<After> = single.map(|lost| lose(&calm, &lost)).collect();
        show("each single engine", &single);
        let draw = |seed| {
            let mut ids = ids.clone();
            ids.shuffle(&mut StdRng::seed_from_u64(seed));
            ids.into_iter().take(3).collect::<BTreeSet<String>>()
        };
        let three: Vec<After> = (0..DRAWS).map(|seed| lose(&calm, &draw(seed))).collect();
        show("any three, 60 draws", &three);
        let groups: Vec<After> = groups(&ids).iter().map(|g| lose(&calm, g)).collect();
        show("all of a kind in one centre", &groups);
    }
}
