//! Buffers answers between targets and callers, so that an engine never waits for a
//! slow caller.
//!
//! A relay pushes events as its engine produces them, and the caller's connection takes
//! them as the caller reads. The bytes in between are counted per answer and for the
//! whole router (`held_bytes`); above a limit the router disconnects callers
//! ([`Deliveries`]).

use super::held::{Deliveries, Side};
use super::route_answers::{BodyError, RouteBody};
use crate::router::shared::InProgress;
use bytes::Bytes;
use deckwind_core::routes::{AnswerKey, Behind};
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
const PIECE_COST: u64 = 96;

/// Size in bytes of the chunks in which a whole answer is handed to the connection, so
/// that what a slow caller has not taken stays counted here.
const SLICE: usize = 8 * 1024;

/// Maximum length in bytes of a whole answer that is handed over at once: a connection
/// buffers as much.
const SMALL: usize = 2 * SLICE;

/// The request and the account that an answer belongs to, and its deadline.
pub struct Recipient<'a> {
    /// The request's id, for logs.
    pub request: &'a str,
    /// The account that sent the request.
    pub account: Option<&'a str>,
    /// Time until which its caller waits at most.
    pub until: Instant,
}

/// Why nothing more can be delivered to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gone {
    /// The caller closed its connection.
    Left,
    /// The router disconnected the caller.
    Cut,
}

impl Gone {
    /// Returns the name used in logs.
    pub fn code(self) -> &'static str {
        match self {
            Gone::Left => "caller-left",
            Gone::Cut => "caller-cut",
        }
    }
}

/// How an answer ends.
enum End {
    Whole,
    Broken(String),
}

#[derive(Default)]
struct Queue {
    pieces: VecDeque<Bytes>,
    /// Bytes of the queued chunks and of the one that was handed over last.
    bytes: u64,
    /// Bytes of the chunk that was handed over last. They count until the connection
    /// asks for the next one, which it does when it has space.
    handed: u64,
    /// Time at which the connection last took a chunk, or the first one was queued.
    /// `None` while nothing is queued.
    since: Option<Instant>,
    end: Option<End>,
    gone: Option<Gone>,
    waker: Option<Waker>,
}

/// An answer on its way to its caller.
pub struct Delivery {
    request: String,
    account: String,
    until: Instant,
    queue: Mutex<Queue>,
    gone: Notify,
    deliveries: Arc<Deliveries>,
}

/// The writing end of an answer. If it is dropped without an end, the answer breaks
/// off, so that a partial answer does not look complete.
pub struct Outbox(Arc<Delivery>);

/// Reports when the caller of an answer has disconnected.
#[derive(Clone)]
pub struct Caller(Arc<Delivery>);

/// The end that the caller's connection reads.
struct Inbox {
    delivery: Arc<Delivery>,
    key: AnswerKey,
    /// Bytes still to be sent, if the length is known.
    left: Option<u64>,
    _in_progress: Option<InProgress>,
}

/// Returns an outbox for an answer, and the body that delivers it. The request counts
/// as in progress until its caller has the whole answer.
pub fn open(
    deliveries: &Arc<Deliveries>,
    to: &Recipient,
    in_progress: Option<InProgress>,
) -> (Outbox, RouteBody) {
    open_of_length(deliveries, to, in_progress, None)
}

/// Returns the body of a whole answer.
pub fn whole(
    deliveries: &Arc<Deliveries>,
    to: &Recipient,
    in_progress: Option<InProgress>,
    mut answer: Bytes,
) -> RouteBody {
    if answer.len() <= SMALL {
        return super::route_answers::full(answer);
    }
    let length = Some(answer.len() as u64);
    let (outbox, body) = open_of_length(deliveries, to, in_progress, length);
    while !answer.is_empty() {
        let piece = answer.split_to(SLICE.min(answer.len()));
        if outbox.push(piece).is_err() {
            break;
        }
    }
    outbox.end();
    body
}

fn open_of_length(
    deliveries: &Arc<Deliveries>,
    to: &Recipient,
    in_progress: Option<InProgress>,
    left: Option<u64>,
) -> (Outbox, RouteBody) {
    let delivery = Arc::new(Delivery {
        request: to.request.to_string(),
        account: to.account.unwrap_or("-").to_string(),
        until: to.until,
        queue: Mutex::default(),
        gone: Notify::new(),
        deliveries: deliveries.clone(),
    });
    let inbox = Inbox {
        key: deliveries.enter(delivery.clone()),
        delivery: delivery.clone(),
        left,
        _in_progress: in_progress,
    };
    (Outbox(delivery), inbox.boxed_unsync())
}

