//! Collects, at one router, the target crashes at which the traits of requests were present.
//! Requests on which targets crash are called poison requests and are quarantined.
//!
//! An interrupted run by itself is weak evidence: the connection may have broken or the
//! caller left. It counts against the traits of its request if the target incarnation that
//! ran it is known to have crashed and the run had only just begun. A poison request crashes
//! its targets as they begin to run it or to write the answer (40 to 115 ms after); streams
//! that wrote for longer were only there by chance.
//!
//! ```text
//!  interrupted, just begun ──► waits ── incarnation crashed ──► a crash is counted ──► leader
//!  wrote for long ─┐
//!  answered whole ─┴─► served: earlier crashes of its traits are forgotten ──────────► leader
//! ```
//!
//! How long a run wrote is the time from its first event to its last one: the end of a run may
//! be noticed long after its target crashed.
//!
//! A stream that ended with its connection between two events was answered in full as far as
//! its caller can know. Its target may have crashed all the same, so a short one says nothing
//! until the end of that incarnation would be known.

use super::own_crashes::OwnCrashes;
use crate::control::{DEFAULT_ANNOUNCE_INTERVAL, MAX_MISSED_ANNOUNCEMENTS};
use crate::state::{
    ContentDigest, Crash, CrashedRun, Incarnation, QUARANTINE_THRESHOLD, RequestTrait,
    RequestTraits, RunProgress, Suspect, SuspectChange, SuspectList, culprits,
};
use crate::time::Instant;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// A run that writes for this long after its first event is not what crashed its target.
/// This is four times as long as poison requests take to crash one. If all streams that a
/// crash breaks off were counted, streams that are moved together would be quarantined by
/// chance.
pub const MAX_POISON_RUN_TIME: Duration = Duration::from_millis(500);

/// Time for which an interrupted run waits for the crash of its incarnation to be known, in
/// announcement periods plus a fixed time. A silent target counts as such after some of its
/// periods; that is then agreed on and sent to the routers.
const WAIT_PERIODS: u32 = MAX_MISSED_ANNOUNCEMENTS;
const WAIT_MARGIN: Duration = Duration::from_millis(2_400);

/// Time for which a trait whose request was served is exempt from counting at this router.
/// Targets that crash together, for instance with their data centre, must not quarantine what
/// many callers request at the same time.
const SERVED_EXEMPTION: Duration = Duration::from_secs(10);

/// Time after a target broke a run off for which it is taken for crashed. A run that is sent to
/// it then is broken off too, and is no evidence against its request.
const BREAK_WINDOW: Duration = Duration::from_millis(500);

/// Time for which a crash counts that is not agreed, as in the agreed state.
const OWN_CRASHES_TTL: Duration = Duration::from_secs(10 * 60);

/// Time for which two or more crashes count that are missing from the agreed list. A router
/// that could not reach the leader for this long has no lease, so a missing request content
/// was served at other routers.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of waiting runs, ended incarnations, traits with crashes, and unreported
/// changes, each. More than a router has streams. The oldest entry of a queue is dropped.
const MAX_ENTRIES: usize = 1_024;

/// Maximum number of recently served traits: ten seconds of three times a router's load at
/// 30,000 requests a second over 350 routers, with three parts to each prompt.
const MAX_SERVED: usize = 16_384;

#[derive(Clone, Debug)]
struct PendingRun {
    content: ContentDigest,
    /// Traits that have not been served lately, and those that have.
    traits: Vec<RequestTrait>,
    served: Vec<RequestTrait>,
    incarnation: Incarnation,
    progress: RunProgress,
    until: Instant,
}

impl PendingRun {
    /// Returns the run as evidence against its traits.
    fn into_crashed(self) -> CrashedRun {
        CrashedRun {
            run: self.content.into(),
            traits: self.traits,
            served: self.served,
            life: self.incarnation,
            progress: self.progress,
        }
    }
}

