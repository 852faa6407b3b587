//! Rules of the leader for incarnations of targets: which are silent, which have ended,
//! and which announcements must be ignored.

use super::announcement_fault::AnnouncementFault;
use super::control_core::{ControlCore, LeaderState};
use super::event::{ControlAction, IncarnationDecision};
use super::target_checks::MAX_MISSED_ANNOUNCEMENTS;
use crate::state::{CommandBody, Incarnation, Instance, InstanceState, Instances};
use crate::time::Instant;
use std::time::Duration;

impl LeaderState {
    /// Returns the time since the last announcement of an incarnation. `since` is the
    /// time this replica became leader, which counts if there was none since.
    pub(super) fn silence(
        &self,
        now: Instant,
        since: Instant,
        incarnation: &Incarnation,
    ) -> Duration {
        now.since(
            self.last_announcements
                .last_received(incarnation)
                .unwrap_or(since),
        )
    }

    /// Returns whether an incarnation no longer announces itself, so that another one may
    /// replace it. `since` is the time this replica became leader, and `period` the
    /// interval of announcements.
    pub(super) fn is_silent(
        &self,
        now: Instant,
        since: Instant,
        committed: &Instances,
        incarnation: &Incarnation,
        period: Duration,
    ) -> bool {
        let known = committed.get(&incarnation.id);
        let is_marked_silent = known.is_some_and(|i| i.state == InstanceState::Silent);
        is_marked_silent
            || self.silence(now, since, incarnation) > period * MAX_MISSED_ANNOUNCEMENTS
    }
}

/// Returns the log note for an unconfirmed incarnation, which is ignored while
/// `active_incarnation` announces itself.
pub(super) fn unconfirmed_incarnation(
    incarnation: Incarnation,
    active_incarnation: &Incarnation,
) -> ControlAction {
    let over = active_incarnation.clone();
    ControlAction::LogIncarnationDecision(IncarnationDecision::Unconfirmed { incarnation, over })
}

impl ControlCore {
    /// Returns the reason for rejecting an announcement, whoever sent it. Engines of a
    /// layered pool must name their accelerator, without which they cannot load layers.
    pub(super) fn find_announcement_fault(&self, instance: &Instance) -> Option<AnnouncementFault> {
        let cfg = self.state_machine.configuration();
        let release = cfg.release().map(AsRef::as_ref);
        let layered = release.is_some_and(|r| r.is_layered(&instance.pool));
        if layered && instance.accelerator.is_none() {
            return Some(AnnouncementFault::FieldMissing);
        }
        let names_unknown_pool = cfg.instances().names_unknown_pool(instance, release);
        names_unknown_pool.then_some(AnnouncementFault::UnknownPool)
    }

    /// Emits notes for the incarnations that a command ends. Called before the command is
    /// applied. Returns whether there are any: routers still send requests through them.
    pub(super) fn log_ended_incarnations(
        &self,
        body: &CommandBody,
        out: &mut Vec<ControlAction>,
    ) -> bool {
        let CommandBody::Instances(changes) = body else {
            return false;
        };
        let ended = self
            .state_machine
            .configuration()
            .instances()
            .superseded_by(changes);
        if self.leader_state.is_some() {
            let note = |(incarnation, by): &(Incarnation, Incarnation)| {
                let (incarnation, by) = (incarnation.clone(), by.clone());
                ControlAction::LogIncarnationDecision(IncarnationDecision::Ended {
                    incarnation,
                    by,
                })
            };
            out.extend(ended.iter().map(note));
        }
        !ended.is_empty()
    }
}
