//! Who is cut when callers that don't read fill a router's memory, in virtual time.

use deckwind_core::routes::{AnswerArena, AnswerKey, Behind, FEW, HoldLimits, Way};
use deckwind_core::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use yare::parameterized;

const BOUND: u64 = 4 << 20;
const TICK: Duration = Duration::from_millis(40);
/// Requests a tick: 100 a second.
const COME: u32 = 4;
/// Events of a stream, one a tick: 4 s.
const EVENTS: u32 = 100;
const TICKS: u64 = 1_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reads {
    AtOnce,
    /// Nothing for so many ticks after the 20th, then all.
    AfterPause(u32),
    /// One event in two ticks.
    Half,
    Never,
}

struct Stream {
    account: u64,
    event: u64,
    reads: Reads,
    age: u32,
    waiting: u32,
    since: Instant,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct Came {
    whole: u32,
    /// Callers that would have read all of it.
    cut_readers: u32,
    cut_stuck: u32,
    cut_few: u32,
    peak: u64,
}

fn stream(rng: &mut ChaCha8Rng, now: Instant, stuck_account: Option<u64>) -> Stream {
    let stuck = stuck_account.filter(|_| rng.random_range(0..100) < 40);
    let account = stuck.unwrap_or_else(|| rng.random_range(0..12));
    let reads = match rng.random_range(0..100) {
        0..60 => Reads::AtOnce,
        60..80 => Reads::AfterPause(rng.random_range(10..45)),
        80..90 => Reads::Half,
        _ if stuck_account.is_some() => Reads::AtOnce,
        _ => Reads::Never,
    };
    Stream {
        account,
        event: if rng.random_range(0..100) < 15 {
            4_000
        } else {
            400
        },
        reads: if stuck_account == Some(account) {
            Reads::Never
        } else {
            reads
        },
        age: 0,
        waiting: 0,
        since: now,
    }
}

impl Stream {
    fn step(&mut self, now: Instant) {
        self.age += 1;
        if self.age <= EVENTS {
            if self.waiting == 0 {
                self.since = now;
            }
            self.waiting += 1;
        }
        let takes = match self.reads {
            Reads::AtOnce => self.waiting,
            Reads::AfterPause(ticks) if (20..20 + ticks).contains(&self.age) => 0,
            Reads::AfterPause(_) => self.waiting,
            Reads::Half => self.age % 2,
            Reads::Never => 0,
        };
        if takes > 0 {
            self.since = now;
        }
        self.waiting -= takes.min(self.waiting);
    }

    fn behind(&self, key: AnswerKey) -> Option<Behind> {
        (self.waiting > 0).then_some(Behind {
            key,
            account: self.account,
            bytes: u64::from(self.waiting) * self.event,
            pieces: self.waiting,
            since: self.since,
        })
    }
}

fn play(way: Way, seed: u64, stuck_account: Option<u64>) -> (Came, Vec<u64>) {
    let limits = HoldLimits::of(BOUND);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut all: AnswerArena<Stream> = AnswerArena::default();
    let mut came = Came::default();
    let mut cut_accounts = Vec::new();
    let mut now = Instant::ZERO;
    for _ in 0..TICKS {
        now = now + TICK;
        for _ in 0..COME {
            all.insert(stream(&mut rng, now, stuck_account));
        }
        all.values_mut().for_each(|s| s.step(now));
        let behind: Vec<Behind> = all.iter().filter_map(|(k, s)| s.behind(k)).collect();
        let held: u64 = behind.iter().map(|b| b.bytes).sum();
        came.peak = came.peak.max(held);
        for key in limits.cut(way, held, &behind) {
            let s = all.remove(key).expect("it is there");
            cut_accounts.push(s.account);
            match s.reads {
                Reads::Never => came.cut_stuck += 1,
                _ => came.cut_readers += 1,
            }
            came.cut_few += u32::from(s.waiting <= FEW);
        }
        let done = |s: &Stream| s.age >= EVENTS && s.waiting == 0;
        came.whole += all.values().filter(|s| done(s)).count() as u32;
        all.retain(|_, s| !done(s));
    }
    (came, cut_accounts)
}

#[parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn whoever_has_not_read_for_longest_goes_first_and_fewer_readers_are_cut(seed: u64) {
    let (longest, _) = play(Way::LongestUnread, seed, None);
    let (most, _) = play(Way::MostBytes, seed, None);
    println!("longest unread {longest:?}\nmost bytes     {most:?}");
    for came in [&longest, &most] {
        assert_eq!(came.cut_few, 0);
        assert!(came.peak <= BOUND, "{}", came.peak);
        assert!(came.cut_stuck > 0, "there was something to cut");
    }
    assert!(longest.cut_readers < most.cut_readers);
    assert!(longest.whole > most.whole);
}

#[parameterized(
    longest_unread = { Way::LongestUnread },
    most_bytes = { Way::MostBytes },
)]
fn an_account_that_reads_nothing_pays_first(way: Way) {
    let (_, cut) = play(way, 4, Some(3));
    let its = cut.iter().filter(|a| **a == 3).count();
    println!("{way:?}: {its} of {} cut are the account's", cut.len());
    assert!(its * 10 > cut.len() * 9, "{its} of {}", cut.len());
}

fn behind(all: &mut AnswerArena<()>, account: u64, bytes: u64, pieces: u32, since: u64) -> Behind {
    Behind {
        key: all.insert(()),
        account,
        bytes,
        pieces,
        since: Instant::from_millis(since),
    }
}

#[test]
fn nobody_is_cut_below_the_bound_or_for_a_few_events() {
    let limits = HoldLimits::of(1_000);
    let mut all = AnswerArena::default();
    let one = behind(&mut all, 1, 800, 100, 1);
    let few = behind(&mut all, 2, 900, FEW, 0);
    assert_eq!(limits.cut(Way::LongestUnread, 800, &[one]), []);
    assert_eq!(limits.cut(Way::LongestUnread, 900, &[few]), []);
    let cut = limits.cut(Way::LongestUnread, 1_700, &[one, few]);
    assert_eq!(cut, [one.key]);
}

#[test]
fn a_large_account_gives_down_to_its_part_before_others_give() {
    let limits = HoldLimits::of(1_000);
    let mut all = AnswerArena::default();
    let small = behind(&mut all, 1, 200, 20, 1);
    let older = behind(&mut all, 2, 400, 20, 5);
    let newer = behind(&mut all, 2, 400, 20, 6);
    let given = limits.cut(Way::LongestUnread, 1_000, &[small, older, newer]);
    assert_eq!(
        given,
        [older.key],
        "longest unread, but of the large account"
    );
}
