//! The thread of a control replica: gathers inputs into batches, processes them and
//! performs the effects. Inputs that arrive during a sync form the next batch.

use super::handle::{ControlHandle, Inbox, Input, InputBatch, ReplyTo};
use super::leadership::LeadershipLog;
use super::limit_metrics::{self, LimitMetrics};
use super::member_metrics::{self, MemberMetrics};
use super::node::{ControlNode, Effect, Now};
use super::peers::Senders;
use super::placement_task;
use super::retry_metrics::RetryMetrics;
use super::suspect_derivation;
use super::target_check;
use super::{engine_pace, orders};
use crate::context::{Context, announce_interval};
use anyhow::Result;
use deckwind_config::ControlSettings;
use deckwind_core::control::{
    ControlEvent, ControlLimits, HeldSilence, IncarnationDecision, OperatorReply, RelayedReplies,
    RelayedRequest, RelayedRequests,
};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::replication::{Event, ReplicaConfig, SeedDiscovery, Timing};
use deckwind_net::clock::Clock;
use deckwind_net::edge::EngineDialect;
use deckwind_net::targets::{ConnectionPool, TcpConnector};
use deckwind_store::{OpenedStore, Store};
use deckwind_wire::ControlReply;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;

/// Interval between two ticks.
pub const TICK: Duration = Duration::from_millis(10);

/// Bytes of state in one message of answers above which further answers are sent in the
/// next message. They take some 0.6 ms on a link of 420 Mbit/s, so that small answers
/// need not wait for large ones.
const MAX_STATE_BYTES: usize = 32 * 1024;

/// Receiver of the answer to a router's request.
enum ReplyReceiver {
    /// Router that sent the request to this replica.
    Router(ReplyTo<ControlReply>),
    /// Replica that forwarded the request: its slot, the random number of its process, and
    /// its token for the request.
    Replica(u32, u64, u64),
}

/// Driver of a control replica, owned by its thread.
pub struct Driver {
    clock: Clock,
    node: ControlNode,
    senders: Senders,
    handle: ControlHandle,
    runtime: Handle,
    dialect: Arc<dyn EngineDialect>,
    /// Connections to engines whose pace is queried.
    engine_connections: Arc<ConnectionPool>,
    /// Receivers of the answers to routers' requests, by token.
    router_replies: HashMap<u64, ReplyReceiver>,
    /// Random number of this process, by which answers to requests that an earlier process
    /// of this replica forwarded are recognised and dropped.
    process_id: u64,
    /// Answers to requests that other replicas forwarded, by their slot.
    forwarded_answers: BTreeMap<u32, RelayedReplies>,
    operator_replies: HashMap<u64, ReplyTo<OperatorReply>>,
    next_token: u64,
    leadership: LeadershipLog,
    retry_metrics: RetryMetrics,
    limit_metrics: LimitMetrics,
    member_metrics: MemberMetrics,
}

