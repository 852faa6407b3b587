//! Responses that the router creates itself, and types of response bodies.

use bytes::Bytes;
use deckwind_core::routes::{ChoiceError, RefusalReason};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use std::time::Duration;

/// Reason why a body broke off.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a response.
pub type RouteBody = UnsyncBoxBody<Bytes, BodyError>;

/// Reason why a request got no answer of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request can't be parsed.
    BadRequest(String),
    /// The head or the body is too long.
    TooLarge,
    /// The body was not received in time; the request has not run.
    BodyLate,
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// Not run: the router has no lease on the configuration.
    NoLease,
    /// Not run: the router has no lease and no control replica answers it. Other
    /// routers may still reach one.
    CutOff,
    /// Not run: this router is about to stop.
    Stopping,
    /// Not run: there is no target.
    NoTarget,
    /// Not run: all targets are full.
    Full,
    /// Not run: all targets are in a rest period. Holds the time until the first of
    /// them ends.
    Resting(Duration),
    /// Not run: the router's limit of buffered bytes is reached.
    NoMemory,
    /// Not run: targets refused the request.
    Refused,
    /// Not run: a target refused the request, and it may not be sent to the others,
    /// which are available.
    NotTaken,
    /// Not run: no retry is left for now.
    NoRepeat,
    /// Not run: the deadline passed before the request could be sent.
    NoTime,
    /// Not run: a trait of the request is quarantined, because targets have crashed on it.
    Quarantined,
    /// Not run: a target may just have crashed on the request.
    Undecided,
    /// The request may have run: the target's answer broke off or was invalid.
    Broken(String),
    /// The request may have run, and could not be sent again for this reason.
    NotSentAgain(String),
    /// The request may have run: no answer was received in time.
    Late,
    /// The request may have run: this router stopped before an answer was received.
    Interrupted,
}

impl Failure {
    /// Returns the failure for a target's answer that does not say whether the request
    /// has run.
    pub fn without_guarantee(status: StatusCode) -> Self {
        Failure::Broken(format!(
            "the target answered {} without a promise",
            status.as_u16()
        ))
    }

    /// Returns the status that the caller gets.
    pub fn status(&self) -> StatusCode {
        match self {
            Failure::BadRequest(_) => StatusCode::BAD_REQUEST,
            Failure::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Failure::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Failure::NoRoute => StatusCode::NOT_FOUND,
            Failure::UnknownKey => StatusCode::UNAUTHORIZED,
            Failure::NoLease
            | Failure::CutOff
            | Failure::Stopping
            | Failure::NoTarget
            | Failure::Full
            | Failure::Resting(_)
            | Failure::NoMemory
            | Failure::Refused
            | Failure::NotTaken
            | Failure::NoRepeat
            | Failure::Quarantined
            | Failure::Undecided
            | Failure::NoTime => StatusCode::SERVICE_UNAVAILABLE,
            Failure::Broken(_) | Failure::NotSentAgain(_) => StatusCode::BAD_GATEWAY,
            Failure::Late | Failure::Interrupted => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the name used in logs and in the body of the response.
    pub fn code(&self) -> &'static str {
        match self {
            Failure::BadRequest(_) => "bad-request",
            Failure::TooLarge => "too-large",
            Failure::BodyLate => "body-late",
            Failure::NoRoute => "no-route",
            Failure::UnknownKey => "unknown-key",
            Failure::NoLease => "no-lease",
            Failure::CutOff => "cut-off",
            Failure::Stopping => "stopping",
            Failure::NoTarget => "no-target",
            Failure::Full => "full",
            Failure::Resting(_) => "resting",
            Failure::NoMemory => "no-memory",
            Failure::Refused => "refused-by-targets",
            Failure::NotTaken => "not-taken",
            Failure::NoRepeat => "no-repeat-left",
            Failure::NoTime => "no-time",
            Failure::Quarantined => "quarantined",
            Failure::Undecided => "undecided",
            Failure::Broken(_) => "target-broke",
            Failure::NotSentAgain(_) => "not-sent-again",
            Failure::Late => "target-late",
            Failure::Interrupted => "interrupted-by-stop",
        }
    }

    /// Returns why the request has not run; `None` where it may have run, or where a
    /// retry is of no use.
    fn refusal(&self) -> Option<RefusalReason> {
        match self {
            Failure::NoLease => Some(RefusalReason::NoLease),
            Failure::Stopping | Failure::CutOff | Failure::NoMemory => {
                Some(RefusalReason::OtherRouter)
            }
            Failure::NoRepeat => Some(RefusalReason::NoRepeat),
            Failure::NotTaken | Failure::Undecided => Some(RefusalReason::NotTaken),
            Failure::NoTarget | Failure::Refused => Some(RefusalReason::NoTarget),
            Failure::Full => Some(RefusalReason::Full),
            Failure::Resting(left) => Some(RefusalReason::Resting(*left)),
            Failure::Quarantined => Some(RefusalReason::Quarantined),
            _ => None,
        }
    }

    /// Returns the response for the caller.
    pub fn response(&self) -> Response<RouteBody> {
        match self {
            Failure::Quarantined => {
                metrics::counter!("deckwind_route_quarantined_total").increment(1);
            }
            Failure::Stopping => {
                metrics::counter!("deckwind_route_refused_by_stop_total").increment(1);
            }
            _ => {}
        }
        let text = match self {
            Failure::BadRequest(why) | Failure::Broken(why) | Failure::NotSentAgain(why) => {
                format!("{}: {why}\n", self.code())
            }
            _ => format!("{}\n", self.code()),
        };
        let mut res = Response::new(full_body(text));
        *res.status_mut() = self.status();
        let after = self
            .refusal()
            .map(|r| r.retry_after_time(rand::random_range(0.0..1.0)));
        if let Some(after) = after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
        {
            res.headers_mut().insert(header::RETRY_AFTER, value);
        }
        res
    }
}

impl From<ChoiceError> for Failure {
    fn from(none: ChoiceError) -> Self {
        match none {
            ChoiceError::NoTarget => Failure::NoTarget,
            ChoiceError::Full(_) => Failure::Full,
            ChoiceError::Resting(left) => Failure::Resting(left),
        }
    }
}

/// Returns a body that is complete.
pub fn full_body(bytes: impl Into<Bytes>) -> RouteBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Headers that apply to a single connection (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes headers that apply to a single connection, including those that `Connection`
/// names.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named = headers.get_all(header::CONNECTION).iter();
    let named: Vec<HeaderName> = named
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove(HeaderName::from_static("proxy-connection"));
    headers.remove(header::EXPECT);
}
