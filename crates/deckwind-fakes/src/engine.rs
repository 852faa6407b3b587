//! The fake engine.

use crate::model::FakeModel;
use deckwind_core::replication::Fence;
use deckwind_core::session::{Activation, StepOrder, StepOutput};
use deckwind_core::state::{LayerRange, Priority};
use deckwind_net::BoxFuture;
use deckwind_net::targets::{
    CacheEvent, CacheEventKind, CacheEvents, Engine, EngineLoad, KvExport, OpenStage, StageStream,
    TargetError, TargetOrder,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What a fake engine is like.
#[derive(Clone, Debug)]
pub struct FakeEngineConfig {
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Layers of the whole model; the stage that ends it makes tokens.
    pub model_layers: u32,
    /// Time of a step, whatever its size.
    pub step_time: Duration,
    /// How late its load report is.
    pub load_lag: Duration,
    /// Whether it checks fences.
    pub checks_fences: bool,
    /// Prefixes that its cache keeps.
    pub cache_prefixes: usize,
    /// Every n-th cache event is lost; 0 for none.
    pub lose_event_every: u64,
}

impl FakeEngineConfig {
    /// A fast engine for a range of a model's layers.
    pub fn new(layers: LayerRange, model_layers: u32) -> Self {
        Self {
            layers,
            model_layers,
            step_time: Duration::ZERO,
            load_lag: Duration::ZERO,
            checks_fences: true,
            cache_prefixes: 1_024,
            lose_event_every: 0,
        }
    }
}

/// What is wrong with a fake engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineFault {
    /// Nothing.
    None,
    /// It is gone: streams break, nothing is opened.
    Dead,
    /// It answers probes and opens stages, but no step ends.
    Frozen,
    /// It dies when it gets the step after this many more.
    DiesBeforeStep(u32),
    /// It runs this many more steps, and dies before the answer of the last.
    DiesAfterStep(u32),
    /// Each step takes this much longer.
    Slow(Duration),
}

/// One run of a range of layers for one position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Session.
    pub session: String,
    /// Position.
    pub position: u32,
    /// Layers.
    pub layers: LayerRange,
    /// Attempt.
    pub attempt: u32,
    /// Order of service.
    pub priority: Priority,
}

/// One position in a session's cache.
#[derive(Clone, Debug)]
struct CachedPosition {
    output: Activation,
    /// Caches of all layers after this position.
    model: FakeModel,
}

#[derive(Clone, Debug)]
struct OpenSession {
    open: OpenStage,
    empty: FakeModel,
    positions: Vec<CachedPosition>,
    attempt: u32,
}

#[derive(Debug)]
struct State {
    fault: EngineFault,
    sessions: BTreeMap<(String, LayerRange), OpenSession>,
    imported: BTreeMap<(String, LayerRange), KvExport>,
    runs: Vec<Run>,
    loads: VecDeque<(Instant, u32, u32)>,
    cached: VecDeque<u64>,
    events: Vec<CacheEvent>,
    sequence: u64,
    fence: Fence,
    orders: Vec<TargetOrder>,
}

/// A fake engine; clones share it.
#[derive(Clone)]
pub struct FakeEngine {
    cfg: FakeEngineConfig,
    state: Arc<Mutex<State>>,
    woken: Arc<tokio::sync::Notify>,
}

fn dead() -> TargetError {
    TargetError::Broken("the engine died".to_string())
}

impl FakeEngine {
    /// An engine in good health.
    pub fn new(cfg: FakeEngineConfig) -> Self {
        let state = State {
            fault: EngineFault::None,
            sessions: BTreeMap::new(),
            imported: BTreeMap::new(),
            runs: Vec::new(),
            loads: VecDeque::from([(Instant::now(), 0, 0)]),
            cached: VecDeque::new(),
            events: Vec::new(),
            sequence: 0,
            fence: Fence::default(),
            orders: Vec::new(),
        };
        Self {
            cfg,
            state: Arc::new(Mutex::new(state)),
            woken: Arc::default(),
        }
    }

    /// Makes something go wrong, or right again. Sessions of a dead engine are
    /// lost.
    pub fn set_fault(&self, fault: EngineFault) {
        let mut s = self.lock();
        s.fault = fault;
        if fault == EngineFault::Dead {
            s.sessions.clear();
        }
        drop(s);
        self.woken.notify_waiters();
    }

    /// Runs so far; replays of what a cache held are none.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Whether it has died.
    pub fn is_dead(&self) -> bool {
        self.lock().fault == EngineFault::Dead
    }

    /// Open stages.
    pub fn open_stages(&self) -> usize {
        self.lock().sessions.len()
    }

