//! A delta as bytes, packed once and sent to many.

use super::configuration::Delta;
use super::names::Revision;
use serde::{Deserialize, Serialize};
use std::io::Read;
use std::sync::Arc;
use thiserror::Error;

/// Deltas up to this size go as they are: a changed target is some 70 bytes, and
/// packing makes nothing of it.
const PACK_ABOVE: usize = 512;

/// Longest delta, bytes, once it is unpacked: that of a whole snapshot.
const MOST_BYTES: u64 = 64 << 20;

/// What a receiver lacks, ready to be sent.
///
/// Routes differ in a few bytes, so packing leaves a tenth of a large release:
/// that decides how long a release takes to hundreds of routers, since all the
/// copies leave through one leader's link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PackedDelta {
    /// Revision that the receiver has after applying it.
    pub to: Revision,
    deflated: bool,
    bytes: Arc<[u8]>,
}

/// Why a packed delta can't be read.
#[derive(Debug, Error)]
pub enum Unpackable {
    /// Its bytes can't be inflated.
    #[error("a packed delta can't be inflated: {0}")]
    Inflate(#[from] std::io::Error),
    /// It is longer than any state.
    #[error("a packed delta is longer than {MOST_BYTES} bytes")]
    TooLong,
    /// What was packed is no delta.
    #[error("a packed delta is damaged: {0}")]
    Body(#[from] postcard::Error),
}

impl PackedDelta {
    /// Packs a delta.
    pub fn of(delta: &Delta) -> Self {
        let plain = postcard::to_stdvec(delta).expect("deltas always serialize");
        let packed = (plain.len() > PACK_ABOVE)
            .then(|| deflate(&plain))
            .flatten();
        Self {
            to: delta.to,
            deflated: packed.is_some(),
            bytes: packed.unwrap_or(plain).into(),
        }
    }

    /// Whether both lead from and to the same state.
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.bytes, &other.bytes) || self == other
    }

    /// Its size, bytes.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// The delta.
    pub fn unpack(&self) -> Result<Delta, Unpackable> {
        if !self.deflated {
            return Ok(postcard::from_bytes(&self.bytes)?);
        }
        let mut plain = Vec::new();
        let inflater = flate2::read::DeflateDecoder::new(&self.bytes[..]);
        inflater.take(MOST_BYTES + 1).read_to_end(&mut plain)?;
        if plain.len() as u64 > MOST_BYTES {
            return Err(Unpackable::TooLong);
        }
        Ok(postcard::from_bytes(&plain)?)
    }
}

/// Nothing if the bytes can't be made shorter.
fn deflate(plain: &[u8]) -> Option<Vec<u8>> {
    let level = flate2::Compression::fast();
    let mut packed = Vec::new();
    flate2::read::DeflateEncoder::new(plain, level)
        .read_to_end(&mut packed)
        .ok()?;
    (packed.len() < plain.len()).then_some(packed)
}
