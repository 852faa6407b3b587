//! Repeats that a leader gives to two routers, over lost, late and doubled
//! messages, restarts and another leader.
//!
//! Time is counted in steps. A question and an answer stay for ever and may be
//! taken at any time and any number of times. What is issued is one entry of the
//! log; one that was proposed may be committed or lost when the leader changes.
//! How the log agrees is specified in `log_spec`: here a leader that was replaced
//! answers nobody.

use crate::Spec;
use crate::repeat_rules::{RepeatBounds, RepeatRules};
use std::collections::BTreeSet;

const ROUTERS: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Holder {
    router: u8,
    boot: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Allowance {
    holder: Holder,
    issued: u8,
    /// Used, and over.
    over: u8,
    /// As last told: spent, given back. What is given back is over at once.
    spent: u8,
    back: u8,
    /// Used, by the steps since that was known.
    recent: [u8; MOST_WINDOW],
    until: u8,
    open: bool,
    closed: bool,
}

/// Longest window that can be specified.
const MOST_WINDOW: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Question {
    holder: Holder,
    asked: u8,
    allowance: Option<u8>,
    spent: u8,
    back: u8,
    /// Of those spent, used before the window.
    over: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Answer {
    holder: Holder,
    asked: u8,
    allowance: u8,
    issued: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Router {
    holder: Holder,
    allowance: Option<u8>,
    issued: u8,
    spent: u8,
    back: u8,
    until: u8,
    /// Used of this allowance, by steps since.
    recent: [u8; MOST_WINDOW],
}

/// A state of the specification.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RepeatState {
    now: u8,
    /// Allowances by number, as agreed and as the leader counts them.
    allowances: Vec<Allowance>,
    /// For whom one more is proposed, and of which allowance.
    proposed: Option<(Holder, Option<u8>)>,
    routers: [Router; ROUTERS],
    questions: BTreeSet<Question>,
    answers: BTreeSet<Answer>,
    /// Used in this step and the ones before it.
    used: [u8; MOST_WINDOW],
    asked: u8,
    entries: u8,
    restarts: u8,
    leaders: u8,
    backs: u8,
}

/// The specification with its rules and bounds.
#[derive(Clone, Copy, Debug)]
pub struct RepeatSpec {
    /// Rules in force.
    pub rules: RepeatRules,
    /// Bounds.
    pub bounds: RepeatBounds,
}

impl Allowance {
    fn counts(&self) -> u8 {
        match self.closed {
            true => 0,
            false => self.issued - self.over - self.back,
        }
    }

    fn used(&mut self, count: u8) {
        self.recent[0] += count;
    }

    /// So many of the oldest used ones are over.
    fn forget(&mut self, mut count: u8) {
        for age in (0..MOST_WINDOW).rev() {
            let over = count.min(self.recent[age]);
            self.recent[age] -= over;
            self.over += over;
            count -= over;
        }
    }

    fn unused(&self) -> u8 {
        self.issued.saturating_sub(self.spent + self.back)
    }
}

impl RepeatSpec {
    fn tick(&self, s: &RepeatState) -> Option<RepeatState> {
        let mut n = (s.now < self.bounds.steps).then(|| s.clone())?;
        n.now += 1;
        n.used.rotate_right(1);
        n.used[0] = 0;
        let window = usize::from(self.bounds.window);
        n.used[window..].fill(0);
        for a in &mut n.allowances {
            a.over += a.recent[window - 1];
            a.recent.rotate_right(1);
            a.recent[0] = 0;
            a.recent[window..].fill(0);
            if a.open && a.until <= n.now {
                a.open = false;
                match self.rules.silent_counts {
                    true => a.used(a.unused()),
                    false => a.over += a.unused(),
                }
            }
            a.closed |= !a.open && a.counts() == 0;
        }
        for r in &mut n.routers {
            r.recent.rotate_right(1);
            r.recent[0] = 0;
            r.recent[window..].fill(0);
            if !self.rules.remembered && r.until <= n.now && r.allowance.is_some() {
                r.allowance = None;
                (r.issued, r.spent, r.back) = (0, 0, 0);
                r.recent = [0; MOST_WINDOW];
            }
        }
        Some(n)
    }

    fn ask(&self, s: &RepeatState, i: usize) -> Option<RepeatState> {
        let mut n = (s.asked < self.bounds.questions).then(|| s.clone())?;
        let r = s.routers[i];
        let question = Question {
            holder: r.holder,
            asked: s.now,
            allowance: r.allowance,
            spent: r.spent,
            back: r.back,
            over: match self.rules.over_after_window {
                true => r.spent - r.recent.iter().sum::<u8>(),
                false => r.spent,
            },
        };
        n.asked += 1;
        n.questions.insert(question).then_some(n)
    }

    /// The leader takes what a router tells, and answers with what it may use.
    fn answer(&self, s: &RepeatState, q: Question) -> Option<RepeatState> {
        let mut n = s.clone();
        if let Some(i) = q.allowance {
            self.hear(&mut n.allowances[usize::from(i)], q);
        }
        let known = s.allowances.iter().enumerate();
        let mine = known.filter(|(_, a)| a.open && self.is_of(a, q.holder));
        for (i, allowance) in mine {
            let pending = s.proposed.is_some_and(|(_, to)| to == Some(i as u8));
            let early = u8::from(pending && !self.rules.agreed_first);
            n.allowances[i].until = s.now + self.bounds.lasts;
            n.answers.insert(Answer {
                holder: q.holder,
                asked: q.asked,
                allowance: i as u8,
                issued: allowance.issued + early,
            });
        }
        (n != *s).then_some(n)
    }

    fn is_of(&self, allowance: &Allowance, holder: Holder) -> bool {
        match self.rules.allowance_by_start {
            true => allowance.holder == holder,
            false => allowance.holder.router == holder.router,
        }
    }

    fn hear(&self, a: &mut Allowance, q: Question) {
        if !a.open || q.spent + q.back > a.issued {
            return;
        }
        let more = q.spent.saturating_sub(a.spent);
        match self.rules.used_counts {
            true => a.used(more),
            false => a.over += more,
        }
        a.spent = a.spent.max(q.spent);
        a.back = a.back.max(q.back);
        a.forget(q.over.saturating_sub(a.over));
    }

    /// The leader proposes one more for a router that has asked.
    fn propose(&self, s: &RepeatState, holder: Holder) -> Option<RepeatState> {
        let counts: u8 = s.allowances.iter().map(Allowance::counts).sum();
        let may = s.proposed.is_none() && counts < self.bounds.most;
        let may = may && s.entries < self.bounds.entries;
        let mut n = may.then(|| s.clone())?;
        let mut all = s.allowances.iter();
        let to = all.position(|a| a.open && self.is_of(a, holder));
        n.proposed = Some((holder, to.map(|i| i as u8)));
        n.entries += 1;
        Some(n)
    }

    fn commit(&self, s: &RepeatState) -> Option<RepeatState> {
        let (holder, to) = s.proposed?;
        let mut n = s.clone();
        n.proposed = None;
        match to {
            Some(i) => n.allowances[usize::from(i)].issued += 1,
            None => n.allowances.push(Allowance {
                holder,
                issued: 1,
                over: 0,
                spent: 0,
                back: 0,
                recent: [0; MOST_WINDOW],
                until: s.now + self.bounds.lasts,
                open: true,
                closed: false,
            }),
        }
        Some(n)
    }

    /// Another replica leads. What was proposed and not committed is lost; what
    /// the one before it knew to be over is agreed up to now.
    fn lead(&self, s: &RepeatState) -> Option<RepeatState> {
        let mut n = (s.leaders < self.bounds.leaders).then(|| s.clone())?;
        n.leaders += 1;
        n.proposed = None;
        for a in n.allowances.iter_mut().filter(|a| !a.closed) {
            a.recent = [0; MOST_WINDOW];
            a.open = true;
            a.until = s.now + self.bounds.lasts;
            if !self.rules.counted_by_new_leader {
                a.over = a.issued - a.back;
            }
            a.spent = a.over;
        }
        Some(n)
    }

    fn take(&self, s: &RepeatState, answer: Answer) -> Option<RepeatState> {
        let i = usize::from(answer.holder.router);
        let r = s.routers[i];
        let older = r.allowance.is_some_and(|a| answer.allowance < a);
        let takes = r.holder == answer.holder && !(older && self.rules.newest_only);
        let mut n = takes.then(|| s.clone())?;
        let r = &mut n.routers[i];
        if r.allowance != Some(answer.allowance) {
            r.allowance = Some(answer.allowance);
            (r.issued, r.spent, r.back) = (0, 0, 0);
            r.recent = [0; MOST_WINDOW];
        }
        r.issued = r.issued.max(answer.issued);
        r.until = r.until.max(match self.rules.lasts_from_question {
            true => answer.asked + self.bounds.lasts,
            false => s.now + self.bounds.lasts,
        });
        (n != *s).then_some(n)
    }

    fn spend(&self, s: &RepeatState, i: usize) -> Option<RepeatState> {
        let r = s.routers[i];
        let back = if self.rules.back_is_gone { r.back } else { 0 };
        let may = s.now < r.until && r.spent + back < r.issued;
        let mut n = may.then(|| s.clone())?;
        n.routers[i].spent += 1;
        n.routers[i].recent[0] += 1;
        n.used[0] += 1;
        Some(n)
    }

    fn give_back(&self, s: &RepeatState, i: usize) -> Option<RepeatState> {
        let r = s.routers[i];
        let may = s.backs < self.bounds.backs && r.spent + r.back < r.issued;
        let mut n = may.then(|| s.clone())?;
        n.routers[i].back += 1;
        n.backs += 1;
        Some(n)
    }

    fn restart(&self, s: &RepeatState, i: usize) -> Option<RepeatState> {
        let mut n = (s.restarts < self.bounds.restarts).then(|| s.clone())?;
        n.restarts += 1;
        n.routers[i] = Router::start(i as u8, s.routers[i].holder.boot + 1);
        Some(n)
    }
}

impl Router {
    fn start(router: u8, boot: u8) -> Self {
        Self {
            holder: Holder { router, boot },
            allowance: None,
            issued: 0,
            spent: 0,
            back: 0,
            until: 0,
            recent: [0; MOST_WINDOW],
        }
    }
}

impl Spec for RepeatSpec {
    type State = RepeatState;

    fn start(&self) -> RepeatState {
        RepeatState {
            now: 0,
            allowances: Vec::new(),
            proposed: None,
            routers: [Router::start(0, 0), Router::start(1, 0)],
            questions: BTreeSet::new(),
            answers: BTreeSet::new(),
            used: [0; MOST_WINDOW],
            asked: 0,
            entries: 0,
            restarts: 0,
            leaders: 0,
            backs: 0,
        }
    }

    fn next(&self, s: &RepeatState) -> Vec<(String, RepeatState)> {
        let mut out = Vec::new();
        let mut put = |name: String, n: Option<RepeatState>| out.extend(n.map(|n| (name, n)));
        put("time passes".to_string(), self.tick(s));
        put("the entry is agreed".to_string(), self.commit(s));
        put("another replica leads".to_string(), self.lead(s));
        for i in 0..ROUTERS {
            put(format!("router {i} asks"), self.ask(s, i));
            put(format!("router {i} repeats"), self.spend(s, i));
            put(format!("router {i} gives one back"), self.give_back(s, i));
            put(format!("router {i} starts again"), self.restart(s, i));
        }
        let holders: BTreeSet<Holder> = s.questions.iter().map(|q| q.holder).collect();
        for holder in holders {
            let name = format!("the leader proposes one more for {holder:?}");
            put(name, self.propose(s, holder));
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

    fn broken(&self, s: &RepeatState) -> Option<String> {
        let used: u8 = s.used.iter().sum();
        (used > self.bounds.most).then(|| "more repeats in a window than the bound".to_string())
    }
}
