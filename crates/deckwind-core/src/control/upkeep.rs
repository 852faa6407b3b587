//! What a leader does as time passes: answer held renewals, end leases, look for
//! claims of routers that are gone, give orders, tell who is in force.

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

    /// Answers operators whose change is in force, or who have waited enough.
    pub(super) fn check_force(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if self.force_waits.is_empty() {
            return;
        }
        let leases = self.leading.as_ref().map(|l| &l.leases);
        let through = leases.and_then(|l| l.in_force_through(now));
        for wait in std::mem::take(&mut self.force_waits) {
            let is_in_force = through.is_some_and(|t| wait.revision <= t);
            if now < wait.until && !is_in_force {
                self.force_waits.push(wait);
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
        self.take_leaderless(now, out);
        self.pass_on_requests(now, out);
        self.take_waiting_announcements(now, out);
        self.tell_heard(now, out);
        self.answer_parked(now, out);
        self.expire_leases(now, out);
        self.find_orphans(now, out);
        self.give_orders(now, out);
        self.look_for_silent(now, out);
        self.follow_paces(now, out);
        self.check_force(now, out);
        self.issue_repeats(now, out);
        self.forget_limits(now);
        self.drop_outdated_suspects(now, out);
    }

    fn give_orders(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
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
        let gone = leading.leases.expire(now);
        for holder in &gone {
            leading.demand.remove(&holder.vm);
            leading.admins.remove(&holder.vm);
            leading.round_told.remove(&holder.vm);
            leading.held_bytes.remove(&holder.vm);
            leading.in_use.remove(&holder.vm);
            leading.full.remove(&holder.vm);
        }
        for holder in gone {
            self.propose(now, CommandBody::HolderGone(holder), Asker::Nobody, out);
        }
    }

    /// Once the leases of the leader before have run out: claims whose holder
    /// has no lease are of routers that are gone.
    fn find_orphans(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let known = match &self.leading {
            Some(leading) if !leading.orphans_done => leading.leases.are_known(now),
            _ => false,
        };
        if !known || !self.replica.may_answer(now) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.orphans_done = true;
        let leases = &leading.leases;
        let holders = self.machine.claims().holders_in_progress();
        let gone = |h: &Holder| {
            !leases
                .routers()
                .any(|(vm, l)| *vm == h.vm && l.boot == h.boot)
        };
        let orphans: Vec<Holder> = holders.into_iter().filter(gone).collect();
        for holder in orphans {
            self.propose(now, CommandBody::HolderGone(holder), Asker::Nobody, out);
        }
    }
}
