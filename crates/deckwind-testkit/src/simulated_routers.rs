//! Routers of the simulation: the real lease state, claims whose runs are counted, and
//! retries.

use deckwind_core::control::{CutReport, LimitReport, PeerListVersion};
use deckwind_core::membership::{LeaseTiming, ReplicaChoice, RouterLeaseState};
use deckwind_core::routes::{
    InterruptedRuns, ProcessStart, RequestClass, RetryBudgets, RetryLimits,
};
use deckwind_core::state::{
    ClaimKey, ClaimRequest, ClaimVerdict, FinishRequest, Outcome, RequestTraits, Revision,
    RouterProcess, SuspectChange, VmName,
};
use deckwind_core::time::Instant;
use deckwind_wire::{ControlReply, ControlRequest, Renewal};
use rand::{Rng, RngExt};
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes that each router reports as held for slow readers.
pub const HELD_BYTES: u64 = 4_096;

/// A request that hasn't been answered yet.
#[derive(Clone, Debug)]
struct PendingRequest {
    request: ControlRequest,
    sent_at: Instant,
}

/// A simulated router.
pub struct SimulatedRouter {
    name: VmName,
    boot: u64,
    lease: RouterLeaseState,
    renewal: Option<PendingRequest>,
    /// A claim or its end, resent until it is answered.
    claim: Option<PendingRequest>,
    claims_wanted: u32,
    /// A report of crashed runs, resent until it is answered.
    report: Option<PendingRequest>,
    nonce: u64,
    choice: ReplicaChoice,
    /// Slot of the replica that the last request went to.
    last_slot: u32,
    /// Keys of the router's requests that were run, with one entry per run.
    pub executed_keys: Vec<String>,
    timing: LeaseTiming,
    budgets: Option<RetryBudgets>,
    /// Time of the last report that retries run short.
    last_short_report: Option<Instant>,
    /// Number of retries that the router's streams still need.
    retries_wanted: u64,
    /// Times of the retries, over all restarts of the router.
    pub retry_times: Vec<Instant>,
}

/// Time without an answer after which a request is sent again.
const RESEND_TIMEOUT: Duration = Duration::from_millis(700);

/// Time without an answer after which a report of crashed runs is sent again.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum interval between two reports that retries run short.
const SHORT_REPORT_INTERVAL: Duration = Duration::from_millis(80);

/// Start of each router as its retry budget sees it: not the first start of the whole
/// system.
const START: ProcessStart = ProcessStart {
    at: Instant::ZERO,
    first: false,
};

/// Retry budget of all routers: no share of the routers' own requests, so that all
/// retries must be granted.
pub const RETRY_LIMITS: RetryLimits = RetryLimits {
    share: 0.0,
    extra: 100.0,
    window: Duration::from_secs(10),
};

/// The pool that retries are for.
const POOL: &str = "pool";

/// Number of keys that all routers draw from.
const KEYS: u32 = 40;

impl SimulatedRouter {
    /// Creates the router with number `i` of a cluster with this number of replicas.
    pub fn new(i: usize, replicas: usize, timing: LeaseTiming) -> Self {
        let name = VmName::from(format!("router-{i}"));
        let slots = (0..replicas as u32).collect();
        Self {
            choice: ReplicaChoice::new(name.clone(), slots),
            last_slot: 0,
            name,
            boot: 1,
            lease: RouterLeaseState::new(timing),
            renewal: None,
            claim: None,
            claims_wanted: 0,
            report: None,
            nonce: 0,
            executed_keys: Vec::new(),
            timing,
            budgets: None,
            last_short_report: None,
            retries_wanted: 0,
            retry_times: Vec::new(),
        }
    }

    /// Name of the router's VM.
    pub fn name(&self) -> &VmName {
        &self.name
    }

    fn holder(&self) -> RouterProcess {
        RouterProcess {
            vm: self.name.clone(),
            boot: self.boot,
        }
    }

    /// The revision that the router has applied.
    pub fn applied(&self) -> Revision {
        self.lease.applied()
    }

    /// Whether the quarantine allows the router to send a request with these traits.
    pub fn may_send(&self, request: &RequestTraits) -> bool {
        let mut runs = InterruptedRuns::default();
        runs.set_agreed(Instant::ZERO, self.lease.configuration().suspects());
        runs.may_send(Instant::ZERO, request)
    }

