//! Messages between two routers of which one connects to a target on behalf of the other.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Request to connect to a target and to pass bytes on in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// Address of the target.
    pub target: SocketAddr,
}

/// Answer to a [`TunnelRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelReply {
    /// The target is connected; its bytes follow.
    Open,
    /// Nothing was sent to the target.
    Refused(TunnelRefusal),
}

/// Reason why a router did not connect to a target for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelRefusal {
    /// The router has no lease, or is about to stop.
    NotServing,
    /// The router carries as many tunnels as it can.
    Busy,
    /// The router knows no target at this address.
    UnknownTarget,
    /// The router doesn't reach the target either.
    NotReached,
}

impl TunnelRefusal {
    /// Whether the refusal says something about the router rather than the target.
    pub fn is_of_router(self) -> bool {
        match self {
            Self::NotServing | Self::Busy => true,
            Self::UnknownTarget | Self::NotReached => false,
        }
    }
}
