//! Measures the cost of thousands of announcing targets for the leader: its processing
//! time, its longest batch, and when the layers of the targets are placed. Processing times
//! are measured with the clock of this machine; a control VM has 0.3 of a core.
//!
//! `cargo run --release -p deckwind-testkit --example many_targets -- [ROUTERS TARGETS RELAYS]`

use anyhow::Result;
use deckwind_testkit::fan_out::{FanOut, engine_fleet, engine_release};
use std::time::Duration;

/// Bandwidth of the link of a control VM, in Mbit/s.
const LINK_MBPS: f64 = 170.0;

/// Time between two announcements of one target.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Number of steps in a period; each announces a part of the targets.
const STEPS_PER_PERIOD: u32 = 120;

/// Maximum number of retries that may be granted to all routers together.
const MAX_RETRIES: u64 = 1_040;

/// Number of periods to run.
const PERIODS: u64 = 8;

fn run(routers: usize, targets: usize, relays: u32) -> Result<()> {
    let mut fan_out = FanOut::new(routers, 0, LINK_MBPS)?;
    fan_out.publish(engine_release(1, 240));
    fan_out.run_until_applied(Duration::from_secs(5))?;
    fan_out.relay_through(relays);
    fan_out.enable_retries(MAX_RETRIES);
    fan_out.take_traffic();
    let fleet = engine_fleet(targets);
    let batch_size = targets.div_ceil(STEPS_PER_PERIOD as usize);
    println!("{routers} routers, {targets} targets, {relays} relaying replicas");
    for period in 1..=PERIODS {
        for batch in fleet.chunks(batch_size) {
            for engine in batch {
                let mut engine = engine.clone();
                engine.layers = fan_out.layers_of(&engine.id);
                engine.in_memory = engine.layers.len();
                engine.announced = period;
                fan_out.announce(engine);
            }
            fan_out.run_for(ANNOUNCE_INTERVAL / STEPS_PER_PERIOD)?;
        }
        let carried = fan_out.take_traffic();
        println!(
            "  until {:>5.1} s: worked {:>7.1} ms per second, longest batch {:>7.1} ms, queue {:>5.1} ms, \
             {:>6.2} MB in {:>5} messages, {:>4} engines hold layers, {} routers lag, {} leases lost",
            period as f64 * ANNOUNCE_INTERVAL.as_secs_f64(),
            carried.work_time.as_secs_f64() * 1e3 / ANNOUNCE_INTERVAL.as_secs_f64(),
            carried.longest_batch.as_secs_f64() * 1e3,
            carried.longest_queue.as_secs_f64() * 1e3,
            carried.bytes as f64 / 1e6,
            carried.messages,
            fan_out.engines_with_layers(),
            fan_out.routers_behind(),
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
