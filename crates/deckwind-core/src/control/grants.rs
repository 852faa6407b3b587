//! Replies to lease renewals. A renewal is held until there is a change to send or its
//! wait expires (long polling).

use super::control_core::{ControlCore, LeaderState};
use super::event::ControlAction;
use super::messages::{ControlReply, Grant, Renewal};
use super::parked_renewals::{ParkedRenewal, ReadyFor};
use super::reply_schedule::Urgency;
use super::target_limiter::TargetLimiter;
use super::work_log::{Work, WorkUnit};
use crate::state::{Delta, PackedDelta, Revision, VmName};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which routers are informed of a target that failed one of them: as long as it
/// takes to detect a dead target.
pub(super) const FAILING_REPORT_TTL: Duration = Duration::from_millis(1_000);

/// Largest size of a delta that is exempt from pacing, bytes: no larger than the rest of
/// a reply.
const MAX_UNPACED_BYTES: usize = 2 * 1024;

/// Packed deltas to the current revision by their base revision. Most routers lack the
/// same changes and share a delta.
#[derive(Clone, Debug, Default)]
pub(super) struct DeltaCache {
    to: Revision,
    by_base: BTreeMap<Revision, CachedDelta>,
}

/// What the deltas that a replica has sent contained, summed over all receivers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentState {
    /// Number of deltas.
    pub deltas: u64,
    /// Size of the deltas in bytes, packed.
    pub bytes: u64,
    /// Deltas with a release or changes of one.
    pub releases: u64,
    /// Rows of targets.
    pub instances: u64,
    /// Rows of suspected request traits.
    pub suspects: u64,
}

impl SentState {
    fn add(&mut self, delta: &CachedDelta) {
        self.deltas += 1;
        self.bytes += delta.packed.size() as u64;
        self.releases += u64::from(delta.has_release);
        self.instances += delta.instances;
        self.suspects += delta.suspects;
    }
}

/// A packed delta and what it contains.
#[derive(Clone, Debug)]
struct CachedDelta {
    packed: PackedDelta,
    has_release: bool,
    instances: u64,
    suspects: u64,
}

impl CachedDelta {
    fn of(delta: &Delta) -> Self {
        let suspects = delta.suspects.as_ref().and_then(|s| s.value.as_ref());
        Self {
            packed: PackedDelta::of(delta),
            has_release: delta.release.is_some(),
            instances: delta.instances.len() as u64,
            suspects: suspects.map_or(0, |list| list.len() as u64),
        }
    }
}

impl LeaderState {
    /// Returns the targets that recently failed a router.
    fn recently_failing(&self, now: Instant) -> Vec<SocketAddr> {
        let is_recent = |at: &Instant| now.since(*at) < FAILING_REPORT_TTL;
        let recent = self.failed_at.iter().filter(|(_, at)| is_recent(at));
        recent.map(|(address, _)| *address).collect()
    }

    /// Returns whether a target recently failed a router.
    pub(super) fn is_failing(&self, now: Instant, address: SocketAddr) -> bool {
        let at = self.failed_at.get(&address);
        at.is_some_and(|at| now.since(*at) < FAILING_REPORT_TTL)
    }
}

impl ControlCore {
    /// Requests a reply round that informs routers of a change, and starts it if it is
    /// due already.
    pub(super) fn inform_routers(&mut self, now: Instant, urgency: Urgency) {
        self.round_schedule.request(now, urgency);
        self.answer_parked(now);
    }

