//! Specification of taking replicas in: a replica that lost its disk, or the successor of a
//! VM that is gone, becomes a learner and then a voter, while leaders change.
//!
//! What must come about is checked in the states that no step of the protocol leaves: all
//! wanted replicas vote then, and no learner is left. Messages that are lost are steps that
//! have not been taken; a loss may come between any two steps.

use crate::Spec;
use std::collections::BTreeSet;

/// Number of voters wanted, one in each of the first slots.
const WANTED: u8 = 5;

/// Difference between two identities at the same slot.
const IDENTITY: u8 = 8;

/// Slot that has lost its disk in the initial state.
const LOST: u8 = 4;

/// Slot of the successor of the lost one.
const SUCCESSOR: u8 = 5;

/// Slot of the successor of that successor.
const SECOND_SUCCESSOR: u8 = 6;

/// Slot of a second replica that loses its disk.
const SECOND: u8 = 3;

/// Rules of the protocol, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipRules {
    /// A leader promotes the learners in its log, not only those that asked it.
    pub any_leader_promotes: bool,
    /// A learner that hears no leader asks to join.
    pub learner_asks_again: bool,
    /// A replica that is taken in does not wait for another one.
    pub nobody_waits_for_another: bool,
    /// A learner that is gone is removed once as many voters as wanted answer.
    pub gone_learners_are_removed: bool,
    /// While there are fewer voters than wanted, no voter is removed for a learner as long as
    /// another one that runs is to be promoted.
    pub promoted_one_by_one: bool,
    /// While there are as many voters as wanted, a learner becomes one more only if all of them
    /// answer the leader.
    pub one_more_only_if_all_answer: bool,
    /// A replica also asks the members that send to another identity at its slot.
    pub asks_who_sends_to_its_slot: bool,
}

impl MembershipRules {
    /// Enables all rules.
    pub const ALL: MembershipRules = MembershipRules {
        any_leader_promotes: true,
        learner_asks_again: true,
        nobody_waits_for_another: true,
        gone_learners_are_removed: true,
        promoted_one_by_one: true,
        one_more_only_if_all_answer: true,
        asks_who_sends_to_its_slot: true,
    };
}

