//! Distinguishes returning callers from those that ask for the first time.
//!
//! A caller sends the time for which it will still wait. A caller that was refused and
//! comes back sends a shorter time than at first. The initial time of a route's callers is
//! not known in advance; the longest time that any of them has sent is used.

use std::collections::HashMap;
use std::time::Duration;

/// Longest waiting time that callers have sent, by route.
#[derive(Clone, Debug, Default)]
pub struct ReturningCallers {
    longest: HashMap<String, Duration>,
}

impl ReturningCallers {
    /// Whether a caller that will still wait for `wait_time` has been asking for longer than
    /// the route's objective, so that its answer will be late in any case.
    pub fn is_late(&mut self, route: &str, wait_time: Duration, objective: Duration) -> bool {
        let longest = match self.longest.get_mut(route) {
            Some(longest) => longest,
            None => self.longest.entry(route.to_string()).or_default(),
        };
        *longest = wait_time.max(*longest);
        wait_time + objective < *longest
    }

    /// Removes routes that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.longest.retain(|route, _| keep(route));
    }
}
