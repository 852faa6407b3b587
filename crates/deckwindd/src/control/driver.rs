//! The thread of a control replica: gathers inputs into batches, and hands the
//! effects on. While a sync runs the next batch gathers.

use super::checking;
use super::handle::{ControlHandle, Inbox, Input, ReplyTo};
use super::limit_notes::{self, LimitNotes};
use super::node::{ControlNode, Effect, Now};
use super::peers::Senders;
use super::placing;
use super::repeat_notes::RepeatNotes;
use super::{orders, paces};
use crate::context::{Context, period_of_targets};
use anyhow::Result;
use deckwind_config::ControlSettings;
use deckwind_core::control::{
    ControlEvent, ControlLimits, LifeNote, OperatorReply, RelayedReplies, RelayedRequest,
    RelayedRequests,
};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::replication::{BySeeds, Event, ReplicaConfig, Role, Timing};
use deckwind_net::clock::Clock;
use deckwind_net::edge::EngineDialect;
use deckwind_net::targets::KeptConnections;
use deckwind_store::{Opened, Store};
use deckwind_wire::ControlReply;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;

/// Between two ticks.
pub const TICK: Duration = Duration::from_millis(10);

/// Bytes of state in one message of answers, above which the next ones go in a
/// message of their own: some 0.6 ms of a link of 420 Mbit/s, so that small answers
/// need not wait for large ones.
const MOST_STATE: usize = 32 * 1024;

/// Who waits for the answer to a router's request.
enum Asker {
    /// A router that asked here.
    Router(ReplyTo<ControlReply>),
    /// A replica that passed the request on: its slot, the start of its process, and
    /// its token.
    Replica(u32, u64, u64),
}

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
    /// Who waits for the answer to a router's request.
    router_replies: HashMap<u64, Asker>,
    /// Tells this start of the process from others, where replicas pass requests on.
    life: u64,
    /// Answers to requests that other replicas passed on, by their slot.
    passed_back: BTreeMap<u32, RelayedReplies>,
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
        limits.announce_every = period_of_targets(cfg.announce_every);
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
            life: rand::random(),
            passed_back: BTreeMap::new(),
            operator_replies: HashMap::new(),
            next_token: 1,
            role: Role::Unformed,
            repeats: RepeatNotes::default(),
            limits: LimitNotes::default(),
        })
    }

    /// Runs until it is told to stop, or until the disk fails: a replica that
    /// can't write must not vote or acknowledge.
    pub fn run(mut self, inbox: &Inbox) -> Result<()> {
        while let Some(batch) = inbox.gather(TICK) {
            if let Err(e) = self.take_batch(batch) {
                log::error!("event=store_failed error={:?}", format!("{e:#}"));
                return Err(e);
            }
        }
        Ok(())
    }

    fn take_batch(&mut self, batch: Vec<Input>) -> Result<()> {
        let events = batch.into_iter().flat_map(|input| self.register(input));
        let events = events.collect();
        let now = Now {
            at: self.clock.now(),
            wall_ms: self.clock.wall_ms(),
        };
        let mut effects = Vec::new();
        self.node.take(now, events, &mut effects)?;
        for effect in effects {
            self.hand_on(effect);
        }
        self.send_passed_back();
        self.note_role();
        self.repeats.look(now.at, self.node.core());
        self.limits.look(now.at, self.node.core());
        Ok(())
    }

    /// Notes who asks for what, and makes events of it.
    fn register(&mut self, input: Input) -> Vec<ControlEvent> {
        match input {
            Input::PassedOn(passed_on) => self.register_passed_on(passed_on),
            Input::Answers(answers) if answers.life != self.life => Vec::new(),
            other => vec![self.register_one(other)],
        }
    }

    fn register_passed_on(&mut self, passed_on: RelayedRequests) -> Vec<ControlEvent> {
        let RelayedRequests {
            slot,
            life,
            requests,
        } = passed_on;
        let event = |request: RelayedRequest| {
            let token = self.token();
            let asker = Asker::Replica(slot, life, request.token);
            self.router_replies.insert(token, asker);
            ControlEvent::Relayed {
                token,
                from: slot,
                request,
            }
        };
        requests.into_iter().map(event).collect()
    }

    fn token(&mut self) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        token
    }

    fn register_one(&mut self, input: Input) -> ControlEvent {
        let token = self.token();
        match input {
            Input::Replication(message) => ControlEvent::Replica(Event::Receive(message)),
            Input::Router(request, reply) => {
                self.router_replies.insert(token, Asker::Router(reply));
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
            Input::Answers(answers) => ControlEvent::Answered(answers.into_answers()),
            Input::PassedOn(_) | Input::Stop => ControlEvent::Tick,
        }
    }

    fn hand_on(&mut self, effect: Effect) {
        match effect {
            Effect::Send(message) => self.senders.send(message),
            Effect::PassOn(slot, requests) => self.pass_on(slot, requests),
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
            Effect::Reply(token, reply) => match self.router_replies.remove(&token) {
                Some(Asker::Router(to)) => to(reply),
                Some(Asker::Replica(slot, life, token)) => {
                    self.pass_back(slot, life, token, reply);
                }
                None => {}
            },
            Effect::OperatorReply(token, reply) => {
                if let Some(to) = self.operator_replies.remove(&token) {
                    to(reply);
                }
            }
        }
    }

    fn pass_on(&mut self, slot: u32, requests: Vec<RelayedRequest>) {
        let own = self.node.core().replica().id().slot;
        let passed_on = RelayedRequests {
            slot: own,
            life: self.life,
            requests,
        };
        self.senders.pass_on(slot, passed_on);
    }

    /// An answer for a router that asked another replica: it goes with the others of
    /// this batch.
    fn pass_back(&mut self, slot: u32, life: u64, token: u64, reply: ControlReply) {
        let answers = self.passed_back.remove(&slot);
        let fits = |a: &RelayedReplies| a.life == life && a.has_room_for(&reply, MOST_STATE);
        let mut answers = match answers {
            Some(answers) if fits(&answers) => answers,
            Some(answers) => {
                self.senders.answer(slot, answers);
                RelayedReplies::new(life)
            }
            None => RelayedReplies::new(life),
        };
        answers.push(token, reply);
        self.passed_back.insert(slot, answers);
    }

    fn send_passed_back(&mut self) {
        for (slot, answers) in std::mem::take(&mut self.passed_back) {
            self.senders.answer(slot, answers);
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
