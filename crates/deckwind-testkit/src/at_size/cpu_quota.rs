//! Holds processes to a share of a core, as a scheduler's quota does.
//!
//! In each period a process may use its share of the period as processor time, over all its
//! threads; then it is suspended until the period ends. The time is read in intervals, so a
//! process with several busy threads may use a little more.

use crate::processes::{Process, ResumeHandle};
use anyhow::Result;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Period of the quota.
const PERIOD: Duration = Duration::from_millis(100);

/// Interval between two readings of the processor time.
const READ_INTERVAL: Duration = Duration::from_millis(3);

/// Processor time of one process while it was held to its share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProcessorUse {
    /// Name of the process.
    pub name: String,
    /// Processor time that it used.
    pub used: Duration,
    /// Time for which it was held to its share.
    pub held: Duration,
    /// Number of periods, and of those in which it was suspended.
    pub periods: (u32, u32),
    /// Most periods in a row in which it was suspended.
    pub longest_row: u32,
}

/// A process that is held to its share.
struct HeldProcess {
    process: ResumeHandle,
    since: Instant,
    first_use: Duration,
    used_at_period: Duration,
    is_suspended: bool,
    /// Time until which somebody else suspends the process.
    left_alone_until: Option<Instant>,
    row: u32,
    result: ProcessorUse,
}

impl HeldProcess {
    /// Starts a period: resumes the process if the quota has suspended it.
    fn start_period(&mut self, used: Duration) -> Result<()> {
        self.result.periods.0 += 1;
        self.used_at_period = used;
        if !std::mem::take(&mut self.is_suspended) {
            self.row = 0;
            return Ok(());
        }
        self.row += 1;
        self.result.longest_row = self.result.longest_row.max(self.row);
        self.process.resume()
    }

    /// Suspends the process if it has used its share of this period.
    fn limit(&mut self, used: Duration, share: Duration) -> Result<()> {
        if self.is_suspended || used.saturating_sub(self.used_at_period) < share {
            return Ok(());
        }
        self.is_suspended = true;
        self.result.periods.1 += 1;
        self.process.suspend()
    }

    /// Updates the result and applies the quota; returns whether the process still runs.
    fn update(&mut self, is_new_period: bool, share: Duration) -> Result<bool> {
        let Some(used) = self.process.processor_time()? else {
            return Ok(false);
        };
        self.result.used = used.saturating_sub(self.first_use);
        self.result.held = self.since.elapsed();
        let is_left_alone = self
            .left_alone_until
            .is_some_and(|until| Instant::now() < until);
        if is_left_alone {
            self.used_at_period = used;
            return Ok(true);
        }
        if is_new_period {
            self.start_period(used)?;
        }
        self.limit(used, share)?;
        Ok(true)
    }
}

/// Processes that are held to a share of a core each.
#[derive(Default)]
struct State {
    running: Vec<HeldProcess>,
    ended: Vec<ProcessorUse>,
}

impl State {
    fn update(&mut self, is_new_period: bool, share: Duration) {
        let (ended, mut running) = (&mut self.ended, std::mem::take(&mut self.running));
        running.retain_mut(|held| match held.update(is_new_period, share) {
            Ok(true) => true,
            Ok(false) => {
                ended.push(held.result.clone());
                false
            }
            Err(e) => {
                let name = &held.result.name;
                eprintln!("{name} is no longer held to its share of a core: {e:#}");
                ended.push(held.result.clone());
                false
            }
        });
        self.running = running;
    }
}

/// Holds processes to a share of a core each until it is closed.
pub struct CpuQuota {
    state: Arc<Mutex<State>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl CpuQuota {
    /// Starts the thread that holds processes to this share of a core.
    pub fn start(share: f64) -> Self {
        let (state, stop) = (Arc::<Mutex<State>>::default(), Arc::<AtomicBool>::default());
        let thread = {
            let (state, stop) = (state.clone(), stop.clone());
            std::thread::spawn(move || hold_processes(&state, PERIOD.mul_f64(share), &stop))
        };
        Self {
            state,
            stop,
            thread: Some(thread),
        }
    }

    /// Holds a process to the share from now on.
    pub fn hold(&self, name: &str, process: &Process) -> Result<()> {
        let process = process.resume_handle();
        let used = process.processor_time()?.unwrap_or_default();
        let held = HeldProcess {
            process,
            since: Instant::now(),
            first_use: used,
            used_at_period: used,
            is_suspended: false,
            left_alone_until: None,
            row: 0,
            result: ProcessorUse {
                name: name.to_string(),
                ..ProcessorUse::default()
            },
        };
        let mut state = self.state.lock().expect("no holder panics");
        state.running.push(held);
        Ok(())
    }

    /// Leaves a process alone that somebody else suspends for this time.
    pub fn leave_alone(&self, name: &str, length: Duration) {
        let mut state = self.state.lock().expect("no holder panics");
        for held in state.running.iter_mut().filter(|h| h.result.name == name) {
            held.left_alone_until = Some(Instant::now() + length);
            held.is_suspended = false;
        }
    }

    /// Resumes all processes and returns what each of them has used.
    pub fn close(mut self) -> Vec<ProcessorUse> {
        self.stop_thread();
        let state = self.state.lock().expect("no holder panics");
        let running = state.running.iter().map(|held| held.result.clone());
        state.ended.iter().cloned().chain(running).collect()
    }

    fn stop_thread(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let ended = self.thread.take().map(JoinHandle::join);
        if let Some(Err(_)) = ended {
            eprintln!("the thread that holds processes to their share has panicked");
        }
    }
}

impl Drop for CpuQuota {
    fn drop(&mut self) {
        self.stop_thread();
    }
}

fn hold_processes(state: &Mutex<State>, share: Duration, stop: &AtomicBool) {
    let mut period = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        let is_new_period = period.elapsed() >= PERIOD;
        if is_new_period {
            period = Instant::now();
        }
        state
            .lock()
            .expect("no holder panics")
            .update(is_new_period, share);
        std::thread::sleep(READ_INTERVAL);
    }
    let state = state.lock().expect("no holder panics");
    for held in state.running.iter().filter(|held| held.is_suspended) {
        if let Err(e) = held.process.resume() {
            eprintln!("can't resume {}: {e:#}", held.result.name);
        }
    }
}