    /// Orders taken so far.
    pub fn orders(&self) -> Vec<TargetOrder> {
        self.lock().orders.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn open_now(&self, open: OpenStage) -> Result<Box<dyn StageStream>, TargetError> {
        let mut s = self.lock();
        if s.fault == EngineFault::Dead {
            return Err(TargetError::NotSent("the engine is dead".to_string()));
        }
        let held = self.cfg.layers;
        if open.layers.first < held.first || open.layers.last > held.last || open.layers.is_empty()
        {
            return Err(TargetError::Refused("layers not held".to_string()));
        }
        s.cache_prefixes(&open.prefixes, &self.cfg);
        let key = (open.session.clone(), open.layers);
        let imported = s.imported.remove(&key);
        let session = OpenSession::new(open, imported)?;
        s.sessions.insert(key.clone(), session);
        s.note_load();
        Ok(Box::new(FakeStage {
            engine: self.clone(),
            key,
            open: true,
        }))
    }

    fn close(&self, key: &(String, LayerRange)) {
        let mut s = self.lock();
        s.sessions.remove(key);
        s.note_load();
    }

    async fn step(
        &self,
        key: &(String, LayerRange),
        order: StepOrder,
    ) -> Result<StepOutput, TargetError> {
        let woken = self.woken.notified();
        let wait = self.lock().before_step(self.cfg.step_time)?;
        match wait {
            Some(time) if time.is_zero() => {}
            Some(time) => tokio::time::sleep(time).await,
            None => woken.await,
        }
        let mut s = self.lock();
        let model_ends = key.1.last == self.cfg.model_layers;
        s.run_step(key, order, model_ends)
    }

    fn load_now(&self) -> Result<EngineLoad, TargetError> {
        let s = self.lock();
        if s.fault == EngineFault::Dead {
            return Err(dead());
        }
        let lag = self.cfg.load_lag;
        let old_enough = |(at, _, _): &&(Instant, u32, u32)| at.elapsed() >= lag;
        let seen = s.loads.iter().rev().find(old_enough).or(s.loads.front());
        let (_, load, sessions) = seen.copied().unwrap_or((Instant::now(), 0, 0));
        Ok(EngineLoad {
            load,
            sessions,
            age_ms: lag.as_millis() as u64,
        })
    }

    fn events_from(&self, from: u64) -> CacheEvents {
        let s = self.lock();
        let lost = |e: &CacheEvent| {
            let every = self.cfg.lose_event_every;
            every > 0 && e.sequence.is_multiple_of(every)
        };
        let events = s.events.iter().filter(|e| e.sequence >= from && !lost(e));
        CacheEvents {
            events: events.copied().collect(),
            next: s.sequence + 1,
        }
    }

    fn export_now(&self, session: &str) -> Result<KvExport, TargetError> {
        let s = self.lock();
        let found = s.sessions.iter().find(|((name, _), _)| name == session);
        let ((_, layers), open) =
            found.ok_or_else(|| TargetError::Refused("no such session".to_string()))?;
        Ok(KvExport {
            session: session.to_string(),
            layers: *layers,
            positions: open.positions.len() as u32,
            data: open.export(),
        })
    }

    fn order_now(&self, order: TargetOrder) -> Result<(), TargetError> {
        let mut s = self.lock();
        if self.cfg.checks_fences && order.fence <= s.fence {
            return Err(TargetError::Refused("old fence".to_string()));
        }
        s.fence = s.fence.max(order.fence);
        s.orders.push(order);
        Ok(())
    }
}

impl OpenSession {
    fn new(open: OpenStage, imported: Option<KvExport>) -> Result<Self, TargetError> {
        let empty = FakeModel::new(open.layers);
        let mut session = Self {
            open,
            empty,
            positions: Vec::new(),
            attempt: 0,
        };
        if let Some(kv) = imported {
            session.import(&kv)?;
        }
        Ok(session)
    }

    fn export(&self) -> Activation {
        let rows: Vec<(&str, &[u64])> = self
            .positions
            .iter()
            .map(|p| (p.output.0.as_str(), p.model.caches()))
            .collect();
        Activation(serde_json::to_string(&rows).unwrap_or_default())
    }

    fn import(&mut self, kv: &KvExport) -> Result<(), TargetError> {
        let damaged = || TargetError::Refused("the export can't be read".to_string());
        let rows: Vec<(String, Vec<u64>)> =
            serde_json::from_str(&kv.data.0).map_err(|_| damaged())?;
        for (output, caches) in rows {
            let model = FakeModel::from_caches(kv.layers, caches).ok_or_else(damaged)?;
            self.positions.push(CachedPosition {
                output: Activation(output),
                model,
            });
        }
        Ok(())
    }

