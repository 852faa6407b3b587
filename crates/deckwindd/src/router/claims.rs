//! Idempotency claims of requests that must not run twice. The control replicas commit a
//! claim before the first byte is sent to a target, and its outcome afterwards.

use super::shared::RouterShared;
use super::template_answers::{Body, CallerError, Ran, response};
use deckwind_core::state::{
    AccountName, ClaimKey, ClaimRequest, ClaimVerdict, FinishRequest, Outcome,
};
use deckwind_wire::{ControlReply, ControlRequest};
use http::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum time to wait for the answer to a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum time for which recording an outcome is retried while there is no leader.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum time that the answer to the caller waits until the outcome is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry-After time of a request that another attempt is running.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Granted claim, which must be finished. If it is dropped unfinished, its outcome is
/// recorded as unknown.
pub struct HeldClaim {
    shared: Arc<RouterShared>,
    key: ClaimKey,
    nonce: u64,
    finished: bool,
}

/// Result of requesting a claim.
pub enum ClaimResult {
    /// The claim is granted: the request must be sent exactly once.
    Granted(HeldClaim),
    /// The request has run already: this is the recorded answer.
    Answer(Box<Response<Body>>),
}

/// Claims a request; `key` is the caller's `Idempotency-Key`, if any.
///
/// # Errors
///
/// Fails if no leader answers, or if the request must not be sent: another attempt is
/// running or may have run, the key belongs to another request, or the table is full.
pub async fn claim(
    shared: &Arc<RouterShared>,
    account: &AccountName,
    key: Option<&str>,
    body: &[u8],
) -> Result<ClaimResult, CallerError> {
    let key = ClaimKey {
        account: account.clone(),
        key: key.map_or_else(|| shared.request_id(), str::to_string),
    };
    let nonce = shared.next_id();
    let request = ControlRequest::Claim(ClaimRequest {
        key: key.clone(),
        holder: shared.holder(),
        digest: xxh3_64(body),
        nonce,
    });
    let reply = shared.control.ask(&request, CLAIM_TIMEOUT).await;
    match reply {
        Ok(ControlReply::Claim(ClaimVerdict::Granted)) => Ok(ClaimResult::Granted(HeldClaim {
            shared: shared.clone(),
            key,
            nonce,
            finished: false,
        })),
        Ok(ControlReply::Claim(verdict)) => result_of_verdict(verdict),
        _ => {
            // The claim may have been committed. It is released again, since nothing was
            // sent.
            let held = HeldClaim {
                shared: shared.clone(),
                key,
                nonce,
                finished: false,
            };
            tokio::spawn(held.finish(Outcome::NotRun));
            Err(no_leader())
        }
    }
}

fn no_leader() -> CallerError {
    CallerError::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-control",
        Ran::NotRun,
        "no control replica can record the request, which must not run twice",
    )
    .retry_after(CLAIM_RETRY_AFTER)
}

fn result_of_verdict(verdict: ClaimVerdict) -> Result<ClaimResult, CallerError> {
    match verdict {
        ClaimVerdict::Recorded(Outcome::Answer {
            status,
            body,
            truncated: false,
        }) => {
            let mut res = response(status, "application/json", body);
            let replayed = http::HeaderValue::from_static("true");
            res.headers_mut().insert("idempotent-replayed", replayed);
            Ok(ClaimResult::Answer(Box::new(res)))
        }
        ClaimVerdict::InProgress => Err(CallerError::new(
            StatusCode::CONFLICT,
            "in-progress",
            Ran::Unknown,
            "another try of this request is running; ask again with the same key",
        )
        .retry_after(CLAIM_RETRY_AFTER)),
        ClaimVerdict::OtherRequest => Err(CallerError::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key-reused",
            Ran::NotRun,
            "the idempotency key was used for another request; take a new one",
        )),
        ClaimVerdict::Full => Err(CallerError::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "claims-full",
            Ran::NotRun,
            "too many not-repeatable requests are remembered",
        )
        .retry_after(Duration::from_secs(60))),
        _ => Err(CallerError::new(
            StatusCode::CONFLICT,
            "may-have-run",
            Ran::Unknown,
            "an earlier try of this request may have run; look up what came of it",
        )),
    }
}

impl HeldClaim {
    fn send(&self, outcome: Outcome) -> impl Future<Output = ()> + use<> {
        let request = ControlRequest::Finish(FinishRequest {
            key: self.key.clone(),
            holder: self.shared.holder(),
            nonce: self.nonce,
            outcome,
        });
        send_outcome(self.shared.clone(), request)
    }

    /// Records the outcome. Sending is retried in the background until the outcome is
    /// recorded; this call waits for that only up to `RECORD_TIMEOUT`.
    pub async fn finish(mut self, outcome: Outcome) {
        self.finished = true;
        let sending = tokio::spawn(self.send(outcome));
        let _ = tokio::time::timeout(RECORD_TIMEOUT, sending).await;
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        if !self.finished {
            let sending = self.send(Outcome::Unknown);
            self.shared.cx.runtime.spawn(sending);
        }
    }
}

async fn send_outcome(shared: Arc<RouterShared>, request: ControlRequest) {
    if shared.control.ask(&request, FINISH_TIMEOUT).await.is_err() {
        log::warn!("event=outcome_not_recorded vm={}", shared.vm);
    }
}
