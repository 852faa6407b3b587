//! Records: magic, length, CRC-32, body.

use serde::{Serialize, de::DeserializeOwned};

/// Starts every record; lets damage in the middle be told from a torn end.
const MAGIC: [u8; 4] = *b"dwr1";

/// Magic, length and checksum.
const HEADER: usize = 12;

/// A value as a record.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(value).expect("records always serialize");
    let mut out = Vec::with_capacity(HEADER + body.len());
    out.extend(MAGIC);
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
    out
}

/// The body of the record at `at`, if it is whole and right.
fn body_at(bytes: &[u8], at: usize) -> Option<&[u8]> {
    let header = bytes.get(at..at + HEADER)?;
    if header[..4] != MAGIC {
        return None;
    }
    let word =
        |i: usize| u32::from_le_bytes([header[i], header[i + 1], header[i + 2], header[i + 3]]);
    let start = at + HEADER;
    let body = bytes.get(start..start.checked_add(word(4) as usize)?)?;
    (crc32fast::hash(body) == word(8)).then_some(body)
}

/// What a file of records holds.
pub struct Records<T> {
    /// The records, first to last.
    pub values: Vec<T>,
    /// Where they end; what follows is a torn record.
    pub end: usize,
}

/// Reads all records, or answers with the place of one that is damaged though
/// a good one stands behind it.
pub fn read_all<T: DeserializeOwned>(bytes: &[u8]) -> Result<Records<T>, usize> {
    let mut values = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let parsed =
            body_at(bytes, at).and_then(|b| Some((b.len(), postcard::from_bytes(b).ok()?)));
        let Some((len, value)) = parsed else {
            break;
        };
        values.push(value);
        at += HEADER + len;
    }
    if good_record_after(bytes, at) {
        return Err(at);
    }
    Ok(Records { values, end: at })
}

fn good_record_after(bytes: &[u8], at: usize) -> bool {
    (at + 1..bytes.len().saturating_sub(HEADER))
        .any(|i| bytes[i..i + 4] == MAGIC && body_at(bytes, i).is_some())
}
