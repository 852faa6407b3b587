//! Rules that routers and the leader keep for limits that targets name, and how far they
//! are explored.

/// Rules that can be taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRules {
    /// A router that knows of the limit sends with permits only.
    pub permit_first: bool,
    /// The leader issues no more than the target takes.
    pub paced: bool,
    /// A new leader issues nothing at once.
    pub new_leader_waits: bool,
    /// A permit is good for a time from its question on.
    pub lasts_from_question: bool,
    /// A permit is used once.
    pub used_once: bool,
    /// Only an answer to a permitted request ends the limit.
    pub ended_by_permitted: bool,
    /// It ends it only if it was permitted after the limit was last told of.
    pub ended_by_later: bool,
    /// A leader compares no times of another one.
    pub ended_by_own_time: bool,
    /// A router takes the list with which its last renewal is answered, none before.
    pub one_renewal: bool,
    /// The list of another leader ends nothing: it is to be told all first.
    pub another_is_told_all: bool,
    /// A leader's word that there is no limit ends only what was heard before the
    /// question.
    pub over_as_asked: bool,
}

impl LimitRules {
    /// All rules.
    pub const ALL: LimitRules = LimitRules {
        permit_first: true,
        paced: true,
        new_leader_waits: true,
        lasts_from_question: true,
        used_once: true,
        ended_by_permitted: true,
        ended_by_later: true,
        ended_by_own_time: true,
        one_renewal: true,
        another_is_told_all: true,
        over_as_asked: true,
    };
}

/// How far it is explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitBounds {
    /// Routers, two at most.
    pub routers: u8,
    /// Steps of time.
    pub steps: u8,
    /// Steps over which requests are counted.
    pub span: u8,
    /// Steps between two permits.
    pub interval: u8,
    /// Steps for which a permit is good.
    pub lasts: u8,
    /// Questions of all routers for permits.
    pub questions: u8,
    /// Renewals of all routers.
    pub renewals: u8,
    /// Requests of all routers.
    pub sends: u8,
    /// Times that the target begins or ends to name its limit.
    pub changes: u8,
    /// Changes of the leader.
    pub leaders: u8,
    /// Restarts of routers.
    pub restarts: u8,
}

impl LimitBounds {
    /// Most requests in a span: of each permit that may be used in it.
    pub fn most(&self) -> u8 {
        (self.span + self.lasts - 1).div_ceil(self.interval)
    }
}
