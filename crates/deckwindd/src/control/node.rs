//! Core and store of a control replica, without threads, clocks or sockets, so that
//! tests can run it on simulated time and networks.
//!
//! Performs the actions of the core, in their order. A batch holds the events received
//! since the last one; one sync covers all of its commands.
//!
//! ```text
//!  events ─► core ─► early sends ─► writes ─► sync ─► Synced ─► core ─► other sends, replies
//!                                               └── repeats until no action is left ──┘
//! ```

use super::handle::InputAges;
use super::work_times::{SYNC, SystemStopwatch, WorkTimes, kind_of};
use anyhow::{Context as _, Result};
use deckwind_core::control::{
    AnnouncementReport, ControlAction, ControlCore, ControlEvent, ControlLimits, HeldSilence,
    IncarnationDecision, LimitDecision, OperatorReply, OrderBatch, PlacementOrder, RelayedRequest,
    Stopwatch,
};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::replication::{Action, Body, Event, MemberDecision, Position, ReplicaConfig};
use deckwind_core::state::{Incarnation, SuspectEvidence};
use deckwind_core::time::Instant;
use deckwind_store::{OpenedStore, Store};
use deckwind_wire::{ControlReply, Message};
use std::net::SocketAddr;

/// Action that the caller must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another replica.
    Send(Message),
    /// Forward requests of routers to the replica of this slot, the leader.
    ForwardRequests(u32, Vec<RelayedRequest>),
    /// Report to the replica of this slot, the leader, the targets whose announcements
    /// this replica has received.
    ReportAnnouncements(u32, AnnouncementReport),
    /// Answer a router.
    Reply(u64, ControlReply),
    /// Answer an operator.
    OperatorReply(u64, OperatorReply),
    /// Send orders to a target.
    Order(OrderBatch),
    /// Order an engine to hold other layers.
    Place(PlacementOrder),
    /// Check whether this incarnation of a target still runs.
    Check(Incarnation, SocketAddr),
    /// Log and count a decision about an incarnation of a target.
    LogIncarnationDecision(IncarnationDecision),
    /// Log a target whose silence is not acted upon.
    LogHeldSilence(HeldSilence),
    /// Log the start, change or end of a target's rate limit.
    LogLimitDecision(LimitDecision),
    /// Log and count a change of the members.
    LogMemberDecision(MemberDecision),
    /// Query the pace of an engine.
    ProbePace(SocketAddr),
    /// Derive the list of suspects from this evidence, beside the replica's thread.
    DeriveSuspects(SuspectEvidence),
}

/// The time of a batch.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic time.
    pub at: Instant,
    /// Wall clock, milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// A control replica and the store of its data folder.
pub struct ControlNode {
    core: ControlCore,
    store: Store,
    times: WorkTimes,
}

impl ControlNode {
    /// Creates a replica on an open store.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot in the data folder is damaged or of another version.
    pub fn new(
        cfg: ReplicaConfig,
        lease: LeaseTiming,
        limits: ControlLimits,
        store: Store,
        opened: OpenedStore,
        now: Instant,
    ) -> Result<Self> {
        let snapshot = opened.snapshot.as_deref();
        let mut core = ControlCore::new(cfg, lease, limits, opened.stored, snapshot, now)
            .context("the snapshot in the data folder can't be read")?;
        core.set_stopwatch(Box::new(SystemStopwatch::default()));
        let times = WorkTimes::default();
        Ok(Self { core, store, times })
    }

    /// Measures the replica's work with this stopwatch from now on, in place of the clock of
    /// the operating system.
    pub fn set_stopwatch(&mut self, stopwatch: Box<dyn Stopwatch>) {
        self.core.set_stopwatch(stopwatch);
    }

    /// Returns the control core.
    pub fn core(&self) -> &ControlCore {
        &self.core
    }

    /// Returns the store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Records how long the inputs of the next batch had been queued.
    pub fn record_input_ages(&mut self, ages: InputAges) {
        self.times.record_input_ages(ages);
    }

    /// Processes a batch of events and appends the resulting effects to `effects`.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails or if the core stops the replica. The replica must not go
    /// on after an error: state that its messages imply may be missing on its disk.
    pub fn process_batch(
        &mut self,
        now: Now,
        batch: Vec<ControlEvent>,
        effects: &mut Vec<Effect>,
    ) -> Result<()> {
        let mut out = Vec::new();
        let events = batch.len();
        for event in batch {
            self.step(now, event, &mut out);
        }
        self.step(now, ControlEvent::Tick, &mut out);
        self.core.flush(now.at, &mut out);
        while !out.is_empty() {
            let actions = std::mem::take(&mut out);
            self.perform(now, actions, &mut out, effects)?;
            self.core.flush(now.at, &mut out);
        }
        self.times.end_batch(events, self.core.take_work_times());
        self.times.log_load(&self.core);
        Ok(())
    }

