//! The configuration: templates, client accounts, targets, announced instances and
//! the release, each with the revision that wrote it last.

use super::command::{Change, Rejection};
use super::instances::{Instance, InstanceChange, InstanceId, Instances};
use super::names::{AccountName, Revision, TargetName, TemplateName};
use super::objects::{Account, Target, TargetKind, TargetStatus, Template, Workload};
use super::release::{PublishedRelease, Release};
use super::release_change::{ReleaseDelta, ReleaseHistory};
use super::suspect_list::SuspectList;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// An object, or its tombstone, with the revision that wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Revision of the last write.
    pub revision: Revision,
    /// The object; `None` if it was retired or has left.
    pub value: Option<T>,
}

/// Changes after a revision. Applying a delta is idempotent, and applying it to a
/// newer state has no effect.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision that the receiver has after applying it.
    pub to: Revision,
    /// Templates written or retired.
    pub templates: Vec<(TemplateName, Versioned<Template>)>,
    /// Client accounts written or retired.
    pub accounts: Vec<(AccountName, Versioned<Account>)>,
    /// Targets written or retired.
    pub targets: Vec<(TargetName, Versioned<Target>)>,
    /// Changes of the release. Its document is kept on control replicas only.
    pub release: Option<ReleaseDelta>,
    /// Instances that changed or left.
    pub instances: Vec<(InstanceId, Versioned<Instance>)>,
    /// Whether these are all instances, because departures after the receiver's revision
    /// are no longer recorded. The receiver drops all others.
    pub has_all_instances: bool,
    /// Complete list of request contents that crashed targets, if it changed.
    pub suspects: Option<Versioned<Arc<SuspectList>>>,
}

/// The configuration as of a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    revision: Revision,
    templates: BTreeMap<TemplateName, Versioned<Template>>,
    accounts: BTreeMap<AccountName, Versioned<Account>>,
    targets: BTreeMap<TargetName, Versioned<Target>>,
    release: Option<Versioned<Arc<Release>>>,
    document: Vec<u8>,
    instances: Instances,
    suspects: Option<Versioned<Arc<SuspectList>>>,
    #[serde(skip)]
    history: ReleaseHistory,
    /// Last revision written in this process that changed what routers get.
    #[serde(skip)]
    shown: Revision,
}

fn live<K, V>(map: &BTreeMap<K, Versioned<V>>) -> impl Iterator<Item = (&V, Revision)> {
    map.values()
        .filter_map(|v| Some((v.value.as_ref()?, v.revision)))
}

fn revision_of<K: Ord, V>(map: &BTreeMap<K, Versioned<V>>, k: &K) -> Revision {
    match map.get(k) {
        Some(v) if v.value.is_some() => v.revision,
        _ => Revision::ZERO,
    }
}

fn changed_since<K: Clone, V: Clone>(
    map: &BTreeMap<K, Versioned<V>>,
    since: Revision,
) -> Vec<(K, Versioned<V>)> {
    map.iter()
        .filter(|(_, v)| v.revision > since)
        .map(|(k, v)| (k.clone(), v.clone()))
        .collect()
}

fn merge<K: Ord, V>(map: &mut BTreeMap<K, Versioned<V>>, changes: Vec<(K, Versioned<V>)>) {
    for (k, v) in changes {
        let newer = map.get(&k).is_none_or(|old| old.revision < v.revision);
        if newer {
            map.insert(k, v);
        }
    }
}

impl Configuration {
    /// Returns the revision of the last accepted change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the last revision written in this process that must be sent to
    /// routers. Later revisions changed nothing that routers get.
    pub fn visible_revision(&self) -> Revision {
        self.shown
    }

    /// Iterates over templates that are not retired.
    pub fn templates(&self) -> impl Iterator<Item = (&Template, Revision)> {
        live(&self.templates)
    }

    /// Iterates over client accounts that are not retired.
    pub fn accounts(&self) -> impl Iterator<Item = (&Account, Revision)> {
        live(&self.accounts)
    }

