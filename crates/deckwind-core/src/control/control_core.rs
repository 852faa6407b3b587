//! The control replica as a single state machine that combines its parts.

use super::announcement_reports::{AnnouncementBuffer, LastAnnouncements};
use super::announcements::WaitingAnnouncement;
use super::apply::ApplyQueue;
use super::demand::DemandTable;
use super::engine_load::EngineLoadTable;
use super::event::{ControlAction, ControlEvent, ControlLimits, DecodeError};
use super::full_engines::RefusalTable;
use super::grants::{DeltaCache, SentState};
use super::limit_messages::LimitRevision;
use super::mass_silence::SilenceHolds;
use super::messages::ControlReply;
use super::operator::OperatorReply;
use super::orders::OrderDispatcher;
use super::parked_renewals::{ParkedRenewal, ParkedRenewals};
use super::peer_routers::PeerRouters;
use super::pending::{InForceWait, PendingProposals, Requester};
use super::placement_manager::PlacementManager;
use super::relay::RequestRelay;
use super::reply_schedule::RoundSchedule;
use super::retry_budget_allocator::RetryBudgetAllocator;
use super::scan_counts::ScanCounts;
use super::slow_engines::EnginePaces;
use super::state_rate_limiter::StateRateLimiter;
use super::target_limiter::TargetLimiter;
use super::urgent_changes::UrgentChanges;
use super::work_log::{Stopwatch, Work, WorkLog, WorkTime, WorkUnit};
use crate::membership::{LeaseTable, LeaseTiming};
use crate::replication::{
    Action, Event, HardState, Index, Position, Replica, ReplicaConfig, Stored, Term,
};
use crate::state::{
    Command, CommandBody, DecodeStateError, Incarnation, Revision, StateMachine, VmName,
};
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// State that exists only while this replica leads.
pub(super) struct LeaderState {
    pub(super) term: Term,
    pub(super) leases: LeaseTable,
    pub(super) demand: DemandTable,
    pub(super) orders: OrderDispatcher,
    pub(super) placement: PlacementManager,
    /// Time of the last announcement of each target.
    pub(super) last_announcements: LastAnnouncements,
    /// Time at which each target last failed a router.
    pub(super) failed_at: BTreeMap<SocketAddr, Instant>,
    /// Slow engines.
    pub(super) paces: EnginePaces,
    /// Time of the last check of each target that routers reported as failing.
    pub(super) checked_at: BTreeMap<Incarnation, Instant>,
    /// Revision up to which targets have a scheduled silence check.
    pub(super) watched_upto: Revision,
    /// Pools whose targets are not marked as silent, since many are silent at once.
    pub(super) silence_holds: SilenceHolds,
    /// Time of the next check for silent targets.
    pub(super) next_silence_check: Instant,
    /// Time of the next check for outdated suspects.
    pub(super) next_suspect_cleanup: Instant,
    /// Urgent changes, which bound the lease of a router that lacks them.
    pub(super) urgent: UrgentChanges,
    /// Load of each router's streams.
    pub(super) engine_load: EngineLoadTable,
    /// Last reply round in which each router was answered.
    pub(super) last_reply_round: BTreeMap<VmName, u64>,
    pub(super) admin_addresses: BTreeMap<VmName, SocketAddr>,
    /// Routers through which others can reach targets.
    pub(super) peer_routers: PeerRouters,
    /// Memory held by each router for slow readers, bytes.
    pub(super) held_bytes: BTreeMap<VmName, u64>,
    /// Whether claims of routers without a lease have been released.
    pub(super) orphans_checked: bool,
    /// Engines that recently refused requests.
    pub(super) full: RefusalTable,
    /// Retry allowances of the router processes. Created once this leader may answer, as
    /// the log is applied up to the leader's first entry by then.
    pub(super) retry_allocator: Option<RetryBudgetAllocator>,
    /// Limits named by targets.
    pub(super) limits: TargetLimiter,
}

