//! A fake model made of hashes: each layer mixes its input with the content of
//! its cache.
//!
//! A lost, duplicated or reordered position, or a skipped layer, changes every
//! later token. The text that the caller receives is therefore enough to check
//! that every layer ran once for each token and in order.

use deckwind_core::session::{Activation, Token};
use deckwind_core::state::LayerRange;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    "shift", "carer", "visit", "dawn", "route", "draft", "swap", "client", "note", "gate", "card",
    "fare", "tram", "ferry", "refund", "reply",
];

/// Caches of the layers that one stage runs for one session.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FakeModel {
    layers: Vec<u64>,
    first: u32,
}

fn mix(value: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), seed)
}

/// Returns the hash of an input: a token ID, a word, or the output of the
/// previous stage.
fn hash_input(input: &Activation) -> u64 {
    xxh3_64_with_seed(input.0.as_bytes(), 0)
}

impl FakeModel {
    /// Creates empty caches for a range of layers.
    pub fn new(layers: LayerRange) -> Self {
        Self {
            layers: vec![0; layers.len() as usize],
            first: layers.first,
        }
    }

    /// Restores exported caches.
    ///
    /// Returns `None` unless there is one cache for each layer.
    pub fn from_caches(layers: LayerRange, caches: Vec<u64>) -> Option<Self> {
        (caches.len() == layers.len() as usize).then_some(Self {
            layers: caches,
            first: layers.first,
        })
    }

    /// Returns the caches of all layers, for an export.
    pub fn caches(&self) -> &[u64] {
        &self.layers
    }

    /// Runs one position through all layers and returns the output of the last.
    pub fn run(&mut self, input: &Activation) -> Activation {
        let mut hash = match u64::from_str_radix(&input.0, 16) {
            Ok(v) if input.0.len() == 16 => v,
            _ => hash_input(input),
        };
        for (i, cache) in self.layers.iter_mut().enumerate() {
            let layer = u64::from(self.first) + i as u64;
            *cache = mix(hash, *cache);
            hash = mix(hash ^ *cache, layer);
        }
        Activation(format!("{hash:016x}"))
    }

    /// Returns the token that an output of the last layer maps to.
    pub fn token(output: &Activation) -> Token {
        let hash = hash_input(output);
        let id = (hash >> 32) as u32;
        let word = WORDS[(hash % WORDS.len() as u64) as usize];
        Token {
            id,
            text: format!("{word} "),
            end: false,
        }
    }
}

/// Returns the text that a model of `layers` layers generates for a prompt if
/// nothing fails.
///
/// # Panics
///
/// Panics if the prompt is empty and `tokens` isn't 0.
pub fn expected_answer(layers: u32, prompt: &[Activation], tokens: usize) -> String {
    let mut model = FakeModel::new(LayerRange::new(0, layers));
    let mut inputs = prompt.to_vec();
    let mut text = String::new();
    for _ in 0..tokens {
        let outputs: Vec<Activation> = inputs.iter().map(|i| model.run(i)).collect();
        let token = FakeModel::token(outputs.last().expect("a prompt is not empty"));
        text.push_str(&token.text);
        inputs = vec![Activation(token.id.to_string())];
    }
    text
}
