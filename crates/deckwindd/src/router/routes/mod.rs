//! Published routes: callers in front, announced targets behind.
//!
//! ```text
//!  callers.rs ─► plain.rs ──► one target, retries where that is safe
//!    │  ▲   └─► opening.rs ─► relay.rs    a path, events as they come
//!    │  └─ delivery.rs ◄──────┘           what waits for callers, counted by held.rs
//!    ▼
//!  Routes: release and targets as agreed, counts, connections
//! ```

mod delivery;
mod heard_answers;
mod held;
mod hold;
mod opening;
mod permits;
mod plain;
mod relay;
mod route_answers;
mod route_callers;
mod run;
mod silence;
mod stalls;
mod suspects;

pub use held::Deliveries;
pub use permits::ask_for_permits;
pub use route_callers::{accept, accept_ready};
pub use silence::{tell_slow, watch_streams};
pub use suspects::{CutRun, tell_cut_runs};

use crate::context::{Context, period_of_targets};
use arc_swap::{ArcSwap, ArcSwapOption};
use deckwind_config::RouterSettings;
use deckwind_core::control::{EngineFull, EngineUse, Grant, LimitReport, RepeatReport};
use deckwind_core::routes::{
    Claim, InstanceIndex, LifeOver, Paid, Patience, ReleaseIndex, RepeatBudgets, RepeatLimits,
    Started, TargetBook, TargetFault,
};
use deckwind_core::state::{Configuration, Instance, Pool, Revision, Route, RouteKind};
use deckwind_core::time::Instant;
use deckwind_net::clock::Clock;
use deckwind_net::edge::CallerDialect;
use deckwind_net::targets::KeptConnections;
use permits::PermitQueue;
use silence::Silences;
use stalls::StallWatch;
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use suspects::Suspects;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// How long another router's failure makes a silent stream move: a renewal's
/// time and some.
const DOUBT_FOR: Duration = Duration::from_millis(1_000);

/// How long what the leader told of slow engines holds without another word from
/// it: two renewals and some.
const SLOW_FOR: Duration = Duration::from_millis(1_600);

/// What the tasks of published routes share.
pub struct Routes {
    release: ArcSwapOption<ReleaseIndex>,
    instances: ArcSwap<InstanceIndex>,
    book: Mutex<TargetBook>,
    repeats: Mutex<RepeatBudgets>,
    clock: Clock,
    /// How targets speak.
    dialect: Arc<dyn CallerDialect>,
    /// Connections to targets.
    pub connections: KeptConnections,
    /// Routers with a lease, as the leader last told.
    routers: AtomicU32,
    /// What is held for callers.
    pub deliveries: Arc<Deliveries>,
    /// Streams that stand still.
    pub stalls: StallWatch,
    /// Streams that fall silent together.
    pub silences: Silences,
    /// Contents under which targets end.
    pub suspects: Suspects,
    /// Targets that have failed and of which the leader has not been told.
    failing: Mutex<Vec<SocketAddr>>,
    to_tell: Notify,
    /// When the leader last told of the other routers.
    told_at: Mutex<Instant>,
    patience: Mutex<Patience>,
    /// Engines that have refused requests and of which the leader has not been told.
    full: Mutex<Vec<EngineFull>>,
    full_to_tell: Notify,
    /// Requests that wait for permits.
    permits: PermitQueue,
    /// Repeats run short and the leader has not been told.
    repeats_short: Notify,
    /// Repeats were given.
    repeats_came: Notify,
    draining: AtomicBool,
    /// What a planned stop still lets in; see [`LetIn`].
    let_in: AtomicU8,
}

/// What is let in while the router stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LetIn {
    /// Everything.
    All = 0,
    /// Requests with a whole answer; a stream could outlast the process.
    NoStreams = 1,
    /// Nothing.
    Nothing = 2,
}

