//! Splits a stream into server-sent events as data arrives.
//!
//! Only complete events are passed on. A target may break off inside an event, and the next
//! target then starts with that event again (WHATWG HTML, server-sent events).

use super::answer_end::ReceivedEvents;

/// Maximum number of buffered bytes of an incomplete event. A longer event is passed on in
/// parts.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into complete events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    has_events: bool,
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
        while let Some(length) = event_length(&self.buf[start..]) {
            let event = &self.buf[start..start + length];
            let id = event_id(event);
            let seen = matches!((id, after), (Some(id), Some(after)) if id <= after);
            if !seen {
                events.bytes.extend_from_slice(event);
                events.last = id.or(events.last);
                events.count += 1;
            }
            start += length;
            self.has_events = true;
        }
        self.buf.drain(..start);
        if self.buf.len() > MAX_EVENT_BYTES {
            events.bytes.append(&mut self.buf);
        }
        (!events.bytes.is_empty()).then_some(events)
    }

    /// Number of received bytes of an event that is not complete.
    pub fn open_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Returns what was received so far.
    pub fn received(&self) -> ReceivedEvents {
        ReceivedEvents {
            any: self.has_events,
            is_open: self.buf.iter().any(|b| !matches!(b, b'\n' | b'\r')),
        }
    }
}

/// Returns the length of the first event, including the empty line that ends it.
fn event_length(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (i, b) in buf.iter().enumerate() {
        if *b != b'\n' {
            continue;
        }
        let line = &buf[line_start..i];
        if (line.is_empty() || line == b"\r") && line_start > 0 {
            return Some(i + 1);
        }
        line_start = i + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
