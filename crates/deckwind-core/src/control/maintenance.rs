//! Periodic work of a control replica: answering parked renewals, expiring leases,
//! releasing claims of routers that are gone, issuing orders, and reporting which changes
//! are in force.

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::operator::OperatorReply;
use super::pending::Asker;
use crate::membership::InForce;
use crate::state::{CommandBody, Holder, Revision};
use crate::time::Instant;

impl ControlCore {
    pub(super) fn in_force(&self, now: Instant, revision: Revision) -> InForce {
        match &self.leading {
            Some(leading) => leading.leases.in_force(now, revision),
            None => InForce::UnknownUntil(now),
        }
    }

    /// Answers operators whose change is in force or whose wait has expired.
    pub(super) fn answer_in_force_waits(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if self.in_force_waits.is_empty() {
            return;
        }
        let leases = self.leading.as_ref().map(|l| &l.leases);
        let in_force_through = leases.and_then(|l| l.in_force_through(now));
        for wait in std::mem::take(&mut self.in_force_waits) {
            let has_taken_effect = in_force_through.is_some_and(|t| wait.revision <= t);
            if now < wait.deadline && !has_taken_effect {
                self.in_force_waits.push(wait);
                continue;
            }
            let in_force = self.in_force(now, wait.revision);
            out.push(ControlAction::OperatorReply {
                token: wait.token,
                reply: OperatorReply::Accepted {
                    revision: wait.revision,
                    in_force,
                },
            });
        }
    }

    pub(super) fn tick(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        self.process_renewals_awaiting_leader(now, out);
        self.forward_requests(now, out);
        self.process_announcements_awaiting_leader(now, out);
        self.report_announcements(now, out);
        self.answer_parked(now, out);
        self.expire_leases(now, out);
        self.release_orphaned_claims(now, out);
        self.issue_orders(now, out);
        self.check_silent_targets(now, out);
        self.follow_paces(now, out);
        self.answer_in_force_waits(now, out);
        self.issue_repeats(now, out);
        self.forget_limits(now);
        self.drop_outdated_suspects(now, out);
    }

    fn issue_orders(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if !self.replica.may_answer(now) {
            return;
        }
        let lease_until = self.replica.lease_until();
        let cfg = self.machine.configuration();
        if let Some(leading) = &mut self.leading {
            let batches = leading.orders.issue(now, lease_until, cfg);
            out.extend(batches.into_iter().map(ControlAction::Order));
        }
    }

    fn expire_leases(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let expired = leading.leases.expire(now);
        for holder in &expired {
            leading.demand.remove(&holder.vm);
            leading.admin_addresses.remove(&holder.vm);
            leading.last_reply_round.remove(&holder.vm);
            leading.held_bytes.remove(&holder.vm);
            leading.in_use.remove(&holder.vm);
            leading.full.remove(&holder.vm);
        }
        for holder in expired {
            self.propose(now, CommandBody::HolderGone(holder), Asker::Nobody, out);
        }
    }

    /// Releases claims of router processes that are gone: those whose holder has no
    /// lease. Done once per leader, after the leases of the previous leader have expired.
    fn release_orphaned_claims(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let known = match &self.leading {
            Some(leading) if !leading.orphans_checked => leading.leases.are_known(now),
            _ => false,
        };
        if !known || !self.replica.may_answer(now) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.orphans_checked = true;
        let leases = &leading.leases;
        let holders = self.machine.claims().holders_in_progress();
        let is_orphaned = |h: &Holder| {
            !leases
                .routers()
                .any(|(vm, l)| *vm == h.vm && l.boot == h.boot)
        };
        let orphans: Vec<Holder> = holders.into_iter().filter(is_orphaned).collect();
        for holder in orphans {
            self.propose(now, CommandBody::HolderGone(holder), Asker::Nobody, out);
        }
    }
}
