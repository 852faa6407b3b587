//! Faults that are injected into a deployment.

use super::size::{ENGINES, PLAIN};
use super::{Deployment, replica_name};
use crate::processes::Process;
use anyhow::{Context, Result};
use deckwind_fakes::FakeTargetFault;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
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
    /// The leader is killed and restarted.
    LeaderKilled,
    /// A replica is killed and restarted without its disk, once the one before has caught up.
    DiskLost,
    /// Some routers are suspended; as they resume, all replicas are killed and restarted.
    RoutersBehind,
    /// Requests come at all routers that share a part on which engines crash.
    PoisonPart,
    /// The request rate rises for a while.
    Burst,
    /// A release that changes nothing but its version is published.
    Release,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 18] = [
        FaultKind::EnginesEnd,
        FaultKind::EnginesSilent,
        FaultKind::EnginesPause,
        FaultKind::EnginesCut,
        FaultKind::EnginesRefuse,
        FaultKind::PlainFails,
        FaultKind::RoutersFreeze,
        FaultKind::RoutersKilled,
        FaultKind::RoutersStopped,
        FaultKind::ControlKilled,
        FaultKind::ControlFreezes,
        FaultKind::AllControlKilled,
        FaultKind::LeaderKilled,
        FaultKind::DiskLost,
        FaultKind::RoutersBehind,
        FaultKind::PoisonPart,
        FaultKind::Burst,
        FaultKind::Release,
    ];
}

/// Interval between two requests with a part at fault.
const POISON_PART_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the restart of a replica without its disk until the next disk is removed.
const CATCH_UP: Duration = Duration::from_secs(6);

/// Upper bound of the share of processes that a fault hits, in percent.
const MAX_PERCENT: usize = 30;

/// Source of the faults of a run.
#[derive(Clone, Debug)]
pub enum FaultPlan {
    /// No faults.
    None,
    /// Faults of random kinds out of these, drawn from the seed.
    Drawn(Vec<FaultKind>),
    /// The given faults in turn, repeatedly.
    Given(Vec<FaultEvent>),
}

impl FaultPlan {
    pub(super) fn next(&self, number: usize, rng: &mut ChaCha8Rng) -> Option<FaultEvent> {
        match self {
            Self::None => None,
            Self::Drawn(kinds) => Some(FaultEvent::draw(rng, kinds)),
            Self::Given(all) => all.get(number % all.len().max(1)).copied(),
        }
    }
}

/// A fault with its extent and duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultEvent {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Share of the affected processes or targets, in percent.
    pub percent: usize,
    /// Duration of the fault.
    pub length: Duration,
    /// Time until the next fault begins.
    pub pause: Duration,
}

