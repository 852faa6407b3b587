//! Which contents are quarantined: what clears them, bounds, and what targets that end by
//! themselves do to the streams on them. What a router sees: `cut_runs`.

use deckwind_core::control::{
    ControlEvent, ControlRequest, CutReport, OperatorReply, OperatorRequest, QuarantinedView,
};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::routes::CutRuns;
use deckwind_core::state::{
    Command, CommandBody, ContentDigest, Life, StateMachine, SuspectChange,
};
use deckwind_core::time::Instant;
use deckwind_testkit::{Lab, NetFaults};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use yare::parameterized;

const MINUTE_MS: u64 = 60_000;

pub fn content(name: &str) -> ContentDigest {
    ContentDigest::of("POST", "/x", Some("account"), name.as_bytes())
}

pub fn life(name: &str) -> Life {
    Life::from(name)
}

pub fn apply(machine: &mut StateMachine, at_ms: u64, changes: Vec<SuspectChange>) {
    let body = CommandBody::Suspects(changes);
    machine.apply(Command { at_ms, body });
}

pub fn ended(content: ContentDigest, life: Life) -> SuspectChange {
    SuspectChange::Ended {
        content,
        life,
        begun: false,
    }
}

pub fn quarantined(machine: &StateMachine) -> usize {
    machine.configuration().suspects().quarantined().count()
}

/// What routers saw of one content, by minute: a name is a life that ended.
#[parameterized(
    three = { &[(0, "a"), (1, "b"), (2, "c")], 2, 1 },
    two = { &[(0, "a"), (1, "b")], 1, 0 },
    one_life_told_again = { &[(0, "a"), (0, "a"), (1, "b"), (1, "b")], 1, 0 },
    served_before_the_third = { &[(0, "a"), (1, "b"), (1, "served"), (2, "c")], 2, 0 },
    served_after_the_third = { &[(0, "a"), (1, "b"), (2, "c"), (2, "served")], 2, 0 },
    lifted = { &[(0, "a"), (1, "b"), (2, "c"), (2, "lift")], 2, 0 },
    far_apart = { &[(0, "a"), (11, "b"), (22, "c")], 22, 0 },
    within_the_hour = { &[(0, "a"), (0, "b"), (0, "c"), (59, "")], 59, 1 },
    after_the_hour = { &[(0, "a"), (0, "b"), (0, "c"), (60, "")], 60, 0 },
    told_again_after_it = { &[(0, "a"), (0, "b"), (0, "c"), (30, "c"), (61, "")], 61, 0 },
)]
fn a_content_is_quarantined(seen: &[(u64, &str)], until: u64, count: usize) {
    let mut machine = StateMachine::default();
    let it = content("it");
    for (minute, what) in seen {
        let change = match *what {
            "" => None,
            "served" => Some(SuspectChange::Served(it)),
            "lift" => Some(SuspectChange::Lift(it)),
            name => Some(ended(it, life(name))),
        };
        apply(
            &mut machine,
            minute * MINUTE_MS + 1,
            change.into_iter().collect(),
        );
    }
    assert_eq!(quarantined(&machine), count, "in minute {until}");
    let snapshot = machine.to_snapshot();
    let again = StateMachine::from_snapshot(&snapshot).expect("a snapshot");
    assert_eq!(quarantined(&again), count, "after a restart");
    assert!(!again.quarantine().has_outdated(until * MINUTE_MS + 1));
}

/// Memory is bounded, and what is nearly condemned is not pushed out by what is not.
#[test]
fn thousands_of_contents_do_not_push_out_the_one_that_counts() {
    let mut machine = StateMachine::default();
    let it = content("it");
    apply(
        &mut machine,
        1,
        vec![ended(it, life("a")), ended(it, life("b"))],
    );
    for i in 0..6_000 {
        let other = content(&i.to_string());
        apply(&mut machine, 2, vec![ended(other, life("c"))]);
    }
    assert_eq!(machine.configuration().suspects().ends(&it), 2);
    for i in 0..2_000 {
        let other = content(&i.to_string());
        let ends = ["d", "e", "f"].map(|name| ended(other, life(name)));
        apply(&mut machine, 3, ends.to_vec());
    }
    let listed = machine.configuration().suspects().len();
    assert!(listed <= 1_024, "{listed} are told to routers");
    let bytes = machine.to_snapshot().len();
    assert!(bytes < 700_000, "the snapshot has {bytes} bytes");
}

