//! Collection of the routers' service-level counts.

use super::api::{ControlApi, get_json};
use anyhow::Result;
use deckwind_core::burn::BurnReport;
use deckwind_core::state::VmName;

/// Merged burn report, and the routers missing in it.
#[derive(Clone, Debug, PartialEq)]
pub struct CollectedBurn {
    /// Counts of all routers that answered.
    pub report: BurnReport,
    /// Routers that did not answer.
    pub unanswered: Vec<VmName>,
}

/// Collects and merges the burn reports of all routers that hold a lease.
pub fn collect_burn(api: &ControlApi) -> Result<CollectedBurn> {
    let status = api.status()?;
    let mut collected = CollectedBurn {
        report: BurnReport::default(),
        unanswered: Vec::new(),
    };
    for router in status.routers {
        match get_json::<BurnReport>(router.admin, "/v1/burn") {
            Ok(report) => collected.report.merge(report),
            Err(_) => collected.unanswered.push(router.vm),
        }
    }
    Ok(collected)
}
