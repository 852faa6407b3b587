//! Which prompt prefixes a target has probably cached.
//!
//! Engines publish their cache events late and with gaps, so the index is a
//! guess: own dispatches put prefixes in, events take them out or add others,
//! and what is old goes first. A wrong guess costs one prefill, never an answer.

use super::fleet::TargetKey;
use std::collections::{HashMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of a prompt up to the end of one of its blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixHash(pub u64);

/// Hashes of all prefixes of a prompt that end with a block, shortest first.
/// Each hash covers the blocks before it too.
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

/// Targets remembered for one prefix.
const TARGETS_PER_PREFIX: usize = 8;

/// A bounded map from prefixes to the targets that probably have them.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    max: usize,
    holders: HashMap<PrefixHash, Vec<TargetKey>>,
    order: VecDeque<PrefixHash>,
}

impl PrefixIndex {
    /// An index of at most `max` prefixes.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            holders: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Number of prefixes.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether it holds no prefix.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Notes that a target has a prefix.
    pub fn insert(&mut self, prefix: PrefixHash, key: TargetKey) {
        if !self.holders.contains_key(&prefix) {
            self.make_room();
            self.order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|k| *k != key);
        holders.push(key);
        if holders.len() > TARGETS_PER_PREFIX {
            holders.remove(0);
        }
    }

    fn make_room(&mut self) {
        if self.holders.len() < self.max {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.holders.remove(&oldest);
        }
    }

    /// Notes that a target no longer has a prefix.
    pub fn remove(&mut self, prefix: PrefixHash, key: TargetKey) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|k| *k != key);
        }
    }

    /// How many of the prefixes, shortest first, `key` has: the longest counts.
    pub fn cached_blocks(&self, prefixes: &[PrefixHash], key: TargetKey) -> usize {
        let has = |p: &PrefixHash| self.holders.get(p).is_some_and(|h| h.contains(&key));
        prefixes.iter().rposition(has).map_or(0, |i| i + 1)
    }

    /// The targets that have the longest of the prefixes.
    pub fn holders(&self, prefixes: &[PrefixHash]) -> &[TargetKey] {
        prefixes
            .iter()
            .rev()
            .find_map(|p| self.holders.get(p))
            .map_or(&[], Vec::as_slice)
    }
}
