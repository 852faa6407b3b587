//! Runs the real programs at the size of a deployment, injects random faults and prints how
//! much of the retry budget was used.
//!
//! `cargo run --release -p deckwind-testkit --example at_size -- DAEMON SIZE FIRST COUNT SECONDS [OPTION...] [TROUBLE...]`
//!
//! DAEMON is the program `deckwindd`, SIZE is `five-centres` (195 routers, 218 engines),
//! `hundreds` or `tens`, and FIRST and COUNT give the seeds. Each TROUBLE is a kind of fault to be drawn at random, or
//! `KIND:PERCENT:LENGTH_MS:PAUSE_MS` for a fixed fault; fixed faults are injected in order;
//! `none` is a run without faults. The logs of a seed that exceeds the retry budget or the
//! attempts of a request, or in which a check fails, are kept in the folder
//! that is printed; if the environment variable `KEEP` is set, those of all seeds are.
//!
//! Each OPTION is `NAME=VALUE`: `changes` (an operator publishes a change about every so many
//! ms, and probes check what is in force), `routes` (routes of each of its releases beside
//! those that change), `routers` (their number), `load` (of callers, in percent), `link`
//! (bandwidth of a control replica in Mbit/s), `quota` (share of a core that each control
//! process may use, from the moment at which the deployment serves), and `seeds=1` (VMs have loopback addresses of
//! their own and find the control replicas through seeds).

use anyhow::{Context, Result, bail};
use deckwind_testkit::Processes;
use deckwind_testkit::at_size::{
    self, Change, ControlReport, FaultEvent, FaultKind, FaultPlan, OperatorPlan, OperatorReport,
    ProcessorUse, Report, Size, Spread,
};
use std::time::Duration;

/// Number of failed checks that are printed in full.
const MAX_FINDINGS: usize = 12;

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [daemon, size, first, count, seconds, rest @ ..] = args.as_slice() else {
        bail!("usage: at_size DAEMON SIZE FIRST COUNT SECONDS [OPTION...] [TROUBLE...]");
    };
    let (options, faults): (Vec<_>, Vec<_>) = rest.iter().cloned().partition(|a| a.contains('='));
    let mut size = match size.as_str() {
        "five-centres" => Size::five_centres(),
        "hundreds" => Size::large(),
        "tens" => Size::small(),
        other => bail!("unknown size {other:?}, expected five-centres, hundreds or tens"),
    };
    for option in &options {
        set_option(&mut size, option)?;
    }
    let faults = parse_faults(&faults)?;
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
    println!("{exceeded} of {count} exceeded the retry limits or failed a check");
    Ok(())
}

/// Sets an OPTION argument.
fn set_option(size: &mut Size, option: &str) -> Result<()> {
    let (name, value) = option
        .split_once('=')
        .context("an option without a value")?;
    let plan = size.operator.unwrap_or(OperatorPlan {
        interval: Duration::from_millis(500),
        routes: 0,
    });
    match name {
        "changes" => {
            let interval = Duration::from_millis(value.parse()?);
            size.operator = Some(OperatorPlan { interval, ..plan });
        }
        "routes" => {
            let routes = value.parse()?;
            size.operator = Some(OperatorPlan { routes, ..plan });
        }
        "routers" => size.routers = value.parse()?,
        "quota" => size.control_share = Some(parse_share(value)?),
        "link" => size.link_mbps = Some(value.parse()?),
        "seeds" => size.has_seeds = value.parse::<u8>()? > 0,
        "load" => {
            let share = value.parse::<f64>()? / 100.0;
            size.streams_per_s *= share;
            size.plain_per_s = (size.plain_per_s.0 * share, size.plain_per_s.1 * share);
        }
        other => bail!("unknown option {other:?}"),
    }
    Ok(())
}

/// Parses a share of a core.
fn parse_share(value: &str) -> Result<f64> {
    let share: f64 = value.parse()?;
    if !(share > 0.0 && share <= 1.0) {
        bail!("{value:?} is not a share of a core");
    }
    Ok(share)
}

