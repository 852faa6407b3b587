//! Limit on the bytes that a process holds of all answers of targets that it has not passed on.
//!
//! Each connection is limited on its own as well. But many of them that stay just below their
//! limits would use up the memory of a small VM, and requests to other targets would fail with
//! them. If the sum is exceeded, the answer that holds most is ended, first among those that
//! receive much without progress: its connection fails, and its request is judged as one whose
//! answer broke off.
//!
//! Counted are the head of an answer, what its reader keeps of the body, and what the HTTP
//! library buffers. Up to the end of the head this is all that was received since the request,
//! at most the library's largest buffer; of a body it is one read, because the library reads
//! only when it has used the last one.

use super::connection_pool::MAX_HEAD_BYTES;
use http::HeaderMap;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Waker};

/// Size of a head that is not suspect, bytes: as much as callers may send.
const USUAL_HEAD_BYTES: u64 = 16 << 10;

/// Memory of one field of a head beside its text, bytes: its place in the map of fields and in
/// the map's index.
const FIELD_OVERHEAD_BYTES: usize = 128;

/// Limit on the bytes that are held of all answers together.
pub struct ReceiveBudget {
    max_bytes: u64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Sum of all answers that have not been ended.
    held: u64,
    next_key: u64,
    answers: BTreeMap<u64, Answer>,
}

/// What is held of one answer.
#[derive(Default)]
struct Answer {
    target: Option<SocketAddr>,
    /// Bytes received without progress.
    unread: u64,
    /// Bytes that the library may buffer.
    buffered: u64,
    /// Bytes of the last read.
    last_read: u64,
    /// Whether the body is being read.
    is_in_body: bool,
    /// Bytes of the head.
    head: u64,
    /// Bytes of the body that its reader keeps.
    kept: u64,
    is_ended: bool,
    /// The tasks that read the connection and the body.
    wakers: [Option<Waker>; 2],
}

impl Answer {
    fn bytes(&self) -> u64 {
        self.buffered + self.head + self.kept
    }

    /// Whether so much was received without progress that it is likely no answer.
    fn is_suspect(&self) -> bool {
        let usual = match self.is_in_body {
            true => 2 * MAX_HEAD_BYTES as u64,
            false => USUAL_HEAD_BYTES,
        };
        self.unread > usual
    }

    fn clear(&mut self) {
        self.unread = 0;
        self.buffered = 0;
        self.last_read = 0;
        self.is_in_body = false;
        self.head = 0;
        self.kept = 0;
    }

    fn record_read(&mut self, bytes: u64) {
        self.unread += bytes;
        self.buffered = (self.buffered + bytes).min(MAX_HEAD_BYTES as u64);
        self.last_read = bytes;
    }

    /// Records that the library reads more, and has therefore used all it had of a body.
    fn begin_read(&mut self) {
        if self.is_in_body {
            self.buffered = 0;
        }
    }

    fn record_head(&mut self, bytes: u64) {
        self.unread = 0;
        self.head = bytes;
        self.is_in_body = true;
        self.buffered = self.buffered.min(self.last_read);
    }
}

/// A task that reads an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reader {
    /// The task that reads the connection.
    Connection,
    /// The task that reads the body.
    Body,
}

impl ReceiveBudget {
    /// Creates a limit of `max_bytes` bytes.
    pub fn new(max_bytes: u64) -> Arc<Self> {
        Arc::new(Self {
            max_bytes,
            state: Mutex::default(),
        })
    }

    /// Returns the number of bytes that are held.
    pub fn held_bytes(&self) -> u64 {
        self.state().held
    }

