//! Interrupted runs at one router: which of them count as crashes under a request content,
//! what the router knows before the control replicas agree, and what clears a content.

use crate::quarantine::{apply, content, crash, crash_of, incarnation, quarantined};
use deckwind_core::routes::{InterruptedRuns, SendVerdict};
use deckwind_core::state::{
    PartId, RequestTrait, RequestTraits, StateMachine, SuspectChange, SuspectList,
};
use deckwind_core::time::Instant;
use std::sync::Arc;
use std::time::Duration;
use yare::parameterized;

/// Arguments: what one router sees in turn (a crash of its own, or the number of agreed
/// crashes), and the step with the third crash. From that step on the router must not send
/// the content, without waiting until its own crashes are agreed.
#[parameterized(
    own_three = { &["end", "end", "end"], 2 },
    two_agreed_before = { &["end", "end", "agreed 2", "end"], 3 },
    two_agreed_twice = { &["end", "end", "agreed 2", "agreed 2", "end"], 4 },
    agreed_again_after_the_third = { &["end", "end", "agreed 2", "end", "agreed 2"], 3 },
    others_two = { &["agreed 2", "end"], 1 },
    others_two_again = { &["agreed 2", "end", "agreed 2"], 1 },
    own_and_others = { &["end", "agreed 2", "end"], 2 },
    agreed_three = { &["agreed 3"], 0 },
)]
fn the_third_end_is_known_where_it_was_seen(events: &[&str], third_crash_step: usize) {
    let mut cut_runs = InterruptedRuns::default();
    let digest = content("it");
    for (i, event) in events.iter().enumerate() {
        let at = Instant::from_millis(1_000 + i as u64);
        match event.strip_prefix("agreed ") {
            Some(count) => {
                let names = ["a", "b", "c"].into_iter();
                let names = names.take(count.parse().expect("a number"));
                let mut machine = StateMachine::default();
                apply(
                    &mut machine,
                    1,
                    names.map(|n| crash(digest, incarnation(n))).collect(),
                );
                cut_runs.set_agreed(at, machine.configuration().suspects());
            }
            None => {
                let incarnation = incarnation(&format!("own {i}"));
                cut_runs.record_interrupted(at, &digest.into(), &incarnation, None);
                cut_runs.record_ended_incarnations(at, vec![incarnation]);
            }
        }
        assert_eq!(
            cut_runs.may_send(at, &digest.into()),
            i < third_crash_step,
            "after step {i}"
        );
    }
}

/// Two routers ran the content at a target that crashed. One of them notices the
/// interrupted run late: its crash may be one of those already agreed.
#[test]
fn a_crash_that_others_reported_is_not_counted_twice() {
    let mut cut_runs = InterruptedRuns::default();
    let digest = content("it");
    let at = Instant::from_millis(1_000);
    cut_runs.record_ended_incarnations(at, vec![incarnation("b")]);
    let mut machine = StateMachine::default();
    let crashes = ["a", "b"].map(|name| crash(digest, incarnation(name)));
    apply(&mut machine, 1, crashes.to_vec());
    cut_runs.set_agreed(at, machine.configuration().suspects());
    cut_runs.record_interrupted(at, &digest.into(), &incarnation("b"), None);
    assert!(
        cut_runs.may_send(at, &digest.into()),
        "two targets have crashed"
    );
}

/// A content that one router has served recently is not quarantined at any router, also
/// not at one that has just started: the first router receives the crashes and has them
/// cleared. The second may miss the agreed list meanwhile.
#[parameterized(
    lately = { 9_000, true, 0, true },
    lately_unheard = { 9_000, false, 5_000, true },
    long_ago = { 11_000, true, 0, false },
)]
fn what_one_router_served_lately_others_do_not_quarantine(
    served_ms_ago: u64,
    receives_list: bool,
    third_after_ms: u64,
    cleared: bool,
) {
    let digest = content("it");
    let start = Instant::from_millis(1_000);
    let at = start + Duration::from_millis(served_ms_ago);
    let (mut earlier, mut restarted) = (InterruptedRuns::default(), InterruptedRuns::default());
    earlier.record_served(start, &digest.into());
    assert_eq!(
        earlier.take_unreported_changes(),
        Vec::new(),
        "the content is not suspected"
    );
    let mut machine = StateMachine::default();
    for name in ["a", "b"] {
        restarted.record_interrupted(at, &digest.into(), &incarnation(name), None);
        restarted.record_ended_incarnations(at, vec![incarnation(name)]);
        apply(&mut machine, 1, restarted.take_unreported_changes());
        earlier.set_agreed(at, machine.configuration().suspects());
        if receives_list {
            restarted.set_agreed(at, machine.configuration().suspects());
        }
    }
    apply(&mut machine, 2, earlier.take_unreported_changes());
    restarted.set_agreed(at, machine.configuration().suspects());
    earlier.set_agreed(at, machine.configuration().suspects());
    assert_eq!(
        earlier.take_unreported_changes(),
        Vec::new(),
        "it is reported once"
    );
    let at = at + Duration::from_millis(third_after_ms);
    restarted.record_interrupted(at, &digest.into(), &incarnation("c"), None);
    restarted.record_ended_incarnations(at, vec![incarnation("c")]);
    apply(&mut machine, 3, restarted.take_unreported_changes());
    assert_eq!(restarted.may_send(at, &digest.into()), cleared);
    assert_eq!(quarantined(&machine) == 0, cleared);
}

