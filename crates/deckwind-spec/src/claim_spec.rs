//! Specification of claims: two routers claim the same idempotency key, crash,
//! resend and lose their leases.
//!
//! A command that was sent can be committed at any later time and more than once,
//! and a reply can be received late. A run is counted when a target accepts the
//! request.

use crate::Spec;
use std::collections::BTreeSet;

const ROUTERS: usize = 2;

/// Rules of the protocol, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRules {
    /// The request is sent only after its claim was granted.
    pub claim_before_send: bool,
    /// A resent claim is recognized by its holder (router and boot), not by the boot
    /// number alone.
    pub match_holder_of_resend: bool,
    /// The claim of a holder that is gone is kept.
    pub keep_claim_of_lost_holder: bool,
    /// A claim is released only by its holder, and only if the request did not run.
    pub release_by_holder_only: bool,
    /// An outcome applies only to the attempt that it names: one that arrives late
    /// or twice must not end a later attempt.
    pub match_attempt_of_outcome: bool,
}

impl ClaimRules {
    /// Enables all rules.
    pub const ALL: ClaimRules = ClaimRules {
        claim_before_send: true,
        match_holder_of_resend: true,
        keep_claim_of_lost_holder: true,
        release_by_holder_only: true,
        match_attempt_of_outcome: true,
    };
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct RouterProcess {
    router: u8,
    boot: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Status {
    InProgress,
    Answered,
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ClaimRow {
    holder: RouterProcess,
    nonce: u8,
    status: Status,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Command {
    Claim(RouterProcess, u8),
    Answered(RouterProcess, u8),
    NotRun(RouterProcess, u8),
    HolderGone(RouterProcess),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    ClaimSent,
    Granted,
    Ran,
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Router {
    holder: RouterProcess,
    nonce: u8,
    phase: Phase,
}

/// State of the claim specification.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimState {
    row: Option<ClaimRow>,
    routers: [Router; ROUTERS],
    sent: BTreeSet<Command>,
    granted: BTreeSet<(RouterProcess, u8)>,
    runs: u8,
}

/// Specification of claims with its rules and bounds.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSpec {
    /// Enabled rules.
    pub rules: ClaimRules,
    /// Maximum number of attempts per boot of a router.
    pub attempts: u8,
    /// Maximum number of restarts of each router.
    pub restarts: u8,
}

impl ClaimSpec {
    fn send_claim(&self, s: &ClaimState, i: usize) -> Option<ClaimState> {
        let r = s.routers[i];
        let mut n = (r.phase == Phase::Idle && r.nonce < self.attempts).then(|| s.clone())?;
        let r = &mut n.routers[i];
        r.nonce += 1;
        r.phase = Phase::ClaimSent;
        n.sent.insert(Command::Claim(r.holder, r.nonce));
        Some(n)
    }

    fn receive_grant(&self, s: &ClaimState, i: usize) -> Option<ClaimState> {
        let r = s.routers[i];
        let granted = s.granted.contains(&(r.holder, r.nonce)) || !self.rules.claim_before_send;
        let mut n = (r.phase == Phase::ClaimSent && granted).then(|| s.clone())?;
        n.routers[i].phase = Phase::Granted;
        Some(n)
    }

    fn send_request(&self, s: &ClaimState, i: usize, runs: bool) -> Option<ClaimState> {
        let mut n = (s.routers[i].phase == Phase::Granted).then(|| s.clone())?;
        n.routers[i].phase = if runs { Phase::Ran } else { Phase::Refused };
        n.runs += u8::from(runs);
        Some(n)
    }

    fn report_outcome(&self, s: &ClaimState, i: usize) -> Option<ClaimState> {
        let r = s.routers[i];
        let command = match r.phase {
            Phase::Ran => Command::Answered(r.holder, r.nonce),
            Phase::Refused => Command::NotRun(r.holder, r.nonce),
            _ => return None,
        };
        let mut n = s.clone();
        n.routers[i].phase = Phase::Idle;
        n.sent.insert(command);
        Some(n)
    }

    /// Ends the wait of a router; its claim can still be committed.
    fn time_out(&self, s: &ClaimState, i: usize) -> Option<ClaimState> {
        let mut n = (s.routers[i].phase == Phase::ClaimSent).then(|| s.clone())?;
        n.routers[i].phase = Phase::Idle;
        Some(n)
    }

    fn restart(&self, s: &ClaimState, i: usize) -> Option<ClaimState> {
        let r = s.routers[i];
        let mut n = (r.holder.boot < self.restarts).then(|| s.clone())?;
        n.sent.insert(Command::HolderGone(r.holder));
        n.routers[i] = Router {
            holder: RouterProcess {
                boot: r.holder.boot + 1,
                ..r.holder
            },
            nonce: 0,
            phase: Phase::Idle,
        };
        Some(n)
    }

    /// Makes the leader treat a running router that lost its lease as gone.
    fn lose_lease(&self, s: &ClaimState, i: usize) -> Option<ClaimState> {
        let gone = Command::HolderGone(s.routers[i].holder);
        let mut n = (!s.sent.contains(&gone)).then(|| s.clone())?;
        n.sent.insert(gone);
        Some(n)
    }

    fn commit(&self, s: &ClaimState, command: Command) -> Option<ClaimState> {
        let mut n = s.clone();
        match command {
            Command::Claim(holder, nonce) => self.commit_claim(&mut n, holder, nonce),
            Command::Answered(holder, nonce) => {
                let is_its_claim = |r: &&mut ClaimRow| r.holder == holder && r.nonce == nonce;
                if let Some(row) = n.row.as_mut().filter(is_its_claim) {
                    row.status = Status::Answered;
                }
            }
            Command::NotRun(holder, nonce) => {
                let releases = |r: &ClaimRow| {
                    let same_attempt = r.nonce == nonce || !self.rules.match_attempt_of_outcome;
                    let by_holder =
                        r.holder == holder && same_attempt && r.status != Status::Answered;
                    by_holder || !self.rules.release_by_holder_only
                };
                n.row = n.row.filter(|r| !releases(r));
            }
            Command::HolderGone(holder) => self.commit_holder_gone(&mut n, holder),
        }
        (n != *s).then_some(n)
    }

    fn commit_claim(&self, n: &mut ClaimState, holder: RouterProcess, nonce: u8) {
        let Some(row) = n.row else {
            let status = Status::InProgress;
            n.row = Some(ClaimRow {
                holder,
                nonce,
                status,
            });
            n.granted.insert((holder, nonce));
            return;
        };
        let same_holder = row.holder == holder
            || (!self.rules.match_holder_of_resend && row.holder.boot == holder.boot);
        if row.status == Status::InProgress && same_holder && row.nonce == nonce {
            n.granted.insert((holder, nonce));
        }
    }

    fn commit_holder_gone(&self, n: &mut ClaimState, holder: RouterProcess) {
        let is_its_claim = |r: &ClaimRow| r.holder == holder && r.status == Status::InProgress;
        if !n.row.as_ref().is_some_and(is_its_claim) {
            return;
        }
        if !self.rules.keep_claim_of_lost_holder {
            n.row = None;
        } else if let Some(row) = &mut n.row {
            row.status = Status::Unknown;
        }
    }
}

impl Spec for ClaimSpec {
    type State = ClaimState;

    fn initial(&self) -> ClaimState {
        let router = |router: u8| Router {
            holder: RouterProcess { router, boot: 0 },
            nonce: 0,
            phase: Phase::Idle,
        };
        ClaimState {
            row: None,
            routers: [router(0), router(1)],
            sent: BTreeSet::new(),
            granted: BTreeSet::new(),
            runs: 0,
        }
    }

    fn successors(&self, s: &ClaimState) -> Vec<(String, ClaimState)> {
        let mut out = Vec::new();
        let mut push = |name: String, n: Option<ClaimState>| out.extend(n.map(|n| (name, n)));
        for i in 0..ROUTERS {
            push(format!("router {i} sends its claim"), self.send_claim(s, i));
            push(
                format!("router {i} receives the grant"),
                self.receive_grant(s, i),
            );
            push(
                format!("router {i} sends the request, the target runs it"),
                self.send_request(s, i, true),
            );
            push(
                format!("router {i} sends the request, the target refuses it"),
                self.send_request(s, i, false),
            );
            push(
                format!("router {i} reports the outcome"),
                self.report_outcome(s, i),
            );
            push(format!("router {i} times out"), self.time_out(s, i));
            push(
                format!("router {i} is killed and restarts"),
                self.restart(s, i),
            );
            push(format!("router {i} loses its lease"), self.lose_lease(s, i));
        }
        for command in &s.sent {
            push(
                format!("{command:?} is committed"),
                self.commit(s, *command),
            );
        }
        out
    }

    fn violation(&self, s: &ClaimState) -> Option<String> {
        (s.runs > 1).then(|| "the request ran twice".to_string())
    }
}