/// A run whose answer looks whole, but ended with its connection.
#[derive(Clone, Debug)]
struct ClosedRun {
    request: RequestTraits,
    incarnation: Incarnation,
    closed: Instant,
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendVerdict {
    /// It may be sent.
    Send,
    /// Not now: with a crash that this router has just observed, or that may just have happened
    /// under this request, it might be quarantined.
    Undecided,
    /// It is quarantined.
    Quarantined,
}

/// Traits of requests and target crashes known to one router.
#[derive(Clone, Debug)]
pub struct InterruptedRuns {
    pending_timeout: Duration,
    pending: VecDeque<PendingRun>,
    /// Short runs that ended with their connections, whose incarnations may have crashed.
    closed: VecDeque<ClosedRun>,
    /// Recently ended incarnations. A run may be noticed as interrupted after its target
    /// crashed.
    ended_incarnations: VecDeque<(Incarnation, Instant)>,
    /// Incarnations that lately broke off a run, with the time of the first one.
    breaks: VecDeque<(Incarnation, Instant)>,
    /// Crashes that this router observed and whose meaning is not agreed yet.
    own_crashes: HashMap<RequestTrait, OwnCrashes>,
    /// Groups of traits that this router's own crashes suffice to quarantine.
    own_culprits: Vec<Vec<RequestTrait>>,
    served: HashMap<RequestTrait, Instant>,
    /// The agreed list of suspects.
    agreed: Arc<SuspectList>,
    unreported: VecDeque<SuspectChange>,
    /// Number of changes that were dropped, as too many were not reported.
    dropped_changes: u64,
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
            closed: VecDeque::new(),
            ended_incarnations: VecDeque::new(),
            breaks: VecDeque::new(),
            own_crashes: HashMap::new(),
            own_culprits: Vec::new(),
            served: HashMap::new(),
            agreed: Arc::default(),
            unreported: VecDeque::new(),
            dropped_changes: 0,
        }
    }

    /// Records that a target broke a run off.
    pub fn record_break(&mut self, now: Instant, incarnation: &Incarnation) {
        self.breaks.retain(|(_, at)| now.since(*at) < BREAK_WINDOW);
        if !self.breaks.iter().any(|(broke, _)| broke == incarnation) {
            push_bounded(&mut self.breaks, (incarnation.clone(), now));
        }
    }

    /// Whether a run that was sent at `sent` went to an incarnation that had shown signs of its
    /// end before. Such a run did not crash it.
    pub fn was_sent_after_end(
        &self,
        now: Instant,
        incarnation: &Incarnation,
        sent: Instant,
    ) -> bool {
        let is_before = |(ended, at): &(Incarnation, Instant)| ended == incarnation && *at <= sent;
        let is_recent = |at: &Instant| now.since(*at) < BREAK_WINDOW;
        let mut breaks = self.breaks.iter().filter(|(_, at)| is_recent(at));
        breaks.any(is_before) || self.ended_incarnations.iter().any(is_before)
    }

    /// Records an interrupted run. `wrote` is the time from its first event to its last one,
    /// if there was any. Returns whether the run may have crashed its target.
    pub fn record_interrupted(
        &mut self,
        now: Instant,
        request: &RequestTraits,
        incarnation: &Incarnation,
        wrote: Option<Duration>,
    ) -> bool {
        if wrote.is_some_and(|wrote| wrote >= MAX_POISON_RUN_TIME) {
            self.record_served(now, request);
        }
        self.remove_expired(now);
        let all = request.all().iter().copied();
        let (served, traits): (Vec<_>, Vec<_>) = all.partition(|t| self.is_exempt(now, t));
        if traits.is_empty() {
            return false;
        }
        let run = PendingRun {
            content: request.content(),
            traits,
            served,
            incarnation: incarnation.clone(),
            progress: RunProgress::of(wrote),
            until: now + self.pending_timeout,
        };
        let mut ended = self.ended_incarnations.iter();
        if ended.any(|(ended, _)| ended == incarnation) {
            // Another router may have seen the same crash, and it may already be agreed.
            self.record_crash(now, run.into_crashed(), |_| 0);
            self.find_own_culprits();
        } else {
            push_bounded(&mut self.pending, run);
        }
        true
    }

    /// Records that a target has run the request and is still there.
    pub fn record_served(&mut self, now: Instant, request: &RequestTraits) {
        if self.served.len() + request.all().len() > MAX_SERVED {
            self.served
                .retain(|_, at| now.since(*at) < SERVED_EXEMPTION);
        }
        let mut had_own_crashes = false;
        for served in request.all() {
            if self.served.len() < MAX_SERVED || self.served.contains_key(served) {
                self.served.insert(*served, now);
            }
            for run in &mut self.pending {
                if let Some(at) = run.traits.iter().position(|t| t == served) {
                    run.served.push(run.traits.swap_remove(at));
                }
            }
            let had_crashes = self.own_crashes.remove(served).is_some();
            had_own_crashes |= had_crashes;
            if had_crashes || self.agreed.crash_count(served) > 0 {
                self.push_unreported(SuspectChange::Served(*served));
            }
        }
        self.pending.retain(|run| !run.traits.is_empty());
        if had_own_crashes {
            self.find_own_culprits();
        }
    }

    /// Records a run whose answer looks whole, but ended with its connection, as it does if
    /// the target crashes. It counts as served if it wrote for long enough, or once its
    /// incarnation would be known to have ended; `wrote` is the time from its first event to its
    /// last one, if there was any.
    pub fn record_closed(
        &mut self,
        now: Instant,
        request: &RequestTraits,
        incarnation: &Incarnation,
        wrote: Option<Duration>,
    ) {
        if wrote.is_some_and(|wrote| wrote >= MAX_POISON_RUN_TIME) {
            self.record_served(now, request);
            return;
        }
        let run = ClosedRun {
            request: request.clone(),
            incarnation: incarnation.clone(),
            closed: now,
        };
        push_bounded(&mut self.closed, run);
    }

    /// Takes the closed runs whose incarnations would be known to have ended by now.
    fn take_survived(&mut self, now: Instant) -> Vec<RequestTraits> {
        let is_survived = |run: &ClosedRun| now.since(run.closed) >= self.pending_timeout;
        let count = self
            .closed
            .iter()
            .take_while(|run| is_survived(run))
            .count();
        self.closed.drain(..count).map(|run| run.request).collect()
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
        self.closed
            .retain(|run| !incarnations.contains(&run.incarnation));
        for incarnation in incarnations {
            push_bounded(&mut self.ended_incarnations, (incarnation, now));
        }
        let agreed = self.agreed.clone();
        for run in &cut {
            let run = run.clone().into_crashed();
            self.record_crash(now, run, |t| agreed.crash_count(t));
        }
        if !cut.is_empty() {
            self.find_own_culprits();
        }
        cut.into_iter()
            .map(|w| (w.content, w.incarnation))
            .collect()
    }

    /// Records the crash of an incarnation that had just begun a run. `before` returns the
    /// number of agreed crashes of a trait that are certainly different from this one.
    fn record_crash(
        &mut self,
        now: Instant,
        run: CrashedRun,
        before: impl Fn(&RequestTrait) -> usize,
    ) {
        if self.own_crashes.len() + run.traits.len() > MAX_ENTRIES {
            self.own_crashes
                .retain(|_, own| now.since(own.last_crash) < OWN_CRASHES_TTL);
        }
        let mut reported = Vec::new();
        for suspect in &run.traits {
            let is_known = self.own_crashes.contains_key(suspect);
            if self.own_crashes.len() >= MAX_ENTRIES && !is_known {
                reported.push(*suspect);
                continue;
            }
            if self.counted_own_crashes(now, suspect) == 0 {
                self.own_crashes.remove(suspect);
            }
            let own = self
                .own_crashes
                .entry(*suspect)
                .or_insert_with(|| OwnCrashes::new(now, &run.life));
            let at_ms = now.since(Instant::ZERO).as_millis() as u64;
            let crash = Crash::new(run.life.clone(), run.run, run.progress, at_ms);
            own.record(now, &run.life, crash, before(suspect));
            reported.push(*suspect);
        }
        let run = CrashedRun {
            traits: reported,
            ..run
        };
        self.push_unreported(SuspectChange::Ended(run));
    }

    /// Finds the traits that this router's own crashes suffice to quarantine.
    fn find_own_culprits(&mut self) {
        let own = self.own_crashes.iter().map(|(t, own)| (*t, &own.suspect));
        self.own_culprits = culprits(own);
    }

    /// Replaces the agreed list and returns the previous one. Crashes that this router
    /// observed are forgotten once they are agreed to be explained, and when the agreed count
    /// falls, since they expire with the agreed state.
    pub fn set_agreed(&mut self, now: Instant, list: Arc<SuspectList>) -> Arc<SuspectList> {
        let before = std::mem::replace(&mut self.agreed, list.clone());
        let is_agreed = |suspect: &RequestTrait| {
            let agreed = list.crash_count(suspect);
            agreed < before.crash_count(suspect) || agreed >= QUARANTINE_THRESHOLD
        };
        let own = self.own_crashes.iter();
        let explained: Vec<Suspect> = own
            .filter(|(t, _)| list.crash_count(t) >= QUARANTINE_THRESHOLD)
            .map(|(_, own)| own.suspect.clone())
            .collect();
        self.own_crashes.retain(|suspect, own| {
            let mut explained = explained.iter();
            !is_agreed(suspect) && !explained.any(|e| own.suspect.has_crashes_within(e))
        });
        self.find_own_culprits();
        self.report_exempt(now, &before);
        before
    }

    /// Reports traits that this router recently served as served, so that the other routers
    /// exempt them too. A router that has just started has served nothing and would
    /// quarantine a popular one after three unrelated crashes.
    fn report_exempt(&mut self, now: Instant, before: &SuspectList) {
        let increased = |t: &&RequestTrait| self.agreed.crash_count(t) > before.crash_count(t);
        let increased = self.agreed.traits().filter(increased);
        let served = increased.filter(|t| self.is_exempt(now, t));
        let served: Vec<RequestTrait> = served.copied().collect();
        for suspect in served {
            self.push_unreported(SuspectChange::Served(suspect));
        }
    }

    /// The number of crashes that count by this router's own observations.
    fn counted_own_crashes(&self, now: Instant, suspect: &RequestTrait) -> usize {
        let Some(own) = self.own_crashes.get(suspect) else {
            return 0;
        };
        let age = now.since(own.last_crash);
        let cleared = own.known_crashes > 1
            && self.agreed.crash_count(suspect) == 0
            && age >= AGREEMENT_TIMEOUT;
        match age >= OWN_CRASHES_TTL || cleared || own.is_agreed(now) {
            true => 0,
            false => own.known_crashes,
        }
    }

    /// Whether a request with these traits may be sent to a target.
    pub fn may_send(&mut self, now: Instant, request: &RequestTraits) -> bool {
        self.verdict(now, request) == SendVerdict::Send
    }

    /// Decides whether a request may be sent to a target. Interrupted runs of it whose targets
    /// may have crashed count until the outcome is known.
    pub fn verdict(&mut self, now: Instant, request: &RequestTraits) -> SendVerdict {
        self.remove_expired(now);
        if self.agreed.group_of(request).is_some() || self.has_own_culprits(now, request) {
            return SendVerdict::Quarantined;
        }
        let content = RequestTrait::Content(request.content());
        if self.known_crashes(now, &content) >= QUARANTINE_THRESHOLD {
            return SendVerdict::Quarantined;
        }
        let pending = self.pending.iter();
        let pending = pending.filter(|w| w.content == request.content());
        let mut incarnations: Vec<&Incarnation> = pending.map(|w| &w.incarnation).collect();
        incarnations.sort_unstable();
        incarnations.dedup();
        let is_undecided = |t: &RequestTrait| {
            let has_own = !incarnations.is_empty() || self.counted_own_crashes(now, t) > 0;
            let crashes = self.known_crashes(now, t) + incarnations.len();
            has_own && crashes >= QUARANTINE_THRESHOLD && !self.is_exempt(now, t)
        };
        match request.all().iter().any(is_undecided) {
            true => SendVerdict::Undecided,
            false => SendVerdict::Send,
        }
    }

    /// Returns the number of crashes of a trait, agreed or by this router's own observations.
    fn known_crashes(&self, now: Instant, suspect: &RequestTrait) -> usize {
        let own = self.counted_own_crashes(now, suspect);
        own.max(self.agreed.crash_count(suspect))
    }

    /// Whether the request has all traits of a group that this router's own crashes suffice to
    /// quarantine.
    fn has_own_culprits(&self, now: Instant, request: &RequestTraits) -> bool {
        let counts = |t: &RequestTrait| self.counted_own_crashes(now, t) >= QUARANTINE_THRESHOLD;
        let mut groups = self.own_culprits.iter();
        groups.any(|group| request.contains_all(group) && group.iter().all(counts))
    }

    /// Whether there are changes that the leader has not received.
    pub fn has_unreported_changes(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Takes the changes that the leader has not received.
    pub fn take_unreported_changes(&mut self) -> Vec<SuspectChange> {
        self.unreported.drain(..).collect()
    }

    /// Records that these changes, which were reported to the leader, are agreed. The router's
    /// own crashes among them stop counting even if they change nothing in the agreed list.
    pub fn record_agreed(&mut self, now: Instant, changes: &[SuspectChange]) {
        for change in changes {
            let SuspectChange::Ended(run) = change else {
                continue;
            };
            for suspect in &run.traits {
                if let Some(own) = self.own_crashes.get_mut(suspect)
                    && own.last_life == run.life
                {
                    own.agreed_at.get_or_insert(now);
                }
            }
        }
    }

    /// Queues changes again that could not be delivered to the leader. If there are too many,
    /// the oldest ones are dropped.
    pub fn requeue(&mut self, news: Vec<SuspectChange>) {
        for change in news.into_iter().rev() {
            if self.unreported.len() < MAX_ENTRIES {
                self.unreported.push_front(change);
            } else {
                self.dropped_changes += 1;
            }
        }
    }

    fn push_unreported(&mut self, change: SuspectChange) {
        self.dropped_changes += u64::from(self.unreported.len() >= MAX_ENTRIES);
        push_bounded(&mut self.unreported, change);
    }

    /// Takes the number of changes that were dropped since the last call, as too many were not
    /// reported.
    pub fn take_dropped_changes(&mut self) -> u64 {
        std::mem::take(&mut self.dropped_changes)
    }

    fn is_exempt(&self, now: Instant, suspect: &RequestTrait) -> bool {
        let at = self.served.get(suspect);
        at.is_some_and(|at| now.since(*at) < SERVED_EXEMPTION)
    }

    fn remove_expired(&mut self, now: Instant) {
        for request in self.take_survived(now) {
            self.record_served(now, &request);
        }
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
