//! What routers do about the word of targets: those that ask for it are left alone,
//! those that say that they leave are sent nothing new.

use anyhow::{Result, ensure};
use deckwind_fakes::Arrival;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How long a target asks to be left alone with each refusal: longer than the longest
/// time for which a router would avoid it by itself.
pub const REST: Duration = Duration::from_secs(5);

/// A request that was under way when the target spoke arrives within this time.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Requests that may come later in a rest; none may after the word of leaving.
const IN_A_REST: usize = 2;

/// How much later than their harm ends requests may arrive that it held up.
const HELD_UP: Duration = Duration::from_secs(2);

/// Spans of time in which something was wrong.
#[derive(Default)]
pub struct Spans(Mutex<Vec<(Instant, Instant)>>);

impl Spans {
    /// From now on for so long, and as long after it as requests may be held up.
    pub fn add(&self, length: Duration) {
        let now = Instant::now();
        let mut all = self.0.lock().expect("no holder panics");
        all.push((now, now + length + HELD_UP));
    }

    /// This moment, and nothing after it.
    pub fn add_now(&self) {
        let now = Instant::now();
        self.0.lock().expect("no holder panics").push((now, now));
    }

    pub(super) fn meet(&self, from: Instant, to: Instant) -> bool {
        let all = self.0.lock().expect("no holder panics");
        all.iter().any(|(start, end)| *start <= to && *end >= from)
    }
}

/// The id of a request that is sent to this router.
pub fn id_at(id: &str, router: usize) -> String {
    format!("{id}@{router}")
}

pub(super) fn router_of(request: &str) -> Option<usize> {
    let (_, router) = request.rsplit_once('@')?;
    router.parse().ok()
}

/// Checks what one target was sent. `routers` are the times at which each router was
/// killed, stopped or stood still: it need not know what it had been told. `harmed` is
/// when the target's connections were.
pub fn check(arrivals: &[Arrival], routers: &[Spans], harmed: &Spans) -> Result<()> {
    for told in arrivals {
        let Some(router) = router_of(&told.request) else {
            continue;
        };
        let later = |a: &&Arrival, until: Option<Duration>| {
            let since = a.at.saturating_duration_since(told.at);
            let (from, to) = (told.at.into_std(), a.at.into_std());
            let counts = since > UNDER_WAY && until.is_none_or(|u| since < u);
            let excused = routers[router].meet(from, to) || harmed.meet(from, to);
            counts && router_of(&a.request) == Some(router) && !excused
        };
        let all_later = |until| {
            let later = arrivals.iter().filter(|a| later(a, until));
            let after = |a: &Arrival| (a.request.clone(), a.at - told.at);
            later.map(after).collect::<Vec<_>>()
        };
        if let Some(rest) = told.rest {
            let sent = all_later(Some(rest));
            ensure!(sent.len() <= IN_A_REST, "{told:?}, then {sent:?}");
        }
        if told.leaves {
            let sent = all_later(None);
            ensure!(sent.is_empty(), "{told:?}, then {sent:?}");
        }
    }
    Ok(())
}