impl Routes {
    /// Nothing is published yet.
    pub fn new(cx: &Context, cfg: &RouterSettings) -> Self {
        let limits = RepeatLimits {
            share: cfg.repeats.share,
            beyond: cfg.repeats.beyond,
            window: cfg.repeats.window,
        };
        let seeds = cx.settings.seeds.as_ref();
        let started = Started {
            at: cx.clock.now(),
            first: seeds.is_some_and(|s| s.first_start),
        };
        Self {
            release: ArcSwapOption::empty(),
            instances: ArcSwap::default(),
            book: Mutex::default(),
            repeats: Mutex::new(RepeatBudgets::new(limits, started)),
            clock: cx.clock,
            dialect: cx.dialects.callers.clone(),
            connections: KeptConnections::new(cx.clock),
            routers: AtomicU32::new(1),
            deliveries: Arc::new(Deliveries::new(cx.clock, cfg)),
            stalls: StallWatch::new(cx.dialects.engines.clone()),
            silences: Silences::default(),
            suspects: Suspects::new(period_of_targets(cfg.announce_every)),
            failing: Mutex::default(),
            to_tell: Notify::new(),
            told_at: Mutex::new(Instant::ZERO),
            patience: Mutex::default(),
            full: Mutex::default(),
            full_to_tell: Notify::new(),
            permits: PermitQueue::default(),
            repeats_short: Notify::new(),
            repeats_came: Notify::new(),
            draining: AtomicBool::new(false),
            let_in: AtomicU8::new(LetIn::All as u8),
        }
    }

    /// Idle connections that this router may keep to a target of a pool.
    pub fn most_idle(&self, pool: &Pool) -> usize {
        pool.most_idle(self.routers.load(Ordering::Relaxed))
    }

    /// The release in force here.
    pub fn release(&self) -> Option<Arc<ReleaseIndex>> {
        self.release.load_full()
    }

    /// The targets as agreed.
    pub fn instances(&self) -> Arc<InstanceIndex> {
        self.instances.load_full()
    }

