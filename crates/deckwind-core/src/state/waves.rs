//! Crashes of many targets at about the same time. They say little about any one trait: one
//! that many requests share is at several of them by chance.
//!
//! What tells such a trait from one at fault is that other routers have served it, and they
//! answer once it is listed. So a trait at a few of many crashes waits for that answer. One at
//! most of the crashes does not.

use super::attribution::{Crash, Suspect};
use super::incarnations::Incarnation;
use std::collections::BTreeSet;

/// Time from the second crash of a trait, with which it is listed, until routers that have
/// served it have answered and that is agreed, milliseconds. Routers get the list within 230 ms
/// at most and their answers are agreed within another 80 ms.
const ANSWER_MS: u64 = 330;

/// Time within which crashes count as one wave, milliseconds: what is at fault crashes single
/// targets in between.
const WAVE_MS: u64 = 1_000;

/// Targets that crashed lately.
pub(super) struct RecentCrashes<'a> {
    lives: BTreeSet<&'a Incarnation>,
    now_ms: u64,
}

impl<'a> RecentCrashes<'a> {
    /// Returns the targets at the recent crashes of these traits.
    pub(super) fn new(suspects: impl Iterator<Item = &'a Suspect>, now_ms: u64) -> Self {
        let since_ms = now_ms.saturating_sub(ANSWER_MS + WAVE_MS);
        let recent = |suspect: &'a Suspect| {
            let newest_first = suspect.crashes().iter().rev();
            newest_first.take_while(move |c| c.at_ms() >= since_ms)
        };
        let lives = suspects.flat_map(recent).map(Crash::life).collect();
        Self { lives, now_ms }
    }

    /// Returns whether routers may still answer that they have served a trait, and most of the
    /// targets crashed without it.
    pub(super) fn awaits_answer(&self, suspect: &Suspect) -> bool {
        let crashes = suspect.crashes();
        let is_answered = |listed: &Crash| listed.at_ms() + ANSWER_MS <= self.now_ms;
        if crashes.get(1).is_none_or(is_answered) {
            return false;
        }
        let with_trait = crashes.iter().filter(|c| self.lives.contains(c.life()));
        self.lives.len() - with_trait.count() > crashes.len()
    }
}
