//! Specification of the log, the leader lease and the identity of three replicas.
//!
//! A step that changes the persistent state of a replica is synced before its
//! message is sent (rule `sync_before_send`). The logs of the leaders of each term
//! are kept as history, so that any message that was ever sent can still arrive.
//!
//! A promise represents "received a message of the leader less than an election
//! timeout ago". It expires only after the lease that relies on it, which assumes
//! bounded clock drift (rule `promise_blocks_votes`).

use crate::Spec;
use std::collections::{BTreeMap, BTreeSet};

/// Number of slots, each held by one replica.
const SLOTS: usize = 3;

/// Rules of the protocol, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogRules {
    /// Votes and acknowledgements are sent only after the sync.
    pub sync_before_send: bool,
    /// A replica that lost its disk gets a new identity.
    pub new_identity_after_loss: bool,
    /// A replica does not vote while a leader may rely on its promise.
    pub promise_blocks_votes: bool,
    /// A replica keeps its promise over a restart.
    pub promise_survives_restart: bool,
    /// A leader counts acknowledgements only for entries of its own term.
    pub commit_own_term_only: bool,
    /// A voter refuses a candidate whose log is behind its own.
    pub up_to_date_log: bool,
    /// Members change only after the previous change was committed.
    pub one_change_at_a_time: bool,
}

