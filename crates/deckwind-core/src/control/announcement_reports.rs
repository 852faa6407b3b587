//! Announcements of targets, collected by every replica and reported to the leader in batches.
//!
//! Every target announces itself once per period and almost always repeats what is already
//! committed. So every replica accepts announcements, compares them with its applied state,
//! and reports them to the leader at intervals:
//!
//! ```text
//!  targets ─► any replica ──► AnnouncementReport, one message for many ──► leader ─► one entry
//! ```
//!
//! A ready target gets no guarantee, so it is answered at once; a lost message costs it one
//! period. Draining and departing targets are acknowledged only once the change is in force,
//! and only the leader answers them.

use crate::state::{Incarnation, IncarnationStatus, Instance, Instances};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval between reports while there are changes. What arrives within four syncs of 5
/// ms each shares one log entry. With one entry per target, 3,000 targets that start
/// within 1.2 s took 1,309 ms of a core per second on the leader.
const CHANGED_REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Number of reports of unchanged targets per announcement period. This many keep the
/// delay in detecting silence short.
const UNCHANGED_REPORTS_PER_PERIOD: u32 = 6;

/// Largest number of targets buffered between two reports. It exceeds the number of
/// announcements in that time at the largest size planned for (13,000 in 1.2 s).
const MAX_BUFFERED_TARGETS: usize = 16_384;

/// Report of the announcements received by a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementReport {
    /// Incarnations whose announcement matches the committed state, each with the number
    /// of its announcement.
    pub same: Vec<(Incarnation, u64)>,
    /// Announcements that differ from the committed state, in order of arrival.
    pub changed: Vec<Instance>,
}

/// Result of comparing an announcement with the committed state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnnouncementDiff {
    /// Older than the committed state, or from an ended incarnation.
    Outdated,
    /// Equal to the committed state.
    Unchanged,
    /// Different from the committed state. Includes announcements of incarnations that
    /// may have ended: only the leader knows which targets are silent.
    Changed,
}

/// Compares an announcement with the committed state.
pub(super) fn compare_announcement(instance: &Instance, committed: &Instances) -> AnnouncementDiff {
    match committed.incarnation_status(&instance.incarnation()) {
        IncarnationStatus::Ended => return AnnouncementDiff::Outdated,
        IncarnationStatus::Newer | IncarnationStatus::Doubtful => return AnnouncementDiff::Changed,
        IncarnationStatus::Known => {}
    }
    let Some(known) = committed.get(&instance.id) else {
        return AnnouncementDiff::Changed;
    };
    if known.announced > instance.announced {
        return AnnouncementDiff::Outdated;
    }
    let expected = Instance {
        announced: instance.announced,
        ..known.clone()
    };
    match expected == *instance {
        true => AnnouncementDiff::Unchanged,
        false => AnnouncementDiff::Changed,
    }
}

/// Announcements received by a replica since its last report to the leader.
#[derive(Clone, Debug, Default)]
pub(super) struct AnnouncementBuffer {
    same: BTreeMap<Incarnation, u64>,
    /// Changed instances in order of arrival: of two incarnations at one address, the
    /// later one counts.
    changed: Vec<Instance>,
    reported_at: Option<Instant>,
}

impl AnnouncementBuffer {
    /// Adds an announcement unless it is outdated or the buffer is full.
    pub fn note(&mut self, instance: Instance, diff: AnnouncementDiff) {
        if self.same.len() + self.changed.len() >= MAX_BUFFERED_TARGETS {
            return;
        }
        match diff {
            AnnouncementDiff::Outdated => {}
            AnnouncementDiff::Unchanged => {
                self.same.insert(instance.incarnation(), instance.announced);
            }
            AnnouncementDiff::Changed => self.changed.push(instance),
        }
    }

    /// Takes the report to send now, if one is due. `period` is the announcement period
    /// of the targets.
    pub fn take_if_due(&mut self, now: Instant, period: Duration) -> Option<AnnouncementReport> {
        let interval = match self.changed.is_empty() {
            true => period / UNCHANGED_REPORTS_PER_PERIOD,
            false => CHANGED_REPORT_INTERVAL,
        };
        if self.reported_at.is_some_and(|at| now.since(at) < interval) {
            return None;
        }
        self.take(now)
    }

    /// Takes the report, or returns `None` if it would be empty.
    pub fn take(&mut self, now: Instant) -> Option<AnnouncementReport> {
        let report = AnnouncementReport {
            same: std::mem::take(&mut self.same).into_iter().collect(),
            changed: std::mem::take(&mut self.changed),
        };
        if report.same.is_empty() && report.changed.is_empty() {
            return None;
        }
        self.reported_at = Some(now);
        Some(report)
    }
}

/// Time of the last announcement of each incarnation at any replica, and time of its next
/// silence check. Announcements are numbered within an incarnation.
#[derive(Clone, Debug, Default)]
pub(super) struct LastAnnouncements {
    last_received: BTreeMap<Incarnation, (Instant, u64)>,
    scheduled: BTreeMap<Incarnation, Instant>,
    checks: BTreeSet<(Instant, Incarnation)>,
}

impl LastAnnouncements {
    /// Records an announcement of an incarnation. Returns `false`, and records nothing,
    /// if the announcement was delayed and has a lower number than an earlier arrival: it
    /// is no sign that the target is alive.
    pub fn record(&mut self, now: Instant, incarnation: &Incarnation, number: u64) -> bool {
        match self.last_received.get_mut(incarnation) {
            Some((_, known)) if number < *known => return false,
            Some(last) => *last = (now, number),
            None => {
                self.last_received
                    .insert(incarnation.clone(), (now, number));
            }
        }
        true
    }

    /// Returns the time of the last announcement of an incarnation.
    pub fn last_received(&self, incarnation: &Incarnation) -> Option<Instant> {
        self.last_received.get(incarnation).map(|(at, _)| *at)
    }

    /// Schedules a silence check of an incarnation unless one is scheduled already.
    pub fn schedule_check(&mut self, incarnation: Incarnation, at: Instant) {
        if !self.scheduled.contains_key(&incarnation) {
            self.scheduled.insert(incarnation.clone(), at);
            self.checks.insert((at, incarnation));
        }
    }

    /// Takes an incarnation whose silence check is due. Its schedule entry is removed.
    pub fn take_due(&mut self, now: Instant) -> Option<Incarnation> {
        let due = self.checks.first().is_some_and(|(at, _)| *at <= now);
        let (_, incarnation) = due.then(|| self.checks.pop_first()).flatten()?;
        self.scheduled.remove(&incarnation);
        Some(incarnation)
    }

    /// Removes an incarnation that has ended.
    pub fn forget(&mut self, incarnation: &Incarnation) {
        self.last_received.remove(incarnation);
    }
}
