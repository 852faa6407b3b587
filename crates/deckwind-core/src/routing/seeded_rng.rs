//! Deterministic random numbers derived from a request's seed: the same seed leads to
//! the same selection.

/// A generator of deterministic random numbers in `0..=1`.
pub struct SeededRng {
    seed: u64,
    counter: u64,
}

impl SeededRng {
    /// Creates a generator for `request_seed`. Different values of `stream` give
    /// independent sequences.
    pub fn new(request_seed: u64, stream: u64) -> Self {
        Self {
            seed: request_seed ^ stream.rotate_right(8),
            counter: 0,
        }
    }

    /// Returns the next number, as an integer.
    pub fn next_u64(&mut self) -> u64 {
        self.counter += 1;
        xxhash_rust::xxh3::xxh3_64_with_seed(&self.counter.to_le_bytes(), self.seed)
    }

    /// Returns the next number.
    fn next_f64(&mut self) -> f64 {
        self.next_u64() as f64 / u64::MAX as f64
    }

    /// Returns the index of one of the weights, chosen with a probability proportional
    /// to the weight, or `None` if there are no weights.
    pub fn weighted_index(&mut self, weights: impl Iterator<Item = f64> + Clone) -> Option<usize> {
        let total: f64 = weights.clone().sum();
        let mut remaining = self.next_f64() * total;
        let mut last = None;
        for (i, weight) in weights.enumerate() {
            last = Some(i);
            remaining -= weight;
            if remaining < 0.0 {
                break;
            }
        }
        last
    }
}
