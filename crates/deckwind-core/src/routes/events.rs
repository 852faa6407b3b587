//! Splits a stream into server-sent events as data arrives (WHATWG HTML, section 9.2.6).
//!
//! Only complete events are passed on. A target may break off inside an event, and the next
//! target then starts with that event again.

use super::answer_end::ReceivedEvents;

/// Maximum number of buffered bytes of an incomplete event. A longer event is passed on in
/// parts.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Size to which the buffer shrinks again after a long event: most events are shorter.
const SPARE_BYTES: usize = 4 << 10;

/// Byte order mark that may stand before the first event.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Splits a stream into complete events. A line ends with `\n`, `\r\n` or `\r`.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    scan: Scan,
    /// Whether a byte order mark can no longer follow.
    has_begun: bool,
    has_events: bool,
    /// What became of the parts of the open event, if it is long.
    long_event: Option<LongEvent>,
    /// Whether a `\n` that follows belongs to an event that was left out.
    drops_line_feed: bool,
}

/// What became of the parts of an open event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LongEvent {
    Passed,
    LeftOut,
}

/// How far the buffer was searched for the end of an event, and what the event has so far.
#[derive(Clone, Copy, Debug, Default)]
struct Scan {
    /// Position of the next byte to look at.
    pos: usize,
    /// Start of the line that `pos` is in.
    line_start: usize,
    /// Whether a part of that line was already removed from the buffer.
    is_line_cut: bool,
    /// Whether the line before it ended with `\r` at the end of the buffer: a `\n` that
    /// follows belongs to the same line end.
    is_after_return: bool,
    /// Whether a line before it is not empty.
    has_line: bool,
    /// Whether a line before it is a field: neither empty nor a comment.
    has_field: bool,
    /// Whether one of the fields says more than when to come back.
    has_content: bool,
    /// Id of the event, if it is a number. The last field `id` counts.
    id: Option<u64>,
}

impl Scan {
    fn record_line(&mut self, line: &[u8]) {
        let colon = line.iter().position(|b| *b == b':');
        let (name, value) = line.split_at(colon.unwrap_or(line.len()));
        self.has_line = true;
        self.has_field |= !name.is_empty();
        self.has_content |= !name.is_empty() && name != b"retry";
        if name == b"id" {
            self.id = parse_id(value.strip_prefix(b":").unwrap_or(value));
        }
    }
}

/// Part of a stream that ends with a complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// The bytes of the events.
    pub bytes: Vec<u8>,
    /// Id of the last event that has one.
    pub last: Option<u64>,
    /// Number of events.
    pub count: u32,
}

impl EventSplitter {
    /// Adds received data and returns the complete events so far whose id is greater than
    /// `after` and the ids before. Events without an id are always returned. A byte order
    /// mark is left out: in a stream that is resumed it would not be at the beginning.
    pub fn take(&mut self, data: &[u8], mut after: Option<u64>) -> Option<Events> {
        self.buf.extend_from_slice(data);
        self.remove_mark();
        self.remove_line_feed();
        if !self.has_begun {
            return None;
        }
        let mut events = Events {
            bytes: Vec::new(),
            last: None,
            count: 0,
        };
        let mut start = 0;
        while let Some((end, id)) = self.find_event_end() {
            let long_event = self.long_event.take();
            let is_new = !was_seen(id, after);
            let is_passed = long_event.map_or(is_new, |l| l == LongEvent::Passed);
            if is_passed {
                events.bytes.extend_from_slice(&self.buf[start..end]);
                events.count += 1;
            }
            if is_passed && is_new {
                events.last = id.or(events.last);
                after = id.or(after);
            }
            self.drops_line_feed = !is_passed && self.scan.is_after_return;
            start = end;
        }
        self.remove_first(start);
        if self.buf.len() > MAX_EVENT_BYTES {
            self.pass_part(after, &mut events);
        }
        if self.buf.len() <= SPARE_BYTES {
            self.buf.shrink_to(SPARE_BYTES);
        }
        (!events.bytes.is_empty()).then_some(events)
    }

