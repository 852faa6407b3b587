//! Answers to renewals that are held until something changes.

use super::control_core::{ControlCore, Leading};
use super::event::ControlAction;
use super::messages::{ControlReply, EngineUse, Grant, Renewal};
use super::pending::Parked;
use super::wake::Urgency;
use crate::state::{PackedDelta, Revision, VmName};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long routers are told of a target that failed one of them: as long as a
/// dead one takes to be found out.
pub(super) const FAILING_FOR: Duration = Duration::from_millis(1_000);

/// Shortest time between two tellings of what streams hold, to one router: 12
/// bytes an engine in use, 2.6 KB for 218. An undisturbed renewal is held for
/// 400 ms and always brings it; answers that come early for a change need not.
const USE_EVERY: Duration = Duration::from_millis(350);

/// Deltas up to this size are not paced, bytes: no longer than the rest of an
/// answer.
const SMALL: usize = 2 * 1024;

/// Packed deltas up to the revision that holds, by the revision they start at:
/// most routers lack the same.
#[derive(Clone, Debug, Default)]
pub(super) struct DeltaCache {
    to: Revision,
    by_start: BTreeMap<Revision, PackedDelta>,
}

impl Leading {
    /// Targets that have failed some router lately.
    fn failing_now(&self, now: Instant) -> Vec<SocketAddr> {
        let lately = |at: &Instant| now.since(*at) < FAILING_FOR;
        let lately = self.failing.iter().filter(|(_, at)| lately(at));
        lately.map(|(address, _)| *address).collect()
    }

    /// Whether a target has failed some router lately.
    pub(super) fn is_failing(&self, now: Instant, address: SocketAddr) -> bool {
        let at = self.failing.get(&address);
        at.is_some_and(|at| now.since(*at) < FAILING_FOR)
    }

    /// What the streams of other routers hold, unless this router has just been
    /// told.
    fn use_to_tell(&mut self, now: Instant, vm: &VmName) -> Option<Vec<EngineUse>> {
        let told = self.use_told.get(vm);
        if told.is_some_and(|at| now.since(*at) < USE_EVERY) {
            return None;
        }
        self.use_told.insert(vm.clone(), now);
        Some(self.in_use.of_others(vm))
    }
}

impl ControlCore {
    /// Routers are to hear of a change; at once if they may.
    pub(super) fn wake_routers(
        &mut self,
        now: Instant,
        urgency: Urgency,
        out: &mut Vec<ControlAction>,
    ) {
        self.wake.ask(now, urgency);
        self.answer_parked(now, out);
    }

    /// Answers the renewals that have waited long enough or may hear of a
    /// change now.
    pub(super) fn answer_parked(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let shown = self.machine.configuration().shown();
        let all = self.wake.begin_if_due(now);
        if all || !self.wake.is_to_come() {
            self.told = self.told.max(shown);
        }
        for parked in std::mem::take(&mut self.parked) {
            let over = parked.until <= now;
            // What came after the last round waits for the next one.
            let behind = parked.renewal.applied < self.told;
            let repeats = self.has_repeats_for(&parked.renewal.holder);
            let limits = self.has_limits_for(&parked.renewal);
            if over || all || behind || repeats || limits {
                self.answer_one(now, parked, over, out);
            } else {
                self.parked.push(parked);
            }
        }
    }

    /// Answers one renewal. While state is handed out as fast as it may be, the
    /// renewal waits for its turn; when its time is over it gets the lease alone,
    /// for as long as it may act without that state.
    fn answer_one(
        &mut self,
        now: Instant,
        parked: Parked,
        over: bool,
        out: &mut Vec<ControlAction>,
    ) {
        let token = parked.token;
        if !self.replica.may_answer(now) {
            self.not_leader(token, out);
            return;
        }
        let mut delta = self.packed_since(parked.renewal.applied);
        let size = delta.as_ref().map_or(0, PackedDelta::size);
        if size > SMALL && !self.pace.take(now, size) {
            if !over {
                self.parked.push(parked);
                return;
            }
            delta = None;
        }
        let lasts = match (&delta, &self.leading) {
            (None, Some(leading)) => leading.urgent.time_left(now, parked.renewal.applied),
            _ => None,
        };
        match self.grant(now, &parked.renewal, lasts, delta) {
            Some(grant) => out.push(ControlAction::Reply {
                token,
                reply: ControlReply::Granted(Box::new(grant)),
            }),
            None => self.not_leader(token, out),
        }
    }

    /// What a router lacks that has applied `applied`; nothing if that is all.
    fn packed_since(&mut self, applied: Revision) -> Option<PackedDelta> {
        self.machine.hand_out(true);
        let cfg = self.machine.configuration();
        if applied >= cfg.revision() {
            return None;
        }
        if self.deltas.to != cfg.revision() {
            self.deltas.to = cfg.revision();
            self.deltas.by_start.clear();
        }
        let by_start = &mut self.deltas.by_start;
        let packed = by_start
            .entry(applied)
            .or_insert_with(|| PackedDelta::of(&cfg.delta_since(applied)));
        Some(packed.clone())
    }

    fn grant(
        &mut self,
        now: Instant,
        renewal: &Renewal,
        lasts: Option<Duration>,
        delta: Option<PackedDelta>,
    ) -> Option<Grant> {
        let leading = self.leading.as_mut()?;
        let cfg = self.machine.configuration();
        let routers = leading.leases.routers().count() as u32;
        let replicas = self.replica.members().all().map(|id| id.slot);
        let desk = leading.repeats.as_mut();
        let repeats = desk.map_or(Vec::new(), |d| d.grants(now, &renewal.holder));
        Some(Grant {
            term: self.replica.term(),
            lasts,
            delta,
            shares: leading.demand.shares(&renewal.demand, routers, cfg),
            routers,
            in_use: leading.use_to_tell(now, &renewal.holder.vm),
            replicas: replicas.collect(),
            failing: leading.failing_now(now),
            repeats,
            full: leading.full.news_for(now, &renewal.holder.vm),
            slow: leading.paces.slow(now),
            limits: leading.limits.list_for(now, renewal.limits.known),
        })
    }
}
