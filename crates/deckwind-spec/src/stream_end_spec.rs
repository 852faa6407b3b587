//! Specification of the ends of streams: a router passes a stream's events on and, where
//! the stream may be resumed, continues it at another target. Targets end their answers at
//! any place, with each framing and in each way.
//!
//! Which events are whole and which ends are whole is decided by [`EventSplitter`] and
//! [`check_stream_end`] themselves. Events are sent in two halves, of which the network
//! joins any number. Events that are passed on in parts are not modelled.

use crate::Spec;
use crate::stream_end_rules::{StreamEndBounds, StreamEndRules};
use deckwind_core::routes::{BodyEnd, EventSplitter, Framing, ReceivedEvents, check_stream_end};

/// How a target ends its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum TargetEnd {
    /// As its framing says.
    Framed,
    /// Its connection is closed, and nothing else marks the end.
    Closed,
    /// Its connection is reset, or ends before the framing says so.
    Reset,
    /// It sends nothing more until the caller's wait is over.
    Silent,
}

/// Answer of one target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Segment {
    framing: Framing,
    /// Last event that the caller had before this answer.
    after: u8,
    /// Number of the first event that the target sends.
    first: u8,
    /// Halves of events that arrived together, in turn.
    pieces: Vec<u8>,
}

/// What the caller was told of the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum CallerEnd {
    Complete,
    BrokenOff,
}

/// State of the stream specification.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct StreamEndState {
    is_resumable: bool,
    tries: u8,
    /// Answer of the target that serves the stream.
    segment: Option<Segment>,
    /// Text that the caller has.
    passed: String,
    /// End of the last answer, and the answer that it ended.
    ended: Option<(TargetEnd, Segment)>,
    has_served_break: bool,
    caller: Option<CallerEnd>,
}

/// Specification of the ends of streams with its rules and bounds.
#[derive(Clone, Copy, Debug)]
pub struct StreamEndSpec {
    /// Enabled rules.
    pub rules: StreamEndRules,
    /// Bounds of the exploration.
    pub bounds: StreamEndBounds,
}

/// Returns the two halves of an event: it ends with the second one.
fn halves(event: u8) -> [String; 2] {
    [format!("id:{event}\n"), "\n".to_string()]
}

impl Segment {
    fn sent_halves(&self) -> u8 {
        self.pieces.iter().sum()
    }

    fn text(&self, from: u8, to: u8) -> String {
        let half = |i: u8| {
            let [first, second] = halves(self.first + i / 2);
            if i.is_multiple_of(2) { first } else { second }
        };
        (from..to).map(half).collect()
    }

    /// Returns what the last piece adds for the caller, and what was received in all.
    fn read(&self, rules: StreamEndRules) -> (String, ReceivedEvents) {
        let mut splitter = EventSplitter::default();
        let mut after = rules.skip_seen_events.then_some(u64::from(self.after));
        let mut passed = String::new();
        let mut sent = 0;
        for piece in &self.pieces {
            let text = self.text(sent, sent + piece);
            sent += piece;
            let events = splitter.take(text.as_bytes(), after);
            let last = events.as_ref().and_then(|e| e.last);
            if rules.skip_seen_events {
                after = last.or(after);
            }
            let whole = events.map(|e| e.bytes).unwrap_or_default();
            passed = match rules.pass_whole_events {
                true => String::from_utf8_lossy(&whole).into_owned(),
                false => text,
            };
        }
        (passed, splitter.received())
    }

    /// Whether an end of this answer shows that it was broken off.
    fn is_broken_by(&self, end: TargetEnd) -> bool {
        let is_inside_event = !self.sent_halves().is_multiple_of(2);
        match end {
            TargetEnd::Framed => is_inside_event,
            TargetEnd::Closed => is_inside_event || self.pieces.is_empty(),
            TargetEnd::Reset | TargetEnd::Silent => true,
        }
    }
}

impl StreamEndState {
    fn last_event(&self) -> u8 {
        self.passed.matches("\n\n").count() as u8
    }
}

impl StreamEndSpec {
    fn whole_text(&self) -> String {
        (1..=self.bounds.events).flat_map(halves).collect()
    }

    /// Steps in which a target begins to answer. It may begin with events before the one
    /// that it was asked for.
    fn begin(&self, s: &StreamEndState, resumable: bool, named: u8) -> Vec<StreamEndState> {
        let firsts = match named {
            0 => vec![1],
            _ => vec![1, named + 1],
        };
        let begin = |first: u8, framing: Framing| {
            let mut n = s.clone();
            n.is_resumable = resumable;
            n.tries += 1;
            n.segment = Some(Segment {
                framing,
                after: s.last_event(),
                first,
                pieces: Vec::new(),
            });
            n
        };
        let both = |first| [Framing::Chunked, Framing::Connection].map(|f| begin(first, f));
        firsts.into_iter().flat_map(both).collect()
    }

    fn send(&self, s: &StreamEndState, segment: &Segment, count: u8) -> StreamEndState {
        let mut n = s.clone();
        let mut segment = segment.clone();
        segment.pieces.push(count);
        n.passed += &segment.read(self.rules).0;
        n.segment = Some(segment);
        n
    }

