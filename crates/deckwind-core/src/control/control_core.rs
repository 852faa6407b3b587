//! The control replica as a state machine over its parts.

use super::announcements::WaitingAnnouncement;
use super::demand::DemandTable;
use super::event::{ControlAction, ControlEvent, ControlLimits, Unreadable};
use super::full_engines::FullTable;
use super::grants::DeltaCache;
use super::heard::{HeardBuffer, HeardTable};
use super::in_use::UseTable;
use super::limit_desk::LimitDesk;
use super::limit_messages::LimitRevision;
use super::looks::Looks;
use super::messages::ControlReply;
use super::operator::OperatorReply;
use super::orders::OrderDesk;
use super::pace::Pace;
use super::parking::{Parked, Parking};
use super::pending::{Asker, ForceWait, Proposals};
use super::placement_desk::PlacementDesk;
use super::relay::RelayDesk;
use super::repeat_desk::RepeatDesk;
use super::slow::Paces;
use super::urgent::UrgentChanges;
use super::wake::Wake;
use crate::membership::{LeaseTable, LeaseTiming};
use crate::replication::{
    Action, Event, HardState, Index, Position, Replica, ReplicaConfig, Stored, Term,
};
use crate::state::{Command, CommandBody, Life, Revision, StateMachine, UnreadableState, VmName};
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// What only a leader keeps.
pub(super) struct Leading {
    pub(super) term: Term,
    pub(super) leases: LeaseTable,
    pub(super) demand: DemandTable,
    pub(super) orders: OrderDesk,
    pub(super) placement: PlacementDesk,
    /// When each target was last heard.
    pub(super) heard: HeardTable,
    /// When each target last failed a router.
    pub(super) failing: BTreeMap<SocketAddr, Instant>,
    /// Engines that are slow.
    pub(super) paces: Paces,
    /// When each target that routers call failing was last asked.
    pub(super) checked: BTreeMap<Life, Instant>,
    /// Revision up to which the targets' silence is watched.
    pub(super) watched_upto: Revision,
    /// When silent targets are next looked for.
    pub(super) next_look: Instant,
    /// When outdated suspects are next looked for.
    pub(super) next_suspects: Instant,
    /// Changes that routers must not lack for long.
    pub(super) urgent: UrgentChanges,
    /// What each router's streams hold.
    pub(super) in_use: UseTable,
    /// Up to which round of answers each router was told.
    pub(super) round_told: BTreeMap<VmName, u64>,
    pub(super) admins: BTreeMap<VmName, SocketAddr>,
    /// What each router holds for those that read slowly, bytes.
    pub(super) held_bytes: BTreeMap<VmName, u64>,
    /// Whether claims of routers that no longer exist were looked for.
    pub(super) orphans_done: bool,
    /// Engines that have just refused requests.
    pub(super) full: FullTable,
    /// Repeats of the routers, from when this leader may answer on: the log is
    /// applied up to its first entry then.
    pub(super) repeats: Option<RepeatDesk>,
    /// Limits that targets name.
    pub(super) limits: LimitDesk,
}

/// A control replica without I/O.
pub struct ControlCore {
    pub(super) replica: Replica,
    pub(super) machine: StateMachine,
    pub(super) limits: ControlLimits,
    pub(super) lease_timing: LeaseTiming,
    hard_state: HardState,
    pub(super) leading: Option<Leading>,
    pub(super) proposals: Proposals,
    pub(super) parked: Parking,
    /// Renewals that came while nobody was known to lead, the first ones first.
    pub(super) leaderless: VecDeque<Parked>,
    /// Requests that this replica passes on to the leader.
    pub(super) relay: RelayDesk,
    /// Which state was handed to which replica with the batch at hand: routers that
    /// ask there share it.
    pub(super) handed: BTreeSet<(u32, Revision)>,
    /// Limits as of the last look at renewals that wait.
    pub(super) limits_seen: Option<LimitRevision>,
    pub(super) looks: Looks,
    /// Announcements that came while nobody was known to lead.
    pub(super) waiting_announcements: Vec<WaitingAnnouncement>,
    /// Targets heard here, for the leader.
    pub(super) heard: HeardBuffer,
    pub(super) wake: Wake,
    /// Rounds of answers so far.
    pub(super) rounds: u64,
    /// Revision that routers may hear of: that of the last round of answers.
    pub(super) told: Revision,
    pub(super) pace: Pace,
    pub(super) deltas: DeltaCache,
    pub(super) force_waits: Vec<ForceWait>,
    pub(super) compacting: bool,
    /// Bytes of entries applied since the last snapshot, and its own size: a
    /// snapshot is written only when the log has grown as large, so that its
    /// cost stays in proportion to what is written.
    pub(super) log_bytes: usize,
    pub(super) snapshot_bytes: usize,
    asker_of: BTreeMap<u64, Asker>,
    next_token: u64,
    pub(super) wall_ms: u64,
}

