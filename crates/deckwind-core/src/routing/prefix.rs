//! An index of the prompt prefixes that targets have probably cached.
//!
//! Engines publish their cache events late and with gaps, so the index is only an
//! estimate. The router's own dispatches add prefixes, cache events add or remove them,
//! and the oldest prefix is evicted first. A wrong entry costs one prefill and never
//! affects an answer.

use super::fleet::TargetKey;
use std::collections::{HashMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The hash of a prompt up to the end of one of its blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixHash(pub u64);

/// Returns the hashes of all prefixes of a prompt that end at a block boundary,
/// shortest first. Each hash also covers the preceding blocks.
pub fn prefix_hashes<'a>(blocks: impl IntoIterator<Item = &'a [u8]>) -> Vec<PrefixHash> {
    let mut seed = 0;
    blocks
        .into_iter()
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            PrefixHash(seed)
        })
        .collect()
}

/// Maximum number of targets kept per prefix.
const TARGETS_PER_PREFIX: usize = 8;

/// A bounded map from prefixes to the targets that probably have them cached.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    capacity: usize,
    holders: HashMap<PrefixHash, Vec<TargetKey>>,
    insertion_order: VecDeque<PrefixHash>,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            holders: HashMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    /// Returns the number of prefixes.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Records that a target has cached a prefix.
    pub fn insert(&mut self, prefix: PrefixHash, key: TargetKey) {
        if !self.holders.contains_key(&prefix) {
            self.evict_oldest_if_full();
            self.insertion_order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|k| *k != key);
        holders.push(key);
        if holders.len() > TARGETS_PER_PREFIX {
            holders.remove(0);
        }
    }

    fn evict_oldest_if_full(&mut self) {
        if self.holders.len() < self.capacity {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.holders.remove(&oldest);
        }
    }

    /// Records that a target no longer has a prefix cached.
    pub fn remove(&mut self, prefix: PrefixHash, key: TargetKey) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|k| *k != key);
        }
    }

    /// Returns the number of blocks that target `key` has cached, given the prefixes of
    /// a prompt, shortest first. The longest cached prefix decides.
    pub fn cached_blocks(&self, prefixes: &[PrefixHash], key: TargetKey) -> usize {
        let has = |p: &PrefixHash| self.holders.get(p).is_some_and(|h| h.contains(&key));
        prefixes.iter().rposition(has).map_or(0, |i| i + 1)
    }

    /// Returns the targets that have cached the longest indexed prefix of `prefixes`.
    pub fn holders(&self, prefixes: &[PrefixHash]) -> &[TargetKey] {
        prefixes
            .iter()
            .rev()
            .find_map(|p| self.holders.get(p))
            .map_or(&[], Vec::as_slice)
    }
}
