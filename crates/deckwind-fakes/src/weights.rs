//! Fake weight store with a limited read budget.

use deckwind_net::BoxFuture;
use deckwind_net::targets::{TargetError, WeightChunk, WeightStore};
use std::sync::{Arc, Mutex};

/// A store of generated weights with a budget of bytes that may be read.
/// Clones share the budget.
#[derive(Clone)]
pub struct FakeWeightStore {
    total: u64,
    budget: Arc<Mutex<u64>>,
}

impl FakeWeightStore {
    /// Creates a store in which every model has `total` bytes and `budget` bytes
    /// may be read until [`FakeWeightStore::refill`] is called.
    pub fn new(total: u64, budget: u64) -> Self {
        Self {
            total,
            budget: Arc::new(Mutex::new(budget)),
        }
    }

    /// Adds `bytes` to the read budget.
    pub fn refill(&self, bytes: u64) {
        *self.budget.lock().expect("no holder panics") += bytes;
    }

    fn read_range(&self, offset: u64, len: u64) -> Result<WeightChunk, TargetError> {
        if len == 0 {
            return Err(TargetError::NotSent(
                "a part needs at least one byte".to_string(),
            ));
        }
        if offset >= self.total {
            return Err(TargetError::Refused("past the end".to_string()));
        }
        let len = len.min(self.total - offset);
        let mut budget = self.budget.lock().expect("no holder panics");
        if *budget < len {
            return Err(TargetError::Refused("over the rate".to_string()));
        }
        *budget -= len;
        Ok(WeightChunk {
            bytes: (offset..offset + len).map(|i| i as u8).collect(),
            total: self.total,
        })
    }
}

impl WeightStore for FakeWeightStore {
    fn read(
        &self,
        _: String,
        _: String,
        offset: u64,
        len: u64,
    ) -> BoxFuture<'_, Result<WeightChunk, TargetError>> {
        Box::pin(async move { self.read_range(offset, len) })
    }
}
