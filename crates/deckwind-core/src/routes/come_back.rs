//! When a caller whose request has not run should come back.
//!
//! By what is best for the caller: soon, where the reason is this router's alone
//! and the answer can still be in time; later, where everybody has to wait for
//! the same thing. Spread at random, so that many who were refused at once don't
//! return at once.

use crate::state::QUARANTINED_FOR_MS;
use std::time::Duration;

/// Time over which those come back who wait for the end of a rest, ms: as for other
/// targets that are not there.
const AFTER_REST_MS: f64 = 500.0;

/// Why a request was refused without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The router has no lease.
    NoLease,
    /// The router stops or is cut off: others serve.
    OtherRouter,
    /// The router may send nothing again for now; others have repeats of their
    /// own.
    NoRepeat,
    /// One target refused; others stand ready.
    NotTaken,
    /// No target is there, or several refused.
    NoTarget,
    /// All targets are full.
    Full,
    /// All targets want to be left alone, the first of them for so long yet.
    Resting(Duration),
    /// Targets have ended under what it asks for.
    Quarantined,
}

impl Refusal {
    /// Least and most time until the caller may come back, ms.
    fn bounds_ms(self) -> (f64, f64) {
        match self {
            Refusal::NoLease => (300.0, 900.0),
            Refusal::OtherRouter => (10.0, 60.0),
            // What the other router sends first costs no repeat, and a stream that
            // begins at once can still be in time.
            Refusal::NoRepeat => (20.0, 120.0),
            // A try at another target can still be in time.
            Refusal::NotTaken => (10.0, 60.0),
            Refusal::NoTarget => (200.0, 700.0),
            Refusal::Full => (400.0, 2_000.0),
            // Those that come back together would be turned away together.
            Refusal::Resting(left) => {
                let left = left.as_secs_f64() * 1e3;
                (left, left + AFTER_REST_MS)
            }
            // Nobody serves it sooner; see `state::quarantine`.
            Refusal::Quarantined => (QUARANTINED_FOR_MS as f64, QUARANTINED_FOR_MS as f64 * 1.1),
        }
    }

    /// When to come back; `draw` is a random number in 0..1.
    pub fn come_back_after(self, draw: f64) -> Duration {
        let (least, most) = self.bounds_ms();
        Duration::from_secs_f64((least + (most - least) * draw) / 1e3)
    }
}
