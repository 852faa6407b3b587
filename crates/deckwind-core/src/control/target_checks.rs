//! Checks of targets by the leader: those that no longer announce themselves, and those that
//! routers report as failing.

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::mass_silence::{HeldSilence, MassSilence};
use super::pending::Requester;
use crate::state::{CommandBody, Incarnation, Instance, InstanceChange, InstanceState};
use crate::time::Instant;
use std::net::SocketAddr;
use std::time::Duration;

/// Announcement periods without an announcement after which a target counts as silent.
pub const MAX_MISSED_ANNOUNCEMENTS: u32 = 3;

/// Announcement periods without an announcement after which a target counts as departed,
/// and the shortest such time.
const DEPARTED_PERIODS: u32 = 15;
const MIN_DEPARTURE_TIMEOUT: Duration = Duration::from_secs(45);

/// Interval between checks for silent targets.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time between two checks of the same target that routers report as failing.
const TARGET_CHECK_INTERVAL: Duration = Duration::from_millis(700);

impl ControlCore {
    /// Marks targets that have become silent, and removes those that have been silent for
    /// too long.
    pub(super) fn check_silent_targets(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let is_due = now >= leader_state.next_silence_check;
        if !is_due || !self.replica.can_serve_reads(now) {
            return;
        }
        leader_state.next_silence_check = now + SILENCE_CHECK_INTERVAL;
        let since = self.replica.leader_since().unwrap_or(now);
        self.schedule_silence_checks(since);
        let changes = self.changes_of_silent_targets(now, since, out);
        if !changes.is_empty() {
            let body = CommandBody::Instances(changes);
            self.propose(now, body, Requester::Internal, out);
        }
        self.place_layers(now, out);
    }

    /// Schedules a check of each target that was written since the last call. A target that
    /// has not announced itself to this leader counts from `since`.
    fn schedule_silence_checks(&mut self, since: Instant) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let period = self.limits.announce_every;
        let instances = self.state_machine.configuration().instances();
        let written = instances.changed_since_ids(leader_state.watched_upto);
        let last_announcements = &mut leader_state.last_announcements;
        for i in written.filter_map(|id| instances.get(id)) {
            let incarnation = i.incarnation();
            let received = last_announcements.last_received(&incarnation);
            let due = received.unwrap_or(since) + period * MAX_MISSED_ANNOUNCEMENTS;
            last_announcements.schedule_check(incarnation, due);
        }
        leader_state.watched_upto = instances.last_written();
    }

    /// Checks the targets that are due and returns the changes of those that are silent.
    fn changes_of_silent_targets(
        &mut self,
        now: Instant,
        since: Instant,
        out: &mut Vec<ControlAction>,
    ) -> Vec<InstanceChange> {
        let Some(leader_state) = &mut self.leader_state else {
            return Vec::new();
        };
        let period = self.limits.announce_every;
        let instances = self.state_machine.configuration().instances();
        let mut changes = Vec::new();
        let mut mass_silence = None;
        while let Some(incarnation) = leader_state.last_announcements.take_due(now) {
            self.scan_counts.targets += 1;
            let known = instances.get(&incarnation.id);
            let Some(known) = known.filter(|i| i.born == incarnation.born) else {
                leader_state.last_announcements.forget(&incarnation);
                continue;
            };
            let silence = leader_state.silence(now, since, &incarnation);
            let (mut change, mut next_check) = silence_action(known, silence, period);
            if let Some(InstanceChange::Silent(_)) = change {
                let mass_silence = mass_silence.get_or_insert_with(|| {
                    MassSilence::count(leader_state, now, since, instances, period)
                });
                let holds = &mut leader_state.silence_holds;
                if mass_silence.holds(holds, now, known, silence) {
                    out.extend(held_silence_note(&incarnation, silence, period));
                    (change, next_check) = (None, period);
                }
            }
            changes.extend(change);
            leader_state
                .last_announcements
                .schedule_check(incarnation, now + next_check.max(SILENCE_CHECK_INTERVAL));
        }
        changes
    }

    /// Checks whether targets that routers report as failing are reachable, instead of
    /// waiting until they count as silent.
    pub(super) fn check_targets(
        &mut self,
        now: Instant,
        failing: &[SocketAddr],
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let instances = self.state_machine.configuration().instances();
        let named = failing.iter().flat_map(|address| instances.at(*address));
        for i in named.filter(|i| i.state == InstanceState::Ready) {
            self.scan_counts.targets += 1;
            let incarnation = i.incarnation();
            let before = leader_state.checked_at.get(&incarnation);
            if before.is_some_and(|at| now.since(*at) < TARGET_CHECK_INTERVAL) {
                continue;
            }
            leader_state.checked_at.insert(incarnation.clone(), now);
            let address = i.address;
            out.push(ControlAction::Check {
                incarnation,
                address,
            });
        }
    }

    /// Handles the result of a reachability check. An unreachable target counts as silent
    /// until it announces itself again. The result is ignored if a new incarnation has
    /// started in the meantime.
    pub(super) fn handle_check_result(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        is_running: bool,
        out: &mut Vec<ControlAction>,
    ) {
        let known = self
            .state_machine
            .configuration()
            .instances()
            .get(&incarnation.id);
        let ready =
            known.is_some_and(|i| i.born == incarnation.born && i.state == InstanceState::Ready);
        if is_running || !ready || self.leader_state.is_none() {
            return;
        }
        let body = CommandBody::Instances(vec![InstanceChange::Silent(incarnation)]);
        self.propose(now, body, Requester::Internal, out);
    }
}

/// Returns the log note for a target whose silence is not acted upon, once for each
/// silence.
fn held_silence_note(
    incarnation: &Incarnation,
    silence: Duration,
    period: Duration,
) -> Option<ControlAction> {
    let is_first = silence < period * (MAX_MISSED_ANNOUNCEMENTS + 1);
    is_first.then(|| {
        ControlAction::LogHeldSilence(HeldSilence {
            incarnation: incarnation.clone(),
            silence,
        })
    })
}

/// Returns the change for a target that has been silent for `silence`, and the time until
/// its next check.
fn silence_action(
    instance: &Instance,
    silence: Duration,
    period: Duration,
) -> (Option<InstanceChange>, Duration) {
    let departure_timeout = MIN_DEPARTURE_TIMEOUT.max(period * DEPARTED_PERIODS);
    let silence_timeout = period * MAX_MISSED_ANNOUNCEMENTS;
    let ready = instance.state == InstanceState::Ready;
    match silence {
        s if s > departure_timeout => (
            Some(InstanceChange::Left(instance.incarnation())),
            SILENCE_CHECK_INTERVAL,
        ),
        s if s <= silence_timeout && ready => (None, silence_timeout - s),
        s if ready => (
            Some(InstanceChange::Silent(instance.incarnation())),
            SILENCE_CHECK_INTERVAL.min(departure_timeout - s),
        ),
        // The next incarnation or next announcement of the target schedules a new check.
        s => (None, (departure_timeout - s).min(silence_timeout)),
    }
}