impl ControlCore {
    /// A control replica with what its data folder holds. `snapshot` is the
    /// state in its snapshot.
    pub fn new(
        cfg: ReplicaConfig,
        lease_timing: LeaseTiming,
        limits: ControlLimits,
        stored: Stored,
        snapshot: Option<&[u8]>,
        now: Instant,
    ) -> Result<Self, UnreadableState> {
        let machine = match snapshot {
            Some(bytes) => StateMachine::from_snapshot(bytes)?,
            None => StateMachine::new(limits.claims),
        };
        Ok(Self {
            hard_state: stored.hard_state,
            replica: Replica::new(cfg, stored, now),
            machine,
            limits,
            lease_timing,
            leading: None,
            proposals: Proposals::default(),
            parked: Parking::default(),
            leaderless: VecDeque::new(),
            relay: RelayDesk::new(Pace::new(limits.state_bytes_per_s, now)),
            handed: BTreeSet::new(),
            limits_seen: None,
            looks: Looks::default(),
            waiting_announcements: Vec::new(),
            heard: HeardBuffer::default(),
            wake: Wake::default(),
            rounds: 0,
            told: Revision::ZERO,
            pace: Pace::new(limits.state_bytes_per_s, now),
            deltas: DeltaCache::default(),
            force_waits: Vec::new(),
            compacting: false,
            log_bytes: 0,
            snapshot_bytes: snapshot.map_or(0, <[u8]>::len),
            asker_of: BTreeMap::new(),
            next_token: 1,
            wall_ms: 0,
        })
    }

    /// The replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The state as applied here.
    pub fn machine(&self) -> &StateMachine {
        &self.machine
    }

    /// What it has looked at so far.
    pub fn looks(&self) -> Looks {
        let leading = self.leading.as_ref();
        let leases = leading.map_or(0, |l| l.leases.looks());
        let repeats = leading.and_then(|l| l.repeats.as_ref());
        Looks {
            leases,
            repeats: repeats.map_or(0, RepeatDesk::looks),
            cards: leading.map_or(0, |l| l.placement.looks()),
            ..self.looks
        }
    }

    /// Requests that wait here for the leader's answer.
    pub fn passed_on(&self) -> usize {
        self.relay.waiting()
    }

    /// Routers with a lease of this leader, and how many revisions the last of them is
    /// behind; nothing where it doesn't lead.
    pub fn routers_behind(&self) -> Option<(usize, u64)> {
        let leases = &self.leading.as_ref()?.leases;
        let shown = self.machine.configuration().shown();
        let oldest = leases.oldest_applied().unwrap_or(shown);
        Some((leases.len(), shown.0.saturating_sub(oldest.0)))
    }

    /// Takes one event. `wall_ms` is the wall clock, milliseconds since the
    /// Unix epoch; it only ages claims.
    pub fn step(
        &mut self,
        now: Instant,
        wall_ms: u64,
        event: ControlEvent,
        out: &mut Vec<ControlAction>,
    ) {
        self.wall_ms = wall_ms;
        match event {
            ControlEvent::Tick => {
                self.feed(now, Event::Tick, out);
                self.tick(now, out);
            }
            ControlEvent::Replica(event) => self.feed(now, event, out),
            ControlEvent::Request { token, request } => self.request(now, token, request, out),
            ControlEvent::Relayed {
                token,
                from,
                request,
            } => {
                self.relayed(now, token, from, request, out);
            }
            ControlEvent::Answered(answers) => self.relay_answered(now, answers, out),
            ControlEvent::Operator { token, request } => self.operator(now, token, request, out),
            ControlEvent::Checked { life, there } => self.was_checked(now, life, there, out),
            ControlEvent::Heard(heard) => self.take_heard(now, heard),
            ControlEvent::Placed { life, held } => self.placed(now, &life, held, out),
            ControlEvent::Pace { address, percent } => self.pace_told(now, address, percent, out),
            ControlEvent::OrdersDone { target, taken } => {
                if let Some(leading) = &mut self.leading {
                    leading.orders.finished(now, &target, taken);
                }
            }
        }
    }

    /// Sends what the batch of events before it has made.
    pub fn flush(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        self.handed.clear();
        let mut actions = Vec::new();
        self.replica.flush(now, &mut actions);
        self.take_actions(now, actions, out);
    }

