//! Scenarios: loads combined with faults.

use deckwind_core::state::Priority;

/// Fault and the time at which it happens, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// A quarter of the targets crash.
    Crash { at_s: f64 },
    /// A quarter of the targets freeze, but still report their load.
    Freeze { at_s: f64 },
    /// A quarter of the targets slow down to a tenth of their speed.
    SlowDown { at_s: f64 },
    /// The latency of the links to one data centre rises a hundredfold.
    DegradeLink { at_s: f64 },
    /// A quarter of the targets are absent until this time.
    Join { at_s: f64 },
    /// Half of the targets crash.
    CrashHalf { at_s: f64 },
}

/// Class of requests with the same template, account and size.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub template: &'static str,
    pub account: &'static str,
    pub priority: Priority,
    /// Offered load as a share of the fleet's maximum throughput in good health.
    pub share: f64,
    /// Length of a prompt, in tokens.
    pub prompt: u32,
    /// Length of an answer, in tokens.
    pub answer: u32,
    /// Number of conversations to which the requests belong. Requests of a
    /// conversation share all but the last block of the prompt.
    pub conversations: u32,
}

/// Load with a fault.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub classes: &'static [Class],
    pub fault: Fault,
    /// Time for which requests arrive, in seconds.
    pub seconds: f64,
}

const ROSTERS: Class = Class {
    template: "rosters",
    account: "recife-care",
    priority: Priority::Roster,
    share: 0.7,
    prompt: 256,
    answer: 64,
    conversations: 400,
};

const SUMMARIES: Class = Class {
    template: "summaries",
    account: "fortaleza-care",
    priority: Priority::Summary,
    share: 0.5,
    ..ROSTERS
};

const DRAFTS: Class = Class {
    template: "drafts",
    account: "tram",
    priority: Priority::Draft,
    share: 0.8,
    ..ROSTERS
};

const GATES: Class = Class {
    template: "gates",
    account: "ferry",
    priority: Priority::Gate,
    share: 0.1,
    prompt: 16,
    answer: 4,
    conversations: 50,
};

const HUGE: Class = Class {
    account: "huge",
    share: 3.0,
    ..ROSTERS
};

const SMALL: Class = Class {
    account: "small",
    share: 0.1,
    ..ROSTERS
};

/// Returns a class with its load multiplied by a factor.
const fn scaled(class: Class, factor: f64) -> Class {
    Class {
        share: class.share * factor,
        ..class
    }
}

impl Scenario {
    /// Returns all scenarios.
    pub fn all() -> Vec<Scenario> {
        const fn scenario(name: &'static str, classes: &'static [Class], fault: Fault) -> Scenario {
            Scenario {
                name,
                classes,
                fault,
                seconds: 20.0,
            }
        }
        const DAWN: &[Class] = &[ROSTERS, SUMMARIES];
        const GATE_LOAD: &[Class] = &[GATES, scaled(DRAFTS, 1.25)];
        const TWICE: &[Class] = &[GATES, scaled(ROSTERS, 1.6), scaled(SUMMARIES, 1.6)];
        const FIVE_TIMES: &[Class] = &[GATES, scaled(ROSTERS, 4.0), scaled(SUMMARIES, 4.2)];
        const HUGE_LOAD: &[Class] = &[HUGE, SMALL];
        const STEADY: &[Class] = &[scaled(ROSTERS, 0.7)];
        vec![
            scenario("steady", STEADY, Fault::None),
            scenario("dawn-burst", DAWN, Fault::None),
            scenario("gates-and-drafts", GATE_LOAD, Fault::None),
            scenario("overload-2x", TWICE, Fault::None),
            scenario("overload-5x", FIVE_TIMES, Fault::None),
            scenario("huge-account", HUGE_LOAD, Fault::None),
            scenario("stages-die", STEADY, Fault::Crash { at_s: 8.0 }),
            scenario("stages-freeze", STEADY, Fault::Freeze { at_s: 8.0 }),
            scenario("stages-slow", STEADY, Fault::SlowDown { at_s: 8.0 }),
            scenario("half-die", STEADY, Fault::CrashHalf { at_s: 8.0 }),
            scenario("link-degrades", STEADY, Fault::DegradeLink { at_s: 8.0 }),
            scenario("vms-join", DAWN, Fault::Join { at_s: 8.0 }),
        ]
    }
}
