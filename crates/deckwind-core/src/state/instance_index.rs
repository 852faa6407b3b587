//! Index of instances by address and by the revision that wrote them.

use super::configuration::Versioned;
use super::instances::{Instance, InstanceId};
use super::names::Revision;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound;

/// Ids of all instances, including those that have left, by address and by revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct InstanceIndex {
    by_address: BTreeMap<SocketAddr, BTreeSet<InstanceId>>,
    by_revision: BTreeSet<(Revision, InstanceId)>,
    /// Instances that have left, by the revision in which they left.
    departed: BTreeSet<(Revision, InstanceId)>,
}

impl InstanceIndex {
    /// Builds the index of these instances.
    pub fn from_instances(all: &BTreeMap<InstanceId, Versioned<Instance>>) -> Self {
        let mut index = Self::default();
        all.iter().for_each(|(id, v)| index.insert(id, v));
        index
    }

    /// Adds an instance that is not in the index.
    pub fn insert(&mut self, id: &InstanceId, v: &Versioned<Instance>) {
        let key = (v.revision, id.clone());
        match &v.value {
            Some(instance) => {
                let ids = self.by_address.entry(instance.address).or_default();
                ids.insert(id.clone());
            }
            None => drop(self.departed.insert(key.clone())),
        }
        self.by_revision.insert(key);
    }

    /// Removes an instance; `v` must be the value that was inserted.
    pub fn remove(&mut self, id: &InstanceId, v: &Versioned<Instance>) {
        let key = (v.revision, id.clone());
        self.by_revision.remove(&key);
        let Some(instance) = &v.value else {
            self.departed.remove(&key);
            return;
        };
        if let Some(ids) = self.by_address.get_mut(&instance.address) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_address.remove(&instance.address);
            }
        }
    }

    /// Iterates over the instances at an address that have not left.
    pub fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = &InstanceId> {
        self.by_address.get(&address).into_iter().flatten()
    }

    /// Iterates over the instances written by `revision`.
    pub fn written_by(&self, revision: Revision) -> impl Iterator<Item = &InstanceId> {
        let first = (revision, InstanceId::new());
        let from_first = self.by_revision.range(first..);
        from_first
            .take_while(move |(r, _)| *r == revision)
            .map(|(_, id)| id)
    }

    /// Iterates over the instances written after `since`.
    pub fn written_after(&self, since: Revision) -> impl Iterator<Item = &InstanceId> {
        let first = Bound::Included((Revision(since.0.saturating_add(1)), InstanceId::new()));
        let later = self.by_revision.range((first, Bound::Unbounded));
        later.map(|(_, id)| id)
    }

    /// Returns the last revision that wrote an instance; zero if there is none.
    pub fn last_revision(&self) -> Revision {
        let last = self.by_revision.last();
        last.map_or(Revision::ZERO, |(revision, _)| *revision)
    }

    /// Returns the number of instances that have left.
    pub fn departed_count(&self) -> usize {
        self.departed.len()
    }

    /// Returns the revision of the first departure.
    pub fn first_departure(&self) -> Option<Revision> {
        self.departed.first().map(|(revision, _)| *revision)
    }

    /// Returns the instance that left first.
    pub fn oldest_departed(&self) -> Option<&InstanceId> {
        self.departed.first().map(|(_, id)| id)
    }
}
