//! Buffers answers between targets and callers, so that an engine never waits for a
//! slow caller.
//!
//! A relay pushes events as its engine produces them, and the caller's connection takes
//! them as the caller reads. The bytes in between are counted per answer and for the
//! whole router (`held_bytes`); above a limit the router disconnects callers
//! ([`Deliveries`]).

use super::held_bytes::{Deliveries, Side};
use super::responses::{BodyError, RouteBody};
use crate::router::shared::InProgress;
use bytes::Bytes;
use deckwind_core::routes::{AnswerKey, LaggingCaller};
use deckwind_core::time::Instant;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes counted in addition for each chunk: its slot in the queue (32 bytes) and the
/// allocation behind it (a shared header and the allocator's own overhead, some 64
/// bytes).
const CHUNK_OVERHEAD: u64 = 96;

/// Size in bytes of the chunks in which a whole answer is handed to the connection, so
/// that what a slow caller has not taken stays counted here.
const CHUNK_SIZE: usize = 8 * 1024;

/// Maximum length in bytes of a whole answer that is handed over at once: a connection
/// buffers as much.
const MAX_UNCHUNKED: usize = 2 * CHUNK_SIZE;

/// The request and the account that an answer belongs to, and its deadline.
pub struct Recipient<'a> {
    /// The request's id, for logs.
    pub request: &'a str,
    /// The account that sent the request.
    pub account: Option<&'a str>,
    /// Time until which the caller waits at most.
    pub deadline: Instant,
}

/// Reason why nothing more can be delivered to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The caller closed its connection.
    ByCaller,
    /// The router disconnected the caller.
    ByRouter,
}

impl DisconnectReason {
    /// Returns the name used in logs.
    pub fn code(self) -> &'static str {
        match self {
            DisconnectReason::ByCaller => "caller-left",
            DisconnectReason::ByRouter => "caller-cut",
        }
    }
}

/// End of an answer.
enum AnswerEnd {
    Whole,
    Broken(String),
}

#[derive(Default)]
struct Queue {
    chunks: VecDeque<Bytes>,
    /// Bytes of the queued chunks and of the one that was handed over last.
    bytes: u64,
    /// Bytes of the chunk that was handed over last. They count until the connection
    /// asks for the next one, which it does when it has space.
    handed_over: u64,
    /// Time at which the connection last took a chunk, or the first one was queued.
    /// `None` while nothing is queued.
    waiting_since: Option<Instant>,
    end: Option<AnswerEnd>,
    disconnect_reason: Option<DisconnectReason>,
    waker: Option<Waker>,
}

impl Queue {
    /// Whether the next thing that the connection gets is an error.
    fn is_broken(&self) -> bool {
        let is_cut = self.chunks.is_empty() && matches!(self.end, Some(AnswerEnd::Broken(_)));
        is_cut || self.disconnect_reason.is_some()
    }
}

/// An answer on its way to its caller.
pub struct Delivery {
    request: String,
    account: String,
    deadline: Instant,
    queue: Mutex<Queue>,
    disconnected: Notify,
    deliveries: Arc<Deliveries>,
}

/// The writing end of an answer. If it is dropped without an end, the answer breaks
/// off, so that a partial answer does not look complete.
pub struct Outbox(Arc<Delivery>);

/// Reports when the caller of an answer has disconnected.
#[derive(Clone)]
pub struct CallerHandle(Arc<Delivery>);

/// The end that the caller's connection reads.
struct AnswerBody {
    delivery: Arc<Delivery>,
    key: AnswerKey,
    /// Bytes still to be sent, if the length is known.
    remaining: Option<u64>,
    /// Whether the connection could write what it has taken before it learns of a break.
    was_flushed: bool,
    _in_progress: Option<InProgress>,
}

/// Returns an outbox for an answer, and the body that delivers it. The request counts
/// as in progress until its caller has the whole answer.
pub fn open(
    deliveries: &Arc<Deliveries>,
    to: &Recipient,
    in_progress: Option<InProgress>,
) -> (Outbox, RouteBody) {
    open_with_length(deliveries, to, in_progress, None)
}

/// Returns the body of a whole answer.
pub fn whole(
    deliveries: &Arc<Deliveries>,
    to: &Recipient,
    in_progress: Option<InProgress>,
    mut answer: Bytes,
) -> RouteBody {
    if answer.len() <= MAX_UNCHUNKED {
        return super::responses::full_body(answer);
    }
    let length = Some(answer.len() as u64);
    let (outbox, body) = open_with_length(deliveries, to, in_progress, length);
    while !answer.is_empty() {
        let chunk = answer.split_to(CHUNK_SIZE.min(answer.len()));
        if outbox.push(chunk).is_err() {
            break;
        }
    }
    outbox.end();
    body
}

fn open_with_length(
    deliveries: &Arc<Deliveries>,
    to: &Recipient,
    in_progress: Option<InProgress>,
    remaining: Option<u64>,
) -> (Outbox, RouteBody) {
    let delivery = Arc::new(Delivery {
        request: to.request.to_string(),
        account: to.account.unwrap_or("-").to_string(),
        deadline: to.deadline,
        queue: Mutex::default(),
        disconnected: Notify::new(),
        deliveries: deliveries.clone(),
    });
    let body_reader = AnswerBody {
        key: deliveries.register(delivery.clone()),
        delivery: delivery.clone(),
        remaining,
        was_flushed: false,
        _in_progress: in_progress,
    };
    (Outbox(delivery), body_reader.boxed_unsync())
}

