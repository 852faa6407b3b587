//! Specification of tunnels: a router sends one request that must not run twice, directly
//! or through relays. Attempts to connect may overlap, bytes may arrive late, and relays
//! and connections break at any time.
//!
//! The answer has two pieces and ends with its connection, so that only the kind of that
//! end tells a whole answer from a cut one. The target closes or resets its connection; the
//! relay passes that on, gives the tunnel up by itself, or is gone. What the router takes as
//! ended must have been ended by the target.

use crate::Spec;
use crate::cases::Case;

/// Pieces of the answer.
const PIECES: u8 = 2;

/// Rules of the protocol, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TunnelRules {
    /// The request goes another way only if none of its bytes was handed over.
    pub only_unsent_goes_elsewhere: bool,
    /// Of attempts that overlap, only the first to connect sends the request.
    pub first_to_connect_sends: bool,
    /// A relay passes a connection that the target reset on as a reset stream.
    pub break_is_reset: bool,
    /// A relay that gives a tunnel up by itself resets the stream.
    pub given_up_is_reset: bool,
    /// The loss of the connection to the relay is an error.
    pub loss_is_error: bool,
    /// The end of a stream follows all bytes that the target sent.
    pub end_follows_bytes: bool,
}

impl TunnelRules {
    /// Enables all rules.
    pub const ALL: TunnelRules = TunnelRules {
        only_unsent_goes_elsewhere: true,
        first_to_connect_sends: true,
        break_is_reset: true,
        given_up_is_reset: true,
        loss_is_error: true,
        end_follows_bytes: true,
    };
}

/// Progress of one attempt, as the router sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Progress {
    Connecting,
    Connected,
    Sent,
    /// The stream has ended, and the answer was taken for whole.
    Finished,
    Failed,
}

/// What the target has done to its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum TargetEnd {
    Open,
    /// Closed after the whole answer.
    Closed,
    /// Reset at any time.
    Reset,
}

/// The router's stream, after all pieces that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum StreamEnd {
    Open,
    Finished,
    Reset,
    /// The relay is gone.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    /// Number of the race: attempts that overlapped before one of them had sent.
    race: u8,
    progress: Progress,
    sent: bool,
    arrived: bool,
    /// Pieces of the answer that the target has sent.
    answered: u8,
    /// Pieces of the answer that have reached the router.
    pieces: u8,
    target: TargetEnd,
    stream: StreamEnd,
}

impl Attempt {
    fn new(race: u8) -> Self {
        Attempt {
            race,
            progress: Progress::Connecting,
            sent: false,
            arrived: false,
            answered: 0,
            pieces: 0,
            target: TargetEnd::Open,
            stream: StreamEnd::Open,
        }
    }

    fn may_still_send(&self) -> bool {
        matches!(self.progress, Progress::Connecting | Progress::Connected)
    }
}

/// State of the tunnel specification.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TunnelState {
    attempts: Vec<Attempt>,
    runs: u8,
}

/// Specification of tunnels with its rules and bounds.
#[derive(Clone, Copy, Debug)]
pub struct TunnelSpec {
    /// Enabled rules.
    pub rules: TunnelRules,
    /// Maximum number of attempts, over all ways.
    pub attempts: usize,
}

impl TunnelSpec {
    /// Bounds explored in the tests.
    pub const SMALL: TunnelSpec = TunnelSpec {
        rules: TunnelRules::ALL,
        attempts: 4,
    };

    /// Starts an attempt another way: beside one that is still connecting, or after one
    /// that failed.
    fn start(&self, s: &TunnelState) -> Option<TunnelState> {
        let has_sent = s.attempts.iter().any(|a| a.sent);
        let is_answered = s.attempts.iter().any(|a| a.progress == Progress::Finished);
        let waits = s.attempts.iter().any(|a| a.progress == Progress::Sent);
        let may_start =
            !(is_answered || waits || self.rules.only_unsent_goes_elsewhere && has_sent);
        let mut n = (may_start && s.attempts.len() < self.attempts).then(|| s.clone())?;
        let running = s.attempts.iter().find(|a| a.may_still_send());
        let race = running.map_or(s.attempts.len() as u8, |a| a.race);
        n.attempts.push(Attempt::new(race));
        Some(n)
    }

