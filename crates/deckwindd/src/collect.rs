//! Reads complete HTTP bodies, with a size limit per body and a limit on the bytes of all
//! bodies together.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Reason why a body could not be read completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CollectError {
    /// The body exceeds its size limit.
    TooLong,
    /// The limit on the bytes of all bodies together is reached.
    OutOfMemory,
    /// The connection failed before the end of the body.
    Broken(String),
}

impl std::fmt::Display for CollectError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CollectError::TooLong => f.write_str("it is too long"),
            CollectError::OutOfMemory => f.write_str("no memory for it"),
            CollectError::Broken(why) => f.write_str(why),
        }
    }
}

/// Reservation of memory that can grow, and is released when it is dropped.
pub trait ReserveBytes {
    /// Reserves more bytes.
    ///
    /// # Errors
    ///
    /// Fails, and reserves nothing, if the limit would be exceeded.
    fn reserve_bytes(&mut self, bytes: u64) -> Result<(), CollectError>;
}

/// Reads a complete body of at most `max_bytes` bytes. Memory is reserved from `held` as data
/// arrives.
///
/// # Errors
///
/// Fails if the body is too long, no memory can be reserved, or the connection fails.
pub async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    held: &mut impl ReserveBytes,
) -> Result<Bytes, CollectError> {
    let mut body_bytes = Bytes::new();
    let mut parts = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| CollectError::Broken(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if body_bytes.len() + parts.len() + data.len() > max_bytes {
            return Err(CollectError::TooLong);
        }
        held.reserve_bytes(data.len() as u64)?;
        // Most bodies arrive in a single frame, which is returned without a copy.
        if body_bytes.is_empty() && parts.is_empty() {
            body_bytes = data;
            continue;
        }
        parts.extend_from_slice(&std::mem::take(&mut body_bytes));
        parts.extend_from_slice(&data);
    }
    match parts.is_empty() {
        true => Ok(body_bytes),
        false => Ok(parts.freeze()),
    }
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
