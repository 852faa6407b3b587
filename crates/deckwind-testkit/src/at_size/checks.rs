//! Compares what probes and readings saw with the releases that were sent and acknowledged.
//!
//! All times are relative to the start of a run.

use super::releases::{FIXED_PATH, Handling, Release};
use super::size::KEY;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// Bounds on how long an older release may be served.
#[derive(Clone, Copy, Debug)]
pub struct ReleaseBounds {
    /// Time after an acknowledgement from which no older release may be served or read.
    pub apply: Duration,
    /// Time after the acknowledgement of its removal from which a key runs nowhere.
    pub revoke: Duration,
    /// Time after a router showed a release from which it may not serve an older one.
    pub rollback_slack: Duration,
}

/// A change that an operator sent.
#[derive(Clone, Debug)]
pub struct Change {
    /// What was changed, for the report.
    pub kind: String,
    /// The release; if it is invalid, only its version and routes count.
    pub release: Release,
    /// Whether the release is valid.
    pub is_valid: bool,
    /// Time at which it was first sent.
    pub sent: Duration,
    /// Time of its first acknowledgement and the replica that gave it.
    pub acknowledged: Option<(Duration, usize)>,
    /// Status of a refusal.
    pub refused: Option<u16>,
    /// Status of a refusal of the same document sent again after its acknowledgement.
    pub refused_again: Option<u16>,
    /// Number of calls until a clear answer.
    pub calls: usize,
}

impl Change {
    fn acknowledged_by(&self, at: Duration) -> bool {
        self.is_valid && self.acknowledged.is_some_and(|(acked, _)| acked <= at)
    }
}

/// A request to a router that shows by its handling which releases may be in force there.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Index of the router.
    pub router: usize,
    /// Number of restarts of the router before the probe; `None` if one came in between.
    pub life: Option<u64>,
    /// Prefix of the path.
    pub path: String,
    /// Key.
    pub key: String,
    /// Time at which it was sent.
    pub sent: Duration,
    /// Time at which it was answered or given up.
    pub answered: Duration,
    /// How it was handled; `None` if it was refused or has no clear answer.
    pub handling: Option<Handling>,
}

/// What a replica answered to a reading of the release.
#[derive(Clone, Debug)]
pub struct Reading {
    /// Index of the replica.
    pub replica: usize,
    /// Time at which it was sent.
    pub sent: Duration,
    /// Time at which it was answered.
    pub answered: Duration,
    /// Version that was read.
    pub version: u64,
    /// Whether the whole document is the one that was sent under its version.
    pub is_as_sent: bool,
}

/// A check that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A probe was handled as only an older release than allowed says.
    ServedOlder,
    /// A probe was handled as no valid release says.
    ServedInvalid,
    /// A probe ran with a key long after its removal was acknowledged.
    RanWithRemovedKey,
    /// A router went back to an older release within one life.
    WentBack,
    /// A reading showed an older release than allowed.
    ReadOlder,
    /// A reading showed what was not sent under its version, or what is invalid.
    ReadInvalid,
    /// An invalid release was acknowledged.
    InvalidAcknowledged,
    /// A valid release was refused.
    ValidRefused,
    /// Routes that were added are served less often than the others.
    AddedNotServed,
    /// What was acknowledged last was not read at the end.
    NotReadAtEnd,
    /// A leader was deposed that nothing had suspended or killed.
    LeaderDeposed,
    /// A router lost its lease while control was calm.
    LeaseLost,
    /// Traits were quarantined that no request has on which engines crash.
    SoundQuarantined,
    /// A valid change had no clear answer until its operator gave it up.
    NotAcknowledged,
    /// A change was not in force at all routers in time although control was calm.
    NotInForce,
    /// Few requests were served while engines crashed and control was calm.
    FewServed,
}

/// A failed check with its details.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The check.
    pub violation: Violation,
    /// What was seen.
    pub details: String,
}

impl Finding {
    pub(super) fn new(violation: Violation, details: impl fmt::Debug) -> Self {
        Self {
            violation,
            details: format!("{details:?}"),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.violation, self.details)
    }
}

/// How a change came into force.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// Time from the acknowledgement until the last router served the change or a newer one.
    pub last_router: Option<Duration>,
    /// Number of routers that never showed it.
    pub never: usize,
    /// Longest time after the acknowledgement at which a probe was sent that an older release
    /// handled.
    pub older_seen: Duration,
}

/// Share of the probes that ran, of those that all allowed releases let run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServedShare {
    /// Number of probes.
    pub probes: usize,
    /// Number of these that a target ran.
    pub served: usize,
}

impl ServedShare {
    /// Returns the share; 1 without probes.
    pub fn share(&self) -> f64 {
        match self.probes {
            0 => 1.0,
            probes => self.served as f64 / probes as f64,
        }
    }
}

