//! Routers that lose the network path to targets while callers, control replicas and other
//! routers still reach them.

use crate::rig::{API_KEY, CallerAnswer, ONCE, REPEATABLE, RequestKind, Rig, STREAMS};
use crate::run_async;
use deckwind_testkit::{Layout, LinkFault, eventually_async};
use http::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use yare::parameterized;

const ROUTERS: usize = 4;

/// Time after which a router that lost a network path must serve its callers.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Requests of each kind that are sent to each router.
const REQUESTS: usize = 20;

const KINDS: [RequestKind; 3] = [STREAMS, REPEATABLE, ONCE];

fn request_id(round: &str, router: usize, n: usize, kind: RequestKind) -> String {
    format!("{round}-{router}-{n}-{}", kind.path)
}

/// First tries at a group of routers.
#[derive(Clone, Copy, Debug, Default)]
struct Tries {
    served: usize,
    all: usize,
}

impl Tries {
    fn record(&mut self, answer: &CallerAnswer) {
        let is_served = answer.status == StatusCode::OK && answer.body.is_ok();
        self.served += usize::from(is_served);
        self.all += 1;
    }

    fn rate(&self) -> f64 {
        self.served as f64 / self.all as f64
    }
}

/// Starts four routers in two data centres and targets of all kinds, and waits until every
/// router has served requests of all kinds.
async fn start() -> Rig {
    let mut layout = Layout::new(1, ROUTERS).expect("a layout");
    layout.data_centres = vec!["recife-a", "fortaleza"];
    let rig = Rig::start_placed(layout, 2, 4).await;
    for router in 0..ROUTERS {
        for kind in KINDS {
            let id = format!("warm-up-{router}-{}", kind.path);
            let answer = rig.ask_router(router, &id, kind.path, API_KEY, kind.tokens, None);
            assert_eq!(answer.await.status, StatusCode::OK, "{id}");
        }
    }
    rig
}

/// Sends requests to all routers, one of each kind at a time. Returns the first tries at the
/// routers in `cut` and at the others.
async fn try_all(rig: &Arc<Rig>, round: &'static str, cut: &[usize]) -> (Tries, Tries) {
    let (mut at_cut, mut at_others) = (Tries::default(), Tries::default());
    for n in 0..REQUESTS {
        let mut tasks = JoinSet::new();
        for (router, kind) in (0..ROUTERS).flat_map(|r| KINDS.map(|kind| (r, kind))) {
            let rig = rig.clone();
            tasks.spawn(async move {
                let id = request_id(round, router, n, kind);
                let asking = rig.ask_router(router, &id, kind.path, API_KEY, kind.tokens, None);
                (router, asking.await)
            });
        }
        while let Some(done) = tasks.join_next().await {
            let (router, answer) = done.expect("no panic");
            match cut.contains(&router) {
                true => at_cut.record(&answer),
                false => at_others.record(&answer),
            }
        }
    }
    (at_cut, at_others)
}

/// Guards against routers that refuse requests because they have lost their own path to
/// the targets, while other routers reach them.
#[parameterized(
    one_silent = { LinkFault::Silent, &[0] },
    most_silent = { LinkFault::Silent, &[0, 1, 2] },
    data_centre_silent = { LinkFault::Silent, &[0, 2] },
    most_reset = { LinkFault::Reset, &[0, 1, 2] },
    most_refuse_new = { LinkFault::RefusesNew, &[0, 1, 2] },
)]
fn routers_without_a_path_to_targets_serve_their_callers(fault: LinkFault, cut: &[usize]) {
    run_async(async move {
        let rig = Arc::new(start().await);
        for router in cut {
            rig.cluster.router_links(*router).cut(fault);
        }
        // Requests of this time teach the routers which paths are lost.
        try_all(&rig, "early", cut).await;
        tokio::time::sleep(RECOVERY_TIME).await;
        let (at_cut, at_others) = try_all(&rig, "later", cut).await;
        let failed = at_cut.all - at_cut.served;
        assert!(
            at_cut.rate() >= at_others.rate() * 2.0 / 3.0,
            "{at_cut:?} {at_others:?}"
        );
        assert!(failed <= 10 + at_cut.all / 50, "{at_cut:?}");
        for round in ["early", "later"] {
            for (router, n) in (0..ROUTERS).flat_map(|r| (0..REQUESTS).map(move |n| (r, n))) {
                let id = request_id(round, router, n, ONCE);
                assert!(rig.send_count(&id) <= 1, "{id} was sent again");
            }
        }
    });
}

/// Returns the targets that a router takes for dead.
fn down_targets(rig: &Rig, router: usize) -> Vec<SocketAddr> {
    let router = rig.cluster.router(router).router().expect("a router");
    let shared = router.shared();
    let records = shared.routes.target_records();
    records.down_targets(shared.clock.now())
}

