//! Fake engine that runs stages of the hash model, with faults.

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

/// Properties of a fake engine.
#[derive(Clone, Debug)]
pub struct FakeEngineConfig {
    /// Layers that the engine holds.
    pub layers: LayerRange,
    /// Number of layers of the whole model; the stage with the last layer returns
    /// tokens.
    pub model_layers: u32,
    /// Time that each step takes, independent of its number of positions.
    pub step_time: Duration,
    /// Age of the data in its load reports.
    pub load_lag: Duration,
    /// Whether the engine refuses orders with a stale fence.
    pub checks_fences: bool,
    /// Maximum number of prefixes in its cache; the oldest is evicted first.
    pub cache_prefixes: usize,
    /// Omits every n-th cache event from the answers; 0 omits none.
    pub lost_event_interval: u64,
}

impl FakeEngineConfig {
    /// Creates the configuration of an engine without delays for a range of a
    /// model's layers.
    pub fn new(layers: LayerRange, model_layers: u32) -> Self {
        Self {
            layers,
            model_layers,
            step_time: Duration::ZERO,
            load_lag: Duration::ZERO,
            checks_fences: true,
            cache_prefixes: 1_024,
            lost_event_interval: 0,
        }
    }
}

/// The fault that a fake engine injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineFault {
    /// No fault.
    None,
    /// Crashed: streams break, and no stage can be opened.
    Dead,
    /// Answers probes and opens stages, but completes no step until the fault
    /// changes.
    Frozen,
    /// Completes this many more steps, then crashes on receipt of the next.
    DiesBeforeStep(u32),
    /// Runs this many more steps, then crashes before it answers the last of them.
    DiesAfterStep(u32),
    /// Adds this time to each step.
    Slow(Duration),
}

/// Record that a range of layers was run for one position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Session ID.
    pub session: String,
    /// Position of the input in the session.
    pub position: u32,
    /// Layers that were run.
    pub layers: LayerRange,
    /// Attempt number of the step order.
    pub attempt: u32,
    /// Priority of the session.
    pub priority: Priority,
}

/// Cache entry of one position of a session.
#[derive(Clone, Debug)]
struct CachedPosition {
    output: Activation,
    /// Caches of all layers after this position.
    model: FakeModel,
}

#[derive(Clone, Debug)]
struct OpenSession {
    open: OpenStage,
    initial_model: FakeModel,
    positions: Vec<CachedPosition>,
    attempt: u32,
}

#[derive(Debug)]
struct State {
    fault: EngineFault,
    sessions: BTreeMap<(String, LayerRange), OpenSession>,
    imported: BTreeMap<(String, LayerRange), KvExport>,
    runs: Vec<Run>,
    load_history: VecDeque<(Instant, u32, u32)>,
    cached_prefixes: VecDeque<u64>,
    events: Vec<CacheEvent>,
    sequence: u64,
    fence: Fence,
    orders: Vec<TargetOrder>,
}

/// A fake engine. Clones share its state.
#[derive(Clone)]
pub struct FakeEngine {
    cfg: FakeEngineConfig,
    state: Arc<Mutex<State>>,
    fault_changed: Arc<tokio::sync::Notify>,
}

fn crashed() -> TargetError {
    TargetError::Broken("the engine died".to_string())
}

impl FakeEngine {
    /// Creates an engine without a fault.
    pub fn new(cfg: FakeEngineConfig) -> Self {
        let state = State {
            fault: EngineFault::None,
            sessions: BTreeMap::new(),
            imported: BTreeMap::new(),
            runs: Vec::new(),
            load_history: VecDeque::from([(Instant::now(), 0, 0)]),
            cached_prefixes: VecDeque::new(),
            events: Vec::new(),
            sequence: 0,
            fence: Fence::default(),
            orders: Vec::new(),
        };
        Self {
            cfg,
            state: Arc::new(Mutex::new(state)),
            fault_changed: Arc::default(),
        }
    }

