//! Quarantine of request contents: when it begins and ends, its bounds, and that targets
//! which crash by themselves quarantine none of their streams. `interrupted_runs` tests the view of
//! one router.

use deckwind_core::control::{
    ControlEvent, ControlRequest, CutReport, OperatorReply, OperatorRequest, QuarantinedView,
};
use deckwind_core::membership::LeaseTiming;
use deckwind_core::routes::InterruptedRuns;
use deckwind_core::state::{
    Command, CommandBody, ContentDigest, CrashedRun, Incarnation, RequestTrait, RequestTraits,
    RunProgress, StateMachine, SuspectChange,
};
use deckwind_core::time::Instant;
use deckwind_testkit::{ControlSimulation, NetFaults};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use yare::parameterized;

const MINUTE_MS: u64 = 60_000;

pub fn content(name: &str) -> ContentDigest {
    ContentDigest::of("POST", "/x", Some("account"), name.as_bytes())
}

pub fn incarnation(name: &str) -> Incarnation {
    Incarnation::from(name)
}

/// Applies changes, and then the list that is derived from them.
pub fn apply(machine: &mut StateMachine, at_ms: u64, changes: Vec<SuspectChange>) {
    let body = CommandBody::Suspects(changes);
    machine.apply(Command { at_ms, body });
    let body = CommandBody::SuspectList(machine.quarantine().evidence(at_ms).derive());
    machine.apply(Command { at_ms, body });
}

/// Returns the crash of an incarnation that had just begun to run a request with this content.
pub fn crash(content: ContentDigest, life: Incarnation) -> SuspectChange {
    crash_of(&content.into(), life, false)
}

/// Returns the crash of an incarnation that had just begun to run a request, and may have
/// written an event.
pub fn crash_of(request: &RequestTraits, life: Incarnation, begun: bool) -> SuspectChange {
    let progress = match begun {
        true => RunProgress::Begun,
        false => RunProgress::NoEvent,
    };
    crash_at(request, life, progress)
}

/// Returns the crash of an incarnation that had just begun to run a request, with its progress.
pub fn crash_at(
    request: &RequestTraits,
    life: Incarnation,
    progress: RunProgress,
) -> SuspectChange {
    SuspectChange::Ended(CrashedRun {
        run: request.content().into(),
        traits: request.all().to_vec(),
        served: Vec::new(),
        life,
        progress,
    })
}

pub fn quarantined(machine: &StateMachine) -> usize {
    machine.configuration().suspects().quarantined().count()
}

/// Crashes at which a content was present, each with how long its run had written, and the
/// poison request beside it, if any, whose run had written nothing; and whether the content is
/// quarantined.
///
/// Guards against a sound content that was refused for an hour: most callers ask for it, so a
/// run of it was at each of three crashes that poison requests or chance caused.
#[parameterized(
    without_events = { &[(None, ""), (None, ""), (None, "")], true },
    soon_after_an_event = { &[(Some(120), ""), (Some(120), ""), (Some(120), "")], true },
    once_in_flow = { &[(None, "a"), (None, "a"), (Some(130), "")], false },
    once_in_flow_of_four = { &[(None, ""), (None, ""), (Some(130), ""), (None, "")], true },
    five_in_flow = { &[(Some(130), ""); 5], false },
    six_in_flow = { &[(Some(130), ""); 6], true },
    beside_two = { &[(None, "a"), (Some(50), "a"), (Some(50), "b")], false },
    beside_two_in_turn = { &[(Some(50), "a"), (Some(50), "b"), (Some(50), "a"), (Some(50), "b")], false },
    beside_strangers = { &[(Some(50), "a"), (Some(50), "b"), (Some(50), "c")], true },
    beside_one_without_an_event = { &[(None, "a"), (None, "a"), (None, "b")], true },
    four_beside_two = { &[(Some(50), "a"), (Some(50), "a"), (None, "b"), (None, "b")], true },
)]
fn an_unlikely_cause_of_a_crash_counts_half(crashes: &[(Option<u64>, &str)], is_quarantined: bool) {
    let mut machine = StateMachine::default();
    let popular = content("popular").into();
    for (i, (wrote_ms, poison)) in crashes.iter().enumerate() {
        let life = incarnation(&i.to_string());
        let progress = RunProgress::of(wrote_ms.map(Duration::from_millis));
        let seen = crash_at(&popular, life.clone(), progress);
        apply(&mut machine, 1, vec![seen]);
        if !poison.is_empty() {
            apply(&mut machine, 1, vec![crash(content(poison), life)]);
        }
    }
    let list = machine.configuration().suspects();
    let popular = RequestTrait::Content(content("popular"));
    assert_eq!(
        list.quarantined().any(|g| g.contains(&popular)),
        is_quarantined
    );
}

