//! A leader that gives repeats out, in virtual time: the desk, and a ledger that
//! outlives it as the log does.

use deckwind_core::control::{RepeatDesk, RepeatGrant, RepeatReport};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::routes::{RepeatBudgets, RepeatLimits, Started};
use deckwind_core::state::{Holder, RepeatChange, RepeatLedger};
use deckwind_core::time::Instant;
use std::time::Duration;

/// The bound of these tests.
pub const LIMITS: RepeatLimits = RepeatLimits {
    share: 0.2,
    beyond: 200.0,
    window: Duration::from_secs(10),
};

/// A start of a router in a system that has run before.
pub const STARTED: Started = Started {
    at: Instant::ZERO,
    first: false,
};

/// Part of it that is used.
pub const USED: f64 = 0.8;

/// How long a renewal is held.
const HOLD_MS: u64 = 400;

/// A renewal that waits for its answer.
struct Parked {
    router: usize,
    asked_ms: u64,
    /// By the router's clock.
    asked: Instant,
    holder: Holder,
}

/// The control replicas.
pub struct Control {
    pub desk: RepeatDesk,
    pub ledger: RepeatLedger,
    proposed: Option<Vec<RepeatChange>>,
    parked: Vec<Parked>,
}

/// Router, when it asked by the test's and by its own clock, its boot, and what it
/// may use.
pub type Answered = (usize, u64, Instant, u64, Vec<RepeatGrant>);

impl Control {
    /// Of a cluster that starts.
    pub fn new(now: Instant) -> Self {
        let ledger = RepeatLedger::default();
        Self {
            desk: RepeatDesk::new(now, LeaseTiming::default(), &ledger),
            ledger,
            proposed: None,
            parked: Vec::new(),
        }
    }

    /// Another leader takes over; what the one before it proposed is committed
    /// before, or never.
    pub fn lead_anew(&mut self, now: Instant, commits: bool) {
        if let Some(changes) = self.proposed.take().filter(|_| commits) {
            self.ledger.apply(changes);
        }
        self.parked.clear();
        self.desk = RepeatDesk::new(now, LeaseTiming::default(), &self.ledger);
    }

    /// A router runs short.
    pub fn short(&mut self, now: Instant, holder: &Holder, report: &RepeatReport) {
        self.desk.reported(now, holder, report);
    }

    /// A router renews its lease.
    pub fn renew(
        &mut self,
        now: Instant,
        router: usize,
        asked_ms: u64,
        asked: Instant,
        holder: &Holder,
        report: &RepeatReport,
    ) {
        self.desk.reported(now, holder, report);
        self.parked.push(Parked {
            router,
            asked_ms,
            asked,
            holder: holder.clone(),
        });
    }

    /// What was proposed a step ago is agreed; what is wanted now is proposed.
    pub fn agree(&mut self, now: Instant) {
        if let Some(changes) = self.proposed.take() {
            self.ledger.apply(changes);
            self.desk.applied(now, &self.ledger);
        }
        self.proposed = self.desk.propose(now, &self.ledger);
    }

    /// Answers those who were given some, and those who have waited enough.
    pub fn answer(&mut self, now: Instant, ms: u64) -> Vec<Answered> {
        let mut answers = Vec::new();
        for parked in std::mem::take(&mut self.parked) {
            let over = parked.asked_ms + HOLD_MS <= ms;
            if !over && !self.desk.has_news(&parked.holder) {
                self.parked.push(parked);
                continue;
            }
            let grants = self.desk.grants(now, &parked.holder);
            let boot = parked.holder.boot;
            answers.push((parked.router, parked.asked_ms, parked.asked, boot, grants));
        }
        answers
    }

    /// A router asks, and hears at once what is agreed.
    pub fn ask(&mut self, now: Instant, holder: &Holder, budgets: &mut RepeatBudgets) {
        let report = budgets.report(now).expect("some are allowed");
        self.desk.reported(now, holder, &report);
        self.agree(now);
        self.agree(now);
        let lasts = LeaseTiming::default().ttl;
        budgets.told(now, lasts, &self.desk.grants(now, holder));
    }
}