/// Parts of a request don't run together, and ids and deadlines are no part of it.
#[test]
fn contents_are_told_apart() {
    let of = |path, account, body| ContentDigest::of("POST", path, account, body);
    let it = of("/a", Some("b"), b"c".as_slice());
    assert_eq!(it, of("/a", Some("b"), b"c"));
    let others = [
        of("/ab", Some(""), b"c"),
        of("/a", Some("bc"), b""),
        of("/a", None, b"c"),
        of("/a", Some("b"), b"d"),
        ContentDigest::of("GET", "/a", Some("b"), b"c"),
    ];
    assert!(others.iter().all(|other| *other != it));
}

/// Engines of the model below, and streams that begin each second.
const ENGINES: usize = 30;
const STREAMS_A_SECOND: u64 = 60;

/// From its sending to a stream's first event, and to its last.
const FIRST_EVENT_MS: u64 = 80;
const LAST_EVENT_MS: u64 = 4_000;

/// From the sending of the request that ends its targets to the end of one.
const ENDS_AFTER_MS: u64 = 140;

/// A stream in the model.
struct Stream {
    content: ContentDigest,
    engine: usize,
    sent: Instant,
    sends: u32,
}

/// Streams over engines that end by themselves, one router, its leader.
struct Model {
    rng: StdRng,
    now: Instant,
    lives: [u64; ENGINES],
    streams: Vec<Stream>,
    /// Engines in use.
    engines: usize,
    /// Streams of one engine that ended move to one other, not each by a draw.
    together: bool,
    runs: CutRuns,
    machine: StateMachine,
    begun: u64,
    condemned: usize,
}

impl Model {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Instant::from_millis(1),
            lives: [0; ENGINES],
            streams: Vec::new(),
            engines: ENGINES,
            together: true,
            runs: CutRuns::default(),
            machine: StateMachine::default(),
            begun: 0,
            condemned: 0,
        }
    }

    fn life_at(&self, engine: usize) -> Life {
        Life {
            id: format!("e-{engine}"),
            born: Some(self.lives[engine]),
        }
    }

    /// A twentieth of all streams ask for the same thing.
    fn begin(&mut self) {
        self.begun += 1;
        let name = match self.begun % 20 {
            0 => "common".to_string(),
            _ => self.begun.to_string(),
        };
        let engine = self.rng.random_range(0..self.engines);
        self.streams.push(Stream {
            content: content(&name),
            engine,
            sent: self.now,
            sends: 1,
        });
    }

    /// Streams whose last event has come.
    fn end_streams(&mut self) {
        let last = Duration::from_millis(LAST_EVENT_MS);
        let (over, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|s| self.now.since(s.sent) >= last);
        self.streams = rest;
        for stream in over {
            self.runs.served(self.now, stream.content);
        }
    }

    /// Engines end at one moment. Their streams move at once; after two moves their
    /// callers ask again, with the same content. Where the last of them went.
    fn end_engines(&mut self, engines: &[usize]) -> usize {
        let lives = engines.iter().map(|e| self.life_at(*e)).collect();
        let first = Duration::from_millis(FIRST_EVENT_MS);
        let mut to = self.rng.random_range(0..self.engines);
        let mut cut = Vec::new();
        for stream in &mut self.streams {
            if engines.contains(&stream.engine) {
                let since = self.now.since(stream.sent);
                let ran = since.checked_sub(first);
                cut.push((stream.content, stream.engine, ran));
                if !self.together {
                    to = self.rng.random_range(0..self.engines);
                }
                stream.engine = to;
                stream.sent = self.now;
                stream.sends += 1;
            }
        }
        for (content, engine, ran) in cut {
            let life = self.life_at(engine);
            self.runs.cut(self.now, content, &life, ran);
        }
        self.streams.retain(|s| s.sends <= 4);
        let now = self.now;
        let runs = &mut self.runs;
        self.streams.retain(|s| runs.may_send(now, &s.content));
        self.runs.lives_over(self.now, lives);
        for engine in engines {
            self.lives[*engine] += 1;
        }
        let news = self.runs.take_news();
        let at_ms = self.now.since(Instant::ZERO).as_millis() as u64;
        apply(&mut self.machine, at_ms, news);
        let list = self.machine.configuration().suspects();
        self.condemned = self.condemned.max(list.quarantined().count());
        self.runs.agreed(self.now, list);
        to
    }

    /// This content comes each second, and ends the engines that run it. How many.
    fn storm(&mut self, bad: ContentDigest) -> u32 {
        const SENDS: usize = 2;
        let mut ends = 0;
        for _ in 0..20 {
            let mut at = self.rng.random_range(0..self.engines);
            for _ in 0..SENDS {
                if !self.runs.may_send(self.now, &bad) {
                    break;
                }
                let life = self.life_at(at);
                self.now = self.now + Duration::from_millis(ENDS_AFTER_MS);
                self.runs.cut(self.now, bad, &life, None);
                at = self.end_engines(&[at]);
                ends += 1;
            }
            self.run_for(1, |_| {});
        }
        ends
    }

    fn run_for(&mut self, seconds: u64, mut each_second: impl FnMut(&mut Self)) {
        for _ in 0..seconds {
            for _ in 0..STREAMS_A_SECOND {
                self.begin();
                self.now = self.now + Duration::from_millis(1_000 / STREAMS_A_SECOND);
            }
            self.end_streams();
            each_second(self);
        }
    }
}

