//! A model that is a hash: each layer mixes its input with what its cache holds.
//!
//! A lost, doubled or reordered position, or a layer that is left out, changes
//! every token after it, so the caller's text alone shows whether every layer
//! ran once for each token and in order.

use deckwind_core::session::{Activation, Token};
use deckwind_core::state::LayerRange;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    "shift", "carer", "visit", "dawn", "route", "draft", "swap", "client", "note", "gate", "card",
    "fare", "tram", "ferry", "refund", "reply",
];

/// State of one session's layers at one stage.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FakeModel {
    layers: Vec<u64>,
    first: u32,
}

fn mix(value: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), seed)
}

/// The number that an input stands for: a token's id, a word, or the output of
/// the stage before.
fn input_value(input: &Activation) -> u64 {
    xxh3_64_with_seed(input.0.as_bytes(), 0)
}

impl FakeModel {
    /// Empty caches for a range of layers.
    pub fn new(layers: LayerRange) -> Self {
        Self {
            layers: vec![0; layers.len() as usize],
            first: layers.first,
        }
    }

    /// Caches as an export wrote them.
    pub fn from_caches(layers: LayerRange, caches: Vec<u64>) -> Option<Self> {
        (caches.len() == layers.len() as usize).then_some(Self {
            layers: caches,
            first: layers.first,
        })
    }

    /// The caches, for an export.
    pub fn caches(&self) -> &[u64] {
        &self.layers
    }

    /// Runs one position through all layers.
    pub fn run(&mut self, input: &Activation) -> Activation {
        let mut h = match u64::from_str_radix(&input.0, 16) {
            Ok(v) if input.0.len() == 16 => v,
            _ => input_value(input),
        };
        for (i, cache) in self.layers.iter_mut().enumerate() {
            let layer = u64::from(self.first) + i as u64;
            *cache = mix(h, *cache);
            h = mix(h ^ *cache, layer);
        }
        Activation(format!("{h:016x}"))
    }

    /// The token that the last layer's output stands for.
    pub fn token(output: &Activation) -> Token {
        let h = input_value(output);
        let id = (h >> 32) as u32;
        let word = WORDS[(h % WORDS.len() as u64) as usize];
        Token {
            id,
            text: format!("{word} "),
            end: false,
        }
    }
}

/// What a fault-free model of `layers` layers answers to a prompt.
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
