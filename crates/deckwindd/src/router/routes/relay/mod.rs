//! Passes a stream's events on as they arrive, and resumes the stream at another target
//! after the last event if its target breaks off or stalls.

mod reroute;

use super::delivery::{self, DisconnectReason, Outbox};
use super::opening::{OpenOutcome, OpenedStream, StreamOpener};
use super::reservation::Reservation;
use super::responses::{Failure, RouteBody, strip_connection_headers};
use super::target_run::{RunEnd, TargetRun};
use bytes::Bytes;
use deckwind_core::routes::{EventSplitter, Framing, TargetFault, check_stream_end};
use deckwind_net::body::{BodyPart, BrokenBody};
use http::{Response, header};
use reroute::should_move;
use std::time::Duration;
use tokio::time::Instant;

/// Time without an event after which a stream moves if a target on its path is known to
/// fail: twice the usual pause under load.
const STALL_AFTER: Duration = Duration::from_millis(95);

/// Time without an event after which the first target is asked which stage the stream
/// waits for: one and a half times the longest usual pause. Reports are some 200 ms
/// old, so only the second one names a stage that has just died.
const REPORT_AFTER: Duration = Duration::from_millis(140);

/// Maximum pause that callers accept, less the time to read a prompt again: they give a
/// stream up after two seconds.
const MAX_PAUSE: Duration = Duration::from_millis(1_700);

/// Time between two attempts to open the rest of a stream.
const REOPEN_INTERVAL: Duration = Duration::from_millis(150);

/// Progress of a stream.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Id of the last event that was passed on.
    pub last_event: Option<u64>,
    /// Number of events.
    pub events: u32,
    /// Time to the first event.
    pub first_after: Option<Duration>,
    /// Longest time between two events.
    pub longest_pause: Duration,
    /// Data centre of the latest path.
    pub data_centre: String,
    /// Whether the caller has a part of an event that is not complete.
    pub is_part_passed: bool,
    /// How the latest target marks the end of its answer.
    pub framing: Framing,
    /// Bytes of an event that was not complete when the latest target's answer ended.
    pub open_bytes: usize,
}

/// End of the part of a stream that one target served.
enum SegmentEnd {
    Whole,
    Broken(String),
    /// The stream stalled, and was resumed at another target.
    Moved(Box<OpenedStream>),
    CallerLeft,
    TimeOver,
}

struct Relay {
    opener: StreamOpener,
    progress: Progress,
    last_passed_at: deckwind_core::time::Instant,
    /// Time of the next check of the stream's path.
    next_path_check: Instant,
    /// Whether the stream's path was changed and no event has arrived over the new one yet.
    awaits_new_path: bool,
    outbox: Outbox,
}

/// Returns a response with the stream's head, and spawns a task that passes the events
/// on.
pub fn start(opener: StreamOpener, opened: OpenedStream) -> Response<RouteBody> {
    let job = &opener.job;
    let in_progress = job.shared.begin_request();
    let deliveries = &job.shared.routes.deliveries;
    let (outbox, body) = delivery::open(deliveries, &job.recipient(), Some(in_progress));
    let mut res = Response::new(body);
    *res.status_mut() = opened.head.status;
    *res.headers_mut() = opened.head.headers.clone();
    strip_connection_headers(res.headers_mut());
    res.headers_mut().remove(header::CONTENT_LENGTH);
    let progress = Progress {
        last_event: opener.job.head.last_event,
        ..Progress::default()
    };
    let relay = Relay {
        last_passed_at: opener.job.arrived,
        next_path_check: Instant::now() + reroute::PATH_CHECK_INTERVAL,
        awaits_new_path: false,
        opener,
        progress,
        outbox,
    };
    tokio::spawn(relay.run(opened));
    res
}

impl Relay {
    async fn run(mut self, opened: OpenedStream) {
        let status = opened.head.status;
        let shared = self.opener.job.shared.clone();
        let stop = &shared.routes.stop;
        let code = tokio::select! {
            biased;
            code = self.pass_on_all(opened) => code,
            () = stop.answers_ended() => {
                let failure = stop.interrupt(&self.opener.job.head.id, true);
                self.outbox.break_off(failure.code());
                failure.code()
            }
        };
        self.opener.log_end(status, code, Some(&self.progress));
    }

