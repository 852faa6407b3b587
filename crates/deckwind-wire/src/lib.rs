//! Typed messages between deckwind's processes.
//!
//! Routers and control replicas exchange these messages over QUIC streams. Callers,
//! targets, the platform and operators are reached over HTTP instead; only the JSON
//! answers for operators are defined here, in [`operator`].
//!
//! Each message consists of a version byte and a postcard body. A receiver logs a
//! message of another version as an error and drops its stream; there is no fallback.

mod codec;
pub mod operator;

pub use codec::{CodecError, MAX_MESSAGE_BYTES, PROTOCOL_VERSION, decode, encode};
pub use deckwind_core::control::{ControlReply, ControlRequest, Grant, PeerMessage, Renewal};
pub use deckwind_core::replication::Message;
