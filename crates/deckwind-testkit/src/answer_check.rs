//! Checks answers from the caller's side: an answer is framed as complete exactly if its last
//! byte came, and what came is the beginning of it, each piece once and in order.

use bytes::Bytes;
use deckwind_fakes::{CutAnswer, CutPlace};
use http::{HeaderMap, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::fmt;
use std::time::{Duration, Instant};

/// Number of bytes of an unexpected body that an error shows.
const SHOWN_BYTES: usize = 300;

/// How an answer ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// Its framing says that it is complete.
    Complete,
    /// It was broken off.
    Broken,
    /// The caller gave it up.
    GivenUp,
}

/// The body of an answer, as far as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedBody {
    /// The bytes that came.
    pub bytes: Bytes,
    /// How it ended.
    pub end: AnswerEnd,
}

/// What is sound about an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerState {
    /// It is complete.
    Whole,
    /// It is not complete, and the caller knows that.
    Unfinished,
    /// Its target cut it where no receiver can tell that from its end.
    CutUnseen,
}

/// What is wrong with an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// It is framed as complete, but its end is missing.
    EndMissing {
        /// Number of bytes that came.
        received: usize,
        /// Its last bytes.
        last: String,
    },
    /// It is broken off, although all of it came.
    BrokenAfterEnd,
    /// It contains other bytes than the target's answer, or some twice or not at all.
    OtherBytes {
        /// The position of the first one.
        at: usize,
        /// The bytes from there on.
        rest: String,
    },
    /// The caller can't tell its end.
    NoFraming,
}

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EndMissing { received, last } => write!(
                f,
                "the answer is framed as complete after {received} bytes, but its end is missing; its last bytes are {last:?}"
            ),
            Self::BrokenAfterEnd => write!(f, "the answer was broken off after its last byte"),
            Self::OtherBytes { at, rest } => {
                write!(
                    f,
                    "the answer differs from its target's at byte {at}: {rest:?}"
                )
            }
            Self::NoFraming => write!(f, "the answer has neither a length nor chunks"),
        }
    }
}

impl std::error::Error for AnswerError {}

/// Reads a body with a pause after each piece, until its end. `deadline` returns the time at
/// which the caller gives up waiting for the next piece.
pub async fn read_body(
    mut body: Incoming,
    pause: Duration,
    deadline: impl Fn() -> Instant,
) -> ReceivedBody {
    let mut bytes = Vec::new();
    let end = loop {
        match tokio::time::timeout_at(deadline().into(), body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
            Ok(None) => break AnswerEnd::Complete,
            Ok(Some(Err(_))) => break AnswerEnd::Broken,
            Err(_) => break AnswerEnd::GivenUp,
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    };
    ReceivedBody {
        bytes: bytes.into(),
        end,
    }
}

/// Checks that an HTTP/1.1 answer says where its body ends.
///
/// # Errors
/// If only the end of the connection does.
pub fn check_framing(headers: &HeaderMap) -> Result<(), AnswerError> {
    let is_framed = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    match is_framed {
        true => Ok(()),
        false => Err(AnswerError::NoFraming),
    }
}

/// Checks what came of an answer; `cuts` are the cuts of this request's answers that targets
/// recorded.
///
/// # Errors
/// If a byte is wrong, or if the answer looks complete without its end or not complete with it.
pub fn check_body(
    expected: &[u8],
    received: &ReceivedBody,
    cuts: &[CutAnswer],
) -> Result<AnswerState, AnswerError> {
    let bytes = &received.bytes;
    if !expected.starts_with(bytes) {
        let differs = |(a, b): (&u8, &u8)| a != b;
        let at = bytes.iter().zip(expected).position(differs);
        let at = at.unwrap_or(expected.len());
        return Err(AnswerError::OtherBytes {
            at,
            rest: show(&bytes[at..]),
        });
    }
    match (received.end, bytes.len() == expected.len()) {
        (AnswerEnd::Complete, true) => Ok(AnswerState::Whole),
        (AnswerEnd::Complete, false) if is_cut_unseen(expected, bytes.len(), cuts) => {
            Ok(AnswerState::CutUnseen)
        }
        (AnswerEnd::Complete, false) => Err(AnswerError::EndMissing {
            received: bytes.len(),
            last: show(&bytes[bytes.len().saturating_sub(SHOWN_BYTES)..]),
        }),
        (AnswerEnd::Broken, true) if cuts.is_empty() => Err(AnswerError::BrokenAfterEnd),
        (AnswerEnd::Broken | AnswerEnd::GivenUp, _) => Ok(AnswerState::Unfinished),
    }
}

/// Whether a target closed the answer after exactly these bytes, with nothing to tell that
/// from its end.
fn is_cut_unseen(expected: &[u8], received: usize, cuts: &[CutAnswer]) -> bool {
    cuts.iter().filter(|c| c.looks_whole()).any(|c| {
        let cut_at = match c.place {
            CutPlace::Visible => None,
            CutPlace::AfterEvent(event) => Some(length_of_events(expected, event)),
            CutPlace::AfterByte(bytes) => Some(bytes),
        };
        cut_at == Some(received)
    })
}

/// Returns the length of the first events of a stream.
fn length_of_events(stream: &[u8], events: u64) -> usize {
    let text = String::from_utf8_lossy(stream);
    let first = text.split_inclusive("\n\n").take(events as usize);
    first.map(str::len).sum()
}

fn show(bytes: &[u8]) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(SHOWN_BYTES)]).into_owned()
}
