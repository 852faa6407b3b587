//! Fake plain service that counts its runs.

use deckwind_net::BoxFuture;
use deckwind_net::targets::{PlainService, ServiceAnswer, ServiceCall, TargetError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The fault that a fake service injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceFault {
    /// No fault.
    None,
    /// Refuses every call without running it.
    Refuses,
    /// Refuses every call without running it, and asks for a rest period of this
    /// many milliseconds.
    Rests(u64),
    /// Runs the call, then closes the connection instead of answering.
    RunsThenBreaks,
    /// Runs the call and never answers.
    RunsThenFreezes,
}

#[derive(Debug)]
struct State {
    fault: ServiceFault,
    runs: BTreeMap<String, u32>,
    refused: u32,
}

/// A fake service that counts its runs by idempotency key. Clones share its
/// state.
#[derive(Clone)]
pub struct FakeService {
    name: String,
    state: Arc<Mutex<State>>,
}

impl FakeService {
    /// Creates a service without a fault. Its answers contain `name`.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_string(),
            state: Arc::new(Mutex::new(State {
                fault: ServiceFault::None,
                runs: BTreeMap::new(),
                refused: 0,
            })),
        }
    }

    /// Sets or clears the injected fault.
    pub fn set_fault(&self, fault: ServiceFault) {
        self.lock().fault = fault;
    }

    /// Returns the number of runs by idempotency key; calls without a key are
    /// counted under the empty string.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.lock().runs.clone()
    }

    /// Returns the number of calls that were refused.
    pub fn refused(&self) -> u32 {
        self.lock().refused
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    async fn run(&self, call: ServiceCall) -> Result<ServiceAnswer, TargetError> {
        let fault = self.lock().fault;
        let refusal = match fault {
            ServiceFault::Refuses => Some(TargetError::Refused("refuses".to_string())),
            ServiceFault::Rests(ms) => Some(TargetError::Rests(Duration::from_millis(ms))),
            _ => None,
        };
        if let Some(refusal) = refusal {
            self.lock().refused += 1;
            return Err(refusal);
        }
        let key = call.idempotency_key.clone().unwrap_or_default();
        *self.lock().runs.entry(key).or_insert(0) += 1;
        match fault {
            ServiceFault::RunsThenBreaks => Err(TargetError::Broken("broke".to_string())),
            ServiceFault::RunsThenFreezes => std::future::pending().await,
            _ => Ok(self.answer(&call)),
        }
    }

    fn answer(&self, call: &ServiceCall) -> ServiceAnswer {
        let body = serde_json::json!({
            "service": self.name,
            "path": call.path,
            "request": String::from_utf8_lossy(&call.body),
        });
        ServiceAnswer {
            status: 200,
            content_type: "application/json".to_string(),
            body: body.to_string().into_bytes(),
        }
    }
}

impl PlainService for FakeService {
    fn call(&self, call: ServiceCall) -> BoxFuture<'_, Result<ServiceAnswer, TargetError>> {
        let timeout = call.timeout;
        Box::pin(async move {
            tokio::time::timeout(timeout, self.run(call))
                .await
                .map_err(|_| TargetError::Late(timeout))?
        })
    }
}
