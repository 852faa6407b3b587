//! Handling of retry reports, grants and ledger entries by [`ControlCore`].

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::pending::Requester;
use super::retry_budget_allocator::{RetryBudgetAllocator, RetryCounts};
use super::retry_messages::RetryReport;
use crate::state::{CommandBody, RouterProcess};
use crate::time::Instant;

impl ControlCore {
    /// Handles a router's report of the retries that it holds and wants.
    pub(super) fn handle_retry_report(
        &mut self,
        now: Instant,
        holder: &RouterProcess,
        report: &RetryReport,
        out: &mut Vec<ControlAction>,
    ) {
        if let Some(allocator) = self.retry_budget_allocator(now) {
            allocator.record_report(now, holder, report);
            self.propose_retries(now, out);
        }
    }

    /// Returns the allocator if this replica is a leader that may answer. Its log is then
    /// applied up to the first entry of its term.
    fn retry_budget_allocator(&mut self, now: Instant) -> Option<&mut RetryBudgetAllocator> {
        if !self.replica.can_serve_reads(now) {
            return None;
        }
        let ledger = self.state_machine.retry_ledger();
        let timing = self.lease_timing;
        let leader_state = self.leader_state.as_mut()?;
        let new_allocator = || RetryBudgetAllocator::new(now, timing, ledger);
        Some(
            leader_state
                .retry_allocator
                .get_or_insert_with(new_allocator),
        )
    }

    /// Proposes to issue the retries that routers lack.
    pub(super) fn propose_retries(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if !self.replica.can_serve_reads(now) {
            return;
        }
        let ledger = self.state_machine.retry_ledger();
        let allocator = self
            .leader_state
            .as_mut()
            .and_then(|l| l.retry_allocator.as_mut());
        if let Some(changes) = allocator.and_then(|a| a.propose(now, ledger)) {
            self.propose(now, CommandBody::Repeats(changes), Requester::Internal, out);
        }
    }

    /// Handles a change of the retry ledger: waiting renewals of routers that were issued
    /// retries are answered.
    pub(super) fn apply_retry_changes(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let ledger = self.state_machine.retry_ledger();
        let allocator = self
            .leader_state
            .as_mut()
            .and_then(|l| l.retry_allocator.as_mut());
        if let Some(allocator) = allocator {
            let news = allocator.ledger_applied(now, ledger);
            for holder in news {
                for token in self.parked.tokens_for_vm(&holder.vm) {
                    self.recheck_parked(now, token, out);
                }
            }
        }
    }

    /// Returns the retry counts of each pool, or nothing if this replica doesn't issue
    /// retries.
    pub fn retry_counts(&self) -> Vec<RetryCounts> {
        let allocator = self
            .leader_state
            .as_ref()
            .and_then(|l| l.retry_allocator.as_ref());
        allocator.map_or(Vec::new(), RetryBudgetAllocator::counts)
    }

    /// Returns whether a router was issued retries that no grant has announced to it yet.
    pub(super) fn has_unannounced_retries(&self, holder: &RouterProcess) -> bool {
        let allocator = self
            .leader_state
            .as_ref()
            .and_then(|l| l.retry_allocator.as_ref());
        allocator.is_some_and(|a| a.has_unannounced(holder))
    }
}