    /// Passes the beginning of a long event on, or leaves it out if its id was seen. The
    /// part ends with a whole line, unless the line alone is too long: an id is not cut.
    fn pass_part(&mut self, after: Option<u64>, events: &mut Events) {
        let scan = &mut self.scan;
        let is_line_long = self.buf.len() - scan.line_start > MAX_EVENT_BYTES;
        let length = match is_line_long {
            true => self.buf.len(),
            false => scan.line_start,
        };
        if is_line_long && !scan.is_line_cut {
            scan.record_line(&self.buf[scan.line_start..]);
            scan.is_line_cut = true;
        }
        scan.pos -= length;
        scan.line_start = 0;
        let id = scan.id;
        let long_event = self
            .long_event
            .get_or_insert_with(|| match was_seen(id, after) {
                true => LongEvent::LeftOut,
                false => LongEvent::Passed,
            });
        let part = self.buf.drain(..length);
        if *long_event == LongEvent::Passed {
            events.bytes.extend(part);
        }
    }

    /// Returns what was received so far. A line that has no end counts as part of an event.
    pub fn received(&self) -> ReceivedEvents {
        let scan = &self.scan;
        let has_open_line = scan.is_line_cut || self.buf.len() > scan.line_start;
        ReceivedEvents {
            any: self.has_events,
            is_open: scan.has_field || has_open_line,
        }
    }

    /// Number of buffered bytes that belong to no complete event.
    pub fn open_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Number of bytes of memory that the buffer takes.
    pub fn held_bytes(&self) -> usize {
        self.buf.capacity()
    }

    /// Whether a part of the open event was passed on: another target must not send that
    /// event again.
    pub fn is_part_passed(&self) -> bool {
        self.long_event == Some(LongEvent::Passed)
    }

    fn remove_mark(&mut self) {
        if self.has_begun || self.buf.len() < BYTE_ORDER_MARK.len() && self.may_begin_with_mark() {
            return;
        }
        self.has_begun = true;
        if self.may_begin_with_mark() {
            self.buf.drain(..BYTE_ORDER_MARK.len());
        }
    }

    fn may_begin_with_mark(&self) -> bool {
        self.buf.iter().zip(BYTE_ORDER_MARK).all(|(a, b)| a == b)
    }

    fn remove_line_feed(&mut self) {
        if self.drops_line_feed && !self.buf.is_empty() {
            self.drops_line_feed = false;
            if self.buf[0] == b'\n' {
                self.buf.remove(0);
                self.scan.is_after_return = false;
            }
        }
    }

    fn remove_first(&mut self, count: usize) {
        self.buf.drain(..count);
        self.scan.pos -= count;
        self.scan.line_start -= count;
    }

    /// Returns the position after the next event, including the empty line that ends it,
    /// and its id.
    fn find_event_end(&mut self) -> Option<(usize, Option<u64>)> {
        while let Some(end) = self.find_line_end() {
            let scan = &mut self.scan;
            let line = &self.buf[scan.line_start..scan.pos];
            let is_blank = line.is_empty() && !scan.is_line_cut;
            let is_event_end = is_blank && scan.has_line;
            if !is_blank && !scan.is_line_cut {
                scan.record_line(line);
            }
            let event = *scan;
            if is_event_end {
                *scan = Scan::default();
            }
            scan.is_line_cut = false;
            scan.is_after_return = self.buf[end - 1] == b'\r' && end == self.buf.len();
            scan.pos = end;
            scan.line_start = end;
            if is_event_end {
                self.has_events |= event.has_content;
                return Some((end, event.id));
            }
        }
        None
    }

    /// Moves to the end of the line and returns the position after it.
    fn find_line_end(&mut self) -> Option<usize> {
        let scan = &mut self.scan;
        if let Some(byte) = self.buf.get(scan.pos)
            && std::mem::take(&mut scan.is_after_return)
            && *byte == b'\n'
        {
            scan.pos += 1;
            scan.line_start = scan.pos;
        }
        while let Some(byte) = self.buf.get(scan.pos) {
            match (byte, self.buf.get(scan.pos + 1)) {
                (b'\r', Some(b'\n')) => return Some(scan.pos + 2),
                (b'\r' | b'\n', _) => return Some(scan.pos + 1),
                _ => scan.pos += 1,
            }
        }
        None
    }
}

fn was_seen(id: Option<u64>, after: Option<u64>) -> bool {
    matches!((id, after), (Some(id), Some(after)) if id <= after)
}

fn parse_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
