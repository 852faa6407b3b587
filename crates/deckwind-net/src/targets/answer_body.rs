//! Bodies of targets' answers: how their end is marked, and why reading one failed.

use deckwind_core::routes::Framing;
use http::{HeaderMap, StatusCode, Version, header};
use std::error::Error;

/// Returns how an answer with this head marks the end of its body. Bodies of answers to
/// `HEAD` and `CONNECT` are not considered, because targets get no such requests.
pub fn framing_of(version: Version, status: StatusCode, headers: &HeaderMap) -> Framing {
    if version >= Version::HTTP_2 {
        return Framing::Stream;
    }
    let has_no_body = status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    if has_no_body {
        return Framing::Length;
    }
    // A transfer coding overrides a length. Unless chunked is the last one, only the
    // connection ends the body.
    let codings = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back();
    if let Some(codings) = codings {
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

/// Describes an error with its causes, outermost first.
pub fn describe_error(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
