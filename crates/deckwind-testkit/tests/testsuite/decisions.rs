//! Table-driven tests of admission, limits, retries, leases, fences, health and
//! burn alerts over virtual time.

use deckwind_core::admission::{
    AccountLimiter, Admission, AdmissionConfig, AdmissionRefusal, Offer, Refused, RetryBudget,
    RetryPolicy, Ticket, TicketId,
};
use deckwind_core::burn::{Alert, BurnMeter};
use deckwind_core::membership::{
    AccountDemand, LeaseGrant, LeaseTiming, RouterLeaseState, ServeDecision, account_share,
};
use deckwind_core::replication::{Fence, FenceIssuer, FenceSupport, Term};
use deckwind_core::routing::{BoundTarget, Health, HealthState, hardware_bound};
use deckwind_core::state::{Configuration, Delta, LayerRange, Priority};
use deckwind_core::time::Instant;
use deckwind_testkit::{chat_template, service_template};
use std::time::Duration;
use yare::parameterized;

fn at(ms: u64) -> Instant {
    Instant::from_millis(10_000 + ms)
}

fn ticket(id: u64, account: &str, priority: Priority, start_by: Instant) -> Ticket {
    Ticket {
        id: TicketId(id),
        account: account.into(),
        weight: 1,
        priority,
        start_by,
        cost: 1.0,
    }
}

#[test]
fn gates_go_before_rosters_before_drafts_before_summaries() {
    let mut pool = Admission::new(AdmissionConfig::default(), 1);
    let far_deadline = at(60_000);
    assert_eq!(
        pool.offer(at(0), ticket(0, "a", Priority::Draft, far_deadline)),
        Offer::Start
    );
    for (id, p) in Priority::ALL.iter().rev().enumerate() {
        assert_eq!(
            pool.offer(at(0), ticket(id as u64 + 1, "a", *p, far_deadline)),
            Offer::Queued
        );
    }
    let mut order = Vec::new();
    for i in 0..4 {
        pool.finished(Priority::Roster, Duration::from_millis(1));
        order.push(pool.next(at(i)).unwrap().priority);
    }
    assert_eq!(order, Priority::ALL);
}

#[test]
fn a_large_account_does_not_starve_a_small_one() {
    let mut pool = Admission::new(AdmissionConfig::default(), 1);
    let far_deadline = at(60_000);
    pool.offer(at(0), ticket(0, "large", Priority::Roster, far_deadline));
    for id in 1..=100 {
        pool.offer(at(0), ticket(id, "large", Priority::Roster, far_deadline));
    }
    pool.offer(at(0), ticket(999, "small", Priority::Roster, far_deadline));
    pool.finished(Priority::Roster, Duration::from_millis(1));
    pool.next(at(1));
    pool.finished(Priority::Roster, Duration::from_millis(1));
    let second = pool.next(at(2)).unwrap();
    assert_eq!(second.id, TicketId(999));
}

#[test]
fn requests_that_cannot_start_in_time_are_refused_at_once_with_a_retry_after() {
    let mut pool = Admission::new(AdmissionConfig::default(), 1);
    pool.offer(at(0), ticket(0, "a", Priority::Roster, at(60_000)));
    for i in 1..=20 {
        pool.offer(at(0), ticket(i, "a", Priority::Roster, at(60_000)));
        pool.finished(Priority::Roster, Duration::from_millis(500));
        pool.next(at(i * 500));
    }
    let now = at(10_000);
    for i in 100..110 {
        assert_eq!(
            pool.offer(now, ticket(i, "a", Priority::Roster, at(60_000))),
            Offer::Queued
        );
    }
    let offer = pool.offer(now, ticket(200, "a", Priority::Roster, at(11_000)));
    let Offer::Refused(refused) = offer else {
        panic!("{offer:?}");
    };
    assert_eq!(refused.reason, AdmissionRefusal::Deadline);
    assert!(refused.retry_after >= Duration::from_secs(4), "{refused:?}");
}

