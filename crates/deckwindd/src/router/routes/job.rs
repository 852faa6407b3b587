//! A request that was admitted, and the checks before each time it is sent.

use super::delivery::Recipient;
use super::held_bytes::HeldBytes;
use super::permits::NoPermit;
use super::responses::Failure;
use super::target_notices::AnswerSource;
use super::trial_hold::TrialHold;
use crate::router::shared::RouterShared;
use bytes::Bytes;
use deckwind_core::routes::{Permit, ReleaseIndex, SendVerdict, ServingState, TargetChoice};
use deckwind_core::state::{Pool, RequestTraits, Route};
use deckwind_core::time::Instant;
use deckwind_net::edge::{CallerRequestHead, TargetRequestHead};
use http::request::Parts;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::Full;
use std::sync::Arc;
use std::time::Duration;

/// Maximum wait until it is known whether a target crashed on a request. A probe of the target,
/// two log entries and two replies to the routers usually take half as long.
const MAX_VERDICT_WAIT: Duration = Duration::from_millis(400);

/// Time between two checks whether that is known.
const VERDICT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why and as whose a request may run.
pub struct Admission {
    /// The release that admits the request.
    pub release: Arc<ReleaseIndex>,
    /// Route of the request.
    pub route: Route,
    /// Account that sent the request.
    pub account: Option<String>,
    /// Priority of the account.
    pub priority: Option<u8>,
}

/// Admits a request by the release in force.
///
/// # Errors
/// If the router has no lease, no route matches, or the key is missing or unknown.
pub fn authorize(
    shared: &RouterShared,
    serving: &ServingState,
    head: &CallerRequestHead,
    parts: &Parts,
) -> Result<Admission, Failure> {
    let is_live = serving.is_live(shared.clock.now());
    let release = serving.release().filter(|_| is_live);
    let release = release.ok_or_else(|| lease_failure(shared))?;
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
    let route = release.route(host, parts.uri.path());
    let route = route.ok_or(Failure::NoRoute)?;
    let rights = release.admit(route, head.key.as_ref());
    let rights = rights.map_err(|_| Failure::UnknownKey)?;
    Ok(Admission {
        release: release.clone(),
        route: route.clone(),
        account: rights.map(|r| r.account.to_string()),
        priority: rights.and_then(|r| r.priority),
    })
}

fn lease_failure(shared: &RouterShared) -> Failure {
    match shared.control.is_partitioned() {
        true => Failure::CutOff,
        false => Failure::NoLease,
    }
}

/// A request that may run.
pub struct Job {
    /// State that all tasks share.
    pub shared: Arc<RouterShared>,
    /// The parsed head of the request.
    pub head: CallerRequestHead,
    /// Method, path, and headers without those of the connection.
    pub parts: Parts,
    /// Body of the request.
    pub body: Bytes,
    /// What the request may share with others: its content, which is the same whenever it is
    /// repeated, and the parts of its prompt.
    pub traits: RequestTraits,
    /// Counts the body as buffered.
    pub(super) _held: HeldBytes,
    /// Route of the request.
    pub route: Route,
    /// Pool that was drawn for the request.
    pub pool: Pool,
    /// Account that sent the request.
    pub account: Option<String>,
    /// Whether the caller retried too late for the request to be in time.
    pub is_late: bool,
    /// Rank for targets; 0 is served first.
    pub rank: u8,
    /// Time of arrival.
    pub arrived: Instant,
    /// Time at which the release in force admitted the request.
    pub(super) admitted_at: Instant,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Whether the request is sent to try a quarantined content.
    pub(super) trial: TrialHold,
}

impl Drop for Job {
    fn drop(&mut self) {
        self.trial.release(&self.shared, &self.traits);
    }
}

