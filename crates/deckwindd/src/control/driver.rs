//! Carries out what the control core asks for, in its order.
//!
//! A batch is all that has come in since the last one: one sync serves all its
//! commands, and while a sync runs the next batch gathers.

use super::handle::{Input, ReplyTo};
use super::peers::Senders;
use crate::clock::Clock;
use crate::context::Context;
use anyhow::{Context as _, Result};
use crossbeam::channel::{Receiver, RecvTimeoutError};
use deckwind_config::ControlSettings;
use deckwind_core::control::{
    ControlAction, ControlCore, ControlEvent, ControlLimits, OperatorReply,
};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::replication::{Action, Body, Event, Position, ReplicaConfig, Role, Timing};
use deckwind_store::{Opened, Store};
use deckwind_wire::{ControlReply, Message};
use std::collections::HashMap;
use std::time::Duration;

/// Between two ticks.
const TICK: Duration = Duration::from_millis(10);

/// Most inputs in one batch.
const MAX_BATCH: usize = 4_096;

/// The driver, owned by its thread.
pub struct Driver {
    clock: Clock,
    core: ControlCore,
    store: Store,
    senders: Senders,
    router_replies: HashMap<u64, ReplyTo<ControlReply>>,
    operator_replies: HashMap<u64, ReplyTo<OperatorReply>>,
    next_token: u64,
    role: Role,
}

impl Driver {
    /// With an open store.
    pub fn new(
        cx: &Context,
        cfg: &ControlSettings,
        store: Store,
        opened: Opened,
        senders: Senders,
    ) -> Result<Self> {
        let slots = cx.settings.control_vms.iter().map(|vm| vm.slot);
        let mut replica = ReplicaConfig::new(opened.id, slots, rand::random());
        replica.timing = Timing {
            heartbeat: cfg.heartbeat,
            election_min: cfg.election_min,
            election_max: cfg.election_max,
            ..Timing::default()
        };
        let lease = LeaseTiming {
            ttl: cfg.lease,
            ..LeaseTiming::default()
        };
        let core = ControlCore::new(
            replica,
            lease,
            ControlLimits::default(),
            opened.stored,
            opened.snapshot.as_deref(),
            cx.clock.now(),
        )
        .context("the snapshot in the data folder is of another version")?;
        Ok(Self {
            clock: cx.clock,
            core,
            store,
            senders,
            router_replies: HashMap::new(),
            operator_replies: HashMap::new(),
            next_token: 1,
            role: Role::Unformed,
        })
    }

    /// Runs until it is told to stop, or until the disk fails: a replica that
    /// can't write must not vote or acknowledge.
    pub fn run(mut self, rx: Receiver<Input>) -> Result<()> {
        loop {
            let batch = match gather(&rx) {
                Some(batch) => batch,
                None => return Ok(()),
            };
            if let Err(e) = self.take_batch(batch) {
                log::error!("event=store_failed error={:?}", format!("{e:#}"));
                return Err(e);
            }
        }
    }

    fn take_batch(&mut self, batch: Vec<Input>) -> Result<()> {
        let mut out = Vec::new();
        for input in batch {
            let event = self.register(input);
            self.step(event, &mut out);
        }
        self.step(ControlEvent::Tick, &mut out);
        self.core.flush(self.clock.now(), &mut out);
        while !out.is_empty() {
            let actions = std::mem::take(&mut out);
            self.perform(actions, &mut out)?;
            self.core.flush(self.clock.now(), &mut out);
        }
        self.note_role();
        Ok(())
    }

    fn step(&mut self, event: ControlEvent, out: &mut Vec<ControlAction>) {
        let (now, wall_ms) = (self.clock.now(), self.clock.wall_ms());
        self.core.step(now, wall_ms, event, out);
    }

