//! Reads requests from a connection and writes the answers of a fake target,
//! including malformed ones.

use super::answer_body::{AnswerBody, AnswerPlan, BodyKind};
use super::fleet::{FakeFleet, PathError, parse_path};
use super::{
    CRASH_DOWNTIME, ConnectionEnd, DARK_TIME, ENDS_ITS_TARGET, EVENT_GAP, EVENTS_PER_STREAM,
    EndlessAnswer, FakeTargetFault, MAX_ENDLESS_BYTES, PartCrash, SeenRequest, State, StreamEnding,
    StreamFraming, pause_and_restart, record_outage, start_incarnation,
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

/// Time for which a silent target keeps its connection: longer than any caller waits.
const SILENCE: Duration = Duration::from_secs(600);

/// Serves requests on one connection until an answer or a fault closes it.
pub(super) async fn serve(
    stream: TcpStream,
    state: Arc<Mutex<State>>,
    connection_epoch: Arc<watch::Sender<u32>>,
) {
    let mut stream = BufReader::new(stream);
    while let Ok(Some(req)) = read_request(&mut stream).await {
        let continues = handle_request(&mut stream, req, &state, &connection_epoch).await;
        if !matches!(continues, Ok(true)) {
            return;
        }
    }
}

/// Waits until the target is no longer paused.
async fn wait_while_paused(state: &Mutex<State>) {
    while state.lock().expect("no holder panics").is_paused() {
        tokio::time::sleep(EVENT_GAP).await;
    }
}

/// Reads a request; returns `None` if the caller closed the connection.
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

/// Answers one request; returns whether the connection stays open.
async fn handle_request(
    s: &mut Stream,
    req: SeenRequest,
    state: &Arc<Mutex<State>>,
    connection_epoch: &Arc<watch::Sender<u32>>,
) -> Result<bool> {
    if matches!(req.line.as_str(), "GET /v1/report" | "POST /v1/order") {
        wait_while_paused(state).await;
        return answer_call(s, &req, state).await;
    }
    let (id, fault) = {
        let mut state = state.lock().expect("no holder panics");
        state.received_requests.push(req.clone());
        let fault = requested_flood(&req.line).unwrap_or(state.fault.clone());
        (state.id.clone(), fault)
    };
    let request = req.headers.get("x-deckwind-request-id").cloned();
    let request = request.unwrap_or_default();
    record_arrival(state, &request, &fault);
    let plan = draw_plan(state, &request);
    let address = s.get_ref().local_addr()?;
    let fleet_request = record_fleet_request(state, address, &request);
    wait_while_paused(state).await;
    let expected = req.headers.get("x-deckwind-expect-instance");
    if expected.is_some_and(|e| *e != id) {
        let head = format!("421 Misdirected Request\r\nX-Deckwind-Request-Id: {request}");
        return write_response(s, state, &head, b"").await;
    }
    if let FakeTargetFault::Refuses { at_fault } = &fault {
        let at_server = at_fault.map_or(String::new(), |a| format!("\r\nAt-Server: {a}"));
        let head = format!(
            "503 Service Unavailable\r\nX-Deckwind-Request-Id: {request}\r\nX-Deckwind-Not-Executed: 1{at_server}"
        );
        return write_response(s, state, &head, b"").await;
    }
    if let FakeTargetFault::AnswersStatus(status) = &fault {
        let head = format!(
            "{status} Own\r\nX-Deckwind-Request-Id: {request}\r\nX-Deckwind-Response-Seal: s"
        );
        return write_response(s, state, &head, b"own words").await;
    }
    let is_stream = req.headers.contains_key("x-deckwind-token-count");
    let parts = req.headers.get("x-deckwind-prompt-prefix");
    let part_crash = parts.and_then(|parts| PartCrash::of_parts(parts));
    if let Some(run) = fleet_request {
        if is_stream && part_crash.is_none() {
            return run.stream(s, &req, (&fault, plan), state).await;
        }
        run.fleet.record_start(run.arrival);
    }
    let run = request.clone();
    state
        .lock()
        .expect("no holder panics")
        .run_request_ids
        .push(run);
    if req.line.ends_with(ENDS_ITS_TARGET) {
        if is_stream {
            begin_stream(s, &request, (&fault, plan), state).await?;
        }
        return crash_on_request(address, state, connection_epoch).await;
    }
    if let Some(crash) = part_crash {
        begin_stream(s, &request, (&fault, plan), state).await?;
        if crash != PartCrash::AfterHead {
            write_first_event(s, &req, plan.framing).await?;
        }
        return crash_on_part(crash, address, state, connection_epoch).await;
    }
    if let FakeTargetFault::Writes(answer) = &fault {
        s.write_all(answer.text.replace("{id}", &request).as_bytes())
            .await?;
        return match answer.connection {
            Some(end) => end_connection(s, end).await,
            None => std::future::pending().await,
        };
    }
    if let FakeTargetFault::WritesEndlessly(answer) = &fault {
        return write_endlessly(s, answer, &request, state).await;
    }
    match is_stream {
        true => stream_events(s, &req, &request, (&fault, plan), state).await,
        false => answer_plain(s, &request, (&fault, plan), state).await,
    }
}

/// Answers a request for a report, or an order.
async fn answer_call(s: &mut Stream, req: &SeenRequest, state: &Mutex<State>) -> Result<bool> {
    let fault = state.lock().expect("no holder panics").fault.clone();
    if let FakeTargetFault::AnswersCallsEndlessly(answer) = fault {
        return write_endlessly(s, &answer, "", state).await;
    }
    match req.line.as_str() {
        "GET /v1/report" => send_report(s, state).await,
        _ => handle_order(s, req, state).await,
    }
}

/// Draws how the answer to a request that just arrived is sent.
fn draw_plan(state: &Mutex<State>, request: &str) -> AnswerPlan {
    let state = state.lock().expect("no holder panics");
    let number = state.received_requests.len();
    state
        .answer_draws
        .map_or(AnswerPlan::default(), |d| d.draw(request, number))
}

/// A request that a target of a fleet received.
struct FleetRequest {
    fleet: FakeFleet,
    address: SocketAddr,
    request: String,
    arrival: usize,
}

/// Records a request with the target's fleet; returns `None` if it belongs to none.
fn record_fleet_request(
    state: &Mutex<State>,
    address: SocketAddr,
    request: &str,
) -> Option<FleetRequest> {
    let fleet = state.lock().expect("no holder panics").fleet.clone();
    let (fleet, pool) = fleet?;
    let arrival = fleet.record_arrival(request, &pool, address);
    Some(FleetRequest {
        fleet,
        address,
        request: request.to_string(),
        arrival,
    })
}

impl FleetRequest {
    /// Streams events over a path of engines. If an engine on the path goes down, the
    /// stream stalls until it is moved to another path, and is broken off (or refused,
    /// if no event was sent yet) after [`FleetConfig::stall_timeout`](super::FleetConfig::stall_timeout).
    async fn stream(
        &self,
        s: &mut Stream,
        req: &SeenRequest,
        (fault, plan): (&FakeTargetFault, AnswerPlan),
        state: &Mutex<State>,
    ) -> Result<bool> {
        let path = req.headers.get("path").and_then(|p| parse_path(p));
        let path = path.unwrap_or_default();
        let stream = match self.fleet.start_stream(self.address, &self.request, path) {
            Ok(stream) => stream,
            Err(error) => return self.refuse(s, error, state).await,
        };
        let last = req.headers.get("last-event-id");
        let last: u64 = last.and_then(|l| l.parse().ok()).unwrap_or(0);
        let pace = self.fleet.pace();
        let end = self.fleet.events(&self.request);
        let mut next = last + 1;
        let mut stalled_since = None;
        let events = (BodyKind::Events, end.saturating_sub(last));
        let mut body = AnswerBody::new(s, state, &self.request, plan, events);
        while next <= end {
            tokio::time::sleep(pace.event_interval).await;
            wait_while_paused(state).await;
            if let Some(down) = stream.down_engine() {
                let since = *stalled_since.get_or_insert_with(Instant::now);
                self.update_stall(state, Some(down));
                match (since.elapsed() >= pace.stall_timeout, next == last + 1) {
                    (false, _) => continue,
                    (true, true) => {
                        return self.refuse(body.stream, PathError::Down(down), state).await;
                    }
                    (true, false) => return Ok(false),
                }
            }
            if stalled_since.take().is_some() {
                self.update_stall(state, None);
            }
            if next == last + 1 {
                self.fleet.record_start(self.arrival);
                let head = framed_stream_head(&self.request, plan.framing, state);
                body.start(&head).await?;
            }
            if matches!(fault, FakeTargetFault::BreaksStreamAfter(at) if next > *at) {
                return body.write_beginning(&format!("id: {next}\nda")).await;
            }
            if !body.write(next, &format_event(next)).await? {
                return Ok(false);
            }
            next += 1;
        }
        body.finish().await
    }

    fn update_stall(&self, state: &Mutex<State>, down_engine: Option<SocketAddr>) {
        let mut state = state.lock().expect("no holder panics");
        state.stalled.retain(|(id, _)| *id != self.request);
        let stall = down_engine.map(|down| (self.request.clone(), down));
        state.stalled.extend(stall);
    }

    async fn refuse(&self, s: &mut Stream, error: PathError, state: &Mutex<State>) -> Result<bool> {
        let status = match error {
            PathError::NotHeld(_) => "421 Misdirected Request",
            PathError::Down(_) | PathError::Full(_) => "503 Service Unavailable",
        };
        let head = format!(
            "{status}\r\nX-Deckwind-Request-Id: {}\r\nX-Deckwind-Not-Executed: 1\r\nAt-Server: {}",
            self.request,
            error.address()
        );
        write_response(s, state, &head, b"").await
    }
}

fn record_arrival(state: &Mutex<State>, request: &str, fault: &FakeTargetFault) {
    let mut state = state.lock().expect("no holder panics");
    state.record_arrival(request, fault);
}

/// Begins a stream that the target does not finish. It writes the head but no event, as
/// the users' engines do, unless the fault says otherwise.
async fn begin_stream(
    s: &mut Stream,
    request: &str,
    (fault, plan): (&FakeTargetFault, AnswerPlan),
    state: &Mutex<State>,
) -> Result<()> {
    let FakeTargetFault::EndsStream(ending) = fault else {
        let head = framed_stream_head(request, plan.framing, state);
        return Ok(s.write_all(head.as_bytes()).await?);
    };
    stream_to_ending(s, request, 1, (*ending, usize::MAX), state).await?;
    Ok(())
}

fn record_crash(address: SocketAddr, state: &Mutex<State>) {
    let mut state = state.lock().expect("no holder panics");
    state.crashes_by_request += 1;
    record_outage(&state, address);
}

/// Crashes the target shortly after it began to run a request.
async fn crash_on_request(
    address: SocketAddr,
    state: &Mutex<State>,
    connection_epoch: &watch::Sender<u32>,
) -> Result<bool> {
    tokio::time::sleep(EVENT_GAP).await;
    record_crash(address, state);
    start_incarnation(state, connection_epoch);
    state.lock().expect("no holder panics").down_until = Some(Instant::now() + CRASH_DOWNTIME);
    Ok(false)
}

/// Writes the first event of a stream whose head is written.
async fn write_first_event(
    s: &mut Stream,
    req: &SeenRequest,
    framing: StreamFraming,
) -> Result<()> {
    let last = req.headers.get("last-event-id");
    let last: u64 = last.and_then(|l| l.parse().ok()).unwrap_or(0);
    tokio::time::sleep(EVENT_GAP).await;
    let event = format_event(last + 1);
    match framing {
        StreamFraming::Chunked => write_chunk(s, &event).await,
        StreamFraming::Connection => Ok(s.write_all(event.as_bytes()).await?),
    }
}

/// Crashes the target on a part of a prompt, after it began to write the answer.
async fn crash_on_part(
    crash: PartCrash,
    address: SocketAddr,
    state: &Arc<Mutex<State>>,
    connection_epoch: &Arc<watch::Sender<u32>>,
) -> Result<bool> {
    if crash != PartCrash::Dark {
        return crash_on_request(address, state, connection_epoch).await;
    }
    record_crash(address, state);
    pause_and_restart(state, connection_epoch, DARK_TIME);
    std::future::pending().await
}

async fn answer_plain(
    s: &mut Stream,
    request: &str,
    (fault, plan): (&FakeTargetFault, AnswerPlan),
    state: &Mutex<State>,
) -> Result<bool> {
    let ok_head =
        format!("200 OK\r\nX-Deckwind-Request-Id: {request}\r\nX-Deckwind-Response-Seal: s");
    let body = format!("answer to {request}");
    match fault {
        FakeTargetFault::NeverAnswers => {
            tokio::time::sleep(SILENCE).await;
            Ok(false)
        }
        FakeTargetFault::Fails => {
            let head = format!(
                "500 Internal Server Error\r\nX-Deckwind-Request-Id: {request}\r\nX-Deckwind-Response-Seal: s"
            );
            write_response(s, state, &head, b"failed").await
        }
        FakeTargetFault::ClosesMidAnswer => {
            let head = format!(
                "HTTP/1.1 {ok_head}{}\r\nContent-Length: 500\r\n\r\n{body}",
                target_headers(state, false)
            );
            s.write_all(head.as_bytes()).await?;
            Ok(false)
        }
        FakeTargetFault::OtherId => {
            let head = ok_head.replace(request, "another-request");
            write_response(s, state, &head, body.as_bytes()).await
        }
        FakeTargetFault::Unsigned => {
            let head = format!("200 OK\r\nX-Deckwind-Request-Id: {request}");
            write_response(s, state, &head, body.as_bytes()).await
        }
        FakeTargetFault::LongBody(bytes) => {
            write_response(s, state, &ok_head, "y".repeat(*bytes).as_bytes()).await
        }
        FakeTargetFault::Unframed => {
            let head = format!(
                "HTTP/1.1 {ok_head}{}\r\n\r\n{body}",
                target_headers(state, false)
            );
            s.write_all(head.as_bytes()).await?;
            Ok(false)
        }
        FakeTargetFault::SecondAnswer => {
            write_response(s, state, &ok_head, body.as_bytes()).await?;
            write_response(s, state, &ok_head.replace(request, "stale"), b"stale").await
        }
        _ => match plan.framing == StreamFraming::Connection || plan.break_at.is_some() {
            true => write_plain_body(s, request, (&ok_head, &body), plan, state).await,
            false => write_response(s, state, &ok_head, body.as_bytes()).await,
        },
    }
}

/// Writes a plain answer without a length.
async fn write_plain_body(
    s: &mut Stream,
    request: &str,
    (head, text): (&str, &str),
    plan: AnswerPlan,
    state: &Mutex<State>,
) -> Result<bool> {
    let headers = target_headers(state, false);
    let framing = framing_header(plan.framing);
    let mut body = AnswerBody::new(s, state, request, plan, (BodyKind::Plain, 1));
    body.start(&format!("HTTP/1.1 {head}{framing}{headers}\r\n\r\n"))
        .await?;
    match body.write(1, text).await? {
        true => body.finish().await,
        false => Ok(false),
    }
}

async fn stream_events(
    s: &mut Stream,
    req: &SeenRequest,
    request: &str,
    (fault, plan): (&FakeTargetFault, AnswerPlan),
    state: &Mutex<State>,
) -> Result<bool> {
    let last = req.headers.get("last-event-id");
    let last = last.and_then(|l| l.parse().ok()).unwrap_or(0);
    if *fault == FakeTargetFault::ClosesMidAnswer {
        return Ok(false);
    }
    let head = framed_stream_head(request, plan.framing, state);
    if let FakeTargetFault::Floods {
        events,
        bytes,
        continues,
    } = fault
    {
        // A flood is written as fast as it is read.
        let plan = AnswerPlan {
            split_at: plan.split_at.filter(|_| plan.break_at.is_some()),
            ..plan
        };
        let count = (BodyKind::Events, events.saturating_sub(last));
        let mut body = AnswerBody::new(s, state, request, plan, count);
        body.start(&head).await?;
        return flood(
            body,
            request,
            last + 1..=*events,
            (*bytes, *continues),
            state,
        )
        .await;
    }
    if let FakeTargetFault::EndsStream(ending) = fault {
        return stream_to_ending(s, request, last + 1, (*ending, usize::MAX), state).await;
    }
    if let FakeTargetFault::EndsStreamBytewise(ending) = fault {
        return stream_to_ending(s, request, last + 1, (*ending, 1), state).await;
    }
    let count = (BodyKind::Events, EVENTS_PER_STREAM.saturating_sub(last));
    let mut body = AnswerBody::new(s, state, request, plan, count);
    // The head is sent with the first event, as the users' engines do.
    let mut head = Some(head);
    for event in last + 1..=EVENTS_PER_STREAM {
        tokio::time::sleep(EVENT_GAP).await;
        let stalls = matches!(fault, FakeTargetFault::StallsAfter { event: at, .. } if event > *at);
        if let Some(head) = head.take_if(|_| !stalls) {
            body.start(&head).await?;
        }
        match fault {
            FakeTargetFault::BreaksStreamAfter(at) if event > *at => {
                return body.write_beginning(&format!("id: {event}\nda")).await;
            }
            FakeTargetFault::StallsAfter { event: at, stage } if event > *at => {
                let stall = (request.to_string(), *stage);
                state.lock().expect("no holder panics").stalled.push(stall);
                while is_stalled(state) {
                    tokio::time::sleep(EVENT_GAP).await;
                }
                if let Some(head) = head.take() {
                    body.start(&head).await?;
                }
            }
            _ => {}
        }
        if !body.write(event, &format_event(event)).await? {
            return Ok(false);
        }
    }
    body.finish().await
}

/// Writes the events from `first` on in pieces of this size, and ends the stream as told.
async fn stream_to_ending(
    s: &mut Stream,
    request: &str,
    first: u64,
    (ending, piece_bytes): (StreamEnding, usize),
    state: &Mutex<State>,
) -> Result<bool> {
    let events: String = (first..=EVENTS_PER_STREAM).map(format_event).collect();
    let sent = ending.broken_after.map_or(events.as_str(), |n| {
        events.get(..n).unwrap_or(events.as_str())
    });
    let mut head = framed_stream_head(request, ending.framing, state);
    if ending.broken_after.is_none() && ending.connection == ConnectionEnd::Close {
        // Otherwise the next request may be sent on it.
        head = head.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    }
    s.write_all(head.as_bytes()).await?;
    s.get_ref().set_nodelay(true)?;
    for piece in sent.as_bytes().chunks(piece_bytes) {
        match ending.framing {
            StreamFraming::Chunked => write_chunk(s, std::str::from_utf8(piece)?).await?,
            StreamFraming::Connection => s.write_all(piece).await?,
        }
    }
    if ending.framing == StreamFraming::Chunked && ending.broken_after.is_none() {
        s.write_all(b"0\r\n\r\n").await?;
    }
    end_connection(s, ending.connection).await
}

/// Minimum size of one write of an answer without end and without pauses, bytes.
const ENDLESS_WRITE_BYTES: usize = 16 * 1024;

/// Writes an answer without end until the caller closes the connection, and records its size.
async fn write_endlessly(
    s: &mut Stream,
    answer: &EndlessAnswer,
    request: &str,
    state: &Mutex<State>,
) -> Result<bool> {
    s.get_ref().set_nodelay(true)?;
    let times = match answer.pause {
        Some(_) => 1,
        None => ENDLESS_WRITE_BYTES.div_ceil(answer.repeated.len()),
    };
    let repeated = answer.repeated.repeat(times);
    let mut piece = answer.beginning.replace("{id}", request);
    let mut written = 0;
    while written < MAX_ENDLESS_BYTES && s.write_all(piece.as_bytes()).await.is_ok() {
        written += piece.len();
        piece.clone_from(&repeated);
        if let Some(pause) = answer.pause {
            tokio::time::sleep(pause).await;
        }
    }
    let mut rest = Vec::new();
    let _ = s.read_to_end(&mut rest).await;
    let mut state = state.lock().expect("no holder panics");
    state.closed_endless_answers.push(written);
    Ok(false)
}

/// Ends the connection after an answer; it is not kept open.
async fn end_connection(s: &mut Stream, end: ConnectionEnd) -> Result<bool> {
    match end {
        ConnectionEnd::Close => {}
        ConnectionEnd::Reset => {
            // A reset that overtakes the bytes would drop them at the receiver.
            tokio::time::sleep(EVENT_GAP).await;
            s.get_ref().set_zero_linger()?;
        }
        ConnectionEnd::Silence => tokio::time::sleep(SILENCE).await,
    }
    Ok(false)
}

fn framed_stream_head(request: &str, framing: StreamFraming, state: &Mutex<State>) -> String {
    let headers = target_headers(state, false);
    let framing = framing_header(framing);
    format!(
        "HTTP/1.1 200 OK\r\nX-Deckwind-Request-Id: {request}\r\nX-Deckwind-Response-Seal: s\r\nContent-Type: text/event-stream{framing}{headers}\r\n\r\n"
    )
}

fn framing_header(framing: StreamFraming) -> &'static str {
    match framing {
        StreamFraming::Chunked => "\r\nTransfer-Encoding: chunked",
        StreamFraming::Connection => "",
    }
}

