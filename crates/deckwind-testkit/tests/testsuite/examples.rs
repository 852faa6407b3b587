//! Checks that the example settings and object files are valid.

use deckwind::ops::{ObjectKind, new_keys, read_change};
use std::path::PathBuf;
use yare::parameterized;

fn examples_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

#[parameterized(
    cuidar_escala = { "cuidar-escala.jsonc", "recife-a-1" },
    fare_collection = { "fare-collection.jsonc", "edi-hall-1" },
)]
fn settings_have_no_findings_once_the_keys_are_made(file: &str, vm: &str) {
    let folder = tempfile::tempdir().unwrap();
    let copy = folder.path().join(file);
    std::fs::copy(examples_folder().join("settings").join(file), &copy).unwrap();
    let ip = "10.0.0.1".parse().unwrap();
    new_keys(&folder.path().join("keys"), &[(vm.to_string(), ip)]).unwrap();
    let settings = deckwind_config::load(&copy).unwrap();
    assert!(settings.router.is_some() && settings.control.is_some());
}

#[parameterized(
    rosters = { ObjectKind::Template, "rosters.jsonc" },
    confirmations = { ObjectKind::Template, "confirmations.jsonc" },
    card_status = { ObjectKind::Template, "card-status.jsonc" },
    account = { ObjectKind::Account, "account.jsonc" },
    runner = { ObjectKind::Target, "runner.jsonc" },
)]
fn objects_can_be_read(kind: ObjectKind, file: &str) {
    read_change(kind, &examples_folder().join("objects").join(file)).unwrap();
}
