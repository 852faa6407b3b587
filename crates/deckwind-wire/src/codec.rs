//! Encoding of messages: a version byte and a postcard body.

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Version of the message format. Incremented with every change of the format.
pub const PROTOCOL_VERSION: u8 = 11;

/// Maximum size of a message in bytes. Snapshots are the largest messages.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Error of decoding a message.
#[derive(Debug, PartialEq, Error)]
pub enum CodecError {
    /// The message has no version byte.
    #[error("the message is empty")]
    Empty,
    /// The message has another version.
    #[error(
        "the message has version {found}, this process speaks {PROTOCOL_VERSION}; update the older one"
    )]
    Version {
        /// Version of the message.
        found: u8,
    },
    /// The body can't be decoded as the expected type.
    #[error("the message's body is damaged: {0}")]
    Body(#[from] postcard::Error),
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut out = vec![PROTOCOL_VERSION];
    out.extend(postcard::to_stdvec(message).expect("messages always serialize"));
    out
}

/// Decodes a message.
///
/// # Errors
/// Returns an error if the message is empty, has another version or a body that can't be
/// decoded.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (version, body) = bytes.split_first().ok_or(CodecError::Empty)?;
    if *version != PROTOCOL_VERSION {
        return Err(CodecError::Version { found: *version });
    }
    Ok(postcard::from_bytes(body)?)
}
