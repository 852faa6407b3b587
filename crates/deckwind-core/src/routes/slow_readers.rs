//! Choice of the callers to disconnect when slow readers fill a router's memory.
//!
//! Engines are read at their own pace, so the router buffers what a slow caller leaves
//! unread. Above a limit some callers are disconnected so that the others can continue. New
//! requests are refused only if that is not enough.

use crate::time::Instant;
use slotmap::{SlotMap, new_key_type};
use std::collections::BTreeMap;

new_key_type! {
    /// Key of an answer that a router buffers for its caller.
    pub struct AnswerKey;
}

/// Values stored for each buffered answer.
pub type AnswerArena<T> = SlotMap<AnswerKey, T>;

/// An answer whose caller is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaggingCaller {
    /// Key of the answer.
    pub key: AnswerKey,
    /// Number of the client account that made the request.
    pub account: u64,
    /// Buffered bytes.
    pub bytes: u64,
    /// Buffered chunks. For a stream this is roughly the number of events.
    pub chunks: u32,
    /// Time of the caller's last read, or of the first buffered chunk if that is later.
    pub since: Instant,
}

/// Order in which callers are disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectOrder {
    /// The caller that has read nothing for the longest time goes first.
    LongestUnread,
    /// The caller with the most buffered bytes goes first.
    MostBytes,
}

/// Buffer limits of a router, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// New requests are refused above this.
    pub refuse_above: u64,
    /// Callers are disconnected above this.
    pub cut_above: u64,
    /// Callers are disconnected until the total has fallen to this.
    pub cut_to: u64,
    /// Callers of an account that buffers more than this are disconnected first.
    pub account: u64,
}

/// Number of chunks up to which a slow caller is not disconnected, since this may be a
/// network pause rather than a caller that does not read. At the usual 20 to 40 events a
/// second this is some 0.2 to 0.4 s.
pub const MAX_SPARED_CHUNKS: u32 = 8;

impl BufferLimits {
    /// Returns the limits for a bound on all buffered bytes.
    pub fn of(bound: u64) -> Self {
        Self {
            refuse_above: bound,
            cut_above: bound / 8 * 7,
            cut_to: bound / 4 * 3,
            account: bound / 2,
        }
    }

    /// Returns the callers to disconnect while `held` bytes are buffered in total, in
    /// order.
    pub fn select(&self, way: DisconnectOrder, held: u64, all: &[LaggingCaller]) -> Vec<AnswerKey> {
        if held <= self.cut_above {
            return Vec::new();
        }
        let mut by_account: BTreeMap<u64, u64> = BTreeMap::new();
        for b in all {
            *by_account.entry(b.account).or_default() += b.bytes;
        }
        let mut order: Vec<&LaggingCaller> = all
            .iter()
            .filter(|b| b.chunks > MAX_SPARED_CHUNKS)
            .collect();
        match way {
            DisconnectOrder::LongestUnread => {
                order.sort_by_key(|b| (b.since, std::cmp::Reverse(b.bytes)))
            }
            DisconnectOrder::MostBytes => {
                order.sort_by_key(|b| (std::cmp::Reverse(b.bytes), b.since))
            }
        }
        let mut held = held;
        let mut cut = Vec::new();
        let mut take = |b: &LaggingCaller, only_large: bool| {
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
        // Accounts over their limit are reduced first, down to that limit.
        order.retain(|b| !take(b, true));
        order.retain(|b| !take(b, false));
        cut
    }
}
