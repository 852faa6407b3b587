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
/// checksum matches. No record has an empty body, whose checksum is 0 like the bytes of a
/// header that was not written to its end.
fn body_at(bytes: &[u8], at: usize) -> Option<&[u8]> {
    let header = bytes.get(at..at + HEADER_LEN)?;
    if header[..4] != MAGIC {
        return None;
    }
    let u32_at =
        |i: usize| u32::from_le_bytes([header[i], header[i + 1], header[i + 2], header[i + 3]]);
    let start = at + HEADER_LEN;
    let body = bytes.get(start..start.checked_add(u32_at(4) as usize)?)?;
    (!body.is_empty() && crc32fast::hash(body) == u32_at(8)).then_some(body)
}

/// Contents of a file of records.
pub struct Records<T> {
    /// Decoded records, in the order of the file.
    pub values: Vec<T>,
    /// Offset at which the valid records end. Any bytes after it are a torn record.
    pub end: usize,
}

/// Reason why the records of a file can't be read, with the offset of the first such record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// A damaged record is followed by a valid one.
    Damaged(usize),
    /// A record is valid, and its body is none of the expected type.
    Unreadable(usize),
}

/// Reads all records of a file. Only bytes that are no valid record count as torn.
///
/// # Errors
/// If a record is damaged and not the last one, or valid and unreadable.
pub fn read_all<T: DeserializeOwned>(bytes: &[u8]) -> Result<Records<T>, RecordError> {
    let mut values = Vec::new();
    let mut at = 0;
    while let Some(body) = body_at(bytes, at) {
        let value = postcard::from_bytes(body).map_err(|_| RecordError::Unreadable(at))?;
        values.push(value);
        at += HEADER_LEN + body.len();
    }
    if has_valid_record_after(bytes, at) {
        return Err(RecordError::Damaged(at));
    }
    Ok(Records { values, end: at })
}

fn has_valid_record_after(bytes: &[u8], at: usize) -> bool {
    (at + 1..bytes.len().saturating_sub(HEADER_LEN))
        .any(|i| bytes[i..i + 4] == MAGIC && body_at(bytes, i).is_some())
}
