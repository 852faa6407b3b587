//! What the leader's link carries with 50, 195 and 350 routers: idle, under one
//! change a second, and in a storm. Virtual time; takes seconds.
//!
//! `cargo run --release -p deckwind-testkit --example fan_out`

use anyhow::Result;
use deckwind_core::state::{
    Instance, InstanceState, LayerRange, Pool, Release, Route, RouteKind, Split,
};
use deckwind_testkit::fan_out::{Carried, FanOut};
use std::time::Duration;

/// Link of a control VM, Mbit/s.
const LINK_MBPS: f64 = 170.0;

/// Length of each run, seconds.
const SECONDS: u32 = 5;

fn route(i: u64, version: u64) -> Route {
    Route {
        name: format!("route-{i}"),
        host: format!("host-{}.example", i % 40),
        path_prefix: format!("/path-{:x}", i * 0x9e37_79b9),
        kind: RouteKind::Repeatable,
        split: vec![Split {
            pool: "p".to_string(),
            weight: 1.0,
        }],
        timeout_ms: 1_000 + if i == 0 { version } else { 0 },
        objective_ms: 100,
        pause_ms: None,
        priority: 1,
        attempts: 2,
        open: true,
    }
}

fn release(version: u64, routes: u64) -> Release {
    Release {
        version,
        routes: (0..routes).map(|i| route(i, version)).collect(),
        pools: vec![Pool {
            name: "p".to_string(),
            max_connections: 10,
            engine: None,
        }],
        ..Release::default()
    }
}

fn instance(number: u64) -> Instance {
    let layers = 1 + number as u32 % 80;
    Instance {
        id: format!("engine-{}", number % 218),
        pool: "p".to_string(),
        address: ([127, 0, 1, 1], (number % 218) as u16 + 1).into(),
        data_centre: "a".into(),
        slots: 192,
        state: InstanceState::Ready,
        accelerator: Some("fast".to_string()),
        layers: LayerRange {
            first: 0,
            last: layers,
        },
        in_memory: layers,
        announced: number + 1,
    }
}

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
        load.announce(instance(i));
        if i % 7 == 0 {
            load.publish(release(51 + i, 1_640));
        }
        load.run_for(second / 20)?;
    }
    print("load, storm on 1,640 routes", routers, load.take_carried());
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
