//! Statuses 429, 503, 408 and 421 are returned only for requests that have not run and never
//! will.

use crate::rig::{API_KEY, Rig};
use crate::{any_loopback_port, run_async};
use deckwind_core::routes::{AttemptOutcome, AttemptResult, attempt_result};
use deckwind_core::state::{Change, LayerRange, RouteKind};
use deckwind_fakes::{EngineFault, FakeEngine, FakeEngineConfig, FakeTargetFault, serve};
use deckwind_testkit::{Caller, Cluster, account, chat_template, engine_target, eventually_async};
use std::sync::Arc;
use yare::parameterized;

const REPEATABLE: RouteKind = RouteKind::Repeatable;
const ONCE: RouteKind = RouteKind::Once;
const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
const NOT_RESUMABLE: RouteKind = RouteKind::Stream { resumable: false };

/// Arguments: outcome of an attempt, and its result for route kinds that may be retried and
/// for the others.
#[parameterized(
    no_connection = { AttemptOutcome::NotSent, AttemptResult::NotRun, AttemptResult::NotRun },
    says_not_run = { AttemptOutcome::NotRun(503), AttemptResult::NotRun, AttemptResult::NotRun },
    misdirected = { AttemptOutcome::NotRun(421), AttemptResult::NotRun, AttemptResult::NotRun },
    bad_request_not_run = { AttemptOutcome::NotRun(400), AttemptResult::NotRun, AttemptResult::NotRun },
    success_not_run = { AttemptOutcome::NotRun(200), AttemptResult::MayHaveRun, AttemptResult::MayHaveRun },
    success = { AttemptOutcome::Answered(200), AttemptResult::PassOn, AttemptResult::PassOn },
    own_500 = { AttemptOutcome::Answered(500), AttemptResult::PassOn, AttemptResult::PassOn },
    own_502 = { AttemptOutcome::Answered(502), AttemptResult::PassOn, AttemptResult::PassOn },
    own_504 = { AttemptOutcome::Answered(504), AttemptResult::PassOn, AttemptResult::PassOn },
    own_404 = { AttemptOutcome::Answered(404), AttemptResult::PassOn, AttemptResult::PassOn },
    own_503 = { AttemptOutcome::Answered(503), AttemptResult::PassOn, AttemptResult::MayHaveRun },
    own_429 = { AttemptOutcome::Answered(429), AttemptResult::PassOn, AttemptResult::MayHaveRun },
    own_408 = { AttemptOutcome::Answered(408), AttemptResult::PassOn, AttemptResult::MayHaveRun },
    own_421 = { AttemptOutcome::Answered(421), AttemptResult::PassOn, AttemptResult::MayHaveRun },
    nothing = { AttemptOutcome::Unanswered, AttemptResult::MayHaveRun, AttemptResult::MayHaveRun },
)]
fn results_of_attempts(came: AttemptOutcome, repeatable: AttemptResult, once: AttemptResult) {
    assert_eq!(attempt_result(REPEATABLE, came), repeatable);
    assert_eq!(attempt_result(RESUMABLE, came), repeatable);
    assert_eq!(attempt_result(ONCE, came), once);
    assert_eq!(attempt_result(NOT_RESUMABLE, came), once);
}

/// A target answers with a status that would promise that the request has not run, but does
/// not say so. Where a retry is allowed, the answer is passed on with its seal; otherwise it
/// is replaced by a 502 without one.
#[parameterized(
    busy = { 503 },
    too_many = { 429 },
    timeout = { 408 },
)]
fn a_target_s_own_refusal_without_a_promise_becomes_ours(status: u16) {
    run_async(async move {
        let rig = Rig::start(1, 1).await;
        rig.wait_until_served("/once/x", false).await;
        rig.plain[0].set_fault(FakeTargetFault::AnswersStatus(status));
        let once = rig.ask("r1", "/once/x", API_KEY, false).await;
        assert_eq!(once.status.as_u16(), 502, "it may have run");
        assert!(!once.headers.contains_key("x-deckwind-response-seal"));
        assert!(!once.headers.contains_key("retry-after"));
        assert_eq!(once.body.map(|b| b.contains("own words")), Ok(false));
        assert_eq!(rig.send_count("r1"), 1);
        let repeatable = rig.ask("r2", "/safe/x", API_KEY, false).await;
        assert_eq!(repeatable.status.as_u16(), status, "it may be retried");
        assert_eq!(repeatable.headers["x-deckwind-response-seal"], "s");
        rig.cluster.close().await.expect("closed");
    });
}