    /// Passes the stream on to its end, and returns how it ended, for logs.
    async fn pass_on_all(&mut self, mut opened: OpenedStream) -> &'static str {
        loop {
            self.progress.data_centre = opened.reservation.data_centre_name();
            let end = self.pass_on_events(opened).await;
            let why = match end {
                SegmentEnd::Whole => {
                    self.outbox.end();
                    break "whole";
                }
                SegmentEnd::CallerLeft => {
                    let disconnect_reason = self.outbox.caller().disconnect_reason();
                    break disconnect_reason.map_or("caller-left", DisconnectReason::code);
                }
                SegmentEnd::TimeOver => {
                    self.outbox.break_off("time is over");
                    break "time-over";
                }
                SegmentEnd::Moved(next) => {
                    opened = *next;
                    continue;
                }
                SegmentEnd::Broken(why) => why,
            };
            match self.resume_broken(&why).await {
                Ok(next) => opened = next,
                Err(failure) => {
                    log::warn!(
                        "event=stream_broken_off request={} last_event={:?} tries={} first={why:?} then={failure:?}",
                        self.opener.job.head.id,
                        self.progress.last_event,
                        self.opener.attempted.count()
                    );
                    self.outbox.break_off(failure.code());
                    break "broken-off";
                }
            }
        }
    }

    /// Resumes a stalled stream at another target. The first target is kept until
    /// another one has begun: if none can, the first may still continue, and if it
    /// fails, it is the one that breaks the stream off.
    async fn resume_stalled(&mut self) -> Option<Box<OpenedStream>> {
        if self.progress.is_part_passed || !self.opener.can_move() {
            return None;
        }
        self.log_move("stalled");
        let caller = self.outbox.caller();
        let opening = tokio::select! {
            opening = self.opener.open(self.progress.last_event, true) => opening,
            _ = caller.disconnected() => return None,
        };
        match opening {
            Ok(OpenOutcome::Stream(opened)) => Some(opened),
            Ok(OpenOutcome::Whole(status, ..)) => {
                log::warn!(
                    "event=stream_not_moved request={} answered={status}",
                    self.opener.job.head.id
                );
                None
            }
            Err(failure) => {
                log::warn!(
                    "event=stream_not_moved request={} error={failure:?}",
                    self.opener.job.head.id
                );
                None
            }
        }
    }

    fn log_move(&self, why: &str) {
        log::warn!(
            "event=stream_moves request={} content={} at={} last_event={:?} tries={} why={why:?}",
            self.opener.job.head.id,
            self.opener.job.traits.content(),
            self.progress.data_centre,
            self.progress.last_event,
            self.opener.attempted.count()
        );
        metrics::counter!("deckwind_route_streams_moved_total").increment(1);
    }

    /// Resumes a stream that broke off at another target.
    async fn resume_broken(&mut self, why: &str) -> Result<OpenedStream, Failure> {
        self.log_move(why);
        let resumable = self.opener.job.route.kind.is_retryable();
        if !resumable || self.progress.is_part_passed || !self.opener.tries_left() {
            return Err(Failure::Broken(why.to_string()));
        }
        match self.reopen().await? {
            OpenOutcome::Stream(opened) => Ok(*opened),
            OpenOutcome::Whole(status, ..) => Err(Failure::Broken(format!(
                "answered {status} to the request to resume the stream"
            ))),
        }
    }

    /// Opens the rest of the stream. If there is no free capacity or no complete chain,
    /// it tries again for as long as callers accept a pause: a chain is repaired within
    /// a second.
    async fn reopen(&mut self) -> Result<OpenOutcome, Failure> {
        let caller = self.outbox.caller();
        let deadline = (self.last_passed_at + MAX_PAUSE).min(self.opener.job.deadline);
        let clock = self.opener.job.shared.clock;
        loop {
            let opening = self.opener.open(self.progress.last_event, true);
            let opening = tokio::select! {
                opening = opening => opening,
                _ = caller.disconnected() => return Err(Failure::Broken("the caller left".to_string())),
            };
            let next_try = clock.now() + REOPEN_INTERVAL;
            match opening {
                Err(Failure::NotSentAgain(_)) if next_try < deadline => {
                    tokio::time::sleep(REOPEN_INTERVAL).await;
                }
                opening => return opening,
            }
        }
    }

    async fn pass_on_events(&mut self, opened: OpenedStream) -> SegmentEnd {
        let OpenedStream {
            mut reservation,
            mut run,
            connection,
            head,
            mut body,
        } = opened;
        let caller = self.outbox.caller();
        let shared = self.opener.job.shared.clone();
        let mut splitter = EventSplitter::default();
        self.progress.framing = body.framing();
        self.progress.open_bytes = 0;
        let watch = self.watch(&reservation);
        let mut last_event_at = Instant::now();
        let mut next_check = last_event_at + STALL_AFTER;
        let body_end = loop {
            let next_wakeup = next_check.min(Instant::now() + self.opener.job.time_left());
            let part = tokio::select! {
                part = body.next() => part,
                _ = caller.disconnected() => return SegmentEnd::CallerLeft,
                () = tokio::time::sleep_until(next_wakeup) => {
                    if self.opener.job.time_left().is_zero() {
                        return SegmentEnd::TimeOver;
                    }
                    if last_event_at.elapsed() >= REPORT_AFTER {
                        let routes = &shared.routes;
                        routes
                            .stall_reports
                            .request_report(routes, shared.clock, reservation.first())
                            .await;
                    }
                    let connections = &shared.routes.connections;
                    let is_cut_off = connections.is_cut_off(reservation.first(), connection.way());
                    if is_cut_off
                        && let Some(next) = self.resume_stalled().await
                    {
                        return SegmentEnd::Moved(next);
                    }
                    if !is_cut_off
                        && reservation.is_unreliable()
                        && let Some(next) = self
                            .reroute_failing(&mut reservation, last_event_at, watch.as_ref())
                            .await
                    {
                        return SegmentEnd::Moved(next);
                    }
                    next_check = Instant::now() + STALL_AFTER;
                    continue;
                }
                () = should_move(watch.as_ref()) => {
                    if let Some(next) = self
                        .reroute_failing(&mut reservation, last_event_at, watch.as_ref())
                        .await
                    {
                        return SegmentEnd::Moved(next);
                    }
                    continue;
                }
            };
            self.log_resumed(last_event_at.elapsed());
            last_event_at = Instant::now();
            next_check = last_event_at + STALL_AFTER;
            if let Some(watch) = &watch {
                watch.record_event();
            }
            self.reroute_leaving(&mut reservation, watch.as_ref()).await;
            match part {
                Ok(BodyPart::Data(data)) => {
                    let now = shared.clock.now();
                    shared.routes.record_alive(now, reservation.addresses());
                    if let Some(end) = self.pass_on_chunk(&mut splitter, &data, &mut run) {
                        return end;
                    }
                    body.record_kept(splitter.held_bytes());
                }
                Ok(BodyPart::End(end)) => break end,
                Err(e) => {
                    self.record_end("broken", &splitter);
                    if let BrokenBody::Invalid(why) = &e {
                        let first = reservation.first();
                        self.opener.mark_failed(first, TargetFault::Answer, why);
                    }
                    return self.break_segment(run, &reservation, e.to_string());
                }
            }
        };
        self.record_end(body_end.code(), &splitter);
        if let Err(e) = check_stream_end(body_end, splitter.received()) {
            return self.break_segment(run, &reservation, e.reason().to_string());
        }
        run.close(RunEnd::of_whole_stream(body_end));
        reservation.record_answered();
        shared.routes.connections.return_connection(
            connection,
            &head.headers,
            body_end,
            shared.routes.max_idle_connections(&self.opener.job.pool),
        );
        SegmentEnd::Whole
    }

    /// Ends a run whose answer broke off.
    fn break_segment(
        &mut self,
        run: TargetRun,
        reservation: &Reservation,
        why: String,
    ) -> SegmentEnd {
        run.close(RunEnd::Broke);
        self.opener.exclude(reservation.first());
        SegmentEnd::Broken(why)
    }

    fn pass_on_chunk(
        &mut self,
        splitter: &mut EventSplitter,
        data: &Bytes,
        run: &mut TargetRun,
    ) -> Option<SegmentEnd> {
        let events = splitter.take(data, self.progress.last_event);
        self.progress.is_part_passed = splitter.is_part_passed();
        let events = events?;
        run.record_event();
        let now = self.opener.job.shared.clock.now();
        let progress = &mut self.progress;
        progress.last_event = events.last.or(progress.last_event);
        progress.events += events.count;
        match progress.first_after {
            None => progress.first_after = Some(now.since(self.last_passed_at)),
            Some(_) => {
                let pause = now.since(self.last_passed_at);
                progress.longest_pause = progress.longest_pause.max(pause);
            }
        }
        self.last_passed_at = now;
        let disconnect_reason = self.send(events.bytes).err();
        disconnect_reason.map(|_| SegmentEnd::CallerLeft)
    }

    /// Records how the latest target's answer ended.
    fn record_end(&mut self, end: &'static str, splitter: &EventSplitter) {
        self.progress.open_bytes = splitter.open_bytes();
        let inside_event = splitter.received().is_open;
        metrics::counter!(
            "deckwind_route_stream_ends_total",
            "framing" => self.progress.framing.code(),
            "end" => end,
            "inside_event" => inside_event.to_string(),
        )
        .increment(1);
    }

    fn send(&self, bytes: Vec<u8>) -> Result<(), DisconnectReason> {
        self.outbox.push(Bytes::from(bytes))
    }
}
