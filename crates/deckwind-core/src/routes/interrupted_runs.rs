//! Counts, at one router, the target crashes for each request content. Requests on which
//! targets crash are called poison requests and are quarantined.
//!
//! An interrupted run by itself is weak evidence: the connection may have broken or the
//! caller left. It counts against its request content if the target incarnation that ran it
//! is known to have crashed and the run had only just begun. A poison request crashes its
//! targets as they begin to run it (40 to 115 ms after); streams that ran for longer were
//! only there by chance.
//!
//! ```text
//!  interrupted, just begun ──► waits ── incarnation crashed ──► a crash is counted ──► leader
//!  interrupted, ran for long ─┐
//!  answered in full ──────────┴─► served: earlier crashes are forgotten ─────────────► leader
//! ```
//!
//! A stream that ended with its connection between two events was answered in full as far as
//! its caller can know. Its target may have crashed all the same, so a short one says nothing.

use crate::control::{DEFAULT_ANNOUNCE_INTERVAL, MAX_MISSED_ANNOUNCEMENTS};
use crate::state::{
    ContentDigest, Incarnation, MAX_ENDS, QUARANTINE_THRESHOLD, SuspectChange, SuspectList,
};
use crate::time::Instant;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// A run that continues for this long after its first event is not what crashed its target.
/// This is four times as long as poison requests take to crash one. If all streams that a
/// crash breaks off were counted, streams that are moved together would be quarantined by
/// chance.
pub const MAX_POISON_RUN_TIME: Duration = Duration::from_millis(500);

/// Time for which an interrupted run waits for the crash of its incarnation to be known, in
/// announcement periods plus a fixed time. A silent target counts as such after some of its
/// periods; that is then agreed on and sent to the routers.
const WAIT_PERIODS: u32 = MAX_MISSED_ANNOUNCEMENTS;
const WAIT_MARGIN: Duration = Duration::from_millis(2_400);

/// Time for which a request content that was served completely is exempt from counting at
/// this router. Targets that crash together, for instance with their data centre, must not
/// quarantine one that many callers request at the same time.
const SERVED_EXEMPTION: Duration = Duration::from_secs(10);

/// Time for which a crash counts that is not agreed, as in the agreed state.
const OWN_CRASHES_TTL: Duration = Duration::from_secs(10 * 60);

/// Time for which two or more crashes count that are missing from the agreed list. A router
/// that could not reach the leader for this long has no lease, so a missing request content
/// was served at other routers.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of waiting runs, ended incarnations, request contents with crashes, and
/// unreported changes, each. More than a router has streams. The oldest entry of a queue is
/// dropped.
const MAX_ENTRIES: usize = 1_024;

/// Maximum number of recently served request contents: ten seconds of nine times a router's
/// load at 30,000 requests a second over 350 routers.
const MAX_SERVED: usize = 8_192;

#[derive(Clone, Debug)]
struct PendingRun {
    content: ContentDigest,
    incarnation: Incarnation,
    /// Whether an event of the run had come.
    begun: bool,
    until: Instant,
}

/// Crashes for one request content that this router observed.
#[derive(Clone, Debug)]
struct OwnCrashes {
    incarnations: Vec<Incarnation>,
    /// Number of crashes known when the last one was recorded, including those seen by
    /// other routers.
    known_crashes: usize,
    last_crash: Instant,
}

/// Request contents and target crashes known to one router.
#[derive(Clone, Debug)]
pub struct InterruptedRuns {
    pending_timeout: Duration,
    pending: VecDeque<PendingRun>,
    /// Recently ended incarnations. A run may be noticed as interrupted after its target
    /// crashed.
    ended_incarnations: VecDeque<(Incarnation, Instant)>,
    /// Crashes that this router observed and that are not agreed.
    own_crashes: HashMap<ContentDigest, OwnCrashes>,
    served: HashMap<ContentDigest, Instant>,
    /// The agreed list of suspects.
    agreed: Arc<SuspectList>,
    unreported: VecDeque<SuspectChange>,
}

fn push_bounded<T>(queue: &mut VecDeque<T>, value: T) {
    if queue.len() >= MAX_ENTRIES {
        queue.pop_front();
    }
    queue.push_back(value);
}

impl Default for InterruptedRuns {
    /// Returns a tracker for targets that announce themselves at the default period.
    fn default() -> Self {
        Self::with_period(DEFAULT_ANNOUNCE_INTERVAL)
    }
}

