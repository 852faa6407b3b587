//! Passes a stream's events on as they arrive, and resumes the stream at another target
//! after the last event if its target breaks off or stalls.

mod round;

use super::delivery::{self, Gone, Outbox};
use super::opening::{Opened, Opener, Opening};
use super::route_answers::{Failure, RouteBody, strip_connection_headers};
use super::run::{RunEnd, TargetRun};
use bytes::Bytes;
use deckwind_core::routes::EventCutter;
use http::{Response, header};
use http_body_util::BodyExt;
use round::woken;
use std::time::Duration;
use tokio::time::Instant;

/// Time without an event after which a stream moves if a target on its path is known to
/// fail: twice the usual pause under load.
const SILENT: Duration = Duration::from_millis(95);

/// Time without an event after which the first target is asked which stage the stream
/// waits for: one and a half times the longest usual pause. Reports are some 200 ms
/// old, so only the second one names a stage that has just died.
const ASK_AFTER: Duration = Duration::from_millis(140);

/// Maximum pause that callers accept, less the time to read a prompt again: they give a
/// stream up after two seconds.
const BEARABLE_PAUSE: Duration = Duration::from_millis(1_700);

/// Time between two attempts to open the rest of a stream.
const OPEN_AGAIN_AFTER: Duration = Duration::from_millis(150);

/// Progress of a stream.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Id of the last event that was passed on.
    pub last: Option<u64>,
    /// Number of events.
    pub events: u32,
    /// Time to the first event.
    pub first_after: Option<Duration>,
    /// Longest time between two events.
    pub longest_pause: Duration,
    /// Data centre of the latest path.
    pub data_centre: String,
}

/// How the part of a stream that one target served ended.
enum PartEnd {
    Whole,
    Broken(String),
    /// The stream stalled, and was resumed at another target.
    Moved(Box<Opened>),
    CallerLeft,
    TimeOver,
}

struct Relay {
    opener: Opener,
    progress: Progress,
    passed_at: deckwind_core::time::Instant,
    /// Time of the next check of its path.
    look_at_path: Instant,
    /// Whether its path was changed and no event has arrived over the new one yet.
    path_is_new: bool,
    outbox: Outbox,
}

/// Returns a response with the stream's head, and spawns a task that passes the events
/// on.
pub fn start(opener: Opener, opened: Opened) -> Response<RouteBody> {
    let job = &opener.job;
    let in_progress = job.shared.begin();
    let deliveries = &job.shared.routes.deliveries;
    let (outbox, body) = delivery::open(deliveries, &job.recipient(), Some(in_progress));
    let mut res = Response::new(body);
    *res.status_mut() = opened.head.status;
    *res.headers_mut() = opened.head.headers.clone();
    strip_connection_headers(res.headers_mut());
    res.headers_mut().remove(header::CONTENT_LENGTH);
    let progress = Progress {
        last: opener.job.head.last_event,
        ..Progress::default()
    };
    let relay = Relay {
        passed_at: opener.job.arrived,
        look_at_path: Instant::now() + round::PATH_LOOK,
        path_is_new: false,
        opener,
        progress,
        outbox,
    };
    tokio::spawn(relay.run(opened));
    res
}

impl Relay {
    async fn run(mut self, mut opened: Opened) {
        let status = opened.head.status;
        let code = loop {
            self.progress.data_centre = opened.hold.data_centre();
            let end = self.pass_on(opened).await;
            let why = match end {
                PartEnd::Whole => {
                    self.outbox.end();
                    break "whole";
                }
                PartEnd::CallerLeft => {
                    let gone = self.outbox.caller().is_gone();
                    break gone.map_or("caller-left", Gone::code);
                }
                PartEnd::TimeOver => {
                    self.outbox.break_off("time is over");
                    break "time-over";
                }
                PartEnd::Moved(next) => {
                    opened = *next;
                    continue;
                }
                PartEnd::Broken(why) => why,
            };
            match self.go_on(&why).await {
                Ok(next) => opened = next,
                Err(failure) => {
                    log::warn!(
                        "event=stream_broken_off request={} last_event={:?} tries={} first={why:?} then={failure:?}",
                        self.opener.job.head.id,
                        self.progress.last,
                        self.opener.tries.count()
                    );
                    self.outbox.break_off(failure.code());
                    break "broken-off";
                }
            }
        };
        self.opener.note(status, code, Some(&self.progress));
    }

