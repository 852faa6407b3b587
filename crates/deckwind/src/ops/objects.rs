//! Operations on templates, client accounts and targets.

use super::api::ControlApi;
use anyhow::{Context as _, Result, bail};
use deckwind_core::state::{
    Account, ApplyRequest, Change, RequestId, Revision, Target, TargetKind, Template, Workload,
};
use deckwind_wire::operator::AppliedAnswer;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::io::Read;
use std::path::Path;
use std::time::Duration;

/// Kind of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectKind {
    /// Template.
    Template,
    /// Client account.
    Account,
    /// Target.
    Target,
}

impl ObjectKind {
    /// Returns the name of the kind, which is also its subcommand.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Template => "template",
            ObjectKind::Account => "account",
            ObjectKind::Target => "target",
        }
    }

    /// Returns the change that retires an object.
    pub fn retire(self, name: &str) -> Change {
        match self {
            ObjectKind::Template => Change::RetireTemplate(name.into()),
            ObjectKind::Account => Change::RetireAccount(name.into()),
            ObjectKind::Target => Change::RetireTarget(name.into()),
        }
    }

    fn parse(self, text: &str) -> Result<Change> {
        Ok(match self {
            ObjectKind::Template => Change::Template(parse::<Template>(text)?),
            ObjectKind::Account => Change::Account(parse::<Account>(text)?),
            ObjectKind::Target => Change::Target(parse::<Target>(text)?),
        })
    }
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T> {
    Ok(jsonc_parser::parse_to_serde_value::<T>(
        text,
        &Default::default(),
    )?)
}

/// Reads an object from a file, or from standard input for `-`, as a change.
pub fn read_change(kind: ObjectKind, file: &Path) -> Result<Change> {
    let mut text = String::new();
    if file == Path::new("-") {
        std::io::stdin().read_to_string(&mut text)?;
    } else {
        text = std::fs::read_to_string(file)
            .with_context(|| format!("failed to read {}", file.display()))?;
    }
    kind.parse(&text)
        .with_context(|| format!("{} holds no {}", file.display(), kind.as_str()))
}

/// Options of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyOptions {
    /// Expected revision of the object; 0 if the object must be new.
    pub expected: Option<Revision>,
    /// Id of the request, which stays the same when the change is sent again.
    pub request_id: String,
    /// Maximum time to wait until the change is in force.
    pub wait: Duration,
}

/// Returns a new random request id.
pub fn new_request_id() -> String {
    format!("cli-{:032x}", rand::random::<u128>())
}

/// Sends a change and waits until it is in force, see [`ControlApi::apply`].
pub fn apply(api: &ControlApi, change: Change, options: &ApplyOptions) -> Result<AppliedAnswer> {
    let request = ApplyRequest {
        request_id: RequestId::from(options.request_id.as_str()),
        expected: options.expected,
        change,
    };
    api.apply(&request, options.wait)
}

/// Object in a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectRow {
    /// Name of the object.
    pub name: String,
    /// Revision of the object.
    pub revision: Revision,
    /// Summary of the object in one line.
    pub summary: String,
    /// Complete object.
    pub object: serde_json::Value,
}

fn object_row<T: Serialize>(
    name: &str,
    revision: Revision,
    summary: String,
    object: &T,
) -> Result<ObjectRow> {
    Ok(ObjectRow {
        name: name.to_string(),
        revision,
        summary,
        object: serde_json::to_value(object)?,
    })
}

/// Lists all objects of a kind.
pub fn list(api: &ControlApi, kind: ObjectKind) -> Result<Vec<ObjectRow>> {
    let view = api.configuration()?;
    match kind {
        ObjectKind::Template => view
            .templates
            .iter()
            .map(|(r, t)| object_row(t.name.as_str(), *r, template_summary(t), t))
            .collect(),
        ObjectKind::Account => view
            .accounts
            .iter()
            .map(|(r, a)| object_row(a.name.as_str(), *r, account_summary(a), a))
            .collect(),
        ObjectKind::Target => view
            .targets
            .iter()
            .map(|(r, t)| object_row(t.name.as_str(), *r, target_summary(t), t))
            .collect(),
    }
}

/// Returns one object.
///
/// # Errors
///
/// Fails if no object has this kind and name.
pub fn show(api: &ControlApi, kind: ObjectKind, name: &str) -> Result<ObjectRow> {
    let rows = list(api, kind)?;
    match rows.into_iter().find(|r| r.name == name) {
        Some(row) => Ok(row),
        None => bail!(
            "there is no {} {name}; see `deckwind {} list`",
            kind.as_str(),
            kind.as_str()
        ),
    }
}

fn template_summary(t: &Template) -> String {
    let description = match &t.workload {
        Workload::Chat { model, layers } => format!("chat {model} ({layers} layers)"),
        Workload::Service { timeout_ms } => format!("service ({timeout_ms}ms)"),
    };
    let repeatable = if t.repeatable { "" } else { ", not repeatable" };
    format!("{description}{repeatable}")
}

fn account_summary(a: &Account) -> String {
    format!(
        "{} requests/s, weight {}",
        a.limits.requests_per_s, a.limits.weight
    )
}

fn target_summary(t: &Target) -> String {
    let description = match &t.kind {
        TargetKind::Engine {
            model,
            version,
            layers,
            ..
        } => {
            format!("{model} {version} layers {}..{}", layers.first, layers.last)
        }
        TargetKind::Service { template } => format!("service {template}"),
    };
    format!(
        "{description} at {} in {} ({:?})",
        t.address, t.data_centre, t.status
    )
}
