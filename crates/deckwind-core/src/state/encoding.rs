//! Encoding of state and commands, with a leading version byte, so that a replica
//! rejects data of another format version instead of misreading it.

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Format version of log entries and snapshots; incremented with every change of the
/// format. Version 1 had no version byte: its data starts with a timestamp, whose
/// first byte is above 127.
pub const STATE_VERSION: u8 = 7;

/// Error from decoding state or a command.
#[derive(Debug, PartialEq, Error)]
pub enum DecodeStateError {
    /// The data has another format version, or no version byte.
    #[error("format version {found:?} is not supported; this process reads {STATE_VERSION}")]
    Version {
        /// First byte of the data; `None` if it is empty.
        found: Option<u8>,
    },
    /// The data is damaged.
    #[error("the data is damaged: {0}")]
    Body(#[from] postcard::Error),
}

pub(super) fn to_bytes<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = vec![STATE_VERSION];
    out.extend(postcard::to_stdvec(value).expect("state always serializes"));
    out
}

pub(super) fn from_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeStateError> {
    match bytes.split_first() {
        Some((&STATE_VERSION, body)) => Ok(postcard::from_bytes(body)?),
        other => {
            let found = other.map(|(version, _)| *version);
            Err(DecodeStateError::Version { found })
        }
    }
}
