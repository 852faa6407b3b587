//! Estimate of the usual gap between two events of a stream.

use std::time::Duration;

/// Weights of a new gap in the mean and in the deviation, as for retransmission timers (RFC
/// 6298, section 2).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// Number of deviations within which a gap is usual. Retransmission timers use four; fewer
/// are enough here, since marking a stream as stalled too early costs nothing unless others
/// stall with it.
const USUAL_DEVIATIONS: f64 = 3.0;

/// Bounds of the stall timeout as fractions of the longest pause that is on time. No stream
/// is stalled before [`MIN_TIMEOUT_FRACTION`], since engines read prompts between two
/// tokens, and every stream is by [`MAX_TIMEOUT_FRACTION`], as later there would be no time
/// left to react.
const MIN_TIMEOUT_FRACTION: f64 = 0.22;
const MAX_TIMEOUT_FRACTION: f64 = 0.5;

/// Mean and deviation of the gaps, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct GapEstimate {
    mean: f64,
    deviation: f64,
}

impl GapEstimate {
    /// Initial estimate for a stream of which only the longest pause on time is known.
    pub fn initial(pause: Duration) -> Self {
        let pause = pause.as_secs_f64();
        Self {
            mean: pause * MIN_TIMEOUT_FRACTION,
            deviation: pause * MIN_TIMEOUT_FRACTION / 2.0,
        }
    }

    /// Adds a gap to the estimate.
    pub fn add(&mut self, gap: Duration) {
        let gap = gap.as_secs_f64();
        let error = (gap - self.mean).abs();
        self.deviation += (error - self.deviation) * DEVIATION_WEIGHT;
        self.mean += (gap - self.mean) * MEAN_WEIGHT;
    }

    /// Returns the mean gap.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns the time after the last event at which a stream counts as stalled. `pause`
    /// is its longest pause that is on time.
    pub fn stall_timeout(&self, pause: Duration) -> Duration {
        let pause = pause.as_secs_f64();
        let timeout = self.mean + USUAL_DEVIATIONS * self.deviation;
        let bound = timeout.clamp(pause * MIN_TIMEOUT_FRACTION, pause * MAX_TIMEOUT_FRACTION);
        Duration::from_secs_f64(bound)
    }
}
