//! Log lines and metrics of elections: roles, leaders that fall silent or are deposed, and the
//! gaps between heartbeats.

use deckwind_core::replication::{Replica, ReplicaId, Role};
use deckwind_core::time::Instant;
use std::time::Duration;

/// Gaps between heartbeats above this are logged: some four intervals of heartbeats.
const LONG_GAP: Duration = Duration::from_millis(300);

/// Role, leader and heartbeats as last seen.
pub struct LeadershipLog {
    role: Role,
    /// The leader that this replica followed last.
    leader: Option<ReplicaId>,
    /// Time of the election, if this replica leads.
    elected: Option<Instant>,
    /// When this replica last sent a heartbeat as the leader, or received one.
    last_heartbeat: Option<Instant>,
}

impl Default for LeadershipLog {
    fn default() -> Self {
        Self {
            role: Role::Unformed,
            leader: None,
            elected: None,
            last_heartbeat: None,
        }
    }
}

impl LeadershipLog {
    /// Logs what has changed since the last call. Called after each batch.
    pub fn update(&mut self, now: Instant, replica: &Replica) {
        let role = replica.role();
        if role != self.role {
            self.log_role(now, replica);
        }
        self.record_heartbeats(replica);
        self.role = role;
        self.elected = replica.leader_since();
        if let Some(leader) = replica.leader() {
            self.leader = Some(leader);
        }
    }

    fn record_heartbeats(&mut self, replica: &Replica) {
        let is_leader = replica.role() == Role::Leader;
        let direction = if is_leader { "sent" } else { "received" };
        let at = match is_leader {
            true => replica.last_heartbeat(),
            false => self.last_heartbeat.max(Some(replica.last_leader_contact())),
        };
        let before = std::mem::replace(&mut self.last_heartbeat, at);
        let gap = match (before, at) {
            (Some(before), Some(at)) if before < at && replica.role() == self.role => {
                at.since(before)
            }
            _ => return,
        };
        metrics::histogram!("deckwind_control_heartbeat_gap_seconds", "direction" => direction)
            .record(gap.as_secs_f64());
        if gap >= LONG_GAP {
            log::info!(
                "event=heartbeat_gap direction={direction} gap_ms={} term={}",
                gap.as_millis(),
                replica.term().0
            );
        }
    }

    fn log_role(&self, now: Instant, replica: &Replica) {
        let role = replica.role();
        metrics::counter!("deckwind_control_role_changes_total").increment(1);
        log::info!(
            "event=role replica={} role={role} term={}",
            replica.id(),
            replica.term().0
        );
        let leads = if role == Role::Leader { 1.0 } else { 0.0 };
        metrics::gauge!("deckwind_control_leads").set(leads);
        if self.role == Role::Leader {
            self.log_deposed(now, replica);
        }
        if role == Role::PreCandidate && self.role != Role::Candidate {
            self.log_silent_leader(now, replica);
        }
    }

    /// Logs the end of this replica's leadership.
    fn log_deposed(&self, now: Instant, replica: &Replica) {
        metrics::counter!("deckwind_control_depositions_total").increment(1);
        let led = self.elected.map_or(Duration::ZERO, |at| now.since(at));
        let sent = self.last_heartbeat.map_or(led, |at| now.since(at));
        let by = replica.leader().map_or("nobody".into(), |l| l.to_string());
        log::info!(
            "event=deposed by={by} term={} led_ms={} heartbeat_sent_ms_ago={}",
            replica.term().0,
            led.as_millis(),
            sent.as_millis()
        );
    }

    /// Logs why this replica stands for election.
    fn log_silent_leader(&self, now: Instant, replica: &Replica) {
        let leader = self.leader.map_or("nobody".into(), |l| l.to_string());
        let silent = self
            .last_heartbeat
            .map_or(Duration::ZERO, |at| now.since(at));
        log::info!(
            "event=leader_silent leader={leader} term={} silent_ms={}",
            replica.term().0,
            silent.as_millis()
        );
    }
}
