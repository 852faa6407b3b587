//! In-memory log: the position of the snapshot and the entries after it.

use super::ids::{Index, Position, Term};
use super::members::Members;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader's term. Committing it commits all entries before it.
    Noop,
    /// Encoded command for the state machine.
    Command(Vec<u8>),
    /// Members of the cluster from this entry on.
    Members(Members),
}

/// Entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Index and term of the entry.
    pub at: Position,
    /// Content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate size of the entry in a message, in bytes.
    pub fn size(&self) -> usize {
        const OVERHEAD: usize = 24;
        match &self.payload {
            Payload::Command(bytes) => OVERHEAD + bytes.len(),
            Payload::Members(m) => OVERHEAD + 16 * (m.voters.len() + m.learners.len()),
            Payload::Noop => OVERHEAD,
        }
    }
}

/// Contiguous entries after a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base: Position,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Creates a log whose snapshot ends at `base`. Entries up to `base` are left out.
    pub fn new(base: Position, entries: Vec<Entry>) -> Self {
        let entries = entries
            .into_iter()
            .filter(|e| e.at.index > base.index)
            .collect();
        Self { base, entries }
    }

    /// Returns the position at which the snapshot ends.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Returns the position of the last entry, or of the end of the snapshot if there is
    /// none.
    pub fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |e| e.at)
    }

    /// Returns the number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries after the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the term of the entry at `index`, if the log holds it or the snapshot ends
    /// with it.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.at.term)
    }

    /// Returns the entry at `index`, if the log holds it.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `from` on, up to `max_bytes` in total but at least one.
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

    /// Returns the entries `from..=through`.
    pub fn range(&self, from: Index, through: Index) -> impl Iterator<Item = &Entry> {
        (from.0..=through.0).filter_map(|i| self.get(Index(i)))
    }

    /// Appends an entry, which must have the next index.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.at.index, self.last().index.next());
        self.entries.push_back(entry);
    }

    /// Removes the entries from `from` on.
    pub fn truncate_from(&mut self, from: Index) {
        while self.entries.back().is_some_and(|e| e.at.index >= from) {
            self.entries.pop_back();
        }
    }

    /// Removes the entries up to `through`, which a snapshot now covers.
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

    /// Replaces the log by an empty one after a snapshot that ends at `base`.
    pub fn reset(&mut self, base: Position) {
        self.entries.clear();
        self.base = base;
    }

    /// Returns the members in the latest membership entry of the log, with its index.
    pub fn last_members(&self) -> Option<(Index, &Members)> {
        self.entries.iter().rev().find_map(|e| match &e.payload {
            Payload::Members(m) => Some((e.at.index, m)),
            _ => None,
        })
    }
}