impl InterruptedRuns {
    /// Returns an empty tracker for targets with this announcement period.
    pub fn with_period(period: Duration) -> Self {
        Self {
            pending_timeout: period * WAIT_PERIODS + WAIT_MARGIN,
            pending: VecDeque::new(),
            ended_incarnations: VecDeque::new(),
            own_crashes: HashMap::new(),
            served: HashMap::new(),
            agreed: Arc::default(),
            unreported: VecDeque::new(),
        }
    }

    /// Records an interrupted run. `ran` is the time since its first event, if there was
    /// one. Returns whether the run may have crashed its target.
    pub fn record_interrupted(
        &mut self,
        now: Instant,
        content: ContentDigest,
        incarnation: &Incarnation,
        ran: Option<Duration>,
    ) -> bool {
        if ran.is_some_and(|ran| ran >= MAX_POISON_RUN_TIME) {
            self.record_served(now, content);
        }
        self.remove_expired(now);
        if self.is_exempt(now, &content) {
            return false;
        }
        if self
            .ended_incarnations
            .iter()
            .any(|(ended, _)| ended == incarnation)
        {
            // Another router may have seen the same crash, and it may already be agreed.
            self.record_crash(now, content, incarnation.clone(), ran.is_some(), 0);
        } else {
            let until = now + self.pending_timeout;
            let incarnation = incarnation.clone();
            push_bounded(
                &mut self.pending,
                PendingRun {
                    content,
                    incarnation,
                    begun: ran.is_some(),
                    until,
                },
            );
        }
        true
    }

    /// Records that a target has run the request content and is still there.
    pub fn record_served(&mut self, now: Instant, content: ContentDigest) {
        if self.served.len() >= MAX_SERVED {
            self.served
                .retain(|_, at| now.since(*at) < SERVED_EXEMPTION);
        }
        if self.served.len() < MAX_SERVED {
            self.served.insert(content, now);
        }
        self.pending.retain(|w| w.content != content);
        let had_crashes = self.own_crashes.remove(&content).is_some();
        if had_crashes || self.agreed.crash_count(&content) > 0 {
            push_bounded(&mut self.unreported, SuspectChange::Served(content));
        }
    }

    /// Records a run whose answer looks whole, but ended with its connection, as it does if
    /// the target crashes. It counts as served if it ran for long enough; `ran` is the time
    /// since its first event, if there was one.
    pub fn record_closed(&mut self, now: Instant, content: ContentDigest, ran: Option<Duration>) {
        if ran.is_some_and(|ran| ran >= MAX_POISON_RUN_TIME) {
            self.record_served(now, content);
        }
    }

    /// Records incarnations that crashed. Returns the request contents that were running
    /// there, with the incarnation.
    pub fn record_ended_incarnations(
        &mut self,
        now: Instant,
        incarnations: Vec<Incarnation>,
    ) -> Vec<(ContentDigest, Incarnation)> {
        self.remove_expired(now);
        let pending = std::mem::take(&mut self.pending);
        let (cut, rest): (Vec<_>, Vec<_>) = pending
            .into_iter()
            .partition(|w| incarnations.contains(&w.incarnation));
        self.pending = rest.into();
        for incarnation in incarnations {
            push_bounded(&mut self.ended_incarnations, (incarnation, now));
        }
        for w in &cut {
            let before = self.agreed.crash_count(&w.content);
            self.record_crash(now, w.content, w.incarnation.clone(), w.begun, before);
        }
        cut.into_iter()
            .map(|w| (w.content, w.incarnation))
            .collect()
    }

    /// Records the crash of an incarnation for a request content. `begun` says whether an
    /// event had come from there; `before` is the number of agreed crashes that are
    /// certainly different from this one.
    fn record_crash(
        &mut self,
        now: Instant,
        content: ContentDigest,
        life: Incarnation,
        begun: bool,
        before: usize,
    ) {
        if self.own_crashes.len() >= MAX_ENTRIES {
            self.own_crashes
                .retain(|_, own| now.since(own.last_crash) < OWN_CRASHES_TTL);
        }
        if self.own_crashes.len() >= MAX_ENTRIES && !self.own_crashes.contains_key(&content) {
            return;
        }
        if self.counted_own_crashes(now, &content) == 0 {
            self.own_crashes.remove(&content);
        }
        let own = self
            .own_crashes
            .entry(content)
            .or_insert_with(|| OwnCrashes {
                incarnations: Vec::new(),
                known_crashes: 0,
                last_crash: now,
            });
        own.last_crash = now;
        if own.incarnations.contains(&life) || own.incarnations.len() >= MAX_ENDS {
            return;
        }
        own.incarnations.push(life.clone());
        // Counted on top of the agreed crashes, which can't include this one yet: from the
        // third crash on, the router that saw it sends the request content to no target.
        own.known_crashes = own.known_crashes.max(before) + 1;
        let end = SuspectChange::Ended {
            content,
            life,
            begun,
        };
        push_bounded(&mut self.unreported, end);
    }

