//! Runs one chat session: performs the actions that [`Session`] requests.

use super::shared::RouterShared;
use super::template_runs::TemplateRun;
use deckwind_core::router::{ChatWork, CheckedRequest};
use deckwind_core::routing::{ChainRequirements, LoadReport, PlannedStage, PrefixHash, TargetKey};
use deckwind_core::session::{
    Activation, Chain, EndReason, Session, SessionAction, SessionEvent, SessionLimits, Stage,
    StageFault, StageKey, StepOrder, Token,
};
use deckwind_core::state::{LayerRange, RequestTraits, TargetName};
use deckwind_net::targets::{OpenStage, StageStream, TargetError};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Event that a session sends to the task that answers the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum ChatEvent {
    /// Next token of the answer.
    Token(Token),
    /// End of the session.
    End {
        /// Reason for the end.
        reason: EndReason,
        /// Whether any stage may have run any part of the request.
        ran: bool,
    },
}

/// Input of a session.
pub struct ChatJob {
    /// ID of the request.
    pub id: String,
    /// Request that passed the first checks.
    pub checked_request: CheckedRequest,
    /// Model and layers that the request needs.
    pub work: ChatWork,
    /// What the request may share with others: its content, and the messages before the last.
    pub traits: RequestTraits,
    /// Prompt, one input per position.
    pub prompt: Vec<Activation>,
    /// Hashes of the prompt's prefixes.
    pub prefixes: Vec<PrefixHash>,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u32,
}

/// Delay before a chain is planned again if none was found.
const REPLAN_DELAY: Duration = Duration::from_millis(100);

/// Maximum time that a session that has begun waits for a chain to become available.
const REPLAN_TIMEOUT: Duration = Duration::from_secs(10);

/// Stage that is open, or that failed to open.
struct OpenedStage {
    target: TargetKey,
    layers: LayerRange,
    stream: Result<Box<dyn StageStream>, TargetError>,
    /// Run at the target; `None` if the target was no longer known.
    run: Option<TemplateRun>,
}

/// Runs one session until it ends.
pub struct ChatRun {
    shared: Arc<RouterShared>,
    job: ChatJob,
    tx: mpsc::Sender<ChatEvent>,
    session: Session,
    stages: BTreeMap<StageKey, OpenedStage>,
    /// Stages that are planned and counted as load, but not yet opened.
    planned: Vec<PlannedStage>,
    has_begun: bool,
    /// Whether a step was sent to a stage.
    step_sent: bool,
}