/// One crash, and two more either within the ten minutes for which crashes count or later.
#[parameterized(
    within = { 599, false },
    after = { 601, true },
)]
fn own_ends_count_for_ten_minutes(seconds: u64, may_send: bool) {
    let mut cut_runs = InterruptedRuns::default();
    let digest = content("it");
    let start = Instant::from_millis(1_000);
    let later = start + Duration::from_secs(seconds);
    for (at, name) in [(start, "a"), (later, "b"), (later, "c")] {
        cut_runs.record_interrupted(at, &digest.into(), &incarnation(name), None);
        cut_runs.record_ended_incarnations(at, vec![incarnation(name)]);
    }
    assert_eq!(cut_runs.may_send(later, &digest.into()), may_send);
}

/// How a run of the content was interrupted, and when its incarnation is known to have
/// ended.
struct InterruptedRun {
    /// Time from the run's first event until the interruption; none without an event.
    ran_ms: Option<u64>,
    /// Time from the interruption until the incarnation is known to have ended; negative if
    /// that was known before.
    end_known_after_ms: i64,
    /// Time since this router last served the content, at the interruption.
    served_before_ms: Option<u64>,
}

impl InterruptedRun {
    const MAX_POISON_RUN_TIME: InterruptedRun = InterruptedRun {
        ran_ms: None,
        end_known_after_ms: 40,
        served_before_ms: None,
    };
}

#[parameterized(
    before_its_first_event = { InterruptedRun::MAX_POISON_RUN_TIME, true },
    soon_after_it = { InterruptedRun { ran_ms: Some(120), ..InterruptedRun::MAX_POISON_RUN_TIME }, true },
    long_after_it = { InterruptedRun { ran_ms: Some(500), ..InterruptedRun::MAX_POISON_RUN_TIME }, false },
    known_before_the_cut = { InterruptedRun { end_known_after_ms: -900, ..InterruptedRun::MAX_POISON_RUN_TIME }, true },
    silent_target = { InterruptedRun { end_known_after_ms: 4_000, ..InterruptedRun::MAX_POISON_RUN_TIME }, true },
    end_known_too_late = { InterruptedRun { end_known_after_ms: 6_100, ..InterruptedRun::MAX_POISON_RUN_TIME }, false },
    served_lately = { InterruptedRun { served_before_ms: Some(9_000), ..InterruptedRun::MAX_POISON_RUN_TIME }, false },
    served_long_ago = { InterruptedRun { served_before_ms: Some(11_000), ..InterruptedRun::MAX_POISON_RUN_TIME }, true },
)]
fn a_cut_run_counts_against_its_content(run: InterruptedRun, is_counted: bool) {
    let mut cut_runs = InterruptedRuns::default();
    let at = Instant::from_millis(100_000);
    let digest = content("it");
    if let Some(before) = run.served_before_ms {
        cut_runs.record_served(at - Duration::from_millis(before), &digest.into());
    }
    let ran_for = run.ran_ms.map(Duration::from_millis);
    let end_known_at = Instant::from_millis((100_000 + run.end_known_after_ms) as u64);
    if run.end_known_after_ms < 0 {
        cut_runs.record_ended_incarnations(end_known_at, vec![incarnation("a")]);
    }
    cut_runs.record_interrupted(at, &digest.into(), &incarnation("a"), ran_for);
    if run.end_known_after_ms >= 0 {
        cut_runs.record_ended_incarnations(end_known_at, vec![incarnation("a")]);
    }
    let changes = cut_runs.take_unreported_changes();
    let end = crash_of(&digest.into(), incarnation("a"), run.ran_ms.is_some());
    let is_reported = changes.contains(&end);
    assert_eq!(is_reported, is_counted, "{changes:?}");
}