    /// Creates the count of one answer.
    pub fn count(self: &Arc<Self>, target: SocketAddr) -> AnswerCount {
        let mut state = self.state();
        let key = state.next_key;
        state.next_key += 1;
        let answer = Answer {
            target: Some(target),
            ..Answer::default()
        };
        state.answers.insert(key, answer);
        AnswerCount {
            budget: self.clone(),
            key,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Changes what is held of an answer, and ends answers if the sum is too large.
    fn update<T>(&self, key: u64, change: impl FnOnce(&mut Answer) -> T) -> Option<T> {
        let mut state = self.state();
        let answer = state.answers.get_mut(&key)?;
        if answer.is_ended {
            return None;
        }
        let before = answer.bytes();
        let result = change(answer);
        let after = answer.bytes();
        state.held = state.held - before + after;
        let mut woken = Vec::new();
        while state.held > self.max_bytes {
            let Some(wakers) = state.end_largest(self.max_bytes) else {
                break;
            };
            woken.extend(wakers.into_iter().flatten());
        }
        drop(state);
        woken.into_iter().for_each(Waker::wake);
        Some(result)
    }
}

impl State {
    /// Ends the answer that holds most, of those that are likely none if there are any, and
    /// returns the tasks that read it.
    fn end_largest(&mut self, max_bytes: u64) -> Option<[Option<Waker>; 2]> {
        let held = self.held;
        let open = self.answers.values_mut().filter(|a| !a.is_ended);
        let answer = open.max_by_key(|a| (a.is_suspect(), a.bytes()))?;
        let bytes = answer.bytes();
        let target = answer.target.map_or("-".to_string(), |t| t.to_string());
        log::warn!(
            "event=answer_ended target={target} bytes={bytes} held={held} bound={max_bytes} why=memory"
        );
        metrics::counter!("deckwind_target_answers_ended_for_memory_total").increment(1);
        answer.is_ended = true;
        answer.clear();
        self.held -= bytes;
        Some(std::mem::take(&mut answer.wakers))
    }
}

/// Count of the bytes that are held of one answer; they are released when it is dropped.
pub struct AnswerCount {
    budget: Arc<ReceiveBudget>,
    key: u64,
}

impl AnswerCount {
    /// Records that the library reads the connection again.
    pub fn begin_read(&self) {
        self.update(Answer::begin_read);
    }

    /// Counts bytes that were received; returns those received without progress, or `None` if
    /// the answer has been ended.
    pub fn record_read(&self, bytes: usize) -> Option<u64> {
        self.update(|a| {
            a.record_read(bytes as u64);
            a.unread
        })
    }

    /// Records that the answer has made progress.
    pub fn record_progress(&self) {
        self.update(|a| a.unread = 0);
    }

    /// Releases all bytes, because the answer is over.
    pub fn release(&self) {
        self.update(Answer::clear);
    }

    /// Records that the head was read, and counts it.
    pub fn record_head(&self, headers: &HeaderMap) {
        let fields = headers.iter();
        let bytes =
            fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES);
        let bytes: usize = bytes.sum();
        self.update(|a| a.record_head(bytes as u64));
    }

    /// Sets the number of bytes of the body that its reader keeps.
    pub fn keep_body(&self, bytes: usize) {
        self.update(|a| a.kept = bytes as u64);
    }

    /// Whether the answer has been ended.
    pub fn is_ended(&self) -> bool {
        let state = self.budget.state();
        state.answers.get(&self.key).is_some_and(|a| a.is_ended)
    }

    /// Whether the answer has been ended. If not, the task is woken when it is.
    pub fn poll_ended(&self, reader: Reader, cx: &Context<'_>) -> bool {
        let mut state = self.budget.state();
        let Some(answer) = state.answers.get_mut(&self.key) else {
            return true;
        };
        let is_ended = answer.is_ended;
        let waker = &mut answer.wakers[reader as usize];
        if waker.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
            return is_ended;
        }
        let old = waker.replace(cx.waker().clone());
        // A waker that is dropped may drop its task, and with it counts of this budget.
        drop(state);
        drop(old);
        is_ended
    }

    fn update<T>(&self, change: impl FnOnce(&mut Answer) -> T) -> Option<T> {
        self.budget.update(self.key, change)
    }
}

impl Drop for AnswerCount {
    fn drop(&mut self) {
        let mut state = self.budget.state();
        let answer = state.answers.remove(&self.key);
        state.held -= answer.as_ref().map_or(0, Answer::bytes);
        // Its wakers are dropped without the lock.
        drop(state);
        drop(answer);
    }
}
