//! What an operator saw in one run.

use super::checks::{
    Change, Finding, History, Probe, Reading, ReleaseBounds, ServedShare, ShownVersions, Spread,
    Violation,
};
use super::operator::FIRST_VERSION;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bounds of the large deployment.
pub const BOUNDS: ReleaseBounds = ReleaseBounds {
    apply: Duration::from_secs(3),
    revoke: Duration::from_secs(5),
    rollback_slack: Duration::from_millis(250),
};

/// What an operator recorded.
pub struct Records {
    /// The changes.
    pub changes: Vec<Change>,
    /// The probes with their handling.
    pub probes: Vec<Probe>,
    /// The readings during the run.
    pub readings: Vec<Reading>,
    /// The readings at the end.
    pub end_readings: Vec<Reading>,
}

/// Results of the checks of one run.
#[derive(Clone, Debug, Default)]
pub struct OperatorReport {
    /// Valid changes that were acknowledged, and how they came into force.
    pub changes: Vec<(Change, Spread)>,
    /// Changes without a clear answer, and those that were refused.
    pub others: Vec<Change>,
    /// Failed checks.
    pub findings: Vec<Finding>,
    /// Number of probes, and of those without a clear answer.
    pub probes: (usize, usize),
    /// Number of readings.
    pub readings: usize,
    /// Shares of the probes that ran: on the first route, and on routes and with keys added
    /// later.
    pub served: (ServedShare, ServedShare),
}

impl OperatorReport {
    /// Checks what was recorded.
    pub fn of(records: Records, bounds: ReleaseBounds) -> Self {
        let Records {
            changes,
            probes,
            readings,
            end_readings,
        } = records;
        let history = History::new(changes, bounds);
        let shown: Vec<ShownVersions> = probes
            .iter()
            .filter_map(|p| ShownVersions::of(&history, p))
            .collect();
        let mut findings = history.check_answers();
        findings.extend(history.check_probes(&probes));
        findings.extend(history.check_readings(&readings));
        findings.extend(history.check_end(&end_readings));
        let (taken, others): (Vec<&Change>, Vec<&Change>) = history
            .changes()
            .iter()
            .partition(|c| c.is_valid && c.acknowledged.is_some());
        let spread = |c: &Change| (c.clone(), history.spread(c, &shown));
        Self {
            changes: taken.into_iter().map(spread).collect(),
            others: others.into_iter().cloned().collect(),
            findings,
            probes: (
                probes.len(),
                probes.iter().filter(|p| p.handling.is_none()).count(),
            ),
            readings: readings.len() + end_readings.len(),
            served: history.served_shares(&probes),
        }
    }

    /// Returns the changes of the operator, with those that were refused or have no clear
    /// answer, without the release that the run started with.
    pub fn sent_changes(&self) -> Vec<Change> {
        let taken = self.changes.iter().map(|(change, _)| change);
        let all = taken.chain(&self.others);
        let sent = all.filter(|c| c.release.version >= FIRST_VERSION);
        sent.cloned().collect()
    }

    /// Number of failed checks by kind.
    pub fn counts(&self) -> BTreeMap<Violation, usize> {
        let mut counts = BTreeMap::new();
        for finding in &self.findings {
            *counts.entry(finding.violation).or_default() += 1;
        }
        counts
    }

    /// Returns the longest time to an acknowledgement, the longest time from one until the last
    /// router served the change, and the longest time at which an older release was served.
    pub fn longest(&self) -> [Duration; 3] {
        let acknowledged = self.changes.iter().filter_map(|(c, _)| {
            let (at, _) = c.acknowledged?;
            Some(at.saturating_sub(c.sent))
        });
        let last = self.changes.iter().filter_map(|(_, s)| s.last_router);
        let older = self.changes.iter().map(|(_, s)| s.older_seen);
        [acknowledged.max(), last.max(), older.max()].map(Option::unwrap_or_default)
    }
}
