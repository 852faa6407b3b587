//! What a replica has looked at, for metrics and for tests of how its work grows.

/// Rows that were looked at, by kind: renewals and targets since the replica started,
/// the others since it began to lead. Per event they must not grow with the number of
/// routers or targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Looks {
    /// Renewals that wait for their answer.
    pub renewals: u64,
    /// Routers' leases.
    pub leases: u64,
    /// Targets as agreed.
    pub targets: u64,
    /// What routers hold and want of repeats.
    pub repeats: u64,
    /// Engines, for the placement of layers.
    pub cards: u64,
}
