//! Leaders with much work on a small share of a core: whatever waits for a leader, it must not
//! keep the leader from sending heartbeats, or its followers depose it and its successor
//! inherits the same work. Runs in virtual time in which work takes time.

use crate::quarantine::{content, crash, incarnation};
use deckwind_core::control::{ControlEvent, ControlRequest, OperatorRequest};
use deckwind_core::replication::Timing;
use deckwind_core::state::{
    ClaimKey, ClaimRequest, Instance, InstanceState, PublishedRelease, RouterProcess,
};
use deckwind_testkit::fan_out::{engine, release};
use deckwind_testkit::{ControlSimulation, WorkCosts};
use std::time::Duration;
use yare::parameterized;

/// Number of routers and engines of a large deployment.
const ROUTERS: usize = 195;
const ENGINES: u16 = 218;

/// Number of control replicas.
const REPLICAS: usize = 5;

/// Number of claims that wait at each router: those of a second of its callers' requests.
const CLAIMS_PER_ROUTER: u64 = 32;

/// Interval between two changes of targets, 70 a second.
const CHANGE_INTERVAL: Duration = Duration::from_millis(15);

/// Intervals of a deployment that must recover quickly.
const TIMING: Timing = Timing {
    heartbeat: Duration::from_millis(80),
    election_min: Duration::from_millis(400),
    election_max: Duration::from_millis(800),
    drift_per_mille: 50,
};

/// Longest time that a leader may be silent: half of the shortest election timeout, so that
/// a heartbeat may be lost or late on its way.
const MAX_SILENCE: Duration = Duration::from_millis(200);

/// What waits for the next leader, or goes on while it leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Load {
    /// Every router has a report of crashed runs, and repeats it until it is answered.
    Reports,
    /// Every router sends the claims of its callers again. The entries are committed together.
    Claims,
    /// Targets change 70 times a second, and all routers lack a large release.
    Rounds,
}

/// Costs without those of the evidence on crashes: deriving the list of suspects.
const WITHOUT_SUSPECTS: WorkCosts = WorkCosts {
    suspect_row: 0,
    ..WorkCosts::SMALL_VM
};

fn settled(seed: u64, costs: WorkCosts) -> ControlSimulation {
    let mut sim = ControlSimulation::with_costs(REPLICAS, ROUTERS, seed, TIMING, costs);
    let leader = sim.run_until_leader();
    for number in 0..ENGINES {
        sim.announce(leader, engine(number, 4, 1));
    }
    sim.run_for(Duration::from_secs(3));
    sim
}

/// Has one router report crashes that fill the evidence of three waves of crashes.
fn fill_evidence(sim: &mut ControlSimulation) {
    let name = |run: usize| content(&format!("earlier-{run}"));
    let crashes = (0..1_000).map(|run| crash(name(run), incarnation(&format!("e-{}", run % 37))));
    sim.routers[0].report(crashes.collect());
    sim.run_for(Duration::from_secs(1));
}

/// Has each router report runs that crashed.
fn add_reports(sim: &mut ControlSimulation) {
    for router in 0..ROUTERS {
        let name = |run: usize| content(&format!("router-{router} run-{run}"));
        let crashes = (0..2).map(|run| crash(name(run), incarnation(&format!("f-{run}"))));
        sim.routers[router].report(crashes.collect());
    }
}

/// Has each router send its claims again, at the replicas that it asks: all of them.
fn add_claims(sim: &mut ControlSimulation) {
    let leader = sim.run_until_leader();
    let followers: Vec<usize> = (0..REPLICAS)
        .filter(|slot| *slot != leader && sim.node(*slot).is_some())
        .collect();
    for nonce in 0..ROUTERS as u64 * CLAIMS_PER_ROUTER {
        let slot = followers[nonce as usize % followers.len()];
        let request = ControlRequest::Claim(claim(nonce));
        let token = u64::MAX - nonce;
        sim.push_event(slot, ControlEvent::Request { token, request });
    }
}

fn claim(nonce: u64) -> ClaimRequest {
    let router = nonce % ROUTERS as u64;
    ClaimRequest {
        key: ClaimKey {
            account: "account".into(),
            key: format!("claim-{nonce}"),
        },
        holder: RouterProcess {
            vm: format!("router-{router}").as_str().into(),
            boot: 1,
        },
        digest: 0,
        nonce,
    }
}

fn publish(sim: &mut ControlSimulation, version: u64) {
    let leader = sim.run_until_leader();
    let published = PublishedRelease {
        release: release(version, 1_640),
        document: Vec::new(),
    };
    let request = OperatorRequest::Publish(Box::new(published));
    sim.request(leader, "release", request);
}

/// Announces changed targets for `time`, at whichever replica leads.
fn change_targets(sim: &mut ControlSimulation, time: Duration) {
    let changes = (time.as_micros() / CHANGE_INTERVAL.as_micros()) as u64;
    for change in 0..changes {
        if let Some(leader) = sim.leader() {
            let number = (change % u64::from(ENGINES)) as u16;
            sim.announce(leader, drained(number, change + 2));
        }
        sim.run_for(CHANGE_INTERVAL);
    }
}

/// Returns an engine that starts or ends a drain, which routers must know at once.
fn drained(number: u16, announced: u64) -> Instance {
    let state = match announced / u64::from(ENGINES) % 2 {
        0 => InstanceState::Draining,
        _ => InstanceState::Ready,
    };
    Instance {
        state,
        ..engine(number, 4, announced)
    }
}

/// The leader is killed while work waits for its successor: that one must stay in office,
/// whatever the work is, and do it.
#[parameterized(
    reports = { 1, Load::Reports, WorkCosts::SMALL_VM },
    cheap_reports = { 2, Load::Reports, WITHOUT_SUSPECTS },
    claims = { 3, Load::Claims, WITHOUT_SUSPECTS },
    rounds = { 4, Load::Rounds, WITHOUT_SUSPECTS },
)]
fn a_leader_with_much_to_do_stays_in_office(seed: u64, load: Load, costs: WorkCosts) {
    let mut sim = settled(seed, costs);
    match load {
        Load::Reports => {
            fill_evidence(&mut sim);
            add_reports(&mut sim);
        }
        Load::Claims => {}
        Load::Rounds => {
            publish(&mut sim, 1);
            change_targets(&mut sim, Duration::from_secs(2));
            publish(&mut sim, 2);
        }
    }
    let killed = sim.run_until_leader();
    let before = sim.elections();
    sim.take_longest_silence();
    sim.crash(killed, 0);
    match load {
        Load::Reports => {}
        Load::Claims => add_claims(&mut sim),
        Load::Rounds => change_targets(&mut sim, Duration::from_secs(6)),
    }
    sim.run_for(Duration::from_secs(6));
    let silence = sim.take_longest_silence();
    let elected = sim.elections() - before;
    assert_eq!(
        elected, 1,
        "leaders elected after the kill, one silent for {silence:?}"
    );
    assert!(
        silence <= MAX_SILENCE,
        "a leader was silent for {silence:?}"
    );
    assert!(sim.leader().is_some(), "the new leader may answer");
    let now = sim.now();
    let without = sim.routers.iter().filter(|r| !r.serves(now)).count();
    assert_eq!(without, 0, "routers without a lease");
    let waiting = sim.routers.iter().filter(|r| r.has_report()).count();
    assert_eq!(waiting, 0, "routers with an unanswered report");
}
