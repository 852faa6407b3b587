//! Request rates.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Request rate, stored in thousandths of a request per second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rate(u32);

/// Requests per second from which on a limit is treated as no limit. No target serves
/// as many: it has a few hundred slots, and its fastest answers take milliseconds.
const UNLIMITED_PER_SECOND: f64 = 10_000.0;

impl Rate {
    /// Creates a rate from thousandths of a request per second.
    pub const fn from_millis(thousandths: u32) -> Self {
        Self(thousandths)
    }

    /// Creates a rate from requests per second, rounded down to thousandths. Returns
    /// `None` for 10,000 requests per second and more, which no target serves.
    ///
    /// # Errors
    /// Returns an error if the number is negative or NaN.
    pub fn per_second(requests: f64) -> Result<Option<Self>, InvalidRate> {
        if requests.is_nan() || requests < 0.0 {
            return Err(InvalidRate);
        }
        let is_limit = requests < UNLIMITED_PER_SECOND;
        Ok(is_limit.then_some(Self((requests * 1e3) as u32)))
    }

    /// Returns the time between two requests at this rate.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1e3 / f64::from(self.0.max(1)))
    }
}

/// Error for a rate that is negative or NaN.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRate;

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", f64::from(self.0) / 1e3)
    }
}
