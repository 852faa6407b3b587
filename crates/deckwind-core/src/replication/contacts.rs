//! Members that a replica knows only because they send to its slot.
//!
//! Members know a replica that lost its disk by its earlier identity and go on sending to it.
//! Such a message is not for the replica that runs at the slot now: it changes no state, and
//! is not answered. But its sender is a member, whom the replica can ask to join when its
//! seeds are gone, or as empty as itself.

use crate::time::Instant;
use std::collections::BTreeMap;

/// Maximum number of contacts; more than the members of a cluster, so that those that still
/// send are kept.
const MAX_CONTACTS: usize = 16;

/// Slots of the members that have sent to an earlier identity at this slot. They are kept
/// until the process ends, as nobody sends to that identity any more once it is removed.
#[derive(Clone, Debug, Default)]
pub(super) struct Contacts {
    last_message: BTreeMap<u32, Instant>,
}

impl Contacts {
    /// Records a message. If there are too many contacts, the one that has been silent longest
    /// is forgotten.
    pub fn record(&mut self, now: Instant, slot: u32) {
        self.last_message.insert(slot, now);
        if self.last_message.len() > MAX_CONTACTS {
            let oldest = self.last_message.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(slot, _)| *slot);
            self.last_message.retain(|slot, _| Some(*slot) != oldest);
        }
    }

    /// Returns the slots of the contacts.
    pub fn slots(&self) -> impl Iterator<Item = u32> + '_ {
        self.last_message.keys().copied()
    }
}
