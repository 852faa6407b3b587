//! When the leader has the list of suspects derived from the evidence on crashes.
//!
//! The work grows with the evidence and is done beside the replica's thread, on the same
//! processors. One derivation runs at a time, and the next one waits for a multiple of its time.

use crate::state::EvidenceVersion;
use crate::time::Instant;
use std::time::Duration;

/// Pause after a derivation, as a multiple of the time that it took: it takes a fifth of a
/// processor at most.
const PAUSE_FACTOR: u32 = 4;

/// Bounds of the pause. A quarantine must begin within 500 ms of the third crash.
const MIN_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Time after which a derivation without a result counts as lost.
const RESULT_TIMEOUT: Duration = Duration::from_secs(5);

/// A derivation that runs.
#[derive(Clone, Copy, Debug)]
struct Running {
    version: EvidenceVersion,
    started: Instant,
}

/// Schedule of derivations in the term of one leader.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DerivationSchedule {
    /// Version of the evidence in the last result. A new leader derives once, as the result of an
    /// earlier leader may be lost.
    derived: Option<EvidenceVersion>,
    running: Option<Running>,
    next: Option<Instant>,
}

impl DerivationSchedule {
    /// Starts a derivation from this version of the evidence if one is due, and returns whether
    /// it does.
    pub fn start_if_due(&mut self, now: Instant, version: EvidenceVersion) -> bool {
        let is_running = |r: Running| now.since(r.started) < RESULT_TIMEOUT;
        let is_known = self.derived == Some(version);
        let is_early = self.next.is_some_and(|next| now < next);
        if is_known || is_early || self.running.is_some_and(is_running) {
            return false;
        }
        let started = now;
        self.running = Some(Running { version, started });
        true
    }

    /// Records the result for a version of the evidence. Returns whether it was awaited. A list that
    /// `awaits_answers` of routers is derived again from the same evidence.
    pub fn finish(&mut self, now: Instant, version: EvidenceVersion, awaits_answers: bool) -> bool {
        let Some(running) = self.running.filter(|r| r.version == version) else {
            return false;
        };
        let took = now.since(running.started);
        self.next = Some(now + (took * PAUSE_FACTOR).clamp(MIN_PAUSE, MAX_PAUSE));
        self.derived = (!awaits_answers).then_some(version);
        self.running = None;
        true
    }
}
