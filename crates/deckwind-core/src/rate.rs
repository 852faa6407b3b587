//! Rates of requests.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Requests a second, counted in thousandths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rate(u32);

/// More than any target serves: its slots are some hundreds, its fastest answers take
/// milliseconds. A limit as high binds nobody.
const UNLIMITED: f64 = 10_000.0;

impl Rate {
    /// So many thousandths of a request a second.
    pub const fn from_millis(thousandths: u32) -> Self {
        Self(thousandths)
    }

    /// So many requests a second, rounded down to thousandths; nothing where that is
    /// more than any target serves.
    ///
    /// # Errors
    /// If it is negative or no number.
    pub fn per_second(requests: f64) -> Result<Option<Self>, NotARate> {
        if requests.is_nan() || requests < 0.0 {
            return Err(NotARate);
        }
        let bounded = requests < UNLIMITED;
        Ok(bounded.then_some(Self((requests * 1e3) as u32)))
    }

    /// Time between two requests at this rate.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1e3 / f64::from(self.0.max(1)))
    }
}

/// A negative rate, or no number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotARate;

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", f64::from(self.0) / 1e3)
    }
}