/// A control replica without I/O.
pub struct ControlCore {
    pub(super) replica: Replica,
    pub(super) state_machine: StateMachine,
    pub(super) limits: ControlLimits,
    pub(super) lease_timing: LeaseTiming,
    hard_state: HardState,
    pub(super) leader_state: Option<LeaderState>,
    pub(super) proposals: PendingProposals,
    pub(super) parked: ParkedRenewals,
    /// Renewals received while no leader was known, oldest first.
    pub(super) renewals_awaiting_leader: VecDeque<ParkedRenewal>,
    /// Requests forwarded to the leader.
    pub(super) relay: RequestRelay,
    /// Slot of the replica and base revision of each delta sent in the current batch.
    /// Routers behind the same replica share one copy of a delta.
    pub(super) sent_deltas: BTreeSet<(u32, Revision)>,
    /// List of limits at the time parked renewals were last checked.
    pub(super) answered_limits: Option<LimitRevision>,
    pub(super) scan_counts: ScanCounts,
    /// Announcements received while no leader was known.
    pub(super) announcements_awaiting_leader: Vec<WaitingAnnouncement>,
    /// Announcements received by this replica and not yet reported to the leader.
    pub(super) announcement_buffer: AnnouncementBuffer,
    pub(super) round_schedule: RoundSchedule,
    /// Number of reply rounds so far.
    pub(super) reply_rounds: u64,
    /// Number of leases granted to routers that lack an urgent change.
    pub(super) leases_without_state: u64,
    /// Revision published to routers. It lags behind the state while a reply round is
    /// pending.
    pub(super) published_revision: Revision,
    /// Last revision with an urgent change; after a snapshot, the revision of that.
    pub(super) last_urgent: Revision,
    pub(super) state_rate_limiter: StateRateLimiter,
    pub(super) delta_cache: DeltaCache,
    pub(super) sent_state: SentState,
    pub(super) work: WorkLog,
    pub(super) in_force_waits: Vec<InForceWait>,
    /// Committed entries that wait to be applied, and what those applied last ask for.
    pub(super) apply_queue: ApplyQueue,
    pub(super) is_compacting: bool,
    /// Bytes of entries applied since the last snapshot, and the size of that snapshot. A
    /// snapshot is written only once the log has grown as large as the last one, which
    /// keeps its cost proportional to the bytes written.
    pub(super) log_bytes: usize,
    pub(super) snapshot_bytes: usize,
    requester_by_token: BTreeMap<u64, Requester>,
    next_token: u64,
    pub(super) wall_ms: u64,
}

impl ControlCore {
    /// Creates a control replica from the contents of its data folder. `snapshot` is the
    /// serialized state of its snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot cannot be decoded.
    pub fn new(
        cfg: ReplicaConfig,
        lease_timing: LeaseTiming,
        limits: ControlLimits,
        stored: Stored,
        snapshot: Option<&[u8]>,
        now: Instant,
    ) -> Result<Self, DecodeStateError> {
        let state_machine = match snapshot {
            Some(bytes) => StateMachine::from_snapshot(bytes)?,
            None => StateMachine::new(limits.claims),
        };
        let last_urgent = state_machine.configuration().revision();
        Ok(Self {
            hard_state: stored.hard_state,
            replica: Replica::new(cfg, stored, now),
            state_machine,
            limits,
            lease_timing,
            leader_state: None,
            proposals: PendingProposals::default(),
            parked: ParkedRenewals::default(),
            renewals_awaiting_leader: VecDeque::new(),
            relay: RequestRelay::new(StateRateLimiter::new(limits.state_bytes_per_s, now)),
            sent_deltas: BTreeSet::new(),
            answered_limits: None,
            scan_counts: ScanCounts::default(),
            announcements_awaiting_leader: Vec::new(),
            announcement_buffer: AnnouncementBuffer::default(),
            round_schedule: RoundSchedule::default(),
            reply_rounds: 0,
            leases_without_state: 0,
            published_revision: Revision::ZERO,
            last_urgent,
            state_rate_limiter: StateRateLimiter::new(limits.state_bytes_per_s, now),
            delta_cache: DeltaCache::default(),
            sent_state: SentState::default(),
            work: WorkLog::default(),
            in_force_waits: Vec::new(),
            apply_queue: ApplyQueue::default(),
            is_compacting: false,
            log_bytes: 0,
            snapshot_bytes: snapshot.map_or(0, <[u8]>::len),
            requester_by_token: BTreeMap::new(),
            next_token: 1,
            wall_ms: 0,
        })
    }

    /// Returns the replica of the replicated log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the state as applied by this replica.
    pub fn state_machine(&self) -> &StateMachine {
        &self.state_machine
    }

    /// Returns the number of rows scanned so far, by kind.
    pub fn scan_counts(&self) -> ScanCounts {
        let leader_state = self.leader_state.as_ref();
        let leases = leader_state.map_or(0, |l| l.leases.rows_scanned());
        let retry_allocator = leader_state.and_then(|l| l.retry_allocator.as_ref());
        ScanCounts {
            leases,
            retries: retry_allocator.map_or(0, RetryBudgetAllocator::rows_scanned),
            cards: leader_state.map_or(0, |l| l.placement.rows_scanned()),
            ..self.scan_counts
        }
    }

    /// Measures the replica's work with this stopwatch from now on.
    pub fn set_stopwatch(&mut self, stopwatch: Box<dyn Stopwatch>) {
        self.work.set_stopwatch(stopwatch);
    }

    /// Takes the times by part of the work since the last call.
    pub fn take_work_times(&mut self) -> BTreeMap<Work, WorkTime> {
        self.work.take()
    }