/// Arguments: what routers reported of one content, by minute (a name is an incarnation that
/// crashed), the last minute, and the number of quarantined contents.
#[parameterized(
    three = { &[(0, "a"), (1, "b"), (2, "c")], 2, 1 },
    two = { &[(0, "a"), (1, "b")], 1, 0 },
    one_incarnation_reported_again = { &[(0, "a"), (0, "a"), (1, "b"), (1, "b")], 1, 0 },
    served_before_the_third = { &[(0, "a"), (1, "b"), (1, "served"), (2, "c")], 2, 0 },
    served_after_the_third = { &[(0, "a"), (1, "b"), (2, "c"), (2, "served")], 2, 0 },
    lifted = { &[(0, "a"), (1, "b"), (2, "c"), (2, "lift")], 2, 0 },
    far_apart = { &[(0, "a"), (11, "b"), (22, "c")], 22, 0 },
    within_the_hour = { &[(0, "a"), (0, "b"), (0, "c"), (59, "")], 59, 1 },
    after_the_hour = { &[(0, "a"), (0, "b"), (0, "c"), (60, "")], 60, 0 },
    reported_again_during_it = { &[(0, "a"), (0, "b"), (0, "c"), (30, "c"), (61, "")], 61, 0 },
)]
fn a_content_is_quarantined(reports: &[(u64, &str)], last_minute: u64, count: usize) {
    let mut machine = StateMachine::default();
    let digest = content("it");
    for (minute, report) in reports {
        let change = match *report {
            "" => None,
            "served" => Some(SuspectChange::Served(RequestTrait::Content(digest))),
            "lift" => Some(SuspectChange::Lift(RequestTrait::Content(digest))),
            name => Some(crash(digest, incarnation(name))),
        };
        apply(
            &mut machine,
            minute * MINUTE_MS + 1,
            change.into_iter().collect(),
        );
    }
    assert_eq!(quarantined(&machine), count, "in minute {last_minute}");
    let snapshot = machine.to_snapshot();
    let again = StateMachine::from_snapshot(&snapshot).expect("a snapshot");
    assert_eq!(quarantined(&again), count, "after a restart");
    assert!(!again.quarantine().has_expired(last_minute * MINUTE_MS + 1));
}

/// Memory is bounded, and a content with two crashes is not evicted by contents with one.
#[test]
fn thousands_of_contents_do_not_evict_the_one_with_two_crashes() {
    let mut machine = StateMachine::default();
    let digest = content("it");
    apply(
        &mut machine,
        1,
        vec![
            crash(digest, incarnation("a")),
            crash(digest, incarnation("b")),
        ],
    );
    for i in 0..6_000 {
        let other = content(&i.to_string());
        apply(&mut machine, 2, vec![crash(other, incarnation("c"))]);
    }
    assert_eq!(
        machine
            .configuration()
            .suspects()
            .crash_count(&RequestTrait::Content(digest)),
        2
    );
    for i in 0..2_000 {
        let other = content(&i.to_string());
        let crashes = ["d", "e", "f"].map(|name| crash(other, incarnation(name)));
        apply(&mut machine, 3, crashes.to_vec());
    }
    let listed = machine.configuration().suspects().len();
    assert!(listed <= 1_024, "{listed} are sent to routers");
    let bytes = machine.to_snapshot().len();
    assert!(bytes < 700_000, "the snapshot has {bytes} bytes");
}

