//! QUIC connections with the other replicas and the routers.

use super::handle::{ControlHandle, Input};
use crate::context::Context;
use deckwind_core::control::{AnnouncementReport, RelayedReplies, RelayedRequests};
use deckwind_core::replication::Body;
use deckwind_net::quic::{Incoming, QuicPeer, Responder};
use deckwind_wire::{ControlReply, Message, PeerMessage, decode, encode};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of messages in each queue to a peer. Further messages are dropped, as
/// by a network.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Kind of a queue of messages to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum QueueKind {
    /// Messages of the replicated log, in a queue of their own so that no other message
    /// delays them.
    Log,
    /// Messages about routers and targets.
    Others,
}

/// Queues of messages to the other replicas: two per slot, each created at its first
/// message. A queue keeps the order of its messages.
pub struct Senders {
    cx: Context,
    peer: QuicPeer,
    queues: BTreeMap<(u32, QueueKind), mpsc::Sender<PeerMessage>>,
}

impl Senders {
    /// Creates senders without any queue.
    pub fn new(cx: &Context, peer: &QuicPeer) -> Self {
        Self {
            cx: cx.clone(),
            peer: peer.clone(),
            queues: BTreeMap::new(),
        }
    }

    /// Queues a message of the replicated log. If the queue is full, the message is
    /// dropped, and the protocol sends it again.
    pub fn send(&mut self, message: Message) {
        let slot = message.to_slot;
        self.queue(slot, QueueKind::Log, PeerMessage::Replication(message));
    }

    /// Reports to the replica of this slot the targets whose announcements this replica has
    /// received.
    pub fn report_heard(&mut self, slot: u32, heard: AnnouncementReport) {
        self.queue(slot, QueueKind::Others, PeerMessage::Heard(heard));
    }

    /// Forwards requests of routers to the replica of this slot.
    pub fn forward_requests(&mut self, slot: u32, requests: RelayedRequests) {
        self.queue(slot, QueueKind::Others, PeerMessage::PassedOn(requests));
    }

    /// Answers requests that the replica of this slot has forwarded.
    pub fn send_answers(&mut self, slot: u32, answers: RelayedReplies) {
        self.queue(slot, QueueKind::Others, PeerMessage::Answers(answers));
    }

    fn queue(&mut self, slot: u32, kind: QueueKind, message: PeerMessage) {
        let to = (slot, kind);
        if !self.queues.contains_key(&to)
            && let Some(tx) = self.start_sender(slot)
        {
            self.queues.insert(to, tx);
        }
        if let Some(tx) = self.queues.get(&to)
            && tx.try_send(message).is_err()
        {
            metrics::counter!("deckwind_control_messages_dropped_total").increment(1);
        }
    }

    fn start_sender(&self, slot: u32) -> Option<mpsc::Sender<PeerMessage>> {
        let address = match self.cx.control_address(slot) {
            Ok(address) => address,
            Err(e) => {
                log::warn!("event=unknown_slot slot={slot} error={:?}", e.to_string());
                return None;
            }
        };
        let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.cx
            .runtime
            .spawn(send_queued(self.peer.clone(), address, rx));
        Some(tx)
    }
}

async fn send_queued(peer: QuicPeer, to: SocketAddr, mut rx: mpsc::Receiver<PeerMessage>) {
    while let Some(message) = rx.recv().await {
        let bytes = encode(&message);
        count_sent(kind_of_message(&message), bytes.len());
        let Err(e) = peer.send(to, &bytes).await else {
            continue;
        };
        // Messages queued meanwhile are likely outdated as well; the protocol sends those
        // that are still needed again.
        let mut dropped = 1;
        while rx.try_recv().is_ok() {
            dropped += 1;
        }
        log::debug!(
            "event=send_failed peer={to} dropped={dropped} error={:?}",
            e.to_string()
        );
    }
}

/// Passes incoming messages and requests to the driver.
pub async fn serve(peer: QuicPeer, handle: ControlHandle) {
    let runtime = tokio::runtime::Handle::current();
    peer.serve(move |from, incoming| match incoming {
        Incoming::OneWay(bytes) => match decode(&bytes) {
            Ok(PeerMessage::Replication(message)) => handle.send(Input::Replication(message)),
            Ok(PeerMessage::Heard(heard)) => handle.send(Input::Heard(heard)),
            Ok(PeerMessage::PassedOn(requests)) => handle.send(Input::PassedOn(requests)),
            Ok(PeerMessage::Answers(answers)) => handle.send(Input::Answers(answers)),
            Err(e) => log::warn!("event=bad_message from={from} error={:?}", e.to_string()),
        },
        Incoming::Request(bytes, responder) => match decode(&bytes) {
            Ok(request) => {
                let (tx, rx) = oneshot::channel();
                let reply = Box::new(move |r| drop(tx.send(r)));
                handle.send(Input::Router(request, reply));
                runtime.spawn(respond(responder, rx));
            }
            Err(e) => log::warn!("event=bad_request from={from} error={:?}", e.to_string()),
        },
    })
    .await;
}

async fn respond(responder: Responder, rx: oneshot::Receiver<ControlReply>) {
    if let Ok(reply) = rx.await {
        let bytes = encode(&reply);
        count_sent(kind_of_reply(&reply), bytes.len());
        responder.respond(bytes).await;
    }
}

/// Counts the messages and bytes sent by kind, to show what fills the link of this VM.
fn count_sent(kind: &'static str, bytes: usize) {
    metrics::counter!("deckwind_control_sent_total", "kind" => kind).increment(1);
    metrics::counter!("deckwind_control_sent_bytes_total", "kind" => kind).increment(bytes as u64);
}

fn kind_of_message(message: &PeerMessage) -> &'static str {
    let message = match message {
        PeerMessage::Replication(message) => message,
        PeerMessage::Heard(_) => return "heard",
        PeerMessage::PassedOn(_) => return "passed_on",
        PeerMessage::Answers(_) => return "answers",
    };
    match &message.body {
        Body::PreVote { .. }
        | Body::PreVoteReply { .. }
        | Body::Vote { .. }
        | Body::VoteReply { .. } => "election",
        Body::Append { entries, .. } if entries.is_empty() => "heartbeat",
        Body::Append { .. } => "entries",
        Body::AppendReply { .. } => "entries_answer",
        Body::Snapshot { .. } => "snapshot",
        Body::Join { .. } => "join",
    }
}

fn kind_of_reply(reply: &ControlReply) -> &'static str {
    match reply {
        ControlReply::Granted(grant) if grant.delta.is_some() => "lease_with_state",
        ControlReply::Granted(_) => "lease",
        ControlReply::NotLeader { .. } | ControlReply::AskAgain => "not_leader",
        ControlReply::Permits(_) => "permits",
        ControlReply::Claim(_)
        | ControlReply::Done
        | ControlReply::Unknown
        | ControlReply::Busy => "claim",
    }
}
