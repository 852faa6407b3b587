//! Detection of engines that are slow but alive.
//!
//! Streams through a slow engine stall although every stage is reachable. Routers report
//! such engines as hints. The leader asks an engine that got several hints for its pace
//! and sends the result to all routers, so that new streams avoid it. A slow engine is
//! asked repeatedly until it is no longer slow.
//!
//! The pace of an engine is the time that its work takes, as a percentage of the usual
//! time.

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::messages::{ControlReply, EnginePace};
use super::reply_schedule::Urgency;
use crate::state::InstanceState;
use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of hints within [`HINT_TTL`] after which the leader asks an engine for its
/// pace. Under normal load 32 routers report 7 streams a second that stall for no reason,
/// each through a dozen engines.
const MIN_HINTS: usize = 3;

/// Time for which a hint counts.
const HINT_TTL: Duration = Duration::from_millis(400);

/// Minimum time between two pace requests to an engine, whose report is 200 ms old.
const PACE_REQUEST_INTERVAL: Duration = Duration::from_millis(700);

/// Time for which a reported pace is valid: two requests, one of which may be lost.
const PACE_TTL: Duration = Duration::from_millis(1_600);

/// Pace, in percent, from which an engine counts as slow. Twice the usual time leaves a
/// margin for other delays that reports count as slowness.
const SLOW_PERCENT: u32 = 200;

/// Hints about slow engines, and the paces that engines reported.
#[derive(Clone, Debug, Default)]
pub(super) struct EnginePaces {
    hints: BTreeMap<SocketAddr, Vec<Instant>>,
    requested_at: BTreeMap<SocketAddr, Instant>,
    slow: BTreeMap<SocketAddr, (u32, Instant)>,
}

impl EnginePaces {
    /// Records hints of a router about engines that may be slow. Returns the engines that
    /// are to be asked for their pace.
    fn record_hints(&mut self, now: Instant, engines: &[SocketAddr]) -> Vec<SocketAddr> {
        for engine in engines {
            self.hints.entry(*engine).or_default().push(now);
        }
        self.hints.retain(|_, hints| {
            hints.retain(|at| now.since(*at) < HINT_TTL);
            !hints.is_empty()
        });
        let hinted = self
            .hints
            .iter()
            .filter(|(_, hints)| hints.len() >= MIN_HINTS);
        let hinted: Vec<SocketAddr> = hinted.map(|(engine, _)| *engine).collect();
        hinted
            .into_iter()
            .filter(|e| self.begin_request(now, *e))
            .collect()
    }

    /// Returns the slow engines that are to be asked for their pace again.
    fn due(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.requested_at
            .retain(|_, at| now.since(*at) < PACE_REQUEST_INTERVAL);
        self.slow.retain(|_, (_, at)| now.since(*at) < PACE_TTL);
        let slow: Vec<SocketAddr> = self.slow.keys().copied().collect();
        slow.into_iter()
            .filter(|e| self.begin_request(now, *e))
            .collect()
    }

    fn begin_request(&mut self, now: Instant, engine: SocketAddr) -> bool {
        let before = self.requested_at.get(&engine);
        if before.is_some_and(|at| now.since(*at) < PACE_REQUEST_INTERVAL) {
            return false;
        }
        self.requested_at.insert(engine, now);
        true
    }

    /// Records the pace that an engine reported. Returns whether the engine became slow
    /// or is no longer slow, so that routers have to be informed.
    fn record_pace(&mut self, now: Instant, engine: SocketAddr, percent: u32) -> bool {
        let slow = percent >= SLOW_PERCENT;
        let before = match slow {
            true => self.slow.insert(engine, (percent, now)),
            false => self.slow.remove(&engine),
        };
        slow != before.is_some()
    }

    /// Returns the pace of an engine in thousandths of the usual time, or `None` if it
    /// isn't slow.
    pub fn per_mille(&self, now: Instant, engine: SocketAddr) -> Option<u32> {
        let known = self.slow.get(&engine);
        let fresh = known.filter(|(_, at)| now.since(*at) < PACE_TTL);
        fresh.map(|(percent, _)| percent * 10)
    }

    /// Returns the engines that are slow, with their pace.
    pub fn slow(&self, now: Instant) -> Vec<EnginePace> {
        let fresh = self.slow.iter();
        let fresh = fresh.filter(|(_, (_, at))| now.since(*at) < PACE_TTL);
        let pace = |(address, (percent, _)): (&SocketAddr, &(u32, Instant))| EnginePace {
            address: *address,
            percent: *percent,
        };
        fresh.map(pace).collect()
    }
}

impl ControlCore {
    /// Handles a router's report of streams that stall although all their stages are
    /// reachable.
    pub(super) fn handle_slow_hints(
        &mut self,
        now: Instant,
        token: u64,
        engines: &[SocketAddr],
        out: &mut Vec<ControlAction>,
    ) {
        let reply = ControlReply::Done;
        out.push(ControlAction::Reply { token, reply });
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let ask = leader_state.paces.record_hints(now, engines);
        self.request_pace(&ask, out);
    }

    /// Asks slow engines for their pace again.
    pub(super) fn recheck_slow_engines(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let ask = leader_state.paces.due(now);
        self.request_pace(&ask, out);
    }

    fn request_pace(&self, engines: &[SocketAddr], out: &mut Vec<ControlAction>) {
        let instances = self.state_machine.configuration().instances();
        let named = engines.iter().flat_map(|address| instances.at(*address));
        let ready = named.filter(|i| i.state == InstanceState::Ready);
        out.extend(ready.map(|i| ControlAction::ProbePace { address: i.address }));
    }

    /// Handles the pace that an engine reported.
    pub(super) fn handle_pace(&mut self, now: Instant, address: SocketAddr, percent: u32) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if leader_state.paces.record_pace(now, address, percent) {
            self.inform_routers(now, Urgency::Urgent);
        }
    }
}
