//! Finds instances by address and by the revision that wrote them.

use super::configuration::Versioned;
use super::instances::{Instance, InstanceId};
use super::names::Revision;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound;

/// Ids of all instances, also of those that have left, by what they are asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct InstanceIndex {
    by_address: BTreeMap<SocketAddr, BTreeSet<InstanceId>>,
    by_revision: BTreeSet<(Revision, InstanceId)>,
    /// Those that have left.
    left: BTreeSet<(Revision, InstanceId)>,
}

impl InstanceIndex {
    /// Of these.
    pub fn of(all: &BTreeMap<InstanceId, Versioned<Instance>>) -> Self {
        let mut index = Self::default();
        all.iter().for_each(|(id, v)| index.insert(id, v));
        index
    }

    /// Notes one that is not in it.
    pub fn insert(&mut self, id: &InstanceId, v: &Versioned<Instance>) {
        let key = (v.revision, id.clone());
        match &v.value {
            Some(instance) => {
                let there = self.by_address.entry(instance.address).or_default();
                there.insert(id.clone());
            }
            None => drop(self.left.insert(key.clone())),
        }
        self.by_revision.insert(key);
    }

    /// Takes one out, as it was inserted.
    pub fn remove(&mut self, id: &InstanceId, v: &Versioned<Instance>) {
        let key = (v.revision, id.clone());
        self.by_revision.remove(&key);
        let Some(instance) = &v.value else {
            self.left.remove(&key);
            return;
        };
        if let Some(there) = self.by_address.get_mut(&instance.address) {
            there.remove(id);
            if there.is_empty() {
                self.by_address.remove(&instance.address);
            }
        }
    }

    /// Those at an address that have not left.
    pub fn at(&self, address: SocketAddr) -> impl Iterator<Item = &InstanceId> {
        self.by_address.get(&address).into_iter().flatten()
    }

    /// Those that this revision wrote.
    pub fn at_revision(&self, revision: Revision) -> impl Iterator<Item = &InstanceId> {
        let first = (revision, InstanceId::new());
        let from = self.by_revision.range(first..);
        from.take_while(move |(r, _)| *r == revision)
            .map(|(_, id)| id)
    }

    /// Those that were written later.
    pub fn since(&self, since: Revision) -> impl Iterator<Item = &InstanceId> {
        let first = Bound::Included((Revision(since.0.saturating_add(1)), InstanceId::new()));
        let later = self.by_revision.range((first, Bound::Unbounded));
        later.map(|(_, id)| id)
    }

    /// The revision that was written last; zero if none was.
    pub fn last(&self) -> Revision {
        let last = self.by_revision.last();
        last.map_or(Revision::ZERO, |(revision, _)| *revision)
    }

    /// How many have left.
    pub fn left(&self) -> usize {
        self.left.len()
    }

    /// The one that left first.
    pub fn oldest_left(&self) -> Option<&InstanceId> {
        self.left.first().map(|(_, id)| id)
    }
}
