//! Reports of crashed runs that wait at the leader until they are proposed.
//!
//! Many routers report the same wave of crashes. Their reports share a command, and the next one
//! is proposed only after the last one was applied: the work that the log gets does not grow with
//! the number of reports.

use crate::state::SuspectChange;
use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// Shortest time between two commands with reports. A quarantine must begin within 500 ms of the
/// third crash.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of changes in a command from which on no further report is added.
const MAX_CHANGES: usize = 512;

/// Maximum number of changes that wait, as many as the table of suspects has rows.
const MAX_WAITING: usize = 4_096;

/// A report that waits to be proposed.
#[derive(Clone, Debug)]
struct WaitingReport {
    token: u64,
    changes: Vec<SuspectChange>,
}

/// Reports to propose in one command.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportBatch {
    pub tokens: Vec<u64>,
    pub changes: Vec<SuspectChange>,
}

/// Reports that wait, and those in the proposed command.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportBuffer {
    waiting: VecDeque<WaitingReport>,
    waiting_changes: usize,
    /// Tokens of the reports in the command that is not applied yet.
    proposed: Option<Vec<u64>>,
    last_proposal: Option<Instant>,
}

impl ReportBuffer {
    /// Adds a report. Returns the tokens of the reports that had to make room: the oldest ones,
    /// as the newest evidence matters most.
    pub fn push(&mut self, token: u64, changes: Vec<SuspectChange>) -> Vec<u64> {
        self.waiting_changes += changes.len();
        self.waiting.push_back(WaitingReport { token, changes });
        let mut dropped = Vec::new();
        while self.waiting_changes > MAX_WAITING && self.waiting.len() > 1 {
            let oldest = self.pop();
            dropped.extend(oldest.map(|report| report.token));
        }
        dropped
    }

    fn pop(&mut self) -> Option<WaitingReport> {
        let report = self.waiting.pop_front()?;
        self.waiting_changes -= report.changes.len();
        Some(report)
    }

    /// Returns whether no report waits or is proposed.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.proposed.is_none()
    }

    /// Takes the reports of the next command, if it is due.
    pub fn take_due(&mut self, now: Instant) -> Option<ReportBatch> {
        let is_early = |last: Instant| now.since(last) < PROPOSAL_INTERVAL;
        if self.proposed.is_some() || self.last_proposal.is_some_and(is_early) {
            return None;
        }
        let mut batch = ReportBatch::default();
        while batch.changes.len() < MAX_CHANGES
            && let Some(report) = self.pop()
        {
            batch.tokens.push(report.token);
            batch.changes.extend(report.changes);
        }
        (!batch.tokens.is_empty()).then_some(batch)
    }

    /// Records that reports are proposed now.
    pub fn record_proposed(&mut self, now: Instant, tokens: Vec<u64>) {
        self.last_proposal = Some(now);
        self.proposed = Some(tokens);
    }

    /// Takes the tokens of the proposed reports, once the outcome of their command is known.
    pub fn take_proposed(&mut self) -> Vec<u64> {
        self.proposed.take().unwrap_or_default()
    }

    /// Takes the tokens of the reports that wait, which are dropped.
    pub fn take_waiting(&mut self) -> Vec<u64> {
        self.waiting_changes = 0;
        self.waiting.drain(..).map(|report| report.token).collect()
    }
}
