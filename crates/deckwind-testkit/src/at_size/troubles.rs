//! Faults that are injected into a deployment.

use super::Deployment;
use super::size::{ENGINES, PLAIN};
use crate::processes::Process;
use anyhow::Result;
use deckwind_fakes::RunnerFault;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Some engines crash and restart under their ids.
    EnginesEnd,
    /// Some engines don't respond for a while.
    EnginesSilent,
    /// Some engines pause for a while and then continue their streams.
    EnginesPause,
    /// Some engines break streams off in the middle.
    EnginesCut,
    /// Some engines refuse all requests.
    EnginesRefuse,
    /// Plain targets answer with errors.
    PlainFails,
    /// Some routers are suspended (SIGSTOP) and resumed.
    RoutersFreeze,
    /// Some routers are killed and restarted.
    RoutersKilled,
    /// Some routers are stopped gracefully and restarted.
    RoutersStopped,
    /// A replica is killed and restarted.
    ControlKilled,
    /// A replica is suspended (SIGSTOP) and resumed.
    ControlFreezes,
    /// All replicas are killed and restarted.
    AllControlKilled,
    /// The request rate rises for a while.
    Burst,
    /// A release that changes nothing but its version is published.
    Release,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 14] = [
        Kind::EnginesEnd,
        Kind::EnginesSilent,
        Kind::EnginesPause,
        Kind::EnginesCut,
        Kind::EnginesRefuse,
        Kind::PlainFails,
        Kind::RoutersFreeze,
        Kind::RoutersKilled,
        Kind::RoutersStopped,
        Kind::ControlKilled,
        Kind::ControlFreezes,
        Kind::AllControlKilled,
        Kind::Burst,
        Kind::Release,
    ];
}

/// Upper bound of the share of processes that a fault hits, in percent.
const MAX_PERCENT: usize = 30;

/// Source of the faults of a run.
#[derive(Clone, Debug)]
pub enum Troubles {
    /// Faults of random kinds out of these, drawn from the seed.
    Drawn(Vec<Kind>),
    /// These faults in turn, repeatedly.
    Given(Vec<Trouble>),
}

impl Troubles {
    pub(super) fn next(&self, number: usize, rng: &mut ChaCha8Rng) -> Trouble {
        match self {
            Self::Drawn(kinds) => Trouble::draw(rng, kinds),
            Self::Given(all) => all[number % all.len()],
        }
    }
}

/// A fault with its extent and duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trouble {
    /// Kind of the fault.
    pub kind: Kind,
    /// Share of the affected processes or targets, in percent.
    pub percent: usize,
    /// Duration of the fault.
    pub length: Duration,
    /// Time until the next fault begins.
    pub pause: Duration,
}

impl Trouble {
    fn draw(rng: &mut ChaCha8Rng, kinds: &[Kind]) -> Self {
        Self {
            kind: *kinds.choose(rng).expect("the list of kinds is not empty"),
            percent: rng.random_range(3..MAX_PERCENT),
            length: Duration::from_millis(rng.random_range(500..6_000)),
            pause: Duration::from_millis(rng.random_range(100..2_000)),
        }
    }
}

impl Deployment {
    /// Injects a fault. Faults that last longer than this call are ended by their own
    /// tasks.
    pub(super) async fn inject(&mut self, trouble: Trouble, rng: &mut ChaCha8Rng) -> Result<()> {
        let length = trouble.length;
        match trouble.kind {
            Kind::EnginesEnd => {
                for i in self.random_targets(ENGINES, trouble.percent, rng) {
                    self.targets[i].runner.crash(length);
                    self.targets[i].announced.store(0, Ordering::Relaxed);
                }
            }
            Kind::EnginesSilent => {
                for i in self.random_targets(ENGINES, trouble.percent, rng) {
                    self.targets[i].runner.fall_silent(length);
                    self.targets[i].announced.store(0, Ordering::Relaxed);
                }
            }
            Kind::EnginesPause => {
                for i in self.random_targets(ENGINES, trouble.percent, rng) {
                    self.targets[i].runner.pause(length);
                }
            }
            Kind::EnginesCut => {
                let after = rng.random_range(1..30);
                self.set_fault(ENGINES, RunnerFault::CutsAfter(after), trouble, rng);
            }
            Kind::EnginesRefuse => {
                let refuses = RunnerFault::Refuses { at_fault: None };
                self.set_fault(ENGINES, refuses, trouble, rng);
            }
            Kind::PlainFails => self.set_fault(PLAIN, RunnerFault::Fails, trouble, rng),
            Kind::RoutersFreeze => self.freeze_routers(trouble, rng)?,
            Kind::RoutersKilled => self.restart_routers(trouble, rng, false).await?,
            Kind::RoutersStopped => self.restart_routers(trouble, rng, true).await?,
            Kind::ControlKilled => self.restart_control(1, trouble, rng).await?,
            Kind::ControlFreezes => {
                let i = rng.random_range(0..self.control.len());
                self.freeze(self.control[i].as_ref(), length)?;
            }
            Kind::AllControlKilled => {
                let all = self.control.len();
                self.restart_control(all, trouble, rng).await?;
            }
            Kind::Burst => self.burst(trouble),
            Kind::Release => {
                self.publish().await;
            }
        }
        Ok(())
    }

