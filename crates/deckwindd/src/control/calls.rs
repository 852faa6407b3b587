//! Calls of operators who publish releases and of targets that announce
//! themselves.
//!
//! Every replica hears targets that are ready. All else only the leader answers;
//! another replica sends the caller there. A call
//! that can't be answered in time is refused: its sender sends it again,
//! unchanged, and a change that is agreed twice changes nothing.

use super::handle::{ControlHandle, Input};
use super::refusals::Refusals;
use crate::collect::{CollectError, Grow, Part, Room, collect};
use crate::context::Context;
use crate::router::listen;
use anyhow::{Context as _, Result};
use bytes::Bytes;
use deckwind_core::control::{AnnouncementFault, OperatorReply, OperatorRequest};
use deckwind_net::edge::{BadInput, ControlCall, ControlDialect};
use deckwind_net::targets::watch_over;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Longest body of a call: a release of ten thousand routes is about 3 MB.
const MAX_BODY: usize = 16 << 20;

/// Bodies of calls, and documents on their way, that are held at once, bytes: three
/// of the longest. Control VMs have 256 MB, and the rest of a replica needs less
/// than half of them (docs/CAPACITY.md).
const MAX_HELD: u64 = 3 * MAX_BODY as u64;

/// Longest wait for a body.
const BODY_WITHIN: Duration = Duration::from_secs(3);

/// Longest wait for the driver. Callers ask another replica after a second.
const ANSWER_WITHIN: Duration = Duration::from_millis(900);

/// Longest wait for a head, and longest rest of a connection.
const REST: Duration = Duration::from_secs(15);

/// When a refused caller should ask again, seconds.
const ASK_AGAIN_S: &str = "0.2";

struct Calls {
    handle: ControlHandle,
    /// What callers send and read.
    room: Arc<Room>,
    dialect: Arc<dyn ControlDialect>,
    /// Where this replica takes calls.
    address: SocketAddr,
    /// Port of every replica's calls, where a slot is an address.
    port: Option<u16>,
    refusals: Refusals,
}

/// Serves calls for ever.
pub fn serve(
    cx: &Context,
    address: SocketAddr,
    handle: ControlHandle,
) -> Result<impl Future<Output = ()> + use<>> {
    let listener = listen(address).with_context(|| format!("TCP {address} can't be bound"))?;
    let calls = Arc::new(Calls {
        handle,
        room: Room::new(MAX_HELD),
        dialect: cx.dialects.control.clone(),
        address,
        port: cx.settings.seeds.is_some().then_some(address.port()),
        refusals: Refusals::default(),
    });
    Ok(async move {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    metrics::counter!("deckwind_control_accepts_failed_total").increment(1);
                    log::warn!("event=accept_failed address={address} error={e:?}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            watch_over(&stream);
            let calls = calls.clone();
            let service = service_fn(move |req| answer(calls.clone(), req));
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(REST)
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move {
                if let Err(e) = serving.await {
                    log::debug!("event=caller_connection_ended error={e:?}");
                }
            });
        }
    })
}

async fn answer(calls: Arc<Calls>, req: Request<Incoming>) -> Result<Response<Answer>, Infallible> {
    let (head, body) = req.into_parts();
    let path = head.uri.path();
    let mut held = calls.room.part();
    let collecting = collect(body, MAX_BODY, &mut held);
    let body = match tokio::time::timeout(BODY_WITHIN, collecting).await {
        Ok(Ok(body)) => body,
        Ok(Err(CollectError::NoRoom)) => return Ok(calls.no_room(path)),
        Ok(Err(e)) => return Ok(refuse(path, StatusCode::BAD_REQUEST, &e.to_string())),
        Err(_) => {
            return Ok(refuse(
                path,
                StatusCode::REQUEST_TIMEOUT,
                "the body is late",
            ));
        }
    };
    let call = match calls.dialect.read_call(&head.method, path, body) {
        Ok(call) => call,
        Err(e @ BadInput::NoSuchCall(_)) => {
            return Ok(refuse(path, StatusCode::NOT_FOUND, &e.to_string()));
        }
        Err(BadInput::Announcement { fault, why }) => {
            return Ok(calls.refuse_announcement(path, fault, &why));
        }
        Err(e) => return Ok(refuse(path, StatusCode::BAD_REQUEST, &e.to_string())),
    };
    Ok(calls.ask(path, call).await)
}

/// Body of an answer. What it holds is counted until it has been sent.
type Answer = BoxBody<Bytes, Infallible>;

impl Calls {
    fn no_room(&self, path: &str) -> Response<Answer> {
        metrics::counter!("deckwind_control_calls_refused_for_memory_total").increment(1);
        not_now(path, "too much is held for other callers")
    }

    /// A document for a caller that may read it slowly.
    fn document(&self, path: &str, document: Bytes) -> Response<Answer> {
        let mut held = self.room.part();
        if held.grow(document.len() as u64).is_err() {
            return self.no_room(path);
        }
        metrics::gauge!("deckwind_control_calls_held_bytes").set(self.room.held() as f64);
        let rest = document;
        let counted = Counted { rest, _held: held };
        respond(StatusCode::OK, Bytes::new()).map(|_| counted.boxed())
    }

