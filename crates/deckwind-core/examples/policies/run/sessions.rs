//! Sessions of a run: planning, steps, delivery of tokens, and end.

use super::{
    DISCONNECT_DELAY, Event, OpenStage, PROMPT_BLOCKS, QueuedRequest, REPLAN_DELAY, Run,
    RunningSession,
};
use crate::fleet::LAYERS;
use deckwind_core::router::Work;
use deckwind_core::routing::{
    ChainRequirements, LoadReport, PREFILL_COST, prefix_hashes, resolve_stages,
};
use deckwind_core::session::{
    Activation, Chain, EndReason, Session, SessionAction, SessionEvent, SessionLimits, Stage,
    StageFault, StageKey, StepOrder, StepOutput, Token,
};
use deckwind_core::state::{LayerRange, TargetName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl Run {
    pub(super) fn start(&mut self, request: QueuedRequest) {
        let c = self.class(request.class);
        let id = self.next_session;
        self.next_session += 1;
        let prompt = vec![Activation(String::new()); c.prompt as usize];
        let limits = SessionLimits {
            max_tokens: c.answer,
            ..SessionLimits::default()
        };
        let blocks: Vec<Vec<u8>> = (0..PROMPT_BLOCKS)
            .map(|b| {
                let own = if b + 1 == PROMPT_BLOCKS { id } else { 0 };
                format!(
                    "{}/{}/{}/{b}/{own}",
                    c.account, c.template, request.conversation
                )
                .into_bytes()
            })
            .collect();
        let mut running = RunningSession {
            class: request.class,
            router: request.router,
            checked_request: request.checked_request,
            session: Session::new(LAYERS, prompt, limits),
            stages: BTreeMap::new(),
            planned: Vec::new(),
            prefixes: prefix_hashes(blocks.iter().map(Vec::as_slice)),
            orders: 0,
            positions: 0,
            last_token: None,
            pending_plan: None,
        };
        let mut actions = Vec::new();
        running.session.start(&mut actions);
        self.sessions.insert(id, running);
        self.perform(id, actions);
    }

    /// Passes an event to a session and performs the resulting actions.
    pub(super) fn process_event(&mut self, id: u64, event: SessionEvent) {
        let Some(running) = self.sessions.get_mut(&id) else {
            return;
        };
        let mut actions = Vec::new();
        running.session.step(event, &mut actions);
        self.perform(id, actions);
    }

    pub(super) fn perform(&mut self, id: u64, actions: Vec<SessionAction>) {
        for action in actions {
            match action {
                SessionAction::Plan { avoid, missing } => {
                    if let Some(r) = self.sessions.get_mut(&id) {
                        r.pending_plan = Some((avoid, missing));
                    }
                    self.replan(id);
                }
                SessionAction::Open { key, stage } => self.open(id, key, &stage),
                SessionAction::Step { key, order } => self.send_order(id, key, &order),
                SessionAction::Deliver { .. } => self.deliver(id),
                SessionAction::Close { key } => self.close(id, key),
                SessionAction::End(reason) => self.end(id, reason),
            }
        }
    }

    /// Plans a chain for the missing layers, else for all layers, each first without the
    /// targets to avoid, then with them. If none is found, a new session fails and one that
    /// has started tries again later.
    pub(super) fn replan(&mut self, id: u64) {
        let Some(running) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some((avoid, missing)) = running.pending_plan.clone() else {
            return;
        };
        let all_layers = LayerRange::new(0, LAYERS);
        let first = running.session.attempt() == 0;
        let candidates = [
            (missing, avoid.clone()),
            (missing, BTreeSet::new()),
            (all_layers, avoid),
            (all_layers, BTreeSet::new()),
        ];
        let chain = candidates
            .into_iter()
            .find_map(|(layers, avoid)| self.plan(id, layers, avoid));
        match chain {
            Some(chain) => {
                if let Some(r) = self.sessions.get_mut(&id) {
                    r.pending_plan = None;
                }
                self.rebuilds += u64::from(!first);
                self.process_event(id, SessionEvent::Planned(chain));
            }
            None if first => self.process_event(id, SessionEvent::NoChain),
            None => self
                .events
                .push(self.now + REPLAN_DELAY, Event::Replan { session: id }),
        }
    }

    pub(super) fn plan(
        &mut self,
        id: u64,
        layers: LayerRange,
        avoid: BTreeSet<TargetName>,
    ) -> Option<Chain> {
        let running = self.sessions.get_mut(&id)?;
        let core = &mut self.routers[running.router];
        for p in std::mem::take(&mut running.planned) {
            core.stage_ended(self.now, p.target, p.layers);
        }
        let c = self.scenario.classes[running.class];
        let Work::Chat(work) = &running.checked_request.work else {
            return None;
        };
        let need = ChainRequirements {
            group: work.group.clone(),
            adapter: None,
            layers,
            prompt: c.prompt,
            answer: c.answer,
            prefixes: running.prefixes.clone(),
            avoid,
        };
        let planned = core.plan_chain(self.now, &need).ok()?;
        let is_kept = |s: &&Stage| s.layers.last <= layers.first || s.layers.first >= layers.last;
        let mut stages: Vec<Stage> = running.session.chain().filter(is_kept).cloned().collect();
        let new = planned.iter().filter_map(|p| {
            let target = core.fleet().get(p.target)?.name.clone();
            Some(Stage {
                target,
                layers: p.layers,
            })
        });
        stages.extend(new);
        stages.sort_by_key(|s| s.layers.first);
        debug_assert!(
            layers.len() < LAYERS || resolve_stages(core.fleet(), &planned, LAYERS).is_ok()
        );
        running.planned = planned;
        Chain::new(stages, LAYERS).ok()
    }

    pub(super) fn open(&mut self, id: u64, key: StageKey, stage: &Stage) {
        let runner = self.by_name[&stage.target];
        let Some(running) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(i) = running
            .planned
            .iter()
            .position(|p| p.layers == stage.layers)
        else {
            return;
        };
        let planned = running.planned.remove(i);
        self.runners[runner].load += stage.layers.len();
        running.stages.insert(
            key,
            OpenStage {
                target: planned.target,
                runner,
                layers: stage.layers,
                order_sent: self.now,
            },
        );
    }

    pub(super) fn send_order(&mut self, id: u64, key: StageKey, order: &StepOrder) {
        let now = self.now;
        let Some(running) = self.sessions.get_mut(&id) else {
            return;
        };
        running.orders += 1;
        running.positions = order.inputs.len();
        let number = running.orders;
        let prompt = order.position == 0 && order.inputs.len() > 1;
        let Some(stage) = running.stages.get_mut(&key) else {
            let event = SessionEvent::Fault {
                key,
                fault: StageFault::Broken,
            };
            self.process_event(id, event);
            return;
        };
        stage.order_sent = now;
        let target = &mut self.runners[stage.runner];
        let mut positions = order.inputs.len() as u32;
        if prompt {
            let uncached = target.uncached(&running.prefixes, positions);
            self.prompt_positions += u64::from(positions);
            self.cached_positions += u64::from(positions - uncached);
            positions = uncached;
        }
        let done = target.step(now, stage.layers.len(), f64::from(positions));
        let core = &self.routers[running.router];
        let limit = core.step_timeout(now, stage.target, stage.layers, order.inputs.len());
        let dead = target.dead;
        match done {
            Some(at) => {
                let answer = Event::Answer {
                    session: id,
                    key,
                    attempt: order.attempt,
                    position: order.position,
                };
                self.events.push(at, answer);
            }
            None if dead => {
                let timeout = Event::StepTimeout {
                    session: id,
                    key,
                    order: number,
                };
                self.events.push(now + DISCONNECT_DELAY, timeout);
                return;
            }
            None => {}
        }
        let timeout = Event::StepTimeout {
            session: id,
            key,
            order: number,
        };
        self.events.push(now + limit, timeout);
    }

    pub(super) fn step_answered(&mut self, id: u64, key: StageKey, attempt: u32, position: u32) {
        let now = self.now;
        let Some(running) = self.sessions.get_mut(&id) else {
            return;
        };
        let awaited = running.session.awaited();
        let Some((_, positions)) = awaited.filter(|(k, _)| *k == key) else {
            return;
        };
        let Some(stage) = running.stages.get(&key) else {
            return;
        };
        if self.runners[stage.runner].dead || self.runners[stage.runner].frozen {
            return;
        }
        let took = now.since(stage.order_sent);
        let core = &mut self.routers[running.router];
        core.stage_progressed(now, stage.target, took, stage.layers, positions);
        let load = self.runners[stage.runner].load;
        core.load_reported(now, stage.target, LoadReport { load });
        running.orders += 1;
        let token = (stage.layers.last == LAYERS).then(|| Token {
            id: 0,
            text: String::new(),
            end: false,
        });
        let output = StepOutput {
            attempt,
            position,
            outputs: vec![Activation(String::new()); positions],
            token,
            load: None,
        };
        self.process_event(id, SessionEvent::Output { key, output });
    }

    pub(super) fn step_timed_out(&mut self, id: u64, key: StageKey, order: u64) {
        let Some(running) = self.sessions.get_mut(&id) else {
            return;
        };
        if running.orders != order {
            return;
        }
        running.orders += 1;
        if let Some(stage) = running.stages.get(&key) {
            self.routers[running.router].target_failed(self.now, stage.target);
        }
        let event = SessionEvent::Fault {
            key,
            fault: StageFault::Late,
        };
        self.process_event(id, event);
    }

    pub(super) fn deliver(&mut self, id: u64) {
        let now = self.now;
        let during_load = now < self.arrivals_end();
        let Some(running) = self.sessions.get_mut(&id) else {
            return;
        };
        let class_stats = &mut self.class_stats[running.class];
        let micros = |d: Duration| (d.as_micros() as u64).max(1);
        let mut work = 1.0;
        match running.last_token {
            None => {
                let took = now.since(running.checked_request.arrived);
                class_stats.first.saturating_record(micros(took));
                let c = self.scenario.classes[running.class];
                work += f64::from(c.prompt) * PREFILL_COST;
            }
            Some(last) => class_stats.gap.saturating_record(micros(now.since(last))),
        }
        running.last_token = Some(now);
        if during_load {
            self.work_done += work;
        }
    }

    pub(super) fn close(&mut self, id: u64, key: StageKey) {
        let Some(running) = self.sessions.get_mut(&id) else {
            return;
        };
        if let Some(stage) = running.stages.remove(&key) {
            let runner = &mut self.runners[stage.runner];
            runner.load = runner.load.saturating_sub(stage.layers.len());
            self.routers[running.router].stage_ended(self.now, stage.target, stage.layers);
        }
    }

    pub(super) fn end(&mut self, id: u64, reason: EndReason) {
        let keys: Vec<StageKey> = match self.sessions.get(&id) {
            Some(running) => running.stages.keys().copied().collect(),
            None => return,
        };
        for key in keys {
            self.close(id, key);
        }
        let Some(running) = self.sessions.remove(&id) else {
            return;
        };
        let core = &mut self.routers[running.router];
        for p in running.planned {
            core.stage_ended(self.now, p.target, p.layers);
        }
        let result = &mut self.class_stats[running.class].result;
        match reason {
            EndReason::Complete => result.finished += 1,
            _ => result.failed += 1,
        }
        let admitted = core.release_slot(self.now, running.checked_request.id);
        self.handle_admitted(running.router, admitted);
    }
}
