//! Releases, announced targets, event streams and the retry budget: table-driven unit tests
//! and simulations in virtual time.

use crate::retry_rig::{Control, RESTARTED};
use crate::support::announced_change;
use deckwind_core::routes::{
    EventSplitter, ReleaseIndex, RequestClass, RetryBudgets, RetryLimits, RetrySource,
};
use deckwind_core::state::{
    Command, CommandBody, Configuration, Instance, InstanceChange, InstanceState, KeyHolder,
    LayerRange, Pool, PublishedRelease, Rejection, Release, Reply, Revision, Route, RouteKind,
    RouterProcess, Split, StateMachine,
};
use deckwind_core::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use yare::parameterized;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_string(),
        host: host.to_string(),
        path_prefix: prefix.to_string(),
        kind: RouteKind::Repeatable,
        split: vec![Split {
            pool: "p".to_string(),
            weight: 1.0,
        }],
        timeout_ms: 1_000,
        objective_ms: 100,
        pause_ms: None,
        priority: 1,
        attempts: 2,
        open: false,
    }
}

fn release(version: u64) -> Release {
    let pool = |name: &str| Pool {
        name: name.to_string(),
        max_connections: 10,
        engine: None,
    };
    Release {
        version,
        routes: vec![
            route("root", "h", "/"),
            route("long", "h", "/a/b/"),
            route("short", "h", "/a/"),
        ],
        pools: vec![pool("p"), pool("q")],
        key_holders: Some(vec![KeyHolder {
            account: "one".into(),
            keys: vec![[1; 32]],
            priority: None,
        }]),
        ..Release::default()
    }
}

fn publish(machine: &mut StateMachine, release: Release) -> Reply {
    let document = release.version.to_string().into_bytes();
    let published = PublishedRelease { release, document };
    machine.apply(Command {
        at_ms: 1,
        body: CommandBody::Publish(Box::new(published)),
    })
}

fn index(release: Release) -> ReleaseIndex {
    let mut machine = StateMachine::default();
    publish(&mut machine, release);
    ReleaseIndex::new(machine.configuration()).expect("a release is in force")
}

#[parameterized(
    longest = { "h", "/a/b/c", Some("long") },
    shorter = { "h", "/a/c", Some("short") },
    root = { "h", "/x", Some("root") },
    port_and_case = { "H:8080", "/a/b/", Some("long") },
    other_host = { "i", "/a/", None },
)]
fn the_longest_prefix_of_the_host_is_taken(host: &str, path: &str, want: Option<&str>) {
    let index = index(release(1));
    let found = index.route(host, path).map(|r| r.name.as_str());
    assert_eq!(found, want);
}

#[parameterized(
    known = { Some([1; 32]), false, true },
    unknown = { Some([2; 32]), false, false },
    missing = { None, false, false },
    open_and_missing = { None, true, true },
    open_and_unknown = { Some([2; 32]), true, true },
)]
fn keys_are_asked_for_on_routes_that_are_not_open(
    key: Option<[u8; 32]>,
    open: bool,
    admitted: bool,
) {
    let index = index(release(1));
    let mut route = route("r", "h", "/");
    route.open = open;
    assert_eq!(index.admit(&route, key.as_ref()).is_ok(), admitted);
}

#[test]
fn the_split_follows_the_weights_and_skips_zero_weights() {
    let index = index(release(1));
    let mut route = route("r", "h", "/");
    let split = |pool: &str, weight| Split {
        pool: pool.to_string(),
        weight,
    };
    route.split = vec![split("p", 0.0), split("q", 3.0), split("p", 1.0)];
    let pool = |at| index.pool(&route, at).map(|p| p.name.clone());
    for (at, want) in [(0.0, "q"), (0.74, "q"), (0.76, "p"), (0.999_999, "p")] {
        assert_eq!(pool(at).as_deref(), Some(want), "at {at}");
    }
}

#[test]
fn the_highest_version_holds_and_a_resend_changes_nothing() {
    let mut machine = StateMachine::default();
    let first = publish(&mut machine, release(4));
    assert_eq!(
        first,
        Reply::Accepted {
            revision: Revision(1)
        }
    );
    for again in [release(4), release(3)] {
        assert_eq!(publish(&mut machine, again), first);
    }
    let mut same_number = release(4);
    same_number.routes.clear();
    assert_eq!(publish(&mut machine, same_number), first);
    assert_eq!(machine.configuration().document(), b"4");
    assert_eq!(
        machine.configuration().release().map(|r| r.routes.len()),
        Some(3)
    );
    publish(&mut machine, release(9));
    assert_eq!(machine.configuration().document(), b"9");
}