impl Driver {
    /// Creates a driver on an open store.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot in the data folder is damaged or of another version.
    pub fn new(
        cx: &Context,
        cfg: &ControlSettings,
        store: Store,
        opened: OpenedStore,
        senders: Senders,
        handle: ControlHandle,
    ) -> Result<Self> {
        let seeds: BTreeSet<u32> = cx.known_slots().into_iter().collect();
        let slots = seeds.iter().copied().chain([cfg.slot]);
        let mut replica = ReplicaConfig::new(opened.id, slots, rand::random());
        replica.seed_discovery = cx.settings.seeds.as_ref().map(|s| {
            let desired_voters = 2 * usize::from(s.lost_at_once) + 1;
            let first_seeds = opened.first_seeds.as_ref();
            SeedDiscovery::new(cfg.slot, &seeds, s.first_start, first_seeds, desired_voters)
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
            limits.state_bytes_per_s = ControlLimits::state_rate_for_link(mbps);
        }
        limits.announce_every = announce_interval(cfg.announce_every);
        let node = ControlNode::new(replica, lease, limits, store, opened, cx.clock.now())?;
        Ok(Self {
            clock: cx.clock,
            node,
            senders,
            handle,
            runtime: cx.runtime.clone(),
            dialect: cx.dialects.engines.clone(),
            engine_connections: Arc::new(ConnectionPool::with_budget(
                cx.clock,
                Arc::new(TcpConnector),
                cx.receive_budget.clone(),
            )),
            router_replies: HashMap::new(),
            process_id: rand::random(),
            forwarded_answers: BTreeMap::new(),
            operator_replies: HashMap::new(),
            next_token: 1,
            leadership: LeadershipLog::default(),
            retry_metrics: RetryMetrics::default(),
            limit_metrics: LimitMetrics::default(),
            member_metrics: MemberMetrics::default(),
        })
    }

    /// Runs until the driver must stop.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails or if the core stops the replica: a replica that can't write
    /// must not vote or acknowledge entries.
    pub fn run(mut self, inbox: &Inbox) -> Result<()> {
        while let Some(batch) = inbox.gather(TICK) {
            if let Err(e) = self.process_batch(batch) {
                log::error!("event=store_failed error={:?}", format!("{e:#}"));
                return Err(e);
            }
        }
        Ok(())
    }

    fn process_batch(&mut self, batch: InputBatch) -> Result<()> {
        self.node.record_input_ages(batch.ages);
        let events = batch
            .inputs
            .into_iter()
            .flat_map(|input| self.register_input(input));
        let events = events.collect();
        let now = Now {
            at: self.clock.now(),
            wall_ms: self.clock.wall_ms(),
        };
        let mut effects = Vec::new();
        self.node.process_batch(now, events, &mut effects)?;
        for effect in effects {
            self.perform(effect);
        }
        self.send_forwarded_answers();
        self.leadership.update(now.at, self.node.core().replica());
        self.retry_metrics.update(now.at, self.node.core());
        self.limit_metrics.update(now.at, self.node.core());
        self.member_metrics
            .update(now.at, self.node.core().replica());
        Ok(())
    }

    /// Registers the receiver of the reply, if any, and returns the events for the core.
    fn register_input(&mut self, input: Input) -> Vec<ControlEvent> {
        match input {
            Input::PassedOn(forwarded) => self.register_forwarded(forwarded),
            Input::Answers(answers) if answers.life != self.process_id => Vec::new(),
            other => vec![self.register_single_input(other)],
        }
    }

    fn register_forwarded(&mut self, forwarded: RelayedRequests) -> Vec<ControlEvent> {
        let RelayedRequests {
            slot,
            life,
            requests,
        } = forwarded;
        let event = |request: RelayedRequest| {
            let token = self.new_token();
            let receiver = ReplyReceiver::Replica(slot, life, request.token);
            self.router_replies.insert(token, receiver);
            ControlEvent::Relayed {
                token,
                from: slot,
                request,
            }
        };
        requests.into_iter().map(event).collect()
    }

    fn new_token(&mut self) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        token
    }

