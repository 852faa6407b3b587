//! Collects the routers' service-level counts.

use super::api::{ControlApi, get_json};
use anyhow::Result;
use deckwind_core::burn::BurnReport;
use deckwind_core::state::VmName;

/// The merged report, and who is missing in it.
#[derive(Clone, Debug, PartialEq)]
pub struct CollectedBurn {
    /// All routers that answered.
    pub report: BurnReport,
    /// Routers that did not.
    pub silent: Vec<VmName>,
}

/// Asks each router that holds a lease.
pub fn collect_burn(api: &ControlApi) -> Result<CollectedBurn> {
    let status = api.status()?;
    let mut collected = CollectedBurn {
        report: BurnReport::default(),
        silent: Vec::new(),
    };
    for router in status.routers {
        match get_json::<BurnReport>(router.admin, "/v1/burn") {
            Ok(report) => collected.report.absorb(report),
            Err(_) => collected.silent.push(router.vm),
        }
    }
    Ok(collected)
}