    fn may_send(&self, s: &TunnelState, i: usize) -> bool {
        let race = s.attempts[i].race;
        let is_lost = s.attempts.iter().any(|a| a.race == race && a.sent);
        !(self.rules.first_to_connect_sends && is_lost)
    }

    /// Returns the steps of the router in attempt `i`.
    fn router_steps(&self, s: &TunnelState, i: usize) -> Vec<(String, TunnelState)> {
        let attempt = s.attempts[i];
        let step = |name: &str, change: &dyn Fn(&mut Attempt)| {
            let mut n = s.clone();
            change(&mut n.attempts[i]);
            (format!("attempt {i}: {name}"), n)
        };
        match attempt.progress {
            Progress::Connecting => vec![
                step("connects", &|a| a.progress = Progress::Connected),
                step("can't connect", &|a| a.progress = Progress::Failed),
            ],
            Progress::Connected if self.may_send(s, i) => vec![step("sends", &|a| {
                a.progress = Progress::Sent;
                a.sent = true;
            })],
            Progress::Connected => vec![step("is dropped", &|a| a.progress = Progress::Failed)],
            Progress::Sent => match self.seen_end(attempt.stream) {
                None if attempt.pieces < attempt.answered => {
                    vec![step("receives a piece", &|a| a.pieces += 1)]
                }
                None => Vec::new(),
                Some(seen) => vec![step("sees the end", &|a| a.progress = seen)],
            },
            Progress::Finished | Progress::Failed => Vec::new(),
        }
    }

    /// Returns what the router takes an end of its stream for.
    fn seen_end(&self, end: StreamEnd) -> Option<Progress> {
        match end {
            StreamEnd::Open => None,
            StreamEnd::Finished => Some(Progress::Finished),
            StreamEnd::Reset => Some(Progress::Failed),
            StreamEnd::Lost => match self.rules.loss_is_error {
                true => Some(Progress::Failed),
                false => Some(Progress::Finished),
            },
        }
    }

    /// Returns the steps of the target that serves attempt `i`.
    fn target_steps(&self, s: &TunnelState, i: usize) -> Vec<(String, TunnelState)> {
        let attempt = s.attempts[i];
        if !attempt.arrived || attempt.target != TargetEnd::Open {
            return Vec::new();
        }
        let step = |name: &str, change: &dyn Fn(&mut Attempt)| {
            let mut n = s.clone();
            change(&mut n.attempts[i]);
            (format!("target {i}: {name}"), n)
        };
        let next = match attempt.answered < PIECES {
            true => step("sends a piece", &|a| a.answered += 1),
            false => step("closes", &|a| a.target = TargetEnd::Closed),
        };
        vec![next, step("resets", &|a| a.target = TargetEnd::Reset)]
    }

    /// Returns the steps of the relay, or of the network, that carries attempt `i`.
    fn relay_steps(&self, s: &TunnelState, i: usize) -> Vec<(String, TunnelState)> {
        let attempt = s.attempts[i];
        if attempt.progress != Progress::Sent || attempt.stream != StreamEnd::Open {
            return Vec::new();
        }
        let step = |name: &str, end: StreamEnd| {
            let mut n = s.clone();
            n.attempts[i].stream = end;
            (format!("relay {i}: {name}"), n)
        };
        let reset_if = |rule: bool| match rule {
            true => StreamEnd::Reset,
            false => StreamEnd::Finished,
        };
        let mut steps = vec![
            step("gives up", reset_if(self.rules.given_up_is_reset)),
            step("is gone", StreamEnd::Lost),
        ];
        let has_all = attempt.pieces == attempt.answered || !self.rules.end_follows_bytes;
        match attempt.target {
            TargetEnd::Closed if has_all => {
                steps.push(step("passes the close on", StreamEnd::Finished));
            }
            TargetEnd::Reset => {
                let end = reset_if(self.rules.break_is_reset);
                steps.push(step("passes the reset on", end));
            }
            TargetEnd::Closed | TargetEnd::Open => {}
        }
        steps
    }

