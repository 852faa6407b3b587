//! Sessions whose stages crash, freeze or answer late. The fake model's text shows
//! whether every layer ran once for each token, in order; the fakes' counts show
//! it too.

use crate::any_loopback_port;
use deckwind_core::session::Activation;
use deckwind_core::state::{Change, LayerRange};
use deckwind_fakes::serve::Served;
use deckwind_fakes::{EngineFault, FakeEngine, FakeEngineConfig, Run, expected_answer, serve};
use deckwind_testkit::{Caller, Cluster, account, chat_template, engine_target, eventually_async};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use yare::parameterized;

const LAYERS: u32 = 12;
const TOKENS: u32 = 16;
const PROMPT: &str = "rewrite the swap of tuesday";

/// A cluster whose model is split into three layer ranges, with two engines for each.
struct Rig {
    cluster: Cluster,
    engines: Vec<FakeEngine>,
    served: Vec<Served>,
}

impl Rig {
    async fn start(step: Duration) -> Self {
        Self::start_with(1, step).await
    }

    async fn start_with(routers: usize, step: Duration) -> Self {
        let cluster = Cluster::start(1, routers).await.unwrap();
        let template = chat_template("swaps", LAYERS);
        cluster.apply(Change::Template(template)).await.unwrap();
        cluster
            .apply(Change::Account(account("care", "key")))
            .await
            .unwrap();
        let mut rig = Self {
            cluster,
            engines: Vec::new(),
            served: Vec::new(),
        };
        for i in 0..6 {
            rig.add_engine(i, step).await;
        }
        rig
    }

    /// Adds engine `i`, which holds layer range `i % 3`.
    async fn add_engine(&mut self, i: usize, step: Duration) {
        let first = (i as u32 % 3) * 4;
        let layers = LayerRange::new(first, first + 4);
        let mut cfg = FakeEngineConfig::new(layers, LAYERS);
        cfg.step_time = step;
        let engine = FakeEngine::new(cfg);
        let served = serve::engine(any_loopback_port(), Arc::new(engine.clone()))
            .await
            .unwrap();
        let name = format!("engine-{i}");
        let target = engine_target(&name, served.address, layers.first, layers.last);
        self.cluster.apply(Change::Target(target)).await.unwrap();
        self.engines.push(engine);
        self.served.push(served);
    }

    fn caller(&self) -> Caller {
        Caller::new(self.cluster.callers(0), "key")
    }

    /// Returns the engines of one layer range.
    fn range(&self, range: usize) -> impl Iterator<Item = &FakeEngine> {
        self.engines.iter().skip(range).step_by(3)
    }

    /// Asserts that every layer ran once for each position that counts: among the engines
    /// of a range, the newest attempt of each position ran exactly once, and ranges not in
    /// `lost` ran each position exactly once in total.
    fn check_runs(&self, lost: &[usize]) {
        let positions = PROMPT.split_whitespace().count() as u32 + 1 + TOKENS - 1;
        for range in 0..3 {
            let runs: Vec<Run> = self.range(range).flat_map(FakeEngine::runs).collect();
            let mut by_position: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
            for run in &runs {
                by_position
                    .entry(run.position)
                    .or_default()
                    .push(run.attempt);
            }
            let seen: Vec<u32> = by_position.keys().copied().collect();
            assert_eq!(seen, (0..positions).collect::<Vec<_>>(), "range {range}");
            for attempts in by_position.values() {
                let newest = attempts.iter().max().unwrap();
                let count = attempts.iter().filter(|a| *a == newest).count();
                assert_eq!(count, 1, "range {range}: {attempts:?}");
                assert!(
                    lost.contains(&range) || attempts.len() == 1,
                    "range {range}: {attempts:?}"
                );
            }
        }
    }

    async fn close(self) {
        self.cluster.close().await.unwrap();
        for served in self.served {
            served.kill().await;
        }
    }
}

fn expected() -> String {
    let words = PROMPT.split_whitespace().map(str::to_string);
    let prompt: Vec<Activation> = std::iter::once("<user>".to_string())
        .chain(words)
        .map(Activation)
        .collect();
    expected_answer(LAYERS, &prompt, TOKENS as usize)
}

