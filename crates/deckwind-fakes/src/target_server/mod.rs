//! Fake of the users' targets (plain services and engines that hold layers), which serves
//! their published protocol over HTTP/1.1, with faults.
//!
//! The module `answers` writes the bytes of the answers itself, because about half of the
//! faults are malformed answers that an HTTP library would not write.

mod answer_body;
mod answers;
mod fleet;

pub use answer_body::{AnswerDraws, CutAnswer, CutPlace};
use answers::serve;
pub use answers::whole_stream;
use anyhow::{Context, Result};
pub use fleet::{FakeFleet, FleetArrival, FleetConfig, Outage};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The fault that a target injects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum FakeTargetFault {
    /// No fault.
    #[default]
    None,
    /// Refuses requests with 503 and marks them as not executed.
    Refuses {
        /// Address of another stage that the answer names as the cause.
        at_fault: Option<SocketAddr>,
    },
    /// Runs plain requests and answers 500.
    Fails,
    /// Answers with this status and a signature, but does not mark the request as not
    /// executed. The request is not recorded as run.
    AnswersStatus(u16),
    /// Answers plain requests with a body of this many bytes.
    LongBody(usize),
    /// Writes the events of a stream as fast as they are read.
    Floods {
        /// Number of events.
        events: u64,
        /// Bytes of data in each event.
        bytes: usize,
        /// Whether the target continues at the usual pace afterwards, until the fault is cleared.
        continues: bool,
    },
    /// Runs requests and closes the connection in the middle of the answer; of a
    /// stream, before the head.
    ClosesMidAnswer,
    /// Runs plain requests and does not answer for 600 s, then closes the connection.
    NeverAnswers,
    /// Answers plain requests with the ID of another request.
    OtherId,
    /// Answers plain requests without a signature.
    Unsigned,
    /// Answers plain requests without a content length and closes the connection.
    Unframed,
    /// Sends a second, unrequested answer after the answer to a plain request.
    SecondAnswer,
    /// Leaves every other order unanswered, and applies it only after the order that
    /// follows it.
    DelaysOrders,
    /// Refuses orders with 503.
    RefusesOrders,
    /// Breaks a stream off in the middle of the event after this one.
    BreaksStreamAfter(u64),
    /// Frames and ends streams in this way. A request on which the target crashes gets the
    /// stream up to its end, if that is broken off.
    EndsStream(StreamEnding),
    /// Runs requests and answers them with these bytes.
    Writes(RawAnswer),
    /// Runs requests and answers them without end.
    WritesEndlessly(EndlessAnswer),
    /// Answers report requests and orders without end. No order is applied.
    AnswersCallsEndlessly(EndlessAnswer),
    /// Like [`FakeTargetFault::EndsStream`], one byte after the other.
    EndsStreamBytewise(StreamEnding),
    /// Stalls a stream after an event until the fault is cleared, and reports the
    /// stage that causes the stall.
    StallsAfter {
        /// Last event that is sent before the stall.
        event: u64,
        /// Address of the stage that the report names.
        stage: SocketAddr,
    },
}

/// How a target marks the end of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFraming {
    /// By a last chunk.
    Chunked,
    /// By the end of the connection.
    Connection,
}

/// What becomes of a connection at the end of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
    /// It stays open, and nothing more is sent.
    Silence,
}

/// How a target frames a stream, and where and how it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamEnding {
    /// How the end of a whole stream is marked.
    pub framing: StreamFraming,
    /// Bytes of events after which the stream is broken off; `None` if it is whole.
    pub broken_after: Option<usize>,
    /// What becomes of the connection.
    pub connection: ConnectionEnd,
}

/// The bytes of an answer, and what becomes of its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawAnswer {
    /// Head and body. `{id}` stands for the ID of the request.
    pub text: String,
    /// How the connection ends after the answer; `None` if it stays open without a word.
    pub connection: Option<ConnectionEnd>,
}

/// Bytes that a target sends without end, until its caller closes the connection. After
/// [`MAX_ENDLESS_BYTES`] it only waits for that.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndlessAnswer {
    /// Bytes that come once. `{id}` stands for the ID of the request.
    pub beginning: String,
    /// Bytes that come again and again.
    pub repeated: String,
    /// Pause after each time; without one they come as fast as they are read.
    pub pause: Option<Duration>,
}

