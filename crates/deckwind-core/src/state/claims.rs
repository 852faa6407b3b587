//! Claims: at most one run of a request that may not be repeated.
//!
//! ```text
//!            Claim                Finish(outcome)
//!  (absent) ───────► InProgress ───────────────────► Done(outcome)
//!                        │ HolderGone / Finish(unknown)
//!                        └──────────────────────────► Unknown
//! ```
//!
//! The claim is committed before the first byte goes to a target. Whoever
//! finds the key taken never sends: it gets the recorded answer, "in
//! progress", or "unknown". A `NotRun` outcome frees the key, since then the
//! request certainly did not run.

use super::names::{AccountName, VmName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A router's process: a restarted router is another holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Its VM.
    pub vm: VmName,
    /// Random number of this start of the process.
    pub boot: u64,
}

/// Whose request: the key of one account never meets another account's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The client account.
    pub account: AccountName,
    /// Its `Idempotency-Key`, or the one that the router made.
    pub key: String,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The answer, as given to the caller.
    Answer {
        /// HTTP status.
        status: u16,
        /// Body; empty if it was above the bound.
        body: Vec<u8>,
        /// Whether the body was above the bound and was left out.
        truncated: bool,
    },
    /// It was certainly not run: the key is free again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Where a claim is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// Its holder may be running it.
    InProgress,
    /// Ended with an answer, or possibly run.
    Ended(Outcome),
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Who claimed it.
    pub holder: Holder,
    /// Digest of the request.
    pub digest: u64,
    /// Names the holder's try, so that its resend is told from another's try.
    pub nonce: u64,
    /// When it was claimed, milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Where it is.
    pub status: ClaimStatus,
}

/// What a router may do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim is yours: send it, once.
    Granted,
    /// It was answered before: give the recorded answer.
    Recorded(Outcome),
    /// Another try is running it: say when to come back.
    InProgress,
    /// It may have run: never send it.
    Unknown,
    /// The same key came with another request.
    OtherRequest,
    /// The table is full: refuse as not run.
    Full,
}

/// Bounds of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLimits {
    /// How long an ended claim is remembered, milliseconds.
    pub keep_ms: u64,
    /// Most rows.
    pub max_rows: usize,
    /// Most bytes of recorded answers.
    pub max_answer_bytes: usize,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            keep_ms: 24 * 3_600_000,
            max_rows: 100_000,
            max_answer_bytes: 16 * 1024 * 1024,
        }
    }
}

/// All claims, with the order in which they were made.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    rows: BTreeMap<ClaimKey, Claim>,
    order: VecDeque<(u64, ClaimKey)>,
    answer_bytes: usize,
    limits: ClaimLimits,
}

impl ClaimTable {
    /// An empty table with these bounds.
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there is no row.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The claim on this key.
    pub fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.rows.get(key)
    }

    /// Claims `key` for a holder, or says what became of it.
    pub(super) fn claim(&mut self, key: ClaimKey, claim: Claim) -> ClaimVerdict {
        self.expire(claim.at_ms);
        if let Some(old) = self.rows.get(&key) {
            return verdict(old, &claim);
        }
        if self.rows.len() >= self.limits.max_rows {
            return ClaimVerdict::Full;
        }
        self.order.push_back((claim.at_ms, key.clone()));
        self.rows.insert(key, claim);
        ClaimVerdict::Granted
    }

    /// Records how a claim ended, if `holder` holds it. What was unknown becomes
    /// known if the holder turns out to be alive. `nonce` names the try: an
    /// outcome that comes late or twice does not end a later one.
    pub(super) fn finish(&mut self, key: &ClaimKey, holder: &Holder, nonce: u64, outcome: Outcome) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        let open = matches!(
            row.status,
            ClaimStatus::InProgress | ClaimStatus::Ended(Outcome::Unknown)
        );
        if row.holder != *holder || row.nonce != nonce || !open {
            return;
        }
        if outcome == Outcome::NotRun {
            self.rows.remove(key);
            return;
        }
        let outcome = fit(outcome, self.limits.max_answer_bytes - self.answer_bytes);
        self.answer_bytes += size(&outcome);
        row.status = ClaimStatus::Ended(outcome);
    }

    /// Holders of claims in progress, each once.
    pub fn holders_in_progress(&self) -> BTreeSet<Holder> {
        let running = |c: &&Claim| c.status == ClaimStatus::InProgress;
        let rows = self.rows.values().filter(running);
        rows.map(|c| c.holder.clone()).collect()
    }

    /// What a holder that is gone had claimed may have run.
    pub(super) fn holder_gone(&mut self, holder: &Holder) {
        for row in self.rows.values_mut() {
            if row.holder == *holder && row.status == ClaimStatus::InProgress {
                row.status = ClaimStatus::Ended(Outcome::Unknown);
            }
        }
    }

    /// Drops ended claims past their time. One in progress stays, whatever its
    /// age: forgetting it would let the request run again.
    fn expire(&mut self, now_ms: u64) {
        let mut still_running = Vec::new();
        while let Some((at_ms, _)) = self.order.front() {
            if at_ms + self.limits.keep_ms > now_ms {
                break;
            }
            let (at_ms, key) = self.order.pop_front().expect("front was there");
            match self.rows.get(&key) {
                Some(row) if row.at_ms != at_ms => {}
                Some(row) if row.status == ClaimStatus::InProgress => {
                    still_running.push((at_ms, key));
                }
                Some(_) => self.remove(&key),
                None => {}
            }
        }
        for entry in still_running.into_iter().rev() {
            self.order.push_front(entry);
        }
    }

    fn remove(&mut self, key: &ClaimKey) {
        let Some(row) = self.rows.remove(key) else {
            return;
        };
        if let ClaimStatus::Ended(outcome) = &row.status {
            self.answer_bytes -= size(outcome);
        }
    }
}

fn verdict(old: &Claim, new: &Claim) -> ClaimVerdict {
    if old.digest != new.digest {
        return ClaimVerdict::OtherRequest;
    }
    let resend = old.holder == new.holder && old.nonce == new.nonce;
    match &old.status {
        ClaimStatus::InProgress if resend => ClaimVerdict::Granted,
        ClaimStatus::InProgress => ClaimVerdict::InProgress,
        ClaimStatus::Ended(Outcome::Unknown) => ClaimVerdict::Unknown,
        ClaimStatus::Ended(outcome) => ClaimVerdict::Recorded(outcome.clone()),
    }
}

fn size(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Answer { body, .. } => body.len(),
        _ => 0,
    }
}

/// Leaves the body out where it does not fit: that it ran is what must stay.
fn fit(outcome: Outcome, room: usize) -> Outcome {
    match outcome {
        Outcome::Answer { status, body, .. } if body.len() > room => Outcome::Answer {
            status,
            body: Vec::new(),
            truncated: true,
        },
        other => other,
    }
}
