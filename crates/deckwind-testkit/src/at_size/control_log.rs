//! Reads what the processes of a run logged about the control plane.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

/// Events that are read.
pub const EVENTS: [&str; 9] = [
    "role",
    "deposed",
    "leader_silent",
    "heartbeat_gap",
    "leader_load",
    "long_batch",
    "lease_lost",
    "quarantined",
    "release_in_force",
];

/// A line of a process's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Name of the process.
    pub process: String,
    /// Time since the start of the run.
    pub at: Duration,
    text: String,
}

impl LogLine {
    /// Parses a line that begins with the name of its process, of a run that started at
    /// `started`. Returns `None` if it is older than the run or has no time.
    pub fn parse(line: &str, started: SystemTime) -> Option<Self> {
        let (process, text) = line.split_once(": ts=")?;
        let (at, text) = text.split_once(' ')?;
        let at = humantime::parse_rfc3339(at).ok()?;
        Some(Self {
            process: process.to_string(),
            at: at.duration_since(started).ok()?,
            text: text.to_string(),
        })
    }

    /// Returns the name of the event.
    pub fn event(&self) -> &str {
        self.field("event").unwrap_or_default()
    }

    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields().find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// Returns the value of a field that is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// Returns all fields with their values.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &str)> {
        self.text.split(' ').filter_map(|f| f.split_once('='))
    }

    /// Returns the group of traits of requests that the line names.
    pub fn traits(&self) -> Vec<&str> {
        let list = self.text.split_once("traits=[");
        let list = list.and_then(|(_, rest)| rest.split_once(']'));
        let list = list.map_or("", |(list, _)| list);
        list.split(", ").filter(|t| !t.is_empty()).collect()
    }
}

/// What leaders spent their time on, from the lines `leader_load` and `long_batch`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderLoad {
    /// Time that the lines cover.
    pub over: Duration,
    /// Sums of the times by kind of work, in ms.
    pub work_ms: BTreeMap<String, u64>,
    /// Largest value of each other field.
    pub largest: BTreeMap<String, u64>,
    /// Longest batch of events.
    pub longest_batch: Duration,
}

/// Fields of `leader_load` whose largest value counts.
const LARGEST: [&str; 4] = [
    "behind",
    "without_state",
    "oldest_log_ms",
    "oldest_input_ms",
];

impl LeaderLoad {
    /// Adds up what the lines say.
    pub fn of(lines: &[LogLine]) -> Self {
        let mut load = Self::default();
        for line in lines {
            match line.event() {
                "leader_load" => load.add(line),
                "long_batch" => {
                    let took = Duration::from_millis(line.number("took_ms").unwrap_or(0));
                    load.longest_batch = load.longest_batch.max(took);
                }
                _ => {}
            }
        }
        load
    }

    fn add(&mut self, line: &LogLine) {
        self.over += Duration::from_millis(line.number("over_ms").unwrap_or(0));
        for (name, value) in line.fields() {
            let Ok(value) = value.parse::<u64>() else {
                continue;
            };
            if LARGEST.contains(&name) {
                let largest = self.largest.entry(name.to_string()).or_default();
                *largest = value.max(*largest);
            } else if let Some(work) = name.strip_suffix("_ms").filter(|w| *w != "over") {
                *self.work_ms.entry(work.to_string()).or_default() += value;
            }
        }
    }

    /// Returns the share of the leaders' time that each kind of work took, the largest first.
    pub fn shares(&self) -> Vec<(&str, f64)> {
        let over = self.over.as_millis().max(1) as f64;
        let shares = self.work_ms.iter();
        let mut shares: Vec<_> = shares
            .map(|(work, ms)| (work.as_str(), *ms as f64 / over))
            .collect();
        shares.sort_by(|a, b| b.1.total_cmp(&a.1));
        shares
    }
}
