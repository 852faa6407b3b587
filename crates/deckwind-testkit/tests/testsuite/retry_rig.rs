//! A leader that grants retries, in virtual time: the allocator of one leader, and the retry
//! ledger, which survives a change of leader as the replicated log does.

use deckwind_core::control::{RetryBudgetAllocator, RetryGrant, RetryReport};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::routes::{ProcessStart, RetryBudgets, RetryLimits};
use deckwind_core::state::{RetryChange, RetryLedger, RouterProcess};
use deckwind_core::time::Instant;
use std::time::Duration;

/// Retry budget of these tests.
pub const LIMITS: RetryLimits = RetryLimits {
    share: 0.2,
    extra: 200.0,
    window: Duration::from_secs(10),
};

/// Start of a router process in a system that has run before.
pub const RESTARTED: ProcessStart = ProcessStart {
    at: Instant::ZERO,
    first: false,
};

/// Fraction of the retry budget that is used, as in the product code.
pub const USED_FRACTION: f64 = 0.8;

/// Time for which a renewal is held open without an answer.
const RENEWAL_HOLD_MS: u64 = 400;

/// Renewal that waits for its answer.
struct ParkedRenewal {
    router: usize,
    asked_ms: u64,
    /// Time of the request on the router's clock.
    asked: Instant,
    holder: RouterProcess,
}

/// Model of the control replicas.
pub struct Control {
    pub allocator: RetryBudgetAllocator,
    pub ledger: RetryLedger,
    proposed: Option<Vec<RetryChange>>,
    parked: Vec<ParkedRenewal>,
}

/// Answer to a renewal: the router, the time of its request on the test's and on its own
/// clock, its boot number, and the retries granted.
pub type RenewalAnswer = (usize, u64, Instant, u64, Vec<RetryGrant>);

impl Control {
    /// Creates the model of a cluster that starts.
    pub fn new(now: Instant) -> Self {
        let ledger = RetryLedger::default();
        Self {
            allocator: RetryBudgetAllocator::new(now, LeaseTiming::default(), &ledger),
            ledger,
            proposed: None,
            parked: Vec::new(),
        }
    }

    /// Changes the leader. The last proposal of the previous leader is committed before that
    /// if `commits` is set, and lost otherwise.
    pub fn change_leader(&mut self, now: Instant, commits: bool) {
        if let Some(changes) = self.proposed.take().filter(|_| commits) {
            self.ledger.apply(changes);
        }
        self.parked.clear();
        self.allocator = RetryBudgetAllocator::new(now, LeaseTiming::default(), &self.ledger);
    }

    /// Handles the report of a router that needs more retries.
    pub fn report_shortage(&mut self, now: Instant, holder: &RouterProcess, report: &RetryReport) {
        self.allocator.record_report(now, holder, report);
    }

    /// Handles a lease renewal, which waits for [`Control::answer_renewals`].
    pub fn renew(
        &mut self,
        now: Instant,
        router: usize,
        asked_ms: u64,
        asked: Instant,
        holder: &RouterProcess,
        report: &RetryReport,
    ) {
        self.allocator.record_report(now, holder, report);
        self.parked.push(ParkedRenewal {
            router,
            asked_ms,
            asked,
            holder: holder.clone(),
        });
    }

    /// Commits what was proposed a step ago, and proposes what routers need now.
    pub fn commit_and_propose(&mut self, now: Instant) {
        if let Some(changes) = self.proposed.take() {
            self.ledger.apply(changes);
            self.allocator.ledger_applied(now, &self.ledger);
        }
        self.proposed = self.allocator.propose(now, &self.ledger);
    }

    /// Answers the renewals of routers that were issued retries, and those held long enough.
    pub fn answer_renewals(&mut self, now: Instant, ms: u64) -> Vec<RenewalAnswer> {
        let mut answers = Vec::new();
        for parked in std::mem::take(&mut self.parked) {
            let is_expired = parked.asked_ms + RENEWAL_HOLD_MS <= ms;
            if !is_expired && !self.allocator.has_unannounced(&parked.holder) {
                self.parked.push(parked);
                continue;
            }
            let grants = self.allocator.grants(now, &parked.holder);
            let boot = parked.holder.boot;
            answers.push((parked.router, parked.asked_ms, parked.asked, boot, grants));
        }
        answers
    }

    /// Requests retries for a router and applies the committed grants at once.
    pub fn request_retries(
        &mut self,
        now: Instant,
        holder: &RouterProcess,
        budgets: &mut RetryBudgets,
    ) {
        let report = budgets.report(now).expect("the limits allow retries");
        self.allocator.record_report(now, holder, &report);
        self.commit_and_propose(now);
        self.commit_and_propose(now);
        let lease_ttl = LeaseTiming::default().ttl;
        budgets.apply_grants(now, lease_ttl, &self.allocator.grants(now, holder));
    }
}
