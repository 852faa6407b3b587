//! Claims: at-most-once execution of requests that must not be retried.
//!
//! ```text
//!            Claim                Finish(outcome)
//!  (absent) ───────► InProgress ───────────────────► Ended(outcome)
//!                        │ HolderGone / Finish(Unknown)
//!                        └──────────────────────────► Ended(Unknown)
//! ```
//!
//! A claim is committed before the first byte of the request goes to a target.
//! A router that finds the key already claimed does not send the request: it
//! gets the recorded answer, `InProgress` or `Unknown`. The `NotRun` outcome
//! frees the key, because the request certainly did not run.

use super::names::{AccountName, VmName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A router process that holds claims. A restarted router is a different holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterProcess {
    /// The VM that the process runs on.
    pub vm: VmName,
    /// Random number drawn at the start of the process.
    pub boot: u64,
}

/// Key of a claim. Scoped by account, so equal keys of two accounts do not collide.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The client account.
    pub account: AccountName,
    /// `Idempotency-Key` of the request, or a key that the router generated.
    pub key: String,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request was answered; holds the answer as sent to the caller.
    Answer {
        /// HTTP status.
        status: u16,
        /// Body; empty if it exceeded the size limit.
        body: Vec<u8>,
        /// Whether the body was omitted because it exceeded the size limit.
        truncated: bool,
    },
    /// The request certainly did not run; the key is free again.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Status of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// The holder may be running the request.
    InProgress,
    /// The request ended with an answer, or may have run.
    Ended(Outcome),
}

/// A row of the claim table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Router process that made the claim.
    pub holder: RouterProcess,
    /// Digest of the request.
    pub digest: u64,
    /// Identifies the attempt, which distinguishes a resend by the same holder from
    /// another attempt.
    pub nonce: u64,
    /// Time of the claim, milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Current status.
    pub status: ClaimStatus,
}

/// Answer to a claim: what the router may do with the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The router holds the claim and may send the request once.
    Granted,
    /// The request was already answered; the router returns the recorded answer.
    Recorded(Outcome),
    /// Another attempt is running the request; the caller should retry later.
    InProgress,
    /// The request may have run and must not be sent.
    Unknown,
    /// The key was already used with a different request.
    OtherRequest,
    /// The table is full; the router refuses the request as not run.
    Full,
}

/// Limits of the claim table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLimits {
    /// Retention time of ended claims, milliseconds.
    pub keep_ms: u64,
    /// Maximum number of rows.
    pub max_rows: usize,
    /// Maximum total size of recorded answer bodies, bytes.
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

/// All claims, and the order in which they were made.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredClaims", into = "StoredClaims")]
pub struct ClaimTable {
    rows: BTreeMap<ClaimKey, Claim>,
    order: VecDeque<(u64, ClaimKey)>,
    answer_bytes: usize,
    limits: ClaimLimits,
    /// Keys of the claims in progress by their holders, so that the loss of a holder costs its
    /// own claims only.
    in_progress: BTreeMap<RouterProcess, BTreeSet<ClaimKey>>,
}

/// The table in snapshots, without its index.
#[derive(Serialize, Deserialize)]
struct StoredClaims {
    rows: BTreeMap<ClaimKey, Claim>,
    order: VecDeque<(u64, ClaimKey)>,
    answer_bytes: usize,
    limits: ClaimLimits,
}

impl From<ClaimTable> for StoredClaims {
    fn from(table: ClaimTable) -> Self {
        Self {
            rows: table.rows,
            order: table.order,
            answer_bytes: table.answer_bytes,
            limits: table.limits,
        }
    }
}

impl From<StoredClaims> for ClaimTable {
    fn from(stored: StoredClaims) -> Self {
        let mut in_progress: BTreeMap<RouterProcess, BTreeSet<ClaimKey>> = BTreeMap::new();
        for (key, claim) in &stored.rows {
            if claim.status == ClaimStatus::InProgress {
                let keys = in_progress.entry(claim.holder.clone()).or_default();
                keys.insert(key.clone());
            }
        }
        Self {
            rows: stored.rows,
            order: stored.order,
            answer_bytes: stored.answer_bytes,
            limits: stored.limits,
            in_progress,
        }
    }
}

