//! Targets that ask to be left alone, and targets that say that they leave.
//!
//! **What was seen.** An engine turned all requests away for 9 s and asked each VM, with
//! each refusal, for 3 s of rest. Three VMs sent it 36 requests in that time, up to 5 in
//! one such rest. Later all first engines did so at once, and were sent up to 87 requests
//! a second.
//!
//! **How it came about.** A router that is refused avoids the target for 300 ms of its
//! own choosing, then sends to it again. As the engine's streams end and none begins, it
//! looks the emptiest of all, and is drawn the more.
//!
//! **Cause.** What a target says of itself was looked at for the request at hand, or not
//! at all: nobody read for how long it wants to be left alone, nor that it leaves, so
//! neither could outlast the request that heard it.
//!
//! **What proved it.** The lines of the refusals, a rest of 3,000 ms beside an avoidance of
//! 300 ms (`event=target_asks_rest`, `event=target_refused`), 0.3 to 0.5 s apart; and
//! the tests below.

use crate::rig::{KEY, Kind, NOT_RESUMABLE, ONCE, REPEATABLE, Rig, STREAMS};
use crate::run;
use deckwind_fakes::{FakeRunner, RunnerFault};
use deckwind_testkit::{Layout, eventually_async};
use http::StatusCode;
use std::time::Duration;
use yare::parameterized;

/// Longer than any avoidance of the router's own choosing, shorter than its lease.
const A_WHILE: Duration = Duration::from_millis(600);

/// Rest that targets ask for, and a while of it that has passed.
const REST: &str = "30.5";
const REST_S: f64 = 30.5;

/// Times that a while passes.
const WHILES: u64 = 10;

async fn rig(kind: Kind) -> Rig {
    let mut layout = Layout::new(1, 1).expect("a layout");
    layout.repeats = (4.0, 200);
    Rig::start_placed(layout, kind.plain, kind.engines).await
}

/// Time goes by for the router, and its lease is renewed.
async fn time_goes_by(rig: &Rig, time: Duration) {
    rig.cluster.router_was_suspended(0, time);
    rig.cluster.wait_for_lease(0).await;
}

/// Asks until a request is served; the target that requests are sent to.
async fn first_choice(rig: &Rig, kind: Kind) -> FakeRunner {
    rig.until_served(kind.path, kind.tokens).await;
    let before: Vec<usize> = rig.targets().map(|t| t.seen().len()).collect();
    let heard = rig.ask("first", kind.path, KEY, kind.tokens).await;
    assert_eq!(heard.status, StatusCode::OK);
    let mut now = rig.targets().zip(before);
    let (target, _) = now.find(|(t, n)| t.seen().len() > *n).expect("it was sent");
    target.clone()
}

/// Asks until the target has been sent a request; how many it has seen then. On a busy
/// machine another may be the first choice for a moment.
async fn until_it_answers(rig: &Rig, target: &FakeRunner, kind: Kind) -> usize {
    let before = target.seen().len();
    eventually_async("it is sent a request", || async {
        rig.ask("told", kind.path, KEY, kind.tokens).await;
        (target.seen().len() > before).then_some(())
    })
    .await;
    let seen = target.seen().len();
    assert_eq!(seen, before + 1, "it was sent one");
    seen
}

/// Asks again and again while time goes by; all must be served by others.
async fn ask_while_time_goes_by(rig: &Rig, kind: Kind) {
    for i in 0..WHILES {
        time_goes_by(rig, A_WHILE).await;
        eventually_async("another target serves", || async {
            let heard = rig.ask(&format!("r{i}"), kind.path, KEY, kind.tokens).await;
            (heard.status == StatusCode::OK && heard.body.is_ok()).then_some(())
        })
        .await;
    }
}

/// Streams over engines that hand on, and what one target serves alone.
#[parameterized(
    streams = { STREAMS },
    repeatable = { REPEATABLE },
    at_most_once = { ONCE },
    not_resumable = { NOT_RESUMABLE },
)]
fn a_target_that_asks_for_rest_is_left_alone(kind: Kind) {
    run(async move {
        let rig = rig(kind).await;
        let target = first_choice(&rig, kind).await;
        target.set_fault(RunnerFault::Refuses { at_fault: None });
        target.ask_rest(Some(REST));
        let seen = until_it_answers(&rig, &target, kind).await;
        ask_while_time_goes_by(&rig, kind).await;
        assert_eq!(target.seen().len(), seen, "it got nothing while it rested");
        target.set_fault(RunnerFault::None);
        time_goes_by(&rig, Duration::from_secs(31)).await;
        eventually_async("it gets requests after its rest", || async {
            rig.ask("after", kind.path, KEY, kind.tokens).await;
            (target.seen().len() > seen).then_some(())
        })
        .await;
        rig.cluster.close().await.expect("closed");
    });
}