    /// Iterates over targets that are not retired.
    pub fn targets(&self) -> impl Iterator<Item = (&Target, Revision)> {
        live(&self.targets)
    }

    /// Returns the template with this name, unless it is retired.
    pub fn template(&self, name: &TemplateName) -> Option<&Template> {
        self.templates.get(name)?.value.as_ref()
    }

    /// Returns the client account with this name, unless it is retired.
    pub fn account(&self, name: &AccountName) -> Option<&Account> {
        self.accounts.get(name)?.value.as_ref()
    }

    /// Returns the target with this name, unless it is retired.
    pub fn target(&self, name: &TargetName) -> Option<&Target> {
        self.targets.get(name)?.value.as_ref()
    }

    /// Returns the revision of the object that `change` writes; zero if the object
    /// does not exist.
    pub fn object_revision(&self, change: &Change) -> Revision {
        match change {
            Change::Template(t) => revision_of(&self.templates, &t.name),
            Change::RetireTemplate(n) => revision_of(&self.templates, n),
            Change::Account(a) => revision_of(&self.accounts, &a.name),
            Change::RetireAccount(n) => revision_of(&self.accounts, n),
            Change::Target(t) => revision_of(&self.targets, &t.name),
            Change::RetireTarget(n) => revision_of(&self.targets, n),
        }
    }

    /// Returns the changes after `since`.
    pub fn delta_since(&self, since: Revision) -> Delta {
        let has_all_instances = since < self.instances.last_forgotten();
        let instances_since = match has_all_instances {
            true => Revision::ZERO,
            false => since,
        };
        Delta {
            to: self.revision,
            templates: changed_since(&self.templates, since),
            accounts: changed_since(&self.accounts, since),
            targets: changed_since(&self.targets, since),
            release: self.release_since(since),
            instances: self.instances.since(instances_since),
            has_all_instances,
            suspects: self.suspects.clone().filter(|s| s.revision > since),
        }
    }

    /// Merges a delta. An object is replaced only by a newer revision of it. Returns false
    /// if the release of the delta can't be applied; the revision then stays unchanged.
    pub fn merge(&mut self, delta: Delta) -> bool {
        merge(&mut self.templates, delta.templates);
        merge(&mut self.accounts, delta.accounts);
        merge(&mut self.targets, delta.targets);
        if delta.has_all_instances {
            self.instances.retain_listed(&delta.instances, delta.to);
        }
        self.instances.merge(delta.instances);
        if let Some(suspects) = delta.suspects {
            let current = self.suspects.as_ref();
            if current.is_none_or(|old| old.revision < suspects.revision) {
                self.suspects = Some(suspects);
            }
        }
        let is_applied = delta.release.is_none_or(|r| self.merge_release(r));
        if is_applied {
            self.revision = self.revision.max(delta.to);
        }
        is_applied
    }

    fn release_since(&self, since: Revision) -> Option<ReleaseDelta> {
        self.history.delta(since, self.release.as_ref()?)
    }

    /// Merges a newer release. Returns false if the local state is older than the
    /// base of the change: the configuration revision must then stay unchanged, so
    /// that the next delta includes the missing changes.
    fn merge_release(&mut self, delta: ReleaseDelta) -> bool {
        let current = self.release_revision();
        match delta {
            ReleaseDelta::Whole(new) => {
                if new.revision > current {
                    self.release = Some(new);
                }
                true
            }
            ReleaseDelta::Changes(change) if change.revision <= current => true,
            ReleaseDelta::Changes(change) if change.base > self.revision => false,
            ReleaseDelta::Changes(change) => {
                let Some(local) = &mut self.release else {
                    return false;
                };
                local.revision = change.revision;
                if let Some(release) = &mut local.value {
                    change.apply(Arc::make_mut(release));
                }
                true
            }
        }
    }

    /// Starts recording changes of the release, so that a receiver that has the
    /// current release gets later ones as deltas. Before this call, and after
    /// [`Self::stop_recording_changes`], releases are sent whole.
    pub fn record_changes(&mut self) {
        if let Some(current) = &self.release {
            self.history.start_recording(current.revision);
        }
    }

