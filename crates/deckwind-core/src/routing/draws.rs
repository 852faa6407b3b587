//! Random numbers that follow from a request's draw: the same draw gives the same
//! choice.

/// Random numbers in 0..1.
pub struct Draws {
    seed: u64,
    count: u64,
}

impl Draws {
    /// Those of one draw; `number` tells several rows of them apart.
    pub fn new(draw: u64, number: u64) -> Self {
        Self {
            seed: draw ^ number.rotate_right(8),
            count: 0,
        }
    }

    /// The next one.
    fn next(&mut self) -> f64 {
        self.count += 1;
        let bits = xxhash_rust::xxh3::xxh3_64_with_seed(&self.count.to_le_bytes(), self.seed);
        bits as f64 / u64::MAX as f64
    }

    /// Place of one of the weights, each as likely as it is large; none if there
    /// are no weights.
    pub fn in_proportion(&mut self, weights: impl Iterator<Item = f64> + Clone) -> Option<usize> {
        let total: f64 = weights.clone().sum();
        let mut left = self.next() * total;
        let mut last = None;
        for (i, weight) in weights.enumerate() {
            last = Some(i);
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
        last
    }
}
