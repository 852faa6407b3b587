//! VMs that are suspended for several seconds and then resume. No timer has advanced in
//! the meantime, so everything that a process knows is older by that time.

use crate::rig::{API_KEY, Rig};
use crate::run_async;
use deckwind_core::membership::{LeaseGrant, LeaseTiming, RouterLeaseState};
use deckwind_core::replication::Term;
use deckwind_core::state::Delta;
use deckwind_fakes::{FakeTargetFault, FakeTargetServer};
use deckwind_testkit::{ControlSimulation, NetFaults, VmTime, eventually_async};
use http::StatusCode;
use std::time::Duration;

/// Duration of a suspension. Longer than every timeout that a guarantee depends on:
/// leases, the time for which a router counts as connected, and the idle timeout of
/// connections.
const SUSPENSION: Duration = Duration::from_secs(8);

#[test]
fn time_goes_on_while_a_vm_is_suspended() {
    let time = VmTime::new();
    let clock = time.clock();
    let before = clock.now();
    time.add_suspension(SUSPENSION);
    assert!(clock.now().since(before) >= SUSPENSION);
    assert!(clock.suspended_time() >= SUSPENSION);
}

/// A timeout that ended during a suspension ends the wait on resume, although its timer
/// has most of its time left.
#[test]
fn a_wait_ends_when_its_time_was_suspended() {
    run_async(async {
        let time = VmTime::new();
        let clock = time.clock();
        let wait = clock.timeout(SUSPENSION, std::future::pending::<()>());
        let resume = async {
            tokio::task::yield_now().await;
            time.add_suspension(SUSPENSION);
        };
        let began = std::time::Instant::now();
        let (ended, ()) = tokio::join!(wait, resume);
        assert_eq!(ended, None);
        assert!(
            began.elapsed() < SUSPENSION / 2,
            "the timer alone would take 8 s"
        );
    });
}

/// A lease starts when it is requested, so a grant that arrives after the VM has resumed
/// doesn't make it live.
#[test]
fn an_answer_to_a_renewal_from_before_is_no_lease() {
    let time = VmTime::new();
    let clock = time.clock();
    let timing = LeaseTiming::default();
    let mut lease = RouterLeaseState::new(timing);
    let requested_at = clock.now();
    lease.apply_grant(LeaseGrant::new(requested_at, Term(1)), Delta::default());
    assert!(lease.is_live(clock.now()));
    time.add_suspension(SUSPENSION);
    assert!(!lease.is_live(clock.now()));
    lease.apply_grant(LeaseGrant::new(requested_at, Term(1)), Delta::default());
    assert!(!lease.is_live(clock.now()));
}

/// The only control replica is stopped, so nothing can renew the lease, which would still
/// be valid by the monotonic clock.
#[test]
fn a_router_that_wakes_sends_nothing_on_its_old_lease() {
    run_async(async {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served("/once/x", false).await;
        rig.cluster.take_control(0).close().await.expect("closed");
        rig.cluster.simulate_router_suspension(0, SUSPENSION);
        let answer = rig.ask("r1", "/once/x", API_KEY, false).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(rig.send_count("r1"), 0);
        rig.cluster.close().await.expect("closed");
    });
}

/// The caller has left during the suspension; the target must not go on for it.
#[test]
fn a_request_whose_time_was_suspended_ends_soon() {
    run_async(async {
        let mut rig = Rig::start(1, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served("/once/x", false).await;
        rig.plain[0].set_fault(FakeTargetFault::NeverAnswers);
        let suspend = async {
            eventually_async("the request has arrived", || async {
                (rig.send_count("r1") > 0).then_some(())
            })
            .await;
            let resumed_at = std::time::Instant::now();
            rig.cluster.simulate_router_suspension(0, SUSPENSION);
            resumed_at
        };
        let request = rig.ask("r1", "/once/x", API_KEY, false);
        let (answer, resumed_at) = tokio::join!(request, suspend);
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
        assert!(
            resumed_at.elapsed() < Duration::from_secs(2),
            "the timer alone would take 3 s"
        );
        rig.cluster.close().await.expect("closed");
    });
}

/// A target has closed a connection that was idle for so long. A request that must run
/// at most once would be lost on it, so suspended time counts as idle time.
#[test]
fn suspended_time_counts_as_idle_time_of_connections() {
    run_async(async {
        let mut rig = Rig::start(1, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served("/safe/x", false).await;
        rig.ask("r1", "/safe/x", API_KEY, false).await;
        let connections = || {
            rig.plain
                .iter()
                .map(FakeTargetServer::connections)
                .sum::<u32>()
        };
        let before = connections();
        rig.ask("r2", "/safe/x", API_KEY, false).await;
        assert_eq!(connections(), before, "the connection is reused");
        rig.cluster.simulate_router_suspension(0, SUSPENSION);
        rig.cluster.wait_for_lease(0).await;
        rig.wait_until_served("/safe/x", false).await;
        assert!(
            connections() > before,
            "the connection was idle for too long"
        );
        rig.cluster.close().await.expect("closed");
    });
}

/// Another replica may lead when a suspended leader resumes: the old leader answers
/// nothing and gives no vote on its outdated state.
#[test]
fn a_leader_that_wakes_answers_nobody() {
    let mut sim = ControlSimulation::new(3, 2, 7, NetFaults::NONE);
    let leader = sim.run_until_leader();
    sim.freeze(leader, true);
    sim.run_for(SUSPENSION);
    let node = sim.node(leader).expect("the replica exists");
    let now = sim.now();
    assert!(!node.core().replica().can_serve_reads(now));
    let other = sim.leader().expect("another replica leads");
    assert_ne!(other, leader);
    sim.freeze(leader, false);
    sim.run_for(Duration::from_secs(2));
    assert!(sim.leader().is_some());
}

/// A lone control replica still has its log after it has resumed, and becomes leader
/// again.
#[test]
fn a_control_replica_that_wakes_leads_again() {
    run_async(async {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_in_force().await;
        rig.cluster.simulate_control_suspension(0, SUSPENSION);
        eventually_async("a release is accepted", || async {
            (rig.publish(2, &[API_KEY]).await == StatusCode::OK).then_some(())
        })
        .await;
        rig.wait_until_served("/safe/x", false).await;
        rig.cluster.close().await.expect("closed");
    });
}
