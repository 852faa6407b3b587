//! Which keys there are and what they hold.

use crate::duration::parse_duration;
use crate::place::Collector;
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use std::net::SocketAddr;

/// What a value must be.
pub enum Kind {
    /// Any text that is not empty.
    Text,
    /// IP and port.
    Address,
    /// A time with its unit.
    Duration,
    /// A whole number in a range.
    Integer { min: u64, max: u64 },
    /// One of some words.
    Choice(&'static [&'static str]),
    /// 64 hexadecimal digits.
    Sha256,
    /// A number, 0 or more.
    Number,
    /// A whole number up to `max`, as a number or as text.
    Count { max: u64 },
    /// `true` or `false`.
    Flag,
    /// A list of addresses.
    Addresses,
    /// Any keys, each with such a value.
    Map(&'static Kind),
    /// A list of objects.
    List(&'static [Field]),
    /// An object.
    Object(&'static [Field]),
}

/// One key of an object.
pub struct Field {
    pub name: &'static str,
    pub required: bool,
    pub kind: Kind,
}

const fn must(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        required: true,
        kind,
    }
}

const fn may(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        required: false,
        kind,
    }
}

/// Most control VMs that may be lost at once: a quorum over more than 31 would
/// cost a leader more messages than any deployment needs.
const MOST_LOST: u64 = 15;

/// Keys of a settings file.
pub static SETTINGS: &[Field] = &[
    must("vm", Kind::Text),
    must("data_centre", Kind::Text),
    may(
        "keys",
        Kind::Object(&[
            must("ca", Kind::Text),
            must("certificate", Kind::Text),
            must("key", Kind::Text),
        ]),
    ),
    may(
        "control_vms",
        Kind::List(&[
            must("slot", Kind::Integer { min: 0, max: 6 }),
            must("address", Kind::Address),
        ]),
    ),
    may(
        "seeds",
        Kind::Object(&[
            must("ip", Kind::Text),
            must(
                "peer_port",
                Kind::Integer {
                    min: 1,
                    max: 65_535,
                },
            ),
            must("control", Kind::Addresses),
            may("first_start", Kind::Flag),
            may("lost_at_once", Kind::Count { max: MOST_LOST }),
        ]),
    ),
    may(
        "log",
        Kind::Object(&[
            may("level", Kind::Choice(&["error", "warn", "info", "debug"])),
            may("folder", Kind::Text),
        ]),
    ),
    may(
        "platform",
        Kind::Object(&[must("list", Kind::Address), may("every", Kind::Duration)]),
    ),
    may(
        "router",
        Kind::Object(&[
            may("callers", Kind::Address),
            may("routes", Kind::Address),
            may("ready", Kind::Address),
            may("killed_after", Kind::Duration),
            may("memory", Kind::Number),
            may(
                "repeats",
                Kind::Object(&[
                    may("share", Kind::Number),
                    may("beyond", Kind::Number),
                    may("window", Kind::Duration),
                ]),
            ),
            must("peers", Kind::Address),
            must("admin", Kind::Address),
            may("lease", Kind::Duration),
            may("announce_every", Kind::Duration),
            may("drain", Kind::Duration),
            may(
                "max_body_bytes",
                Kind::Integer {
                    min: 1,
                    max: 1 << 30,
                },
            ),
            may(
                "max_queued",
                Kind::Integer {
                    min: 1,
                    max: 1 << 20,
                },
            ),
            may("accelerators", Kind::Map(&Kind::Duration)),
            may("links", Kind::Map(&Kind::Duration)),
        ]),
    ),
    may(
        "control",
        Kind::Object(&[
            may("slot", Kind::Integer { min: 0, max: 6 }),
            must("data_folder", Kind::Text),
            may("calls", Kind::Address),
            must("admin", Kind::Address),
            may("operator_token_sha256", Kind::Sha256),
            may("lease", Kind::Duration),
            may("announce_every", Kind::Duration),
            may("link_mbps", Kind::Number),
            may("heartbeat", Kind::Duration),
            may("election_min", Kind::Duration),
            may("election_max", Kind::Duration),
        ]),
    ),
];

/// Checks an object's keys and values against a schema.
pub fn check_object(object: &Object, fields: &[Field], path: &str, out: &mut Collector) {
    for prop in &object.properties {
        let name = prop.name.as_str();
        let key = join(path, name);
        out.place(&key, prop.value.start());
        match fields.iter().find(|f| f.name == name) {
            Some(field) if !field.required && is_left_empty(&prop.value) => {}
            Some(field) => check_value(&prop.value, &field.kind, &key, out),
            None => out.add(prop.name.start(), &key, unknown(name, fields)),
        }
        let first = object.properties.iter().find(|p| p.name.as_str() == name);
        if first.is_some_and(|p| p.start() != prop.start()) {
            out.add(prop.name.start(), &key, "stands twice; remove one");
        }
    }
    for field in fields.iter().filter(|f| f.required) {
        let there = object
            .properties
            .iter()
            .any(|p| p.name.as_str() == field.name);
        if !there {
            let message = format!("is missing; write {}", example(&field.kind));
            out.add(object.start(), &join(path, field.name), message);
        }
    }
}

