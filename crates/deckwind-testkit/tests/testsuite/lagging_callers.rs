//! Which callers a router disconnects when callers that don't read fill its memory.
//! Runs in virtual time.

use deckwind_core::routes::{
    AnswerArena, AnswerKey, BufferLimits, DisconnectOrder, LaggingCaller, MAX_SPARED_CHUNKS,
};
use deckwind_core::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use yare::parameterized;

const MEMORY_LIMIT: u64 = 4 << 20;
const TICK: Duration = Duration::from_millis(40);
/// Requests that begin in each tick: 100 per second.
const REQUESTS_PER_TICK: u32 = 4;
/// Events of a stream, one per tick: a stream lasts 4 s.
const EVENTS_PER_STREAM: u32 = 100;
const TICKS: u64 = 1_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadPattern {
    AtOnce,
    /// Reads nothing for the given number of ticks from the 20th on, then everything.
    AfterPause(u32),
    /// Reads one event in every two ticks.
    Half,
    Never,
}

struct Stream {
    account: u64,
    event_bytes: u64,
    reads: ReadPattern,
    age: u32,
    unread_events: u32,
    since: Instant,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    /// Streams that were read to their end.
    completed: u32,
    /// Disconnected callers that would have read the whole stream.
    disconnected_readers: u32,
    disconnected_non_readers: u32,
    /// Disconnected callers that were at most [`MAX_SPARED_CHUNKS`] events behind.
    disconnected_with_few_events: u32,
    peak_bytes: u64,
}

fn random_stream(rng: &mut ChaCha8Rng, now: Instant, non_reading_account: Option<u64>) -> Stream {
    let non_reading = non_reading_account.filter(|_| rng.random_range(0..100) < 40);
    let account = non_reading.unwrap_or_else(|| rng.random_range(0..12));
    let reads = match rng.random_range(0..100) {
        0..60 => ReadPattern::AtOnce,
        60..80 => ReadPattern::AfterPause(rng.random_range(10..45)),
        80..90 => ReadPattern::Half,
        _ if non_reading_account.is_some() => ReadPattern::AtOnce,
        _ => ReadPattern::Never,
    };
    Stream {
        account,
        event_bytes: if rng.random_range(0..100) < 15 {
            4_000
        } else {
            400
        },
        reads: if non_reading_account == Some(account) {
            ReadPattern::Never
        } else {
            reads
        },
        age: 0,
        unread_events: 0,
        since: now,
    }
}

impl Stream {
    fn step(&mut self, now: Instant) {
        self.age += 1;
        if self.age <= EVENTS_PER_STREAM {
            if self.unread_events == 0 {
                self.since = now;
            }
            self.unread_events += 1;
        }
        let read_events = match self.reads {
            ReadPattern::AtOnce => self.unread_events,
            ReadPattern::AfterPause(ticks) if (20..20 + ticks).contains(&self.age) => 0,
            ReadPattern::AfterPause(_) => self.unread_events,
            ReadPattern::Half => self.age % 2,
            ReadPattern::Never => 0,
        };
        if read_events > 0 {
            self.since = now;
        }
        self.unread_events -= read_events.min(self.unread_events);
    }

    fn behind(&self, key: AnswerKey) -> Option<LaggingCaller> {
        (self.unread_events > 0).then_some(LaggingCaller {
            key,
            account: self.account,
            bytes: u64::from(self.unread_events) * self.event_bytes,
            chunks: self.unread_events,
            since: self.since,
        })
    }
}