    /// The counts. Hold it only for one call.
    pub fn book(&self) -> MutexGuard<'_, TargetBook> {
        self.book.lock().expect("no holder panics")
    }

    /// A request for a pool came.
    pub fn requested(&self, now: Instant, pool: &str) {
        self.repeats
            .lock()
            .expect("no holder panics")
            .of_pool(pool)
            .requested(now);
    }

    /// Whether a caller of this route that will wait for so long is late already.
    pub fn is_late(&self, route: &Route, patience: Duration) -> bool {
        let objective = Duration::from_millis(route.objective_ms);
        let mut known = self.patience.lock().expect("no holder panics");
        known.is_late(&route.name, patience, objective)
    }

    /// Whether something may be sent to a pool again, for such a request.
    pub fn may_repeat(&self, now: Instant, pool: &str, claim: Claim, id: &str) -> bool {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        let mut repeats = self.repeats();
        let budget = repeats.of_pool(pool);
        let paid = budget.spend(now, claim, hasher.finish());
        let left = budget.leased().left(now);
        let (requests, spent) = budget.counts(now);
        let short = repeats.runs_short(now);
        drop(repeats);
        if short {
            self.repeats_short.notify_one();
        }
        let with = match paid {
            Some(Paid::Share) => "share",
            Some(Paid::Leased) => "leased",
            None => "none",
        };
        metrics::counter!("deckwind_route_repeats_total", "paid" => with).increment(1);
        let event = match paid {
            Some(_) => "repeat_paid",
            None => "repeat_denied",
        };
        log::info!(
            "event={event} request={id} pool={pool} claim={claim:?} with={with} requests={requests} repeats={spent} left={left}"
        );
        if paid.is_none() {
            metrics::counter!("deckwind_route_repeats_denied_total").increment(1);
        }
        paid.is_some()
    }

    /// What the leader is to hear of repeats.
    pub fn repeat_report(&self, now: Instant) -> Option<RepeatReport> {
        self.repeats().report(now)
    }

    /// Waits until repeats run short.
    pub async fn repeats_short(&self) {
        self.repeats_short.notified().await;
    }

    /// Whether the leader may give a repeat for such a request when it is asked.
    pub fn repeat_may_come(&self, pool: &str, claim: Claim) -> bool {
        self.repeats().of_pool(pool).leased().may_come(claim)
    }

    /// Until the leader gives some, from this call on.
    pub fn repeats_came(&self) -> Notified<'_> {
        self.repeats_came.notified()
    }

    fn repeats(&self) -> MutexGuard<'_, RepeatBudgets> {
        self.repeats.lock().expect("no holder panics")
    }

    /// Takes a changed configuration over.
    pub fn configuration_changed(&self, now: Instant, cfg: &Configuration) {
        let before = self.release().map(|r| r.revision());
        if before != Some(cfg.release_revision()) {
            let index = ReleaseIndex::of(cfg);
            if let Some(index) = &index {
                log::info!(
                    "event=release_in_force version={} revision={}",
                    index.release().version,
                    index.revision()
                );
            }
            if let Some(index) = &index {
                let known = |pool: &str| index.release().pool(pool).is_some();
                let mut repeats = self.repeats.lock().expect("no holder panics");
                repeats.retain(known);
                let routes = &index.release().routes;
                let known = |name: &str| routes.iter().any(|r| r.name == name);
                let mut patience = self.patience.lock().expect("no holder panics");
                patience.retain(known);
            }
            self.release.store(index.map(Arc::new));
        }
        let index = InstanceIndex::of(cfg);
        let before = self.instances();
        note_targets(&before, &index, cfg.revision());
        self.suspects.lives_over(now, index.lives_cut(&before));
        self.suspects.agreed(now, cfg.suspects());
        self.forget_ended_lives(now, &before, &index);
        let addresses: HashSet<SocketAddr> = index.iter().map(|i| i.address).collect();
        self.connections.retain(|a| addresses.contains(a));
        self.book().retain(now, |a| addresses.contains(a));
        self.instances.store(Arc::new(index));
    }

    /// Forgets what is known of addresses whose life is over. Streams that pass
    /// through them look for another way as soon as they are silent.
    fn forget_ended_lives(&self, now: Instant, before: &InstanceIndex, index: &InstanceIndex) {
        for over in index.lives_over(before) {
            let LifeOver { address, life, by } = over;
            self.connections.forget(address);
            self.book().life_over(now + DOUBT_FOR, address);
            metrics::counter!("deckwind_route_lives_ended_total").increment(1);
            let by = by.map_or("-".to_string(), |life| life.to_string());
            log::info!("event=life_over target={address} life={life} by={by}");
        }
    }

    /// Takes what the leader answered when it was asked at `asked`: what it tells of
    /// the other routers, and repeats, which last as long as a lease.
    pub fn others_told(
        &self,
        asked: Instant,
        now: Instant,
        lasts: Duration,
        reported: &[EngineUse],
        grant: &Grant,
    ) {
        if self.repeats().told(asked, lasts, &grant.repeats) {
            self.repeats_came.notify_waiters();
        }
        self.routers.store(grant.routers, Ordering::Relaxed);
        self.limits_told(asked, now, grant);
        let mut book = self.book();
        book.use_told(reported, grant.in_use.as_ref());
        book.doubt(now + DOUBT_FOR, &grant.failing);
        book.are_full(now, &grant.full);
        book.slow_are(now + SLOW_FOR, grant.slow.iter().map(|p| p.address));
        metrics::gauge!("deckwind_route_targets_resting").set(book.notices.resting(now) as f64);
        drop(book);
        self.silences.told(now, &grant.failing);
        *self.told_at.lock().expect("no holder panics") = now;
    }

    /// What the leader is to hear of limits.
    pub fn limit_report(&self, now: Instant) -> LimitReport {
        self.book().limits.report(now)
    }

    /// Takes the leader's list of limited targets, where it told one.
    fn limits_told(&self, asked: Instant, now: Instant, grant: &Grant) {
        let mut book = self.book();
        let list = grant.limits.as_ref();
        let told = book.limits.told(asked, now, grant.term, list);
        let limited = book.limits.limited();
        drop(book);
        metrics::gauge!("deckwind_route_targets_limited").set(limited as f64);
        for target in told.begin {
            log::info!("event=limit_told {target}");
        }
        for target in told.over {
            log::info!("event=limit_over {target}");
        }
    }

    /// How old it is what the leader told of the other routers, for logs.
    pub fn told_age(&self, now: Instant) -> Duration {
        now.since(*self.told_at.lock().expect("no holder panics"))
    }

    /// A target has failed: it is avoided for a while, and the other routers
    /// hear of it if it is down.
    pub fn target_failed(&self, now: Instant, address: SocketAddr, fault: TargetFault, why: &str) {
        let mut book = self.book();
        let news = match fault {
            TargetFault::Down => !book.is_down(now, address),
            TargetFault::Answer => !book.avoids(now, address),
        };
        let wait = book.failed(now, address, fault);
        drop(book);
        if !news {
            return;
        }
        log::warn!(
            "event=target_avoided target={address} fault={fault:?} for_ms={} why={why:?}",
            wait.as_millis()
        );
        if fault == TargetFault::Answer {
            return;
        }
        self.tell_failing(address);
    }

    /// Has the leader hear of a target that fails.
    fn tell_failing(&self, address: SocketAddr) {
        let mut failing = self.failing.lock().expect("no holder panics");
        failing.push(address);
        self.to_tell.notify_one();
    }

    /// Engines that a stream passed through have answered.
    pub fn targets_answered(&self, addresses: &[SocketAddr]) {
        let mut book = self.book();
        addresses.iter().for_each(|a| book.answered(*a));
    }

    /// An engine has refused a request for want of room: it is avoided for a moment,
    /// and the other routers hear of it.
    pub fn had_no_room(&self, now: Instant, address: SocketAddr) {
        let full = self.book().had_no_room(now, address);
        metrics::counter!("deckwind_route_target_refusals_total").increment(1);
        self.full.lock().expect("no holder panics").push(full);
        self.full_to_tell.notify_one();
    }

    /// Waits until engines have refused requests of which the leader has not been
    /// told, and for what else comes in `collect`.
    pub async fn full(&self, collect: Duration) -> Vec<EngineFull> {
        loop {
            self.full_to_tell.notified().await;
            tokio::time::sleep(collect).await;
            let full = std::mem::take(&mut *self.full.lock().expect("no holder panics"));
            // The last refusal of an engine is the one that counts.
            let last: HashMap<SocketAddr, EngineFull> =
                full.into_iter().map(|f| (f.address, f)).collect();
            if !last.is_empty() {
                return last.into_values().collect();
            }
        }
    }

    /// Waits until targets have failed that the leader has not been told of.
    pub async fn failing(&self) -> Vec<SocketAddr> {
        loop {
            self.to_tell.notified().await;
            let mut failing = self.failing.lock().expect("no holder panics");
            if !failing.is_empty() {
                return std::mem::take(&mut failing);
            }
        }
    }

    /// A planned stop has begun: no longer ready, but still serving.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Lets less in from now on.
    pub fn restrict(&self, let_in: LetIn) {
        self.let_in.store(let_in as u8, Ordering::Relaxed);
    }

    /// Whether requests of this kind are let in.
    pub fn lets_in(&self, kind: RouteKind) -> bool {
        let refused_from = match kind.is_stream() {
            true => LetIn::NoStreams,
            false => LetIn::Nothing,
        };
        self.let_in.load(Ordering::Relaxed) < refused_from as u8
    }

    /// Whether connections end with their next answer.
    pub fn is_closing(&self) -> bool {
        self.let_in.load(Ordering::Relaxed) > LetIn::All as u8
    }
}

