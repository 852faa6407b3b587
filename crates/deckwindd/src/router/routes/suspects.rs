//! Contents under which targets end: what is decided of them in
//! `deckwind_core::routes::CutRuns`, told to the leader and logged.

use crate::router::shared::RouterShared;
use deckwind_core::control::CutReport;
use deckwind_core::routes::CutRuns;
use deckwind_core::state::{ContentDigest, Life, SuspectChange, SuspectList};
use deckwind_core::time::Instant;
use deckwind_wire::{ControlReply, ControlRequest};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;

/// Longest try to tell the leader before it is asked anew, with what came meanwhile.
const TELL_WITHIN: Duration = Duration::from_secs(2);

/// Time over which cut runs are told of in one message: all streams of an engine
/// break off together.
const COLLECT: Duration = Duration::from_millis(5);

/// Targets named in one message: as many as end with a data centre. Others are known
/// by their silence.
const MOST_BROKE: usize = 512;

/// A run that was cut.
pub struct CutRun<'a> {
    /// What was run.
    pub content: ContentDigest,
    /// Where.
    pub address: SocketAddr,
    /// By which life.
    pub life: &'a Life,
    /// Time since its first event; nothing before that.
    pub ran: Option<Duration>,
    /// Whether the target broke it off.
    pub broke: bool,
}

/// What this router knows of contents and the ends of targets.
#[derive(Default)]
pub struct Suspects {
    runs: Mutex<CutRuns>,
    /// Targets whose answers broke off, and of which the leader has not been told.
    broke: Mutex<Vec<SocketAddr>>,
    to_tell: Notify,
}

impl Suspects {
    /// Nothing known yet; targets announce themselves this often.
    pub fn new(period: Duration) -> Self {
        Self {
            runs: Mutex::new(CutRuns::with_period(period)),
            ..Self::default()
        }
    }

    fn runs(&self) -> MutexGuard<'_, CutRuns> {
        self.runs.lock().expect("no holder panics")
    }

    /// Whether a request of this content may be sent.
    pub fn may_send(&self, now: Instant, content: &ContentDigest) -> bool {
        self.runs().may_send(now, content)
    }

    /// A target has run it and is there.
    pub fn served(&self, now: Instant, content: ContentDigest) {
        let mut runs = self.runs();
        runs.served(now, content);
        let news = runs.has_news();
        drop(runs);
        if news {
            self.to_tell.notify_one();
        }
    }

    /// A run was cut.
    pub fn cut(&self, now: Instant, cut: &CutRun) {
        let suspect = self.runs().cut(now, cut.content, cut.life, cut.ran);
        if suspect && cut.broke {
            let mut broke = self.broke.lock().expect("no holder panics");
            if broke.len() < MOST_BROKE && !broke.contains(&cut.address) {
                broke.push(cut.address);
            }
        }
        self.to_tell.notify_one();
    }

    /// These lives are over, and nobody had planned it.
    pub fn lives_over(&self, now: Instant, lives: Vec<Life>) {
        if lives.is_empty() {
            return;
        }
        let ended = self.runs().lives_over(now, lives);
        for (content, life) in &ended {
            metrics::counter!("deckwind_route_ended_targets_total").increment(1);
            log::warn!("event=target_ended_under content={content} life={life}");
        }
        if !ended.is_empty() {
            self.to_tell.notify_one();
        }
    }

    /// What is agreed now.
    pub fn agreed(&self, now: Instant, list: Arc<SuspectList>) {
        let mut runs = self.runs();
        let before = runs.agreed(now, list.clone());
        let news = runs.has_news();
        drop(runs);
        if news {
            self.to_tell.notify_one();
        }
        if before != list {
            note_quarantined(&before, &list);
        }
    }

    /// Waits until there is something to tell the leader.
    async fn report(&self) -> CutReport {
        loop {
            self.to_tell.notified().await;
            tokio::time::sleep(COLLECT).await;
            let broke = std::mem::take(&mut *self.broke.lock().expect("no holder panics"));
            let changes = self.runs().take_news();
            if !(broke.is_empty() && changes.is_empty()) {
                return CutReport { broke, changes };
            }
        }
    }

    /// The leader could not be told: again, with what comes meanwhile.
    fn put_back(&self, changes: Vec<SuspectChange>) {
        if !changes.is_empty() {
            self.runs().put_back(changes);
            self.to_tell.notify_one();
        }
    }
}

/// A line for each content that is now quarantined, or no longer.
fn note_quarantined(before: &SuspectList, now: &SuspectList) {
    let is_in =
        |list: &SuspectList, content: &ContentDigest| list.quarantined().any(|c| c == content);
    for content in now.quarantined().filter(|c| !is_in(before, c)) {
        log::warn!(
            "event=content_quarantined content={content} ends={}",
            now.ends(content)
        );
    }
    for content in before.quarantined().filter(|c| !is_in(now, c)) {
        log::info!("event=content_served_again content={content}");
    }
    metrics::gauge!("deckwind_route_quarantined_contents").set(now.quarantined().count() as f64);
}

/// Tells the leader of runs that were cut, for ever.
pub async fn tell_cut_runs(shared: Arc<RouterShared>) {
    loop {
        let report = shared.routes.suspects.report().await;
        let request = ControlRequest::CutRuns(report.clone());
        let asked = shared.control.ask(&request, TELL_WITHIN).await;
        if !matches!(asked, Ok(ControlReply::Done)) {
            log::warn!(
                "event=cut_runs_not_told changes={} answer={asked:?}",
                report.changes.len()
            );
            shared.routes.suspects.put_back(report.changes);
        }
    }
}