impl LogRules {
    /// Enables all rules.
    pub const ALL: LogRules = LogRules {
        sync_before_send: true,
        new_identity_after_loss: true,
        promise_blocks_votes: true,
        promise_survives_restart: true,
        commit_own_term_only: true,
        up_to_date_log: true,
        one_change_at_a_time: true,
    };
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogBounds {
    /// Highest term.
    pub terms: u8,
    /// Maximum number of entries in a log.
    pub entries: usize,
    /// Maximum number of crashes of all replicas.
    pub crashes: u8,
    /// Maximum number of lost disks of all replicas.
    pub disk_losses: u8,
    /// Whether leaders acquire leases; if not, only the log is explored.
    pub leases: bool,
    /// Whether the initial state has two competing leaders: replica 0 led term 1 and
    /// replica 1 led term 2, each with one entry that no other replica has.
    pub competing_leaders: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Payload {
    Command,
    Remove(u8),
    Add(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Entry {
    term: u8,
    payload: Payload,
}

/// State that a replica must keep over a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct PersistentState {
    term: u8,
    voted_for: Option<u8>,
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
    /// Slot, plus [`SLOTS`] for each lost disk.
    id: u8,
    memory: PersistentState,
    disk: PersistentState,
    role: Role,
    /// Term of the leader whose lease the replica supports by not voting for others.
    promise: Option<u8>,
    holds_lease: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct VoteRequest {
    term: u8,
    id: u8,
    last: (u8, usize),
}

/// State of the log specification.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LogState {
    replicas: Vec<Replica>,
    vote_requests: BTreeSet<VoteRequest>,
    /// Votes that were sent: term, voter and candidate.
    votes: BTreeSet<(u8, u8, u8)>,
    /// Leader of each term and the longest log that it had.
    history: Vec<Option<(u8, Vec<Entry>)>>,
    /// Number of entries acknowledged, by term and replica.
    acks: BTreeMap<(u8, u8), usize>,
    committed: Vec<Entry>,
    crashes: u8,
    disk_losses: u8,
    violation: Option<&'static str>,
}

/// Specification of the log with its rules and bounds.
#[derive(Clone, Copy, Debug)]
pub struct LogSpec {
    /// Enabled rules.
    pub rules: LogRules,
    /// Bounds of the exploration.
    pub bounds: LogBounds,
}

fn members(log: &[Entry]) -> BTreeSet<u8> {
    let mut set: BTreeSet<u8> = (0..SLOTS as u8).collect();
    for entry in log {
        match entry.payload {
            Payload::Command => {}
            Payload::Remove(id) => {
                set.remove(&id);
            }
            Payload::Add(id) => {
                set.insert(id);
            }
        }
    }
    set
}

fn is_quorum(group: &BTreeSet<u8>, ids: impl Iterator<Item = u8>) -> bool {
    let present: BTreeSet<u8> = ids.filter(|id| group.contains(id)).collect();
    present.len() * 2 > group.len()
}

fn last_position(log: &[Entry]) -> (u8, usize) {
    (log.last().map_or(0, |e| e.term), log.len())
}

impl LogState {
    fn set_competing_leaders(&mut self) {
        for (slot, term) in [(0, 1), (1, 2)] {
            let entry = Entry {
                term,
                payload: Payload::Command,
            };
            let r = &mut self.replicas[slot];
            r.memory.log = vec![entry];
            self.history[term as usize] = Some((r.id, vec![entry]));
        }
        for r in &mut self.replicas {
            r.memory.term = 2;
            r.memory.voted_for = Some(1);
            r.disk = r.memory.clone();
        }
    }

    fn ack(&mut self, term: u8, id: u8, len: usize) {
        let acked_len = self.acks.entry((term, id)).or_insert(0);
        *acked_len = (*acked_len).max(len);
    }
}

impl Replica {
    fn follow(&mut self, term: u8) {
        if term > self.memory.term {
            self.memory.term = term;
            self.memory.voted_for = None;
        }
        self.role = Role::Follower;
        self.holds_lease = false;
    }
}

impl LogSpec {
    /// Writes the state to disk if `sync_before_send` is enabled.
    fn sync_if_required(&self, r: &mut Replica) {
        if self.rules.sync_before_send {
            r.disk = r.memory.clone();
        }
    }

    fn campaign(&self, s: &LogState, i: usize) -> Option<LogState> {
        let r = &s.replicas[i];
        // The replicas are identical initially, so only 0 may be the first candidate.
        let is_first = i == 0 || !s.vote_requests.is_empty();
        let is_allowed = is_first
            && r.role != Role::Leader
            && r.memory.term < self.bounds.terms
            && (r.promise.is_none() || !self.rules.promise_blocks_votes)
            && members(&r.memory.log).contains(&r.id);
        let mut n = is_allowed.then(|| s.clone())?;
        let r = &mut n.replicas[i];
        r.memory.term += 1;
        r.memory.voted_for = Some(r.id);
        r.role = Role::Candidate;
        self.sync_if_required(r);
        let request = VoteRequest {
            term: r.memory.term,
            id: r.id,
            last: last_position(&r.memory.log),
        };
        n.votes.insert((request.term, r.id, r.id));
        n.vote_requests.insert(request);
        Some(n)
    }

    fn vote(&self, s: &LogState, i: usize, c: VoteRequest) -> Option<LogState> {
        let r = &s.replicas[i];
        let can_vote = c.term > r.memory.term
            || (c.term == r.memory.term && r.memory.voted_for.is_none_or(|v| v == c.id));
        let is_promised = self.rules.promise_blocks_votes && r.promise.is_some();
        let log_is_behind = self.rules.up_to_date_log && c.last < last_position(&r.memory.log);
        if !can_vote || is_promised || log_is_behind || c.id == r.id {
            return None;
        }
        let mut n = s.clone();
        let r = &mut n.replicas[i];
        if c.term > r.memory.term {
            r.follow(c.term);
        }
        r.memory.voted_for = Some(c.id);
        self.sync_if_required(r);
        n.votes.insert((c.term, r.id, c.id));
        Some(n)
    }

    fn become_leader(&self, s: &LogState, i: usize) -> Option<LogState> {
        let r = &s.replicas[i];
        let voters = s
            .votes
            .iter()
            .filter(|(t, _, c)| *t == r.memory.term && *c == r.id);
        let won = is_quorum(&members(&r.memory.log), voters.map(|(_, v, _)| *v));
        let mut n = (r.role == Role::Candidate && won).then(|| s.clone())?;
        let (id, term, log) = (r.id, r.memory.term as usize, r.memory.log.clone());
        if s.history[term].is_some() {
            n.violation = Some("two leaders in one term");
        }
        n.ack(term as u8, id, log.len());
        n.history[term] = Some((id, log));
        n.replicas[i].role = Role::Leader;
        n.replicas[i].promise = self.bounds.leases.then_some(term as u8);
        Some(n)
    }

    fn propose(&self, s: &LogState, i: usize, payload: Payload) -> Option<LogState> {
        let r = &s.replicas[i];
        if r.role != Role::Leader || r.memory.log.len() >= self.bounds.entries {
            return None;
        }
        if payload != Payload::Command && !self.can_change_members(s, r, payload) {
            return None;
        }
        let mut n = s.clone();
        let r = &mut n.replicas[i];
        let term = r.memory.term;
        r.memory.log.push(Entry { term, payload });
        self.sync_if_required(r);
        let (id, log) = (r.id, r.memory.log.clone());
        n.ack(term, id, log.len());
        n.history[term as usize] = Some((id, log));
        Some(n)
    }

    fn can_change_members(&self, s: &LogState, r: &Replica, payload: Payload) -> bool {
        let current = members(&r.memory.log);
        let is_applicable = match payload {
            Payload::Remove(id) => {
                current.contains(&id) && id != r.id && s.replicas.iter().all(|o| o.id != id)
            }
            Payload::Add(id) => !current.contains(&id),
            Payload::Command => true,
        };
        let own_committed = s.committed.last().is_some_and(|e| e.term == r.memory.term);
        let all_committed = r.memory.log == s.committed && own_committed;
        is_applicable && (all_committed || !self.rules.one_change_at_a_time)
    }

    fn replicate(&self, s: &LogState, i: usize, term: u8, len: usize) -> Option<LogState> {
        let (leader, log) = s.history[term as usize].as_ref()?;
        let r = &s.replicas[i];
        let is_excluded = r.id == *leader || !members(log).contains(&r.id);
        if term < r.memory.term || len > log.len() || is_excluded {
            return None;
        }
        let mut n = s.clone();
        let r = &mut n.replicas[i];
        r.follow(term);
        r.promise = self.bounds.leases.then_some(term);
        let sent = &log[..len];
        if !r.memory.log.starts_with(sent) {
            r.memory.log = sent.to_vec();
        }
        self.sync_if_required(r);
        let id = r.id;
        n.ack(term, id, len);
        (n != *s).then_some(n)
    }

    fn commit(&self, s: &LogState, i: usize, len: usize) -> Option<LogState> {
        let r = &s.replicas[i];
        if r.role != Role::Leader || len > r.memory.log.len() {
            return None;
        }
        let term = r.memory.term;
        let acked = s.acks.iter().filter(|((t, _), l)| *t == term && **l >= len);
        let has_quorum = is_quorum(&members(&r.memory.log), acked.map(|((_, id), _)| *id));
        let own = r.memory.log[len - 1].term == term;
        if !has_quorum || (self.rules.commit_own_term_only && !own) {
            return None;
        }
        let sent = &r.memory.log[..len];
        let mut n = s.clone();
        if !s.committed.starts_with(sent) {
            if !sent.starts_with(&s.committed) {
                n.violation = Some("a committed entry was replaced");
            }
            n.committed = sent.to_vec();
        }
        (n != *s).then_some(n)
    }

    fn acquire_lease(&self, s: &LogState, i: usize) -> Option<LogState> {
        let r = &s.replicas[i];
        let term = r.memory.term;
        let promised = s.replicas.iter().filter(|o| o.promise == Some(term));
        let is_allowed = self.bounds.leases
            && r.role == Role::Leader
            && !r.holds_lease
            && is_quorum(&members(&r.memory.log), promised.map(|o| o.id));
        let mut n = is_allowed.then(|| s.clone())?;
        n.replicas[i].holds_lease = true;
        Some(n)
    }

    fn expire_lease(&self, s: &LogState, i: usize) -> Option<LogState> {
        let mut n = s.replicas[i].holds_lease.then(|| s.clone())?;
        n.replicas[i].holds_lease = false;
        Some(n)
    }

    fn expire_promise(&self, s: &LogState, i: usize) -> Option<LogState> {
        let term = s.replicas[i].promise?;
        let relied_on = s
            .replicas
            .iter()
            .any(|o| o.holds_lease && o.memory.term == term);
        let mut n = (!relied_on).then(|| s.clone())?;
        n.replicas[i].promise = None;
        Some(n)
    }

    fn sync_disk(&self, s: &LogState, i: usize) -> Option<LogState> {
        let r = &s.replicas[i];
        let mut n = (r.memory != r.disk).then(|| s.clone())?;
        n.replicas[i].disk = r.memory.clone();
        Some(n)
    }

    fn crash(&self, s: &LogState, i: usize) -> Option<LogState> {
        let mut n = (s.crashes < self.bounds.crashes).then(|| s.clone())?;
        n.crashes += 1;
        let r = &mut n.replicas[i];
        r.memory = r.disk.clone();
        r.role = Role::Follower;
        r.holds_lease = false;
        if !self.rules.promise_survives_restart {
            r.promise = None;
        }
        Some(n)
    }

    fn lose_disk(&self, s: &LogState, i: usize) -> Option<LogState> {
        let mut n = (s.disk_losses < self.bounds.disk_losses).then(|| s.clone())?;
        n.disk_losses += 1;
        let r = &mut n.replicas[i];
        r.memory = PersistentState::default();
        r.disk = PersistentState::default();
        r.role = Role::Follower;
        r.holds_lease = false;
        if self.rules.new_identity_after_loss {
            r.id += SLOTS as u8;
        }
        Some(n)
    }
}

impl Spec for LogSpec {
    type State = LogState;

    fn initial(&self) -> LogState {
        let replica = |slot: usize| Replica {
            id: slot as u8,
            memory: PersistentState::default(),
            disk: PersistentState::default(),
            role: Role::Follower,
            promise: None,
            holds_lease: false,
        };
        let mut initial = LogState {
            replicas: (0..SLOTS).map(replica).collect(),
            vote_requests: BTreeSet::new(),
            votes: BTreeSet::new(),
            history: vec![None; self.bounds.terms as usize + 1],
            acks: BTreeMap::new(),
            committed: Vec::new(),
            crashes: 0,
            disk_losses: 0,
            violation: None,
        };
        if self.bounds.competing_leaders {
            initial.set_competing_leaders();
        }
        initial
    }

    fn successors(&self, s: &LogState) -> Vec<(String, LogState)> {
        let mut out = Vec::new();
        let mut push = |name: String, n: Option<LogState>| out.extend(n.map(|n| (name, n)));
        for i in 0..SLOTS {
            push(format!("replica {i} requests votes"), self.campaign(s, i));
            for c in &s.vote_requests {
                let name = format!("replica {i} votes for {} in term {}", c.id, c.term);
                push(name, self.vote(s, i, *c));
            }
            push(
                format!("replica {i} becomes leader"),
                self.become_leader(s, i),
            );
            push(
                format!("replica {i} appends an entry"),
                self.propose(s, i, Payload::Command),
            );
            for o in &s.replicas {
                let old = o.id % SLOTS as u8;
                if o.id != old {
                    let remove = Payload::Remove(old);
                    push(
                        format!("replica {i} removes member {old}"),
                        self.propose(s, i, remove),
                    );
                    push(
                        format!("replica {i} adds member {}", o.id),
                        self.propose(s, i, Payload::Add(o.id)),
                    );
                }
            }
            for term in 1..=self.bounds.terms {
                for len in 0..=self.bounds.entries {
                    let name = format!("replica {i} receives {len} entries of term {term}");
                    push(name, self.replicate(s, i, term, len));
                }
            }
            for len in 1..=self.bounds.entries {
                push(
                    format!("replica {i} commits {len} entries"),
                    self.commit(s, i, len),
                );
            }
            push(
                format!("replica {i} acquires the lease"),
                self.acquire_lease(s, i),
            );
            push(
                format!("the lease of replica {i} expires"),
                self.expire_lease(s, i),
            );
            push(
                format!("the promise of replica {i} expires"),
                self.expire_promise(s, i),
            );
            if !self.rules.sync_before_send {
                push(format!("replica {i} syncs its disk"), self.sync_disk(s, i));
            }
            push(
                format!("replica {i} crashes and restarts"),
                self.crash(s, i),
            );
            push(format!("replica {i} loses its disk"), self.lose_disk(s, i));
        }
        out
    }

    fn violation(&self, s: &LogState) -> Option<String> {
        if let Some(violation) = s.violation {
            return Some(violation.to_string());
        }
        let leases = s.replicas.iter().filter(|r| r.holds_lease).count();
        if leases > 1 {
            return Some("two leaders hold the lease".to_string());
        }
        let stale = |r: &&Replica| {
            let own = s.committed.iter().any(|e| e.term == r.memory.term);
            r.holds_lease && own && !r.memory.log.starts_with(&s.committed)
        };
        let stale_leader = s.replicas.iter().find(stale);
        stale_leader.map(|r| format!("lease holder {} lacks committed entries", r.id))
    }
}
