//! The share of their own requests that routers may send again: what all of them use of
//! it together, where processes start again and callers move. Virtual time.

use crate::repeat_rig::{Control, LIMITS};
use deckwind_core::routes::{Claim, RepeatBudgets, Started};
use deckwind_core::state::Holder;
use deckwind_core::time::Instant;
use yare::parameterized;

const ROUTERS: usize = 12;

/// A request comes each so many ms.
const EVERY_MS: u64 = 3;

/// Between two renewals of a router.
const RENEW_MS: u64 = 400;

/// All routers want more repeats than there are for the first second of this span and
/// from its third second on. What happens comes between.
const WANTED_MS: [u64; 2] = [40_000, 52_000];
const HAPPENS_MS: u64 = 41_000;

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Happens {
    Nothing,
    /// So many routers are killed and start again at once.
    StartAgain(usize),
    /// The callers of so many routers go to the others.
    CallersMove(usize),
    /// So many routers are killed and stay away: their callers go to the others.
    StayAway(usize),
}

struct Played {
    requests: Vec<u64>,
    repeats: Vec<u64>,
}

/// Each router kept the share of its own requests for itself: a process that started
/// again, and routers to which callers had moved, spent once more what had just been
/// spent, and all together passed the bound.
#[parameterized(
    calm = { Happens::Nothing },
    all_start_again = { Happens::StartAgain(ROUTERS) },
    half_start_again = { Happens::StartAgain(ROUTERS / 2) },
    callers_of_half_move = { Happens::CallersMove(ROUTERS / 2) },
    half_stay_away = { Happens::StayAway(ROUTERS / 2) },
)]
fn all_routers_together_keep_the_share(happens: Happens) {
    let played = play(happens);
    let window = LIMITS.window.as_millis() as u64;
    for until in (window..WANTED_MS[1] + window).step_by(50) {
        let from = until - window;
        let repeats = within(&played.repeats, from, until);
        // As the bound counts them: in this window, the one before, or half of each.
        let requests = [0, window / 2, window].map(|back| {
            let from = from.saturating_sub(back);
            within(&played.requests, from, until.saturating_sub(back))
        });
        let requests = requests.into_iter().max().unwrap_or_default();
        let allowed = LIMITS.share * requests as f64 + LIMITS.beyond;
        assert!(
            repeats as f64 <= allowed,
            "{repeats} repeats until {until} ms, {allowed} allowed"
        );
    }
    let used = within(&played.repeats, WANTED_MS[0], WANTED_MS[0] + 1_000);
    let share = 0.7 * LIMITS.share * (window / EVERY_MS) as f64;
    assert!(used as f64 > share, "{used} repeats used");
}

fn within(times: &[u64], from: u64, until: u64) -> usize {
    times.iter().filter(|t| **t >= from && **t < until).count()
}

fn play(happens: Happens) -> Played {
    let at = |ms: u64| Instant::from_millis(1_000 + ms);
    let mut control = Control::new(at(0));
    let first = Started {
        at: at(0),
        first: true,
    };
    let mut routers: Vec<_> = (0..ROUTERS)
        .map(|_| (RepeatBudgets::new(LIMITS, first), 0))
        .collect();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for ms in 0..WANTED_MS[1] {
        let has_happened = ms >= HAPPENS_MS;
        if ms == HAPPENS_MS
            && let Happens::StartAgain(count) = happens
        {
            let started = Started {
                at: at(ms),
                first: false,
            };
            let again = || (RepeatBudgets::new(LIMITS, started), 1);
            routers[..count].fill_with(again);
        }
        let away = match happens {
            Happens::StayAway(count) if has_happened => count,
            _ => 0,
        };
        for (i, (budgets, boot)) in routers.iter_mut().enumerate().skip(away) {
            if (ms + i as u64 * 30).is_multiple_of(RENEW_MS) {
                control.ask(at(ms), &holder(i, *boot), budgets);
            }
        }
        if ms.is_multiple_of(EVERY_MS) {
            let caller = (ms / EVERY_MS) as usize;
            let router = match happens {
                Happens::CallersMove(count) | Happens::StayAway(count) if has_happened => {
                    count + caller % (ROUTERS - count)
                }
                _ => caller % ROUTERS,
            };
            routers[router].0.of_pool("pool").requested(at(ms));
            requests.push(ms);
        }
        let wanted = (WANTED_MS[0]..WANTED_MS[1]).contains(&ms);
        if wanted && !(WANTED_MS[0] + 1_000..WANTED_MS[0] + 2_000).contains(&ms) {
            for (i, (budgets, _)) in routers.iter_mut().enumerate().skip(away) {
                let budget = budgets.of_pool("pool");
                let spent = budget.spend(at(ms), Claim::Begun, ms * 100 + i as u64);
                repeats.extend(spent.map(|_| ms));
            }
        }
    }
    Played { requests, repeats }
}

fn holder(vm: usize, boot: u64) -> Holder {
    Holder {
        vm: format!("r{vm}").as_str().into(),
        boot,
    }
}
