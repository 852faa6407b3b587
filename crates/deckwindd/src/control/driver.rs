//! The thread of a control replica: gathers inputs and has the replica work in turns. Inputs
//! that arrive during a turn are taken by the next one.

use super::effect_performer::EffectPerformer;
use super::handle::{ControlHandle, Inbox, InputBatch};
use super::leadership::LeadershipLog;
use super::limit_metrics::LimitMetrics;
use super::member_metrics::MemberMetrics;
use super::node::{ControlNode, Now, SLICE, TICK};
use super::peers::Senders;
use super::retry_metrics::RetryMetrics;
use crate::context::{Context, announce_interval};
use anyhow::Result;
use deckwind_config::ControlSettings;
use deckwind_core::control::ControlLimits;
use deckwind_core::membership::LeaseTiming;
use deckwind_core::replication::{ReplicaConfig, SeedDiscovery, Timing};
use deckwind_net::clock::Clock;
use deckwind_store::{OpenedStore, Store};
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of inputs that wait for a turn from which on further ones stay in their queue.
const MAX_QUEUED_INPUTS: usize = 4_096;

/// Driver of a control replica, owned by its thread.
pub struct Driver {
    clock: Clock,
    node: ControlNode,
    performer: EffectPerformer,
    leadership: LeadershipLog,
    retry_metrics: RetryMetrics,
    limit_metrics: LimitMetrics,
    member_metrics: MemberMetrics,
}

impl Driver {
    /// Creates a driver on an open store.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot in the data folder is damaged or of another version.
    pub fn new(
        cx: &Context,
        cfg: &ControlSettings,
        store: Store,
        opened: OpenedStore,
        senders: Senders,
        handle: ControlHandle,
    ) -> Result<Self> {
        let seeds: BTreeSet<u32> = cx.known_slots().into_iter().collect();
        let slots = seeds.iter().copied().chain([cfg.slot]);
        let mut replica = ReplicaConfig::new(opened.id, slots, rand::random());
        replica.seed_discovery = cx.settings.seeds.as_ref().map(|s| {
            let desired_voters = 2 * usize::from(s.lost_at_once) + 1;
            let first_seeds = opened.first_seeds.as_ref();
            SeedDiscovery::new(cfg.slot, &seeds, s.first_start, first_seeds, desired_voters)
        });
        replica.timing = Timing {
            heartbeat: cfg.heartbeat,
            election_min: cfg.election_min,
            election_max: cfg.election_max,
            ..Timing::default()
        };
        let lease = LeaseTiming {
            ttl: cfg.lease,
            ..LeaseTiming::default()
        };
        let mut limits = ControlLimits::default();
        if let Some(mbps) = cfg.link_mbps {
            limits.state_bytes_per_s = ControlLimits::state_rate_for_link(mbps);
        }
        limits.announce_every = announce_interval(cfg.announce_every);
        let mut node = ControlNode::new(replica, lease, limits, store, opened, cx.clock.now())?;
        node.set_slice(SLICE);
        Ok(Self {
            clock: cx.clock,
            node,
            performer: EffectPerformer::new(cx, cfg.slot, senders, handle),
            leadership: LeadershipLog::default(),
            retry_metrics: RetryMetrics::default(),
            limit_metrics: LimitMetrics::default(),
            member_metrics: MemberMetrics::default(),
        })
    }

    /// Runs until the driver must stop.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails or if the core stops the replica: a replica that can't write
    /// must not vote or acknowledge entries.
    pub fn run(mut self, inbox: &Inbox) -> Result<()> {
        while let Some(batch) = self.gather(inbox) {
            if let Err(e) = self.process_batch(batch) {
                log::error!("event=store_failed error={:?}", format!("{e:#}"));
                return Err(e);
            }
        }
        Ok(())
    }

    /// Waits for inputs, unless work is left from the last turn. While many inputs wait
    /// already, takes messages of the log only.
    fn gather(&self, inbox: &Inbox) -> Option<InputBatch> {
        let wait = match self.node.has_work() {
            true => Duration::ZERO,
            false => TICK,
        };
        match self.node.queued_inputs() < MAX_QUEUED_INPUTS {
            true => inbox.gather(wait),
            false => inbox.gather_log(),
        }
    }

    fn process_batch(&mut self, batch: InputBatch) -> Result<()> {
        self.node.record_input_ages(batch.ages);
        let performer = &mut self.performer;
        let events = batch
            .inputs
            .into_iter()
            .flat_map(|input| performer.register_input(input));
        let events = events.collect();
        let now = Now {
            at: self.clock.now(),
            wall_ms: self.clock.wall_ms(),
        };
        self.node.process_batch(now, events, &mut self.performer)?;
        self.performer.send_forwarded_answers();
        self.leadership.update(now.at, self.node.core().replica());
        self.retry_metrics.update(now.at, self.node.core());
        self.limit_metrics.update(now.at, self.node.core());
        self.member_metrics
            .update(now.at, self.node.core().replica());
        Ok(())
    }
}