impl Outbox {
    /// Queues some whole events, without waiting.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub fn push(&self, piece: Bytes) -> Result<(), Gone> {
        let cost = piece.len() as u64 + PIECE_COST;
        let deliveries = &self.0.deliveries;
        // Counted before the connection can take it, so that no count falls below zero.
        deliveries.add(Side::Answers, cost);
        let mut queue = self.0.lock();
        if let Some(gone) = queue.gone {
            drop(queue);
            deliveries.sub(Side::Answers, cost);
            return Err(gone);
        }
        if queue.pieces.is_empty() {
            queue.since = Some(deliveries.now());
        }
        queue.pieces.push_back(piece);
        queue.bytes += cost;
        let waker = queue.waker.take();
        drop(queue);
        if let Some(waker) = waker {
            waker.wake();
        }
        deliveries.keep_bound();
        Ok(())
    }

    /// Marks the answer as complete.
    pub fn end(&self) {
        self.0.end(End::Whole);
    }

    /// Breaks the answer off after what was pushed.
    pub fn break_off(&self, why: &str) {
        self.0.end(End::Broken(why.to_string()));
    }

    /// Returns a handle that reports when the caller has disconnected.
    pub fn caller(&self) -> Caller {
        Caller(self.0.clone())
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.0
            .end(End::Broken("the answer was given up".to_string()));
    }
}

impl Caller {
    /// Waits until the caller has disconnected, and returns why.
    pub async fn gone(&self) -> Gone {
        loop {
            let notified = self.0.gone.notified();
            if let Some(gone) = self.is_gone() {
                return gone;
            }
            notified.await;
        }
    }

    /// Returns why the caller has disconnected, if it has.
    pub fn is_gone(&self) -> Option<Gone> {
        self.0.lock().gone
    }
}

impl Delivery {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().expect("no holder panics")
    }

    /// Sets how the answer ends; only the first call counts.
    fn end(&self, end: End) {
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
    fn give_up(&self, gone: Gone) -> u64 {
        let mut queue = self.lock();
        queue.gone.get_or_insert(gone);
        queue.pieces = VecDeque::new();
        queue.handed = 0;
        queue.since = None;
        let bytes = std::mem::take(&mut queue.bytes);
        let waker = queue.waker.take();
        drop(queue);
        self.deliveries.sub(Side::Answers, bytes);
        if let Some(waker) = waker {
            waker.wake();
        }
        self.gone.notify_waiters();
        bytes
    }

    /// Returns how far the caller is behind, if anything is queued for it.
    pub fn behind(&self, key: AnswerKey) -> Option<Behind> {
        let queue = self.lock();
        Some(Behind {
            key,
            account: xxh3_64(self.account.as_bytes()),
            bytes: queue.bytes,
            pieces: queue.pieces.len() as u32,
            since: queue.since?,
        })
    }

    /// Returns the time until which its caller waits at most.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Disconnects the caller: what is queued is dropped at once, and the connection
    /// closes as soon as the caller reads or its socket times out.
    pub fn cut(&self, behind: &Behind, why: &str) {
        let bytes = self.give_up(Gone::Cut);
        self.deliveries.note_cut();
        let labels = [("why", why.to_string())];
        metrics::counter!("deckwind_route_callers_cut_total", &labels).increment(1);
        log::warn!(
            "event=caller_cut request={} account={:?} bytes={bytes} pieces={} behind_ms={} held={} why={why}",
            self.request,
            self.account,
            behind.pieces,
            self.deliveries.now().since(behind.since).as_millis(),
            self.deliveries.held()
        );
    }
}

impl Body for Inbox {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut queue = self.delivery.lock();
        let taken = std::mem::take(&mut queue.handed);
        queue.bytes -= taken;
        let polled = match (queue.pieces.pop_front(), &queue.gone, &queue.end) {
            (_, Some(gone), _) => Poll::Ready(Some(Err(gone.code().into()))),
            (Some(piece), ..) => {
                queue.handed = piece.len() as u64 + PIECE_COST;
                Poll::Ready(Some(Ok(piece)))
            }
            (None, None, Some(End::Whole)) => Poll::Ready(None),
            (None, None, Some(End::Broken(why))) => Poll::Ready(Some(Err(why.clone().into()))),
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
            let waits = !queue.pieces.is_empty();
            queue.since = waits.then(|| self.delivery.deliveries.now());
        }
        drop(queue);
        self.delivery.deliveries.sub(Side::Answers, taken);
        if let (Poll::Ready(Some(Ok(piece))), Some(left)) = (&polled, &mut self.left) {
            *left -= piece.len() as u64;
        }
        polled.map(|some| some.map(|piece| piece.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        self.left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for Inbox {
    fn drop(&mut self) {
        self.delivery.deliveries.leave(self.key);
        self.delivery.give_up(Gone::Left);
    }
}
