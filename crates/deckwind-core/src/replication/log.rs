//! The log in memory: a snapshot's position and the entries after it.

use super::ids::{Index, Position, Term};
use super::members::Members;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// A leader's first entry: commits what came before.
    Noop,
    /// A command of the state machine, encoded.
    Command(Vec<u8>),
    /// The members from here on.
    Members(Members),
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its place and term.
    pub at: Position,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Rough size in a message, bytes.
    pub fn size(&self) -> usize {
        const OVERHEAD: usize = 24;
        match &self.payload {
            Payload::Command(bytes) => OVERHEAD + bytes.len(),
            Payload::Members(m) => OVERHEAD + 16 * (m.voters.len() + m.learners.len()),
            Payload::Noop => OVERHEAD,
        }
    }
}

/// Entries after a snapshot, without gaps.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base: Position,
    entries: VecDeque<Entry>,
}

impl Log {
    /// A log whose snapshot ends at `base`.
    pub fn new(base: Position, entries: Vec<Entry>) -> Self {
        let entries = entries
            .into_iter()
            .filter(|e| e.at.index > base.index)
            .collect();
        Self { base, entries }
    }

    /// Where the snapshot ends.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Position of the last entry.
    pub fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |e| e.at)
    }

    /// Number of entries held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Term of the entry at `index`, if it is held or ends the snapshot.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.at.term)
    }

    /// The entry at `index`.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from `from` on, up to about `max_bytes`; at least one.
    pub fn slice(&self, from: Index, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut out = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.size();
            if bytes > max_bytes && !out.is_empty() {
                break;
            }
            out.push(entry.clone());
            index = index.next();
        }
        out
    }

    /// Entries `from..=through`.
    pub fn range(&self, from: Index, through: Index) -> impl Iterator<Item = &Entry> {
        (from.0..=through.0).filter_map(|i| self.get(Index(i)))
    }

    /// Appends one entry, which must be the next.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.at.index, self.last().index.next());
        self.entries.push_back(entry);
    }

    /// Drops the entries from `from` on.
    pub fn truncate_from(&mut self, from: Index) {
        while self.entries.back().is_some_and(|e| e.at.index >= from) {
            self.entries.pop_back();
        }
    }

    /// Drops the entries up to `through`, which a snapshot now holds.
    pub fn compact(&mut self, through: Index) {
        let Some(term) = self.term_at(through) else {
            return;
        };
        while self.entries.front().is_some_and(|e| e.at.index <= through) {
            self.entries.pop_front();
        }
        self.base = Position {
            term,
            index: through,
        };
    }

    /// Starts over after a snapshot that ends at `base`.
    pub fn reset(&mut self, base: Position) {
        self.entries.clear();
        self.base = base;
    }

    /// The last members written in the log, with their index.
    pub fn last_members(&self) -> Option<(Index, &Members)> {
        self.entries.iter().rev().find_map(|e| match &e.payload {
            Payload::Members(m) => Some((e.at.index, m)),
            _ => None,
        })
    }
}
