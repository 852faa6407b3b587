//! The limit of one target, kept by two routers with permits of a leader, over lost and
//! late messages, restarts and other leaders.
//!
//! At the start all know of the limit. Time is counted in steps. Questions and the target's answers stay for ever and may be
//! taken at any time and any number of times; what the leader answers comes once, late or
//! never. The clock of each leader is its own. A leader that was replaced answers nobody.

use crate::Spec;
use crate::limit_rules::{LimitBounds, LimitRules};
use std::collections::BTreeSet;

const ROUTERS: usize = 2;

/// Longest span that can be specified.
const MOST_SPAN: usize = 4;

/// How far the first leader's clock is ahead of the others'.
const AHEAD: u8 = 8;

/// A moment of one leader, by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct LeaderTime {
    term: u8,
    at: u8,
}

/// What a router has heard of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Known {
    /// When the limit was last named to it.
    named: u8,
    /// When it last heard anything of it.
    heard: u8,
    /// An answer to a request of this permit named none.
    none_named: Option<LeaderTime>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Permit {
    issued: LeaderTime,
    until: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Router {
    boot: u8,
    known: Option<Known>,
    permits: BTreeSet<Permit>,
    /// The leader that it has a list of, and until when that one knows what it has
    /// heard.
    list: Option<(u8, Option<u8>)>,
    /// Renewals that it has sent, and answers that it has taken to them.
    renewals: u8,
    /// Whether an answer that names the present limit has come.
    told: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Question {
    router: u8,
    boot: u8,
    asked: u8,
    /// Nothing where the leader has been told.
    known: Option<Known>,
    /// Which renewal it is; nothing where a permit is wanted.
    renewal: Option<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Word {
    Permit(LeaderTime),
    NoLimit,
    /// The list of the leader of this term; whether it names the target.
    List(u8, bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Answer {
    question: Question,
    word: Word,
}

/// An answer of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Served {
    router: u8,
    boot: u8,
    /// Which limit it names.
    names: Option<u8>,
    permitted: Option<LeaderTime>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Leader {
    term: u8,
    /// When the limit that it keeps was last named to a router, or later, by its own
    /// clock.
    named: Option<u8>,
    /// When the permit was issued whose answer ended the limit last.
    ended: Option<u8>,
    /// When the next permit is due, by its own clock.
    next: u8,
}

/// A state of the specification.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LimitState {
    now: u8,
    /// Which limit the target names.
    limit: Option<u8>,
    leader: Leader,
    routers: [Router; ROUTERS],
    questions: BTreeSet<Question>,
    answers: BTreeSet<Answer>,
    served: BTreeSet<Served>,
    /// Requests of routers that had been told, in this step and the ones before it.
    came: [u8; MOST_SPAN],
    asked: u8,
    renewed: u8,
    sent: u8,
    changes: u8,
    restarts: u8,
}

/// The specification with its rules and bounds.
#[derive(Clone, Copy, Debug)]
pub struct LimitSpec {
    /// Rules in force.
    pub rules: LimitRules,
    /// Bounds.
    pub bounds: LimitBounds,
}

impl Leader {
    fn clock(&self, now: u8) -> u8 {
        match self.term {
            0 => now + AHEAD,
            _ => now,
        }
    }
}

impl LimitSpec {
    fn tick(&self, s: &LimitState) -> Option<LimitState> {
        let mut n = (s.now < self.bounds.steps).then(|| s.clone())?;
        n.now += 1;
        n.came.rotate_right(1);
        n.came[0] = 0;
        n.came[usize::from(self.bounds.span)..].fill(0);
        for r in &mut n.routers {
            r.permits.retain(|p| n.now < p.until);
        }
        Some(n)
    }

    /// The target begins to name a limit, or names none any more.
    fn change(&self, s: &LimitState) -> Option<LimitState> {
        let mut n = (s.changes < self.bounds.changes).then(|| s.clone())?;
        n.changes += 1;
        n.limit = s.limit.is_none().then_some(n.changes);
        n.came = [0; MOST_SPAN];
        n.routers.iter_mut().for_each(|r| r.told = false);
        Some(n)
    }

    /// Another replica leads. It knows of no limit.
    fn lead(&self, s: &LimitState) -> Option<LimitState> {
        let mut n = (s.leader.term < self.bounds.leaders).then(|| s.clone())?;
        n.leader = Leader {
            term: s.leader.term + 1,
            named: None,
            ended: None,
            next: 0,
        };
        Some(n)
    }

    fn restart(&self, s: &LimitState, i: usize) -> Option<LimitState> {
        let mut n = (s.restarts < self.bounds.restarts).then(|| s.clone())?;
        n.restarts += 1;
        n.routers[i] = Router::start(s.routers[i].boot + 1);
        Some(n)
    }

    /// A router sends a request, with a permit or where it needs none.
    fn send(&self, s: &LimitState, i: usize, permit: Option<Permit>) -> Option<LimitState> {
        let r = &s.routers[i];
        let free = r.known.is_none() || !self.rules.permit_first;
        let may = permit.is_some() || free;
        let mut n = (may && s.sent < self.bounds.sends).then(|| s.clone())?;
        n.sent += 1;
        if let Some(permit) = permit.filter(|_| self.rules.used_once) {
            n.routers[i].permits.remove(&permit);
        }
        n.came[0] += u8::from(r.told && s.limit.is_some());
        n.served.insert(Served {
            router: i as u8,
            boot: r.boot,
            names: s.limit,
            permitted: permit.map(|p| p.issued),
        });
        Some(n)
    }

    /// A router takes an answer of the target.
    fn hear(&self, s: &LimitState, served: Served) -> Option<LimitState> {
        let mut n = s.clone();
        let r = &mut n.routers[usize::from(served.router)];
        if r.boot != served.boot {
            return None;
        }
        match (served.names, &mut r.known) {
            (Some(limit), _) => {
                r.known = Some(Known {
                    named: s.now,
                    heard: s.now,
                    none_named: None,
                });
                r.told |= s.limit == Some(limit);
            }
            (None, Some(known)) if served.permitted.is_some() => {
                known.none_named = served.permitted;
                known.heard = s.now;
            }
            (None, known) if !self.rules.ended_by_permitted => *known = None,
            (None, _) => {}
        }
        (n != *s).then_some(n)
    }

    fn ask(&self, s: &LimitState, i: usize, wants_permit: bool) -> Option<LimitState> {
        let may = match wants_permit {
            true => s.asked < self.bounds.questions,
            false => s.renewed < self.bounds.renewals,
        };
        let mut n = may.then(|| s.clone())?;
        n.asked += u8::from(wants_permit);
        n.renewed += u8::from(!wants_permit);
        let r = &mut n.routers[i];
        r.renewals += u8::from(!wants_permit);
        let told_until = r.list.and_then(|(_, until)| until);
        let told = |k: &Known| !wants_permit && told_until.is_some_and(|until| k.heard < until);
        let known = r.known?;
        let question = Question {
            router: i as u8,
            boot: r.boot,
            asked: s.now,
            known: Some(known).filter(|k| !told(k)),
            renewal: (!wants_permit).then_some(r.renewals),
        };
        n.questions.insert(question).then_some(n)
    }

    /// The leader takes what a router has heard, and issues a permit if one is due.
    fn answer(&self, s: &LimitState, q: Question) -> Option<LimitState> {
        let mut n = s.clone();
        let now = s.leader.clock(s.now);
        if let Some(known) = q.known {
            self.take_heard(&mut n.leader, now, q.asked, known);
        }
        let word = match n.leader.named {
            named if q.renewal.is_some() => Word::List(s.leader.term, named.is_some()),
            None => Word::NoLimit,
            Some(_) if now < n.leader.next && self.rules.paced => return (n != *s).then_some(n),
            Some(_) => {
                n.leader.next = now + self.bounds.interval;
                Word::Permit(LeaderTime {
                    term: s.leader.term,
                    at: now,
                })
            }
        };
        n.answers.insert(Answer { question: q, word });
        (n != *s).then_some(n)
    }

    fn take_heard(&self, leader: &mut Leader, now: u8, asked: u8, known: Known) {
        // By what the question tells of its age, so no earlier than it was.
        let named = now - (asked - known.named);
        let outdated = leader.ended.is_some_and(|ended| named <= ended);
        if !outdated {
            if leader.named.is_none() {
                leader.next = now + u8::from(self.rules.new_leader_waits) * self.bounds.interval;
            }
            leader.named = leader.named.max(Some(named));
        }
        let Some(none) = known.none_named else {
            return;
        };
        let own = none.term == leader.term || !self.rules.ended_by_own_time;
        let later = leader.named.is_some_and(|named| none.at > named);
        if own && (later || !self.rules.ended_by_later) {
            leader.named = None;
            leader.ended = Some(none.at);
        }
    }

    /// A router takes what the leader answered.
    fn take(&self, s: &LimitState, answer: Answer) -> Option<LimitState> {
        let q = answer.question;
        let mut n = s.clone();
        n.answers.remove(&answer);
        let r = &mut n.routers[usize::from(q.router)];
        if r.boot != q.boot {
            return Some(n);
        }
        let ends = |k: Known| k.heard < q.asked || !self.rules.over_as_asked;
        match answer.word {
            Word::Permit(issued) => {
                let from = match self.rules.lasts_from_question {
                    true => q.asked,
                    false => s.now,
                };
                let until = from + self.bounds.lasts;
                if s.now < until {
                    r.permits.insert(Permit { issued, until });
                }
            }
            Word::NoLimit => r.known = r.known.filter(|k| !ends(*k)),
            Word::List(..) if q.renewal != Some(r.renewals) && self.rules.one_renewal => {}
            Word::List(term, names) => {
                // It is answered now.
                r.renewals += 1;
                let same = r.list.is_none_or(|(of, _)| of == term);
                let told = same || !self.rules.another_is_told_all;
                r.list = Some((term, told.then_some(q.asked)));
                if told && !names {
                    r.known = r.known.filter(|k| !ends(*k));
                }
            }
        }
        Some(n)
    }
}

impl Router {
    /// One to which the target has just named its limit.
    fn told() -> Self {
        Self {
            known: Some(Known {
                named: 0,
                heard: 0,
                none_named: None,
            }),
            told: true,
            ..Self::start(0)
        }
    }

    fn start(boot: u8) -> Self {
        Self {
            boot,
            known: None,
            permits: BTreeSet::new(),
            list: None,
            renewals: 0,
            told: false,
        }
    }
}

impl Spec for LimitSpec {
    type State = LimitState;

    fn start(&self) -> LimitState {
        LimitState {
            now: 0,
            limit: Some(0),
            leader: Leader {
                term: 0,
                named: Some(AHEAD),
                ended: None,
                next: AHEAD,
            },
            routers: [Router::told(), Router::told()],
            questions: BTreeSet::new(),
            answers: BTreeSet::new(),
            served: BTreeSet::new(),
            came: [0; MOST_SPAN],
            asked: 0,
            renewed: 0,
            sent: 0,
            changes: 0,
            restarts: 0,
        }
    }

    fn next(&self, s: &LimitState) -> Vec<(String, LimitState)> {
        let mut out = Vec::new();
        let mut put = |name: String, n: Option<LimitState>| out.extend(n.map(|n| (name, n)));
        put("time passes".to_string(), self.tick(s));
        put(
            "the target's limit begins or ends".to_string(),
            self.change(s),
        );
        put("another replica leads".to_string(), self.lead(s));
        let routers = s.routers.iter().take(usize::from(self.bounds.routers));
        for (i, r) in routers.enumerate() {
            put(
                format!("router {i} sends without a permit"),
                self.send(s, i, None),
            );
            for permit in &r.permits {
                let name = format!("router {i} sends with {permit:?}");
                put(name, self.send(s, i, Some(*permit)));
            }
            put(
                format!("router {i} asks for a permit"),
                self.ask(s, i, true),
            );
            put(
                format!("router {i} renews its lease"),
                self.ask(s, i, false),
            );
            put(format!("router {i} starts again"), self.restart(s, i));
        }
        for served in &s.served {
            put(format!("heard: {served:?}"), self.hear(s, *served));
        }
        for question in &s.questions {
            let name = format!("the leader answers {question:?}");
            put(name, self.answer(s, *question));
        }
        for answer in &s.answers {
            put(format!("taken: {answer:?}"), self.take(s, *answer));
        }
        out
    }

    fn broken(&self, s: &LimitState) -> Option<String> {
        let came: u8 = s.came.iter().sum();
        let most = self.bounds.most();
        (came > most).then(|| "more requests in a span than the target's limit".to_string())
    }
}
