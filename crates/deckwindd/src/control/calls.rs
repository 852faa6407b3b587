//! HTTP server for operators who publish releases and for targets that announce
//! themselves.
//!
//! Every replica receives the announcements of ready targets. Only the leader answers
//! other calls; the other replicas redirect the caller to it. A call that can't be
//! answered in time is refused. The caller sends it again unchanged, which is safe: a
//! change that is committed twice has no further effect.

use super::handle::{ControlHandle, Input};
use super::refusals::RefusalLog;
use crate::byte_budget::{ByteBudget, ByteReservation};
use crate::context::Context;
use crate::router::listen;
use anyhow::{Context as _, Result};
use bytes::Bytes;
use deckwind_core::control::{AnnouncementFault, OperatorReply, OperatorRequest};
use deckwind_net::body::{CollectError, MessageBody, ReserveBytes, collect};
use deckwind_net::edge::{ControlCall, ControlDialect, InvalidInput};
use deckwind_net::targets::set_tcp_options;
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

/// Maximum size of the body of a call, bytes: a release of ten thousand routes is about 3 MB.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Maximum size of all bodies of calls and documents being sent, bytes: three of the
/// longest. Control VMs have 256 MB, and the rest of a replica needs less than half of
/// that (docs/CAPACITY.md).
const MAX_HELD_BYTES: u64 = 3 * MAX_BODY_BYTES as u64;

/// Timeout for reading a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for the driver's reply. Callers try another replica after a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout for reading the head of a request, which also limits the time that a
/// connection stays idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after which a refused caller should try again, seconds (`Retry-After`).
const RETRY_AFTER_S: &str = "0.2";

struct Calls {
    handle: ControlHandle,
    /// Limit on the bytes of bodies and documents in memory.
    budget: Arc<ByteBudget>,
    dialect: Arc<dyn ControlDialect>,
    /// Address on which this replica accepts calls.
    address: SocketAddr,
    /// Port on which every replica accepts calls, if slots are IPv4 addresses (with
    /// seeds).
    port: Option<u16>,
    refusals: RefusalLog,
}

/// Binds the listener and returns a future that serves calls forever.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn serve(
    cx: &Context,
    address: SocketAddr,
    handle: ControlHandle,
) -> Result<impl Future<Output = ()> + use<>> {
    let listener = listen(address).with_context(|| format!("failed to bind TCP {address}"))?;
    let calls = Arc::new(Calls {
        handle,
        budget: ByteBudget::new(MAX_HELD_BYTES),
        dialect: cx.dialects.control.clone(),
        address,
        port: cx.settings.seeds.is_some().then_some(address.port()),
        refusals: RefusalLog::default(),
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
            set_tcp_options(&stream);
            let calls = calls.clone();
            let service = service_fn(move |req| answer(calls.clone(), req));
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move {
                if let Err(e) = serving.await {
                    log::debug!("event=caller_connection_ended error={e:?}");
                }
            });
        }
    })
}

async fn answer(
    calls: Arc<Calls>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let (head, body) = req.into_parts();
    let path = head.uri.path();
    let mut reservation = calls.budget.reservation();
    let body = MessageBody::of_request(&head, body);
    let collecting = collect(body, MAX_BODY_BYTES, &mut reservation);
    let body = match tokio::time::timeout(BODY_TIMEOUT, collecting).await {
        Ok(Ok(body)) => body.bytes,
        Ok(Err(CollectError::OutOfMemory)) => return Ok(calls.refuse_for_memory(path)),
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
        Err(e @ InvalidInput::UnknownCall(_)) => {
            return Ok(refuse(path, StatusCode::NOT_FOUND, &e.to_string()));
        }
        Err(InvalidInput::Announcement { fault, why }) => {
            return Ok(calls.refuse_announcement(path, fault, &why));
        }
        Err(e) => return Ok(refuse(path, StatusCode::BAD_REQUEST, &e.to_string())),
    };
    Ok(calls.send_to_driver(path, call).await)
}

/// Body of an answer. Documents count towards [`MAX_HELD_BYTES`] until they have been sent.
type AnswerBody = BoxBody<Bytes, Infallible>;

impl Calls {
    fn refuse_for_memory(&self, path: &str) -> Response<AnswerBody> {
        metrics::counter!("deckwind_control_calls_refused_for_memory_total").increment(1);
        retry_later(path, "too much is held for other callers")
    }

    /// Answers with a document, whose bytes count as held until a slow caller has read
    /// them.
    fn document(&self, path: &str, document: Bytes) -> Response<AnswerBody> {
        let mut reservation = self.budget.reservation();
        if reservation.reserve_bytes(document.len() as u64).is_err() {
            return self.refuse_for_memory(path);
        }
        metrics::gauge!("deckwind_control_calls_held_bytes").set(self.budget.reserved() as f64);
        let remaining = document;
        let counted = CountedBody {
            remaining,
            _reservation: reservation,
        };
        respond(StatusCode::OK, Bytes::new()).map(|_| counted.boxed())
    }

