//! Renewals whose replies are deferred, indexed by what they wait for.
//!
//! An event scans only the renewals it concerns. With hundreds of routers, a renewal
//! arrives every fraction of a millisecond; scanning all parked renewals each time would
//! cost the number of routers times the number of renewals.

use super::messages::Renewal;
use crate::state::VmName;
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// A renewal whose reply is deferred until there is a change to send.
#[derive(Clone, Debug)]
pub(super) struct ParkedRenewal {
    pub token: u64,
    pub renewal: Box<Renewal>,
    /// Time at which the renewal arrived at the first replica that received it.
    pub received_at: Instant,
    pub deadline: Instant,
    /// Slot of the replica that forwarded the renewal; `None` if the router asked this replica.
    pub relayed_by: Option<u32>,
}

/// What a parked renewal is ready for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ReadyFor {
    /// To be answered if there is a change to send, and parked again otherwise.
    Check,
    /// To be answered with its state, for which it has waited, if the rate limit allows.
    State,
    /// To be answered.
    Answer,
}

/// All parked renewals.
#[derive(Clone, Debug, Default)]
pub(super) struct ParkedRenewals {
    by_token: BTreeMap<u64, ParkedRenewal>,
    by_deadline: BTreeSet<(Instant, u64)>,
    by_vm: BTreeMap<VmName, BTreeSet<u64>>,
    /// Renewals that are ready to be answered but wait for the rate limit on state.
    throttled: BTreeSet<u64>,
    /// Renewals that are ready to be checked or answered, in order of arrival. They are taken
    /// one by one, between other work.
    ready: BTreeMap<u64, ReadyFor>,
    /// Renewals of `throttled` that are ready, taken after all others: those leave without
    /// their state rather than wait for it.
    ready_throttled: BTreeSet<u64>,
}

impl ParkedRenewals {
    /// Parks a renewal.
    pub fn park(&mut self, parked: ParkedRenewal) {
        let token = parked.token;
        self.by_deadline.insert((parked.deadline, token));
        let vm = parked.renewal.holder.vm.clone();
        self.by_vm.entry(vm).or_default().insert(token);
        self.by_token.insert(token, parked);
    }

    /// Parks a renewal that waits for the rate limit on state.
    pub fn park_throttled(&mut self, parked: ParkedRenewal) {
        self.throttled.insert(parked.token);
        self.park(parked);
    }

    /// Removes and returns a renewal.
    pub fn take(&mut self, token: u64) -> Option<ParkedRenewal> {
        let parked = self.by_token.remove(&token)?;
        self.by_deadline.remove(&(parked.deadline, token));
        self.throttled.remove(&token);
        self.ready.remove(&token);
        self.ready_throttled.remove(&token);
        let vm = &parked.renewal.holder.vm;
        if let Some(tokens) = self.by_vm.get_mut(vm) {
            tokens.remove(&token);
            if tokens.is_empty() {
                self.by_vm.remove(vm);
            }
        }
        Some(parked)
    }

    /// Marks all renewals as ready.
    pub fn ready_all(&mut self, ready_for: ReadyFor) {
        for token in self.by_token.keys() {
            mark_ready(&mut self.ready, *token, ready_for);
        }
    }

    /// Marks the renewals whose deadline has passed as ready to be answered.
    pub fn ready_expired(&mut self, now: Instant) {
        let expired = self.by_deadline.iter().take_while(|(at, _)| *at <= now);
        for (_, token) in expired {
            mark_ready(&mut self.ready, *token, ReadyFor::Answer);
        }
    }

    /// Marks the renewals that wait for the rate limit on state as ready.
    pub fn ready_throttled(&mut self) {
        self.ready_throttled.clone_from(&self.throttled);
    }

    /// Marks the renewals that wait for the rate limit on state as not ready, since it is
    /// exhausted.
    pub fn defer_throttled(&mut self) {
        self.ready_throttled.clear();
    }

    /// Returns whether any renewal is ready.
    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty() || !self.ready_throttled.is_empty()
    }

    /// Removes and returns the first renewal that is ready.
    pub fn take_ready(&mut self) -> Option<(ParkedRenewal, ReadyFor)> {
        if let Some((token, ready_for)) = self.ready.pop_first() {
            return Some((self.take(token)?, ready_for));
        }
        let token = self.ready_throttled.pop_first()?;
        Some((self.take(token)?, ReadyFor::State))
    }

    /// Returns the tokens of the renewals of a VM.
    pub fn tokens_for_vm(&self, vm: &VmName) -> Vec<u64> {
        let tokens = self.by_vm.get(vm).into_iter().flatten();
        tokens.copied().collect()
    }

    /// Removes and returns all renewals.
    pub fn take_all(&mut self) -> Vec<ParkedRenewal> {
        let all = std::mem::take(self);
        all.by_token.into_values().collect()
    }
}

fn mark_ready(ready: &mut BTreeMap<u64, ReadyFor>, token: u64, ready_for: ReadyFor) {
    let marked = ready.entry(token).or_insert(ready_for);
    *marked = (*marked).max(ready_for);
}
