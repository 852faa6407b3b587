//! Handling of target announcements: collecting them on every replica and committing the
//! resulting changes on the leader.
//!
//! A target may restart under the same id. Each run of its process is one incarnation,
//! identified by a [`Incarnation`].

use super::announcement_reports::{AnnouncementDiff, AnnouncementReport, compare_announcement};
use super::control_core::ControlCore;
use super::event::ControlAction;
use super::incarnations::unconfirmed_incarnation;
use super::operator::OperatorReply;
use super::pending::{InForceWait, Requester};
use crate::state::{
    CommandBody, Incarnation, IncarnationStatus, Instance, InstanceChange, InstanceState,
};
use crate::time::Instant;
use std::time::Duration;

/// Time an acknowledgement waits for the change to be in force. Targets try another
/// replica after 1 s.
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time an announcement waits while no leader is known. It covers most of an election and
/// is shorter than the 1 s that targets wait for an answer. If announcements were refused
/// at once, all targets would retry at all replicas during the election.
const LEADER_WAIT_TIMEOUT: Duration = Duration::from_millis(600);

/// An announcement received while no leader is known.
#[derive(Clone, Debug)]
pub(super) struct WaitingAnnouncement {
    token: u64,
    instance: Instance,
    deadline: Instant,
}

impl ControlCore {
    /// Handles an announcement: rejects a faulty one, answers a ready target at once, and
    /// has the leader commit the change of a draining one. Without a known leader, the
    /// announcement waits for up to [`LEADER_WAIT_TIMEOUT`].
    pub(super) fn handle_announcement(
        &mut self,
        now: Instant,
        token: u64,
        instance: Instance,
        out: &mut Vec<ControlAction>,
    ) {
        let is_leader = self.replica.can_serve_reads(now);
        let leader = self.leader_slot();
        if !is_leader && leader.is_none() {
            let deadline = now + LEADER_WAIT_TIMEOUT;
            self.announcements_awaiting_leader
                .push(WaitingAnnouncement {
                    token,
                    instance,
                    deadline,
                });
            return;
        }
        if let Some(fault) = self.find_announcement_fault(&instance) {
            let reply = OperatorReply::NotTaken(fault);
            out.push(ControlAction::OperatorReply { token, reply });
        } else if instance.state == InstanceState::Ready {
            let diff =
                compare_announcement(&instance, self.state_machine.configuration().instances());
            self.announcement_buffer.note(instance, diff);
            let reply = OperatorReply::Heard;
            out.push(ControlAction::OperatorReply { token, reply });
        } else if is_leader {
            self.handle_drain(now, token, instance, out);
        } else {
            let reply = OperatorReply::NotLeader { leader };
            out.push(ControlAction::OperatorReply { token, reply });
        }
    }

    /// Handles the announcements that waited for a leader if one is known by now, and
    /// refuses those whose wait has expired.
    pub(super) fn process_announcements_awaiting_leader(
        &mut self,
        now: Instant,
        out: &mut Vec<ControlAction>,
    ) {
        if self.announcements_awaiting_leader.is_empty() {
            return;
        }
        let known = self.replica.can_serve_reads(now) || self.leader_slot().is_some();
        for waiting in std::mem::take(&mut self.announcements_awaiting_leader) {
            let WaitingAnnouncement { token, .. } = waiting;
            if known {
                self.handle_announcement(now, token, waiting.instance, out);
            } else if waiting.deadline <= now {
                let reply = OperatorReply::NotLeader { leader: None };
                out.push(ControlAction::OperatorReply { token, reply });
            } else {
                self.announcements_awaiting_leader.push(waiting);
            }
        }
    }

    /// Sends the leader the announcements received by this replica, if a report is due.
    /// The leader proposes the changes itself.
    pub(super) fn report_announcements(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let is_leader = self.replica.can_serve_reads(now);
        let leader = self.leader_slot();
        if !is_leader && leader.is_none() {
            return;
        }
        let period = self.limits.announce_every;
        let Some(heard) = self.announcement_buffer.take_if_due(now, period) else {
            return;
        };
        match leader {
            Some(slot) if !is_leader => {
                out.push(ControlAction::ReportAnnouncements { slot, heard })
            }
            _ => self.propose_announced_changes(now, heard, out),
        }
    }