/// Returns the events of a whole stream.
pub fn whole_stream() -> String {
    (1..=EVENTS_PER_STREAM).map(format_event).collect()
}

/// Returns the header lines for the rest period (only in a 503), the announcement
/// that the target leaves, and its limit.
fn target_headers(state: &Mutex<State>, is_unavailable: bool) -> String {
    let state = state.lock().expect("no holder panics");
    let mut headers = String::new();
    if let Some(rest) = state.retry_after.as_ref().filter(|_| is_unavailable) {
        headers += &format!("\r\nRetry-After: {rest}");
    }
    if state.leaves {
        headers += "\r\nServer-Leaving: 1";
    }
    if let Some(limit) = &state.limit {
        headers += &format!("\r\nServer-Limit: {limit}");
    }
    headers
}

/// Parses the path suffix `/flood-EVENTS-BYTES`, which requests a flood of events.
fn requested_flood(line: &str) -> Option<FakeTargetFault> {
    let (_, parameters) = line.split_once("/flood-")?;
    let (events, bytes) = parameters.split_once('-')?;
    Some(FakeTargetFault::Floods {
        events: events.parse().ok()?,
        bytes: bytes.parse().ok()?,
        continues: false,
    })
}

/// Writes events as fast as they are read.
async fn flood(
    mut body: AnswerBody<'_>,
    request: &str,
    events: std::ops::RangeInclusive<u64>,
    (bytes, continues): (usize, bool),
    state: &Mutex<State>,
) -> Result<bool> {
    let mut next = *events.end() + 1;
    let text = "x".repeat(bytes);
    for event in events {
        let piece = format!("id: {event}\ndata: {text}\n\n");
        if !body.write(event, &piece).await? {
            return Ok(false);
        }
    }
    let written = request.to_string();
    state
        .lock()
        .expect("no holder panics")
        .completed_floods
        .push(written);
    while continues && is_flooding(state) {
        tokio::time::sleep(EVENT_GAP).await;
        if !body.write(next, &format_event(next)).await? {
            return Ok(false);
        }
        next += 1;
    }
    body.finish().await
}

