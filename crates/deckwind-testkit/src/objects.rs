//! Templates, accounts and targets for tests.

use deckwind_core::state::{
    Account, AccountLimits, LayerRange, Objective, Parameters, Target, TargetKind, TargetStatus,
    Template, Workload,
};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;

/// Model of all fake engines.
pub const MODEL: &str = "fake-model";

/// Version of that model.
pub const VERSION: &str = "1";

/// A chat template over a model of `layers` layers.
pub fn chat_template(name: &str, layers: u32) -> Template {
    Template {
        name: name.into(),
        workload: Workload::Chat {
            model: MODEL.to_string(),
            layers,
        },
        parameters: Parameters {
            model_version: Some(VERSION.to_string()),
            ..Parameters::default()
        },
        repeatable: true,
        objective: Objective::default(),
        deadline_ms: 30_000,
        serve_stale_ms: 0,
    }
}

/// A template of a plain service.
pub fn service_template(name: &str, repeatable: bool) -> Template {
    Template {
        name: name.into(),
        workload: Workload::Service { timeout_ms: 2_000 },
        parameters: Parameters::default(),
        repeatable,
        objective: Objective {
            share: 0.99,
            within_ms: 200,
        },
        deadline_ms: 2_000,
        serve_stale_ms: 0,
    }
}

/// An account whose bearer key is `key`.
pub fn account(name: &str, key: &str) -> Account {
    let digest = Sha256::digest(key.as_bytes());
    Account {
        name: name.into(),
        key_sha256: digest.iter().map(|b| format!("{b:02x}")).collect(),
        limits: AccountLimits::default(),
        parameters: Default::default(),
    }
}

/// An engine that holds layers `first..last`.
pub fn engine_target(name: &str, address: SocketAddr, first: u32, last: u32) -> Target {
    Target {
        name: name.into(),
        address,
        data_centre: "recife-a".into(),
        kind: TargetKind::Engine {
            model: MODEL.to_string(),
            version: VERSION.to_string(),
            adapters: Vec::new(),
            layers: LayerRange::new(first, last),
            accelerator: "fake".to_string(),
        },
        status: TargetStatus::Active,
        checks_fences: true,
        slots: 1_024,
    }
}

/// A plain service that serves a template.
pub fn service_target(name: &str, address: SocketAddr, template: &str) -> Target {
    Target {
        name: name.into(),
        address,
        data_centre: "recife-a".into(),
        kind: TargetKind::Service {
            template: template.into(),
        },
        status: TargetStatus::Active,
        checks_fences: false,
        slots: 1_024,
    }
}
