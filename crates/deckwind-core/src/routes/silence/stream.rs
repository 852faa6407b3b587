//! Streams that are watched, and the engines on their paths.

use super::gaps::Gaps;
use crate::state::DataCentre;
use crate::time::Instant;
use std::net::SocketAddr;
use std::time::Duration;

/// A stream that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey {
    pub(super) slot: u32,
    pub(super) life: u32,
}

/// An engine on the path of a watched stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct EngineKey(pub u32);

/// What is known of a stream.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    pub life: u32,
    pub data_centre: DataCentre,
    pub path: Vec<EngineKey>,
    pub pause: Duration,
    pub gaps: Gaps,
    /// Its last event, or when its path changed.
    pub last: Instant,
    /// Whether anything came over its present path.
    pub heard: bool,
    /// When it was last to move.
    pub moved: Option<Instant>,
    /// When it was last asked about.
    pub asked: Option<Instant>,
}

impl Stream {
    /// When its next event is due.
    pub fn due(&self) -> Instant {
        self.last + self.gaps.usual()
    }

    /// When it is silent.
    pub fn silent_at(&self) -> Instant {
        let reread = match self.heard {
            true => Duration::ZERO,
            false => self.gaps.usual(),
        };
        self.last + self.gaps.silent_after(self.pause) + reread
    }
}

/// What streams show of an engine.
#[derive(Clone, Debug)]
pub(super) struct EngineSeen {
    pub address: SocketAddr,
    /// Last event through it.
    pub alive: Instant,
    pub suspected_until: Instant,
    /// It is gone, as a first engine says: no event is to be waited for.
    pub gone: bool,
    pub streams: u32,
}

/// The stream with this key, unless it has ended.
pub(super) fn get_mut(streams: &mut [Option<Stream>], key: StreamKey) -> Option<&mut Stream> {
    let stream = streams.get_mut(key.slot as usize)?.as_mut()?;
    (stream.life == key.life).then_some(stream)
}