/// Faults after the first lost disk, each at any moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MembershipFaults {
    /// Number of times that the leader restarts.
    pub leader_restarts: u8,
    /// Whether the replica that lost its disk is gone for good while it is taken in, and a
    /// successor comes at another slot.
    pub replaced: bool,
    /// Whether that successor is gone for good as well, and another one comes.
    pub replaced_again: bool,
    /// Whether a second replica loses its disk.
    pub second_loss: bool,
    /// Whether all seeds are gone, or as empty as the replicas that lost their disks, so that
    /// those know no member from their settings.
    pub no_seed_left: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Change {
    Noop,
    AddLearner(u8),
    Promote(u8),
    Remove(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Entry {
    term: u8,
    change: Change,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Replica {
    /// Slot, plus [`IDENTITY`] for each lost disk.
    id: u8,
    log: Vec<Entry>,
}

/// State of the membership specification.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MembershipState {
    /// Replicas that run.
    replicas: Vec<Replica>,
    leader: Option<u8>,
    term: u8,
    /// Join requests that the leader has received.
    asked: BTreeSet<u8>,
    /// Replicas that the leader knows to be silent.
    silent: BTreeSet<u8>,
    /// Replicas that have received a message for another identity at their slot.
    contacted: BTreeSet<u8>,
    committed: Vec<Entry>,
    left: MembershipFaults,
    violation: Option<&'static str>,
}

/// Specification of the members with its rules and faults.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSpec {
    /// Enabled rules.
    pub rules: MembershipRules,
    /// Faults that may happen.
    pub faults: MembershipFaults,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Members {
    voters: BTreeSet<u8>,
    learners: BTreeSet<u8>,
}

impl Members {
    fn of(log: &[Entry]) -> Self {
        let mut members = Members {
            voters: (0..WANTED).collect(),
            learners: BTreeSet::new(),
        };
        for entry in log {
            members.apply(entry.change);
        }
        members
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Noop => {}
            Change::AddLearner(id) => {
                self.learners.insert(id);
            }
            Change::Promote(id) => {
                self.learners.remove(&id);
                self.voters.insert(id);
            }
            Change::Remove(id) => {
                self.learners.remove(&id);
                self.voters.remove(&id);
            }
        }
    }

    fn contains(&self, id: u8) -> bool {
        self.voters.contains(&id) || self.learners.contains(&id)
    }

    fn voter_at(&self, slot: u8) -> Option<u8> {
        let mut voters = self.voters.iter();
        voters.find(|id| **id % IDENTITY == slot).copied()
    }

    fn has_quorum(&self, ids: impl Iterator<Item = u8>) -> bool {
        let present = ids.filter(|id| self.voters.contains(id)).count();
        present * 2 > self.voters.len()
    }
}

fn last_position(log: &[Entry]) -> (u8, usize) {
    (log.last().map_or(0, |e| e.term), log.len())
}

impl MembershipState {
    fn find(&self, id: u8) -> Option<&Replica> {
        self.replicas.iter().find(|r| r.id == id)
    }

    fn leading(&self) -> Option<&Replica> {
        self.find(self.leader?)
    }

    fn is_running(&self, id: u8) -> bool {
        self.find(id).is_some()
    }

    fn leader_steps_down(&mut self) {
        self.leader = None;
        self.asked.clear();
        self.silent.clear();
    }

    fn append(&mut self, change: Change) {
        if let Change::Remove(id) = change {
            self.asked.remove(&id);
            self.silent.remove(&id);
        }
        let entry = Entry {
            term: self.term,
            change,
        };
        let leader = self.leader;
        let leading = self.replicas.iter_mut().find(|r| Some(r.id) == leader);
        if let Some(r) = leading {
            r.log.push(entry);
        }
    }

    /// Replaces a replica by one with an empty disk.
    fn replace(&mut self, old: u8, new: u8) {
        if self.leader == Some(old) {
            self.leader_steps_down();
        }
        self.replicas.retain(|r| r.id != old);
        self.replicas.push(Replica {
            id: new,
            log: Vec::new(),
        });
    }

    /// Returns whether all wanted replicas, and only they, are members and vote.
    fn all_vote(&self) -> bool {
        let members = Members::of(&self.committed);
        let running: BTreeSet<u8> = self.replicas.iter().map(|r| r.id).collect();
        members.voters == running && members.learners.is_empty()
    }
}

impl MembershipSpec {
    fn elect(&self, s: &MembershipState, r: &Replica) -> Option<MembershipState> {
        let members = Members::of(&r.log);
        if s.leader.is_some() || !members.voters.contains(&r.id) || r.log.is_empty() {
            return None;
        }
        let grants = |o: &&Replica| last_position(&o.log) <= last_position(&r.log);
        let granting = s.replicas.iter().filter(grants).map(|o| o.id);
        let mut n = members.has_quorum(granting).then(|| s.clone())?;
        n.leader = Some(r.id);
        n.term += 1;
        n.append(Change::Noop);
        Some(n)
    }

    fn replicate(&self, s: &MembershipState, i: usize) -> Option<MembershipState> {
        let leading = s.leading()?;
        let r = &s.replicas[i];
        let is_behind = r.log != leading.log && Members::of(&leading.log).contains(r.id);
        let mut n = is_behind.then(|| s.clone())?;
        n.replicas[i].log = leading.log.clone();
        Some(n)
    }

    fn commit(&self, s: &MembershipState) -> Option<MembershipState> {
        let leading = s.leading()?;
        let holding = s.replicas.iter().filter(|r| r.log == leading.log);
        let holding: Vec<u8> = holding.map(|r| r.id).collect();
        let has_quorum = Members::of(&leading.log).has_quorum(holding.iter().copied());
        let mut n = (has_quorum && s.committed != leading.log).then(|| s.clone())?;
        if !leading.log.starts_with(&s.committed) {
            n.violation = Some(REPLACED);
        } else if holding.len() * 2 <= WANTED as usize {
            n.violation = Some(TOO_FEW_COPIES);
        }
        n.committed = leading.log.clone();
        Some(n)
    }

    fn ask(&self, s: &MembershipState, r: &Replica) -> Option<MembershipState> {
        let leading = s.leading()?;
        let own = Members::of(&r.log);
        let is_outside = r.log.is_empty() || !own.contains(r.id);
        let is_learner = !r.log.is_empty() && own.learners.contains(&r.id);
        let asks = is_outside || (is_learner && self.rules.learner_asks_again);
        let is_known = Members::of(&leading.log).contains(r.id) || s.asked.contains(&r.id);
        let knows_a_member =
            !self.faults.no_seed_left || !r.log.is_empty() || s.contacted.contains(&r.id);
        let mut n = (asks && knows_a_member && !is_known).then(|| s.clone())?;
        n.asked.insert(r.id);
        Some(n)
    }

    /// The leader sends to another identity at the slot of a replica that knows no member.
    fn contact(&self, s: &MembershipState, r: &Replica) -> Option<MembershipState> {
        let members = Members::of(&s.leading()?.log);
        let all = members.voters.union(&members.learners);
        let mut others = all.filter(|id| **id != r.id && **id % IDENTITY == r.id % IDENTITY);
        let is_needed = self.faults.no_seed_left && r.log.is_empty();
        let is_new = others.next().is_some() && !s.contacted.contains(&r.id);
        let has_rule = self.rules.asks_who_sends_to_its_slot;
        let mut n = (has_rule && is_needed && is_new).then(|| s.clone())?;
        n.contacted.insert(r.id);
        Some(n)
    }

    /// Returns the changes that the leader may start now: none until the last one and an
    /// entry of its own term are committed.
    fn changes(&self, s: &MembershipState) -> Vec<Change> {
        let Some(leading) = s.leading() else {
            return Vec::new();
        };
        let own = s.committed.last().is_some_and(|e| e.term == s.term);
        if !own || leading.log != s.committed {
            return Vec::new();
        }
        let members = Members::of(&leading.log);
        let waiting = self.asking(s, &members);
        let is_outside = |id: &&u8| !members.contains(**id);
        let additions = waiting.iter().filter(is_outside);
        let mut changes: Vec<Change> = additions.map(|id| Change::AddLearner(*id)).collect();
        changes.extend(self.promotions(s, leading, &members));
        if !self.rules.promoted_one_by_one {
            let holders = waiting
                .iter()
                .filter_map(|id| members.voter_at(id % IDENTITY));
            changes.extend(
                holders
                    .filter(|old| s.silent.contains(old))
                    .map(Change::Remove),
            );
        }
        if waiting.is_empty() || self.rules.nobody_waits_for_another {
            changes.extend(self.removals(s, &members));
        }
        changes
    }

    /// Returns the promotions of learners that have caught up and, unless a learner that
    /// runs and replaces nobody comes first, the removals of voters that they replace.
    fn promotions(&self, s: &MembershipState, leading: &Replica, members: &Members) -> Vec<Change> {
        let has_caught_up = |id: &u8| s.find(*id).is_some_and(|r| r.log == leading.log);
        let may = |id: &u8| self.rules.any_leader_promotes || s.asked.contains(id);
        let learners = || members.learners.iter().copied().filter(may);
        let is_short = members.voters.len() < WANTED as usize;
        let is_coming = |id: u8| !s.silent.contains(&id) && replaced_by(s, members, id).is_none();
        let promoted_first =
            self.rules.promoted_one_by_one && is_short && learners().any(is_coming);
        let all_answer = members.voters.iter().all(|id| s.is_running(*id));
        let may_grow = is_short || all_answer || !self.rules.one_more_only_if_all_answer;
        let step = |id: u8| match replaced_by(s, members, id) {
            None if may_grow => Some(Change::Promote(id)),
            Some(old) if s.silent.contains(&old) && !promoted_first => Some(Change::Remove(old)),
            _ => None,
        };
        learners().filter(has_caught_up).filter_map(step).collect()
    }

    /// Returns the replicas that asked and do not vote, or only the first of them if the
    /// others wait for it.
    fn asking(&self, s: &MembershipState, members: &Members) -> Vec<u8> {
        let asked = s.asked.iter().filter(|id| !members.voters.contains(id));
        let mut asked: Vec<u8> = asked.copied().collect();
        asked.sort_by_key(|id| id % IDENTITY);
        if !self.rules.nobody_waits_for_another {
            asked.truncate(1);
        }
        asked
    }

    fn removals(&self, s: &MembershipState, members: &Members) -> Vec<Change> {
        let mut gone = Vec::new();
        if members.voters.len() > WANTED as usize {
            gone.extend(members.voters.intersection(&s.silent));
        }
        let answering = members.voters.difference(&s.silent).count();
        if answering >= WANTED as usize && self.rules.gone_learners_are_removed {
            gone.extend(members.learners.intersection(&s.silent));
        }
        gone.into_iter().copied().map(Change::Remove).collect()
    }

    /// Returns the members that are gone and that the leader does not know to be silent yet.
    fn unnoticed(&self, s: &MembershipState) -> Vec<u8> {
        let Some(leading) = s.leading() else {
            return Vec::new();
        };
        let members = Members::of(&leading.log);
        let all = members.voters.union(&members.learners).copied();
        all.filter(|id| !s.is_running(*id) && !s.silent.contains(id))
            .collect()
    }

    fn protocol_steps(&self, s: &MembershipState) -> Vec<(String, MembershipState)> {
        let mut out = Vec::new();
        let mut push = |name: String, n: Option<MembershipState>| out.extend(n.map(|n| (name, n)));
        for (i, r) in s.replicas.iter().enumerate() {
            push(format!("{} becomes leader", r.id), self.elect(s, r));
            push(format!("{} receives the log", r.id), self.replicate(s, i));
            push(format!("{} asks to join", r.id), self.ask(s, r));
            push(
                format!("the leader sends to the slot of {}", r.id),
                self.contact(s, r),
            );
        }
        push("the leader commits".to_string(), self.commit(s));
        for id in self.unnoticed(s) {
            let mut n = s.clone();
            n.silent.insert(id);
            push(format!("the leader knows that {id} is silent"), Some(n));
        }
        for change in self.changes(s) {
            let mut n = s.clone();
            n.append(change);
            push(format!("the leader appends {change:?}"), Some(n));
        }
        out
    }

    fn fault_steps(&self, s: &MembershipState) -> Vec<(String, MembershipState)> {
        let mut out = Vec::new();
        if s.left.leader_restarts > 0 && s.leader.is_some() {
            let mut n = s.clone();
            n.left.leader_restarts -= 1;
            n.leader_steps_down();
            out.push(("the leader restarts".to_string(), n));
        }
        if s.left.replaced {
            let mut n = s.clone();
            n.left.replaced = false;
            n.replace(LOST + IDENTITY, SUCCESSOR);
            out.push(("the lost one is gone for good".to_string(), n));
        }
        if s.left.replaced_again && !s.left.replaced {
            let mut n = s.clone();
            n.left.replaced_again = false;
            n.replace(SUCCESSOR, SECOND_SUCCESSOR);
            out.push(("the successor is gone for good".to_string(), n));
        }
        if s.left.second_loss {
            let mut n = s.clone();
            n.left.second_loss = false;
            n.replace(SECOND, SECOND + IDENTITY);
            out.push((format!("{SECOND} loses its disk"), n));
        }
        out
    }
}

/// Returns the voter that a learner replaces: the one at its slot or, if there are as many
/// voters as wanted, one that is known to be silent.
fn replaced_by(s: &MembershipState, members: &Members, learner: u8) -> Option<u8> {
    let gone = || members.voters.intersection(&s.silent).next().copied();
    let is_full = members.voters.len() >= WANTED as usize;
    let holder = members.voter_at(learner % IDENTITY);
    holder.or_else(|| gone().filter(|_| is_full))
}

impl Spec for MembershipSpec {
    type State = MembershipState;

    fn initial(&self) -> MembershipState {
        let genesis = vec![Entry {
            term: 1,
            change: Change::Noop,
        }];
        let replica = |id: u8| Replica {
            id,
            log: genesis.clone(),
        };
        let mut initial = MembershipState {
            replicas: (0..WANTED).map(replica).collect(),
            leader: Some(0),
            term: 1,
            asked: BTreeSet::new(),
            silent: BTreeSet::new(),
            contacted: BTreeSet::new(),
            committed: genesis.clone(),
            left: self.faults,
            violation: None,
        };
        initial.replace(LOST, LOST + IDENTITY);
        initial
    }

    fn successors(&self, s: &MembershipState) -> Vec<(String, MembershipState)> {
        let mut steps = self.protocol_steps(s);
        steps.extend(self.fault_steps(s));
        steps
    }

    fn violation(&self, s: &MembershipState) -> Option<String> {
        if let Some(violation) = s.violation {
            return Some(violation.to_string());
        }
        let is_stuck = !s.all_vote() && self.protocol_steps(s).is_empty();
        is_stuck.then(|| NOT_ALL_VOTE.to_string())
    }
}

const REPLACED: &str = "a committed entry was replaced";
pub(crate) const TOO_FEW_COPIES: &str =
    "an entry is committed without a majority of the wanted replicas";
pub(crate) const NOT_ALL_VOTE: &str = "all is calm, and not all wanted replicas vote";
