//! The session state machine, which turns results and faults into orders.

use super::chain::{Chain, Stage};
use super::events::{
    Activation, EndReason, SessionAction, SessionEvent, SessionLimits, StageKey, StepOrder,
    StepOutput, Token,
};
use super::ledger::{Ledger, Verdict};
use crate::state::{LayerRange, TargetName};
use std::collections::BTreeSet;

/// A stage of the chain and the extent of its cache.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OpenStage {
    key: StageKey,
    stage: Stage,
    /// Number of positions in the KV cache of the stage.
    cached_positions: u32,
}

/// The phase of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for a chain.
    Planning,
    /// Running the awaited step, stage by stage.
    Running,
    /// Filling the caches of new stages up to the awaited step.
    Refilling { stage: usize, last_new: usize },
    /// The session has ended.
    Ended,
}

/// A chat session. Driven by [`Session::step`].
pub struct Session {
    layers: u32,
    limits: SessionLimits,
    prompt: Vec<Activation>,
    delivered: Vec<Activation>,
    chain: Vec<OpenStage>,
    ledger: Ledger,
    phase: Phase,
    /// Inputs of the awaited step at the awaited stage.
    inputs: Vec<Activation>,
    faults: u32,
    avoid: BTreeSet<TargetName>,
    next_key: u32,
}

impl Session {
    /// Creates a session over a model of `layers` layers. `prompt` holds one input per
    /// position of the prompt and must not be empty.
    pub fn new(layers: u32, prompt: Vec<Activation>, limits: SessionLimits) -> Self {
        Self {
            layers,
            limits,
            prompt,
            delivered: Vec::new(),
            chain: Vec::new(),
            ledger: Ledger::new(0, 0),
            phase: Phase::Planning,
            inputs: Vec::new(),
            faults: 0,
            avoid: BTreeSet::new(),
            next_key: 0,
        }
    }

    /// Requests the first chain.
    pub fn start(&mut self, out: &mut Vec<SessionAction>) {
        out.push(SessionAction::Plan {
            avoid: BTreeSet::new(),
            missing: LayerRange::new(0, self.layers),
        });
    }

    /// Returns the stages of the current chain.
    pub fn chain(&self) -> impl Iterator<Item = &Stage> {
        self.chain.iter().map(|s| &s.stage)
    }

    /// Returns the current attempt.
    pub fn attempt(&self) -> u32 {
        self.ledger.attempt()
    }

    /// Returns the number of delivered tokens.
    pub fn delivered(&self) -> u32 {
        self.delivered.len() as u32
    }

    /// Returns the number of faults so far.
    pub fn faults(&self) -> u32 {
        self.faults
    }

    /// Returns the awaited stage and the number of positions it runs.
    pub fn awaited(&self) -> Option<(StageKey, usize)> {
        let positions = match self.phase {
            Phase::Running => self.inputs.len(),
            Phase::Refilling { .. } => self.context_len() as usize,
            _ => return None,
        };
        let stage = self.chain.get(self.awaited_stage())?;
        Some((stage.key, positions))
    }

    /// Handles one event.
    pub fn step(&mut self, event: SessionEvent, out: &mut Vec<SessionAction>) {
        if self.phase == Phase::Ended {
            return;
        }
        match event {
            SessionEvent::Planned(chain) => self.on_planned(chain, out),
            SessionEvent::NoChain => self.end(EndReason::NoTargets, out),
            SessionEvent::Output { key, output } => self.on_output(key, output, out),
            SessionEvent::Fault { key, .. } => self.on_fault(key, out),
            SessionEvent::CallerGone => self.end(EndReason::CallerGone, out),
        }
    }

    fn on_planned(&mut self, chain: Chain, out: &mut Vec<SessionAction>) {
        if self.phase != Phase::Planning {
            return;
        }
        self.replace_chain(chain, out);
        self.ledger.restart(self.chain.len());
        let context_len = self.context_len();
        match self
            .chain
            .iter()
            .rposition(|s| s.cached_positions < context_len)
        {
            Some(last_new) => self.start_refill(last_new, out),
            None => self.start_step(out),
        }
    }

    /// Keeps the stages that are also in the new chain, with their caches, then opens
    /// the new ones and closes the removed ones.
    fn replace_chain(&mut self, chain: Chain, out: &mut Vec<SessionAction>) {
        let mut old = std::mem::take(&mut self.chain);
        for stage in chain.stages() {
            let kept = old.iter().position(|s| s.stage == *stage);
            let open = match kept {
                Some(i) => old.remove(i),
                None => self.open(stage.clone(), out),
            };
            self.chain.push(open);
        }
        for removed in old {
            out.push(SessionAction::Close { key: removed.key });
        }
    }

    fn open(&mut self, stage: Stage, out: &mut Vec<SessionAction>) -> OpenStage {
        let key = StageKey(self.next_key);
        self.next_key += 1;
        out.push(SessionAction::Open {
            key,
            stage: stage.clone(),
        });
        OpenStage {
            key,
            stage,
            cached_positions: 0,
        }
    }