    fn random_targets(&self, pool: &str, percent: usize, rng: &mut ChaCha8Rng) -> Vec<usize> {
        let of_pool = (0..self.targets.len()).filter(|i| self.targets[*i].pool == pool);
        random_subset(of_pool.collect(), percent, rng)
    }

    fn random_routers(&self, percent: usize, rng: &mut ChaCha8Rng) -> Vec<usize> {
        random_subset((0..self.routers.len()).collect(), percent, rng)
    }

    fn set_fault(
        &self,
        pool: &str,
        runner_fault: RunnerFault,
        trouble: Trouble,
        rng: &mut ChaCha8Rng,
    ) {
        for i in self.random_targets(pool, trouble.percent, rng) {
            let runner = self.targets[i].runner.clone();
            runner.set_fault(runner_fault.clone());
            tokio::spawn(async move {
                tokio::time::sleep(trouble.length).await;
                runner.set_fault(RunnerFault::None);
            });
        }
    }

    fn freeze_routers(&self, trouble: Trouble, rng: &mut ChaCha8Rng) -> Result<()> {
        for i in self.random_routers(trouble.percent, rng) {
            self.freeze(self.routers[i].as_ref(), trouble.length)?;
            self.mark_not_ready(i, trouble.length);
        }
        Ok(())
    }

    /// Marks a router as not ready for load balancers for this time.
    fn mark_not_ready(&self, router: usize, length: Duration) {
        let callers = self.callers.clone();
        callers.ready[router].store(false, Ordering::Relaxed);
        tokio::spawn(async move {
            tokio::time::sleep(length).await;
            callers.ready[router].store(true, Ordering::Relaxed);
        });
    }

    async fn restart_routers(
        &mut self,
        trouble: Trouble,
        rng: &mut ChaCha8Rng,
        planned: bool,
    ) -> Result<()> {
        let selected = self.random_routers(trouble.percent, rng);
        let mut stops = Vec::new();
        for i in &selected {
            let Some(process) = self.routers[*i].take() else {
                continue;
            };
            self.callers.ready[*i].store(false, Ordering::Relaxed);
            stops.push(tokio::task::spawn_blocking(move || match planned {
                true => process.terminate().map(drop),
                false => {
                    process.kill();
                    Ok(())
                }
            }));
        }
        for stop in stops {
            stop.await??;
        }
        for i in selected {
            self.routers[i] = Some(self.processes.router(i)?);
            self.mark_not_ready(i, Duration::from_millis(500));
        }
        Ok(())
    }

    async fn restart_control(
        &mut self,
        count: usize,
        trouble: Trouble,
        rng: &mut ChaCha8Rng,
    ) -> Result<()> {
        let first = rng.random_range(0..self.control.len());
        let all = self.control.len();
        let selected: Vec<usize> = (0..count).map(|i| (first + i) % all).collect();
        for i in &selected {
            if let Some(process) = self.control[*i].take() {
                tokio::task::spawn_blocking(move || process.kill()).await?;
            }
        }
        tokio::time::sleep(trouble.length / 6).await;
        for i in selected {
            self.control[i] = Some(self.processes.control(i)?);
        }
        Ok(())
    }

    /// Suspends a process and resumes it after `length`.
    fn freeze(&self, process: Option<&Process>, length: Duration) -> Result<()> {
        let Some(process) = process else {
            return Ok(());
        };
        process.signal("STOP")?;
        let handle = process.resume_handle();
        tokio::spawn(async move {
            tokio::time::sleep(length).await;
            if let Err(e) = handle.resume() {
                eprintln!("can't resume a process: {e}");
            }
        });
        Ok(())
    }

    fn burst(&self, trouble: Trouble) {
        let callers = self.callers.clone();
        callers.rate_percent.store(170, Ordering::Relaxed);
        tokio::spawn(async move {
            tokio::time::sleep(trouble.length / 2).await;
            callers.rate_percent.store(100, Ordering::Relaxed);
        });
    }
}

fn random_subset(mut all: Vec<usize>, percent: usize, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let count = (all.len() * percent / 100).max(1);
    let mut subset = Vec::new();
    while subset.len() < count && !all.is_empty() {
        subset.push(all.swap_remove(rng.random_range(0..all.len())));
    }
    subset
}