/// Minimum number of probes of added routes from which their share counts.
const MIN_ADDED_PROBES: usize = 20;

/// Fraction of the share of the other routes that added routes have to reach.
const MIN_ADDED_FRACTION: f64 = 0.25;

/// All changes of a run, in the order of their versions.
pub struct History {
    changes: Vec<Change>,
    bounds: ReleaseBounds,
}

impl History {
    /// Takes the changes of a run.
    pub fn new(mut changes: Vec<Change>, bounds: ReleaseBounds) -> Self {
        changes.sort_by_key(|c| c.release.version);
        Self { changes, bounds }
    }

    /// The changes in the order of their versions.
    pub fn changes(&self) -> &[Change] {
        &self.changes
    }

    /// Returns the newest version that was acknowledged by then.
    pub fn newest_acknowledged(&self, at: Duration) -> u64 {
        let acknowledged = self.changes.iter().filter(|c| c.acknowledged_by(at));
        acknowledged.map(|c| c.release.version).max().unwrap_or(0)
    }

    /// Returns the oldest version that a request or reading sent at this time may show.
    fn floor(&self, sent: Duration) -> u64 {
        let at = sent.checked_sub(self.bounds.apply);
        at.map_or(0, |at| self.newest_acknowledged(at))
    }

    /// Returns the valid releases that were sent by then.
    fn valid_by(&self, at: Duration) -> impl Iterator<Item = &Release> {
        let valid = self.changes.iter().filter(|c| c.is_valid);
        valid.filter(move |c| c.sent <= at).map(|c| &c.release)
    }

    /// Returns the versions, in ascending order, that handle a probe as it was handled.
    pub fn versions_shown(&self, probe: &Probe) -> Vec<u64> {
        let Some(handling) = probe.handling else {
            return Vec::new();
        };
        let sent = self.valid_by(probe.answered);
        let fit = sent.filter(|r| r.handling(&probe.path, &probe.key) == handling);
        fit.map(|r| r.version).collect()
    }

    /// Checks each change and each resent one.
    pub fn check_answers(&self) -> Vec<Finding> {
        let violation = |c: &Change| match c {
            c if !c.is_valid && c.acknowledged.is_some() => Some(Violation::InvalidAcknowledged),
            c if c.is_valid && c.refused.or(c.refused_again).is_some() => {
                Some(Violation::ValidRefused)
            }
            _ => None,
        };
        let found = self.changes.iter().filter_map(|c| {
            let what = (c.release.version, &c.kind, c.refused, c.refused_again);
            violation(c).map(|v| Finding::new(v, what))
        });
        found.collect()
    }

    /// Checks how probes were handled.
    pub fn check_probes(&self, probes: &[Probe]) -> Vec<Finding> {
        let mut found: Vec<Finding> = probes.iter().filter_map(|p| self.check_probe(p)).collect();
        found.extend(self.check_lives(probes));
        found.extend(self.check_added(probes));
        found
    }

    fn check_probe(&self, probe: &Probe) -> Option<Finding> {
        probe.handling?;
        let shown = self.versions_shown(probe);
        let Some(newest) = shown.last() else {
            return Some(Finding::new(Violation::ServedInvalid, probe));
        };
        let floor = self.floor(probe.sent);
        if *newest >= floor {
            return None;
        }
        let violation = match self.is_long_removed(probe) {
            true => Violation::RanWithRemovedKey,
            false => Violation::ServedOlder,
        };
        Some(Finding::new(violation, (floor, newest, probe)))
    }

    /// Whether a probe ran with a key whose removal was acknowledged too long before.
    fn is_long_removed(&self, probe: &Probe) -> bool {
        let Some(at) = probe.sent.checked_sub(self.bounds.revoke) else {
            return false;
        };
        let floor = self.newest_acknowledged(at);
        let since = self.valid_by(probe.answered);
        let mut since = since.filter(|r| r.version >= floor);
        matches!(probe.handling, Some(Handling::Ran(_)))
            && floor > 0
            && !since.any(|r| r.keys.contains(&probe.key))
    }

    /// Checks that no router goes back within one life.
    fn check_lives(&self, probes: &[Probe]) -> Vec<Finding> {
        let mut lives: BTreeMap<(usize, u64), Vec<(ShownVersions, &Probe)>> = BTreeMap::new();
        for probe in probes {
            if let (Some(life), Some(shown)) = (probe.life, ShownVersions::of(self, probe)) {
                let life = lives.entry((probe.router, life)).or_default();
                life.push((shown, probe));
            }
        }
        let found = lives.values().flat_map(|life| self.check_life(life));
        found.collect()
    }