#[test]
fn a_queued_request_overtaken_by_gates_is_refused_at_once() {
    let mut pool = Admission::new(AdmissionConfig::default(), 1);
    pool.offer(at(0), ticket(0, "a", Priority::Gate, at(90_000)));
    for i in 1..=3 {
        pool.offer(at(0), ticket(i, "a", Priority::Gate, at(90_000)));
        pool.finished(Priority::Gate, Duration::from_millis(500));
        pool.next(at(i * 500));
    }
    pool.offer(at(1_500), ticket(50, "a", Priority::Summary, at(4_000)));
    assert!(pool.expire(at(1_500)).is_empty());
    for i in 60..70 {
        pool.offer(at(1_500), ticket(i, "a", Priority::Gate, at(90_000)));
    }
    let expired = pool.expire(at(1_500));
    let ids: Vec<TicketId> = expired.iter().map(|(t, _)| t.id).collect();
    assert_eq!(ids, [TicketId(50)]);
}

#[test]
fn the_queue_is_bounded() {
    let mut pool = Admission::new(AdmissionConfig { max_queued: 2 }, 0);
    let far_deadline = at(60_000);
    pool.offer(at(0), ticket(1, "a", Priority::Gate, far_deadline));
    pool.offer(at(0), ticket(2, "a", Priority::Gate, far_deadline));
    let third = pool.offer(at(0), ticket(3, "a", Priority::Gate, far_deadline));
    let refused = Refused {
        reason: AdmissionRefusal::QueueFull,
        retry_after: Duration::from_secs(1),
    };
    assert_eq!(third, Offer::Refused(refused));
}

/// Nine routers with equal or unequal demand keep an account's limit together; when
/// one leaves, the others take over its share.
#[parameterized(
    even = { [50.0; 9], 9 },
    uneven = { [400.0, 100.0, 50.0, 20.0, 10.0, 5.0, 5.0, 5.0, 5.0], 9 },
    one_alone = { [500.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0], 9 },
    one_gone = { [400.0, 100.0, 50.0, 20.0, 10.0, 5.0, 5.0, 5.0, 0.0], 8 },
)]
fn shares_hold_an_accounts_limit_within_a_tenth(demand: [f64; 9], routers: u32) {
    const LIMIT: f64 = 200.0;
    const SECONDS: u64 = 20;
    let total: f64 = demand.iter().sum();
    let mut admitted = 0;
    for per_s in demand.into_iter().take(routers as usize) {
        let share = account_share(LIMIT, AccountDemand { per_s }, total, routers);
        let mut limiter = AccountLimiter::default();
        limiter.set_rate(at(0), &"a".into(), share.per_s);
        let requests = (per_s * SECONDS as f64) as u64;
        for i in 0..requests {
            let now = at(i * SECONDS * 1_000 / requests);
            admitted += u64::from(limiter.take(now, &"a".into()).is_ok());
        }
    }
    let rate = admitted as f64 / SECONDS as f64;
    assert!(
        (rate - LIMIT).abs() <= LIMIT * 0.1,
        "{rate} requests per second"
    );
}

#[test]
fn demand_is_reported_as_requested_not_as_admitted() {
    let mut limiter = AccountLimiter::default();
    limiter.set_rate(at(0), &"a".into(), 1.0);
    for i in 0..100 {
        let _ = limiter.take(at(i * 10), &"a".into());
    }
    let demand = limiter.report_demand(at(1_000), 8);
    assert_eq!(demand, [("a".into(), AccountDemand { per_s: 100.0 })]);
}

#[test]
fn renewals_report_a_few_accounts_at_a_time_and_all_in_turn() {
    let mut limiter = AccountLimiter::default();
    let names: Vec<_> = (0..5).map(|i| format!("a{i}").into()).collect();
    for name in &names {
        limiter.set_rate(at(0), name, 100.0);
        let _ = limiter.take(at(500), name);
    }
    let mut reported: Vec<_> = [1_000, 1_400, 1_800]
        .into_iter()
        .flat_map(|ms| limiter.report_demand(at(ms), 2))
        .map(|(name, _)| name)
        .collect();
    reported.sort();
    reported.dedup();
    assert_eq!(reported, names);
}