/// Parses the TROUBLE arguments; without any, faults of all kinds are drawn.
fn parse_faults(args: &[String]) -> Result<FaultPlan> {
    if args.is_empty() {
        return Ok(FaultPlan::Drawn(FaultKind::ALL.to_vec()));
    }
    if args == ["none"] {
        return Ok(FaultPlan::None);
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
    if let Some(operator) = &report.operator {
        print_operator(operator);
    }
    print_control(&report.control);
    for processor in &report.processors {
        print_processor(processor);
    }
}

fn print_control(report: &ControlReport) {
    let (lost, lost_calmly) = report.lost_leases;
    let (groups, sound) = report.quarantined;
    let (sent, served) = report.served;
    let [silent, gap_sent, gap_received] = report.longest_ms;
    println!(
        "  control: elections {} deposed {} lease_lost {lost} calm {lost_calmly} quarantined {groups} \
         sound {sound} calm served {served} of {sent} ({:.3}) longest_ms silent {silent} gap sent \
         {gap_sent} received {gap_received} batch {}",
        report.elections,
        report.deposed,
        served as f64 / sent.max(1) as f64,
        report.load.longest_batch.as_millis(),
    );
    let shares = report.load.shares();
    let shares = shares.iter().filter(|(_, share)| *share >= 0.001);
    let shares: Vec<String> = shares.map(|(work, s)| format!("{work} {s:.3}")).collect();
    println!(
        "  leaders' time, of {:.1} s: {}; at most {:?}",
        report.load.over.as_secs_f64(),
        shares.join(" "),
        report.load.largest
    );
    println!("  failed checks of control: {:?}", report.counts());
    for finding in report.findings.iter().take(MAX_FINDINGS) {
        println!("  {finding}");
    }
}

fn print_processor(processor: &ProcessorUse) {
    let (periods, suspended) = processor.periods;
    println!(
        "  {}: {:.3} of a core over {:.1} s, suspended in {suspended} of {periods} periods, {} in a row",
        processor.name,
        processor.used.as_secs_f64() / processor.held.as_secs_f64().max(f64::MIN_POSITIVE),
        processor.held.as_secs_f64(),
        processor.longest_row,
    );
}

fn print_operator(report: &OperatorReport) {
    for (change, spread) in &report.changes {
        println!("  {}", format_change(change, spread));
    }
    for change in &report.others {
        let (version, kind) = (change.release.version, &change.kind);
        let (sent, refused) = (change.sent.as_secs_f64(), change.refused);
        let calls = change.calls;
        println!("  {version} {kind} sent {sent:.2} s calls {calls} refused {refused:?}");
    }
    let [acknowledged, last, older] = report.longest().map(|d| d.as_millis());
    let (probes, unclear) = report.probes;
    let (first, added) = report.served;
    println!(
        "  operator: changes {} others {} probes {probes} unclear {unclear} readings {} longest_ms \
         ack {acknowledged} last_router {last} older_seen {older} served first {:.3} of {} added {:.3} of {}",
        report.changes.len(),
        report.others.len(),
        report.readings,
        first.share(),
        first.probes,
        added.share(),
        added.probes,
    );
    println!("  failed checks: {:?}", report.counts());
    for finding in report.findings.iter().take(MAX_FINDINGS) {
        println!("  {finding}");
    }
}

fn format_change(change: &Change, spread: &Spread) -> String {
    let (at, replica) = change.acknowledged.unwrap_or_default();
    format!(
        "{} {} sent {:.2} s ack_ms {} by {replica} calls {} last_router_ms {} never {} older_seen_ms {}",
        change.release.version,
        change.kind,
        change.sent.as_secs_f64(),
        at.saturating_sub(change.sent).as_millis(),
        change.calls,
        spread
            .last_router
            .map_or("-".to_string(), |d| d.as_millis().to_string()),
        spread.never,
        spread.older_seen.as_millis(),
    )
}