/// A stage crashes, in each range and at each kind of moment. Both engines of the range
/// get the fault, so the one that is chosen fails and then its replacement, right after
/// the repair. The fault is removed once both have failed.
#[parameterized(
    first_before_prompt = { 0, EngineFault::DiesBeforeStep(0) },
    first_after_prompt = { 0, EngineFault::DiesAfterStep(1) },
    first_before_a_token = { 0, EngineFault::DiesBeforeStep(5) },
    first_after_a_token = { 0, EngineFault::DiesAfterStep(6) },
    middle_before_prompt = { 1, EngineFault::DiesBeforeStep(0) },
    middle_after_prompt = { 1, EngineFault::DiesAfterStep(1) },
    middle_before_a_token = { 1, EngineFault::DiesBeforeStep(5) },
    middle_after_a_token = { 1, EngineFault::DiesAfterStep(6) },
    last_before_prompt = { 2, EngineFault::DiesBeforeStep(0) },
    last_after_prompt = { 2, EngineFault::DiesAfterStep(1) },
    last_before_a_token = { 2, EngineFault::DiesBeforeStep(5) },
    last_after_a_token = { 2, EngineFault::DiesAfterStep(6) },
)]
fn a_lost_stage_does_not_change_the_answer(range: usize, fault: EngineFault) {
    crate::run_async(async {
        let rig = Rig::start(Duration::ZERO).await;
        for engine in rig.range(range) {
            engine.set_fault(fault);
        }
        let caller = rig.caller();
        let answer_task = tokio::spawn(async move {
            let stream = caller.stream("swaps", PROMPT, TOKENS).await?;
            stream.text().await
        });
        let both_crashed = || async {
            let crashed = rig
                .range(range)
                .all(|e| e.open_stages() == 0 && e.has_crashed());
            (crashed || answer_task.is_finished()).then_some(())
        };
        eventually_async("both engines of the range have crashed", both_crashed).await;
        for engine in rig.range(range) {
            engine.set_fault(EngineFault::None);
        }
        assert_eq!(answer_task.await.unwrap().unwrap(), expected());
        rig.check_runs(&[range]);
        rig.close().await;
    });
}

/// Two stages of one chain crash at the same token.
#[test]
fn two_stages_that_die_together_do_not_change_the_answer() {
    crate::run_async(async {
        let rig = Rig::start(Duration::ZERO).await;
        rig.engines[0].set_fault(EngineFault::DiesAfterStep(4));
        rig.engines[3].set_fault(EngineFault::DiesBeforeStep(7));
        rig.engines[1].set_fault(EngineFault::DiesAfterStep(4));
        rig.engines[4].set_fault(EngineFault::DiesBeforeStep(4));
        let stream = rig.caller().stream("swaps", PROMPT, TOKENS).await.unwrap();
        let answer_task = tokio::spawn(stream.text());
        eventually_async(
            "all four have crashed or the answer is complete",
            || async {
                let crashed = [0, 1, 3, 4].iter().all(|i| rig.engines[*i].has_crashed());
                (crashed || answer_task.is_finished()).then_some(())
            },
        )
        .await;
        for engine in &rig.engines {
            engine.set_fault(EngineFault::None);
        }
        assert_eq!(answer_task.await.unwrap().unwrap(), expected());
        rig.check_runs(&[0, 1]);
        rig.close().await;
    });
}

/// A frozen stage still answers probes, and its late answer arrives after a new attempt
/// has replaced it.
#[test]
fn a_frozen_stage_is_replaced_and_its_late_answer_dropped() {
    crate::run_async(async {
        let rig = Rig::start(Duration::from_millis(2)).await;
        let mut stream = rig.caller().stream("swaps", PROMPT, TOKENS).await.unwrap();
        let mut text = stream.token().await.unwrap().unwrap();
        let frozen: Vec<&FakeEngine> = rig.range(1).filter(|e| !e.runs().is_empty()).collect();
        frozen.iter().for_each(|e| e.set_fault(EngineFault::Frozen));
        text.push_str(&stream.token().await.unwrap().unwrap_or_default());
        frozen.iter().for_each(|e| e.set_fault(EngineFault::None));
        text.push_str(&stream.text().await.unwrap());
        assert_eq!(text, expected());
        rig.check_runs(&[1]);
        rig.close().await;
    });
}

#[test]
fn a_caller_that_goes_away_cancels_every_stage() {
    crate::run_async(async {
        let rig = Rig::start(Duration::from_millis(1)).await;
        let mut stream = rig.caller().stream("swaps", PROMPT, 4_000).await.unwrap();
        stream.token().await.unwrap();
        assert_eq!(
            rig.engines
                .iter()
                .map(FakeEngine::open_stages)
                .sum::<usize>(),
            3
        );
        drop(stream);
        eventually_async("all stages are closed", || async {
            let open: usize = rig.engines.iter().map(FakeEngine::open_stages).sum();
            (open == 0).then_some(())
        })
        .await;
        rig.close().await;
    });
}

