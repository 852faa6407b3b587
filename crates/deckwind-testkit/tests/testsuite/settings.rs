//! Settings files: every finding in one run, with its place.

use deckwind_testkit::Layout;

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
fn unknown_keys_wrong_types_and_units_are_told_together() {
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
fn clashes_and_missing_files_are_told_together() {
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
fn text_that_is_no_json_is_told_with_its_place() {
    let found = findings("{\n  \"vm\": ,\n}");
    assert_eq!(found.len(), 1);
    assert!(
        found[0].starts_with("2:9: is not JSON with comments: "),
        "{found:?}"
    );
}

/// Layouts that live side by side never share a port: each is held, not just
/// found free.
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
        let all = ports.len();
        ports.sort_unstable();
        ports.dedup();
        assert_eq!(ports.len(), all);
    }
}
