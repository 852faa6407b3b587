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

/// All parked renewals.
#[derive(Clone, Debug, Default)]
pub(super) struct ParkedRenewals {
    by_token: BTreeMap<u64, ParkedRenewal>,
    by_deadline: BTreeSet<(Instant, u64)>,
    by_vm: BTreeMap<VmName, BTreeSet<u64>>,
    /// Renewals that are ready to be answered but wait for the rate limit on state.
    throttled: BTreeSet<u64>,
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
        let vm = &parked.renewal.holder.vm;
        if let Some(tokens) = self.by_vm.get_mut(vm) {
            tokens.remove(&token);
            if tokens.is_empty() {
                self.by_vm.remove(vm);
            }
        }
        Some(parked)
    }

    /// Removes and returns the renewal with the earliest deadline, if that has passed.
    pub fn take_expired(&mut self, now: Instant) -> Option<ParkedRenewal> {
        let (deadline, token) = *self.by_deadline.first()?;
        (deadline <= now).then(|| self.take(token)).flatten()
    }

    /// Removes and returns the first of the renewals that wait for the rate limit on
    /// state.
    pub fn take_throttled(&mut self) -> Option<ParkedRenewal> {
        let token = *self.throttled.first()?;
        self.take(token)
    }

    /// Returns the tokens of the renewals of a VM.
    pub fn tokens_for_vm(&self, vm: &VmName) -> Vec<u64> {
        let tokens = self.by_vm.get(vm).into_iter().flatten();
        tokens.copied().collect()
    }

    /// Returns the tokens of all renewals, in order of arrival.
    pub fn tokens(&self) -> Vec<u64> {
        self.by_token.keys().copied().collect()
    }

    /// Removes and returns all renewals.
    pub fn take_all(&mut self) -> Vec<ParkedRenewal> {
        let all = std::mem::take(self);
        all.by_token.into_values().collect()
    }
}
