//! Measures the traffic on the leader's link with 50, 195 and 350 routers: idle, under
//! load, with one change per second, with a large change, in a storm of changes, and when
//! all routers restart. Runs in virtual time and takes seconds.
//!
//! `cargo run --release -p deckwind-testkit --example fan_out`

use anyhow::Result;
use deckwind_testkit::fan_out::{FanOut, LinkTraffic, engine, release};
use std::time::Duration;

/// Bandwidth of the link of a control VM, in Mbit/s.
const LINK_MBPS: f64 = 170.0;

/// Duration of each run, in seconds.
const SECONDS: u32 = 5;

fn print_row(scenario: &str, routers: usize, carried: LinkTraffic) {
    let bytes = carried.bytes as f64 / f64::from(SECONDS);
    println!(
        "{scenario:<34} {routers:>7} {:>9.0} {:>10.0} {:>12.2} {:>10.1} {:>6}",
        bytes / 1e3,
        bytes / routers as f64,
        bytes / (LINK_MBPS * 125_000.0),
        carried.longest_queue.as_secs_f64() * 1e3,
        carried.leases_lost,
    );
}

fn run_scenarios(routers: usize) -> Result<()> {
    let second = Duration::from_secs(1);
    let mut idle = FanOut::new(routers, 0, LINK_MBPS)?;
    idle.publish(release(1, 240));
    idle.run_until_applied(second)?;
    idle.take_traffic();
    idle.run_for(second * SECONDS)?;
    print_row("idle", routers, idle.take_traffic());

    let mut loaded = FanOut::new(routers, 218, LINK_MBPS)?;
    loaded.publish(release(1, 240));
    loaded.run_until_applied(second)?;
    loaded.take_traffic();
    loaded.run_for(second * SECONDS)?;
    print_row("under load", routers, loaded.take_traffic());
    for i in 0..u64::from(SECONDS) {
        loaded.publish(release(2 + i, 240));
        loaded.run_for(second)?;
    }
    print_row(
        "load, one change per second",
        routers,
        loaded.take_traffic(),
    );

    loaded.publish(release(50, 1_640));
    let elapsed = loaded.run_until_applied(10 * second)?;
    let carried = loaded.take_traffic();
    print_row("load, 1,400 routes added at once", routers, carried);
    println!(
        "{:>34} in force after {:.0} ms",
        "",
        elapsed.as_secs_f64() * 1e3
    );

    for i in 0..20 * u64::from(SECONDS) {
        let (number, layers) = ((i % 218) as u16, 1 + i as u32 % 80);
        loaded.announce(engine(number, layers, i + 1));
        if i % 7 == 0 {
            loaded.publish(release(51 + i, 1_640));
        }
        loaded.run_for(second / 20)?;
    }
    print_row(
        "load, storm on 1,640 routes",
        routers,
        loaded.take_traffic(),
    );

    (0..273).for_each(|i| idle.announce(engine(i, 4, 1)));
    idle.publish(release(2, 1_640));
    idle.run_until_applied(second)?;
    idle.take_traffic();
    idle.restart_routers();
    let elapsed = idle.run_until_applied(10 * second)?;
    print_row("all routers start at once", routers, idle.take_traffic());
    println!(
        "{:>34} all applied after {:.0} ms",
        "",
        elapsed.as_secs_f64() * 1e3
    );
    Ok(())
}

fn main() -> Result<()> {
    println!("Answers of one leader over a link of {LINK_MBPS} Mbit/s, {SECONDS} s per run.");
    println!("Storm: three releases and twenty announcements per second.\n");
    println!(
        "{:<34} {:>7} {:>9} {:>10} {:>12} {:>10} {:>6}",
        "", "routers", "kB/s", "B/s each", "link usage", "queue ms", "lost"
    );
    for routers in [50, 195, 350] {
        run_scenarios(routers)?;
    }
    Ok(())
}
