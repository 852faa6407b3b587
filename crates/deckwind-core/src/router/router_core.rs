//! The router's state and the decisions based on it.

use super::denied::{Denied, DeniedCode};
use super::pools::{PoolKey, TicketState};
use super::work::{ChatWork, CheckedRequest, ServiceWork, Work};
use crate::admission::{AccountLimiter, Admission, AdmissionConfig, RetryBudget, TicketId};
use crate::burn::{BurnMeter, BurnReport};
use crate::membership::{
    AccountDemand, AccountShare, LeaseGrant, LeaseTiming, PlatformStatus, PlatformView,
    RouterLeaseState, ServeDecision,
};
use crate::routing::{
    ChainRequirements, EstimatedTimePolicy, Fleet, GroupKey, LoadReport, PlannedStage, Policy,
    TargetKey, choose_service,
};
use crate::state::{
    AccountName, Configuration, DataCentre, Delta, LayerRange, TargetName, Template, TemplateName,
    Workload,
};
use crate::time::Instant;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;
use std::time::Duration;

/// The static configuration of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Timing of the lease.
    pub lease: LeaseTiming,
    /// Time per layer by accelerator kind, in microseconds.
    pub layer_costs_us: BTreeMap<String, f64>,
    /// One-way latency by data centre, in microseconds.
    pub link_latencies_us: BTreeMap<DataCentre, f64>,
    /// Limits of each pool.
    pub admission: AdmissionConfig,
    /// Seed for random sampling.
    pub seed: u64,
}

/// Kinds of objects that a delta changes.
#[derive(Clone, Copy)]
struct ChangedKinds {
    accounts: bool,
    targets: bool,
    any: bool,
}

/// Maximum number of accounts reported per lease renewal. Bounds the size of a renewal,
/// whatever the number of accounts.
const MAX_REPORTED_DEMANDS: usize = 8;

/// Retry delay for callers that this router can't serve at the moment but another may.
pub(super) const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_secs(1);

/// Factor by which a step must exceed its expected time to count as late.
const LATE_STEP_FACTOR: f64 = 10.0;

/// Factor by which a step must also exceed the target's usual step times to count as
/// late.
const LATE_OVER_BOUND_FACTOR: f64 = 2.0;

/// Minimum time after which a step counts as late.
const MIN_STEP_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time after which a step counts as late.
const MAX_STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// The state behind a router's decisions. Guarded by one lock, so every call is short.
pub struct RouterCore {
    pub(super) cfg: RouterConfig,
    pub(super) lease: RouterLeaseState,
    accounts: HashMap<String, AccountName>,
    limiter: AccountLimiter,
    shares: BTreeMap<AccountName, f64>,
    pub(super) routers: u32,
    pub(super) fleet: Fleet,
    platform: PlatformView,
    policy: Box<dyn Policy>,
    pub(super) pools: BTreeMap<PoolKey, Admission>,
    retries: RetryBudget,
    burn: BurnMeter,
    rng: ChaCha8Rng,
    pub(super) tickets: HashMap<TicketId, TicketState>,
    next_ticket: u64,
    draining: bool,
    pub(super) pools_resized_at: Instant,
}

impl RouterCore {
    /// Creates a router without a lease or a configuration.
    pub fn new(cfg: RouterConfig, now: Instant) -> Self {
        let policy = Box::new(EstimatedTimePolicy::new(cfg.seed));
        Self::with_policy(cfg, policy, now)
    }

    /// Creates a router with another chain selection policy, for measurements.
    pub fn with_policy(cfg: RouterConfig, policy: Box<dyn Policy>, now: Instant) -> Self {
        Self {
            lease: RouterLeaseState::new(cfg.lease),
            accounts: HashMap::new(),
            limiter: AccountLimiter::default(),
            shares: BTreeMap::new(),
            routers: 1,
            fleet: Fleet::new(cfg.layer_costs_us.clone(), cfg.link_latencies_us.clone()),
            platform: PlatformView::default(),
            policy,
            pools: BTreeMap::new(),
            retries: RetryBudget::new(now),
            burn: BurnMeter::default(),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            tickets: HashMap::new(),
            next_ticket: 1,
            draining: false,
            pools_resized_at: now,
            cfg,
        }
    }

