//! Checks of what the control plane did in one run.

use super::checks::{Change, Finding, Violation};
use super::control_log::{LeaderLoad, LogLine};
use super::faults::FaultKind;
use super::in_force;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// Time after a fault of a control replica or a router until control counts as calm: a
/// restarted replica has caught up by then.
const CALM_AFTER: Duration = Duration::from_secs(6);

/// Share of the requests that are served at least while engines crash and control is calm.
const MIN_SERVED_SHARE: f64 = 0.35;

/// Number of requests from which that share counts.
const MIN_REQUESTS: usize = 200;

/// A fault that was injected, with its times since the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InjectedFault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start.
    pub from: Duration,
    /// End, with the restart of what it ended.
    pub until: Duration,
}

impl InjectedFault {
    /// Whether the fault is one of control replicas or routers, so that leases may be lost.
    fn may_lose_leases(&self) -> bool {
        match self.kind {
            FaultKind::RoutersFreeze
            | FaultKind::RoutersKilled
            | FaultKind::RoutersStopped
            | FaultKind::ControlKilled
            | FaultKind::ControlFreezes
            | FaultKind::AllControlKilled
            | FaultKind::LeaderKilled
            | FaultKind::DiskLost
            | FaultKind::RoutersBehind => true,
            FaultKind::EnginesEnd
            | FaultKind::EnginesSilent
            | FaultKind::EnginesPause
            | FaultKind::EnginesCut
            | FaultKind::EnginesRefuse
            | FaultKind::PlainFails
            | FaultKind::PoisonPart
            | FaultKind::Burst
            | FaultKind::Release => false,
        }
    }

    /// Whether the fault lasts at this time or has ended a short time ago.
    fn is_felt(&self, at: Duration) -> bool {
        (self.from..self.until + CALM_AFTER).contains(&at)
    }
}

/// What was recorded in a run.
pub struct ControlRecords<'a> {
    /// Lines of the logs of all processes.
    pub lines: &'a [LogLine],
    /// The faults.
    pub faults: &'a [InjectedFault],
    /// Traits of requests on which engines crash.
    pub traits_at_fault: &'a HashSet<String>,
    /// Time at which each request was first sent, and whether it was served.
    pub requests: &'a [(Duration, bool)],
    /// Changes of the release.
    pub changes: &'a [Change],
    /// Number of routers.
    pub routers: usize,
    /// End of the run's faults and requests.
    pub until: Duration,
}

impl ControlRecords<'_> {
    fn events(&self, event: &str) -> impl Iterator<Item = &LogLine> {
        self.lines.iter().filter(move |l| l.event() == event)
    }

    /// Whether no fault of a replica or router is felt at this time.
    pub(super) fn is_calm(&self, at: Duration) -> bool {
        let mut faults = self.faults.iter();
        !faults.any(|f| f.may_lose_leases() && f.is_felt(at))
    }

    /// Returns the leaders that were deposed although nothing had suspended them. A killed
    /// leader doesn't log its end.
    fn deposed(&self) -> impl Iterator<Item = &LogLine> {
        let is_suspended = |at: Duration| {
            let mut faults = self.faults.iter();
            faults.any(|f| f.kind == FaultKind::ControlFreezes && f.is_felt(at))
        };
        self.events("deposed").filter(move |l| !is_suspended(l.at))
    }

    /// Returns the groups of traits that were quarantined, each with the first line on it.
    fn quarantined(&self) -> BTreeMap<Vec<&str>, &LogLine> {
        let mut groups = BTreeMap::<_, &LogLine>::new();
        for line in self.events("quarantined") {
            let first = groups.entry(line.traits()).or_insert(line);
            if line.at < first.at {
                *first = line;
            }
        }
        groups
    }

    /// Returns how many requests were sent while engines crashed and control was calm, and
    /// how many of these were served.
    fn served(&self) -> (usize, usize) {
        let mut crashes = self
            .faults
            .iter()
            .filter(|f| f.kind == FaultKind::EnginesEnd);
        let Some(first) = crashes.next() else {
            return (0, 0);
        };
        let sent = self.requests.iter().filter(|(at, _)| *at >= first.from);
        let calm: Vec<_> = sent.filter(|(at, _)| self.is_calm(*at)).collect();
        (
            calm.len(),
            calm.iter().filter(|(_, served)| *served).count(),
        )
    }
}

