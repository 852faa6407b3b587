//! Targets that name the requests a second that they take from all VMs together.
//!
//! **What was seen.** Two of three first engines named limits of 5.9 and 5.5 requests a
//! second in their answers. Nine routers went on as before: 57 and 66 requests came in
//! the 4 s after they had been told, 14 a second in all, for as long as the limits stood.
//! Nothing was refused, and callers noticed nothing: the engines were in need.

use crate::rig::{KEY, Rig};
use crate::run;
use deckwind_fakes::FakeRunner;
use deckwind_testkit::Layout;
use deckwind_testkit::soak::{Spans, check_limits, id_at};
use std::time::Duration;
use yare::parameterized;

const ROUTERS: usize = 3;

/// Limit that targets name, requests a second.
const LIMIT: &str = "1";

/// Requests by which each router is told: each target is drawn several times.
const TOLD_BY: usize = 8;

/// Requests that each router is asked for then, as fast as they are answered.
const ASKED: usize = 30;

/// What was under way when a target spoke has arrived.
const UNDER_WAY: Duration = Duration::from_millis(500);

async fn rig(plain: usize, engines: usize) -> Rig {
    let mut layout = Layout::new(1, ROUTERS).expect("a layout");
    layout.repeats = (1.0, 200);
    let rig = Rig::start_placed(layout, plain, engines).await;
    for router in 0..ROUTERS {
        rig.cluster.wait_for_lease(router).await;
    }
    rig
}

fn targets(rig: &Rig) -> impl Iterator<Item = &FakeRunner> {
    rig.plain.iter().chain(&rig.engines)
}

/// Asks all routers so often, one request at each at a time.
async fn ask_all(rig: &Rig, name: &str, count: usize, path: &str, tokens: bool) {
    for i in 0..count {
        let ask = |router: usize| {
            let id = id_at(&format!("{name}-{i}"), router);
            async move { rig.ask_at(router, &id, path, KEY, tokens, None).await }
        };
        tokio::join!(ask(0), ask(1), ask(2));
    }
}

/// Streams over engines that hand on, and what one target serves alone.
#[parameterized(
    streams = { "/stream/x", true, 0, 4 },
    repeatable = { "/safe/x", false, 2, 0 },
    at_most_once = { "/once/x", false, 2, 0 },
    not_resumable = { "/tell/x", true, 2, 0 },
)]
fn all_routers_together_keep_to_a_limit(path: &str, tokens: bool, plain: usize, engines: usize) {
    let path = path.to_string();
    run(async move {
        let rig = rig(plain, engines).await;
        rig.until_served(&path, tokens).await;
        targets(&rig).for_each(|t| t.name_limit(Some(LIMIT)));
        ask_all(&rig, "told", TOLD_BY, &path, tokens).await;
        tokio::time::sleep(UNDER_WAY).await;
        ask_all(&rig, "r", ASKED, &path, tokens).await;
        let undisturbed: Vec<Spans> = (0..ROUTERS).map(|_| Spans::default()).collect();
        for target in targets(&rig) {
            let checked = check_limits(&target.arrivals(), &undisturbed, &Spans::default());
            assert!(checked.is_ok(), "{:#}", checked.unwrap_err());
        }
        rig.cluster.close().await.expect("closed");
    });
}