/// Maximum number of bytes of an answer without end, so that a caller which reads all of
/// it does not use up the memory of the machine.
pub const MAX_ENDLESS_BYTES: usize = 64 << 20;

/// A request as it was received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeenRequest {
    /// Request line without the protocol version: method and path.
    pub line: String,
    /// Headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Request body.
    pub body: Vec<u8>,
}

/// A received request, and what its answer says about the target.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Request ID.
    pub request: String,
    /// Time of receipt.
    pub at: Instant,
    /// Rest period that the refusal asked for, if the request was refused with one.
    pub rest_period: Option<Duration>,
    /// Whether the answer announces that the target leaves.
    pub leaves: bool,
    /// Limit that the answer states, in requests per second.
    pub limit: Option<f64>,
}

#[derive(Default)]
struct State {
    id: String,
    /// Start of the incarnation, in Unix milliseconds.
    born: u64,
    fault: FakeTargetFault,
    received_requests: Vec<SeenRequest>,
    /// Requests received by this incarnation.
    arrivals: Vec<Arrival>,
    /// IDs of the requests that the target started to run, one entry for each run.
    run_request_ids: Vec<String>,
    /// Stalled streams: request ID, and address of the stage that causes the stall.
    stalled: Vec<(String, SocketAddr)>,
    /// Layers that the target holds: first, and one past the last.
    layers: (u32, u32),
    /// Number of orders applied, which is its configuration revision.
    orders: u64,
    /// Number of orders refused with 503.
    orders_refused: u32,
    /// Unanswered order that is still to be applied: its layers and the revision that it
    /// expects.
    unanswered_order: Option<((u32, u32), u64)>,
    connections: u32,
    reports: u32,
    /// Body that replaces the true report.
    report_override: Option<String>,
    /// IDs of the requests whose flood of events was written completely.
    completed_floods: Vec<String>,
    /// How answers are framed and broken off if no fault says otherwise.
    answer_draws: Option<AnswerDraws>,
    /// Answers that were cut, of all incarnations.
    cut_answers: Vec<CutAnswer>,
    /// Bytes of each answer without end whose connection the caller closed.
    closed_endless_answers: Vec<usize>,
    /// Number of orders to move a request to another path.
    path_changes: u32,
    /// Number of incarnations that crashed on a request.
    crashes_by_request: u32,
    /// Value of `Retry-After` in each 503.
    retry_after: Option<String>,
    /// Whether all answers announce that the target leaves.
    leaves: bool,
    /// Value of `Server-Limit` in all answers.
    limit: Option<String>,
    /// End of the downtime after a crash.
    down_until: Option<Instant>,
    /// Time until which connections are refused. After a crash that a request caused,
    /// they are accepted and closed instead.
    refuses_until: Option<Instant>,
    /// End of a pause, during which the target accepts connections but neither reads nor writes.
    paused_until: Option<Instant>,
    /// Kind of accelerator card that the target announces.
    kind: Option<String>,
    /// Fleet that the target belongs to, and its pool in that fleet.
    fleet: Option<(FakeFleet, String)>,
}

impl State {
    /// Records a received request.
    fn record_arrival(&mut self, request: &str, fault: &FakeTargetFault) {
        let refuses = matches!(fault, FakeTargetFault::Refuses { .. });
        let seconds = self.retry_after.as_ref().and_then(|r| r.parse().ok());
        self.arrivals.push(Arrival {
            request: request.to_string(),
            at: Instant::now(),
            rest_period: seconds.filter(|_| refuses).map(Duration::from_secs_f64),
            leaves: self.leaves,
            limit: self.limit.as_ref().and_then(|l| l.parse().ok()),
        });
    }