    /// Marks the parked renewals whose wait has expired, or for which there is a change to
    /// send, as ready to be answered.
    pub(super) fn answer_parked(&mut self, now: Instant) {
        let shown = self.state_machine.configuration().visible_revision();
        let before = self.published_revision;
        let round = self.start_round_if_due(now);
        if round || !self.round_schedule.is_pending() {
            self.published_revision = self.published_revision.max(shown);
        }
        let limits = self.target_limiter().map(TargetLimiter::revision);
        let has_changes = self.published_revision > before || limits != self.answered_limits;
        self.answered_limits = limits;
        if round {
            self.reply_rounds += 1;
            self.parked.ready_all(ReadyFor::Answer);
        } else if has_changes {
            self.parked.ready_all(ReadyFor::Check);
        }
        self.parked.ready_expired(now);
        self.parked.ready_throttled();
    }

    /// Starts a round of replies if it is due and the last one is finished. A group of the
    /// entries that were committed meanwhile must be applied first: rounds that follow each
    /// other without a break would keep entries from being applied.
    fn start_round_if_due(&mut self, now: Instant) -> bool {
        let is_due = self.round_schedule.is_due(now) && !self.parked.has_ready();
        if !is_due || !self.apply_queue.take_group_finished() {
            return false;
        }
        self.round_schedule.start(now);
        true
    }

    /// Answers the next of the renewals that are ready to be answered. Returns whether there
    /// was one.
    pub(super) fn answer_next(&mut self, now: Instant, out: &mut Vec<ControlAction>) -> bool {
        let Some((parked, ready_for)) = self.parked.take_ready() else {
            return false;
        };
        let started = self.work.start();
        match ready_for {
            ReadyFor::Check => self.answer_or_park(now, parked, out),
            ReadyFor::Answer | ReadyFor::State => {
                self.scan_counts.renewals += 1;
                let is_answered = self.answer_renewal(now, parked, out);
                if ready_for == ReadyFor::State && !is_answered {
                    self.parked.defer_throttled();
                }
            }
        }
        self.work.stop(Work::Grants, started);
        true
    }

    /// Answers a parked renewal if there is a change to send.
    pub(super) fn recheck_parked(
        &mut self,
        now: Instant,
        token: u64,
        out: &mut Vec<ControlAction>,
    ) {
        if let Some(parked) = self.parked.take(token) {
            self.answer_or_park(now, parked, out);
        }
    }

    /// Answers a renewal if there is a change to send or its wait has expired, and parks
    /// it otherwise.
    pub(super) fn answer_or_park(
        &mut self,
        now: Instant,
        parked: ParkedRenewal,
        out: &mut Vec<ControlAction>,
    ) {
        self.scan_counts.renewals += 1;
        let expired = parked.deadline <= now;
        // Changes made after the last round wait for the next one.
        let behind = parked.renewal.applied < self.published_revision;
        let missed = self.has_missed_last_round(&parked.renewal.holder.vm);
        let repeats = self.has_unannounced_retries(&parked.renewal.holder);
        let limits = self.has_other_limits(&parked.renewal);
        match expired || behind || missed || repeats || limits {
            true => drop(self.answer_renewal(now, parked, out)),
            false => self.parked.park(parked),
        }
    }

    /// Answers one renewal and returns whether it was answered. While the rate limit on
    /// state is exhausted, the renewal waits for its turn. When its wait expires, it gets
    /// the lease without the state, for as long as the router may act without that state.
    fn answer_renewal(
        &mut self,
        now: Instant,
        parked: ParkedRenewal,
        out: &mut Vec<ControlAction>,
    ) -> bool {
        let token = parked.token;
        self.work.count(WorkUnit::Renewal, 1);
        if !self.replica.can_serve_reads(now) {
            self.not_leader(token, out);
            return true;
        }
        let mut delta = self.packed_delta_since(parked.renewal.applied);
        let size = delta.as_ref().map_or(0, |d| d.packed.size());
        if size > MAX_UNPACED_BYTES && !self.may_send_state(now, &parked, size) {
            if parked.deadline > now {
                self.parked.park_throttled(parked);
                return false;
            }
            delta = None;
        }
        let lasts = match (&delta, &self.leader_state) {
            (None, Some(leader_state)) => {
                leader_state.urgent.time_left(now, parked.renewal.applied)
            }
            _ => None,
        };
        self.leases_without_state += u64::from(lasts.is_some());
        if let Some(delta) = &delta {
            self.sent_state.add(delta);
        }
        let delta = delta.map(|d| d.packed);
        match self.grant(now, &parked.renewal, lasts, delta) {
            Some(grant) => out.push(ControlAction::Reply {
                token,
                reply: ControlReply::Granted(Box::new(grant)),
            }),
            None => self.not_leader(token, out),
        }
        true
    }