/// Whether a template left this gap empty. An optional key that is empty counts
/// as not given, so that its default holds.
fn is_left_empty(value: &Value) -> bool {
    matches!(value, Value::StringLit(s) if s.value.is_empty())
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

fn unknown(name: &str, fields: &[Field]) -> String {
    let known: Vec<&str> = fields.iter().map(|f| f.name).collect();
    let close = known.iter().find(|k| distance(k, name) <= 2);
    match close {
        Some(k) => format!("is no known key; did you mean {k:?}?"),
        None => format!("is no known key; known here: {}", known.join(", ")),
    }
}

/// Edits between two words (Levenshtein 1966).
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, ca) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, cb) in b.iter().enumerate() {
            let change = diagonal + usize::from(ca != *cb);
            diagonal = row[j + 1];
            row[j + 1] = change.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}

fn example(kind: &Kind) -> String {
    match kind {
        Kind::Text => "a text in quotes".to_string(),
        Kind::Address => "an IP and port such as \"127.0.0.1:7000\"".to_string(),
        Kind::Duration => "a time with its unit such as \"250us\", \"100ms\" or \"2s\"".to_string(),
        Kind::Integer { min, max } => format!("a whole number from {min} to {max}"),
        Kind::Choice(words) => format!("one of \"{}\"", words.join("\", \"")),
        Kind::Sha256 => "64 hexadecimal digits, as `deckwind keys token` prints them".to_string(),
        Kind::Number => "a number, 0 or more".to_string(),
        Kind::Count { max } => format!("a whole number from 0 to {max}"),
        Kind::Flag => "true or false".to_string(),
        Kind::Addresses => "a list of IPs and ports".to_string(),
        Kind::Map(_) | Kind::Object(_) => "an object { … }".to_string(),
        Kind::List(_) => "a list [ … ] of objects".to_string(),
    }
}

fn check_value(value: &Value, kind: &Kind, key: &str, out: &mut Collector) {
    match (kind, value) {
        (Kind::Object(fields), Value::Object(o)) => check_object(o, fields, key, out),
        (Kind::Map(inner), Value::Object(o)) => {
            for prop in &o.properties {
                let key = join(key, prop.name.as_str());
                out.place(&key, prop.value.start());
                check_value(&prop.value, inner, &key, out);
            }
        }
        (Kind::List(fields), Value::Array(list)) => {
            for (i, element) in list.elements.iter().enumerate() {
                let key = format!("{key}[{i}]");
                out.place(&key, element.start());
                check_value(element, &Kind::Object(fields), &key, out);
            }
        }
        (kind, value) if fits(value, kind) => {}
        (kind, value) => out.add(value.start(), key, format!("must be {}", example(kind))),
    }
}

fn fits(value: &Value, kind: &Kind) -> bool {
    match (kind, value) {
        (Kind::Integer { min, max }, Value::NumberLit(n)) => n
            .value
            .parse::<u64>()
            .is_ok_and(|v| (*min..=*max).contains(&v)),
        (Kind::Number, Value::NumberLit(n)) => is_number(n.value),
        (Kind::Count { max }, Value::NumberLit(n)) => is_count(n.value, *max),
        (Kind::Flag, Value::BooleanLit(_)) => true,
        (Kind::Addresses, Value::Array(list)) => {
            list.elements.iter().all(|e| fits(e, &Kind::Address))
        }
        (kind, Value::StringLit(s)) => text_fits(&s.value, kind),
        _ => false,
    }
}

fn is_number(text: &str) -> bool {
    let number = text.parse::<f64>();
    number.is_ok_and(|v| v >= 0.0 && v.is_finite())
}

fn is_count(text: &str, max: u64) -> bool {
    text.parse::<u64>().is_ok_and(|v| v <= max)
}

fn text_fits(text: &str, kind: &Kind) -> bool {
    match kind {
        Kind::Text => !text.is_empty(),
        Kind::Number => is_number(text),
        Kind::Count { max } => is_count(text, *max),
        Kind::Address => text.parse::<SocketAddr>().is_ok(),
        Kind::Duration => parse_duration(text).is_some(),
        Kind::Choice(words) => words.contains(&text),
        Kind::Sha256 => text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit()),
        _ => false,
    }
}