/// Interrupted runs whose targets may have crashed count until that is known, since a
/// router has no time to learn of it within one request.
#[test]
fn runs_that_were_cut_count_until_more_is_known() {
    let mut cut_runs = InterruptedRuns::default();
    let digest = content("it");
    let at = Instant::from_millis(1_000);
    for name in ["a", "b"] {
        cut_runs.record_interrupted(at, &digest.into(), &incarnation(name), None);
        assert!(cut_runs.may_send(at, &digest.into()), "after {name}");
    }
    cut_runs.record_interrupted(at, &digest.into(), &incarnation("c"), None);
    assert!(!cut_runs.may_send(at, &digest.into()));
    let later = at + Duration::from_millis(6_001);
    assert!(
        cut_runs.may_send(later, &digest.into()),
        "none of them is known to have ended"
    );
    cut_runs.record_ended_incarnations(later, vec![incarnation("a")]);
    assert_eq!(cut_runs.take_unreported_changes(), Vec::new());
}

/// Agreed counts replace the router's own: a content that other routers served is sent
/// again.
#[test]
fn what_is_agreed_takes_the_place_of_what_was_seen() {
    let mut machine = StateMachine::default();
    let mut cut_runs = InterruptedRuns::default();
    let digest = content("it");
    let at = Instant::from_millis(1_000);
    for name in ["a", "b", "c"] {
        cut_runs.record_interrupted(at, &digest.into(), &incarnation(name), None);
        cut_runs.record_ended_incarnations(at, vec![incarnation(name)]);
    }
    assert!(!cut_runs.may_send(at, &digest.into()));
    apply(&mut machine, 1, cut_runs.take_unreported_changes());
    cut_runs.set_agreed(at, machine.configuration().suspects());
    assert!(!cut_runs.may_send(at, &digest.into()));
    apply(
        &mut machine,
        2,
        vec![SuspectChange::Served(RequestTrait::Content(digest))],
    );
    cut_runs.set_agreed(at, machine.configuration().suspects());
    assert!(cut_runs.may_send(at, &digest.into()));
    cut_runs.set_agreed(at, Arc::new(SuspectList::default()));
    assert!(cut_runs.may_send(at, &digest.into()));
}

/// When a run was sent to an incarnation that had broken off another one, or was known to have
/// ended, at 100 s; and whether the run is no evidence.
///
/// Guards against a sound content that was refused for an hour: all callers asked for it, both
/// targets of its pool had just crashed, and each run that was sent to them meanwhile counted.
#[parameterized(
    before_the_break = { 99_990, true, false, false },
    after_the_break = { 100_010, true, false, true },
    long_after_the_break = { 100_600, true, false, false },
    before_the_known_end = { 99_990, false, true, false },
    after_the_known_end = { 100_600, false, true, true },
    after_neither = { 100_010, false, false, false },
)]
fn a_run_sent_to_a_crashed_target_is_no_evidence(
    sent_ms: u64,
    broke: bool,
    known: bool,
    is_after: bool,
) {
    let mut cut_runs = InterruptedRuns::default();
    let at = Instant::from_millis(100_000);
    let crashed = incarnation("a");
    if broke {
        cut_runs.record_break(at, &crashed);
    }
    if known {
        cut_runs.record_ended_incarnations(at, vec![crashed.clone()]);
    }
    let sent = Instant::from_millis(sent_ms);
    let now = at.max(sent) + Duration::from_millis(1);
    assert_eq!(cut_runs.was_sent_after_end(now, &crashed, sent), is_after);
    assert!(!cut_runs.was_sent_after_end(now, &incarnation("b"), sent));
}

/// Returns a request whose prompt has these parts and one of its own.
fn request_with_parts(name: &str, parts: &[&str]) -> RequestTraits {
    let parts = parts.iter().copied().chain([name]);
    let parts: Vec<PartId> = parts.map(|p| PartId::of_bytes(p.as_bytes())).collect();
    RequestTraits::new(content(name), None, &parts)
}

