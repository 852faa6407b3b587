//! The thread of a control replica: gathers inputs into batches, and hands the
//! effects on. While a sync runs the next batch gathers.

use super::checking;
use super::handle::{ControlHandle, Input, ReplyTo};
use super::limit_notes::{self, LimitNotes};
use super::node::{ControlNode, Effect, Now};
use super::peers::Senders;
use super::placing;
use super::repeat_notes::RepeatNotes;
use super::{orders, paces};
use crate::context::Context;
use anyhow::Result;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use deckwind_config::ControlSettings;
use deckwind_core::control::{ControlEvent, ControlLimits, LifeNote, OperatorReply};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::replication::{BySeeds, Event, ReplicaConfig, Role, Timing};
use deckwind_net::clock::Clock;
use deckwind_net::edge::EngineDialect;
use deckwind_net::targets::KeptConnections;
use deckwind_store::{Opened, Store};
use deckwind_wire::ControlReply;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;

/// Between two ticks.
const TICK: Duration = Duration::from_millis(10);

/// Most inputs in one batch.
const MAX_BATCH: usize = 4_096;

/// The driver, owned by its thread.
pub struct Driver {
    clock: Clock,
    node: ControlNode,
    senders: Senders,
    handle: ControlHandle,
    runtime: Handle,
    dialect: Arc<dyn EngineDialect>,
    /// Connections to engines that are asked for their pace.
    engines: Arc<KeptConnections>,
    router_replies: HashMap<u64, ReplyTo<ControlReply>>,
    operator_replies: HashMap<u64, ReplyTo<OperatorReply>>,
    next_token: u64,
    role: Role,
    repeats: RepeatNotes,
    limits: LimitNotes,
}

impl Driver {
    /// With an open store.
    pub fn new(
        cx: &Context,
        cfg: &ControlSettings,
        store: Store,
        opened: Opened,
        senders: Senders,
        handle: ControlHandle,
    ) -> Result<Self> {
        let mut slots = cx.known_slots();
        let is_seed = slots.contains(&cfg.slot);
        slots.push(cfg.slot);
        let mut replica = ReplicaConfig::new(opened.id, slots, rand::random());
        replica.by_seeds = cx.settings.seeds.as_ref().map(|s| BySeeds {
            may_form: s.first_start && is_seed,
            voters_wanted: 2 * usize::from(s.lost_at_once) + 1,
        });
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
        let mut limits = ControlLimits::default();
        if let Some(mbps) = cfg.link_mbps {
            limits.state_bytes_per_s = ControlLimits::state_pace(mbps);
        }
        let node = ControlNode::new(replica, lease, limits, store, opened, cx.clock.now())?;
        Ok(Self {
            clock: cx.clock,
            node,
            senders,
            handle,
            runtime: cx.runtime.clone(),
            dialect: cx.dialects.engines.clone(),
            engines: Arc::new(KeptConnections::new(cx.clock)),
            router_replies: HashMap::new(),
            operator_replies: HashMap::new(),
            next_token: 1,
            role: Role::Unformed,
            repeats: RepeatNotes::default(),
            limits: LimitNotes::default(),
        })
    }

    /// Runs until it is told to stop, or until the disk fails: a replica that
    /// can't write must not vote or acknowledge.
    pub fn run(mut self, rx: &Receiver<Input>) -> Result<()> {
        while let Some(batch) = gather(rx) {
            if let Err(e) = self.take_batch(batch) {
                log::error!("event=store_failed error={:?}", format!("{e:#}"));
                return Err(e);
            }
        }
        Ok(())
    }

    fn take_batch(&mut self, batch: Vec<Input>) -> Result<()> {
        let events = batch
            .into_iter()
            .map(|input| self.register(input))
            .collect();
        let now = Now {
            at: self.clock.now(),
            wall_ms: self.clock.wall_ms(),
        };
        let mut effects = Vec::new();
        self.node.take(now, events, &mut effects)?;
        for effect in effects {
            self.hand_on(effect);
        }
        self.note_role();
        self.repeats.look(now.at, self.node.core());
        self.limits.look(now.at, self.node.core());
        Ok(())
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
            Input::OrdersDone(target, taken) => ControlEvent::OrdersDone { target, taken },
            Input::Heard(heard) => ControlEvent::Heard(heard),
            Input::Placed(life, held) => ControlEvent::Placed { life, held },
            Input::Checked(life, there) => ControlEvent::Checked { life, there },
            Input::Pace(address, percent) => ControlEvent::Pace { address, percent },
            Input::Seeds(slots) => ControlEvent::Replica(Event::Seeds(slots.into_iter().collect())),
            Input::Stop => ControlEvent::Tick,
        }
    }

    fn hand_on(&mut self, effect: Effect) {
        match effect {
            Effect::Send(message) => self.senders.send(message),
            Effect::TellHeard(slot, heard) => self.senders.tell_heard(slot, heard),
            Effect::Check(life, address) => {
                let dialect = self.dialect.clone();
                let checking =
                    checking::check(life, address, dialect, self.handle.clone(), self.clock);
                self.runtime.spawn(checking);
            }
            Effect::NoteLife(note) => note_life(&note),
            Effect::NoteLimit(note) => limit_notes::note(&note),
            Effect::AskPace(address) => {
                let dialect = self.dialect.clone();
                let kept = self.engines.clone();
                let asking = paces::ask(address, dialect, kept, self.handle.clone());
                self.runtime.spawn(asking);
            }
            Effect::Place(order) => {
                let placing =
                    placing::place(order, self.dialect.clone(), self.handle.clone(), self.clock);
                self.runtime.spawn(placing);
            }
            Effect::Order(batch) => {
                let sending = orders::send(batch, self.handle.clone(), self.clock);
                self.runtime.spawn(sending);
            }
            Effect::Reply(token, reply) => {
                if let Some(to) = self.router_replies.remove(&token) {
                    to(reply);
                }
            }
            Effect::OperatorReply(token, reply) => {
                if let Some(to) = self.operator_replies.remove(&token) {
                    to(reply);
                }
            }
        }
    }

    fn note_role(&mut self) {
        let replica = self.node.core().replica();
        let role = replica.role();
        if role == self.role {
            return;
        }
        self.role = role;
        metrics::counter!("deckwind_control_role_changes_total").increment(1);
        log::info!(
            "event=role replica={} role={role} term={}",
            replica.id(),
            replica.term().0
        );
        let leads = if role == Role::Leader { 1.0 } else { 0.0 };
        metrics::gauge!("deckwind_control_leads").set(leads);
    }
}

/// All inputs that have come in, after a wait of at most a tick; nothing when
/// it is time to stop.
pub fn gather(rx: &Receiver<Input>) -> Option<Vec<Input>> {
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

fn note_life(note: &LifeNote) {
    match note {
        LifeNote::Ended { life, by } => {
            metrics::counter!("deckwind_control_lives_ended_total").increment(1);
            log::info!("event=life_ended life={life} by={by}");
        }
        LifeNote::Doubted { life, over } => {
            metrics::counter!("deckwind_control_lives_doubted_total").increment(1);
            log::info!("event=life_doubted life={life} over={over}");
        }
    }
}
