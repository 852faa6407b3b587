//! Splitting of streams into events: wherever the network cuts a stream, the same events
//! and ids are found, and at every byte it is known whether an event is open.

use deckwind_core::routes::{EventSplitter, ReceivedEvents};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Length above which an event is passed on in parts.
const LONG_EVENT_BYTES: usize = 1 << 20;

/// Streams of three events, one line each entry; an empty one ends an event. `\n` stands
/// for the line end under test.
const STREAMS: [&[&str]; 8] = [
    &[
        "id: 1", "data: a", "", "id: 2", "data: b", "", "id: 3", "data", "",
    ],
    &[
        ": hello", "", "id:4", "data:", "", ":", "id: 5", "", "data: x", ": end",
    ],
    &[
        "data: a", "", "data: b", "data: c", "", "event: e", "data", "",
    ],
    &[
        "id: 1", "id: 7", "", "id: 8", "data: x", "id: 2", "", "id: 3", "id: x", "",
    ],
    &[
        "id: x", "data: a", "", "id", "data: b", "", "id: 9", "id", "",
    ],
    &[
        "retry: 5", "", "retry: 6", "id: 1", "", "id: 2", "retry: 7", "data: a", "",
    ],
    &[
        "",
        "",
        "data: id: 4",
        "",
        "",
        "ids: 5",
        "data: b",
        "",
        " id: 6",
        "",
    ],
    &["id: 1", "", "id: 2", "", "id: 3", "", ": pause"],
];

const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

fn stream_of(lines: &[&str], line_end: &str) -> String {
    lines.iter().map(|l| format!("{l}{line_end}")).collect()
}

/// What a reader of a stream knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Known {
    /// Bytes of the whole events whose id was not seen before.
    bytes: Vec<u8>,
    last: Option<u64>,
    count: u32,
    /// Number of events whose id was seen before.
    left_out: u32,
    received: ReceivedEvents,
}

/// Fields of an event.
#[derive(Default)]
struct Fields {
    has_line: bool,
    has_field: bool,
    is_event: bool,
    id: Option<u64>,
}

/// Returns the number of bytes of the first line and of its end, if it has one.
fn first_line(text: &[u8]) -> Option<(usize, usize)> {
    let length = text.iter().position(|b| matches!(b, b'\n' | b'\r'))?;
    let end = match text[length..].starts_with(b"\r\n") {
        true => 2,
        false => 1,
    };
    Some((length, end))
}

fn add_line(fields: &mut Fields, line: &str) {
    let (name, value) = line.split_once(':').unwrap_or((line, ""));
    fields.has_line = true;
    fields.has_field |= !name.is_empty();
    fields.is_event |= !name.is_empty() && name != "retry";
    if name == "id" {
        fields.id = value.trim().parse().ok();
    }
}

/// Reads a stream from its beginning, as the standard says (WHATWG HTML, section 9.2.6).
fn read_whole(stream: &[u8], mut after: Option<u64>) -> Known {
    let mut text = stream.strip_prefix(BYTE_ORDER_MARK).unwrap_or(stream);
    let mut known = Known::default();
    let mut event = Vec::new();
    let mut fields = Fields::default();
    while let Some((length, end)) = first_line(text) {
        let (line, rest) = text.split_at(length + end);
        event.extend_from_slice(line);
        text = rest;
        if length > 0 {
            let line = std::str::from_utf8(&line[..length]).expect("text");
            add_line(&mut fields, line);
        } else if fields.has_line {
            let fields = std::mem::take(&mut fields);
            let event = std::mem::take(&mut event);
            known.received.any |= fields.is_event;
            if fields.id.is_none() || fields.id > after {
                known.bytes.extend(event);
                known.last = fields.id.or(known.last);
                after = fields.id.or(after);
                known.count += 1;
            } else {
                known.left_out += 1;
            }
        }
    }
    known.received.is_open = fields.has_field || !text.is_empty();
    known
}