/// The digest separates the parts of a request: moving bytes from one part to the next
/// changes it. Ids and deadlines are not part of it.
#[test]
fn contents_are_told_apart() {
    let digest_of = |path, account, body| ContentDigest::of("POST", path, account, body);
    let digest = digest_of("/a", Some("b"), b"c".as_slice());
    assert_eq!(digest, digest_of("/a", Some("b"), b"c"));
    let others = [
        digest_of("/ab", Some(""), b"c"),
        digest_of("/a", Some("bc"), b""),
        digest_of("/a", None, b"c"),
        digest_of("/a", Some("b"), b"d"),
        ContentDigest::of("GET", "/a", Some("b"), b"c"),
    ];
    assert!(others.iter().all(|other| *other != digest));
}

/// Number of engines in the model.
const ENGINES: usize = 30;

/// Number of streams that begin each second.
const STREAMS_A_SECOND: u64 = 60;

/// Time from sending a stream's request to its first event.
const FIRST_EVENT_MS: u64 = 80;

/// Time from sending a stream's request to its last event.
const LAST_EVENT_MS: u64 = 4_000;

/// Time from sending a poison request to the crash of its target.
const CRASH_AFTER_MS: u64 = 140;

/// Stream in the model.
struct Stream {
    content: ContentDigest,
    engine: usize,
    sent: Instant,
    sends: u32,
}

/// Model of one router, its leader, and streams over engines that crash.
struct Model {
    rng: StdRng,
    now: Instant,
    incarnations: [u64; ENGINES],
    streams: Vec<Stream>,
    /// Number of engines in use.
    engines: usize,
    /// Whether all streams of a crashed engine move to the same other engine; each moves to a
    /// random engine otherwise.
    moves_together: bool,
    cut_runs: InterruptedRuns,
    machine: StateMachine,
    started_streams: u64,
    max_quarantined: usize,
}

impl Model {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Instant::from_millis(1),
            incarnations: [0; ENGINES],
            streams: Vec::new(),
            engines: ENGINES,
            moves_together: true,
            cut_runs: InterruptedRuns::default(),
            machine: StateMachine::default(),
            started_streams: 0,
            max_quarantined: 0,
        }
    }

    fn incarnation_at(&self, engine: usize) -> Incarnation {
        Incarnation {
            id: format!("e-{engine}"),
            born: Some(self.incarnations[engine]),
        }
    }

    /// Starts a stream. Every twentieth stream has the same content.
    fn start_stream(&mut self) {
        self.started_streams += 1;
        let name = match self.started_streams % 20 {
            0 => "common".to_string(),
            _ => self.started_streams.to_string(),
        };
        let engine = self.rng.random_range(0..self.engines);
        self.streams.push(Stream {
            content: content(&name),
            engine,
            sent: self.now,
            sends: 1,
        });
    }

    /// Removes the streams whose last event has come.
    fn finish_streams(&mut self) {
        let until_last_event = Duration::from_millis(LAST_EVENT_MS);
        let (finished, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|s| self.now.since(s.sent) >= until_last_event);
        self.streams = rest;
        for stream in finished {
            self.cut_runs
                .record_served(self.now, &stream.content.into());
        }
    }

    /// Crashes several engines at the same time. Their streams move at once; after two moves
    /// the callers retry with the same content. Returns the engine to which the last stream
    /// moved.
    fn crash_engines(&mut self, engines: &[usize]) -> usize {
        let incarnations = engines.iter().map(|e| self.incarnation_at(*e)).collect();
        let first = Duration::from_millis(FIRST_EVENT_MS);
        let mut to = self.rng.random_range(0..self.engines);
        let mut interrupted = Vec::new();
        for stream in &mut self.streams {
            if engines.contains(&stream.engine) {
                let since = self.now.since(stream.sent);
                let ran = since.checked_sub(first);
                interrupted.push((stream.content, stream.engine, ran));
                if !self.moves_together {
                    to = self.rng.random_range(0..self.engines);
                }
                stream.engine = to;
                stream.sent = self.now;
                stream.sends += 1;
            }
        }
        for (content, engine, ran) in interrupted {
            let incarnation = self.incarnation_at(engine);
            self.cut_runs
                .record_interrupted(self.now, &content.into(), &incarnation, ran);
        }
        self.streams.retain(|s| s.sends <= 4);
        let now = self.now;
        let cut_runs = &mut self.cut_runs;
        self.streams
            .retain(|s| cut_runs.may_send(now, &s.content.into()));
        self.cut_runs
            .record_ended_incarnations(self.now, incarnations);
        for engine in engines {
            self.incarnations[*engine] += 1;
        }
        let changes = self.cut_runs.take_unreported_changes();
        let at_ms = self.now.since(Instant::ZERO).as_millis() as u64;
        apply(&mut self.machine, at_ms, changes);
        let list = self.machine.configuration().suspects();
        self.max_quarantined = self.max_quarantined.max(list.quarantined().count());
        self.cut_runs.set_agreed(self.now, list);
        to
    }

    /// Sends a poison request each second and crashes the engines that run it. Returns the
    /// number of crashes.
    fn run_poison_requests(&mut self, poison: ContentDigest) -> u32 {
        const SENDS: usize = 2;
        let mut crashes = 0;
        for _ in 0..20 {
            let mut at = self.rng.random_range(0..self.engines);
            for _ in 0..SENDS {
                if !self.cut_runs.may_send(self.now, &poison.into()) {
                    break;
                }
                let incarnation = self.incarnation_at(at);
                self.now = self.now + Duration::from_millis(CRASH_AFTER_MS);
                self.cut_runs
                    .record_interrupted(self.now, &poison.into(), &incarnation, None);
                at = self.crash_engines(&[at]);
                crashes += 1;
            }
            self.run_for(1, |_| {});
        }
        crashes
    }

    fn run_for(&mut self, seconds: u64, mut each_second: impl FnMut(&mut Self)) {
        for _ in 0..seconds {
            for _ in 0..STREAMS_A_SECOND {
                self.start_stream();
                self.now = self.now + Duration::from_millis(1_000 / STREAMS_A_SECOND);
            }
            self.finish_streams();
            each_second(self);
        }
    }
}

