//! The simulated network: messages in flight between replicas, routers and targets, and
//! the effects that replicas request.

use crate::control_simulation::ControlSimulation;
use deckwind_core::control::{
    AnnouncementReport, ControlEvent, ControlRequest, OrderBatch, RelayedReplies, RelayedRequest,
};
use deckwind_core::replication::{Event, Message};
use deckwind_core::time::Instant;
use deckwind_wire::ControlReply;
use deckwindd::control::Effect;
use rand::RngExt;
use std::time::Duration;

/// Sender of a request, recorded by the request's token.
#[derive(Clone, Debug)]
pub(crate) enum Requester {
    /// A router, with its request and the time at which it was sent.
    Router(usize, Box<ControlRequest>, Instant),
    Operator(String),
    /// The slot of the replica that relayed the request, and the token there.
    Replica(u32, u64),
}

/// A message in flight.
pub(crate) enum InFlight {
    Message(Message),
    /// Announcement report to the replica in this slot.
    Heard(u32, AnnouncementReport),
    /// Forwarded requests from the replica in the first slot to the one in the second.
    Relayed(u32, u32, Vec<RelayedRequest>),
    /// Answers to forwarded requests, to the replica in this slot.
    RelayedReplies(u32, RelayedReplies),
    Orders(usize, OrderBatch),
    Request(u32, u64, ControlRequest),
    Reply(usize, ControlRequest, Instant, ControlReply),
}

impl ControlSimulation {
    pub(crate) fn deliver(&mut self) {
        while let Some(((at, _), _)) = self.in_flight.first_key_value() {
            if *at > self.now {
                break;
            }
            let (_, in_flight) = self.in_flight.pop_first().expect("the map is not empty");
            match in_flight {
                InFlight::Message(m) => {
                    let event = ControlEvent::Replica(Event::Receive(m.clone()));
                    self.nodes[m.to_slot as usize].inbox.push(event);
                }
                InFlight::Heard(slot, heard) => self.nodes[slot as usize]
                    .inbox
                    .push(ControlEvent::AnnouncementReport(heard)),
                InFlight::Relayed(from, to, requests) => self.deliver_relayed(from, to, requests),
                InFlight::RelayedReplies(slot, answers) => {
                    let event = ControlEvent::Answered(answers.into_answers());
                    self.nodes[slot as usize].inbox.push(event);
                }
                InFlight::Orders(slot, batch) => self.deliver_orders(slot, batch),
                InFlight::Request(slot, token, request) => self.nodes[slot as usize]
                    .inbox
                    .push(ControlEvent::Request { token, request }),
                InFlight::Reply(router, request, sent_at, reply) => {
                    let now = self.now;
                    self.routers[router].handle_reply(now, sent_at, &request, reply);
                }
            }
        }
    }

    pub(crate) fn apply_effect(&mut self, slot: usize, effect: Effect) {
        match effect {
            Effect::Send(m) => {
                self.heartbeats.record(self.now, &m);
                if !self.partitions.contains(&(slot as u32, m.to_slot)) {
                    self.send(InFlight::Message(m));
                }
            }
            Effect::ReportAnnouncements(to, heard) => {
                if !self.partitions.contains(&(slot as u32, to)) {
                    self.send(InFlight::Heard(to, heard));
                }
            }
            Effect::ForwardRequests(to, requests) => {
                if !self.partitions.contains(&(slot as u32, to)) {
                    self.send(InFlight::Relayed(slot as u32, to, requests));
                }
            }
            Effect::Reply(token, reply) => match self.pending.remove(&token) {
                Some(Requester::Router(i, request, sent_at)) => {
                    self.send(InFlight::Reply(i, *request, sent_at, reply));
                }
                Some(Requester::Replica(to, token)) => {
                    let mut answers = RelayedReplies::new(0);
                    answers.push(token, reply);
                    if !self.partitions.contains(&(slot as u32, to)) {
                        self.send(InFlight::RelayedReplies(to, answers));
                    }
                }
                Some(Requester::Operator(_)) | None => {}
            },
            Effect::Order(batch) => self.send_orders(slot, batch),
            Effect::DeriveSuspects(evidence) => {
                let event = ControlEvent::SuspectsDerived(evidence.derive());
                self.nodes[slot].inbox.push(event);
            }
            // The simulated targets hold no layers and never fail.
            Effect::Place(_)
            | Effect::Check(..)
            | Effect::LogHeldSilence(_)
            | Effect::LogIncarnationDecision(_)
            | Effect::LogLimitDecision(_)
            | Effect::LogMemberDecision(_)
            | Effect::ProbePace(_) => {}
            Effect::OperatorReply(token, reply) => {
                if let Some(Requester::Operator(id)) = self.pending.remove(&token) {
                    self.record_reply(&id, reply);
                }
            }
        }
    }

    fn deliver_relayed(&mut self, from: u32, to: u32, requests: Vec<RelayedRequest>) {
        for request in requests {
            let token = self.next_token;
            self.next_token += 1;
            let requester = Requester::Replica(from, request.token);
            self.pending.insert(token, requester);
            self.nodes[to as usize].inbox.push(ControlEvent::Relayed {
                token,
                from,
                request,
            });
        }
    }

    /// Sends orders, which arrive within their timeout.
    fn send_orders(&mut self, slot: usize, batch: OrderBatch) {
        let timeout_micros = batch.order_timeout.as_micros() as u64;
        let delay = Duration::from_micros(self.rng.random_range(0..timeout_micros));
        self.schedule(self.now + delay, InFlight::Orders(slot, batch));
    }

    /// Delivers orders to their target and reports to the replica whether they were
    /// accepted. Checks that the target gets no older leader's order after a newer one's,
    /// since it might not check fences.
    fn deliver_orders(&mut self, slot: usize, batch: OrderBatch) {
        for order in &batch.orders {
            let term = order.fence.term;
            let newest = self
                .newest_terms
                .entry(batch.target.clone())
                .or_insert(term);
            assert!(
                term >= *newest,
                "{} got an order of {term:?} after {newest:?}",
                batch.target
            );
            *newest = term;
        }
        let target = batch.target;
        let accepted = !self.rng.random_ratio(self.faults.orders_unanswered, 1_000);
        self.nodes[slot]
            .inbox
            .push(ControlEvent::OrdersDone { target, accepted });
    }

    fn send(&mut self, in_flight: InFlight) {
        if self.rng.random_range(0..1_000) < self.faults.lost {
            return;
        }
        let micros = self.faults.max_delay.as_micros() as u64;
        let delay = Duration::from_micros(self.rng.random_range(0..=micros));
        if self.rng.random_range(0..1_000) < self.faults.duplicated
            && let InFlight::Message(m) = &in_flight
        {
            let duplicate = InFlight::Message(m.clone());
            self.schedule(self.now + delay + self.faults.max_delay, duplicate);
        }
        self.schedule(self.now + delay, in_flight);
    }

    fn schedule(&mut self, at: Instant, in_flight: InFlight) {
        self.sequence += 1;
        self.in_flight.insert((at, self.sequence), in_flight);
    }

    pub(crate) fn step_routers(&mut self) {
        for i in 0..self.routers.len() {
            let request = self.routers[i].next_request(self.now, &mut self.rng);
            let Some(request) = request else {
                continue;
            };
            let slot = self.routers[i].choose_replica(self.now);
            let token = self.next_token;
            self.next_token += 1;
            let requester = Requester::Router(i, Box::new(request.clone()), self.now);
            self.pending.insert(token, requester);
            self.send(InFlight::Request(slot, token, request));
        }
    }
}
