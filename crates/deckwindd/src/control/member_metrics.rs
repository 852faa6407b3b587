//! Log lines and metrics of the members of the replicated log: changes that a leader starts,
//! replicas that wait to vote, and the part of this replica.

use deckwind_core::replication::{
    MemberChange, MemberDecision, Membership, Replica, ReplicaId, WaitReason, WaitingReplica,
};
use deckwind_core::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum time between two updates, which bounds the log lines of a replica that waits for
/// several reasons in turn.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two log lines of a replica that goes on waiting for the same reason.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Replicas that wait, and the members, as last logged.
#[derive(Default)]
pub struct MemberMetrics {
    at: Option<Instant>,
    waits: BTreeMap<ReplicaId, Wait>,
    membership: Option<Membership>,
    join_logged_at: Option<Instant>,
}

/// A replica that does not vote yet.
struct Wait {
    since: Instant,
    reason: &'static str,
    logged_at: Instant,
}

impl MemberMetrics {
    /// Logs what has changed and updates the metrics.
    pub fn update(&mut self, now: Instant, replica: &Replica) {
        if self.at.is_some_and(|at| now.since(at) < UPDATE_INTERVAL) {
            return;
        }
        self.at = Some(now);
        self.log_membership(replica);
        self.log_join_search(now, replica);
        let waiting = replica.waiting_replicas(now);
        self.log_ended_waits(now, &waiting);
        for replica in &waiting {
            self.log_wait(now, replica);
        }
        set_gauges(replica, waiting.len());
    }

    fn log_membership(&mut self, replica: &Replica) {
        let membership = replica.membership();
        let votes = if membership == Membership::Voter {
            1.0
        } else {
            0.0
        };
        metrics::gauge!("deckwind_control_votes").set(votes);
        if self.membership.replace(membership) == Some(membership) {
            return;
        }
        log::info!(
            "event=membership replica={} is={membership} commit={}",
            replica.id(),
            replica.commit().0
        );
    }

    /// Logs whom a replica asks to join that no leader speaks to, and what is known of them.
    fn log_join_search(&mut self, now: Instant, replica: &Replica) {
        let search = replica.join_search();
        let waited = search
            .as_ref()
            .map_or(Duration::ZERO, |s| now.since(s.since));
        metrics::gauge!("deckwind_control_join_wait_seconds").set(waited.as_secs_f64());
        let Some(search) = search else {
            self.join_logged_at = None;
            return;
        };
        let logged_at = self.join_logged_at;
        if logged_at.is_some_and(|at| now.since(at) < REPEAT_INTERVAL) {
            return;
        }
        self.join_logged_at = Some(now);
        log::info!(
            "event=asks_to_join replica={} is={} asked={:?} unformed={:?} contacts={:?} waited_ms={}",
            replica.id(),
            replica.membership(),
            search.asked,
            search.unformed,
            search.contacts,
            waited.as_millis()
        );
    }

    fn log_ended_waits(&mut self, now: Instant, waiting: &[WaitingReplica]) {
        self.waits.retain(|id, wait| {
            let still_waits = waiting.iter().any(|w| w.id == *id);
            if !still_waits {
                let waited_ms = now.since(wait.since).as_millis();
                log::info!("event=replica_waited replica={id} waited_ms={waited_ms}");
            }
            still_waits
        });
    }

    fn log_wait(&mut self, now: Instant, waiting: &WaitingReplica) {
        let reason = waiting.reason.name();
        let wait = self.waits.entry(waiting.id).or_insert(Wait {
            since: now,
            reason: "",
            logged_at: now,
        });
        let is_new = wait.reason != reason;
        if !is_new && now.since(wait.logged_at) < REPEAT_INTERVAL {
            return;
        }
        wait.reason = reason;
        wait.logged_at = now;
        log::info!(
            "event=replica_waits replica={} for={reason}{} waited_ms={}",
            waiting.id,
            details(waiting.reason),
            now.since(wait.since).as_millis()
        );
    }
}

fn details(reason: WaitReason) -> String {
    match reason {
        WaitReason::Replacing(Some(voter)) => format!(" voter={voter}"),
        WaitReason::CatchingUp { synced, commit } => {
            format!(" synced={} commit={}", synced.0, commit.0)
        }
        WaitReason::ChangeUncommitted
        | WaitReason::Asked
        | WaitReason::Replacing(None)
        | WaitReason::Silent => String::new(),
    }
}

fn set_gauges(replica: &Replica, waiting: usize) {
    let members = replica.members();
    let set = |name: &'static str, value: usize| metrics::gauge!(name).set(value as f64);
    set("deckwind_control_voters", members.voters.len());
    set("deckwind_control_voters_wanted", replica.desired_voters());
    set("deckwind_control_learners", members.learners.len());
    set("deckwind_control_replicas_waiting", waiting);
}

/// Logs and counts a change of the members that this leader has started.
pub fn log_decision(decision: &MemberDecision) {
    let (change, id) = match decision.change {
        MemberChange::AddLearner(id) => ("add_learner", id),
        MemberChange::Promote(id) => ("promote", id),
        MemberChange::Remove(id) => ("remove", id),
    };
    metrics::counter!("deckwind_control_member_changes_total", "change" => change).increment(1);
    log::info!(
        "event=members_changed change={change} replica={id} reason={} index={}",
        decision.reason.name(),
        decision.index.0
    );
}
