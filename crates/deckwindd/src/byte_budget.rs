//! Limit on the bytes that are held of all bodies together.

use deckwind_net::body::{CollectError, ReserveBytes};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Memory in MB of a VM whose settings don't state it: that of the smallest entry VM
/// requested so far.
const DEFAULT_MEMORY_MB: f64 = 160.0;

/// Returns a share of the VM's memory in bytes, `percent` of it but at least `min`.
pub fn memory_share(memory_mb: Option<f64>, percent: f64, min: u64) -> u64 {
    let memory = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * 1e6;
    ((memory * percent / 100.0) as u64).max(min)
}

/// Limit on the number of bytes that are reserved at the same time.
pub struct ByteBudget {
    max_bytes: u64,
    reserved: AtomicU64,
}

impl ByteBudget {
    /// Creates a limit of `max_bytes` bytes.
    pub fn new(max_bytes: u64) -> Arc<Self> {
        Arc::new(Self {
            max_bytes,
            reserved: AtomicU64::new(0),
        })
    }

    /// Number of reserved bytes.
    pub fn reserved(&self) -> u64 {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Creates an empty reservation.
    pub fn reservation(self: &Arc<Self>) -> ByteReservation {
        ByteReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// Reservation of bytes, released when it is dropped.
pub struct ByteReservation {
    budget: Arc<ByteBudget>,
    bytes: u64,
}

impl ReserveBytes for ByteReservation {
    fn reserve_bytes(&mut self, bytes: u64) -> Result<(), CollectError> {
        let before = self.budget.reserved.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > self.budget.max_bytes {
            self.budget.reserved.fetch_sub(bytes, Ordering::Relaxed);
            return Err(CollectError::OutOfMemory);
        }
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget
            .reserved
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