fn with_line_feeds(bytes: &[u8]) -> String {
    let text = String::from_utf8(bytes.to_vec()).expect("text");
    text.replace("\r\n", "\n").replace('\r', "\n")
}

/// Asserts that the same events were passed on. If a line end is cut, its second half may
/// follow with the next event; if that is left out, the half is left out too.
fn assert_same_bytes(known: &Known, expected: &Known, described: &str) {
    let bytes = with_line_feeds(&known.bytes);
    assert_eq!(bytes, with_line_feeds(&expected.bytes), "{described}");
    if expected.left_out == 0 {
        let rest = expected.bytes.strip_prefix(known.bytes.as_slice());
        assert!(matches!(rest, Some(b"" | b"\n")), "{described}: {bytes:?}");
    }
}

/// Reads a stream in pieces and checks what is known after each of them.
fn assert_read_in_pieces(pieces: &[&[u8]], after: Option<u64>) {
    let mut splitter = EventSplitter::default();
    let mut known = Known::default();
    let mut read = 0;
    let stream = pieces.concat();
    for piece in pieces {
        if let Some(events) = splitter.take(piece, known.last.or(after)) {
            known.bytes.extend(events.bytes);
            known.last = events.last.or(known.last);
            known.count += events.count;
        }
        known.received = splitter.received();
        read += piece.len();
        let expected = read_whole(&stream[..read], after);
        let described = || {
            let pieces = pieces.iter().map(|p| String::from_utf8_lossy(p));
            format!(
                "{:?} after {after:?}, byte {read}",
                pieces.collect::<Vec<_>>()
            )
        };
        assert_eq!(known.received, expected.received, "{}", described());
        assert_eq!(known.last, expected.last, "{}", described());
        assert_eq!(known.count, expected.count, "{}", described());
        assert_same_bytes(&known, &expected, &described());
        assert!(!splitter.is_part_passed());
    }
}

fn assert_read_in_any_pieces(stream: &[u8], after: Option<u64>) {
    let bytes: Vec<&[u8]> = stream.chunks(1).collect();
    assert_read_in_pieces(&bytes, after);
    for first in 0..=stream.len() {
        for second in first..=stream.len() {
            let (a, rest) = stream.split_at(first);
            let (b, c) = rest.split_at(second - first);
            assert_read_in_pieces(&[a, b, c], after);
        }
    }
}

/// Guards against a cut of the network at which an event, an id or an open event is missed.
#[parameterized(
    line_feed = { "\n" },
    both = { "\r\n" },
    carriage_return = { "\r" },
)]
fn a_stream_is_read_alike_wherever_it_is_cut(line_end: &str) {
    for lines in STREAMS {
        let stream = stream_of(lines, line_end);
        for after in [None, Some(1), Some(2)] {
            assert_read_in_any_pieces(stream.as_bytes(), after);
        }
    }
}

/// Guards against a byte order mark that is taken for a part of the first line: a comment
/// looked like an event, and in a resumed stream its first event lost a field.
#[parameterized(
    line_feed = { "\n" },
    both = { "\r\n" },
    carriage_return = { "\r" },
)]
fn a_byte_order_mark_belongs_to_no_event(line_end: &str) {
    for lines in STREAMS {
        let stream = [BYTE_ORDER_MARK, stream_of(lines, line_end).as_bytes()].concat();
        assert_read_in_any_pieces(&stream, None);
    }
}

/// Guards against mixes of lines, line ends and cuts that no one thought of.
#[test]
fn random_streams_are_read_alike_wherever_they_are_cut() {
    let all_lines: Vec<&str> = STREAMS.concat();
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut stream = String::new();
        for _ in 0..rng.random_range(1..16) {
            stream += all_lines[rng.random_range(0..all_lines.len())];
            stream += LINE_ENDS[rng.random_range(0..LINE_ENDS.len())];
        }
        let mut rest = stream.as_bytes();
        let mut pieces = Vec::new();
        while !rest.is_empty() {
            let (piece, later) = rest.split_at(rng.random_range(1..=rest.len().min(9)));
            pieces.push(piece);
            rest = later;
        }
        let after = rng.random_bool(0.5).then(|| rng.random_range(0..8));
        assert_read_in_pieces(&pieces, after);
    }
}

