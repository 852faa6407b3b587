//! The choice of a plain service.

use super::fleet::{Fleet, TargetKey};
use super::health::HealthState;
use crate::state::{TargetName, TemplateName};
use crate::time::Instant;
use rand::{Rng, RngExt};
use std::collections::BTreeSet;

/// Candidates looked at.
const SAMPLE: usize = 2;

/// The better of two usable targets of a template, drawn at random.
pub fn choose_service(
    fleet: &Fleet,
    now: Instant,
    template: &TemplateName,
    avoid: &BTreeSet<TargetName>,
    rng: &mut impl Rng,
) -> Option<TargetKey> {
    let usable = |key: &TargetKey| {
        fleet.get(*key).is_some_and(|t| {
            t.takes_work(now)
                && t.has_slot()
                && t.health.state(now) != HealthState::Suspended
                && !avoid.contains(&t.name)
        })
    };
    let all: Vec<TargetKey> = fleet
        .services(template)
        .iter()
        .copied()
        .filter(usable)
        .collect();
    if all.is_empty() {
        return None;
    }
    let cost = |key: &TargetKey| fleet.get(*key).map_or(f64::INFINITY, |t| t.step_us(now, 1));
    (0..SAMPLE)
        .map(|_| all[rng.random_range(0..all.len())])
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
}
