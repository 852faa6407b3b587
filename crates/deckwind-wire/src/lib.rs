//! Typed messages between deckwind's processes.
//!
//! For: routers and control replicas talking to each other, over QUIC streams.
//! Not for: callers, targets, the platform or operators, who are met by HTTP.
//!
//! Each message is one version byte and a postcard body. A receiver that does
//! not know the version says so and drops the stream; nothing is guessed.

mod codec;
pub mod operator;

pub use codec::{CodecError, MAX_MESSAGE, VERSION, decode, encode};
pub use deckwind_core::control::{ControlReply, ControlRequest, Grant, PeerMessage, Renewal};
pub use deckwind_core::replication::Message;
