//! Settings files: one check reports every finding with its line and column.

use deckwind_testkit::Layout;

/// Returns the findings on a settings file with this text, without its file name.
fn findings(text: &str) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("s.jsonc");
    std::fs::write(&file, text).unwrap();
    let prefix = format!("{}:", file.display());
    match deckwind_config::load(&file) {
        Ok(_) => Vec::new(),
        Err(findings) => findings
            .to_string()
            .lines()
            .map(|l| {
                l.replace(&prefix, "")
                    .replace(&folder.path().display().to_string(), "DIR")
            })
            .collect(),
    }
}

#[test]
fn written_settings_have_no_findings() {
    let layout = Layout::new(3, 1).unwrap();
    deckwind_config::load(&layout.control_settings(0).unwrap()).unwrap();
    deckwind_config::load(&layout.router_settings(0).unwrap()).unwrap();
}

#[test]
fn unknown_keys_wrong_types_and_units_are_reported_together() {
    let text = r#"{
  // a comment
  "vm": "recife-a-1",
  "data_center": "recife-a",
  "keys": { "ca": "ca.pem", "certificate": "vm.pem", "key": "vm.key" },
  "control_vms": [ { "slot": 9, "address": "localhost:7000" } ],
  "router": {
    "callers": "127.0.0.1:8080",
    "peers": "127.0.0.1:7100",
    "admin": 9100,
    "lease": "2 parsecs",
    "lease": "2s",
  },
}"#;
    assert_eq!(
        findings(text),
        [
            "1:1: data_centre: is missing; write a text in quotes",
            "4:3: data_center: is no known key; did you mean \"data_centre\"?",
            "6:30: control_vms[0].slot: must be a whole number from 0 to 6",
            "6:44: control_vms[0].address: must be an IP and port such as \"127.0.0.1:7000\"",
            "10:14: router.admin: must be an IP and port such as \"127.0.0.1:7000\"",
            "11:14: router.lease: must be a time with its unit such as \"250us\", \"100ms\" or \"2s\"",
            "12:5: router.lease: stands twice; remove one",
        ]
    );
}

#[test]
fn conflicts_and_missing_files_are_reported_together() {
    let text = r#"{
  "vm": "a", "data_centre": "recife-a",
  "keys": { "ca": "ca.pem", "certificate": "vm.pem", "key": "vm.key" },
  "control_vms": [
    { "slot": 0, "address": "127.0.0.1:7000" },
    { "slot": 0, "address": "127.0.0.1:7001" },
  ],
  "router": {
    "callers": "127.0.0.1:8080", "peers": "127.0.0.1:7100", "admin": "127.0.0.1:8080",
    "lease": "5s",
  },
}"#;
    assert_eq!(
        findings(text),
        [
            "3:19: keys.ca: DIR/ca.pem is no file; make it with `deckwind keys new`",
            "3:44: keys.certificate: DIR/vm.pem is no file; make it with `deckwind keys new`",
            "3:61: keys.key: DIR/vm.key is no file; make it with `deckwind keys new`",
            "4:18: control_vms: has 2 entries; write 3, 5 or 7 (1 for a trial)",
            "6:15: control_vms[1].slot: slot 0 is control_vms[0]'s too; give each its own",
            "9:70: router.admin: 127.0.0.1:8080 is router.callers's too; give each its own port",
            "10:14: router.lease: must be above 0 and at most 3s: a change is in force by then",
        ]
    );
}

#[test]
fn invalid_json_is_reported_with_its_position() {
    let found = findings("{\n  \"vm\": ,\n}");
    assert_eq!(found.len(), 1);
    assert!(
        found[0].starts_with("2:9: is not JSON with comments: "),
        "{found:?}"
    );
}

/// Layouts that exist at the same time never share a port: each port is reserved,
/// not only found free, so a second layout cannot pick it before it is used.
#[test]
fn layouts_never_share_a_port() {
    let layouts: Vec<Layout> = (0..40).map(|_| Layout::new(3, 2).unwrap()).collect();
    let mut tcp: Vec<u16> = Vec::new();
    let mut udp: Vec<u16> = Vec::new();
    for layout in &layouts {
        tcp.extend(layout.control_admin.iter().map(|a| a.port()));
        udp.extend(layout.control.iter().map(|a| a.port()));
        for router in &layout.routers {
            tcp.extend([router.callers.port(), router.admin.port()]);
            udp.push(router.peers.port());
        }
    }
    for ports in [&mut tcp, &mut udp] {
        let reserved = ports.len();
        ports.sort_unstable();
        ports.dedup();
        assert_eq!(ports.len(), reserved);
    }
}

