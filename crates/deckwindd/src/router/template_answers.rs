//! Answers to callers: bodies, errors with a stable code, events of a stream.

use bytes::Bytes;
use deckwind_core::router::{Denied, DeniedCode};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use serde::Serialize;
use std::convert::Infallible;
use std::time::Duration;

/// Body of an answer.
pub type Body = BoxBody<Bytes, Infallible>;

/// Whether a request that failed may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// It certainly did not.
    NotRun,
    /// It may have.
    Unknown,
}

/// An error as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallerError {
    /// HTTP status.
    #[serde(skip)]
    pub status: u16,
    /// Stable code.
    pub code: String,
    /// Whether it may have run.
    pub ran: Ran,
    /// For people: what to do next.
    pub message: String,
    /// When another try helps, seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

impl CallerError {
    /// An error that no later try of the same request changes.
    pub fn new(status: StatusCode, code: &str, ran: Ran, message: impl Into<String>) -> Self {
        Self {
            status: status.as_u16(),
            code: code.to_string(),
            ran,
            message: message.into(),
            retry_after_s: None,
        }
    }

    /// With the time after which another try helps.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after_s = Some(after.as_secs_f64().ceil().max(1.0) as u64);
        self
    }
}

impl From<Denied> for CallerError {
    fn from(denied: Denied) -> Self {
        let status = match denied.code {
            DeniedCode::UnknownKey => StatusCode::UNAUTHORIZED,
            DeniedCode::UnknownTemplate => StatusCode::NOT_FOUND,
            DeniedCode::WrongTemplate => StatusCode::BAD_REQUEST,
            DeniedCode::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            DeniedCode::Deadline
            | DeniedCode::QueueFull
            | DeniedCode::NoLease
            | DeniedCode::Draining
            | DeniedCode::NoTargets
            | DeniedCode::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
        };
        let code = serde_json::to_value(denied.code).unwrap_or_default();
        let code = code.as_str().unwrap_or_default().to_string();
        let error = Self::new(status, &code, Ran::NotRun, denied.code.to_string());
        match denied.retry_after {
            Some(after) => error.retry_after(after),
            None => error,
        }
    }
}

/// Header that names the request in our logs.
pub const REQUEST_ID: &str = "deckwind-request-id";

/// Header that says whether a failed request may have run.
pub const RAN: &str = "deckwind-ran";

/// A whole body.
pub fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// An answer with a status, type and body.
pub fn answer(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(whole(body));
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(content_type) {
        res.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    res
}

/// The body of an error.
pub fn error_body(error: &CallerError) -> String {
    serde_json::json!({ "error": error }).to_string()
}

/// An error as an answer.
pub fn error(error: &CallerError) -> Response<Body> {
    let mut res = answer(error.status, "application/json", error_body(error));
    let ran = match error.ran {
        Ran::NotRun => "not-run",
        Ran::Unknown => "unknown",
    };
    let headers = res.headers_mut();
    headers.insert(RAN, HeaderValue::from_static(ran));
    if let Some(after) = error.retry_after_s {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(after));
    }
    res
}