    fn step(&mut self, now: Now, event: ControlEvent, out: &mut Vec<ControlAction>) {
        let kind = kind_of(&event);
        let begun = std::time::Instant::now();
        self.core.step(now.at, now.wall_ms, event, out);
        self.times.add(kind, begun.elapsed());
    }

    fn perform(
        &mut self,
        now: Now,
        actions: Vec<ControlAction>,
        out: &mut Vec<ControlAction>,
        effects: &mut Vec<Effect>,
    ) -> Result<()> {
        let mut after_sync = Vec::new();
        let mut last: Option<Position> = None;
        for action in actions {
            match action {
                ControlAction::Replica(Action::Send {
                    message,
                    needs_sync: false,
                }) => effects.push(Effect::Send(message)),
                ControlAction::Replica(Action::SaveHardState(h)) => self.store.put_hard_state(h),
                ControlAction::Replica(Action::Append(entries)) => {
                    last = entries.last().map(|e| e.at);
                    self.store.put_entries(entries);
                }
                ControlAction::Replica(Action::Install { meta, data }) => {
                    let hard = self.core.hard_state();
                    last = None;
                    self.store.compact(meta, data, hard, Vec::new())?;
                }
                ControlAction::Compact { meta, data, rest } => {
                    let through = meta.last.index;
                    self.store
                        .compact(meta, data, self.core.hard_state(), rest)?;
                    self.step(
                        now,
                        ControlEvent::Replica(Event::SnapshotSynced(through)),
                        out,
                    );
                }
                ControlAction::Stop(why) => return Err(why.into()),
                other => after_sync.push(other),
            }
        }
        let begun = std::time::Instant::now();
        self.store.commit()?;
        self.times.add(SYNC, begun.elapsed());
        if let Some(at) = last {
            self.step(now, ControlEvent::Replica(Event::Synced(at)), out);
        }
        for action in after_sync {
            self.perform_after_sync(action, effects)?;
        }
        Ok(())
    }

    fn perform_after_sync(&self, action: ControlAction, effects: &mut Vec<Effect>) -> Result<()> {
        match action {
            ControlAction::Replica(Action::Send { message, .. }) => {
                effects.push(Effect::Send(message));
            }
            ControlAction::Replica(Action::SendSnapshot { message }) => {
                effects.extend(self.with_snapshot(message)?.map(Effect::Send));
            }
            ControlAction::Reply { token, reply } => effects.push(Effect::Reply(token, reply)),
            ControlAction::OperatorReply { token, reply } => {
                effects.push(Effect::OperatorReply(token, reply));
            }
            ControlAction::Order(batch) => effects.push(Effect::Order(batch)),
            ControlAction::Check {
                incarnation,
                address,
            } => effects.push(Effect::Check(incarnation, address)),
            ControlAction::LogHeldSilence(held) => effects.push(Effect::LogHeldSilence(held)),
            ControlAction::LogIncarnationDecision(note) => {
                effects.push(Effect::LogIncarnationDecision(note))
            }
            ControlAction::LogLimitDecision(note) => effects.push(Effect::LogLimitDecision(note)),
            ControlAction::Replica(Action::LogMemberDecision(decision)) => {
                effects.push(Effect::LogMemberDecision(decision));
            }
            ControlAction::ProbePace { address } => effects.push(Effect::ProbePace(address)),
            ControlAction::ForwardRequests { slot, requests } => {
                effects.push(Effect::ForwardRequests(slot, requests));
            }
            ControlAction::ReportAnnouncements { slot, heard } => {
                effects.push(Effect::ReportAnnouncements(slot, heard));
            }
            ControlAction::DeriveSuspects(evidence) => {
                effects.push(Effect::DeriveSuspects(evidence));
            }
            ControlAction::Place(order) => effects.push(Effect::Place(order)),
            _ => {}
        }
        Ok(())
    }

    fn with_snapshot(&self, mut message: Message) -> Result<Option<Message>> {
        let Some(state) = self.store.read_snapshot()? else {
            return Ok(None);
        };
        if let Body::Snapshot { data, .. } = &mut message.body {
            *data = state;
        }
        Ok(Some(message))
    }
}
