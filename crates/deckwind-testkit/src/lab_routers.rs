//! Routers of the laboratory: the real lease state, claims whose runs are counted,
//! and repeats.

use deckwind_core::control::LimitReport;
use deckwind_core::membership::{LeaseTiming, ReplicaChoice, RouterLeaseState};
use deckwind_core::routes::{Claim, CutRuns, RepeatBudgets, RepeatLimits, Started};
use deckwind_core::state::{
    ClaimKey, ClaimRequest, ClaimVerdict, ContentDigest, FinishRequest, Holder, Outcome, Revision,
    VmName,
};
use deckwind_core::time::Instant;
use deckwind_wire::{ControlReply, ControlRequest, Renewal};
use rand::{Rng, RngExt};
use std::net::SocketAddr;
use std::time::Duration;

/// What each router says that it holds for those that read slowly, bytes.
pub const HELD_BYTES: u64 = 4_096;

/// A request of a router that was not answered yet.
#[derive(Clone, Debug)]
struct Open {
    request: ControlRequest,
    asked: Instant,
}

/// A router.
pub struct LabRouter {
    name: VmName,
    boot: u64,
    lease: RouterLeaseState,
    renewal: Option<Open>,
    /// A claim or its end, sent again until it is answered.
    claim: Option<Open>,
    claims_wanted: u32,
    nonce: u64,
    choice: ReplicaChoice,
    /// Slot of the replica that was asked last.
    asked: u32,
    /// Keys that it ran, one entry a run.
    pub ran: Vec<String>,
    timing: LeaseTiming,
    budgets: Option<RepeatBudgets>,
    /// When it last told that repeats run short.
    short_at: Option<Instant>,
    /// Repeats that its streams want.
    repeats_wanted: u64,
    /// When it used repeats, over all its starts.
    pub repeated: Vec<Instant>,
}

/// A request that was not answered for this long is sent again.
const RESEND: Duration = Duration::from_millis(700);

/// Between two messages that repeats run short.
const SHORT_EVERY: Duration = Duration::from_millis(80);

/// When routers start, as far as repeats care: not with the whole system.
const STARTED: Started = Started {
    at: Instant::ZERO,
    first: false,
};

/// The bound on repeats: nothing for the routers' own requests.
pub const REPEATS: RepeatLimits = RepeatLimits {
    share: 0.0,
    beyond: 100.0,
    window: Duration::from_secs(10),
};

/// The pool that repeats are for.
const POOL: &str = "pool";

/// Keys that all routers draw from.
const KEYS: u32 = 40;

impl LabRouter {
    /// The router of this number, before so many replicas.
    pub fn new(i: usize, replicas: usize, timing: LeaseTiming) -> Self {
        let name = VmName::from(format!("router-{i}"));
        let slots = (0..replicas as u32).collect();
        Self {
            choice: ReplicaChoice::new(name.clone(), slots),
            asked: 0,
            name,
            boot: 1,
            lease: RouterLeaseState::new(timing),
            renewal: None,
            claim: None,
            claims_wanted: 0,
            nonce: 0,
            ran: Vec::new(),
            timing,
            budgets: None,
            short_at: None,
            repeats_wanted: 0,
            repeated: Vec::new(),
        }
    }

    /// Its name.
    pub fn name(&self) -> &VmName {
        &self.name
    }

    fn holder(&self) -> Holder {
        Holder {
            vm: self.name.clone(),
            boot: self.boot,
        }
    }

    /// Revision that it has applied.
    pub fn applied(&self) -> Revision {
        self.lease.applied()
    }

    /// Whether it knows of no reason not to send a request of this content.
    pub fn may_send(&self, content: &ContentDigest) -> bool {
        let mut runs = CutRuns::default();
        runs.agreed(Instant::ZERO, self.lease.configuration().suspects());
        runs.may_send(Instant::ZERO, content)
    }

    /// Whether it serves.
    pub fn serves(&self, now: Instant) -> bool {
        self.lease.is_live(now)
    }

    /// Makes it claim that many requests.
    pub fn want_claims(&mut self, claims: u32) {
        self.claims_wanted += claims;
    }

    /// Has it serve a pool whose streams want so many repeats.
    pub fn want_repeats(&mut self, repeats: u64) {
        self.repeats_wanted = repeats;
        self.budgets
            .get_or_insert_with(|| RepeatBudgets::new(REPEATS, STARTED));
    }

    /// How many repeats it may use.
    pub fn repeats_left(&mut self, now: Instant) -> u64 {
        let budgets = self.budgets.as_mut();
        budgets.map_or(0, |b| b.of_pool(POOL).leased().left(now))
    }

    /// Uses the repeats that it wants and may use.
    fn repeat(&mut self, now: Instant) {
        let Some(budgets) = &mut self.budgets else {
            return;
        };
        let budget = budgets.of_pool(POOL);
        budget.requested(now);
        while self.repeats_wanted > 0 {
            let spent = budget.spend(now, Claim::Begun, self.repeats_wanted);
            if spent.is_none() {
                break;
            }
            self.repeats_wanted -= 1;
            self.repeated.push(now);
        }
    }

