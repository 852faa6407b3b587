//! What a target reads, and what it writes.

use super::fleet::{Fleet, NoPath, read_path};
use super::{
    AWAY, ENDS_ITS_TARGET, EVENT_GAP, EVENTS, RunnerFault, SeenRequest, State, begin_life,
};
use anyhow::Result;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// Serves requests on one connection until it breaks.
pub(super) async fn serve(
    stream: TcpStream,
    state: Arc<Mutex<State>>,
    lives: Arc<watch::Sender<u32>>,
) {
    let mut stream = BufReader::new(stream);
    while let Ok(Some(req)) = read_request(&mut stream).await {
        let goes_on = answer(&mut stream, req, &state, &lives).await;
        if !matches!(goes_on, Ok(true)) {
            return;
        }
    }
}

/// Waits while the target is silent.
async fn speaks_again(state: &Mutex<State>) {
    while state.lock().expect("no holder panics").is_silent() {
        tokio::time::sleep(EVENT_GAP).await;
    }
}

async fn read_request(stream: &mut BufReader<TcpStream>) -> Result<Option<SeenRequest>> {
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let mut req = SeenRequest {
        line: line.trim_end().trim_end_matches(" HTTP/1.1").to_string(),
        ..SeenRequest::default()
    };
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let name = name.to_ascii_lowercase();
        req.headers.insert(name, value.trim().to_string());
    }
    let length = req.headers.get("content-length");
    let length = length.map_or(Ok(0), |l| l.parse())?;
    req.body = vec![0; length];
    stream.read_exact(&mut req.body).await?;
    Ok(Some(req))
}

type Stream = BufReader<TcpStream>;

/// Answers one request; whether the connection goes on.
async fn answer(
    s: &mut Stream,
    req: SeenRequest,
    state: &Mutex<State>,
    lives: &watch::Sender<u32>,
) -> Result<bool> {
    match req.line.as_str() {
        "GET /v1/report" => {
            speaks_again(state).await;
            return report(s, state).await;
        }
        "POST /v1/order" => {
            speaks_again(state).await;
            return order(s, &req, state).await;
        }
        _ => {}
    }
    let (id, fault) = {
        let mut state = state.lock().expect("no holder panics");
        state.seen.push(req.clone());
        let fault = flood_asked(&req.line).unwrap_or(state.fault.clone());
        (state.id.clone(), fault)
    };
    let request = req.headers.get("x-deckwind-request-id").cloned();
    let request = request.unwrap_or_default();
    note_arrival(state, &request, &fault);
    let in_fleet = fleet_of(state, s.get_ref().local_addr()?, &request);
    speaks_again(state).await;
    let expected = req.headers.get("x-deckwind-expect-instance");
    if expected.is_some_and(|e| *e != id) {
        let head = format!("421 Misdirected Request\r\nX-Deckwind-Request-Id: {request}");
        return whole(s, state, &head, b"").await;
    }
    if let RunnerFault::Refuses { at_fault } = &fault {
        let at = at_fault.map_or(String::new(), |a| format!("\r\nAt-Server: {a}"));
        let head = format!(
            "503 Service Unavailable\r\nX-Deckwind-Request-Id: {request}\r\nX-Deckwind-Not-Executed: 1{at}"
        );
        return whole(s, state, &head, b"").await;
    }
    if let RunnerFault::Answers(status) = &fault {
        let head = format!(
            "{status} Own\r\nX-Deckwind-Request-Id: {request}\r\nX-Deckwind-Response-Seal: s"
        );
        return whole(s, state, &head, b"own words").await;
    }
    let streams = req.headers.contains_key("x-deckwind-token-count");
    if let Some(run) = in_fleet {
        if streams {
            return run.stream(s, &req, &fault, state).await;
        }
        run.fleet.began(run.arrival);
    }
    let ran = request.clone();
    state.lock().expect("no holder panics").ran.push(ran);
    if req.line.ends_with(ENDS_ITS_TARGET) {
        return end_life(s, &request, streams, state, lives).await;
    }
    match streams {
        true => stream_events(s, &req, &request, &fault, state).await,
        false => plain(s, &request, &fault, state).await,
    }
}

/// A request at a target of a fleet.
struct FleetRun {
    fleet: Fleet,
    address: SocketAddr,
    request: String,
    arrival: usize,
}

fn fleet_of(state: &Mutex<State>, address: SocketAddr, request: &str) -> Option<FleetRun> {
    let fleet = state.lock().expect("no holder panics").fleet.clone();
    let (fleet, pool) = fleet?;
    let arrival = fleet.arrived(request, &pool, address);
    Some(FleetRun {
        fleet,
        address,
        request: request.to_string(),
        arrival,
    })
}

