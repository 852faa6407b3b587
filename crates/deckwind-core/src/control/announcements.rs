//! Targets that announce themselves, and what the leader makes of it.

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::heard::{HeardTargets, News, news_of};
use super::lives::doubted;
use super::operator::OperatorReply;
use super::pending::Asker;
use crate::membership::InForce;
use crate::state::{
    CommandBody, Instance, InstanceChange, InstanceState, LayerRange, Life, Standing,
};
use crate::time::Instant;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an acknowledgement waits for the change to be in force. Targets ask
/// another replica after a second.
const WAIT_IN_FORCE: Duration = Duration::from_millis(400);

/// Periods without an announcement after which a target counts as silent.
pub const SILENT_PERIODS: u32 = 3;

/// Periods without an announcement after which a target has left, and the shortest
/// such time.
const GONE_PERIODS: u32 = 15;
const GONE_AFTER: Duration = Duration::from_secs(45);

/// Between two looks at who is silent.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Between two questions to a target that routers call failing.
const CHECK_EVERY: Duration = Duration::from_millis(700);

/// How long an announcement waits where nobody is known to lead: most of an
/// election, and shorter than targets wait for an answer (1 s). Refused at once,
/// all of them come back to all replicas while these elect.
const LEADERLESS_HOLD: Duration = Duration::from_millis(600);

/// An announcement that waits for a leader to be known.
#[derive(Clone, Debug)]
pub(super) struct WaitingAnnouncement {
    token: u64,
    instance: Instance,
    until: Instant,
}

impl ControlCore {
    /// A target says how it is.
    pub(super) fn announced(
        &mut self,
        now: Instant,
        token: u64,
        instance: Instance,
        out: &mut Vec<ControlAction>,
    ) {
        let leads = self.replica.may_answer(now);
        let leader = self.leader_slot();
        if !leads && leader.is_none() {
            let until = now + LEADERLESS_HOLD;
            self.waiting_announcements.push(WaitingAnnouncement {
                token,
                instance,
                until,
            });
            return;
        }
        if let Some(fault) = self.fault_of(&instance) {
            let reply = OperatorReply::NotTaken(fault);
            out.push(ControlAction::OperatorReply { token, reply });
        } else if instance.state == InstanceState::Ready {
            let news = news_of(&instance, self.machine.configuration().instances());
            self.heard.note(instance, news);
            let reply = OperatorReply::Heard;
            out.push(ControlAction::OperatorReply { token, reply });
        } else if leads {
            self.announced_as_leaving(now, token, instance, out);
        } else {
            let reply = OperatorReply::NotLeader { leader };
            out.push(ControlAction::OperatorReply { token, reply });
        }
    }

    /// Takes the announcements that have waited for a leader, if one is known
    /// now; gives those up that have waited enough.
    pub(super) fn take_waiting_announcements(
        &mut self,
        now: Instant,
        out: &mut Vec<ControlAction>,
    ) {
        if self.waiting_announcements.is_empty() {
            return;
        }
        let known = self.replica.may_answer(now) || self.leader_slot().is_some();
        for waiting in std::mem::take(&mut self.waiting_announcements) {
            let WaitingAnnouncement { token, .. } = waiting;
            if known {
                self.announced(now, token, waiting.instance, out);
            } else if waiting.until <= now {
                let reply = OperatorReply::NotLeader { leader: None };
                out.push(ControlAction::OperatorReply { token, reply });
            } else {
                self.waiting_announcements.push(waiting);
            }
        }
    }

    /// Tells the leader, itself perhaps, whom this replica has heard.
    pub(super) fn tell_heard(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let leads = self.replica.may_answer(now);
        let leader = self.leader_slot();
        if !leads && leader.is_none() {
            return;
        }
        let period = self.limits.announce_every;
        let Some(heard) = self.heard.take_if_due(now, period) else {
            return;
        };
        match leader {
            Some(slot) if !leads => out.push(ControlAction::TellHeard { slot, heard }),
            _ => self.agree_on_heard(now, heard, out),
        }
    }

