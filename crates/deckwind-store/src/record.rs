//! Encoding of records: magic number, length, CRC-32 and body.

use serde::{Serialize, de::DeserializeOwned};

/// Magic number at the start of every record. Makes it possible to find valid records
/// after a damaged one, and so to distinguish damage from a torn last record.
const MAGIC: [u8; 4] = *b"dwr1";

/// Length of the header in bytes: magic number, length and checksum.
const HEADER_LEN: usize = 12;

/// Encodes a value as a record.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(value).expect("records always serialize");
    let mut out = Vec::with_capacity(HEADER_LEN + body.len());
    out.extend(MAGIC);
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
    out
}

/// Returns the body of the record at offset `at`, if the record is complete and its
/// checksum matches.
fn body_at(bytes: &[u8], at: usize) -> Option<&[u8]> {
    let header = bytes.get(at..at + HEADER_LEN)?;
    if header[..4] != MAGIC {
        return None;
    }
    let u32_at =
        |i: usize| u32::from_le_bytes([header[i], header[i + 1], header[i + 2], header[i + 3]]);
    let start = at + HEADER_LEN;
    let body = bytes.get(start..start.checked_add(u32_at(4) as usize)?)?;
    (crc32fast::hash(body) == u32_at(8)).then_some(body)
}

/// Contents of a file of records.
pub struct Records<T> {
    /// Decoded records, in the order of the file.
    pub values: Vec<T>,
    /// Offset at which the valid records end. Any bytes after it are a torn record.
    pub end: usize,
}

/// Reads all records of a file.
///
/// # Errors
/// Returns the offset of a damaged record that is followed by a valid one.
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
        at += HEADER_LEN + len;
    }
    if has_valid_record_after(bytes, at) {
        return Err(at);
    }
    Ok(Records { values, end: at })
}

fn has_valid_record_after(bytes: &[u8], at: usize) -> bool {
    (at + 1..bytes.len().saturating_sub(HEADER_LEN))
        .any(|i| bytes[i..i + 4] == MAGIC && body_at(bytes, i).is_some())
}
