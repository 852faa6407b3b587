//! Templates, client accounts and targets.

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

/// A kind of object.
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
    /// Its word on the command line.
    pub fn word(self) -> &'static str {
        match self {
            ObjectKind::Template => "template",
            ObjectKind::Account => "account",
            ObjectKind::Target => "target",
        }
    }

    /// The change that takes an object out of use.
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

/// Reads an object's file, or standard input for `-`, as a change.
pub fn read_change(kind: ObjectKind, file: &Path) -> Result<Change> {
    let mut text = String::new();
    if file == Path::new("-") {
        std::io::stdin().read_to_string(&mut text)?;
    } else {
        text = std::fs::read_to_string(file)
            .with_context(|| format!("{} can't be read", file.display()))?;
    }
    kind.parse(&text)
        .with_context(|| format!("{} holds no {}", file.display(), kind.word()))
}

/// How a change is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyOptions {
    /// Revision that the change builds on.
    pub expected: Option<Revision>,
    /// The same on a resend.
    pub request_id: String,
    /// How long to wait for it to be in force.
    pub wait: Duration,
}

/// A request id that was not used before.
pub fn new_request_id() -> String {
    format!("cli-{:032x}", rand::random::<u128>())
}

/// Sends a change.
pub fn apply(api: &ControlApi, change: Change, options: &ApplyOptions) -> Result<AppliedAnswer> {
    let request = ApplyRequest {
        request_id: RequestId::from(options.request_id.as_str()),
        expected: options.expected,
        change,
    };
    api.apply(&request, options.wait)
}

/// An object as listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectRow {
    /// Its name.
    pub name: String,
    /// Its revision.
    pub revision: Revision,
    /// What it is, in a line.
    pub summary: String,
    /// All of it.
    pub object: serde_json::Value,
}

fn row<T: Serialize>(
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

/// All objects of a kind.
pub fn list(api: &ControlApi, kind: ObjectKind) -> Result<Vec<ObjectRow>> {
    let view = api.configuration()?;
    match kind {
        ObjectKind::Template => view
            .templates
            .iter()
            .map(|(r, t)| row(t.name.as_str(), *r, template_line(t), t))
            .collect(),
        ObjectKind::Account => view
            .accounts
            .iter()
            .map(|(r, a)| row(a.name.as_str(), *r, account_line(a), a))
            .collect(),
        ObjectKind::Target => view
            .targets
            .iter()
            .map(|(r, t)| row(t.name.as_str(), *r, target_line(t), t))
            .collect(),
    }
}

/// One object.
pub fn show(api: &ControlApi, kind: ObjectKind, name: &str) -> Result<ObjectRow> {
    let rows = list(api, kind)?;
    match rows.into_iter().find(|r| r.name == name) {
        Some(row) => Ok(row),
        None => bail!(
            "there is no {} {name}; see `deckwind {} list`",
            kind.word(),
            kind.word()
        ),
    }
}

fn template_line(t: &Template) -> String {
    let what = match &t.workload {
        Workload::Chat { model, layers } => format!("chat {model} ({layers} layers)"),
        Workload::Service { timeout_ms } => format!("service ({timeout_ms}ms)"),
    };
    let repeatable = if t.repeatable { "" } else { ", not repeatable" };
    format!("{what}{repeatable}")
}

fn account_line(a: &Account) -> String {
    format!(
        "{} requests/s, weight {}",
        a.limits.requests_per_s, a.limits.weight
    )
}

fn target_line(t: &Target) -> String {
    let what = match &t.kind {
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
        "{what} at {} in {} ({:?})",
        t.address, t.data_centre, t.status
    )
}