/// Each second one engine ends by itself for an hour, a thousand times as often as
/// targets do: nobody is condemned, neither a stream that is there twice nor what many
/// callers ask for.
#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn engines_that_end_by_themselves_condemn_nobody(seed: u64) {
    let mut model = Model::new(seed);
    model.run_for(3_600, |model| {
        let engine = model.rng.random_range(0..ENGINES);
        model.end_engines(&[engine]);
    });
    assert_eq!(model.condemned, 0);
}

/// A third of all engines end at one moment, three times within as many seconds.
#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn data_centres_that_end_condemn_nobody(seed: u64) {
    let mut model = Model::new(seed);
    model.run_for(20, |_| {});
    for centre in 0..3 {
        let of_centre: Vec<usize> = (0..ENGINES).filter(|e| e % 3 == centre).collect();
        model.end_engines(&of_centre);
        model.run_for(1, |_| {});
    }
    assert_eq!(model.condemned, 0);
}

/// A request that ends its targets comes each second, and moves as streams do. It ends
/// three in each of 20 storms. Streams that were there would be condemned with it only
/// if they had just begun there each of the three times: none was, neither where they
/// move by a draw among 30 engines or three, nor where all of an engine's move to the
/// same other one.
#[parameterized(
    large = { 30, false },
    three_engines = { 3, false },
    moved_together = { 3, true },
)]
fn a_request_that_ends_its_targets_condemns_no_bystanders(engines: usize, together: bool) {
    for seed in 0..20 {
        let mut model = Model::new(seed);
        model.engines = engines;
        model.together = together;
        model.run_for(20, |_| {});
        assert_eq!(model.storm(content("bad")), 3, "seed {seed}");
        assert_eq!(model.condemned, 1, "seed {seed}");
    }
}

/// Has the leader told of ends under a content, as a router does.
fn tell(lab: &mut Lab, leader: usize, changes: Vec<SuspectChange>) {
    let request = ControlRequest::CutRuns(CutReport {
        broke: Vec::new(),
        changes,
    });
    let event = ControlEvent::Request {
        token: 9_999,
        request,
    };
    lab.happens(leader, event);
    lab.run_for(Duration::from_millis(300));
}