fn is_flooding(state: &Mutex<State>) -> bool {
    let state = state.lock().expect("no holder panics");
    matches!(state.fault, FakeTargetFault::Floods { .. })
}

fn is_stalled(state: &Mutex<State>) -> bool {
    let state = state.lock().expect("no holder panics");
    matches!(state.fault, FakeTargetFault::StallsAfter { .. })
}

pub(super) fn format_event(event: u64) -> String {
    format!("id: {event}\ndata: token {event}\n\n")
}

async fn write_chunk(s: &mut Stream, text: &str) -> Result<()> {
    let data = format!("{:x}\r\n{text}\r\n", text.len());
    Ok(s.write_all(data.as_bytes()).await?)
}

async fn write_response(
    s: &mut Stream,
    state: &Mutex<State>,
    head: &str,
    body: &[u8],
) -> Result<bool> {
    let headers = target_headers(state, head.starts_with("503"));
    let length = body.len();
    let head = format!("HTTP/1.1 {head}{headers}\r\nContent-Length: {length}\r\n\r\n");
    s.write_all(head.as_bytes()).await?;
    s.write_all(body).await?;
    Ok(true)
}

async fn send_report(s: &mut Stream, state: &Mutex<State>) -> Result<bool> {
    let body = {
        let mut state = state.lock().expect("no holder panics");
        state.reports += 1;
        let stalled = state.stalled.iter();
        let stalled: Vec<Value> = stalled
            .map(|(id, address)| json!({"id": id, "address": address}))
            .collect();
        let (from, to) = state.layers;
        let report = json!({
            "busy": false, "seq": state.orders, "stalled": stalled, "born": state.born,
            "layers": {"from": from, "targetVersion": to, "version": 1},
        });
        let report_override = state.report_override.clone();
        report_override.unwrap_or_else(|| report.to_string())
    };
    write_response(s, state, "200 OK", body.as_bytes()).await
}

