//! Work of a control replica when routers are lost that had claimed requests.

use deckwind_core::control::{ControlEvent, ControlRequest};
use deckwind_core::state::{ClaimKey, ClaimRequest, ClaimStatus, Outcome, RouterProcess};
use deckwind_testkit::{ControlSimulation, NetFaults};
use std::time::Duration;

/// Number of routers that are lost at the same time, and of claims in progress at each.
const ROUTERS: u64 = 50;
const CLAIMS: u64 = 20;

fn holder(router: u64) -> RouterProcess {
    RouterProcess {
        vm: format!("lost-{router}").as_str().into(),
        boot: router,
    }
}

fn key(router: u64, number: u64) -> ClaimKey {
    ClaimKey {
        account: "account".into(),
        key: format!("{router}-{number}"),
    }
}

fn claim(router: u64, number: u64) -> ControlRequest {
    ControlRequest::Claim(ClaimRequest {
        key: key(router, number),
        holder: holder(router),
        digest: 1,
        nonce: router * CLAIMS + number,
    })
}

/// Guards against leaders that stand still when many routers are lost at once: the loss of each
/// scanned the claims of all.
#[test]
fn the_loss_of_a_router_costs_its_own_claims_only() {
    let mut sim = ControlSimulation::new(3, 0, 1, NetFaults::NONE);
    let leader = sim.run_until_leader();
    let mut token = 1_000_000;
    let mut send = |sim: &mut ControlSimulation, request| {
        token += 1;
        sim.push_event(leader, ControlEvent::Request { token, request });
    };
    for (router, number) in (0..ROUTERS).flat_map(|r| (0..CLAIMS).map(move |n| (r, n))) {
        send(&mut sim, claim(router, number));
    }
    sim.run_for(Duration::from_secs(1));
    (0..ROUTERS).for_each(|r| send(&mut sim, ControlRequest::Release(holder(r))));
    sim.run_for(Duration::from_secs(1));
    let core = sim.node(leader).expect("the leader runs").core();
    let last = core
        .state_machine()
        .claims()
        .get(&key(ROUTERS - 1, CLAIMS - 1));
    let status = last.map(|claim| claim.status.clone());
    assert_eq!(status, Some(ClaimStatus::Ended(Outcome::Unknown)));
    let scanned = core.scan_counts().claims;
    assert_eq!(scanned, ROUTERS * CLAIMS, "rows scanned");
}