    /// Whether the target has crashed and not restarted yet.
    fn is_crashed(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Whether the target is paused.
    fn is_paused(&self) -> bool {
        self.paused_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Whether streams that pass through the target are stalled.
    fn is_down(&self) -> bool {
        self.is_crashed() || self.is_paused()
    }

    /// Applies an order if it expects the current revision; returns whether it did.
    fn apply_order(&mut self, layers: (u32, u32), expected_revision: u64) -> bool {
        let is_expected = expected_revision == self.orders;
        if is_expected {
            self.orders += 1;
            self.layers = layers;
        }
        is_expected
    }
}

/// A running fake target. Clones share its state.
#[derive(Clone)]
pub struct FakeTargetServer {
    /// Address that the target listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: Arc<JoinHandle<()>>,
    /// Incremented at each restart and whenever connections are closed; a change aborts
    /// all running requests.
    connection_epoch: Arc<watch::Sender<u32>>,
}

/// Path suffix of requests on which a target crashes shortly after it started to run
/// them. The target restarts with the same ID after [`CRASH_DOWNTIME`].
pub const ENDS_ITS_TARGET: &str = "/ends-its-target";

/// Beginning of the ids of prompt parts on which a target crashes when it begins to write an
/// answer. The digit that follows says how: `0` after the head of the answer, `1` after its first
/// event, `2` by going dark after its first event.
pub const POISON_PART_PREFIX: &str = "bad";

/// How a target crashes on a part of a prompt; see [`POISON_PART_PREFIX`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartCrash {
    /// After the head of the answer.
    AfterHead,
    /// After the first event.
    AfterFirstEvent,
    /// After the first event it stops to read and to write, for [`DARK_TIME`], and then restarts.
    Dark,
}

impl PartCrash {
    /// Returns how a request with these prompt parts (`ID:TOKENS`, separated by commas)
    /// crashes its target. The last part never does.
    fn of_parts(parts: &str) -> Option<Self> {
        let (shared, _last) = parts.rsplit_once(',')?;
        let kinds = shared
            .split(',')
            .filter_map(|part| part.trim().strip_prefix(POISON_PART_PREFIX));
        kinds
            .filter_map(|kind| kind.bytes().next())
            .find_map(|digit| match digit {
                b'0' => Some(Self::AfterHead),
                b'1' => Some(Self::AfterFirstEvent),
                b'2' => Some(Self::Dark),
                _ => None,
            })
    }
}

/// Time for which a target is dark after [`PartCrash::Dark`].
pub const DARK_TIME: Duration = Duration::from_millis(1_500);

/// Downtime of a target that crashed on a request: it closes new connections at once
/// and [`FakeTargetServer::is_reachable`] returns `false`, so tests don't announce it.
pub const CRASH_DOWNTIME: Duration = Duration::from_millis(400);

/// Number of events in a complete stream.
pub const EVENTS_PER_STREAM: u64 = 12;

/// Time between two events, and polling interval for a pause or stall to end.
const EVENT_GAP: Duration = Duration::from_millis(15);

impl FakeTargetServer {
    /// Starts a target with this ID on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be bound.
    pub async fn start(id: &str) -> Result<Self> {
        // Stays bound without listening, so that no other process gets the port while the
        // target is down.
        let reserved_port = TcpSocket::new_v4()?;
        reserved_port.set_reuseaddr(true)?;
        reserved_port.bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let address = reserved_port
            .local_addr()
            .context("the bound socket has no local address")?;
        let listener = TcpListener::bind(address).await?;
        let state = Arc::new(Mutex::new(State {
            id: id.to_string(),
            born: unix_ms(),
            ..State::default()
        }));
        let (connection_epoch, _) = watch::channel(0);
        let connection_epoch = Arc::new(connection_epoch);
        let task = tokio::spawn(accept_all(
            reserved_port,
            listener,
            state.clone(),
            connection_epoch.clone(),
        ));
        Ok(Self {
            address,
            state,
            task: Arc::new(task),
            connection_epoch,
        })
    }

    /// Adds the target to a pool of a fleet; `kind` is the kind of its card if it is an engine.
    pub fn join(&self, fleet: &FakeFleet, pool: &str, kind: Option<&str>) {
        fleet.join(self.address, self.state.clone());
        let mut state = self.lock();
        state.fleet = Some((fleet.clone(), pool.to_string()));
        state.kind = kind.map(str::to_string);
    }

    /// Pauses the target: it accepts connections, but neither reads nor writes. Afterwards it
    /// continues its running requests.
    pub fn pause(&self, length: Duration) {
        self.lock().paused_until = Some(Instant::now() + length);
    }

    /// Crashes the target: it refuses connections for `length` and restarts with the same ID.
    pub fn crash(&self, length: Duration) {
        start_incarnation(&self.state, &self.connection_epoch);
        let until = Instant::now() + length;
        let mut state = self.lock();
        state.down_until = Some(until);
        state.refuses_until = Some(until);
        record_outage(&state, self.address);
    }

