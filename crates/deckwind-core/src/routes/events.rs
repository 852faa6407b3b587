//! Splits a stream into server-sent events as data arrives (WHATWG HTML, section 9.2.6).
//!
//! Only complete events are passed on. A target may break off inside an event, and the next
//! target then starts with that event again.

use super::answer_end::ReceivedEvents;

/// Maximum number of buffered bytes of an incomplete event. A longer event is passed on in
/// parts.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Byte order mark that may stand before the first event.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Splits a stream into complete events. A line ends with `\n`, `\r\n` or `\r`.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    scan: Scan,
    has_events: bool,
    /// The part of the open event that was passed on, if any.
    passed_part: Option<PassedPart>,
}

/// Part of an open event that was passed on.
#[derive(Clone, Copy, Debug, Default)]
struct PassedPart {
    /// Id of the event, if the part has one.
    id: Option<u64>,
}

/// How far the buffer was searched for the end of an event.
#[derive(Clone, Copy, Debug, Default)]
struct Scan {
    /// Position of the next byte to look at.
    pos: usize,
    /// Start of the line that `pos` is in.
    line_start: usize,
    /// Whether a part of that line was already removed from the buffer.
    is_line_cut: bool,
    /// Whether a line before it is not empty.
    has_line: bool,
    /// Whether a line before it is a field: neither empty nor a comment.
    has_field: bool,
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
    /// `after`. Events without an id are always returned.
    pub fn take(&mut self, data: &[u8], after: Option<u64>) -> Option<Events> {
        self.buf.extend_from_slice(data);
        let mut events = Events {
            bytes: Vec::new(),
            last: None,
            count: 0,
        };
        let mut start = 0;
        while let Some(end) = self.find_event_end() {
            let event = &self.buf[start..end];
            let passed_part = self.passed_part.take();
            let id = event_id(event).or(passed_part.and_then(|p| p.id));
            let was_seen = matches!((id, after), (Some(id), Some(after)) if id <= after);
            if !was_seen || passed_part.is_some() {
                events.bytes.extend_from_slice(event);
                events.last = id.or(events.last);
                events.count += 1;
            }
            start = end;
        }
        self.remove_first(start);
        if self.buf.len() > MAX_EVENT_BYTES {
            self.pass_part(&mut events);
        }
        (!events.bytes.is_empty()).then_some(events)
    }

    fn pass_part(&mut self, events: &mut Events) {
        let part = self.passed_part.get_or_insert_default();
        part.id = event_id(&self.buf).or(part.id);
        self.scan.is_line_cut |= self.buf.len() > self.scan.line_start;
        self.scan.pos = 0;
        self.scan.line_start = 0;
        events.bytes.append(&mut self.buf);
    }

    /// Returns what was received so far.
    pub fn received(&self) -> ReceivedEvents {
        let has_open_line = self.buf.len() > self.scan.line_start && !self.is_rest_blank();
        ReceivedEvents {
            any: self.has_events,
            is_open: self.passed_part.is_some() || self.scan.has_field || has_open_line,
        }
    }

    /// Number of buffered bytes that belong to no complete event.
    pub fn open_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Whether a part of the open event was passed on: another target must not send that
    /// event again.
    pub fn is_part_passed(&self) -> bool {
        self.passed_part.is_some()
    }

    /// Whether the line that is not complete is empty so far: its end may be half of `\r\n`.
    fn is_rest_blank(&self) -> bool {
        self.buf[self.scan.line_start..] == *b"\r"
    }

    fn remove_first(&mut self, count: usize) {
        self.buf.drain(..count);
        self.scan.pos -= count;
        self.scan.line_start -= count;
    }

    /// Returns the position after the next event, including the empty line that ends it.
    fn find_event_end(&mut self) -> Option<usize> {
        let scan = &mut self.scan;
        while let Some(byte) = self.buf.get(scan.pos) {
            let is_blank = scan.pos == scan.line_start && !scan.is_line_cut;
            let line_end = match (byte, self.buf.get(scan.pos + 1)) {
                (b'\n', _) => scan.pos + 1,
                (b'\r', Some(b'\n')) => scan.pos + 2,
                (b'\r', Some(_)) => scan.pos + 1,
                // The event ends here, whether `\n` follows or not.
                (b'\r', None) if is_blank && scan.has_line => scan.pos + 1,
                (b'\r', None) => return None,
                _ => {
                    scan.pos += 1;
                    continue;
                }
            };
            if is_blank && scan.has_line {
                self.has_events |= scan.has_field;
                *scan = Scan {
                    pos: line_end,
                    line_start: line_end,
                    ..Scan::default()
                };
                return Some(line_end);
            }
            scan.has_line |= !is_blank;
            scan.has_field |= !is_blank && (scan.is_line_cut || self.buf[scan.line_start] != b':');
            scan.is_line_cut = false;
            scan.pos = line_end;
            scan.line_start = line_end;
        }
        None
    }
}

/// Returns the id of an event, if it is a number. The last field `id` counts.
fn event_id(event: &[u8]) -> Option<u64> {
    let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
    let lines = event.split(|b| matches!(b, b'\n' | b'\r'));
    let value = lines.filter_map(|l| l.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
