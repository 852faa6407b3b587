//! What targets say of themselves in their answers, whatever they answer.
//!
//! A target that turns a request away may ask this VM to leave it alone for a while;
//! one that is about to end says so in all its answers. Both are its own word, so both
//! outlast the request that heard them, are kept by life, and need no contact to
//! control replicas.

use crate::rate::Rate;
use crate::state::{Instance, Life};
use crate::time::Instant;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Addresses of which something is kept: more than there are targets (3,300 in two
/// years), a hundred bytes each. The one heard of longest ago goes.
const MOST: usize = 4_096;

/// Lives kept at one address: the last word of one that is over may come after the
/// first of the next.
const MOST_LIVES: usize = 2;

/// How long a word of leaving is kept of a target that is not known any more: ten times
/// as long as targets serve after such a word. One that is known is never forgotten.
const KEPT: Duration = Duration::from_secs(120);

/// What the head of an answer says of the target that wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// It wants no request of this VM for so long.
    pub rest: Option<Duration>,
    /// What should have told the rest, and can't be read.
    pub unreadable_rest: Option<String>,
    /// It is about to end, and takes nothing new.
    pub leaves: bool,
    /// It takes so many requests from all VMs together.
    pub limit: Option<Rate>,
    /// What should have told the limit, and can't be read.
    pub unreadable_limit: Option<String>,
}

/// What changed by a notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// It rests for longer than was known: until then.
    pub rests_until: Option<Instant>,
    /// It was not known that it leaves.
    pub leaves: bool,
}

#[derive(Clone, Debug)]
struct Said {
    life: Life,
    rests_until: Instant,
    leaves: bool,
    heard: Instant,
}

/// What targets have said, by address and life.
#[derive(Clone, Debug, Default)]
pub struct TargetNotices {
    by_address: HashMap<SocketAddr, Vec<Said>>,
}

impl TargetNotices {
    /// A target has answered. A shorter rest doesn't end a longer one: each was asked
    /// for by itself.
    pub fn hear(
        &mut self,
        now: Instant,
        address: SocketAddr,
        life: &Life,
        notice: &TargetNotice,
    ) -> Heard {
        if notice.rest.is_none() && !notice.leaves {
            return Heard::default();
        }
        let said = self.said_mut(now, address, life);
        said.heard = now;
        let until = now + notice.rest.unwrap_or_default();
        let longer = until > said.rests_until && until > now;
        let leaves = notice.leaves && !said.leaves;
        said.rests_until = said.rests_until.max(until);
        said.leaves |= notice.leaves;
        Heard {
            rests_until: longer.then_some(until),
            leaves,
        }
    }

    fn said_mut(&mut self, now: Instant, address: SocketAddr, life: &Life) -> &mut Said {
        if self.by_address.len() >= MOST && !self.by_address.contains_key(&address) {
            self.forget_oldest();
        }
        let lives = self.by_address.entry(address).or_default();
        if !lives.iter().any(|s| s.life == *life) {
            lives.truncate(MOST_LIVES - 1);
            let said = Said {
                life: life.clone(),
                rests_until: Instant::ZERO,
                leaves: false,
                heard: now,
            };
            lives.insert(0, said);
        }
        let known = lives.iter_mut().find(|s| s.life == *life);
        known.expect("it is there now")
    }

    fn forget_oldest(&mut self) {
        let heard = |lives: &[Said]| lives.iter().map(|s| s.heard).max();
        let oldest = self.by_address.iter().min_by_key(|(_, l)| heard(l));
        if let Some(address) = oldest.map(|(a, _)| *a) {
            self.by_address.remove(&address);
        }
    }

    fn said(&self, instance: &Instance) -> Option<&Said> {
        let lives = self.by_address.get(&instance.address)?;
        let is_it = |s: &&Said| s.life.id == instance.id && s.life.born == instance.born;
        lives.iter().find(is_it)
    }

    /// Until when it wants to be left alone; nothing if it doesn't.
    pub fn rests_until(&self, now: Instant, instance: &Instance) -> Option<Instant> {
        let until = self.said(instance)?.rests_until;
        (until > now).then_some(until)
    }

    /// Whether this life has said that it leaves.
    pub fn leaves(&self, instance: &Instance) -> bool {
        self.said(instance).is_some_and(|s| s.leaves)
    }

    /// Whether nothing new may be sent to this life at `now`.
    pub fn turns_away(&self, now: Instant, address: SocketAddr, life: &Life) -> bool {
        let lives = self.by_address.get(&address);
        let mut lives = lives.into_iter().flatten();
        lives.any(|s| s.life == *life && (s.leaves || s.rests_until > now))
    }

    /// Targets that rest now.
    pub fn resting(&self, now: Instant) -> usize {
        let rests = |lives: &&Vec<Said>| lives.iter().any(|s| s.rests_until > now);
        self.by_address.values().filter(rests).count()
    }

    /// Forgets rests that are over, and targets that are not known any more.
    pub fn forget(&mut self, now: Instant, known: impl Fn(&SocketAddr) -> bool) {
        self.by_address.retain(|address, lives| {
            let lasts = |s: &Said| known(address) || now.since(s.heard) < KEPT;
            lives.retain(|s| s.rests_until > now || (s.leaves && lasts(s)));
            !lives.is_empty()
        });
    }
}
