//! Deltas in encoded form, compressed once and sent to many receivers.

use super::configuration::Delta;
use super::names::Revision;
use serde::{Deserialize, Serialize};
use std::io::Read;
use std::sync::Arc;
use thiserror::Error;

/// Encoded deltas up to this size are sent uncompressed, bytes. A changed target takes
/// some 70 bytes, which compression does not reduce.
const COMPRESSION_THRESHOLD: usize = 512;

/// Maximum size of an uncompressed delta, bytes: the size of a whole snapshot.
const MAX_DELTA_BYTES: u64 = 64 << 20;

/// An encoded delta, compressed if that makes it shorter.
///
/// Routes differ in a few bytes only, so compression reduces a large release to a
/// tenth. This determines how long a release takes to reach hundreds of routers,
/// because the leader sends all copies over its own link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PackedDelta {
    /// Revision that the receiver has after applying it.
    pub to: Revision,
    deflated: bool,
    bytes: Arc<[u8]>,
}

/// Error from decoding a packed delta.
#[derive(Debug, Error)]
pub enum UnpackError {
    /// The bytes are not a valid deflate stream.
    #[error("a packed delta can't be inflated: {0}")]
    Inflate(#[from] std::io::Error),
    /// The uncompressed delta exceeds the maximum size.
    #[error("a packed delta is longer than {MAX_DELTA_BYTES} bytes")]
    TooLong,
    /// The uncompressed bytes are not a valid delta.
    #[error("a packed delta is damaged: {0}")]
    Body(#[from] postcard::Error),
}

impl PackedDelta {
    /// Encodes a delta, and compresses it if it is longer than 512 bytes and that makes
    /// it shorter.
    pub fn of(delta: &Delta) -> Self {
        let plain = postcard::to_stdvec(delta).expect("deltas always serialize");
        let compressed = (plain.len() > COMPRESSION_THRESHOLD)
            .then(|| deflate(&plain))
            .flatten();
        Self {
            to: delta.to,
            deflated: compressed.is_some(),
            bytes: compressed.unwrap_or(plain).into(),
        }
    }

    /// Returns whether both contain the same delta. Compares by pointer first, since
    /// copies share their bytes.
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.bytes, &other.bytes) || self == other
    }

    /// Returns the size as sent, bytes.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// Decodes the delta.
    ///
    /// # Errors
    ///
    /// Fails if the bytes can't be inflated, are too long uncompressed, or are not a
    /// valid delta.
    pub fn unpack(&self) -> Result<Delta, UnpackError> {
        if !self.deflated {
            return Ok(postcard::from_bytes(&self.bytes)?);
        }
        let mut plain = Vec::new();
        let inflater = flate2::read::DeflateDecoder::new(&self.bytes[..]);
        inflater.take(MAX_DELTA_BYTES + 1).read_to_end(&mut plain)?;
        if plain.len() as u64 > MAX_DELTA_BYTES {
            return Err(UnpackError::TooLong);
        }
        Ok(postcard::from_bytes(&plain)?)
    }
}

/// Compresses bytes. Returns `None` if the result would not be shorter.
fn deflate(plain: &[u8]) -> Option<Vec<u8>> {
    let level = flate2::Compression::fast();
    let mut compressed = Vec::new();
    flate2::read::DeflateEncoder::new(plain, level)
        .read_to_end(&mut compressed)
        .ok()?;
    (compressed.len() < plain.len()).then_some(compressed)
}
