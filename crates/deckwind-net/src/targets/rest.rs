//! For how long a target wants to be left alone, as HTTP says it.

use super::traits::TargetError;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// Longest rest that is believed: twenty times what it takes to load a whole model, the
/// longest work that the users' engines do before they take requests. A target that
/// writes nonsense is lost for no longer.
pub const MOST_REST: Duration = Duration::from_secs(300);

/// Characters of an unreadable rest that are kept for logs.
const MOST_TEXT: usize = 120;

/// A rest that can't be read: the texts that should have told it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no time to come back at: {0:?}")]
pub struct UnreadableRest(pub String);

/// The rest that an answer asks for, at most [`MOST_REST`]; nothing if it asks for
/// none. Only 503 asks for one: 429 speaks to the account that asks, 3xx of another
/// place (RFC 9110, section 10.2.3).
///
/// Seconds may have a fraction. A date counts from the answer's own `Date`, so that
/// clocks that differ do not matter; from `wall` where there is none. Of several values
/// the longest counts.
///
/// # Errors
/// If there are values and none can be read.
pub fn asked_rest(
    status: StatusCode,
    headers: &HeaderMap,
    wall: SystemTime,
) -> Result<Option<Duration>, UnreadableRest> {
    if status != StatusCode::SERVICE_UNAVAILABLE || !headers.contains_key(header::RETRY_AFTER) {
        return Ok(None);
    }
    let said_at = headers.get(header::DATE).and_then(date).unwrap_or(wall);
    let values: Vec<&HeaderValue> = headers.get_all(header::RETRY_AFTER).iter().collect();
    let longest = values.iter().filter_map(|v| rest(v, said_at)).max();
    let unreadable = || {
        let text = format!("{values:?}");
        UnreadableRest(text.chars().take(MOST_TEXT).collect())
    };
    longest.map(Some).ok_or_else(unreadable)
}

/// What a refusal comes to whose head is this.
pub(super) fn refusal(status: StatusCode, headers: &HeaderMap) -> TargetError {
    match asked_rest(status, headers, SystemTime::now()) {
        Ok(Some(rest)) => TargetError::Rests(rest),
        Ok(None) => TargetError::Refused(status.to_string()),
        Err(e) => {
            log::warn!("event=rest_unreadable status={status} error={e:?}");
            TargetError::Refused(status.to_string())
        }
    }
}

fn rest(value: &HeaderValue, said_at: SystemTime) -> Option<Duration> {
    let rest = match seconds(value) {
        Some(rest) => rest,
        None => date(value)?.duration_since(said_at).unwrap_or_default(),
    };
    Some(rest.min(MOST_REST))
}

/// Digits, with a fraction perhaps; no sign, no exponent.
fn seconds(value: &HeaderValue) -> Option<Duration> {
    let text = value.to_str().ok()?.trim();
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| plain)?;
    Some(Duration::from_secs_f64(
        seconds.min(MOST_REST.as_secs_f64()),
    ))
}

fn date(value: &HeaderValue) -> Option<SystemTime> {
    httpdate::parse_http_date(value.to_str().ok()?.trim()).ok()
}
