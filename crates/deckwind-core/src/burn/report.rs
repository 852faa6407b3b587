//! The report, mergeable over routers.

use super::meter::{Counts, Window};
use crate::state::{AccountName, Objective, TemplateName};
use serde::{Deserialize, Serialize};

/// How bad a burn is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Alert {
    /// None.
    Ok,
    /// Look at it today: the six-hour and one-hour burn are above 6.
    Ticket,
    /// Look at it now: the one-hour and five-minute burn are above 14.4.
    Page,
}

/// Burn over one hour that spends 2% of a 30-day budget.
const PAGE_BURN: f64 = 14.4;

/// Burn over six hours that spends 5% of a 30-day budget.
const TICKET_BURN: f64 = 6.0;

/// Burn over one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Which.
    pub window: Window,
    /// Answers in it.
    pub counts: Counts,
    /// Burn rate.
    pub burn: f64,
}

impl WindowBurn {
    /// Of these counts against an objective's share.
    pub fn new(window: Window, counts: Counts, share: f64) -> Self {
        Self {
            window,
            counts,
            burn: counts.burn(share),
        }
    }
}

/// Burn of one template and client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The template.
    pub template: TemplateName,
    /// The client account.
    pub account: AccountName,
    /// What was promised.
    pub objective: Objective,
    /// By window, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Since the router started.
    pub since_start: Counts,
}

impl BurnRow {
    fn burn(&self, window: Window) -> f64 {
        let found = self.windows.iter().find(|w| w.window == window);
        found.map_or(0.0, |w| w.burn)
    }

    /// The alert that this row raises.
    pub fn alert(&self) -> Alert {
        let five = self.burn(Window::FiveMinutes);
        let hour = self.burn(Window::OneHour);
        let six = self.burn(Window::SixHours);
        if hour > PAGE_BURN && five > PAGE_BURN {
            Alert::Page
        } else if six > TICKET_BURN && hour > TICKET_BURN {
            Alert::Ticket
        } else {
            Alert::Ok
        }
    }

    /// Part of the error budget that is left, by the counts since the start;
    /// below zero when overspent.
    pub fn budget_left(&self) -> f64 {
        1.0 - self.since_start.burn(self.objective.share)
    }

    fn absorb(&mut self, other: &BurnRow) {
        self.since_start = self.since_start.plus(other.since_start);
        for (mine, theirs) in self.windows.iter_mut().zip(&other.windows) {
            let counts = mine.counts.plus(theirs.counts);
            *mine = WindowBurn::new(mine.window, counts, self.objective.share);
        }
    }
}

/// All rows, by template and account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The rows.
    pub rows: Vec<BurnRow>,
}

impl BurnReport {
    /// Adds another router's rows.
    pub fn absorb(&mut self, other: BurnReport) {
        for row in other.rows {
            let same = |r: &&mut BurnRow| r.template == row.template && r.account == row.account;
            match self.rows.iter_mut().find(same) {
                Some(mine) => mine.absorb(&row),
                None => self.rows.push(row),
            }
        }
        self.rows
            .sort_by(|a, b| (&a.template, &a.account).cmp(&(&b.template, &b.account)));
    }
}
