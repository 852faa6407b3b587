//! Traits of requests: what requests that crash targets may have in common.

use super::content::{ContentDigest, ParseDigestError};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_128;

/// Maximum number of parts of one prompt that count as traits. Prompts of conversations have
/// some ten.
pub const MAX_PARTS: usize = 32;

/// Prefixes of the text forms of traits that are no whole content.
const ACCOUNT_PART_PREFIX: &str = "account-part-";
const PART_PREFIX: &str = "part-";

/// Name of a part of a prompt. Requests whose prompts share the part name it alike.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId(pub u128);

impl PartId {
    /// Returns the name of a part that is known by its bytes only.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(xxh3_128(bytes))
    }

    /// Returns the name of the part as one account uses it.
    fn of_account(self, account: Option<&str>) -> Self {
        let mut bytes = self.0.to_le_bytes().to_vec();
        bytes.push(u8::from(account.is_some()));
        bytes.extend_from_slice(account.unwrap_or_default().as_bytes());
        Self::of_bytes(&bytes)
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl fmt::Debug for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Something that several requests may share, and that may be what targets crash on.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RequestTrait {
    /// The whole request.
    Content(ContentDigest),
    /// A part of the prompt in requests of one account. An account that names the part of
    /// another one is judged by this trait first.
    AccountPart(PartId),
    /// A part of the prompt, whichever account names it.
    Part(PartId),
}

impl fmt::Display for RequestTrait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(content) => content.fmt(f),
            Self::AccountPart(part) => write!(f, "{ACCOUNT_PART_PREFIX}{part}"),
            Self::Part(part) => write!(f, "{PART_PREFIX}{part}"),
        }
    }
}

impl fmt::Debug for RequestTrait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for RequestTrait {
    type Err = ParseDigestError;

    fn from_str(s: &str) -> Result<Self, ParseDigestError> {
        let part = |hex: &str| {
            let is_hex = !hex.is_empty() && hex.bytes().all(|b| b.is_ascii_hexdigit());
            let id = u128::from_str_radix(hex, 16).ok().filter(|_| is_hex);
            id.map(PartId).ok_or_else(|| ParseDigestError::new(s))
        };
        if let Some(hex) = s.strip_prefix(ACCOUNT_PART_PREFIX) {
            return part(hex).map(Self::AccountPart);
        }
        match s.strip_prefix(PART_PREFIX) {
            Some(hex) => part(hex).map(Self::Part),
            None => s.parse().map(Self::Content),
        }
    }
}

/// All traits of one request. Clones share the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTraits {
    content: ContentDigest,
    shared_parts: Arc<[PartId]>,
    all: Arc<[RequestTrait]>,
}

impl RequestTraits {
    /// Returns the traits of a request with this content, sent by `account`, whose prompt
    /// has these parts in this order. The last part belongs to the request itself, and the
    /// content stands for it. Of more than [`MAX_PARTS`] others the first ones count.
    pub fn new(content: ContentDigest, account: Option<&str>, parts: &[PartId]) -> Self {
        let others = parts.split_last().map_or(&[][..], |(_, others)| others);
        let mut shared_parts: Vec<PartId> = others.iter().take(MAX_PARTS).copied().collect();
        shared_parts.sort_unstable();
        shared_parts.dedup();
        let of_account = |part: &PartId| RequestTrait::AccountPart(part.of_account(account));
        let all = std::iter::once(RequestTrait::Content(content))
            .chain(shared_parts.iter().map(of_account))
            .chain(shared_parts.iter().copied().map(RequestTrait::Part));
        Self {
            content,
            all: all.collect(),
            shared_parts: shared_parts.into(),
        }
    }

    /// Returns the digest of the content.
    pub fn content(&self) -> ContentDigest {
        self.content
    }

    /// Returns the parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> &[PartId] {
        &self.shared_parts
    }

    /// Returns all traits.
    pub fn all(&self) -> &[RequestTrait] {
        &self.all
    }

    /// Returns whether the request has all of these traits.
    pub fn contains_all(&self, traits: &[RequestTrait]) -> bool {
        traits.iter().all(|t| self.all.contains(t))
    }
}

impl From<ContentDigest> for RequestTraits {
    fn from(content: ContentDigest) -> Self {
        Self::new(content, None, &[])
    }
}
