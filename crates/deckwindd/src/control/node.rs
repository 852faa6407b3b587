//! Core and store of a control replica, without threads, clocks or sockets, so that
//! tests can run it on simulated time and networks.
//!
//! A replica works in turns. Each begins with what must not wait: the messages of the
//! replicated log and its timer, whose sends leave at once. The rest of the turn is a slice of
//! bounded length for all other work, and what is left of that stays queued for the next turn:
//!
//! ```text
//!  messages of the log ─► timer ─► sends, sync ─► slice of other work ─► sends, sync
//!                                                   │ answer a renewal of a round
//!                                                   │ or apply a committed entry
//!                                                   └ handle an input, in turn
//! ```
//!
//! Performs the actions of the core, in their order; one sync covers all commands of a slice:
//!
//! ```text
//!  core ─► early sends ─► writes ─► sync ─► Synced ─► core ─► other sends, replies
//!            └────────── repeats until no action is left ──────────┘
//! ```

use super::backlog::InputBacklog;
use super::effect::{Effect, EffectSink};
use super::handle::InputAges;
use super::work_times::{QUEUED_WORK, SYNC, SystemStopwatch, WorkTimes, kind_of};
use anyhow::{Context as _, Result};
use deckwind_core::control::{ControlAction, ControlCore, ControlEvent, ControlLimits, Stopwatch};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::replication::{Action, Body, Event, Position, ReplicaConfig};
use deckwind_core::time::Instant;
use deckwind_store::{OpenedStore, Store};
use deckwind_wire::Message;
use std::time::Duration;

/// Interval between two ticks, and between two rounds of periodic work of a busy replica.
pub const TICK: Duration = Duration::from_millis(10);

/// Longest time for other work than the log in one turn: a small part of the interval between
/// two heartbeats, also where the thread gets a third of a core.
pub const SLICE: Duration = Duration::from_millis(4);

