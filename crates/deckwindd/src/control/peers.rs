//! QUIC to and from the other replicas and the routers.

use super::handle::{ControlHandle, Input};
use crate::context::Context;
use deckwind_net::quic::{Incoming, QuicPeer, Responder};
use deckwind_wire::{ControlReply, Message, decode, encode};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Messages that may wait for one peer; more are dropped, as a network would.
const MAX_WAITING: usize = 1_024;

/// One queue a slot: keeps the order of messages to a peer.
pub type Senders = BTreeMap<u8, mpsc::Sender<Message>>;

/// Starts a sender task for each other slot.
pub fn start_senders(cx: &Context, peer: &QuicPeer, own_slot: u8) -> Senders {
    let others = cx
        .settings
        .control_vms
        .iter()
        .filter(|vm| vm.slot != own_slot);
    others
        .map(|vm| {
            let (tx, rx) = mpsc::channel(MAX_WAITING);
            cx.runtime.spawn(send_all(peer.clone(), vm.address, rx));
            (vm.slot, tx)
        })
        .collect()
}

async fn send_all(peer: QuicPeer, to: SocketAddr, mut rx: mpsc::Receiver<Message>) {
    while let Some(message) = rx.recv().await {
        if let Err(e) = peer.send(to, &encode(&message)).await {
            log::debug!("event=send_failed peer={to} error={:?}", e.to_string());
        }
    }
}

/// Hands what comes in to the driver.
pub async fn serve(peer: QuicPeer, handle: ControlHandle) {
    let runtime = tokio::runtime::Handle::current();
    peer.serve(move |from, incoming| match incoming {
        Incoming::OneWay(bytes) => match decode(&bytes) {
            Ok(message) => handle.send(Input::Replication(message)),
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
        responder.respond(encode(&reply)).await;
    }
}
