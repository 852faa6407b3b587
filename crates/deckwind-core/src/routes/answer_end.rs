//! Ends of answers: how the end of a body is marked, and what was seen of it.

/// How an answer marks the end of its body (RFC 9112, section 6.3; RFC 9113, section 8.1).
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
}
