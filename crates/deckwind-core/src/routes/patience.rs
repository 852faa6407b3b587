//! Tells callers that come back from those that ask for the first time.
//!
//! A caller says how long it will still wait. One that was refused and comes back
//! says less than it did at first. How much callers of a route have at first is
//! not told; it is the most that any of them has said.

use std::collections::HashMap;
use std::time::Duration;

/// The longest patience of callers, by route.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    longest: HashMap<String, Duration>,
}

impl Patience {
    /// Whether a caller that will still wait for `patience` has been asking for
    /// longer than the route's objective: it is late whatever is done.
    pub fn is_late(&mut self, route: &str, patience: Duration, objective: Duration) -> bool {
        let longest = match self.longest.get_mut(route) {
            Some(longest) => longest,
            None => self.longest.entry(route.to_string()).or_default(),
        };
        *longest = patience.max(*longest);
        patience + objective < *longest
    }

    /// Forgets routes that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.longest.retain(|route, _| keep(route));
    }
}