    /// Returns the configuration that this router has applied.
    pub fn configuration(&self) -> &Configuration {
        self.lease.configuration()
    }

    /// Returns the state of the lease.
    pub fn lease(&self) -> &RouterLeaseState {
        &self.lease
    }

    /// Returns the targets.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Applies a lease grant from the leader, with the configuration changes, rate
    /// shares and number of routers that come with it. Returns whether it was applied; see
    /// [`RouterLeaseState::apply_grant`].
    pub fn apply_grant(
        &mut self,
        grant: LeaseGrant,
        now: Instant,
        delta: Delta,
        shares: Vec<(AccountName, AccountShare)>,
        routers: u32,
    ) -> bool {
        let changed = ChangedKinds {
            accounts: !delta.accounts.is_empty(),
            targets: !delta.targets.is_empty(),
            any: delta.to > self.lease.applied(),
        };
        let new_leader = grant.term > self.lease.term();
        if !self.lease.apply_grant(grant, delta) {
            return false;
        }
        if new_leader {
            self.limiter.reset_reported();
        }
        let router_count_changed = self.routers != routers.max(1);
        self.routers = routers.max(1);
        self.shares
            .extend(shares.into_iter().map(|(a, s)| (a, s.per_s)));
        self.apply_configuration(changed);
        if changed.any || router_count_changed {
            self.resize_pools(now);
        }
        self.set_rates(now);
        true
    }

    /// Rebuilds the state derived from the kinds of objects that changed. The index
    /// over thousands of targets is not rebuilt for a changed template.
    fn apply_configuration(&mut self, changed: ChangedKinds) {
        let cfg = self.lease.configuration();
        if changed.accounts {
            self.accounts = cfg
                .accounts()
                .map(|(a, _)| (a.key_sha256.to_ascii_lowercase(), a.name.clone()))
                .collect();
            self.limiter.retain(|a| cfg.account(a).is_some());
            self.shares.retain(|a, _| cfg.account(a).is_some());
        }
        if changed.targets {
            self.fleet.apply(cfg);
            self.mark_leaving();
        }
    }

    fn set_rates(&mut self, now: Instant) {
        for (account, _) in self.lease.configuration().accounts() {
            let even_share = account.limits.requests_per_s / f64::from(self.routers);
            let rate = self
                .shares
                .get(&account.name)
                .copied()
                .unwrap_or(even_share);
            self.limiter.set_rate(now, &account.name, rate);
        }
    }

    /// Applies the platform's list of VMs.
    pub fn platform_listed(
        &mut self,
        sequence: u64,
        vms: impl IntoIterator<Item = (IpAddr, PlatformStatus)>,
    ) {
        if self.platform.update(sequence, vms) {
            self.mark_leaving();
        }
    }

    fn mark_leaving(&mut self) {
        let platform = &self.platform;
        self.fleet.mark_leaving_vms(|ip| platform.is_leaving(ip));
    }

    /// Returns the account whose bearer key has this SHA-256, in hexadecimal.
    ///
    /// # Errors
    ///
    /// Returns [`DeniedCode::NoLease`] if no accounts are known yet, and
    /// [`DeniedCode::UnknownKey`] if none has this key.
    pub fn authenticate(&self, key_sha256: &str) -> Result<AccountName, Denied> {
        if self.accounts.is_empty() {
            return Err(Denied::retryable(
                DeniedCode::NoLease,
                RETRY_ELSEWHERE_AFTER,
            ));
        }
        let account = self.accounts.get(key_sha256).cloned();
        account.ok_or(Denied::permanent(DeniedCode::UnknownKey))
    }

