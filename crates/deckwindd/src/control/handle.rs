//! The way into the driver's thread.

use crossbeam::channel::{Receiver, Sender, bounded};
use deckwind_core::control::{HeardTargets, OperatorReply, OperatorRequest};
use deckwind_core::state::{LayerRange, Life, TargetName};
use deckwind_wire::{ControlReply, ControlRequest, Message};
use std::net::SocketAddr;

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
    /// Whom another replica has heard.
    Heard(HeardTargets),
    /// Other seeds: these slots.
    Seeds(Vec<u32>),
    /// Stop.
    Stop,
}

/// Inputs that may wait.
const MAX_WAITING: usize = 16_384;

/// Sends inputs to the driver; cheap to clone.
#[derive(Clone)]
pub struct ControlHandle(Sender<Input>);

impl ControlHandle {
    /// A handle and its receiving end.
    pub fn new() -> (Self, Receiver<Input>) {
        let (tx, rx) = bounded(MAX_WAITING);
        (Self(tx), rx)
    }

    /// Gives the driver an input. When it can't keep up the input is dropped:
    /// every sender has its own time-out or resend.
    pub fn send(&self, input: Input) {
        if self.0.try_send(input).is_err() {
            metrics::counter!("deckwind_control_inputs_dropped_total").increment(1);
        }
    }
}
