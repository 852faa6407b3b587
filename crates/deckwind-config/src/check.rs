//! Loading of a settings file, and checks across its keys.

use crate::collector::Collector;
use crate::finding::{Finding, Findings};
use crate::schema::{SETTINGS, check_object};
use crate::settings::{ControlSettings, RouterSettings, SeedSettings, Settings};
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Loads the settings from `file`. Relative paths in it are resolved against the folder
/// of the file.
///
/// # Errors
/// All problems found in the file.
pub fn load(file: &Path) -> Result<Settings, Findings> {
    let text = std::fs::read_to_string(file).map_err(|e| unreadable_file(file, &e))?;
    let mut out = Collector::new(file, &text);
    let settings = parse(&text, &mut out).map(|mut s| {
        let folder = file.parent().unwrap_or(Path::new("."));
        resolve_paths(&mut s, folder);
        derive_slot(&mut s);
        check_settings(&s, &mut out);
        s
    });
    match settings {
        Some(s) if out.is_clean() => Ok(s),
        _ => Err(Findings(out.into_findings())),
    }
}

fn unreadable_file(file: &Path, e: &std::io::Error) -> Findings {
    Findings(vec![Finding {
        file: file.to_path_buf(),
        line: 1,
        column: 1,
        key: String::new(),
        message: format!("cannot be read: {e}; give the path of a settings file with --settings"),
    }])
}

fn parse(text: &str, out: &mut Collector) -> Option<Settings> {
    let ast = match parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()) {
        Ok(parsed) => parsed.value,
        Err(e) => {
            out.add(
                e.range().start,
                "",
                format!("is not JSON with comments: {}", e.kind()),
            );
            return None;
        }
    };
    match &ast {
        Some(Value::Object(object)) => check_object(object, SETTINGS, "", out),
        Some(other) => out.add(other.start(), "", "must be an object { … }"),
        None => out.add(0, "", "is empty; write an object { … }"),
    }
    if !out.is_clean() {
        return None;
    }
    match deserialize_settings(text) {
        Ok(settings) => Some(settings),
        Err(e) => {
            out.add(0, "", format!("cannot be deserialized: {e:#}"));
            None
        }
    }
}

fn deserialize_settings(text: &str) -> anyhow::Result<Settings> {
    let mut value = parse_to_serde_value::<serde_json::Value>(text, &ParseOptions::default())?;
    remove_empty_values(&mut value);
    Ok(serde_json::from_value(value)?)
}

/// Removes keys that a template left empty. The schema has already rejected required
/// keys with an empty value.
fn remove_empty_values(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Object(map) => {
            map.retain(|_, v| v.as_str() != Some(""));
            map.values_mut().for_each(remove_empty_values);
        }
        serde_json::Value::Array(list) => list.iter_mut().for_each(remove_empty_values),
        _ => {}
    }
}

fn resolve_paths(s: &mut Settings, folder: &Path) {
    let resolve = |p: &mut PathBuf| *p = folder.join(&*p);
    if let Some(keys) = &mut s.keys {
        resolve(&mut keys.ca);
        resolve(&mut keys.certificate);
        resolve(&mut keys.key);
    }
    if let Some(c) = &mut s.control {
        resolve(&mut c.data_folder);
    }
    if let Some(f) = &mut s.log.folder {
        resolve(f);
    }
}

/// With seeds, sets the slot of the control replica to the VM's IP address as a number.
fn derive_slot(s: &mut Settings) {
    if let (Some(seeds), Some(control)) = (&s.seeds, &mut s.control) {
        control.slot = u32::from(seeds.ip);
    }
}

fn check_settings(s: &Settings, out: &mut Collector) {
    if s.router.is_none() && s.control.is_none() {
        out.add(
            0,
            "",
            "has neither a router nor a control part; write at least one",
        );
    }
    check_required_without_seeds(s, out);
    check_key_files(s, out);
    check_control_vms(s, out);
    if let Some(c) = &s.control {
        check_control(s, c, out);
    }
    if let Some(r) = &s.router {
        check_router(s, r, out);
    }
    check_address_conflicts(s, out);
}

/// Checks keys that may only be omitted if replicas are discovered through seeds.
fn check_required_without_seeds(s: &Settings, out: &mut Collector) {
    if s.seeds.is_some() {
        return;
    }
    if s.keys.is_none() {
        out.add_at_key("keys", "is missing; write an object { … }");
    }
    let control = s.control.as_ref();
    if control.is_some_and(|c| c.operator_token_sha256.is_none()) {
        let message = "is missing; make it with `deckwind keys token`";
        out.add_at_key("control.operator_token_sha256", message);
    }
    let router = s.router.as_ref();
    if router.is_some_and(|r| r.callers.is_none()) {
        let message = "is missing; write an IP and port such as \"127.0.0.1:7000\"";
        out.add_at_key("router.callers", message);
    }
}

