//! A randomized soak of the real programs, as separate processes: signals and a
//! harmful proxy from outside, and the promises checked from what callers,
//! operators and targets see.
//!
//! For: finding what seeded schedules in virtual time can't. Not for: figures.
//! A run repeats its faults by its seed, not its schedule.

mod calls;
mod limits;
mod notices;
mod proxy;
mod world;

pub use limits::check_limits;
pub use notices::{Spans, id_at};
pub use proxy::{Harm, Proxy};

use crate::processes::{Process, Processes};
use anyhow::{Result, ensure};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};
use world::World;

/// Replicas and routers.
const CONTROL: usize = 3;
const ROUTERS: usize = 2;

/// Longest time after the last fault until everything is served again: an
/// election, leases, the longest time a target is avoided, and restarts.
const RECOVER_WITHIN: Duration = Duration::from_secs(20);

/// What a VM is suspended at a time: longer than a lease.
pub const SUSPENDED_FOR: Duration = Duration::from_secs(4);

/// Beside how many faults a target turns all away.
const TURNS_AWAY: f64 = 0.4;

/// Part of the faults beside which a target names a limit for a while.
const NAMES_LIMIT: f64 = 0.5;

/// What one run saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Requests.
    pub asked: u64,
    /// Whole answers.
    pub served: u64,
    /// Refusals that say "not run".
    pub refused: u64,
    /// Releases that were acknowledged.
    pub released: u64,
    /// Faults.
    pub faults: u64,
}

/// How a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// SIGKILL.
    Kill,
    /// SIGTERM; waits until it is gone.
    Terminate,
}

struct Soak {
    processes: Processes,
    control: Vec<Option<Process>>,
    routers: Vec<Option<Process>>,
    world: World,
    rng: ChaCha8Rng,
    /// Draws for targets that turn all away, so that seeds draw the other faults as
    /// they did before there were such.
    words: ChaCha8Rng,
    /// The same for targets that name limits.
    limits: ChaCha8Rng,
    faults: u64,
}

/// Runs one seed for so long; an error names the promise that was broken.
pub async fn run(processes: Processes, seed: u64, length: Duration) -> Result<Seen> {
    let mut soak = Soak::start(processes, seed).await?;
    soak.world.until_served(RECOVER_WITHIN).await?;
    let work = soak.world.work();
    let end = Instant::now() + length;
    while Instant::now() < end {
        soak.fault().await?;
        let pause = soak.rng.random_range(50..1_200);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    soak.heal()?;
    soak.world.until_served(RECOVER_WITHIN).await?;
    work.stop().await;
    soak.world.check_ends(RECOVER_WITHIN).await?;
    let seen = soak.world.check(RECOVER_WITHIN).await?;
    soak.close()?;
    Ok(Seen {
        faults: soak.faults,
        ..seen
    })
}

impl Soak {
    async fn start(processes: Processes, seed: u64) -> Result<Self> {
        let control = (0..CONTROL).map(|i| processes.control(i).map(Some));
        let control = control.collect::<Result<Vec<_>>>()?;
        let routers = (0..ROUTERS).map(|i| processes.router(i).map(Some));
        let routers = routers.collect::<Result<Vec<_>>>()?;
        let world = World::start(&processes.layout, seed).await?;
        Ok(Self {
            processes,
            control,
            routers,
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
            words: ChaCha8Rng::seed_from_u64(!seed),
            limits: ChaCha8Rng::seed_from_u64(seed.rotate_left(32)),
            faults: 0,
        })
    }

    /// One fault. Kills and stops come to one replica at a time, so that most of
    /// the run has a majority; pauses may overlap with them.
    async fn fault(&mut self) -> Result<()> {
        self.faults += 1;
        if self.words.random_bool(TURNS_AWAY) {
            let ms = Duration::from_millis(self.words.random_range(200..2_500));
            self.world.turn_away_some(&mut self.words, ms);
        }
        if self.limits.random_bool(NAMES_LIMIT) {
            let ms = Duration::from_millis(self.limits.random_range(1_000..6_000));
            self.world.limit_some(&mut self.limits, ms);
        }
        let ms = Duration::from_millis(self.rng.random_range(50..2_500));
        match self.rng.random_range(0..10) {
            0 => self.restart_control(End::Kill, ms).await,
            1 => self.restart_control(End::Terminate, ms).await,
            2 => self.restart_router(End::Kill, ms).await,
            3 => self.restart_router(End::Terminate, ms).await,
            4 => self.pause(ms, false).await,
            9 => self.pause(ms, true).await,
            5 => {
                self.world.harm_some(&mut self.rng, ms);
                Ok(())
            }
            6 => {
                self.world.harm_some(&mut self.rng, ms);
                self.world.harm_some(&mut self.rng, ms / 2);
                Ok(())
            }
            7 => self.world.replace_some(&mut self.rng).await,
            _ => {
                self.world.start_some_again(&mut self.rng);
                Ok(())
            }
        }
    }

    async fn restart_control(&mut self, how: End, down: Duration) -> Result<()> {
        let i = self.rng.random_range(0..CONTROL);
        if let Some(process) = self.control[i].take() {
            end(process, how).await?;
        }
        tokio::time::sleep(down / 2).await;
        self.control[i] = Some(self.processes.control(i)?);
        Ok(())
    }

    async fn restart_router(&mut self, how: End, down: Duration) -> Result<()> {
        let i = self.rng.random_range(0..ROUTERS);
        self.world.router_was_disturbed(i);
        if let Some(process) = self.routers[i].take() {
            end(process, how).await?;
        }
        tokio::time::sleep(down / 2).await;
        // The next process knows nothing of what the last one was told while it stopped.
        self.world.router_was_disturbed(i);
        self.routers[i] = Some(self.processes.router(i)?);
        Ok(())
    }

    /// A process stands still and wakes again. A suspended VM's timers have not gone
    /// on meanwhile.
    async fn pause(&mut self, ms: Duration, suspended: bool) -> Result<()> {
        let i = self.rng.random_range(0..CONTROL + ROUTERS);
        let all = self.control.iter().chain(&self.routers);
        let Some(Some(process)) = all.into_iter().nth(i) else {
            return Ok(());
        };
        process.signal("STOP")?;
        tokio::time::sleep(ms).await;
        if suspended {
            process.signal("USR1")?;
        }
        if let Some(router) = i.checked_sub(CONTROL) {
            self.world.router_was_disturbed(router);
        }
        process.signal("CONT")
    }

    fn heal(&mut self) -> Result<()> {
        self.world.heal();
        let all = self.control.iter().chain(&self.routers);
        ensure!(all.flatten().count() == CONTROL + ROUTERS, "all run again");
        Ok(())
    }

    fn close(&mut self) -> Result<()> {
        for process in self.routers.iter_mut().chain(&mut self.control) {
            let code = process.take().map(Process::terminate).transpose()?;
            let errors = self.processes.errors()?;
            ensure!(
                code == Some(Some(0)),
                "a planned stop ends with {code:?}: {errors:?}"
            );
        }
        Ok(())
    }
}

async fn end(process: Process, how: End) -> Result<()> {
    let ended = tokio::task::spawn_blocking(move || match how {
        End::Kill => {
            process.kill();
            Ok(Some(0))
        }
        End::Terminate => process.terminate(),
    });
    let code = ended.await??;
    ensure!(code == Some(0), "a planned stop ends with {code:?}");
    Ok(())
}
