//! How many routers share a bound that none of them enforces alone.
//!
//! A bound split by the number of routers holds only while every router that
//! has used its part within the window is counted by all the others. So a
//! router uses no part of it before the others can have heard of it, a smaller
//! number counts only once it has stood for a window, and a leader that has
//! just begun, which knows only who renewed since, can raise the number but not
//! lower it.

use crate::membership::RoutersLately;
use crate::time::Instant;
use std::time::Duration;

/// How late a router may hear of a higher number: a lease's length, since a
/// router without a lease sends nothing.
const HEARD_WITHIN: Duration = Duration::from_secs(3);

/// Longest time without a word of the leader after which the others have counted
/// this router all the while: well below the time for which the leader does.
const COUNTED_FOR: Duration = Duration::from_secs(8);

/// The number of routers, as one of them knows it.
#[derive(Clone, Debug)]
pub struct RouterCount {
    window: Duration,
    told: Option<Told>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    /// Since when the leader has told without a longer pause.
    since: Instant,
    /// When it last did.
    at: Instant,
    /// The number that counts.
    routers: u32,
    /// Until when a smaller one does not.
    until: Instant,
    /// Whether any leader since then knew all routers.
    complete: bool,
}

impl RouterCount {
    /// Of a router that starts; `window` is that of the bound.
    pub fn new(window: Duration) -> Self {
        Self { window, told: None }
    }

    /// The leader told of the routers.
    pub fn told(&mut self, now: Instant, lately: RoutersLately) {
        let fresh = Told {
            since: now,
            at: now,
            routers: lately.count,
            until: now + self.window,
            complete: lately.complete,
        };
        let told = match &mut self.told {
            Some(told) if now.since(told.at) <= COUNTED_FOR => told,
            before => before.insert(fresh),
        };
        told.at = now;
        told.complete |= lately.complete;
        let lowers = lately.complete && now >= told.until;
        if lately.count >= told.routers || lowers {
            told.routers = lately.count;
            told.until = now + self.window;
        }
    }

    /// How many routers share the bound; nothing while this one may not use its
    /// part.
    pub fn sharers(&self, now: Instant) -> Option<u32> {
        let told = self.told?;
        let counted = now.since(told.since) >= self.window + HEARD_WITHIN;
        (told.complete && counted).then_some(told.routers.max(1))
    }
}
