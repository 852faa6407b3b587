//! Handling of requests from routers and operators.

use super::control_core::ControlCore;
use super::engine_load::EngineCapacity;
use super::event::ControlAction;
use super::grants::FAILING_REPORT_TTL;
use super::messages::{ControlReply, ControlRequest, EngineFull};
use super::operator::{ConfigurationView, OperatorReply, OperatorRequest};
use super::parked_renewals::ParkedRenewal;
use super::pending::Requester;
use super::relay_messages::RelayedRequest;
use super::reply_schedule::Urgency;
use crate::routing::paths::stream_capacity;
use crate::state::{CommandBody, Configuration, RouterProcess, SuspectChange};
use crate::time::Instant;
use std::net::SocketAddr;
use std::time::Duration;

/// Time a renewal waits while no leader is known. It covers most of an election and is
/// shorter than the 600 ms that routers wait for an answer.
const LEADER_WAIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which replies to forwarded renewals leave if no change makes them leave
/// earlier.
const RELAYED_REPLY_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait until all routers have received the lifting of a quarantine.
const LIFT_TIMEOUT: Duration = Duration::from_secs(3);

impl ControlCore {
    pub(super) fn handle_request(
        &mut self,
        now: Instant,
        token: u64,
        request: ControlRequest,
        out: &mut Vec<ControlAction>,
    ) {
        match self.replica.can_serve_reads(now) {
            true => self.answer_request(now, token, request, out),
            false => self.forward_to_leader(now, token, request, out),
        }
    }

