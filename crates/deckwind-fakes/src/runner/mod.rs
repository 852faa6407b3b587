//! A stand-in for the users' targets, from their published protocol: plain
//! services and engines that hold layers, over HTTP/1.1, with faults.
//!
//! It writes its answers byte by byte (`answers`), because half of the faults are answers
//! that a library would not write.

mod answers;
mod fleet;

use answers::serve;
use anyhow::{Context, Result};
pub use fleet::{Fleet, FleetArrival, FleetPace, Outage};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// What is wrong with a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RunnerFault {
    /// Nothing.
    #[default]
    None,
    /// It does not run requests, and says so; `at_fault` names another stage.
    Refuses {
        /// Address of that stage.
        at_fault: Option<SocketAddr>,
    },
    /// It runs them and answers 500.
    Fails,
    /// It runs them and answers with this status, signed and without a promise.
    Answers(u16),
    /// It answers plain requests with so many bytes.
    Long(usize),
    /// It writes so many events of so many bytes as fast as they are read.
    Floods {
        /// Events.
        events: u64,
        /// Bytes of each, about.
        bytes: usize,
        /// Whether it then goes on at the usual pace until the fault is over.
        goes_on: bool,
    },
    /// It runs them and closes in the middle of the answer; a stream before its
    /// head.
    Cuts,
    /// It runs them and never answers.
    Mute,
    /// It answers with another request's id.
    OtherId,
    /// It answers without its signature.
    Unsigned,
    /// It answers without a length and closes.
    Unframed,
    /// It sends a second answer after the first.
    Extra,
    /// It leaves each order unanswered the first time, and carries it out when
    /// the next one has been.
    OrdersLate,
    /// It refuses orders with 503.
    RefusesOrders,
    /// It breaks a stream off inside the event after this one.
    CutsAfter(u64),
    /// A stream stands still after this event, until the fault is over; its
    /// report names the stage.
    StallsAfter {
        /// Last event before.
        event: u64,
        /// The stage that it names.
        stage: SocketAddr,
    },
}

/// A request as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeenRequest {
    /// Method and path.
    pub line: String,
    /// Headers, names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

/// A request that arrived, and what its sender was told.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: String,
    /// When it came.
    pub at: Instant,
    /// It was refused, with a rest of so long.
    pub rest: Option<Duration>,
    /// Its answer said that the target leaves.
    pub leaves: bool,
    /// Its answer named this limit, requests a second.
    pub limit: Option<f64>,
}

#[derive(Default)]
struct State {
    id: String,
    /// Start of its life, Unix milliseconds.
    born: u64,
    fault: RunnerFault,
    seen: Vec<SeenRequest>,
    /// Requests of this life.
    arrivals: Vec<Arrival>,
    /// Ids of requests that it began to run.
    ran: Vec<String>,
    stalled: Vec<(String, SocketAddr)>,
    layers: (u32, u32),
    orders: u64,
    /// Orders that it refused.
    orders_refused: u32,
    /// An order that was not answered: layers, and the orders it expects.
    late: Option<((u32, u32), u64)>,
    connections: u32,
    reports: u32,
    /// What it reports in place of the truth.
    other_report: Option<String>,
    /// Floods that were written to their end.
    written: Vec<String>,
    /// Requests that were told to take another path.
    path_changes: u32,
    /// Lives that a request ended.
    ended_by_requests: u32,
    /// What it asks for with each 503, as it writes it.
    rest: Option<String>,
    /// It says in all its answers that it leaves.
    leaves: bool,
    /// The limit that it names in all its answers, as it writes it.
    limit: Option<String>,
    /// It has ended, and starts again then.
    away_until: Option<Instant>,
    /// It has crashed, and refuses connections until then.
    refuses_until: Option<Instant>,
    /// It is silent until then: it takes connections, and neither reads nor writes.
    silent_until: Option<Instant>,
    /// What its card is.
    kind: Option<String>,
    /// The fleet that it belongs to, and its pool there.
    fleet: Option<(Fleet, String)>,
}

impl State {
    /// Notes a request that has come.
    fn note_arrival(&mut self, request: &str, fault: &RunnerFault) {
        let refuses = matches!(fault, RunnerFault::Refuses { .. });
        let seconds = self.rest.as_ref().and_then(|r| r.parse().ok());
        self.arrivals.push(Arrival {
            request: request.to_string(),
            at: Instant::now(),
            rest: seconds.filter(|_| refuses).map(Duration::from_secs_f64),
            leaves: self.leaves,
            limit: self.limit.as_ref().and_then(|l| l.parse().ok()),
        });
    }

