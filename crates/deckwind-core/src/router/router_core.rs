//! The router's decisions over its whole state.

use super::denied::{Denied, DeniedCode};
use super::pools::{HeldPlace, PoolKey};
use super::work::{ChatWork, Entered, ServiceWork, Work};
use crate::admission::{AccountLimiter, Admission, AdmissionConfig, RetryBudget, TicketId};
use crate::burn::{BurnMeter, BurnReport};
use crate::membership::{
    AccountDemand, AccountShare, LeaseGrant, LeaseTiming, PlatformStatus, PlatformView,
    RouterLeaseState, ServeDecision,
};
use crate::routing::{
    ChainNeed, Estimated, Fleet, GroupKey, LoadReport, PlannedStage, Policy, TargetKey,
    choose_service,
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

/// What a router is told once.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Lease.
    pub lease: LeaseTiming,
    /// Microseconds a layer, by accelerator kind.
    pub costs: BTreeMap<String, f64>,
    /// One-way microseconds, by data centre.
    pub links: BTreeMap<DataCentre, f64>,
    /// Bounds of each pool.
    pub admission: AdmissionConfig,
    /// Seed of its samples.
    pub seed: u64,
}

/// Kinds of objects that a delta changes.
#[derive(Clone, Copy)]
struct Changed {
    accounts: bool,
    targets: bool,
    any: bool,
}

/// Accounts named in one renewal: bounds its size, whatever the number of
/// accounts.
const DEMANDS_TOLD: usize = 8;

/// How long a caller is told to wait when this router can't serve it but
/// another may.
pub(super) const ELSEWHERE: Duration = Duration::from_secs(1);

/// A step that takes this many times what was expected is late.
const LATE_FACTOR: f64 = 10.0;

/// So is one that takes this many times the longest usual step of the target.
const LATE_OVER_USUAL: f64 = 2.0;

/// Shortest time after which a step counts as late.
const MIN_STEP_LIMIT: Duration = Duration::from_millis(400);

/// Longest such time.
const MAX_STEP_LIMIT: Duration = Duration::from_secs(10);

/// All that a router decides. Behind one lock; every call is short.
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
    pub(super) tickets: HashMap<TicketId, HeldPlace>,
    next_ticket: u64,
    draining: bool,
    pub(super) sized_at: Instant,
}

impl RouterCore {
    /// A router without lease or configuration.
    pub fn new(cfg: RouterConfig, now: Instant) -> Self {
        let policy = Box::new(Estimated::new(cfg.seed));
        Self::with_policy(cfg, policy, now)
    }

    /// A router that chooses chains in another way, for measurements.
    pub fn with_policy(cfg: RouterConfig, policy: Box<dyn Policy>, now: Instant) -> Self {
        Self {
            lease: RouterLeaseState::new(cfg.lease),
            accounts: HashMap::new(),
            limiter: AccountLimiter::default(),
            shares: BTreeMap::new(),
            routers: 1,
            fleet: Fleet::new(cfg.costs.clone(), cfg.links.clone()),
            platform: PlatformView::default(),
            policy,
            pools: BTreeMap::new(),
            retries: RetryBudget::new(now),
            burn: BurnMeter::default(),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            tickets: HashMap::new(),
            next_ticket: 1,
            draining: false,
            sized_at: now,
            cfg,
        }
    }

    /// The configuration in force here.
    pub fn configuration(&self) -> &Configuration {
        self.lease.configuration()
    }

    /// The lease.
    pub fn lease(&self) -> &RouterLeaseState {
        &self.lease
    }

    /// The targets.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Takes a grant of the leader's.
    pub fn granted(
        &mut self,
        grant: LeaseGrant,
        now: Instant,
        delta: Delta,
        shares: Vec<(AccountName, AccountShare)>,
        routers: u32,
    ) {
        let changed = Changed {
            accounts: !delta.accounts.is_empty(),
            targets: !delta.targets.is_empty(),
            any: delta.to > self.lease.applied(),
        };
        let new_leader = grant.term > self.lease.term();
        if !self.lease.granted(grant, delta) {
            return;
        }
        if new_leader {
            self.limiter.forget_told();
        }
        let other_count = self.routers != routers.max(1);
        self.routers = routers.max(1);
        self.shares
            .extend(shares.into_iter().map(|(a, s)| (a, s.per_s)));
        self.apply_configuration(changed);
        if changed.any || other_count {
            self.size_pools(now);
        }
        self.set_rates(now);
    }