/// `/tell/` is a route of streams that cannot be resumed.
#[parameterized(
    busy = { FakeTargetFault::AnswersStatus(503), 502 },
    too_many = { FakeTargetFault::AnswersStatus(429), 502 },
    own_failure = { FakeTargetFault::AnswersStatus(500), 500 },
    refuses = { FakeTargetFault::Refuses { at_fault: None }, 503 },
    cuts = { FakeTargetFault::ClosesMidAnswer, 502 },
)]
fn a_stream_that_is_not_resumable_is_sent_once(fault: FakeTargetFault, status: u16) {
    run_async(async move {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served("/tell/x", true).await;
        rig.plain.iter().for_each(|p| p.set_fault(fault.clone()));
        let response = rig.ask("r1", "/tell/x", API_KEY, true).await;
        assert_eq!(response.status.as_u16(), status);
        let is_sealed = response.headers.contains_key("x-deckwind-response-seal");
        assert_eq!(is_sealed, status == 500);
        let is_refused = status == 503;
        assert_eq!(response.headers.contains_key("retry-after"), is_refused);
        assert_eq!(rig.send_count("r1"), if is_refused { 2 } else { 1 });
        rig.cluster.close().await.expect("closed");
    });
}

#[test]
fn a_stream_that_is_not_resumable_and_breaks_off_is_not_taken_up() {
    run_async(async {
        let mut rig = Rig::start(2, 0).await;
        rig.wait_until_in_force().await;
        rig.wait_until_served("/tell/x", true).await;
        let cuts = FakeTargetFault::BreaksStreamAfter(5);
        rig.plain.iter().for_each(|p| p.set_fault(cuts.clone()));
        let response = rig.ask("r1", "/tell/x", API_KEY, true).await;
        assert!(response.body.is_err(), "the body must not look complete");
        assert_eq!(rig.send_count("r1"), 1);
        rig.cluster.close().await.expect("closed");
    });
}

/// A step that was sent but not answered may have run, so the chat is neither refused as not
/// run nor run again.
#[test]
fn a_chat_that_may_have_run_is_not_refused_and_not_run_again() {
    run_async(async {
        let cluster = Cluster::start(1, 1).await.expect("a cluster");
        let mut template = chat_template("t", 4);
        template.repeatable = false;
        let engine = FakeEngine::new(FakeEngineConfig::new(LayerRange::new(0, 4), 4));
        let served = serve::engine(any_loopback_port(), Arc::new(engine.clone())).await;
        let target = engine_target("engine", served.expect("served").address, 0, 4);
        let changes = [
            Change::Template(template),
            Change::Account(account("a", "key")),
            Change::Target(target),
        ];
        for change in changes {
            cluster.apply(change).await.expect("applied");
        }
        let caller = Caller::new(cluster.callers(0), "key");
        let ask = |key: &'static str| {
            let caller = caller.clone();
            async move {
                let headers = [("idempotency-key", key)];
                caller
                    .chat("t", "hello", 2, &headers)
                    .await
                    .expect("an answer")
            }
        };
        eventually_async("the engine serves", || async {
            (ask("warm-up").await.status == 200).then_some(())
        })
        .await;
        engine.set_fault(EngineFault::Frozen);
        let failed = ask("k").await;
        assert_eq!(failed.status, 502, "{}", failed.code());
        assert_eq!(failed.header("deckwind-ran"), Some("unknown"));
        engine.set_fault(EngineFault::None);
        let again = ask("k").await;
        assert_eq!((again.status, again.code().as_str()), (409, "may-have-run"));
        cluster.close().await.expect("closed");
    });
}
