//! Queues of inputs to the driver's thread.

use crossbeam::channel::{Receiver, Sender, bounded};
use deckwind_core::control::{
    AnnouncementReport, OperatorReply, OperatorRequest, RelayedReplies, RelayedRequests,
};
use deckwind_core::state::{Incarnation, LayerRange, TargetName};
use deckwind_wire::{ControlReply, ControlRequest, Message};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Callback that receives the reply to a request.
pub type ReplyTo<T> = Box<dyn FnOnce(T) + Send>;

/// Input to the driver.
pub enum Input {
    /// Message of the replicated log from another replica.
    Replication(Message),
    /// Request of a router.
    Router(ControlRequest, ReplyTo<ControlReply>),
    /// Request of an operator.
    Operator(OperatorRequest, ReplyTo<OperatorReply>),
    /// End of a batch of orders: the target, and whether it accepted all of them.
    OrdersDone(TargetName, bool),
    /// End of an order to this incarnation to place layers: the layers that the engine
    /// held afterwards, if known.
    Placed(Incarnation, Option<LayerRange>),
    /// Result of a check whether this incarnation of a target still runs.
    Checked(Incarnation, bool),
    /// Pace that an engine reported, in hundredths of the usual time.
    Pace(SocketAddr, u32),
    /// Requests of routers that another replica forwarded.
    PassedOn(RelayedRequests),
    /// The leader's answers to requests that this replica forwarded.
    Answers(RelayedReplies),
    /// Targets whose announcements another replica has received.
    Heard(AnnouncementReport),
    /// Changed seeds: their slots.
    Seeds(Vec<u32>),
    /// Request to stop the driver.
    Stop,
}

/// Maximum number of inputs in each queue.
const MAX_QUEUED_INPUTS: usize = 16_384;

/// Maximum number of inputs of routers, targets and operators in one batch. Messages of
/// the replicated log wait for one batch at most, some 5 ms of work.
pub const MAX_OTHER_INPUTS: usize = 128;

/// Maximum number of messages of the replicated log in one batch, besides the input that
/// ended the wait.
const MAX_LOG_INPUTS: usize = 1_024;

/// An input and the time at which it was queued.
type QueuedInput = (Instant, Input);

/// Sends inputs to the driver; cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    /// Messages of the replicated log, in a queue of their own so that no other input
    /// delays them.
    log: Sender<QueuedInput>,
    others: Sender<QueuedInput>,
}

/// Receiving end of the driver's input queues.
pub struct Inbox {
    log: Receiver<QueuedInput>,
    others: Receiver<QueuedInput>,
}

/// Inputs that are handled together, in order.
#[derive(Default)]
pub struct InputBatch {
    /// The inputs.
    pub inputs: Vec<Input>,
    /// How long the inputs had been queued.
    pub ages: InputAges,
}

/// Longest time that an input of each queue has waited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InputAges {
    /// Of the messages of the replicated log.
    pub log: Duration,
    /// Of all other inputs.
    pub others: Duration,
}

impl InputBatch {
    fn push(&mut self, (queued, input): QueuedInput) {
        let age = match is_of_log(&input) {
            true => &mut self.ages.log,
            false => &mut self.ages.others,
        };
        *age = (*age).max(queued.elapsed());
        self.inputs.push(input);
    }

    fn unless_stopped(self) -> Option<Self> {
        let must_stop = self.inputs.iter().any(|i| matches!(i, Input::Stop));
        (!must_stop).then_some(self)
    }
}

/// Returns whether an input goes through the queue of the replicated log.
fn is_of_log(input: &Input) -> bool {
    matches!(input, Input::Replication(_) | Input::Stop)
}

impl ControlHandle {
    /// Creates a handle and its receiving end.
    pub fn new() -> (Self, Inbox) {
        let (log, log_rx) = bounded(MAX_QUEUED_INPUTS);
        let (others, others_rx) = bounded(MAX_QUEUED_INPUTS);
        let inbox = Inbox {
            log: log_rx,
            others: others_rx,
        };
        (Self { log, others }, inbox)
    }

    /// Sends an input to the driver. An input that finds its queue full is dropped:
    /// every sender has a timeout or sends again.
    pub fn send(&self, input: Input) {
        let queue = match is_of_log(&input) {
            true => &self.log,
            false => &self.others,
        };
        if queue.try_send((Instant::now(), input)).is_err() {
            metrics::counter!("deckwind_control_inputs_dropped_total").increment(1);
        }
    }
}

impl Inbox {
    /// Returns the messages of the log that have been received, up to a bound, without
    /// waiting. Returns `None` when the driver must stop.
    pub fn gather_log(&self) -> Option<InputBatch> {
        let mut batch = InputBatch::default();
        let log = self.log.try_iter().take(MAX_LOG_INPUTS);
        log.for_each(|input| batch.push(input));
        batch.unless_stopped()
    }

    /// Waits for at most `tick` and returns the inputs received: a bounded number of
    /// messages of the log, then a bounded number of other inputs. Returns `None` when
    /// the driver must stop.
    pub fn gather(&self, tick: Duration) -> Option<InputBatch> {
        let mut batch = InputBatch::default();
        let first = crossbeam::channel::select! {
            recv(self.log) -> input => input,
            recv(self.others) -> input => input,
            default(tick) => return Some(batch),
        };
        batch.push(first.ok()?);
        let log = self.log.try_iter().take(MAX_LOG_INPUTS);
        let others = self.others.try_iter().take(MAX_OTHER_INPUTS);
        log.chain(others).for_each(|input| batch.push(input));
        batch.unless_stopped()
    }
}
