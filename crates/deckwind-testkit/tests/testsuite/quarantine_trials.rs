//! Trials of quarantined contents, in virtual time: a sound content that was quarantined by
//! chance is served again soon, and a poisonous one crashes few targets more. The decisions
//! are those of the routers and of the replicated state; targets and messages are modelled.

use crate::quarantine::{apply, content, incarnation, quarantined};
use deckwind_core::routes::{InterruptedRuns, SendVerdict};
use deckwind_core::state::{RequestTraits, StateMachine};
use deckwind_core::time::Instant;
use yare::parameterized;

const START_MS: u64 = 100_000;

/// Interval between two requests for the content, at the routers in turn.
const REQUEST_MS: u64 = 100;

/// Time from sending a request to the last event of its answer.
const LAST_EVENT_MS: u64 = 700;

/// Time from sending a poison request to the crash of its target.
const CRASH_AFTER_MS: u64 = 100;

/// Time from a crash until routers know of it, and from a report until they know what is
/// agreed.
const CRASH_KNOWN_MS: u64 = 150;
const AGREED_MS: u64 = 90;

/// Number of crashes after which a content is quarantined.
const CRASHES: u64 = 3;

#[derive(Clone, Copy)]
enum Event {
    Request,
    Served(usize),
    Crash(usize, u64),
    CrashKnown(u64),
    Exchange,
}

/// Routers that are asked for one content, and the state that they agree on.
struct Model {
    request: RequestTraits,
    /// Whether targets crash on the content.
    is_poison: bool,
    now_ms: u64,
    events: Vec<(u64, Event)>,
    routers: Vec<InterruptedRuns>,
    state: StateMachine,
    requests: u64,
    crashes: u64,
    /// Times at which answers were whole.
    served_at: Vec<u64>,
}

impl Model {
    fn new(routers: usize, is_poison: bool) -> Self {
        Self {
            request: content("popular").into(),
            is_poison,
            now_ms: START_MS,
            events: vec![(START_MS, Event::Exchange)],
            routers: vec![InterruptedRuns::default(); routers],
            state: StateMachine::default(),
            requests: 0,
            crashes: 0,
            served_at: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.events.push((self.now_ms + after_ms, event));
    }

    /// Runs until this time after the start.
    fn run_until(&mut self, until_ms: u64) {
        while let Some(next) = (0..self.events.len()).min_by_key(|i| self.events[*i].0)
            && self.events[next].0 < START_MS + until_ms
        {
            let (at, event) = self.events.remove(next);
            self.now_ms = at;
            self.handle(event);
        }
        self.now_ms = START_MS + until_ms;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => {
                let router = self.requests as usize % self.routers.len();
                self.requests += 1;
                self.schedule(REQUEST_MS, Event::Request);
                if self.begin(router) {
                    match self.is_poison {
                        true => self.schedule(CRASH_AFTER_MS, Event::Crash(router, self.requests)),
                        false => self.schedule(LAST_EVENT_MS, Event::Served(router)),
                    }
                }
            }
            Event::Served(router) => {
                let now = self.now();
                self.routers[router].record_served(now, &self.request);
                self.served_at.push(self.now_ms - START_MS);
            }
            Event::Crash(router, target) => self.crash(router, target),
            Event::CrashKnown(target) => {
                let (now, life) = (self.now(), incarnation(&target.to_string()));
                for router in &mut self.routers {
                    router.record_ended_incarnations(now, vec![life.clone()]);
                }
            }
            Event::Exchange => {
                self.exchange();
                self.schedule(AGREED_MS, Event::Exchange);
            }
        }
    }

    /// Returns whether the router sends the request to a target.
    fn begin(&mut self, router: usize) -> bool {
        let now = self.now();
        self.routers[router].verdict(now, &self.request) == SendVerdict::Send
    }

    /// A target crashes while it has just begun to run the request for this router.
    fn crash(&mut self, router: usize, target: u64) {
        self.crashes += 1;
        let (now, life) = (self.now(), incarnation(&target.to_string()));
        self.routers[router].record_interrupted(now, &self.request, &life, None);
        self.schedule(CRASH_KNOWN_MS, Event::CrashKnown(target));
    }

    /// Routers report to the leader, and receive what is agreed.
    fn exchange(&mut self) {
        for router in 0..self.routers.len() {
            let changes = self.routers[router].take_unreported_changes();
            if !changes.is_empty() {
                apply(&mut self.state, self.now_ms, changes);
            }
        }
        let now = self.now();
        let list = self.state.configuration().suspects();
        for router in &mut self.routers {
            router.set_agreed(now, list.clone());
        }
    }

    /// Three targets crash by themselves while routers have just begun a run of the content.
    /// It is asked for all the time from then on.
    fn quarantine_by_chance(&mut self) {
        for crash in 0..CRASHES {
            let router = crash as usize % self.routers.len();
            self.crash(router, 1_000_000 + crash);
        }
        self.run_until(2 * CRASH_KNOWN_MS);
        assert_eq!(quarantined(&self.state), 1);
        self.schedule(0, Event::Request);
    }
}

/// Time within which a content that was quarantined by chance is served again: a fraction of
/// the quarantine, and less than callers' systems take to recover from other faults.
const SERVED_AGAIN_MS: u64 = 20_000;

/// Guards against a sound content that all callers ask for and that was refused for an hour:
/// three targets crashed by themselves while runs of it had just begun, and none of it was
/// served in between.
#[parameterized(
    one_router = { 1 },
    two_routers = { 2 },
    nine_routers = { 9 },
)]
fn a_sound_content_is_served_again_soon(routers: usize) {
    let mut model = Model::new(routers, false);
    model.quarantine_by_chance();
    model.run_until(SERVED_AGAIN_MS);
    let is_served = !model.served_at.is_empty();
    assert!(is_served, "all of {} requests are refused", model.requests);
    assert_eq!(quarantined(&model.state), 0);
    let (now, request) = (model.now(), model.request.clone());
    for router in &mut model.routers {
        assert_eq!(router.verdict(now, &request), SendVerdict::Send);
    }
}
