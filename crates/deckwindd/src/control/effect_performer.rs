//! Performs the effects of a control replica: sends messages, answers requests and starts
//! tasks.

use super::effect::{Effect, EffectSink};
use super::handle::{ControlHandle, Input, ReplyTo};
use super::limit_metrics;
use super::member_metrics;
use super::peers::Senders;
use super::placement_task;
use super::target_check;
use super::{engine_pace, orders};
use crate::context::Context;
use deckwind_core::control::{
    ControlEvent, HeldSilence, IncarnationDecision, OperatorReply, RelayedReplies, RelayedRequest,
    RelayedRequests,
};
use deckwind_core::replication::Event;
use deckwind_net::clock::Clock;
use deckwind_net::edge::EngineDialect;
use deckwind_net::targets::ConnectionPool;
use deckwind_wire::ControlReply;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use tokio::runtime::Handle;

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

/// Performer of effects, which knows the receivers of the answers.
pub struct EffectPerformer {
    clock: Clock,
    /// Slot of this replica.
    slot: u32,
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
}

impl EffectPerformer {
    /// Creates a performer for the replica in this slot.
    pub fn new(cx: &Context, slot: u32, senders: Senders, handle: ControlHandle) -> Self {
        Self {
            clock: cx.clock,
            slot,
            senders,
            handle,
            runtime: cx.runtime.clone(),
            dialect: cx.dialects.engines.clone(),
            engine_connections: Arc::new(ConnectionPool::new(cx.clock)),
            router_replies: HashMap::new(),
            process_id: rand::random(),
            forwarded_answers: BTreeMap::new(),
            operator_replies: HashMap::new(),
            next_token: 1,
        }
    }

    /// Registers the receiver of the reply, if any, and returns the events for the core.
    pub fn register_input(&mut self, input: Input) -> Vec<ControlEvent> {
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
            Input::Seeds(slots) => {
                ControlEvent::Replica(Event::SeedsChanged(slots.into_iter().collect()))
            }
            Input::Answers(answers) => ControlEvent::Answered(answers.into_answers()),
            Input::PassedOn(_) | Input::Stop => ControlEvent::Tick,
        }
    }

    fn perform_now(&mut self, effect: Effect) {
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
                    self.clock,
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
            Effect::Place(order) => {
                let placing = placement_task::place(
                    order,
                    self.dialect.clone(),
                    self.handle.clone(),
                    self.clock,
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
        let forwarded = RelayedRequests {
            slot: self.slot,
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

    /// Sends the answers to forwarded requests that were gathered since the last call.
    pub fn send_forwarded_answers(&mut self) {
        for (slot, answers) in std::mem::take(&mut self.forwarded_answers) {
            self.senders.send_answers(slot, answers);
        }
    }
}

impl EffectSink for EffectPerformer {
    fn perform(&mut self, effect: Effect) {
        self.perform_now(effect);
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