/// Returns settings that name seeds, with `from` replaced by `to`.
fn seed_settings(from: &str, to: &str) -> String {
    let text = r#"{
  "vm": "core-1",
  "data_centre": "recife-a",
  "seeds": {
    "ip": "10.1.0.43",
    "peer_port": 7340,
    "control": ["10.1.0.43:8229", "10.2.0.32:8229"],
    "first_start": true,
    "lost_at_once": 2
  },
  "router": {
    "routes": "10.1.0.43:8227",
    "ready": "10.1.0.43:8220",
    "peers": "10.1.0.43:7341",
    "admin": "10.1.0.43:9464",
    "killed_after": "8s",
    "memory": 160,
    "repeats": { "share": 0.2, "beyond": 202, "window": "10s" }
  },
  "control": {
    "data_folder": "data",
    "admin": "10.1.0.43:9465",
    "calls": "10.1.0.43:8229"
  }
}"#;
    assert!(text.contains(from), "{from}");
    text.replace(from, to)
}

#[yare::parameterized(
    good = { "\"vm\"", "\"vm\"", &[] },
    no_replica = { "[\"10.1.0.43:8229\", \"10.2.0.32:8229\"]", "[]", &["seeds.control: names nobody; write at least one control replica"] },
    name_for_address = { "\"10.2.0.32:8229\"", "\"core-2:8229\"", &["seeds.control: must be a list of IPs and ports"] },
    word_for_flag = { "true", "\"yes\"", &["seeds.first_start: must be true or false"] },
    port_out_of_range = { "7340", "73400", &["seeds.peer_port: must be a whole number from 1 to 65535"] },
    too_many_lost = { "\"lost_at_once\": 2", "\"lost_at_once\": 20", &["seeds.lost_at_once: must be a whole number from 0 to 15"] },
    fraction_for_count = { "\"lost_at_once\": 2", "\"lost_at_once\": 2.5", &["seeds.lost_at_once: must be a whole number from 0 to 15"] },
    count_as_text = { "\"lost_at_once\": 2", "\"lost_at_once\": \"2\"", &[] },
    count_left_empty = { "\"lost_at_once\": 2", "\"lost_at_once\": \"\"", &[] },
    required_left_empty = { "\"vm\": \"core-1\"", "\"vm\": \"\"", &["vm: must be a text in quotes"] },
    word_for_number = { "202", "\"many\"", &["router.repeats.beyond: must be a number, 0 or more"] },
    no_number = { "202", "\"NaN\"", &["router.repeats.beyond: must be a number, 0 or more"] },
    endless_number = { "202", "\"inf\"", &["router.repeats.beyond: must be a number, 0 or more"] },
    negative_share = { "0.2", "-0.2", &["router.repeats.share: must be a number, 0 or more"] },
    time_without_unit = { "\"8s\"", "\"8\"", &["router.killed_after: must be a time with its unit"] },
    memory_fraction = { "160", "0.75", &[] },
    memory_as_text = { "160", "\"48.5\"", &[] },
    memory_left_empty = { "160", "\"\"", &[] },
    no_memory = { "160", "0", &["router.memory: must be above 0"] },
    word_for_memory = { "160", "\"much\"", &["router.memory: must be a number, 0 or more"] },
    same_address_twice = { "10.1.0.43:8220", "10.1.0.43:8227", &["router.ready", "router.routes"] },
    both_kinds_of_members = { "\"vm\": \"core-1\",", "\"vm\": \"core-1\", \"control_vms\": [{ \"slot\": 0, \"address\": \"10.1.0.43:7340\" }],", &["seeds: stands beside control_vms; write one of the two"] },
)]
fn settings_by_seeds_are_checked(from: &str, to: &str, expected: &[&str]) {
    let found = findings(&seed_settings(from, to));
    assert_eq!(found.is_empty(), expected.is_empty(), "{found:?}");
    for part in expected {
        assert!(
            found.iter().any(|f| f.contains(part)),
            "{part} in {found:?}"
        );
    }
}

#[yare::parameterized(
    keys = { "\"keys\": { \"ca\": \"a\", \"certificate\": \"b\", \"key\": \"c\" },", "keys: is missing" },
    callers = { "\"callers\": \"127.0.0.1:8080\",", "router.callers: is missing" },
)]
fn keys_that_seeds_replace_are_required_without_seeds(line: &str, expected: &str) {
    let text = r#"{
  "vm": "r", "data_centre": "a",
  "keys": { "ca": "a", "certificate": "b", "key": "c" },
  "control_vms": [ { "slot": 0, "address": "127.0.0.1:7000" } ],
  "router": { "callers": "127.0.0.1:8080", "peers": "127.0.0.1:7100", "admin": "127.0.0.1:9100" }
}"#;
    let found = findings(&text.replace(line, ""));
    assert!(found.iter().any(|f| f.contains(expected)), "{found:?}");
}