#[test]
fn a_release_that_contradicts_itself_is_rejected() {
    let mut machine = StateMachine::default();
    let mut bad = release(1);
    bad.routes[1].path_prefix = "/".to_string();
    let reply = publish(&mut machine, bad);
    assert!(matches!(reply, Reply::Rejected(Rejection::Invalid { .. })));
    assert_eq!(machine.configuration().release(), None);
}

#[test]
fn routers_get_the_release_without_its_document() {
    let mut machine = StateMachine::default();
    publish(&mut machine, release(4));
    let mut cfg = Configuration::default();
    cfg.merge(machine.configuration().delta_since(Revision::ZERO));
    assert_eq!(cfg.release(), machine.configuration().release());
    assert!(cfg.document().is_empty());
    // An older delta that arrives late changes nothing.
    let old = machine.configuration().delta_since(Revision::ZERO);
    publish(&mut machine, release(5));
    cfg.merge(machine.configuration().delta_since(cfg.revision()));
    cfg.merge(old);
    assert_eq!(cfg.release().map(|r| r.version), Some(5));
}

fn instance(id: &str, port: u16, state: InstanceState, announced: u64) -> Instance {
    Instance {
        id: id.to_string(),
        pool: "p".to_string(),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: "a".into(),
        slots: 4,
        state,
        accelerator: None,
        layers: LayerRange::default(),
        in_memory: 0,
        announced,
        born: None,
    }
}

fn apply_change(machine: &mut StateMachine, change: InstanceChange) {
    machine.apply(Command {
        at_ms: 1,
        body: CommandBody::Instances(vec![change]),
    });
}

fn state_of(machine: &StateMachine, id: &str) -> Option<InstanceState> {
    machine.configuration().instances().get(id).map(|i| i.state)
}

#[test]
fn a_late_announcement_does_not_bring_a_draining_target_back() {
    let mut machine = StateMachine::default();
    let draining = instance("i", 1, InstanceState::Draining, 7);
    apply_change(
        &mut machine,
        announced_change(instance("i", 1, InstanceState::Ready, 5)),
    );
    apply_change(&mut machine, announced_change(draining));
    apply_change(
        &mut machine,
        announced_change(instance("i", 1, InstanceState::Ready, 6)),
    );
    assert_eq!(state_of(&machine, "i"), Some(InstanceState::Draining));
    // Results of the leader's own orders and probes don't end the drain either.
    apply_change(
        &mut machine,
        InstanceChange::Holds {
            life: "i".into(),
            layers: LayerRange::new(0, 4),
            in_memory: 4,
        },
    );
    apply_change(&mut machine, InstanceChange::Silent("i".into()));
    assert_eq!(state_of(&machine, "i"), Some(InstanceState::Draining));
    apply_change(&mut machine, InstanceChange::Left("i".into()));
    apply_change(
        &mut machine,
        announced_change(instance("i", 1, InstanceState::Ready, 9)),
    );
    assert_eq!(state_of(&machine, "i"), None);
}

#[test]
fn another_target_at_the_same_address_ends_the_previous_one() {
    let mut machine = StateMachine::default();
    apply_change(
        &mut machine,
        announced_change(instance("old", 1, InstanceState::Ready, 5)),
    );
    apply_change(
        &mut machine,
        announced_change(instance("new", 1, InstanceState::Ready, 1)),
    );
    assert_eq!(state_of(&machine, "old"), None);
    assert_eq!(state_of(&machine, "new"), Some(InstanceState::Ready));
    apply_change(
        &mut machine,
        announced_change(instance("old", 1, InstanceState::Ready, 6)),
    );
    assert_eq!(state_of(&machine, "new"), Some(InstanceState::Ready));
}

#[test]
fn a_bounded_number_of_ended_targets_is_kept() {
    let mut machine = StateMachine::default();
    for i in 0..6_000u16 {
        let id = format!("i{i}");
        apply_change(
            &mut machine,
            announced_change(instance(&id, i, InstanceState::Ready, 1)),
        );
        apply_change(&mut machine, InstanceChange::Left(id.into()));
    }
    let since = machine.configuration().delta_since(Revision::ZERO);
    assert!(since.instances.len() <= 4_096, "{}", since.instances.len());
    assert!(machine.configuration().instances().has_left("i5999"));
}

