//! Parsing of the rest period that a target requests with `Retry-After`.

use super::traits::TargetError;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// Maximum rest period; longer ones are shortened to it. It is twenty times the load time
/// of a whole model, which is the longest work that engines do before they accept
/// requests. A target that sends a wrong value is not avoided for longer.
pub const MAX_REST_PERIOD: Duration = Duration::from_secs(300);

/// Number of characters of an unreadable value that are kept for logs.
const MAX_LOGGED_CHARS: usize = 120;

/// Error for `Retry-After` values that cannot be parsed, with the values as text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("invalid Retry-After: {0:?}")]
pub struct UnreadableRest(pub String);

/// Returns the rest period that an answer requests, at most [`MAX_REST_PERIOD`], or `None`
/// if it requests none. Only `Retry-After` of a 503 counts: with 429 it applies to the
/// requesting account, with 3xx to the redirect (RFC 9110, section 10.2.3).
///
/// Seconds may have a fraction. A date is relative to the answer's own `Date`, so that
/// clock differences do not matter; without that header it is relative to `wall`. Of
/// several values the longest counts.
///
/// # Errors
/// If there are values and none can be parsed.
pub fn requested_rest_period(
    status: StatusCode,
    headers: &HeaderMap,
    wall: SystemTime,
) -> Result<Option<Duration>, UnreadableRest> {
    if status != StatusCode::SERVICE_UNAVAILABLE || !headers.contains_key(header::RETRY_AFTER) {
        return Ok(None);
    }
    let sent_at = headers
        .get(header::DATE)
        .and_then(parse_date)
        .unwrap_or(wall);
    let values: Vec<&HeaderValue> = headers.get_all(header::RETRY_AFTER).iter().collect();
    let longest = values.iter().filter_map(|v| parse_rest(v, sent_at)).max();
    let unreadable = || {
        let text = format!("{values:?}");
        UnreadableRest(text.chars().take(MAX_LOGGED_CHARS).collect())
    };
    longest.map(Some).ok_or_else(unreadable)
}

/// Returns the error for a refusal with this status and these headers. An unreadable rest
/// period is logged and ignored.
pub(super) fn refusal_error(status: StatusCode, headers: &HeaderMap) -> TargetError {
    match requested_rest_period(status, headers, SystemTime::now()) {
        Ok(Some(rest)) => TargetError::Rests(rest),
        Ok(None) => TargetError::Refused(status.to_string()),
        Err(e) => {
            log::warn!("event=rest_unreadable status={status} error={e:?}");
            TargetError::Refused(status.to_string())
        }
    }
}

fn parse_rest(value: &HeaderValue, sent_at: SystemTime) -> Option<Duration> {
    let rest = match parse_seconds(value) {
        Some(rest) => rest,
        None => parse_date(value)?
            .duration_since(sent_at)
            .unwrap_or_default(),
    };
    Some(rest.min(MAX_REST_PERIOD))
}

/// Parses decimal digits with an optional fraction; no sign, no exponent.
fn parse_seconds(value: &HeaderValue) -> Option<Duration> {
    let text = value.to_str().ok()?.trim();
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    Some(Duration::from_secs_f64(
        seconds.min(MAX_REST_PERIOD.as_secs_f64()),
    ))
}

fn parse_date(value: &HeaderValue) -> Option<SystemTime> {
    httpdate::parse_http_date(value.to_str().ok()?.trim()).ok()
}
