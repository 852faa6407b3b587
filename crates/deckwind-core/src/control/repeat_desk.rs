//! Gives repeats out to routers, ahead of need and where they are wanted.
//!
//! ```text
//!  router: holds, spent, given back, wanted ──► RepeatDesk ──► changes ──► log
//!                                                   ▲                       │
//!  router ◄── issued so far (with its lease) ───────┴──── ledger ◄── agreed─┘
//! ```
//!
//! The bound: within a window all routers together use no more than `most`
//! repeats of a pool beyond the share of their own requests. Every repeat that
//! is issued counts from the moment it is proposed until
//!
//! - its router has given it back, or
//! - a window after its router told that it was used, or when its router tells
//!   that this is longer ago than the window, or
//! - a window after its router can't use it any more: a lease's time after it
//!   was last told of it.
//!
//! So whatever was used within the last window is counted now, and what counts
//! is never more than `most`. A new leader counts all that the ledger holds as
//! given out at the moment it begins.

use super::repeat_account::{Account, shares};
use super::repeat_messages::{PoolReport, RepeatGrant, RepeatReport};
use crate::membership::LeaseTiming;
use crate::state::{
    AllowanceId, AllowanceKey, Holder, PoolName, RepeatChange, RepeatLedger, VmName,
};
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Shortest time between two entries. One entry serves all routers that want
/// some; routers hold some ahead, so that the first repeats wait for none.
const ENTRY_EVERY: Duration = Duration::from_millis(100);

/// Shortest time between two looks at what routers lack.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// How much longer that time is for each router, since a look goes through all of them:
/// looks take the same part of the processor with any number.
const LOOK_A_ROUTER: Duration = Duration::from_micros(50);

/// Shortest time between two entries that only say what is over.
const OVER_EVERY: Duration = Duration::from_secs(1);

/// Part of the bound that routers hold ahead of need, in hundredths. What a
/// router holds while it is killed is lost for a window.
const STANDING_PERCENT: u64 = 30;

/// Most that a router holds ahead of need: what a lost engine asks of one router
/// in the time of an entry and its answer.
const STANDING_MOST: u64 = 4;

/// Part of the bound that is kept for routers that hold none, one in so many.
const KEPT_BACK: u64 = 8;

/// With less than one in so many left, routers give back what they don't need.
const SCARCE: u64 = 4;

/// How much longer than the window a use counts, one part in so many of it: it is
/// sent after it was counted.
const SENT_LATER: u32 = 20;

/// What a router last told.
#[derive(Clone, Debug)]
struct Told {
    at: Instant,
    pools: Vec<PoolReport>,
}

/// Repeats of one pool as the leader counts them, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepeatCounts {
    /// The pool.
    pub pool: PoolName,
    /// Most that may count.
    pub most: u64,
    /// Issued, and not over.
    pub counts: u64,
    /// Of these, unused in routers' hands.
    pub unused: u64,
    /// What routers lack.
    pub wanted: u64,
    /// Routers that may use some.
    pub routers: usize,
}

/// The leader's side of repeats.
#[derive(Clone, Debug)]
pub struct RepeatDesk {
    timing: LeaseTiming,
    /// The least bound and the longest window that any router told.
    bound: Option<(u64, Duration)>,
    accounts: BTreeMap<AllowanceId, Account>,
    /// Which of them are whose.
    by_holder: BTreeMap<Holder, Vec<AllowanceId>>,
    /// What counts of each pool.
    counted: BTreeMap<PoolName, u64>,
    told: BTreeMap<Holder, Told>,
    /// The start of each VM that told last.
    starts: BTreeMap<VmName, Holder>,
    /// Routers that serve each pool.
    serving: BTreeMap<PoolName, u64>,
    /// An entry was proposed and not yet applied: one at a time, so that the
    /// ledger holds all that was issued.
    proposed: bool,
    entry_at: Option<Instant>,
    looked_at: Option<Instant>,
    /// Who is served first where there are too few: another one each time.
    turn: usize,
    /// Routers that were issued more than they were told of. Asked for each renewal
    /// that is held, at each round of answers.
    news: BTreeSet<Holder>,
    /// When what is over was last looked for.
    aged_at: Option<Instant>,
    looks: u64,
}

impl RepeatDesk {
    /// Of a leader that begins now, whose log is applied up to its own first
    /// entry.
    pub fn new(now: Instant, timing: LeaseTiming, ledger: &RepeatLedger) -> Self {
        let mut desk = Self {
            timing,
            bound: None,
            accounts: BTreeMap::new(),
            by_holder: BTreeMap::new(),
            counted: BTreeMap::new(),
            told: BTreeMap::new(),
            starts: BTreeMap::new(),
            serving: BTreeMap::new(),
            proposed: false,
            entry_at: None,
            looked_at: None,
            turn: 0,
            news: BTreeSet::new(),
            aged_at: None,
            looks: 0,
        };
        desk.applied(now, ledger);
        desk.close_older(now);
        desk
    }

