//! The operators' command line against a running cluster.

use crate::processes::processes;
use deckwind_testkit::{account, service_template};
use std::process::Output;

fn code(output: &Output) -> i32 {
    output.status.code().unwrap_or(-1)
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn changes_conflict_resend_and_read_back() {
    let cluster = processes(1, 0);
    let control = cluster.control(0).unwrap();
    let folder = cluster.layout.folder();
    let file = folder.join("t.jsonc");
    let text = serde_json::to_string(&service_template("cap", true)).unwrap();
    std::fs::write(&file, format!("// a comment\n{text}")).unwrap();
    let file = file.display().to_string();
    let apply = |args: &[&str]| {
        let base = ["template", "apply", &file, "--wait", "15s"];
        cluster.cli(&[&base[..], args].concat()).unwrap()
    };

    let first = apply(&["--expect", "0", "--request-id", "r1"]);
    assert_eq!(code(&first), 0, "{}", err(&first));
    assert_eq!(
        String::from_utf8_lossy(&first.stdout),
        "revision 1 in force\n"
    );
    let resent = apply(&["--expect", "0", "--request-id", "r1"]);
    assert_eq!(
        String::from_utf8_lossy(&resent.stdout),
        "revision 1 in force\n"
    );
    let conflict = apply(&["--expect", "0", "--request-id", "r2"]);
    assert_eq!(code(&conflict), 3);
    assert_eq!(
        err(&conflict),
        "error: request id r2: conflict: the object is at revision 1; read it again and apply to that\n"
    );
    let missing = cluster.cli(&["template", "show", "none"]).unwrap();
    assert_eq!(code(&missing), 1);
    assert_eq!(
        err(&missing),
        "error: there is no template none; see `deckwind template list`\n"
    );
    let shown = cluster.cli(&["template", "show", "cap"]).unwrap();
    let shown: serde_json::Value = serde_json::from_slice(&shown.stdout).unwrap();
    assert_eq!(
        (shown["name"].as_str(), shown["revision"].as_u64()),
        (Some("cap"), Some(1))
    );

    let bad = cluster
        .apply("account", &serde_json::json!({ "name": "a", "keyy": 1 }))
        .unwrap();
    assert_eq!(code(&bad), 1);
    assert!(err(&bad).contains("holds no account"), "{}", err(&bad));
    assert_eq!(
        code(&cluster.apply("account", &account("a", "k")).unwrap()),
        0
    );
    let retired = cluster
        .cli(&["account", "retire", "a", "--wait", "15s"])
        .unwrap();
    assert_eq!(code(&retired), 0, "{}", err(&retired));
    let listed = cluster
        .cli(&["account", "list", "--format", "json"])
        .unwrap();
    assert_eq!(String::from_utf8_lossy(&listed.stdout).trim(), "[]");
    assert_eq!(control.terminate().unwrap(), Some(0));
}

#[test]
fn a_wrong_token_is_refused() {
    let cluster = processes(1, 0);
    let _control = cluster.control(0).unwrap();
    let wrong = cluster.layout.folder().join("wrong");
    std::fs::write(&wrong, "wrong").unwrap();
    let refused = deckwind_testkit::eventually("the replica answers", || {
        let args = ["status", "--token-file", &wrong.display().to_string()].map(String::from);
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let output = cluster.cli_without_token(&args).unwrap();
        err(&output).contains("401").then_some(output)
    });
    assert_eq!(code(&refused), 1);
    assert_eq!(
        err(&refused),
        "error: 401 Unauthorized: the operators' token is missing or wrong; give it with --token-file\n"
    );
}

#[test]
fn a_settings_file_is_checked_by_both_programs() {
    let cluster = processes(1, 1);
    let good = cluster
        .layout
        .router_settings(0)
        .unwrap()
        .display()
        .to_string();
    let checked = cluster.cli(&["settings", "check", &good]).unwrap();
    assert_eq!(code(&checked), 0, "{}", err(&checked));
    let bad = cluster.layout.folder().join("bad.jsonc");
    std::fs::write(&bad, "{}").unwrap();
    let bad = bad.display().to_string();
    let found = cluster.cli(&["settings", "check", &bad]).unwrap();
    assert_eq!(code(&found), 1);
    assert!(err(&found).contains("bad.jsonc:1:1: vm: is missing; write a text in quotes"));
    let daemon = cluster.daemon_check(&bad).unwrap();
    assert_eq!(err(&daemon), err(&found));
}
