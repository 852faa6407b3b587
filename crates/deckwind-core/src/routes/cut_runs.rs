//! Contents under which targets end, as one router sees them.
//!
//! A run that was cut says little by itself: a connection broke, a caller left. It
//! counts against its content once the life that ran it is known to be over, if the
//! run had only just begun: a content that ends its targets does so as they begin to
//! run it (40 to 115 ms after), and streams that ran for longer are only there by
//! chance.
//!
//! ```text
//!  cut, just begun ──► waits ──its life is over──► an end under this content ──► leader
//!  cut, ran for long ─┐
//!  answered whole ────┴─► served: what was held against it is forgotten ───────► leader
//! ```

use crate::control::{DEFAULT_PERIOD, SILENT_PERIODS};
use crate::state::{
    ContentDigest, ENDS_TO_QUARANTINE, Life, MOST_ENDS, SuspectChange, SuspectList,
};
use crate::time::Instant;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// A run that goes on for longer after its first event is not what ends its target:
/// four times as long as such requests take to end one. Were all streams that an end
/// breaks off counted, those that move together would be condemned by chance.
pub const JUST_BEGUN: Duration = Duration::from_millis(500);

/// How long a cut run waits for the end of its life to be known: a target that says
/// nothing counts as silent after some of its periods, and then that is agreed and
/// handed out.
const WAITS_PERIODS: u32 = SILENT_PERIODS;
const WAITS_BESIDE: Duration = Duration::from_millis(2_400);

/// How long a content that was served well is above suspicion at this router:
/// targets that end together, as with their data centre, must not condemn what many
/// callers ask for at once.
const SERVED_FOR: Duration = Duration::from_secs(10);

/// How long an end counts that is not agreed: as in the agreed state.
const OWN_COUNT_FOR: Duration = Duration::from_secs(10 * 60);

/// How long two and more ends count that are not in the list of what is agreed: a router
/// that could not tell the leader for so long has no lease. Others have seen it served.
const AGREED_WITHIN: Duration = Duration::from_secs(5);

/// Cut runs that wait, lives that are over, contents with ends, and news for the
/// leader: more than a router has streams. The oldest goes.
const MOST: usize = 1_024;

/// Contents served lately: those of ten seconds at nine times a router's load at
/// 30,000 requests a second over 350 routers.
const MOST_SERVED: usize = 8_192;

#[derive(Clone, Debug)]
struct Waiting {
    content: ContentDigest,
    life: Life,
    /// Whether an event of it had come.
    begun: bool,
    until: Instant,
}

/// Ends under one content that a router has seen itself.
#[derive(Clone, Debug)]
struct OwnEnds {
    lives: Vec<Life>,
    /// Ends that were known with the last of them, those that others saw included.
    known: usize,
    last: Instant,
}

/// What a router knows of contents and the ends of targets.
#[derive(Clone, Debug)]
pub struct CutRuns {
    waits_for: Duration,
    waiting: VecDeque<Waiting>,
    /// Lives that ended lately: a cut may be noticed after it.
    over: VecDeque<(Life, Instant)>,
    /// Ends that this router has seen and that are not agreed.
    ends: HashMap<ContentDigest, OwnEnds>,
    served: HashMap<ContentDigest, Instant>,
    /// What is agreed.
    agreed: Arc<SuspectList>,
    news: VecDeque<SuspectChange>,
}

fn push<T>(queue: &mut VecDeque<T>, value: T) {
    if queue.len() >= MOST {
        queue.pop_front();
    }
    queue.push_back(value);
}

impl Default for CutRuns {
    /// Where targets announce themselves as often as usual.
    fn default() -> Self {
        Self::with_period(DEFAULT_PERIOD)
    }
}

impl CutRuns {
    /// Nothing known yet; targets announce themselves this often.
    pub fn with_period(period: Duration) -> Self {
        Self {
            waits_for: period * WAITS_PERIODS + WAITS_BESIDE,
            waiting: VecDeque::new(),
            over: VecDeque::new(),
            ends: HashMap::new(),
            served: HashMap::new(),
            agreed: Arc::default(),
            news: VecDeque::new(),
        }
    }

