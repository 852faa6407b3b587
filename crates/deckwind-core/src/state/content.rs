//! Digest that identifies a request by its content, independent of the caller and
//! of the request id.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

/// Digest of a request's method, path, account and body. Two attempts of a request
/// have the same digest on any router: request ids, deadlines and the position of a
/// resumed stream are not part of it.
///
/// At 128 bits, accidental collisions are negligible. The hash is not cryptographic:
/// it does not withstand a deliberate search for another request with the same
/// digest. The account is part of the input.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentDigest(u128);

impl ContentDigest {
    /// Computes the digest of a request. Requests without an account, on open routes,
    /// share one digest among all callers.
    pub fn of(method: &str, path: &str, account: Option<&str>, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [method.as_bytes(), path.as_bytes()] {
            hash_part(&mut hasher, part);
        }
        hasher.update(&[u8::from(account.is_some())]);
        hash_part(&mut hasher, account.unwrap_or_default().as_bytes());
        hash_part(&mut hasher, body);
        Self(hasher.digest128())
    }

    /// Returns the low half of the digest.
    pub(super) fn low_bits(self) -> u64 {
        self.0 as u64
    }
}

/// Hashes a part prefixed by its length, so that different lists of parts have
/// different input.
fn hash_part(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

/// Error for text that is neither a digest of 32 hexadecimal digits nor a part of prompts.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "{0:?} is no digest of a request (32 hexadecimal digits) or part of prompts, as logs and status print them"
)]
pub struct ParseDigestError(String);

impl ParseDigestError {
    pub(super) fn new(text: &str) -> Self {
        Self(text.to_string())
    }
}

impl FromStr for ContentDigest {
    type Err = ParseDigestError;

    fn from_str(s: &str) -> Result<Self, ParseDigestError> {
        const DIGITS: usize = 32;
        let is_well_formed = s.len() == DIGITS && s.bytes().all(|b| b.is_ascii_hexdigit());
        let digest = u128::from_str_radix(s, 16).ok().filter(|_| is_well_formed);
        digest.map(Self).ok_or_else(|| ParseDigestError::new(s))
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
