//! Specification of what a router serves by: the release that revokes a key is
//! acknowledged once each router has it or has no lease, and no request that comes later
//! runs with the key, whatever the order in which the threads of a router take turns.

use crate::Spec;
use crate::cases::Case;

/// Rules of the protocol, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingRules {
    /// The lease of a grant counts only once the release that came with it is in force.
    pub release_before_lease: bool,
    /// A request is admitted by a release and a lease that were read as one value.
    pub read_as_one: bool,
}

impl ServingRules {
    /// Enables all rules.
    pub const ALL: ServingRules = ServingRules {
        release_before_lease: true,
        read_as_one: true,
    };
}

/// A request that comes after the acknowledgement, and what its thread has read so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Request {
    None,
    /// The release with the key was read, the lease not yet.
    ReadOldRelease,
    /// The release without the key was read.
    Refused,
    /// Admitted with the revoked key.
    Admitted,
}

/// State of the serving specification.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ServingState {
    /// Whether the leader has committed the release that revokes the key.
    revoked: bool,
    acknowledged: bool,
    lease_is_live: bool,
    /// Whether the router still uses the release with the key.
    has_old_release: bool,
    /// Whether a grant has arrived and its lease, or its release, is still to be applied.
    lease_pending: bool,
    release_pending: bool,
    request: Request,
}

/// Specification of serving with its rules.
#[derive(Clone, Copy, Debug)]
pub struct ServingSpec {
    /// Enabled rules.
    pub rules: ServingRules,
}

impl ServingSpec {
    fn control_steps(&self, s: &ServingState) -> Vec<(&'static str, ServingState)> {
        let mut steps = Vec::new();
        let mut step = |name, change: &dyn Fn(&mut ServingState)| {
            let mut n = s.clone();
            change(&mut n);
            steps.push((name, n));
        };
        if !s.revoked {
            step("the leader commits the release without the key", &|n| {
                n.revoked = true;
            });
        }
        let has_no_old_lease = !s.has_old_release || !s.lease_is_live;
        if s.revoked && !s.acknowledged && has_no_old_lease && !s.lease_pending {
            step("the leader acknowledges it", &|n| n.acknowledged = true);
        }
        if s.lease_is_live {
            step("the lease expires", &|n| n.lease_is_live = false);
        }
        if !s.lease_pending && !s.release_pending && !s.lease_is_live {
            step("a grant arrives", &|n| {
                n.lease_pending = true;
                n.release_pending = n.revoked && n.has_old_release;
            });
        }
        steps
    }

    fn renewal_steps(&self, s: &ServingState) -> Vec<(&'static str, ServingState)> {
        let mut steps = Vec::new();
        if s.release_pending {
            let mut n = s.clone();
            n.release_pending = false;
            n.has_old_release = false;
            steps.push(("the router uses the new release", n));
        }
        if s.lease_pending && !(self.rules.release_before_lease && s.release_pending) {
            let mut n = s.clone();
            n.lease_pending = false;
            n.lease_is_live = true;
            steps.push(("the lease of the router counts", n));
        }
        steps
    }

    fn request_steps(&self, s: &ServingState) -> Vec<(&'static str, ServingState)> {
        let set = |name, request| {
            let n = ServingState {
                request,
                ..s.clone()
            };
            vec![(name, n)]
        };
        match s.request {
            Request::None if !s.acknowledged => Vec::new(),
            Request::None if !s.has_old_release => set("a request is refused", Request::Refused),
            Request::None if !self.rules.read_as_one => {
                set("a request reads the old release", Request::ReadOldRelease)
            }
            Request::None | Request::ReadOldRelease if s.lease_is_live => {
                set("a request is admitted", Request::Admitted)
            }
            _ => Vec::new(),
        }
    }
}

impl Spec for ServingSpec {
    type State = ServingState;

    fn initial(&self) -> ServingState {
        ServingState {
            revoked: false,
            acknowledged: false,
            lease_is_live: true,
            has_old_release: true,
            lease_pending: false,
            release_pending: false,
            request: Request::None,
        }
    }

    fn successors(&self, s: &ServingState) -> Vec<(String, ServingState)> {
        let steps = self.control_steps(s).into_iter();
        let steps = steps.chain(self.renewal_steps(s));
        let steps = steps.chain(self.request_steps(s));
        steps.map(|(name, n)| (name.to_string(), n)).collect()
    }

    fn violation(&self, s: &ServingState) -> Option<String> {
        (s.request == Request::Admitted).then(|| RAN_WITH_REVOKED_KEY.to_string())
    }
}

const RAN_WITH_REVOKED_KEY: &str = "a request runs with a key whose removal was acknowledged";

/// Returns the serving specification with each rule disabled in turn.
pub fn serving_cases() -> Vec<Case<ServingSpec>> {
    let all = ServingRules::ALL;
    let case = |disabled_rule, rules| Case {
        disabled_rule,
        spec: ServingSpec { rules },
        violates: RAN_WITH_REVOKED_KEY,
    };
    vec![
        case(
            "putting the release in force before the lease",
            ServingRules {
                release_before_lease: false,
                ..all
            },
        ),
        case(
            "reading release and lease as one value",
            ServingRules {
                read_as_one: false,
                ..all
            },
        ),
    ]
}
