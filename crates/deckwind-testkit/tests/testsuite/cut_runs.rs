//! Runs that were cut, and what a router makes of them: what counts as an end under a
//! content, what it knows before it is agreed, and what clears it.

use crate::quarantine::{apply, content, ended, life, quarantined};
use deckwind_core::routes::CutRuns;
use deckwind_core::state::{StateMachine, SuspectChange, SuspectList};
use deckwind_core::time::Instant;
use std::sync::Arc;
use std::time::Duration;
use yare::parameterized;

/// What one router sees in turn, an end or how many are agreed, and the step with the
/// third end: it need not wait until its own is agreed to send nothing more.
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
fn the_third_end_is_known_where_it_was_seen(seen: &[&str], third: usize) {
    let mut runs = CutRuns::default();
    let it = content("it");
    for (i, what) in seen.iter().enumerate() {
        let at = Instant::from_millis(1_000 + i as u64);
        match what.strip_prefix("agreed ") {
            Some(ends) => {
                let names = ["a", "b", "c"].into_iter();
                let names = names.take(ends.parse().expect("a number"));
                let mut machine = StateMachine::default();
                apply(&mut machine, 1, names.map(|n| ended(it, life(n))).collect());
                runs.agreed(at, machine.configuration().suspects());
            }
            None => {
                let life = life(&format!("own {i}"));
                runs.cut(at, it, &life, None);
                runs.lives_over(at, vec![life]);
            }
        }
        assert_eq!(runs.may_send(at, &it), i < third, "after step {i}");
    }
}

/// Two routers ran the content where it ended its target. One of them notices late that
/// its run was cut: the end may be one of those that are agreed.
#[test]
fn an_end_that_others_told_of_is_not_counted_twice() {
    let mut runs = CutRuns::default();
    let it = content("it");
    let at = Instant::from_millis(1_000);
    runs.lives_over(at, vec![life("b")]);
    let mut machine = StateMachine::default();
    let ends = ["a", "b"].map(|name| ended(it, life(name)));
    apply(&mut machine, 1, ends.to_vec());
    runs.agreed(at, machine.configuration().suspects());
    runs.cut(at, it, &life("b"), None);
    assert!(runs.may_send(at, &it), "two have ended");
}

/// What one router has served well lately is above suspicion everywhere, also at a router
/// that has just started: it hears of the ends, and has them forgotten. The new one may
/// not hear of the list between.
#[parameterized(
    lately = { 9_000, true, 0, true },
    lately_unheard = { 9_000, false, 5_000, true },
    long_ago = { 11_000, true, 0, false },
)]
fn what_one_router_served_lately_others_do_not_condemn(
    served_ms_ago: u64,
    hears: bool,
    third_after_ms: u64,
    cleared: bool,
) {
    let it = content("it");
    let start = Instant::from_millis(1_000);
    let at = start + Duration::from_millis(served_ms_ago);
    let (mut old, mut new) = (CutRuns::default(), CutRuns::default());
    old.served(start, it);
    assert_eq!(old.take_news(), Vec::new(), "nobody suspects it");
    let mut machine = StateMachine::default();
    for name in ["a", "b"] {
        new.cut(at, it, &life(name), None);
        new.lives_over(at, vec![life(name)]);
        apply(&mut machine, 1, new.take_news());
        old.agreed(at, machine.configuration().suspects());
        if hears {
            new.agreed(at, machine.configuration().suspects());
        }
    }
    apply(&mut machine, 2, old.take_news());
    new.agreed(at, machine.configuration().suspects());
    old.agreed(at, machine.configuration().suspects());
    assert_eq!(old.take_news(), Vec::new(), "once is enough");
    let at = at + Duration::from_millis(third_after_ms);
    new.cut(at, it, &life("c"), None);
    new.lives_over(at, vec![life("c")]);
    apply(&mut machine, 3, new.take_news());
    assert_eq!(new.may_send(at, &it), cleared);
    assert_eq!(quarantined(&machine) == 0, cleared);
}

/// One end and, within the time for which ends count or after it, two more.
#[parameterized(
    within = { 599, false },
    after = { 601, true },
)]
fn own_ends_count_for_ten_minutes(seconds: u64, may_send: bool) {
    let mut runs = CutRuns::default();
    let it = content("it");
    let start = Instant::from_millis(1_000);
    let later = start + Duration::from_secs(seconds);
    for (at, name) in [(start, "a"), (later, "b"), (later, "c")] {
        runs.cut(at, it, &life(name), None);
        runs.lives_over(at, vec![life(name)]);
    }
    assert_eq!(runs.may_send(later, &it), may_send);
}