    /// Pauses the target for `length`, then restarts it with the same ID.
    pub fn pause_and_restart(&self, length: Duration) {
        record_outage(&self.lock(), self.address);
        pause_and_restart(&self.state, &self.connection_epoch, length);
    }

    /// Restarts the target with the same ID. Running requests are aborted and its state is
    /// reset, except for the records of seen and run requests, of cut answers and of crashes,
    /// its card, its fleet and its shares of answers.
    pub fn restart(&self) {
        start_incarnation(&self.state, &self.connection_epoch);
    }

    /// Returns how often the target crashed on a request; see [`ENDS_ITS_TARGET`].
    pub fn crashes_by_request(&self) -> u32 {
        self.lock().crashes_by_request
    }

    /// Returns the start of the target's incarnation, in Unix milliseconds.
    pub fn born(&self) -> u64 {
        self.lock().born
    }

    /// Replaces the body of the target's reports until it restarts.
    pub fn override_report(&self, report: &str) {
        self.lock().report_override = Some(report.to_string());
    }

    /// Sets the layers that the target holds, as an applied order would.
    pub fn set_layers(&self, first: u32, last: u32) {
        self.lock().layers = (first, last);
    }

    /// Sets or clears the injected fault.
    pub fn set_fault(&self, fault: FakeTargetFault) {
        self.lock().fault = fault;
    }

    /// Sets the shares of answers that end with their connection and that are broken off.
    pub fn set_answer_draws(&self, draws: AnswerDraws) {
        self.lock().answer_draws = Some(draws);
    }

    /// Returns the answers that the target began and did not finish, in order.
    pub fn cut_answers(&self) -> Vec<CutAnswer> {
        self.lock().cut_answers.clone()
    }

    /// Sets the `Retry-After` value of each 503: seconds, a date, or an invalid value.
    /// `None` omits the header.
    pub fn set_retry_after(&self, retry_after: Option<&str>) {
        self.lock().retry_after = retry_after.map(str::to_string);
    }

    /// Sets whether all answers announce that the target leaves.
    pub fn set_leaving(&self, leaves: bool) {
        self.lock().leaves = leaves;
    }

    /// Sets the `Server-Limit` value of all answers: requests per second from all VMs
    /// together. `None` omits the header.
    pub fn set_server_limit(&self, limit: Option<&str>) {
        self.lock().limit = limit.map(str::to_string);
    }

    /// Returns the received requests, without report requests and orders.
    pub fn received_requests(&self) -> Vec<SeenRequest> {
        self.lock().received_requests.clone()
    }

    /// Returns the requests that the target's current incarnation received, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Returns the IDs of the requests that the target started to run, one entry for each
    /// run.
    pub fn run_request_ids(&self) -> Vec<String> {
        self.lock().run_request_ids.clone()
    }

    /// Returns how often the target started to run a request.
    pub fn runs(&self, request: &str) -> usize {
        self.lock()
            .run_request_ids
            .iter()
            .filter(|id| *id == request)
            .count()
    }

