//! Targets that announce themselves to the leader.

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::operator::OperatorReply;
use super::pending::Asker;
use crate::membership::InForce;
use crate::state::{CommandBody, Instance, InstanceChange, InstanceId, InstanceState, LayerRange};
use crate::time::Instant;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an acknowledgement waits for the change to be in force. Targets ask
/// another replica after a second.
const WAIT_IN_FORCE: Duration = Duration::from_millis(400);

/// Without an announcement for this long a target counts as silent: three of
/// their periods (1.2 s).
const SILENT_AFTER: Duration = Duration::from_millis(3_600);

/// Without an announcement for this long a target has left.
const GONE_AFTER: Duration = Duration::from_secs(45);

/// Between two looks at who is silent.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Between two questions to a target that routers call failing.
const CHECK_EVERY: Duration = Duration::from_millis(700);

impl ControlCore {
    /// A target says how it is.
    pub(super) fn announced(
        &mut self,
        now: Instant,
        token: u64,
        mut instance: Instance,
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.heard.insert(instance.id.clone(), now);
        let placing = leading.placement.is_under_way(&instance.id);
        let instances = self.machine.configuration().instances();
        if instances.has_left(&instance.id) {
            self.acknowledge(token, out);
            return;
        }
        if let Some(known) = instances.get(&instance.id) {
            if known.announced > instance.announced {
                self.acknowledge(token, out);
                return;
            }
            if placing {
                instance.layers = known.layers;
                instance.in_memory = known.in_memory;
            }
            let same = Instance {
                announced: instance.announced,
                ..known.clone()
            };
            if same == instance {
                self.acknowledge(token, out);
                return;
            }
        }
        let change = InstanceChange::Announced {
            instance,
            keep_layers: placing,
        };
        self.change_instances(now, token, change, out);
    }

    /// A target has left.
    pub(super) fn left(
        &mut self,
        now: Instant,
        token: u64,
        id: InstanceId,
        out: &mut Vec<ControlAction>,
    ) {
        let known = self.machine.configuration().instances().get(&id).is_some();
        if known {
            self.change_instances(now, token, InstanceChange::Left(id), out);
        } else {
            self.acknowledge(token, out);
        }
    }

    fn change_instances(
        &mut self,
        now: Instant,
        token: u64,
        change: InstanceChange,
        out: &mut Vec<ControlAction>,
    ) {
        let asker = Asker::Operator(token, now + WAIT_IN_FORCE);
        self.propose(now, CommandBody::Instances(vec![change]), asker, out);
    }

    fn acknowledge(&self, token: u64, out: &mut Vec<ControlAction>) {
        let reply = OperatorReply::Accepted {
            revision: self.machine.configuration().revision(),
            in_force: InForce::Yes,
        };
        out.push(ControlAction::OperatorReply { token, reply });
    }

    /// Marks targets that have fallen silent, and drops those gone for good.
    pub(super) fn look_for_silent(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if !self.replica.may_answer(now) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        if now < leading.next_look {
            return;
        }
        leading.next_look = now + LOOK_EVERY;
        let since = self.replica.leading_since().unwrap_or(now);
        let heard = &leading.heard;
        let silence = |i: &Instance| now.since(*heard.get(&i.id).unwrap_or(&since));
        let instances = self.machine.configuration().instances();
        let mut changes = Vec::new();
        for i in instances.iter() {
            if silence(i) > GONE_AFTER {
                changes.push(InstanceChange::Left(i.id.clone()));
            } else if i.state == InstanceState::Ready && silence(i) > SILENT_AFTER {
                changes.push(InstanceChange::Silent(i.id.clone()));
            }
        }
        if !changes.is_empty() {
            self.propose(now, CommandBody::Instances(changes), Asker::Nobody, out);
        }
        self.place_layers(now, out);
    }

    fn place_layers(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let cfg = self.machine.configuration();
        let (Some(leading), Some(release)) = (&mut self.leading, cfg.release()) else {
            return;
        };
        let work = leading.placement.work(now, release, cfg.instances());
        if !work.changes.is_empty() {
            let body = CommandBody::Instances(work.changes);
            self.propose(now, body, Asker::Nobody, out);
        }
        out.extend(work.orders.into_iter().map(ControlAction::Place));
    }

    /// Routers say that these targets fail them: each is asked whether it is
    /// there, so that nobody waits for its silence to grow long.
    pub(super) fn check_targets(
        &mut self,
        now: Instant,
        failing: &[SocketAddr],
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let instances = self.machine.configuration().instances();
        let named = instances.iter().filter(|i| failing.contains(&i.address));
        for i in named.filter(|i| i.state == InstanceState::Ready) {
            let before = leading.checked.get(&i.id);
            if before.is_some_and(|at| now.since(*at) < CHECK_EVERY) {
                continue;
            }
            leading.checked.insert(i.id.clone(), now);
            out.push(ControlAction::Check {
                id: i.id.clone(),
                address: i.address,
            });
        }
    }

    /// A target was asked whether it is there. One that is not counts as silent
    /// until it announces itself again.
    pub(super) fn was_checked(
        &mut self,
        now: Instant,
        id: InstanceId,
        there: bool,
        out: &mut Vec<ControlAction>,
    ) {
        let known = self.machine.configuration().instances().get(&id);
        let ready = known.is_some_and(|i| i.state == InstanceState::Ready);
        if there || !ready || self.leading.is_none() {
            return;
        }
        let body = CommandBody::Instances(vec![InstanceChange::Silent(id)]);
        self.propose(now, body, Asker::Nobody, out);
    }

    /// An order to place layers has ended; `held` is what the engine then held,
    /// where that is known.
    pub(super) fn placed(
        &mut self,
        now: Instant,
        id: &str,
        held: Option<LayerRange>,
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.placement.ended(now, id, held.is_some());
        let Some(held) = held else {
            return;
        };
        let change = InstanceChange::Holds {
            id: id.to_string(),
            layers: held,
            in_memory: held.len(),
        };
        let body = CommandBody::Instances(vec![change]);
        self.propose(now, body, Asker::Nobody, out);
    }
}