    /// Handles a request forwarded by another replica. It is never forwarded again, as
    /// neither replica may know the leader.
    pub(super) fn handle_relayed_request(
        &mut self,
        now: Instant,
        token: u64,
        from: u32,
        relayed: RelayedRequest,
        out: &mut Vec<ControlAction>,
    ) {
        let received_at = now - relayed.waited;
        let is_leader = self.replica.can_serve_reads(now);
        match relayed.request {
            ControlRequest::Renew(renewal) if is_leader || self.leader_slot().is_none() => {
                let parked = ParkedRenewal {
                    token,
                    renewal,
                    received_at,
                    deadline: received_at + LEADER_WAIT_TIMEOUT,
                    relayed_by: Some(from),
                };
                match is_leader {
                    true => self.renew(now, parked, out),
                    false => self.renewals_awaiting_leader.push_back(parked),
                }
            }
            request if is_leader => self.answer_request(now, token, request, out),
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
        let requester = Requester::Router(token);
        match request {
            ControlRequest::Renew(renewal) => {
                let parked = ParkedRenewal {
                    token,
                    renewal,
                    received_at: now,
                    deadline: now,
                    relayed_by: None,
                };
                self.renew(now, parked, out);
            }
            ControlRequest::Failing(targets) => {
                self.handle_failing_report(now, token, &targets, out)
            }
            ControlRequest::Release(holder) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.leases.release(&holder);
                    leader_state.demand.remove(&holder.vm);
                    leader_state.peer_routers.remove(&holder.vm);
                    leader_state.engine_load.remove(&holder.vm);
                    leader_state.last_reply_round.remove(&holder.vm);
                }
                self.propose(now, CommandBody::HolderGone(holder), requester, out);
            }
            ControlRequest::Claim(req) => {
                self.propose(now, CommandBody::Claim(req), requester, out)
            }
            ControlRequest::Finish(req) => {
                self.propose(now, CommandBody::Finish(req), requester, out)
            }
            ControlRequest::Full(holder, full) => {
                self.handle_full_report(now, token, &holder, &full, out)
            }
            ControlRequest::Repeats(holder, report) => {
                let reply = ControlReply::Done;
                out.push(ControlAction::Reply { token, reply });
                self.handle_retry_report(now, &holder, &report, out);
            }
            ControlRequest::PerhapsSlow(engines) => {
                self.handle_slow_hints(now, token, &engines, out)
            }
            ControlRequest::Permits(holder, asks) => {
                self.handle_permit_request(now, token, &holder, &asks, out);
            }
            ControlRequest::CutRuns(report) => self.handle_cut_report(now, token, report, out),
        }
    }

    /// Forwards a request to the leader. While no leader is known, a renewal waits here,
    /// so that its router does not try other replicas without success, and other requests
    /// are refused.
    fn forward_to_leader(
        &mut self,
        now: Instant,
        token: u64,
        request: ControlRequest,
        out: &mut Vec<ControlAction>,
    ) {
        match request {
            request if self.leader_slot().is_some() => {
                self.relay.enqueue(now, now, token, request);
                self.forward_requests(now, out);
            }
            ControlRequest::Renew(renewal) => {
                self.renewals_awaiting_leader.push_back(ParkedRenewal {
                    token,
                    renewal,
                    received_at: now,
                    deadline: now + LEADER_WAIT_TIMEOUT,
                    relayed_by: None,
                })
            }
            _ => self.not_leader(token, out),
        }
    }

    /// Passes the leader's answers on to the routers.
    pub(super) fn handle_leader_answers(
        &mut self,
        now: Instant,
        answers: Vec<(u64, ControlReply)>,
        out: &mut Vec<ControlAction>,
    ) {
        out.extend(reply_actions(self.relay.handle_answers(now, answers)));
    }

    /// Forwards the requests that are due and returns the answers that may be sent.
    /// Routers whose request was sent to a previous leader receive
    /// [`ControlReply::AskAgain`].
    pub(super) fn forward_requests(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let leader = self.leader_slot();
        let lost = self.relay.set_leader(leader);
        let ask_again = |token| (token, ControlReply::AskAgain);
        out.extend(reply_actions(lost.into_iter().map(ask_again)));
        if let Some(slot) = leader {
            let requests = self.relay.take_due(now);
            if !requests.is_empty() {
                out.push(ControlAction::ForwardRequests { slot, requests });
            }
        }
        out.extend(reply_actions(self.relay.take_expired(now)));
        out.extend(reply_actions(self.relay.take_paced(now)));
    }

    /// Handles the renewals that waited for a leader: answers them if this replica leads
    /// by now, and forwards them if another one does.
    pub(super) fn process_renewals_awaiting_leader(
        &mut self,
        now: Instant,
        out: &mut Vec<ControlAction>,
    ) {
        if self.renewals_awaiting_leader.is_empty() {
            return;
        }
        let is_leader = self.replica.can_serve_reads(now);
        let known = self.leader_slot().is_some();
        let must_wait = |parked: &ParkedRenewal| !is_leader && !known && parked.deadline > now;
        while let Some(parked) = self.renewals_awaiting_leader.pop_front() {
            if must_wait(&parked) {
                self.renewals_awaiting_leader.push_front(parked);
                break;
            }
            if is_leader {
                self.renew(now, parked, out);
            } else if known && parked.relayed_by.is_none() {
                let request = ControlRequest::Renew(parked.renewal);
                self.relay
                    .enqueue(now, parked.received_at, parked.token, request);
            } else {
                self.not_leader(parked.token, out);
            }
        }
    }

    fn renew(&mut self, now: Instant, parked: ParkedRenewal, out: &mut Vec<ControlAction>) {
        let Some(leader_state) = &mut self.leader_state else {
            self.not_leader(parked.token, out);
            return;
        };
        let renewal = &parked.renewal;
        let holder = &renewal.holder;
        let is_new = !leader_state.leases.has_lease(&holder.vm);
        let replaced = leader_state.leases.renew(now, holder, renewal.applied);
        if replaced.is_some() {
            leader_state.demand.remove(&holder.vm);
        }
        leader_state.demand.put(&holder.vm, &renewal.demand);
        leader_state
            .admin_addresses
            .insert(holder.vm.clone(), renewal.admin);
        match renewal.tunnels {
            Some(address) => {
                let data_centre = &renewal.data_centre;
                leader_state
                    .peer_routers
                    .put(&holder.vm, address, data_centre);
            }
            None => leader_state.peer_routers.remove(&holder.vm),
        }
        leader_state
            .held_bytes
            .insert(holder.vm.clone(), renewal.held_bytes);
        let cfg = self.state_machine.configuration();
        let room = |address| engine_room(cfg, address);
        leader_state
            .engine_load
            .put(&holder.vm, &renewal.in_use, room);
        let failing = renewal.failing.clone();
        if let Some(gone) = replaced {
            self.propose(now, CommandBody::HolderGone(gone), Requester::Internal, out);
        }
        self.check_targets(now, &failing, out);
        if let Some(report) = &parked.renewal.repeats {
            self.handle_retry_report(now, &parked.renewal.holder, report, out);
        }
        self.handle_limit_report(now, &parked.renewal.holder, &parked.renewal.limits, out);
        // A router without a lease from this leader is answered at once: its lease from
        // the previous leader may be about to expire.
        let deadline = match parked.relayed_by {
            _ if is_new => now,
            None => parked.received_at + self.limits.max_renewal_wait,
            Some(_) => next_relayed_reply(parked.received_at + self.limits.max_renewal_wait),
        };
        self.answer_or_park(now, ParkedRenewal { deadline, ..parked }, out);
        self.answer_in_force_waits(now, out);
    }

    /// Handles a report of targets that have just failed a router: they are checked, and
    /// all routers are informed at once.
    fn handle_failing_report(
        &mut self,
        now: Instant,
        token: u64,
        targets: &[SocketAddr],
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state
            .failed_at
            .retain(|_, at| now.since(*at) < FAILING_REPORT_TTL);
        let before = leader_state.failed_at.len();
        leader_state
            .failed_at
            .extend(targets.iter().map(|a| (*a, now)));
        let has_changes = leader_state.failed_at.len() > before;
        let reply = ControlReply::Done;
        out.push(ControlAction::Reply { token, reply });
        self.check_targets(now, targets, out);
        if has_changes {
            self.inform_routers(now, Urgency::Urgent);
        }
    }

    /// Handles a report of engines that have just refused requests: all routers are
    /// informed soon.
    fn handle_full_report(
        &mut self,
        now: Instant,
        token: u64,
        holder: &RouterProcess,
        full: &[EngineFull],
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.full.record_refusals(now, &holder.vm, full);
        let reply = ControlReply::Done;
        out.push(ControlAction::Reply { token, reply });
        self.inform_routers(now, Urgency::Soon);
    }

    pub(super) fn handle_operator_request(
        &mut self,
        now: Instant,
        token: u64,
        request: OperatorRequest,
        out: &mut Vec<ControlAction>,
    ) {
        if let OperatorRequest::Announce(instance) = request {
            self.handle_announcement(now, token, *instance, out);
            return;
        }
        if !self.replica.can_serve_reads(now) {
            let leader = self.leader_slot();
            let reply = OperatorReply::NotLeader { leader };
            out.push(ControlAction::OperatorReply { token, reply });
            return;
        }
        let reply = match request {
            OperatorRequest::Apply { request, wait } => {
                let requester = Requester::Operator(token, now + wait);
                self.propose(now, CommandBody::Apply(*request), requester, out);
                return;
            }
            OperatorRequest::Publish(published) => {
                let requester = Requester::Operator(token, now);
                self.propose(now, CommandBody::Publish(published), requester, out);
                return;
            }
            // Handled above, as every replica accepts announcements.
            OperatorRequest::Announce(_) => return,
            OperatorRequest::Leave(leave) => {
                self.handle_leave(now, token, leave, out);
                return;
            }
            OperatorRequest::Lift(suspect) => {
                let body = CommandBody::Suspects(vec![SuspectChange::Lift(suspect)]);
                let requester = Requester::Operator(token, now + LIFT_TIMEOUT);
                self.propose(now, body, requester, out);
                return;
            }
            OperatorRequest::Document => {
                let cfg = self.state_machine.configuration();
                let document = cfg.release().map(|_| cfg.document().to_vec());
                OperatorReply::Document(document)
            }
            OperatorRequest::Configuration => OperatorReply::Configuration(ConfigurationView::of(
                self.state_machine.configuration(),
            )),
            OperatorRequest::Status => OperatorReply::Status(self.status(now)),
        };
        out.push(ControlAction::OperatorReply { token, reply });
    }
}

/// Returns the capacity of an engine according to the committed state.
fn engine_room(cfg: &Configuration, address: SocketAddr) -> Option<EngineCapacity> {
    let instance = cfg.instances().at(address).next()?;
    let pool = cfg.release()?.pool(&instance.pool)?;
    Some(EngineCapacity {
        data_centre: instance.data_centre.clone(),
        token_capacity: stream_capacity(pool.engine.as_ref()?, instance) as u64,
        slots: instance.slots,
    })
}

/// Returns the next time at which replies to other replicas are sent. Aligning the times
/// lets replies that are due close together share a message.
fn next_relayed_reply(at: Instant) -> Instant {
    let interval = RELAYED_REPLY_INTERVAL.as_micros() as u64;
    Instant::from_micros(at.as_micros().div_ceil(interval) * interval)
}

fn reply_actions(
    answers: impl IntoIterator<Item = (u64, ControlReply)>,
) -> impl Iterator<Item = ControlAction> {
    let reply = |(token, reply)| ControlAction::Reply { token, reply };
    answers.into_iter().map(reply)
}
