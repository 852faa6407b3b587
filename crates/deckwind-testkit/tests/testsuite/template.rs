//! The settings template as the platform fills it in: the result is a readable settings
//! file for each number that the platform may insert.

use deckwind_config::Settings;
use std::collections::BTreeMap;
use std::time::Duration;

type Fields = BTreeMap<&'static str, &'static str>;

const TEMPLATE: &str = include_str!("../../../../deploy/settings.jsonc.in");

fn fields() -> Fields {
    Fields::from([
        ("nodeName", "front-recife-a-1"),
        ("zone", "recife-a"),
        ("ip", "10.1.0.42"),
        ("portRange.0", "7680"),
        ("portRange.1", "7695"),
        ("seeds", "10.1.0.45:8605,10.2.0.22:8605"),
        ("bootstrap", "true"),
        ("faultTolerance.machines", "2"),
        ("listen.front", "10.1.0.42:8603"),
        ("listen.readiness", "10.1.0.42:8602"),
        ("bounds.graceS", "8"),
        ("bounds.retryBudgetRatio", "0.2"),
        ("bounds.budgetSlack", "574"),
        ("bounds.budgetWindowS", "10"),
    ])
}

/// Expands placeholders and sections as the platform's documentation describes them, as
/// far as the template uses them.
fn fill(template: &str, fields: &Fields, entry: Option<(&str, bool)>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, placeholder)) = rest.split_once("{{") {
        out += before;
        let (name, after) = placeholder.split_once("}}").unwrap();
        rest = after;
        if let Some(section) = name.strip_prefix('#') {
            let end = format!("{{{{/{section}}}}}");
            let (body, after) = rest.split_once(&end).unwrap();
            rest = after;
            out += &expand_section(section, body, fields);
        } else {
            out += match (name, entry) {
                (".", Some((value, _))) => value,
                (",", Some((_, last))) => [",", ""][usize::from(last)],
                _ => fields.get(name).copied().unwrap_or_default(),
            };
        }
    }
    out + rest
}

fn expand_section(section: &str, body: &str, fields: &Fields) -> String {
    let value = fields.get(section).copied().unwrap_or("false");
    if value == "false" {
        return String::new();
    }
    let entries: Vec<&str> = value.split(',').collect();
    let last = entries.len() - 1;
    let expand_entry = |(i, e): (usize, &&str)| fill(body, fields, Some((*e, i == last)));
    entries.iter().enumerate().map(expand_entry).collect()
}

fn load(fields: &Fields) -> Result<Settings, String> {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("settings.conf");
    std::fs::write(&file, fill(TEMPLATE, fields, None)).unwrap();
    deckwind_config::load(&file).map_err(|findings| findings.to_string())
}

#[yare::parameterized(
    as_documented = { "zone", Some("recife-a") },
    grace_fraction = { "bounds.graceS", Some("2.75") },
    grace_large = { "bounds.graceS", Some("86400") },
    grace_missing = { "bounds.graceS", None },
    share_whole = { "bounds.retryBudgetRatio", Some("1") },
    share_small = { "bounds.retryBudgetRatio", Some("0.0001") },
    share_missing = { "bounds.retryBudgetRatio", None },
    beyond_fraction = { "bounds.budgetSlack", Some("47.83") },
    beyond_large = { "bounds.budgetSlack", Some("10000000.0") },
    beyond_zero = { "bounds.budgetSlack", Some("0") },
    beyond_missing = { "bounds.budgetSlack", None },
    window_fraction = { "bounds.budgetWindowS", Some("0.5") },
    window_large = { "bounds.budgetWindowS", Some("600.0") },
    window_missing = { "bounds.budgetWindowS", None },
    later_start = { "bootstrap", Some("false") },
    start_missing = { "bootstrap", None },
    none_lost = { "faultTolerance.machines", Some("0") },
    many_lost = { "faultTolerance.machines", Some("15") },
    lost_missing = { "faultTolerance.machines", None },
    one_seed = { "seeds", Some("10.1.0.45:8605") },
)]
fn whatever_the_platform_fills_in_is_read(field: &'static str, value: Option<&'static str>) {
    let mut fields = fields();
    fields.remove(field);
    fields.extend(value.map(|v| (field, v)));
    if let Err(findings) = load(&fields) {
        panic!("{findings}");
    }
}

#[test]
fn fractions_are_taken_as_they_stand() {
    let mut fields = fields();
    fields.insert("bounds.budgetSlack", "47.83");
    fields.insert("bounds.graceS", "2.75");
    let router = load(&fields).unwrap().router.unwrap();
    assert_eq!(router.repeats.beyond, 47.83);
    assert_eq!(router.killed_after, Some(Duration::from_millis(2_750)));
}