    /// Merges the report of another replica if this one leads. Changed announcements are
    /// buffered with those received here.
    pub(super) fn merge_announcement_report(&mut self, now: Instant, report: AnnouncementReport) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for (incarnation, number) in &report.same {
            leader_state
                .last_announcements
                .record(now, incarnation, *number);
        }
        for instance in report.changed {
            self.announcement_buffer
                .note(instance, AnnouncementDiff::Changed);
        }
    }

    /// Proposes all changed announcements as a single log entry.
    fn propose_announced_changes(
        &mut self,
        now: Instant,
        report: AnnouncementReport,
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for (incarnation, number) in &report.same {
            leader_state
                .last_announcements
                .record(now, incarnation, *number);
        }
        let committed = self.state_machine.configuration().instances();
        let incarnations_by_address = committed.incarnations_at_addresses_of(report.changed.iter());
        let since = self.replica.leader_since().unwrap_or(now);
        let period = self.limits.announce_every;
        let mut changes = Vec::new();
        for mut instance in report.changed {
            let incarnation = instance.incarnation();
            let is_newest =
                leader_state
                    .last_announcements
                    .record(now, &incarnation, instance.announced);
            if !is_newest {
                continue;
            }
            let keep_layers = leader_state.placement.is_order_in_flight(&incarnation);
            let known = committed
                .get(&instance.id)
                .filter(|i| i.born == instance.born);
            if let Some(known) = known.filter(|_| keep_layers) {
                instance.layers = known.layers;
                instance.in_memory = known.in_memory;
            }
            if compare_announcement(&instance, committed) != AnnouncementDiff::Changed {
                continue;
            }
            let over = committed.blocked_by(&instance, &incarnations_by_address[&instance.address]);
            let active_incarnation = over
                .iter()
                .find(|l| !leader_state.is_silent(now, since, committed, l, period));
            if let Some(active_incarnation) = active_incarnation {
                out.push(unconfirmed_incarnation(incarnation, active_incarnation));
                continue;
            }
            changes.push(InstanceChange::Announced {
                instance,
                keep_layers,
                over,
            });
        }
        if !changes.is_empty() {
            self.propose(
                now,
                CommandBody::Instances(changes),
                Requester::Internal,
                out,
            );
        }
    }

    /// Handles the announcement of a draining target. It is acknowledged once it is in
    /// force, together with all announcements this replica received before it.
    fn handle_drain(
        &mut self,
        now: Instant,
        token: u64,
        instance: Instance,
        out: &mut Vec<ControlAction>,
    ) {
        if let Some(report) = self.announcement_buffer.take(now) {
            self.propose_announced_changes(now, report, out);
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let incarnation = instance.incarnation();
        let is_newest =
            leader_state
                .last_announcements
                .record(now, &incarnation, instance.announced);
        let committed = self.state_machine.configuration().instances();
        if !is_newest || compare_announcement(&instance, committed) != AnnouncementDiff::Changed {
            self.acknowledge_again(now, token, &incarnation.id, out);
            return;
        }
        let since = self.replica.leader_since().unwrap_or(now);
        let period = self.limits.announce_every;
        let incarnations_by_address =
            committed.incarnations_at_addresses_of([&instance].into_iter());
        let over = committed.blocked_by(&instance, &incarnations_by_address[&instance.address]);
        let active_incarnation = over
            .iter()
            .find(|l| !leader_state.is_silent(now, since, committed, l, period));
        if let Some(active_incarnation) = active_incarnation {
            out.push(unconfirmed_incarnation(incarnation, active_incarnation));
            let reply = OperatorReply::Unconfirmed;
            out.push(ControlAction::OperatorReply { token, reply });
            return;
        }
        let keep_layers = leader_state.placement.is_order_in_flight(&incarnation);
        let change = InstanceChange::Announced {
            instance,
            keep_layers,
            over,
        };
        self.propose_instance_change(now, token, change, out);
    }

    /// Handles the departure of a target. Without a start time, it refers to the known
    /// incarnation. The departure of an ended incarnation changes nothing and is
    /// acknowledged. If the incarnation may be newer than one that is still announcing
    /// itself, the target must send the request again, as for a drain.
    pub(super) fn handle_leave(
        &mut self,
        now: Instant,
        token: u64,
        mut incarnation: Incarnation,
        out: &mut Vec<ControlAction>,
    ) {
        let committed = self.state_machine.configuration().instances();
        let known = committed.get(&incarnation.id).map(Instance::incarnation);
        let (Some(known), Some(leader_state)) = (known, &self.leader_state) else {
            self.acknowledge_again(now, token, &incarnation.id, out);
            return;
        };
        incarnation.born = incarnation.born.or(known.born);
        let since = self.replica.leader_since().unwrap_or(now);
        let period = self.limits.announce_every;
        let ended_incarnation = match committed.incarnation_status(&incarnation) {
            IncarnationStatus::Known | IncarnationStatus::Newer => incarnation,
            IncarnationStatus::Doubtful
                if leader_state.is_silent(now, since, committed, &known, period) =>
            {
                known
            }
            IncarnationStatus::Doubtful => {
                out.push(unconfirmed_incarnation(incarnation, &known));
                let reply = OperatorReply::Unconfirmed;
                out.push(ControlAction::OperatorReply { token, reply });
                return;
            }
            IncarnationStatus::Ended => {
                self.acknowledge_again(now, token, &incarnation.id, out);
                return;
            }
        };
        self.propose_instance_change(now, token, InstanceChange::Left(ended_incarnation), out);
    }

    fn propose_instance_change(
        &mut self,
        now: Instant,
        token: u64,
        change: InstanceChange,
        out: &mut Vec<ControlAction>,
    ) {
        let requester = Requester::Operator(token, now + IN_FORCE_TIMEOUT);
        self.propose(now, CommandBody::Instances(vec![change]), requester, out);
    }

    /// Acknowledges a drain or a departure that changes nothing, as it was committed before:
    /// like the first one, once the change is in force.
    fn acknowledge_again(
        &mut self,
        now: Instant,
        token: u64,
        id: &str,
        out: &mut Vec<ControlAction>,
    ) {
        let instances = self.state_machine.configuration().instances();
        self.in_force_waits.push(InForceWait {
            token,
            revision: instances.written_at(id),
            deadline: now + IN_FORCE_TIMEOUT,
        });
        self.answer_in_force_waits(now, out);
    }
}
