//! Measures how memory, message sizes and processor time of each role grow, at three or more
//! sizes each. docs/CAPACITY.md uses the figures.
//!
//! ```text
//! cargo run --release -p deckwind-testkit --example capacity
//! ```

use anyhow::Result;
use deckwind_core::admission::AdmissionConfig;
use deckwind_core::control::{
    ControlEvent, ControlLimits, ControlRequest, Grant, LimitReport, PeerListVersion, Renewal,
};
use deckwind_core::membership::{AccountDemand, AccountShare, LeaseGrant, LeaseTiming};
use deckwind_core::replication::{
    Entry, Index, Log, Payload, Position, ReplicaConfig, ReplicaId, Term,
};
use deckwind_core::router::{RouterConfig, RouterCore};
use deckwind_core::state::{
    ApplyRequest, Change, ClaimKey, ClaimRequest, Command, CommandBody, FinishRequest, Outcome,
    Revision, RouterProcess, StateMachine,
};
use deckwind_core::time::Instant;
use deckwind_store::{FsDisk, MemoryDisk, Store};
use deckwind_testkit::{account, chat_template, engine_target};
use deckwind_wire::encode;
use deckwindd::control::{ControlNode, Effect, Now};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant as Clock};

/// Returns the resident memory of this process in KiB, or 0 if it can't be read.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let word = line.and_then(|l| l.split_whitespace().nth(1));
    word.and_then(|w| w.parse().ok()).unwrap_or(0)
}

fn address(i: u32) -> SocketAddr {
    let [_, a, b, c] = i.to_be_bytes();
    SocketAddr::from(([10, a, b, c], 7_000))
}

fn apply(machine: &mut StateMachine, id: String, change: Change) {
    let request = ApplyRequest {
        request_id: id.into(),
        expected: None,
        change,
    };
    let body = CommandBody::Apply(request);
    machine.apply(Command { at_ms: 0, body });
}

fn build_state(targets: u32, accounts: u32, templates: u32) -> StateMachine {
    let mut machine = StateMachine::default();
    for i in 0..templates {
        let template = chat_template(&format!("template-{i}"), 32);
        apply(&mut machine, format!("t{i}"), Change::Template(template));
    }
    for i in 0..accounts {
        let account = account(&format!("account-{i}"), &format!("key-{i}"));
        apply(&mut machine, format!("a{i}"), Change::Account(account));
    }
    for i in 0..targets {
        let first = i % 4 * 8;
        let target = engine_target(&format!("runner-{i}"), address(i), first, first + 8);
        apply(&mut machine, format!("r{i}"), Change::Target(target));
    }
    machine
}

fn claim(i: u64) -> ClaimRequest {
    ClaimRequest {
        key: ClaimKey {
            account: format!("account-{}", i % 330).into(),
            key: format!("{i:032x}"),
        },
        holder: holder(0),
        digest: i,
        nonce: i,
    }
}

fn holder(i: u32) -> RouterProcess {
    RouterProcess {
        vm: format!("vm-{i}").into(),
        boot: u64::from(i),
    }
}

fn measure_configuration() {
    println!("configuration: memory and snapshot by targets (330 accounts, 24 templates)");
    for targets in [400, 1_600, 3_300, 6_600] {
        let before = resident_kib();
        let started = Clock::now();
        let machine = build_state(targets, 330, 24);
        let elapsed = started.elapsed();
        let resident = resident_kib().saturating_sub(before);
        let bytes = machine.to_snapshot().len();
        println!(
            "  {targets:>5} targets: {resident:>6} KiB resident, snapshot {:>5} KiB, {:.1} us per change",
            bytes / 1_024,
            elapsed.as_secs_f64() * 1e6 / f64::from(targets + 354)
        );
        std::mem::forget(machine);
    }
}

fn measure_claims() {
    println!("claims: memory by rows, each finished with an answer of 256 bytes");
    for rows in [10_000u64, 20_000, 40_000, 80_000] {
        let before = resident_kib();
        let started = Clock::now();
        let mut machine = StateMachine::default();
        for i in 0..rows {
            let claim = claim(i);
            let finish = FinishRequest {
                key: claim.key.clone(),
                holder: claim.holder.clone(),
                nonce: claim.nonce,
                outcome: Outcome::Answer {
                    status: 200,
                    body: vec![1; 256],
                    truncated: false,
                },
            };
            for body in [CommandBody::Claim(claim), CommandBody::Finish(finish)] {
                machine.apply(Command { at_ms: i, body });
            }
        }
        let elapsed = started.elapsed();
        let resident = resident_kib().saturating_sub(before);
        println!(
            "  {rows:>6} rows: {resident:>6} KiB, {:.0} bytes per row, {:.2} us per claim and its finish",
            resident as f64 * 1_024.0 / rows as f64,
            elapsed.as_secs_f64() * 1e6 / rows as f64
        );
        std::mem::forget(machine);
    }
}

