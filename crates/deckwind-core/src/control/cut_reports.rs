//! Handling of reports about targets that crashed while they ran a request. The contents
//! of these requests are recorded as suspects in the replicated log, and the list of suspects
//! for routers is derived from the record.

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::messages::{ControlReply, CutReport};
use super::pending::Requester;
use super::report_buffer::ReportBatch;
use crate::state::{CommandBody, DerivedSuspects, SuspectChange};
use crate::time::Instant;
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between checks for outdated suspects, which last ten minutes at least.
const OUTDATED_CHECK_INTERVAL: Duration = Duration::from_secs(5);

impl ControlCore {
    /// Handles a router's report of runs that were interrupted by the end of a target.
    /// Targets that may be gone are checked at once: if the end of an incarnation is known
    /// after 50 ms instead of 3.6 s, the request content under which it ended is known
    /// before the caller tries again. The report is answered once its changes are
    /// committed, and at once if they are known already.
    pub(super) fn handle_cut_report(
        &mut self,
        now: Instant,
        token: u64,
        report: CutReport,
        out: &mut Vec<ControlAction>,
    ) {
        self.check_targets(now, &report.broke, out);
        let changes = match self.crash_reports.is_idle() {
            true => self.without_known(report.changes),
            false => self.without_known_crashes(report.changes),
        };
        if changes.is_empty() {
            reply_to_all(vec![token], &ControlReply::Done, out);
            return;
        }
        let dropped = self.crash_reports.push(token, changes);
        reply_to_all(dropped, &ControlReply::Busy, out);
        self.propose_crash_reports(now, out);
    }

    /// Drops crashes that the table contains. What was served is kept, as it may clear crashes
    /// that still wait.
    fn without_known_crashes(&self, mut changes: Vec<SuspectChange>) -> Vec<SuspectChange> {
        let table = self.state_machine.quarantine();
        let is_crash = |change: &SuspectChange| matches!(change, SuspectChange::Ended(_));
        changes.retain(|change| !(is_crash(change) && table.contains(change)));
        changes
    }

    /// Drops changes that the table contains, and copies of one change. A trait that was served
    /// clears the new crashes before it, so it is kept after those.
    fn without_known(&self, mut changes: Vec<SuspectChange>) -> Vec<SuspectChange> {
        let table = self.state_machine.quarantine();
        let mut with_new_crashes = BTreeSet::new();
        let mut cleared = BTreeSet::new();
        changes.retain(|change| match change {
            SuspectChange::Ended(run) => {
                let is_new = !table.contains(change);
                if is_new {
                    with_new_crashes.extend(run.traits.iter().copied());
                    cleared.retain(|served| !run.traits.contains(served));
                }
                is_new
            }
            SuspectChange::Served(served) => {
                let may_clear = with_new_crashes.remove(served) || !table.contains(change);
                may_clear && cleared.insert(*served)
            }
            SuspectChange::Lift(_) => true,
        });
        changes
    }

    /// Proposes the reports that wait, if that is due.
    pub(super) fn propose_crash_reports(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if !self.replica.can_serve_reads(now) {
            return;
        }
        let Some(ReportBatch { tokens, changes }) = self.crash_reports.take_due(now) else {
            return;
        };
        let changes = self.without_known(changes);
        if changes.is_empty() {
            reply_to_all(tokens, &ControlReply::Done, out);
            return;
        }
        self.crash_reports.record_proposed(now, tokens);
        let body = CommandBody::Suspects(changes);
        self.propose(now, body, Requester::CrashReports, out);
    }

    /// Answers the reports in the proposed command.
    pub(super) fn answer_crash_reports(
        &mut self,
        reply: &ControlReply,
        out: &mut Vec<ControlAction>,
    ) {
        reply_to_all(self.crash_reports.take_proposed(), reply, out);
    }

    /// Drops the reports that wait, as this replica no longer leads. Their routers ask another
    /// replica.
    pub(super) fn drop_crash_reports(&mut self, out: &mut Vec<ControlAction>) {
        for token in self.crash_reports.take_waiting() {
            self.not_leader(token, out);
        }
    }

    /// Proposes the removal of outdated suspects, if there are any.
    pub(super) fn remove_outdated_suspects(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if !self.replica.can_serve_reads(now) {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if now < leader_state.next_suspect_cleanup {
            return;
        }
        leader_state.next_suspect_cleanup = now + OUTDATED_CHECK_INTERVAL;
        if self.state_machine.quarantine().has_expired(self.wall_ms) {
            let body = CommandBody::Suspects(Vec::new());
            self.propose(now, body, Requester::Internal, out);
        }
    }

    /// Has the list of suspects derived, if the evidence has changed.
    pub(super) fn derive_suspects(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if !self.replica.can_serve_reads(now) {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let table = self.state_machine.quarantine();
        let now_ms = self.wall_ms.max(self.state_machine.clock_ms());
        if leader_state.derivation.start_if_due(now, table.version()) {
            self.scan_counts.suspects += table.len() as u64;
            out.push(ControlAction::DeriveSuspects(table.evidence(now_ms)));
        }
    }

    /// Proposes a derived list of suspects if it differs from the one in force.
    pub(super) fn handle_derived_suspects(
        &mut self,
        now: Instant,
        derived: DerivedSuspects,
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let awaits_answers = derived.list.awaits_answers();
        let derivation = &mut leader_state.derivation;
        let is_awaited = derivation.finish(now, derived.version, awaits_answers);
        if is_awaited && *self.state_machine.configuration().suspects() != derived.list {
            let body = CommandBody::SuspectList(derived);
            self.propose(now, body, Requester::Internal, out);
        }
    }
}

fn reply_to_all(tokens: Vec<u64>, reply: &ControlReply, out: &mut Vec<ControlAction>) {
    let replies = tokens.into_iter().map(|token| ControlAction::Reply {
        token,
        reply: reply.clone(),
    });
    out.extend(replies);
}
