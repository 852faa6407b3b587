//! The replicated state machine, which applies committed commands.

use super::claims::{Claim, ClaimLimits, ClaimStatus, ClaimTable};
use super::command::{ApplyRequest, ClaimRequest, Command, CommandBody, Rejection, Reply};
use super::configuration::Configuration;
use super::encoding::{DecodeStateError, from_bytes, to_bytes};
use super::names::{RequestId, Revision};
use super::quarantine::Quarantine;
use super::retry_ledger::RetryLedger;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of recorded results of operator requests. A day has some 9,000 changes
/// at the expected size; the rest is headroom.
const MAX_RESULTS: usize = 16_384;

/// Digest of an operator request and its reply, which a resend of the request gets again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RecordedResult {
    digest: u64,
    reply: Reply,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateMachine {
    clock_ms: u64,
    configuration: Configuration,
    claims: ClaimTable,
    results: BTreeMap<RequestId, RecordedResult>,
    results_order: VecDeque<RequestId>,
    repeats: RetryLedger,
    quarantine: Quarantine,
}

impl StateMachine {
    /// Creates an empty state whose claim table is bounded by `limits`.
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            claims: ClaimTable::new(limits),
            ..Self::default()
        }
    }

    /// Returns the configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Enables or disables the recording of release changes, which a process needs that
    /// sends deltas to routers; see [`Configuration::record_changes`].
    pub fn set_record_changes(&mut self, enable: bool) {
        match enable {
            true => self.configuration.record_changes(),
            false => self.configuration.stop_recording_changes(),
        }
    }

    /// Returns the claim table.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Returns the retry ledger.
    pub fn retry_ledger(&self) -> &RetryLedger {
        &self.repeats
    }

    /// Returns the request contents that crashed targets.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the highest timestamp of all applied commands, milliseconds since the Unix
    /// epoch.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Applies a committed command and returns its reply.
    pub fn apply(&mut self, command: Command) -> Reply {
        self.clock_ms = self.clock_ms.max(command.at_ms);
        match command.body {
            CommandBody::Apply(req) => self.apply_change(req),
            CommandBody::Claim(req) => self.claim(req),
            CommandBody::Finish(req) => {
                self.claims
                    .finish(&req.key, &req.holder, req.nonce, req.outcome);
                Reply::Done
            }
            CommandBody::Publish(published) => match self.configuration.publish(*published) {
                Ok(revision) => Reply::Accepted { revision },
                Err(rejection) => Reply::Rejected(rejection),
            },
            CommandBody::Instances(changes) => Reply::Accepted {
                revision: self.configuration.change_instances(changes),
            },
            CommandBody::HolderGone(holder) => {
                self.claims.mark_holder_gone(&holder);
                Reply::Done
            }
            CommandBody::Suspects(changes) => {
                self.quarantine.apply(changes, self.clock_ms);
                let list = self.quarantine.suspect_list(self.clock_ms);
                self.configuration.set_suspects(list);
                let revision = self.configuration.revision();
                Reply::Accepted { revision }
            }
            CommandBody::Repeats(changes) => {
                self.repeats.apply(changes);
                Reply::Done
            }
        }
    }

    fn claim(&mut self, req: ClaimRequest) -> Reply {
        let claim = Claim {
            holder: req.holder,
            digest: req.digest,
            nonce: req.nonce,
            at_ms: self.clock_ms,
            status: ClaimStatus::InProgress,
        };
        Reply::Claim(self.claims.claim(req.key, claim))
    }

    fn apply_change(&mut self, req: ApplyRequest) -> Reply {
        let digest = request_digest(&req);
        if let Some(first) = self.results.get(&req.request_id) {
            if first.digest == digest {
                return first.reply.clone();
            }
            let id = req.request_id;
            return Reply::Rejected(Rejection::RequestIdReused { id });
        }
        let reply = match self.write(&req) {
            Ok(revision) => Reply::Accepted { revision },
            Err(rejection) => Reply::Rejected(rejection),
        };
        self.record_result(req.request_id, digest, reply.clone());
        reply
    }

    fn write(&mut self, req: &ApplyRequest) -> Result<Revision, Rejection> {
        let current = self.configuration.object_revision(&req.change);
        match req.expected {
            Some(expected) if expected != current => Err(Rejection::Conflict { current }),
            _ => self.configuration.write(req.change.clone()),
        }
    }

    fn record_result(&mut self, id: RequestId, digest: u64, reply: Reply) {
        if self.results_order.len() >= MAX_RESULTS
            && let Some(oldest) = self.results_order.pop_front()
        {
            self.results.remove(&oldest);
        }
        self.results_order.push_back(id.clone());
        self.results.insert(id, RecordedResult { digest, reply });
    }

    /// Encodes the state for a snapshot.
    pub fn to_snapshot(&self) -> Vec<u8> {
        to_bytes(self)
    }

    /// Decodes the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot has another format version or is damaged.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, DecodeStateError> {
        from_bytes(bytes)
    }
}

fn request_digest(req: &ApplyRequest) -> u64 {
    let bytes = postcard::to_stdvec(req).expect("a request always serializes");
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
