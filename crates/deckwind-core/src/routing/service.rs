//! Target selection for plain services.

use super::fleet::{Fleet, TargetKey};
use super::health::HealthState;
use crate::state::{TargetName, TemplateName};
use crate::time::Instant;
use rand::{Rng, RngExt};
use std::collections::BTreeSet;

/// Number of candidates that are compared.
const SAMPLE_SIZE: usize = 2;

/// Returns the cheaper of two randomly sampled, usable targets of a template, or `None`
/// if no target is usable.
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
                && t.has_free_slot()
                && t.health.state(now) != HealthState::Suspended
                && !avoid.contains(&t.name)
        })
    };
    let candidates: Vec<TargetKey> = fleet
        .services(template)
        .iter()
        .copied()
        .filter(usable)
        .collect();
    if candidates.is_empty() {
        return None;
    }
    let cost = |key: &TargetKey| fleet.get(*key).map_or(f64::INFINITY, |t| t.step_us(now, 1));
    (0..SAMPLE_SIZE)
        .map(|_| candidates[rng.random_range(0..candidates.len())])
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
}
