//! HTTP interface of a control replica for operators.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/apply?wait_ms=N` | `ApplyRequest` | 200 accepted; 409 rejected; 421 not the leader; 504 unknown |
//! | `GET /v1/configuration` | | 200 `ConfigurationView` |
//! | `GET /v1/status` | | 200 `ClusterStatus` |
//! | `POST /v1/quarantine/lift/TRAIT` | | 200 accepted; 400 not a trait; 421 not the leader; 504 unknown |
//! | `GET /health`, `GET /metrics` | | 200, without a token |
//!
//! If the settings hold no token, only `GET /v1/status` is answered, without a token: it
//! returns names, addresses and counts, as the metrics do, and changes nothing.

use super::handle::{ControlHandle, Input};
use crate::admin::{self, json, text};
use crate::metrics_page;
use anyhow::Result;
use crossbeam::channel::bounded;
use deckwind_config::ControlSettings;
use deckwind_core::control::{OperatorReply, OperatorRequest};
use deckwind_core::membership::InForce;
use deckwind_core::state::{ApplyRequest, ParseDigestError};
use deckwind_wire::operator::{AppliedAnswer, ErrorAnswer, NotLeaderAnswer, RejectedAnswer};
use oxhttp::model::{Body, Request, Response, StatusCode};
use sha2::{Digest, Sha256};
use std::io::Read;
use std::time::Duration;
use subtle::ConstantTimeEq;

/// Maximum size of the body of a change, bytes.
const MAX_BODY_BYTES: u64 = 1 << 20;

/// Default time to wait until a change is in force.
const DEFAULT_WAIT: Duration = Duration::from_secs(3);

/// Maximum time to wait until a change is in force.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Time beyond the maximum wait after which an answer counts as lost.
const ANSWER_SLACK: Duration = Duration::from_secs(3);

/// Serves operators until the process ends.
pub fn serve(cfg: &ControlSettings, handle: ControlHandle) -> Result<()> {
    let token_sha256 = cfg.operator_token_sha256.clone().unwrap_or_default();
    let token_sha256 = token_sha256.to_ascii_lowercase();
    admin::serve(cfg.admin, move |req| answer(&handle, &token_sha256, req))
}

fn answer(handle: &ControlHandle, token_sha256: &str, req: &mut Request<Body>) -> Response<Body> {
    match req.uri().path() {
        "/health" => return text(StatusCode::OK, "alive\n"),
        "/metrics" => return text(StatusCode::OK, metrics_page::page().render()),
        _ => {}
    }
    let is_open = token_sha256.is_empty() && is_status(req);
    if !is_open && !has_token(req, token_sha256) {
        let error = "the operators' token is missing or wrong; give it with --token-file";
        return json(StatusCode::UNAUTHORIZED, &ErrorAnswer::new(error));
    }
    let request = match to_request(req) {
        Ok(request) => request,
        Err(response) => return *response,
    };
    let (tx, rx) = bounded(1);
    let reply = Box::new(move |r| drop(tx.send(r)));
    handle.send(Input::Operator(request, reply));
    match rx.recv_timeout(MAX_WAIT + ANSWER_SLACK) {
        Ok(reply) => to_response(reply),
        Err(_) => answer_lost(),
    }
}

/// Path prefix that lifts the quarantine of requests with a trait, which follows.
const LIFT_PATH: &str = "/v1/quarantine/lift/";

fn is_status(req: &Request<Body>) -> bool {
    req.method().as_str() == "GET" && req.uri().path() == "/v1/status"
}

fn has_token(req: &Request<Body>, token_sha256: &str) -> bool {
    let header = req.headers().get("authorization");
    let given = header.and_then(|v| v.to_str().ok()?.strip_prefix("Bearer "));
    let hash = hex(&Sha256::digest(given.unwrap_or_default().as_bytes()));
    given.is_some() && bool::from(hash.as_bytes().ct_eq(token_sha256.as_bytes()))
}

/// Formats bytes in lowercase hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn to_request(req: &mut Request<Body>) -> Result<OperatorRequest, Box<Response<Body>>> {
    let refuse = |status, why: String| Box::new(json(status, &ErrorAnswer::new(&why)));
    let path = req.uri().path().to_string();
    match (req.method().as_str(), path.as_str()) {
        ("GET", "/v1/configuration") => Ok(OperatorRequest::Configuration),
        ("GET", "/v1/status") => Ok(OperatorRequest::Status),
        ("POST", "/v1/apply") => {
            let wait = parse_wait(req.uri().query().unwrap_or_default());
            let mut body = Vec::new();
            let mut limited = req.body_mut().take(MAX_BODY_BYTES);
            let read = limited.read_to_end(&mut body);
            read.map_err(|e| refuse(StatusCode::BAD_REQUEST, e.to_string()))?;
            let request: ApplyRequest = serde_json::from_slice(&body)
                .map_err(|e| refuse(StatusCode::BAD_REQUEST, e.to_string()))?;
            let request = Box::new(request);
            Ok(OperatorRequest::Apply { request, wait })
        }
        ("POST", path) if path.starts_with(LIFT_PATH) => {
            let suspect = path[LIFT_PATH.len()..].parse();
            let suspect = suspect
                .map_err(|e: ParseDigestError| refuse(StatusCode::BAD_REQUEST, e.to_string()))?;
            Ok(OperatorRequest::Lift(suspect))
        }
        _ => Err(refuse(
            StatusCode::NOT_FOUND,
            format!("there is no {path} here; see the operators' page"),
        )),
    }
}

fn parse_wait(query: &str) -> Duration {
    let wait = query.split('&').find_map(|p| p.strip_prefix("wait_ms="));
    let wait = wait
        .and_then(|ms| ms.parse().ok())
        .map(Duration::from_millis);
    wait.unwrap_or(DEFAULT_WAIT).min(MAX_WAIT)
}

fn to_response(reply: OperatorReply) -> Response<Body> {
    match reply {
        OperatorReply::Accepted { revision, in_force } => {
            let lagging = match &in_force {
                InForce::Lagging(vms) => vms.clone(),
                _ => Vec::new(),
            };
            let answer = AppliedAnswer {
                revision,
                in_force: in_force == InForce::Yes,
                lagging,
            };
            json(StatusCode::OK, &answer)
        }
        OperatorReply::Rejected(rejection) => {
            let message = rejection.to_string();
            json(StatusCode::CONFLICT, &RejectedAnswer { message, rejection })
        }
        OperatorReply::Configuration(view) => json(StatusCode::OK, &view),
        OperatorReply::Status(status) => json(StatusCode::OK, &status),
        OperatorReply::Document(document) => {
            let document = document.unwrap_or_default();
            text(StatusCode::OK, String::from_utf8_lossy(&document))
        }
        OperatorReply::NotLeader { leader } => {
            json(StatusCode::MISDIRECTED_REQUEST, &NotLeaderAnswer { leader })
        }
        // Targets announce themselves on another listener, see the module `calls`.
        OperatorReply::Heard => text(StatusCode::OK, "heard"),
        OperatorReply::Unknown => answer_lost(),
        // Only announcements of targets are answered with these.
        OperatorReply::Unconfirmed | OperatorReply::NotTaken(_) => {
            text(StatusCode::NOT_FOUND, "not served here")
        }
    }
}

fn answer_lost() -> Response<Body> {
    let error = "the answer was lost on the way; send it again with the same request id";
    json(StatusCode::GATEWAY_TIMEOUT, &ErrorAnswer::new(error))
}