    /// Sets or clears the injected fault. [`EngineFault::Dead`] discards all
    /// sessions.
    pub fn set_fault(&self, fault: EngineFault) {
        let mut s = self.lock();
        s.fault = fault;
        if fault == EngineFault::Dead {
            s.sessions.clear();
        }
        drop(s);
        self.fault_changed.notify_waiters();
    }

    /// Returns all runs so far. Replays from the cache aren't counted as runs.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Whether the engine has crashed.
    pub fn has_crashed(&self) -> bool {
        self.lock().fault == EngineFault::Dead
    }

    /// Returns the number of open stages.
    pub fn open_stages(&self) -> usize {
        self.lock().sessions.len()
    }

    /// Returns the orders accepted so far.
    pub fn orders(&self) -> Vec<TargetOrder> {
        self.lock().orders.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn open_stage(&self, open: OpenStage) -> Result<Box<dyn StageStream>, TargetError> {
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
        s.record_load();
        Ok(Box::new(FakeStage {
            engine: self.clone(),
            key,
            open: true,
        }))
    }

    fn close(&self, key: &(String, LayerRange)) {
        let mut s = self.lock();
        s.sessions.remove(key);
        s.record_load();
    }

    async fn step(
        &self,
        key: &(String, LayerRange),
        order: StepOrder,
    ) -> Result<StepOutput, TargetError> {
        let fault_changed = self.fault_changed.notified();
        let delay = self.lock().step_delay(self.cfg.step_time)?;
        match delay {
            Some(time) if time.is_zero() => {}
            Some(time) => tokio::time::sleep(time).await,
            None => fault_changed.await,
        }
        let mut s = self.lock();
        let is_last_stage = key.1.last == self.cfg.model_layers;
        s.run_step(key, order, is_last_stage)
    }

    fn current_load(&self) -> Result<EngineLoad, TargetError> {
        let s = self.lock();
        if s.fault == EngineFault::Dead {
            return Err(crashed());
        }
        let lag = self.cfg.load_lag;
        let is_old_enough = |(at, _, _): &&(Instant, u32, u32)| at.elapsed() >= lag;
        let seen = s
            .load_history
            .iter()
            .rev()
            .find(is_old_enough)
            .or(s.load_history.front());
        let (_, load, sessions) = seen.copied().unwrap_or((Instant::now(), 0, 0));
        Ok(EngineLoad {
            load,
            sessions,
            age_ms: lag.as_millis() as u64,
        })
    }

    fn cache_events_from(&self, from: u64) -> CacheEvents {
        let s = self.lock();
        let is_lost = |e: &CacheEvent| {
            let interval = self.cfg.lost_event_interval;
            interval > 0 && e.sequence.is_multiple_of(interval)
        };
        let events = s
            .events
            .iter()
            .filter(|e| e.sequence >= from && !is_lost(e));
        CacheEvents {
            events: events.copied().collect(),
            next: s.sequence + 1,
        }
    }

    fn export_session(&self, session: &str) -> Result<KvExport, TargetError> {
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

    fn apply_order(&self, order: TargetOrder) -> Result<(), TargetError> {
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
        let initial_model = FakeModel::new(open.layers);
        let mut session = Self {
            open,
            initial_model,
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
        let unreadable = || TargetError::Refused("the export can't be read".to_string());
        let rows: Vec<(String, Vec<u64>)> =
            serde_json::from_str(&kv.data.0).map_err(|_| unreadable())?;
        for (output, caches) in rows {
            let model = FakeModel::from_caches(kv.layers, caches).ok_or_else(unreadable)?;
            self.positions.push(CachedPosition {
                output: Activation(output),
                model,
            });
        }
        Ok(())
    }

    /// Runs the positions of a step order, or replays them from the cache.
    ///
    /// Returns the outputs and the number of positions that were run.
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
            .map_or(&self.initial_model, |p| &p.model)
            .clone();
        for input in &order.inputs {
            let output = model.run(input);
            self.positions.push(CachedPosition {
                output,
                model: model.clone(),
            });
        }
        let entries = self.positions[first..].iter();
        Ok((
            entries.map(|p| p.output.clone()).collect(),
            order.inputs.len() as u32,
        ))
    }
}

impl State {
    /// Returns the duration of the next step; `None` if it can't proceed until the
    /// fault changes.
    fn step_delay(&mut self, step_time: Duration) -> Result<Option<Duration>, TargetError> {
        match self.fault {
            EngineFault::Dead => Err(crashed()),
            EngineFault::Frozen => Ok(None),
            EngineFault::Slow(more) => Ok(Some(step_time + more)),
            EngineFault::DiesBeforeStep(0) => {
                self.crash();
                Err(crashed())
            }
            EngineFault::DiesBeforeStep(n) => {
                self.fault = EngineFault::DiesBeforeStep(n - 1);
                Ok(Some(step_time))
            }
            EngineFault::None | EngineFault::DiesAfterStep(_) => Ok(Some(step_time)),
        }
    }

    fn crash(&mut self) {
        self.fault = EngineFault::Dead;
        self.sessions.clear();
        self.record_load();
    }

    fn run_step(
        &mut self,
        key: &(String, LayerRange),
        order: StepOrder,
        is_last_stage: bool,
    ) -> Result<StepOutput, TargetError> {
        let session = self.sessions.get_mut(key).ok_or_else(crashed)?;
        let (outputs, run_count) = session.run(&order)?;
        let priority = session.open.priority;
        for i in 0..run_count {
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
                self.crash();
                return Err(crashed());
            }
        }
        let last = outputs.last().filter(|_| is_last_stage);
        let token = last.map(FakeModel::token);
        Ok(StepOutput {
            attempt: order.attempt,
            position: order.position,
            outputs,
            token,
            load: self.load_history.back().map(|(_, load, _)| *load),
        })
    }

    fn record_load(&mut self) {
        let load = self.sessions.keys().map(|(_, l)| l.len()).sum();
        let sessions = self.sessions.len() as u32;
        self.load_history
            .push_back((Instant::now(), load, sessions));
        const MAX_LOADS: usize = 1_024;
        if self.load_history.len() > MAX_LOADS {
            self.load_history.pop_front();
        }
    }

    fn cache_prefixes(&mut self, prefixes: &[u64], cfg: &FakeEngineConfig) {
        for prefix in prefixes {
            if self.cached_prefixes.contains(prefix) {
                continue;
            }
            self.cached_prefixes.push_back(*prefix);
            self.push_event(CacheEventKind::Stored, *prefix);
            if self.cached_prefixes.len() > cfg.cache_prefixes
                && let Some(old) = self.cached_prefixes.pop_front()
            {
                self.push_event(CacheEventKind::Removed, old);
            }
        }
    }

    fn push_event(&mut self, kind: CacheEventKind, prefix: u64) {
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
        Box::pin(async move { self.open_stage(open) })
    }

    fn load(&self) -> BoxFuture<'_, Result<EngineLoad, TargetError>> {
        Box::pin(async move { self.current_load() })
    }

    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<CacheEvents, TargetError>> {
        Box::pin(async move { Ok(self.cache_events_from(from)) })
    }

    fn export_kv(&self, session: String) -> BoxFuture<'_, Result<KvExport, TargetError>> {
        Box::pin(async move { self.export_session(&session) })
    }

    fn import_kv(&self, kv: KvExport) -> BoxFuture<'_, Result<(), TargetError>> {
        Box::pin(async move {
            let key = (kv.session.clone(), kv.layers);
            self.lock().imported.insert(key, kv);
            Ok(())
        })
    }

    fn order(&self, order: TargetOrder) -> BoxFuture<'_, Result<(), TargetError>> {
        Box::pin(async move { self.apply_order(order) })
    }
}

/// An open stage of a fake engine.
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