fn measure_log() {
    println!("log: memory by entries of 100 bytes that are not in a snapshot yet");
    for entries in [25_000u64, 50_000, 100_000, 200_000] {
        let before = resident_kib();
        let mut log = Log::default();
        for i in 1..=entries {
            let at = Position {
                term: Term(1),
                index: Index(i),
            };
            let payload = Payload::Command(vec![1; 100]);
            log.push(Entry { at, payload });
        }
        let resident = resident_kib().saturating_sub(before);
        println!(
            "  {entries:>6} entries: {resident:>6} KiB, {:.0} bytes per entry",
            resident as f64 * 1_024.0 / entries as f64
        );
        std::mem::forget(log);
    }
}

fn measure_router() {
    println!("router: memory by targets, all received in one delta");
    for targets in [400, 1_600, 3_300] {
        let machine = build_state(targets, 330, 24);
        let delta = machine.configuration().delta_since(Revision::ZERO);
        let bytes = encode(&delta).len();
        let before = resident_kib();
        let now = Instant::from_millis(1_000);
        let cfg = RouterConfig {
            lease: LeaseTiming::default(),
            layer_costs_us: BTreeMap::new(),
            link_latencies_us: BTreeMap::new(),
            admission: AdmissionConfig::default(),
            seed: 1,
        };
        let mut router = RouterCore::new(cfg, now);
        let started = Clock::now();
        router.apply_grant(LeaseGrant::new(now, Term(1)), now, delta, Vec::new(), 350);
        let first = started.elapsed();
        let started = Clock::now();
        let mut machine = machine;
        for i in 0..100 {
            let at = router.lease().applied();
            let template = chat_template("template-0", 32 + i);
            apply(&mut machine, format!("c{i}"), Change::Template(template));
            let delta = machine.configuration().delta_since(at);
            router.apply_grant(LeaseGrant::new(now, Term(1)), now, delta, Vec::new(), 350);
        }
        let per_change = started.elapsed() / 100;
        let resident = resident_kib().saturating_sub(before);
        println!(
            "  {targets:>5} targets: {resident:>6} KiB, first delta {} KiB in {first:.1?}, each later change {per_change:.1?}",
            bytes / 1_024
        );
        std::mem::forget(router);
    }
}

fn renewal(i: u32, accounts: usize) -> Renewal {
    Renewal {
        holder: holder(i),
        applied: Revision(100),
        admin: address(i),
        demand: (0..accounts)
            .map(|a| (format!("account-{a}").into(), AccountDemand { per_s: 1.5 }))
            .collect(),
        tunnels: None,
        peers_known: PeerListVersion::default(),
        data_centre: "a".into(),
        in_use: Vec::new(),
        use_known: None,
        failing: Vec::new(),
        held_bytes: 0,
        repeats: None,
        limits: LimitReport::default(),
    }
}

fn measure_messages() {
    println!("messages, bytes (before QUIC):");
    for accounts in [0, 4, 8, 330] {
        let request = encode(&ControlRequest::Renew(Box::new(renewal(1, accounts)))).len();
        let shares = (0..accounts)
            .map(|a| (format!("account-{a}").into(), AccountShare { per_s: 1.5 }))
            .collect();
        let grant = Grant {
            lasts: None,
            term: Term(3),
            delta: None,
            shares,
            routers: 350,
            in_use: None,
            replicas: Vec::new(),
            failing: Vec::new(),
            repeats: Vec::new(),
            full: Vec::new(),
            slow: Vec::new(),
            limits: None,
            peers: None,
        };
        let answer = encode(&deckwind_wire::ControlReply::Granted(Box::new(grant))).len();
        println!(
            "  renewal with {accounts:>3} accounts in demand: request {request:>6}, answer {answer:>6}"
        );
    }
    let machine = build_state(1, 1, 1);
    let delta = machine.configuration().delta_since(Revision(2));
    println!("  one changed target in a grant: {}", encode(&delta).len());
    println!(
        "  a claim: {}",
        encode(&ControlRequest::Claim(claim(1))).len()
    );
}

/// Creates the only replica of a cluster on a disk and runs it until it leads.
fn leader(store: Store, opened: deckwind_store::OpenedStore) -> Result<ControlNode> {
    let cfg = ReplicaConfig::new(opened.id, [0], 1);
    let mut node = ControlNode::new(
        cfg,
        LeaseTiming::default(),
        ControlLimits::default(),
        store,
        opened,
        Instant::from_millis(1_000),
    )?;
    for i in 0..400 {
        let now = now(1_000 + i * 10);
        node.process_batch(now, Vec::new(), &mut Vec::new())?;
    }
    Ok(node)
}

