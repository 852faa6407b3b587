//! Specification of the trials of a quarantined content on which targets crash: routers request
//! them, the log grants each to one router process, and leaders and routers are lost. It says
//! how many targets crash, and that one runs at a time.
//!
//! Time is a step: the delay until the next trial passes. A run ends within that delay.

use crate::Spec;
use crate::cases::Case;

/// Number of routers.
const ROUTERS: usize = 2;

/// Rules of trials, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialRules {
    /// The log decides on a request, also if a leader has found the trial due before.
    pub log_decides: bool,
    /// A trial counts when it is granted, not when its crash is reported.
    pub count_grants: bool,
    /// A restarted router is another process, which holds no trial of the one before.
    pub tell_processes_apart: bool,
    /// A router may use a trial for less time after its request than passes until the next one.
    pub window_within_delay: bool,
    /// A router uses a trial once.
    pub use_once: bool,
}

impl TrialRules {
    /// Enables all rules.
    pub const ALL: TrialRules = TrialRules {
        log_decides: true,
        count_grants: true,
        tell_processes_apart: true,
        window_within_delay: true,
        use_once: true,
    };
}

/// A router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TrialRouter {
    process: u8,
    /// Number of its last request, and whether that is recent.
    requests: u8,
    is_recent: bool,
    /// The last trial that it took over, and whether it may still use it.
    taken_over: u8,
    may_use: bool,
    is_running: bool,
    /// Whether it has a crash to report.
    has_report: bool,
}

/// Process of a router, and number of its request.
type Proposal = (u8, u8);

/// State of the specification of trials.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TrialState {
    /// Number of the last trial in the log, and its router and process.
    trial: u8,
    holder: (usize, Proposal),
    /// Number of trials that count.
    counted: u8,
    /// Whether the delay since the last one has passed.
    is_due: bool,
    /// Requests that a leader found due and proposed, by router. They outlive the leader.
    proposed: [Option<Proposal>; ROUTERS],
    routers: [TrialRouter; ROUTERS],
    crashes: u8,
    deaths: u8,
}

/// Specification of trials with its rules and bounds.
#[derive(Clone, Copy, Debug)]
pub struct TrialSpec {
    /// Enabled rules.
    pub rules: TrialRules,
    /// Maximum number of trials in a quarantine.
    pub trials: u8,
    /// Maximum number of router processes that die.
    pub deaths: u8,
}

const TOO_MANY_CRASHES: &str = "more targets crashed than there are trials";
const TWO_AT_ONCE: &str = "two routers run the content at the same time";

impl TrialSpec {
    /// All rules, with two trials and two routers that die.
    pub const SMALL: TrialSpec = TrialSpec {
        rules: TrialRules::ALL,
        trials: 2,
        deaths: 2,
    };

    fn is_due(&self, s: &TrialState) -> bool {
        s.is_due && s.counted < self.trials
    }

    /// The log grants a proposed trial, or not.
    fn grant(&self, s: &TrialState, router: usize, proposal: Proposal) -> TrialState {
        let mut n = s.clone();
        n.proposed[router] = None;
        if self.is_due(s) || !self.rules.log_decides {
            n.trial += 1;
            n.holder = (router, proposal);
            n.counted += u8::from(self.rules.count_grants);
            n.is_due = false;
        }
        n
    }

    /// A router receives the last trial.
    fn receive(&self, s: &TrialState, router: usize) -> TrialState {
        let mut n = s.clone();
        let (holder, (process, request)) = s.holder;
        let r = &mut n.routers[router];
        let is_own = process == r.process || !self.rules.tell_processes_apart;
        let is_recent = (request == r.requests && r.is_recent) || !self.rules.window_within_delay;
        r.may_use = holder == router && is_own && is_recent;
        r.taken_over = s.trial;
        n
    }

    fn crash(&self, s: &TrialState, router: usize) -> TrialState {
        let mut n = s.clone();
        n.crashes += 1;
        n.routers[router].is_running = false;
        n.routers[router].has_report = true;
        n
    }