    /// Replaces the agreed list and returns the previous one. Crashes that this router
    /// observed are forgotten once the request content is quarantined, and when the agreed
    /// count falls, since they expire with the agreed state.
    pub fn set_agreed(&mut self, now: Instant, list: Arc<SuspectList>) -> Arc<SuspectList> {
        let before = std::mem::replace(&mut self.agreed, list.clone());
        self.own_crashes.retain(|content, _| {
            let agreed = list.crash_count(content);
            let no_longer = agreed < before.crash_count(content);
            !no_longer && agreed < QUARANTINE_THRESHOLD
        });
        self.report_exempt(now, &before);
        before
    }

    /// Reports request contents that this router recently served as served, so that the
    /// other routers exempt them too. A router that has just started has served nothing and
    /// would quarantine a popular one after three unrelated crashes.
    fn report_exempt(&mut self, now: Instant, before: &SuspectList) {
        let increased = |c: &&ContentDigest| self.agreed.crash_count(c) > before.crash_count(c);
        let increased = self.agreed.contents().filter(increased);
        let served = increased.filter(|c| self.is_exempt(now, c));
        let served: Vec<ContentDigest> = served.copied().collect();
        for content in served {
            push_bounded(&mut self.unreported, SuspectChange::Served(content));
        }
    }

    /// The number of crashes that count by this router's own observations.
    fn counted_own_crashes(&self, now: Instant, content: &ContentDigest) -> usize {
        let Some(own) = self.own_crashes.get(content) else {
            return 0;
        };
        let age = now.since(own.last_crash);
        let cleared = own.known_crashes > 1
            && self.agreed.crash_count(content) == 0
            && age >= AGREEMENT_TIMEOUT;
        match age >= OWN_CRASHES_TTL || cleared {
            true => 0,
            false => own.known_crashes,
        }
    }

    /// Whether a request with this content may be sent to a target. Interrupted runs whose
    /// targets may have crashed count until the outcome is known.
    pub fn may_send(&mut self, now: Instant, content: &ContentDigest) -> bool {
        self.remove_expired(now);
        let known = self
            .counted_own_crashes(now, content)
            .max(self.agreed.crash_count(content));
        if known >= QUARANTINE_THRESHOLD {
            return false;
        }
        let pending = self.pending.iter().filter(|w| w.content == *content);
        let mut incarnations: Vec<&Incarnation> = pending.map(|w| &w.incarnation).collect();
        incarnations.sort_unstable();
        incarnations.dedup();
        known + incarnations.len() < QUARANTINE_THRESHOLD
    }

    /// Whether there are changes that the leader has not received.
    pub fn has_unreported_changes(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Takes the changes that the leader has not received.
    pub fn take_unreported_changes(&mut self) -> Vec<SuspectChange> {
        self.unreported.drain(..).collect()
    }

    /// Queues changes again that could not be delivered to the leader.
    pub fn requeue(&mut self, news: Vec<SuspectChange>) {
        for change in news.into_iter().rev() {
            if self.unreported.len() < MAX_ENTRIES {
                self.unreported.push_front(change);
            }
        }
    }

    fn is_exempt(&self, now: Instant, content: &ContentDigest) -> bool {
        let at = self.served.get(content);
        at.is_some_and(|at| now.since(*at) < SERVED_EXEMPTION)
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.pending.front().is_some_and(|w| w.until <= now) {
            self.pending.pop_front();
        }
        let pending_timeout = self.pending_timeout;
        let old = |at: &Instant| now.since(*at) >= pending_timeout;
        while self
            .ended_incarnations
            .front()
            .is_some_and(|(_, at)| old(at))
        {
            self.ended_incarnations.pop_front();
        }
    }
}