impl Outbox {
    /// Queues some whole events, without waiting.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub fn push(&self, chunk: Bytes) -> Result<(), DisconnectReason> {
        let cost = chunk.len() as u64 + CHUNK_OVERHEAD;
        let deliveries = &self.0.deliveries;
        // Counted before the connection can take it, so that no count falls below zero.
        deliveries.add(Side::Answers, cost);
        let mut queue = self.0.lock();
        if let Some(disconnect_reason) = queue.disconnect_reason {
            drop(queue);
            deliveries.sub(Side::Answers, cost);
            return Err(disconnect_reason);
        }
        if queue.chunks.is_empty() {
            queue.waiting_since = Some(deliveries.now());
        }
        queue.chunks.push_back(chunk);
        queue.bytes += cost;
        let waker = queue.waker.take();
        drop(queue);
        if let Some(waker) = waker {
            waker.wake();
        }
        deliveries.enforce_limit();
        Ok(())
    }

    /// Marks the answer as complete.
    pub fn end(&self) {
        self.0.end(AnswerEnd::Whole);
    }

    /// Breaks the answer off after what was pushed.
    pub fn break_off(&self, why: &str) {
        self.0.end(AnswerEnd::Broken(why.to_string()));
    }

    /// Returns a handle that reports when the caller has disconnected.
    pub fn caller(&self) -> CallerHandle {
        CallerHandle(self.0.clone())
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.0
            .end(AnswerEnd::Broken("the answer was abandoned".to_string()));
    }
}

impl CallerHandle {
    /// Waits until the caller has disconnected, and returns why.
    pub async fn disconnected(&self) -> DisconnectReason {
        loop {
            let notified = self.0.disconnected.notified();
            if let Some(disconnect_reason) = self.disconnect_reason() {
                return disconnect_reason;
            }
            notified.await;
        }
    }

    /// Returns why the caller has disconnected, if it has.
    pub fn disconnect_reason(&self) -> Option<DisconnectReason> {
        self.0.lock().disconnect_reason
    }
}

impl Delivery {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().expect("no holder panics")
    }

    /// Sets how the answer ends; only the first call counts.
    fn end(&self, end: AnswerEnd) {
        let mut queue = self.lock();
        if queue.end.is_some() {
            return;
        }
        queue.end = Some(end);
        let waker = queue.waker.take();
        drop(queue);
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Drops what is queued and delivers nothing more. Returns the bytes that were
    /// dropped.
    fn discard(&self, disconnect_reason: DisconnectReason) -> u64 {
        let mut queue = self.lock();
        queue.disconnect_reason.get_or_insert(disconnect_reason);
        queue.chunks = VecDeque::new();
        queue.handed_over = 0;
        queue.waiting_since = None;
        let bytes = std::mem::take(&mut queue.bytes);
        let waker = queue.waker.take();
        drop(queue);
        self.deliveries.sub(Side::Answers, bytes);
        if let Some(waker) = waker {
            waker.wake();
        }
        self.disconnected.notify_waiters();
        bytes
    }

    /// Returns how far the caller is behind, if anything is queued for it.
    pub fn lagging(&self, key: AnswerKey) -> Option<LaggingCaller> {
        let queue = self.lock();
        Some(LaggingCaller {
            key,
            account: xxh3_64(self.account.as_bytes()),
            bytes: queue.bytes,
            chunks: queue.chunks.len() as u32,
            since: queue.waiting_since?,
        })
    }

    /// Returns the time until which the caller waits at most.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Disconnects the caller: what is queued is dropped at once, and the connection
    /// closes as soon as the caller reads or its socket times out.
    pub fn disconnect_caller(&self, lagging: &LaggingCaller, why: &str) {
        let bytes = self.discard(DisconnectReason::ByRouter);
        self.deliveries.count_disconnect();
        let labels = [("why", why.to_string())];
        metrics::counter!("deckwind_route_callers_cut_total", &labels).increment(1);
        log::warn!(
            "event=caller_cut request={} account={:?} bytes={bytes} pieces={} behind_ms={} held={} why={why}",
            self.request,
            self.account,
            lagging.chunks,
            self.deliveries.now().since(lagging.since).as_millis(),
            self.deliveries.held_bytes()
        );
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.was_flushed && self.delivery.lock().is_broken() {
            // A connection drops what it has not written yet when its body fails, and
            // writes once its body is pending.
            self.was_flushed = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut queue = self.delivery.lock();
        let taken = std::mem::take(&mut queue.handed_over);
        queue.bytes -= taken;
        let polled = match (
            queue.chunks.pop_front(),
            &queue.disconnect_reason,
            &queue.end,
        ) {
            (_, Some(disconnect_reason), _) => {
                Poll::Ready(Some(Err(disconnect_reason.code().into())))
            }
            (Some(chunk), ..) => {
                queue.handed_over = chunk.len() as u64 + CHUNK_OVERHEAD;
                Poll::Ready(Some(Ok(chunk)))
            }
            (None, None, Some(AnswerEnd::Whole)) => Poll::Ready(None),
            (None, None, Some(AnswerEnd::Broken(why))) => {
                Poll::Ready(Some(Err(why.clone().into())))
            }
            (None, None, None) => {
                if !queue
                    .waker
                    .as_ref()
                    .is_some_and(|w| w.will_wake(cx.waker()))
                {
                    queue.waker = Some(cx.waker().clone());
                }
                Poll::Pending
            }
        };
        if polled.is_ready() {
            let has_more = !queue.chunks.is_empty();
            queue.waiting_since = has_more.then(|| self.delivery.deliveries.now());
        }
        drop(queue);
        self.delivery.deliveries.sub(Side::Answers, taken);
        if let (Poll::Ready(Some(Ok(chunk))), Some(remaining)) = (&polled, &mut self.remaining) {
            *remaining -= chunk.len() as u64;
        }
        polled.map(|some| some.map(|chunk| chunk.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.delivery.deliveries.unregister(self.key);
        self.delivery.discard(DisconnectReason::ByCaller);
    }
}