fn check_key_files(s: &Settings, out: &mut Collector) {
    let Some(keys) = &s.keys else {
        return;
    };
    let files = [
        ("keys.ca", &keys.ca),
        ("keys.certificate", &keys.certificate),
        ("keys.key", &keys.key),
    ];
    for (key, path) in files {
        if !path.is_file() {
            let message = format!(
                "{} is no file; make it with `deckwind keys new`",
                path.display()
            );
            out.add_at_key(key, message);
        }
    }
}

fn check_control_vms(s: &Settings, out: &mut Collector) {
    let count = s.control_vms.len();
    if let Some(seeds) = &s.seeds {
        check_seeds(seeds, count, out);
        return;
    }
    if !matches!(count, 1 | 3 | 5 | 7) {
        let message = format!("has {count} entries; write 3, 5 or 7 (1 for a trial)");
        out.add_at_key("control_vms", message);
    }
    let mut slots = BTreeMap::new();
    for (i, vm) in s.control_vms.iter().enumerate() {
        if let Some(conflict) = slots.insert(vm.slot, i) {
            let message = format!(
                "slot {} is control_vms[{conflict}]'s too; give each its own",
                vm.slot
            );
            out.add_at_key(&format!("control_vms[{i}].slot"), message);
        }
    }
}

fn check_seeds(seeds: &SeedSettings, listed_count: usize, out: &mut Collector) {
    if listed_count > 0 {
        let message = "stands beside control_vms; write one of the two";
        out.add_at_key("seeds", message);
    }
    if seeds.control.is_empty() {
        let message = "names nobody; write at least one control replica";
        out.add_at_key("seeds.control", message);
    }
}

fn check_control(s: &Settings, c: &ControlSettings, out: &mut Collector) {
    let is_listed = s.control_vms.iter().any(|vm| vm.slot == c.slot);
    if s.seeds.is_none() && !is_listed {
        let message = format!("slot {} is not in control_vms; add it there", c.slot);
        out.add_at_key("control.slot", message);
    }
    if c.heartbeat * 3 > c.election_min {
        out.add_at_key(
            "control.heartbeat",
            "must be at most a third of control.election_min, so that one lost heartbeat starts no election",
        );
    }
    if c.election_min >= c.election_max {
        out.add_at_key("control.election_max", "must be above control.election_min");
    }
    if s.router.as_ref().is_some_and(|r| r.lease != c.lease) {
        out.add_at_key("control.lease", "must be the same as router.lease");
    }
}

fn check_router(s: &Settings, r: &RouterSettings, out: &mut Collector) {
    const LONGEST_LEASE_S: u64 = 3;
    if r.lease.is_zero() || r.lease.as_secs_f64() > LONGEST_LEASE_S as f64 {
        let message =
            format!("must be above 0 and at most {LONGEST_LEASE_S}s: a change is in force by then");
        out.add_at_key("router.lease", message);
    }
    if r.memory == Some(0.0) {
        let message = "must be above 0; leave it out if it is not known";
        out.add_at_key("router.memory", message);
    }
    if r.file_descriptors.is_some_and(|n| n < 1.0) {
        let message = "must be at least 1; leave it out if it is not known";
        out.add_at_key("router.file_descriptors", message);
    }
    if s.control_vms.iter().any(|vm| vm.address == r.peers) && s.control.is_none() {
        out.add_at_key(
            "router.peers",
            "is a control VM's address; give the router its own port",
        );
    }
}

fn check_address_conflicts(s: &Settings, out: &mut Collector) {
    let mut tcp: Vec<(&str, SocketAddr)> = Vec::new();
    if let Some(r) = &s.router {
        let optional = [
            ("router.callers", r.callers),
            ("router.routes", r.routes),
            ("router.ready", r.ready),
        ];
        tcp.extend(optional.into_iter().filter_map(|(k, a)| Some((k, a?))));
        tcp.push(("router.admin", r.admin));
    }
    if let Some(c) = &s.control {
        tcp.push(("control.admin", c.admin));
        tcp.extend(c.calls.map(|a| ("control.calls", a)));
    }
    for (i, (key, address)) in tcp.iter().enumerate() {
        let conflict = tcp[..i].iter().find(|(_, a)| a == address && a.port() != 0);
        if let Some((other, _)) = conflict {
            out.add_at_key(
                key,
                format!("{address} is {other}'s too; give each its own port"),
            );
        }
    }
    if let (Some(r), Some(c)) = (&s.router, &s.control) {
        let own = s.control_vms.iter().find(|vm| vm.slot == c.slot);
        if own.is_some_and(|vm| vm.address == r.peers && r.peers.port() != 0) {
            out.add_at_key(
                "router.peers",
                "is the control replica's address; give the router its own port",
            );
        }
    }
}
