//! Loads and faults of the brief.

use deckwind_core::state::Priority;

/// A fault, and when it happens, seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// A quarter of the stages die.
    Dies {
        at_s: f64,
    },
    /// They freeze, but report their load.
    Freezes {
        at_s: f64,
    },
    /// They slow down to a tenth.
    Slows {
        at_s: f64,
    },
    /// The links of a data centre get a hundred times slower.
    LinkDegrades {
        at_s: f64,
    },
    /// A quarter of the VMs join only now.
    Join {
        at_s: f64,
    },
    /// Half of the targets die.
    HalfDie {
        at_s: f64,
    },
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub template: &'static str,
    pub account: &'static str,
    pub priority: Priority,
    /// Share of the bound that it asks for.
    pub share: f64,
    pub prompt: u32,
    pub answer: u32,
    /// Conversations that its requests belong to; a conversation shares all but
    /// the last block of its prompt.
    pub conversations: u32,
}

/// A load with a fault.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub classes: &'static [Class],
    pub fault: Fault,
    /// How long requests come, seconds.
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

const fn times(class: Class, factor: f64) -> Class {
    Class {
        share: class.share * factor,
        ..class
    }
}

impl Scenario {
    /// All scenarios.
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
        const GATE_LOAD: &[Class] = &[GATES, times(DRAFTS, 1.25)];
        const TWICE: &[Class] = &[GATES, times(ROSTERS, 1.6), times(SUMMARIES, 1.6)];
        const FIVE_TIMES: &[Class] = &[GATES, times(ROSTERS, 4.0), times(SUMMARIES, 4.2)];
        const HUGE_LOAD: &[Class] = &[HUGE, SMALL];
        const STEADY: &[Class] = &[times(ROSTERS, 0.7)];
        vec![
            scenario("steady", STEADY, Fault::None),
            scenario("dawn-burst", DAWN, Fault::None),
            scenario("gates-and-drafts", GATE_LOAD, Fault::None),
            scenario("overload-2x", TWICE, Fault::None),
            scenario("overload-5x", FIVE_TIMES, Fault::None),
            scenario("huge-account", HUGE_LOAD, Fault::None),
            scenario("stages-die", STEADY, Fault::Dies { at_s: 8.0 }),
            scenario("stages-freeze", STEADY, Fault::Freezes { at_s: 8.0 }),
            scenario("stages-slow", STEADY, Fault::Slows { at_s: 8.0 }),
            scenario("half-die", STEADY, Fault::HalfDie { at_s: 8.0 }),
            scenario("link-degrades", STEADY, Fault::LinkDegrades { at_s: 8.0 }),
            scenario("vms-join", DAWN, Fault::Join { at_s: 8.0 }),
        ]
    }
}