impl ClaimTable {
    /// Creates an empty table with these limits.
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the claim on `key`.
    pub fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.rows.get(key)
    }

    /// Claims `key` for the holder, or returns the state of the existing claim.
    pub(super) fn claim(&mut self, key: ClaimKey, claim: Claim) -> ClaimVerdict {
        self.expire(claim.at_ms);
        if let Some(old) = self.rows.get(&key) {
            return verdict_on_existing(old, &claim);
        }
        if self.rows.len() >= self.limits.max_rows {
            return ClaimVerdict::Full;
        }
        self.order.push_back((claim.at_ms, key.clone()));
        let keys = self.in_progress.entry(claim.holder.clone()).or_default();
        keys.insert(key.clone());
        self.rows.insert(key, claim);
        ClaimVerdict::Granted
    }

    /// Records the outcome of a claim, if `holder` holds it. An `Unknown` outcome
    /// is replaced if the holder turns out to be alive. `nonce` identifies the
    /// attempt, so a late or duplicate outcome does not end a later attempt.
    pub(super) fn finish(
        &mut self,
        key: &ClaimKey,
        holder: &RouterProcess,
        nonce: u64,
        outcome: Outcome,
    ) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        let unresolved = matches!(
            row.status,
            ClaimStatus::InProgress | ClaimStatus::Ended(Outcome::Unknown)
        );
        if row.holder != *holder || row.nonce != nonce || !unresolved {
            return;
        }
        if let Some(keys) = self.in_progress.get_mut(holder) {
            keys.remove(key);
            if keys.is_empty() {
                self.in_progress.remove(holder);
            }
        }
        if outcome == Outcome::NotRun {
            self.rows.remove(key);
            return;
        }
        let outcome = truncate_body(outcome, self.limits.max_answer_bytes - self.answer_bytes);
        self.answer_bytes += body_len(&outcome);
        row.status = ClaimStatus::Ended(outcome);
    }

    /// Returns the distinct holders of claims in progress.
    pub fn holders_in_progress(&self) -> BTreeSet<RouterProcess> {
        self.in_progress.keys().cloned().collect()
    }

    /// Returns the number of rows that are scanned if this holder is lost.
    pub fn rows_of(&self, holder: &RouterProcess) -> usize {
        self.in_progress.get(holder).map_or(0, BTreeSet::len)
    }

    /// Marks all claims in progress of a lost holder as `Unknown`: the requests may
    /// have run.
    pub(super) fn mark_holder_gone(&mut self, holder: &RouterProcess) {
        for key in self.in_progress.remove(holder).unwrap_or_default() {
            if let Some(row) = self.rows.get_mut(&key) {
                row.status = ClaimStatus::Ended(Outcome::Unknown);
            }
        }
    }

    /// Removes ended claims older than the retention time. A claim in progress is
    /// kept regardless of its age, because removing it would let the request run
    /// again.
    fn expire(&mut self, now_ms: u64) {
        let mut still_running = Vec::new();
        while let Some((at_ms, _)) = self.order.front() {
            if at_ms + self.limits.keep_ms > now_ms {
                break;
            }
            let (at_ms, key) = self.order.pop_front().expect("the queue has a front entry");
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
            self.answer_bytes -= body_len(outcome);
        }
    }
}

fn verdict_on_existing(old: &Claim, new: &Claim) -> ClaimVerdict {
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

fn body_len(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Answer { body, .. } => body.len(),
        _ => 0,
    }
}

/// Drops the body of an answer that exceeds `max_body_bytes`. The outcome itself is
/// kept, because it records that the request ran.
fn truncate_body(outcome: Outcome, max_body_bytes: usize) -> Outcome {
    match outcome {
        Outcome::Answer { status, body, .. } if body.len() > max_body_bytes => Outcome::Answer {
            status,
            body: Vec::new(),
            truncated: true,
        },
        other => other,
    }
}
