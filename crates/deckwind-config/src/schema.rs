//! Schema of the settings file: its keys and the types of their values.

use crate::collector::Collector;
use crate::duration::parse_duration;
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use std::net::SocketAddr;

/// Type of a value.
pub enum ValueKind {
    /// A text that is not empty.
    Text,
    /// An IP address and port.
    Address,
    /// A duration with its unit.
    Duration,
    /// An integer in a range.
    Integer { min: u64, max: u64 },
    /// One of a list of words.
    Choice(&'static [&'static str]),
    /// A SHA-256 digest, as 64 hexadecimal digits.
    Sha256,
    /// A number that is 0 or more, as a number or as text.
    Number,
    /// An integer from 0 to `max`, as a number or as text.
    Count { max: u64 },
    /// `true` or `false`.
    Flag,
    /// A list of addresses.
    Addresses,
    /// An object with any keys, each with a value of this type.
    Map(&'static ValueKind),
    /// A list of objects with these keys.
    List(&'static [Field]),
    /// An object with these keys.
    Object(&'static [Field]),
}

/// One key of an object.
pub struct Field {
    pub name: &'static str,
    pub required: bool,
    pub kind: ValueKind,
}

const fn required_key(name: &'static str, kind: ValueKind) -> Field {
    Field {
        name,
        required: true,
        kind,
    }
}

const fn optional_key(name: &'static str, kind: ValueKind) -> Field {
    Field {
        name,
        required: false,
        kind,
    }
}

/// Maximum for `seeds.lost_at_once`. Tolerating the loss of more VMs requires more
/// than 31 replicas, and a quorum of that size costs a leader more messages than any deployment
/// needs.
const MAX_LOST_AT_ONCE: u64 = 15;

/// Keys of a settings file.
pub static SETTINGS: &[Field] = &[
    required_key("vm", ValueKind::Text),
    required_key("data_centre", ValueKind::Text),
    optional_key(
        "keys",
        ValueKind::Object(&[
            required_key("ca", ValueKind::Text),
            required_key("certificate", ValueKind::Text),
            required_key("key", ValueKind::Text),
        ]),
    ),
    optional_key(
        "control_vms",
        ValueKind::List(&[
            required_key("slot", ValueKind::Integer { min: 0, max: 6 }),
            required_key("address", ValueKind::Address),
        ]),
    ),
    optional_key(
        "seeds",
        ValueKind::Object(&[
            required_key("ip", ValueKind::Text),
            required_key(
                "peer_port",
                ValueKind::Integer {
                    min: 1,
                    max: 65_535,
                },
            ),
            required_key("control", ValueKind::Addresses),
            optional_key("first_start", ValueKind::Flag),
            optional_key(
                "lost_at_once",
                ValueKind::Count {
                    max: MAX_LOST_AT_ONCE,
                },
            ),
        ]),
    ),
    optional_key(
        "log",
        ValueKind::Object(&[
            optional_key(
                "level",
                ValueKind::Choice(&["error", "warn", "info", "debug"]),
            ),
            optional_key("folder", ValueKind::Text),
        ]),
    ),
    optional_key(
        "platform",
        ValueKind::Object(&[
            required_key("list", ValueKind::Address),
            optional_key("every", ValueKind::Duration),
        ]),
    ),
    optional_key(
        "router",
        ValueKind::Object(&[
            optional_key("callers", ValueKind::Address),
            optional_key("routes", ValueKind::Address),
            optional_key("ready", ValueKind::Address),
            optional_key("killed_after", ValueKind::Duration),
            optional_key("memory", ValueKind::Number),
            optional_key("file_descriptors", ValueKind::Number),
            optional_key(
                "repeats",
                ValueKind::Object(&[
                    optional_key("share", ValueKind::Number),
                    optional_key("beyond", ValueKind::Number),
                    optional_key("window", ValueKind::Duration),
                ]),
            ),
            required_key("peers", ValueKind::Address),
            required_key("admin", ValueKind::Address),
            optional_key("lease", ValueKind::Duration),
            optional_key("announce_every", ValueKind::Duration),
            optional_key("drain", ValueKind::Duration),
            optional_key(
                "max_body_bytes",
                ValueKind::Integer {
                    min: 1,
                    max: 1 << 30,
                },
            ),
            optional_key(
                "max_queued",
                ValueKind::Integer {
                    min: 1,
                    max: 1 << 20,
                },
            ),
            optional_key("accelerators", ValueKind::Map(&ValueKind::Duration)),
            optional_key("links", ValueKind::Map(&ValueKind::Duration)),
        ]),
    ),
    optional_key(
        "control",
        ValueKind::Object(&[
            optional_key("slot", ValueKind::Integer { min: 0, max: 6 }),
            required_key("data_folder", ValueKind::Text),
            optional_key("calls", ValueKind::Address),
            required_key("admin", ValueKind::Address),
            optional_key("operator_token_sha256", ValueKind::Sha256),
            optional_key("lease", ValueKind::Duration),
            optional_key("announce_every", ValueKind::Duration),
            optional_key("link_mbps", ValueKind::Number),
            optional_key("heartbeat", ValueKind::Duration),
            optional_key("election_min", ValueKind::Duration),
            optional_key("election_max", ValueKind::Duration),
        ]),
    ),
];

/// Checks an object's keys and values against a schema.
pub fn check_object(object: &Object, fields: &[Field], path: &str, out: &mut Collector) {
    for prop in &object.properties {
        let name = prop.name.as_str();
        let key = join(path, name);
        out.record_offset(&key, prop.value.start());
        match fields.iter().find(|f| f.name == name) {
            Some(field) if !field.required && is_left_empty(&prop.value) => {}
            Some(field) => check_value(&prop.value, &field.kind, &key, out),
            None => out.add(prop.name.start(), &key, unknown_key_message(name, fields)),
        }
        let first = object.properties.iter().find(|p| p.name.as_str() == name);
        if first.is_some_and(|p| p.start() != prop.start()) {
            out.add(prop.name.start(), &key, "stands twice; remove one");
        }
    }
    for field in fields.iter().filter(|f| f.required) {
        let is_present = object
            .properties
            .iter()
            .any(|p| p.name.as_str() == field.name);
        if !is_present {
            let message = format!("is missing; write {}", expected_value(&field.kind));
            out.add(object.start(), &join(path, field.name), message);
        }
    }
}

/// Returns whether a template left this value empty. An optional key with an empty value
/// counts as not given, so that its default applies.
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

fn unknown_key_message(name: &str, fields: &[Field]) -> String {
    let known: Vec<&str> = fields.iter().map(|f| f.name).collect();
    let similar = known.iter().find(|k| edit_distance(k, name) <= 2);
    match similar {
        Some(k) => format!("is no known key; did you mean {k:?}?"),
        None => format!("is no known key; known here: {}", known.join(", ")),
    }
}

/// Returns the edit distance between two words (Levenshtein 1966).
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, ca) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, cb) in b.iter().enumerate() {
            let substitution = diagonal + usize::from(ca != *cb);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}