    /// Resumes a stalled stream at another target. The first target is kept until
    /// another one has begun: if none can, the first may still continue, and if it
    /// fails, it is the one that breaks the stream off.
    async fn move_on(&mut self) -> Option<Box<Opened>> {
        if !self.opener.can_move() {
            return None;
        }
        self.note_move("stalled");
        let caller = self.outbox.caller();
        let opening = tokio::select! {
            opening = self.opener.open(self.progress.last, true) => opening,
            _ = caller.gone() => return None,
        };
        match opening {
            Ok(Opening::Stream(opened)) => Some(opened),
            Ok(Opening::Whole(status, ..)) => {
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

    fn note_move(&self, why: &str) {
        log::warn!(
            "event=stream_moves request={} content={} at={} last_event={:?} tries={} why={why:?}",
            self.opener.job.head.id,
            self.opener.job.content,
            self.progress.data_centre,
            self.progress.last,
            self.opener.tries.count()
        );
        metrics::counter!("deckwind_route_streams_moved_total").increment(1);
    }

    /// Resumes a stream that broke off at another target.
    async fn go_on(&mut self, why: &str) -> Result<Opened, Failure> {
        self.note_move(why);
        let resumable = self.opener.job.route.kind.may_repeat();
        if !resumable || !self.opener.tries_left() {
            return Err(Failure::Broken(why.to_string()));
        }
        match self.open_again().await? {
            Opening::Stream(opened) => Ok(*opened),
            Opening::Whole(status, ..) => Err(Failure::Broken(format!(
                "answered {status} when asked to go on"
            ))),
        }
    }

    /// Opens the rest of the stream. If there is no free capacity or no complete chain,
    /// it tries again for as long as callers accept a pause: a chain is repaired within
    /// a second.
    async fn open_again(&mut self) -> Result<Opening, Failure> {
        let caller = self.outbox.caller();
        let until = (self.passed_at + BEARABLE_PAUSE).min(self.opener.job.until);
        let clock = self.opener.job.shared.clock;
        loop {
            let opening = self.opener.open(self.progress.last, true);
            let opening = tokio::select! {
                opening = opening => opening,
                _ = caller.gone() => return Err(Failure::Broken("the caller left".to_string())),
            };
            let again = clock.now() + OPEN_AGAIN_AFTER;
            match opening {
                Err(Failure::NotSentAgain(_)) if again < until => {
                    tokio::time::sleep(OPEN_AGAIN_AFTER).await;
                }
                opening => return opening,
            }
        }
    }

    async fn pass_on(&mut self, opened: Opened) -> PartEnd {
        let Opened {
            mut hold,
            mut run,
            connection,
            head,
            mut body,
        } = opened;
        let caller = self.outbox.caller();
        let shared = self.opener.job.shared.clone();
        let mut cutter = EventCutter::default();
        let watched = self.watch(&hold);
        let mut heard = Instant::now();
        let mut look_at = heard + SILENT;
        loop {
            let look_at_or_end = look_at.min(Instant::now() + self.opener.job.left());
            let frame = tokio::select! {
                frame = body.frame() => frame,
                _ = caller.gone() => return PartEnd::CallerLeft,
                () = tokio::time::sleep_until(look_at_or_end) => {
                    if self.opener.job.left().is_zero() {
                        return PartEnd::TimeOver;
                    }
                    if heard.elapsed() >= ASK_AFTER {
                        let routes = &shared.routes;
                        routes.stalls.look(routes, shared.clock, hold.first()).await;
                    }
                    if hold.is_doubted()
                        && let Some(next) = self.leave_failing(&mut hold, heard, watched.as_ref()).await
                    {
                        return PartEnd::Moved(next);
                    }
                    look_at = Instant::now() + SILENT;
                    continue;
                }
                () = woken(watched.as_ref()) => {
                    if let Some(next) = self.leave_failing(&mut hold, heard, watched.as_ref()).await {
                        return PartEnd::Moved(next);
                    }
                    continue;
                }
            };
            self.note_gone_on(heard.elapsed());
            heard = Instant::now();
            look_at = heard + SILENT;
            if let Some(watched) = &watched {
                watched.event();
            }
            self.leave_draining(&mut hold, watched.as_ref()).await;
            match frame {
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    if let Some(end) = self.take(&mut cutter, data, &mut run) {
                        return end;
                    }
                }
                Some(Err(e)) => {
                    run.close(RunEnd::Broke);
                    self.opener.avoid(hold.first());
                    return PartEnd::Broken(e.to_string());
                }
                None => break,
            }
        }
        run.close(RunEnd::Served);
        hold.answered();
        shared.routes.connections.give_back(
            connection,
            &head.headers,
            shared.routes.most_idle(&self.opener.job.pool),
        );
        let rest = cutter.rest();
        if !rest.is_empty() && self.send(rest).is_err() {
            return PartEnd::CallerLeft;
        }
        PartEnd::Whole
    }

    fn take(
        &mut self,
        cutter: &mut EventCutter,
        data: &Bytes,
        run: &mut TargetRun,
    ) -> Option<PartEnd> {
        let events = cutter.take(data, self.progress.last)?;
        run.event();
        let now = self.opener.job.shared.clock.now();
        let progress = &mut self.progress;
        progress.last = events.last.or(progress.last);
        progress.events += events.count;
        match progress.first_after {
            None => progress.first_after = Some(now.since(self.passed_at)),
            Some(_) => {
                let pause = now.since(self.passed_at);
                progress.longest_pause = progress.longest_pause.max(pause);
            }
        }
        self.passed_at = now;
        let gone = self.send(events.bytes).err();
        gone.map(|_| PartEnd::CallerLeft)
    }

    fn send(&self, bytes: Vec<u8>) -> Result<(), Gone> {
        self.outbox.push(Bytes::from(bytes))
    }
}
