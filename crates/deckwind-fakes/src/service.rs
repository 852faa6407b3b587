//! The fake plain service.

use deckwind_net::BoxFuture;
use deckwind_net::targets::{PlainService, ServiceAnswer, ServiceCall, TargetError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// What is wrong with a fake service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceFault {
    /// Nothing.
    None,
    /// It refuses without running.
    Refuses,
    /// The same, and it wants to be left alone for so many milliseconds.
    Rests(u64),
    /// It runs, and breaks the connection in place of an answer.
    RunsThenBreaks,
    /// It runs, and never answers.
    RunsThenFreezes,
}

#[derive(Debug)]
struct State {
    fault: ServiceFault,
    runs: BTreeMap<String, u32>,
    refused: u32,
}

/// A fake service that counts its runs by idempotency key; clones share it.
#[derive(Clone)]
pub struct FakeService {
    name: String,
    state: Arc<Mutex<State>>,
}

impl FakeService {
    /// A service in good health. Its answers carry `name`.
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

    /// Makes something go wrong, or right again.
    pub fn set_fault(&self, fault: ServiceFault) {
        self.lock().fault = fault;
    }

    /// Runs by idempotency key; calls without one count under the empty key.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.lock().runs.clone()
    }

    /// Calls that it refused.
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