#[parameterized(
    whole = { &["id: 1\nd\n\n"], None, "id: 1\nd\n\n", "" },
    in_pieces = { &["id: 1\n", "d\n", "\nid: 2\nd\n\n"], None, "id: 1\nd\n\nid: 2\nd\n\n", "" },
    cut_inside = { &["id: 1\nd\n\nid: 2\nd"], None, "id: 1\nd\n\n", "id: 2\nd" },
    carriage_returns = { &["id: 1\r\nd\r\n\r\n"], None, "id: 1\r\nd\r\n\r\n", "" },
    seen_before = { &["id: 1\nd\n\nid: 2\ne\n\n"], Some(1), "id: 2\ne\n\n", "" },
    without_id = { &["data: x\n\n"], Some(9), "data: x\n\n", "" },
    carriage_returns_alone = { &["id: 1\rd\r\rid: 2\r"], None, "id: 1\rd\r\r", "id: 2\r" },
    between_carriage_return_and_line_feed = { &["id: 1\r", "\nd\r", "\n\r", "\n"], None, "id: 1\r\nd\r\n\r", "\n" },
    last_id_counts = { &["id: 1\nid: 3\n\nid: 2\n\n"], Some(2), "id: 1\nid: 3\n\n", "" },
    byte_order_mark = { &["\u{feff}id: 1\n\nid: 2\n\n"], Some(1), "id: 2\n\n", "" },
    comment_at_the_end = { &["id: 1\n\n: ping\n"], None, "id: 1\n\n", ": ping\n" },
)]
fn events_are_forwarded_whole(pieces: &[&str], after: Option<u64>, forwarded: &str, rest: &str) {
    let mut cutter = EventSplitter::default();
    let mut out = Vec::new();
    for piece in pieces {
        if let Some(events) = cutter.take(piece.as_bytes(), after) {
            out.extend(events.bytes);
        }
    }
    assert_eq!(String::from_utf8_lossy(&out), forwarded);
    assert!(pieces.concat().ends_with(rest));
    assert_eq!(cutter.open_bytes(), rest.len());
    let is_event = !rest.trim().is_empty() && !rest.starts_with(':');
    assert_eq!(cutter.received().is_open, is_event);
}

/// Guards against an event that is passed on in parts: its target broke off, and another one
/// began it again.
#[test]
fn a_part_of_a_long_event_is_not_passed_on_again() {
    let mut cutter = EventSplitter::default();
    let long = format!("id: 1\ndata: {}", "x".repeat(2 << 20));
    let part = cutter.take(long.as_bytes(), None).expect("a part");
    assert_eq!(part.bytes, long.as_bytes());
    assert_eq!((part.last, part.count), (None, 0));
    assert!(cutter.is_part_passed() && cutter.received().is_open);
    let end = cutter.take(b"\n\n", None).expect("its end");
    assert_eq!((end.bytes.as_slice(), end.last), (&b"\n\n"[..], Some(1)));
    assert!(!cutter.is_part_passed() && !cutter.received().is_open);
}

#[test]
fn however_a_stream_is_cut_into_pieces_its_events_come_out_alike() {
    let stream: String = (1..=30)
        .map(|i| format!("id: {i}\ndata: {i}\n\n"))
        .collect();
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cutter = EventSplitter::default();
        let mut out = Vec::new();
        let mut last = None;
        let mut rest = stream.as_bytes();
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(rng.random_range(1..=rest.len()));
            if let Some(events) = cutter.take(piece, last) {
                out.extend(events.bytes);
                last = events.last.or(last);
            }
            rest = after;
        }
        assert_eq!(String::from_utf8_lossy(&out), stream, "seed {seed}");
        assert_eq!(last, Some(30));
    }
}

fn holder(vm: usize, boot: u64) -> RouterProcess {
    RouterProcess {
        vm: format!("r{vm}").as_str().into(),
        boot,
    }
}

