//! State and commands as bytes, with the version of their form: a replica must not
//! guess at what another version wrote.

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Version of what is in the log and in snapshots; goes up with every change of
/// its form. Before the second there was no such byte, and what was written began
/// with a time, whose first byte is above 127.
pub const STATE_VERSION: u8 = 4;

/// Why state can't be read.
#[derive(Debug, PartialEq, Error)]
pub enum UnreadableState {
    /// Another version wrote it, or none that marked it.
    #[error("it is of version {found:?}, this process reads {STATE_VERSION}")]
    Version {
        /// Its first byte.
        found: Option<u8>,
    },
    /// It is damaged.
    #[error("it is damaged: {0}")]
    Body(#[from] postcard::Error),
}

pub(super) fn to_bytes<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = vec![STATE_VERSION];
    out.extend(postcard::to_stdvec(value).expect("state always serializes"));
    out
}

pub(super) fn from_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, UnreadableState> {
    match bytes.split_first() {
        Some((&STATE_VERSION, body)) => Ok(postcard::from_bytes(body)?),
        other => {
            let found = other.map(|(version, _)| *version);
            Err(UnreadableState::Version { found })
        }
    }
}
