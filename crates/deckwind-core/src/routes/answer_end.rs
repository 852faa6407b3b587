//! Ends of answers: how the end of a body is marked, what a reader saw of it, and whether a
//! stream that ended so is whole.

/// How a message marks the end of its body (RFC 9112, section 6.3; RFC 9113, section 8.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Framing {
    /// By a length that is known from its head.
    #[default]
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of an HTTP/2 stream.
    Stream,
    /// Only by the end of the connection: a target that crashed closes it like one whose
    /// answer is whole.
    Connection,
}

impl Framing {
    /// Returns the name used in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Stream => "stream",
            Self::Connection => "connection",
        }
    }

    /// Returns the end of a body that was read to where this framing ends it.
    pub fn end(self) -> BodyEnd {
        match self {
            Self::Length | Self::Chunked | Self::Stream => BodyEnd::Framed,
            Self::Connection => BodyEnd::Closed,
        }
    }
}

/// End of a body that was read without an error. A body whose connection was reset, or ended
/// before its framing said so, is broken instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum BodyEnd {
    /// The framing says that the body is whole.
    Framed,
    /// The connection was closed, and nothing else marks the end.
    Closed,
}

impl BodyEnd {
    /// Returns the name used in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Framed => "framed",
            Self::Closed => "closed",
        }
    }
}

/// What one target sent of a stream before its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReceivedEvents {
    /// Whether a whole event was received.
    pub any: bool,
    /// Whether an event has begun and not ended.
    pub is_open: bool,
}

/// Reason why a stream that ended without an error is not whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StreamBreak {
    /// The last event has no end.
    InsideEvent,
    /// No event was received, and only the connection marks the end.
    NoEvent,
}

impl StreamBreak {
    /// Returns the text used in logs and answers.
    pub fn reason(self) -> &'static str {
        match self {
            Self::InsideEvent => "the stream ended inside an event",
            Self::NoEvent => "the connection ended before the first event",
        }
    }
}

/// Checks whether a stream is whole. A stream that ends between two events with its
/// connection is taken as whole (RFC 9112, section 8): its content does not say more.
///
/// # Errors
/// If the stream was broken off.
pub fn check_stream_end(end: BodyEnd, received: ReceivedEvents) -> Result<(), StreamBreak> {
    if received.is_open {
        return Err(StreamBreak::InsideEvent);
    }
    match end {
        BodyEnd::Closed if !received.any => Err(StreamBreak::NoEvent),
        BodyEnd::Closed | BodyEnd::Framed => Ok(()),
    }
}
