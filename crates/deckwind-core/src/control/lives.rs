//! What the leader makes of lives of targets: who is silent, who is over, which
//! announcement can't be of a target that may be used.

use super::announcement_fault::AnnouncementFault;
use super::announcements::SILENT_PERIODS;
use super::control_core::{ControlCore, Leading};
use super::event::{ControlAction, LifeNote};
use crate::state::{CommandBody, Instance, InstanceState, Instances, Life};
use crate::time::Instant;
use std::time::Duration;

impl Leading {
    /// For how long a life has not been heard; `since` is when this replica began
    /// to lead.
    pub(super) fn silence(&self, now: Instant, since: Instant, life: &Life) -> Duration {
        now.since(self.heard.last(life).unwrap_or(since))
    }

    /// Whether a life no longer speaks, so that another one may follow it; `period` is
    /// that of its announcements.
    pub(super) fn is_silent(
        &self,
        now: Instant,
        since: Instant,
        agreed: &Instances,
        life: &Life,
        period: Duration,
    ) -> bool {
        let known = agreed.get(&life.id);
        let silent = known.is_some_and(|i| i.state == InstanceState::Silent);
        silent || self.silence(now, since, life) > period * SILENT_PERIODS
    }
}

/// An announcement doesn't count while this life speaks.
pub(super) fn doubted(life: Life, speaking: &Life) -> ControlAction {
    let over = speaking.clone();
    ControlAction::NoteLife(LifeNote::Doubted { life, over })
}

impl ControlCore {
    /// Why an announcement isn't taken, whoever wrote it. Engines of a layered
    /// pool tell what they are: without it they hold nothing.
    pub(super) fn fault_of(&self, instance: &Instance) -> Option<AnnouncementFault> {
        let cfg = self.machine.configuration();
        let release = cfg.release().map(AsRef::as_ref);
        let layered = release.is_some_and(|r| r.is_layered(&instance.pool));
        if layered && instance.accelerator.is_none() {
            return Some(AnnouncementFault::FieldMissing);
        }
        let misplaced = cfg.instances().is_misplaced(instance, release);
        misplaced.then_some(AnnouncementFault::UnknownPool)
    }

    /// Notes lives that a command ends, before it is applied. Whether there are
    /// any: routers still send through them.
    pub(super) fn note_ended_lives(
        &self,
        body: &CommandBody,
        out: &mut Vec<ControlAction>,
    ) -> bool {
        let CommandBody::Instances(changes) = body else {
            return false;
        };
        let ended = self.machine.configuration().instances().ended_by(changes);
        if self.leading.is_some() {
            let note = |(life, by): &(Life, Life)| {
                let (life, by) = (life.clone(), by.clone());
                ControlAction::NoteLife(LifeNote::Ended { life, by })
            };
            out.extend(ended.iter().map(note));
        }
        !ended.is_empty()
    }
}