    fn register(&mut self, input: Input) -> ControlEvent {
        let token = self.next_token;
        self.next_token += 1;
        match input {
            Input::Replication(message) => ControlEvent::Replica(Event::Receive(message)),
            Input::Router(request, reply) => {
                self.router_replies.insert(token, reply);
                ControlEvent::Request { token, request }
            }
            Input::Operator(request, reply) => {
                self.operator_replies.insert(token, reply);
                ControlEvent::Operator { token, request }
            }
            Input::Stop => ControlEvent::Tick,
        }
    }

    /// Early sends, writes, one sync, then everything that follows from them.
    fn perform(&mut self, actions: Vec<ControlAction>, out: &mut Vec<ControlAction>) -> Result<()> {
        let mut after_sync = Vec::new();
        let mut last: Option<Position> = None;
        for action in actions {
            match action {
                ControlAction::Replica(Action::Send {
                    message,
                    needs_sync: false,
                }) => self.send(message),
                ControlAction::Replica(Action::SaveHardState(h)) => self.store.put_hard_state(h),
                ControlAction::Replica(Action::Append(entries)) => {
                    last = entries.last().map(|e| e.at);
                    self.store.put_entries(entries);
                }
                ControlAction::Replica(Action::Install { meta, data }) => {
                    let hard = self.core.hard_state();
                    last = None;
                    self.store.compact(meta, data, hard, Vec::new())?;
                }
                ControlAction::Compact { meta, data, rest } => {
                    let through = meta.last.index;
                    self.store
                        .compact(meta, data, self.core.hard_state(), rest)?;
                    self.step(ControlEvent::Replica(Event::Compacted(through)), out);
                }
                other => after_sync.push(other),
            }
        }
        self.store.commit()?;
        if let Some(at) = last {
            self.step(ControlEvent::Replica(Event::Synced(at)), out);
        }
        for action in after_sync {
            self.finish(action)?;
        }
        Ok(())
    }

    fn finish(&mut self, action: ControlAction) -> Result<()> {
        match action {
            ControlAction::Replica(Action::Send { message, .. }) => self.send(message),
            ControlAction::Replica(Action::SendSnapshot { message }) => {
                self.send_snapshot(message)?;
            }
            ControlAction::Reply { token, reply } => {
                if let Some(to) = self.router_replies.remove(&token) {
                    to(reply);
                }
            }
            ControlAction::OperatorReply { token, reply } => {
                if let Some(to) = self.operator_replies.remove(&token) {
                    to(reply);
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn send(&self, message: Message) {
        if let Some(tx) = self.senders.get(&message.to_slot) {
            // A full queue drops the message; the protocol resends.
            let _ = tx.try_send(message);
        }
    }

    fn send_snapshot(&self, mut message: Message) -> Result<()> {
        let Some(state) = self.store.read_snapshot()? else {
            return Ok(());
        };
        if let Body::Snapshot { data, .. } = &mut message.body {
            *data = state;
        }
        self.send(message);
        Ok(())
    }

    fn note_role(&mut self) {
        let role = self.core.replica().role();
        if role == self.role {
            return;
        }
        self.role = role;
        log::info!(
            "event=role replica={} role={role} term={}",
            self.core.replica().id(),
            self.core.replica().term().0
        );
        let leads = if role == Role::Leader { 1.0 } else { 0.0 };
        metrics::gauge!("deckwind_control_leads").set(leads);
    }
}

/// All inputs that have come in, after a wait of at most a tick; nothing when
/// it is time to stop.
fn gather(rx: &Receiver<Input>) -> Option<Vec<Input>> {
    let mut batch = Vec::new();
    match rx.recv_timeout(TICK) {
        Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return None,
        Ok(input) => batch.push(input),
        Err(RecvTimeoutError::Timeout) => {}
    }
    while batch.len() < MAX_BATCH {
        match rx.try_recv() {
            Ok(Input::Stop) => return None,
            Ok(input) => batch.push(input),
            Err(_) => break,
        }
    }
    Some(batch)
}
