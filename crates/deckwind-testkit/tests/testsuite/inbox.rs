//! Order of a control replica's inputs: messages of the replicated log come before all
//! others, and each batch is bounded.

use deckwind_core::replication::{Body, Message, ReplicaId, Term};
use deckwindd::control::{ControlHandle, Input};
use std::time::Duration;

fn log_message() -> Input {
    Input::Replication(Message {
        cluster: None,
        from: ReplicaId {
            slot: 1,
            identity: 1,
        },
        to_slot: 2,
        to_identity: None,
        term: Term(1),
        body: Body::Join { unformed: true },
    })
}

/// A leader's heartbeat that arrives after the renewals of a whole fleet is in the first
/// batch, and that batch is short.
#[test]
fn a_message_of_the_log_waits_for_a_short_batch_at_most() {
    let (handle, inbox) = ControlHandle::new();
    for _ in 0..5_000 {
        handle.send(Input::Seeds(Vec::new()));
    }
    handle.send(log_message());
    let batch = inbox
        .gather(Duration::ZERO)
        .expect("the inbox is not stopped")
        .inputs;
    let log_messages = batch.iter().filter(|i| matches!(i, Input::Replication(_)));
    assert_eq!(log_messages.count(), 1);
    assert!(batch.len() < 200, "{} inputs", batch.len());
}

#[test]
fn nothing_is_lost_over_several_batches() {
    let (handle, inbox) = ControlHandle::new();
    (0..1_000).for_each(|i| handle.send(Input::Seeds(vec![i])));
    let mut received = Vec::new();
    let gather = || inbox.gather(Duration::ZERO).map(|b| b.inputs);
    while let Some(batch) = gather().filter(|b| !b.is_empty()) {
        received.extend(batch.into_iter().filter_map(|i| match i {
            Input::Seeds(slots) => Some(slots[0]),
            _ => None,
        }));
    }
    assert_eq!(received, (0..1_000).collect::<Vec<u32>>());
}

/// The age of the oldest input of each queue is known when the batch is handled.
#[test]
fn a_batch_tells_how_long_its_inputs_waited() {
    let (handle, inbox) = ControlHandle::new();
    handle.send(log_message());
    std::thread::sleep(Duration::from_millis(2));
    handle.send(Input::Seeds(Vec::new()));
    let batch = inbox.gather(Duration::ZERO).expect("not stopped");
    assert!(
        batch.ages.log >= Duration::from_millis(2),
        "{:?}",
        batch.ages
    );
    assert!(batch.ages.others <= batch.ages.log, "{:?}", batch.ages);
}

#[test]
fn a_stop_overtakes_what_waits() {
    let (handle, inbox) = ControlHandle::new();
    (0..1_000).for_each(|i| handle.send(Input::Seeds(vec![i])));
    handle.send(Input::Stop);
    assert!(inbox.gather(Duration::ZERO).is_none());
}