    /// Of several allowances of a router for one pool, all but the last one were
    /// closed before: it can't use them.
    fn close_older(&mut self, now: Instant) {
        let mut newest = BTreeSet::new();
        for account in self.accounts.values_mut().rev() {
            if !newest.insert(account.key.clone()) {
                account.close(now);
            }
        }
        self.count_anew();
    }

    /// Adds up what counts of each pool.
    fn count_anew(&mut self) {
        self.counted.clear();
        for account in self.accounts.values() {
            let pool = account.key.pool.clone();
            *self.counted.entry(pool).or_default() += account.counts();
        }
    }

    fn lasts(&self) -> Duration {
        self.timing.with_drift()
    }

    fn counted_for(&self) -> Duration {
        let window = self.bound.map_or(Duration::ZERO, |(_, window)| window);
        let counted = window + window / SENT_LATER;
        counted * (1_000 + self.timing.drift_per_mille) / 1_000
    }

    /// The ledger has changed: an entry was applied. Routers that were issued more
    /// than they were told of.
    pub fn applied(&mut self, now: Instant, ledger: &RepeatLedger) -> Vec<Holder> {
        self.proposed = false;
        let until = now + self.lasts();
        for (id, allowance) in ledger.iter() {
            let account = self.accounts.entry(id).or_insert_with(|| Account {
                key: allowance.key.clone(),
                issued: 0,
                over: allowance.spent_over,
                spent: allowance.spent_over,
                back: allowance.back,
                recent: VecDeque::new(),
                until,
                open: true,
                told: 0,
            });
            account.issued = allowance.issued;
        }
        self.accounts.retain(|id, _| ledger.get(*id).is_some());
        let accounts = self.accounts.values();
        let news = accounts.filter(|a| a.open && a.told < a.issued);
        self.news = news.map(|a| a.key.holder.clone()).collect();
        self.by_holder.clear();
        for (id, account) in &self.accounts {
            let holder = account.key.holder.clone();
            self.by_holder.entry(holder).or_default().push(*id);
        }
        self.count_anew();
        self.news.iter().cloned().collect()
    }

    /// A router told what it holds and wants.
    pub fn reported(&mut self, now: Instant, holder: &Holder, report: &RepeatReport) {
        let (most, window) = self.bound.unwrap_or((report.most, report.window));
        self.bound = Some((most.min(report.most), window.max(report.window)));
        for pool in &report.pools {
            let account = pool.allowance.and_then(|id| self.accounts.get_mut(&id));
            if let Some(account) = account.filter(|a| a.key.holder == *holder) {
                let before = account.counts();
                account.reported(now, pool);
                account.open &= pool.serves || account.counts() > 0;
                let counted = self.counted.entry(account.key.pool.clone()).or_default();
                *counted = (*counted + account.counts()).saturating_sub(before);
            }
        }
        let older = self.starts.insert(holder.vm.clone(), holder.clone());
        if let Some(older) = older.filter(|older| older != holder) {
            self.forget(&older);
        }
        let told = Told {
            at: now,
            pools: report.pools.clone(),
        };
        count_served(&mut self.serving, &told, true);
        if let Some(before) = self.told.insert(holder.clone(), told) {
            count_served(&mut self.serving, &before, false);
        }
    }

    /// Forgets what a start of a router told.
    fn forget(&mut self, holder: &Holder) {
        if let Some(told) = self.told.remove(holder) {
            count_served(&mut self.serving, &told, false);
        }
    }

    /// What a start of a router may use, with its allowances' ids.
    fn open_of(&self, holder: &Holder) -> impl Iterator<Item = (AllowanceId, &Account)> {
        let ids = self.by_holder.get(holder).into_iter().flatten();
        let accounts = ids.filter_map(|id| Some((*id, self.accounts.get(id)?)));
        accounts.filter(|(_, a)| a.open)
    }

    /// Repeats that a start of a router holds and has not used.
    pub fn unused_of(&self, holder: &Holder) -> u64 {
        self.open_of(holder).map(|(_, a)| a.unused()).sum()
    }