    /// Whether it has ended and not started again.
    fn is_away(&self) -> bool {
        self.away_until.is_some_and(|until| Instant::now() < until)
    }

    fn is_silent(&self) -> bool {
        self.silent_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Whether it does nothing for the streams that pass through it.
    fn is_down(&self) -> bool {
        self.is_away() || self.is_silent()
    }

    /// Takes an order, if it expects as many as have been taken.
    fn take_order(&mut self, layers: (u32, u32), expects: u64) -> bool {
        let fits = expects == self.orders;
        if fits {
            self.orders += 1;
            self.layers = layers;
        }
        fits
    }
}

/// A target that is being served; clones share it.
#[derive(Clone)]
pub struct FakeRunner {
    /// Where.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: Arc<JoinHandle<()>>,
    /// Counts its starts, and the times that connections were closed; what runs ends
    /// then.
    lives: Arc<watch::Sender<u32>>,
}

/// A request whose path ends so ends each target that begins to run it, a moment
/// after it began. The target starts again under its id, [`AWAY`] later.
pub const ENDS_ITS_TARGET: &str = "/ends-its-target";

/// How long a target is away that a request ended: it takes no connection, and
/// says nothing of itself.
pub const AWAY: Duration = Duration::from_millis(400);

/// Events of a whole stream.
pub const EVENTS: u64 = 12;

/// Between two events.
const EVENT_GAP: Duration = Duration::from_millis(15);

impl FakeRunner {
    /// Serves a new life of a target with this id.
    pub async fn start(id: &str) -> Result<Self> {
        // Bound and not listening: nobody else gets the port while the target is away.
        let held = TcpSocket::new_v4()?;
        held.set_reuseaddr(true)?;
        held.bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let address = held.local_addr().context("it is bound")?;
        let listener = TcpListener::bind(address).await?;
        let state = Arc::new(Mutex::new(State {
            id: id.to_string(),
            born: unix_ms(),
            ..State::default()
        }));
        let (lives, _) = watch::channel(0);
        let lives = Arc::new(lives);
        let task = tokio::spawn(accept_all(held, listener, state.clone(), lives.clone()));
        Ok(Self {
            address,
            state,
            task: Arc::new(task),
            lives,
        })
    }

    /// Has it be an engine with such a card, or a plain target, of a fleet.
    pub fn join(&self, fleet: &Fleet, pool: &str, kind: Option<&str>) {
        fleet.join(self.address, self.state.clone());
        let mut state = self.lock();
        state.fleet = Some((fleet.clone(), pool.to_string()));
        state.kind = kind.map(str::to_string);
    }

    /// It stands still for so long: it takes connections, and neither reads nor writes.
    /// Then it goes on with what it runs.
    pub fn pause(&self, length: Duration) {
        self.lock().silent_until = Some(Instant::now() + length);
    }

    /// It ends, refuses connections for so long, and starts again under its id.
    pub fn crash(&self, length: Duration) {
        begin_life(&self.state, &self.lives);
        let until = Instant::now() + length;
        let mut state = self.lock();
        state.away_until = Some(until);
        state.refuses_until = Some(until);
        note_outage(&state, self.address);
    }

    /// It stands still for so long, and then starts again under its id.
    pub fn fall_silent(&self, length: Duration) {
        let until = Instant::now() + length;
        self.pause(length);
        note_outage(&self.lock(), self.address);
        let (state, lives) = (self.state.clone(), self.lives.clone());
        tokio::spawn(async move {
            tokio::time::sleep_until(until).await;
            begin_life(&state, &lives);
        });
    }

    /// Starts again under its id: what it did is broken off, and it holds and
    /// knows nothing of before, but what it has seen.
    pub fn start_again(&self) {
        begin_life(&self.state, &self.lives);
    }

    /// Lives that a request ended; see [`ENDS_ITS_TARGET`].
    pub fn ended_by_requests(&self) -> u32 {
        self.lock().ended_by_requests
    }

    /// When its life started, Unix milliseconds.
    pub fn born(&self) -> u64 {
        self.lock().born
    }

    /// Sets the clock that tells its start; it may be wrong.
    pub fn set_born(&self, born: u64) {
        self.lock().born = born;
    }

    /// Has it report this in place of the truth.
    pub fn report_instead(&self, report: &str) {
        self.lock().other_report = Some(report.to_string());
    }

    /// Has it hold these layers, as if an order had been carried out.
    pub fn hold(&self, first: u32, last: u32) {
        self.lock().layers = (first, last);
    }