    /// Returns the number of positions before the awaited step; 0 while the prompt
    /// runs.
    fn context_len(&self) -> u32 {
        match self.ledger.position() {
            0 => 0,
            p => self.prompt.len() as u32 + p - 1,
        }
    }

    fn awaited_stage(&self) -> usize {
        match self.phase {
            Phase::Refilling { stage, .. } => stage,
            _ => self.ledger.stage(),
        }
    }

    fn start_refill(&mut self, last_new: usize, out: &mut Vec<SessionAction>) {
        self.phase = Phase::Refilling { stage: 0, last_new };
        let all = self.prompt.iter().chain(&self.delivered);
        let inputs = all.take(self.context_len() as usize).cloned().collect();
        self.order(0, 0, inputs, out);
    }

    /// Starts the awaited step at the first stage, whose input is always known.
    fn start_step(&mut self, out: &mut Vec<SessionAction>) {
        self.phase = Phase::Running;
        let inputs = match self.delivered.last() {
            Some(token) => vec![token.clone()],
            None => self.prompt.clone(),
        };
        self.order_awaited(inputs, out);
    }

    fn order_awaited(&mut self, inputs: Vec<Activation>, out: &mut Vec<SessionAction>) {
        self.inputs = inputs.clone();
        self.order(self.ledger.stage(), self.context_len(), inputs, out);
    }

    /// Orders positions from a stage, as a replay if its cache already holds them.
    fn order(
        &self,
        stage: usize,
        position: u32,
        inputs: Vec<Activation>,
        out: &mut Vec<SessionAction>,
    ) {
        let open = &self.chain[stage];
        let end = position + inputs.len() as u32;
        let order = StepOrder {
            attempt: self.ledger.attempt(),
            position,
            inputs,
            replay: open.cached_positions >= end,
        };
        out.push(SessionAction::Step {
            key: open.key,
            order,
        });
    }

    fn on_output(&mut self, key: StageKey, output: StepOutput, out: &mut Vec<SessionAction>) {
        let Some((awaited, positions)) = self.awaited() else {
            return;
        };
        let is_stale = key != awaited || output.attempt != self.ledger.attempt();
        if is_stale || output.outputs.len() != positions {
            return;
        }
        match self.phase {
            Phase::Refilling { stage, last_new } if output.position == 0 => {
                self.on_refilled(stage, last_new, output.outputs, out);
            }
            Phase::Running if output.position == self.context_len() => self.on_result(output, out),
            _ => {}
        }
    }

    fn on_refilled(
        &mut self,
        stage: usize,
        last_new: usize,
        outputs: Vec<Activation>,
        out: &mut Vec<SessionAction>,
    ) {
        let context_len = self.context_len();
        let open = &mut self.chain[stage];
        open.cached_positions = open.cached_positions.max(context_len);
        if stage == last_new {
            self.start_step(out);
            return;
        }
        let stage = stage + 1;
        self.phase = Phase::Refilling { stage, last_new };
        self.order(stage, 0, outputs, out);
    }

    fn on_result(&mut self, output: StepOutput, out: &mut Vec<SessionAction>) {
        let stage = self.ledger.stage();
        let position = self.ledger.position();
        let end = self.context_len() + self.inputs.len() as u32;
        let is_last = stage + 1 == self.chain.len();
        if is_last && output.token.is_none() {
            self.on_fault(self.chain[stage].key, out);
            return;
        }
        if self.ledger.offer(output.attempt, stage, position) == Verdict::Drop {
            return;
        }
        let open = &mut self.chain[stage];
        open.cached_positions = open.cached_positions.max(end);
        match output.token {
            Some(token) if is_last => self.deliver(position, token, out),
            _ => self.order_awaited(output.outputs, out),
        }
    }

    fn deliver(&mut self, position: u32, token: Token, out: &mut Vec<SessionAction>) {
        self.delivered.push(Activation(token.id.to_string()));
        let end = token.end || self.delivered() >= self.limits.max_tokens;
        out.push(SessionAction::Deliver { position, token });
        if end {
            self.end(EndReason::Complete, out);
        } else {
            self.start_step(out);
        }
    }

    fn on_fault(&mut self, key: StageKey, out: &mut Vec<SessionAction>) {
        if self.awaited().is_none_or(|(awaited, _)| awaited != key) {
            return;
        }
        self.faults += 1;
        if self.faults > self.limits.max_faults {
            self.end(EndReason::TooManyFaults, out);
            return;
        }
        let lost = self.chain.remove(self.awaited_stage());
        out.push(SessionAction::Close { key });
        self.phase = Phase::Planning;
        self.avoid.insert(lost.stage.target);
        out.push(SessionAction::Plan {
            avoid: self.avoid.clone(),
            missing: lost.stage.layers,
        });
    }

    fn end(&mut self, reason: EndReason, out: &mut Vec<SessionAction>) {
        self.phase = Phase::Ended;
        out.push(SessionAction::End(reason));
    }
}
