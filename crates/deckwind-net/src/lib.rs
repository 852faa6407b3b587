//! Network I/O: QUIC between deckwind processes, and HTTP clients for targets.
//!
//! This crate owns sockets and certificates, and defines the traits for external
//! systems ([`targets`]) and for their wire formats ([`edge`]). Decision logic belongs
//! in `deckwind-core`.

pub mod body;
pub mod caller_stream;
pub mod clock;
mod descriptors;
pub mod edge;
pub mod keys;
pub mod quic;
pub mod targets;
pub mod tunnel;
mod unauthenticated;

pub use descriptors::descriptor_limit;

use std::future::Future;
use std::pin::Pin;

/// A boxed future, as returned by the methods of object-safe traits.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