    /// What a router may use, for the answer that is sent to it now.
    pub fn grants(&mut self, now: Instant, holder: &Holder) -> Vec<RepeatGrant> {
        let until = now + self.lasts();
        self.age(now);
        let keeps = self.keeps(holder);
        self.news.remove(holder);
        let mine = self.open_of(holder);
        let grant = |(id, account): (AllowanceId, &Account)| {
            let pool = account.key.pool.clone();
            RepeatGrant {
                keep: keeps.get(&pool).copied().unwrap_or_default(),
                free_percent: self.free(&pool) * 100 / self.most().max(1),
                pool,
                allowance: id,
                issued: account.issued,
            }
        };
        let grants: Vec<RepeatGrant> = mine.map(grant).collect();
        for grant in &grants {
            if let Some(account) = self.accounts.get_mut(&grant.allowance) {
                account.until = until;
                account.told = account.issued;
            }
        }
        grants
    }

    /// Whether a router was issued more than it was told of.
    pub fn has_news(&self, holder: &Holder) -> bool {
        self.news.contains(holder)
    }

    /// Between two looks that go through all routers.
    fn look_every(&self) -> Duration {
        LOOK_EVERY.max(LOOK_A_ROUTER * self.told.len() as u32)
    }

    /// Rows that looks have gone through so far.
    pub fn looks(&self) -> u64 {
        self.looks
    }

    /// Takes what is over out of the counts, each [`Self::look_every`] at most: what
    /// is looked for later counts for longer.
    fn age(&mut self, now: Instant) {
        let every = self.look_every();
        if self.aged_at.is_some_and(|at| now.since(at) < every) {
            return;
        }
        self.aged_at = Some(now);
        self.looks += (self.accounts.len() + self.told.len()) as u64;
        let counted_for = self.counted_for();
        for account in self.accounts.values_mut() {
            account.age(now, counted_for);
        }
        self.count_anew();
        let lasts = self.lasts();
        let over = self.told.iter().filter(|(_, t)| now.since(t.at) >= lasts);
        let over: Vec<Holder> = over.map(|(holder, _)| holder.clone()).collect();
        for holder in over {
            self.forget(&holder);
            if self.starts.get(&holder.vm) == Some(&holder) {
                self.starts.remove(&holder.vm);
            }
        }
    }

    /// How many of a pool may still be issued.
    fn free(&self, pool: &str) -> u64 {
        let counted = self.counted.get(pool).copied().unwrap_or_default();
        self.most().saturating_sub(counted)
    }

    fn most(&self) -> u64 {
        self.bound.map_or(0, |(most, _)| most)
    }

    /// What each router that serves a pool holds ahead of need.
    fn standing(&self, pool: &str) -> u64 {
        let routers = self.serving.get(pool).copied().unwrap_or_default();
        let part = self.most() * STANDING_PERCENT / 100 / routers.max(1);
        part.min(STANDING_MOST)
    }

    fn keeps(&self, holder: &Holder) -> BTreeMap<PoolName, u64> {
        let pools = self.told.get(holder).map_or(&[][..], |t| &t.pools);
        let keep = |p: &PoolReport| {
            let standing = match self.free(&p.pool) < self.most() / SCARCE {
                true => self.standing(&p.pool).min(1),
                false => self.standing(&p.pool),
            };
            (p.pool.clone(), p.level.max(standing))
        };
        let served = pools.iter().filter(|p| p.serves);
        served.map(keep).collect()
    }

    /// What is to be agreed now, if anything.
    pub fn propose(&mut self, now: Instant, ledger: &RepeatLedger) -> Option<Vec<RepeatChange>> {
        let since = self.entry_at.map(|at| now.since(at));
        let looked = self.looked_at.map(|at| now.since(at));
        let every = self.look_every();
        let waits = since.is_some_and(|s| s < ENTRY_EVERY) || looked.is_some_and(|s| s < every);
        if self.proposed || self.bound.is_none() || waits {
            return None;
        }
        self.looked_at = Some(now);
        self.looks += self.told.len() as u64;
        self.age(now);
        let mut changes = self.issues();
        let over = self.overs(ledger);
        let behind: u64 = over.iter().map(|(_, more)| more).sum();
        let much = behind > 0 && since.is_none_or(|s| s >= OVER_EVERY);
        if changes.is_empty() && !much {
            return None;
        }
        changes.extend(over.into_iter().map(|(change, _)| change));
        self.proposed = true;
        self.entry_at = Some(now);
        Some(changes)
    }

    /// All pools that some router serves.
    fn pools(&self) -> BTreeSet<PoolName> {
        self.serving.keys().cloned().collect()
    }

    fn issues(&mut self) -> Vec<RepeatChange> {
        let mut changes = Vec::new();
        for pool in self.pools() {
            changes.extend(self.issue_pool(&pool));
        }
        if !changes.is_empty() {
            self.turn += 1;
        }
        changes
    }

