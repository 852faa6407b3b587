//! The way into the driver's thread.

use crossbeam::channel::{Receiver, Sender, bounded};
use deckwind_core::control::{
    HeardTargets, OperatorReply, OperatorRequest, RelayedReplies, RelayedRequests,
};
use deckwind_core::state::{LayerRange, Life, TargetName};
use deckwind_wire::{ControlReply, ControlRequest, Message};
use std::net::SocketAddr;
use std::time::Duration;

/// Where a reply goes.
pub type ReplyTo<T> = Box<dyn FnOnce(T) + Send>;

/// What the driver takes.
pub enum Input {
    /// A peer's message.
    Replication(Message),
    /// A router's request.
    Router(ControlRequest, ReplyTo<ControlReply>),
    /// An operator's request.
    Operator(OperatorRequest, ReplyTo<OperatorReply>),
    /// A batch of orders is over: the target, and whether it took them all.
    OrdersDone(TargetName, bool),
    /// An order to this life to place layers is over: what the engine then held,
    /// if known.
    Placed(Life, Option<LayerRange>),
    /// A target was asked whether this life of it is there.
    Checked(Life, bool),
    /// An engine told its pace, in hundredths of the usual time.
    Pace(SocketAddr, u32),
    /// Requests of routers that another replica passes on.
    PassedOn(RelayedRequests),
    /// The leader's answers to requests that this replica has passed on.
    Answers(RelayedReplies),
    /// Whom another replica has heard.
    Heard(HeardTargets),
    /// Other seeds: these slots.
    Seeds(Vec<u32>),
    /// Stop.
    Stop,
}

/// Inputs of each lane that may wait.
const MAX_WAITING: usize = 16_384;

/// Most inputs of routers, targets and operators in one batch: what the replicated log
/// is to be told waits for a batch at most, some 5 ms of work.
const MOST_OTHERS: usize = 128;

/// Most messages of the replicated log in one batch.
const MOST_OF_LOG: usize = 1_024;

/// Sends inputs to the driver; cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    /// Messages of the replicated log: nothing else stands before them.
    log: Sender<Input>,
    others: Sender<Input>,
}

/// Where the driver takes its inputs from.
pub struct Inbox {
    log: Receiver<Input>,
    others: Receiver<Input>,
}

impl ControlHandle {
    /// A handle and its receiving end.
    pub fn new() -> (Self, Inbox) {
        let (log, log_rx) = bounded(MAX_WAITING);
        let (others, others_rx) = bounded(MAX_WAITING);
        let inbox = Inbox {
            log: log_rx,
            others: others_rx,
        };
        (Self { log, others }, inbox)
    }

    /// Gives the driver an input. When it can't keep up the input is dropped:
    /// every sender has its own time-out or resend.
    pub fn send(&self, input: Input) {
        let lane = match input {
            Input::Replication(_) | Input::Stop => &self.log,
            _ => &self.others,
        };
        if lane.try_send(input).is_err() {
            metrics::counter!("deckwind_control_inputs_dropped_total").increment(1);
        }
    }
}

impl Inbox {
    /// What has come in, after a wait of at most `tick`: all messages of the log before
    /// a bounded number of others. Nothing when it is time to stop.
    pub fn gather(&self, tick: Duration) -> Option<Vec<Input>> {
        let mut batch = Vec::new();
        let first = crossbeam::channel::select! {
            recv(self.log) -> input => input,
            recv(self.others) -> input => input,
            default(tick) => return Some(batch),
        };
        batch.push(first.ok()?);
        batch.extend(self.log.try_iter().take(MOST_OF_LOG));
        batch.extend(self.others.try_iter().take(MOST_OTHERS));
        let stops = batch.iter().any(|input| matches!(input, Input::Stop));
        (!stops).then_some(batch)
    }
}