    /// Stops accepting new requests.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns whether callers should be sent to this router.
    pub fn is_ready(&self, now: Instant) -> bool {
        !self.draining && self.lease.is_live(now)
    }

    /// Checks a request and gives it a ticket. The request does not occupy a slot yet.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the router is draining, the template or account is unknown,
    /// the lease does not allow serving, or the account is over its rate limit.
    pub fn check_request(
        &mut self,
        now: Instant,
        account: &AccountName,
        template: &TemplateName,
    ) -> Result<CheckedRequest, Denied> {
        if self.draining {
            return Err(Denied::retryable(
                DeniedCode::Draining,
                RETRY_ELSEWHERE_AFTER,
            ));
        }
        let cfg = self.lease.configuration();
        let known = cfg.template(template);
        let found = known.ok_or(Denied::permanent(DeniedCode::UnknownTemplate))?;
        if self.lease.serve_decision(now, found) == ServeDecision::Refuse {
            return Err(Denied::retryable(
                DeniedCode::NoLease,
                RETRY_ELSEWHERE_AFTER,
            ));
        }
        let checked_request = self.resolve(now, account, found)?;
        if let Err(wait) = self.limiter.take(now, account) {
            return Err(Denied::retryable(DeniedCode::OverLimit, wait));
        }
        self.next_ticket += 1;
        Ok(checked_request)
    }

    fn resolve(
        &self,
        now: Instant,
        account: &AccountName,
        template: &Template,
    ) -> Result<CheckedRequest, Denied> {
        let known = self.configuration().account(account);
        let account_config = known.ok_or(Denied::permanent(DeniedCode::UnknownKey))?;
        let parameters = template
            .parameters
            .overridden_by(account_config.parameters.get(&template.name));
        let work = match &template.workload {
            Workload::Service { timeout_ms } => Work::Service(ServiceWork {
                timeout: Duration::from_millis(*timeout_ms),
            }),
            Workload::Chat { model, layers } => Work::Chat(ChatWork {
                group: GroupKey {
                    model: model.clone(),
                    version: parameters.model_version.unwrap_or_default(),
                },
                adapter: parameters.adapter,
                layers: *layers,
            }),
        };
        Ok(CheckedRequest {
            id: TicketId(self.next_ticket),
            template: template.name.clone(),
            account: account.clone(),
            priority: parameters.priority.unwrap_or_default(),
            repeatable: template.repeatable,
            arrived: now,
            start_by: now + Duration::from_millis(template.deadline_ms),
            work,
        })
    }

    /// Plans stages for the layers of `need` and counts them at their targets.
    ///
    /// # Errors
    ///
    /// Returns [`DeniedCode::NoTargets`] if no chain covers the layers.
    pub fn plan_chain(
        &mut self,
        now: Instant,
        need: &ChainRequirements,
    ) -> Result<Vec<PlannedStage>, Denied> {
        let stages = self
            .policy
            .choose(&self.fleet, now, need)
            .ok_or(Denied::retryable(
                DeniedCode::NoTargets,
                RETRY_ELSEWHERE_AFTER,
            ))?;
        self.policy.record_dispatch(need, &stages);
        for stage in &stages {
            self.fleet
                .record_dispatch(now, stage.target, stage.layers.len());
        }
        Ok(stages)
    }

    /// Records the end of a stage.
    pub fn stage_ended(&mut self, now: Instant, key: TargetKey, layers: LayerRange) {
        self.fleet.record_finish(now, key, layers.len());
    }

    /// Records a finished step of `positions` positions.
    pub fn stage_progressed(
        &mut self,
        now: Instant,
        key: TargetKey,
        took: Duration,
        layers: LayerRange,
        positions: usize,
    ) {
        self.fleet
            .record_step_time(now, key, took, layers.len(), positions);
    }

