//! The operators' command line, run against a live cluster.

use crate::any_loopback_port;
use crate::processes::process_cluster;
use deckwind_fakes::{FakeService, serve};
use deckwind_testkit::{Caller, account, eventually_async, service_target, service_template};
use std::process::Output;

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap_or(-1)
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn changes_conflict_resend_and_read_back() {
    let cluster = process_cluster(1, 0);
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
    assert_eq!(exit_code(&first), 0, "{}", stderr(&first));
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
    assert_eq!(exit_code(&conflict), 3);
    assert_eq!(
        stderr(&conflict),
        "error: request id r2: conflict: the object is at revision 1; read it again and apply to that\n"
    );
    let unknown = cluster.cli(&["template", "show", "none"]).unwrap();
    assert_eq!(exit_code(&unknown), 1);
    assert_eq!(
        stderr(&unknown),
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
    assert_eq!(exit_code(&bad), 1);
    assert!(
        stderr(&bad).contains("holds no account"),
        "{}",
        stderr(&bad)
    );
    assert_eq!(
        exit_code(&cluster.apply("account", &account("a", "k")).unwrap()),
        0
    );
    let retired = cluster
        .cli(&["account", "retire", "a", "--wait", "15s"])
        .unwrap();
    assert_eq!(exit_code(&retired), 0, "{}", stderr(&retired));
    let listed = cluster
        .cli(&["account", "list", "--format", "json"])
        .unwrap();
    assert_eq!(String::from_utf8_lossy(&listed.stdout).trim(), "[]");
    assert_eq!(control.terminate().unwrap(), Some(0));
}

#[test]
fn a_wrong_token_is_refused() {
    let cluster = process_cluster(1, 0);
    let _control = cluster.control(0).unwrap();
    let wrong = cluster.layout.folder().join("wrong");
    std::fs::write(&wrong, "wrong").unwrap();
    let refused = deckwind_testkit::eventually("the replica answers", || {
        let args = ["status", "--token-file", &wrong.display().to_string()].map(String::from);
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let output = cluster.cli_without_token(&args).unwrap();
        stderr(&output).contains("401").then_some(output)
    });
    assert_eq!(exit_code(&refused), 1);
    assert_eq!(
        stderr(&refused),
        "error: 401 Unauthorized: the operators' token is missing or wrong; give it with --token-file\n"
    );
}

#[test]
fn a_settings_file_is_checked_by_both_programs() {
    let cluster = process_cluster(1, 1);
    let good = cluster
        .layout
        .router_settings(0)
        .unwrap()
        .display()
        .to_string();
    let checked = cluster.cli(&["settings", "check", &good]).unwrap();
    assert_eq!(exit_code(&checked), 0, "{}", stderr(&checked));
    let bad = cluster.layout.folder().join("bad.jsonc");
    std::fs::write(&bad, "{}").unwrap();
    let bad = bad.display().to_string();
    let found = cluster.cli(&["settings", "check", &bad]).unwrap();
    assert_eq!(exit_code(&found), 1);
    assert!(stderr(&found).contains("bad.jsonc:1:1: vm: is missing; write a text in quotes"));
    let daemon = cluster.daemon_check(&bad).unwrap();
    assert_eq!(stderr(&daemon), stderr(&found));
}

/// The burn report counts both answered and refused calls.
#[test]
fn the_burn_report_comes_as_table_json_and_page() {
    crate::run_async(async {
        let cluster = process_cluster(1, 1);
        let _control = cluster.control(0).unwrap();
        let _router = cluster.router(0).unwrap();
        cluster
            .apply("template", &service_template("gates", true))
            .unwrap();
        cluster.apply("account", &account("ferry", "key")).unwrap();
        let caller = Caller::new(cluster.layout.routers[0].callers, "key");
        let refused = eventually_async("the router has received the account", || async {
            let answer = caller.post("/s/gates/1", "{}", &[]).await.ok()?;
            (answer.code() == "no-targets" || answer.code() == "deadline").then_some(answer)
        })
        .await;
        assert_eq!(refused.status, 503);
        let service = FakeService::new("gates");
        let served = serve::service(any_loopback_port(), std::sync::Arc::new(service))
            .await
            .unwrap();
        cluster
            .apply("target", &service_target("g", served.address, "gates"))
            .unwrap();
        for _ in 0..3 {
            assert_eq!(
                caller.post("/s/gates/1", "{}", &[]).await.unwrap().status,
                200
            );
        }
        let page = cluster
            .layout
            .folder()
            .join("burn.html")
            .display()
            .to_string();
        let args = ["report", "burn", "--format", "json", "--html", &page];
        let report = cluster.cli(&args).unwrap();
        assert_eq!(exit_code(&report), 0, "{}", stderr(&report));
        let report: serde_json::Value = serde_json::from_slice(&report.stdout).unwrap();
        let row = &report["rows"][0];
        assert_eq!(
            (row["template"].as_str(), row["account"].as_str()),
            (Some("gates"), Some("ferry"))
        );
        assert_eq!(row["windows"][0]["window"], "five-minutes");
        let total = row["since_start"]["total"].as_u64().unwrap();
        let good = row["since_start"]["good"].as_u64().unwrap();
        assert!(total > good && good <= 3, "{total} {good}");
        let html = std::fs::read_to_string(page).unwrap();
        assert!(html.contains("<svg") && html.contains("ferry"));
        let table = cluster.cli(&["report", "burn"]).unwrap();
        assert!(String::from_utf8_lossy(&table.stdout).contains("budget left"));
    });
}

#[test]
fn keys_are_made_once_and_never_written_over() {
    let cluster = process_cluster(1, 0);
    let folder = cluster
        .layout
        .folder()
        .join("new-keys")
        .display()
        .to_string();
    let new = |vm: &str| {
        cluster
            .cli(&["keys", "new", "--folder", &folder, "--vm", vm])
            .unwrap()
    };
    assert_eq!(exit_code(&new("a=10.0.0.1")), 0);
    assert_eq!(exit_code(&new("b=10.0.0.2")), 0);
    let again = new("a=10.0.0.1");
    assert_eq!(exit_code(&again), 1);
    assert_eq!(
        stderr(&again),
        format!("error: {folder}/a.pem is there already; move it away first\n")
    );
    assert_eq!(exit_code(&new("a")), 2);
    let completions = cluster.cli(&["completions", "bash"]).unwrap();
    assert!(String::from_utf8_lossy(&completions.stdout).contains("_deckwind"));
}
