//! Repeats that the leader has given to this router.
//!
//! What it was given it may use until a lease's time after it asked, by its own
//! steady clock; each answer that names the allowance renews that. It tells what
//! it has used and what it gives back, counted from the allowance's start on.
//! What it gives back it never uses. An allowance is remembered for as long as
//! the process lives, and a router never goes back to an older one: a late answer
//! must not make it whole again.

use super::choice::Claim;
use crate::control::{PoolReport, RepeatGrant};
use crate::state::AllowanceId;
use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// Time over which what was asked for makes up what a router wants to hold: the
/// time of a report, an entry and an answer, three times over.
const ASKED_WITHIN: Duration = Duration::from_secs(1);

/// Least part of the bound that the leader may still issue, in hundredths, for a
/// stream that has not begun to get a repeat; and for one that is late already. Their
/// callers may come back and count as requests then; a stream that has begun loses
/// all that it has done.
const FREE_FOR_NEW: u64 = 40;
const FREE_FOR_LATE: u64 = 60;

/// Asks that are remembered, for each pool: more than one router can be given.
const MOST_ASKS: usize = 1_000;

/// Whether a repeat of so many that are left goes to a stream, where the leader may
/// still issue such a part of the bound: the last ones are for streams that have
/// begun, then for those that can still be in time.
pub fn may_take(left: u64, free_percent: u64, claim: Claim) -> bool {
    let least = match claim {
        Claim::Begun => 0,
        Claim::New => FREE_FOR_NEW,
        Claim::Late => FREE_FOR_LATE,
    };
    left > 0 && free_percent >= least
}

/// Repeats of one pool.
#[derive(Clone, Debug, Default)]
pub struct LeasedRepeats {
    allowance: Option<AllowanceId>,
    issued: u64,
    spent: u64,
    /// When the last ones were used.
    spent_at: VecDeque<Instant>,
    back: u64,
    keep: u64,
    /// What the leader may still issue, in hundredths of the bound.
    free_percent: u64,
    until: Instant,
    /// Requests that asked for a repeat lately, whether there was any or not, and
    /// when each last did.
    asks: VecDeque<(Instant, u64)>,
}

impl LeasedRepeats {
    /// How many may be used.
    pub fn left(&self, now: Instant) -> u64 {
        match now < self.until {
            true => self.unused(),
            false => 0,
        }
    }

    /// Whether it was ever given any.
    pub fn has_allowance(&self) -> bool {
        self.allowance.is_some()
    }

    fn unused(&self) -> u64 {
        self.issued.saturating_sub(self.spent + self.back)
    }

    /// Uses one for such a stream, if there is one for it. `request` tells requests
    /// apart: one that asks again wants no more. One that gets none of the last ones
    /// asks for none.
    pub fn spend(&mut self, now: Instant, claim: Claim, request: u64) -> bool {
        if !self.may_come(claim) {
            return false;
        }
        self.asks.retain(|(_, r)| *r != request);
        self.asks.push_back((now, request));
        self.forget_asks(now);
        let takes = may_take(self.left(now), self.free_percent, claim);
        if takes {
            self.spent += 1;
            self.spent_at.push_back(now);
        }
        takes
    }

    fn forget_asks(&mut self, now: Instant) {
        let old = |(at, _): &(Instant, u64)| now.since(*at) >= ASKED_WITHIN;
        while self.asks.front().is_some_and(old) || self.asks.len() > MOST_ASKS {
            self.asks.pop_front();
        }
    }

    /// How many it wants to hold.
    fn level(&self) -> u64 {
        self.asks.len() as u64
    }

    /// Whether the leader may give one for such a stream when it is asked.
    pub fn may_come(&self, claim: Claim) -> bool {
        may_take(1, self.free_percent, claim)
    }

    /// Whether more are wanted soon.
    pub fn runs_short(&self, now: Instant) -> bool {
        self.left(now) * 2 < self.level().max(self.keep)
    }

    /// What the leader is to hear. What was used counts for `counts_for`.
    pub fn report(
        &mut self,
        now: Instant,
        pool: &str,
        serves: bool,
        counts_for: Duration,
    ) -> PoolReport {
        self.forget_asks(now);
        let old = |at: &Instant| now.since(*at) >= counts_for;
        while self.spent_at.front().is_some_and(old) {
            self.spent_at.pop_front();
        }
        PoolReport {
            pool: pool.to_string(),
            allowance: self.allowance,
            spent: self.spent,
            over: self.spent - self.spent_at.len() as u64,
            back: self.back,
            level: self.level(),
            serves,
        }
    }

    /// Takes what the leader answered to a question sent at `asked`. Whether it gave
    /// more.
    pub fn told(&mut self, asked: Instant, lasts: Duration, grant: &RepeatGrant) -> bool {
        if self.allowance.is_some_and(|mine| grant.allowance < mine) {
            return false;
        }
        if self.allowance != Some(grant.allowance) {
            *self = Self {
                allowance: Some(grant.allowance),
                asks: std::mem::take(&mut self.asks),
                ..Self::default()
            };
        }
        self.until = self.until.max(asked + lasts);
        let more = grant.issued > self.issued;
        self.issued = self.issued.max(grant.issued);
        self.keep = grant.keep;
        self.free_percent = grant.free_percent;
        let keep = self.keep.max(self.level());
        self.back += self.unused().saturating_sub(keep);
        more
    }
}