    /// The bytes of attempt `i` reach the target, perhaps after the router gave it up.
    fn arrive(&self, s: &TunnelState, i: usize) -> Option<TunnelState> {
        let attempt = s.attempts[i];
        let mut n = (attempt.sent && !attempt.arrived).then(|| s.clone())?;
        n.attempts[i].arrived = true;
        n.runs += 1;
        Some(n)
    }
}

impl Spec for TunnelSpec {
    type State = TunnelState;

    fn initial(&self) -> TunnelState {
        TunnelState::default()
    }

    fn successors(&self, s: &TunnelState) -> Vec<(String, TunnelState)> {
        let start = self.start(s);
        let mut steps: Vec<_> = start
            .map(|n| ("another attempt starts".to_string(), n))
            .into_iter()
            .collect();
        for i in 0..s.attempts.len() {
            steps.extend(self.router_steps(s, i));
            steps.extend(self.target_steps(s, i));
            steps.extend(self.relay_steps(s, i));
            let arrived = self.arrive(s, i);
            steps.extend(arrived.map(|n| (format!("attempt {i}: arrives"), n)));
        }
        steps
    }

    fn violation(&self, s: &TunnelState) -> Option<String> {
        if s.runs > 1 {
            return Some(RAN_TWICE.to_string());
        }
        let taken = || {
            s.attempts
                .iter()
                .filter(|a| a.progress == Progress::Finished)
        };
        if taken().any(|a| a.target != TargetEnd::Closed) {
            return Some(NOT_ENDED_BY_TARGET.to_string());
        }
        let is_cut = taken().any(|a| a.pieces < PIECES);
        is_cut.then(|| CUT_ANSWER_TAKEN.to_string())
    }
}

const RAN_TWICE: &str = "the request ran twice";
const CUT_ANSWER_TAKEN: &str = "a cut answer was taken for a whole one";
const NOT_ENDED_BY_TARGET: &str = "what was taken as ended was not ended by the target";

/// Returns the tunnel specification with each rule disabled in turn.
pub fn tunnel_cases() -> Vec<Case<TunnelSpec>> {
    let all = TunnelRules::ALL;
    let case = |disabled_rule, rules, violates| Case {
        disabled_rule,
        spec: TunnelSpec {
            rules,
            ..TunnelSpec::SMALL
        },
        violates,
    };
    vec![
        case(
            "going elsewhere only if nothing was sent",
            TunnelRules {
                only_unsent_goes_elsewhere: false,
                ..all
            },
            RAN_TWICE,
        ),
        case(
            "sending only on the first connection",
            TunnelRules {
                first_to_connect_sends: false,
                ..all
            },
            RAN_TWICE,
        ),
        case(
            "passing a break on as a reset",
            TunnelRules {
                break_is_reset: false,
                ..all
            },
            NOT_ENDED_BY_TARGET,
        ),
        case(
            "resetting a tunnel that is given up",
            TunnelRules {
                given_up_is_reset: false,
                ..all
            },
            NOT_ENDED_BY_TARGET,
        ),
        case(
            "taking the loss of the relay for an error",
            TunnelRules {
                loss_is_error: false,
                ..all
            },
            NOT_ENDED_BY_TARGET,
        ),
        case(
            "ending a stream after all bytes",
            TunnelRules {
                end_follows_bytes: false,
                ..all
            },
            CUT_ANSWER_TAKEN,
        ),
    ]
}
