//! Burn reports, which can be merged over routers.

use super::meter::{Counts, Window};
use crate::state::{AccountName, Objective, TemplateName};
use serde::{Deserialize, Serialize};

/// Severity of a burn rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Alert {
    /// No alert.
    Ok,
    /// Needs attention today: the six-hour and one-hour burn rates are above 6.
    Ticket,
    /// Needs attention now: the one-hour and five-minute burn rates are above 14.4.
    Page,
}

/// Burn rate over one hour that spends 2% of a 30-day budget.
const PAGE_BURN: f64 = 14.4;

/// Burn rate over six hours that spends 5% of a 30-day budget.
const TICKET_BURN: f64 = 6.0;

/// Burn rate over one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The window.
    pub window: Window,
    /// Number of answers in the window.
    pub counts: Counts,
    /// Burn rate over the window.
    pub burn: f64,
}

impl WindowBurn {
    /// Computes the burn rate of these counts for an objective's share.
    pub fn new(window: Window, counts: Counts, share: f64) -> Self {
        Self {
            window,
            counts,
            burn: counts.burn(share),
        }
    }
}

/// Burn rates of one template and client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The template.
    pub template: TemplateName,
    /// The client account.
    pub account: AccountName,
    /// Objective of the template.
    pub objective: Objective,
    /// Burn rates by window, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Counts since the router started.
    pub since_start: Counts,
}

impl BurnRow {
    fn burn(&self, window: Window) -> f64 {
        let found = self.windows.iter().find(|w| w.window == window);
        found.map_or(0.0, |w| w.burn)
    }

    /// Returns the alert that this row raises.
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

    /// Returns the part of the error budget that is left by the counts since the start.
    /// Negative when overspent.
    pub fn budget_left(&self) -> f64 {
        1.0 - self.since_start.burn(self.objective.share)
    }

    fn merge(&mut self, other: &BurnRow) {
        self.since_start = self.since_start.plus(other.since_start);
        for (mine, theirs) in self.windows.iter_mut().zip(&other.windows) {
            let counts = mine.counts.plus(theirs.counts);
            *mine = WindowBurn::new(mine.window, counts, self.objective.share);
        }
    }
}

/// Rows of all templates and accounts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The rows.
    pub rows: Vec<BurnRow>,
}

impl BurnReport {
    /// Merges another router's rows into this report.
    pub fn merge(&mut self, other: BurnReport) {
        for row in other.rows {
            let same = |r: &&mut BurnRow| r.template == row.template && r.account == row.account;
            match self.rows.iter_mut().find(same) {
                Some(mine) => mine.merge(&row),
                None => self.rows.push(row),
            }
        }
        self.rows
            .sort_by(|a, b| (&a.template, &a.account).cmp(&(&b.template, &b.account)));
    }
}
