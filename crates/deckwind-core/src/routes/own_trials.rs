//! Trials of quarantined contents that one router holds, and those that it wants.

use crate::state::{RequestTrait, RouterProcess, SuspectList, Trial};
use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a trial may be used after the router requested it. Shorter than the delay
/// until the next trial of a content, so that two routers don't run it at the same time.
const TRIAL_WINDOW: Duration = Duration::from_secs(3);

/// Interval between two requests for a trial of the same content.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of contents of which trials are wanted. Others wait until some are not any
/// more.
const MAX_WANTED: usize = 256;

/// Use of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialUse {
    /// No request uses it.
    Free,
    /// A request uses it, and is not sent yet.
    Taken,
    /// The request was sent.
    Run,
}

/// A trial granted to this router.
#[derive(Clone, Debug)]
struct HeldTrial {
    trial: Trial,
    used: TrialUse,
}

/// Trials that this router holds and wants.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnTrials {
    held: HashMap<RequestTrait, HeldTrial>,
    /// Contents of which a trial is wanted, and when that was requested or, for the first time,
    /// noted.
    wanted: HashMap<RequestTrait, Instant>,
    /// Contents for which a trial has not been requested yet, and since when.
    unrequested: Vec<(RequestTrait, Instant)>,
}

impl OwnTrials {
    /// Takes over the trials that the list grants to this process.
    pub fn accept(&mut self, own: &RouterProcess, list: &SuspectList) {
        self.held
            .retain(|content, held| list.trial_of(content) == Some(&held.trial));
        for (content, trial) in list.trials() {
            if trial.router == *own {
                self.held.entry(*content).or_insert_with(|| HeldTrial {
                    trial: trial.clone(),
                    used: TrialUse::Free,
                });
            }
        }
    }

    /// Returns whether a request with the content may use a trial.
    pub fn is_free(&self, now: Instant, content: &RequestTrait) -> bool {
        let is_free = |held: &HeldTrial| {
            held.used == TrialUse::Free && now.since(held.trial.requested) < TRIAL_WINDOW
        };
        self.held.get(content).is_some_and(is_free)
    }

    /// Changes the use of a trial. Returns whether it was `from` before.
    pub fn change(&mut self, content: &RequestTrait, from: TrialUse, to: TrialUse) -> bool {
        let Some(held) = self.held.get_mut(content).filter(|h| h.used == from) else {
            return false;
        };
        held.used = to;
        true
    }

    /// Notes that a trial of a quarantined content is wanted. Returns whether it will be
    /// requested now: no trial is due when a content has just been quarantined.
    pub fn want(&mut self, now: Instant, content: RequestTrait) -> bool {
        let is_recent = |at: &Instant| now.since(*at) < REQUEST_INTERVAL;
        let noted = self.wanted.get(&content).copied();
        if noted.as_ref().is_some_and(is_recent) {
            return false;
        }
        if self.wanted.len() >= MAX_WANTED {
            self.wanted.retain(|_, at| is_recent(at));
        }
        if self.wanted.len() >= MAX_WANTED {
            return false;
        }
        self.wanted.insert(content, now);
        if noted.is_some() {
            self.unrequested.push((content, now));
        }
        noted.is_some()
    }

    /// Takes the contents of which trials are to be requested, each with the time from which on
    /// its trial may be used.
    pub fn take_unrequested(&mut self) -> Vec<(RequestTrait, Instant)> {
        std::mem::take(&mut self.unrequested)
    }
}