fn now(ms: u64) -> Now {
    Now {
        at: Instant::from_millis(ms),
        wall_ms: ms,
    }
}

/// Returns the ID for a new data folder.
fn new_replica_id() -> ReplicaId {
    ReplicaId {
        slot: 0,
        identity: 1,
    }
}

fn measure_renewals() -> Result<()> {
    println!("leader: processor time of renewals, each with demand for 8 accounts");
    for routers in [50u32, 150, 350, 700] {
        let (store, opened) = Store::open(Box::new(MemoryDisk::default()), new_replica_id())?;
        let mut node = leader(store, opened)?;
        let rounds = 20;
        let started = Clock::now();
        for round in 0..rounds {
            let requests = (0..routers).map(|i| ControlEvent::Request {
                token: u64::from(i),
                request: ControlRequest::Renew(Box::new(renewal(i, 8))),
            });
            node.process_batch(
                now(6_000 + round * 400),
                requests.collect(),
                &mut Vec::new(),
            )?;
        }
        let per_renewal = started.elapsed() / (rounds as u32 * routers);
        let core_share = per_renewal.as_secs_f64() * f64::from(routers) / 0.4;
        println!(
            "  {routers:>4} routers: {per_renewal:.2?} per renewal, {:.2}% of a core at one renewal per router every 400 ms",
            core_share * 100.0
        );
    }
    Ok(())
}

fn measure_commits() -> Result<()> {
    println!("leader on this machine's disk: claims by batch size (one sync per batch)");
    for batch in [1u64, 10, 100, 1_000] {
        let folder = tempfile::tempdir()?;
        let (store, opened) =
            Store::open(Box::new(FsDisk::open(folder.path())?), new_replica_id())?;
        let mut node = leader(store, opened)?;
        let syncs = node.store().syncs();
        let batches = 200;
        let started = Clock::now();
        let mut replies = 0;
        for b in 0..batches {
            let events = (0..batch).map(|i| {
                let n = b * batch + i;
                let request = ControlRequest::Claim(claim(n));
                ControlEvent::Request { token: n, request }
            });
            let mut effects = Vec::new();
            node.process_batch(now(6_000 + b), events.collect(), &mut effects)?;
            replies += effects
                .iter()
                .filter(|e| matches!(e, Effect::Reply(..)))
                .count();
        }
        let elapsed = started.elapsed();
        println!(
            "  batch {batch:>4}: {:>8.0} claims/s, {:.2} syncs per batch, {replies} replies",
            replies as f64 / elapsed.as_secs_f64(),
            (node.store().syncs() - syncs) as f64 / batches as f64
        );
    }
    Ok(())
}

fn measure_restarts() -> Result<()> {
    println!("restart: time to open a log by its length (each entry changes one target)");
    for entries in [500u32, 2_000, 4_000] {
        let folder = tempfile::tempdir()?;
        let (store, opened) =
            Store::open(Box::new(FsDisk::open(folder.path())?), new_replica_id())?;
        let mut node = leader(store, opened)?;
        for i in 0..entries {
            let request = Box::new(ApplyRequest {
                request_id: i.to_string().into(),
                expected: None,
                change: Change::Target(engine_target("runner", address(i), 0, 8)),
            });
            let request = deckwind_core::control::OperatorRequest::Apply {
                request,
                wait: Duration::ZERO,
            };
            let event = ControlEvent::Operator {
                token: u64::from(i),
                request,
            };
            node.process_batch(now(6_000), vec![event], &mut Vec::new())?;
        }
        let bytes = node.store().log_bytes();
        drop(node);
        let started = Clock::now();
        let raw = std::fs::read(folder.path().join("log"))?;
        let copy = tempfile::tempdir()?;
        for file in ["log", "identity"] {
            std::fs::copy(folder.path().join(file), copy.path().join(file))?;
        }
        let copied = started.elapsed();
        let started = Clock::now();
        let (_, opened) = Store::open(Box::new(FsDisk::open(copy.path())?), new_replica_id())?;
        println!(
            "  {entries:>5} entries: log {} KiB, opened in {:.1?} ({} entries; copying {} bytes took {copied:.1?})",
            bytes / 1_024,
            started.elapsed(),
            opened.stored.entries.len(),
            raw.len()
        );
    }
    Ok(())
}

fn main() -> Result<()> {
    measure_configuration();
    measure_claims();
    measure_log();
    measure_router();
    measure_messages();
    measure_renewals()?;
    measure_commits()?;
    measure_restarts()?;

    Ok(())
}