    /// Returns whether the rate limit allows sending state of this size now. A delta sent
    /// to a replica is counted once for all routers behind it that lack the same changes.
    fn may_send_state(&mut self, now: Instant, parked: &ParkedRenewal, size: usize) -> bool {
        let delivery = parked.relayed_by.map(|slot| (slot, parked.renewal.applied));
        if delivery.is_some_and(|delivery| self.sent_deltas.contains(&delivery)) {
            return true;
        }
        let is_allowed = self.state_rate_limiter.take(now, size);
        if is_allowed {
            self.sent_deltas.extend(delivery);
        }
        is_allowed
    }

    /// Returns whether no renewal of this VM was waiting during the last reply round.
    /// Rounds also carry updates that are not changes of the state.
    fn has_missed_last_round(&self, vm: &VmName) -> bool {
        let last_round = self
            .leader_state
            .as_ref()
            .and_then(|l| l.last_reply_round.get(vm));
        last_round.is_some_and(|round| *round < self.reply_rounds)
    }

    /// Returns the packed changes since revision `applied`, or `None` if there are none.
    fn packed_delta_since(&mut self, applied: Revision) -> Option<CachedDelta> {
        self.state_machine.set_record_changes(true);
        let cfg = self.state_machine.configuration();
        if applied >= cfg.revision() {
            return None;
        }
        if self.delta_cache.to != cfg.revision() {
            self.delta_cache.to = cfg.revision();
            self.delta_cache.by_base.clear();
        }
        if let Some(cached) = self.delta_cache.by_base.get(&applied) {
            return Some(cached.clone());
        }
        let delta = CachedDelta::of(&cfg.delta_since(applied));
        let bytes = delta.packed.size() as u64;
        self.work.count(WorkUnit::PackedByte, bytes);
        self.delta_cache.by_base.insert(applied, delta.clone());
        Some(delta)
    }

    fn grant(
        &mut self,
        now: Instant,
        renewal: &Renewal,
        lasts: Option<Duration>,
        delta: Option<PackedDelta>,
    ) -> Option<Grant> {
        let term = self.replica.term();
        let leader_state = self.leader_state.as_mut()?;
        let vm = &renewal.holder.vm;
        leader_state
            .last_reply_round
            .insert(vm.clone(), self.reply_rounds);
        let cfg = self.state_machine.configuration();
        let routers = leader_state.leases.len() as u32;
        let replicas = self.replica.members().all().map(|id| id.slot);
        let allocator = leader_state.retry_allocator.as_mut();
        let repeats = allocator.map_or(Vec::new(), |a| a.grants(now, &renewal.holder));
        Some(Grant {
            term,
            lasts,
            delta,
            shares: leader_state.demand.shares(&renewal.demand, routers, cfg),
            routers,
            in_use: leader_state.engine_load.updates_since(
                term,
                &renewal.data_centre,
                renewal.use_known,
            ),
            replicas: replicas.collect(),
            failing: leader_state.recently_failing(now),
            repeats,
            full: leader_state.full.refusals_for(now, &renewal.holder.vm),
            slow: leader_state.paces.slow(now),
            limits: leader_state
                .limits
                .list_if_changed(now, renewal.limits.known),
            peers: leader_state.peer_routers.list_if_changed(
                vm,
                &renewal.data_centre,
                renewal.peers_known,
            ),
        })
    }
}
