//! Runs the real programs at the size of a deployment, injects random faults and prints how
//! much of the retry budget was used.
//!
//! `cargo run --release -p deckwind-testkit --example at_size -- DAEMON SIZE FIRST COUNT SECONDS [TROUBLE...]`
//!
//! DAEMON is the program `deckwindd`, SIZE is `hundreds` or `tens`, and FIRST and COUNT give
//! the seeds. Each TROUBLE is a kind of fault to be drawn at random, or
//! `KIND:PERCENT:LENGTH_MS:PAUSE_MS` for a fixed fault; fixed faults are injected in order.
//! The logs of a seed that exceeds the retry budget or the attempts of a request are kept in
//! the folder that is printed; if the environment variable `KEEP` is set, those of all seeds
//! are.

use anyhow::{Context, Result, bail};
use deckwind_testkit::Processes;
use deckwind_testkit::at_size::{self, FaultEvent, FaultKind, FaultPlan, Report, Size};
use std::time::Duration;

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [daemon, size, first, count, seconds, faults @ ..] = args.as_slice() else {
        bail!("usage: at_size DAEMON SIZE FIRST COUNT SECONDS [TROUBLE...]");
    };
    let size = match size.as_str() {
        "hundreds" => Size::large(),
        "tens" => Size::small(),
        other => bail!("unknown size {other:?}, expected hundreds or tens"),
    };
    let faults = parse_faults(faults)?;
    let (first, count): (u64, u64) = (first.parse()?, count.parse()?);
    let length = Duration::from_secs(seconds.parse()?);
    let runtime = tokio::runtime::Runtime::new()?;
    let mut exceeded = 0;
    for seed in first..first + count {
        let mut layout = at_size::layout(&size).context("failed to create the layout")?;
        layout.keep_folder();
        let logs = layout.folder().to_path_buf();
        let processes = Processes::new(layout, daemon, daemon, daemon);
        let run = at_size::run(processes, size.clone(), seed, length, &faults);
        let report = runtime.block_on(run)?;
        print_report(seed, &report);
        if report.exceeds_limits() || std::env::var_os("KEEP").is_some() {
            exceeded += u64::from(report.exceeds_limits());
            println!("  logs in {}", logs.display());
        } else {
            std::fs::remove_dir_all(&logs).context("failed to remove the logs")?;
        }
    }
    println!("{exceeded} of {count} exceeded the retry limits or had a wrong answer");
    Ok(())
}

/// Parses the TROUBLE arguments; without any, faults of all kinds are drawn.
fn parse_faults(args: &[String]) -> Result<FaultPlan> {
    if args.is_empty() {
        return Ok(FaultPlan::Drawn(FaultKind::ALL.to_vec()));
    }
    if args.iter().any(|a| a.contains(':')) {
        let fixed = args.iter().map(|a| parse_trouble(a));
        return Ok(FaultPlan::Given(fixed.collect::<Result<_>>()?));
    }
    let kinds = args.iter().map(|a| parse_kind(a));
    Ok(FaultPlan::Drawn(kinds.collect::<Result<_>>()?))
}

fn parse_kind(name: &str) -> Result<FaultKind> {
    let mut all = FaultKind::ALL.into_iter();
    let found = all.find(|k| format!("{k:?}") == name);
    found.with_context(|| format!("unknown kind of fault {name:?}"))
}

/// Parses `KIND:PERCENT:LENGTH_MS:PAUSE_MS`.
fn parse_trouble(text: &str) -> Result<FaultEvent> {
    let parts: Vec<&str> = text.split(':').collect();
    let [kind, percent, length, pause] = parts.as_slice() else {
        bail!("{text:?} is not KIND:PERCENT:LENGTH_MS:PAUSE_MS");
    };
    Ok(FaultEvent {
        kind: parse_kind(kind)?,
        percent: percent.parse()?,
        length: Duration::from_millis(length.parse()?),
        pause: Duration::from_millis(pause.parse()?),
    })
}

fn print_report(seed: u64, report: &Report) {
    let format_window = |w: &Option<at_size::PeakWindow>| {
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
        format_window(&report.engines),
        format_window(&report.plain),
        report.repeats,
        report.uncharged_retries,
        report.beyond_attempts,
        report.worst
    );
    for error in &report.answer_errors {
        println!("  {error}");
    }
    let faults = report.faults.iter();
    let faults: Vec<String> = faults
        .map(|(at, t)| {
            let (at, length) = (at.as_secs_f64(), t.length.as_secs_f64());
            format!("{at:.1} {:?} {}% {length:.1}", t.kind, t.percent)
        })
        .collect();
    println!("  {}", faults.join("; "));
}
