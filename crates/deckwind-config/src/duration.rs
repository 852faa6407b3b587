//! Parsing of durations in settings.

use std::time::Duration;

/// Units of a duration written as one decimal number, each with its length in seconds.
const UNITS: [(&str, f64); 5] = [
    ("us", 1e-6),
    ("ms", 1e-3),
    ("s", 1.0),
    ("m", 60.0),
    ("h", 3_600.0),
];

/// Parses a duration with its unit, such as "250us", "100ms", "2.5s" or "1h 30m".
/// Returns `None` if the text is not a duration.
pub fn parse_duration(text: &str) -> Option<Duration> {
    humantime::parse_duration(text)
        .ok()
        .or_else(|| parse_decimal_duration(text))
}

fn parse_decimal_duration(text: &str) -> Option<Duration> {
    let text = text.trim();
    let unit_at = text.find(|c: char| c.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(unit_at);
    let seconds = UNITS.iter().find(|(name, _)| *name == unit)?.1;
    let number = number.trim().parse::<f64>().ok()?;
    Duration::try_from_secs_f64(number * seconds).ok()
}