/// One engine crashes by itself each second for an hour, a thousand times as often as
/// targets do. No content is quarantined, neither of a stream that meets two crashes nor of
/// one that many callers request.
#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn engines_that_crash_by_themselves_quarantine_no_content(seed: u64) {
    let mut model = Model::new(seed);
    model.run_for(3_600, |model| {
        let engine = model.rng.random_range(0..ENGINES);
        model.crash_engines(&[engine]);
    });
    assert_eq!(model.max_quarantined, 0);
}

/// A third of all engines crash at the same time, three times within three seconds.
#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn data_centres_that_crash_quarantine_no_content(seed: u64) {
    let mut model = Model::new(seed);
    model.run_for(20, |_| {});
    for centre in 0..3 {
        let of_centre: Vec<usize> = (0..ENGINES).filter(|e| e % 3 == centre).collect();
        model.crash_engines(&of_centre);
        model.run_for(1, |_| {});
    }
    assert_eq!(model.max_quarantined, 0);
}

/// A poison request comes each second and moves between engines as streams do. It crashes
/// three engines in each of 20 runs. Another stream would be quarantined with it only if it
/// had just begun at the crashed engine all three times. That happens to none, neither if
/// streams move to a random one of 30 or of three engines, nor if all streams of an engine
/// move to the same other one.
#[parameterized(
    large = { 30, false },
    three_engines = { 3, false },
    moved_together = { 3, true },
)]
fn a_poison_request_quarantines_no_bystanders(engines: usize, moves_together: bool) {
    for seed in 0..20 {
        let mut model = Model::new(seed);
        model.engines = engines;
        model.moves_together = moves_together;
        model.run_for(20, |_| {});
        assert_eq!(model.run_poison_requests(content("bad")), 3, "seed {seed}");
        assert_eq!(model.max_quarantined, 1, "seed {seed}");
    }
}

/// Reports crashes under a content to the leader, as a router does.
fn report_to_leader(sim: &mut ControlSimulation, leader: usize, changes: Vec<SuspectChange>) {
    let request = ControlRequest::CutRuns(CutReport {
        broke: Vec::new(),
        changes,
    });
    let event = ControlEvent::Request {
        token: 9_999,
        request,
    };
    sim.push_event(leader, event);
    sim.run_for(Duration::from_millis(300));
}

fn quarantined_views(sim: &mut ControlSimulation, leader: usize) -> Vec<QuarantinedView> {
    sim.request(leader, "status", OperatorRequest::Status);
    sim.run_for(Duration::from_millis(100));
    match sim.last_reply("status") {
        Some(OperatorReply::Status(status)) => status.quarantined.clone(),
        other => panic!("{other:?}"),
    }
}

