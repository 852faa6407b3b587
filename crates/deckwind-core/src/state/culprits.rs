//! Chooses the traits that explain the crashes of several targets: see `attribution` for what
//! counts as evidence.

use super::attribution::{Crash, Evidence, RunKey, RunProgress, Suspect};
use super::incarnations::Incarnation;
use super::quarantine::QUARANTINE_THRESHOLD;
use super::request_trait::RequestTrait;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

/// Number of crashes under runs without an event that make a trait a likely cause of each of
/// them: one may be chance.
const LIKELY_CRASHES: usize = 2;

/// Likely causes of crashes: the runs without an event there of each trait that is at several
/// such crashes. A poison request crashes its targets as they begin to run it.
struct LikelyCauses<'a>(HashMap<&'a Incarnation, Vec<&'a [RunKey]>>);

impl<'a> LikelyCauses<'a> {
    fn new(suspects: &[Candidate<'a>]) -> Self {
        let mut causes: HashMap<&Incarnation, Vec<&[RunKey]>> = HashMap::new();
        for (_, suspect) in suspects {
            let without_event = suspect
                .crashes()
                .iter()
                .filter(|c| c.progress() == RunProgress::NoEvent);
            if without_event.clone().count() >= LIKELY_CRASHES {
                for crash in without_event {
                    causes.entry(crash.life()).or_default().push(crash.runs());
                }
            }
        }
        Self(causes)
    }

    /// Returns whether the runs with the trait are an unlikely cause of a crash: all were in
    /// flow, or all had begun and other runs are a likelier cause.
    fn is_unlikely(&self, crash: &Crash) -> bool {
        let is_other = |run: &RunKey| crash.runs().binary_search(run).is_err();
        let mut causes = self.0.get(crash.life()).into_iter().flatten();
        match crash.progress() {
            RunProgress::NoEvent => false,
            RunProgress::Begun => causes.any(|runs| runs.iter().all(is_other)),
            RunProgress::InFlow => true,
        }
    }

    /// Returns whether the crashes of a trait suffice to quarantine it. One of which it is an
    /// unlikely cause counts half.
    fn suffice(&self, suspect: &Suspect) -> bool {
        let weaker = suspect.crashes().iter().filter(|c| self.is_unlikely(c));
        2 * suspect.crashes().len() - weaker.count() >= 2 * QUARANTINE_THRESHOLD
    }
}

/// A trait with its crashes.
type Candidate<'a> = (RequestTrait, &'a Suspect);

fn is_part(suspect: RequestTrait) -> bool {
    !matches!(suspect, RequestTrait::Content(_))
}

/// Removes and returns the traits whose crashes narrower ones explain: either several parts
/// together, or one content or account. A second one with the same part is no coincidence.
fn remove_wide<'a>(candidates: &mut Vec<Candidate<'a>>) -> Vec<Candidate<'a>> {
    let mut by_run: HashMap<(&Incarnation, RunKey), Vec<usize>> = HashMap::new();
    for (i, (_, suspect)) in candidates.iter().enumerate() {
        for run in suspect.all_runs() {
            by_run.entry(run).or_default().push(i);
        }
    }
    let is_wide = |(_, suspect): &Candidate| {
        let sharing = suspect.all_runs().filter_map(|run| by_run.get(&run));
        if sharing.clone().all(|sharing| sharing.len() == 1) {
            return false;
        }
        let sharing: BTreeSet<usize> = sharing.flatten().copied().collect();
        let sharing = sharing.into_iter().map(|i| candidates[i]);
        let narrower: Vec<Candidate> = sharing
            .filter(|(_, other)| other.is_narrower_than(suspect))
            .collect();
        let (parts, single): (Vec<Candidate>, Vec<Candidate>) = narrower
            .into_iter()
            .partition(|(t, _)| matches!(t, RequestTrait::Part(_)));
        let parts: Vec<&Suspect> = parts.into_iter().map(|(_, part)| part).collect();
        let mut single = single.into_iter();
        suspect.is_explained_by(&parts)
            || single.any(|(_, content)| suspect.is_explained_by(&[content]))
    };
    let (wide, rest) = candidates.iter().partition(|c| is_wide(c));
    *candidates = rest;
    wide
}