fn simulate(
    order: DisconnectOrder,
    seed: u64,
    non_reading_account: Option<u64>,
) -> (Outcome, Vec<u64>) {
    let limits = BufferLimits::of(MEMORY_LIMIT);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut streams: AnswerArena<Stream> = AnswerArena::default();
    let mut outcome = Outcome::default();
    let mut disconnected_accounts = Vec::new();
    let mut now = Instant::ZERO;
    for _ in 0..TICKS {
        now = now + TICK;
        for _ in 0..REQUESTS_PER_TICK {
            streams.insert(random_stream(&mut rng, now, non_reading_account));
        }
        streams.values_mut().for_each(|s| s.step(now));
        let behind: Vec<LaggingCaller> = streams.iter().filter_map(|(k, s)| s.behind(k)).collect();
        let held: u64 = behind.iter().map(|b| b.bytes).sum();
        outcome.peak_bytes = outcome.peak_bytes.max(held);
        for key in limits.select(order, held, &behind) {
            let s = streams.remove(key).expect("the stream exists");
            disconnected_accounts.push(s.account);
            match s.reads {
                ReadPattern::Never => outcome.disconnected_non_readers += 1,
                _ => outcome.disconnected_readers += 1,
            }
            outcome.disconnected_with_few_events += u32::from(s.unread_events <= MAX_SPARED_CHUNKS);
        }
        let done = |s: &Stream| s.age >= EVENTS_PER_STREAM && s.unread_events == 0;
        outcome.completed += streams.values().filter(|s| done(s)).count() as u32;
        streams.retain(|_, s| !done(s));
    }
    (outcome, disconnected_accounts)
}

#[parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn disconnecting_the_longest_unread_first_spares_more_readers(seed: u64) {
    let (longest, _) = simulate(DisconnectOrder::LongestUnread, seed, None);
    let (most, _) = simulate(DisconnectOrder::MostBytes, seed, None);
    println!("longest unread {longest:?}\nmost bytes     {most:?}");
    for outcome in [&longest, &most] {
        assert_eq!(outcome.disconnected_with_few_events, 0);
        assert!(outcome.peak_bytes <= MEMORY_LIMIT, "{}", outcome.peak_bytes);
        assert!(
            outcome.disconnected_non_readers > 0,
            "callers that never read were disconnected"
        );
    }
    assert!(longest.disconnected_readers < most.disconnected_readers);
    assert!(longest.completed > most.completed);
}

#[parameterized(
    longest_unread = { DisconnectOrder::LongestUnread },
    most_bytes = { DisconnectOrder::MostBytes },
)]
fn an_account_that_reads_nothing_is_disconnected_first(order: DisconnectOrder) {
    let (_, cut) = simulate(order, 4, Some(3));
    let non_reading = cut.iter().filter(|a| **a == 3).count();
    println!(
        "{order:?}: {non_reading} of {} disconnected are the account's",
        cut.len()
    );
    assert!(
        non_reading * 10 > cut.len() * 9,
        "{non_reading} of {}",
        cut.len()
    );
}

fn behind(
    all: &mut AnswerArena<()>,
    account: u64,
    bytes: u64,
    chunks: u32,
    since: u64,
) -> LaggingCaller {
    LaggingCaller {
        key: all.insert(()),
        account,
        bytes,
        chunks,
        since: Instant::from_millis(since),
    }
}

#[test]
fn nobody_is_cut_below_the_bound_or_for_a_few_events() {
    let limits = BufferLimits::of(1_000);
    let mut all = AnswerArena::default();
    let one = behind(&mut all, 1, 800, 100, 1);
    let few = behind(&mut all, 2, 900, MAX_SPARED_CHUNKS, 0);
    assert_eq!(
        limits.select(DisconnectOrder::LongestUnread, 800, &[one]),
        []
    );
    assert_eq!(
        limits.select(DisconnectOrder::LongestUnread, 900, &[few]),
        []
    );
    let cut = limits.select(DisconnectOrder::LongestUnread, 1_700, &[one, few]);
    assert_eq!(cut, [one.key]);
}

#[test]
fn a_large_account_is_cut_down_to_its_share_before_others() {
    let limits = BufferLimits::of(1_000);
    let mut all = AnswerArena::default();
    let small = behind(&mut all, 1, 200, 20, 1);
    let older = behind(&mut all, 2, 400, 20, 5);
    let newer = behind(&mut all, 2, 400, 20, 6);
    let cut = limits.select(
        DisconnectOrder::LongestUnread,
        1_000,
        &[small, older, newer],
    );
    assert_eq!(
        cut,
        [older.key],
        "the longest unread one of the large account"
    );
}