    /// A router process dies, with what it has not reported. Its target has crashed all the
    /// same.
    fn die(&self, s: &TrialState, router: usize) -> TrialState {
        let mut n = s.clone();
        n.deaths += 1;
        n.crashes += u8::from(s.routers[router].is_running);
        n.routers[router] = TrialRouter {
            process: s.routers[router].process + 1,
            ..TrialRouter::default()
        };
        n
    }

    /// The delay until the next trial passes.
    fn pass_delay(&self, s: &TrialState) -> TrialState {
        let mut n = s.clone();
        n.is_due = true;
        if self.rules.window_within_delay {
            for r in &mut n.routers {
                (r.may_use, r.is_recent) = (false, false);
            }
        }
        n
    }

    fn steps_of(&self, s: &TrialState, router: usize) -> Vec<(&'static str, TrialState)> {
        let r = s.routers[router];
        let mut steps = Vec::new();
        let mut step = |name, n| steps.push((name, n));
        if self.is_due(s) && s.proposed[router].is_none() && r.requests < self.trials {
            let mut n = s.clone();
            n.routers[router].requests += 1;
            n.routers[router].is_recent = true;
            n.proposed[router] = Some((r.process, r.requests + 1));
            step("a leader proposes a trial", n);
        }
        if let Some(proposal) = s.proposed[router] {
            step("the log decides", self.grant(s, router, proposal));
        }
        if r.taken_over < s.trial {
            step("it receives the list", self.receive(s, router));
        }
        if r.may_use && !r.is_running {
            let mut n = s.clone();
            n.routers[router].is_running = true;
            n.routers[router].may_use = !self.rules.use_once;
            step("it runs the content", n);
        }
        if r.is_running {
            step("the target crashes", self.crash(s, router));
        }
        if r.has_report {
            let mut n = s.clone();
            n.routers[router].has_report = false;
            n.counted += u8::from(!self.rules.count_grants);
            step("it reports the crash", n);
        }
        if s.deaths < self.deaths {
            step("it dies and restarts", self.die(s, router));
        }
        steps
    }
}

impl Spec for TrialSpec {
    type State = TrialState;

    fn initial(&self) -> TrialState {
        TrialState::default()
    }

    fn successors(&self, s: &TrialState) -> Vec<(String, TrialState)> {
        let mut next = Vec::new();
        for router in 0..ROUTERS {
            let steps = self.steps_of(s, router).into_iter();
            next.extend(steps.map(|(name, n)| (format!("router {router}: {name}"), n)));
        }
        let is_running = s.routers.iter().any(|r| r.is_running);
        if !s.is_due && !is_running {
            next.push(("the delay passes".to_string(), self.pass_delay(s)));
        }
        next
    }

    fn violation(&self, s: &TrialState) -> Option<String> {
        if s.crashes > self.trials {
            return Some(TOO_MANY_CRASHES.to_string());
        }
        let running = s.routers.iter().filter(|r| r.is_running).count();
        (running > 1).then(|| TWO_AT_ONCE.to_string())
    }
}

/// Returns the specification with each rule disabled in turn, and the invariant that is then
/// violated.
pub fn trial_cases() -> Vec<Case<TrialSpec>> {
    let all = TrialRules::ALL;
    let case = |disabled_rule, rules, violates| Case {
        disabled_rule,
        spec: TrialSpec {
            rules,
            ..TrialSpec::SMALL
        },
        violates,
    };
    vec![
        case(
            "the decision of the log",
            TrialRules {
                log_decides: false,
                ..all
            },
            TWO_AT_ONCE,
        ),
        case(
            "counting grants",
            TrialRules {
                count_grants: false,
                ..all
            },
            TOO_MANY_CRASHES,
        ),
        case(
            "telling processes of a router apart",
            TrialRules {
                tell_processes_apart: false,
                ..all
            },
            TWO_AT_ONCE,
        ),
        case(
            "a window within the delay",
            TrialRules {
                window_within_delay: false,
                ..all
            },
            TWO_AT_ONCE,
        ),
        case(
            "using a trial once",
            TrialRules {
                use_once: false,
                ..all
            },
            TOO_MANY_CRASHES,
        ),
    ]
}
