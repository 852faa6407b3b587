//! Runs the soak test on the real programs with a range of seeds.
//!
//! `cargo run --release -p deckwind-testkit --example soak -- FOLDER FIRST COUNT SECONDS`
//!
//! FOLDER contains the programs (`target/release`). The logs of a failed seed are kept
//! in the folder that is printed.

use anyhow::{Context, Result, bail};
use deckwind_testkit::{Layout, Processes, soak};
use std::path::Path;
use std::time::Duration;

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [folder, first, count, seconds] = args.as_slice() else {
        bail!("usage: soak FOLDER FIRST COUNT SECONDS");
    };
    let (first, count): (u64, u64) = (first.parse()?, count.parse()?);
    let length = Duration::from_secs(seconds.parse()?);
    let program = |name: &str| Path::new(folder).join(name).display().to_string();
    let runtime = tokio::runtime::Runtime::new()?;
    let mut failed = 0;
    for seed in first..first + count {
        let mut layout = Layout::new(3, 2).context("failed to create the layout")?;
        layout.keep_folder();
        let logs = layout.folder().to_path_buf();
        let daemon = program("testkit-daemon");
        let processes = Processes::new(layout, &daemon, &daemon, &daemon);
        match runtime.block_on(soak::run(processes, seed, length)) {
            Ok(summary) => {
                println!("seed {seed}: {summary:?}");
                std::fs::remove_dir_all(&logs).context("failed to remove the logs")?;
            }
            Err(e) => {
                failed += 1;
                println!("seed {seed}: FAILED: {e:#}; logs in {}", logs.display());
            }
        }
    }
    println!("{failed} of {count} failed");
    Ok(())
}
