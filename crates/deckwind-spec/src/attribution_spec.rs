//! Specification of the attribution of crashes: requests with a part at fault crash each target
//! that runs them, beside requests that share their other parts. Which traits are refused is
//! decided by [`culprits`] itself.
//!
//! Traits: a part at fault, a part that comes with it, and the content of each request. A target
//! that crashes may have just begun a sound request too.

use crate::Spec;
use crate::cases::Case;
use deckwind_core::state::{
    ContentDigest, Crash, Incarnation, PartId, RequestTrait, RequestTraits, RunProgress, Suspect,
    culprits,
};
use std::collections::BTreeMap;

/// Part on which each target crashes, and a sound one.
const AT_FAULT: PartId = PartId(1);
const SOUND: PartId = PartId(2);

/// Crashes that may happen until all requests with the part at fault are refused, in the worst
/// order: three under one content, three under requests in which a sound part came along each
/// time, and three under others.
const MAX_CRASHES: u8 = 9;

/// Number of times that one request is sent to targets.
const MAX_SENDS: usize = 3;

/// Rules of the attribution, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttributionRules {
    /// Parts are traits beside whole contents.
    pub count_parts: bool,
    /// A request that is served clears its traits.
    pub clear_by_serving: bool,
    /// Only requests with all traits of a group are refused.
    pub refuse_only_with_all: bool,
    /// A narrower trait explains the crashes of a wider one.
    pub narrower_explains: bool,
}

impl AttributionRules {
    /// Enables all rules.
    pub const ALL: AttributionRules = AttributionRules {
        count_parts: true,
        clear_by_serving: true,
        refuse_only_with_all: true,
        narrower_explains: true,
    };
}

/// State of the attribution specification.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AttributionState {
    /// Crashes by trait: number of the incarnation, and the runs there.
    rows: BTreeMap<RequestTrait, Vec<(u8, Vec<u8>)>>,
    /// Traits of which a request was served.
    served: Vec<RequestTrait>,
    crashes: u8,
    contents: u8,
    bystanders: u8,
    chance_crashes: u8,
    /// Whether a request without the part at fault was refused.
    has_refused_sound: bool,
}

/// Specification of the attribution with its rules and bounds.
#[derive(Clone, Copy, Debug)]
pub struct AttributionSpec {
    /// Enabled rules.
    pub rules: AttributionRules,
    /// Maximum number of sound requests that had just begun beside one at fault.
    pub bystanders: u8,
    /// Maximum number of targets that crash by themselves. The request there is then served by
    /// another one.
    pub chance_crashes: u8,
}

const TOO_MANY_CRASHES: &str = "more targets crashed than it takes to find the part at fault";
const SOUND_REFUSED: &str = "a request without the part at fault is refused";

fn content(number: u8) -> ContentDigest {
    ContentDigest::of("POST", "/x", None, &[number])
}

fn incarnation(number: u8) -> Incarnation {
    Incarnation::from(number.to_string().as_str())
}

impl AttributionSpec {
    /// All rules, with one bystander and three targets that crash by themselves.
    pub const SMALL: AttributionSpec = AttributionSpec {
        rules: AttributionRules::ALL,
        bystanders: 1,
        chance_crashes: 3,
    };

    /// Returns a request with these parts and one of its own.
    fn request(&self, number: u8, parts: &[PartId]) -> RequestTraits {
        let own = PartId(100 + u128::from(number));
        let parts = match self.rules.count_parts {
            true => [parts, &[own]].concat(),
            false => vec![own],
        };
        RequestTraits::new(content(number), None, &parts)
    }

    /// Returns the groups of traits that are refused.
    fn quarantined(&self, s: &AttributionState) -> Vec<Vec<RequestTrait>> {
        let mut suspects: BTreeMap<RequestTrait, Suspect> = BTreeMap::new();
        for t in &s.served {
            suspects.entry(*t).or_default().clear();
        }
        for (t, crashes) in &s.rows {
            let suspect = suspects.entry(*t).or_default();
            for (number, runs) in crashes {
                for run in runs {
                    let life = incarnation(*number);
                    let run = content(*run).into();
                    suspect.record(Crash::new(life, run, RunProgress::NoEvent, 0));
                }
            }
        }
        if self.rules.narrower_explains {
            return culprits(suspects.iter().map(|(t, s)| (*t, s)));
        }
        let reaches_threshold = suspects.into_iter().filter(|(_, s)| s.reaches_threshold());
        reaches_threshold.map(|(t, _)| vec![t]).collect()
    }

    fn is_refused(&self, s: &AttributionState, request: &RequestTraits) -> bool {
        let is_in = |group: &Vec<RequestTrait>| match self.rules.refuse_only_with_all {
            true => request.contains_all(group),
            false => group.iter().any(|t| request.all().contains(t)),
        };
        self.quarantined(s).iter().any(is_in)
    }

    /// A target crashes under these requests.
    fn crash(&self, s: &AttributionState, requests: &[(u8, RequestTraits)]) -> AttributionState {
        let mut n = s.clone();
        n.crashes += 1;
        for (number, request) in requests {
            n.contents = n.contents.max(number + 1);
            for t in request.all() {
                let row = n.rows.entry(*t).or_default();
                match row.iter_mut().find(|(life, _)| *life == n.crashes) {
                    Some((_, runs)) => runs.push(*number),
                    None => row.push((n.crashes, vec![*number])),
                }
            }
        }
        n
    }

