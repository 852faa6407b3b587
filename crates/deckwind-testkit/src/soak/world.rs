//! Targets, callers and an operator round the processes, and what they check.

use super::calls::{ENDS, FLOOD, ONCE, Outcome, Shared};
use super::limits::{LIMITS, check_limits};
use super::notices::{self, REST, Spans};
use super::{Harm, Proxy, Seen};
use crate::layout::Layout;
use anyhow::{Context, Result, bail, ensure};
use deckwind_fakes::{FakeRunner, RunnerFault, request_id};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Callers at once.
const CALLERS: u64 = 6;

/// Between two announcements of a target.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(300);

/// Between two releases.
const RELEASE_EVERY: Duration = Duration::from_millis(700);

/// One request in so many of a caller is such.
const ENDS_EVERY: u64 = 40;

/// Between two tries of such a request after the last fault: what one router saw is
/// known to all.
const TRY_AGAIN: Duration = Duration::from_millis(500);

/// Targets that may end under it after the last fault, and tries that then end none.
const MAY_END: u32 = 3;
const REFUSED_TRIES: u32 = 4;

/// A target with the proxy in front of it.
pub struct Target {
    id: String,
    pool: &'static str,
    data_centre: &'static str,
    runner: FakeRunner,
    proxy: Proxy,
    gone: AtomicBool,
    /// Announcements of its life.
    announced: AtomicU64,
    /// When its connections were harmed.
    harmed: Spans,
}

/// Everything round the processes.
pub struct World {
    shared: Arc<Shared>,
    announcing: JoinHandle<()>,
    next_target: u64,
}

/// Callers and the operator at work.
pub struct Work(Arc<Shared>, Vec<JoinHandle<()>>);

impl Work {
    /// Lets each finish what it does.
    pub async fn stop(self) {
        self.0.stop.store(true, Ordering::Relaxed);
        for task in self.1 {
            let _ = task.await;
        }
    }
}

impl World {
    /// Targets that announce themselves, and a first release.
    pub async fn start(layout: &Layout, seed: u64) -> Result<Self> {
        let shared = Arc::new(Shared {
            http: Client::builder(TokioExecutor::new()).build_http(),
            control: layout.control_calls.clone(),
            routers: layout.routers.iter().map(|r| r.routes).collect(),
            targets: Mutex::default(),
            acknowledged: AtomicU64::new(0),
            asked: AtomicU64::new(0),
            served: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            not_run: Mutex::default(),
            broken: Mutex::default(),
            disturbed: layout.routers.iter().map(|_| Spans::default()).collect(),
            stop: AtomicBool::new(false),
        });
        let announcing = tokio::spawn(announce_all(shared.clone()));
        let mut world = Self {
            shared,
            announcing,
            next_target: seed % 1_000 * 1_000,
        };
        for i in 0..3 {
            world.add("plain", ["recife-a", "fortaleza"][i % 2]).await?;
        }
        for i in 0..4 {
            world
                .add("engines", ["recife-a", "fortaleza"][i % 2])
                .await?;
        }
        Ok(world)
    }

    async fn add(&mut self, pool: &'static str, data_centre: &'static str) -> Result<()> {
        self.next_target += 1;
        let id = format!("{pool}-{}", self.next_target);
        let runner = FakeRunner::start(&id).await?;
        let proxy = Proxy::start(runner.address).await?;
        let target = Target {
            id,
            pool,
            data_centre,
            runner,
            proxy,
            gone: AtomicBool::new(false),
            announced: AtomicU64::new(0),
            harmed: Spans::default(),
        };
        let mut all = self.shared.targets.lock().expect("no holder panics");
        all.push(Arc::new(target));
        Ok(())
    }