/// Results of the checks of the control plane in one run.
#[derive(Clone, Debug, Default)]
pub struct ControlReport {
    /// Number of elections that were won.
    pub elections: usize,
    /// Number of leaders that were deposed, without those that a fault had suspended.
    pub deposed: usize,
    /// Number of lost leases, and of those while control was calm.
    pub lost_leases: (usize, usize),
    /// Number of quarantined groups of traits, and of those that are sound.
    pub quarantined: (usize, usize),
    /// Number of requests that were sent while engines crashed and control was calm, and of
    /// those that were served.
    pub served: (usize, usize),
    /// What leaders spent their time on.
    pub load: LeaderLoad,
    /// Longest silence of a leader at which a replica stood for election, and longest gaps
    /// between two heartbeats that were sent and received, in ms.
    pub longest_ms: [u64; 3],
    /// Failed checks.
    pub findings: Vec<Finding>,
}

impl ControlReport {
    /// Checks what was recorded.
    pub fn of(records: &ControlRecords) -> Self {
        let mut findings = Vec::new();
        let mut fail = |violation, line: &LogLine| {
            findings.push(Finding::new(violation, line));
        };
        let deposed: Vec<&LogLine> = records.deposed().collect();
        deposed
            .iter()
            .for_each(|l| fail(Violation::LeaderDeposed, l));
        let lost: Vec<&LogLine> = records.events("lease_lost").collect();
        let lost_calmly = lost.iter().filter(|l| records.is_calm(l.at));
        let lost_calmly: Vec<&&LogLine> = lost_calmly.collect();
        lost_calmly
            .iter()
            .for_each(|l| fail(Violation::LeaseLost, l));
        let groups = records.quarantined();
        let is_sound = |group: &[&str]| !group.iter().any(|t| records.traits_at_fault.contains(*t));
        let sound = groups.iter().filter(|(group, _)| is_sound(group));
        let sound: Vec<&LogLine> = sound.map(|(_, line)| *line).collect();
        sound
            .iter()
            .for_each(|l| fail(Violation::SoundQuarantined, l));
        findings.extend(in_force::check(records));
        let served = records.served();
        if served.0 >= MIN_REQUESTS && (served.1 as f64) < served.0 as f64 * MIN_SERVED_SHARE {
            findings.push(Finding::new(Violation::FewServed, served));
        }
        Self {
            elections: records
                .events("role")
                .filter(|l| l.field("role") == Some("leader"))
                .count(),
            deposed: deposed.len(),
            lost_leases: (lost.len(), lost_calmly.len()),
            quarantined: (groups.len(), sound.len()),
            served,
            load: LeaderLoad::of(records.lines),
            longest_ms: [
                longest(records.events("leader_silent"), "silent_ms", None),
                longest(records.events("heartbeat_gap"), "gap_ms", Some("sent")),
                longest(records.events("heartbeat_gap"), "gap_ms", Some("received")),
            ],
            findings,
        }
    }

    /// Number of failed checks by kind.
    pub fn counts(&self) -> BTreeMap<Violation, usize> {
        let mut counts = BTreeMap::new();
        for finding in &self.findings {
            *counts.entry(finding.violation).or_default() += 1;
        }
        counts
    }
}

/// Returns the largest value of a field in lines with this direction.
fn longest<'a>(
    lines: impl Iterator<Item = &'a LogLine>,
    field: &str,
    direction: Option<&str>,
) -> u64 {
    let lines = lines.filter(|l| l.field("direction") == direction);
    lines.filter_map(|l| l.number(field)).max().unwrap_or(0)
}
