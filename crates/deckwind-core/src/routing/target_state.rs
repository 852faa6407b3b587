//! The router's state of one target: configuration, load, measured times and health.

use super::health::Health;
use crate::state::{DataCentre, LayerRange, Target, TargetKind, TargetName, TargetStatus};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A load report from a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Sum of the layers of all sessions that the target runs; for a service, the
    /// number of requests.
    pub load: u32,
}

/// A load report with the time and the router's own load at its receipt.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    received_at: Instant,
    load: u32,
    own_load: u32,
}

/// The router's state of one target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Name of the target.
    pub name: TargetName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: DataCentre,
    /// Layers that the target holds; empty for a plain service.
    pub layers: LayerRange,
    /// Adapters that the target has loaded.
    pub adapters: Vec<String>,
    /// Kind of accelerator.
    pub accelerator: String,
    /// Maximum number of concurrent sessions or requests.
    pub slots: u32,
    /// Whether the configuration excludes the target from new work.
    pub leaving: bool,
    /// Whether the platform reports that the target's VM is leaving.
    pub vm_leaving: bool,
    /// End of the rest period that the target has asked for; until then it gets no new
    /// work, even if it still answers.
    pub rest_ends_at: Instant,
    /// Time for one layer of one token, in microseconds. Starts with the configured
    /// time of the accelerator kind and follows the measurements.
    pub layer_us: f64,
    /// One-way latency from this router, in microseconds.
    pub link_us: f64,
    /// Health, derived from progress.
    pub health: Health,
    own_load: u32,
    own_sessions: u32,
    report: Option<ReceivedReport>,
    step_times: StepTimes,
}

/// Smoothed mean and mean deviation of a target's step times, in microseconds, as TCP
/// computes them for its retransmission timer (RFC 6298).
#[derive(Clone, Copy, Debug, Default)]
struct StepTimes {
    mean_us: f64,
    deviation_us: f64,
}

impl StepTimes {
    const MEAN_GAIN: f64 = 1.0 / 8.0;
    const DEVIATION_GAIN: f64 = 1.0 / 4.0;
    /// Number of deviations above the mean up to which a step time counts as usual.
    const DEVIATION_FACTOR: f64 = 8.0;

    fn record(&mut self, took_us: f64) {
        let deviation = (took_us - self.mean_us).abs();
        self.deviation_us += (deviation - self.deviation_us) * Self::DEVIATION_GAIN;
        self.mean_us += (took_us - self.mean_us) * Self::MEAN_GAIN;
    }

    fn upper_bound_us(&self) -> f64 {
        self.mean_us + Self::DEVIATION_FACTOR * self.deviation_us
    }
}

/// Time per layer on an accelerator kind without a configured time, in microseconds.
pub(super) const DEFAULT_LAYER_US: f64 = 100.0;

/// Age at which a load report no longer counts.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Weight of a new measurement in the moving average of the time per layer.
const LAYER_TIME_GAIN: f64 = 0.05;

impl TargetState {
    /// Creates the state of a target of which only the configuration is known.
    /// `costs_us` gives the time per layer in microseconds by accelerator kind.
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
            rest_ends_at: Instant::ZERO,
            layer_us: DEFAULT_LAYER_US,
            link_us,
            health: Health::default(),
            own_load: 0,
            own_sessions: 0,
            report: None,
            step_times: StepTimes::default(),
        };
        state.apply_kind(&target.kind);
        let cost_us = costs_us.get(&state.accelerator).copied();
        state.layer_us = cost_us.unwrap_or(DEFAULT_LAYER_US);
        state
    }

    /// Applies the settings that may change without replacing the target.
    pub(super) fn reconfigure(&mut self, target: &Target) {
        self.leaving = target.status != TargetStatus::Active;
        self.slots = target.slots;
        self.apply_kind(&target.kind);
    }

    fn apply_kind(&mut self, kind: &TargetKind) {
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

    /// Adds work sent to the target: `load` layers, or 1 for a service.
    pub(super) fn record_dispatch(&mut self, now: Instant, load: u32) {
        self.own_load += load;
        self.own_sessions += 1;
        self.health.record_dispatch(now);
    }

    /// Records the end of work that was sent to the target.
    pub(super) fn record_finish(&mut self, now: Instant, load: u32) {
        self.own_load = self.own_load.saturating_sub(load);
        self.own_sessions = self.own_sessions.saturating_sub(1);
        self.health.record_finish(now);
    }

    /// Records a load report.
    pub(super) fn record_load_report(&mut self, now: Instant, report: LoadReport) {
        self.report = Some(ReceivedReport {
            received_at: now,
            load: report.load,
            own_load: self.own_load,
        });
    }

    /// Records a finished step over `layers` layers and `positions` positions. Only
    /// steps of one position update the time per layer: the time of a prompt depends on
    /// how much of it was cached.
    pub(super) fn record_step_time(
        &mut self,
        now: Instant,
        took: Duration,
        layers: u32,
        positions: usize,
    ) {
        let took_us = took.as_micros() as f64;
        self.step_times.record(took_us);
        if positions > 1 {
            self.health.record_step_time(now, took_us, took_us);
            return;
        }
        let work = self.load(now).max(f64::from(layers)).max(1.0);
        let layer_us = ((took_us - 2.0 * self.link_us) / work).max(1.0);
        self.layer_us += (layer_us - self.layer_us) * LAYER_TIME_GAIN;
        let expected_us = self.layer_us * work + 2.0 * self.link_us;
        self.health.record_step_time(now, took_us, expected_us);
    }

    /// Returns the load, from the router's own count and the latest report.
    ///
    /// The load from others is the reported load minus the router's own load at that
    /// time. It decays linearly to zero over the lifetime of the report.
    pub fn load(&self, now: Instant) -> f64 {
        let others = self.report.map_or(0.0, |r| {
            let age = now.since(r.received_at).as_secs_f64() / REPORT_TTL.as_secs_f64();
            f64::from(r.load.saturating_sub(r.own_load)) * (1.0 - age).max(0.0)
        });
        f64::from(self.own_load) + others
    }

    /// Returns whether the configuration or the platform excludes the target from new
    /// work.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.vm_leaving
    }

    /// Returns whether the target is neither leaving nor in a rest period.
    pub fn takes_work(&self, now: Instant) -> bool {
        !self.is_leaving() && self.rest_ends_at <= now
    }

    /// Returns the number of layers in this router's sessions at the target.
    pub fn own_load(&self) -> u32 {
        self.own_load
    }

    /// Returns the number of this router's sessions at the target.
    pub fn own_sessions(&self) -> u32 {
        self.own_sessions
    }

    /// Returns whether this router may open another session at the target.
    pub fn has_free_slot(&self) -> bool {
        self.own_sessions < self.slots
    }

    /// Returns the upper bound of usual step times, in microseconds: the mean plus a
    /// multiple of the deviation, which excludes outliers.
    pub fn step_upper_bound_us(&self) -> f64 {
        self.step_times.upper_bound_us()
    }

    /// Returns the expected time of one step over `layers` layers, in microseconds: the
    /// queued work, the step itself and the link in both directions.
    pub fn step_us(&self, now: Instant, layers: u32) -> f64 {
        let work = self.load(now) + f64::from(layers);
        work * self.layer_us / self.health.weight(now) + 2.0 * self.link_us
    }
}
