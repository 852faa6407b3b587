//! Responses to callers of templates: bodies, and errors with stable codes.

use super::routes::BodyError;
use bytes::Bytes;
use deckwind_core::router::{Denied, DeniedCode};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use serde::Serialize;
use std::time::Duration;

/// Body of a response.
pub type Body = BoxBody<Bytes, BodyError>;

/// Whether a request that failed may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// The request has certainly not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Error as sent to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallerError {
    /// HTTP status code.
    #[serde(skip)]
    pub status: u16,
    /// Stable error code.
    pub code: String,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Explanation for people, with what to do next.
    pub message: String,
    /// Time in seconds after which a retry may succeed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

impl CallerError {
    /// Creates an error without a retry time: a retry of the same request does not help.
    pub fn new(status: StatusCode, code: &str, ran: Ran, message: impl Into<String>) -> Self {
        Self {
            status: status.as_u16(),
            code: code.to_string(),
            ran,
            message: message.into(),
            retry_after_s: None,
        }
    }

    /// Sets the time after which a retry may succeed, rounded up to whole seconds.
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

/// Header with the request ID, as it appears in the logs.
pub const REQUEST_ID_HEADER: &str = "deckwind-request-id";

/// Header that states whether a failed request may have run.
pub const RAN_HEADER: &str = "deckwind-ran";

/// Creates a body that is complete from the start.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Creates a response with a status, a content type and a body.
pub fn response(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(full_body(body));
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(content_type) {
        res.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    res
}

/// Returns the JSON body of an error.
pub fn error_body(error: &CallerError) -> String {
    serde_json::json!({ "error": error }).to_string()
}

/// Creates the response of an error.
pub fn error_response(error: &CallerError) -> Response<Body> {
    let mut res = response(error.status, "application/json", error_body(error));
    let ran = match error.ran {
        Ran::NotRun => "not-run",
        Ran::Unknown => "unknown",
    };
    let headers = res.headers_mut();
    headers.insert(RAN_HEADER, HeaderValue::from_static(ran));
    if let Some(after) = error.retry_after_s {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(after));
    }
    res
}
