//! Counts, at one router, the contents of requests under which targets ended.
//!
//! An interrupted run by itself is weak evidence: the connection may have broken or the
//! caller left. It counts against its content if the target incarnation that ran it is
//! known to have ended and the run had only just begun. A content that ends its targets
//! does so as they begin to run it (40 to 115 ms after); streams that ran for longer were
//! only there by chance.
//!
//! ```text
//!  cut, just begun ──► waits ── incarnation ended ──► an end under this content ──► leader
//!  cut, ran for long ─┐
//!  answered in full ──┴─► served: earlier ends are forgotten ─────────────────────► leader
//! ```

use crate::control::{DEFAULT_PERIOD, SILENT_PERIODS};
use crate::state::{
    ContentDigest, ENDS_TO_QUARANTINE, Life, MOST_ENDS, SuspectChange, SuspectList,
};
use crate::time::Instant;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// A run that continues for this long after its first event is not what ended its target.
/// This is four times as long as such requests take to end one. If all streams that an end
/// breaks off were counted, streams that are moved together would be quarantined by chance.
pub const JUST_BEGUN: Duration = Duration::from_millis(500);

/// Time for which an interrupted run waits for the end of its incarnation to be known, in
/// announcement periods plus a fixed time. A silent target counts as such after some of its
/// periods; that is then agreed on and sent to the routers.
const WAIT_PERIODS: u32 = SILENT_PERIODS;
const WAIT_MARGIN: Duration = Duration::from_millis(2_400);

/// Time for which a content that was served completely is exempt from counting at this
/// router. Targets that end together, for instance with their data centre, must not
/// quarantine a content that many callers request at the same time.
const SERVED_EXEMPTION: Duration = Duration::from_secs(10);

/// Time for which an end counts that is not agreed, as in the agreed state.
const OWN_ENDS_TTL: Duration = Duration::from_secs(10 * 60);

/// Time for which two or more ends count that are missing from the agreed list. A router
/// that could not reach the leader for this long has no lease, so a missing content was
/// served at other routers.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of waiting runs, ended incarnations, contents with ends, and unreported
/// changes, each. More than a router has streams. The oldest entry of a queue is dropped.
const MAX_ENTRIES: usize = 1_024;

/// Maximum number of recently served contents: ten seconds of nine times a router's load at
/// 30,000 requests a second over 350 routers.
const MAX_SERVED: usize = 8_192;

#[derive(Clone, Debug)]
struct PendingRun {
    content: ContentDigest,
    life: Life,
    /// Whether an event of the run had come.
    begun: bool,
    until: Instant,
}

/// Ends under one content that this router observed.
#[derive(Clone, Debug)]
struct OwnEnds {
    lives: Vec<Life>,
    /// Number of ends known when the last one was recorded, including those seen by other
    /// routers.
    known_ends: usize,
    last_end: Instant,
}

/// Contents and target ends known to one router.
#[derive(Clone, Debug)]
pub struct CutRuns {
    pending_timeout: Duration,
    pending: VecDeque<PendingRun>,
    /// Recently ended incarnations. A run may be noticed as cut after its target ended.
    ended_lives: VecDeque<(Life, Instant)>,
    /// Ends that this router observed and that are not agreed.
    own_ends: HashMap<ContentDigest, OwnEnds>,
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

impl Default for CutRuns {
    /// Returns a tracker for targets that announce themselves at the default period.
    fn default() -> Self {
        Self::with_period(DEFAULT_PERIOD)
    }
}

impl CutRuns {
    /// Returns an empty tracker for targets with this announcement period.
    pub fn with_period(period: Duration) -> Self {
        Self {
            pending_timeout: period * WAIT_PERIODS + WAIT_MARGIN,
            pending: VecDeque::new(),
            ended_lives: VecDeque::new(),
            own_ends: HashMap::new(),
            served: HashMap::new(),
            agreed: Arc::default(),
            unreported: VecDeque::new(),
        }
    }

    /// Records an interrupted run. `ran` is the time since its first event, if there was
    /// one. Returns whether the run may have ended its target.
    pub fn cut(
        &mut self,
        now: Instant,
        content: ContentDigest,
        life: &Life,
        ran: Option<Duration>,
    ) -> bool {
        if ran.is_some_and(|ran| ran >= JUST_BEGUN) {
            self.served(now, content);
        }
        self.remove_expired(now);
        if self.is_exempt(now, &content) {
            return false;
        }
        if self.ended_lives.iter().any(|(ended, _)| ended == life) {
            // Another router may have seen the same end, and it may already be agreed.
            self.record_end(now, content, life.clone(), ran.is_some(), 0);
        } else {
            let until = now + self.pending_timeout;
            let life = life.clone();
            push_bounded(
                &mut self.pending,
                PendingRun {
                    content,
                    life,
                    begun: ran.is_some(),
                    until,
                },
            );
        }
        true
    }

    /// Records that a target has run the content and is still there.
    pub fn served(&mut self, now: Instant, content: ContentDigest) {
        if self.served.len() >= MAX_SERVED {
            self.served
                .retain(|_, at| now.since(*at) < SERVED_EXEMPTION);
        }
        if self.served.len() < MAX_SERVED {
            self.served.insert(content, now);
        }
        self.pending.retain(|w| w.content != content);
        let had_ends = self.own_ends.remove(&content).is_some();
        if had_ends || self.agreed.ends(&content) > 0 {
            push_bounded(&mut self.unreported, SuspectChange::Served(content));
        }
    }

