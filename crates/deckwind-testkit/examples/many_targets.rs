//! What thousands of targets that announce themselves cost the leader: time that
//! it works, its longest batch, and when their layers are placed. The times are of
//! this machine's clock; a control VM has 0.3 of a core.
//!
//! `cargo run --release -p deckwind-testkit --example many_targets -- [ROUTERS TARGETS RELAYS]`

use anyhow::Result;
use deckwind_testkit::fan_out::{FanOut, engine_fleet, engine_release};
use std::time::Duration;

/// Link of a control VM, Mbit/s.
const LINK_MBPS: f64 = 170.0;

/// Between two announcements of one target.
const PERIOD: Duration = Duration::from_millis(1_200);

/// Steps into which a period is cut.
const STEPS: u32 = 120;

/// Most repeats that all routers may be given.
const REPEATS: u64 = 1_040;

/// Periods that are run.
const PERIODS: u64 = 8;

fn run(routers: usize, targets: usize, relays: u32) -> Result<()> {
    let mut fan_out = FanOut::new(routers, 0, LINK_MBPS)?;
    fan_out.publish(engine_release(1, 240));
    fan_out.run_until_applied(Duration::from_secs(5))?;
    fan_out.pass_on(relays);
    fan_out.serve(REPEATS);
    fan_out.take_carried();
    let fleet = engine_fleet(targets);
    let each = targets.div_ceil(STEPS as usize);
    println!("{routers} routers, {targets} targets, {relays} replicas that pass on");
    for period in 1..=PERIODS {
        for part in fleet.chunks(each) {
            for engine in part {
                let mut engine = engine.clone();
                engine.layers = fan_out.held_by(&engine.id);
                engine.in_memory = engine.layers.len();
                engine.announced = period;
                fan_out.announce(engine);
            }
            fan_out.run_for(PERIOD / STEPS)?;
        }
        let carried = fan_out.take_carried();
        println!(
            "  until {:>5.1} s: worked {:>7.1} ms a second, longest batch {:>7.1} ms, queue {:>5.1} ms, \
             {:>6.2} MB in {:>5} messages, {:>4} engines hold layers, {} routers lag, {} leases lost",
            period as f64 * PERIOD.as_secs_f64(),
            carried.worked.as_secs_f64() * 1e3 / PERIOD.as_secs_f64(),
            carried.longest_batch.as_secs_f64() * 1e3,
            carried.longest_queue.as_secs_f64() * 1e3,
            carried.bytes as f64 / 1e6,
            carried.messages,
            fan_out.holding(),
            fan_out.lagging(),
            carried.leases_lost,
        );
    }
    Ok(())
}

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let [routers, targets, relays] = &args[..] {
        return run(routers.parse()?, targets.parse()?, relays.parse()?);
    }
    run(30, 300, 4)?;
    run(100, 1_000, 4)?;
    run(294, 3_000, 4)?;
    run(986, 3_000, 9)?;
    run(1_972, 6_000, 9)
}