    fn register_single_input(&mut self, input: Input) -> ControlEvent {
        let token = self.new_token();
        match input {
            Input::Replication(message) => ControlEvent::Replica(Event::Receive(message)),
            Input::Router(request, reply) => {
                self.router_replies
                    .insert(token, ReplyReceiver::Router(reply));
                ControlEvent::Request { token, request }
            }
            Input::Operator(request, reply) => {
                self.operator_replies.insert(token, reply);
                ControlEvent::Operator { token, request }
            }
            Input::OrdersDone(target, accepted) => ControlEvent::OrdersDone { target, accepted },
            Input::Heard(heard) => ControlEvent::AnnouncementReport(heard),
            Input::Placed(incarnation, held) => ControlEvent::PlacementDone { incarnation, held },
            Input::Checked(incarnation, is_running) => ControlEvent::Checked {
                incarnation,
                is_running,
            },
            Input::Pace(address, percent) => ControlEvent::Pace { address, percent },
            Input::SuspectsDerived(derived) => ControlEvent::SuspectsDerived(derived),
            Input::Seeds(slots) => {
                ControlEvent::Replica(Event::SeedsChanged(slots.into_iter().collect()))
            }
            Input::Answers(answers) => ControlEvent::Answered(answers.into_answers()),
            Input::PassedOn(_) | Input::Stop => ControlEvent::Tick,
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Send(message) => self.senders.send(message),
            Effect::ForwardRequests(slot, requests) => self.forward_requests(slot, requests),
            Effect::ReportAnnouncements(slot, heard) => self.senders.report_heard(slot, heard),
            Effect::Check(incarnation, address) => {
                let dialect = self.dialect.clone();
                let checking = target_check::check(
                    incarnation,
                    address,
                    dialect,
                    self.handle.clone(),
                    self.engine_connections.clone(),
                );
                self.runtime.spawn(checking);
            }
            Effect::LogHeldSilence(held) => log_held_silence(&held),
            Effect::LogIncarnationDecision(note) => log_incarnation_decision(&note),
            Effect::LogLimitDecision(note) => limit_metrics::log_change(&note),
            Effect::LogMemberDecision(decision) => member_metrics::log_decision(&decision),
            Effect::ProbePace(address) => {
                let dialect = self.dialect.clone();
                let connections = self.engine_connections.clone();
                let querying =
                    engine_pace::query(address, dialect, connections, self.handle.clone());
                self.runtime.spawn(querying);
            }
            Effect::DeriveSuspects(evidence) => {
                suspect_derivation::derive(&self.runtime, evidence, self.handle.clone());
            }
            Effect::Place(order) => {
                let placing = placement_task::place(
                    order,
                    self.dialect.clone(),
                    self.handle.clone(),
                    self.clock,
                    self.engine_connections.with_same_budget(),
                );
                self.runtime.spawn(placing);
            }
            Effect::Order(batch) => {
                let sending = orders::send(batch, self.handle.clone(), self.clock);
                self.runtime.spawn(sending);
            }
            Effect::Reply(token, reply) => match self.router_replies.remove(&token) {
                Some(ReplyReceiver::Router(to)) => to(reply),
                Some(ReplyReceiver::Replica(slot, life, token)) => {
                    self.add_forwarded_answer(slot, life, token, reply);
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

    fn forward_requests(&mut self, slot: u32, requests: Vec<RelayedRequest>) {
        let own = self.node.core().replica().id().slot;
        let forwarded = RelayedRequests {
            slot: own,
            life: self.process_id,
            requests,
        };
        self.senders.forward_requests(slot, forwarded);
    }

    /// Adds an answer to a request that another replica forwarded. It is sent together with
    /// the other answers of this batch.
    fn add_forwarded_answer(&mut self, slot: u32, life: u64, token: u64, reply: ControlReply) {
        let answers = self.forwarded_answers.remove(&slot);
        let fits = |a: &RelayedReplies| a.life == life && a.can_add(&reply, MAX_STATE_BYTES);
        let mut answers = match answers {
            Some(answers) if fits(&answers) => answers,
            Some(answers) => {
                self.senders.send_answers(slot, answers);
                RelayedReplies::new(life)
            }
            None => RelayedReplies::new(life),
        };
        answers.push(token, reply);
        self.forwarded_answers.insert(slot, answers);
    }

    fn send_forwarded_answers(&mut self) {
        for (slot, answers) in std::mem::take(&mut self.forwarded_answers) {
            self.senders.send_answers(slot, answers);
        }
    }
}

fn log_held_silence(held: &HeldSilence) {
    metrics::counter!("deckwind_control_silences_held_total").increment(1);
    log::info!(
        "event=silence_held life={} silent_ms={}",
        held.incarnation,
        held.silence.as_millis()
    );
}

fn log_incarnation_decision(note: &IncarnationDecision) {
    match note {
        IncarnationDecision::Ended { incarnation, by } => {
            metrics::counter!("deckwind_control_lives_ended_total").increment(1);
            log::info!("event=life_ended life={incarnation} by={by}");
        }
        IncarnationDecision::Unconfirmed { incarnation, over } => {
            metrics::counter!("deckwind_control_lives_doubted_total").increment(1);
            log::info!("event=life_doubted life={incarnation} over={over}");
        }
    }
}
