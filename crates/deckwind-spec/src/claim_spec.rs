//! Claims of one key by two routers that crash, resend and lose their leases.
//!
//! A command that was sent may be committed at any later time and more than
//! once; a reply may be taken late. A run is counted when a target takes the
//! request.

use crate::Spec;
use std::collections::BTreeSet;

const ROUTERS: usize = 2;

/// Rules that can be taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRules {
    /// The request is sent only after its claim was granted.
    pub claim_first: bool,
    /// A resend is told from another's try by its holder, not by boot alone.
    pub holder_in_resend: bool,
    /// What a holder that is gone had claimed stays taken.
    pub gone_stays_taken: bool,
    /// A claim is freed only by its holder, and only if it was not run.
    pub free_by_holder: bool,
    /// An outcome names the try that it ends: one that comes late or twice must
    /// not end a later try.
    pub try_in_outcome: bool,
}

impl ClaimRules {
    /// All rules.
    pub const ALL: ClaimRules = ClaimRules {
        claim_first: true,
        holder_in_resend: true,
        gone_stays_taken: true,
        free_by_holder: true,
        try_in_outcome: true,
    };
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Holder {
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
struct Row {
    holder: Holder,
    nonce: u8,
    status: Status,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Command {
    Claim(Holder, u8),
    Answered(Holder, u8),
    NotRun(Holder, u8),
    Gone(Holder),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Asked,
    Granted,
    Ran,
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Router {
    holder: Holder,
    nonce: u8,
    phase: Phase,
}

/// A state of the specification.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimState {
    row: Option<Row>,
    routers: [Router; ROUTERS],
    sent: BTreeSet<Command>,
    granted: BTreeSet<(Holder, u8)>,
    runs: u8,
}

/// The specification with its rules and bounds.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSpec {
    /// Rules in force.
    pub rules: ClaimRules,
    /// Tries of each boot.
    pub tries: u8,
    /// Restarts of each router.
    pub restarts: u8,
}

impl ClaimSpec {
    fn ask(&self, s: &ClaimState, i: usize) -> Option<ClaimState> {
        let r = s.routers[i];
        let mut n = (r.phase == Phase::Idle && r.nonce < self.tries).then(|| s.clone())?;
        let r = &mut n.routers[i];
        r.nonce += 1;
        r.phase = Phase::Asked;
        n.sent.insert(Command::Claim(r.holder, r.nonce));
        Some(n)
    }

    fn take_grant(&self, s: &ClaimState, i: usize) -> Option<ClaimState> {
        let r = s.routers[i];
        let granted = s.granted.contains(&(r.holder, r.nonce)) || !self.rules.claim_first;
        let mut n = (r.phase == Phase::Asked && granted).then(|| s.clone())?;
        n.routers[i].phase = Phase::Granted;
        Some(n)
    }

    fn send(&self, s: &ClaimState, i: usize, runs: bool) -> Option<ClaimState> {
        let mut n = (s.routers[i].phase == Phase::Granted).then(|| s.clone())?;
        n.routers[i].phase = if runs { Phase::Ran } else { Phase::Refused };
        n.runs += u8::from(runs);
        Some(n)
    }

    fn finish(&self, s: &ClaimState, i: usize) -> Option<ClaimState> {
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

    /// The router gives up waiting; its claim may still be committed.
    fn give_up(&self, s: &ClaimState, i: usize) -> Option<ClaimState> {
        let mut n = (s.routers[i].phase == Phase::Asked).then(|| s.clone())?;
        n.routers[i].phase = Phase::Idle;
        Some(n)
    }

    fn restart(&self, s: &ClaimState, i: usize) -> Option<ClaimState> {
        let r = s.routers[i];
        let mut n = (r.holder.boot < self.restarts).then(|| s.clone())?;
        n.sent.insert(Command::Gone(r.holder));
        n.routers[i] = Router {
            holder: Holder {
                boot: r.holder.boot + 1,
                ..r.holder
            },
            nonce: 0,
            phase: Phase::Idle,
        };
        Some(n)
    }

    /// The leader holds a router to be gone that only lost its lease.
    fn lose_lease(&self, s: &ClaimState, i: usize) -> Option<ClaimState> {
        let gone = Command::Gone(s.routers[i].holder);
        let mut n = (!s.sent.contains(&gone)).then(|| s.clone())?;
        n.sent.insert(gone);
        Some(n)
    }

    fn commit(&self, s: &ClaimState, command: Command) -> Option<ClaimState> {
        let mut n = s.clone();
        match command {
            Command::Claim(holder, nonce) => self.commit_claim(&mut n, holder, nonce),
            Command::Answered(holder, nonce) => {
                let its = |r: &&mut Row| r.holder == holder && r.nonce == nonce;
                if let Some(row) = n.row.as_mut().filter(its) {
                    row.status = Status::Answered;
                }
            }
            Command::NotRun(holder, nonce) => {
                let frees = |r: &Row| {
                    let same_try = r.nonce == nonce || !self.rules.try_in_outcome;
                    let mine = r.holder == holder && same_try && r.status != Status::Answered;
                    mine || !self.rules.free_by_holder
                };
                n.row = n.row.filter(|r| !frees(r));
            }
            Command::Gone(holder) => self.commit_gone(&mut n, holder),
        }
        (n != *s).then_some(n)
    }

    fn commit_claim(&self, n: &mut ClaimState, holder: Holder, nonce: u8) {
        let Some(row) = n.row else {
            let status = Status::InProgress;
            n.row = Some(Row {
                holder,
                nonce,
                status,
            });
            n.granted.insert((holder, nonce));
            return;
        };
        let same_holder = row.holder == holder
            || (!self.rules.holder_in_resend && row.holder.boot == holder.boot);
        if row.status == Status::InProgress && same_holder && row.nonce == nonce {
            n.granted.insert((holder, nonce));
        }
    }

    fn commit_gone(&self, n: &mut ClaimState, holder: Holder) {
        let its = |r: &Row| r.holder == holder && r.status == Status::InProgress;
        if !n.row.as_ref().is_some_and(its) {
            return;
        }
        if !self.rules.gone_stays_taken {
            n.row = None;
        } else if let Some(row) = &mut n.row {
            row.status = Status::Unknown;
        }
    }
}

impl Spec for ClaimSpec {
    type State = ClaimState;

    fn start(&self) -> ClaimState {
        let router = |router: u8| Router {
            holder: Holder { router, boot: 0 },
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

    fn next(&self, s: &ClaimState) -> Vec<(String, ClaimState)> {
        let mut out = Vec::new();
        let mut put = |name: String, n: Option<ClaimState>| out.extend(n.map(|n| (name, n)));
        for i in 0..ROUTERS {
            put(format!("router {i} asks for the claim"), self.ask(s, i));
            put(format!("router {i} takes the grant"), self.take_grant(s, i));
            put(
                format!("router {i} sends, the target runs it"),
                self.send(s, i, true),
            );
            put(
                format!("router {i} sends, the target refuses"),
                self.send(s, i, false),
            );
            put(format!("router {i} reports the outcome"), self.finish(s, i));
            put(format!("router {i} gives up waiting"), self.give_up(s, i));
            put(
                format!("router {i} is killed and restarts"),
                self.restart(s, i),
            );
            put(format!("router {i} loses its lease"), self.lose_lease(s, i));
        }
        for command in &s.sent {
            put(format!("committed: {command:?}"), self.commit(s, *command));
        }
        out
    }

    fn broken(&self, s: &ClaimState) -> Option<String> {
        (s.runs > 1).then(|| "the request ran twice".to_string())
    }
}
