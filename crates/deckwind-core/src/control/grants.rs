//! Answers to renewals that are held until something changes.

use super::control_core::{ControlCore, Leading};
use super::event::ControlAction;
use super::limit_desk::LimitDesk;
use super::messages::{ControlReply, Grant, Renewal};
use super::parking::Parked;
use super::wake::Urgency;
use crate::state::{PackedDelta, Revision, VmName};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long routers are told of a target that failed one of them: as long as a
/// dead one takes to be found out.
pub(super) const FAILING_FOR: Duration = Duration::from_millis(1_000);

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
        let before = self.told;
        let round = self.wake.begin_if_due(now);
        if round || !self.wake.is_to_come() {
            self.told = self.told.max(shown);
        }
        let limits = self.limit_desk().map(LimitDesk::revision);
        let news = self.told > before || limits != self.limits_seen;
        self.limits_seen = limits;
        if round {
            self.rounds += 1;
            for parked in self.parked.take_all() {
                self.looks.renewals += 1;
                self.answer_one(now, parked, out);
            }
        } else if news {
            for token in self.parked.tokens() {
                self.look_at(now, token, out);
            }
        }
        while let Some(parked) = self.parked.take_over(now) {
            self.looks.renewals += 1;
            self.answer_one(now, parked, out);
        }
        while let Some(parked) = self.parked.take_held_back() {
            self.looks.renewals += 1;
            if !self.answer_one(now, parked, out) {
                break;
            }
        }
    }

    /// Answers a renewal that waits, if there is something to tell.
    pub(super) fn look_at(&mut self, now: Instant, token: u64, out: &mut Vec<ControlAction>) {
        if let Some(parked) = self.parked.take(token) {
            self.answer_or_park(now, parked, out);
        }
    }

    /// Answers a renewal if there is something to tell, or if it has waited
    /// enough; else it waits.
    pub(super) fn answer_or_park(
        &mut self,
        now: Instant,
        parked: Parked,
        out: &mut Vec<ControlAction>,
    ) {
        self.looks.renewals += 1;
        let over = parked.until <= now;
        // What came after the last round waits for the next one.
        let behind = parked.renewal.applied < self.told;
        let missed = self.has_missed_a_round(&parked.renewal.holder.vm);
        let repeats = self.has_repeats_for(&parked.renewal.holder);
        let limits = self.has_limits_for(&parked.renewal);
        match over || behind || missed || repeats || limits {
            true => drop(self.answer_one(now, parked, out)),
            false => self.parked.park(parked),
        }
    }

    /// Answers one renewal. While state is handed out as fast as it may be, the
    /// renewal waits for its turn; when its time is over it gets the lease alone,
    /// for as long as it may act without that state. Whether it was answered.
    fn answer_one(&mut self, now: Instant, parked: Parked, out: &mut Vec<ControlAction>) -> bool {
        let token = parked.token;
        if !self.replica.may_answer(now) {
            self.not_leader(token, out);
            return true;
        }
        let mut delta = self.packed_since(parked.renewal.applied);
        let size = delta.as_ref().map_or(0, PackedDelta::size);
        if size > SMALL && !self.may_hand_out(now, &parked, size) {
            if parked.until > now {
                self.parked.hold_back(parked);
                return false;
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
        true
    }

    /// Whether so much state may leave now. What leaves for one replica leaves once
    /// for all routers that ask there and lack the same.
    fn may_hand_out(&mut self, now: Instant, parked: &Parked, size: usize) -> bool {
        let copy = parked.relay.map(|slot| (slot, parked.renewal.applied));
        if copy.is_some_and(|copy| self.handed.contains(&copy)) {
            return true;
        }
        let may = self.pace.take(now, size);
        if may {
            self.handed.extend(copy);
        }
        may
    }

    /// Whether a round of answers found no renewal of this VM waiting: not all that is told
    /// with them is a change of the state.
    fn has_missed_a_round(&self, vm: &VmName) -> bool {
        let told = self.leading.as_ref().and_then(|l| l.round_told.get(vm));
        told.is_some_and(|round| *round < self.rounds)
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
        let term = self.replica.term();
        let leading = self.leading.as_mut()?;
        let vm = &renewal.holder.vm;
        leading.round_told.insert(vm.clone(), self.rounds);
        let cfg = self.machine.configuration();
        let routers = leading.leases.len() as u32;
        let replicas = self.replica.members().all().map(|id| id.slot);
        let desk = leading.repeats.as_mut();
        let repeats = desk.map_or(Vec::new(), |d| d.grants(now, &renewal.holder));
        Some(Grant {
            term,
            lasts,
            delta,
            shares: leading.demand.shares(&renewal.demand, routers, cfg),
            routers,
            in_use: leading
                .in_use
                .news(term, &renewal.data_centre, renewal.use_known),
            replicas: replicas.collect(),
            failing: leading.failing_now(now),
            repeats,
            full: leading.full.news_for(now, &renewal.holder.vm),
            slow: leading.paces.slow(now),
            limits: leading.limits.list_for(now, renewal.limits.known),
        })
    }
}
