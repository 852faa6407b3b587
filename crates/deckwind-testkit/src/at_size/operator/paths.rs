//! What probes may ask for.

use crate::at_size::releases::{Release, marker};
use std::collections::VecDeque;

/// Number of latest versions whose routes are probed.
const PROBED_VERSIONS: usize = 24;

/// Number of latest keys that are probed.
const PROBED_KEYS: usize = 6;

/// What probes may ask for, kept up to date by the operator.
#[derive(Debug, Default)]
pub struct ProbePaths {
    /// Routes that versions added, with the newest acknowledged one last.
    pub markers: VecDeque<String>,
    /// Routes of invalid releases.
    pub invalid: Vec<String>,
    /// Keys that were added, with the newest one last.
    pub keys: Vec<String>,
}

impl ProbePaths {
    /// Adds what a change brought.
    pub fn add(&mut self, release: &Release) {
        self.markers.push_back(marker(release.version));
        while self.markers.len() > PROBED_VERSIONS {
            self.markers.pop_front();
        }
        let added = release.keys.iter().filter(|k| !self.keys.contains(k));
        let added: Vec<String> = added.cloned().collect();
        self.keys.extend(added);
        let old = self.keys.len().saturating_sub(PROBED_KEYS);
        self.keys.drain(..old);
    }
}