    /// Returns whether the router takes the stream as whole.
    fn is_taken_as_whole(&self, segment: &Segment, end: TargetEnd) -> bool {
        let body_end = match end {
            TargetEnd::Framed => BodyEnd::Framed,
            TargetEnd::Closed if self.rules.name_what_marks_the_end => BodyEnd::Closed,
            TargetEnd::Closed => BodyEnd::Framed,
            TargetEnd::Reset if self.rules.reset_is_break => return false,
            TargetEnd::Reset => segment.framing.end(),
            TargetEnd::Silent => return !self.rules.silence_is_no_end,
        };
        let mut received = segment.read(self.rules).1;
        received.is_open &= self.rules.ask_for_open_event;
        check_stream_end(body_end, received).is_ok()
    }

    /// The answer of a target ends, and the router decides what becomes of the stream.
    fn end(&self, s: &StreamEndState, segment: &Segment, end: TargetEnd) -> Vec<StreamEndState> {
        let mut n = s.clone();
        n.segment = None;
        n.ended = Some((end, segment.clone()));
        let is_whole = self.is_taken_as_whole(segment, end);
        let is_served = is_whole || !self.rules.broken_is_not_served;
        n.has_served_break |= is_served && segment.is_broken_by(end);
        let may_resume = s.is_resumable || !self.rules.resume_only_resumable;
        let has_tries = s.tries < self.bounds.tries && self.rules.resume_while_tries_left;
        if !is_whole && end != TargetEnd::Silent && may_resume && has_tries {
            let begun = segment.first + segment.sent_halves().div_ceil(2) - 1;
            let named = match self.rules.resume_after_last_event {
                true => s.last_event(),
                false => begun.max(s.last_event()),
            };
            return self.begin(&n, s.is_resumable, named);
        }
        n.caller = Some(match is_whole || !self.rules.break_off_visibly {
            true => CallerEnd::Complete,
            false => CallerEnd::BrokenOff,
        });
        vec![n]
    }

    /// Returns how an answer can end after what was sent.
    fn possible_ends(&self, segment: &Segment) -> Vec<TargetEnd> {
        let is_last_sent = self.unsent_halves(segment) == 0;
        let marked = match segment.framing {
            Framing::Connection => Some(TargetEnd::Closed),
            _ => is_last_sent.then_some(TargetEnd::Framed),
        };
        let ends = [TargetEnd::Reset, TargetEnd::Silent];
        ends.into_iter().chain(marked).collect()
    }

    fn unsent_halves(&self, segment: &Segment) -> u8 {
        2 * (self.bounds.events + 1 - segment.first) - segment.sent_halves()
    }

    /// Returns whether the caller may be told that its answer is complete.
    fn may_be_complete(&self, s: &StreamEndState) -> bool {
        let Some((end, segment)) = &s.ended else {
            return false;
        };
        let is_only_closed = *end == TargetEnd::Closed && !segment.is_broken_by(*end);
        let is_whole = *end == TargetEnd::Framed && s.passed == self.whole_text();
        is_whole || is_only_closed
    }
}

impl Spec for StreamEndSpec {
    type State = StreamEndState;

    fn initial(&self) -> StreamEndState {
        StreamEndState::default()
    }

    fn successors(&self, s: &StreamEndState) -> Vec<(String, StreamEndState)> {
        let mut steps = Vec::new();
        if s.tries == 0 {
            for resumable in [false, true] {
                let name = format!("a target begins; resumable: {resumable}");
                let begun = self.begin(s, resumable, 0);
                steps.extend(begun.into_iter().map(|n| (name.clone(), n)));
            }
        }
        let Some(segment) = &s.segment else {
            return steps;
        };
        for count in 1..=self.unsent_halves(segment) {
            let name = format!("{count} halves of events arrive at once");
            steps.push((name, self.send(s, segment, count)));
        }
        for end in self.possible_ends(segment) {
            let name = format!("{:?} answer ends: {end:?}", segment.framing);
            let ended = self.end(s, segment, end);
            steps.extend(ended.into_iter().map(|n| (name.clone(), n)));
        }
        steps
    }

    fn violation(&self, s: &StreamEndState) -> Option<String> {
        let could_resume = s.is_resumable && s.tries < self.bounds.tries;
        let is_break = s.ended.as_ref().is_some_and(|e| e.0 != TargetEnd::Silent);
        let is_broken_off = s.caller == Some(CallerEnd::BrokenOff);
        let violations = [
            (!self.whole_text().starts_with(&s.passed), NOT_IN_ORDER),
            (!s.is_resumable && s.tries > 1, JOINED),
            (
                s.caller == Some(CallerEnd::Complete) && !self.may_be_complete(s),
                FALSELY_COMPLETE,
            ),
            (s.has_served_break, FALSELY_SERVED),
            (is_broken_off && is_break && could_resume, NOT_RESUMED),
        ];
        let violated = violations.into_iter().find(|(is_violated, _)| *is_violated);
        violated.map(|(_, name)| name.to_string())
    }
}

/// Violated if an event is missing, or comes twice, or in part.
pub(crate) const NOT_IN_ORDER: &str = "the caller has not the first events, each once";
/// Violated if a stream that may not be resumed has pieces of two runs.
pub(crate) const JOINED: &str = "pieces of two runs were joined";
/// Violated if a stream that was broken off looks complete.
pub(crate) const FALSELY_COMPLETE: &str = "a stream that was broken off looks complete";
/// Violated if a run that broke counts as served.
pub(crate) const FALSELY_SERVED: &str = "a run that broke counts as served";
/// Violated if a stream breaks off although another target could resume it.
pub(crate) const NOT_RESUMED: &str = "a stream was broken off that could be resumed";