/// Guards against targets that all routers avoid because some router has lost its own path
/// to them.
#[parameterized(silent = { LinkFault::Silent }, refuses_new = { LinkFault::RefusesNew })]
fn a_router_without_a_path_does_not_report_targets_as_dead(fault: LinkFault) {
    run_async(async move {
        let rig = Arc::new(start().await);
        let cut = [0, 1];
        for router in cut {
            rig.cluster.router_links(router).cut(fault);
        }
        try_all(&rig, "early", &cut).await;
        let (at_cut, at_others) = try_all(&rig, "later", &cut).await;
        assert_eq!(at_others.served, at_others.all, "{at_cut:?}");
        for router in 0..ROUTERS {
            assert_eq!(down_targets(&rig, router), [], "router {router}");
        }
    });
}

/// Guards against a mend that needs a router to lose all targets: here it loses one pool.
#[test]
fn a_router_without_a_path_to_one_pool_serves_all_requests() {
    run_async(async {
        let rig = Arc::new(start().await);
        let plain = rig.plain.iter().map(|t| t.address);
        rig.cluster.router_links(0).cut_to(LinkFault::Silent, plain);
        let (at_cut, at_others) = try_all(&rig, "early", &[0]).await;
        assert!(at_cut.all - at_cut.served <= 2, "{at_cut:?} {at_others:?}");
        let (at_cut, _) = try_all(&rig, "later", &[0]).await;
        assert_eq!(at_cut.served, at_cut.all);
    });
}

/// Guards against a router that goes on through others after its own paths have healed:
/// here the others lose theirs.
#[test]
fn a_router_whose_paths_heal_connects_directly_again() {
    run_async(async {
        let rig = Arc::new(start().await);
        rig.cluster.router_links(0).cut(LinkFault::Silent);
        try_all(&rig, "cut", &[0]).await;
        rig.cluster.router_links(0).heal();
        tokio::time::sleep(RECOVERY_TIME).await;
        try_all(&rig, "healed", &[0]).await;
        for router in 1..ROUTERS {
            rig.cluster.router_links(router).cut(LinkFault::Silent);
        }
        tokio::time::sleep(RECOVERY_TIME).await;
        let (at_healed, at_cut) = try_all(&rig, "swapped", &[0]).await;
        assert_eq!(at_healed.served, at_healed.all);
        assert!(
            at_cut.all - at_cut.served <= 10 + at_cut.all / 50,
            "{at_cut:?}"
        );
    });
}

/// Guards against rules that a router keeps only while it reaches its targets: revoked keys
/// and draining targets.
#[test]
fn a_router_without_a_path_keeps_to_the_configuration() {
    run_async(async {
        let mut rig = start().await;
        rig.cluster.router_links(0).cut(LinkFault::Silent);
        rig.wait_until_served(ONCE.path, ONCE.tokens).await;
        rig.announce("plain", "p", 0, "draining").await;
        let before = rig.plain[0].arrivals().len();
        for n in 0..REQUESTS {
            let id = format!("drained-{n}");
            let answer = rig.ask(&id, ONCE.path, API_KEY, ONCE.tokens).await;
            assert_eq!(answer.status, StatusCode::OK, "{id}");
        }
        assert_eq!(rig.plain[0].arrivals().len(), before);
        assert_eq!(rig.publish(2, &["another-key"]).await, StatusCode::OK);
        eventually_async("the key is refused", || async {
            let answer = rig.ask("revoked", ONCE.path, API_KEY, ONCE.tokens).await;
            (answer.status == StatusCode::UNAUTHORIZED).then_some(())
        })
        .await;
        let answer = rig.ask("kept", ONCE.path, "another-key", ONCE.tokens).await;
        assert_eq!(answer.status, StatusCode::OK);
    });
}

/// Guards against a sound target that falls silent for a second and is given up: requests
/// that wait there are neither broken off nor sent again, and it is not taken for dead.
#[test]
fn a_target_that_falls_silent_for_a_second_serves_on() {
    run_async(async {
        let rig = Arc::new(start().await);
        rig.plain[0].pause(Duration::from_millis(1_200));
        let (served, _) = try_all(&rig, "silent", &[0, 1, 2, 3]).await;
        assert_eq!(served.served, served.all);
        for n in 0..REQUESTS {
            for router in 0..ROUTERS {
                let id = request_id("silent", router, n, ONCE);
                assert_eq!(rig.send_count(&id), 1, "{id}");
            }
        }
        for router in 0..ROUTERS {
            assert_eq!(down_targets(&rig, router), [], "router {router}");
        }
    });
}