/// How a run of the content ended, and what becomes of its life.
struct Cut {
    /// Time from the run's first event until it was cut.
    ran_ms: Option<u64>,
    /// From the cut until its life is known to be over; negative for before.
    over_after_ms: i64,
    /// The content was served well so long before, here.
    served_before_ms: Option<u64>,
}

impl Cut {
    const JUST_BEGUN: Cut = Cut {
        ran_ms: None,
        over_after_ms: 40,
        served_before_ms: None,
    };
}

#[parameterized(
    before_its_first_event = { Cut::JUST_BEGUN, true },
    soon_after_it = { Cut { ran_ms: Some(120), ..Cut::JUST_BEGUN }, true },
    long_after_it = { Cut { ran_ms: Some(500), ..Cut::JUST_BEGUN }, false },
    known_before_the_cut = { Cut { over_after_ms: -900, ..Cut::JUST_BEGUN }, true },
    a_dark_target = { Cut { over_after_ms: 4_000, ..Cut::JUST_BEGUN }, true },
    another_matter = { Cut { over_after_ms: 6_100, ..Cut::JUST_BEGUN }, false },
    served_lately = { Cut { served_before_ms: Some(9_000), ..Cut::JUST_BEGUN }, false },
    served_long_ago = { Cut { served_before_ms: Some(11_000), ..Cut::JUST_BEGUN }, true },
)]
fn a_cut_run_counts_against_its_content(cut: Cut, counts: bool) {
    let mut runs = CutRuns::default();
    let at = Instant::from_millis(100_000);
    let it = content("it");
    if let Some(before) = cut.served_before_ms {
        runs.served(at - Duration::from_millis(before), it);
    }
    let ran = cut.ran_ms.map(Duration::from_millis);
    let over = Instant::from_millis((100_000 + cut.over_after_ms) as u64);
    if cut.over_after_ms < 0 {
        runs.lives_over(over, vec![life("a")]);
    }
    runs.cut(at, it, &life("a"), ran);
    if cut.over_after_ms >= 0 {
        runs.lives_over(over, vec![life("a")]);
    }
    let news = runs.take_news();
    let end = SuspectChange::Ended {
        content: it,
        life: life("a"),
        begun: cut.ran_ms.is_some(),
    };
    let told = news.contains(&end);
    assert_eq!(told, counts, "{news:?}");
}

/// Runs whose targets may have ended count until that is known: within one request a
/// router has no time to hear of it.
#[test]
fn runs_that_were_cut_count_until_more_is_known() {
    let mut runs = CutRuns::default();
    let it = content("it");
    let at = Instant::from_millis(1_000);
    for name in ["a", "b"] {
        runs.cut(at, it, &life(name), None);
        assert!(runs.may_send(at, &it), "after {name}");
    }
    runs.cut(at, it, &life("c"), None);
    assert!(!runs.may_send(at, &it));
    let later = at + Duration::from_millis(6_001);
    assert!(runs.may_send(later, &it), "none of them is over");
    runs.lives_over(later, vec![life("a")]);
    assert_eq!(runs.take_news(), Vec::new());
}

/// What was agreed is what counts: a content that others saw served is sent again.
#[test]
fn what_is_agreed_takes_the_place_of_what_was_seen() {
    let mut machine = StateMachine::default();
    let mut runs = CutRuns::default();
    let it = content("it");
    let at = Instant::from_millis(1_000);
    for name in ["a", "b", "c"] {
        runs.cut(at, it, &life(name), None);
        runs.lives_over(at, vec![life(name)]);
    }
    assert!(!runs.may_send(at, &it));
    apply(&mut machine, 1, runs.take_news());
    runs.agreed(at, machine.configuration().suspects());
    assert!(!runs.may_send(at, &it));
    apply(&mut machine, 2, vec![SuspectChange::Served(it)]);
    runs.agreed(at, machine.configuration().suspects());
    assert!(runs.may_send(at, &it));
    runs.agreed(at, Arc::new(SuspectList::default()));
    assert!(runs.may_send(at, &it));
}
