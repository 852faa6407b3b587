//! Calls of operators who publish releases and of targets that announce
//! themselves.
//!
//! Every replica hears targets that are ready. All else only the leader answers;
//! another replica sends the caller there. A call
//! that can't be answered in time is refused: its sender sends it again,
//! unchanged, and a change that is agreed twice changes nothing.

use super::handle::{ControlHandle, Input};
use super::refusals::Refusals;
use crate::context::Context;
use crate::router::listen;
use anyhow::{Context as _, Result};
use bytes::Bytes;
use deckwind_core::control::{AnnouncementFault, OperatorReply, OperatorRequest};
use deckwind_net::edge::{BadInput, ControlCall, ControlDialect};
use deckwind_net::targets::watch_over;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Longest body of a call: a release of ten thousand routes is about 3 MB.
const MAX_BODY: usize = 16 << 20;

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

async fn answer(
    calls: Arc<Calls>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = req.into_parts();
    let path = head.uri.path();
    let collecting = Limited::new(body, MAX_BODY).collect();
    let body = match tokio::time::timeout(BODY_WITHIN, collecting).await {
        Ok(Ok(body)) => body.to_bytes(),
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

impl Calls {
    async fn ask(&self, path: &str, call: ControlCall) -> Response<Full<Bytes>> {
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

    fn to_response(
        &self,
        path: &str,
        is_release: bool,
        reply: OperatorReply,
    ) -> Response<Full<Bytes>> {
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
            OperatorReply::Document(Some(document)) => respond(StatusCode::OK, document.into()),
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
    ) -> Response<Full<Bytes>> {
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
    fn redirect(&self, path: &str, slot: u32) -> Response<Full<Bytes>> {
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

fn refuse(path: &str, status: StatusCode, why: &str) -> Response<Full<Bytes>> {
    log::info!(
        "event=call_refused path={path} status={} error={why:?}",
        status.as_u16()
    );
    let body = serde_json::json!({ "error": why }).to_string();
    respond(status, body.into())
}

fn not_now(path: &str, why: &str) -> Response<Full<Bytes>> {
    let mut res = refuse(path, StatusCode::SERVICE_UNAVAILABLE, why);
    let value = header::HeaderValue::from_static(ASK_AGAIN_S);
    res.headers_mut().insert(header::RETRY_AFTER, value);
    res
}

fn respond(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(body));
    *res.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}
