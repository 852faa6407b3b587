//! How long a stream usually pauses between two events.

use std::time::Duration;

/// Parts of a new gap in the mean and in the deviation: as for retransmission
/// timers (RFC 6298, section 2).
const MEAN_PART: f64 = 1.0 / 8.0;
const DEVIATION_PART: f64 = 1.0 / 4.0;

/// Deviations that are still usual. Fewer than the four of such timers: a stream
/// that is called silent too early costs nothing unless others are silent with it.
const USUAL_DEVIATIONS: f64 = 3.0;

/// Parts of the longest pause that is on time: no stream is silent before
/// [`LEAST_PART`], as engines read prompts between two tokens, and each one is by
/// [`MOST_PART`], or nothing could be done in time.
const LEAST_PART: f64 = 0.22;
const MOST_PART: f64 = 0.5;

/// Mean and deviation of the gaps, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Gaps {
    mean: f64,
    deviation: f64,
}

impl Gaps {
    /// Of a stream of which nothing is known but the pause that is on time.
    pub fn unknown(pause: Duration) -> Self {
        let pause = pause.as_secs_f64();
        Self {
            mean: pause * LEAST_PART,
            deviation: pause * LEAST_PART / 2.0,
        }
    }

    /// Takes a gap.
    pub fn add(&mut self, gap: Duration) {
        let gap = gap.as_secs_f64();
        let off = (gap - self.mean).abs();
        self.deviation += (off - self.deviation) * DEVIATION_PART;
        self.mean += (gap - self.mean) * MEAN_PART;
    }

    /// The usual gap.
    pub fn usual(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// After how long a stream is silent, whose longest pause on time is `pause`.
    pub fn silent_after(&self, pause: Duration) -> Duration {
        let pause = pause.as_secs_f64();
        let long = self.mean + USUAL_DEVIATIONS * self.deviation;
        let bound = long.clamp(pause * LEAST_PART, pause * MOST_PART);
        Duration::from_secs_f64(bound)
    }
}