    /// Returns the time after which a step counts as late: the larger of a multiple of
    /// its expected time and a multiple of the target's usual step times, within fixed
    /// limits.
    pub fn step_timeout(
        &self,
        now: Instant,
        key: TargetKey,
        layers: LayerRange,
        positions: usize,
    ) -> Duration {
        let Some(t) = self.fleet.get(key) else {
            return MIN_STEP_TIMEOUT;
        };
        let prefill = positions as f64 * f64::from(layers.len()) * t.layer_us;
        let expected = t.step_us(now, layers.len()) + prefill;
        let late_us =
            (expected * LATE_STEP_FACTOR).max(t.step_upper_bound_us() * LATE_OVER_BOUND_FACTOR);
        let limit = Duration::from_micros(late_us as u64);
        limit.clamp(MIN_STEP_TIMEOUT, MAX_STEP_TIMEOUT)
    }

    /// Records a failure of a target.
    pub fn target_failed(&mut self, now: Instant, key: TargetKey) {
        self.fleet.record_failure(now, key);
    }

    /// Records the end of a call to a plain service: `ok` holds its duration if it
    /// succeeded.
    pub fn service_ended(&mut self, now: Instant, key: TargetKey, ok: Option<Duration>) {
        match ok {
            Some(took) => self.fleet.record_step_time(now, key, took, 1, 1),
            None => self.fleet.record_failure(now, key),
        }
        self.fleet.record_finish(now, key, 1);
    }

    /// Starts a rest period of length `rest` that a target has asked for.
    pub fn set_target_rest_period(&mut self, now: Instant, key: TargetKey, rest: Duration) {
        self.fleet.set_rest_period(now, key, rest);
    }

    /// Selects the target for a call to a plain service and counts the call there.
    ///
    /// # Errors
    ///
    /// Returns [`DeniedCode::NoTargets`] if no target is usable. If all of them are in
    /// a rest period, `retry_after` is the shortest remaining one.
    pub fn plan_service(
        &mut self,
        now: Instant,
        template: &TemplateName,
        avoid: &BTreeSet<TargetName>,
    ) -> Result<TargetKey, Denied> {
        let chosen = choose_service(&self.fleet, now, template, avoid, &mut self.rng);
        let key = chosen.ok_or_else(|| {
            let left = self.fleet.service_rest_left(now, template);
            Denied::retryable(DeniedCode::NoTargets, left.unwrap_or(RETRY_ELSEWHERE_AFTER))
        })?;
        self.fleet.record_dispatch(now, key, 1);
        Ok(key)
    }

    /// Records a load report.
    pub fn load_reported(&mut self, now: Instant, key: TargetKey, report: LoadReport) {
        self.fleet.record_load_report(now, key, report);
    }

    /// Returns the policy, to which cache events are applied.
    pub fn policy(&mut self) -> &mut dyn Policy {
        self.policy.as_mut()
    }

    /// Returns the retry budget.
    pub fn retries(&mut self) -> &mut RetryBudget {
        &mut self.retries
    }

    /// Counts an answer towards the service level objectives. `took` is `None` if the
    /// request failed.
    pub fn answered(
        &mut self,
        now: Instant,
        checked_request: &CheckedRequest,
        took: Option<Duration>,
    ) {
        let template = self.configuration().template(&checked_request.template);
        let objective = template.map(|t| t.objective).unwrap_or_default();
        let within = Duration::from_millis(objective.within_ms);
        let good = took.is_some_and(|t| t <= within);
        self.burn.record(
            now,
            &checked_request.template,
            &checked_request.account,
            good,
        );
    }

    /// Returns the report on service levels.
    pub fn burn_report(&mut self, now: Instant) -> BurnReport {
        self.burn.report(now, self.lease.configuration())
    }

    /// Returns the demand of accounts to report with the next lease renewal.
    pub fn demand(&mut self, now: Instant) -> Vec<(AccountName, AccountDemand)> {
        self.limiter.report_demand(now, MAX_REPORTED_DEMANDS)
    }

    /// Returns the number of requests that hold a ticket.
    pub fn open_requests(&self) -> usize {
        self.tickets.len()
    }
}
