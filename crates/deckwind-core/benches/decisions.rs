//! Time per decision of the router and leader, by size of the fleet.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use deckwind_core::admission::{Admission, AdmissionConfig, Offer, Ticket, TicketId};
use deckwind_core::control::{LimitKey, PermitRequest, ReceivedLimit, TargetLimiter};
use deckwind_core::rate::Rate;
use deckwind_core::replication::Term;
use deckwind_core::routing::{
    ChainRequirements, EstimatedTimePolicy, Fleet, GroupKey, Policy, prefix_hashes,
};
use deckwind_core::state::{
    ApplyRequest, Change, Command, CommandBody, Incarnation, LayerRange, Parameters, Priority,
    StateMachine, Target, TargetKind, TargetStatus, Template, Workload,
};
use deckwind_core::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

const LAYERS: u32 = 32;
/// Numbers of runners for which decisions are measured.
const FLEET_SIZES: [u32; 3] = [40, 400, 3_300];

fn target(i: u32) -> Target {
    let first = i % 4 * 8;
    let [_, a, b, c] = i.to_be_bytes();
    Target {
        name: format!("runner-{i}").into(),
        address: SocketAddr::from(([10, a, b, c], 80)),
        data_centre: "recife-a".into(),
        kind: TargetKind::Engine {
            model: "m".to_string(),
            version: "1".to_string(),
            adapters: Vec::new(),
            layers: LayerRange::new(first, first + 8),
            accelerator: "k".to_string(),
        },
        status: TargetStatus::Active,
        checks_fences: true,
        slots: 16,
    }
}

fn apply(machine: &mut StateMachine, id: &str, change: Change) {
    let request = ApplyRequest {
        request_id: id.into(),
        expected: None,
        change,
    };
    let body = CommandBody::Apply(request);
    black_box(machine.apply(Command { at_ms: 0, body }));
}

fn machine(runners: u32) -> StateMachine {
    let mut machine = StateMachine::default();
    for i in 0..runners {
        apply(&mut machine, &format!("t{i}"), Change::Target(target(i)));
    }
    machine
}

fn need() -> ChainRequirements {
    let blocks: [&[u8]; 4] = [b"system", b"account", b"talk", b"last"];
    ChainRequirements {
        group: GroupKey {
            model: "m".to_string(),
            version: "1".to_string(),
        },
        adapter: None,
        layers: LayerRange::new(0, LAYERS),
        prompt: 256,
        answer: 64,
        prefixes: prefix_hashes(blocks),
        avoid: BTreeSet::new(),
    }
}

/// Measures the choice of a chain, by number of runners.
fn choose_chain(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose a chain");
    for runners in FLEET_SIZES {
        let mut fleet = Fleet::new(BTreeMap::new(), BTreeMap::new());
        fleet.apply(machine(runners).configuration());
        let mut policy = EstimatedTimePolicy::new(1);
        let need = need();
        let now = Instant::from_millis(1_000);
        group.bench_with_input(BenchmarkId::from_parameter(runners), &runners, |b, _| {
            b.iter(|| {
                let stages = policy.choose(&fleet, now, &need).expect("a chain");
                policy.record_dispatch(&need, &stages);
                black_box(stages)
            });
        });
    }
    group.finish();
}

/// Measures admission of a request, by number of requests in the queue.
fn admit(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit, by requests that wait");
    for waiting in [0u64, 100, 1_000] {
        let mut pool = Admission::new(AdmissionConfig::default(), 0);
        let now = Instant::from_millis(1_000);
        let ticket = |i: u64| Ticket {
            id: TicketId(i),
            account: format!("account-{}", i % 330).into(),
            weight: 1,
            priority: Priority::ALL[(i % 4) as usize],
            start_by: now + Duration::from_secs(1_000),
            cost: 1.0,
        };
        (0..waiting).for_each(|i| assert_ne!(pool.offer(now, ticket(i)), Offer::Start));
        pool.set_slots(1);
        let mut next = waiting;
        group.bench_with_input(BenchmarkId::from_parameter(waiting), &waiting, |b, _| {
            b.iter(|| {
                next += 1;
                black_box(pool.offer(now, ticket(next)));
                pool.finished(Priority::Draft, Duration::from_millis(1));
                black_box(pool.next(now))
            });
        });
    }
    group.finish();
}

/// Measures application of a change at the leader and at a router, by number of targets.
fn apply_change(c: &mut Criterion) {
    let mut group = c.benchmark_group("apply a change, by targets");
    for runners in FLEET_SIZES {
        let mut machine = machine(runners);
        let mut next = 0u64;
        let template = Template {
            name: "t".into(),
            workload: Workload::Chat {
                model: "m".to_string(),
                layers: LAYERS,
            },
            parameters: Parameters {
                model_version: Some("1".to_string()),
                ..Parameters::default()
            },
            repeatable: true,
            objective: Default::default(),
            deadline_ms: 1_000,
            serve_stale_ms: 0,
        };
        group.bench_with_input(BenchmarkId::new("leader", runners), &runners, |b, _| {
            b.iter(|| {
                next += 1;
                let change = Change::Template(template.clone());
                apply(&mut machine, &next.to_string(), change);
            });
        });
        let mut fleet = Fleet::new(BTreeMap::new(), BTreeMap::new());
        group.bench_with_input(BenchmarkId::new("router", runners), &runners, |b, _| {
            b.iter(|| fleet.apply(machine.configuration()));
        });
    }
    group.finish();
}

/// Measures permit requests to a leader, by number of limited targets.
fn issue_permits(c: &mut Criterion) {
    let mut group = c.benchmark_group("permits, by limited targets");
    for targets in [1u32, 100, 1_000] {
        let now = Instant::from_millis(1_000);
        let mut limiter = TargetLimiter::new(Term(1));
        let requests: Vec<PermitRequest> = (0..targets).map(permit_request).collect();
        for request in &requests {
            limiter.record_received_limit(now, &request.heard);
        }
        let mut iteration = 0usize;
        group.bench_with_input(BenchmarkId::new("leader", targets), &targets, |b, _| {
            b.iter(|| {
                iteration += 1;
                let now = now + Duration::from_millis(iteration as u64);
                let request = &requests[iteration % requests.len()];
                limiter.record_received_limit(now, &request.heard);
                limiter.permit(now, request)
            });
        });
    }
    group.finish();
}

fn permit_request(i: u32) -> PermitRequest {
    let address = SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 80));
    PermitRequest {
        heard: ReceivedLimit {
            target: LimitKey {
                address,
                life: Incarnation::from(format!("i-{i:010x}").as_str()),
            },
            rate: Rate::from_millis(5_900),
            ago: Duration::from_millis(100),
            permitted: None,
            none_named: None,
        },
        wants: 1,
    }
}

criterion_group!(benches, choose_chain, admit, apply_change, issue_permits);
criterion_main!(benches);
