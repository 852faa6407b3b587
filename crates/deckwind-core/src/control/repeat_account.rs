//! One router's repeats of one pool as the leader counts them.

use super::repeat_messages::PoolReport;
use crate::state::AllowanceKey;
use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// An allowance as the leader knows it.
#[derive(Clone, Debug)]
pub(super) struct Account {
    /// Whose.
    pub key: AllowanceKey,
    /// How many it was given.
    pub issued: u64,
    /// Used so long ago that they no longer count.
    pub over: u64,
    /// What its router told as spent. At first, for a new leader, what is over.
    pub spent: u64,
    /// What its router gave back: it no longer counts.
    pub back: u64,
    /// Used, and when that was known.
    pub recent: VecDeque<(Instant, u64)>,
    /// When its router can't use it any more, unless it is told of it again.
    pub until: Instant,
    /// Whether its router is told of it.
    pub open: bool,
    /// What its router was last told.
    pub told: u64,
}

impl Account {
    /// How many still count.
    pub fn counts(&self) -> u64 {
        self.issued.saturating_sub(self.over + self.back)
    }

    /// What its router may still use.
    pub fn unused(&self) -> u64 {
        match self.open {
            true => self.issued.saturating_sub(self.spent + self.back),
            false => 0,
        }
    }

    /// Its router told of it.
    pub fn reported(&mut self, now: Instant, report: &PoolReport) {
        let (spent, back) = (report.spent, report.back);
        if !self.open || spent + back > self.issued {
            return;
        }
        self.used(now, spent.saturating_sub(self.spent));
        self.spent = self.spent.max(spent);
        self.back = self.back.max(back);
        self.forget(report.over.saturating_sub(self.over));
    }

    /// So many of the oldest used ones are over.
    fn forget(&mut self, mut count: u64) {
        while let Some((_, used)) = self.recent.front_mut().filter(|_| count > 0) {
            let over = count.min(*used);
            *used -= over;
            self.over += over;
            count -= over;
            if *used == 0 {
                self.recent.pop_front();
            }
        }
    }

    fn used(&mut self, now: Instant, count: u64) {
        if count > 0 {
            self.recent.push_back((now, count));
        }
    }

    /// Its router can't use it any more; what it has not told may be used.
    pub fn close(&mut self, now: Instant) {
        let unused = self.unused();
        self.used(now, unused);
        self.open = false;
    }

    /// Time has passed; what was used counts for so long.
    pub fn age(&mut self, now: Instant, counted_for: Duration) {
        if self.open && self.until <= now {
            self.close(now);
        }
        while let Some((at, count)) = self.recent.front().copied() {
            if now.since(at) < counted_for {
                break;
            }
            self.recent.pop_front();
            self.over += count;
        }
    }
}

/// `free` divided by what each lacks; the rest one each, the first ones first.
pub(super) fn shares(free: u64, lacks: &[u64]) -> Vec<u64> {
    let all: u64 = lacks.iter().sum();
    if all <= free {
        return lacks.to_vec();
    }
    let part = |lack: &u64| (u128::from(*lack) * u128::from(free) / u128::from(all)) as u64;
    let mut gets: Vec<u64> = lacks.iter().map(part).collect();
    let mut rest = free - gets.iter().sum::<u64>();
    for (got, lack) in gets.iter_mut().zip(lacks) {
        if rest > 0 && *got < *lack {
            *got += 1;
            rest -= 1;
        }
    }
    gets
}
