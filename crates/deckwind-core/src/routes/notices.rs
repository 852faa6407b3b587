//! Notices about their own state that targets send with their answers, whatever the status.
//!
//! A target that refuses a request may ask this VM for a rest period, and a target that is
//! about to shut down says so in all its answers. Both come from the target itself, so they
//! outlast the request that received them, are stored by incarnation, and need no contact
//! with the control replicas.

use crate::rate::Rate;
use crate::state::{Incarnation, Instance};
use crate::time::Instant;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of addresses with notices, a hundred bytes each. More than there are
/// targets (3,300 in two years). The one whose last notice is oldest is removed.
const MAX_ADDRESSES: usize = 4_096;

/// Incarnations kept per address. The last notice of one that has ended may arrive after
/// the first of the next one.
const MAX_INCARNATIONS_PER_ADDRESS: usize = 2;

/// Time for which a shutdown notice of an unknown target is kept: ten times as long as
/// targets keep serving after sending it. Notices of known targets are never dropped.
const UNKNOWN_TARGET_TTL: Duration = Duration::from_secs(120);

/// Time for which a restarted target may answer before this VM has heard of its new
/// incarnation: two announcements and a renewal.
const MAX_NEWS_DELAY: Duration = Duration::from_secs(3);

/// Notices in the head of a target's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Time for which the target wants no requests from this VM.
    pub rest: Option<Duration>,
    /// Value of the rest field, if it can't be parsed.
    pub unreadable_rest: Option<String>,
    /// The target is about to shut down and accepts no new requests.
    pub leaves: bool,
    /// Request rate that the target accepts from all VMs together.
    pub limit: Option<Rate>,
    /// Value of the limit field, if it can't be parsed.
    pub unreadable_limit: Option<String>,
}

/// Changes caused by a notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeChange {
    /// New end of the rest period, if the notice extended it.
    pub rest_ends_at: Option<Instant>,
    /// Whether the target was not yet known to be shutting down.
    pub leaves: bool,
}

#[derive(Clone, Debug)]
struct StoredNotice {
    incarnation: Incarnation,
    rest_ends_at: Instant,
    leaves: bool,
    received_at: Instant,
}

/// Notices by address and incarnation.
#[derive(Clone, Debug, Default)]
pub struct TargetNotices {
    by_address: HashMap<SocketAddr, Vec<StoredNotice>>,
}

impl TargetNotices {
    /// Records the notice in a target's answer. A shorter rest period doesn't end a longer
    /// one, since each was requested independently.
    pub fn record(
        &mut self,
        now: Instant,
        address: SocketAddr,
        incarnation: &Incarnation,
        notice: &TargetNotice,
    ) -> NoticeChange {
        if notice.rest.is_none() && !notice.leaves {
            return NoticeChange::default();
        }
        let stored = self.stored_mut(now, address, incarnation);
        stored.received_at = now;
        let until = now + notice.rest.unwrap_or_default();
        let longer = until > stored.rest_ends_at && until > now;
        let leaves = notice.leaves && !stored.leaves;
        stored.rest_ends_at = stored.rest_ends_at.max(until);
        stored.leaves |= notice.leaves;
        NoticeChange {
            rest_ends_at: longer.then_some(until),
            leaves,
        }
    }

    /// Applies that a target has restarted. A rest period that was received shortly before
    /// may be the new incarnation's own, because requests name only the id: if the id is the
    /// same, it holds for the new incarnation as well.
    pub fn replace_incarnation(
        &mut self,
        now: Instant,
        address: SocketAddr,
        old: &Incarnation,
        new: &Incarnation,
    ) {
        let notices = self.by_address.get(&address).into_iter().flatten();
        let recent = notices.filter(|s| {
            s.incarnation == *old
                && s.rest_ends_at > now
                && now.since(s.received_at) < MAX_NEWS_DELAY
        });
        let rest_ends_at = recent.map(|s| s.rest_ends_at).max();
        let Some(rest_ends_at) = rest_ends_at.filter(|_| old.id == new.id) else {
            return;
        };
        let stored = self.stored_mut(now, address, new);
        stored.rest_ends_at = stored.rest_ends_at.max(rest_ends_at);
    }

    fn stored_mut(
        &mut self,
        now: Instant,
        address: SocketAddr,
        incarnation: &Incarnation,
    ) -> &mut StoredNotice {
        if self.by_address.len() >= MAX_ADDRESSES && !self.by_address.contains_key(&address) {
            self.forget_oldest();
        }
        let notices = self.by_address.entry(address).or_default();
        if !notices.iter().any(|s| s.incarnation == *incarnation) {
            notices.truncate(MAX_INCARNATIONS_PER_ADDRESS - 1);
            let stored = StoredNotice {
                incarnation: incarnation.clone(),
                rest_ends_at: Instant::ZERO,
                leaves: false,
                received_at: now,
            };
            notices.insert(0, stored);
        }
        let known = notices.iter_mut().find(|s| s.incarnation == *incarnation);
        known.expect("an entry was inserted above")
    }

    fn forget_oldest(&mut self) {
        let received_at = |notices: &[StoredNotice]| notices.iter().map(|s| s.received_at).max();
        let oldest = self.by_address.iter().min_by_key(|(_, l)| received_at(l));
        if let Some(address) = oldest.map(|(a, _)| *a) {
            self.by_address.remove(&address);
        }
    }

    fn stored(&self, instance: &Instance) -> Option<&StoredNotice> {
        let notices = self.by_address.get(&instance.address)?;
        let is_same = |s: &&StoredNotice| {
            s.incarnation.id == instance.id && s.incarnation.born == instance.born
        };
        notices.iter().find(is_same)
    }

    /// Returns the end of the rest period, or `None` if the target does not rest at `now`.
    pub fn rest_ends_at(&self, now: Instant, instance: &Instance) -> Option<Instant> {
        let until = self.stored(instance)?.rest_ends_at;
        (until > now).then_some(until)
    }

    /// Whether this incarnation has announced its shutdown.
    pub fn leaves(&self, instance: &Instance) -> bool {
        self.stored(instance).is_some_and(|s| s.leaves)
    }

    /// Whether this incarnation accepts no new requests at `now`.
    pub fn is_blocked(&self, now: Instant, address: SocketAddr, incarnation: &Incarnation) -> bool {
        let notices = self.by_address.get(&address);
        let mut notices = notices.into_iter().flatten();
        notices.any(|s| s.incarnation == *incarnation && (s.leaves || s.rest_ends_at > now))
    }

    /// The number of targets that are in a rest period at `now`.
    pub fn resting(&self, now: Instant) -> usize {
        let rests = |notices: &&Vec<StoredNotice>| notices.iter().any(|s| s.rest_ends_at > now);
        self.by_address.values().filter(rests).count()
    }

    /// Removes rest periods that are over, and notices of targets that are no longer known.
    pub fn forget(&mut self, now: Instant, known: impl Fn(&SocketAddr) -> bool) {
        self.by_address.retain(|address, notices| {
            let lasts =
                |s: &StoredNotice| known(address) || now.since(s.received_at) < UNKNOWN_TARGET_TTL;
            notices.retain(|s| s.rest_ends_at > now || (s.leaves && lasts(s)));
            !notices.is_empty()
        });
    }
}
