//! Version byte and postcard body.

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Version of the messages; goes up with every change of their form.
pub const VERSION: u8 = 7;

/// Longest message, bytes: a snapshot is the longest.
pub const MAX_MESSAGE: usize = 64 * 1024 * 1024;

/// Why a message can't be read.
#[derive(Debug, PartialEq, Error)]
pub enum CodecError {
    /// No byte at all.
    #[error("the message is empty")]
    Empty,
    /// Another version's message.
    #[error("the message has version {found}, this process speaks {VERSION}; update the older one")]
    Version {
        /// Version found.
        found: u8,
    },
    /// The body does not fit its type.
    #[error("the message's body is damaged: {0}")]
    Body(#[from] postcard::Error),
}

/// A message as bytes.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut out = vec![VERSION];
    out.extend(postcard::to_stdvec(message).expect("messages always serialize"));
    out
}

/// A message out of bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (version, body) = bytes.split_first().ok_or(CodecError::Empty)?;
    if *version != VERSION {
        return Err(CodecError::Version { found: *version });
    }
    Ok(postcard::from_bytes(body)?)
}
