//! Time that a replica spends on the parts of its work, as measured by its driver's stopwatch.

use crate::state::CommandKind;
use std::collections::BTreeMap;
use std::time::Duration;

/// Part of a replica's work whose time is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    /// Applying committed commands of one kind to the state machine.
    Apply(CommandKind),
    /// Answering renewals, with the state that they carry.
    Grants,
    /// Encoding the state for a snapshot.
    Snapshot,
}

impl Work {
    /// Returns the name of the part in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Apply(kind) => kind.apply_label(),
            Self::Grants => "grants",
            Self::Snapshot => "snapshot",
        }
    }
}

/// Work that a replica counts, so that a stopwatch of virtual time can charge for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkUnit {
    /// An event of the replicated log.
    LogEvent,
    /// An input of a router, a target, an operator or another replica.
    Input,
    /// A committed entry that is applied.
    Entry,
    /// A row of the evidence on crashes that an applied entry scans.
    SuspectRow,
    /// A renewal that is answered.
    Renewal,
    /// A byte of a packed delta, each time that one is packed.
    PackedByte,
}

/// Monotonic clock of the driver, read to measure work. The driver bounds by it how much it
/// has the replica do at a time; the replica itself decides nothing by it.
pub trait Stopwatch: Send {
    /// Returns the time since a fixed point.
    fn reading(&self) -> Duration;

    /// Charges for `count` units of work. Time passes by itself on real clocks.
    fn charge(&mut self, _unit: WorkUnit, _count: u64) {}
}

/// How often a part of the work was done, and how long it took in all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkTime {
    /// Number of times.
    pub count: u64,
    /// Total time.
    pub took: Duration,
}

/// Start of a measurement; none without a stopwatch.
pub(super) struct WorkStart(Option<Duration>);

/// Times by part of the work.
#[derive(Default)]
pub(super) struct WorkLog {
    stopwatch: Option<Box<dyn Stopwatch>>,
    times: BTreeMap<Work, WorkTime>,
}

impl WorkLog {
    pub fn set_stopwatch(&mut self, stopwatch: Box<dyn Stopwatch>) {
        self.stopwatch = Some(stopwatch);
    }

    pub fn reading(&self) -> Duration {
        self.stopwatch
            .as_ref()
            .map_or(Duration::ZERO, |s| s.reading())
    }

    pub fn start(&self) -> WorkStart {
        WorkStart(self.stopwatch.as_ref().map(|s| s.reading()))
    }

    pub fn stop(&mut self, work: Work, started: WorkStart) {
        let now = self.stopwatch.as_ref().map(|s| s.reading());
        let (Some(now), Some(started)) = (now, started.0) else {
            return;
        };
        let time = self.times.entry(work).or_default();
        time.count += 1;
        time.took += now.saturating_sub(started);
    }

    pub fn count(&mut self, unit: WorkUnit, count: u64) {
        if let Some(stopwatch) = &mut self.stopwatch {
            stopwatch.charge(unit, count);
        }
    }

    pub fn take(&mut self) -> BTreeMap<Work, WorkTime> {
        std::mem::take(&mut self.times)
    }
}
