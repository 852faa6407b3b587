//! Counters of the rows that a replica scans, for metrics and for tests of how its work
//! scales.

/// Number of rows scanned, by kind. Renewals, targets, suspects and claims are counted since the replica
/// started, the others since it became the leader. The number of rows per event must not
/// grow with the number of routers or targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScanCounts {
    /// Renewals that wait for an answer.
    pub renewals: u64,
    /// Leases of routers.
    pub leases: u64,
    /// Targets in the replicated state.
    pub targets: u64,
    /// Rows of the retry budget: routers' reports and allowances.
    pub retries: u64,
    /// Rows of the evidence on crashes, each time that the list of suspects is derived from it.
    pub suspects: u64,
    /// Claims, when their holder is lost.
    pub claims: u64,
    /// Engines, for the placement of layers.
    pub cards: u64,
}