async fn change_path(s: &mut Stream, order: &Value, state: &Mutex<State>) -> Result<bool> {
    let fleet = state.lock().expect("no holder panics").fleet.clone();
    let Some((fleet, _)) = fleet else {
        return write_response(s, state, "202 Accepted", b"").await;
    };
    let address = s.get_ref().local_addr()?;
    let path = order["path"].as_str().and_then(parse_path);
    let request = order["id"].as_str().unwrap_or_default();
    match fleet.change_path(address, request, path.unwrap_or_default()) {
        Some(Ok(())) => write_response(s, state, "202 Accepted", b"").await,
        Some(Err(error)) => {
            let body = json!({"address": error.address()}).to_string();
            write_response(s, state, "409 Conflict", body.as_bytes()).await
        }
        None => write_response(s, state, "404 Not Found", b"").await,
    }
}

/// Returns whether the fault refuses orders, and counts a refused order.
fn refuses_order(state: &Mutex<State>) -> bool {
    let mut state = state.lock().expect("no holder panics");
    let is_refused = state.fault == FakeTargetFault::RefusesOrders;
    state.orders_refused += u32::from(is_refused);
    is_refused
}

async fn handle_order(s: &mut Stream, req: &SeenRequest, state: &Mutex<State>) -> Result<bool> {
    let order: Value = serde_json::from_slice(&req.body)?;
    if order["op"] == "repath" {
        state.lock().expect("no holder panics").path_changes += 1;
        return change_path(s, &order, state).await;
    }
    if refuses_order(state) {
        return write_response(s, state, "503 Service Unavailable", b"").await;
    }
    let number = |name: &str| order[name].as_u64().unwrap_or_default();
    let layers = (number("from") as u32, number("targetVersion") as u32);
    let expected_revision = number("expectedRev");
    let is_applied = {
        let mut state = state.lock().expect("no holder panics");
        let is_unanswered =
            state.fault == FakeTargetFault::DelaysOrders && state.unanswered_order.is_none();
        if is_unanswered {
            state.unanswered_order = Some((layers, expected_revision));
            None
        } else {
            let is_applied = state.apply_order(layers, expected_revision);
            if let Some((layers, expected_revision)) = state.unanswered_order.take() {
                state.apply_order(layers, expected_revision);
            }
            Some(is_applied)
        }
    };
    let Some(is_applied) = is_applied else {
        tokio::time::sleep(Duration::from_secs(600)).await;
        return Ok(false);
    };
    match is_applied {
        true => write_response(s, state, "202 Accepted", b"").await,
        false => write_response(s, state, "409 Conflict", b"").await,
    }
}
