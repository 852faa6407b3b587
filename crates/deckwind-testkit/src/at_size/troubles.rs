//! What goes wrong at a deployment.

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

/// Kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Some engines end and start again under their ids.
    EnginesEnd,
    /// Some engines are silent for a while.
    EnginesSilent,
    /// Some engines stand still for a while, and then go on with what they run.
    EnginesPause,
    /// Some engines break streams off in the middle.
    EnginesCut,
    /// Some engines turn all away.
    EnginesRefuse,
    /// Plain targets answer that they failed.
    PlainFails,
    /// Some routers stand still and wake again.
    RoutersFreeze,
    /// Some routers are killed and start again.
    RoutersKilled,
    /// Some routers are stopped as planned, in turn, and start again.
    RoutersStopped,
    /// A replica is killed and starts again.
    ControlKilled,
    /// A replica stands still and wakes again.
    ControlFreezes,
    /// Every replica is killed, and starts again.
    AllControlKilled,
    /// More callers come for a while.
    Burst,
    /// A release that changes nothing but its version.
    Release,
}

impl Kind {
    /// All of them.
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

/// Largest part that is drawn, in hundredths.
const MOST_PERCENT: usize = 30;

/// What goes wrong in a run.
#[derive(Clone, Debug)]
pub enum Troubles {
    /// Some of these, drawn by the seed.
    Drawn(Vec<Kind>),
    /// These, again and again.
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

/// One of them, and its size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trouble {
    /// What.
    pub kind: Kind,
    /// Part of what it strikes, in hundredths.
    pub percent: usize,
    /// For how long.
    pub length: Duration,
    /// Time until the next one begins.
    pub pause: Duration,
}

impl Trouble {
    fn draw(rng: &mut ChaCha8Rng, kinds: &[Kind]) -> Self {
        Self {
            kind: *kinds.choose(rng).expect("there are kinds"),
            percent: rng.random_range(3..MOST_PERCENT),
            length: Duration::from_millis(rng.random_range(500..6_000)),
            pause: Duration::from_millis(rng.random_range(100..2_000)),
        }
    }
}

impl Deployment {
    /// Begins a trouble; what ends later does so by itself.
    pub(super) async fn trouble(&mut self, what: Trouble, rng: &mut ChaCha8Rng) -> Result<()> {
        let length = what.length;
        match what.kind {
            Kind::EnginesEnd => {
                for i in self.some_targets(ENGINES, what.percent, rng) {
                    self.targets[i].runner.crash(length);
                    self.targets[i].announced.store(0, Ordering::Relaxed);
                }
            }
            Kind::EnginesSilent => {
                for i in self.some_targets(ENGINES, what.percent, rng) {
                    self.targets[i].runner.fall_silent(length);
                    self.targets[i].announced.store(0, Ordering::Relaxed);
                }
            }
            Kind::EnginesPause => {
                for i in self.some_targets(ENGINES, what.percent, rng) {
                    self.targets[i].runner.pause(length);
                }
            }
            Kind::EnginesCut => {
                let after = rng.random_range(1..30);
                self.fault(ENGINES, RunnerFault::CutsAfter(after), what, rng);
            }
            Kind::EnginesRefuse => {
                let refuses = RunnerFault::Refuses { at_fault: None };
                self.fault(ENGINES, refuses, what, rng);
            }
            Kind::PlainFails => self.fault(PLAIN, RunnerFault::Fails, what, rng),
            Kind::RoutersFreeze => self.freeze_routers(what, rng)?,
            Kind::RoutersKilled => self.restart_routers(what, rng, false).await?,
            Kind::RoutersStopped => self.restart_routers(what, rng, true).await?,
            Kind::ControlKilled => self.restart_control(1, what, rng).await?,
            Kind::ControlFreezes => {
                let i = rng.random_range(0..self.control.len());
                self.freeze(self.control[i].as_ref(), length)?;
            }
            Kind::AllControlKilled => {
                let all = self.control.len();
                self.restart_control(all, what, rng).await?;
            }
            Kind::Burst => self.burst(what),
            Kind::Release => {
                self.publish().await;
            }
        }
        Ok(())
    }