impl FleetRun {
    /// A stream over engines that may go down: it then stands still until it is told of
    /// another path, and is cut after a while.
    async fn stream(
        &self,
        s: &mut Stream,
        req: &SeenRequest,
        fault: &RunnerFault,
        state: &Mutex<State>,
    ) -> Result<bool> {
        let path = req.headers.get("path").and_then(|p| read_path(p));
        let path = path.unwrap_or_default();
        let stream = match self.fleet.enter(self.address, &self.request, path) {
            Ok(stream) => stream,
            Err(refused) => return self.refuse(s, refused, state).await,
        };
        let last = req.headers.get("last-event-id");
        let last: u64 = last.and_then(|l| l.parse().ok()).unwrap_or(0);
        let pace = self.fleet.pace();
        let mut next = last + 1;
        let mut stands = None;
        while next <= self.fleet.events(&self.request) {
            tokio::time::sleep(pace.gap).await;
            speaks_again(state).await;
            if let Some(down) = stream.waits_for() {
                let since = *stands.get_or_insert_with(Instant::now);
                self.note_stall(state, Some(down));
                match (since.elapsed() >= pace.stall, next == last + 1) {
                    (false, _) => continue,
                    (true, true) => return self.refuse(s, NoPath::Down(down), state).await,
                    (true, false) => return Ok(false),
                }
            }
            if stands.take().is_some() {
                self.note_stall(state, None);
            }
            if next == last + 1 {
                self.begin(s, state).await?;
            }
            if matches!(fault, RunnerFault::CutsAfter(at) if next > *at) {
                chunk(s, &format!("id: {next}\nda")).await?;
                return Ok(false);
            }
            chunk(s, &event_text(next)).await?;
            next += 1;
        }
        s.write_all(b"0\r\n\r\n").await?;
        Ok(true)
    }

    async fn begin(&self, s: &mut Stream, state: &Mutex<State>) -> Result<()> {
        self.fleet.began(self.arrival);
        let head = stream_head(&self.request, state);
        Ok(s.write_all(head.as_bytes()).await?)
    }

    fn note_stall(&self, state: &Mutex<State>, behind: Option<SocketAddr>) {
        let mut state = state.lock().expect("no holder panics");
        state.stalled.retain(|(id, _)| *id != self.request);
        let stall = behind.map(|down| (self.request.clone(), down));
        state.stalled.extend(stall);
    }

    async fn refuse(&self, s: &mut Stream, why: NoPath, state: &Mutex<State>) -> Result<bool> {
        let status = match why {
            NoPath::NotHeld(_) => "421 Misdirected Request",
            NoPath::Down(_) | NoPath::Full(_) => "503 Service Unavailable",
        };
        let head = format!(
            "{status}\r\nX-Deckwind-Request-Id: {}\r\nX-Deckwind-Not-Executed: 1\r\nAt-Server: {}",
            self.request,
            why.address()
        );
        whole(s, state, &head, b"").await
    }
}

fn note_arrival(state: &Mutex<State>, request: &str, fault: &RunnerFault) {
    let mut state = state.lock().expect("no holder panics");
    state.note_arrival(request, fault);
}

/// Begins to run a request that the target doesn't survive: a stream has its head,
/// as from the users' engines, and no event.
async fn end_life(
    s: &mut Stream,
    request: &str,
    streams: bool,
    state: &Mutex<State>,
    lives: &watch::Sender<u32>,
) -> Result<bool> {
    if streams {
        s.write_all(stream_head(request, state).as_bytes()).await?;
    }
    tokio::time::sleep(EVENT_GAP).await;
    state.lock().expect("no holder panics").ended_by_requests += 1;
    begin_life(state, lives);
    state.lock().expect("no holder panics").away_until = Some(Instant::now() + AWAY);
    Ok(false)
}