    async fn ask(&self, path: &str, call: ControlCall) -> Response<Answer> {
        let is_release = matches!(call, ControlCall::Publish(_));
        let request = request_of(call);
        let (tx, rx) = oneshot::channel();
        let reply = Box::new(move |r| drop(tx.send(r)));
        self.handle.send(Input::Operator(request, reply));
        match tokio::time::timeout(ANSWER_WITHIN, rx).await {
            Ok(Ok(reply)) => self.to_response(path, is_release, reply),
            Ok(Err(_)) | Err(_) => not_now(path, "no answer in time"),
        }
    }

    fn to_response(&self, path: &str, is_release: bool, reply: OperatorReply) -> Response<Answer> {
        match reply {
            OperatorReply::Accepted { revision, .. } => {
                // Announcements come each second from every target.
                let level = match is_release {
                    true => log::Level::Info,
                    false => log::Level::Debug,
                };
                log::log!(level, "event=call_accepted path={path} revision={revision}");
                respond(StatusCode::OK, Bytes::from_static(b"{}"))
            }
            OperatorReply::Heard => {
                // No line: each target comes once in its period.
                metrics::counter!("deckwind_control_targets_heard_total").increment(1);
                respond(StatusCode::OK, self.dialect.heard_at(self.address))
            }
            OperatorReply::NotTaken(fault) => self.refuse_announcement(path, fault, ""),
            OperatorReply::Doubted => not_now(path, "another life of it still speaks"),
            OperatorReply::Rejected(rejection) => {
                refuse(path, StatusCode::BAD_REQUEST, &rejection.to_string())
            }
            OperatorReply::Document(Some(document)) => self.document(path, document.into()),
            OperatorReply::Document(None) => not_now(path, "nothing is published yet"),
            OperatorReply::NotLeader { leader: Some(slot) } => self.redirect(path, slot),
            OperatorReply::NotLeader { leader: None } => not_now(path, "nobody leads"),
            OperatorReply::Unknown => not_now(path, "leadership was lost on the way"),
            OperatorReply::Configuration(_) | OperatorReply::Status(_) => {
                refuse(path, StatusCode::NOT_FOUND, "not served here")
            }
        }
    }

    /// Refuses what a target said of itself, or somebody in its name.
    fn refuse_announcement(
        &self,
        path: &str,
        fault: AnnouncementFault,
        why: &str,
    ) -> Response<Answer> {
        let reason = fault.label();
        metrics::counter!("deckwind_control_announcements_refused_total", "reason" => reason)
            .increment(1);
        if let Some(left_out) = self.refusals.note(Instant::now(), fault) {
            log::warn!(
                "event=announcement_refused path={path} reason={reason} error={why:?} left_out={left_out}"
            );
        }
        let body = serde_json::json!({ "error": reason }).to_string();
        respond(StatusCode::BAD_REQUEST, body.into())
    }

    /// Sends the caller to the leader, where its slot is its address.
    fn redirect(&self, path: &str, slot: u32) -> Response<Answer> {
        let Some(port) = self.port else {
            return not_now(path, "another replica leads");
        };
        let location = format!("http://{}:{port}{path}", Ipv4Addr::from(slot));
        let mut res = respond(StatusCode::TEMPORARY_REDIRECT, Bytes::new());
        if let Ok(value) = location.parse() {
            res.headers_mut().insert(header::LOCATION, value);
        }
        res
    }
}

fn request_of(call: ControlCall) -> OperatorRequest {
    match call {
        ControlCall::Publish(published) => {
            log::info!(
                "event=release_offered version={} routes={} bytes={}",
                published.release.version,
                published.release.routes.len(),
                published.document.len()
            );
            OperatorRequest::Publish(published)
        }
        ControlCall::Document => OperatorRequest::Document,
        ControlCall::Announce(instance) => OperatorRequest::Announce(instance),
        ControlCall::Leave(life) => OperatorRequest::Leave(life),
    }
}

fn refuse(path: &str, status: StatusCode, why: &str) -> Response<Answer> {
    log::info!(
        "event=call_refused path={path} status={} error={why:?}",
        status.as_u16()
    );
    let body = serde_json::json!({ "error": why }).to_string();
    respond(status, body.into())
}

fn not_now(path: &str, why: &str) -> Response<Answer> {
    let mut res = refuse(path, StatusCode::SERVICE_UNAVAILABLE, why);
    let value = header::HeaderValue::from_static(ASK_AGAIN_S);
    res.headers_mut().insert(header::RETRY_AFTER, value);
    res
}

fn respond(status: StatusCode, body: Bytes) -> Response<Answer> {
    let mut res = Response::new(Full::new(body).boxed());
    *res.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}

/// Bytes of a document that are handed to a connection at once: what a slow caller
/// has not taken stays counted.
const SLICE: usize = 16 * 1024;

/// A document that is counted as held until it has been handed over.
struct Counted {
    rest: Bytes,
    _held: Part,
}

impl Body for Counted {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let length = SLICE.min(self.rest.len());
        let piece = self.rest.split_to(length);
        Poll::Ready((length > 0).then(|| Ok(Frame::data(piece))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
