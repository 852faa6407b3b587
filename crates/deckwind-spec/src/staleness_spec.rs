//! Specification of leases without state: how long a router may serve without a change that
//! was acknowledged, over changes of leader. Time passes in ticks.

use crate::Spec;
use crate::cases::Case;

/// Duration of a full lease, ticks.
const LEASE: u8 = 3;

/// Time for which a router may act without an acknowledged change, ticks.
const MAX_STALENESS: u8 = 3;

/// Age of the change above which it is no longer counted, ticks.
const MAX_AGE: u8 = 2 * (LEASE + MAX_STALENESS);

/// Rules of the protocol, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessRules {
    /// A lease without the change ends a bounded time after the leader accepted it.
    pub bounded_by_change: bool,
    /// A leader grants no lease without a change that it knew as accepted at its election.
    pub no_known_change: bool,
    /// The same for a change of an earlier term that it applies only after its election.
    pub no_change_applied_later: bool,
}

impl StalenessRules {
    /// Enables all rules.
    pub const ALL: StalenessRules = StalenessRules {
        bounded_by_change: true,
        no_known_change: true,
        no_change_applied_later: true,
    };
}

/// A leader as far as the change concerns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Leader {
    /// Nobody leads.
    None,
    /// Leads since before the change, and counts the ticks since it was accepted.
    Accepted { ticks: u8 },
    /// Was elected after the change and knew of it, and counts the ticks since.
    Knew { ticks: u8 },
    /// Was elected after the change, and counts the ticks since it applied it.
    AppliedLater { ticks: u8 },
}

/// State of the staleness specification.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StalenessState {
    /// Whether the change is committed and acknowledged.
    accepted: bool,
    /// Ticks since then, [`MAX_AGE`] at most.
    age: u8,
    leader: Leader,
    /// Ticks for which the router's lease is still live.
    lease: u8,
    /// Whether the router has the change.
    has_change: bool,
}

/// Specification of leases without state with its rules.
#[derive(Clone, Copy, Debug)]
pub struct StalenessSpec {
    /// Enabled rules.
    pub rules: StalenessRules,
}

impl StalenessSpec {
    /// Returns the duration of a lease without the change.
    fn lease_without_change(&self, leader: Leader) -> u8 {
        let bounded = |ticks: u8| match self.rules.bounded_by_change {
            true => LEASE.min(MAX_STALENESS.saturating_sub(ticks)),
            false => LEASE,
        };
        match leader {
            Leader::None => 0,
            Leader::Knew { .. } if self.rules.no_known_change => 0,
            Leader::AppliedLater { .. } if self.rules.no_change_applied_later => 0,
            Leader::Accepted { ticks }
            | Leader::Knew { ticks }
            | Leader::AppliedLater { ticks } => bounded(ticks),
        }
    }

    fn leader_steps(&self, s: &StalenessState) -> Vec<(&'static str, StalenessState)> {
        let mut steps = Vec::new();
        let leads = s.leader != Leader::None;
        if leads && !s.accepted {
            let leader = Leader::Accepted { ticks: 0 };
            let accepted = true;
            let n = StalenessState {
                accepted,
                leader,
                ..s.clone()
            };
            steps.push(("the leader accepts the change", n));
        }
        if leads {
            let leader = Leader::None;
            steps.push((
                "the leader is lost",
                StalenessState {
                    leader,
                    ..s.clone()
                },
            ));
        }
        if !leads && s.accepted {
            let knew = Leader::Knew { ticks: 0 };
            let later = Leader::AppliedLater { ticks: 0 };
            for (name, leader) in [
                ("another leader is elected that knew the change", knew),
                ("another leader is elected, then applies the change", later),
            ] {
                steps.push((
                    name,
                    StalenessState {
                        leader,
                        ..s.clone()
                    },
                ));
            }
        }
        steps
    }

    fn grant_steps(&self, s: &StalenessState) -> Vec<(&'static str, StalenessState)> {
        if s.leader == Leader::None {
            return Vec::new();
        }
        let with_change = StalenessState {
            lease: LEASE,
            has_change: s.accepted,
            ..s.clone()
        };
        let mut steps = vec![("the router gets a lease with all changes", with_change)];
        if s.accepted && !s.has_change {
            let lease = s.lease.max(self.lease_without_change(s.leader));
            let n = StalenessState { lease, ..s.clone() };
            steps.push(("the router gets a lease without the change", n));
        }
        steps
    }

    fn tick(&self, s: &StalenessState) -> StalenessState {
        let next = |ticks: u8| (ticks + 1).min(MAX_AGE);
        StalenessState {
            age: if s.accepted { next(s.age) } else { 0 },
            leader: match s.leader {
                Leader::Accepted { ticks } if s.accepted => Leader::Accepted { ticks: next(ticks) },
                Leader::Knew { ticks } => Leader::Knew { ticks: next(ticks) },
                Leader::AppliedLater { ticks } => Leader::AppliedLater { ticks: next(ticks) },
                other => other,
            },
            lease: s.lease.saturating_sub(1),
            ..s.clone()
        }
    }
}

impl Spec for StalenessSpec {
    type State = StalenessState;

    fn initial(&self) -> StalenessState {
        StalenessState {
            accepted: false,
            age: 0,
            leader: Leader::Accepted { ticks: 0 },
            lease: LEASE,
            has_change: false,
        }
    }

    fn successors(&self, s: &StalenessState) -> Vec<(String, StalenessState)> {
        let steps = self.leader_steps(s).into_iter();
        let steps = steps.chain(self.grant_steps(s));
        let steps = steps.chain([("time passes", self.tick(s))]);
        steps.map(|(name, n)| (name.to_string(), n)).collect()
    }

    fn violation(&self, s: &StalenessState) -> Option<String> {
        let serves_without = s.lease > 0 && !s.has_change;
        (serves_without && s.age >= LEASE.max(MAX_STALENESS)).then(|| SERVES_STALE.to_string())
    }
}

const SERVES_STALE: &str = "a router serves without a change for longer than its last full lease";

/// Returns the staleness specification with each rule disabled in turn.
pub fn staleness_cases() -> Vec<Case<StalenessSpec>> {
    let all = StalenessRules::ALL;
    let case = |disabled_rule, rules| Case {
        disabled_rule,
        spec: StalenessSpec { rules },
        violates: SERVES_STALE,
    };
    vec![
        case(
            "bounding a lease by the age of the change",
            StalenessRules {
                bounded_by_change: false,
                ..all
            },
        ),
        case(
            "granting no lease without a change known at the election",
            StalenessRules {
                no_known_change: false,
                ..all
            },
        ),
        case(
            "granting no lease without a change applied after the election",
            StalenessRules {
                no_change_applied_later: false,
                ..all
            },
        ),
    ]
}
