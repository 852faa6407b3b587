//! The trial that a request uses, if its content is quarantined.

use crate::router::shared::RouterShared;
use deckwind_core::routes::TrialUse;
use deckwind_core::state::RequestTraits;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a request uses a trial. Its owner returns the trial if the request was not sent.
#[derive(Default)]
pub struct TrialHold(AtomicBool);

impl TrialHold {
    /// Takes the trial of the request's content, if it is free.
    pub fn take(&self, shared: &RouterShared, request: &RequestTraits) -> bool {
        let poison_requests = &shared.routes.poison_requests;
        let is_taken = poison_requests.change_trial(request, TrialUse::Free, TrialUse::Taken);
        self.0.store(is_taken, Ordering::Relaxed);
        is_taken
    }

    /// Whether the request uses a trial.
    pub fn is_held(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Begins the run of the request. Returns whether it is that of a trial.
    pub fn begin_run(&self, shared: &RouterShared, request: &RequestTraits) -> bool {
        let poison_requests = &shared.routes.poison_requests;
        self.is_held() && poison_requests.change_trial(request, TrialUse::Taken, TrialUse::Run)
    }

    /// Returns a trial under which the request was not sent.
    pub fn release(&self, shared: &RouterShared, request: &RequestTraits) {
        if self.0.swap(false, Ordering::Relaxed) {
            let poison_requests = &shared.routes.poison_requests;
            poison_requests.change_trial(request, TrialUse::Taken, TrialUse::Free);
        }
    }
}