    /// First those who hold none, with what is held ahead of need; then the others
    /// by what they lack, of what needn't be kept back.
    fn issue_pool(&self, pool: &str) -> Vec<RepeatChange> {
        let mut wants = self.wants(pool);
        let free = self.free(pool);
        if wants.is_empty() || free == 0 {
            return Vec::new();
        }
        let turn = self.turn % wants.len();
        wants.rotate_left(turn);
        let first = self.standing(pool).max(1);
        let has_none = |w: &Want| if w.unused == 0 { w.lacks.min(first) } else { 0 };
        let lacks: Vec<u64> = wants.iter().map(has_none).collect();
        let mut gets = shares(free, &lacks);
        let left = free - gets.iter().sum::<u64>();
        let left = left.saturating_sub(self.most() / KEPT_BACK);
        let more = wants.iter().zip(&gets).map(|(w, got)| w.lacks - got);
        let more = shares(left, &more.collect::<Vec<_>>());
        gets.iter_mut().zip(more).for_each(|(g, m)| *g += m);
        let issued = wants.into_iter().zip(gets).filter(|(_, count)| *count > 0);
        issued
            .map(|(want, count)| want.issue(pool, count))
            .collect()
    }

    /// Routers that want to hold more than they do.
    fn wants(&self, pool: &str) -> Vec<Want> {
        let standing = self.standing(pool);
        let open = self.accounts.iter();
        let open = open.filter(|(_, a)| a.open && a.key.pool == pool);
        let open: BTreeMap<&Holder, (&AllowanceId, &Account)> =
            open.map(|(id, a)| (&a.key.holder, (id, a))).collect();
        let mut wants = Vec::new();
        for (holder, told) in &self.told {
            let Some(report) = told.pools.iter().find(|p| p.serves && p.pool == pool) else {
                continue;
            };
            let open = open.get(holder);
            let unused = open.map_or(0, |(_, a)| a.unused());
            wants.push(Want {
                holder: holder.clone(),
                id: open.map(|(id, _)| **id),
                unused,
                lacks: report.level.max(standing).saturating_sub(unused),
            });
        }
        wants.retain(|w| w.lacks > 0);
        wants
    }

    /// What the ledger doesn't know yet to be over, and how much it is.
    fn overs(&mut self, ledger: &RepeatLedger) -> Vec<(RepeatChange, u64)> {
        let mut overs = Vec::new();
        for (id, account) in &self.accounts {
            let agreed = ledger.get(*id).map_or(0, |a| a.spent_over + a.back);
            let more = (account.over + account.back).saturating_sub(agreed);
            let change = match !account.open && account.counts() == 0 {
                true => RepeatChange::Close(*id),
                false if more > 0 => RepeatChange::Over {
                    id: *id,
                    spent: account.over,
                    back: account.back,
                },
                false => continue,
            };
            overs.push((change, more.max(1)));
        }
        overs
    }

    /// Counts for operators, by pool.
    pub fn counts(&self) -> Vec<RepeatCounts> {
        let counts = |pool: PoolName| {
            let of_pool = self.accounts.values().filter(|a| a.key.pool == pool);
            let of_pool: Vec<&Account> = of_pool.collect();
            RepeatCounts {
                most: self.most(),
                counts: of_pool.iter().map(|a| a.counts()).sum(),
                unused: of_pool.iter().map(|a| a.unused()).sum(),
                wanted: self.wants(&pool).iter().map(|w| w.lacks).sum(),
                routers: of_pool.iter().filter(|a| a.open).count(),
                pool,
            }
        };
        let mut pools = self.pools();
        pools.extend(self.counted.keys().cloned());
        pools.into_iter().map(counts).collect()
    }
}

/// Counts what a router told among those that serve its pools, or no longer does.
fn count_served(serving: &mut BTreeMap<PoolName, u64>, told: &Told, counts: bool) {
    for pool in told.pools.iter().filter(|p| p.serves) {
        let routers = serving.entry(pool.pool.clone()).or_default();
        *routers = match counts {
            true => *routers + 1,
            false => routers.saturating_sub(1),
        };
        if *routers == 0 {
            serving.remove(&pool.pool);
        }
    }
}

/// A router that wants to hold more.
struct Want {
    holder: Holder,
    id: Option<AllowanceId>,
    unused: u64,
    lacks: u64,
}

impl Want {
    fn issue(self, pool: &str, count: u64) -> RepeatChange {
        match self.id {
            Some(id) => RepeatChange::Issue { id, count },
            None => {
                let key = AllowanceKey {
                    holder: self.holder,
                    pool: pool.to_string(),
                };
                RepeatChange::Open { key, count }
            }
        }
    }
}
