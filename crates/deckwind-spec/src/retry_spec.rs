//! Specification of the retry budget: a leader issues retry allowances to two routers.
//! Messages are lost, delayed and duplicated, routers restart and the leader changes.
//!
//! Time is counted in steps. A request or an answer can be received at any time and any
//! number of times. Each issued retry is one entry of the log; a proposed entry is either
//! committed or lost when the leader changes. Agreement on the log is specified in
//! `log_spec`: here a leader that was replaced answers no requests.

use crate::Spec;
use crate::retry_rules::{RetryBounds, RetryRules};
use std::collections::BTreeSet;

const ROUTERS: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct RouterProcess {
    router: u8,
    boot: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Allowance {
    holder: RouterProcess,
    issued: u8,
    /// Number of spent or unreported retries that no longer count.
    expired: u8,
    /// Number of spent retries, as last reported.
    spent: u8,
    /// Number of returned retries, as last reported; they stop counting immediately.
    returned: u8,
    /// Spent retries by the number of steps since they became known.
    recent: [u8; MAX_WINDOW],
    expires_at: u8,
    open: bool,
    closed: bool,
}

/// Maximum length of the window, in steps.
const MAX_WINDOW: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Request {
    holder: RouterProcess,
    sent_at: u8,
    allowance: Option<u8>,
    spent: u8,
    returned: u8,
    /// Spent retries that were used before the window.
    expired: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Answer {
    holder: RouterProcess,
    sent_at: u8,
    allowance: u8,
    issued: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Router {
    holder: RouterProcess,
    allowance: Option<u8>,
    issued: u8,
    spent: u8,
    returned: u8,
    expires_at: u8,
    /// Retries spent from this allowance, by the number of steps since.
    recent: [u8; MAX_WINDOW],
}

/// State of the retry specification.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetryState {
    now: u8,
    /// Allowances by number, as committed and as the leader counts them.
    allowances: Vec<Allowance>,
    /// Proposed entry: the router process that gets one more retry, and its open allowance
    /// or `None` for a new one.
    proposed: Option<(RouterProcess, Option<u8>)>,
    routers: [Router; ROUTERS],
    requests: BTreeSet<Request>,
    answers: BTreeSet<Answer>,
    /// Retries spent in this step and the ones before it.
    spent_in_window: [u8; MAX_WINDOW],
    sent_requests: u8,
    entries: u8,
    restarts: u8,
    leader_changes: u8,
    returns: u8,
}

/// Specification of the retry budget with its rules and bounds.
#[derive(Clone, Copy, Debug)]
pub struct RetrySpec {
    /// Enabled rules.
    pub rules: RetryRules,
    /// Bounds of the exploration.
    pub bounds: RetryBounds,
}

impl Allowance {
    fn outstanding(&self) -> u8 {
        match self.closed {
            true => 0,
            false => self.issued - self.expired - self.returned,
        }
    }

    fn record_spent(&mut self, count: u8) {
        self.recent[0] += count;
    }

    /// Expires the given number of spent retries, oldest first.
    fn expire_oldest(&mut self, mut count: u8) {
        for age in (0..MAX_WINDOW).rev() {
            let expired = count.min(self.recent[age]);
            self.recent[age] -= expired;
            self.expired += expired;
            count -= expired;
        }
    }

    fn unused(&self) -> u8 {
        self.issued.saturating_sub(self.spent + self.returned)
    }
}

impl RetrySpec {
    fn tick(&self, s: &RetryState) -> Option<RetryState> {
        let mut n = (s.now < self.bounds.steps).then(|| s.clone())?;
        n.now += 1;
        n.spent_in_window.rotate_right(1);
        n.spent_in_window[0] = 0;
        let window = usize::from(self.bounds.window);
        n.spent_in_window[window..].fill(0);
        for a in &mut n.allowances {
            a.expired += a.recent[window - 1];
            a.recent.rotate_right(1);
            a.recent[0] = 0;
            a.recent[window..].fill(0);
            if a.open && a.expires_at <= n.now {
                a.open = false;
                match self.rules.count_unreported_for_window {
                    true => a.record_spent(a.unused()),
                    false => a.expired += a.unused(),
                }
            }
            a.closed |= !a.open && a.outstanding() == 0;
        }
        for r in &mut n.routers {
            r.recent.rotate_right(1);
            r.recent[0] = 0;
            r.recent[window..].fill(0);
            if !self.rules.keep_spent_after_expiry && r.expires_at <= n.now && r.allowance.is_some()
            {
                r.allowance = None;
                (r.issued, r.spent, r.returned) = (0, 0, 0);
                r.recent = [0; MAX_WINDOW];
            }
        }
        Some(n)
    }

    fn send_request(&self, s: &RetryState, i: usize) -> Option<RetryState> {
        let mut n = (s.sent_requests < self.bounds.requests).then(|| s.clone())?;
        let r = s.routers[i];
        let request = Request {
            holder: r.holder,
            sent_at: s.now,
            allowance: r.allowance,
            spent: r.spent,
            returned: r.returned,
            expired: match self.rules.expire_spent_after_window {
                true => r.spent - r.recent.iter().sum::<u8>(),
                false => r.spent,
            },
        };
        n.sent_requests += 1;
        n.requests.insert(request).then_some(n)
    }

    /// Records the report of a router at the leader and answers with the retries that the
    /// router may use.
    fn handle_request(&self, s: &RetryState, q: Request) -> Option<RetryState> {
        let mut n = s.clone();
        if let Some(i) = q.allowance {
            self.record_report(&mut n.allowances[usize::from(i)], q);
        }
        let numbered = s.allowances.iter().enumerate();
        let its_allowances = numbered.filter(|(_, a)| a.open && self.belongs_to(a, q.holder));
        for (i, allowance) in its_allowances {
            let pending = s.proposed.is_some_and(|(_, to)| to == Some(i as u8));
            let uncommitted = u8::from(pending && !self.rules.commit_before_grant);
            n.allowances[i].expires_at = s.now + self.bounds.allowance_lifetime;
            n.answers.insert(Answer {
                holder: q.holder,
                sent_at: q.sent_at,
                allowance: i as u8,
                issued: allowance.issued + uncommitted,
            });
        }
        (n != *s).then_some(n)
    }

    fn belongs_to(&self, allowance: &Allowance, holder: RouterProcess) -> bool {
        match self.rules.allowance_per_process {
            true => allowance.holder == holder,
            false => allowance.holder.router == holder.router,
        }
    }

    fn record_report(&self, a: &mut Allowance, q: Request) {
        if !a.open || q.spent + q.returned > a.issued {
            return;
        }
        let newly_spent = q.spent.saturating_sub(a.spent);
        match self.rules.count_spent_for_window {
            true => a.record_spent(newly_spent),
            false => a.expired += newly_spent,
        }
        a.spent = a.spent.max(q.spent);
        a.returned = a.returned.max(q.returned);
        a.expire_oldest(q.expired.saturating_sub(a.expired));
    }

    /// Proposes one more retry for a router that sent a request.
    fn propose(&self, s: &RetryState, holder: RouterProcess) -> Option<RetryState> {
        let outstanding: u8 = s.allowances.iter().map(Allowance::outstanding).sum();
        let is_allowed = s.proposed.is_none() && outstanding < self.bounds.max_retries;
        let is_allowed = is_allowed && s.entries < self.bounds.entries;
        let mut n = is_allowed.then(|| s.clone())?;
        let mut allowances = s.allowances.iter();
        let to = allowances.position(|a| a.open && self.belongs_to(a, holder));
        n.proposed = Some((holder, to.map(|i| i as u8)));
        n.entries += 1;
        Some(n)
    }

    fn commit(&self, s: &RetryState) -> Option<RetryState> {
        let (holder, to) = s.proposed?;
        let mut n = s.clone();
        n.proposed = None;
        match to {
            Some(i) => n.allowances[usize::from(i)].issued += 1,
            None => n.allowances.push(Allowance {
                holder,
                issued: 1,
                expired: 0,
                spent: 0,
                returned: 0,
                recent: [0; MAX_WINDOW],
                expires_at: s.now + self.bounds.allowance_lifetime,
                open: true,
                closed: false,
            }),
        }
        Some(n)
    }

    /// Changes the leader. An entry that was proposed but not committed is lost. What the
    /// previous leader knew to be expired is committed up to now.
    fn change_leader(&self, s: &RetryState) -> Option<RetryState> {
        let mut n = (s.leader_changes < self.bounds.leader_changes).then(|| s.clone())?;
        n.leader_changes += 1;
        n.proposed = None;
        for a in n.allowances.iter_mut().filter(|a| !a.closed) {
            a.recent = [0; MAX_WINDOW];
            a.open = true;
            a.expires_at = s.now + self.bounds.allowance_lifetime;
            if !self.rules.new_leader_counts_issued {
                a.expired = a.issued - a.returned;
            }
            a.spent = a.expired;
        }
        Some(n)
    }

    fn receive_answer(&self, s: &RetryState, answer: Answer) -> Option<RetryState> {
        let i = usize::from(answer.holder.router);
        let r = s.routers[i];
        let is_older = r.allowance.is_some_and(|a| answer.allowance < a);
        let is_accepted =
            r.holder == answer.holder && !(is_older && self.rules.newest_allowance_only);
        let mut n = is_accepted.then(|| s.clone())?;
        let r = &mut n.routers[i];
        if r.allowance != Some(answer.allowance) {
            r.allowance = Some(answer.allowance);
            (r.issued, r.spent, r.returned) = (0, 0, 0);
            r.recent = [0; MAX_WINDOW];
        }
        r.issued = r.issued.max(answer.issued);
        r.expires_at = r.expires_at.max(match self.rules.lifetime_from_request {
            true => answer.sent_at + self.bounds.allowance_lifetime,
            false => s.now + self.bounds.allowance_lifetime,
        });
        (n != *s).then_some(n)
    }

    fn spend(&self, s: &RetryState, i: usize) -> Option<RetryState> {
        let r = s.routers[i];
        let returned = if self.rules.returned_is_unusable {
            r.returned
        } else {
            0
        };
        let is_allowed = s.now < r.expires_at && r.spent + returned < r.issued;
        let mut n = is_allowed.then(|| s.clone())?;
        n.routers[i].spent += 1;
        n.routers[i].recent[0] += 1;
        n.spent_in_window[0] += 1;
        Some(n)
    }

    fn return_retry(&self, s: &RetryState, i: usize) -> Option<RetryState> {
        let r = s.routers[i];
        let is_allowed = s.returns < self.bounds.returns && r.spent + r.returned < r.issued;
        let mut n = is_allowed.then(|| s.clone())?;
        n.routers[i].returned += 1;
        n.returns += 1;
        Some(n)
    }

    fn restart(&self, s: &RetryState, i: usize) -> Option<RetryState> {
        let mut n = (s.restarts < self.bounds.restarts).then(|| s.clone())?;
        n.restarts += 1;
        n.routers[i] = Router::start(i as u8, s.routers[i].holder.boot + 1);
        Some(n)
    }
}

impl Router {
    fn start(router: u8, boot: u8) -> Self {
        Self {
            holder: RouterProcess { router, boot },
            allowance: None,
            issued: 0,
            spent: 0,
            returned: 0,
            expires_at: 0,
            recent: [0; MAX_WINDOW],
        }
    }
}

impl Spec for RetrySpec {
    type State = RetryState;

    fn initial(&self) -> RetryState {
        RetryState {
            now: 0,
            allowances: Vec::new(),
            proposed: None,
            routers: [Router::start(0, 0), Router::start(1, 0)],
            requests: BTreeSet::new(),
            answers: BTreeSet::new(),
            spent_in_window: [0; MAX_WINDOW],
            sent_requests: 0,
            entries: 0,
            restarts: 0,
            leader_changes: 0,
            returns: 0,
        }
    }

    fn successors(&self, s: &RetryState) -> Vec<(String, RetryState)> {
        let mut out = Vec::new();
        let mut push = |name: String, n: Option<RetryState>| out.extend(n.map(|n| (name, n)));
        push("time passes".to_string(), self.tick(s));
        push("the entry is committed".to_string(), self.commit(s));
        push(
            "another replica becomes leader".to_string(),
            self.change_leader(s),
        );
        for i in 0..ROUTERS {
            push(
                format!("router {i} sends a request"),
                self.send_request(s, i),
            );
            push(format!("router {i} retries"), self.spend(s, i));
            push(
                format!("router {i} returns a retry"),
                self.return_retry(s, i),
            );
            push(format!("router {i} restarts"), self.restart(s, i));
        }
        let holders: BTreeSet<RouterProcess> = s.requests.iter().map(|q| q.holder).collect();
        for holder in holders {
            let name = format!("the leader proposes one more retry for {holder:?}");
            push(name, self.propose(s, holder));
        }
        for request in &s.requests {
            let name = format!("the leader answers {request:?}");
            push(name, self.handle_request(s, *request));
        }
        for answer in &s.answers {
            push(
                format!("the router receives {answer:?}"),
                self.receive_answer(s, *answer),
            );
        }
        out
    }

    fn violation(&self, s: &RetryState) -> Option<String> {
        let spent_in_window: u8 = s.spent_in_window.iter().sum();
        (spent_in_window > self.bounds.max_retries)
            .then(|| "more retries in a window than the bound".to_string())
    }
}