    /// Stops recording changes of the release, in a process that no longer sends
    /// state to others.
    pub fn stop_recording_changes(&mut self) {
        self.history.stop_recording();
    }

    /// Returns the current release.
    pub fn release(&self) -> Option<&Arc<Release>> {
        self.release.as_ref()?.value.as_ref()
    }

    /// Returns the revision that wrote the release; zero if there is none.
    pub fn release_revision(&self) -> Revision {
        self.release.as_ref().map_or(Revision::ZERO, |r| r.revision)
    }

    /// Returns the document that the release was read from; empty if there is no
    /// release, and on routers.
    pub fn document(&self) -> &[u8] {
        &self.document
    }

    /// Returns the targets that announced themselves.
    pub fn instances(&self) -> &Instances {
        &self.instances
    }

    /// Publishes a release, unless the current one has the same or a higher version.
    /// Returns the revision of the release that is current afterwards.
    ///
    /// # Errors
    ///
    /// [`Rejection::Invalid`] if the release is inconsistent.
    pub(super) fn publish(&mut self, published: PublishedRelease) -> Result<Revision, Rejection> {
        if let Err(why) = published.release.check() {
            return Err(Rejection::Invalid { why });
        }
        let current = self.release().map_or(0, |r| r.version);
        if self.release.is_some() && published.release.version <= current {
            return Ok(self.release_revision());
        }
        self.revision = self.revision.next();
        self.document = published.document;
        let new = Arc::new(published.release);
        if let Some(old) = self.release() {
            let old = old.clone();
            self.history.record_replacement(&old, &new, self.revision);
        }
        self.instances
            .show_unlayered(self.revision, |pool| new.is_layered(pool));
        self.release = Some(Versioned {
            revision: self.revision,
            value: Some(new),
        });
        self.shown = self.revision;
        Ok(self.revision)
    }

    /// Returns the request contents that crashed targets.
    pub fn suspects(&self) -> Arc<SuspectList> {
        let list = self.suspects.as_ref().and_then(|s| s.value.clone());
        list.unwrap_or_default()
    }

    /// Replaces the list of request contents that crashed targets, as one revision.
    /// Does nothing if the list is unchanged.
    pub(super) fn set_suspects(&mut self, list: SuspectList) {
        if *self.suspects() == list {
            return;
        }
        self.revision = self.revision.next();
        self.suspects = Some(Versioned {
            revision: self.revision,
            value: Some(Arc::new(list)),
        });
        self.shown = self.revision;
    }

    /// Applies changes of instances as one revision.
    pub(super) fn change_instances(&mut self, changes: Vec<InstanceChange>) -> Revision {
        self.revision = self.revision.next();
        let release = self.release.as_ref().and_then(|r| r.value.as_deref());
        if self.instances.apply(changes, self.revision, release) {
            self.shown = self.revision;
        }
        self.revision
    }

    /// Writes a change as the next revision.
    ///
    /// # Errors
    ///
    /// [`Rejection::Invalid`] if the object is invalid, [`Rejection::NotFound`] if
    /// it or an object that it refers to does not exist.
    pub(super) fn write(&mut self, change: Change) -> Result<Revision, Rejection> {
        self.check(&change)?;
        let revision = self.revision.next();
        match change {
            Change::Template(t) => insert(&mut self.templates, t.name.clone(), Some(t), revision),
            Change::RetireTemplate(n) => insert(&mut self.templates, n, None, revision),
            Change::Account(a) => insert(&mut self.accounts, a.name.clone(), Some(a), revision),
            Change::RetireAccount(n) => insert(&mut self.accounts, n, None, revision),
            Change::Target(t) => insert(&mut self.targets, t.name.clone(), Some(t), revision),
            Change::RetireTarget(n) => insert(&mut self.targets, n, None, revision),
        }
        self.revision = revision;
        self.shown = revision;
        Ok(revision)
    }