    /// Steps with a request that has the part at fault.
    fn send_bad(&self, s: &AttributionState, parts: &[PartId]) -> Vec<AttributionState> {
        let number = s.contents;
        let bad = self.request(number, parts);
        if self.is_refused(s, &bad) {
            return Vec::new();
        }
        let mut next = vec![self.crash(s, &[(number, bad.clone())])];
        let beside = self.request(number + 1, &[SOUND]);
        if s.bystanders < self.bystanders && !self.is_refused(s, &beside) {
            let mut n = self.crash(s, &[(number, bad), (number + 1, beside)]);
            n.bystanders += 1;
            next.push(n);
        }
        next
    }

    /// The request that came last is sent again, if it had these parts.
    fn repeat(&self, s: &AttributionState, parts: &[PartId]) -> Option<AttributionState> {
        let number = s.contents.checked_sub(1)?;
        let again = self.request(number, parts);
        let with_both = self.request(number, &[AT_FAULT, SOUND]);
        let ran_with = |t: &RequestTrait| {
            let crashes = s.rows.get(t).into_iter().flatten();
            crashes.flat_map(|(_, runs)| runs).any(|run| *run == number)
        };
        let had = with_both.all().iter().filter(|t| ran_with(t));
        let is_same = had.eq(again.all());
        let sends = s.rows.get(&RequestTrait::Content(content(number)))?.len();
        let may_repeat = is_same && sends < MAX_SENDS && !self.is_refused(s, &again);
        may_repeat.then(|| self.crash(s, &[(number, again)]))
    }

    /// A sound request comes, and is served unless it is refused.
    fn send_sound(&self, s: &AttributionState) -> AttributionState {
        let mut n = s.clone();
        let sound = self.request(s.contents, &[SOUND]);
        if self.is_refused(s, &sound) {
            n.has_refused_sound = true;
            return n;
        }
        self.serve(&mut n, &sound);
        n
    }

    fn serve(&self, s: &mut AttributionState, request: &RequestTraits) {
        if !self.rules.clear_by_serving {
            return;
        }
        for t in request.all() {
            if s.rows.remove(t).is_some() && !s.served.contains(t) {
                s.served.push(*t);
            }
        }
    }

    /// A target that has just begun a sound request crashes by itself.
    fn crash_by_chance(&self, s: &AttributionState) -> Option<AttributionState> {
        let number = s.contents;
        let sound = self.request(number, &[SOUND]);
        if s.chance_crashes >= self.chance_crashes || self.is_refused(s, &sound) {
            return None;
        }
        let mut n = self.crash(s, &[(number, sound.clone())]);
        n.chance_crashes += 1;
        self.serve(&mut n, &sound);
        Some(n)
    }
}

impl Spec for AttributionSpec {
    type State = AttributionState;

    fn initial(&self) -> AttributionState {
        AttributionState::default()
    }

    fn successors(&self, s: &AttributionState) -> Vec<(String, AttributionState)> {
        let mut steps = Vec::new();
        for (name, parts) in [
            ("the part at fault", &[AT_FAULT][..]),
            ("both parts", &[AT_FAULT, SOUND][..]),
        ] {
            for n in self.send_bad(s, parts) {
                steps.push((format!("a request with {name}"), n));
            }
            let repeated = self.repeat(s, parts);
            steps.extend(repeated.map(|n| (format!("the last request again, with {name}"), n)));
        }
        let by_chance = self.crash_by_chance(s);
        steps.extend(by_chance.map(|n| ("a target crashes by itself".to_string(), n)));
        steps.push(("a sound request".to_string(), self.send_sound(s)));
        steps
    }

    fn violation(&self, s: &AttributionState) -> Option<String> {
        if s.crashes - s.chance_crashes > MAX_CRASHES {
            return Some(TOO_MANY_CRASHES.to_string());
        }
        s.has_refused_sound.then(|| SOUND_REFUSED.to_string())
    }
}

/// Returns the specification with each rule disabled in turn, and the invariant that is then
/// violated.
pub fn attribution_cases() -> Vec<Case<AttributionSpec>> {
    let all = AttributionRules::ALL;
    let case = |disabled_rule, rules, violates| Case {
        disabled_rule,
        spec: AttributionSpec {
            rules,
            ..AttributionSpec::SMALL
        },
        violates,
    };
    vec![
        case(
            "counting parts",
            AttributionRules {
                count_parts: false,
                ..all
            },
            TOO_MANY_CRASHES,
        ),
        case(
            "clearing by serving",
            AttributionRules {
                clear_by_serving: false,
                ..all
            },
            SOUND_REFUSED,
        ),
        case(
            "refusing only requests with all traits",
            AttributionRules {
                refuse_only_with_all: false,
                ..all
            },
            SOUND_REFUSED,
        ),
        case(
            "explaining by a narrower trait",
            AttributionRules {
                narrower_explains: false,
                ..all
            },
            SOUND_REFUSED,
        ),
    ]
}