    /// Returns what the deltas that this replica has sent so far contained.
    pub fn sent_state(&self) -> SentState {
        self.sent_state
    }

    /// Returns the number of forwarded requests that await the leader's answer.
    pub fn forwarded_len(&self) -> usize {
        self.relay.pending_len()
    }

    /// Returns the number of routers with a lease from this leader and how many revisions
    /// the most outdated of them is behind, or `None` if this replica does not lead.
    pub fn lagging_routers(&self) -> Option<(usize, u64)> {
        let leases = &self.leader_state.as_ref()?.leases;
        let shown = self.state_machine.configuration().visible_revision();
        let oldest = leases.oldest_applied().unwrap_or(shown);
        Some((leases.len(), shown.0.saturating_sub(oldest.0)))
    }

    /// Returns the number of leases that this replica has granted without an urgent change
    /// that the router lacks.
    pub fn leases_without_state(&self) -> u64 {
        self.leases_without_state
    }

    /// Handles one event. `wall_ms` is the wall clock in milliseconds since the Unix
    /// epoch, used to age claims and quarantines.
    pub fn step(
        &mut self,
        now: Instant,
        wall_ms: u64,
        event: ControlEvent,
        out: &mut Vec<ControlAction>,
    ) {
        self.wall_ms = wall_ms;
        match &event {
            ControlEvent::Replica(Event::Receive(_)) => self.work.count(WorkUnit::LogEvent, 1),
            ControlEvent::Tick | ControlEvent::Replica(_) => {}
            _ => self.work.count(WorkUnit::Input, 1),
        }
        match event {
            ControlEvent::Tick => self.tick(now, out),
            ControlEvent::Replica(event) => self.step_replica(now, event, out),
            ControlEvent::Request { token, request } => {
                self.handle_request(now, token, request, out)
            }
            ControlEvent::Relayed {
                token,
                from,
                request,
            } => {
                self.handle_relayed_request(now, token, from, request, out);
            }
            ControlEvent::Answered(answers) => self.handle_leader_answers(now, answers, out),
            ControlEvent::Operator { token, request } => {
                self.handle_operator_request(now, token, request, out)
            }
            ControlEvent::Checked {
                incarnation,
                is_running,
            } => self.handle_check_result(now, incarnation, is_running, out),
            ControlEvent::AnnouncementReport(report) => self.merge_announcement_report(now, report),
            ControlEvent::PlacementDone { incarnation, held } => {
                self.handle_placement_result(now, &incarnation, held, out)
            }
            ControlEvent::Pace { address, percent } => self.handle_pace(now, address, percent),
            ControlEvent::OrdersDone { target, accepted } => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.orders.finished(now, &target, accepted);
                }
            }
        }
    }

    /// Does one unit of the work that is queued: answers one renewal of a round or applies one
    /// committed entry. Returns whether there was any. A round is finished before further
    /// entries are applied, so that its answers share their deltas.
    pub fn work(&mut self, now: Instant, wall_ms: u64, out: &mut Vec<ControlAction>) -> bool {
        self.wall_ms = wall_ms;
        self.answer_next(now, out) || self.apply_next(now, out)
    }

    /// Returns whether work is queued.
    pub fn has_work(&self) -> bool {
        !self.apply_queue.is_empty() || self.parked.has_ready()
    }

    /// Returns the reading of the stopwatch, if there is one.
    pub fn stopwatch_reading(&self) -> Duration {
        self.work.reading()
    }

    /// Flushes the replicated log after a batch of events and emits the resulting
    /// actions.
    pub fn flush(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        self.sent_deltas.clear();
        let mut actions = Vec::new();
        self.replica.flush(now, &mut actions);
        self.handle_actions(actions, out);
    }

    fn step_replica(&mut self, now: Instant, event: Event, out: &mut Vec<ControlAction>) {
        if matches!(event, Event::SnapshotSynced(_)) {
            self.is_compacting = false;
        }
        let mut actions = Vec::new();
        self.replica.step(now, event, &mut actions);
        self.handle_actions(actions, out);
    }

    fn handle_actions(&mut self, actions: Vec<Action>, out: &mut Vec<ControlAction>) {
        for action in actions {
            match action {
                Action::Apply(entries) => self.apply_queue.push(entries),
                Action::Proposed { token, at } => self.handle_proposed(token, at, out),
                Action::Refused { token, .. } => self.handle_refused(token, out),
                Action::Install { meta, data } => {
                    match StateMachine::from_snapshot(&data) {
                        Ok(machine) => {
                            self.apply_queue = ApplyQueue::default();
                            self.last_urgent = machine.configuration().revision();
                            self.state_machine = machine;
                        }
                        Err(_) => out.push(ControlAction::Stop(DecodeError::Snapshot)),
                    }
                    out.push(ControlAction::Replica(Action::Install { meta, data }));
                }
                other => {
                    if let Action::SaveHardState(h) = &other {
                        self.hard_state = *h;
                    }
                    out.push(ControlAction::Replica(other));
                }
            }
        }
        self.update_leader_state(out);
    }

    /// Returns the term and vote last given to the driver to be saved.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Creates or drops the leader state when leadership changes.
    fn update_leader_state(&mut self, out: &mut Vec<ControlAction>) {
        let since = self.replica.leader_since();
        let term = self.replica.term();
        if self
            .leader_state
            .as_ref()
            .is_some_and(|l| since.is_none() || l.term != term)
        {
            self.leader_state = None;
            self.state_machine.set_record_changes(false);
            self.fail_pending_requests(out);
        }
        if let (None, Some(since)) = (&self.leader_state, since) {
            self.round_schedule = RoundSchedule::default();
            self.published_revision = self.state_machine.configuration().revision();
            self.state_rate_limiter = StateRateLimiter::new(self.limits.state_bytes_per_s, since);
            self.leader_state = Some(LeaderState {
                term,
                leases: LeaseTable::new(self.lease_timing, since),
                demand: DemandTable::default(),
                orders: OrderDispatcher::new(term, since),
                placement: PlacementManager::default(),
                last_announcements: LastAnnouncements::default(),
                failed_at: BTreeMap::new(),
                paces: EnginePaces::default(),
                checked_at: BTreeMap::new(),
                watched_upto: Revision::ZERO,
                next_silence_check: since,
                next_suspect_cleanup: since,
                urgent: UrgentChanges::new(self.last_urgent),
                engine_load: EngineLoadTable::default(),
                last_reply_round: BTreeMap::new(),
                admin_addresses: BTreeMap::new(),
                peer_routers: PeerRouters::default(),
                silence_holds: SilenceHolds::default(),
                held_bytes: BTreeMap::new(),
                orphans_checked: false,
                full: RefusalTable::default(),
                retry_allocator: None,
                limits: TargetLimiter::new(term),
            });
        }
    }

    fn fail_pending_requests(&mut self, out: &mut Vec<ControlAction>) {
        for requester in self.proposals.take_all() {
            self.answer_unknown(requester, out);
        }
        for parked in self.parked.take_all() {
            self.not_leader(parked.token, out);
        }
        for wait in std::mem::take(&mut self.in_force_waits) {
            let reply = OperatorReply::Unknown;
            let token = wait.token;
            out.push(ControlAction::OperatorReply { token, reply });
        }
    }

    pub(super) fn answer_unknown(&self, requester: Requester, out: &mut Vec<ControlAction>) {
        match requester {
            Requester::Router(token) => out.push(ControlAction::Reply {
                token,
                reply: ControlReply::Unknown,
            }),
            Requester::Operator(token, _) => out.push(ControlAction::OperatorReply {
                token,
                reply: OperatorReply::Unknown,
            }),
            Requester::Internal => {}
        }
    }

    pub(super) fn leader_slot(&self) -> Option<u32> {
        let id = self.replica.id();
        self.replica.leader().filter(|l| *l != id).map(|l| l.slot)
    }

    pub(super) fn not_leader(&self, token: u64, out: &mut Vec<ControlAction>) {
        let leader = self.leader_slot();
        let reply = ControlReply::NotLeader { leader };
        out.push(ControlAction::Reply { token, reply });
    }

    pub(super) fn propose(
        &mut self,
        now: Instant,
        body: CommandBody,
        requester: Requester,
        out: &mut Vec<ControlAction>,
    ) {
        let at_ms = self.wall_ms.max(self.state_machine.clock_ms());
        let command = Command { at_ms, body };
        let command = command.to_bytes();
        let token = self.next_token;
        self.next_token += 1;
        self.requester_by_token.insert(token, requester);
        self.step_replica(now, Event::Propose { token, command }, out);
    }

    fn handle_proposed(&mut self, token: u64, at: Position, out: &mut Vec<ControlAction>) {
        let Some(requester) = self.requester_by_token.remove(&token) else {
            return;
        };
        if let Some(replaced) = self.proposals.insert(at.index, at.term, requester) {
            self.answer_unknown(replaced, out);
        }
    }

    fn handle_refused(&mut self, token: u64, out: &mut Vec<ControlAction>) {
        let leader = self.leader_slot();
        match self.requester_by_token.remove(&token) {
            Some(Requester::Router(token)) => self.not_leader(token, out),
            Some(Requester::Operator(token, _)) => out.push(ControlAction::OperatorReply {
                token,
                reply: OperatorReply::NotLeader { leader },
            }),
            _ => {}
        }
    }

    /// Returns the index of the last applied entry.
    pub fn applied(&self) -> Index {
        self.replica.applied()
    }
}
