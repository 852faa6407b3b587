//! Renewals whose answers wait, found by what each of them waits for.
//!
//! An event looks only at those that it concerns: with hundreds of routers one
//! renewal comes each fraction of a millisecond, and looking at all of them each
//! time costs routers times renewals.

use super::messages::Renewal;
use crate::state::VmName;
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// A renewal whose answer waits for a change.
#[derive(Clone, Debug)]
pub(super) struct Parked {
    pub token: u64,
    pub renewal: Renewal,
    /// When it came to the first replica that heard it.
    pub came: Instant,
    pub until: Instant,
    /// Slot of the replica that passed it on; nothing if the router asked here.
    pub relay: Option<u32>,
}

/// All of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Parking {
    by_token: BTreeMap<u64, Parked>,
    by_until: BTreeSet<(Instant, u64)>,
    by_vm: BTreeMap<VmName, BTreeSet<u64>>,
    /// Those that may be answered but for the pace of the state that they lack.
    held_back: BTreeSet<u64>,
}

impl Parking {
    /// Has one wait.
    pub fn park(&mut self, parked: Parked) {
        let token = parked.token;
        self.by_until.insert((parked.until, token));
        let vm = parked.renewal.holder.vm.clone();
        self.by_vm.entry(vm).or_default().insert(token);
        self.by_token.insert(token, parked);
    }

    /// Has one wait for its turn to be handed state.
    pub fn hold_back(&mut self, parked: Parked) {
        self.held_back.insert(parked.token);
        self.park(parked);
    }

    /// Takes one out.
    pub fn take(&mut self, token: u64) -> Option<Parked> {
        let parked = self.by_token.remove(&token)?;
        self.by_until.remove(&(parked.until, token));
        self.held_back.remove(&token);
        let vm = &parked.renewal.holder.vm;
        if let Some(tokens) = self.by_vm.get_mut(vm) {
            tokens.remove(&token);
            if tokens.is_empty() {
                self.by_vm.remove(vm);
            }
        }
        Some(parked)
    }

    /// Takes the one that has waited longest, if it has waited enough.
    pub fn take_over(&mut self, now: Instant) -> Option<Parked> {
        let (until, token) = *self.by_until.first()?;
        (until <= now).then(|| self.take(token)).flatten()
    }

    /// Takes the first of those that wait for their turn to be handed state.
    pub fn take_held_back(&mut self) -> Option<Parked> {
        let token = *self.held_back.first()?;
        self.take(token)
    }

    /// Those of one VM.
    pub fn of(&self, vm: &VmName) -> Vec<u64> {
        let tokens = self.by_vm.get(vm).into_iter().flatten();
        tokens.copied().collect()
    }

    /// All of them, in the order in which they came.
    pub fn tokens(&self) -> Vec<u64> {
        self.by_token.keys().copied().collect()
    }

    /// Takes all of them.
    pub fn take_all(&mut self) -> Vec<Parked> {
        let all = std::mem::take(self);
        all.by_token.into_values().collect()
    }
}