    /// Whether the router's lease is valid, so that it serves.
    pub fn serves(&self, now: Instant) -> bool {
        self.lease.is_live(now)
    }

    /// Adds this number of claims for the router to make.
    pub fn add_claims(&mut self, claims: u32) {
        self.claims_wanted += claims;
    }

    /// Has the router report these changes until the report is answered.
    pub fn report(&mut self, changes: Vec<SuspectChange>) {
        let broke = Vec::new();
        let request = ControlRequest::CutRuns(CutReport { broke, changes });
        let sent_at = Instant::ZERO;
        self.report = Some(PendingRequest { request, sent_at });
    }

    /// Returns whether a report awaits its answer.
    pub fn has_report(&self) -> bool {
        self.report.is_some()
    }

    /// Has the router serve a pool whose streams need this number of retries.
    pub fn need_retries(&mut self, retries: u64) {
        self.retries_wanted = retries;
        self.budgets
            .get_or_insert_with(|| RetryBudgets::new(RETRY_LIMITS, START));
    }

    /// Returns the number of retries that the router may use from its grants.
    pub fn retries_left(&mut self, now: Instant) -> u64 {
        let budgets = self.budgets.as_mut();
        budgets.map_or(0, |b| b.of_pool(POOL).granted().available(now))
    }

    /// Uses the retries that the router's streams need, as far as the budget allows.
    fn use_retries(&mut self, now: Instant) {
        let Some(budgets) = &mut self.budgets else {
            return;
        };
        let budget = budgets.of_pool(POOL);
        budget.record_request(now);
        while self.retries_wanted > 0 {
            let spent = budget.spend(now, RequestClass::Begun, self.retries_wanted);
            if spent.is_none() {
                break;
            }
            self.retries_wanted -= 1;
            self.retry_times.push(now);
        }
    }

    fn next_short_report(&mut self, now: Instant) -> Option<ControlRequest> {
        let due = self
            .last_short_report
            .is_none_or(|at| now.since(at) >= SHORT_REPORT_INTERVAL);
        let budgets = self.budgets.as_mut().filter(|b| due && b.needs_more(now))?;
        let report = budgets.report(now)?;
        self.last_short_report = Some(now);
        Some(ControlRequest::Repeats(self.holder(), report))
    }

    /// Kills and restarts the router; may be called between any two of its steps.
    pub fn restart(&mut self, timing: LeaseTiming) {
        self.boot += 1;
        self.lease = RouterLeaseState::new(timing);
        self.renewal = None;
        self.claim = None;
        self.budgets = self
            .budgets
            .as_ref()
            .map(|_| RetryBudgets::new(RETRY_LIMITS, START));
    }

    /// Chooses the replica for the next request and returns its slot.
    pub fn choose_replica(&mut self, now: Instant) -> u32 {
        self.last_slot = self.choice.next(now).unwrap_or_default();
        self.last_slot
    }

    /// Slot of the replica that the last request went to.
    pub fn last_slot(&self) -> usize {
        self.last_slot as usize
    }

    /// Returns the next request to send, if any.
    pub fn next_request(&mut self, now: Instant, rng: &mut impl Rng) -> Option<ControlRequest> {
        self.use_retries(now);
        let next = self.next_claim(now, rng);
        let next = next.or_else(|| self.next_renewal(now));
        let next = next.or_else(|| self.next_report(now));
        next.or_else(|| self.next_short_report(now))
    }

    fn next_renewal(&mut self, now: Instant) -> Option<ControlRequest> {
        match &self.renewal {
            Some(pending) if now.since(pending.sent_at) < RESEND_TIMEOUT => return None,
            Some(_) => self.choice.record_failure(now, self.last_slot),
            None => {}
        }
        let repeats = self.budgets.as_mut().and_then(|b| b.report(now));
        let request = ControlRequest::Renew(Box::new(Renewal {
            holder: self.holder(),
            applied: self.lease.applied(),
            admin: SocketAddr::from(([127, 0, 0, 1], 1)),
            demand: Vec::new(),
            tunnels: None,
            peers_known: PeerListVersion::default(),
            data_centre: "a".into(),
            in_use: Vec::new(),
            use_known: None,
            failing: Vec::new(),
            held_bytes: HELD_BYTES,
            repeats,
            limits: LimitReport::default(),
        }));
        self.renewal = Some(PendingRequest {
            request: request.clone(),
            sent_at: now,
        });
        Some(request)
    }

