//! A not-repeatable request's claim: committed before the first byte is sent,
//! its outcome after.

use super::shared::RouterShared;
use super::template_answers::{Body, CallerError, Ran, answer};
use deckwind_core::state::{
    AccountName, ClaimKey, ClaimRequest, ClaimVerdict, FinishRequest, Outcome,
};
use deckwind_wire::{ControlReply, ControlRequest};
use http::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// How long a claim may take.
const CLAIM_WITHIN: Duration = Duration::from_secs(3);

/// How long the outcome is kept being sent, if no replica leads.
const FINISH_WITHIN: Duration = Duration::from_secs(60);

/// How long the caller's answer waits for its record.
const RECORD_WITHIN: Duration = Duration::from_millis(500);

/// When to come back for a request that another try is running.
const IN_PROGRESS: Duration = Duration::from_secs(1);

/// A claim that was granted. It must be finished; if it is dropped without, the
/// outcome is unknown.
pub struct HeldClaim {
    shared: Arc<RouterShared>,
    key: ClaimKey,
    nonce: u64,
    finished: bool,
}

/// What came of asking for a claim.
pub enum Claimed {
    /// Send it, once.
    Granted(HeldClaim),
    /// Give this answer instead.
    Answer(Box<Response<Body>>),
}

/// Claims a request; `key` is the caller's `Idempotency-Key`, if any.
pub async fn claim(
    shared: &Arc<RouterShared>,
    account: &AccountName,
    key: Option<&str>,
    body: &[u8],
) -> Result<Claimed, CallerError> {
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
    let reply = shared.control.ask(&request, CLAIM_WITHIN).await;
    match reply {
        Ok(ControlReply::Claim(ClaimVerdict::Granted)) => Ok(Claimed::Granted(HeldClaim {
            shared: shared.clone(),
            key,
            nonce,
            finished: false,
        })),
        Ok(ControlReply::Claim(verdict)) => refuse(verdict),
        _ => {
            // A claim that may have gone through is freed again: nothing was sent.
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
    .retry_after(IN_PROGRESS)
}

fn refuse(verdict: ClaimVerdict) -> Result<Claimed, CallerError> {
    match verdict {
        ClaimVerdict::Recorded(Outcome::Answer {
            status,
            body,
            truncated: false,
        }) => {
            let mut res = answer(status, "application/json", body);
            let replayed = http::HeaderValue::from_static("true");
            res.headers_mut().insert("idempotent-replayed", replayed);
            Ok(Claimed::Answer(Box::new(res)))
        }
        ClaimVerdict::InProgress => Err(CallerError::new(
            StatusCode::CONFLICT,
            "in-progress",
            Ran::Unknown,
            "another try of this request is running; ask again with the same key",
        )
        .retry_after(IN_PROGRESS)),
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

    /// Records how it ended. Sent until it is recorded; the caller's answer
    /// waits a moment for that, not longer.
    pub async fn finish(mut self, outcome: Outcome) {
        self.finished = true;
        let sending = tokio::spawn(self.send(outcome));
        let _ = tokio::time::timeout(RECORD_WITHIN, sending).await;
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
    if shared.control.ask(&request, FINISH_WITHIN).await.is_err() {
        log::warn!("event=outcome_not_recorded vm={}", shared.vm);
    }
}
