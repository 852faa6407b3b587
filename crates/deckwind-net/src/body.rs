//! Bodies of received messages: reading them, how their end is marked, and why reading one
//! failed.

use crate::targets::OverheadMeter;
use bytes::{Bytes, BytesMut};
use deckwind_core::routes::{BodyEnd, Framing};
use http::{HeaderMap, Response, StatusCode, Version, header, request, response};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::error::Error;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::Poll;

/// Body of a message as it arrives. Its end is never just the lack of more data: it says
/// what marked it.
pub struct MessageBody {
    body: Incoming,
    framing: Framing,
    /// Whether a transfer coding hides the content.
    is_coded: bool,
    /// Told about the content, if its connection limits what comes without any.
    meter: Option<OverheadMeter>,
}

/// Next part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Some bytes.
    Data(Bytes),
    /// The end, without an error.
    End(BodyEnd),
}

/// Reason why a body broke off.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BrokenBody {
    /// The connection failed, or ended before the framing said so.
    #[error("{0}")]
    CutOff(String),
    /// The sender sent bytes that are no part of a message.
    #[error("{0}")]
    Invalid(String),
}

impl MessageBody {
    /// Separates the head of an answer from its body. A length that a transfer coding
    /// overrides is removed, because it must not be passed on (RFC 9112, section 6.3).
    pub fn of_answer(res: Response<Incoming>) -> (response::Parts, Self) {
        let (mut head, body) = res.into_parts();
        if head.headers.contains_key(header::TRANSFER_ENCODING) {
            head.headers.remove(header::CONTENT_LENGTH);
        }
        let framing = framing_of(head.version, head.status, &head.headers);
        let is_coded = has_unknown_coding(&head.headers);
        let body = Self {
            body,
            framing,
            is_coded,
            meter: None,
        };
        (head, body)
    }

    /// Tells the meter of the body's connection about the content that is read.
    pub fn with_meter(mut self, meter: OverheadMeter) -> Self {
        self.meter = Some(meter);
        self
    }

    /// Wraps the body of a request. Only a length, chunks or an HTTP/2 stream end it.
    pub fn of_request(head: &request::Parts, body: Incoming) -> Self {
        let is_coded = head.headers.contains_key(header::TRANSFER_ENCODING);
        let framing = match (head.version >= Version::HTTP_2, is_coded) {
            (true, _) => Framing::Stream,
            (false, true) => Framing::Chunked,
            (false, false) => Framing::Length,
        };
        Self {
            body,
            framing,
            is_coded: false,
            meter: None,
        }
    }

    /// Returns how the end of the body is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns what is known of the number of bytes left.
    pub fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    /// Returns the next part. No data is lost if the future is dropped before it is ready.
    ///
    /// # Errors
    /// If the body broke off, or has a transfer coding that was not asked for.
    pub async fn next(&mut self) -> Result<BodyPart, BrokenBody> {
        if self.is_coded {
            let why = "its transfer coding is unknown".to_string();
            return Err(BrokenBody::Invalid(why));
        }
        loop {
            let Some(frame) = self.next_frame().await? else {
                return self.end();
            };
            match frame {
                // Trailers say nothing that is used.
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        self.record_progress();
                        return Ok(BodyPart::Data(data));
                    }
                }
                Err(e) => return Err(broken_body(&e)),
            }
        }
    }

    /// Returns the next frame.
    ///
    /// # Errors
    /// If the answer has been ended because too much is held of all answers.
    async fn next_frame(
        &mut self,
    ) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, BrokenBody> {
        poll_fn(|cx| {
            if let Some(meter) = &self.meter
                && let Err(e) = meter.poll_body(cx)
            {
                return Poll::Ready(Err(BrokenBody::Invalid(e.to_string())));
            }
            Pin::new(&mut self.body).poll_frame(cx).map(Ok)
        })
        .await
    }

    /// Records the number of bytes of this body that its reader keeps.
    pub fn record_kept(&self, bytes: usize) {
        if let Some(meter) = &self.meter {
            meter.keep_body(bytes);
        }
    }

    fn record_progress(&self) {
        if let Some(meter) = &self.meter {
            meter.record_progress();
        }
    }

    fn end(&self) -> Result<BodyPart, BrokenBody> {
        // hyper ends the body also where the peer cancelled the stream.
        if self.framing == Framing::Stream && !self.body.is_end_stream() {
            let why = "the peer cancelled the stream".to_string();
            return Err(BrokenBody::CutOff(why));
        }
        Ok(BodyPart::End(self.framing.end()))
    }
}