    fn check(&self, change: &Change) -> Result<(), Rejection> {
        match change {
            Change::Template(t) => check_template(t),
            Change::Account(a) => self.check_account(a),
            Change::Target(t) => self.check_target(t),
            Change::RetireTemplate(n) => ensure_exists(self.template(n), "template", n.as_str()),
            Change::RetireAccount(n) => ensure_exists(self.account(n), "account", n.as_str()),
            Change::RetireTarget(n) => ensure_exists(self.target(n), "target", n.as_str()),
        }
    }

    fn check_account(&self, a: &Account) -> Result<(), Rejection> {
        check_name("account", a.name.as_str())?;
        let is_hex_digest =
            a.key_sha256.len() == 64 && a.key_sha256.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_hex_digest {
            return invalid("key_sha256 must be 64 hexadecimal digits: the SHA-256 of the key");
        }
        let is_key_taken = self
            .accounts()
            .any(|(o, _)| o.name != a.name && o.key_sha256 == a.key_sha256);
        if is_key_taken {
            return invalid("another account has the same key; make a new one");
        }
        if !(a.limits.requests_per_s.is_finite() && a.limits.requests_per_s > 0.0) {
            return invalid("limits.requests_per_s must be above 0");
        }
        if a.limits.weight == 0 {
            return invalid("limits.weight must be 1 or more");
        }
        Ok(())
    }

    fn check_target(&self, t: &Target) -> Result<(), Rejection> {
        check_name("target", t.name.as_str())?;
        if t.slots == 0 {
            return invalid("slots must be 1 or more");
        }
        if t.status == TargetStatus::Retired {
            return invalid("status can't be written as retired; use `target retire`");
        }
        match &t.kind {
            TargetKind::Engine { layers, .. } if layers.is_empty() => {
                invalid("layers.last must be above layers.first")
            }
            TargetKind::Service { template } => {
                ensure_exists(self.template(template), "template", template.as_str())
            }
            TargetKind::Engine { .. } => Ok(()),
        }
    }
}

fn insert<K: Ord, V>(
    map: &mut BTreeMap<K, Versioned<V>>,
    k: K,
    value: Option<V>,
    revision: Revision,
) {
    map.insert(k, Versioned { revision, value });
}

fn invalid(why: &str) -> Result<(), Rejection> {
    Err(Rejection::Invalid {
        why: why.to_string(),
    })
}

fn ensure_exists<T>(value: Option<&T>, kind: &str, name: &str) -> Result<(), Rejection> {
    match value {
        Some(_) => Ok(()),
        None => Err(Rejection::NotFound {
            what: format!("{kind} {name}"),
        }),
    }
}

/// Maximum length of an object name, bytes.
const MAX_NAME_LEN: usize = 64;

fn check_name(kind: &str, name: &str) -> Result<(), Rejection> {
    let is_length_valid = !name.is_empty() && name.len() <= MAX_NAME_LEN;
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if is_length_valid && name.bytes().all(is_allowed) {
        return Ok(());
    }
    invalid(&format!(
        "{kind} name {name:?} must be 1 to {MAX_NAME_LEN} letters, digits, '-', '_' or '.'"
    ))
}

fn check_template(t: &Template) -> Result<(), Rejection> {
    check_name("template", t.name.as_str())?;
    let share = t.objective.share;
    if !(share > 0.0 && share < 1.0) {
        return invalid("objective.share must be above 0 and below 1");
    }
    if t.deadline_ms == 0 {
        return invalid("deadline_ms must be 1 or more");
    }
    let has_version = t.parameters.model_version.is_some();
    match &t.workload {
        Workload::Chat { .. } if !has_version => {
            invalid("parameters.model_version must be set for a chat workload")
        }
        Workload::Chat { layers: 0, .. } => invalid("workload.chat.layers must be 1 or more"),
        Workload::Service { timeout_ms: 0 } => {
            invalid("workload.service.timeout_ms must be 1 or more")
        }
        _ => Ok(()),
    }
}
