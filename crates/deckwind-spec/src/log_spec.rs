//! Log, lease and identity of three replicas.
//!
//! A step that changes what a replica must remember is synced before its
//! message leaves (rule `sync`). Leaders' logs of each term are kept as
//! history, so that any message that was ever sent may still arrive. A promise
//! stands for "heard from the leader less than an election time ago"; it ends
//! only after the lease that relies on it (rule `lease`: bounded clock drift).

use crate::Spec;
use std::collections::{BTreeMap, BTreeSet};

const SLOTS: usize = 3;

/// Rules that can be taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogRules {
    /// Votes and acknowledgements leave after the sync.
    pub sync: bool,
    /// A replica with a lost disk is a new one.
    pub identity: bool,
    /// No vote while a leader may rely on the promise.
    pub lease: bool,
    /// A replica that restarts keeps its promise.
    pub promise_over_restart: bool,
    /// Only entries of the leader's own term are committed by count.
    pub own_term: bool,
    /// A voter refuses a candidate whose log is behind.
    pub up_to_date: bool,
    /// Members change only when the last change is committed.
    pub one_change: bool,
}

impl LogRules {
    /// All rules.
    pub const ALL: LogRules = LogRules {
        sync: true,
        identity: true,
        lease: true,
        promise_over_restart: true,
        own_term: true,
        up_to_date: true,
        one_change: true,
    };
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogBounds {
    /// Terms.
    pub terms: u8,
    /// Entries in a log.
    pub entries: usize,
    /// Crashes in all.
    pub crashes: u8,
    /// Lost disks in all.
    pub losses: u8,
    /// Whether leases are taken; without them the log alone is explored.
    pub leases: bool,
    /// Start with two rivals: replica 0 led term 1 and replica 1 led term 2,
    /// each with one entry that nobody else has.
    pub rivals: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum What {
    Command,
    Remove(u8),
    Add(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Entry {
    term: u8,
    what: What,
}

/// What a replica must remember.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Kept {
    term: u8,
    voted: Option<u8>,
    log: Vec<Entry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Role {
    Follower,
    Candidate,
    Leader,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Replica {
    /// Slot, plus the number of slots for each lost disk.
    id: u8,
    now: Kept,
    disk: Kept,
    role: Role,
    /// Term of the leader that it protects.
    promise: Option<u8>,
    lease: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Candidacy {
    term: u8,
    id: u8,
    last: (u8, usize),
}

/// A state of the specification.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LogState {
    replicas: Vec<Replica>,
    candidacies: BTreeSet<Candidacy>,
    /// Term, voter, candidate.
    votes: BTreeSet<(u8, u8, u8)>,
    /// By term: the leader and the longest log that it had.
    history: Vec<Option<(u8, Vec<Entry>)>>,
    /// By term and replica: most entries acknowledged.
    acks: BTreeMap<(u8, u8), usize>,
    committed: Vec<Entry>,
    crashes: u8,
    losses: u8,
    broken: Option<&'static str>,
}

/// The specification with its rules and bounds.
#[derive(Clone, Copy, Debug)]
pub struct LogSpec {
    /// Rules in force.
    pub rules: LogRules,
    /// Bounds.
    pub bounds: LogBounds,
}

fn members(log: &[Entry]) -> BTreeSet<u8> {
    let mut set: BTreeSet<u8> = (0..SLOTS as u8).collect();
    for entry in log {
        match entry.what {
            What::Command => {}
            What::Remove(id) => {
                set.remove(&id);
            }
            What::Add(id) => {
                set.insert(id);
            }
        }
    }
    set
}

fn is_quorum(of: &BTreeSet<u8>, who: impl Iterator<Item = u8>) -> bool {
    let there: BTreeSet<u8> = who.filter(|id| of.contains(id)).collect();
    there.len() * 2 > of.len()
}

fn last(log: &[Entry]) -> (u8, usize) {
    (log.last().map_or(0, |e| e.term), log.len())
}

impl LogState {
    fn set_rivals(&mut self) {
        for (slot, term) in [(0, 1), (1, 2)] {
            let entry = Entry {
                term,
                what: What::Command,
            };
            let r = &mut self.replicas[slot];
            r.now.log = vec![entry];
            self.history[term as usize] = Some((r.id, vec![entry]));
        }
        for r in &mut self.replicas {
            r.now.term = 2;
            r.now.voted = Some(1);
            r.disk = r.now.clone();
        }
    }

    fn ack(&mut self, term: u8, id: u8, len: usize) {
        let most = self.acks.entry((term, id)).or_insert(0);
        *most = (*most).max(len);
    }
}

impl Replica {
    fn follow(&mut self, term: u8) {
        if term > self.now.term {
            self.now.term = term;
            self.now.voted = None;
        }
        self.role = Role::Follower;
        self.lease = false;
    }
}

impl LogSpec {
    /// Writes what changed, if the rule says so.
    fn sync(&self, r: &mut Replica) {
        if self.rules.sync {
            r.disk = r.now.clone();
        }
    }

    fn campaign(&self, s: &LogState, i: usize) -> Option<LogState> {
        let r = &s.replicas[i];
        // The replicas are alike at the start: let 0 be the first to ask.
        let first = i == 0 || !s.candidacies.is_empty();
        let may = first
            && r.role != Role::Leader
            && r.now.term < self.bounds.terms
            && (r.promise.is_none() || !self.rules.lease)
            && members(&r.now.log).contains(&r.id);
        let mut n = may.then(|| s.clone())?;
        let r = &mut n.replicas[i];
        r.now.term += 1;
        r.now.voted = Some(r.id);
        r.role = Role::Candidate;
        self.sync(r);
        let candidacy = Candidacy {
            term: r.now.term,
            id: r.id,
            last: last(&r.now.log),
        };
        n.votes.insert((candidacy.term, r.id, r.id));
        n.candidacies.insert(candidacy);
        Some(n)
    }

    fn vote(&self, s: &LogState, i: usize, c: Candidacy) -> Option<LogState> {
        let r = &s.replicas[i];
        let free =
            c.term > r.now.term || (c.term == r.now.term && r.now.voted.is_none_or(|v| v == c.id));
        let protects = self.rules.lease && r.promise.is_some();
        let behind = self.rules.up_to_date && c.last < last(&r.now.log);
        if !free || protects || behind || c.id == r.id {
            return None;
        }
        let mut n = s.clone();
        let r = &mut n.replicas[i];
        if c.term > r.now.term {
            r.follow(c.term);
        }
        r.now.voted = Some(c.id);
        self.sync(r);
        n.votes.insert((c.term, r.id, c.id));
        Some(n)
    }

    fn lead(&self, s: &LogState, i: usize) -> Option<LogState> {
        let r = &s.replicas[i];
        let voters = s
            .votes
            .iter()
            .filter(|(t, _, c)| *t == r.now.term && *c == r.id);
        let won = is_quorum(&members(&r.now.log), voters.map(|(_, v, _)| *v));
        let mut n = (r.role == Role::Candidate && won).then(|| s.clone())?;
        let (id, term, log) = (r.id, r.now.term as usize, r.now.log.clone());
        if s.history[term].is_some() {
            n.broken = Some("two leaders in one term");
        }
        n.ack(term as u8, id, log.len());
        n.history[term] = Some((id, log));
        n.replicas[i].role = Role::Leader;
        n.replicas[i].promise = self.bounds.leases.then_some(term as u8);
        Some(n)
    }

    fn propose(&self, s: &LogState, i: usize, what: What) -> Option<LogState> {
        let r = &s.replicas[i];
        if r.role != Role::Leader || r.now.log.len() >= self.bounds.entries {
            return None;
        }
        if what != What::Command && !self.may_change(s, r, what) {
            return None;
        }
        let mut n = s.clone();
        let r = &mut n.replicas[i];
        let term = r.now.term;
        r.now.log.push(Entry { term, what });
        self.sync(r);
        let (id, log) = (r.id, r.now.log.clone());
        n.ack(term, id, log.len());
        n.history[term as usize] = Some((id, log));
        Some(n)
    }

    fn may_change(&self, s: &LogState, r: &Replica, what: What) -> bool {
        let of = members(&r.now.log);
        let changes = match what {
            What::Remove(id) => {
                of.contains(&id) && id != r.id && s.replicas.iter().all(|o| o.id != id)
            }
            What::Add(id) => !of.contains(&id),
            What::Command => true,
        };
        let own_committed = s.committed.last().is_some_and(|e| e.term == r.now.term);
        let all_committed = r.now.log == s.committed && own_committed;
        changes && (all_committed || !self.rules.one_change)
    }

    fn replicate(&self, s: &LogState, i: usize, term: u8, len: usize) -> Option<LogState> {
        let (leader, log) = s.history[term as usize].as_ref()?;
        let r = &s.replicas[i];
        let mine = r.id == *leader || !members(log).contains(&r.id);
        if term < r.now.term || len > log.len() || mine {
            return None;
        }
        let mut n = s.clone();
        let r = &mut n.replicas[i];
        r.follow(term);
        r.promise = self.bounds.leases.then_some(term);
        let sent = &log[..len];
        if !r.now.log.starts_with(sent) {
            r.now.log = sent.to_vec();
        }
        self.sync(r);
        let id = r.id;
        n.ack(term, id, len);
        (n != *s).then_some(n)
    }

    fn commit(&self, s: &LogState, i: usize, len: usize) -> Option<LogState> {
        let r = &s.replicas[i];
        if r.role != Role::Leader || len > r.now.log.len() {
            return None;
        }
        let term = r.now.term;
        let acked = s.acks.iter().filter(|((t, _), l)| *t == term && **l >= len);
        let enough = is_quorum(&members(&r.now.log), acked.map(|((_, id), _)| *id));
        let own = r.now.log[len - 1].term == term;
        if !enough || (self.rules.own_term && !own) {
            return None;
        }
        let sent = &r.now.log[..len];
        let mut n = s.clone();
        if !s.committed.starts_with(sent) {
            if !sent.starts_with(&s.committed) {
                n.broken = Some("a committed entry was replaced");
            }
            n.committed = sent.to_vec();
        }
        (n != *s).then_some(n)
    }

    fn take_lease(&self, s: &LogState, i: usize) -> Option<LogState> {
        let r = &s.replicas[i];
        let term = r.now.term;
        let promised = s.replicas.iter().filter(|o| o.promise == Some(term));
        let may = self.bounds.leases
            && r.role == Role::Leader
            && !r.lease
            && is_quorum(&members(&r.now.log), promised.map(|o| o.id));
        let mut n = may.then(|| s.clone())?;
        n.replicas[i].lease = true;
        Some(n)
    }

    fn end_lease(&self, s: &LogState, i: usize) -> Option<LogState> {
        let mut n = s.replicas[i].lease.then(|| s.clone())?;
        n.replicas[i].lease = false;
        Some(n)
    }

    fn end_promise(&self, s: &LogState, i: usize) -> Option<LogState> {
        let term = s.replicas[i].promise?;
        let relied_on = s.replicas.iter().any(|o| o.lease && o.now.term == term);
        let mut n = (!relied_on).then(|| s.clone())?;
        n.replicas[i].promise = None;
        Some(n)
    }

    fn write(&self, s: &LogState, i: usize) -> Option<LogState> {
        let r = &s.replicas[i];
        let mut n = (r.now != r.disk).then(|| s.clone())?;
        n.replicas[i].disk = r.now.clone();
        Some(n)
    }

    fn crash(&self, s: &LogState, i: usize) -> Option<LogState> {
        let mut n = (s.crashes < self.bounds.crashes).then(|| s.clone())?;
        n.crashes += 1;
        let r = &mut n.replicas[i];
        r.now = r.disk.clone();
        r.role = Role::Follower;
        r.lease = false;
        if !self.rules.promise_over_restart {
            r.promise = None;
        }
        Some(n)
    }

    fn lose_disk(&self, s: &LogState, i: usize) -> Option<LogState> {
        let mut n = (s.losses < self.bounds.losses).then(|| s.clone())?;
        n.losses += 1;
        let r = &mut n.replicas[i];
        r.now = Kept::default();
        r.disk = Kept::default();
        r.role = Role::Follower;
        r.lease = false;
        if self.rules.identity {
            r.id += SLOTS as u8;
        }
        Some(n)
    }
}

impl Spec for LogSpec {
    type State = LogState;

    fn start(&self) -> LogState {
        let replica = |slot: usize| Replica {
            id: slot as u8,
            now: Kept::default(),
            disk: Kept::default(),
            role: Role::Follower,
            promise: None,
            lease: false,
        };
        let mut start = LogState {
            replicas: (0..SLOTS).map(replica).collect(),
            candidacies: BTreeSet::new(),
            votes: BTreeSet::new(),
            history: vec![None; self.bounds.terms as usize + 1],
            acks: BTreeMap::new(),
            committed: Vec::new(),
            crashes: 0,
            losses: 0,
            broken: None,
        };
        if self.bounds.rivals {
            start.set_rivals();
        }
        start
    }

    fn next(&self, s: &LogState) -> Vec<(String, LogState)> {
        let mut out = Vec::new();
        let mut put = |name: String, n: Option<LogState>| out.extend(n.map(|n| (name, n)));
        for i in 0..SLOTS {
            put(format!("{i} asks for votes"), self.campaign(s, i));
            for c in &s.candidacies {
                let name = format!("{i} votes for {} in term {}", c.id, c.term);
                put(name, self.vote(s, i, *c));
            }
            put(format!("{i} leads"), self.lead(s, i));
            put(format!("{i} appends"), self.propose(s, i, What::Command));
            for o in &s.replicas {
                let old = o.id % SLOTS as u8;
                if o.id != old {
                    let remove = What::Remove(old);
                    put(format!("{i} removes {old}"), self.propose(s, i, remove));
                    put(
                        format!("{i} adds {}", o.id),
                        self.propose(s, i, What::Add(o.id)),
                    );
                }
            }
            for term in 1..=self.bounds.terms {
                for len in 0..=self.bounds.entries {
                    let name = format!("{i} takes {len} entries of term {term}");
                    put(name, self.replicate(s, i, term, len));
                }
            }
            for len in 1..=self.bounds.entries {
                put(format!("{i} commits {len}"), self.commit(s, i, len));
            }
            put(format!("{i} holds the lease"), self.take_lease(s, i));
            put(format!("{i}'s lease ends"), self.end_lease(s, i));
            put(format!("{i}'s promise ends"), self.end_promise(s, i));
            if !self.rules.sync {
                put(format!("{i} syncs"), self.write(s, i));
            }
            put(format!("{i} crashes and restarts"), self.crash(s, i));
            put(format!("{i} loses its disk"), self.lose_disk(s, i));
        }
        out
    }

    fn broken(&self, s: &LogState) -> Option<String> {
        if let Some(broken) = s.broken {
            return Some(broken.to_string());
        }
        let leases = s.replicas.iter().filter(|r| r.lease).count();
        if leases > 1 {
            return Some("two leaders hold the lease".to_string());
        }
        let stale = |r: &&Replica| {
            let own = s.committed.iter().any(|e| e.term == r.now.term);
            r.lease && own && !r.now.log.starts_with(&s.committed)
        };
        let found = s.replicas.iter().find(stale);
        found.map(|r| format!("{} answers without what was accepted", r.id))
    }
}
