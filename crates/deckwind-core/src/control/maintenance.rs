//! Periodic work of a control replica: answering parked renewals, expiring leases,
//! releasing claims of routers that are gone, issuing orders, and reporting which changes
//! are in force.

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::operator::OperatorReply;
use super::pending::Requester;
use crate::membership::InForce;
use crate::state::{CommandBody, Revision, RouterProcess};
use crate::time::Instant;

impl ControlCore {
    pub(super) fn in_force(&self, now: Instant, revision: Revision) -> InForce {
        match &self.leader_state {
            Some(leader_state) => leader_state.leases.in_force(now, revision),
            None => InForce::UnknownUntil(now),
        }
    }

    /// Answers operators whose change is in force or whose wait has expired.
    pub(super) fn answer_in_force_waits(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if self.in_force_waits.is_empty() {
            return;
        }
        let leases = self.leader_state.as_ref().map(|l| &l.leases);
        let latest_in_force = leases.and_then(|l| l.latest_in_force(now));
        for wait in std::mem::take(&mut self.in_force_waits) {
            let has_taken_effect = latest_in_force.is_some_and(|t| wait.revision <= t);
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
        self.answer_parked(now);
        self.expire_leases(now, out);
        self.release_orphaned_claims(now, out);
        self.issue_orders(now, out);
        self.check_silent_targets(now, out);
        self.recheck_slow_engines(now, out);
        self.answer_in_force_waits(now, out);
        self.propose_retries(now, out);
        self.forget_limits(now);
        self.remove_outdated_suspects(now, out);
    }

    fn issue_orders(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if !self.replica.can_serve_reads(now) {
            return;
        }
        let lease_until = self.replica.lease_until();
        let cfg = self.state_machine.configuration();
        if let Some(leader_state) = &mut self.leader_state {
            let batches = leader_state.orders.issue(now, lease_until, cfg);
            out.extend(batches.into_iter().map(ControlAction::Order));
        }
    }

    fn expire_leases(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let expired = leader_state.leases.expire(now);
        for holder in &expired {
            leader_state.demand.remove(&holder.vm);
            leader_state.admin_addresses.remove(&holder.vm);
            leader_state.peer_routers.remove(&holder.vm);
            leader_state.last_reply_round.remove(&holder.vm);
            leader_state.held_bytes.remove(&holder.vm);
            leader_state.engine_load.remove(&holder.vm);
            leader_state.full.remove(&holder.vm);
        }
        for holder in expired {
            self.propose(
                now,
                CommandBody::HolderGone(holder),
                Requester::Internal,
                out,
            );
        }
    }

    /// Releases claims of router processes that are gone: those whose holder has no
    /// lease. Done once per leader, after the leases of the previous leader have expired.
    fn release_orphaned_claims(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let known = match &self.leader_state {
            Some(leader_state) if !leader_state.orphans_checked => {
                leader_state.leases.has_all_leases(now)
            }
            _ => false,
        };
        if !known || !self.replica.can_serve_reads(now) {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.orphans_checked = true;
        let leases = &leader_state.leases;
        let holders = self.state_machine.claims().holders_in_progress();
        let is_orphaned = |h: &RouterProcess| {
            !leases
                .routers()
                .any(|(vm, l)| *vm == h.vm && l.boot == h.boot)
        };
        let orphans: Vec<RouterProcess> = holders.into_iter().filter(is_orphaned).collect();
        for holder in orphans {
            self.propose(
                now,
                CommandBody::HolderGone(holder),
                Requester::Internal,
                out,
            );
        }
    }
}