    /// Makes something go wrong, or right again.
    pub fn set_fault(&self, fault: RunnerFault) {
        self.lock().fault = fault;
    }

    /// Has it ask to be left alone with each 503: for seconds, until a date, or what
    /// can't be read.
    pub fn ask_rest(&self, rest: Option<&str>) {
        self.lock().rest = rest.map(str::to_string);
    }

    /// Has it say in all its answers that it leaves, or no more.
    pub fn say_it_leaves(&self, leaves: bool) {
        self.lock().leaves = leaves;
    }

    /// Has it name a limit in all its answers, requests a second from all VMs together,
    /// or no more.
    pub fn name_limit(&self, limit: Option<&str>) {
        self.lock().limit = limit.map(str::to_string);
    }

    /// Requests that came, without reports and orders.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.lock().seen.clone()
    }

    /// Requests that its present life was sent, in their order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Requests that it began to run, one entry a run.
    pub fn ran(&self) -> Vec<String> {
        self.lock().ran.clone()
    }

    /// Times that it began to run this request.
    pub fn runs(&self, request: &str) -> usize {
        self.lock().ran.iter().filter(|id| *id == request).count()
    }

    /// Closes all connections, in the middle of what they carry. Its life goes on.
    pub fn close_connections(&self) {
        self.lives.send_modify(|life| *life += 1);
    }

    /// Connections that came.
    pub fn connections(&self) -> u32 {
        self.lock().connections
    }

    /// Reports that it was asked for.
    pub fn reports(&self) -> u32 {
        self.lock().reports
    }

    /// Requests whose flood of events was taken to its end.
    pub fn written(&self) -> Vec<String> {
        self.lock().written.clone()
    }

    /// Times that a request was told to take another path.
    pub fn path_changes(&self) -> u32 {
        self.lock().path_changes
    }

    /// Orders that it has taken.
    pub fn orders(&self) -> u64 {
        self.lock().orders
    }

    /// Orders that it refused with 503.
    pub fn orders_refused(&self) -> u32 {
        self.lock().orders_refused
    }

    /// Layers that it holds: first, and one past the last.
    pub fn layers(&self) -> (u32, u32) {
        self.lock().layers
    }

    /// Stops listening; connections that are open go on.
    pub fn stop(&self) {
        self.task.abort();
    }

    /// Whether it listens.
    pub fn listens(&self) -> bool {
        !self.task.is_finished() && !self.lock().is_down()
    }

    /// What it announces of itself.
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

/// Ends the life of a target and begins the next one.
fn begin_life(state: &Mutex<State>, lives: &watch::Sender<u32>) {
    let mut state = state.lock().expect("no holder panics");
    let before = std::mem::take(&mut *state);
    *state = State {
        id: before.id,
        born: unix_ms().max(before.born + 1),
        seen: before.seen,
        ran: before.ran,
        ended_by_requests: before.ended_by_requests,
        kind: before.kind,
        fleet: before.fleet,
        ..State::default()
    };
    drop(state);
    lives.send_modify(|life| *life += 1);
}

fn note_outage(state: &State, address: SocketAddr) {
    if let Some((fleet, _)) = &state.fleet {
        fleet.note_outage(address);
    }
}

/// Between two tries to listen again.
const LISTEN_AGAIN: Duration = Duration::from_millis(20);

/// Serves for ever. One that has crashed does not listen, so that connections are refused;
/// one that a request ended closes those that it takes.
async fn accept_all(
    held: TcpSocket,
    listener: TcpListener,
    state: Arc<Mutex<State>>,
    lives: Arc<watch::Sender<u32>>,
) {
    let Ok(address) = held.local_addr() else {
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
                accept_while_there(&open, &state, &lives).await;
                listener = Some(open);
            }
            None => match TcpListener::bind(address).await {
                Ok(open) => listener = Some(open),
                Err(_) => tokio::time::sleep(LISTEN_AGAIN).await,
            },
        }
    }
}

/// Accepts connections until the target's life ends.
async fn accept_while_there(
    listener: &TcpListener,
    state: &Arc<Mutex<State>>,
    lives: &Arc<watch::Sender<u32>>,
) {
    let mut ends = lives.subscribe();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ends.changed() => return,
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
            if state.is_away() {
                continue;
            }
            state.connections += 1;
        }
        let (state, lives) = (state.clone(), lives.clone());
        let mut life = lives.subscribe();
        let serving = serve(stream, state.clone(), lives.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = serving => {}
                _ = life.changed() => {}
            }
        });
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |s| s.as_millis() as u64)
}