/// Returns how an answer with this head marks the end of its body. An answer to `HEAD` is
/// judged as one with a body: at worst its connection is not used again.
fn framing_of(version: Version, status: StatusCode, headers: &HeaderMap) -> Framing {
    if version >= Version::HTTP_2 {
        return Framing::Stream;
    }
    let has_no_body = status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    if has_no_body {
        return Framing::Length;
    }
    // A transfer coding overrides a length. The library reads any other than chunked up to
    // the end of the connection.
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    if let Some(codings) = codings.next_back() {
        let last = codings.to_str().unwrap_or_default().rsplit(',').next();
        let is_chunked = last.is_some_and(|c| c.trim().eq_ignore_ascii_case("chunked"));
        return match is_chunked {
            true => Framing::Chunked,
            false => Framing::Connection,
        };
    }
    match headers.contains_key(header::CONTENT_LENGTH) {
        true => Framing::Length,
        false => Framing::Connection,
    }
}

/// Returns whether a body has a transfer coding other than a single chunked one. Requests to
/// targets ask for no other (RFC 9112, section 7.4).
fn has_unknown_coding(headers: &HeaderMap) -> bool {
    let mut lines = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = lines.next() else {
        return false;
    };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    !is_chunked || lines.next().is_some()
}

/// Tells invalid bytes from a connection that failed.
fn broken_body(error: &hyper::Error) -> BrokenBody {
    let why = describe_error(error);
    let cause = error.source().and_then(|e| e.downcast_ref::<io::Error>());
    let is_invalid = |e: &io::Error| {
        matches!(
            e.kind(),
            io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData
        )
    };
    match cause.is_some_and(is_invalid) {
        true => BrokenBody::Invalid(why),
        false => BrokenBody::CutOff(why),
    }
}

/// Describes an error with its causes, outermost first.
pub(crate) fn describe_error(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Reason why a body could not be read completely.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CollectError {
    /// The body exceeds its size limit.
    #[error("it is too long")]
    TooLong,
    /// The limit on the bytes of all bodies together is reached.
    #[error("no memory for it")]
    OutOfMemory,
    /// The body broke off.
    #[error(transparent)]
    Broken(#[from] BrokenBody),
}

/// Reservation of memory that can grow, and is released when it is dropped.
pub trait ReserveBytes {
    /// Reserves more bytes.
    ///
    /// # Errors
    ///
    /// Fails, and reserves nothing, if the limit would be exceeded.
    fn reserve_bytes(&mut self, bytes: u64) -> Result<(), CollectError>;
}

/// Reservation for bodies whose size limit is the only one.
pub struct NoReservation;

impl ReserveBytes for NoReservation {
    fn reserve_bytes(&mut self, _: u64) -> Result<(), CollectError> {
        Ok(())
    }
}

/// A body that was read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CollectedBody {
    /// The bytes.
    pub bytes: Bytes,
    /// How the end was marked.
    pub end: BodyEnd,
}

/// Reads a body of at most `max_bytes` bytes to its end. Memory is reserved from `held` as
/// data arrives. An answer of a target counts in the budget of its connection besides.
///
/// # Errors
///
/// Fails if the body is too long, no memory can be reserved, or the body breaks off.
pub async fn collect(
    mut body: MessageBody,
    max_bytes: usize,
    held: &mut impl ReserveBytes,
) -> Result<CollectedBody, CollectError> {
    let mut first = Bytes::new();
    let mut parts = BytesMut::new();
    let end = loop {
        let data = match body.next().await? {
            BodyPart::Data(data) => data,
            BodyPart::End(end) => break end,
        };
        if first.len() + parts.len() + data.len() > max_bytes {
            return Err(CollectError::TooLong);
        }
        held.reserve_bytes(data.len() as u64)?;
        // Most bodies arrive in a single frame, which is returned without a copy.
        if first.is_empty() && parts.is_empty() {
            first = data;
            body.record_kept(first.len());
            continue;
        }
        parts.extend_from_slice(&std::mem::take(&mut first));
        parts.extend_from_slice(&data);
        body.record_kept(parts.capacity());
    };
    let bytes = match parts.is_empty() {
        true => first,
        false => parts.freeze(),
    };
    Ok(CollectedBody { bytes, end })
}
