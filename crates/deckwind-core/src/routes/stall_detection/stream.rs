//! Watched streams and the engines on their paths.

use super::gaps::GapEstimate;
use crate::state::DataCentre;
use crate::time::Instant;
use std::net::SocketAddr;
use std::time::Duration;

/// Key of a watched stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey {
    pub(super) slot: u32,
    pub(super) generation: u32,
}

/// Index of an engine on the path of a watched stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct EngineKey(pub u32);

/// State of a watched stream.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    pub generation: u32,
    pub data_centre: DataCentre,
    pub path: Vec<EngineKey>,
    pub pause: Duration,
    pub gaps: GapEstimate,
    /// Time of the last event or path change.
    pub last_activity: Instant,
    /// Whether an event has come over the current path.
    pub has_event: bool,
    /// Time at which the stream was last asked to move.
    pub moved_at: Option<Instant>,
    /// Time of the last probe about the stream.
    pub probed_at: Option<Instant>,
}

impl Stream {
    /// Returns the time at which the next event is due.
    pub fn due(&self) -> Instant {
        self.last_activity + self.gaps.mean()
    }

    /// Returns the time from which the stream counts as stalled.
    pub fn stalled_at(&self) -> Instant {
        let reread_margin = match self.has_event {
            true => Duration::ZERO,
            false => self.gaps.mean(),
        };
        self.last_activity + self.gaps.stall_timeout(self.pause) + reread_margin
    }
}

/// State of an engine as observed through its streams.
#[derive(Clone, Debug)]
pub(super) struct EngineState {
    pub address: SocketAddr,
    /// Time of the last event through the engine.
    pub last_event: Instant,
    pub suspected_until: Instant,
    /// Whether a first engine has reported this engine gone, so that no event will come.
    pub is_gone: bool,
    pub streams: u32,
}

/// Returns the stream with this key, or `None` if it has ended.
pub(super) fn stream_mut(streams: &mut [Option<Stream>], key: StreamKey) -> Option<&mut Stream> {
    let stream = streams.get_mut(key.slot as usize)?.as_mut()?;
    (stream.generation == key.generation).then_some(stream)
}