    fn next_report(&mut self, now: Instant) -> Option<ControlRequest> {
        let pending = self.report.as_mut()?;
        if now.since(pending.sent_at) < REPORT_TIMEOUT {
            return None;
        }
        pending.sent_at = now;
        Some(pending.request.clone())
    }

    fn next_claim(&mut self, now: Instant, rng: &mut impl Rng) -> Option<ControlRequest> {
        if let Some(pending) = &mut self.claim {
            if now.since(pending.sent_at) < RESEND_TIMEOUT {
                return None;
            }
            pending.sent_at = now;
            return Some(pending.request.clone());
        }
        if self.claims_wanted == 0 {
            return None;
        }
        self.claims_wanted -= 1;
        self.nonce += 1;
        let key = ClaimKey {
            account: "account".into(),
            key: rng.random_range(0..KEYS).to_string(),
        };
        let request = ControlRequest::Claim(ClaimRequest {
            key,
            holder: self.holder(),
            digest: 0,
            nonce: self.nonce,
        });
        self.claim = Some(PendingRequest {
            request: request.clone(),
            sent_at: now,
        });
        Some(request)
    }

    /// Handles the reply to a request that was sent at `sent_at`.
    pub fn handle_reply(
        &mut self,
        now: Instant,
        sent_at: Instant,
        request: &ControlRequest,
        reply: ControlReply,
    ) {
        match (request, reply) {
            (ControlRequest::Renew(renewal), ControlReply::Granted(grant)) => {
                self.renewal = None;
                self.choice.record_success(self.last_slot);
                if renewal.holder.boot == self.boot {
                    let delta = grant
                        .changes(self.lease.applied())
                        .expect("the delta is intact");
                    self.lease.apply_grant(grant.lease(sent_at), delta);
                    let budgets = self.budgets.as_mut();
                    budgets.map(|b| b.apply_grants(sent_at, self.timing.ttl, &grant.repeats));
                }
            }
            (ControlRequest::Renew(_), ControlReply::AskAgain) => self.renewal = None,
            (ControlRequest::CutRuns(_), ControlReply::Done) => self.report = None,
            (ControlRequest::CutRuns(_), _) => self.report_again(),
            (_, ControlReply::NotLeader { leader }) => {
                self.choice
                    .record_not_forwarded(now, self.last_slot, leader);
                if matches!(request, ControlRequest::Renew(_)) {
                    self.renewal = None;
                }
            }
            (ControlRequest::Claim(claim), ControlReply::Claim(verdict))
                if self.is_pending(request) =>
            {
                self.claim = None;
                if verdict == ClaimVerdict::Granted {
                    self.send_once(now, claim);
                }
            }
            (ControlRequest::Finish(_), ControlReply::Done) if self.is_pending(request) => {
                self.claim = None;
            }
            _ => {}
        }
    }

    fn report_again(&mut self) {
        if let Some(pending) = &mut self.report {
            pending.sent_at = Instant::ZERO;
        }
    }

    fn is_pending(&self, request: &ControlRequest) -> bool {
        self.claim.as_ref().is_some_and(|o| o.request == *request)
    }

    /// Sends a granted request to a target exactly once: some targets run it, others
    /// refuse it.
    fn send_once(&mut self, now: Instant, claim: &ClaimRequest) {
        let outcome = self.send_to_target(&claim.key.key, claim.nonce);
        let request = ControlRequest::Finish(FinishRequest {
            key: claim.key.clone(),
            holder: claim.holder.clone(),
            nonce: claim.nonce,
            outcome,
        });
        self.claim = Some(PendingRequest {
            request,
            sent_at: now - RESEND_TIMEOUT,
        });
    }

    fn send_to_target(&mut self, key: &str, nonce: u64) -> Outcome {
        if nonce.is_multiple_of(3) {
            return Outcome::NotRun;
        }
        self.executed_keys.push(key.to_string());
        Outcome::Answer {
            status: 200,
            body: Vec::new(),
            truncated: false,
        }
    }
}
