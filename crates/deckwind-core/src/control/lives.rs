//! Rules of the leader for incarnations of targets: which are silent, which have ended,
//! and which announcements must be ignored.

use super::announcement_fault::AnnouncementFault;
use super::announcements::SILENT_PERIODS;
use super::control_core::{ControlCore, LeaderState};
use super::event::{ControlAction, LifeNote};
use crate::state::{CommandBody, Instance, InstanceState, Instances, Life};
use crate::time::Instant;
use std::time::Duration;

impl LeaderState {
    /// Returns the time since the last announcement of an incarnation. `since` is the
    /// time this replica became leader, which counts if there was none since.
    pub(super) fn silence(&self, now: Instant, since: Instant, life: &Life) -> Duration {
        now.since(self.last_announcements.last_received(life).unwrap_or(since))
    }

    /// Returns whether an incarnation no longer announces itself, so that another one may
    /// replace it. `since` is the time this replica became leader, and `period` the
    /// interval of announcements.
    pub(super) fn is_silent(
        &self,
        now: Instant,
        since: Instant,
        committed: &Instances,
        life: &Life,
        period: Duration,
    ) -> bool {
        let known = committed.get(&life.id);
        let is_marked_silent = known.is_some_and(|i| i.state == InstanceState::Silent);
        is_marked_silent || self.silence(now, since, life) > period * SILENT_PERIODS
    }
}

/// Returns the log note for an unconfirmed incarnation, which is ignored while
/// `active_life` announces itself.
pub(super) fn unconfirmed_life_note(life: Life, active_life: &Life) -> ControlAction {
    let over = active_life.clone();
    ControlAction::NoteLife(LifeNote::Doubted { life, over })
}

impl ControlCore {
    /// Returns the reason for rejecting an announcement, whoever sent it. Engines of a
    /// layered pool must name their accelerator, without which they cannot load layers.
    pub(super) fn find_announcement_fault(&self, instance: &Instance) -> Option<AnnouncementFault> {
        let cfg = self.machine.configuration();
        let release = cfg.release().map(AsRef::as_ref);
        let layered = release.is_some_and(|r| r.is_layered(&instance.pool));
        if layered && instance.accelerator.is_none() {
            return Some(AnnouncementFault::FieldMissing);
        }
        let names_unknown_pool = cfg.instances().is_misplaced(instance, release);
        names_unknown_pool.then_some(AnnouncementFault::UnknownPool)
    }

    /// Emits notes for the incarnations that a command ends. Called before the command is
    /// applied. Returns whether there are any: routers still send requests through them.
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