    /// A run was cut; `ran` is the time since its first event, if there was one.
    /// Whether it may have ended its target.
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
        self.forget(now);
        if self.is_above_suspicion(now, &content) {
            return false;
        }
        if self.over.iter().any(|(over, _)| over == life) {
            // Another router may have seen the same end, and it may be agreed by now.
            self.ended(now, content, life.clone(), ran.is_some(), 0);
        } else {
            let until = now + self.waits_for;
            let life = life.clone();
            push(
                &mut self.waiting,
                Waiting {
                    content,
                    life,
                    begun: ran.is_some(),
                    until,
                },
            );
        }
        true
    }

    /// A target has run it and is there.
    pub fn served(&mut self, now: Instant, content: ContentDigest) {
        if self.served.len() >= MOST_SERVED {
            self.served.retain(|_, at| now.since(*at) < SERVED_FOR);
        }
        if self.served.len() < MOST_SERVED {
            self.served.insert(content, now);
        }
        self.waiting.retain(|w| w.content != content);
        let had_ends = self.ends.remove(&content).is_some();
        if had_ends || self.agreed.ends(&content) > 0 {
            push(&mut self.news, SuspectChange::Served(content));
        }
    }

    /// These lives are over, and nobody had planned it. Contents that were there.
    pub fn lives_over(&mut self, now: Instant, lives: Vec<Life>) -> Vec<(ContentDigest, Life)> {
        self.forget(now);
        let waiting = std::mem::take(&mut self.waiting);
        let (there, rest): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|w| lives.contains(&w.life));
        self.waiting = rest.into();
        for life in lives {
            push(&mut self.over, (life, now));
        }
        for w in &there {
            let before = self.agreed.ends(&w.content);
            self.ended(now, w.content, w.life.clone(), w.begun, before);
        }
        there.into_iter().map(|w| (w.content, w.life)).collect()
    }

    /// A life ended under a content, an event of which had come from there or not;
    /// `before` are agreed ends that are surely others.
    fn ended(
        &mut self,
        now: Instant,
        content: ContentDigest,
        life: Life,
        begun: bool,
        before: usize,
    ) {
        if self.ends.len() >= MOST {
            self.ends
                .retain(|_, own| now.since(own.last) < OWN_COUNT_FOR);
        }
        if self.ends.len() >= MOST && !self.ends.contains_key(&content) {
            return;
        }
        if self.own_known(now, &content) == 0 {
            self.ends.remove(&content);
        }
        let own = self.ends.entry(content).or_insert_with(|| OwnEnds {
            lives: Vec::new(),
            known: 0,
            last: now,
        });
        own.last = now;
        if own.lives.contains(&life) || own.lives.len() >= MOST_ENDS {
            return;
        }
        own.lives.push(life.clone());
        // On top of what is agreed, which can't hold this end yet: the router that saw the
        // third one sends the content to nobody from now on.
        own.known = own.known.max(before) + 1;
        let end = SuspectChange::Ended {
            content,
            life,
            begun,
        };
        push(&mut self.news, end);
    }

    /// What is agreed now. What this router saw itself is forgotten once the content is
    /// quarantined, and where it no longer holds: it ends with the agreed state. What
    /// was agreed before.
    pub fn agreed(&mut self, now: Instant, list: Arc<SuspectList>) -> Arc<SuspectList> {
        let before = std::mem::replace(&mut self.agreed, list.clone());
        self.ends.retain(|content, _| {
            let agreed = list.ends(content);
            let no_longer = agreed < before.ends(content);
            !no_longer && agreed < ENDS_TO_QUARANTINE
        });
        self.defend(now, &before);
        before
    }

    /// What this router has served lately is above suspicion at the others too: one that
    /// has just started has served nothing, and would condemn what many ask for after
    /// three ends that it has nothing to do with.
    fn defend(&mut self, now: Instant, before: &SuspectList) {
        let more = |c: &&ContentDigest| self.agreed.ends(c) > before.ends(c);
        let more = self.agreed.contents().filter(more);
        let served = more.filter(|c| self.is_above_suspicion(now, c));
        let served: Vec<ContentDigest> = served.copied().collect();
        for content in served {
            push(&mut self.news, SuspectChange::Served(content));
        }
    }

    /// Ends that this router counts by what it saw itself.
    fn own_known(&self, now: Instant, content: &ContentDigest) -> usize {
        let Some(own) = self.ends.get(content) else {
            return 0;
        };
        let age = now.since(own.last);
        let cleared = own.known > 1 && self.agreed.ends(content) == 0 && age >= AGREED_WITHIN;
        match age >= OWN_COUNT_FOR || cleared {
            true => 0,
            false => own.known,
        }
    }

    /// Whether a request of this content may be sent to a target. Runs of it that
    /// were cut and whose targets may have ended count, until that is known.
    pub fn may_send(&mut self, now: Instant, content: &ContentDigest) -> bool {
        self.forget(now);
        let known = self.own_known(now, content).max(self.agreed.ends(content));
        if known >= ENDS_TO_QUARANTINE {
            return false;
        }
        let waiting = self.waiting.iter().filter(|w| w.content == *content);
        let mut lives: Vec<&Life> = waiting.map(|w| &w.life).collect();
        lives.sort_unstable();
        lives.dedup();
        known + lives.len() < ENDS_TO_QUARANTINE
    }

    /// Whether there is something that the leader has not been told.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// What the leader has not been told.
    pub fn take_news(&mut self) -> Vec<SuspectChange> {
        self.news.drain(..).collect()
    }

    /// The leader could not be told: again.
    pub fn put_back(&mut self, news: Vec<SuspectChange>) {
        for change in news.into_iter().rev() {
            if self.news.len() < MOST {
                self.news.push_front(change);
            }
        }
    }

    fn is_above_suspicion(&self, now: Instant, content: &ContentDigest) -> bool {
        let at = self.served.get(content);
        at.is_some_and(|at| now.since(*at) < SERVED_FOR)
    }

    fn forget(&mut self, now: Instant) {
        while self.waiting.front().is_some_and(|w| w.until <= now) {
            self.waiting.pop_front();
        }
        let waits_for = self.waits_for;
        let old = |at: &Instant| now.since(*at) >= waits_for;
        while self.over.front().is_some_and(|(_, at)| old(at)) {
            self.over.pop_front();
        }
    }
}