    /// Rebuilds what follows from the kinds of objects that changed: an index
    /// over thousands of targets is not made anew for a template.
    fn apply_configuration(&mut self, changed: Changed) {
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
            let even = account.limits.requests_per_s / f64::from(self.routers);
            let rate = self.shares.get(&account.name).copied().unwrap_or(even);
            self.limiter.set_rate(now, &account.name, rate);
        }
    }

    /// Takes the platform's list.
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
        self.fleet.mark_vms(|ip| platform.is_leaving(ip));
    }

    /// The account whose bearer key has this SHA-256, in hexadecimal.
    pub fn authenticate(&self, key_sha256: &str) -> Result<AccountName, Denied> {
        if self.accounts.is_empty() {
            return Err(Denied::for_now(DeniedCode::NoLease, ELSEWHERE));
        }
        let account = self.accounts.get(key_sha256).cloned();
        account.ok_or(Denied::for_good(DeniedCode::UnknownKey))
    }

    /// Stops taking new requests.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self, now: Instant) -> bool {
        !self.draining && self.lease.is_live(now)
    }

    /// Checks a request and gives it a ticket. It holds no place yet.
    pub fn enter(
        &mut self,
        now: Instant,
        account: &AccountName,
        template: &TemplateName,
    ) -> Result<Entered, Denied> {
        if self.draining {
            return Err(Denied::for_now(DeniedCode::Draining, ELSEWHERE));
        }
        let cfg = self.lease.configuration();
        let known = cfg.template(template);
        let found = known.ok_or(Denied::for_good(DeniedCode::UnknownTemplate))?;
        if self.lease.decide(now, found) == ServeDecision::Refuse {
            return Err(Denied::for_now(DeniedCode::NoLease, ELSEWHERE));
        }
        let entered = self.resolve(now, account, found)?;
        if let Err(wait) = self.limiter.take(now, account) {
            return Err(Denied::for_now(DeniedCode::OverLimit, wait));
        }
        self.next_ticket += 1;
        Ok(entered)
    }

    fn resolve(
        &self,
        now: Instant,
        account: &AccountName,
        template: &Template,
    ) -> Result<Entered, Denied> {
        let known = self.configuration().account(account);
        let own = known.ok_or(Denied::for_good(DeniedCode::UnknownKey))?;
        let parameters = template
            .parameters
            .overridden_by(own.parameters.get(&template.name));
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
        Ok(Entered {
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

    /// Plans stages for the layers of `need`, and counts them at their targets.
    pub fn plan_chain(
        &mut self,
        now: Instant,
        need: &ChainNeed,
    ) -> Result<Vec<PlannedStage>, Denied> {
        let stages = self
            .policy
            .choose(&self.fleet, now, need)
            .ok_or(Denied::for_now(DeniedCode::NoTargets, ELSEWHERE))?;
        self.policy.dispatched(need, &stages);
        for stage in &stages {
            self.fleet.dispatched(now, stage.target, stage.layers.len());
        }
        Ok(stages)
    }

    /// A stage is over.
    pub fn stage_ended(&mut self, now: Instant, key: TargetKey, layers: LayerRange) {
        self.fleet.finished(now, key, layers.len());
    }

    /// A stage answered a step of `positions` positions.
    pub fn stage_progressed(
        &mut self,
        now: Instant,
        key: TargetKey,
        took: Duration,
        layers: LayerRange,
        positions: usize,
    ) {
        self.fleet
            .progressed(now, key, took, layers.len(), positions);
    }

    /// How long a step may take before the stage counts as late: a multiple of
    /// what is expected of it.
    pub fn step_limit(
        &self,
        now: Instant,
        key: TargetKey,
        layers: LayerRange,
        positions: usize,
    ) -> Duration {
        let Some(t) = self.fleet.get(key) else {
            return MIN_STEP_LIMIT;
        };
        let prefill = positions as f64 * f64::from(layers.len()) * t.layer_us;
        let expected = t.step_us(now, layers.len()) + prefill;
        let late_us = (expected * LATE_FACTOR).max(t.usual_step_us() * LATE_OVER_USUAL);
        let limit = Duration::from_micros(late_us as u64);
        limit.clamp(MIN_STEP_LIMIT, MAX_STEP_LIMIT)
    }

    /// A target failed.
    pub fn target_failed(&mut self, now: Instant, key: TargetKey) {
        self.fleet.failed(now, key);
    }

    /// A target answered or not: for plain services.
    pub fn service_ended(&mut self, now: Instant, key: TargetKey, ok: Option<Duration>) {
        match ok {
            Some(took) => self.fleet.progressed(now, key, took, 1, 1),
            None => self.fleet.failed(now, key),
        }
        self.fleet.finished(now, key, 1);
    }

    /// A target wants to be left alone for so long.
    pub fn target_rests(&mut self, now: Instant, key: TargetKey, rest: Duration) {
        self.fleet.rests(now, key, rest);
    }

    /// Chooses a plain service's target and counts the call there.
    pub fn plan_service(
        &mut self,
        now: Instant,
        template: &TemplateName,
        avoid: &BTreeSet<TargetName>,
    ) -> Result<TargetKey, Denied> {
        let chosen = choose_service(&self.fleet, now, template, avoid, &mut self.rng);
        let key = chosen.ok_or_else(|| {
            let left = self.fleet.service_rest_left(now, template);
            Denied::for_now(DeniedCode::NoTargets, left.unwrap_or(ELSEWHERE))
        })?;
        self.fleet.dispatched(now, key, 1);
        Ok(key)
    }

    /// Takes a load report.
    pub fn load_reported(&mut self, now: Instant, key: TargetKey, report: LoadReport) {
        self.fleet.reported(now, key, report);
    }

    /// The policy, for cache events.
    pub fn policy(&mut self) -> &mut dyn Policy {
        self.policy.as_mut()
    }

    /// The budget of retries.
    pub fn retries(&mut self) -> &mut RetryBudget {
        &mut self.retries
    }

    /// Counts an answer for the service levels.
    pub fn answered(&mut self, now: Instant, entered: &Entered, took: Option<Duration>) {
        let template = self.configuration().template(&entered.template);
        let objective = template.map(|t| t.objective).unwrap_or_default();
        let within = Duration::from_millis(objective.within_ms);
        let good = took.is_some_and(|t| t <= within);
        self.burn
            .answered(now, &entered.template, &entered.account, good);
    }

    /// The service-level report.
    pub fn burn_report(&mut self, now: Instant) -> BurnReport {
        self.burn.report(now, self.lease.configuration())
    }

    /// What accounts asked for, for the next renewal.
    pub fn demand(&mut self, now: Instant) -> Vec<(AccountName, AccountDemand)> {
        self.limiter.demand(now, DEMANDS_TOLD)
    }

    /// Requests that hold a ticket.
    pub fn open_requests(&self) -> usize {
        self.tickets.len()
    }
}