fn quarantined_views(lab: &mut Lab, leader: usize) -> Vec<QuarantinedView> {
    lab.ask(leader, "status", OperatorRequest::Status);
    lab.run_for(Duration::from_millis(100));
    match lab.last_reply("status") {
        Some(OperatorReply::Status(status)) => status.quarantined.clone(),
        other => panic!("{other:?}"),
    }
}

/// Two ends before the leader is killed, the third told to the next one, and again:
/// all routers know, and one that starts again too.
#[test]
fn ends_outlive_the_leader_that_was_told() {
    let mut lab = Lab::new(3, 2, 11, NetFaults::NONE);
    let it = content("it");
    let leader = lab.run_until_led();
    tell(
        &mut lab,
        leader,
        vec![ended(it, life("a")), ended(it, life("b"))],
    );
    lab.crash(leader, 0);
    lab.run_for(Duration::from_secs(3));
    let next = lab.run_until_led();
    assert_ne!(next, leader);
    assert_eq!(quarantined_views(&mut lab, next), Vec::new());
    for _ in 0..2 {
        tell(&mut lab, next, vec![ended(it, life("c"))]);
    }
    lab.run_for(Duration::from_secs(1));
    let views = quarantined_views(&mut lab, next);
    assert_eq!(views.len(), 1);
    assert_eq!(views[0].content, it.to_string());
    assert_eq!(views[0].ended, ["a", "b", "c"]);
    for router in &lab.routers {
        assert!(!router.may_send(&it), "{}", router.name());
    }
    lab.routers[0].restart(LeaseTiming::default());
    lab.run_for(Duration::from_secs(3));
    assert!(!lab.routers[0].may_send(&it), "after its restart");

    lab.ask(next, "lift", OperatorRequest::Lift(it));
    lab.run_for(Duration::from_secs(1));
    assert!(matches!(
        lab.last_reply("lift"),
        Some(OperatorReply::Accepted { .. })
    ));
    assert_eq!(quarantined_views(&mut lab, next), Vec::new());
    for router in &lab.routers {
        assert!(router.may_send(&it), "{}", router.name());
    }
}

/// As logs and status print it.
#[parameterized(
    short = { "12" },
    no_digit = { "0123456789abcdef0123456789abcdeg" },
    sign = { "+123456789abcdef0123456789abcdef" },
    long = { "0123456789abcdef0123456789abcdef0" },
)]
fn what_is_no_digest_is_not_read(text: &str) {
    assert!(text.parse::<ContentDigest>().is_err());
}

#[test]
fn a_digest_is_read_as_it_is_printed() {
    let it = content("it");
    assert_eq!(it.to_string().parse(), Ok(it));
}

/// Two disks are lost at the end, and at the same moment everything else loses power,
/// routers too: the other three hold what was agreed.
#[parameterized(
    first_and_second = { [0, 1], 0 },
    torn_writes = { [0, 1], 13 },
    last_two = { [3, 4], 13 },
    apart = { [1, 3], 7 },
)]
fn what_was_agreed_survives_two_lost_disks_and_the_power(lost: [usize; 2], torn: usize) {
    const REPLICAS: usize = 5;
    let mut lab = Lab::new(REPLICAS, 2, 12, NetFaults::NONE);
    let it = content("it");
    let leader = lab.run_until_led();
    let ends = ["a", "b", "c"].map(|name| ended(it, life(name)));
    tell(&mut lab, leader, ends.to_vec());
    lab.run_for(Duration::from_secs(1));
    for slot in 0..REPLICAS {
        match lost.contains(&slot) {
            true => lab.lose_disk(slot),
            false => lab.crash(slot, torn),
        }
    }
    for router in &mut lab.routers {
        router.restart(LeaseTiming::default());
    }
    (0..REPLICAS).for_each(|slot| lab.start(slot));
    lab.run_for(Duration::from_secs(10));
    let next = lab.run_until_led();
    let views = quarantined_views(&mut lab, next);
    assert_eq!(views.len(), 1);
    assert_eq!(views[0].ended, ["a", "b", "c"]);
    for router in &lab.routers {
        assert!(!router.may_send(&it), "{}", router.name());
    }
}