/// Culprits found so far, in groups of traits that are refused together.
#[derive(Default)]
struct Groups<'a> {
    /// The strongest trait of each group, and all of its traits.
    groups: Vec<(&'a Suspect, Vec<RequestTrait>)>,
    /// Groups by a run of their first crash, which inseparable traits share.
    by_run: HashMap<(&'a Incarnation, RunKey), Vec<usize>>,
    /// Groups whose strongest trait is a part.
    part_groups: Vec<usize>,
    /// The strongest evidence at each crash.
    explained: HashMap<&'a Incarnation, Evidence>,
}

impl<'a> Groups<'a> {
    /// Returns whether stronger culprits were at all crashes of a trait.
    fn explains(&self, suspect: &Suspect) -> bool {
        let evidence = suspect.evidence();
        let is_stronger = |e: &Evidence| *e > evidence;
        let mut crashes = suspect.crashes().iter();
        crashes.all(|c| self.explained.get(c.life()).is_some_and(is_stronger))
    }

    /// Returns the group of traits that came together with this one in each run; for a part,
    /// also that of another part with equal evidence.
    fn group_of(&self, (candidate, suspect): Candidate) -> Option<usize> {
        let sharing = suspect.all_runs().filter_map(|run| self.by_run.get(&run));
        let is_inseparable = |g: &&usize| suspect.is_inseparable_from(self.groups[**g].0);
        let is_tied = |g: &&usize| {
            let other = self.groups[**g].0;
            other.evidence() == suspect.evidence() && other.has_crashes_within(suspect)
        };
        let tied = || self.part_groups.iter().find(is_tied);
        let alike = sharing.flatten().find(is_inseparable);
        alike
            .or_else(|| tied().filter(|_| is_part(candidate)))
            .copied()
    }

    /// Adds a group for a trait. A wider part that was at all crashes of a part may be at fault
    /// in its place, and joins it.
    fn add(&mut self, (candidate, suspect): Candidate<'a>, wide: &[Candidate]) {
        let number = self.groups.len();
        for crash in suspect.crashes() {
            let strongest = self.explained.entry(crash.life());
            strongest.or_insert_with(|| suspect.evidence());
        }
        if let Some(run) = suspect.all_runs().next() {
            self.by_run.entry(run).or_default().push(number);
        }
        let mut group = vec![candidate];
        if is_part(candidate) {
            self.part_groups.push(number);
            let wider = wide.iter().filter(|(_, w)| suspect.is_narrower_than(w));
            group.extend(wider.map(|(t, _)| *t));
        }
        self.groups.push((suspect, group));
    }
}

/// Returns the traits that reach the quarantine threshold, without those whose crashes are
/// all explained by others with stronger evidence. Traits that came together in each run form
/// one group, and so do parts with equal evidence: which of them is at fault is not known, so
/// only requests with all of them are refused, and any other request with one of them decides.
pub fn culprits<'a>(
    suspects: impl Iterator<Item = (RequestTrait, &'a Suspect)>,
) -> Vec<Vec<RequestTrait>> {
    let suspects: Vec<Candidate> = suspects.collect();
    let likely_causes = LikelyCauses::new(&suspects);
    let mut candidates = suspects;
    candidates.retain(|(_, s)| s.reaches_threshold() && likely_causes.suffice(s));
    let wide = remove_wide(&mut candidates);
    candidates.sort_by_cached_key(|(_, s)| Reverse(s.evidence()));
    let mut culprits = Groups::default();
    for candidate in candidates {
        if culprits.explains(candidate.1) {
            continue;
        }
        match culprits.group_of(candidate) {
            Some(group) => culprits.groups[group].1.push(candidate.0),
            None => culprits.add(candidate, &wide),
        }
    }
    let groups = culprits.groups.into_iter();
    groups.map(|(_, traits)| traits).collect()
}