/// Guards against sound requests that were all refused for up to ten minutes: a crash that
/// their router noticed did not change the agreed list, since another router had reported it,
/// and nothing else ended the wait for that.
#[test]
fn a_crash_that_changes_no_agreed_count_leaves_nothing_undecided() {
    let mut machine = StateMachine::default();
    let at = Instant::from_millis(100_000);
    for i in 0..3 {
        let request = request_with_parts(&format!("bad {i}"), &["first", "at fault"]);
        let life = incarnation(&format!("target {i}"));
        apply(&mut machine, 1, vec![crash_of(&request, life, false)]);
    }
    let bystander = request_with_parts("bystander", &["first"]);
    let last = incarnation("last");
    let known = crash_of(&bystander, last.clone(), false);
    apply(&mut machine, 1, vec![known]);
    let list = machine.configuration().suspects();
    let mut runs = InterruptedRuns::default();
    runs.set_agreed(at, list.clone());
    runs.record_ended_incarnations(at, vec![last.clone()]);
    runs.record_interrupted(at, &bystander, &last, None);
    let changes = runs.take_unreported_changes();
    apply(&mut machine, 1, changes.clone());
    runs.record_agreed(at, &changes);
    let is_same_list = machine.configuration().suspects() == list;
    assert!(is_same_list, "so no list is sent");
    let sound = request_with_parts("sound", &["first"]);
    let later = at + Duration::from_secs(1);
    assert_eq!(runs.verdict(later, &sound), SendVerdict::Send);
    let bad = request_with_parts("bad again", &["first", "at fault"]);
    assert_eq!(runs.verdict(later, &bad), SendVerdict::Quarantined);
}

/// Guards against a first part that many requests share and that one router alone refused for
/// up to ten minutes: it saw three crashes under it, which a content explains with a crash that
/// another router saw, and the part was at two more crashes since it was served elsewhere.
#[test]
fn what_is_agreed_takes_the_place_of_own_crashes_of_a_wide_part() {
    let mut machine = StateMachine::default();
    let at = Instant::from_millis(100_000);
    let mut runs = InterruptedRuns::default();
    let poison = request_with_parts("poison", &["first"]);
    let elsewhere = crash_of(&poison, incarnation("elsewhere"), false);
    apply(&mut machine, 1, vec![elsewhere]);
    for (request, life) in [("poison", "a"), ("poison", "b"), ("bystander", "c")] {
        let life = incarnation(life);
        let request = request_with_parts(request, &["first"]);
        runs.record_interrupted(at, &request, &life, None);
        runs.record_ended_incarnations(at, vec![life]);
    }
    let changes = runs.take_unreported_changes();
    apply(&mut machine, 1, changes.clone());
    runs.record_agreed(at, &changes);
    runs.set_agreed(at, machine.configuration().suspects());
    let served = request_with_parts("served", &["first"]).all().to_vec();
    let served = served.into_iter().map(SuspectChange::Served);
    apply(&mut machine, 2, served.collect());
    for life in ["d", "e"] {
        let other = request_with_parts(life, &["first"]);
        let crash = crash_of(&other, incarnation(life), false);
        apply(&mut machine, 3, vec![crash]);
    }
    let later = at + Duration::from_secs(10);
    runs.set_agreed(later, machine.configuration().suspects());
    let sound = request_with_parts("sound", &["first"]);
    assert_eq!(runs.verdict(later, &sound), SendVerdict::Send);
    assert_eq!(runs.verdict(later, &poison), SendVerdict::Quarantined);
}

/// Time from the end of an answer of the content, which ended with its connection, to three
/// crashes under it; whether its target is known to have crashed in between; and whether the
/// content was served.
///
/// Guards against a sound content that was refused for an hour, after it had been answered in
/// full again and again: short answers that end with their connection cleared nothing.
#[parameterized(
    end_may_be_unknown = { 5_900, false, false },
    end_would_be_known = { 6_100, false, true },
    crashed = { 6_100, true, false },
)]
fn a_closed_run_counts_once_its_target_would_be_known_to_have_crashed(
    after_ms: u64,
    has_crashed: bool,
    is_served: bool,
) {
    let mut runs = InterruptedRuns::default();
    let popular = content("popular").into();
    let closed = Instant::from_millis(100_000);
    let wrote = Some(Duration::from_millis(230));
    runs.record_closed(closed, &popular, &incarnation("a"), wrote);
    if has_crashed {
        runs.record_ended_incarnations(closed, vec![incarnation("a")]);
    }
    let later = closed + Duration::from_millis(after_ms);
    for name in ["x", "y", "z"] {
        runs.record_interrupted(later, &popular, &incarnation(name), None);
        runs.record_ended_incarnations(later, vec![incarnation(name)]);
    }
    assert_eq!(runs.may_send(later, &popular), is_served);
}
