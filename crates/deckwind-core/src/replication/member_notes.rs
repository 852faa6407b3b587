//! What a replica reports about its members: the leader's decisions, who waits to vote and
//! why, and its own part.

use super::ids::{Index, ReplicaId};
use super::members::{MemberChange, Members};
use crate::time::Instant;
use std::fmt;

/// Reason for a change of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChangeReason {
    /// The replica asked to join.
    Asked,
    /// The learner has caught up.
    CaughtUp,
    /// The voter is silent, and a learner that replaces it has caught up.
    Replaced,
    /// The member is silent, and there are voters enough without it.
    Surplus,
    /// An operator requested the change.
    Requested,
}

impl MemberChangeReason {
    /// Returns the name of the reason in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Asked => "asked",
            Self::CaughtUp => "caught_up",
            Self::Replaced => "replaced",
            Self::Surplus => "surplus",
            Self::Requested => "requested",
        }
    }
}

/// A change of the members that the leader has appended to its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberDecision {
    /// The change.
    pub change: MemberChange,
    /// Why it was made.
    pub reason: MemberChangeReason,
    /// Index of its entry.
    pub index: Index,
}

/// What a replica that does not vote waits for, as known to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The previous change of the members is not committed.
    ChangeUncommitted,
    /// It asked to join and is not a member yet.
    Asked,
    /// The learner is ready. The voter that it replaces, or may replace, is not known to be
    /// silent yet or is being removed.
    Replacing(Option<ReplicaId>),
    /// The learner does not answer.
    Silent,
    /// The learner lacks committed entries.
    CatchingUp {
        /// Last entry that the learner has synced.
        synced: Index,
        /// Last committed entry.
        commit: Index,
    },
}

impl WaitReason {
    /// Returns the name of the reason in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::ChangeUncommitted => "change_uncommitted",
            Self::Asked => "asked",
            Self::Replacing(_) => "replacing",
            Self::Silent => "silent",
            Self::CatchingUp { .. } => "catching_up",
        }
    }
}

/// A replica that does not vote yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingReplica {
    /// The replica.
    pub id: ReplicaId,
    /// What it waits for.
    pub reason: WaitReason,
}

/// Whom a replica asks to join, while no leader speaks to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JoinSearch {
    /// Time of the first of these requests.
    pub since: Instant,
    /// Slots that are asked.
    pub asked: Vec<u32>,
    /// Slots whose replicas were unformed too when they last asked this one.
    pub unformed: Vec<u32>,
    /// Slots of members that have sent to an earlier identity at this slot.
    pub contacts: Vec<u32>,
}

/// Part of a replica in its cluster, by the members in its own log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Membership {
    /// Not a member.
    None,
    /// Receives entries and does not vote.
    Learner,
    /// Votes.
    Voter,
}

impl fmt::Display for Membership {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::None => "none",
            Self::Learner => "learner",
            Self::Voter => "voter",
        })
    }
}

impl Members {
    /// Returns the part of a replica.
    pub fn membership(&self, id: ReplicaId) -> Membership {
        if self.voters.contains(&id) {
            return Membership::Voter;
        }
        match self.learners.contains(&id) {
            true => Membership::Learner,
            false => Membership::None,
        }
    }
}
