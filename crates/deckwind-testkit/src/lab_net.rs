//! The laboratory's network: what is under way between its replicas, routers and targets,
//! and what becomes of what replicas want done.

use crate::lab::Lab;
use deckwind_core::control::{
    ControlEvent, ControlRequest, HeardTargets, OrderBatch, RelayedReplies, RelayedRequest,
};
use deckwind_core::replication::{Event, Message};
use deckwind_core::time::Instant;
use deckwind_wire::ControlReply;
use deckwindd::control::Effect;
use rand::RngExt;
use std::time::Duration;

/// Who asked for what, by token.
#[derive(Clone, Debug)]
pub(crate) enum Asked {
    /// A router's request, and when it was asked.
    Router(usize, Box<ControlRequest>, Instant),
    Operator(String),
    /// The replica of this slot passed it on, under its own token.
    Replica(u32, u64),
}

/// Something under way.
pub(crate) enum Flying {
    Message(Message),
    /// To the replica of this slot.
    Heard(u32, HeardTargets),
    /// From the replica of the first slot to that of the second.
    PassedOn(u32, u32, Vec<RelayedRequest>),
    /// To the replica of this slot.
    Answers(u32, RelayedReplies),
    Orders(usize, OrderBatch),
    Ask(u32, u64, ControlRequest),
    Answer(usize, ControlRequest, Instant, ControlReply),
}

impl Lab {
    pub(crate) fn deliver(&mut self) {
        while let Some(((at, _), _)) = self.flying.first_key_value() {
            if *at > self.now {
                break;
            }
            let (_, flying) = self.flying.pop_first().expect("just seen");
            match flying {
                Flying::Message(m) => {
                    let event = ControlEvent::Replica(Event::Receive(m.clone()));
                    self.nodes[m.to_slot as usize].inbox.push(event);
                }
                Flying::Heard(slot, heard) => self.nodes[slot as usize]
                    .inbox
                    .push(ControlEvent::Heard(heard)),
                Flying::PassedOn(from, to, requests) => self.take_passed_on(from, to, requests),
                Flying::Answers(slot, answers) => {
                    let event = ControlEvent::Answered(answers.into_answers());
                    self.nodes[slot as usize].inbox.push(event);
                }
                Flying::Orders(slot, batch) => self.take_orders(slot, batch),
                Flying::Ask(slot, token, request) => self.nodes[slot as usize]
                    .inbox
                    .push(ControlEvent::Request { token, request }),
                Flying::Answer(router, request, asked, reply) => {
                    let now = self.now;
                    self.routers[router].answered(now, asked, &request, reply);
                }
            }
        }
    }

    pub(crate) fn take_effect(&mut self, slot: usize, effect: Effect) {
        match effect {
            Effect::Send(m) => {
                if !self.cut.contains(&(slot as u32, m.to_slot)) {
                    self.fly(Flying::Message(m));
                }
            }
            Effect::TellHeard(to, heard) => {
                if !self.cut.contains(&(slot as u32, to)) {
                    self.fly(Flying::Heard(to, heard));
                }
            }
            Effect::PassOn(to, requests) => {
                if !self.cut.contains(&(slot as u32, to)) {
                    self.fly(Flying::PassedOn(slot as u32, to, requests));
                }
            }
            Effect::Reply(token, reply) => match self.asked.remove(&token) {
                Some(Asked::Router(i, request, asked)) => {
                    self.fly(Flying::Answer(i, *request, asked, reply));
                }
                Some(Asked::Replica(to, token)) => {
                    let mut answers = RelayedReplies::new(0);
                    answers.push(token, reply);
                    if !self.cut.contains(&(slot as u32, to)) {
                        self.fly(Flying::Answers(to, answers));
                    }
                }
                Some(Asked::Operator(_)) | None => {}
            },
            Effect::Order(batch) => self.fly_orders(slot, batch),
            // Targets of the laboratory hold no layers and fail nobody.
            Effect::Place(_)
            | Effect::Check(..)
            | Effect::NoteLife(_)
            | Effect::NoteLimit(_)
            | Effect::AskPace(_) => {}
            Effect::OperatorReply(token, reply) => {
                if let Some(Asked::Operator(id)) = self.asked.remove(&token) {
                    self.note_reply(&id, reply);
                }
            }
        }
    }

    fn take_passed_on(&mut self, from: u32, to: u32, requests: Vec<RelayedRequest>) {
        for request in requests {
            let token = self.next_token;
            self.next_token += 1;
            let asked = Asked::Replica(from, request.token);
            self.asked.insert(token, asked);
            self.nodes[to as usize].inbox.push(ControlEvent::Relayed {
                token,
                from,
                request,
            });
        }
    }

    /// Orders arrive within their time; the leader hears that they were taken,
    /// if it is still there.
    fn fly_orders(&mut self, slot: usize, batch: OrderBatch) {
        let within = batch.within.as_micros() as u64;
        let delay = Duration::from_micros(self.rng.random_range(0..within));
        self.put(self.now + delay, Flying::Orders(slot, batch));
    }

    /// A target that does not check fences must not get an older leader's order
    /// after a newer one's.
    fn take_orders(&mut self, slot: usize, batch: OrderBatch) {
        for order in &batch.orders {
            let term = order.fence.term;
            let newest = self.ordered.entry(batch.target.clone()).or_insert(term);
            assert!(
                term >= *newest,
                "{} got an order of {term:?} after {newest:?}",
                batch.target
            );
            *newest = term;
        }
        let target = batch.target;
        let taken = !self.rng.random_ratio(self.faults.orders_unanswered, 1_000);
        self.nodes[slot]
            .inbox
            .push(ControlEvent::OrdersDone { target, taken });
    }

    fn fly(&mut self, flying: Flying) {
        if self.rng.random_range(0..1_000) < self.faults.lost {
            return;
        }
        let micros = self.faults.max_delay.as_micros() as u64;
        let delay = Duration::from_micros(self.rng.random_range(0..=micros));
        if self.rng.random_range(0..1_000) < self.faults.doubled
            && let Flying::Message(m) = &flying
        {
            let again = Flying::Message(m.clone());
            self.put(self.now + delay + self.faults.max_delay, again);
        }
        self.put(self.now + delay, flying);
    }

    fn put(&mut self, at: Instant, flying: Flying) {
        self.sequence += 1;
        self.flying.insert((at, self.sequence), flying);
    }

    pub(crate) fn step_routers(&mut self) {
        for i in 0..self.routers.len() {
            let request = self.routers[i].next_request(self.now, &mut self.rng);
            let Some(request) = request else {
                continue;
            };
            let slot = self.routers[i].choose(self.now);
            let token = self.next_token;
            self.next_token += 1;
            let asked = Asked::Router(i, Box::new(request.clone()), self.now);
            self.asked.insert(token, asked);
            self.fly(Flying::Ask(slot, token, request));
        }
    }
}