/// A long line of an event.
fn long_line() -> String {
    format!("data: {}", "x".repeat(LONG_EVENT_BYTES))
}

/// Guards against an id that is misread in an event that is passed on in parts: a part ends
/// inside the line of the id, or the rest of a line looks like one.
#[parameterized(
    id_cut = { "id: 1", "2\n\n", Some(12) },
    id_cut_after_its_name = { "id", ": 3\n\n", Some(3) },
    id_in_the_rest_of_a_line = { "id: 4\ndata: ", "id: 9\n\n", Some(4) },
    id_after_the_part = { "data: x", "\nid: 5\n\n", Some(5) },
    last_id_counts = { "id: 6\ndata: x", "\nid: 7\n\n", Some(7) },
    id_that_is_no_number = { "id: 6\ndata: x", "\nid: x\n\n", None },
    line_cut_before_a_carriage_return = { "id: 8\ndata: x", "\r\r", Some(8) },
    line_cut_after_a_carriage_return = { "id: 8\ndata: x\r", "\r", Some(8) },
    line_cut_inside_its_end = { "id: 8\ndata: x\r", "\n\r\n", Some(8) },
)]
fn a_long_event_keeps_its_id(cut_at: &str, rest: &str, id: Option<u64>) {
    let begin = format!("{}\n{cut_at}", long_line());
    let mut splitter = EventSplitter::default();
    let part = splitter.take(begin.as_bytes(), None).expect("a part");
    assert_eq!((part.last, part.count), (None, 0));
    assert!(splitter.is_part_passed() && splitter.received().is_open);
    let end = splitter.take(rest.as_bytes(), None).expect("its end");
    assert_eq!((end.last, end.count), (id, 1));
    let whole = format!("{begin}{rest}");
    assert_eq!([part.bytes, end.bytes].concat(), whole.as_bytes());
    assert!(!splitter.is_part_passed() && !splitter.received().is_open);
}

/// Guards against the same in an event of one line that is longer than a part.
#[parameterized(
    rest_looks_like_an_id = { "id: 9\nid: 1\n\n", Some(1) },
    rest_looks_like_a_comment = { ": 9\n\n", None },
    two_carriage_returns = { "\r\r", None },
)]
fn a_long_line_is_one_line(rest: &str, id: Option<u64>) {
    let mut splitter = EventSplitter::default();
    let part = splitter.take(long_line().as_bytes(), None).expect("a part");
    let mut events = 0;
    let mut last = None;
    let mut bytes = part.bytes;
    for byte in rest.as_bytes().chunks(1) {
        assert!(splitter.received().is_open && splitter.is_part_passed());
        if let Some(end) = splitter.take(byte, None) {
            events += end.count;
            last = end.last.or(last);
            bytes.extend(end.bytes);
        }
    }
    assert_eq!((events, last), (1, id));
    assert_eq!(bytes, format!("{}{rest}", long_line()).as_bytes());
    assert!(!splitter.received().is_open && !splitter.is_part_passed());
}

/// Guards against a long event that is sent again by the target that resumes a stream: the
/// caller got it twice.
#[test]
fn a_long_event_that_was_seen_before_is_not_passed_on_again() {
    let mut splitter = EventSplitter::default();
    let begin = format!("id: 1\n{}", long_line());
    assert_eq!(splitter.take(begin.as_bytes(), Some(1)), None);
    assert!(splitter.received().is_open && !splitter.is_part_passed());
    assert!(splitter.open_bytes() <= LONG_EVENT_BYTES);
    assert_eq!(splitter.take(long_line().as_bytes(), Some(1)), None);
    let next = splitter.take(b"\n\nid: 2\n\n", Some(1)).expect("an event");
    assert_eq!(next.bytes, b"id: 2\n\n");
    assert_eq!((next.last, next.count), (Some(2), 1));
    assert!(!splitter.received().is_open);
}