/// Two crashes are reported before the leader is killed, the third to the next leader, and
/// there twice. All routers then refuse the content, also one that restarts.
#[test]
fn crashes_outlive_the_leader_they_were_reported_to() {
    let mut sim = ControlSimulation::new(3, 2, 11, NetFaults::NONE);
    let digest = content("it");
    let leader = sim.run_until_leader();
    report_to_leader(
        &mut sim,
        leader,
        vec![
            crash(digest, incarnation("a")),
            crash(digest, incarnation("b")),
        ],
    );
    sim.crash(leader, 0);
    sim.run_for(Duration::from_secs(3));
    let next = sim.run_until_leader();
    assert_ne!(next, leader);
    assert_eq!(quarantined_views(&mut sim, next), Vec::new());
    for _ in 0..2 {
        report_to_leader(&mut sim, next, vec![crash(digest, incarnation("c"))]);
    }
    sim.run_for(Duration::from_secs(1));
    let views = quarantined_views(&mut sim, next);
    assert_eq!(views.len(), 1);
    assert_eq!(views[0].traits, [digest.to_string()]);
    assert_eq!(views[0].ended, ["a", "b", "c"]);
    for router in &sim.routers {
        assert!(!router.may_send(&digest.into()), "{}", router.name());
    }
    sim.routers[0].restart(LeaseTiming::default());
    sim.run_for(Duration::from_secs(3));
    assert!(
        !sim.routers[0].may_send(&digest.into()),
        "after its restart"
    );

    sim.request(
        next,
        "lift",
        OperatorRequest::Lift(RequestTrait::Content(digest)),
    );
    sim.run_for(Duration::from_secs(1));
    assert!(matches!(
        sim.last_reply("lift"),
        Some(OperatorReply::Accepted { .. })
    ));
    assert_eq!(quarantined_views(&mut sim, next), Vec::new());
    for router in &sim.routers {
        assert!(router.may_send(&digest.into()), "{}", router.name());
    }
}

/// A digest is 32 hexadecimal digits, as logs and the status print it.
#[parameterized(
    short = { "12" },
    no_digit = { "0123456789abcdef0123456789abcdeg" },
    sign = { "+123456789abcdef0123456789abcdef" },
    long = { "0123456789abcdef0123456789abcdef0" },
)]
fn a_text_that_is_no_digest_is_not_parsed(text: &str) {
    assert!(text.parse::<ContentDigest>().is_err());
}

#[test]
fn a_digest_is_read_as_it_is_printed() {
    let digest = content("it");
    assert_eq!(digest.to_string().parse(), Ok(digest));
}

/// Two replicas lose their disks, and at the same time all others and the routers lose
/// power. The other three replicas keep what was agreed.
#[parameterized(
    first_and_second = { [0, 1], 0 },
    torn_writes = { [0, 1], 13 },
    last_two = { [3, 4], 13 },
    apart = { [1, 3], 7 },
)]
fn what_was_agreed_survives_two_lost_disks_and_the_power(lost: [usize; 2], torn: usize) {
    const REPLICAS: usize = 5;
    let mut sim = ControlSimulation::new(REPLICAS, 2, 12, NetFaults::NONE);
    let digest = content("it");
    let leader = sim.run_until_leader();
    let crashes = ["a", "b", "c"].map(|name| crash(digest, incarnation(name)));
    report_to_leader(&mut sim, leader, crashes.to_vec());
    sim.run_for(Duration::from_secs(1));
    for slot in 0..REPLICAS {
        match lost.contains(&slot) {
            true => sim.lose_disk(slot),
            false => sim.crash(slot, torn),
        }
    }
    for router in &mut sim.routers {
        router.restart(LeaseTiming::default());
    }
    (0..REPLICAS).for_each(|slot| sim.start(slot));
    sim.run_for(Duration::from_secs(10));
    let next = sim.run_until_leader();
    let views = quarantined_views(&mut sim, next);
    assert_eq!(views.len(), 1);
    assert_eq!(views[0].ended, ["a", "b", "c"]);
    for router in &sim.routers {
        assert!(!router.may_send(&digest.into()), "{}", router.name());
    }
}