#[parameterized(
    repeatable = { 1, true, false, 1, true },
    certainly_not_run = { 1, false, true, 1, true },
    may_have_run = { 1, false, false, 1, false },
    too_often = { 3, true, true, 1, false },
    too_late = { 1, true, true, 0, false },
)]
fn only_safe_requests_are_retried(
    tries: u32,
    repeatable: bool,
    not_run: bool,
    time_left_s: u64,
    allowed: bool,
) {
    let time_left = Duration::from_secs(time_left_s);
    assert_eq!(
        RetryPolicy::default().allows(tries, repeatable, not_run, time_left),
        allowed
    );
}

#[test]
fn retries_are_a_tenth_of_the_successes() {
    let mut budget = RetryBudget::new(at(0));
    assert!(budget.spend(at(0)));
    assert!(!budget.spend(at(0)));
    (0..100).for_each(|_| budget.record_success());
    let spent = (0..100).filter(|_| budget.spend(at(0))).count();
    assert_eq!(spent, 10);
}

/// Half of the targets fail every try, and each call may be tried three times: the
/// retry budget keeps the total number of tries within 1.125 times the calls.
#[test]
fn no_storm_when_half_of_the_targets_fail() {
    const CALLS: u32 = 10_000;
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::new(at(0));
    let mut tries = 0;
    for call in 0..CALLS {
        let now = at(u64::from(call));
        for attempt in 1..=policy.max_tries {
            tries += 1;
            let fails = (call + attempt).is_multiple_of(2);
            if !fails {
                budget.record_success();
                break;
            }
            let time_left = Duration::from_secs(1);
            if !policy.allows(attempt, true, false, time_left) || !budget.spend(now) {
                break;
            }
        }
    }
    assert!(
        tries <= CALLS + CALLS / 8,
        "{tries} tries for {CALLS} calls"
    );
}

#[parameterized(
    live = { 1_999, true, ServeDecision::Serve },
    stale = { 2_500, true, ServeDecision::ServeStale },
    too_stale = { 3_001, true, ServeDecision::Refuse },
    not_repeatable = { 2_001, false, ServeDecision::Refuse },
)]
fn after_the_lease_only_templates_that_allow_stale_state_are_served(
    ms: u64,
    repeatable: bool,
    expected: ServeDecision,
) {
    let mut lease = RouterLeaseState::new(LeaseTiming::default());
    assert!(lease.apply_grant(LeaseGrant::new(at(0), Term(1)), Delta::default()));
    let mut template = service_template("cap", repeatable);
    template.serve_stale_ms = 1_000;
    assert_eq!(lease.serve_decision(at(ms), &template), expected);
}

#[test]
fn a_deposed_leaders_grant_is_dropped() {
    let mut lease = RouterLeaseState::new(LeaseTiming::default());
    assert!(lease.apply_grant(LeaseGrant::new(at(0), Term(2)), Delta::default()));
    assert!(!lease.apply_grant(LeaseGrant::new(at(5_000), Term(1)), Delta::default()));
    assert!(!lease.is_live(at(3_000)));
}

#[test]
fn a_router_that_never_had_a_lease_serves_nothing() {
    let lease = RouterLeaseState::new(LeaseTiming::default());
    let mut template = chat_template("t", 4);
    template.serve_stale_ms = 1_000_000_000;
    assert_eq!(
        lease.serve_decision(at(0), &template),
        ServeDecision::Refuse
    );
    assert_eq!(*lease.configuration(), Configuration::default());
}

#[parameterized(
    checks_in_lease = { FenceSupport::Checks, 100, Some(500), true },
    checks_after_lease = { FenceSupport::Checks, 600, Some(500), false },
    no_lease = { FenceSupport::Checks, 100, None, false },
    unchecked_too_new = { FenceSupport::DoesNotCheck, 100, Some(5_000), false },
    unchecked_in_time = { FenceSupport::DoesNotCheck, 300, Some(5_000), true },
    unchecked_near_the_end = { FenceSupport::DoesNotCheck, 400, Some(500), false },
)]
fn orders_are_issued_only_while_no_other_leader_can_issue_any(
    check: FenceSupport,
    now_ms: u64,
    until_ms: Option<u64>,
    allowed: bool,
) {
    let mut issuer = FenceIssuer::new(Term(3), at(0), Duration::from_millis(200));
    let fence = issuer.issue(at(now_ms), until_ms.map(at), check);
    let expected = Fence {
        term: Term(3),
        sequence: 1,
    };
    assert_eq!(fence, allowed.then_some(expected));
}