async fn plain(
    s: &mut Stream,
    request: &str,
    fault: &RunnerFault,
    state: &Mutex<State>,
) -> Result<bool> {
    let good = format!("200 OK\r\nX-Deckwind-Request-Id: {request}\r\nX-Deckwind-Response-Seal: s");
    let body = format!("answer to {request}");
    match fault {
        RunnerFault::Mute => {
            tokio::time::sleep(Duration::from_secs(600)).await;
            Ok(false)
        }
        RunnerFault::Fails => {
            let head = format!(
                "500 Internal Server Error\r\nX-Deckwind-Request-Id: {request}\r\nX-Deckwind-Response-Seal: s"
            );
            whole(s, state, &head, b"failed").await
        }
        RunnerFault::Cuts => {
            let head = format!(
                "HTTP/1.1 {good}{}\r\nContent-Length: 500\r\n\r\n{body}",
                says(state, false)
            );
            s.write_all(head.as_bytes()).await?;
            Ok(false)
        }
        RunnerFault::OtherId => {
            let head = good.replace(request, "another-request");
            whole(s, state, &head, body.as_bytes()).await
        }
        RunnerFault::Unsigned => {
            let head = format!("200 OK\r\nX-Deckwind-Request-Id: {request}");
            whole(s, state, &head, body.as_bytes()).await
        }
        RunnerFault::Long(bytes) => whole(s, state, &good, "y".repeat(*bytes).as_bytes()).await,
        RunnerFault::Unframed => {
            let head = format!("HTTP/1.1 {good}{}\r\n\r\n{body}", says(state, false));
            s.write_all(head.as_bytes()).await?;
            Ok(false)
        }
        RunnerFault::Extra => {
            whole(s, state, &good, body.as_bytes()).await?;
            whole(s, state, &good.replace(request, "stale"), b"stale").await
        }
        _ => whole(s, state, &good, body.as_bytes()).await,
    }
}

async fn stream_events(
    s: &mut Stream,
    req: &SeenRequest,
    request: &str,
    fault: &RunnerFault,
    state: &Mutex<State>,
) -> Result<bool> {
    let last = req.headers.get("last-event-id");
    let last = last.and_then(|l| l.parse().ok()).unwrap_or(0);
    let head = stream_head(request, state);
    if *fault == RunnerFault::Cuts {
        return Ok(false);
    }
    if let RunnerFault::Floods {
        events,
        bytes,
        goes_on,
    } = fault
    {
        s.write_all(head.as_bytes()).await?;
        return flood(s, request, last + 1..=*events, (*bytes, *goes_on), state).await;
    }
    // As the users' engines do, the head comes with the first event.
    let mut head = Some(head);
    for event in last + 1..=EVENTS {
        tokio::time::sleep(EVENT_GAP).await;
        let stalls = matches!(fault, RunnerFault::StallsAfter { event: at, .. } if event > *at);
        if let Some(head) = head.take_if(|_| !stalls) {
            s.write_all(head.as_bytes()).await?;
        }
        match fault {
            RunnerFault::CutsAfter(at) if event > *at => {
                chunk(s, &format!("id: {event}\nda")).await?;
                return Ok(false);
            }
            RunnerFault::StallsAfter { event: at, stage } if event > *at => {
                let stall = (request.to_string(), *stage);
                state.lock().expect("no holder panics").stalled.push(stall);
                while is_stalled(state) {
                    tokio::time::sleep(EVENT_GAP).await;
                }
                if let Some(head) = head.take() {
                    s.write_all(head.as_bytes()).await?;
                }
                chunk(s, &event_text(event)).await?;
            }
            _ => chunk(s, &event_text(event)).await?,
        }
    }
    s.write_all(b"0\r\n\r\n").await?;
    Ok(true)
}

fn stream_head(request: &str, state: &Mutex<State>) -> String {
    let says = says(state, false);
    format!(
        "HTTP/1.1 200 OK\r\nX-Deckwind-Request-Id: {request}\r\nX-Deckwind-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked{says}\r\n\r\n"
    )
}

/// Headers by which a target says what it wants.
fn says(state: &Mutex<State>, turns_away: bool) -> String {
    let state = state.lock().expect("no holder panics");
    let mut says = String::new();
    if let Some(rest) = state.rest.as_ref().filter(|_| turns_away) {
        says += &format!("\r\nRetry-After: {rest}");
    }
    if state.leaves {
        says += "\r\nServer-Leaving: 1";
    }
    if let Some(limit) = &state.limit {
        says += &format!("\r\nServer-Limit: {limit}");
    }
    says
}

/// A path that ends with `flood-EVENTS-BYTES` asks for that.
fn flood_asked(line: &str) -> Option<RunnerFault> {
    let (_, asked) = line.split_once("/flood-")?;
    let (events, bytes) = asked.split_once('-')?;
    Some(RunnerFault::Floods {
        events: events.parse().ok()?,
        bytes: bytes.parse().ok()?,
        goes_on: false,
    })
}

