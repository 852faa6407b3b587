//! Drives one chat session: carries out what [`Session`] asks for.

use super::shared::RouterShared;
use super::template_runs::TemplateRun;
use deckwind_core::router::{ChatWork, Entered};
use deckwind_core::routing::{ChainNeed, LoadReport, PlannedStage, PrefixHash, TargetKey};
use deckwind_core::session::{
    Activation, Chain, EndReason, Session, SessionAction, SessionEvent, SessionLimits, Stage,
    StageFault, StageKey, StepOrder, Token,
};
use deckwind_core::state::{ContentDigest, LayerRange, TargetName};
use deckwind_net::targets::{OpenStage, StageStream, TargetError};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// What a session tells the caller's side.
#[derive(Clone, Debug, PartialEq)]
pub enum ChatEvent {
    /// A token.
    Token(Token),
    /// The end.
    End {
        /// Why.
        reason: EndReason,
        /// Whether any stage may have run any part of it.
        ran: bool,
    },
}

/// What a session needs.
pub struct ChatJob {
    /// Request id.
    pub id: String,
    /// The request.
    pub entered: Entered,
    /// Its model.
    pub work: ChatWork,
    /// What it is, whoever sends it again.
    pub content: ContentDigest,
    /// One input a position.
    pub prompt: Vec<Activation>,
    /// Prefixes of the prompt.
    pub prefixes: Vec<PrefixHash>,
    /// Most tokens of the answer.
    pub max_tokens: u32,
}

/// Pause before a chain is looked for again when none was found.
const REPLAN_PAUSE: Duration = Duration::from_millis(100);

/// How long a session that has begun waits for targets to come back.
const REPLAN_WITHIN: Duration = Duration::from_secs(10);

/// A stage that is open, or could not be opened.
struct OpenedStage {
    target: TargetKey,
    layers: LayerRange,
    stream: Result<Box<dyn StageStream>, TargetError>,
    /// Its run there; nothing where it could not be opened.
    run: Option<TemplateRun>,
}

/// Runs one session to its end.
pub struct ChatRun {
    shared: Arc<RouterShared>,
    job: ChatJob,
    tx: mpsc::Sender<ChatEvent>,
    session: Session,
    stages: BTreeMap<StageKey, OpenedStage>,
    /// Planned and counted, not yet opened.
    planned: Vec<PlannedStage>,
    started: bool,
    /// A step was sent to a stage.
    ran: bool,
}

impl ChatRun {
    /// For a job whose events go to `tx`.
    pub fn new(shared: Arc<RouterShared>, job: ChatJob, tx: mpsc::Sender<ChatEvent>) -> Self {
        let limits = SessionLimits {
            max_tokens: job.max_tokens,
            ..SessionLimits::default()
        };
        let session = Session::new(job.work.layers, job.prompt.clone(), limits);
        Self {
            shared,
            job,
            tx,
            session,
            stages: BTreeMap::new(),
            planned: Vec::new(),
            started: false,
            ran: false,
        }
    }

    /// Runs it.
    pub async fn run(mut self) {
        let mut todo = Vec::new();
        self.session.start(&mut todo);
        let mut todo = VecDeque::from(todo);
        while let Some(action) = todo.pop_front() {
            let Some(event) = self.perform(action).await else {
                continue;
            };
            let mut more = Vec::new();
            self.session.step(event, &mut more);
            todo.extend(more);
        }
        self.close().await;
    }

    async fn perform(&mut self, action: SessionAction) -> Option<SessionEvent> {
        match action {
            SessionAction::Plan { avoid, missing } => Some(self.plan(avoid, missing).await),
            SessionAction::Open { key, with } => {
                self.open(key, with).await;
                None
            }
            SessionAction::Step { key, order } => Some(self.step(key, order).await),
            SessionAction::Deliver { token, .. } => {
                let sent = self.tx.send(ChatEvent::Token(token)).await;
                sent.is_err().then_some(SessionEvent::CallerGone)
            }
            SessionAction::Close { key } => {
                if let Some(stage) = self.stages.remove(&key) {
                    self.end_stage(&stage);
                }
                None
            }
            SessionAction::End(reason) => {
                if reason == EndReason::Complete {
                    let now = self.shared.clock.now();
                    self.shared.routes.suspects.served(now, self.job.content);
                }
                let ran = self.ran;
                let _ = self.tx.send(ChatEvent::End { reason, ran }).await;
                log::info!(
                    "event=session_ended request={} revision={} reason={reason:?} tokens={} attempts={}",
                    self.job.id,
                    self.shared.revision(),
                    self.session.delivered(),
                    self.session.attempt()
                );
                None
            }
        }
    }