    fn feed(&mut self, now: Instant, event: Event, out: &mut Vec<ControlAction>) {
        if matches!(event, Event::Compacted(_)) {
            self.compacting = false;
        }
        let mut actions = Vec::new();
        self.replica.step(now, event, &mut actions);
        self.take_actions(now, actions, out);
    }

    fn take_actions(&mut self, now: Instant, actions: Vec<Action>, out: &mut Vec<ControlAction>) {
        for action in actions {
            match action {
                Action::Apply(entries) => self.apply(now, entries, out),
                Action::Proposed { token, at } => self.proposed(token, at, out),
                Action::Refused { token, .. } => self.refused(token, out),
                Action::Install { meta, data } => {
                    match StateMachine::from_snapshot(&data) {
                        Ok(machine) => self.machine = machine,
                        Err(_) => out.push(ControlAction::Stop(Unreadable::Snapshot)),
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
        self.follow_leadership(out);
    }

    /// Term and vote as last given to the driver.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Starts or ends what only a leader keeps.
    fn follow_leadership(&mut self, out: &mut Vec<ControlAction>) {
        let since = self.replica.leading_since();
        let term = self.replica.term();
        if self
            .leading
            .as_ref()
            .is_some_and(|l| since.is_none() || l.term != term)
        {
            self.leading = None;
            self.machine.hand_out(false);
            self.drop_askers(out);
        }
        if let (None, Some(since)) = (&self.leading, since) {
            self.wake = Wake::default();
            self.told = self.machine.configuration().revision();
            self.pace = Pace::new(self.limits.state_bytes_per_s, since);
            self.leading = Some(Leading {
                term,
                leases: LeaseTable::new(self.lease_timing, since),
                demand: DemandTable::default(),
                orders: OrderDesk::new(term, since),
                placement: PlacementDesk::default(),
                heard: HeardTable::default(),
                failing: BTreeMap::new(),
                paces: Paces::default(),
                checked: BTreeMap::new(),
                watched_upto: Revision::ZERO,
                next_look: since,
                next_suspects: since,
                urgent: UrgentChanges::new(self.told),
                in_use: UseTable::default(),
                round_told: BTreeMap::new(),
                admins: BTreeMap::new(),
                held_bytes: BTreeMap::new(),
                orphans_done: false,
                full: FullTable::default(),
                repeats: None,
                limits: LimitDesk::new(term),
            });
        }
    }

    fn drop_askers(&mut self, out: &mut Vec<ControlAction>) {
        for asker in self.proposals.take_all() {
            self.answer_unknown(asker, out);
        }
        for parked in self.parked.take_all() {
            self.not_leader(parked.token, out);
        }
        for wait in std::mem::take(&mut self.force_waits) {
            let reply = OperatorReply::Unknown;
            let token = wait.token;
            out.push(ControlAction::OperatorReply { token, reply });
        }
    }

    pub(super) fn answer_unknown(&self, asker: Asker, out: &mut Vec<ControlAction>) {
        match asker {
            Asker::Router(token) => out.push(ControlAction::Reply {
                token,
                reply: ControlReply::Unknown,
            }),
            Asker::Operator(token, _) => out.push(ControlAction::OperatorReply {
                token,
                reply: OperatorReply::Unknown,
            }),
            Asker::Nobody => {}
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
        asker: Asker,
        out: &mut Vec<ControlAction>,
    ) {
        let at_ms = self.wall_ms.max(self.machine.clock_ms());
        let command = Command { at_ms, body };
        let command = command.to_bytes();
        let token = self.next_token;
        self.next_token += 1;
        self.asker_of.insert(token, asker);
        self.feed(now, Event::Propose { token, command }, out);
    }

    fn proposed(&mut self, token: u64, at: Position, out: &mut Vec<ControlAction>) {
        let Some(asker) = self.asker_of.remove(&token) else {
            return;
        };
        if let Some(older) = self.proposals.insert(at.index, at.term, asker) {
            self.answer_unknown(older, out);
        }
    }

    fn refused(&mut self, token: u64, out: &mut Vec<ControlAction>) {
        let leader = self.leader_slot();
        match self.asker_of.remove(&token) {
            Some(Asker::Router(token)) => self.not_leader(token, out),
            Some(Asker::Operator(token, _)) => out.push(ControlAction::OperatorReply {
                token,
                reply: OperatorReply::NotLeader { leader },
            }),
            _ => {}
        }
    }

    /// Index up to which entries are applied.
    pub fn applied(&self) -> Index {
        self.replica.commit()
    }
}