fn expected_value(kind: &ValueKind) -> String {
    match kind {
        ValueKind::Text => "a text in quotes".to_string(),
        ValueKind::Address => "an IP and port such as \"127.0.0.1:7000\"".to_string(),
        ValueKind::Duration => {
            "a time with its unit such as \"250us\", \"100ms\" or \"2s\"".to_string()
        }
        ValueKind::Integer { min, max } => format!("a whole number from {min} to {max}"),
        ValueKind::Choice(words) => format!("one of \"{}\"", words.join("\", \"")),
        ValueKind::Sha256 => {
            "64 hexadecimal digits, as `deckwind keys token` prints them".to_string()
        }
        ValueKind::Number => "a number, 0 or more".to_string(),
        ValueKind::Count { max } => format!("a whole number from 0 to {max}"),
        ValueKind::Flag => "true or false".to_string(),
        ValueKind::Addresses => "a list of IPs and ports".to_string(),
        ValueKind::Map(_) | ValueKind::Object(_) => "an object { … }".to_string(),
        ValueKind::List(_) => "a list [ … ] of objects".to_string(),
    }
}

fn check_value(value: &Value, kind: &ValueKind, key: &str, out: &mut Collector) {
    match (kind, value) {
        (ValueKind::Object(fields), Value::Object(o)) => check_object(o, fields, key, out),
        (ValueKind::Map(inner), Value::Object(o)) => {
            for prop in &o.properties {
                let key = join(key, prop.name.as_str());
                out.record_offset(&key, prop.value.start());
                check_value(&prop.value, inner, &key, out);
            }
        }
        (ValueKind::List(fields), Value::Array(list)) => {
            for (i, element) in list.elements.iter().enumerate() {
                let key = format!("{key}[{i}]");
                out.record_offset(&key, element.start());
                check_value(element, &ValueKind::Object(fields), &key, out);
            }
        }
        (kind, value) if matches_kind(value, kind) => {}
        (kind, value) => out.add(
            value.start(),
            key,
            format!("must be {}", expected_value(kind)),
        ),
    }
}

fn matches_kind(value: &Value, kind: &ValueKind) -> bool {
    match (kind, value) {
        (ValueKind::Integer { min, max }, Value::NumberLit(n)) => n
            .value
            .parse::<u64>()
            .is_ok_and(|v| (*min..=*max).contains(&v)),
        (ValueKind::Number, Value::NumberLit(n)) => is_non_negative_number(n.value),
        (ValueKind::Count { max }, Value::NumberLit(n)) => is_integer_up_to(n.value, *max),
        (ValueKind::Flag, Value::BooleanLit(_)) => true,
        (ValueKind::Addresses, Value::Array(list)) => list
            .elements
            .iter()
            .all(|e| matches_kind(e, &ValueKind::Address)),
        (kind, Value::StringLit(s)) => text_matches_kind(&s.value, kind),
        _ => false,
    }
}

fn is_non_negative_number(text: &str) -> bool {
    let number = text.parse::<f64>();
    number.is_ok_and(|v| v >= 0.0 && v.is_finite())
}

fn is_integer_up_to(text: &str, max: u64) -> bool {
    text.parse::<u64>().is_ok_and(|v| v <= max)
}

fn text_matches_kind(text: &str, kind: &ValueKind) -> bool {
    match kind {
        ValueKind::Text => !text.is_empty(),
        ValueKind::Number => is_non_negative_number(text),
        ValueKind::Count { max } => is_integer_up_to(text, *max),
        ValueKind::Address => text.parse::<SocketAddr>().is_ok(),
        ValueKind::Duration => parse_duration(text).is_some(),
        ValueKind::Choice(words) => words.contains(&text),
        ValueKind::Sha256 => text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit()),
        _ => false,
    }
}