    async fn send_to_driver(&self, path: &str, call: ControlCall) -> Response<AnswerBody> {
        let is_release = matches!(call, ControlCall::Publish(_));
        let request = to_operator_request(call);
        let (tx, rx) = oneshot::channel();
        let reply = Box::new(move |r| drop(tx.send(r)));
        self.handle.send(Input::Operator(request, reply));
        match tokio::time::timeout(ANSWER_TIMEOUT, rx).await {
            Ok(Ok(reply)) => self.to_response(path, is_release, reply),
            Ok(Err(_)) | Err(_) => retry_later(path, "no answer in time"),
        }
    }

    fn to_response(
        &self,
        path: &str,
        is_release: bool,
        reply: OperatorReply,
    ) -> Response<AnswerBody> {
        match reply {
            OperatorReply::Accepted { revision, .. } => {
                // Logged at debug level, since every target announces itself each second.
                let level = match is_release {
                    true => log::Level::Info,
                    false => log::Level::Debug,
                };
                log::log!(level, "event=call_accepted path={path} revision={revision}");
                respond(StatusCode::OK, Bytes::from_static(b"{}"))
            }
            OperatorReply::Heard => {
                // Only counted, not logged: every target announces itself once per interval.
                metrics::counter!("deckwind_control_targets_heard_total").increment(1);
                respond(
                    StatusCode::OK,
                    self.dialect.announcement_reply(self.address),
                )
            }
            OperatorReply::NotTaken(fault) => self.refuse_announcement(path, fault, ""),
            OperatorReply::Unconfirmed => retry_later(path, "another life of it still speaks"),
            OperatorReply::Rejected(rejection) => {
                refuse(path, StatusCode::BAD_REQUEST, &rejection.to_string())
            }
            OperatorReply::Document(Some(document)) => self.document(path, document.into()),
            OperatorReply::Document(None) => retry_later(path, "nothing is published yet"),
            OperatorReply::NotLeader { leader: Some(slot) } => self.redirect(path, slot),
            OperatorReply::NotLeader { leader: None } => retry_later(path, "nobody leads"),
            OperatorReply::Unknown => retry_later(path, "leadership was lost on the way"),
            OperatorReply::Configuration(_) | OperatorReply::Status(_) => {
                refuse(path, StatusCode::NOT_FOUND, "not served here")
            }
        }
    }

    /// Refuses an announcement and logs it, subject to the rate limit of [`RefusalLog`].
    fn refuse_announcement(
        &self,
        path: &str,
        fault: AnnouncementFault,
        why: &str,
    ) -> Response<AnswerBody> {
        let reason = fault.label();
        metrics::counter!("deckwind_control_announcements_refused_total", "reason" => reason)
            .increment(1);
        if let Some(left_out) = self.refusals.record(Instant::now(), fault) {
            log::warn!(
                "event=announcement_refused path={path} reason={reason} error={why:?} left_out={left_out}"
            );
        }
        let body = serde_json::json!({ "error": reason }).to_string();
        respond(StatusCode::BAD_REQUEST, body.into())
    }

    /// Redirects the caller to the leader if slots are addresses, else asks it to retry.
    fn redirect(&self, path: &str, slot: u32) -> Response<AnswerBody> {
        let Some(port) = self.port else {
            return retry_later(path, "another replica leads");
        };
        let location = format!("http://{}:{port}{path}", Ipv4Addr::from(slot));
        let mut res = respond(StatusCode::TEMPORARY_REDIRECT, Bytes::new());
        if let Ok(value) = location.parse() {
            res.headers_mut().insert(header::LOCATION, value);
        }
        res
    }
}

fn to_operator_request(call: ControlCall) -> OperatorRequest {
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
        ControlCall::Leave(incarnation) => OperatorRequest::Leave(incarnation),
    }
}

fn refuse(path: &str, status: StatusCode, why: &str) -> Response<AnswerBody> {
    log::info!(
        "event=call_refused path={path} status={} error={why:?}",
        status.as_u16()
    );
    let body = serde_json::json!({ "error": why }).to_string();
    respond(status, body.into())
}

fn retry_later(path: &str, why: &str) -> Response<AnswerBody> {
    let mut res = refuse(path, StatusCode::SERVICE_UNAVAILABLE, why);
    let value = header::HeaderValue::from_static(RETRY_AFTER_S);
    res.headers_mut().insert(header::RETRY_AFTER, value);
    res
}

fn respond(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let mut res = Response::new(Full::new(body).boxed());
    *res.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}

/// Maximum size of one frame of a document, bytes. The remaining bytes of the document
/// count as held until a slow caller has read up to them.
const MAX_FRAME_BYTES: usize = 16 * 1024;

/// Body with a document that counts as held until the connection has taken all of it.
struct CountedBody {
    remaining: Bytes,
    _reservation: ByteReservation,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let length = MAX_FRAME_BYTES.min(self.remaining.len());
        let chunk = self.remaining.split_to(length);
        Poll::Ready((length > 0).then(|| Ok(Frame::data(chunk))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}
