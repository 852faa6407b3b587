//! What routers and operators ask of the leader.

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::grants::FAILING_FOR;
use super::in_use::EngineRoom;
use super::messages::{ControlReply, ControlRequest, EngineFull, Renewal};
use super::operator::{ConfigurationView, OperatorReply, OperatorRequest};
use super::parking::Parked;
use super::pending::Asker;
use super::relay_messages::RelayedRequest;
use super::wake::Urgency;
use crate::routing::paths::keeps;
use crate::state::{CommandBody, Configuration, Holder, SuspectChange};
use crate::time::Instant;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a renewal waits for a leader to be known: most of an election, and
/// shorter than routers wait for an answer (600 ms).
const LEADERLESS_HOLD: Duration = Duration::from_millis(500);

/// Between two moments at which undisturbed answers leave for another replica.
const ANSWER_EVERY: Duration = Duration::from_millis(20);

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
        match self.replica.may_answer(now) {
            true => self.answer_request(now, token, request, out),
            false => self.await_leader(now, token, request, out),
        }
    }

    /// A request that another replica passed on. It is never passed on again: who
    /// leads may be known to neither.
    pub(super) fn relayed(
        &mut self,
        now: Instant,
        token: u64,
        from: u32,
        passed_on: RelayedRequest,
        out: &mut Vec<ControlAction>,
    ) {
        let came = now - passed_on.waited;
        let leads = self.replica.may_answer(now);
        match passed_on.request {
            ControlRequest::Renew(renewal) if leads || self.leader_slot().is_none() => {
                let parked = Parked {
                    token,
                    renewal,
                    came,
                    until: came + LEADERLESS_HOLD,
                    relay: Some(from),
                };
                match leads {
                    true => self.renew(now, parked, out),
                    false => self.leaderless.push_back(parked),
                }
            }
            request if leads => self.answer_request(now, token, request, out),
            _ => self.not_leader(token, out),
        }
    }

    fn answer_request(
        &mut self,
        now: Instant,
        token: u64,
        request: ControlRequest,
        out: &mut Vec<ControlAction>,
    ) {
        let asker = Asker::Router(token);
        match request {
            ControlRequest::Renew(renewal) => {
                let parked = Parked {
                    token,
                    renewal,
                    came: now,
                    until: now,
                    relay: None,
                };
                self.renew(now, parked, out);
            }
            ControlRequest::Failing(targets) => self.failing(now, token, &targets, out),
            ControlRequest::Release(holder) => {
                if let Some(leading) = &mut self.leading {
                    leading.leases.release(&holder);
                    leading.demand.remove(&holder.vm);
                    leading.in_use.remove(&holder.vm);
                    leading.round_told.remove(&holder.vm);
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

    /// What a replica that doesn't lead is asked goes to the leader. A renewal waits
    /// where nobody is known to lead: its router asks nobody else in vain meanwhile.
    fn await_leader(
        &mut self,
        now: Instant,
        token: u64,
        request: ControlRequest,
        out: &mut Vec<ControlAction>,
    ) {
        match request {
            request if self.leader_slot().is_some() => {
                self.relay.pass_on(now, now, token, request);
                self.pass_on_requests(now, out);
            }
            ControlRequest::Renew(renewal) => self.leaderless.push_back(Parked {
                token,
                renewal,
                came: now,
                until: now + LEADERLESS_HOLD,
                relay: None,
            }),
            _ => self.not_leader(token, out),
        }
    }

    /// The leader has answered.
    pub(super) fn relay_answered(
        &mut self,
        now: Instant,
        answers: Vec<(u64, ControlReply)>,
        out: &mut Vec<ControlAction>,
    ) {
        out.extend(replies(self.relay.answered(now, answers)));
    }

    /// Passes on what is due, and hands on what may go. Whose leader is gone is
    /// asked to ask again.
    pub(super) fn pass_on_requests(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let leader = self.leader_slot();
        let lost = self.relay.leader_is(leader);
        let again = |token| (token, ControlReply::AskAgain);
        out.extend(replies(lost.into_iter().map(again)));
        if let Some(slot) = leader {
            let requests = self.relay.take_due(now);
            if !requests.is_empty() {
                out.push(ControlAction::PassOn { slot, requests });
            }
        }
        out.extend(replies(self.relay.give_up(now)));
        out.extend(replies(self.relay.take_late(now)));
    }

    /// Takes the renewals that have waited for a leader if this replica leads
    /// now; passes them on if another one does.
    pub(super) fn take_leaderless(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if self.leaderless.is_empty() {
            return;
        }
        let leads = self.replica.may_answer(now);
        let known = self.leader_slot().is_some();
        let waits = |parked: &Parked| !leads && !known && parked.until > now;
        while let Some(parked) = self.leaderless.pop_front() {
            if waits(&parked) {
                self.leaderless.push_front(parked);
                break;
            }
            if leads {
                self.renew(now, parked, out);
            } else if known && parked.relay.is_none() {
                let request = ControlRequest::Renew(parked.renewal);
                self.relay.pass_on(now, parked.came, parked.token, request);
            } else {
                self.not_leader(parked.token, out);
            }
        }
    }

    fn renew(&mut self, now: Instant, parked: Parked, out: &mut Vec<ControlAction>) {
        let Some(leading) = &mut self.leading else {
            self.not_leader(parked.token, out);
            return;
        };
        let renewal = &parked.renewal;
        let Renewal { holder, .. } = renewal;
        let is_new = !leading.leases.knows(&holder.vm);
        let replaced = leading.leases.renew(now, holder, renewal.applied);
        if replaced.is_some() {
            leading.demand.remove(&holder.vm);
        }
        leading.demand.put(&holder.vm, &renewal.demand);
        leading.admins.insert(holder.vm.clone(), renewal.admin);
        leading
            .held_bytes
            .insert(holder.vm.clone(), renewal.held_bytes);
        let cfg = self.machine.configuration();
        let room = |address| engine_room(cfg, address);
        leading.in_use.put(&holder.vm, &renewal.in_use, room);
        let failing = renewal.failing.clone();
        if let Some(gone) = replaced {
            self.propose(now, CommandBody::HolderGone(gone), Asker::Nobody, out);
        }
        self.check_targets(now, &failing, out);
        if let Some(report) = &parked.renewal.repeats {
            self.repeats_reported(now, &parked.renewal.holder, report, out);
        }
        self.limits_reported(now, &parked.renewal.holder, &parked.renewal.limits, out);
        // Who has no lease of this leader's may have little left of the one before it.
        let until = match parked.relay {
            _ if is_new => now,
            None => parked.came + self.limits.hold,
            Some(_) => next_round(parked.came + self.limits.hold),
        };
        self.answer_or_park(now, Parked { until, ..parked }, out);
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

/// What an engine has for streams, as agreed.
fn engine_room(cfg: &Configuration, address: SocketAddr) -> Option<EngineRoom> {
    let instance = cfg.instances().at(address).next()?;
    let pool = cfg.release()?.pool(&instance.pool)?;
    Some(EngineRoom {
        data_centre: instance.data_centre.clone(),
        keeps: keeps(pool.engine.as_ref()?, instance) as u64,
        slots: instance.slots,
    })
}

/// The next moment at which answers to replicas leave: those that are due close
/// together go as one message.
fn next_round(at: Instant) -> Instant {
    let every = ANSWER_EVERY.as_micros() as u64;
    Instant::from_micros(at.as_micros().div_ceil(every) * every)
}

fn replies(
    answers: impl IntoIterator<Item = (u64, ControlReply)>,
) -> impl Iterator<Item = ControlAction> {
    let reply = |(token, reply)| ControlAction::Reply { token, reply };
    answers.into_iter().map(reply)
}
