//! Events of a stream, taken apart as they come.
//!
//! Only whole events are passed on: a target may break off inside one, and the
//! next target then begins with that event anew (WHATWG HTML, server-sent
//! events).

/// Longest event that is waited for, bytes; a longer one is passed on in parts.
const MAX_EVENT: usize = 1 << 20;

/// Cuts a stream into whole events.
#[derive(Clone, Debug, Default)]
pub struct EventCutter {
    buf: Vec<u8>,
}

/// Some bytes of a stream that end with an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// Id of the last event in them that has one.
    pub last: Option<u64>,
    /// Events.
    pub count: u32,
}

impl EventCutter {
    /// Takes what came, and answers with the whole events so far that come
    /// after event `after`.
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
            let id = id_of(event);
            let seen = matches!((id, after), (Some(id), Some(after)) if id <= after);
            if !seen {
                events.bytes.extend_from_slice(event);
                events.last = id.or(events.last);
                events.count += 1;
            }
            start += length;
        }
        self.buf.drain(..start);
        if self.buf.len() > MAX_EVENT {
            events.bytes.append(&mut self.buf);
        }
        (!events.bytes.is_empty()).then_some(events)
    }

    /// What is left when the stream has ended as it should.
    pub fn rest(self) -> Vec<u8> {
        self.buf
    }
}

/// Length of the first event with the empty line that ends it.
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

fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