    fn next_short(&mut self, now: Instant) -> Option<ControlRequest> {
        let due = self.short_at.is_none_or(|at| now.since(at) >= SHORT_EVERY);
        let budgets = self.budgets.as_mut().filter(|b| due && b.runs_short(now))?;
        let report = budgets.report(now)?;
        self.short_at = Some(now);
        Some(ControlRequest::Repeats(self.holder(), report))
    }

    /// Kills it and starts it again, between any two of its steps.
    pub fn restart(&mut self, timing: LeaseTiming) {
        self.boot += 1;
        self.lease = RouterLeaseState::new(timing);
        self.renewal = None;
        self.claim = None;
        self.budgets = self
            .budgets
            .as_ref()
            .map(|_| RepeatBudgets::new(REPEATS, STARTED));
    }

    /// Slot of the replica that it asks now.
    pub fn choose(&mut self, now: Instant) -> u32 {
        self.asked = self.choice.next(now).unwrap_or_default();
        self.asked
    }

    /// Slot of the replica that it asked last.
    pub fn asked(&self) -> usize {
        self.asked as usize
    }

    /// What it sends now, if anything.
    pub fn next_request(&mut self, now: Instant, rng: &mut impl Rng) -> Option<ControlRequest> {
        self.repeat(now);
        let next = self.next_claim(now, rng);
        let next = next.or_else(|| self.next_renewal(now));
        next.or_else(|| self.next_short(now))
    }

    fn next_renewal(&mut self, now: Instant) -> Option<ControlRequest> {
        match &self.renewal {
            Some(open) if now.since(open.asked) < RESEND => return None,
            Some(_) => self.choice.failed(now, self.asked),
            None => {}
        }
        let repeats = self.budgets.as_mut().and_then(|b| b.report(now));
        let request = ControlRequest::Renew(Renewal {
            holder: self.holder(),
            applied: self.lease.applied(),
            admin: SocketAddr::from(([127, 0, 0, 1], 1)),
            demand: Vec::new(),
            data_centre: "a".into(),
            in_use: Vec::new(),
            use_known: None,
            failing: Vec::new(),
            held_bytes: HELD_BYTES,
            repeats,
            limits: LimitReport::default(),
        });
        self.renewal = Some(Open {
            request: request.clone(),
            asked: now,
        });
        Some(request)
    }

    fn next_claim(&mut self, now: Instant, rng: &mut impl Rng) -> Option<ControlRequest> {
        if let Some(open) = &mut self.claim {
            if now.since(open.asked) < RESEND {
                return None;
            }
            open.asked = now;
            return Some(open.request.clone());
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
        self.claim = Some(Open {
            request: request.clone(),
            asked: now,
        });
        Some(request)
    }

    /// Takes the answer to a request that was sent at `asked`.
    pub fn answered(
        &mut self,
        now: Instant,
        asked: Instant,
        request: &ControlRequest,
        reply: ControlReply,
    ) {
        match (request, reply) {
            (ControlRequest::Renew(renewal), ControlReply::Granted(grant)) => {
                self.renewal = None;
                self.choice.answered(self.asked);
                if renewal.holder.boot == self.boot {
                    let delta = grant
                        .changes(self.lease.applied())
                        .expect("nothing is damaged here");
                    self.lease.granted(grant.lease(asked), delta);
                    let budgets = self.budgets.as_mut();
                    budgets.map(|b| b.told(asked, self.timing.ttl, &grant.repeats));
                }
            }
            (ControlRequest::Renew(_), ControlReply::AskAgain) => self.renewal = None,
            (_, ControlReply::NotLeader { leader }) => {
                self.choice.not_passed_on(now, self.asked, leader);
                if matches!(request, ControlRequest::Renew(_)) {
                    self.renewal = None;
                }
            }
            (ControlRequest::Claim(claim), ControlReply::Claim(verdict))
                if self.is_open(request) =>
            {
                self.claim = None;
                if verdict == ClaimVerdict::Granted {
                    self.send_once(now, claim);
                }
            }
            (ControlRequest::Finish(_), ControlReply::Done) if self.is_open(request) => {
                self.claim = None;
            }
            _ => {}
        }
    }

    fn is_open(&self, request: &ControlRequest) -> bool {
        self.claim.as_ref().is_some_and(|o| o.request == *request)
    }

    /// Sends what was granted, once: some targets run it, others refuse.
    fn send_once(&mut self, now: Instant, claim: &ClaimRequest) {
        let outcome = self.send_to_target(&claim.key.key, claim.nonce);
        let request = ControlRequest::Finish(FinishRequest {
            key: claim.key.clone(),
            holder: claim.holder.clone(),
            nonce: claim.nonce,
            outcome,
        });
        self.claim = Some(Open {
            request,
            asked: now - RESEND,
        });
    }

    fn send_to_target(&mut self, key: &str, nonce: u64) -> Outcome {
        if nonce.is_multiple_of(3) {
            return Outcome::NotRun;
        }
        self.ran.push(key.to_string());
        Outcome::Answer {
            status: 200,
            body: Vec::new(),
            truncated: false,
        }
    }
}