/// Retries of all routers together stay within the bound in every window, also where most
/// requests and failures fall on one router.
#[parameterized(
    even = { 9, 0.0 },
    lopsided = { 9, 0.8 },
    few = { 2, 0.3 },
)]
fn all_routers_together_keep_the_bound_on_retries(routers: u32, to_first: f64) {
    const BEYOND: f64 = 200.0;
    let limits = RetryLimits {
        share: 0.2,
        extra: BEYOND,
        window: Duration::from_secs(10),
    };
    let mut budgets: Vec<_> = (0..routers)
        .map(|_| RetryBudgets::new(limits, RESTARTED))
        .collect();
    let mut control = Control::new(Instant::from_millis(1_000));
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for ms in (0..60_000u64).step_by(5) {
        let now = Instant::from_millis(1_000 + ms);
        let first = rng.random::<f64>() < to_first;
        let i = if first {
            0
        } else {
            rng.random_range(0..routers as usize)
        };
        if ms % 400 == 0 {
            for (i, budgets) in budgets.iter_mut().enumerate() {
                control.request_retries(now, &holder(i, 0), budgets);
            }
        }
        // Bursts: one second of full load, then one second at a tenth of it.
        if ms / 1_000 % 2 == 0 || rng.random::<f64>() < 0.1 {
            budgets[i].of_pool("pool").record_request(now);
            requests.push(ms);
        }
        for _ in 0..2 {
            let budget = budgets[i].of_pool("pool");
            if budget
                .spend(now, RequestClass::Begun, rng.random())
                .is_some()
            {
                retries.push(ms);
            }
        }
    }
    for start in (0..50_000u64).step_by(100) {
        let inside = |list: &[u64]| {
            list.iter()
                .filter(|t| **t >= start && **t < start + 10_000)
                .count()
        };
        let max_retries = 0.2 * inside(&requests) as f64 + BEYOND;
        let sent = inside(&retries) as f64;
        assert!(
            sent <= max_retries,
            "{sent} retries from {start} ms on, {max_retries} allowed"
        );
    }
    assert!(retries.len() > 100, "the bound is made use of");
}

#[test]
fn requests_for_one_pool_earn_no_retries_for_another() {
    let limits = RetryLimits {
        share: 0.5,
        extra: 0.0,
        window: Duration::from_secs(10),
    };
    let mut budgets = RetryBudgets::new(limits, RESTARTED);
    let now = Instant::from_millis(1_000);
    for _ in 0..100 {
        budgets.of_pool("busy").record_request(now);
    }
    let idle = budgets.of_pool("idle").spend(now, RequestClass::Begun, 1);
    assert_eq!(idle, None);
    let busy = budgets.of_pool("busy").spend(now, RequestClass::Begun, 1);
    assert_eq!(busy, Some(RetrySource::Share));
    budgets.retain(|pool| pool == "idle");
    let gone = budgets.of_pool("busy").spend(now, RequestClass::Begun, 1);
    assert_eq!(gone, None, "the budget of a removed pool is discarded");
}

/// Routers that restart one after the other lose their record of sent retries, and fewer of
/// them hold a lease at any time. The bound must hold all the same.
#[test]
fn the_bound_on_retries_holds_while_routers_restart_in_turn() {
    const BEYOND: f64 = 200.0;
    let limits = RetryLimits {
        share: 0.0,
        extra: BEYOND,
        window: Duration::from_secs(10),
    };
    let mut routers: Vec<_> = (0..9)
        .map(|_| (RetryBudgets::new(limits, RESTARTED), 0u64))
        .collect();
    let mut control = Control::new(Instant::from_millis(20_000));
    let mut retries = Vec::new();
    for ms in (0..40_000u64).step_by(10) {
        let now = Instant::from_millis(20_000 + ms);
        // From 5 s on, the routers go down one after the other, each for 3 s.
        let stopped = |i: usize| {
            let from = 5_000 + 1_300 * i as u64;
            (from..from + 3_000).contains(&ms)
        };
        for (i, (budgets, boot)) in routers.iter_mut().enumerate() {
            if stopped(i) {
                (*budgets, *boot) = (RetryBudgets::new(limits, RESTARTED), 1);
                continue;
            }
            budgets.of_pool("pool").record_request(now);
            if ms % 200 == 0 {
                control.request_retries(now, &holder(i, *boot), budgets);
            }
            let budget = budgets.of_pool("pool");
            if budget.spend(now, RequestClass::Begun, ms).is_some() {
                retries.push(ms);
            }
        }
    }
    for start in (0..30_000u64).step_by(100) {
        let inside = retries
            .iter()
            .filter(|t| **t >= start && **t < start + 10_000);
        let sent = inside.count() as f64;
        assert!(sent <= BEYOND, "{sent} retries from {start} ms on");
    }
    assert!(retries.len() > 100, "the bound is made use of");
}