    /// Closes all connections in the middle of their answers, without a restart.
    pub fn close_connections(&self) {
        self.connection_epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Returns the number of connections that this incarnation accepted.
    pub fn connections(&self) -> u32 {
        self.lock().connections
    }

    /// Returns the number of reports that this incarnation sent.
    pub fn reports(&self) -> u32 {
        self.lock().reports
    }

    /// Returns the IDs of the requests whose flood of events was written completely.
    pub fn completed_floods(&self) -> Vec<String> {
        self.lock().completed_floods.clone()
    }

    /// Returns the sizes of the answers without end whose connection the caller closed, in
    /// bytes.
    pub fn closed_endless_answers(&self) -> Vec<usize> {
        self.lock().closed_endless_answers.clone()
    }

    /// Returns the number of orders to move a request to another path.
    pub fn path_changes(&self) -> u32 {
        self.lock().path_changes
    }

    /// Returns the number of orders that the target applied.
    pub fn orders(&self) -> u64 {
        self.lock().orders
    }

    /// Returns the number of orders that the target refused with 503.
    pub fn orders_refused(&self) -> u32 {
        self.lock().orders_refused
    }

    /// Returns the layers that the target holds: first, and one past the last.
    pub fn layers(&self) -> (u32, u32) {
        self.lock().layers
    }

    /// Stops listening; open connections are still served.
    pub fn stop(&self) {
        self.task.abort();
    }

    /// Whether the target listens and is neither down nor paused.
    pub fn is_reachable(&self) -> bool {
        !self.task.is_finished() && !self.lock().is_down()
    }

    /// Returns the target's announcement in the published protocol.
    pub fn announcement(&self, pool: &str, zone: &str, state: &str, number: u64) -> Value {
        let (from, to) = self.layers();
        json!({
            "backend": pool, "address": self.address, "zone": zone, "version": "v1",
            "slots": 8, "state": state, "coldLeftMs": 0, "seq": number, "kind": self.kind(),
            "layers": {"from": from, "targetVersion": to, "version": 1},
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "born": self.lock().born,
        })
    }

    fn kind(&self) -> String {
        self.lock().kind.clone().unwrap_or("card".to_string())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Starts a new incarnation of a target and aborts what the previous one ran.
fn start_incarnation(state: &Mutex<State>, connection_epoch: &watch::Sender<u32>) {
    let mut state = state.lock().expect("no holder panics");
    let previous = std::mem::take(&mut *state);
    *state = State {
        id: previous.id,
        born: unix_ms().max(previous.born + 1),
        received_requests: previous.received_requests,
        run_request_ids: previous.run_request_ids,
        crashes_by_request: previous.crashes_by_request,
        answer_draws: previous.answer_draws,
        cut_answers: previous.cut_answers,
        kind: previous.kind,
        fleet: previous.fleet,
        ..State::default()
    };
    drop(state);
    connection_epoch.send_modify(|epoch| *epoch += 1);
}

/// Pauses a target for `length`, and starts its next incarnation afterwards.
fn pause_and_restart(
    state: &Arc<Mutex<State>>,
    connection_epoch: &Arc<watch::Sender<u32>>,
    length: Duration,
) {
    let until = Instant::now() + length;
    state.lock().expect("no holder panics").paused_until = Some(until);
    let (state, connection_epoch) = (state.clone(), connection_epoch.clone());
    tokio::spawn(async move {
        tokio::time::sleep_until(until).await;
        start_incarnation(&state, &connection_epoch);
    });
}

fn record_outage(state: &State, address: SocketAddr) {
    if let Some((fleet, _)) = &state.fleet {
        fleet.record_outage(address);
    }
}

/// Time between two attempts to listen again after a crash.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts connections until the task is aborted.
///
/// After [`FakeTargetServer::crash`] the target does not listen, so connections are refused.
/// After a crash that a request caused, connections are accepted and closed.
async fn accept_all(
    reserved_port: TcpSocket,
    listener: TcpListener,
    state: Arc<Mutex<State>>,
    connection_epoch: Arc<watch::Sender<u32>>,
) {
    let Ok(address) = reserved_port.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    loop {
        let refuses_until = state.lock().expect("no holder panics").refuses_until;
        if let Some(until) = refuses_until.filter(|until| Instant::now() < *until) {
            listener = None;
            tokio::time::sleep_until(until).await;
        }
        match listener.take() {
            Some(open) => {
                accept_until_interrupted(&open, &state, &connection_epoch).await;
                listener = Some(open);
            }
            None => match TcpListener::bind(address).await {
                Ok(open) => listener = Some(open),
                Err(_) => tokio::time::sleep(LISTEN_RETRY_INTERVAL).await,
            },
        }
    }
}

/// Accepts connections until the target restarts or its connections are closed.
async fn accept_until_interrupted(
    listener: &TcpListener,
    state: &Arc<Mutex<State>>,
    connection_epoch: &Arc<watch::Sender<u32>>,
) {
    let mut epoch = connection_epoch.subscribe();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = epoch.changed() => return,
        };
        let Ok((stream, _)) = stream else {
            return;
        };
        {
            let mut state = state.lock().expect("no holder panics");
            if state
                .refuses_until
                .is_some_and(|until| Instant::now() < until)
            {
                return;
            }
            if state.is_crashed() {
                continue;
            }
            state.connections += 1;
        }
        let (state, connection_epoch) = (state.clone(), connection_epoch.clone());
        let mut epoch = connection_epoch.subscribe();
        let serving = serve(stream, state.clone(), connection_epoch.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = serving => {}
                _ = epoch.changed() => {}
            }
        });
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |s| s.as_millis() as u64)
}