    fn some_targets(&self, pool: &str, percent: usize, rng: &mut ChaCha8Rng) -> Vec<usize> {
        let of_pool = (0..self.targets.len()).filter(|i| self.targets[*i].pool == pool);
        some(of_pool.collect(), percent, rng)
    }

    fn some_routers(&self, percent: usize, rng: &mut ChaCha8Rng) -> Vec<usize> {
        some((0..self.routers.len()).collect(), percent, rng)
    }

    fn fault(&self, pool: &str, fault: RunnerFault, what: Trouble, rng: &mut ChaCha8Rng) {
        for i in self.some_targets(pool, what.percent, rng) {
            let runner = self.targets[i].runner.clone();
            runner.set_fault(fault.clone());
            tokio::spawn(async move {
                tokio::time::sleep(what.length).await;
                runner.set_fault(RunnerFault::None);
            });
        }
    }

    fn freeze_routers(&self, what: Trouble, rng: &mut ChaCha8Rng) -> Result<()> {
        for i in self.some_routers(what.percent, rng) {
            self.freeze(self.routers[i].as_ref(), what.length)?;
            self.not_ready(i, what.length);
        }
        Ok(())
    }

    /// No balancer sends callers to a router for so long.
    fn not_ready(&self, router: usize, length: Duration) {
        let callers = self.callers.clone();
        callers.ready[router].store(false, Ordering::Relaxed);
        tokio::spawn(async move {
            tokio::time::sleep(length).await;
            callers.ready[router].store(true, Ordering::Relaxed);
        });
    }

    async fn restart_routers(
        &mut self,
        what: Trouble,
        rng: &mut ChaCha8Rng,
        planned: bool,
    ) -> Result<()> {
        let some = self.some_routers(what.percent, rng);
        let mut ending = Vec::new();
        for i in &some {
            let Some(process) = self.routers[*i].take() else {
                continue;
            };
            self.callers.ready[*i].store(false, Ordering::Relaxed);
            ending.push(tokio::task::spawn_blocking(move || match planned {
                true => process.terminate().map(drop),
                false => {
                    process.kill();
                    Ok(())
                }
            }));
        }
        for one in ending {
            one.await??;
        }
        for i in some {
            self.routers[i] = Some(self.processes.router(i)?);
            self.not_ready(i, Duration::from_millis(500));
        }
        Ok(())
    }

    async fn restart_control(
        &mut self,
        count: usize,
        what: Trouble,
        rng: &mut ChaCha8Rng,
    ) -> Result<()> {
        let first = rng.random_range(0..self.control.len());
        let all = self.control.len();
        let some: Vec<usize> = (0..count).map(|i| (first + i) % all).collect();
        for i in &some {
            if let Some(process) = self.control[*i].take() {
                tokio::task::spawn_blocking(move || process.kill()).await?;
            }
        }
        tokio::time::sleep(what.length / 6).await;
        for i in some {
            self.control[i] = Some(self.processes.control(i)?);
        }
        Ok(())
    }

    /// A process stands still, and wakes again.
    fn freeze(&self, process: Option<&Process>, length: Duration) -> Result<()> {
        let Some(process) = process else {
            return Ok(());
        };
        process.signal("STOP")?;
        let wake = process.wakes();
        tokio::spawn(async move {
            tokio::time::sleep(length).await;
            if let Err(e) = wake.send() {
                eprintln!("a process does not wake: {e}");
            }
        });
        Ok(())
    }

    fn burst(&self, what: Trouble) {
        let callers = self.callers.clone();
        callers.rate_percent.store(170, Ordering::Relaxed);
        tokio::spawn(async move {
            tokio::time::sleep(what.length / 2).await;
            callers.rate_percent.store(100, Ordering::Relaxed);
        });
    }
}

fn some(mut all: Vec<usize>, percent: usize, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let count = (all.len() * percent / 100).max(1);
    let mut some = Vec::new();
    while some.len() < count && !all.is_empty() {
        some.push(all.swap_remove(rng.random_range(0..all.len())));
    }
    some
}
