//! Compares the policies that choose a chain of engines: drives the router core in
//! virtual time against fake targets, under several loads and faults.
//!
//! ```text
//! cargo run --release -p deckwind-core --example policies -- --seed 1 --out FOLDER
//! ```

mod events;
mod fleet;
mod load;
mod report;
mod run;

use clap::{Arg, Command, value_parser};
use load::Scenario;
use report::Table;
use run::{FleetSize, PolicyName, Run};
use std::path::PathBuf;

fn cli() -> Command {
    Command::new("policies")
        .about("Compares the routing policies in virtual time")
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("runners")
                .long("runners")
                .default_value("40")
                .value_parser(value_parser!(u32)),
        )
        .arg(
            Arg::new("routers")
                .long("routers")
                .default_value("9")
                .value_parser(value_parser!(u32)),
        )
        .arg(
            Arg::new("slots")
                .long("slots")
                .default_value("16")
                .help("Maximum concurrent sessions per runner")
                .value_parser(value_parser!(u32)),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .help("Run only the scenario with this name"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .help("Run only the policy with this name"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_parser(value_parser!(PathBuf))
                .help("Folder to which the results are written as JSON and as an SVG plot"),
        )
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = cli().get_matches();
    let seed = *args
        .get_one::<u64>("seed")
        .expect("argument has a default value");
    let runners = *args
        .get_one::<u32>("runners")
        .expect("argument has a default value");
    let routers = *args
        .get_one::<u32>("routers")
        .expect("argument has a default value");
    let slots = *args
        .get_one::<u32>("slots")
        .expect("argument has a default value");
    let only_policy = args.get_one::<String>("policy");
    let only_scenario = args.get_one::<String>("only");
    let size = FleetSize {
        runners,
        routers,
        slots,
    };
    let mut table = Table::default();
    for scenario in Scenario::all() {
        if only_scenario.is_some_and(|name| *name != scenario.name) {
            continue;
        }
        for policy in PolicyName::ALL {
            if only_policy.is_some_and(|name| name != policy.name()) {
                continue;
            }
            let result = Run::new(scenario, policy, size, seed).execute();
            table.push(result);
        }
    }
    println!("{}", table.text());
    if let Some(folder) = args.get_one::<PathBuf>("out") {
        std::fs::create_dir_all(folder)?;
        std::fs::write(folder.join("policies.json"), table.json()?)?;
        std::fs::write(folder.join("policies.svg"), table.svg()?)?;
    }
    Ok(())
}