    /// Looks for stages until there are some, the caller goes or time is over.
    async fn plan(&mut self, avoid: BTreeSet<TargetName>, missing: LayerRange) -> SessionEvent {
        let within = if self.started {
            REPLAN_WITHIN
        } else {
            Duration::ZERO
        };
        let deadline = self.shared.clock.now() + within;
        loop {
            if self.shared.may_be_sent(&self.job.content).is_err() {
                return SessionEvent::NoChain;
            }
            if let Some(chain) = self.plan_once(&avoid, missing) {
                self.started = true;
                return SessionEvent::Planned(chain);
            }
            if self.shared.clock.now() >= deadline {
                return SessionEvent::NoChain;
            }
            tokio::select! {
                () = self.tx.closed() => return SessionEvent::CallerGone,
                () = tokio::time::sleep(REPLAN_PAUSE) => {}
            }
        }
    }

    /// Stages for the missing layers, best on targets that have not failed here
    /// yet; if there are none, a whole new chain, which costs the caches of the
    /// stages that live.
    fn plan_once(&mut self, avoid: &BTreeSet<TargetName>, missing: LayerRange) -> Option<Chain> {
        let whole = LayerRange::new(0, self.job.work.layers);
        let ways = [
            (missing, avoid.clone()),
            (missing, BTreeSet::new()),
            (whole, avoid.clone()),
            (whole, BTreeSet::new()),
        ];
        ways.into_iter()
            .find_map(|(layers, avoid)| self.plan_layers(layers, avoid))
    }

    fn plan_layers(&mut self, layers: LayerRange, avoid: BTreeSet<TargetName>) -> Option<Chain> {
        self.end_planned();
        let need = ChainNeed {
            group: self.job.work.group.clone(),
            adapter: self.job.work.adapter.clone(),
            layers,
            prompt: self.job.prompt.len() as u32,
            answer: self.job.max_tokens,
            prefixes: self.job.prefixes.clone(),
            avoid,
        };
        let now = self.shared.clock.now();
        let mut core = self.shared.core();
        let planned = core.plan_chain(now, &need).ok()?;
        let kept = self.session.chain().filter(|s| !overlaps(s.layers, layers));
        let mut stages: Vec<Stage> = kept.cloned().collect();
        for p in &planned {
            let target = core.fleet().get(p.target)?.name.clone();
            let layers = p.layers;
            stages.push(Stage { target, layers });
        }
        stages.sort_by_key(|s| s.layers.first);
        drop(core);
        self.planned = planned;
        Chain::new(stages, self.job.work.layers).ok()
    }

    async fn open(&mut self, key: StageKey, with: Stage) {
        let is_it = |p: &PlannedStage| p.layers == with.layers;
        let Some(planned) = self.planned.iter().find(|p| is_it(p)).copied() else {
            return;
        };
        self.planned.retain(|p| *p != planned);
        let address = self
            .shared
            .core()
            .fleet()
            .get(planned.target)
            .map(|t| t.address);
        let run = address.map(|a| TemplateRun::begin(&self.shared, self.job.content, a));
        let stream = match address {
            Some(address) => {
                let engine = self.shared.clients.engine(address);
                let opening = engine.open(self.open_request(with.layers));
                let limit = self.step_limit(planned.target, with.layers, 1);
                let opened = tokio::time::timeout(limit, opening).await;
                opened.unwrap_or(Err(TargetError::Late(limit)))
            }
            None => Err(TargetError::NotSent("the target is gone".to_string())),
        };
        let opened = OpenedStage {
            target: planned.target,
            layers: with.layers,
            stream,
            run,
        };
        self.stages.insert(key, opened);
    }

