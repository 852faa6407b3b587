//! Leases of two routers that ask a replica which passes their questions on to the leader,
//! over lost, late and doubled messages and a restart of that replica.
//!
//! Time is counted in steps. What the replica passes on and what the leader answers stay
//! for ever and may be taken at any time and any number of times. The tokens of each start
//! of the replica begin anew, as numbers that are drawn may.

use crate::Spec;
use crate::cases::Case;
use std::collections::{BTreeMap, BTreeSet};

const ROUTERS: usize = 2;

/// Length of a lease, steps.
const LEASE: u8 = 2;

/// Rules that can be taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassOnRules {
    /// Answers name the start of the replica that passed the question on.
    pub life_in_answers: bool,
    /// A router counts its lease from when it asked, however long the question was on its
    /// way.
    pub counts_from_asking: bool,
}

impl PassOnRules {
    /// All rules.
    pub const ALL: PassOnRules = PassOnRules {
        life_in_answers: true,
        counts_from_asking: true,
    };
}

/// A question as it was passed on, and the answer to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Passed {
    life: u8,
    token: u8,
    router: u8,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Router {
    /// Questions so far.
    questions: u8,
    /// When the one that is open was asked.
    asked: Option<u8>,
    /// When its lease ends.
    until: u8,
}

/// A state of the specification.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PassOnState {
    now: u8,
    life: u8,
    next_token: u8,
    /// Who waits at the replica: the router, and the number of its question.
    waiting: BTreeMap<u8, (u8, u8)>,
    routers: [Router; ROUTERS],
    passed_on: BTreeSet<Passed>,
    answers: BTreeSet<Passed>,
    /// When the leader counts each lease as over.
    counted: [u8; ROUTERS],
    taken_by_another: bool,
}

/// The specification with its rules and bounds.
#[derive(Clone, Copy, Debug)]
pub struct PassOnSpec {
    /// Rules in force.
    pub rules: PassOnRules,
    /// Steps of time.
    pub steps: u8,
    /// Questions of each router.
    pub questions: u8,
    /// Restarts of the replica.
    pub restarts: u8,
}

impl PassOnSpec {
    /// Explored in the tests.
    pub const SMALL: PassOnSpec = PassOnSpec {
        rules: PassOnRules::ALL,
        steps: 4,
        questions: 1,
        restarts: 1,
    };

    fn ask(&self, s: &PassOnState, i: usize) -> Option<PassOnState> {
        let r = s.routers[i];
        let may = r.asked.is_none() && r.questions < self.questions;
        let mut n = may.then(|| s.clone())?;
        n.routers[i].questions += 1;
        n.routers[i].asked = Some(n.now);
        let token = n.next_token;
        n.next_token += 1;
        n.waiting.insert(token, (i as u8, n.routers[i].questions));
        n.passed_on.insert(Passed {
            life: n.life,
            token,
            router: i as u8,
        });
        Some(n)
    }

    fn give_up(&self, s: &PassOnState, i: usize) -> Option<PassOnState> {
        s.routers[i].asked?;
        let mut n = s.clone();
        n.routers[i].asked = None;
        Some(n)
    }

    fn grant(&self, s: &PassOnState, passed: Passed) -> PassOnState {
        let mut n = s.clone();
        n.counted[passed.router as usize] = n.now + LEASE;
        n.answers.insert(passed);
        n
    }

    fn hand_back(&self, s: &PassOnState, answer: Passed) -> Option<PassOnState> {
        if self.rules.life_in_answers && answer.life != s.life {
            return None;
        }
        let mut n = s.clone();
        let (router, question) = n.waiting.remove(&answer.token)?;
        let r = &mut n.routers[router as usize];
        let asked = r.asked.filter(|_| r.questions == question);
        let Some(asked) = asked else {
            return Some(n);
        };
        r.asked = None;
        let from = match self.rules.counts_from_asking {
            true => asked,
            false => s.now,
        };
        r.until = r.until.max(from + LEASE);
        n.taken_by_another |= router != answer.router;
        Some(n)
    }

    fn restart(&self, s: &PassOnState) -> Option<PassOnState> {
        let mut n = (s.life < self.restarts).then(|| s.clone())?;
        n.life += 1;
        n.next_token = 0;
        n.waiting.clear();
        n.routers.iter_mut().for_each(|r| r.asked = None);
        Some(n)
    }

    fn tick(&self, s: &PassOnState) -> Option<PassOnState> {
        let mut n = (s.now < self.steps).then(|| s.clone())?;
        n.now += 1;
        Some(n)
    }
}

impl Spec for PassOnSpec {
    type State = PassOnState;

    fn start(&self) -> PassOnState {
        PassOnState {
            now: 0,
            life: 0,
            next_token: 0,
            waiting: BTreeMap::new(),
            routers: [Router::default(); ROUTERS],
            passed_on: BTreeSet::new(),
            answers: BTreeSet::new(),
            counted: [0; ROUTERS],
            taken_by_another: false,
        }
    }

    fn next(&self, s: &PassOnState) -> Vec<(String, PassOnState)> {
        let mut steps = Vec::new();
        for i in 0..ROUTERS {
            steps.extend(self.ask(s, i).map(|n| (format!("router {i} asks"), n)));
            steps.extend(
                self.give_up(s, i)
                    .map(|n| (format!("router {i} gives up"), n)),
            );
        }
        for passed in &s.passed_on {
            steps.push((
                format!("the leader takes {passed:?}"),
                self.grant(s, *passed),
            ));
        }
        for answer in &s.answers {
            let handed = self.hand_back(s, *answer);
            steps.extend(handed.map(|n| (format!("the replica takes {answer:?}"), n)));
        }
        steps.extend(
            self.restart(s)
                .map(|n| ("the replica restarts".to_string(), n)),
        );
        steps.extend(self.tick(s).map(|n| ("time passes".to_string(), n)));
        steps
    }

    fn broken(&self, s: &PassOnState) -> Option<String> {
        if s.taken_by_another {
            return Some(ANOTHERS.to_string());
        }
        let mut leases = s.routers.iter().zip(s.counted);
        let outlives = leases.any(|(r, counted)| r.until > counted);
        outlives.then(|| OUTLIVES.to_string())
    }
}

const ANOTHERS: &str = "a router took another's answer";
const OUTLIVES: &str = "a router acts on a lease that the leader counts as over";

/// Passing on without each of its rules.
pub fn pass_on_cases() -> Vec<Case<PassOnSpec>> {
    let all = PassOnRules::ALL;
    let case = |without, rules, breaks| Case {
        without,
        spec: PassOnSpec {
            rules,
            ..PassOnSpec::SMALL
        },
        breaks,
    };
    vec![
        case(
            "the start of the replica in answers",
            PassOnRules {
                life_in_answers: false,
                ..all
            },
            ANOTHERS,
        ),
        case(
            "the lease that counts from asking",
            PassOnRules {
                counts_from_asking: false,
                ..all
            },
            OUTLIVES,
        ),
    ]
}
