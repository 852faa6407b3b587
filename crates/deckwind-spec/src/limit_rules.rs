//! Rules of the limit specification, which routers and the leader follow for limits that
//! targets name, and bounds of its exploration.

/// Rules of the protocol, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRules {
    /// A router that knows of the limit sends requests only with permits.
    pub permit_required: bool,
    /// The leader issues permits no faster than the target's limit.
    pub paced: bool,
    /// A new leader waits one interval before it issues its first permit.
    pub new_leader_waits: bool,
    /// The lifetime of a permit starts when it is requested.
    pub lifetime_from_request: bool,
    /// A permit is used only once.
    pub single_use: bool,
    /// Only the answer to a request sent with a permit ends the limit.
    pub end_by_permitted_only: bool,
    /// Such an answer ends the limit only if the permit was issued after the limit was last
    /// named to a router.
    pub end_by_later_only: bool,
    /// A leader does not compare its times with those of another leader.
    pub end_by_own_time_only: bool,
    /// A router accepts only the list in the answer to its last renewal.
    pub last_renewal_only: bool,
    /// The list of a new leader ends no limit, since the router must first report all its
    /// limits to that leader.
    pub full_report_to_new_leader: bool,
    /// A leader's answer that there is no limit ends only a limit that the router received
    /// before it sent the request.
    pub end_older_only: bool,
}

impl LimitRules {
    /// Enables all rules.
    pub const ALL: LimitRules = LimitRules {
        permit_required: true,
        paced: true,
        new_leader_waits: true,
        lifetime_from_request: true,
        single_use: true,
        end_by_permitted_only: true,
        end_by_later_only: true,
        end_by_own_time_only: true,
        last_renewal_only: true,
        full_report_to_new_leader: true,
        end_older_only: true,
    };
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitBounds {
    /// Number of routers, at most two.
    pub routers: u8,
    /// Number of time steps.
    pub steps: u8,
    /// Steps over which requests are counted against the limit.
    pub window: u8,
    /// Steps between two permits, which represents the limit.
    pub permit_interval: u8,
    /// Steps for which a permit is valid.
    pub permit_lifetime: u8,
    /// Maximum number of permit requests of all routers.
    pub permit_requests: u8,
    /// Maximum number of lease renewals of all routers.
    pub renewals: u8,
    /// Maximum number of requests of all routers to the target.
    pub requests: u8,
    /// Maximum number of times that the target starts or stops naming a limit.
    pub limit_changes: u8,
    /// Maximum number of leader changes.
    pub leader_changes: u8,
    /// Maximum number of restarts of all routers.
    pub restarts: u8,
}

impl LimitBounds {
    /// Returns the maximum number of requests in a window: one for each permit that can be
    /// used in it.
    pub fn max_requests(&self) -> u8 {
        (self.window + self.permit_lifetime - 1).div_ceil(self.permit_interval)
    }
}