    fn open_request(&self, layers: LayerRange) -> OpenStage {
        OpenStage {
            session: self.job.id.clone(),
            layers,
            adapter: self.job.work.adapter.clone(),
            priority: self.job.entered.priority,
            prefixes: self.job.prefixes.iter().map(|p| p.0).collect(),
        }
    }

    fn step_limit(&self, target: TargetKey, layers: LayerRange, positions: usize) -> Duration {
        let now = self.shared.clock.now();
        self.shared
            .core()
            .step_limit(now, target, layers, positions)
    }

    async fn step(&mut self, key: StageKey, order: StepOrder) -> SessionEvent {
        self.end_planned();
        let Some(stage) = self.stages.get(&key) else {
            let fault = StageFault::Broken;
            return SessionEvent::Fault { key, fault };
        };
        let (target, layers) = (stage.target, stage.layers);
        let positions = order.inputs.len();
        let limit = self.step_limit(target, layers, positions);
        let began = self.shared.clock.now();
        self.ran = true;
        let stage = self.stages.get_mut(&key).expect("just seen");
        let result = match &mut stage.stream {
            Ok(stream) => tokio::select! {
                () = self.tx.closed() => return SessionEvent::CallerGone,
                answered = tokio::time::timeout(limit, stream.step(order)) => {
                    answered.unwrap_or(Err(TargetError::Late(limit)))
                }
            },
            Err(e) => Err(e.clone()),
        };
        let now = self.shared.clock.now();
        match result {
            Ok(output) => {
                let took = now.since(began);
                let mut core = self.shared.core();
                core.stage_progressed(now, target, took, layers, positions);
                if let Some(load) = output.load {
                    core.load_reported(now, target, LoadReport { load });
                }
                drop(core);
                if let Some(run) = self.stages.get_mut(&key).and_then(|s| s.run.as_mut()) {
                    run.progressed();
                }
                SessionEvent::Output { key, output }
            }
            Err(e) => {
                self.note_fault(target, &e);
                let run = self.stages.get(&key).and_then(|s| s.run.as_ref());
                if let (TargetError::Broken(_), Some(run)) = (&e, run) {
                    run.broke().await;
                }
                let fault = fault_of(&e);
                SessionEvent::Fault { key, fault }
            }
        }
    }

    fn note_fault(&self, target: TargetKey, e: &TargetError) {
        if let TargetError::Rests(rest) = e {
            self.shared.target_rests(target, *rest);
        }
        let now = self.shared.clock.now();
        let mut core = self.shared.core();
        core.target_failed(now, target);
        let name = core.fleet().get(target).map(|t| t.name.to_string());
        metrics::counter!("deckwind_router_stage_faults_total").increment(1);
        log::warn!(
            "event=stage_failed request={} target={} position={} error={:?}",
            self.job.id,
            name.unwrap_or_default(),
            self.session.delivered(),
            e.to_string()
        );
    }

    fn end_stage(&self, stage: &OpenedStage) {
        let now = self.shared.clock.now();
        self.shared
            .core()
            .stage_ended(now, stage.target, stage.layers);
    }

    async fn close(mut self) {
        for stage in std::mem::take(&mut self.stages).into_values() {
            self.end_stage(&stage);
            if let Ok(stream) = stage.stream {
                stream.close().await;
            }
        }
        self.end_planned();
    }

    /// Takes back the count of stages that were planned and never opened: a
    /// kept stage was planned again, or the session ended first.
    fn end_planned(&mut self) {
        let now = self.shared.clock.now();
        for p in std::mem::take(&mut self.planned) {
            self.shared.core().stage_ended(now, p.target, p.layers);
        }
    }
}

impl Drop for ChatRun {
    /// A run that is dropped in the middle cancels its stages; the counts of
    /// what it had at its targets go with it.
    fn drop(&mut self) {
        for stage in std::mem::take(&mut self.stages).into_values() {
            self.end_stage(&stage);
        }
        self.end_planned();
    }
}

fn overlaps(a: LayerRange, b: LayerRange) -> bool {
    a.first < b.last && b.first < a.last
}

fn fault_of(e: &TargetError) -> StageFault {
    match e {
        TargetError::Late(_) => StageFault::Late,
        TargetError::Refused(_) | TargetError::Rests(_) => StageFault::Refused,
        TargetError::Broken(_) | TargetError::NotSent(_) => StageFault::Broken,
    }
}
