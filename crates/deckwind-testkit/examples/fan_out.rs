//! What the leader's link carries with 50, 195 and 350 routers: idle, under one
//! change a second, and in a storm. Virtual time; takes seconds.
//!
//! `cargo run --release -p deckwind-testkit --example fan_out`

use anyhow::Result;
use deckwind_testkit::fan_out::{Carried, FanOut, engine, release};
use std::time::Duration;

/// Link of a control VM, Mbit/s.
const LINK_MBPS: f64 = 170.0;

/// Length of each run, seconds.
const SECONDS: u32 = 5;

fn print(what: &str, routers: usize, carried: Carried) {
    let bytes = carried.bytes as f64 / f64::from(SECONDS);
    println!(
        "{what:<34} {routers:>7} {:>9.0} {:>10.0} {:>12.2} {:>10.1} {:>6}",
        bytes / 1e3,
        bytes / routers as f64,
        bytes / (LINK_MBPS * 125_000.0),
        carried.longest_queue.as_secs_f64() * 1e3,
        carried.leases_lost,
    );
}

fn runs(routers: usize) -> Result<()> {
    let second = Duration::from_secs(1);
    let mut idle = FanOut::new(routers, 0, LINK_MBPS)?;
    idle.publish(release(1, 240));
    idle.run_until_applied(second)?;
    idle.take_carried();
    idle.run_for(second * SECONDS)?;
    print("idle", routers, idle.take_carried());

    let mut load = FanOut::new(routers, 218, LINK_MBPS)?;
    load.publish(release(1, 240));
    load.run_until_applied(second)?;
    load.take_carried();
    load.run_for(second * SECONDS)?;
    print("under load", routers, load.take_carried());
    for i in 0..u64::from(SECONDS) {
        load.publish(release(2 + i, 240));
        load.run_for(second)?;
    }
    print("load, a change a second", routers, load.take_carried());

    load.publish(release(50, 1_640));
    let took = load.run_until_applied(10 * second)?;
    let carried = load.take_carried();
    print("1,400 routes more, once", routers, carried);
    println!("{:>34} in force in {:.0} ms", "", took.as_secs_f64() * 1e3);

    for i in 0..20 * u64::from(SECONDS) {
        let (number, layers) = ((i % 218) as u16, 1 + i as u32 % 80);
        load.announce(engine(number, layers, i + 1));
        if i % 7 == 0 {
            load.publish(release(51 + i, 1_640));
        }
        load.run_for(second / 20)?;
    }
    print("load, storm on 1,640 routes", routers, load.take_carried());

    (0..273).for_each(|i| idle.announce(engine(i, 4, 1)));
    idle.publish(release(2, 1_640));
    idle.run_until_applied(second)?;
    idle.take_carried();
    idle.restart_routers();
    let took = idle.run_until_applied(10 * second)?;
    print("all routers start at once", routers, idle.take_carried());
    println!(
        "{:>34} all applied in {:.0} ms",
        "",
        took.as_secs_f64() * 1e3
    );
    Ok(())
}

fn main() -> Result<()> {
    println!("Answers of one leader through a link of {LINK_MBPS} Mbit/s, {SECONDS} s each.");
    println!("Storm: three releases and twenty announcements a second.\n");
    println!(
        "{:<34} {:>7} {:>9} {:>10} {:>12} {:>10} {:>6}",
        "", "routers", "kB/s", "B/s each", "of the link", "queue ms", "lost"
    );
    for routers in [50, 195, 350] {
        runs(routers)?;
    }
    Ok(())
}
