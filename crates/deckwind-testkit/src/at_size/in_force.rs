//! Checks when published changes came into force, by the logs of the routers.

use super::checks::{Change, Finding, Violation};
use super::control_log::LogLine;
use super::control_report::ControlRecords;
use super::faults::FaultKind;
use super::operator::GIVE_UP_AFTER;
use super::operator_report::BOUNDS;
use std::collections::HashMap;
use std::time::Duration;

/// Times at which each router put a release into force, with its version, by its name.
type InForce<'a> = HashMap<&'a str, Vec<(Duration, u64)>>;

/// Returns the failed checks of all valid changes.
pub fn check(records: &ControlRecords) -> Vec<Finding> {
    let in_force = releases_in_force(records);
    let valid = records.changes.iter().filter(|c| c.is_valid);
    valid
        .filter_map(|change| match change.acknowledged {
            Some((at, _)) => check_in_force(records, &in_force, change, at),
            None => check_unanswered(records, change),
        })
        .collect()
}

fn releases_in_force<'a>(records: &ControlRecords<'a>) -> InForce<'a> {
    let mut by_router = InForce::new();
    let is_applied = |l: &&LogLine| l.event() == "release_in_force";
    for line in records.lines.iter().filter(is_applied) {
        let version = line.number("version").unwrap_or(0);
        let router = by_router.entry(line.process.as_str()).or_default();
        router.push((line.at, version));
    }
    by_router
}

/// Fails for a change that a router had not put into force in time.
fn check_in_force(
    records: &ControlRecords,
    in_force: &InForce,
    change: &Change,
    acknowledged: Duration,
) -> Option<Finding> {
    let due = acknowledged + BOUNDS.apply;
    if !records.is_calm(acknowledged) || !records.is_calm(due) || due > records.until {
        return None;
    }
    let version = change.release.version;
    let has_applied =
        |applied: &&Vec<(Duration, u64)>| applied.iter().any(|(at, v)| *at <= due && *v >= version);
    let on_time = in_force.values().filter(has_applied).count();
    let late = records.routers.saturating_sub(on_time);
    (late > 0).then(|| {
        let details = format!("version {version} late at {late} routers, acknowledged at");
        Finding::new(Violation::NotInForce, (details, acknowledged))
    })
}

/// Fails for a change without a clear answer, unless all replicas were killed meanwhile.
fn check_unanswered(records: &ControlRecords, change: &Change) -> Option<Finding> {
    let given_up = change.sent + GIVE_UP_AFTER;
    let mut faults = records.faults.iter();
    let is_excused = faults.any(|f| {
        let kills_all = matches!(
            f.kind,
            FaultKind::AllControlKilled | FaultKind::RoutersBehind
        );
        kills_all && f.from < given_up && change.sent < f.until
    });
    if change.refused.is_some() || is_excused {
        return None;
    }
    let details = (change.release.version, &change.kind, change.sent);
    Some(Finding::new(Violation::NotAcknowledged, details))
}