impl ChatRun {
    /// Creates the run of a job that sends its events to `tx`.
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
            has_begun: false,
            step_sent: false,
        }
    }

    /// Performs the actions of the session until there are none left.
    pub async fn run(mut self) {
        let mut actions = Vec::new();
        self.session.start(&mut actions);
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            let Some(event) = self.perform(action).await else {
                continue;
            };
            let mut new_actions = Vec::new();
            self.session.step(event, &mut new_actions);
            actions.extend(new_actions);
        }
        self.close().await;
    }

    async fn perform(&mut self, action: SessionAction) -> Option<SessionEvent> {
        match action {
            SessionAction::Plan { avoid, missing } => Some(self.plan(avoid, missing).await),
            SessionAction::Open { key, stage } => {
                self.open(key, stage).await;
                None
            }
            SessionAction::Step { key, order } => Some(self.step(key, order).await),
            SessionAction::Deliver { token, .. } => {
                let sent = self.tx.send(ChatEvent::Token(token)).await;
                sent.is_err().then_some(SessionEvent::CallerGone)
            }
            SessionAction::Close { key } => {
                if let Some(stage) = self.stages.remove(&key) {
                    self.release_stage(&stage);
                }
                None
            }
            SessionAction::End(reason) => {
                if reason == EndReason::Complete {
                    let now = self.shared.clock.now();
                    self.shared
                        .routes
                        .poison_requests
                        .record_served(now, &self.job.traits);
                }
                let ran = self.step_sent;
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

    /// Plans a chain, and retries until one is found, the caller disconnects or the time
    /// limit is reached.
    async fn plan(&mut self, avoid: BTreeSet<TargetName>, missing: LayerRange) -> SessionEvent {
        let timeout = if self.has_begun {
            REPLAN_TIMEOUT
        } else {
            Duration::ZERO
        };
        let deadline = self.shared.clock.now() + timeout;
        loop {
            if self.shared.check_quarantine(&self.job.traits).is_err() {
                return SessionEvent::NoChain;
            }
            if let Some(chain) = self.plan_once(&avoid, missing) {
                self.has_begun = true;
                return SessionEvent::Planned(chain);
            }
            if self.shared.clock.now() >= deadline {
                return SessionEvent::NoChain;
            }
            tokio::select! {
                () = self.tx.closed() => return SessionEvent::CallerGone,
                () = tokio::time::sleep(REPLAN_DELAY) => {}
            }
        }
    }

    /// Plans stages for the missing layers, preferably on targets that have not failed in
    /// this session. If there are none, plans a new chain for all layers, which loses the
    /// caches of the stages that are still open.
    fn plan_once(&mut self, avoid: &BTreeSet<TargetName>, missing: LayerRange) -> Option<Chain> {
        let all_layers = LayerRange::new(0, self.job.work.layers);
        let candidates = [
            (missing, avoid.clone()),
            (missing, BTreeSet::new()),
            (all_layers, avoid.clone()),
            (all_layers, BTreeSet::new()),
        ];
        candidates
            .into_iter()
            .find_map(|(layers, avoid)| self.plan_layers(layers, avoid))
    }

    fn plan_layers(&mut self, layers: LayerRange, avoid: BTreeSet<TargetName>) -> Option<Chain> {
        self.release_planned();
        let need = ChainRequirements {
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

    async fn open(&mut self, key: StageKey, stage: Stage) {
        let is_same_range = |p: &PlannedStage| p.layers == stage.layers;
        let Some(planned) = self.planned.iter().find(|p| is_same_range(p)).copied() else {
            return;
        };
        self.planned.retain(|p| *p != planned);
        let address = self
            .shared
            .core()
            .fleet()
            .get(planned.target)
            .map(|t| t.address);
        let run = address.map(|a| TemplateRun::begin(&self.shared, &self.job.traits, a));
        let stream = match address {
            Some(address) => {
                let engine = self.shared.clients.engine(address);
                let opening = engine.open(self.open_request(stage.layers));
                let limit = self.step_timeout(planned.target, stage.layers, 1);
                let opened = tokio::time::timeout(limit, opening).await;
                opened.unwrap_or(Err(TargetError::Late(limit)))
            }
            None => Err(TargetError::NotSent("the target is gone".to_string())),
        };
        let opened = OpenedStage {
            target: planned.target,
            layers: stage.layers,
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
            priority: self.job.checked_request.priority,
            prefixes: self.job.prefixes.iter().map(|p| p.0).collect(),
        }
    }

    fn step_timeout(&self, target: TargetKey, layers: LayerRange, positions: usize) -> Duration {
        let now = self.shared.clock.now();
        self.shared
            .core()
            .step_timeout(now, target, layers, positions)
    }

    async fn step(&mut self, key: StageKey, order: StepOrder) -> SessionEvent {
        self.release_planned();
        let Some(stage) = self.stages.get(&key) else {
            let fault = StageFault::Broken;
            return SessionEvent::Fault { key, fault };
        };
        let (target, layers) = (stage.target, stage.layers);
        let positions = order.inputs.len();
        let limit = self.step_timeout(target, layers, positions);
        let sent_at = self.shared.clock.now();
        self.step_sent = true;
        let stage = self.stages.get_mut(&key).expect("checked above");
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
                let took = now.since(sent_at);
                let mut core = self.shared.core();
                core.stage_progressed(now, target, took, layers, positions);
                if let Some(load) = output.load {
                    core.load_reported(now, target, LoadReport { load });
                }
                drop(core);
                if let Some(run) = self.stages.get_mut(&key).and_then(|s| s.run.as_mut()) {
                    run.record_progress();
                }
                SessionEvent::Output { key, output }
            }
            Err(e) => {
                self.record_fault(target, &e);
                let run = self.stages.get(&key).and_then(|s| s.run.as_ref());
                if let (TargetError::Broken(_), Some(run)) = (&e, run) {
                    run.record_broken_off().await;
                }
                let fault = fault_of(&e);
                SessionEvent::Fault { key, fault }
            }
        }
    }

    fn record_fault(&self, target: TargetKey, e: &TargetError) {
        if let TargetError::Rests(rest) = e {
            self.shared.start_rest_period(target, *rest);
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

    fn release_stage(&self, stage: &OpenedStage) {
        let now = self.shared.clock.now();
        self.shared
            .core()
            .stage_ended(now, stage.target, stage.layers);
    }

    async fn close(mut self) {
        for stage in std::mem::take(&mut self.stages).into_values() {
            self.release_stage(&stage);
            if let Ok(stream) = stage.stream {
                stream.close().await;
            }
        }
        self.release_planned();
    }

    /// Releases the load counted for stages that were planned but never opened, because a
    /// kept stage was planned again or the session ended first.
    fn release_planned(&mut self) {
        let now = self.shared.clock.now();
        for p in std::mem::take(&mut self.planned) {
            self.shared.core().stage_ended(now, p.target, p.layers);
        }
    }
}

impl Drop for ChatRun {
    /// Dropping an unfinished run cancels its stages and releases the load counted at
    /// their targets.
    fn drop(&mut self) {
        for stage in std::mem::take(&mut self.stages).into_values() {
            self.release_stage(&stage);
        }
        self.release_planned();
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