#[test]
fn a_target_that_completes_nothing_loses_new_work_and_earns_it_back() {
    let mut health = Health::default();
    health.record_dispatch(at(0));
    assert_eq!(health.state(at(400)), HealthState::Usable);
    assert_eq!(health.state(at(600)), HealthState::Suspended);
    health.record_failure(at(600));
    assert_eq!(health.state(at(700)), HealthState::Suspended);
    health.record_finish(at(700));
    assert_eq!(health.state(at(1_200)), HealthState::Trial);
    health.record_dispatch(at(1_200));
    assert_eq!(health.state(at(1_200)), HealthState::Suspended);
    health.record_step_time(at(1_201), 1.0, 1.0);
    assert_eq!(health.state(at(1_201)), HealthState::Usable);
    assert_eq!(health.weight(at(1_201)), 0.125);
    for _ in 0..24 {
        health.record_step_time(at(1_202), 1.0, 1.0);
    }
    assert_eq!(health.weight(at(1_202)), 1.0);
}

#[test]
fn a_target_that_gets_slower_loses_weight_step_by_step() {
    let mut health = Health::default();
    let mut weights = Vec::new();
    for _ in 0..3 {
        (0..8).for_each(|_| health.record_step_time(at(0), 50.0, 10.0));
        weights.push(health.weight(at(0)));
    }
    assert_eq!(weights, [0.5, 0.25, 0.125]);
}

#[test]
fn burn_alerts_need_a_long_and_a_short_window() {
    let mut cfg = Configuration::default();
    let template = service_template("gates", true);
    cfg.merge(Delta {
        to: deckwind_core::state::Revision(1),
        templates: vec![(
            "gates".into(),
            deckwind_core::state::Versioned {
                revision: deckwind_core::state::Revision(1),
                value: Some(template),
            },
        )],
        ..Delta::default()
    });
    let mut meter = BurnMeter::default();
    let hour = |h: u64| at(h * 3_600_000);
    for i in 0..1_000u64 {
        meter.record(
            hour(1) + Duration::from_millis(i),
            &"gates".into(),
            &"a".into(),
            i % 4 != 0,
        );
    }
    let report = meter.report(hour(1) + Duration::from_secs(2), &cfg);
    assert_eq!(report.rows[0].alert(), Alert::Page);
    assert!((report.rows[0].windows[0].burn - 25.0).abs() < 0.01);
    let later = meter.report(hour(1) + Duration::from_secs(600), &cfg);
    assert_eq!(later.rows[0].alert(), Alert::Ticket);
    let much_later = meter.report(hour(9), &cfg);
    assert_eq!(much_later.rows[0].alert(), Alert::Ok);
}

/// Checks the bound for fleets small enough to compute it by hand.
#[parameterized(
    one = { vec![(0, 10, 100.0)], 10, 1_000.0 },
    two_alike = { vec![(0, 10, 100.0), (0, 10, 100.0)], 10, 2_000.0 },
    two_halves = { vec![(0, 5, 100.0), (5, 10, 100.0)], 10, 2_000.0 },
    mixed_speeds = { vec![(0, 5, 100.0), (5, 10, 50.0)], 10, 2_000.0 },
    overlap_helps = { vec![(0, 5, 100.0), (0, 10, 50.0)], 10, 3_000.0 },
    a_gap = { vec![(0, 4, 100.0), (5, 10, 100.0)], 10, 0.0 },
)]
fn the_hardware_bound_is_the_least_served_layers(
    targets: Vec<(u32, u32, f64)>,
    layers: u32,
    expected: f64,
) {
    let targets: Vec<BoundTarget> = targets
        .into_iter()
        .map(|(first, last, layer_us)| BoundTarget {
            layers: LayerRange::new(first, last),
            layer_us,
        })
        .collect();
    let bound = hardware_bound(&targets, layers);
    assert!((bound - expected).abs() <= expected * 0.001, "{bound}");
}