/// Events as fast as they are read.
async fn flood(
    s: &mut Stream,
    request: &str,
    events: std::ops::RangeInclusive<u64>,
    (bytes, goes_on): (usize, bool),
    state: &Mutex<State>,
) -> Result<bool> {
    let mut next = *events.end() + 1;
    let text = "x".repeat(bytes);
    for event in events {
        chunk(s, &format!("id: {event}\ndata: {text}\n\n")).await?;
    }
    let written = request.to_string();
    state
        .lock()
        .expect("no holder panics")
        .written
        .push(written);
    while goes_on && is_flooding(state) {
        tokio::time::sleep(EVENT_GAP).await;
        chunk(s, &event_text(next)).await?;
        next += 1;
    }
    s.write_all(b"0\r\n\r\n").await?;
    Ok(true)
}

fn is_flooding(state: &Mutex<State>) -> bool {
    let state = state.lock().expect("no holder panics");
    matches!(state.fault, RunnerFault::Floods { .. })
}

fn is_stalled(state: &Mutex<State>) -> bool {
    let state = state.lock().expect("no holder panics");
    matches!(state.fault, RunnerFault::StallsAfter { .. })
}

fn event_text(event: u64) -> String {
    format!("id: {event}\ndata: token {event}\n\n")
}

async fn chunk(s: &mut Stream, text: &str) -> Result<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    Ok(s.write_all(chunk.as_bytes()).await?)
}

async fn whole(s: &mut Stream, state: &Mutex<State>, head: &str, body: &[u8]) -> Result<bool> {
    let says = says(state, head.starts_with("503"));
    let length = body.len();
    let head = format!("HTTP/1.1 {head}{says}\r\nContent-Length: {length}\r\n\r\n");
    s.write_all(head.as_bytes()).await?;
    s.write_all(body).await?;
    Ok(true)
}

async fn report(s: &mut Stream, state: &Mutex<State>) -> Result<bool> {
    let body = {
        let mut state = state.lock().expect("no holder panics");
        state.reports += 1;
        let stalled = state.stalled.iter();
        let stalled: Vec<Value> = stalled
            .map(|(id, address)| json!({"id": id, "address": address}))
            .collect();
        let (from, to) = state.layers;
        let truth = json!({
            "busy": false, "seq": state.orders, "stalled": stalled, "born": state.born,
            "layers": {"from": from, "targetVersion": to, "version": 1},
        });
        let other = state.other_report.clone();
        other.unwrap_or_else(|| truth.to_string())
    };
    whole(s, state, "200 OK", body.as_bytes()).await
}

async fn change_path(s: &mut Stream, order: &Value, state: &Mutex<State>) -> Result<bool> {
    let fleet = state.lock().expect("no holder panics").fleet.clone();
    let Some((fleet, _)) = fleet else {
        return whole(s, state, "202 Accepted", b"").await;
    };
    let address = s.get_ref().local_addr()?;
    let path = order["path"].as_str().and_then(read_path);
    let request = order["id"].as_str().unwrap_or_default();
    match fleet.change_path(address, request, path.unwrap_or_default()) {
        Some(Ok(())) => whole(s, state, "202 Accepted", b"").await,
        Some(Err(refused)) => {
            let why = json!({"address": refused.address()}).to_string();
            whole(s, state, "409 Conflict", why.as_bytes()).await
        }
        None => whole(s, state, "404 Not Found", b"").await,
    }
}

fn refuses_order(state: &Mutex<State>) -> bool {
    let mut state = state.lock().expect("no holder panics");
    let refuses = state.fault == RunnerFault::RefusesOrders;
    state.orders_refused += u32::from(refuses);
    refuses
}

async fn order(s: &mut Stream, req: &SeenRequest, state: &Mutex<State>) -> Result<bool> {
    let order: Value = serde_json::from_slice(&req.body)?;
    if order["op"] == "repath" {
        state.lock().expect("no holder panics").path_changes += 1;
        return change_path(s, &order, state).await;
    }
    if refuses_order(state) {
        return whole(s, state, "503 Service Unavailable", b"").await;
    }
    let number = |name: &str| order[name].as_u64().unwrap_or_default();
    let layers = (number("from") as u32, number("targetVersion") as u32);
    let expects = number("expectedRev");
    let taken = {
        let mut state = state.lock().expect("no holder panics");
        let lost = state.fault == RunnerFault::OrdersLate && state.late.is_none();
        if lost {
            state.late = Some((layers, expects));
            None
        } else {
            let taken = state.take_order(layers, expects);
            if let Some((layers, expects)) = state.late.take() {
                state.take_order(layers, expects);
            }
            Some(taken)
        }
    };
    let Some(taken) = taken else {
        tokio::time::sleep(Duration::from_secs(600)).await;
        return Ok(false);
    };
    match taken {
        true => whole(s, state, "202 Accepted", b"").await,
        false => whole(s, state, "409 Conflict", b"").await,
    }
}