    /// Runs or replays the positions of an order.
    fn run(&mut self, order: &StepOrder) -> Result<(Vec<Activation>, u32), TargetError> {
        let refused = |why: &str| Err(TargetError::Refused(why.to_string()));
        if order.attempt < self.attempt {
            return refused("old attempt");
        }
        self.attempt = order.attempt;
        let first = order.position as usize;
        let end = first + order.inputs.len();
        if order.replay {
            if end > self.positions.len() {
                return refused("not in the cache");
            }
            let held = self.positions[first..end].iter();
            return Ok((held.map(|p| p.output.clone()).collect(), 0));
        }
        if first > self.positions.len() {
            return refused("positions are missing");
        }
        self.positions.truncate(first);
        let mut model = self
            .positions
            .last()
            .map_or(&self.empty, |p| &p.model)
            .clone();
        for input in &order.inputs {
            let output = model.run(input);
            self.positions.push(CachedPosition {
                output,
                model: model.clone(),
            });
        }
        let ran = self.positions[first..].iter();
        Ok((
            ran.map(|p| p.output.clone()).collect(),
            order.inputs.len() as u32,
        ))
    }
}

impl State {
    /// How long the step takes; nothing for "until something changes".
    fn before_step(&mut self, step_time: Duration) -> Result<Option<Duration>, TargetError> {
        match self.fault {
            EngineFault::Dead => Err(dead()),
            EngineFault::Frozen => Ok(None),
            EngineFault::Slow(more) => Ok(Some(step_time + more)),
            EngineFault::DiesBeforeStep(0) => {
                self.die();
                Err(dead())
            }
            EngineFault::DiesBeforeStep(n) => {
                self.fault = EngineFault::DiesBeforeStep(n - 1);
                Ok(Some(step_time))
            }
            EngineFault::None | EngineFault::DiesAfterStep(_) => Ok(Some(step_time)),
        }
    }

    fn die(&mut self) {
        self.fault = EngineFault::Dead;
        self.sessions.clear();
        self.note_load();
    }

    fn run_step(
        &mut self,
        key: &(String, LayerRange),
        order: StepOrder,
        model_ends: bool,
    ) -> Result<StepOutput, TargetError> {
        let session = self.sessions.get_mut(key).ok_or_else(dead)?;
        let (outputs, ran) = session.run(&order)?;
        let priority = session.open.priority;
        for i in 0..ran {
            self.runs.push(Run {
                session: key.0.clone(),
                position: order.position + i,
                layers: key.1,
                attempt: order.attempt,
                priority,
            });
        }
        if let EngineFault::DiesAfterStep(n) = self.fault {
            self.fault = EngineFault::DiesAfterStep(n.saturating_sub(1));
            if n <= 1 {
                self.die();
                return Err(dead());
            }
        }
        let last = outputs.last().filter(|_| model_ends);
        let token = last.map(FakeModel::token);
        Ok(StepOutput {
            attempt: order.attempt,
            position: order.position,
            outputs,
            token,
            load: self.loads.back().map(|(_, load, _)| *load),
        })
    }

    fn note_load(&mut self) {
        let load = self.sessions.keys().map(|(_, l)| l.len()).sum();
        let sessions = self.sessions.len() as u32;
        self.loads.push_back((Instant::now(), load, sessions));
        const KEPT: usize = 1_024;
        if self.loads.len() > KEPT {
            self.loads.pop_front();
        }
    }

    fn cache_prefixes(&mut self, prefixes: &[u64], cfg: &FakeEngineConfig) {
        for prefix in prefixes {
            if self.cached.contains(prefix) {
                continue;
            }
            self.cached.push_back(*prefix);
            self.event(CacheEventKind::Stored, *prefix);
            if self.cached.len() > cfg.cache_prefixes
                && let Some(old) = self.cached.pop_front()
            {
                self.event(CacheEventKind::Removed, old);
            }
        }
    }

    fn event(&mut self, kind: CacheEventKind, prefix: u64) {
        self.sequence += 1;
        self.events.push(CacheEvent {
            sequence: self.sequence,
            kind,
            prefix,
        });
    }
}

impl Engine for FakeEngine {
    fn open(&self, open: OpenStage) -> BoxFuture<'_, Result<Box<dyn StageStream>, TargetError>> {
        Box::pin(async move { self.open_now(open) })
    }

    fn load(&self) -> BoxFuture<'_, Result<EngineLoad, TargetError>> {
        Box::pin(async move { self.load_now() })
    }

    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<CacheEvents, TargetError>> {
        Box::pin(async move { Ok(self.events_from(from)) })
    }

    fn export_kv(&self, session: String) -> BoxFuture<'_, Result<KvExport, TargetError>> {
        Box::pin(async move { self.export_now(&session) })
    }

    fn import_kv(&self, kv: KvExport) -> BoxFuture<'_, Result<(), TargetError>> {
        Box::pin(async move {
            let key = (kv.session.clone(), kv.layers);
            self.lock().imported.insert(key, kv);
            Ok(())
        })
    }

    fn order(&self, order: TargetOrder) -> BoxFuture<'_, Result<(), TargetError>> {
        Box::pin(async move { self.order_now(order) })
    }
}

/// A stage that is open at a fake engine.
struct FakeStage {
    engine: FakeEngine,
    key: (String, LayerRange),
    open: bool,
}

impl StageStream for FakeStage {
    fn step(&mut self, order: StepOrder) -> BoxFuture<'_, Result<StepOutput, TargetError>> {
        Box::pin(async move { self.engine.step(&self.key, order).await })
    }

    fn close(mut self: Box<Self>) -> BoxFuture<'static, ()> {
        self.open = false;
        self.engine.close(&self.key);
        Box::pin(async {})
    }
}

impl Drop for FakeStage {
    fn drop(&mut self) {
        if self.open {
            self.engine.close(&self.key);
        }
    }
}
