//! What routers and operators ask of the leader.

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::grants::FAILING_FOR;
use super::messages::{ControlReply, ControlRequest, EngineFull, Renewal};
use super::operator::{ConfigurationView, OperatorReply, OperatorRequest};
use super::pending::{Asker, Parked};
use super::wake::Urgency;
use crate::state::{CommandBody, Holder, SuspectChange};
use crate::time::Instant;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a renewal waits for a leader to be known: most of an election, and
/// shorter than routers wait for an answer (600 ms).
const LEADERLESS_HOLD: Duration = Duration::from_millis(500);

/// Longest wait until all routers know that a content is served again.
const LIFTED_WITHIN: Duration = Duration::from_secs(3);

impl ControlCore {
    pub(super) fn request(
        &mut self,
        now: Instant,
        token: u64,
        request: ControlRequest,
        out: &mut Vec<ControlAction>,
    ) {
        if !self.replica.may_answer(now) {
            self.await_leader(now, token, request, out);
            return;
        }
        let asker = Asker::Router(token);
        match request {
            ControlRequest::Renew(renewal) => self.renew(now, token, renewal, out),
            ControlRequest::Failing(targets) => self.failing(now, token, &targets, out),
            ControlRequest::Release(holder) => {
                if let Some(leading) = &mut self.leading {
                    leading.leases.release(&holder);
                    leading.demand.remove(&holder.vm);
                    leading.in_use.remove(&holder.vm);
                }
                self.propose(now, CommandBody::HolderGone(holder), asker, out);
            }
            ControlRequest::Claim(req) => self.propose(now, CommandBody::Claim(req), asker, out),
            ControlRequest::Finish(req) => self.propose(now, CommandBody::Finish(req), asker, out),
            ControlRequest::Full(holder, full) => self.full(now, token, &holder, &full, out),
            ControlRequest::Repeats(holder, report) => {
                let reply = ControlReply::Done;
                out.push(ControlAction::Reply { token, reply });
                self.repeats_reported(now, &holder, &report, out);
            }
            ControlRequest::PerhapsSlow(engines) => self.perhaps_slow(now, token, &engines, out),
            ControlRequest::Permits(holder, asks) => {
                self.permits_wanted(now, token, &holder, &asks, out);
            }
            ControlRequest::CutRuns(report) => self.runs_cut(now, token, report, out),
        }
    }

    /// A renewal waits where nobody is known to lead: the router hears of the
    /// leader as soon as there is one, and asks nobody else in vain meanwhile.
    fn await_leader(
        &mut self,
        now: Instant,
        token: u64,
        request: ControlRequest,
        out: &mut Vec<ControlAction>,
    ) {
        match request {
            ControlRequest::Renew(renewal) if self.leader_slot().is_none() => {
                let until = now + LEADERLESS_HOLD;
                self.leaderless.push(Parked {
                    token,
                    renewal,
                    until,
                });
            }
            _ => self.not_leader(token, out),
        }
    }

    /// Takes the renewals that have waited for a leader if this replica leads
    /// now; tells their routers who does otherwise.
    pub(super) fn take_leaderless(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if self.leaderless.is_empty() {
            return;
        }
        let leads = self.replica.may_answer(now);
        let known = self.leader_slot().is_some();
        for parked in std::mem::take(&mut self.leaderless) {
            if leads {
                self.renew(now, parked.token, parked.renewal, out);
            } else if known || parked.until <= now {
                self.not_leader(parked.token, out);
            } else {
                self.leaderless.push(parked);
            }
        }
    }

    fn renew(&mut self, now: Instant, token: u64, renewal: Renewal, out: &mut Vec<ControlAction>) {
        let Some(leading) = &mut self.leading else {
            self.not_leader(token, out);
            return;
        };
        let Renewal { holder, .. } = &renewal;
        let replaced = leading.leases.renew(now, holder, renewal.applied);
        if replaced.is_some() {
            leading.demand.remove(&holder.vm);
        }
        leading.demand.put(&holder.vm, &renewal.demand);
        leading.admins.insert(holder.vm.clone(), renewal.admin);
        leading
            .held_bytes
            .insert(holder.vm.clone(), renewal.held_bytes);
        leading.in_use.put(&holder.vm, &renewal.in_use);
        let failing = renewal.failing.clone();
        if let Some(gone) = replaced {
            self.propose(now, CommandBody::HolderGone(gone), Asker::Nobody, out);
        }
        self.check_targets(now, &failing, out);
        if let Some(report) = &renewal.repeats {
            self.repeats_reported(now, &renewal.holder, report, out);
        }
        self.limits_reported(now, &renewal.holder, &renewal.limits, out);
        let until = now + self.limits.hold;
        self.parked.push(Parked {
            token,
            renewal,
            until,
        });
        self.answer_parked(now, out);
        self.check_force(now, out);
    }

    /// A router says which targets have just failed it: they are checked, and all
    /// routers hear of them at once.
    fn failing(
        &mut self,
        now: Instant,
        token: u64,
        targets: &[SocketAddr],
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.failing.retain(|_, at| now.since(*at) < FAILING_FOR);
        let known = leading.failing.len();
        leading.failing.extend(targets.iter().map(|a| (*a, now)));
        let news = leading.failing.len() > known;
        let reply = ControlReply::Done;
        out.push(ControlAction::Reply { token, reply });
        self.check_targets(now, targets, out);
        if news {
            self.wake_routers(now, Urgency::Urgent, out);
        }
    }

    /// A router says which engines have just refused its requests: all hear of it
    /// soon.
    fn full(
        &mut self,
        now: Instant,
        token: u64,
        holder: &Holder,
        full: &[EngineFull],
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.full.told(now, &holder.vm, full);
        let reply = ControlReply::Done;
        out.push(ControlAction::Reply { token, reply });
        self.wake_routers(now, Urgency::Soon, out);
    }

    pub(super) fn operator(
        &mut self,
        now: Instant,
        token: u64,
        request: OperatorRequest,
        out: &mut Vec<ControlAction>,
    ) {
        if let OperatorRequest::Announce(instance) = request {
            self.announced(now, token, *instance, out);
            return;
        }
        if !self.replica.may_answer(now) {
            let leader = self.leader_slot();
            let reply = OperatorReply::NotLeader { leader };
            out.push(ControlAction::OperatorReply { token, reply });
            return;
        }
        let reply = match request {
            OperatorRequest::Apply { request, wait } => {
                let asker = Asker::Operator(token, now + wait);
                self.propose(now, CommandBody::Apply(*request), asker, out);
                return;
            }
            OperatorRequest::Publish(published) => {
                let asker = Asker::Operator(token, now);
                self.propose(now, CommandBody::Publish(published), asker, out);
                return;
            }
            // Heard by every replica: above.
            OperatorRequest::Announce(_) => return,
            OperatorRequest::Leave(leave) => {
                self.left(now, token, leave, out);
                return;
            }
            OperatorRequest::Lift(content) => {
                let body = CommandBody::Suspects(vec![SuspectChange::Lift(content)]);
                let asker = Asker::Operator(token, now + LIFTED_WITHIN);
                self.propose(now, body, asker, out);
                return;
            }
            OperatorRequest::Document => {
                let cfg = self.machine.configuration();
                let document = cfg.release().map(|_| cfg.document().to_vec());
                OperatorReply::Document(document)
            }
            OperatorRequest::Configuration => {
                OperatorReply::Configuration(ConfigurationView::of(self.machine.configuration()))
            }
            OperatorRequest::Status => OperatorReply::Status(self.status(now)),
        };
        out.push(ControlAction::OperatorReply { token, reply });
    }
}
