//! One target as a router sees it: where it is, what it holds, its load, its
//! times and its health.

use super::health::Health;
use crate::state::{DataCentre, LayerRange, Target, TargetKind, TargetName, TargetStatus};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a target says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Layers of all sessions that it runs, added up; requests of a service.
    pub load: u32,
}

/// A report as it was taken in.
#[derive(Clone, Copy, Debug)]
struct TakenReport {
    at: Instant,
    load: u32,
    own: u32,
}

/// One target as a router sees it.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Its name.
    pub name: TargetName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Layers that it holds; empty for a plain service.
    pub layers: LayerRange,
    /// Adapters that it has loaded.
    pub adapters: Vec<String>,
    /// Kind of accelerator.
    pub accelerator: String,
    /// What it serves at once.
    pub slots: u32,
    /// Whether the operators said that it takes no new work.
    pub leaving: bool,
    /// Whether the platform says that its VM is leaving.
    pub vm_leaving: bool,
    /// It wants to be left alone until then, however well it answers otherwise.
    pub rests_until: Instant,
    /// Time for one layer of one token, microseconds: as the kind should, then
    /// as measured.
    pub layer_us: f64,
    /// One-way time from this router, microseconds.
    pub link_us: f64,
    /// Its health by progress.
    pub health: Health,
    own: u32,
    own_sessions: u32,
    report: Option<TakenReport>,
    steps: StepTimes,
}

/// Mean and deviation of a target's steps, microseconds, as TCP keeps them for
/// its retransmission timer (RFC 6298).
#[derive(Clone, Copy, Debug, Default)]
struct StepTimes {
    mean_us: f64,
    deviation_us: f64,
}

impl StepTimes {
    const MEAN_GAIN: f64 = 1.0 / 8.0;
    const DEVIATION_GAIN: f64 = 1.0 / 4.0;
    /// Deviations above the mean that count as usual.
    const DEVIATIONS: f64 = 8.0;

    fn add(&mut self, took_us: f64) {
        let off = (took_us - self.mean_us).abs();
        self.deviation_us += (off - self.deviation_us) * Self::DEVIATION_GAIN;
        self.mean_us += (took_us - self.mean_us) * Self::MEAN_GAIN;
    }

    fn usual_us(&self) -> f64 {
        self.mean_us + Self::DEVIATIONS * self.deviation_us
    }
}

/// Microseconds a layer on an accelerator kind that has no cost of its own.
pub(super) const DEFAULT_LAYER_US: f64 = 100.0;

/// After this time a report counts for nothing.
const REPORT_LIFE: Duration = Duration::from_secs(5);

/// Weight of a new measurement in the moving average of a layer's time.
const LAYER_TIME_GAIN: f64 = 0.05;

impl TargetState {
    /// A target of which only its configuration is known. `costs_us` gives the
    /// time of a layer by accelerator kind, microseconds.
    pub(super) fn new(target: &Target, costs_us: &BTreeMap<String, f64>, link_us: f64) -> Self {
        let mut state = Self {
            name: target.name.clone(),
            address: target.address,
            data_centre: target.data_centre.clone(),
            layers: LayerRange::new(0, 0),
            adapters: Vec::new(),
            accelerator: String::new(),
            slots: target.slots,
            leaving: target.status != TargetStatus::Active,
            vm_leaving: false,
            rests_until: Instant::ZERO,
            layer_us: DEFAULT_LAYER_US,
            link_us,
            health: Health::default(),
            own: 0,
            own_sessions: 0,
            report: None,
            steps: StepTimes::default(),
        };
        state.set_kind(&target.kind);
        let cost_us = costs_us.get(&state.accelerator).copied();
        state.layer_us = cost_us.unwrap_or(DEFAULT_LAYER_US);
        state
    }

    /// Takes over what may change while the target stays the same.
    pub(super) fn reconfigure(&mut self, target: &Target) {
        self.leaving = target.status != TargetStatus::Active;
        self.slots = target.slots;
        self.set_kind(&target.kind);
    }

    fn set_kind(&mut self, kind: &TargetKind) {
        if let TargetKind::Engine {
            adapters,
            layers,
            accelerator,
            ..
        } = kind
        {
            self.layers = *layers;
            self.adapters = adapters.clone();
            self.accelerator = accelerator.clone();
        }
    }

    /// Counts work given to it: `load` layers, or 1 for a service.
    pub(super) fn dispatched(&mut self, now: Instant, load: u32) {
        self.own += load;
        self.own_sessions += 1;
        self.health.dispatched(now);
    }

    /// Counts the end of such work.
    pub(super) fn finished(&mut self, now: Instant, load: u32) {
        self.own = self.own.saturating_sub(load);
        self.own_sessions = self.own_sessions.saturating_sub(1);
        self.health.finished(now);
    }

    /// Takes a load report.
    pub(super) fn reported(&mut self, now: Instant, report: LoadReport) {
        self.report = Some(TakenReport {
            at: now,
            load: report.load,
            own: self.own,
        });
    }

    /// Takes the time of a step that ended: of `layers` layers, for `positions`
    /// positions. Only steps of one position tell the time of a layer; a
    /// prompt's time depends on what was cached.
    pub(super) fn progressed(
        &mut self,
        now: Instant,
        took: Duration,
        layers: u32,
        positions: usize,
    ) {
        let took_us = took.as_micros() as f64;
        self.steps.add(took_us);
        if positions > 1 {
            self.health.progressed(now, took_us, took_us);
            return;
        }
        let work = self.load(now).max(f64::from(layers)).max(1.0);
        let layer_us = ((took_us - 2.0 * self.link_us) / work).max(1.0);
        self.layer_us += (layer_us - self.layer_us) * LAYER_TIME_GAIN;
        let expected_us = self.layer_us * work + 2.0 * self.link_us;
        self.health.progressed(now, took_us, expected_us);
    }

    /// Load by own count and by the latest report, discounted by its age.
    ///
    /// What others had there at the time of the report is the report less what
    /// was ours; it fades linearly until the report is worth nothing.
    pub fn load(&self, now: Instant) -> f64 {
        let others = self.report.map_or(0.0, |r| {
            let age = now.since(r.at).as_secs_f64() / REPORT_LIFE.as_secs_f64();
            f64::from(r.load.saturating_sub(r.own)) * (1.0 - age).max(0.0)
        });
        f64::from(self.own) + others
    }

    /// Whether it takes no new work, whoever said so first.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.vm_leaving
    }

    /// Whether it may be given new work, as far as its own word goes and others'.
    pub fn takes_work(&self, now: Instant) -> bool {
        !self.is_leaving() && self.rests_until <= now
    }

    /// Layers of this router's own sessions there.
    pub fn own_load(&self) -> u32 {
        self.own
    }

    /// This router's own sessions there.
    pub fn own_sessions(&self) -> u32 {
        self.own_sessions
    }

    /// Whether this router may give it one more.
    pub fn has_slot(&self) -> bool {
        self.own_sessions < self.slots
    }

    /// Longest time that a step took lately, but for the odd one, microseconds.
    pub fn usual_step_us(&self) -> f64 {
        self.steps.usual_us()
    }

    /// Expected time of one step of `layers` layers, microseconds: what stands
    /// before it, itself, and the link both ways.
    pub fn step_us(&self, now: Instant, layers: u32) -> f64 {
        let work = self.load(now) + f64::from(layers);
        work * self.layer_us / self.health.weight(now) + 2.0 * self.link_us
    }
}