    /// Records incarnations that ended unplanned. Returns the contents that were running
    /// there, with the incarnation.
    pub fn lives_over(&mut self, now: Instant, lives: Vec<Life>) -> Vec<(ContentDigest, Life)> {
        self.remove_expired(now);
        let pending = std::mem::take(&mut self.pending);
        let (cut, rest): (Vec<_>, Vec<_>) =
            pending.into_iter().partition(|w| lives.contains(&w.life));
        self.pending = rest.into();
        for life in lives {
            push_bounded(&mut self.ended_lives, (life, now));
        }
        for w in &cut {
            let before = self.agreed.ends(&w.content);
            self.record_end(now, w.content, w.life.clone(), w.begun, before);
        }
        cut.into_iter().map(|w| (w.content, w.life)).collect()
    }

    /// Records the end of an incarnation under a content. `begun` says whether an event had
    /// come from there; `before` is the number of agreed ends that are certainly different
    /// from this one.
    fn record_end(
        &mut self,
        now: Instant,
        content: ContentDigest,
        life: Life,
        begun: bool,
        before: usize,
    ) {
        if self.own_ends.len() >= MAX_ENTRIES {
            self.own_ends
                .retain(|_, own| now.since(own.last_end) < OWN_ENDS_TTL);
        }
        if self.own_ends.len() >= MAX_ENTRIES && !self.own_ends.contains_key(&content) {
            return;
        }
        if self.counted_own_ends(now, &content) == 0 {
            self.own_ends.remove(&content);
        }
        let own = self.own_ends.entry(content).or_insert_with(|| OwnEnds {
            lives: Vec::new(),
            known_ends: 0,
            last_end: now,
        });
        own.last_end = now;
        if own.lives.contains(&life) || own.lives.len() >= MOST_ENDS {
            return;
        }
        own.lives.push(life.clone());
        // Counted on top of the agreed ends, which can't include this one yet: from the
        // third end on, the router that saw it sends the content to no target.
        own.known_ends = own.known_ends.max(before) + 1;
        let end = SuspectChange::Ended {
            content,
            life,
            begun,
        };
        push_bounded(&mut self.unreported, end);
    }

    /// Replaces the agreed list and returns the previous one. Ends that this router
    /// observed are forgotten once the content is quarantined, and when the agreed count
    /// falls, since they end with the agreed state.
    pub fn agreed(&mut self, now: Instant, list: Arc<SuspectList>) -> Arc<SuspectList> {
        let before = std::mem::replace(&mut self.agreed, list.clone());
        self.own_ends.retain(|content, _| {
            let agreed = list.ends(content);
            let no_longer = agreed < before.ends(content);
            !no_longer && agreed < ENDS_TO_QUARANTINE
        });
        self.report_exempt(now, &before);
        before
    }

    /// Reports contents that this router recently served as served, so that the other
    /// routers exempt them too. A router that has just started has served nothing and would
    /// quarantine a popular content after three unrelated ends.
    fn report_exempt(&mut self, now: Instant, before: &SuspectList) {
        let increased = |c: &&ContentDigest| self.agreed.ends(c) > before.ends(c);
        let increased = self.agreed.contents().filter(increased);
        let served = increased.filter(|c| self.is_exempt(now, c));
        let served: Vec<ContentDigest> = served.copied().collect();
        for content in served {
            push_bounded(&mut self.unreported, SuspectChange::Served(content));
        }
    }

    /// The number of ends that count by this router's own observations.
    fn counted_own_ends(&self, now: Instant, content: &ContentDigest) -> usize {
        let Some(own) = self.own_ends.get(content) else {
            return 0;
        };
        let age = now.since(own.last_end);
        let cleared =
            own.known_ends > 1 && self.agreed.ends(content) == 0 && age >= AGREEMENT_TIMEOUT;
        match age >= OWN_ENDS_TTL || cleared {
            true => 0,
            false => own.known_ends,
        }
    }

    /// Whether a request with this content may be sent to a target. Interrupted runs whose
    /// targets may have ended count until the outcome is known.
    pub fn may_send(&mut self, now: Instant, content: &ContentDigest) -> bool {
        self.remove_expired(now);
        let known = self
            .counted_own_ends(now, content)
            .max(self.agreed.ends(content));
        if known >= ENDS_TO_QUARANTINE {
            return false;
        }
        let pending = self.pending.iter().filter(|w| w.content == *content);
        let mut lives: Vec<&Life> = pending.map(|w| &w.life).collect();
        lives.sort_unstable();
        lives.dedup();
        known + lives.len() < ENDS_TO_QUARANTINE
    }

    /// Whether there are changes that the leader has not received.
    pub fn has_news(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Takes the changes that the leader has not received.
    pub fn take_news(&mut self) -> Vec<SuspectChange> {
        self.unreported.drain(..).collect()
    }

    /// Queues changes again that could not be delivered to the leader.
    pub fn put_back(&mut self, news: Vec<SuspectChange>) {
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
        while self.ended_lives.front().is_some_and(|(_, at)| old(at)) {
            self.ended_lives.pop_front();
        }
    }
}