/// Says it in a whole answer, in the head of a stream, in a refusal, in a failure.
#[parameterized(
    streams = { STREAMS, RunnerFault::None },
    streams_refused = { STREAMS, RunnerFault::Refuses { at_fault: None } },
    repeatable = { REPEATABLE, RunnerFault::None },
    repeatable_failed = { REPEATABLE, RunnerFault::Fails },
    at_most_once = { ONCE, RunnerFault::None },
    at_most_once_refused = { ONCE, RunnerFault::Refuses { at_fault: None } },
    not_resumable = { NOT_RESUMABLE, RunnerFault::None },
)]
fn a_target_that_says_it_leaves_gets_nothing_new(kind: Kind, answers: RunnerFault) {
    run(async move {
        let rig = rig(kind).await;
        let target = first_choice(&rig, kind).await;
        target.set_fault(answers);
        target.say_it_leaves(true);
        let seen = until_it_answers(&rig, &target, kind).await;
        target.set_fault(RunnerFault::None);
        ask_while_time_goes_by(&rig, kind).await;
        assert_eq!(target.seen().len(), seen, "it got nothing after its word");
        rig.cluster.close().await.expect("closed");
    });
}

/// It asks for no rest, and looks the least busy: others come first for a while. A caller
/// whose request may not be sent to them is asked back at once, as they stand ready.
#[parameterized(
    repeatable = { REPEATABLE, 200 },
    at_most_once = { ONCE, 503 },
)]
fn a_target_that_refuses_a_plain_request_comes_last(kind: Kind, status: u16) {
    run(async move {
        let rig = rig(kind).await;
        let target = first_choice(&rig, kind).await;
        target.set_fault(RunnerFault::Refuses { at_fault: None });
        let heard = rig.ask("refused", kind.path, KEY, kind.tokens).await;
        assert_eq!(heard.status.as_u16(), status);
        if status == 503 {
            let after = heard.come_back_after();
            assert!((0.01..0.061).contains(&after), "{after} s");
        }
        let seen = target.seen().len();
        for i in 0..4 {
            let heard = rig.ask(&format!("r{i}"), kind.path, KEY, kind.tokens).await;
            assert_eq!(heard.status, StatusCode::OK);
        }
        assert_eq!(target.seen().len(), seen);
        rig.cluster.close().await.expect("closed");
    });
}

/// Where all rest, a request is refused at once, and told when the first of them is
/// there again.
#[parameterized(
    streams = { STREAMS },
    repeatable = { REPEATABLE },
    at_most_once = { ONCE },
)]
fn where_all_targets_rest_a_request_is_refused_with_the_time_that_is_left(kind: Kind) {
    run(async move {
        let rig = rig(kind).await;
        rig.until_served(kind.path, kind.tokens).await;
        for target in rig.targets() {
            target.set_fault(RunnerFault::Refuses { at_fault: None });
            target.ask_rest(Some(REST));
        }
        let mut heard = rig.ask("r", kind.path, KEY, kind.tokens).await;
        for i in 0..4 {
            heard = rig.ask(&format!("r{i}"), kind.path, KEY, kind.tokens).await;
        }
        let seen: usize = rig.targets().map(|t| t.seen().len()).sum();
        assert_eq!(heard.status, StatusCode::SERVICE_UNAVAILABLE);
        let after = heard.come_back_after();
        assert!((REST_S - 5.0..REST_S + 2.0).contains(&after), "{after} s");
        for i in 0..WHILES {
            time_goes_by(&rig, A_WHILE).await;
            rig.ask(&format!("s{i}"), kind.path, KEY, kind.tokens).await;
        }
        let now: usize = rig.targets().map(|t| t.seen().len()).sum();
        assert_eq!(now, seen, "nobody was sent anything");
        rig.cluster.close().await.expect("closed");
    });
}

/// Engines that refuse orders to hold layers, and ask for this rest.
async fn engines_that_refuse_orders(rest: &str) -> Rig {
    let mut rig = Rig::start(0, 0).await;
    for i in 0..4 {
        let engine = FakeRunner::start(&format!("e-{i}")).await;
        let engine = engine.expect("an engine");
        engine.set_fault(RunnerFault::RefusesOrders);
        engine.ask_rest(Some(rest));
        rig.engines.push(engine);
        rig.announce("engines", "e", i, "ready").await;
    }
    eventually_async("each has refused an order", || async {
        let refused = |e: &FakeRunner| e.orders_refused() > 0;
        rig.engines.iter().all(refused).then_some(())
    })
    .await;
    rig
}

/// An order that failed is given again after 0.8 s, one whose engine rests is not.
#[test]
fn orders_leave_an_engine_alone_that_asks_for_rest() {
    run(async {
        let rig = engines_that_refuse_orders("60").await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let refused: Vec<u32> = rig.engines.iter().map(|e| e.orders_refused()).collect();
        assert_eq!(refused, [1; 4]);
        rig.cluster.close().await.expect("closed");
    });
}

#[test]
fn an_order_is_given_again_after_the_rest() {
    run(async {
        let rig = engines_that_refuse_orders("0.2").await;
        for engine in &rig.engines {
            engine.set_fault(RunnerFault::None);
        }
        rig.until_served("/stream/x", true).await;
        rig.cluster.close().await.expect("closed");
    });
}
