//! Reads bodies whole, within a bound on one and a bound on all together.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why a body could not be read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CollectError {
    /// It is longer than it may be.
    TooLong,
    /// All together are held that may be.
    NoRoom,
    /// It broke off.
    Broken(String),
}

impl std::fmt::Display for CollectError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CollectError::TooLong => f.write_str("it is too long"),
            CollectError::NoRoom => f.write_str("no memory for it"),
            CollectError::Broken(why) => f.write_str(why),
        }
    }
}

/// Counts what is held, and gives it back when it is dropped.
pub trait Grow {
    /// Some bytes more, if there is room for them.
    fn grow(&mut self, bytes: u64) -> Result<(), CollectError>;
}

/// Reads a whole body of `most` bytes at most, and counts it as it comes.
pub async fn collect(
    mut body: Incoming,
    most: usize,
    held: &mut impl Grow,
) -> Result<Bytes, CollectError> {
    let mut whole = Bytes::new();
    let mut parts = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| CollectError::Broken(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + parts.len() + data.len() > most {
            return Err(CollectError::TooLong);
        }
        held.grow(data.len() as u64)?;
        // Most bodies come in one piece, which is not copied.
        if whole.is_empty() && parts.is_empty() {
            whole = data;
            continue;
        }
        parts.extend_from_slice(&std::mem::take(&mut whole));
        parts.extend_from_slice(&data);
    }
    match parts.is_empty() {
        true => Ok(whole),
        false => Ok(parts.freeze()),
    }
}

/// Bytes that may be held at once.
pub struct Room {
    most: u64,
    held: AtomicU64,
}

impl Room {
    /// For so many bytes.
    pub fn new(most: u64) -> Arc<Self> {
        Arc::new(Self {
            most,
            held: AtomicU64::new(0),
        })
    }

    /// Bytes that are held.
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Nothing of it yet.
    pub fn part(self: &Arc<Self>) -> Part {
        Part {
            room: self.clone(),
            bytes: 0,
        }
    }
}

/// Bytes of a room that are held for as long as this lives.
pub struct Part {
    room: Arc<Room>,
    bytes: u64,
}

impl Grow for Part {
    fn grow(&mut self, bytes: u64) -> Result<(), CollectError> {
        let before = self.room.held.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > self.room.most {
            self.room.held.fetch_sub(bytes, Ordering::Relaxed);
            return Err(CollectError::NoRoom);
        }
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.room.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
