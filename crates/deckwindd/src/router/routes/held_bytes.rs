//! Counts the bytes that a router buffers for callers, and keeps them within a limit.
//!
//! The count covers answers on their way to callers, whole answers that were received, and the
//! bodies of requests in progress. What is being received from targets counts in the budget of
//! their connections.

use super::delivery::Delivery;
use crate::byte_budget::memory_share;
use deckwind_config::RouterSettings;
use deckwind_core::routes::{AnswerArena, AnswerKey, BufferLimits, DisconnectOrder, LaggingCaller};
use deckwind_core::time::Instant;
use deckwind_net::body::{CollectError, ReserveBytes};
use deckwind_net::clock::Clock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Share of the VM's memory that may be used for buffered bytes, in percent.
const MAX_HELD_PERCENT: f64 = 25.0;

/// Minimum of the limit in bytes: the longest body that callers are usually allowed.
const MIN_LIMIT: u64 = 4 << 20;

/// Time between two scans for callers to disconnect while none can be: each scan visits
/// all answers.
const RESCAN_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two checks whether callers are past their deadline.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time for which an answer may still be read after its caller's deadline.
const READ_GRACE_PERIOD: Duration = Duration::from_millis(2_000);

/// Order in which callers are disconnected; docs/design/slow-readers.md compares the
/// choices.
const DISCONNECT_ORDER: DisconnectOrder = DisconnectOrder::LongestUnread;

/// Kind of data that buffered bytes belong to.
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
    limits: BufferLimits,
    answers: AtomicU64,
    requests: AtomicU64,
    /// Time of the last scan for callers to disconnect, in milliseconds.
    last_scan_ms: AtomicU64,
    disconnected: AtomicU64,
    active: Mutex<AnswerArena<Arc<Delivery>>>,
}