    fn check_life(&self, life: &[(ShownVersions, &Probe)]) -> Vec<Finding> {
        let newest = life.iter().map(|(shown, _)| (shown.answered, shown.first));
        let mut newest: Vec<(Duration, u64)> = newest.collect();
        newest.sort();
        let mut version = 0;
        for (_, shown) in &mut newest {
            version = version.max(*shown);
            *shown = version;
        }
        let found = life.iter().filter_map(|(shown, probe)| {
            let slack = self.bounds.rollback_slack;
            let before = newest.partition_point(|(at, _)| *at + slack < shown.sent);
            let (_, version) = before.checked_sub(1).map(|i| newest[i])?;
            let went_back = shown.last < version;
            went_back.then(|| Finding::new(Violation::WentBack, (version, shown.last, probe)))
        });
        found.collect()
    }

    fn check_added(&self, probes: &[Probe]) -> Option<Finding> {
        let (first, added) = self.served_shares(probes);
        let is_low = added.share() < first.share() * MIN_ADDED_FRACTION;
        let counts = added.probes >= MIN_ADDED_PROBES;
        (counts && is_low).then(|| Finding::new(Violation::AddedNotServed, (first, added)))
    }

    /// Returns the shares of the probes of routes that the first change brought, and of routes
    /// added later.
    pub fn served_shares(&self, probes: &[Probe]) -> (ServedShare, ServedShare) {
        let (mut first, mut added) = (ServedShare::default(), ServedShare::default());
        for probe in probes.iter().filter(|p| self.must_run(p)) {
            let is_first = probe.path == FIXED_PATH && probe.key == KEY;
            let share = if is_first { &mut first } else { &mut added };
            share.probes += 1;
            share.served += usize::from(matches!(probe.handling, Some(Handling::Ran(_))));
        }
        (first, added)
    }

    /// Whether all releases that may handle the probe let it run.
    fn must_run(&self, probe: &Probe) -> bool {
        let floor = self.floor(probe.sent);
        let mut may_handle = self.valid_by(probe.answered).filter(|r| r.version >= floor);
        floor > 0
            && may_handle.all(|r| matches!(r.handling(&probe.path, &probe.key), Handling::Ran(_)))
    }

    /// Checks readings of the release.
    pub fn check_readings(&self, readings: &[Reading]) -> Vec<Finding> {
        let violation = |r: &Reading| match r {
            r if !r.is_as_sent => Some(Violation::ReadInvalid),
            r if r.version < self.floor(r.sent) => Some(Violation::ReadOlder),
            _ => None,
        };
        let found = readings
            .iter()
            .filter_map(|r| violation(r).map(|v| Finding::new(v, (self.floor(r.sent), r))));
        found.collect()
    }

    /// Checks the readings after the last change: one has to come, and none may be older than
    /// what was acknowledged.
    pub fn check_end(&self, readings: &[Reading]) -> Option<Finding> {
        let newest = self.newest_acknowledged(Duration::MAX);
        let is_sound = |r: &Reading| r.version >= newest && r.is_as_sent;
        let is_read = !readings.is_empty() && readings.iter().all(is_sound);
        (!is_read).then(|| Finding::new(Violation::NotReadAtEnd, (newest, readings)))
    }

    /// Returns how a change came into force at the routers.
    pub fn spread(&self, change: &Change, shown: &[ShownVersions]) -> Spread {
        let Some((acknowledged, _)) = change.acknowledged else {
            return Spread::default();
        };
        let version = change.release.version;
        let mut served: BTreeMap<usize, Duration> = BTreeMap::new();
        let mut older_seen = Duration::ZERO;
        for probe in shown {
            if probe.first >= version {
                let at = served.entry(probe.router).or_insert(probe.answered);
                *at = probe.answered.min(*at);
            }
            if probe.last < version {
                older_seen = older_seen.max(probe.sent.saturating_sub(acknowledged));
            }
        }
        let routers: BTreeSet<usize> = shown.iter().map(|p| p.router).collect();
        Spread {
            last_router: served
                .values()
                .max()
                .map(|at| at.saturating_sub(acknowledged)),
            never: routers.len() - served.len(),
            older_seen,
        }
    }
}

/// The versions that a probe showed, and when.
#[derive(Clone, Copy, Debug)]
pub struct ShownVersions {
    /// Index of the router.
    pub router: usize,
    /// Time at which the probe was sent.
    pub sent: Duration,
    /// Time at which it was answered.
    pub answered: Duration,
    /// Oldest version that handles it as it was handled.
    pub first: u64,
    /// Newest version that handles it so.
    pub last: u64,
}

impl ShownVersions {
    /// Returns what a probe showed; `None` if it has no clear answer.
    pub fn of(history: &History, probe: &Probe) -> Option<Self> {
        let shown = history.versions_shown(probe);
        Some(Self {
            router: probe.router,
            sent: probe.sent,
            answered: probe.answered,
            first: *shown.first()?,
            last: *shown.last()?,
        })
    }
}