    /// Another replica tells whom it has heard. What changed waits for what this
    /// one hears itself.
    pub(super) fn take_heard(&mut self, now: Instant, heard: HeardTargets) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        for (life, number) in &heard.same {
            leading.heard.heard(now, life, *number);
        }
        for instance in heard.changed {
            self.heard.note(instance, News::Changed);
        }
    }

    /// Makes one entry of all that changed.
    fn agree_on_heard(&mut self, now: Instant, heard: HeardTargets, out: &mut Vec<ControlAction>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        for (life, number) in &heard.same {
            leading.heard.heard(now, life, *number);
        }
        let agreed = self.machine.configuration().instances();
        let there = agreed.lives_at_addresses_of(heard.changed.iter());
        let since = self.replica.leading_since().unwrap_or(now);
        let period = self.limits.announce_every;
        let mut changes = Vec::new();
        for mut instance in heard.changed {
            let life = instance.life();
            let newest = leading.heard.heard(now, &life, instance.announced);
            if !newest {
                continue;
            }
            let keep_layers = leading.placement.is_under_way(&life);
            let known = agreed.get(&instance.id).filter(|i| i.born == instance.born);
            if let Some(known) = known.filter(|_| keep_layers) {
                instance.layers = known.layers;
                instance.in_memory = known.in_memory;
            }
            if news_of(&instance, agreed) != News::Changed {
                continue;
            }
            let over = agreed.doubted_by(&instance, &there[&instance.address]);
            let speaking = over
                .iter()
                .find(|l| !leading.is_silent(now, since, agreed, l, period));
            if let Some(speaking) = speaking {
                out.push(doubted(life, speaking));
                continue;
            }
            changes.push(InstanceChange::Announced {
                instance,
                keep_layers,
                over,
            });
        }
        if !changes.is_empty() {
            self.propose(now, CommandBody::Instances(changes), Asker::Nobody, out);
        }
    }

    /// A target drains. It is told so once that is in force, and so is all that
    /// this replica heard before it.
    fn announced_as_leaving(
        &mut self,
        now: Instant,
        token: u64,
        instance: Instance,
        out: &mut Vec<ControlAction>,
    ) {
        if let Some(heard) = self.heard.take(now) {
            self.agree_on_heard(now, heard, out);
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        let life = instance.life();
        let newest = leading.heard.heard(now, &life, instance.announced);
        let agreed = self.machine.configuration().instances();
        if !newest || news_of(&instance, agreed) != News::Changed {
            self.acknowledge(token, out);
            return;
        }
        let since = self.replica.leading_since().unwrap_or(now);
        let period = self.limits.announce_every;
        let there = agreed.lives_at_addresses_of([&instance].into_iter());
        let over = agreed.doubted_by(&instance, &there[&instance.address]);
        let speaking = over
            .iter()
            .find(|l| !leading.is_silent(now, since, agreed, l, period));
        if let Some(speaking) = speaking {
            out.push(doubted(life, speaking));
            let reply = OperatorReply::Doubted;
            out.push(ControlAction::OperatorReply { token, reply });
            return;
        }
        let keep_layers = leading.placement.is_under_way(&life);
        let change = InstanceChange::Announced {
            instance,
            keep_layers,
            over,
        };
        self.change_instances(now, token, change, out);
    }

    /// A target has left. One that doesn't tell its start means the life that is
    /// known. A life that is over changes nothing, and is told so; one that may be
    /// newer than the life that still speaks is to ask again, as for a drain.
    pub(super) fn left(
        &mut self,
        now: Instant,
        token: u64,
        mut life: Life,
        out: &mut Vec<ControlAction>,
    ) {
        let agreed = self.machine.configuration().instances();
        let known = agreed.get(&life.id).map(Instance::life);
        let (Some(known), Some(leading)) = (known, &self.leading) else {
            self.acknowledge(token, out);
            return;
        };
        life.born = life.born.or(known.born);
        let since = self.replica.leading_since().unwrap_or(now);
        let period = self.limits.announce_every;
        let ends = match agreed.standing(&life) {
            Standing::Known | Standing::Newer => life,
            Standing::Doubtful if leading.is_silent(now, since, agreed, &known, period) => known,
            Standing::Doubtful => {
                out.push(doubted(life, &known));
                let reply = OperatorReply::Doubted;
                out.push(ControlAction::OperatorReply { token, reply });
                return;
            }
            Standing::Ended => {
                self.acknowledge(token, out);
                return;
            }
        };
        self.change_instances(now, token, InstanceChange::Left(ends), out);
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
        let period = self.limits.announce_every;
        let instances = self.machine.configuration().instances();
        let written = instances.written_since(leading.watched_upto);
        for i in written.filter_map(|id| instances.get(id)) {
            let life = i.life();
            let heard = leading.heard.last(&life).unwrap_or(since);
            leading.heard.watch(life, heard + period * SILENT_PERIODS);
        }
        leading.watched_upto = instances.written_upto();
        let mut changes = Vec::new();
        while let Some(life) = leading.heard.take_due(now) {
            self.looks.targets += 1;
            let known = instances.get(&life.id).filter(|i| i.born == life.born);
            let Some(known) = known else {
                leading.heard.forget(&life);
                continue;
            };
            let silence = leading.silence(now, since, &life);
            let (change, again) = after_silence(known, silence, period);
            changes.extend(change);
            leading.heard.watch(life, now + again.max(LOOK_EVERY));
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
        let named = failing.iter().flat_map(|address| instances.at(*address));
        for i in named.filter(|i| i.state == InstanceState::Ready) {
            self.looks.targets += 1;
            let life = i.life();
            let before = leading.checked.get(&life);
            if before.is_some_and(|at| now.since(*at) < CHECK_EVERY) {
                continue;
            }
            leading.checked.insert(life.clone(), now);
            let address = i.address;
            out.push(ControlAction::Check { life, address });
        }
    }

    /// A target was asked whether it is there. One that is not counts as silent
    /// until it announces itself again. The answer says nothing of a life that
    /// began meanwhile.
    pub(super) fn was_checked(
        &mut self,
        now: Instant,
        life: Life,
        there: bool,
        out: &mut Vec<ControlAction>,
    ) {
        let known = self.machine.configuration().instances().get(&life.id);
        let ready = known.is_some_and(|i| i.born == life.born && i.state == InstanceState::Ready);
        if there || !ready || self.leading.is_none() {
            return;
        }
        let body = CommandBody::Instances(vec![InstanceChange::Silent(life)]);
        self.propose(now, body, Asker::Nobody, out);
    }

    /// An order to place layers has ended; `held` is what the engine then held,
    /// where that is known. It says nothing of a life that began meanwhile.
    pub(super) fn placed(
        &mut self,
        now: Instant,
        life: &Life,
        held: Option<LayerRange>,
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.placement.ended(now, life, held.is_some());
        let Some(held) = held else {
            return;
        };
        let change = InstanceChange::Holds {
            life: life.clone(),
            layers: held,
            in_memory: held.len(),
        };
        let body = CommandBody::Instances(vec![change]);
        self.propose(now, body, Asker::Nobody, out);
    }
}

/// What becomes of a target that was silent for so long, and when that is to be
/// looked at again.
fn after_silence(
    instance: &Instance,
    silence: Duration,
    period: Duration,
) -> (Option<InstanceChange>, Duration) {
    let gone_after = GONE_AFTER.max(period * GONE_PERIODS);
    let silent_after = period * SILENT_PERIODS;
    let ready = instance.state == InstanceState::Ready;
    match silence {
        s if s > gone_after => (Some(InstanceChange::Left(instance.life())), LOOK_EVERY),
        s if s <= silent_after && ready => (None, silent_after - s),
        s if ready => (
            Some(InstanceChange::Silent(instance.life())),
            LOOK_EVERY.min(gone_after - s),
        ),
        // Its next life, or its next word, is watched anew.
        s => (None, (gone_after - s).min(silent_after)),
    }
}