impl Job {
    /// Returns the time left until the deadline. Time during which the VM was suspended
    /// counts as used.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.shared.clock.now())
    }

    /// Returns the recipient of the answer.
    pub fn recipient(&self) -> Recipient<'_> {
        Recipient {
            request: &self.head.id,
            account: self.account.as_deref(),
            deadline: self.shared.clock.now() + self.time_left(),
        }
    }

    /// Checks that the request may still run, just before each send. A request that was
    /// admitted before the lease lapsed is admitted again: its key may have been revoked
    /// meanwhile.
    ///
    /// # Errors
    /// If the router has no lease, or the release in force does not admit the request.
    pub fn check_admitted(&self) -> Result<(), Failure> {
        let now = self.shared.clock.now();
        let serving = self.shared.routes.serving();
        if serving.is_live_since(now, self.admitted_at) {
            return Ok(());
        }
        let admission = authorize(&self.shared, &serving, &self.head, &self.parts)?;
        let is_same = admission.route.name == self.route.name && admission.account == self.account;
        is_same.then_some(()).ok_or(Failure::NoRoute)
    }

    /// Decides whether the request may be sent to a target.
    fn verdict(&self) -> SendVerdict {
        let now = self.shared.clock.now();
        self.shared
            .routes
            .poison_requests
            .verdict(now, &self.traits)
    }

    /// Whether the request may be sent to a target now.
    pub fn may_be_sent(&self) -> bool {
        self.verdict() == SendVerdict::Send
    }

    /// Decides whether the request may be sent to a target. If a target may just have crashed
    /// on it, waits until that is known, for a bounded time. If it is quarantined and a trial is
    /// requested, waits for that too; a trial that no other request uses is taken for it.
    pub async fn await_verdict(&self) -> SendVerdict {
        self.trial.release(&self.shared, &self.traits);
        let mut verdict = self.await_other(SendVerdict::Undecided).await;
        let poison_requests = &self.shared.routes.poison_requests;
        let now = self.shared.clock.now();
        if verdict == SendVerdict::Quarantined && poison_requests.want_trial(now, &self.traits) {
            verdict = self.await_other(SendVerdict::Quarantined).await;
        }
        match verdict {
            SendVerdict::Trial if !self.trial.take(&self.shared, &self.traits) => {
                SendVerdict::Quarantined
            }
            verdict => verdict,
        }
    }

    /// Waits for a bounded time until the verdict is another one than this.
    async fn await_other(&self, than: SendVerdict) -> SendVerdict {
        let deadline = tokio::time::Instant::now() + MAX_VERDICT_WAIT.min(self.time_left());
        loop {
            let verdict = self.verdict();
            if verdict != than || tokio::time::Instant::now() >= deadline {
                return verdict;
            }
            tokio::time::sleep(VERDICT_POLL_INTERVAL).await;
        }
    }

    /// Applies what a target's answer reports about the target, whatever the status of
    /// the answer.
    pub fn apply_answer(
        &self,
        choice: &TargetChoice,
        permit: Option<Permit>,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        let source = AnswerSource {
            address: choice.address,
            incarnation: &choice.incarnation(),
            in_reply_to: &self.head.id,
            permit,
        };
        self.shared.routes.apply_answer(&source, status, headers);
    }

    /// Waits for the permit that the chosen target needs, if it has a limit.
    ///
    /// # Errors
    /// If no permit is available.
    pub async fn acquire_permit(&self, choice: &TargetChoice) -> Result<Option<Permit>, NoPermit> {
        let routes = &self.shared.routes;
        routes
            .acquire_permit(&self.head.id, &choice.limit_key())
            .await
    }

    /// Whether the request may not be sent to the chosen target by now: the target accepts
    /// nothing new, or nothing without a valid permit, or targets have crashed on the request.
    pub fn is_blocked(&self, choice: &TargetChoice, permit: Option<&Permit>) -> bool {
        let now = self.shared.clock.now();
        let may_be_sent = self.trial.is_held() || self.may_be_sent();
        !may_be_sent || self.shared.routes.is_blocked(now, choice, permit)
    }

    /// Creates the request to a target, to be resumed after `last_event`.
    pub fn target_request(
        &self,
        choice: &TargetChoice,
        last_event: Option<u64>,
    ) -> http::Result<Request<Full<Bytes>>> {
        let uri = self.parts.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut req = Request::builder()
            .method(self.parts.method.clone())
            .uri(uri)
            .body(Full::new(self.body.clone()))?;
        *req.headers_mut() = self.parts.headers.clone();
        let target = TargetRequestHead {
            instance: &choice.instance,
            account: self.account.as_deref(),
            time_left: Some(self.time_left()),
            path: choice.path.as_ref().map(|p| p.stages.as_slice()),
            priority: self.rank,
            last_event,
        };
        let dialect = &self.shared.cx.dialects.callers;
        dialect.to_target_headers(req.headers_mut(), &target);
        Ok(req)
    }
}
