//! Counts the bytes that a router buffers for callers, and keeps them within a limit.
//!
//! Counted are answers on their way to callers, whole answers while they are received,
//! and the bodies of requests in progress.

use super::delivery::Delivery;
use crate::collect::{CollectError, Grow};
use deckwind_config::RouterSettings;
use deckwind_core::routes::{AnswerArena, AnswerKey, Behind, HoldLimits, Way};
use deckwind_core::time::Instant;
use deckwind_net::clock::Clock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Memory in MB of a VM whose settings don't state it: that of the smallest entry VM
/// requested so far.
const DEFAULT_MEMORY_MB: f64 = 160.0;

/// Share of the VM's memory that may be used for buffered bytes, in percent.
const HELD_PERCENT: f64 = 25.0;

/// Minimum of the limit in bytes: the longest body that callers are usually allowed.
const LEAST_BOUND: u64 = 4 << 20;

/// Time between two scans for callers to disconnect while none can be: each scan visits
/// all answers.
const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// Time between two checks whether callers are past their deadline.
const WATCH_EVERY: Duration = Duration::from_millis(1_000);

/// Time for which an answer may still be read after its caller's deadline.
const LATE_READ: Duration = Duration::from_millis(2_000);

/// Which callers are disconnected first; docs/design/slow-readers.md compares the
/// choices.
const WAY: Way = Way::LongestUnread;

/// What buffered bytes belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Answers that callers have not read.
    Answers,
    /// Requests that targets have not answered.
    Requests,
}

/// The answers on their way to callers, and the count of all buffered bytes.
pub struct Deliveries {
    clock: Clock,
    limits: HoldLimits,
    answers: AtomicU64,
    requests: AtomicU64,
    /// Time of the last scan for callers to disconnect, in milliseconds.
    looked: AtomicU64,
    cut: AtomicU64,
    waiting: Mutex<AnswerArena<Arc<Delivery>>>,
}

impl Deliveries {
    /// Creates an empty registry with the limit that the settings give.
    pub fn new(clock: Clock, cfg: &RouterSettings) -> Self {
        let bound = bound(cfg.memory);
        log::info!("event=held_bound bytes={bound} memory_mb={:?}", cfg.memory);
        Self {
            clock,
            limits: HoldLimits::of(bound),
            answers: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            looked: AtomicU64::new(0),
            cut: AtomicU64::new(0),
            waiting: Mutex::default(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the number of bytes that are buffered in total.
    pub fn held(&self) -> u64 {
        self.of(Side::Answers).load(Ordering::Relaxed)
            + self.of(Side::Requests).load(Ordering::Relaxed)
    }

    /// Returns the number of callers that were disconnected.
    pub fn cut(&self) -> u64 {
        self.cut.load(Ordering::Relaxed)
    }

    /// Counts a disconnected caller.
    pub fn note_cut(&self) {
        self.cut.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the maximum size of one whole answer in bytes, a quarter of the limit,
    /// so that no single answer uses all of it.
    pub fn most_of_one(&self) -> usize {
        (self.limits.refuse_above / 4) as usize
    }

    /// Whether `more` further bytes would exceed the limit. Disconnects slow callers
    /// first.
    pub fn is_full(&self, more: u64) -> bool {
        if self.held() + more > self.limits.cut_above {
            self.make_room();
        }
        self.held() + more > self.limits.refuse_above
    }

    /// Counts bytes that have to be buffered, without checking the limit.
    pub fn add(&self, side: Side, bytes: u64) {
        self.of(side).fetch_add(bytes, Ordering::Relaxed);
    }

    /// Disconnects callers if too many bytes are buffered.
    pub fn keep_bound(&self) {
        if self.held() > self.limits.cut_above {
            self.make_room();
        }
    }

    /// Removes bytes that are no longer buffered from the count.
    pub fn sub(&self, side: Side, bytes: u64) {
        if bytes > 0 {
            self.of(side).fetch_sub(bytes, Ordering::Relaxed);
        }
    }

    fn of(&self, side: Side) -> &AtomicU64 {
        match side {
            Side::Answers => &self.answers,
            Side::Requests => &self.requests,
        }
    }

    fn waiting(&self) -> MutexGuard<'_, AnswerArena<Arc<Delivery>>> {
        self.waiting.lock().expect("no holder panics")
    }

    /// Registers an answer that begins.
    pub fn enter(&self, delivery: Arc<Delivery>) -> AnswerKey {
        self.waiting().insert(delivery)
    }

    /// Removes an answer that has been delivered, or whose caller has disconnected.
    pub fn leave(&self, key: AnswerKey) {
        self.waiting().remove(key);
    }

    fn behind(&self) -> Vec<(Arc<Delivery>, Behind)> {
        let waiting = self.waiting();
        let all = waiting.iter();
        all.filter_map(|(key, d)| Some((d.clone(), d.behind(key)?)))
            .collect()
    }

    /// Disconnects callers until few enough bytes are buffered.
    fn make_room(&self) {
        let now = self.clock.now().since(Instant::ZERO).as_millis() as u64;
        let before = self.looked.load(Ordering::Relaxed);
        if before > 0 && now < before + LOOK_AGAIN.as_millis() as u64 {
            return;
        }
        self.looked.store(now, Ordering::Relaxed);
        let all = self.behind();
        let only: Vec<Behind> = all.iter().map(|(_, b)| *b).collect();
        let cut = self.limits.cut(WAY, self.held(), &only);
        for key in &cut {
            if let Some((delivery, behind)) = all.iter().find(|(_, b)| b.key == *key) {
                delivery.cut(behind, "memory");
            }
        }
        if !cut.is_empty() {
            self.looked.store(0, Ordering::Relaxed);
        }
    }

    /// Disconnects, in an endless loop, callers that have not read their answer some
    /// time after their deadline, and updates the metrics.
    pub async fn watch(self: Arc<Self>) {
        loop {
            tokio::time::sleep(WATCH_EVERY).await;
            let now = self.clock.now();
            let all = self.behind();
            for (delivery, behind) in &all {
                if now > delivery.until() + LATE_READ {
                    delivery.cut(behind, "time");
                }
            }
            metrics::gauge!("deckwind_route_callers_behind").set(all.len() as f64);
            for (side, name) in [(Side::Answers, "answers"), (Side::Requests, "requests")] {
                let held = self.of(side).load(Ordering::Relaxed);
                metrics::gauge!("deckwind_route_held_bytes", "side" => name).set(held as f64);
            }
        }
    }
}

fn bound(memory_mb: Option<f64>) -> u64 {
    let memory = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * 1e6;
    ((memory * HELD_PERCENT / 100.0) as u64).max(LEAST_BOUND)
}

/// A count of buffered bytes that is released when dropped.
pub struct Held {
    deliveries: Arc<Deliveries>,
    side: Side,
    bytes: u64,
}

impl Held {
    /// Creates a count of zero bytes.
    pub fn new(deliveries: &Arc<Deliveries>, side: Side) -> Self {
        Self {
            deliveries: deliveries.clone(),
            side,
            bytes: 0,
        }
    }
}

impl Grow for Held {
    fn grow(&mut self, bytes: u64) -> Result<(), CollectError> {
        if self.deliveries.is_full(bytes) {
            return Err(CollectError::NoRoom);
        }
        self.deliveries.add(self.side, bytes);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.deliveries.sub(self.side, self.bytes);
    }
}