#[test]
fn a_planned_stop_of_the_router_cuts_nothing_and_refuses_new_work_as_not_run() {
    crate::run_async(async {
        let mut rig = Rig::start(Duration::from_millis(2)).await;
        let mut stream = rig.caller().stream("swaps", PROMPT, TOKENS).await.unwrap();
        let mut text = stream.token().await.unwrap().unwrap();
        let daemon = rig.cluster.take_router(0);
        let shared = daemon.router().unwrap().shared().clone();
        let caller = rig.caller();
        let stop_task = tokio::spawn(daemon.close());
        eventually_async("the router drains", || async {
            (!shared.core().is_ready(shared.clock.now())).then_some(())
        })
        .await;
        let refused = caller.chat("swaps", PROMPT, TOKENS, &[]).await.unwrap();
        assert_eq!((refused.status, refused.code().as_str()), (503, "draining"));
        assert_eq!(refused.header("deckwind-ran"), Some("not-run"));
        text.push_str(&stream.text().await.unwrap());
        assert_eq!(text, expected());
        stop_task.await.unwrap().unwrap();
        rig.check_runs(&[]);
        rig.close().await;
    });
}

/// Once an operator's change that marks a target as leaving is in force, no router sends
/// it new sessions; those that run there complete.
#[test]
fn a_leaving_target_gets_no_new_work_and_loses_none() {
    crate::run_async(async {
        let rig = Rig::start(Duration::from_millis(2)).await;
        let mut stream = rig.caller().stream("swaps", PROMPT, TOKENS).await.unwrap();
        let mut text = stream.token().await.unwrap().unwrap();
        let busy = (0..6).find(|i| rig.engines[*i].open_stages() > 0).unwrap();
        let first = (busy as u32 % 3) * 4;
        let name = format!("engine-{busy}");
        let mut target = engine_target(&name, rig.served[busy].address, first, first + 4);
        target.status = deckwind_core::state::TargetStatus::Leaving;
        let applied = rig.cluster.apply(Change::Target(target)).await.unwrap();
        assert!(applied.in_force);
        text.push_str(&stream.text().await.unwrap());
        assert_eq!(text, expected());
        let before = rig.engines[busy].runs().len();
        for _ in 0..8 {
            let answer = rig
                .caller()
                .chat("swaps", PROMPT, TOKENS, &[])
                .await
                .unwrap();
            assert_eq!(answer.content(), expected());
        }
        assert_eq!(rig.engines[busy].runs().len(), before);
        rig.close().await;
    });
}

/// A caller that has lost its router resumes the stream at another one, after the last
/// event that it received.
#[test]
fn a_stream_goes_on_at_another_router_after_its_last_event() {
    crate::run_async(async {
        let rig = Rig::start_with(2, Duration::from_millis(1)).await;
        let mut stream = rig.caller().stream("swaps", PROMPT, TOKENS).await.unwrap();
        let mut text = String::new();
        for _ in 0..5 {
            text.push_str(&stream.token().await.unwrap().unwrap());
        }
        drop(stream);
        let other = Caller::new(rig.cluster.callers(1), "key");
        let headers = [("last-event-id", "4")];
        let rest = other
            .stream_with("swaps", PROMPT, TOKENS, &headers)
            .await
            .unwrap();
        text.push_str(&rest.text().await.unwrap());
        assert_eq!(text, expected());
        let wrong = [("last-event-id", "four")];
        let refused = other.chat("swaps", PROMPT, TOKENS, &wrong).await.unwrap();
        assert_eq!(
            (refused.status, refused.code().as_str()),
            (400, "bad-request")
        );
        rig.close().await;
    });
}

/// The link to one engine gets slow, in the second case so slow that its steps are late.
/// The answer stays the same.
#[parameterized(slow = { 30 }, later_than_any_step_may_be = { 30_000 })]
fn a_link_that_degrades_does_not_change_the_answer(more_ms: u64) {
    crate::run_async(async {
        let rig = Rig::start(Duration::from_millis(1)).await;
        let mut stream = rig.caller().stream("swaps", PROMPT, TOKENS).await.unwrap();
        let mut text = stream.token().await.unwrap().unwrap();
        let busy = rig.range(1).find(|e| e.open_stages() > 0).unwrap();
        busy.set_fault(EngineFault::Slow(Duration::from_millis(more_ms)));
        text.push_str(&stream.text().await.unwrap());
        assert_eq!(text, expected());
        rig.check_runs(&[1]);
        rig.close().await;
    });
}
