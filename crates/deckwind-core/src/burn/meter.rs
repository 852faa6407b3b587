//! Counts by template and client account over sliding windows.

use super::report::{BurnReport, BurnRow, WindowBurn};
use crate::state::{AccountName, Configuration, TemplateName};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Answers in a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All.
    pub total: u64,
    /// Whole, correct and on time.
    pub good: u64,
}

impl Counts {
    fn add(&mut self, good: bool) {
        self.total += 1;
        self.good += u64::from(good);
    }

    /// These and those.
    pub fn plus(self, other: Counts) -> Counts {
        Counts {
            total: self.total + other.total,
            good: self.good + other.good,
        }
    }

    /// Share missed, over the share that may be missed.
    pub fn burn(self, objective_share: f64) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let missed = (self.total - self.good) as f64 / self.total as f64;
        missed / (1.0 - objective_share)
    }
}

/// A span over which burn is told.
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

    /// Its length.
    pub fn span(self) -> Duration {
        const MINUTE: u64 = 60;
        Duration::from_secs(match self {
            Window::FiveMinutes => 5 * MINUTE,
            Window::OneHour => 60 * MINUTE,
            Window::SixHours => 360 * MINUTE,
        })
    }

    /// Its name in tables.
    pub fn label(self) -> &'static str {
        match self {
            Window::FiveMinutes => "5m",
            Window::OneHour => "1h",
            Window::SixHours => "6h",
        }
    }
}

/// Slots that a window is divided into.
const SLOTS: usize = 30;

/// One window: a ring of slots.
#[derive(Clone, Debug)]
struct Ring {
    slot: Duration,
    /// Number of the slot that was written last, since the origin.
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

    /// Clears the slots that time has passed over.
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
        let (total, hits) = &mut self.slots[(self.newest % SLOTS as u64) as usize];
        *total += 1;
        *hits += u32::from(good);
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

/// Counts of one router.
#[derive(Clone, Debug, Default)]
pub struct BurnMeter {
    rows: BTreeMap<(TemplateName, AccountName), Row>,
}

impl BurnMeter {
    /// Counts one answer.
    pub fn answered(
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

    /// Number of rows: pairs of template and account that had answers.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The report as of now, with the objectives of `cfg`.
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