    /// Waits until each kind of request is served.
    pub async fn until_served(&self, within: Duration) -> Result<()> {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if self.shared.acknowledged.load(Ordering::Relaxed) == 0 {
                self.shared.publish(1).await;
            }
            let mut served = 0;
            for (i, kind) in ["safe", ONCE, "stream"].iter().enumerate() {
                let id = format!("{kind}-probe-{}-{i}", self.shared.next_id());
                served += u32::from(self.shared.ask(kind, &id, 0).await == Outcome::Served);
            }
            if served == 3 {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        bail!(
            "not served again within {within:?}; {:?}",
            self.shared.broken()
        );
    }

    /// Starts callers and an operator.
    pub fn work(&self) -> Work {
        let mut tasks = vec![tokio::spawn(operate(self.shared.clone()))];
        for i in 0..CALLERS {
            tasks.push(tokio::spawn(call(self.shared.clone(), i)));
        }
        Work(self.shared.clone(), tasks)
    }

    /// Harms the connections of some targets for a while.
    pub fn harm_some(&self, rng: &mut ChaCha8Rng, length: Duration) {
        let harms = [
            Harm::Reset,
            Harm::Silent,
            Harm::OneWay,
            Harm::Slow,
            Harm::Delayed(Duration::from_millis(80)),
        ];
        let harm = harms[rng.random_range(0..harms.len())];
        let targets = self
            .shared
            .targets
            .lock()
            .expect("no holder panics")
            .clone();
        let target = targets[rng.random_range(0..targets.len())].clone();
        target.harmed.add(length);
        target.proxy.set(harm);
        tokio::spawn(async move {
            tokio::time::sleep(length).await;
            target.proxy.set(Harm::None);
        });
    }

    /// A target drains and leaves, and another comes.
    pub async fn replace_some(&mut self, rng: &mut ChaCha8Rng) -> Result<()> {
        let targets = self
            .shared
            .targets
            .lock()
            .expect("no holder panics")
            .clone();
        let live = targets.iter().filter(|t| !t.gone.load(Ordering::Relaxed));
        let live: Vec<&Arc<Target>> = live.collect();
        let old = live[rng.random_range(0..live.len())];
        self.add(old.pool, old.data_centre).await?;
        old.runner.say_it_leaves(true);
        old.gone.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// A target turns all away for a while, and asks each time to be left alone for
    /// longer.
    pub fn turn_away_some(&self, rng: &mut ChaCha8Rng, length: Duration) {
        let targets = self.shared.targets.lock().expect("no holder panics");
        let target = targets[rng.random_range(0..targets.len())].clone();
        let rest = REST.as_secs_f64().to_string();
        target.runner.ask_rest(Some(&rest));
        let refuses = RunnerFault::Refuses { at_fault: None };
        target.runner.set_fault(refuses);
        tokio::spawn(async move {
            tokio::time::sleep(length).await;
            target.runner.set_fault(RunnerFault::None);
        });
    }

    /// A target names a limit for a while, and another one after half of it.
    pub fn limit_some(&self, rng: &mut ChaCha8Rng, length: Duration) {
        let targets = self.shared.targets.lock().expect("no holder panics");
        let target = targets[rng.random_range(0..targets.len())].clone();
        let mut limit = || LIMITS[rng.random_range(0..LIMITS.len())];
        let (first, then) = (limit(), limit());
        tokio::spawn(async move {
            target.runner.name_limit(Some(first));
            tokio::time::sleep(length / 2).await;
            target.runner.name_limit(Some(then));
            tokio::time::sleep(length / 2).await;
            target.runner.name_limit(None);
        });
    }

    /// A router was killed, stopped, or stood still until now: it need not know what
    /// it was told.
    pub fn router_was_disturbed(&self, router: usize) {
        self.shared.disturbed[router].add_now();
    }

    /// A target starts again under its id: it holds nothing, and counts anew.
    pub fn start_some_again(&self, rng: &mut ChaCha8Rng) {
        let targets = self.shared.targets.lock().expect("no holder panics");
        let target = &targets[rng.random_range(0..targets.len())];
        target.runner.start_again();
        target.announced.store(0, Ordering::Relaxed);
    }

    /// Ends all harms.
    pub fn heal(&self) {
        for target in self.shared.targets.lock().expect("no holder panics").iter() {
            target.proxy.set(Harm::None);
        }
    }

    fn ended_by_requests(&self) -> u32 {
        let targets = self.shared.targets.lock().expect("no holder panics");
        targets.iter().map(|t| t.runner.ended_by_requests()).sum()
    }

    /// Checks that a request that ends its targets ends few, and then none.
    pub async fn check_ends(&self, within: Duration) -> Result<()> {
        let before = self.ended_by_requests();
        let mut refused = 0;
        let mut tries = 0;
        while refused < REFUSED_TRIES {
            self.until_served(within).await?;
            tokio::time::sleep(TRY_AGAIN).await;
            let id = format!("{ENDS}-last-{}", self.shared.next_id());
            let ended = self.ended_by_requests();
            let outcome = self.shared.ask(ENDS, &id, tries).await;
            tries += 1;
            let none = self.ended_by_requests() == ended;
            refused = match none && outcome == Outcome::Refused {
                true => refused + 1,
                false => 0,
            };
            let ended = self.ended_by_requests() - before;
            ensure!(ended <= MAY_END, "{ended} targets ended in {tries} tries");
        }
        Ok(())
    }

    /// Checks what must hold at the end.
    pub async fn check(&self, within: Duration) -> Result<Seen> {
        let acknowledged = self.shared.acknowledged.load(Ordering::Relaxed);
        let end = Instant::now() + within;
        let read = loop {
            match self.shared.read().await {
                Some(version) => break version,
                None if Instant::now() < end => tokio::time::sleep(ANNOUNCE_EVERY).await,
                None => bail!("the release can't be read back within {within:?}"),
            }
        };
        ensure!(
            read >= acknowledged,
            "version {read} is read back, {acknowledged} was acknowledged"
        );
        self.announcing.abort();
        self.check_runs()?;
        self.check_notices()?;
        let broken = self.shared.broken();
        ensure!(broken.is_empty(), "{broken:?}");
        let count = |n: &AtomicU64| n.load(Ordering::Relaxed);
        Ok(Seen {
            asked: count(&self.shared.asked),
            served: count(&self.shared.served),
            refused: count(&self.shared.refused),
            released: acknowledged,
            faults: 0,
        })
    }

    /// Routers heed what targets say of themselves.
    fn check_notices(&self) -> Result<()> {
        for target in self.shared.targets.lock().expect("no holder panics").iter() {
            let arrivals = target.runner.arrivals();
            let checked = notices::check(&arrivals, &self.shared.disturbed, &target.harmed);
            checked.with_context(|| target.id.clone())?;
            let checked = check_limits(&arrivals, &self.shared.disturbed, &target.harmed);
            checked.with_context(|| target.id.clone())?;
        }
        Ok(())
    }

    /// What targets saw: once means once, and "not run" is true.
    fn check_runs(&self) -> Result<()> {
        let mut ran = BTreeSet::new();
        let not_run = self.shared.not_run.lock().expect("no holder panics");
        for target in self.shared.targets.lock().expect("no holder panics").iter() {
            // One that a target turned away has not run there.
            for id in target.runner.ran() {
                ensure!(
                    !not_run.contains(&id),
                    "{id} ran, but was refused as not run"
                );
                let again = !ran.insert(id.clone());
                ensure!(!(again && id.starts_with(ONCE)), "{id} ran twice");
            }
            for seen in target.runner.seen() {
                let id = request_id(&seen);
                let key = seen.headers.contains_key("authorization");
                ensure!(!key, "{id} carried its key to a target");
            }
        }
        Ok(())
    }
}

async fn call(shared: Arc<Shared>, number: u64) {
    let kinds = ["safe", ONCE, "stream", FLOOD];
    while !shared.stop.load(Ordering::Relaxed) {
        let next = shared.next_id();
        let kind = match next % ENDS_EVERY {
            0 => ENDS,
            _ => kinds[(next % 4) as usize],
        };
        let id = format!("{kind}-{number}-{next}");
        let outcome = shared.ask(kind, &id, next as usize / 4).await;
        if outcome != Outcome::Served {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Publishes rising versions, and reads back what was acknowledged before.
async fn operate(shared: Arc<Shared>) {
    let mut version = 1;
    while !shared.stop.load(Ordering::Relaxed) {
        version += 1;
        shared.publish(version).await;
        let acknowledged = shared.acknowledged.load(Ordering::Relaxed);
        if let Some(read) = shared.read().await
            && read < acknowledged
        {
            let what = format!("version {read} was read after {acknowledged}");
            shared.note_broken(what);
        }
        tokio::time::sleep(RELEASE_EVERY).await;
    }
}

/// Announces all targets, and takes leave of those that are gone.
async fn announce_all(shared: Arc<Shared>) {
    loop {
        let targets = shared.targets.lock().expect("no holder panics").clone();
        // One that has ended under a request is away.
        for t in targets.iter().filter(|t| t.runner.listens()) {
            let gone = t.gone.load(Ordering::Relaxed);
            let state = if gone { "draining" } else { "ready" };
            let number = t.announced.fetch_add(1, Ordering::Relaxed) + 1;
            let mut body = t.runner.announcement(t.pool, t.data_centre, state, number);
            body["address"] = json!(t.proxy.address);
            let path = format!("/v1/instances/{}/heartbeat", t.id);
            if shared.call("POST", &path, &body).await.is_none() {
                break;
            }
        }
        tokio::time::sleep(ANNOUNCE_EVERY).await;
    }
}
