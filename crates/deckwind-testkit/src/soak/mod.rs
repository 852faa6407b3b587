//! Randomized soak test of the real programs as separate processes: faults are injected
//! by signals and a fault-injecting proxy, and guarantees are checked by what callers,
//! operators and targets observe.
//!
//! The soak test is for faults that seeded schedules in virtual time can't reveal, not for
//! measurements. A seed reproduces the faults of a run, but not its schedule.

mod calls;
mod environment;
mod limits;
mod notices;
mod proxy;
mod replicas;

pub use limits::check_limits;
pub use notices::{FaultSpans, id_for_router};
pub use proxy::{Proxy, ProxyFault};

use crate::processes::{Process, Processes};
use anyhow::{Result, ensure};
use environment::Environment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Number of control replicas and of routers.
const REPLICA_COUNT: usize = 3;
const ROUTER_COUNT: usize = 2;

/// Longest time from the last fault until everything is served again: an election,
/// leases, the longest time that a target is avoided, and restarts.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time that a simulated suspension of a VM adds to its clock: longer than a lease.
pub const SUSPENSION_TIME: Duration = Duration::from_secs(4);

/// Probability that a fault comes with a target that refuses all requests for a while.
const REFUSAL_PROBABILITY: f64 = 0.4;

/// Probability that a fault comes with a target that announces a rate limit for a while.
const LIMIT_PROBABILITY: f64 = 0.5;

/// Probability that a fault comes with a target that crashes under load.
const CRASH_PROBABILITY: f64 = 0.5;

/// Probability that a fault comes with a crowd of connections at one router.
const CROWD_PROBABILITY: f64 = 0.3;

/// Probability that a fault comes with a control replica that loses its disk, if all vote.
const DISK_LOSS_PROBABILITY: f64 = 0.3;

/// Probability that another replica is killed while one that lost its disk is taken in.
const KILL_BESIDE_PROBABILITY: f64 = 0.6;

/// Longest time from the return of a replica that lost its disk until another is killed, ms:
/// it may be a learner by then, or not known yet.
const KILL_BESIDE_MS: u64 = 900;

/// Results of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Number of requests.
    pub asked: u64,
    /// Number of complete answers.
    pub served: u64,
    /// Number of requests refused without being run.
    pub refused: u64,
    /// Highest release version that was acknowledged.
    pub released: u64,
    /// Number of answers that were broken off visibly.
    pub broken: u64,
    /// Number of answers that their targets cut where nobody can tell that from their end.
    pub cut_unseen: u64,
    /// Number of new connections of crowds that a router closed unread.
    pub unread: u64,
    /// Number of injected faults.
    pub faults: u64,
}

/// Way in which a process is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopKind {
    /// Sends SIGKILL.
    Kill,
    /// Sends SIGTERM and waits for the exit.
    Terminate,
}

struct Soak {
    processes: Processes,
    control: Vec<Option<Process>>,
    routers: Vec<Option<Process>>,
    environment: Environment,
    rng: ChaCha8Rng,
    /// Generator for targets that refuse all requests. It is separate so that each seed
    /// still draws the same other faults as before these were added.
    refusal_rng: ChaCha8Rng,
    /// Generator for targets that announce rate limits, separate for the same reason.
    limit_rng: ChaCha8Rng,
    /// Generator for targets that crash under load, separate for the same reason.
    crash_rng: ChaCha8Rng,
    /// Generator for crowds of connections, separate for the same reason.
    crowd_rng: ChaCha8Rng,
    /// Generator for lost disks of control replicas, separate for the same reason.
    disk_rng: ChaCha8Rng,
    /// Tasks that resume suspended processes.
    resumes: JoinSet<Result<()>>,
    faults: u64,
}

