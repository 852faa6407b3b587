//! Who is cut when callers that don't read fill a router's memory.
//!
//! Engines are read at their own pace, so what a slow caller leaves unread is the
//! router's to hold. Past a bound some callers are cut, so that the others go on;
//! new requests are refused only where that is not enough.

use crate::time::Instant;
use slotmap::{SlotMap, new_key_type};
use std::collections::BTreeMap;

new_key_type! {
    /// An answer that a router holds for its caller.
    pub struct AnswerKey;
}

/// Something for each answer that a router holds.
pub type AnswerArena<T> = SlotMap<AnswerKey, T>;

/// An answer whose caller is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Behind {
    /// Which.
    pub key: AnswerKey,
    /// The account that asks, as a number.
    pub account: u64,
    /// Bytes that wait.
    pub bytes: u64,
    /// Pieces that wait: of a stream about as many events.
    pub pieces: u32,
    /// When its caller last took something, or the first of what waits came.
    pub since: Instant,
}

/// Who goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Whoever has read nothing for longest.
    LongestUnread,
    /// Whoever has most bytes waiting.
    MostBytes,
}

/// How much a router may hold, bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldLimits {
    /// New requests are refused above this.
    pub refuse_above: u64,
    /// Callers are cut above this.
    pub cut_above: u64,
    /// Down to this.
    pub cut_to: u64,
    /// One account's callers are cut first above this.
    pub account: u64,
}

/// A caller this few pieces behind is not cut: a pause of its network, not a
/// caller that does not read. At the usual 20 to 40 events a second this is some
/// 0.2 to 0.4 s.
pub const FEW: u32 = 8;

impl HoldLimits {
    /// For a bound on all that is held.
    pub fn of(bound: u64) -> Self {
        Self {
            refuse_above: bound,
            cut_above: bound / 8 * 7,
            cut_to: bound / 4 * 3,
            account: bound / 2,
        }
    }

    /// Who is cut while `held` bytes are held in all, first to last.
    pub fn cut(&self, way: Way, held: u64, all: &[Behind]) -> Vec<AnswerKey> {
        if held <= self.cut_above {
            return Vec::new();
        }
        let mut by_account: BTreeMap<u64, u64> = BTreeMap::new();
        for b in all {
            *by_account.entry(b.account).or_default() += b.bytes;
        }
        let mut order: Vec<&Behind> = all.iter().filter(|b| b.pieces > FEW).collect();
        match way {
            Way::LongestUnread => order.sort_by_key(|b| (b.since, std::cmp::Reverse(b.bytes))),
            Way::MostBytes => order.sort_by_key(|b| (std::cmp::Reverse(b.bytes), b.since)),
        }
        let mut held = held;
        let mut cut = Vec::new();
        let mut take = |b: &Behind, only_large: bool| {
            let of_account = by_account.entry(b.account).or_default();
            let spared = only_large && *of_account <= self.account;
            if held <= self.cut_to || spared {
                return false;
            }
            held = held.saturating_sub(b.bytes);
            *of_account -= b.bytes;
            cut.push(b.key);
            true
        };
        // An account that has more than its part gives first, down to its part.
        order.retain(|b| !take(b, true));
        order.retain(|b| !take(b, false));
        cut
    }
}
