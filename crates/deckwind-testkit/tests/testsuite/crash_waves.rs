//! Many engines that crash by themselves at about the same time, again and again, in virtual
//! time: no sound request is quarantined, and a part at fault beside them is found as soon as
//! without them. The model is that of `poison_part_storms`.

use crate::poison_part_storms::{Fleet, MAX_ATTRIBUTION_MS, Model, STORM_MS, Trouble};
use yare::parameterized;

/// A large fleet. Its load leaves five streams at each engine.
const FLEET: Fleet = Fleet {
    engines: 218,
    sound_interval_us: 3_700,
    accounts: 40,
    is_skewed: true,
    max_sends: 4,
};

const ROUTERS: usize = 195;

/// Number of waves, the time between two of them, and the number of engines that crash in
/// each: 17 %.
const WAVES: u64 = 8;
const WAVE_INTERVAL_MS: u64 = 4_500;
const WAVE_ENGINES: usize = 37;

/// Number of engines of a data centre that is lost.
const CENTRE_ENGINES: usize = 73;

const SEEDS: u64 = 3;

/// Maximum number of sound requests refused in eight waves, of 16,000: one that has just begun
/// at three crashes in a row can't be told from one at fault.
const MAX_REFUSED: usize = 3;

fn schedule_waves(model: &mut Model, spread_ms: u64, engines: usize) {
    for wave in 0..WAVES {
        model.schedule_wave(STORM_MS + wave * WAVE_INTERVAL_MS, engines, spread_ms);
    }
}

/// Arguments: time within which the engines of a wave crash, their number, and the time for
/// which there is no leader from the second wave on.
///
/// Guards against parts of prompts that many requests share, and that were refused when a sixth
/// of the engines crashed again and again: runs of them had just begun at three of the engines,
/// and that none of them was at fault was known at other routers only.
#[parameterized(
    at_once = { 0, WAVE_ENGINES, 0 },
    within_200_ms = { 200, WAVE_ENGINES, 0 },
    within_700_ms = { 700, WAVE_ENGINES, 0 },
    within_two_seconds = { 2_000, WAVE_ENGINES, 0 },
    centres_lost = { 0, CENTRE_ENGINES, 0 },
    without_a_leader = { 200, WAVE_ENGINES, 3_000 },
)]
fn engines_that_crash_in_waves_quarantine_nothing(
    spread_ms: u64,
    engines: usize,
    leaderless_ms: u64,
) {
    for seed in 0..SEEDS {
        let mut model = Model::with_fleet(FLEET, seed, ROUTERS, 0, 1, Trouble::None);
        schedule_waves(&mut model, spread_ms, engines);
        if leaderless_ms > 0 {
            let from = STORM_MS + WAVE_INTERVAL_MS;
            model.remove_leader(from, from + leaderless_ms);
        }
        model.run();
        assert!(
            model.sound_groups.is_empty() && model.refused_sound <= MAX_REFUSED,
            "seed {seed}: {} sound groups were quarantined and {} requests refused, first {:?}",
            model.sound_groups.len(),
            model.refused_sound,
            model.sound_groups.first(),
        );
    }
}

/// Arguments: time within which the engines of a wave crash, parts at fault, and requests per
/// second with each.
///
/// Guards against a part at fault that is found later because many engines crash beside it.
#[parameterized(
    seldom_beside_waves_at_once = { 0, 1, 1 },
    often_beside_waves_at_once = { 0, 1, 20 },
    seldom_beside_slow_waves = { 2_000, 1, 1 },
    beside_slow_waves = { 2_000, 1, 4 },
    often_beside_slow_waves = { 2_000, 1, 20 },
    two_parts_beside_waves = { 200, 2, 3 },
    two_parts_beside_slow_waves = { 2_000, 2, 3 },
)]
fn a_part_at_fault_is_found_beside_waves(spread_ms: u64, bad_parts: u64, bad_rate: u64) {
    // A request that is sent on three times is itself a suspect before its part is.
    let fleet = Fleet {
        max_sends: 2,
        ..FLEET
    };
    for seed in 0..SEEDS {
        let mut model = Model::with_fleet(fleet, seed, ROUTERS, bad_parts, bad_rate, Trouble::None);
        schedule_waves(&mut model, spread_ms, WAVE_ENGINES);
        model.run();
        for (crashes, arrivals) in model.crashes.iter().zip(&model.arrivals) {
            let last_arrival = *arrivals.last().expect("a request arrived");
            let third = *crashes.get(2).expect("three crashes");
            assert!(
                last_arrival <= third + MAX_ATTRIBUTION_MS,
                "seed {seed}: {} targets crashed, and requests arrived for {} ms after the third",
                crashes.len(),
                last_arrival - third
            );
        }
        assert_eq!(model.sound_groups, [], "seed {seed}");
    }
}