/// The time of a turn.
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
    backlog: InputBacklog,
    /// Longest time for other work than the log in one turn; none if all is done at once.
    slice: Option<Duration>,
    /// Time of the last round of periodic work.
    maintained_at: Option<Instant>,
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
        Ok(Self {
            core,
            store,
            times: WorkTimes::default(),
            backlog: InputBacklog::default(),
            slice: None,
            maintained_at: None,
        })
    }

    /// Measures the replica's work with this stopwatch from now on, in place of the clock of
    /// the operating system.
    pub fn set_stopwatch(&mut self, stopwatch: Box<dyn Stopwatch>) {
        self.core.set_stopwatch(stopwatch);
    }

    /// Bounds the time for other work than the log in each turn from now on, as read from the
    /// stopwatch. What is left stays queued; see [`Self::has_work`].
    pub fn set_slice(&mut self, slice: Duration) {
        self.slice = Some(slice);
    }

    /// Returns whether work is left for the next turn, which should begin at once.
    pub fn has_work(&self) -> bool {
        !self.backlog.is_empty() || self.core.has_work()
    }

    /// Returns the number of inputs that wait for a turn.
    pub fn queued_inputs(&self) -> usize {
        self.backlog.len()
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

    /// Queues these events and works for one turn, with the effects in their order.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails or if the core stops the replica. The replica must not go
    /// on after an error: state that its messages imply may be missing on its disk.
    pub fn process_batch(
        &mut self,
        now: Now,
        batch: Vec<ControlEvent>,
        effects: &mut impl EffectSink,
    ) -> Result<()> {
        let events = batch.len();
        let mut of_log = Vec::new();
        for event in batch {
            match event {
                ControlEvent::Replica(event) => of_log.push(event),
                other => self.backlog.push(now.at, other),
            }
        }
        self.run_turn(now, of_log, effects)?;
        self.times.end_batch(events, self.core.take_work_times());
        self.times.log_load(&self.core);
        Ok(())
    }

    fn run_turn(
        &mut self,
        now: Now,
        of_log: Vec<Event>,
        effects: &mut dyn EffectSink,
    ) -> Result<()> {
        let mut out = Vec::new();
        for event in of_log {
            self.step(now, ControlEvent::Replica(event), &mut out);
        }
        self.step(now, ControlEvent::Replica(Event::Tick), &mut out);
        self.perform_all(now, out, effects)?;
        let is_maintained = self.run_slice(now, effects)?;
        let is_due = self.maintained_at.is_none_or(|at| now.at.since(at) >= TICK);
        if !is_maintained && is_due {
            let mut out = Vec::new();
            self.maintain(now, &mut out);
            self.perform_all(now, out, effects)?;
        }
        Ok(())
    }

    /// Works until the slice is used up or nothing is left to do. Returns whether the
    /// periodic work was done, which comes last.
    fn run_slice(&mut self, now: Now, effects: &mut dyn EffectSink) -> Result<bool> {
        let end = self.slice.map(|s| self.core.stopwatch_reading() + s);
        let is_used_up = |core: &ControlCore| end.is_some_and(|t| core.stopwatch_reading() >= t);
        let mut is_maintained = false;
        loop {
            let mut out = Vec::new();
            while !is_used_up(&self.core) {
                if self.work(now, &mut out) {
                    continue;
                }
                if is_maintained {
                    break;
                }
                is_maintained = true;
                self.maintain(now, &mut out);
            }
            self.perform_all(now, out, effects)?;
            if is_used_up(&self.core) || (is_maintained && !self.has_work()) {
                return Ok(is_maintained);
            }
        }
    }

    /// Does one unit of the core's queued work and handles one input, so that neither keeps
    /// the other waiting. Returns whether there was anything to do.
    fn work(&mut self, now: Now, out: &mut Vec<ControlAction>) -> bool {
        let begun = std::time::Instant::now();
        let has_worked = self.core.work(now.at, now.wall_ms, out);
        if has_worked {
            self.times.add(QUEUED_WORK, begun.elapsed());
        }
        let Some(event) = self.backlog.pop(now.at) else {
            return has_worked;
        };
        self.step(now, event, out);
        true
    }

    fn maintain(&mut self, now: Now, out: &mut Vec<ControlAction>) {
        self.maintained_at = Some(now.at);
        self.step(now, ControlEvent::Tick, out);
    }

    /// Sends the new entries of the log and performs actions until none is left.
    fn perform_all(
        &mut self,
        now: Now,
        mut out: Vec<ControlAction>,
        effects: &mut dyn EffectSink,
    ) -> Result<()> {
        self.core.flush(now.at, &mut out);
        while !out.is_empty() {
            let actions = std::mem::take(&mut out);
            self.perform(now, actions, &mut out, effects)?;
            self.core.flush(now.at, &mut out);
        }
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
        effects: &mut dyn EffectSink,
    ) -> Result<()> {
        let mut after_sync = Vec::new();
        let mut last: Option<Position> = None;
        for action in actions {
            match action {
                ControlAction::Replica(Action::Send {
                    message,
                    needs_sync: false,
                }) => effects.perform(Effect::Send(message)),
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

    fn perform_after_sync(
        &self,
        action: ControlAction,
        effects: &mut dyn EffectSink,
    ) -> Result<()> {
        match action {
            ControlAction::Replica(Action::Send { message, .. }) => {
                effects.perform(Effect::Send(message));
            }
            ControlAction::Replica(Action::SendSnapshot { message }) => {
                if let Some(message) = self.with_snapshot(message)? {
                    effects.perform(Effect::Send(message));
                }
            }
            ControlAction::Reply { token, reply } => effects.perform(Effect::Reply(token, reply)),
            ControlAction::OperatorReply { token, reply } => {
                effects.perform(Effect::OperatorReply(token, reply));
            }
            ControlAction::Order(batch) => effects.perform(Effect::Order(batch)),
            ControlAction::Check {
                incarnation,
                address,
            } => effects.perform(Effect::Check(incarnation, address)),
            ControlAction::LogHeldSilence(held) => effects.perform(Effect::LogHeldSilence(held)),
            ControlAction::LogIncarnationDecision(note) => {
                effects.perform(Effect::LogIncarnationDecision(note))
            }
            ControlAction::LogLimitDecision(note) => {
                effects.perform(Effect::LogLimitDecision(note))
            }
            ControlAction::Replica(Action::LogMemberDecision(decision)) => {
                effects.perform(Effect::LogMemberDecision(decision));
            }
            ControlAction::ProbePace { address } => effects.perform(Effect::ProbePace(address)),
            ControlAction::ForwardRequests { slot, requests } => {
                effects.perform(Effect::ForwardRequests(slot, requests));
            }
            ControlAction::ReportAnnouncements { slot, heard } => {
                effects.perform(Effect::ReportAnnouncements(slot, heard));
            }
            ControlAction::Place(order) => effects.perform(Effect::Place(order)),
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