impl FaultEvent {
    fn draw(rng: &mut ChaCha8Rng, kinds: &[FaultKind]) -> Self {
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
    pub(super) async fn inject(&mut self, fault: FaultEvent, rng: &mut ChaCha8Rng) -> Result<()> {
        let length = fault.length;
        match fault.kind {
            FaultKind::EnginesEnd => {
                for i in self.random_targets(ENGINES, fault.percent, rng) {
                    self.targets[i].server.crash(length);
                    self.targets[i].announced.store(0, Ordering::Relaxed);
                }
            }
            FaultKind::EnginesSilent => {
                for i in self.random_targets(ENGINES, fault.percent, rng) {
                    self.targets[i].server.pause_and_restart(length);
                    self.targets[i].announced.store(0, Ordering::Relaxed);
                }
            }
            FaultKind::EnginesPause => {
                for i in self.random_targets(ENGINES, fault.percent, rng) {
                    self.targets[i].server.pause(length);
                }
            }
            FaultKind::EnginesCut => {
                let after = rng.random_range(1..30);
                self.set_fault(
                    ENGINES,
                    FakeTargetFault::BreaksStreamAfter(after),
                    fault,
                    rng,
                );
            }
            FaultKind::EnginesRefuse => {
                let refuses = FakeTargetFault::Refuses { at_fault: None };
                self.set_fault(ENGINES, refuses, fault, rng);
            }
            FaultKind::PlainFails => self.set_fault(PLAIN, FakeTargetFault::Fails, fault, rng),
            FaultKind::RoutersFreeze => self.freeze_routers(fault, rng)?,
            FaultKind::RoutersKilled => self.restart_routers(fault, rng, false).await?,
            FaultKind::RoutersStopped => self.restart_routers(fault, rng, true).await?,
            FaultKind::ControlKilled => self.restart_control(1, fault, rng).await?,
            FaultKind::ControlFreezes => {
                let i = rng.random_range(0..self.control.len());
                if let Some(quota) = &self.quota {
                    quota.leave_alone(&replica_name(i), length);
                }
                self.freeze(self.control[i].as_ref(), length)?;
            }
            FaultKind::AllControlKilled => {
                let all = self.control.len();
                self.restart_control(all, fault, rng).await?;
            }
            FaultKind::LeaderKilled => {
                let leader = self.leader()?;
                self.restart_replicas(vec![leader], length).await?;
            }
            FaultKind::DiskLost => self.lose_disk(length, rng).await?,
            FaultKind::RoutersBehind => {
                self.freeze_routers(fault, rng)?;
                tokio::time::sleep(length).await;
                let all = (0..self.control.len()).collect();
                self.restart_replicas(all, Duration::ZERO).await?;
            }
            FaultKind::PoisonPart => self.send_poison_parts(length),
            FaultKind::Burst => self.burst(fault),
            FaultKind::Release => {
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
        target_fault: FakeTargetFault,
        fault: FaultEvent,
        rng: &mut ChaCha8Rng,
    ) {
        for i in self.random_targets(pool, fault.percent, rng) {
            let server = self.targets[i].server.clone();
            server.set_fault(target_fault.clone());
            tokio::spawn(async move {
                tokio::time::sleep(fault.length).await;
                server.set_fault(FakeTargetFault::None);
            });
        }
    }

    fn freeze_routers(&self, fault: FaultEvent, rng: &mut ChaCha8Rng) -> Result<()> {
        for i in self.random_routers(fault.percent, rng) {
            self.freeze(self.routers[i].as_ref(), fault.length)?;
            self.mark_not_ready(i, fault.length);
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
        fault: FaultEvent,
        rng: &mut ChaCha8Rng,
        planned: bool,
    ) -> Result<()> {
        let selected = self.random_routers(fault.percent, rng);
        let mut stops = Vec::new();
        for i in &selected {
            let Some(process) = self.routers[*i].take() else {
                continue;
            };
            self.probes.record_life(*i);
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
            self.probes.record_life(i);
            self.mark_not_ready(i, Duration::from_millis(500));
        }
        Ok(())
    }

    async fn restart_control(
        &mut self,
        count: usize,
        fault: FaultEvent,
        rng: &mut ChaCha8Rng,
    ) -> Result<()> {
        let first = rng.random_range(0..self.control.len());
        let all = self.control.len();
        let selected: Vec<usize> = (0..count).map(|i| (first + i) % all).collect();
        self.restart_replicas(selected, fault.length).await
    }

    /// Kills replicas and restarts them after a sixth of `length`.
    async fn restart_replicas(&mut self, selected: Vec<usize>, length: Duration) -> Result<()> {
        for i in &selected {
            self.kill_replica(*i).await?;
        }
        tokio::time::sleep(length / 6).await;
        for i in selected {
            self.control[i] = Some(self.processes.control(i)?);
            self.limit_replica(i)?;
        }
        Ok(())
    }

    async fn kill_replica(&mut self, i: usize) -> Result<()> {
        if let Some(process) = self.control[i].take() {
            tokio::task::spawn_blocking(move || process.kill()).await?;
        }
        Ok(())
    }

    /// Returns the slot of the replica that was the last to say in its log that it leads.
    fn leader(&self) -> Result<usize> {
        let lines = self.processes.lines("event=role ")?;
        let led = lines.iter().filter(|l| l.contains("role=leader"));
        let led = led.filter_map(|line| {
            let term: u64 = line.rsplit("term=").next()?.trim().parse().ok()?;
            let name = line.split(':').next()?.strip_prefix("control-")?;
            Some((term, name.parse().ok()?))
        });
        let (_, slot) = led.max().context("no replica has led")?;
        Ok(slot)
    }

    /// Kills a replica, removes its disk and restarts it, once the one before has caught up.
    async fn lose_disk(&mut self, length: Duration, rng: &mut ChaCha8Rng) -> Result<()> {
        let i = rng.random_range(0..self.control.len());
        if let Some(at) = self.disk_lost_at {
            tokio::time::sleep_until(at + CATCH_UP).await;
        }
        self.kill_replica(i).await?;
        std::fs::remove_dir_all(self.processes.layout.data_folder(i))?;
        self.restart_replicas(vec![i], length).await?;
        self.disk_lost_at = Some(Instant::now());
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

    fn send_poison_parts(&self, length: Duration) {
        let callers = self.callers.clone();
        let routers = self.routers.len();
        tokio::spawn(async move {
            let count = length.as_millis() / POISON_PART_INTERVAL.as_millis();
            for i in 0..count as usize {
                tokio::spawn(callers.clone().send_poison_part(i % routers));
                tokio::time::sleep(POISON_PART_INTERVAL).await;
            }
        });
    }

    fn burst(&self, fault: FaultEvent) {
        let callers = self.callers.clone();
        callers.rate_percent.store(170, Ordering::Relaxed);
        tokio::spawn(async move {
            tokio::time::sleep(fault.length / 2).await;
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
