//! Runs the real programs at the size of a deployment, with troubles drawn by seed, and
//! prints how much of the bound on repeats was used:
//! `cargo run --release -p deckwind-testkit --example at_size -- DAEMON SIZE FIRST COUNT SECONDS [TROUBLE...]`
//! where DAEMON is the program `deckwindd`, SIZE `hundreds` or `tens`, and each TROUBLE the
//! name of a kind, to be drawn, or `KIND:PERCENT:LENGTH_MS:PAUSE_MS`: these come in turn.
//! Logs of a seed that breaks the bound stay in the folder printed; with `KEEP` in the
//! environment those of each.

use anyhow::{Context, Result, bail};
use deckwind_testkit::Processes;
use deckwind_testkit::at_size::{self, Kind, Report, Size, Trouble, Troubles};
use std::time::Duration;

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [daemon, size, first, count, seconds, troubles @ ..] = args.as_slice() else {
        bail!("give DAEMON SIZE FIRST COUNT SECONDS [TROUBLE...]");
    };
    let size = match size.as_str() {
        "hundreds" => Size::of_hundreds(),
        "tens" => Size::of_tens(),
        other => bail!("{other:?} is no size"),
    };
    let troubles = troubles_of(troubles)?;
    let (first, count): (u64, u64) = (first.parse()?, count.parse()?);
    let length = Duration::from_secs(seconds.parse()?);
    let runtime = tokio::runtime::Runtime::new()?;
    let mut broke = 0;
    for seed in first..first + count {
        let mut layout = at_size::layout(&size).context("a layout")?;
        layout.keep_folder();
        let logs = layout.folder().to_path_buf();
        let processes = Processes::new(layout, daemon, daemon, daemon);
        let run = at_size::run(processes, size.clone(), seed, length, &troubles);
        let report = runtime.block_on(run)?;
        print(seed, &report);
        if report.is_broken() || std::env::var_os("KEEP").is_some() {
            broke += u64::from(report.is_broken());
            println!("  logs are in {}", logs.display());
        } else {
            std::fs::remove_dir_all(&logs).context("the logs can't be removed")?;
        }
    }
    println!("{broke} of {count} broke the bound");
    Ok(())
}

fn troubles_of(args: &[String]) -> Result<Troubles> {
    if args.is_empty() {
        return Ok(Troubles::Drawn(Kind::ALL.to_vec()));
    }
    if args.iter().any(|a| a.contains(':')) {
        let given = args.iter().map(|a| trouble_of(a));
        return Ok(Troubles::Given(given.collect::<Result<_>>()?));
    }
    let kinds = args.iter().map(|a| kind_of(a));
    Ok(Troubles::Drawn(kinds.collect::<Result<_>>()?))
}

fn kind_of(name: &str) -> Result<Kind> {
    let mut all = Kind::ALL.into_iter();
    let found = all.find(|k| format!("{k:?}") == name);
    found.with_context(|| format!("{name:?} is no trouble"))
}

fn trouble_of(text: &str) -> Result<Trouble> {
    let parts: Vec<&str> = text.split(':').collect();
    let [kind, percent, length, pause] = parts.as_slice() else {
        bail!("{text:?} is not KIND:PERCENT:LENGTH_MS:PAUSE_MS");
    };
    Ok(Trouble {
        kind: kind_of(kind)?,
        percent: percent.parse()?,
        length: Duration::from_millis(length.parse()?),
        pause: Duration::from_millis(pause.parse()?),
    })
}

fn print(seed: u64, report: &Report) {
    let used = |w: &Option<at_size::FullestWindow>| {
        w.map_or("-".to_string(), |w| {
            format!(
                "{:.2} ({} of {:.0} until {:.1} s, {} requests)",
                w.used(),
                w.repeats,
                w.allowed,
                w.until.as_secs_f64(),
                w.requests
            )
        })
    };
    let at_size::Outcomes {
        served,
        refused,
        failed,
    } = report.outcomes;
    println!(
        "seed {seed}: engines {} plain {} repeats {} unpaid {} beyond_attempts {} {:?} served {served} refused {refused} failed {failed}",
        used(&report.engines),
        used(&report.plain),
        report.repeats,
        report.unpaid,
        report.beyond_attempts,
        report.worst
    );
    let troubles = report.troubles.iter();
    let troubles: Vec<String> = troubles
        .map(|(at, t)| {
            let (at, length) = (at.as_secs_f64(), t.length.as_secs_f64());
            format!("{at:.1} {:?} {}% {length:.1}", t.kind, t.percent)
        })
        .collect();
    println!("  {}", troubles.join("; "));
}
