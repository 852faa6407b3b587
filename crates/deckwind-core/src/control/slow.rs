//! Engines that are slow, not gone.
//!
//! Streams through them pause, though every stage is there: routers say so, the
//! leader asks the engines that several of them name for their pace, and tells
//! all routers, so that what begins goes round them. An engine that was slow is asked
//! again until it no longer is.

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::messages::{ControlReply, EnginePace};
use super::wake::Urgency;
use crate::state::InstanceState;
use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Hints within [`HINT_FOR`] that make the leader ask an engine. On a calm day 32
/// routers have 7 streams a second that pause for no reason, of a dozen engines
/// each.
const HINTS: usize = 3;

/// How long a hint counts.
const HINT_FOR: Duration = Duration::from_millis(400);

/// Between two questions to an engine: its report is 200 ms old.
const ASK_EVERY: Duration = Duration::from_millis(700);

/// How long an engine's pace holds: two questions, one of which may be lost.
const PACE_FOR: Duration = Duration::from_millis(1_600);

/// From this pace on an engine is slow, in hundredths of the usual time. Twice
/// leaves room for what reports count as slow besides.
const SLOW_FROM: u32 = 200;

/// What a leader knows of the pace of engines.
#[derive(Clone, Debug, Default)]
pub(super) struct Paces {
    hints: BTreeMap<SocketAddr, Vec<Instant>>,
    asked: BTreeMap<SocketAddr, Instant>,
    slow: BTreeMap<SocketAddr, (u32, Instant)>,
}

impl Paces {
    /// A router names engines that may be slow. Those that are to be asked.
    fn hinted(&mut self, now: Instant, engines: &[SocketAddr]) -> Vec<SocketAddr> {
        for engine in engines {
            self.hints.entry(*engine).or_default().push(now);
        }
        self.hints.retain(|_, hints| {
            hints.retain(|at| now.since(*at) < HINT_FOR);
            !hints.is_empty()
        });
        let many = self.hints.iter().filter(|(_, hints)| hints.len() >= HINTS);
        let many: Vec<SocketAddr> = many.map(|(engine, _)| *engine).collect();
        many.into_iter().filter(|e| self.may_ask(now, *e)).collect()
    }

    /// Slow engines that are to be asked again.
    fn due(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.asked.retain(|_, at| now.since(*at) < ASK_EVERY);
        self.slow.retain(|_, (_, at)| now.since(*at) < PACE_FOR);
        let slow: Vec<SocketAddr> = self.slow.keys().copied().collect();
        slow.into_iter().filter(|e| self.may_ask(now, *e)).collect()
    }

    fn may_ask(&mut self, now: Instant, engine: SocketAddr) -> bool {
        let before = self.asked.get(&engine);
        if before.is_some_and(|at| now.since(*at) < ASK_EVERY) {
            return false;
        }
        self.asked.insert(engine, now);
        true
    }

    /// An engine told its pace. Whether routers should hear of it.
    fn told(&mut self, now: Instant, engine: SocketAddr, percent: u32) -> bool {
        let slow = percent >= SLOW_FROM;
        let before = match slow {
            true => self.slow.insert(engine, (percent, now)),
            false => self.slow.remove(&engine),
        };
        slow != before.is_some()
    }

    /// Time that an engine's work takes, in thousandths of the usual one, if it is
    /// slow.
    pub fn per_mille(&self, now: Instant, engine: SocketAddr) -> Option<u32> {
        let known = self.slow.get(&engine);
        let fresh = known.filter(|(_, at)| now.since(*at) < PACE_FOR);
        fresh.map(|(percent, _)| percent * 10)
    }

    /// Engines that are slow.
    pub fn slow(&self, now: Instant) -> Vec<EnginePace> {
        let fresh = self.slow.iter();
        let fresh = fresh.filter(|(_, (_, at))| now.since(*at) < PACE_FOR);
        let pace = |(address, (percent, _)): (&SocketAddr, &(u32, Instant))| EnginePace {
            address: *address,
            percent: *percent,
        };
        fresh.map(pace).collect()
    }
}

impl ControlCore {
    /// A router has streams that pause though all stages are there.
    pub(super) fn perhaps_slow(
        &mut self,
        now: Instant,
        token: u64,
        engines: &[SocketAddr],
        out: &mut Vec<ControlAction>,
    ) {
        let reply = ControlReply::Done;
        out.push(ControlAction::Reply { token, reply });
        let Some(leading) = &mut self.leading else {
            return;
        };
        let ask = leading.paces.hinted(now, engines);
        self.ask_pace(&ask, out);
    }

    /// Asks slow engines again.
    pub(super) fn follow_paces(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let ask = leading.paces.due(now);
        self.ask_pace(&ask, out);
    }

    fn ask_pace(&self, engines: &[SocketAddr], out: &mut Vec<ControlAction>) {
        let instances = self.machine.configuration().instances();
        let named = engines.iter().flat_map(|address| instances.at(*address));
        let ready = named.filter(|i| i.state == InstanceState::Ready);
        out.extend(ready.map(|i| ControlAction::AskPace { address: i.address }));
    }

    /// An engine has told its pace.
    pub(super) fn pace_told(
        &mut self,
        now: Instant,
        address: SocketAddr,
        percent: u32,
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if leading.paces.told(now, address, percent) {
            self.wake_routers(now, Urgency::Urgent, out);
        }
    }
}