/// Lines of one change of the configuration: a data centre that comes is one line for
/// the rest of its targets.
const MOST_TARGET_LINES: usize = 64;

/// A line for each target of which this router now believes something else.
fn note_targets(before: &InstanceIndex, now: &InstanceIndex, revision: Revision) {
    // By id, not in pairs: there are thousands of targets.
    let known: HashMap<&str, &Instance> = before.iter().map(|i| (i.id.as_str(), i)).collect();
    let is_new = |i: &&Instance| {
        let known = known.get(i.id.as_str());
        known.is_none_or(|o| o.state != i.state || o.layers != i.layers || o.born != i.born)
    };
    let changed: Vec<&Instance> = now.iter().filter(is_new).collect();
    for i in changed.iter().take(MOST_TARGET_LINES) {
        log::info!(
            "event=target_changed target={} instance={} born={} pool={} state={:?} layers={}-{} revision={revision}",
            i.address,
            i.id,
            i.born.map_or("-".to_string(), |b| b.to_string()),
            i.pool,
            i.state,
            i.layers.first,
            i.layers.last
        );
    }
    let more = changed.len().saturating_sub(MOST_TARGET_LINES);
    if more > 0 {
        log::info!("event=targets_changed more={more} revision={revision}");
    }
    let there: HashSet<&str> = now.iter().map(|i| i.id.as_str()).collect();
    for gone in before.iter().filter(|i| !there.contains(i.id.as_str())) {
        log::info!(
            "event=target_gone target={} instance={} revision={revision}",
            gone.address,
            gone.id
        );
    }
}