/// Runs one seed for `length`.
///
/// # Errors
///
/// Fails if a guarantee was violated, and names it.
pub async fn run(processes: Processes, seed: u64, length: Duration) -> Result<Seen> {
    let mut soak = Soak::start(processes, seed).await?;
    soak.environment.wait_until_served(RECOVERY_TIMEOUT).await?;
    let workload = soak.environment.start_workload();
    let end = Instant::now() + length;
    while Instant::now() < end {
        soak.inject_fault().await?;
        let pause = soak.rng.random_range(50..1_200);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    soak.heal().await?;
    soak.environment.wait_until_served(RECOVERY_TIMEOUT).await?;
    workload.stop().await;
    soak.environment
        .check_poison_requests(RECOVERY_TIMEOUT)
        .await?;
    let seen = soak.environment.check(RECOVERY_TIMEOUT).await?;
    soak.close()?;
    Ok(Seen {
        faults: soak.faults,
        ..seen
    })
}

impl Soak {
    async fn start(processes: Processes, seed: u64) -> Result<Self> {
        let control = (0..REPLICA_COUNT).map(|i| processes.control(i).map(Some));
        let control = control.collect::<Result<Vec<_>>>()?;
        let routers = (0..ROUTER_COUNT).map(|i| processes.router(i).map(Some));
        let routers = routers.collect::<Result<Vec<_>>>()?;
        let environment = Environment::start(&processes.layout, seed).await?;
        Ok(Self {
            processes,
            control,
            routers,
            environment,
            rng: ChaCha8Rng::seed_from_u64(seed),
            refusal_rng: ChaCha8Rng::seed_from_u64(!seed),
            limit_rng: ChaCha8Rng::seed_from_u64(seed.rotate_left(32)),
            crash_rng: ChaCha8Rng::seed_from_u64(!seed.rotate_left(32)),
            crowd_rng: ChaCha8Rng::seed_from_u64(seed.rotate_left(16)),
            disk_rng: ChaCha8Rng::seed_from_u64(seed.rotate_left(48)),
            resumes: JoinSet::new(),
            faults: 0,
        })
    }

    /// Injects one fault. At most one replica at a time is killed or stopped, so that
    /// there is a majority for most of the run; pauses may overlap with that.
    async fn inject_fault(&mut self) -> Result<()> {
        self.faults += 1;
        if self.refusal_rng.random_bool(REFUSAL_PROBABILITY) {
            let ms = Duration::from_millis(self.refusal_rng.random_range(200..2_500));
            self.environment.refuse_requests(&mut self.refusal_rng, ms);
        }
        if self.limit_rng.random_bool(LIMIT_PROBABILITY) {
            let ms = Duration::from_millis(self.limit_rng.random_range(1_000..6_000));
            self.environment.announce_limits(&mut self.limit_rng, ms);
        }
        if self.crash_rng.random_bool(CRASH_PROBABILITY) {
            let ms = Duration::from_millis(self.crash_rng.random_range(50..800));
            self.environment.crash_target(&mut self.crash_rng, ms);
        }
        if self.crowd_rng.random_bool(CROWD_PROBABILITY) {
            let ms = Duration::from_millis(self.crowd_rng.random_range(300..1_500));
            let router = self.crowd_rng.random_range(0..ROUTER_COUNT);
            self.environment.crowd(router, ms);
        }
        if self.disk_rng.random_bool(DISK_LOSS_PROBABILITY) {
            self.lose_disk().await?;
        }
        let ms = Duration::from_millis(self.rng.random_range(50..2_500));
        match self.rng.random_range(0..10) {
            0 => self.restart_control(StopKind::Kill, ms).await,
            1 => self.restart_control(StopKind::Terminate, ms).await,
            2 => self.restart_router(StopKind::Kill, ms).await,
            3 => self.restart_router(StopKind::Terminate, ms).await,
            4 => self.pause(ms, false),
            9 => self.pause(ms, true),
            5 => {
                self.environment.disturb_connections(&mut self.rng, ms);
                Ok(())
            }
            6 => {
                self.environment.disturb_connections(&mut self.rng, ms);
                self.environment.disturb_connections(&mut self.rng, ms / 2);
                Ok(())
            }
            7 => self.environment.replace_target(&mut self.rng).await,
            _ => {
                self.environment.restart_target(&mut self.rng);
                Ok(())
            }
        }
    }

    async fn restart_control(&mut self, how: StopKind, down: Duration) -> Result<()> {
        let i = self.rng.random_range(0..REPLICA_COUNT);
        if let Some(process) = self.control[i].take() {
            stop_process(process, how).await?;
        }
        tokio::time::sleep(down / 2).await;
        self.control[i] = Some(self.processes.control(i)?);
        Ok(())
    }

    /// Kills a control replica and removes its disk, if all replicas vote: with three of them
    /// only one disk may be lost at a time. Another one may be killed while the first is taken
    /// in; it comes back with its disk.
    async fn lose_disk(&mut self) -> Result<()> {
        let i = self.disk_rng.random_range(0..REPLICA_COUNT);
        let other = (i + self.disk_rng.random_range(1..REPLICA_COUNT)) % REPLICA_COUNT;
        let down = Duration::from_millis(self.disk_rng.random_range(20..600));
        let beside = Duration::from_millis(self.disk_rng.random_range(0..KILL_BESIDE_MS));
        let kills_beside = self.disk_rng.random_bool(KILL_BESIDE_PROBABILITY);
        if !replicas::all_vote(&self.processes.layout.control_admin).await {
            return Ok(());
        }
        self.kill_control(i).await?;
        std::fs::remove_dir_all(self.processes.layout.data_folder(i))?;
        tokio::time::sleep(down).await;
        self.control[i] = Some(self.processes.control(i)?);
        if kills_beside {
            tokio::time::sleep(beside).await;
            self.kill_control(other).await?;
            tokio::time::sleep(down).await;
            self.control[other] = Some(self.processes.control(other)?);
        }
        Ok(())
    }

    async fn kill_control(&mut self, i: usize) -> Result<()> {
        match self.control[i].take() {
            Some(process) => stop_process(process, StopKind::Kill).await,
            None => Ok(()),
        }
    }

    async fn restart_router(&mut self, how: StopKind, down: Duration) -> Result<()> {
        let i = self.rng.random_range(0..ROUTER_COUNT);
        self.environment.record_router_fault(i);
        let begun = Instant::now();
        if let Some(process) = self.routers[i].take() {
            stop_process(process, how).await?;
        }
        if how == StopKind::Kill {
            self.environment.record_router_kill(i, begun);
        }
        tokio::time::sleep(down / 2).await;
        // The new process knows nothing that the old one received while it stopped.
        self.environment.record_router_fault(i);
        self.routers[i] = Some(self.processes.router(i)?);
        Ok(())
    }

    /// Suspends a process, which is resumed after `ms` while other faults go on. With
    /// `suspended`, its clock also advances without its timers, as when a VM is suspended.
    fn pause(&mut self, ms: Duration, suspended: bool) -> Result<()> {
        let i = self.rng.random_range(0..REPLICA_COUNT + ROUTER_COUNT);
        let all = self.control.iter().chain(&self.routers);
        let Some(Some(process)) = all.into_iter().nth(i) else {
            return Ok(());
        };
        process.signal("STOP")?;
        let handle = process.resume_handle();
        let router = i.checked_sub(REPLICA_COUNT);
        let record = router.map(|r| self.environment.router_fault_recorder(r));
        self.resumes.spawn(async move {
            tokio::time::sleep(ms).await;
            if let Some(record) = record {
                record();
            }
            match suspended {
                true => handle.resume_vm(),
                false => handle.resume(),
            }
        });
        Ok(())
    }

    async fn heal(&mut self) -> Result<()> {
        while let Some(resumed) = self.resumes.join_next().await {
            resumed??;
        }
        self.environment.heal();
        let all = self.control.iter().chain(&self.routers);
        ensure!(
            all.flatten().count() == REPLICA_COUNT + ROUTER_COUNT,
            "not all processes run"
        );
        let admin = &self.processes.layout.control_admin;
        replicas::wait_until_all_vote(admin, RECOVERY_TIMEOUT).await
    }

    fn close(&mut self) -> Result<()> {
        for process in self.routers.iter_mut().chain(&mut self.control) {
            let code = process.take().map(Process::terminate).transpose()?;
            let errors = self.processes.errors()?;
            ensure!(
                code == Some(Some(0)),
                "a planned stop ended with exit code {code:?}: {errors:?}"
            );
        }
        Ok(())
    }
}

async fn stop_process(process: Process, how: StopKind) -> Result<()> {
    let stopped = tokio::task::spawn_blocking(move || match how {
        StopKind::Kill => {
            process.kill();
            Ok(Some(0))
        }
        StopKind::Terminate => process.terminate(),
    });
    let code = stopped.await??;
    ensure!(
        code == Some(0),
        "a planned stop ended with exit code {code:?}"
    );
    Ok(())
}