impl Deliveries {
    /// Creates an empty registry with the limit that the settings give.
    pub fn new(clock: Clock, cfg: &RouterSettings) -> Self {
        let limit = memory_share(cfg.memory, MAX_HELD_PERCENT, MIN_LIMIT);
        log::info!("event=held_bound bytes={limit} memory_mb={:?}", cfg.memory);
        Self {
            clock,
            limits: BufferLimits::of(limit),
            answers: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            last_scan_ms: AtomicU64::new(0),
            disconnected: AtomicU64::new(0),
            active: Mutex::default(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the number of bytes that are buffered in total.
    pub fn held_bytes(&self) -> u64 {
        self.counter(Side::Answers).load(Ordering::Relaxed)
            + self.counter(Side::Requests).load(Ordering::Relaxed)
    }

    /// Returns the number of callers that were disconnected.
    pub fn disconnected_count(&self) -> u64 {
        self.disconnected.load(Ordering::Relaxed)
    }

    /// Counts a disconnected caller.
    pub fn count_disconnect(&self) {
        self.disconnected.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the maximum size of one whole answer in bytes, a quarter of the limit,
    /// so that no single answer uses all of it.
    pub fn max_answer_size(&self) -> usize {
        (self.limits.refuse_above / 4) as usize
    }

    /// Whether `more` further bytes would exceed the limit. Disconnects slow callers
    /// first.
    pub fn is_full(&self, more: u64) -> bool {
        if self.held_bytes() + more > self.limits.cut_above {
            self.disconnect_slow_callers();
        }
        self.held_bytes() + more > self.limits.refuse_above
    }

    /// Counts bytes that have to be buffered, without checking the limit.
    pub fn add(&self, side: Side, bytes: u64) {
        self.counter(side).fetch_add(bytes, Ordering::Relaxed);
    }

    /// Disconnects callers if too many bytes are buffered.
    pub fn enforce_limit(&self) {
        if self.held_bytes() > self.limits.cut_above {
            self.disconnect_slow_callers();
        }
    }

    /// Removes bytes that are no longer buffered from the count.
    pub fn sub(&self, side: Side, bytes: u64) {
        if bytes > 0 {
            self.counter(side).fetch_sub(bytes, Ordering::Relaxed);
        }
    }

    fn counter(&self, side: Side) -> &AtomicU64 {
        match side {
            Side::Answers => &self.answers,
            Side::Requests => &self.requests,
        }
    }

    fn active(&self) -> MutexGuard<'_, AnswerArena<Arc<Delivery>>> {
        self.active.lock().expect("no holder panics")
    }

    /// Registers an answer that begins.
    pub fn register(&self, delivery: Arc<Delivery>) -> AnswerKey {
        self.active().insert(delivery)
    }

    /// Removes an answer that has been delivered, or whose caller has disconnected.
    pub fn unregister(&self, key: AnswerKey) {
        self.active().remove(key);
    }

    fn lagging(&self) -> Vec<(Arc<Delivery>, LaggingCaller)> {
        let active = self.active();
        let all = active.iter();
        all.filter_map(|(key, d)| Some((d.clone(), d.lagging(key)?)))
            .collect()
    }

    /// Disconnects callers until few enough bytes are buffered.
    fn disconnect_slow_callers(&self) {
        let now = self.clock.now().since(Instant::ZERO).as_millis() as u64;
        let last_ms = self.last_scan_ms.load(Ordering::Relaxed);
        if last_ms > 0 && now < last_ms + RESCAN_INTERVAL.as_millis() as u64 {
            return;
        }
        self.last_scan_ms.store(now, Ordering::Relaxed);
        let all = self.lagging();
        let only: Vec<LaggingCaller> = all.iter().map(|(_, b)| *b).collect();
        let to_disconnect = self
            .limits
            .select(DISCONNECT_ORDER, self.held_bytes(), &only);
        for key in &to_disconnect {
            if let Some((delivery, lagging)) = all.iter().find(|(_, b)| b.key == *key) {
                delivery.disconnect_caller(lagging, "memory");
            }
        }
        if !to_disconnect.is_empty() {
            self.last_scan_ms.store(0, Ordering::Relaxed);
        }
    }

    /// Disconnects, in an endless loop, callers that have not read their answer some
    /// time after their deadline, and updates the metrics.
    pub async fn monitor(self: Arc<Self>) {
        loop {
            tokio::time::sleep(DEADLINE_CHECK_INTERVAL).await;
            let now = self.clock.now();
            let all = self.lagging();
            for (delivery, lagging) in &all {
                if now > delivery.deadline() + READ_GRACE_PERIOD {
                    delivery.disconnect_caller(lagging, "time");
                }
            }
            metrics::gauge!("deckwind_route_callers_behind").set(all.len() as f64);
            for (side, name) in [(Side::Answers, "answers"), (Side::Requests, "requests")] {
                let held = self.counter(side).load(Ordering::Relaxed);
                metrics::gauge!("deckwind_route_held_bytes", "side" => name).set(held as f64);
            }
        }
    }
}

/// A count of buffered bytes that is released when dropped.
pub struct HeldBytes {
    deliveries: Arc<Deliveries>,
    side: Side,
    bytes: u64,
}

impl HeldBytes {
    /// Creates a count of zero bytes.
    pub fn new(deliveries: &Arc<Deliveries>, side: Side) -> Self {
        Self {
            deliveries: deliveries.clone(),
            side,
            bytes: 0,
        }
    }

    /// Counts bytes that are buffered already. Disconnects slow callers if the limit is
    /// exceeded.
    pub fn add(&mut self, bytes: usize) {
        self.deliveries.add(self.side, bytes as u64);
        self.bytes += bytes as u64;
        self.deliveries.enforce_limit();
    }
}

impl ReserveBytes for HeldBytes {
    fn reserve_bytes(&mut self, bytes: u64) -> Result<(), CollectError> {
        if self.deliveries.is_full(bytes) {
            return Err(CollectError::OutOfMemory);
        }
        self.deliveries.add(self.side, bytes);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.deliveries.sub(self.side, self.bytes);
    }
}
