//! Answer counts by template and client account over sliding windows.

use super::report::{BurnReport, BurnRow, WindowBurn};
use crate::state::{AccountName, Configuration, TemplateName};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of answers in a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All answers.
    pub total: u64,
    /// Answers that were complete, correct and on time.
    pub good: u64,
}

impl Counts {
    fn add(&mut self, good: bool) {
        self.total += 1;
        self.good += u64::from(good);
    }

    /// Returns the sum of both counts.
    pub fn plus(self, other: Counts) -> Counts {
        Counts {
            total: self.total + other.total,
            good: self.good + other.good,
        }
    }

    /// Returns the burn rate: the share missed divided by the share that may be missed.
    pub fn burn(self, objective_share: f64) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let missed = (self.total - self.good) as f64 / self.total as f64;
        missed / (1.0 - objective_share)
    }
}

/// Time window for which a burn rate is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Window {
    /// Five minutes.
    FiveMinutes,
    /// One hour.
    OneHour,
    /// Six hours.
    SixHours,
}

impl Window {
    /// All windows, shortest first.
    pub const ALL: [Window; 3] = [Window::FiveMinutes, Window::OneHour, Window::SixHours];

    /// Returns the length of the window.
    pub fn span(self) -> Duration {
        const MINUTE: u64 = 60;
        Duration::from_secs(match self {
            Window::FiveMinutes => 5 * MINUTE,
            Window::OneHour => 60 * MINUTE,
            Window::SixHours => 360 * MINUTE,
        })
    }

    /// Returns the name of the window in tables.
    pub fn label(self) -> &'static str {
        match self {
            Window::FiveMinutes => "5m",
            Window::OneHour => "1h",
            Window::SixHours => "6h",
        }
    }
}

/// Number of slots per window.
const SLOTS: usize = 30;

/// Ring buffer of the slots of one window.
#[derive(Clone, Debug)]
struct Ring {
    slot: Duration,
    /// Number of the most recently written slot, counted from the origin of the clock.
    newest: u64,
    slots: [(u32, u32); SLOTS],
}

impl Ring {
    fn new(window: Window) -> Self {
        Self {
            slot: window.span() / SLOTS as u32,
            newest: 0,
            slots: [(0, 0); SLOTS],
        }
    }

    /// Clears the slots that have expired since the last write.
    fn advance(&mut self, now: Instant) {
        let number = now.as_micros() / self.slot.as_micros() as u64;
        let passed = number.saturating_sub(self.newest).min(SLOTS as u64);
        for i in 0..passed {
            self.slots[((number - i) % SLOTS as u64) as usize] = (0, 0);
        }
        self.newest = self.newest.max(number);
    }

    fn add(&mut self, now: Instant, good: bool) {
        self.advance(now);
        let (total, good_count) = &mut self.slots[(self.newest % SLOTS as u64) as usize];
        *total += 1;
        *good_count += u32::from(good);
    }

    fn sum(&mut self, now: Instant) -> Counts {
        self.advance(now);
        let mut counts = Counts::default();
        for (total, good) in self.slots {
            counts.total += u64::from(total);
            counts.good += u64::from(good);
        }
        counts
    }
}

#[derive(Clone, Debug)]
struct Row {
    rings: [Ring; Window::ALL.len()],
    since_start: Counts,
}

impl Row {
    fn new() -> Self {
        Self {
            rings: Window::ALL.map(Ring::new),
            since_start: Counts::default(),
        }
    }
}

/// Answer counts of one router.
#[derive(Clone, Debug, Default)]
pub struct BurnMeter {
    rows: BTreeMap<(TemplateName, AccountName), Row>,
}

impl BurnMeter {
    /// Counts one answer.
    pub fn record(
        &mut self,
        now: Instant,
        template: &TemplateName,
        account: &AccountName,
        good: bool,
    ) {
        let key = (template.clone(), account.clone());
        let row = self.rows.entry(key).or_insert_with(Row::new);
        row.since_start.add(good);
        for ring in &mut row.rings {
            ring.add(now, good);
        }
    }

    /// The number of rows, one for each pair of template and account with answers.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no answer has been counted.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the report as of `now`, with the objectives of `cfg`.
    pub fn report(&mut self, now: Instant, cfg: &Configuration) -> BurnReport {
        let rows = self
            .rows
            .iter_mut()
            .map(|((template, account), row)| {
                let objective = cfg.template(template).map(|t| t.objective);
                let objective = objective.unwrap_or_default();
                let windows = Window::ALL
                    .iter()
                    .zip(&mut row.rings)
                    .map(|(window, ring)| WindowBurn::new(*window, ring.sum(now), objective.share))
                    .collect();
                BurnRow {
                    template: template.clone(),
                    account: account.clone(),
                    objective,
                    windows,
                    since_start: row.since_start,
                }
            })
            .collect();
        BurnReport { rows }
    }
}
